//! Leases that run out by the clock of an owner that has not yet processed what has arrived.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::order::{EndKind, PollFailure};
use crossweir::cell::{WorkerKey, tuning};

/// A core whose only run has ended well on a worker that has been silent for longer than its lease,
/// since one poll was lost, and another worker.
fn silent_worker_with_an_end() -> (Bench, WorkerKey) {
    let queue = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&queue));
    bench.accept(&job(1, &queue, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    bench.pass(2 * tuning::PROVEN_AFTER);
    bench.poll_all();
    bench.end(start.task, start.number, EndKind::Done);
    let worker = start.to.worker;
    let lost = bench.cell.poll_order(worker, bench.now);
    assert!(lost.is_some(), "the worker is known");
    bench
        .cell
        .poll_failed(worker, PollFailure::Unanswered, bench.now);
    bench.now += 2 * tuning::MAX_LEASE;
    let mut workers = (0..2).map(|number| bench.worker(number));
    let other = workers.find(|&key| key != worker);
    (bench, other.expect("another worker"))
}

/// Guards against a task that runs twice: the lease of a worker was taken as over while its answer
/// lay unread in the socket, and the task was started again after its end.
#[test]
fn a_lease_does_not_run_out_before_what_has_arrived_is_processed() {
    // Arrange: an answer of the worker has arrived since, and is not processed.
    let (mut bench, other) = silent_worker_with_an_end();
    let read_until = bench.now - 2 * tuning::MAX_LEASE;
    assert!(bench.cell.has_lapsing_runs(bench.now));

    // Act: the owner looks at the leases, and then reads the answer.
    bench.cell.set_heard_until(read_until);
    bench.poll(other);
    bench.pass(0);
    let restarted = starts(&bench.decide());
    bench.poll_all();

    // Assert.
    assert!(restarted.is_empty(), "{restarted:?}");
    assert!(starts(&bench.decide()).is_empty());
    assert_eq!(bench.cell.counts().lapsed, 0);
}

/// A worker that is lost must not keep its tasks for ever.
#[test]
fn a_lease_runs_out_once_everything_that_arrived_is_processed() {
    // Arrange.
    let (mut bench, other) = silent_worker_with_an_end();

    // Act.
    bench.cell.set_heard_until(bench.now);
    bench.poll(other);
    bench.pass(0);

    // Assert.
    assert_eq!(bench.cell.counts().lapsed, 1);
    assert_eq!(starts(&bench.decide()).len(), 1);
}
