//! What one job may cost the owner of a cell has a bound that does not depend on the number of its
//! occurrences and tasks: the steps examined in a round, the steps in memory and the size of its record
//! ("Jobs of any size" in `docs/DESIGN.md`).

mod cell_core;

use cell_core::{Bench, job, queue, step};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{EndKind, StartOrder};
use crossweir::cell::record::{JobProgress, JobRow};
use crossweir::cell::spec::{Schedule, Step};
use crossweir::clock::Millis;
use crossweir::queue::Queue;

/// The Unix time of these tests, in milliseconds.
const UNIX_TIME: Millis = 1_900_000_000_000;
/// The most bytes of a row that the store accepts.
const ROW_BYTES: usize = 65_536;
/// The most steps that one job may cost a round: it has at most 512 tasks in begun occurrences,
/// and each step is examined once and once more for its rank.
const STEPS_PER_ROUND: u64 = 2 * 512;

/// A recurring job, id 1, whose last occurrence was due just now.
fn recurring_job(q: &Queue, times: u32, interval: Millis, steps: Vec<Step>) -> JobRow {
    let mut row = job(1, q, steps);
    row.spec.schedule = Some(Schedule {
        times,
        first: UNIX_TIME.saturating_sub(Millis::from(times) * interval),
        interval,
    });
    row
}

/// Steps of one task, each after the one before.
fn chain(length: usize) -> Vec<Step> {
    let after = |index: usize| index.checked_sub(1).into_iter().collect();
    (0..length)
        .map(|index| Step {
            after: after(index),
            ..step(1, 100)
        })
        .collect()
}

/// A bench with a wall clock and this job.
fn bench_with(row: &JobRow, workers: u16) -> Bench {
    let mut bench = Bench::new(workers, std::slice::from_ref(&row.queue));
    bench.cell.set_wall_clock(UNIX_TIME);
    bench.accept(row);
    bench
}

/// Runs rounds until the window of starts holds nothing back, executes their starts and ends all of
/// their tasks.  Returns the starts, and how many steps a round examined at most.
fn run_round(bench: &mut Bench) -> (Vec<StartOrder>, u64) {
    bench.pass(10);
    let (mut starts, mut examined) = examined_round(bench);
    while bench.cell.has_room_for_held_starts() {
        let (more, of_round) = examined_round(bench);
        starts.extend(more);
        examined = examined.max(of_round);
    }
    for start in &starts {
        bench.end(start.task, start.number, EndKind::Done);
    }
    bench.poll_all();
    (starts, examined)
}

/// Runs one round and executes its starts.  Returns them, and how many steps it examined.
fn examined_round(bench: &mut Bench) -> (Vec<StartOrder>, u64) {
    let before = bench.cell.counts().steps_examined;
    let starts = bench.start_round();
    (starts, bench.cell.counts().steps_examined - before)
}

/// Records what has changed, and returns the record of job 1 with its size in bytes.
fn record_of_job(bench: &mut Bench) -> Option<(JobProgress, usize)> {
    let rows = bench.record().rows;
    let (_, _, progress) = rows.into_iter().find(|(_, id, _)| id.0 == 1)?;
    let size = serde_json::to_string(&progress).expect("JSON").len();
    Some((progress, size))
}

/// A job far behind its schedule must not make rounds long and so stop the owner from answering.
#[yare::parameterized(
    a_day_of_seconds = { 50_000, 1_000, 1 },
    half_a_million = { 500_000, 1, 1 },
    as_many_as_can_be_named = { u32::MAX, 1, 1 },
    all_at_the_same_time = { u32::MAX, 0, 1 },
    many_steps = { 50_000, 1_000, 64 },
    as_many_as_can_be_named_with_many_steps = { u32::MAX, 1, 64 },
)]
fn rounds_are_bounded_however_many_occurrences_are_due(times: u32, interval: Millis, steps: usize) {
    // Arrange.
    let q = queue("q", 0);
    let row = recurring_job(&q, times, interval, chain(steps));

    // Act.
    let mut bench = bench_with(&row, 16);
    let rounds: Vec<u64> = (0..20).map(|_| run_round(&mut bench).1).collect();

    // Assert.
    let longest = rounds.into_iter().max();
    assert!(
        longest <= Some(STEPS_PER_ROUND),
        "steps examined in a round: {longest:?}"
    );
    let (held, open) = bench.cell.step_counts();
    assert!(
        held <= 1_024 && open <= 512,
        "steps in memory: {held}, open: {open}"
    );
}

/// A job far behind its schedule must not keep the jobs beside it from running.
#[test]
fn a_job_beside_one_that_is_far_behind_runs_at_once() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = bench_with(&recurring_job(&q, 50_000, 1_000, chain(1)), 16);
    run_round(&mut bench);

    // Act.
    bench.accept(&job(2, &q, vec![step(4, 500)]));
    let (starts, _) = run_round(&mut bench);
    bench.record();

    // Assert.
    let of_other = starts.iter().filter(|start| start.task.step.job.0 == 2);
    assert_eq!(of_other.count(), 4, "starts in the first round");
    assert_eq!(bench.state(2), Some(JobState::Succeeded));
}

/// The record of a job must not outgrow a row of the store with the occurrences that are finished:
/// the store would reject it, and the job be shown as failed.
#[test]
fn a_job_with_thousands_of_occurrences_succeeds_with_a_record_of_bounded_size() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = bench_with(&recurring_job(&q, 5_000, 1_000, chain(2)), 16);

    // Act.
    let mut largest = 0;
    let mut started = 0;
    for _ in 0..2_000 {
        started += run_round(&mut bench).0.len();
        largest = largest.max(record_of_job(&mut bench).map_or(0, |(_, size)| size));
        if bench.state(1) == Some(JobState::Succeeded) {
            break;
        }
    }

    // Assert.
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
    assert_eq!(started, 10_000, "each task is started once");
    assert!(largest < ROW_BYTES, "largest record: {largest} bytes");
}

