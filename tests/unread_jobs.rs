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
//! Elsewhere the same: a worker left the roster, or was listed with the jobs of its runs alone,
//! while ends that it listed were not recorded; the next successor did not wait for it.
//!
//! Cause: "this end must not be forgotten yet" and "this end is not known yet" were one thing.  The
//! same held for a job that was handed in again before its first row was read: it was taken for
//! new, though its tasks might run.
//!
//! Proof: the tests below, and days of our own on which all nodes lose power while four
//! in ten partitions are away; docs/incidents/ has the figures.

mod cell_core;

use cell_core::{Bench, job, listed_end, listed_run, queue, starts, step};
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{EndEntry, EndKind, PollFailure, RunningEntry};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::tuning;

/// A good end that a worker lists.
fn done(place: u64, task: &str, number: u64) -> EndEntry {
    listed_end(place, task, number, EndKind::Done)
}

/// The first worker lists this.
fn look(bench: &mut Bench, running: Vec<RunningEntry>, ended: Vec<EndEntry>) {
    let worker = bench.worker(0);
    bench.poll_with_lists(worker, running, ended);
}

/// An owner that knows job 7 and could not read others, with two workers.
fn owner_with_unread_jobs() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_has_unread_jobs(true);
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
        vec![listed_run(KNOWN, 6)],
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
    let forgotten = bench.cell.poll_order(worker, bench.now).map(|o| o.forget);

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
        vec![listed_run(KNOWN, 6), listed_run(UNREAD, 5)],
        Vec::new(),
    );

    // Act: its caller hands it in again, and only then the worker is looked at.
    let row = job(8, &queue("q", 0), vec![step(1, 1_000)]);
    bench.accept(&row);
    let before = starts(&bench.decide());
    look(
        &mut bench,
        vec![listed_run(KNOWN, 6), listed_run(UNREAD, 5)],
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

/// An owner with one worker on which job 7 has ended, which is not recorded.
fn owner_with_an_unrecorded_end() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    bench.end(start.task, start.number, EndKind::Done);
    bench.poll_all();
    bench
}

/// The roster's entry of the first worker.
fn entry(bench: &Bench) -> Option<RosterEntry> {
    let (_, entries) = bench.cell.roster();
    entries
        .into_iter()
        .find(|entry| entry.worker.life.id == "w0")
}

#[test]
fn a_silent_worker_is_listed_with_named_jobs_only_when_its_ends_are_recorded() {
    // Arrange.
    let mut bench = owner_with_an_unrecorded_end();
    let worker = bench.worker(0);

    // Act.
    bench
        .cell
        .poll_failed(worker, PollFailure::Unanswered, bench.now);
    bench.pass(tuning::NAME_JOBS_AFTER + 10);
    let before = entry(&bench);
    bench.record();
    bench.pass(10);
    let after = entry(&bench);

    // Assert.
    assert_eq!(before.map(|entry| entry.jobs), Some(None), "any job");
    assert_eq!(after.map(|entry| entry.jobs), Some(Some(Vec::new())));
}

#[test]
fn a_leaving_worker_stays_on_the_roster_until_its_ends_are_recorded() {
    // Arrange.
    let mut bench = owner_with_an_unrecorded_end();

    // Act.
    let mut leaving = cell_core::worker(0);
    leaving.leaving = Some(2_000);
    bench.cell.list_worker(leaving, bench.now);
    bench.pass(10);
    let before = entry(&bench);
    bench.record();
    bench.pass(10);
    let after = entry(&bench);

    // Assert.
    assert!(before.is_some(), "a successor must ask it");
    assert_eq!(after, None);
}

#[test]
fn a_run_may_have_ended_beyond_a_list_of_ends_that_is_full() {
    // Arrange: a run goes on.
    let mut bench = owner_with_unread_jobs();
    look(&mut bench, vec![listed_run(KNOWN, 6)], Vec::new());

    // Act: it is in neither list, but there may be more ends than are listed.
    let full = (1..=tuning::MAX_ENDS_LISTED as u64).map(|place| done(place, UNREAD, place));
    let full: Vec<EndEntry> = full.collect();
    look(&mut bench, Vec::new(), full);
    let started = starts(&bench.decide());

    // Assert.
    assert!(started.is_empty(), "it may have ended well: {started:?}");
}

#[test]
fn a_job_does_not_wait_for_a_worker_whose_lease_is_over() {
    // Arrange: the only worker that lists work of a job falls silent before the job is read.
    let mut bench = owner_with_unread_jobs();
    look(&mut bench, Vec::new(), vec![done(1, UNREAD, 5)]);
    let row = job(8, &queue("q", 0), vec![step(1, 1_000)]);
    bench.cell.accept(&row, None, true, bench.now);
    let silent = bench.worker(0);
    bench
        .cell
        .poll_failed(silent, PollFailure::Unanswered, bench.now);

    // Act.
    let other = bench.worker(1);
    bench.poll(other);
    let of_job = |bench: &mut Bench| {
        let orders = starts(&bench.decide());
        orders.iter().any(|order| order.task.step.job == row.id)
    };
    let before = of_job(&mut bench);
    bench.pass(2 * tuning::LEASE);
    bench.poll(other);
    let after = of_job(&mut bench);

    // Assert.
    assert!(!before, "its end may come yet");
    assert!(after, "what ran there is over");
}
