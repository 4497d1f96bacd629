//! Who goes first while a cell is full for a long time.
//!
//! The pattern: reports of very unlike sizes keep coming in one queue, each of some tasks that take half
//! a worker or more, and all of them together want more than there is.

mod cell_core;

use std::collections::BTreeMap;
use std::sync::Arc;

use cell_core::{Bench, job, queue, step};
use crossweir::cell::order::EndKind;
use crossweir::cell::record::JobRow;
use crossweir::cell::spec::{JobId, JobSpec, Schedule, Step};
use crossweir::clock::Millis;
use crossweir::policy::{BuiltIn, Decision, Policy, Turn};
use crossweir::queue::Queue;

/// The built-in policy with one of the orders.
struct Turned(Turn);

impl Policy for Turned {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        Decision {
            turn: self.0,
            ..BuiltIn.decide(queue, spec)
        }
    }
}

fn reports() -> Queue {
    Queue {
        stretch: 2.0,
        slack: 1_000,
        ..queue("reports", 2)
    }
}

/// One worker on which nothing else has room while its only task runs.
fn full_worker(turn: Turn) -> Bench {
    let q = reports();
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.cell.set_policy(Arc::new(Turned(turn)));
    bench.accept(&report(1, 1, 500));
    assert_eq!(bench.start_all().len(), 1);
    bench
}

/// A report whose tasks each take a whole worker.
fn report(id: u64, tasks: u32, estimate: Millis) -> JobRow {
    let whole = Step {
        estimate,
        ..step(tasks, 16_000)
    };
    job(id, &reports(), vec![whole])
}

/// Ends what runs, and tells which job's task starts next.
fn next(bench: &mut Bench) -> Option<JobId> {
    let (task, number) = bench.running.values().flatten().next().copied()?;
    bench.end(task, number, EndKind::Done);
    bench.poll_all();
    let started = bench.start_all();
    started.first().map(|start| start.task.step.job)
}

#[yare::parameterized(
    arrival = { Turn::Arrival, [2, 3, 4] },
    least_work = { Turn::LeastWork, [4, 3, 2] },
    least_laxity = { Turn::LeastLaxity, [2, 4, 3] },
    balanced = { Turn::Balanced, [4, 3, 2] },
)]
fn waiting_reports_take_their_turns(turn: Turn, wanted: [u64; 3]) {
    // Arrange: a wide one came first, then one whose task is long, then a short one.
    let mut bench = full_worker(turn);
    bench.accept(&report(2, 40, 1_000));
    bench.now += 400;
    bench.accept(&report(3, 1, 4_000));
    bench.now += 400;
    bench.accept(&report(4, 1, 300));

    // Act: the wide one goes on for as long as nothing else is before it.
    let mut turns = Vec::new();
    while let Some(id) = next(&mut bench) {
        if turns.last() != Some(&id.0) {
            turns.push(id.0);
        }
    }

    // Assert
    assert_eq!(turns, wanted);
}

#[test]
fn a_large_report_is_not_held_back_for_ever() {
    // Arrange: two small reports come for each that the worker can carry, without an end.
    let mut bench = full_worker(Turn::Balanced);
    bench.accept(&report(2, 100, 10_000));
    let came = bench.now;
    let mut arrivals = BTreeMap::new();
    let mut latest = 0;

    // Act
    for id in 0..400 {
        bench.now += 500;
        for twin in 0..2 {
            let small = 10 + 2 * id + twin;
            bench.accept(&report(small, 1, 500));
            arrivals.insert(JobId(small), bench.now);
        }
        match next(&mut bench) {
            Some(JobId(2)) => break,
            Some(small) => latest = latest.max(arrivals[&small]),
            None => panic!("the worker stands idle"),
        }
    }

    // Assert: what goes before it came within a minute and its own time in hand.
    let waiting = bench.cell.view(JobId(2), bench.now).expect("it is known");
    assert_eq!(waiting.steps[0].running, 1);
    assert!((20_000..75_000).contains(&(latest - came)), "{latest}");
}

#[yare::parameterized(
    no_guess = { 0 },
    far_too_small = { 1 },
    huge = { Millis::MAX / 4 },
)]
fn a_guess_that_is_far_off_stops_nobody(estimate: Millis) {
    for turn in Turn::ALL {
        let mut bench = full_worker(turn);
        bench.accept(&report(2, 2, estimate));
        bench.accept(&report(3, 2, 1_000));
        let mut served = Vec::new();
        while let Some(id) = next(&mut bench) {
            served.push(id.0);
        }
        served.sort_unstable();
        assert_eq!(served, [2, 2, 3, 3], "{turn:?}");
    }
}

#[test]
fn a_scheduled_time_counts_from_when_it_is_due() {
    // Arrange: a job that was handed in long ago, and whose time has just come, has no more right than one that
    // has just been handed in.
    let mut bench = full_worker(Turn::LeastLaxity);
    bench.cell.set_wall_clock(1_000_000);
    let mut timed = report(2, 1, 1_000);
    timed.spec.schedule = Some(Schedule {
        times: 1,
        first: 1_060_000,
        interval: 1_000,
    });
    bench.accept(&timed);
    bench.now += 59_000;
    bench.accept(&report(3, 1, 1_000));
    bench.now += 1_000;
    bench.cell.set_wall_clock(1_060_000);
    bench.cell.tick(bench.now);

    // Act, assert
    assert_eq!(next(&mut bench), Some(JobId(3)));
}
