//! An end is not shown while only a worker that is about to go knows of it.
//!
//! Seen: on a day without a store for some seconds a job was shown as done, all nodes were lost, and one of
//! its tasks ran again.  How it came about: the end lay on a worker that had said 6 s before that it leaves in
//! 10 s; it left before the next owner asked.  Cause: ends are shown before they are recorded as soon as another
//! node knows of them, since the workers keep them; a worker that leaves does not.

mod cell_core;

use cell_core::{Bench, job, queue, step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{EndKind, PollFailure, StartOrder};
use crossweir::cell::spec::JobId;
use crossweir::cell::worker::WorkerEntry;

/// A job of two tasks, each on a worker of its own, of which the first has ended.
fn half_done() -> (Bench, StartOrder) {
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

/// The worker says that it leaves in 10 s.
fn leave(bench: &mut Bench, order: &StartOrder) {
    let place = (0..2).find(|&number| bench.worker(number) == order.to.worker);
    let entry = WorkerEntry {
        leaving: Some(10_000),
        ..worker(place.expect("a worker") as u16)
    };
    bench.cell.list_worker(entry, bench.now);
}

#[test]
fn an_end_that_a_leaving_worker_keeps_is_told_once_it_is_recorded() {
    // Arrange
    let (mut bench, first) = half_done();
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
fn an_end_on_a_worker_that_is_silent_is_not_told_early() {
    let (mut bench, first) = half_done();
    bench.poll_all();
    bench
        .cell
        .poll_failed(first.to.worker, PollFailure::Unanswered, bench.now);
    assert_eq!(bench.cell.unrecorded_job_ends(), []);
}

/// Nodes keep only the ends that the owner's newest heartbeat names: one that was shown and is named no more is
/// forgotten by all, and its tasks run again under the next owner.
#[test]
fn an_end_that_was_shown_is_told_until_it_is_recorded() {
    // Arrange
    let (mut bench, first) = half_done();
    bench.poll_all();
    let shown = bench.cell.unrecorded_job_ends();
    bench.cell.mark_ends_known_to_peer(&shown);
    assert_eq!(bench.state(1), Some(JobState::Succeeded));

    // Act
    leave(&mut bench, &first);
    let while_it_leaves = bench.cell.unrecorded_job_ends();
    bench
        .cell
        .poll_failed(first.to.worker, PollFailure::Unanswered, bench.now);

    // Assert
    assert_eq!(while_it_leaves, shown);
    assert_eq!(bench.cell.unrecorded_job_ends(), shown);
}

#[test]
fn an_end_that_is_recorded_in_part_waits_only_for_the_rest() {
    // Arrange: what the leaving worker keeps is recorded already.
    let (mut bench, first) = half_done();
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