/// The record of a job whose occurrences end in any order must stay within a row of the store.
#[test]
fn a_record_is_bounded_if_only_every_other_occurrence_ends() {
    // Arrange: the occurrences with odd numbers go on running.
    let q = queue("q", 0);
    let mut bench = bench_with(&recurring_job(&q, 50_000, 1_000, chain(1)), 400);

    // Act.
    let mut largest = 0;
    for _ in 0..20 {
        bench.pass(10);
        for start in bench.start_all() {
            if start.task.step.time % 2 == 0 {
                bench.end(start.task, start.number, EndKind::Done);
            }
        }
        bench.poll_all();
        largest = largest.max(record_of_job(&mut bench).map_or(0, |(_, size)| size));
    }

    // Assert.
    assert!(largest < ROW_BYTES, "largest record: {largest} bytes");
}

/// A successor must neither repeat the finished occurrences of a large job nor load all of them.
#[test]
fn a_successor_goes_on_where_a_large_job_was_recorded() {
    // Arrange.
    let q = queue("q", 0);
    let row = recurring_job(&q, 50_000, 1_000, chain(1));
    let mut former = bench_with(&row, 16);
    let mut done = std::collections::BTreeSet::new();
    let mut progress = None;
    for _ in 0..10 {
        done.extend(run_round(&mut former).0.iter().map(|start| start.task));
        progress = record_of_job(&mut former)
            .map(|(progress, _)| progress)
            .or(progress);
    }
    let text = serde_json::to_string(&progress.expect("a record")).expect("JSON");
    let progress: JobProgress = serde_json::from_str(&text).expect("a record");

    // Act.
    let mut next = Bench::under(2, 16, std::slice::from_ref(&q));
    next.cell.set_wall_clock(UNIX_TIME);
    next.cell.accept(&row, Some(&progress), false, next.now);
    let (starts, examined) = run_round(&mut next);

    // Assert.
    assert!(
        done.len() > 1_000,
        "done under the former owner: {}",
        done.len()
    );
    assert!(!starts.is_empty());
    assert!(
        starts.iter().all(|start| !done.contains(&start.task)),
        "a task runs again"
    );
    assert!(
        examined <= STEPS_PER_ROUND,
        "steps examined in a round: {examined}"
    );
}

/// Times that do not fit into the range of the clock must not stop the owner.
#[yare::parameterized(
    far_interval = { UNIX_TIME, Millis::MAX },
    far_first = { Millis::MAX, 1_000 },
    both = { Millis::MAX, Millis::MAX },
)]
fn an_occurrence_beyond_all_times_is_never_due(first: Millis, interval: Millis) {
    // Arrange.
    let q = queue("q", 0);
    let mut row = job(1, &q, chain(1));
    row.spec.schedule = Some(Schedule {
        times: 3,
        first,
        interval,
    });

    // Act.
    let mut bench = bench_with(&row, 2);
    let started: usize = (0..3).map(|_| run_round(&mut bench).0.len()).sum();

    // Assert.
    assert_eq!(
        started,
        usize::from(first == UNIX_TIME),
        "only the first can be due"
    );
}

/// The record of a large step whose tasks end in any order must stay within a row of the store, also
/// if each of its open tasks has failed or has a long checkpoint.
#[yare::parameterized(
    failed = { EndKind::Failed, "" },
    stopped_with_a_checkpoint = { EndKind::Stopped, "a long text that the next run goes on from" },
)]
fn a_record_is_bounded_if_every_other_task_of_a_large_step_ends(how: EndKind, checkpoint: &str) {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::new(400, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(10_000, 10), step(10_000, 10)]));

    // Act.
    let mut largest = 0;
    for _ in 0..10 {
        bench.pass(1_000);
        for start in bench.start_all() {
            match start.task.index % 2 {
                0 => bench.end(start.task, start.number, EndKind::Done),
                _ => bench.end_with_checkpoint(start.task, start.number, how, checkpoint),
            }
        }
        bench.poll_all();
        largest = largest.max(record_of_job(&mut bench).map_or(0, |(_, size)| size));
    }

    // Assert.
    assert!(largest < ROW_BYTES, "largest record: {largest} bytes");
    assert_ne!(bench.cell.counts().omitted_progress, 0);
}

/// A record of done tasks that was cut off or does not fit the job must not stop a successor.
#[yare::parameterized(
    cut_off = { "gA" },
    beyond_all_numbers = { "////////////AQE" },
    no_base64 = { "?" },
)]
fn ranges_that_cannot_be_read_are_an_error(text: &str) {
    let row = format!(r#"{{"state":"Running","tasks":[],"done":"{text}"}}"#);
    assert!(serde_json::from_str::<JobProgress>(&row).is_err());
}

/// A record that names tasks which the job does not have must only cost itself.
#[test]
fn recorded_tasks_that_the_job_does_not_have_are_ignored() {
    // Arrange: done are tasks 0 to 9; the job has 4.
    let q = queue("q", 0);
    let row = recurring_job(&q, 4, 1_000, chain(1));
    let text = r#"{"state":"Running","tasks":[],"done":"AAo"}"#;
    let progress: JobProgress = serde_json::from_str(text).expect("a record");

    // Act.
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_wall_clock(UNIX_TIME);
    bench.cell.accept(&row, Some(&progress), false, bench.now);
    bench.record();

    // Assert.
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
}
