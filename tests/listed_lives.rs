//! The entry of a life that is over took the machine's new life with all its runs for over.
//!
//! How it comes about: a worker that crashes says nothing, so its entry stays in the store for
//! some heartbeats, beside that of the next life at the same address.  An owner that reads
//! all entries, when it begins or when the store has forgotten its history, met one that it
//! did not know at the address of one that it knew, took it for a newer life, and wrote off
//! the runs of the other.  They went on, and their tasks were started again elsewhere.
//!
//! Cause: the order of lives was inferred from lists, which have none.
//!
//! Proof: the tests, which fail without the repair.  Found by reading.

mod cell_core;

use cell_core::{Bench, configuration, job, queue, starts, step, worker};
use crossweir::cell::life::Life;
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey};

/// The entry of a former life of the first worker.
fn former_life() -> WorkerEntry {
    WorkerEntry {
        life: Life::of("former"),
        ..worker(0)
    }
}

/// The key of the worker with this id, if it is known.
fn key_of(bench: &mut Bench, id: &str) -> Option<WorkerKey> {
    let now = bench.now;
    let mut keys = bench.cell.worker_keys().into_iter();
    keys.find(|&key| {
        let order = bench.cell.poll_order(key, now);
        order.is_some_and(|order| order.to.life.id == id)
    })
}

#[test]
fn a_list_with_a_former_life_does_not_write_off_the_runs_of_the_present_one() {
    // Arrange: a task runs on the first of two workers.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    assert_eq!(bench.start_all().len(), 1);

    // Act: all entries are read, that of the former life among them.
    let entries = vec![worker(0), former_life(), worker(1)];
    bench.cell.list_workers(entries, bench.now);

    // Assert.
    assert!(starts(&bench.decide()).is_empty(), "it runs already");
}

#[test]
fn a_successor_that_reads_a_former_life_waits_for_the_present_one() {
    // Arrange: a former owner has used two workers; of the first there is an old entry.
    let q = queue("q", 0);
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(&q)), 1_000);
    let roster = [0, 1].map(|number| RosterEntry {
        worker: worker(number),
        jobs: None,
        long_lease: false,
        lost: None,
    });
    cell.restore_roster(roster.to_vec(), 1_000);
    let entries = vec![former_life(), worker(0), worker(1)];
    cell.list_workers(entries, 1_000);
    let row = job(1, &q, vec![step(1, 1_000)]);
    cell.accept(&row, None, true, 1_000);
    let mut bench = Bench::with(cell, 1_000);

    // Act: the second worker answers, the first does not yet.
    bench.pass(10);
    let second = key_of(&mut bench, "w1").expect("it is listed");
    bench.poll(second);
    bench.pass(10);

    // Assert: the first may run the task.
    assert!(starts(&bench.decide()).is_empty(), "not settled yet");
}
