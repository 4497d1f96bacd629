//! Entries of former lives in a list of all workers.
//!
//! Guards against runs that are written off while they go on, so that their tasks are started again
//! elsewhere.  A worker that crashes does not remove its entry, so the entry stays in the store for
//! some heartbeats, beside that of the next life at the same address.  An owner reads all entries
//! when it begins and when the store has dropped its history of changes.  Where it found an unknown
//! life at the address of a known one, it took the unknown one for newer and wrote off the runs of
//! the other.  The cause was that the order of lives was inferred from the order of a list, which
//! says nothing about it.

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

    // Act: all entries are read, among them that of the former life.
    let entries = vec![worker(0), former_life(), worker(1)];
    bench.cell.list_workers(entries, bench.now);

    // Assert.
    assert!(starts(&bench.decide()).is_empty(), "the task runs already");
}

#[test]
fn a_successor_that_reads_a_former_life_waits_for_the_present_one() {
    // Arrange: a former owner has used two workers; the list also has an outdated entry at the
    // address of the first one.
    let q = queue("q", 0);
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(&q)), 1_000);
    let roster = [0, 1].map(|number| RosterEntry {
        worker: worker(number),
        jobs: None,
        long_lease: Some(false),
        lost: None,
    });
    cell.restore_roster(roster.to_vec(), 1_000);
    let entries = vec![former_life(), worker(0), worker(1)];
    cell.list_workers(entries, 1_000);
    let row = job(1, &q, vec![step(1, 1_000)]);
    cell.accept(&row, None, true, 1_000);
    let mut bench = Bench::with(cell, 1_000);

    // Act: the second worker answers, the first one not yet.
    bench.pass(10);
    let second = key_of(&mut bench, "w1").expect("it is listed");
    bench.poll(second);
    bench.pass(10);

    // Assert: the first worker may run the task.
    assert!(
        starts(&bench.decide()).is_empty(),
        "the job is not settled yet"
    );
}
