//! Tasks that had ended were started again while some jobs could not be read.
//!
//! Seen: all nodes stopped at once while some partitions of the store were away.  Tasks whose
//! runs had ended well were started again half a second after the next owner had claimed
//! the cell, and the second runs were stopped when the partitions were back.
//!
//! How it came about: the owner could not read some jobs.  A worker listed the end of a run
//! of such a job, and behind it ends of jobs that the owner did know.  To keep the first from
//! being forgotten the owner took in none of them.  The others' runs were not listed as running
//! any more, so it took their tasks for not running and started them again.
//!
//! Cause: "this end must not be forgotten yet" and "this end is not known yet" were one thing.  The
//! same held for a job that was handed in again before its first row was read: it was taken for
//! new, though its tasks might run.
//!
//! Proof: the tests below, and days on the users' bench on which all nodes lose power while four
//! in ten partitions are away; docs/incidents/ has the figures.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{EndEntry, EndKind, Look, RunningEntry};

/// An end that a worker lists.
fn done(place: u64, task: &str, number: u64) -> EndEntry {
    EndEntry {
        place,
        task: task.parse().expect("a task"),
        number,
        how: EndKind::Done,
        saved: String::new(),
    }
}

/// A run that a worker lists.
fn running(task: &str, number: u64) -> RunningEntry {
    RunningEntry {
        task: task.parse().expect("a task"),
        number,
        saved: String::new(),
        percent: 10,
        figure: None,
    }
}

fn look(bench: &mut Bench, running: Vec<RunningEntry>, ended: Vec<EndEntry>) {
    bench.now += 10;
    let look = Look {
        clock: bench.now,
        running,
        ended,
    };
    let worker = bench.worker(0);
    bench.hear(worker, &look);
}

/// An owner that knows job 7 and could not read others, with two workers.
fn owner_with_unread_jobs() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_incomplete(true);
    let row = job(7, &q, vec![step(1, 1_000)]);
    bench.cell.accept(&row, None, true, bench.now);
    bench
}

const KNOWN: &str = "0000000000000007.0.0.0";
const UNREAD: &str = "0000000000000008.0.0.0";

#[test]
fn an_end_behind_one_that_waits_for_its_job_counts() {
    // Arrange.
    let mut bench = owner_with_unread_jobs();

    // Act: the worker has ended a task of a job that is not read, then one that is known.
    look(
        &mut bench,
        Vec::new(),
        vec![done(1, UNREAD, 5), done(2, KNOWN, 6)],
    );
    let started = starts(&bench.decide());

    // Assert.
    assert!(started.is_empty(), "its task is done: {started:?}");
}

#[test]
fn a_run_that_ends_behind_an_end_that_waits_is_not_started_again() {
    // Arrange: the run is taken over while an end waits for its job.
    let mut bench = owner_with_unread_jobs();
    look(
        &mut bench,
        vec![running(KNOWN, 6)],
        vec![done(1, UNREAD, 5)],
    );
    assert_eq!(bench.cell.counts().adopted, 1);

    // Act: it ends.
    look(
        &mut bench,
        Vec::new(),
        vec![done(1, UNREAD, 5), done(2, KNOWN, 6)],
    );
    let started = starts(&bench.decide());
    bench.record();
    let worker = bench.worker(0);
    let forgotten = bench.cell.look_order(worker, bench.now).map(|o| o.forget);

    // Assert.
    assert!(started.is_empty(), "its task is done: {started:?}");
    assert_eq!(forgotten, Some(0), "the first end still waits");
}

#[test]
fn a_job_that_is_handed_in_again_before_it_was_read_waits_for_its_runs() {
    // Arrange: a worker runs a task of a job that could not be read.
    let mut bench = owner_with_unread_jobs();
    look(
        &mut bench,
        vec![running(KNOWN, 6), running(UNREAD, 5)],
        Vec::new(),
    );

    // Act: its caller hands it in again, and only then the worker is looked at.
    let row = job(8, &queue("q", 0), vec![step(1, 1_000)]);
    bench.accept(&row);
    let before = starts(&bench.decide());
    look(
        &mut bench,
        vec![running(KNOWN, 6), running(UNREAD, 5)],
        Vec::new(),
    );
    let after = starts(&bench.decide());

    // Assert.
    assert!(before.is_empty(), "it may run: {before:?}");
    assert!(after.is_empty(), "it does run: {after:?}");
    assert_eq!(bench.cell.counts().adopted, 2);
    let task: TaskName = UNREAD.parse().expect("a task");
    assert_eq!(task.step.job, row.id);
}
