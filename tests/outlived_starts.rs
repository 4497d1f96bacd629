//! Starts after which the worker was still alive count for nothing in a later crash.
//!
//! Guards against a job that is given up although only one crash speaks against it.  On a day with
//! two network cuts, behind which workers restarted, and with orders that were carried out late, a
//! job failed of which one task had lost two workers to the cuts.  The second start was not
//! answered.  A poll was answered 0.6 s after that start had been given up, without the run, and
//! another life answered at the address 0.5 s later.  That poll had been sent before the start was
//! given up and had waited at the worker for an end, so by the order of calls its answer did not
//! show that the worker had outlived the start.  The worker's clock in the answer does show it.  In
//! the owner's log `heard_ms_ago` of the lost worker is 544, while its start had been given up
//! 1,115 ms before.
//!
//! One task and two workers reproduce it.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{PollFailure, PollReport, Refusal, StartOrder, StartOutcome};
use crossweir::clock::Millis;

/// How long an owner waits for the answer to a start.
const ORDER_TIMEOUT: Millis = 250;
/// How long the worker holds a poll open for a run to end.
const POLL_HELD_FOR: Millis = 600;

/// Returns the next start, which goes to a worker that has just been heard and is not answered.
fn unanswered_start(bench: &mut Bench) -> StartOrder {
    let order = starts(&bench.decide()).remove(0);
    bench.pass(ORDER_TIMEOUT);
    let lost = StartOutcome::Unanswered;
    bench.cell.start_answered(order.run, lost, None, bench.now);
    order
}

/// Loses the worker of a start: another life answers at its address.
fn lose_worker_of(bench: &mut Bench, order: &StartOrder) {
    let gone = PollFailure::Refused(Refusal::Gone);
    bench.cell.poll_failed(order.to.worker, gone, bench.now);
    bench.pass(10);
}

#[test]
fn a_start_that_its_worker_has_outlived_does_not_count_as_a_crash() {
    // Arrange: the first worker is lost just after a start.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let first = unanswered_start(&mut bench);
    lose_worker_of(&mut bench, &first);
    let other = bench.worker(usize::from(first.to.worker == bench.worker(0)));
    bench.now += 10;
    bench.poll(other);

    // Act: the second worker answers a held poll long after its start, and is lost after that.
    let held = bench.cell.poll_order(other, bench.now);
    let held = held.expect("it is there");
    let second = unanswered_start(&mut bench);
    assert_eq!(second.to.worker, other);
    bench.pass(POLL_HELD_FOR);
    let report = PollReport {
        clock: bench.now,
        ..PollReport::default()
    };
    bench.cell.poll_answered(&held, &report, bench.now);
    lose_worker_of(&mut bench, &second);
    bench.record();

    // Assert
    assert_ne!(bench.state(1), Some(JobState::Failed));
}
