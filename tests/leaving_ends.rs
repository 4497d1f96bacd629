//! A job's end is not shown while only a worker that is about to leave keeps it.
//!
//! Ends are shown before they are recorded as soon as another node knows of them, because the
//! workers keep them for the next owner; a worker that leaves does not.  If an end on a leaving
//! worker is shown while the store is unavailable, and all nodes are lost, the worker may have left
//! before the next owner polls it: a task of a job that was shown as done then runs again.  In the run
//! that showed this, the worker had said 6 s before the end that it leaves in 10 s.

mod cell_core;

use cell_core::{Bench, job, queue, step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{EndKind, PollFailure, StartOrder};
use crossweir::cell::spec::JobId;
use crossweir::cell::worker::WorkerEntry;

/// Returns an owner of a job of two tasks, each on its own worker, and the start of the first.
/// Both runs have ended, and the owner knows only of the first end.
fn half_known_job() -> (Bench, StartOrder) {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(2, 10_000)]));
    let mut started = bench.start_all();
    let first = started.remove(0);
    let second = started.remove(0);
    bench.end(first.task, first.number, EndKind::Done);
    bench.poll_all();
    bench.end(second.task, second.number, EndKind::Done);
    (bench, first)
}

/// Lists the worker of a start as leaving in 10 s.
fn leave(bench: &mut Bench, order: &StartOrder) {
    let number = (0..2).find(|&number| bench.worker(number) == order.to.worker);
    let entry = WorkerEntry {
        leaving: Some(10_000),
        ..worker(number.expect("a worker") as u16)
    };
    bench.cell.list_worker(entry, bench.now);
}

#[test]
fn an_end_on_a_leaving_worker_is_shown_only_once_it_is_recorded() {
    // Arrange
    let (mut bench, first) = half_known_job();
    leave(&mut bench, &first);

    // Act
    bench.poll_all();
    let early = bench.cell.unrecorded_job_ends();
    bench.record();

    // Assert
    assert_eq!(early, []);
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
}

#[test]
fn an_end_on_a_silent_worker_is_not_shown_before_it_is_recorded() {
    let (mut bench, first) = half_known_job();
    bench.poll_all();
    bench
        .cell
        .poll_failed(first.to.worker, PollFailure::Unanswered, bench.now);
    assert_eq!(bench.cell.unrecorded_job_ends(), []);
}

/// Nodes keep only the ends listed in the owner's latest heartbeat.  An end that was shown and is
/// no longer listed would be forgotten by all nodes, and its tasks would run again under the next
/// owner.
#[test]
fn an_end_that_was_shown_is_sent_to_peers_until_it_is_recorded() {
    // Arrange
    let (mut bench, first) = half_known_job();
    bench.poll_all();
    let shown = bench.cell.unrecorded_job_ends();
    bench.cell.mark_ends_known_to_peer(&shown);
    assert_eq!(bench.state(1), Some(JobState::Succeeded));

    // Act
    leave(&mut bench, &first);
    let while_leaving = bench.cell.unrecorded_job_ends();
    bench
        .cell
        .poll_failed(first.to.worker, PollFailure::Unanswered, bench.now);

    // Assert
    assert_eq!(while_leaving, shown);
    assert_eq!(bench.cell.unrecorded_job_ends(), shown);
}

#[test]
fn a_leaving_worker_whose_end_is_recorded_does_not_delay_the_jobs_end() {
    // Arrange: the end that the leaving worker keeps is already recorded.
    let (mut bench, first) = half_known_job();
    bench.record();
    leave(&mut bench, &first);

    // Act
    bench.poll_all();

    // Assert
    assert_eq!(
        bench.cell.unrecorded_job_ends(),
        [(JobId(1), JobState::Succeeded)]
    );
}
