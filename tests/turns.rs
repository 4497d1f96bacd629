//! In which order the jobs of one queue are served while a cell is full for a long time.
//!
//! The load is a queue of reports of very different sizes, each of some tasks that take half a
//! worker or more, which together want more than there is.

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

/// The built-in policy with a fixed turn, the order among jobs of equal priority.
struct FixedTurn(Turn);

impl Policy for FixedTurn {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        Decision {
            turn: self.0,
            ..BuiltIn.decide(queue, spec)
        }
    }
}

/// Returns the queue of the reports.
fn reports() -> Queue {
    Queue {
        stretch: 2.0,
        slack: 1_000,
        ..queue("reports", 2)
    }
}

/// Returns an owner whose only worker is filled by a running report.
fn full_worker(turn: Turn) -> Bench {
    let q = reports();
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.cell.set_policy(Arc::new(FixedTurn(turn)));
    bench.accept(&report(1, 1, 500));
    assert_eq!(bench.start_all().len(), 1);
    bench
}

/// Returns a report whose tasks each take a whole worker.
fn report(id: u64, tasks: u32, estimate: Millis) -> JobRow {
    let whole = Step {
        estimate,
        ..step(tasks, 16_000)
    };
    job(id, &reports(), vec![whole])
}

/// Ends the running task, and returns the job whose task starts next.
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
fn waiting_reports_start_in_the_order_of_the_policy(turn: Turn, wanted: [u64; 3]) {
    // Arrange: one with 40 tasks comes first, then one whose only task is long, then a short one.
    let mut bench = full_worker(turn);
    bench.accept(&report(2, 40, 1_000));
    bench.now += 400;
    bench.accept(&report(3, 1, 4_000));
    bench.now += 400;
    bench.accept(&report(4, 1, 300));

    // Act: the tasks of the first start one after another as long as no other job precedes it.
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
fn a_large_report_is_not_delayed_forever() {
    // Arrange: small reports keep coming at twice the rate that the worker can serve.
    let mut bench = full_worker(Turn::Balanced);
    bench.accept(&report(2, 100, 10_000));
    let submitted = bench.now;
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
            None => panic!("the worker is idle"),
        }
    }

    // Assert: small reports precede it only if they came within a minute, the largest penalty for
    // its work, plus its own laxity.
    let waiting = bench.cell.view(JobId(2), bench.now).expect("a known job");
    assert_eq!(waiting.steps[0].running, 1);
    assert!((20_000..75_000).contains(&(latest - submitted)), "{latest}");
}

#[yare::parameterized(
    no_estimate = { 0 },
    far_too_small = { 1 },
    huge = { Millis::MAX / 4 },
)]
fn a_wrong_estimate_keeps_no_job_from_being_served(estimate: Millis) {
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
fn a_scheduled_job_waits_from_when_it_is_due() {
    // Arrange: a scheduled job that was submitted long ago and has just come due has no precedence
    // over one that has just been submitted.
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
    cell_core::tick(&mut bench.cell, bench.now);

    // Act, assert
    assert_eq!(next(&mut bench), Some(JobId(3)));
}
