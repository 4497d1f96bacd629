//! Halls that the operator evacuates: nothing starts there, what runs goes on, and room there is
//! not waited for until the evacuation ends.
//!
//! The load: half of the workers may not be used for some seconds while urgent jobs, gangs and
//! steps that need advice keep coming.

mod cell_core;

use std::sync::Arc;

use cell_core::{
    Bench, advised_queue, configuration, job, question_workers, questions, queue, starts, step,
    stops, worker,
};
use crossweir::cell::Cell;
use crossweir::cell::order::{EndKind, StartOrder};
use crossweir::cell::spec::{JobId, Step};
use crossweir::cell::wait::WaitReason;
use crossweir::cell::worker::WorkerEntry;
use crossweir::evacuation::{Evacuations, Halls};
use yare::parameterized;

const NORTH: &str = "north";
const SOUTH: &str = "south";

/// Returns the entry of a worker; even numbers are in the north hall, odd ones in the south.
fn worker_in_its_hall(number: u16) -> WorkerEntry {
    let hall = if number.is_multiple_of(2) {
        NORTH
    } else {
        SOUTH
    };
    WorkerEntry {
        hall: hall.to_owned(),
        ..worker(number)
    }
}

fn halls(names: &[&str]) -> Arc<Halls> {
    Arc::new(names.iter().map(|&name| name.to_owned()).collect())
}

/// Returns an owner whose workers are in two halls by turns.
fn bench(workers: u16) -> Bench {
    let queues = [queue("q", 0), advised_queue("advised", 0)];
    let mut cell = Cell::new(1, configuration(&queues), 1_000);
    cell.set_lanes(&[true]);
    cell.list_workers((0..workers).map(worker_in_its_hall).collect(), 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    bench.pass(0);
    bench
}

/// Returns the halls in which starts were ordered.
fn halls_of(started: &[StartOrder]) -> Halls {
    let hall = |start: &StartOrder| {
        let number = start.to.life.id[1..].parse().expect("a number");
        worker_in_its_hall(number).hall
    };
    started.iter().map(hall).collect()
}

/// Returns why the only step of a job waits.
fn waits_for(bench: &Bench, id: u64) -> Option<WaitReason> {
    let view = bench.cell.view(JobId(id), bench.now).expect("a known job");
    view.steps[0].waits_for
}

#[test]
fn tasks_start_only_in_halls_that_are_not_evacuated() {
    // Arrange
    let mut bench = bench(4);
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));
    bench.accept(&job(1, &queue("q", 0), vec![step(8, 4_000)]));

    // Act
    let started = bench.start_all();

    // Assert
    assert_eq!(halls_of(&started), *halls(&[SOUTH]));
    assert_eq!(started.len(), 8);
}

#[test]
fn runs_in_an_evacuated_hall_go_on() {
    let mut bench = bench(2);
    let lasting = Step {
        lasting: true,
        ..step(4, 4_000)
    };
    bench.accept(&job(1, &queue("q", 0), vec![step(4, 4_000)]));
    bench.accept(&job(2, &queue("q", 0), vec![lasting]));
    bench.start_all();

    bench.cell.set_evacuated_halls(&halls(&[NORTH, SOUTH]));
    bench.poll_all();
    bench.pass(50);

    assert!(stops(&bench.decide()).is_empty());
}

#[test]
fn a_task_that_fails_in_an_evacuated_hall_starts_again_elsewhere() {
    // Arrange: a lasting task on the only worker of each hall.
    let mut bench = bench(2);
    let lasting = Step {
        lasting: true,
        ..step(2, 16_000)
    };
    bench.accept(&job(1, &queue("q", 0), vec![lasting]));
    let started = bench.start_all();
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));

    // Act
    for start in &started {
        bench.end(start.task, start.number, EndKind::Failed);
    }
    bench.poll_all();
    let again = bench.start_all();

    // Assert
    assert_eq!(halls_of(&again), *halls(&[SOUTH]));
    assert_eq!(again.len(), 1);
}

#[test]
fn a_gang_waits_until_enough_halls_are_in_use() {
    let mut bench = bench(4);
    bench.cell.set_evacuated_halls(&halls(&[SOUTH]));
    let gang = Step {
        gang: true,
        ..step(4, 16_000)
    };
    bench.accept(&job(1, &queue("q", 0), vec![gang]));

    let during = bench.start_all();
    bench.cell.set_evacuated_halls(&halls(&[]));
    let after = bench.start_all();

    assert_eq!((during.len(), after.len()), (0, 4));
}

