//! The runs of a cancelled job are stopped.
//!
//! Guards against two ways in which runs go on after the cancellation was acknowledged (two
//! lasting tasks did so for 45 s, until their lease ran out):
//!
//! - An owner ends after a cancellation is recorded and before the workers have confirmed the
//!   stops.  Its successor cannot read some partitions of jobs: it reads the job's end but not its
//!   row.  It must not take the runs for those of a job that may yet be read, which it would leave
//!   running, with renewed leases, for as long as there are unread jobs.
//! - A worker lists a run as running although it has confirmed the run's stop.  What it lists
//!   later counts more than the confirmation, so the run is stopped again.

mod cell_core;

use cell_core::{Bench, job, listed_run, queue, step, stops};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{RunningEntry, StopOrder};
use crossweir::cell::record::JobProgress;
use crossweir::cell::spec::JobId;

const TASK: &str = "0000000000000007.0.0.0";

/// Returns the stops ordered after a poll in which the first worker lists these runs.
fn stops_after_poll(bench: &mut Bench, running: Vec<RunningEntry>) -> Vec<StopOrder> {
    let worker = bench.worker(0);
    bench.poll_with_lists(worker, running, Vec::new());
    cell_core::tick(&mut bench.cell, bench.now);
    stops(&bench.cell.take_orders())
}

/// Returns a successor that could not read some jobs and knows only the state of job 7.
fn successor_that_read(state: JobState) -> Bench {
    let mut bench = Bench::under(2, 1, &[queue("q", 0)]);
    bench.cell.set_has_unread_jobs(true);
    let progress = JobProgress {
        done: Default::default(),
        state,
        tasks: Vec::new(),
        record_starts_first: false,
        workspace: None,
    };
    bench.cell.add_unread_job_progress(JobId(7), progress);
    bench
}

/// Returns an owner that has recorded the cancellation of job 7 and received the confirmation that
/// its run was stopped, and the number of that run.
fn owner_with_a_confirmed_stop() -> (Bench, u64) {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 1_000)]));
    let started = bench.start_all();
    bench.cell.cancel(JobId(7));
    bench.record();
    let stopped = stops(&bench.cell.take_orders());
    assert_eq!(stopped.len(), 1);
    let run = stopped[0].run.expect("a run of ours");
    bench.cell.stop_confirmed(run);
    (bench, started[0].number)
}

#[test]
fn a_run_of_a_job_that_has_ended_is_stopped_while_other_jobs_are_unread() {
    // Arrange.
    let mut bench = successor_that_read(JobState::Cancelled);

    // Act.
    let stopped = stops_after_poll(&mut bench, vec![listed_run(TASK, 5)]);

    // Assert.
    assert_eq!(stopped.len(), 1, "its job is cancelled");
    assert_eq!(stopped[0].number, 5);
}

#[test]
fn a_run_of_a_job_that_may_yet_be_read_is_left_alone() {
    // Arrange.
    let mut bench = successor_that_read(JobState::Running);

    // Act.
    let stopped = stops_after_poll(&mut bench, vec![listed_run(TASK, 5)]);

    // Assert.
    assert!(
        stopped.is_empty(),
        "the job's row is not read yet: {stopped:?}"
    );
}

#[test]
fn a_run_listed_long_after_its_confirmed_stop_is_stopped_again() {
    // Arrange.
    let (mut bench, number) = owner_with_a_confirmed_stop();

    // Act: the worker still lists it after the longest time that a stop may take.
    bench.now += 1_500;
    let stopped = stops_after_poll(&mut bench, vec![listed_run(TASK, number)]);

    // Assert.
    assert_eq!(
        stopped.len(),
        1,
        "the later list counts more than the confirmation"
    );
    assert_eq!(stopped[0].number, number);
}

#[test]
fn a_run_that_is_still_being_stopped_is_not_stopped_again() {
    // Arrange.
    let (mut bench, number) = owner_with_a_confirmed_stop();

    // Act.
    bench.now += 500;
    let stopped = stops_after_poll(&mut bench, vec![listed_run(TASK, number)]);

    // Assert.
    assert!(
        stopped.is_empty(),
        "the stop is still in progress: {stopped:?}"
    );
}
