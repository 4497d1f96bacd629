//! Tasks that have ended are not started again while some jobs cannot be read.
//!
//! Guards against double starts after all nodes stopped at once while some partitions of the store
//! were unavailable: half a second after the next owner's claim, tasks whose runs had ended well
//! were started again, and these runs were stopped once the partitions were back.
//!
//! How it comes about: the owner cannot read some jobs.  A worker lists the end of a run of such a
//! job, and behind it ends of known jobs.  If the owner accepts none of them, so that the worker
//! does not forget the first, it finds the runs of the others no longer listed as running and
//! starts their tasks again.  Whether an end may be forgotten by its worker and whether it is known
//! to the owner are two separate things.
//!
//! Two related faults: a worker was removed from the roster, or was recorded with only the jobs of
//! its runs, while ends that it listed were not recorded, so the next successor did not wait for
//! it.  And a job that was submitted again before its first row was read was taken for new, though
//! its tasks might be running.
//!
//! docs/incidents/ has figures of runs in which all nodes lose power while four in ten partitions
//! are unavailable.

mod cell_core;

use cell_core::{Bench, job, listed_end, listed_run, queue, starts, step};
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{EndEntry, EndKind, PollFailure, RunningEntry};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::tuning;

/// Returns a list entry of a run that ended well.
fn done(end_number: u64, task: &str, number: u64) -> EndEntry {
    listed_end(end_number, task, number, EndKind::Done)
}

/// Polls the first worker, which lists these runs and ends.
fn poll_first(bench: &mut Bench, running: Vec<RunningEntry>, ended: Vec<EndEntry>) {
    let worker = bench.worker(0);
    bench.poll_with_lists(worker, running, ended);
}

/// Returns an owner with two workers that knows job 7 and could not read other jobs.
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
fn an_end_listed_behind_one_of_an_unread_job_counts() {
    // Arrange.
    let mut bench = owner_with_unread_jobs();

    // Act: the worker has ended a task of an unread job, then one of a known job.
    poll_first(
        &mut bench,
        Vec::new(),
        vec![done(1, UNREAD, 5), done(2, KNOWN, 6)],
    );
    let started = starts(&bench.decide());

    // Assert.
    assert!(started.is_empty(), "its task is done: {started:?}");
}

#[test]
fn a_run_that_ends_behind_an_end_of_an_unread_job_is_not_started_again() {
    // Arrange: the run is taken over while an end waits for its job to be read.
    let mut bench = owner_with_unread_jobs();
    poll_first(
        &mut bench,
        vec![listed_run(KNOWN, 6)],
        vec![done(1, UNREAD, 5)],
    );
    assert_eq!(bench.cell.counts().adopted, 1);

    // Act: it ends.
    poll_first(
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
fn a_job_submitted_again_before_it_was_read_waits_for_its_runs() {
    // Arrange: a worker runs a task of a job that could not be read.
    let mut bench = owner_with_unread_jobs();
    poll_first(
        &mut bench,
        vec![listed_run(KNOWN, 6), listed_run(UNREAD, 5)],
        Vec::new(),
    );

    // Act: its caller submits it again, and the worker is polled only afterwards.
    let row = job(8, &queue("q", 0), vec![step(1, 1_000)]);
    bench.accept(&row);
    let before = starts(&bench.decide());
    poll_first(
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

/// Returns an owner with two workers, on the first of which job 7 has ended; the end is not
/// recorded.
fn owner_with_an_unrecorded_end() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    bench.end(start.task, start.number, EndKind::Done);
    bench.poll_all();
    bench
}

/// Returns the roster entry of the first worker.
fn roster_entry(bench: &Bench) -> Option<RosterEntry> {
    let (_, entries) = bench.cell.roster();
    entries
        .into_iter()
        .find(|entry| entry.worker.life.id == "w0")
}

#[test]
fn a_silent_worker_is_recorded_with_named_jobs_only_when_its_ends_are_recorded() {
    // Arrange.
    let mut bench = owner_with_an_unrecorded_end();
    let worker = bench.worker(0);

    // Act.
    bench
        .cell
        .poll_failed(worker, PollFailure::Unanswered, bench.now);
    bench.pass(tuning::NAME_JOBS_AFTER + 10);
    let before = roster_entry(&bench);
    bench.record();
    bench.pass(10);
    let after = roster_entry(&bench);

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
    let before = roster_entry(&bench);
    bench.record();
    bench.pass(10);
    let after = roster_entry(&bench);

    // Assert.
    assert!(before.is_some(), "a successor must poll it");
    assert_eq!(after, None);
}

#[test]
fn a_run_in_neither_list_is_not_started_again_while_the_list_of_ends_is_full() {
    // Arrange: a run goes on.
    let mut bench = owner_with_unread_jobs();
    poll_first(&mut bench, vec![listed_run(KNOWN, 6)], Vec::new());

    // Act: the run is in neither list, but there may be more ends than are listed.
    let full = (1..=tuning::MAX_ENDS_LISTED as u64).map(|number| done(number, UNREAD, number));
    let full: Vec<EndEntry> = full.collect();
    poll_first(&mut bench, Vec::new(), full);
    let started = starts(&bench.decide());

    // Assert.
    assert!(started.is_empty(), "it may have ended well: {started:?}");
}

#[test]
fn a_job_does_not_wait_for_a_worker_whose_lease_has_ended() {
    // Arrange: the only worker that lists an end of a job falls silent before the job is read.
    let mut bench = owner_with_unread_jobs();
    poll_first(&mut bench, Vec::new(), vec![done(1, UNREAD, 5)]);
    let row = job(8, &queue("q", 0), vec![step(1, 1_000)]);
    bench.cell.accept(&row, None, true, bench.now);
    let silent = bench.worker(0);
    bench
        .cell
        .poll_failed(silent, PollFailure::Unanswered, bench.now);

    // Act.
    let other = bench.worker(1);
    bench.poll(other);
    let starts_job = |bench: &mut Bench| {
        let orders = starts(&bench.decide());
        orders.iter().any(|order| order.task.step.job == row.id)
    };
    let before = starts_job(&mut bench);
    bench.pass(2 * tuning::LEASE);
    bench.poll(other);
    let after = starts_job(&mut bench);

    // Assert.
    assert!(!before, "its end may still be reported");
    assert!(after, "no run can still go on there");
}
