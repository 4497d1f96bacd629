//! Tasks of a cancelled job ran on, or might have.
//!
//! Seen: two lasting tasks of one job ran on for 45 s after the job's cancelling had been
//! acknowledged, until their lease ran out.  The plays of that day end well on today's code; what
//! follows was found by reading the way of a cancelling from the caller to the worker.
//!
//! How it comes about: an owner ends just after a cancelling is recorded, before the workers have
//! confirmed the stops.  Its successor cannot read some partitions of jobs.  It reads the job's end,
//! but not its row, and leaves the runs alone for as long as rows are unread, while it renews
//! their leases.  Or a worker lists a run as running although it has confirmed the run's stop:
//! nothing stops it a second time.
//!
//! Cause: a run of a job that has ended was taken for one of a job that may yet be read; and the
//! confirmation of a stop outweighed what the worker lists later.
//!
//! Proof: the tests below.  No day of our own showed either of the two.

mod cell_core;

use cell_core::{Bench, job, listed_run, queue, step, stops};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{RunningEntry, StopOrder};
use crossweir::cell::record::JobProgress;
use crossweir::cell::spec::JobId;

const TASK: &str = "0000000000000007.0.0.0";

/// What the owner stops when the first worker lists these runs.
fn stops_after_look(bench: &mut Bench, running: Vec<RunningEntry>) -> Vec<StopOrder> {
    let worker = bench.worker(0);
    bench.poll_with_lists(worker, running, Vec::new());
    bench.cell.tick(bench.now);
    stops(&bench.cell.take_orders())
}

/// A successor that could not read some jobs, and knows of job 7 only this.
fn successor_that_read(state: JobState) -> Bench {
    let mut bench = Bench::under(2, 1, &[queue("q", 0)]);
    bench.cell.set_has_unread_jobs(true);
    let progress = JobProgress {
        state,
        tasks: Vec::new(),
        record_starts_first: false,
        workspace: None,
    };
    bench.cell.add_unread_job_progress(JobId(7), progress);
    bench
}

/// An owner that has recorded the cancelling of job 7, whose run's stop is confirmed; returns
/// the number of that run.
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
    let stopped = stops_after_look(&mut bench, vec![listed_run(TASK, 5)]);

    // Assert.
    assert_eq!(stopped.len(), 1, "its job is cancelled");
    assert_eq!(stopped[0].number, 5);
}

#[test]
fn a_run_of_a_job_that_may_yet_be_read_is_left_alone() {
    // Arrange.
    let mut bench = successor_that_read(JobState::Running);

    // Act.
    let stopped = stops_after_look(&mut bench, vec![listed_run(TASK, 5)]);

    // Assert.
    assert!(stopped.is_empty(), "its row is not read yet: {stopped:?}");
}

#[test]
fn a_run_that_goes_on_after_its_stop_was_confirmed_is_stopped_again() {
    // Arrange.
    let (mut bench, number) = owner_with_a_confirmed_stop();

    // Act: long after any stop is over the worker still lists it.
    bench.now += 1_500;
    let stopped = stops_after_look(&mut bench, vec![listed_run(TASK, number)]);

    // Assert.
    assert_eq!(stopped.len(), 1, "what the worker lists later counts");
    assert_eq!(stopped[0].number, number);
}

#[test]
fn a_run_that_is_still_being_stopped_is_not_stopped_again() {
    // Arrange.
    let (mut bench, number) = owner_with_a_confirmed_stop();

    // Act.
    bench.now += 500;
    let stopped = stops_after_look(&mut bench, vec![listed_run(TASK, number)]);

    // Assert.
    assert!(stopped.is_empty(), "a stop takes a while: {stopped:?}");
}
