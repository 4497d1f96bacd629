//! How often a stop is repeated that its worker does not confirm.

mod cell_core;

use cell_core::{Bench, job, queue, step, stops};
use crossweir::cell::WorkerKey;
use crossweir::cell::order::PollFailure;
use crossweir::cell::spec::JobId;
use crossweir::cell::tuning;
use crossweir::clock::Millis;

/// A core whose cancelled job runs on one worker, which has not confirmed the first stop.
fn cancelled_job() -> (Bench, WorkerKey) {
    let queue = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&queue));
    bench.accept(&job(1, &queue, vec![step(1, 1_000)]));
    bench.start_all();
    bench.poll_all();
    bench.cell.cancel(JobId(1));
    bench.record();
    assert_eq!(stops(&bench.decide()).len(), 1, "the first stop");
    let worker = bench.worker(0);
    (bench, worker)
}

/// Counts the stops that are sent within `time`, in steps of 50 ms.
fn stops_within(bench: &mut Bench, time: Millis) -> usize {
    let mut count = 0;
    for _ in 0..time / 50 {
        bench.pass(50);
        count += stops(&bench.cell.take_orders()).len();
    }
    count
}

fn fall_silent(bench: &mut Bench, worker: WorkerKey) {
    let now = bench.now;
    bench.cell.poll_failed(worker, PollFailure::Unanswered, now);
}

/// Guards against tasks of a cancelled job that run on because one stop was lost.
#[test]
fn the_first_repeat_comes_at_once_whether_the_worker_answers_or_not() {
    for is_silent in [false, true] {
        // Arrange.
        let (mut bench, worker) = cancelled_job();
        if is_silent {
            fall_silent(&mut bench, worker);
        }

        // Act.
        let repeated = stops_within(&mut bench, tuning::STOP_RETRY);

        // Assert.
        assert_eq!(repeated, 1, "silent: {is_silent}");
    }
}

/// Guards against a link that is full of stops: each was repeated every 300 ms, to hundreds of workers
/// that did not answer.
#[test]
fn stops_on_a_silent_worker_become_rare() {
    // Arrange.
    let (mut bench, worker) = cancelled_job();
    fall_silent(&mut bench, worker);

    // Act.
    let repeated = stops_within(&mut bench, 10 * tuning::STOP_RETRY);

    // Assert: after 300 ms, and after pauses of 600 and 1,200 ms.
    assert_eq!(repeated, 3);
}

#[test]
fn a_stop_is_repeated_at_once_when_a_silent_worker_answers_and_still_lists_the_run() {
    // Arrange.
    let (mut bench, worker) = cancelled_job();
    fall_silent(&mut bench, worker);
    stops_within(&mut bench, 3 * tuning::STOP_RETRY);
    bench.pass(tuning::STOP_RETRY);
    assert_eq!(stops(&bench.cell.take_orders()).len(), 0);

    // Act.
    bench.poll_all();
    bench.pass(1);

    // Assert.
    assert_eq!(stops(&bench.cell.take_orders()).len(), 1);
}

#[test]
fn stops_on_a_worker_that_answers_stay_quick() {
    // Arrange.
    let (mut bench, _) = cancelled_job();
    let mut repeated = 0;

    // Act.
    for _ in 0..5 {
        bench.pass(tuning::STOP_RETRY);
        repeated += stops(&bench.cell.take_orders()).len();
        bench.poll_all();
    }

    // Assert.
    assert_eq!(repeated, 5);
}
