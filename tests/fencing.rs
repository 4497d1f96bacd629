//! Runs that a former owner started are not given up while its lease lasts.
//!
//! Guards against an owner that counts only the leases it has granted itself, so that tasks run
//! twice.  A successor takes over a worker's runs with its first poll.  Before its second poll,
//! which renews the lease, a start on that worker stays unanswered, so the worker counts as silent
//! and its lease is not renewed.  The runs must not be given up when the lease of that one start
//! ends, which is up to a second before the end of the lease that the former owner granted.

mod cell_core;

use cell_core::{Bench, configuration, job, queue, starts, step, worker};
use crossweir::cell::Cell;
use crossweir::cell::order::{PollReport, RunningEntry, StartOutcome};
use crossweir::cell::spec::JobId;
use crossweir::cell::tuning;
use crossweir::clock::Millis;

/// Returns a successor that has taken over a run of job 7 on its first worker with its first poll,
/// and then finds that worker silent; another worker is free.  Also returns the time of that poll.
fn successor_with_a_silent_worker() -> (Bench, Millis) {
    let q = queue("q", 0);
    let now = 1_000;
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(&q)), now);
    cell.list_workers((0..2).map(worker).collect(), now);
    cell.accept(&job(7, &q, vec![step(1, 1_000)]), None, true, now);
    let mut bench = Bench::with(cell, now);
    let (silent, other) = (bench.worker(0), bench.worker(1));
    let entry = RunningEntry {
        task: "0000000000000007.0.0.0".parse().expect("a task"),
        number: 5,
        checkpoint: String::new(),
        percent: 10,
        measurement: None,
    };
    let report = PollReport {
        born: None,
        clock: bench.now,
        running: vec![entry],
        ended: Vec::new(),
    };
    bench.poll_with_report(silent, &report);
    bench.poll(other);
    let polled_at = bench.now;
    bench.pass(10);
    bench.accept(&job(8, &q, vec![step(1, 1_000)]));
    let started = starts(&bench.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(
        started[0].to.worker, silent,
        "it is placed where the least room is left"
    );
    bench.now += 250;
    let now = bench.now;
    bench
        .cell
        .start_answered(started[0].run, StartOutcome::Unanswered, None, now);
    (bench, polled_at)
}

#[test]
fn a_run_that_was_taken_over_keeps_the_former_owners_lease() {
    // Arrange.
    let (mut bench, polled_at) = successor_with_a_silent_worker();

    // Act: the other worker goes on answering until the former owner's lease may end.
    let mut started = Vec::new();
    while bench.now + 100 < polled_at + tuning::LEASE {
        bench.pass(100);
        let other = bench.worker(1);
        bench.poll(other);
        started.extend(starts(&bench.decide()));
        started.retain(|start| start.task.step.job == JobId(7));
    }

    // Assert.
    assert!(started.is_empty(), "it may still run: {started:?}");
}
