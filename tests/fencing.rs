//! Runs that a former owner had started were written off while their lease still ran.
//!
//! How it comes about: a successor takes over a worker's runs with its first look.  Before its
//! second look, which renews the lease, a start on that worker brings no answer, so the worker
//! counts as silent and its lease is not renewed.  Then the runs were written off as soon as
//! the lease of that one start was over, up to a second before the lease that the former
//! owner gave; their tasks ran twice.
//!
//! Cause: the owner counted only the leases that it had given itself.
//!
//! Proof: the test below.  It was found by reading; no day of our own showed it.

mod cell_core;

use cell_core::{Bench, configuration, job, queue, starts, step, worker};
use crossweir::cell::Cell;
use crossweir::cell::order::{PollReport, RunningEntry, StartOutcome};
use crossweir::cell::spec::JobId;
use crossweir::cell::tuning;
use crossweir::clock::Millis;

/// A successor that has taken over a run of job 7 on its first worker with its first look, at
/// the time that is returned, and then finds that worker silent; another worker is free.
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
    let look = PollReport {
        born: None,
        clock: bench.now,
        running: vec![entry],
        ended: Vec::new(),
    };
    bench.poll_with_report(silent, &look);
    bench.poll(other);
    let heard = bench.now;
    bench.pass(10);
    bench.accept(&job(8, &q, vec![step(1, 1_000)]));
    let started = starts(&bench.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(
        started[0].to.worker, silent,
        "it goes where least room is left"
    );
    bench.now += 250;
    let now = bench.now;
    bench
        .cell
        .start_answered(started[0].run, StartOutcome::Unanswered, None, now);
    (bench, heard)
}

#[test]
fn a_run_that_was_taken_over_keeps_the_lease_that_the_former_owner_gave() {
    // Arrange.
    let (mut bench, heard) = successor_with_a_silent_worker();

    // Act: the other worker goes on to answer until the former owner's lease may end.
    let mut started = Vec::new();
    while bench.now + 100 < heard + tuning::LEASE {
        bench.pass(100);
        let other = bench.worker(1);
        bench.poll(other);
        started.extend(starts(&bench.decide()));
        started.retain(|start| start.task.step.job == JobId(7));
    }

    // Assert.
    assert!(started.is_empty(), "it may still run: {started:?}");
}
