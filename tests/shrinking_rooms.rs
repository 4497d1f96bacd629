//! The capacity of a worker may shrink and grow again while tasks run on it.
//!
//! A worker of 16 cores uses 12 and shrinks to 8, so that its runs hold more than its capacity; the
//! difference must never count as room.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step, stops, worker};
use crossweir::cell::order::EndKind;
use crossweir::cell::worker::WorkerEntry;

/// Returns the entry of the first worker with a capacity of this many cores.
fn with_cores(cores: u64) -> WorkerEntry {
    let mut entry = worker(0);
    entry.capacity.millicores = cores * 1_000;
    entry
}

/// Returns an owner whose only worker runs twelve tasks of one core each and has shrunk to 8 cores;
/// another twelve tasks wait.
fn busy_worker() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(12, 1_000)]));
    assert_eq!(bench.start_all().len(), 12);
    bench.poll_all();
    bench.cell.list_worker(with_cores(8), bench.now);
    bench.accept(&job(8, &q, vec![step(12, 1_000)]));
    bench
}

/// Ends `count` runs successfully.
fn end_some(bench: &mut Bench, count: usize) {
    let key = bench.worker(0);
    let runs: Vec<_> = bench.running[&key].iter().copied().take(count).collect();
    for (task, number) in runs {
        bench.end(task, number, EndKind::Done);
    }
    bench.poll_all();
}

#[test]
fn a_worker_that_holds_more_than_it_has_gets_nothing_until_there_is_room() {
    // Arrange.
    let mut bench = busy_worker();

    // Act: the twelve tasks end four by four.
    let mut started = vec![starts(&bench.decide()).len()];
    for _ in 0..2 {
        end_some(&mut bench, 4);
        started.push(bench.start_all().len());
    }

    // Assert: 12, 8 and 4 of 8 cores are held.
    assert_eq!(started, [0, 0, 4]);
}

#[test]
fn runs_that_are_being_stopped_still_hold_their_room() {
    // Arrange: all runs are cancelled and stops are ordered, but no end is listed yet.
    let mut bench = busy_worker();
    bench.cell.cancel(crossweir::cell::spec::JobId(7));
    bench.record();
    let stopped = stops(&bench.decide()).len();

    // Act.
    bench.poll_all();
    let before = starts(&bench.decide()).len();
    end_some(&mut bench, 12);
    let after = starts(&bench.decide()).len();

    // Assert.
    assert_eq!((stopped, before, after), (12, 0, 8));
}

#[test]
fn capacity_that_grows_again_is_used() {
    // Arrange.
    let mut bench = busy_worker();
    let before = starts(&bench.decide()).len();

    // Act.
    bench.cell.list_worker(with_cores(16), bench.now);
    let after = starts(&bench.decide()).len();

    // Assert.
    assert_eq!((before, after), (0, 4));
}
