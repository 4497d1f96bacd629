//! An accepted job is run to its end although its queue is removed meanwhile.

mod cell_core;

use cell_core::{Bench, configuration, job, queue, step};
use crossweir::cell::Cell;
use crossweir::cell::job::JobState;
use crossweir::cell::order::EndKind;
use crossweir::cell::record::JobRow;

/// The id of the job.
const JOB: u64 = 7;

/// A job of two steps, the second of which begins after the first one.
fn job_of_two_steps() -> JobRow {
    let mut second = step(1, 1_000);
    second.after = vec![0];
    job(JOB, &queue("removed", 0), vec![step(1, 1_000), second])
}

/// Ends whatever runs, and lets the owner learn of it.
fn end_all(bench: &mut Bench, how: EndKind) {
    for (task, number) in bench
        .running
        .values()
        .flatten()
        .copied()
        .collect::<Vec<_>>()
    {
        bench.end(task, number, how);
    }
    bench.poll_all();
    bench.record();
}

/// Steps that follow must start although no configuration in force has the job's queue any more.
#[test]
fn a_job_goes_on_after_its_queue_was_removed() {
    // Arrange: the first step is at work.
    let both = [queue("kept", 0), queue("removed", 0)];
    let mut bench = Bench::new(2, &both);
    bench.accept(&job_of_two_steps());
    assert_eq!(bench.start_all().len(), 1);

    // Act.
    bench.cell.configure(configuration(&both[..1]));
    end_all(&mut bench, EndKind::Done);
    let second = bench.start_all();
    end_all(&mut bench, EndKind::Done);

    // Assert.
    assert_eq!(second.len(), 1);
    assert_eq!(bench.state(JOB), Some(JobState::Succeeded));
}

/// A lasting task whose queue was removed must be started again when it ends.
#[test]
fn a_lasting_task_is_started_again_after_its_queue_was_removed() {
    // Arrange.
    let both = [queue("kept", 0), queue("removed", 0)];
    let mut bench = Bench::new(2, &both);
    let mut lasting = step(1, 1_000);
    lasting.lasting = true;
    bench.accept(&job(JOB, &both[1], vec![lasting]));
    assert_eq!(bench.start_all().len(), 1);

    // Act.
    bench.cell.configure(configuration(&both[..1]));
    end_all(&mut bench, EndKind::Failed);

    // Assert.
    assert_eq!(bench.start_all().len(), 1);
}

/// A successor that only knows the later configuration must run the job as well.
#[test]
fn a_successor_runs_a_job_whose_queue_was_removed() {
    // Arrange.
    let mut cell = Cell::new(2, configuration(&[queue("kept", 0)]), 1_000);
    cell.list_workers(vec![cell_core::worker(0)], 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    bench.pass(10);

    // Act.
    bench.accept(&job_of_two_steps());

    // Assert.
    assert_eq!(bench.start_all().len(), 1);
}