#[test]
fn no_advice_is_asked_about_workers_of_an_evacuated_hall() {
    let mut bench = bench(6);
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));
    bench.accept(&job(1, &advised_queue("advised", 0), vec![step(6, 4_000)]));

    let asked = questions(&bench.decide());

    assert_eq!(question_workers(&asked[0]), ["w1", "w3", "w5"]);
}

#[test]
fn a_ticket_from_before_the_evacuation_is_not_used() {
    // Arrange
    let mut bench = bench(2);
    bench.accept(&job(1, &advised_queue("advised", 0), vec![step(1, 4_000)]));
    let asked = questions(&bench.decide());
    let only = vec![(String::from("w0"), String::from("ticket"))];
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));

    // Act
    bench.cell.advice_answered(&asked[0], Some(only), bench.now);

    // Assert
    assert!(starts(&bench.decide()).is_empty());
}

#[test]
fn room_in_an_evacuated_hall_is_not_waited_for() {
    // Arrange: the worker in the north is free; half of the one in the south is taken by a lasting
    // task.
    let mut bench = bench(2);
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));
    let lasting = Step {
        lasting: true,
        ..step(1, 8_000)
    };
    bench.accept(&job(1, &queue("q", 0), vec![lasting]));
    bench.start_all();

    // Act: a step that needs a whole worker comes before one that fits.
    bench.accept(&job(2, &queue("q", 0), vec![step(1, 16_000)]));
    bench.accept(&job(3, &queue("q", 0), vec![step(1, 8_000)]));
    let started = bench.start_all();

    // Assert
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.step.job, JobId(3));
    assert_eq!(waits_for(&bench, 2), Some(WaitReason::Evacuated));
}

#[parameterized(
    one_by_one = { &[&[NORTH], &[NORTH, SOUTH]] },
    at_once = { &[&[NORTH, SOUTH]] },
    twice = { &[&[NORTH, SOUTH], &[NORTH, SOUTH]] },
    with_an_unknown_one = { &[&[NORTH, SOUTH, "east"]] },
)]
fn all_halls_may_be_evacuated_and_used_again(orders: &[&[&str]]) {
    // Arrange
    let mut bench = bench(4);
    bench.accept(&job(1, &queue("q", 0), vec![step(8, 4_000)]));

    // Act
    for names in orders {
        bench.cell.set_evacuated_halls(&halls(names));
    }
    let during = bench.start_all();
    let reason = waits_for(&bench, 1);
    bench.cell.set_evacuated_halls(&halls(&[]));
    let after = bench.start_all();

    // Assert
    assert_eq!((during.len(), after.len()), (0, 8));
    assert_eq!(reason, Some(WaitReason::Evacuated));
}

#[test]
fn a_successor_starts_nothing_before_it_knows_the_evacuated_halls() {
    let mut bench = bench(2);
    bench.cell.await_evacuated_halls();
    bench.accept(&job(1, &queue("q", 0), vec![step(2, 4_000)]));

    let before = bench.start_all();
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));
    let after = bench.start_all();

    assert!(before.is_empty());
    assert_eq!(halls_of(&after), *halls(&[SOUTH]));
}

#[test]
fn a_worker_that_moves_to_another_hall_counts_there() {
    let mut bench = bench(1);
    bench.cell.set_evacuated_halls(&halls(&[NORTH]));
    let moved = WorkerEntry {
        hall: SOUTH.to_owned(),
        ..worker(0)
    };
    bench.cell.list_worker(moved, bench.now);
    bench.accept(&job(1, &queue("q", 0), vec![step(1, 4_000)]));

    assert_eq!(bench.start_all().len(), 1);
}

#[test]
fn an_older_evacuation_row_changes_nothing() {
    let mut known = Evacuations::default();
    known.apply(NORTH, 7, true);

    known.apply(NORTH, 5, false);
    known.remove_unlisted(&Halls::new(), 6);

    assert_eq!(known.halls(), *halls(&[NORTH]));
}

#[test]
fn a_hall_that_is_no_longer_listed_is_used_again() {
    let mut known = Evacuations::default();
    known.apply(NORTH, 7, true);
    known.apply(SOUTH, 8, true);

    known.remove_unlisted(&halls(&[SOUTH]), 9);

    assert_eq!(known.halls(), *halls(&[SOUTH]));
}

#[test]
fn an_ended_evacuation_is_not_restored_by_an_older_list() {
    let mut known = Evacuations::default();
    known.apply(NORTH, 7, true);
    known.apply(NORTH, 9, false);

    known.remove_unlisted(&halls(&[NORTH]), 8);
    known.apply(NORTH, 7, true);

    assert_eq!(known.halls(), Halls::new());
}
