//! The window of starts: how many an owner sends before others are answered.

mod cell_core;

use std::collections::BTreeSet;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{Refusal, StartOrder, StartOutcome};
use crossweir::cell::record::JobProgress;
use crossweir::cell::spec::JobId;
use crossweir::cell::task_set::TaskSet;
use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::queue::Queue;

const WORKERS: u16 = 100;
/// After how many round trips the workers are polled, so that none of them becomes stale.
const POLL_EVERY: u32 = 10;
/// The tasks of the job that is not urgent; each worker has room for many.
const BATCH_TASKS: u32 = 10_000;
/// How long each start takes while the link or the processor is behind, in milliseconds.
const SLOW: Millis = 200;
/// How long each start takes otherwise.
const QUICK: Millis = 5;

fn queues() -> [Queue; 2] {
    [queue("urgent", 0), queue("batch", 1)]
}

/// A core with more batch tasks to start than it may send, and the starts that it has sent.
fn busy_core(tasks: u32) -> (Bench, Vec<StartOrder>) {
    let queues = queues();
    let mut bench = Bench::new(WORKERS, &queues);
    bench.accept(&job(1, &queues[1], vec![step(tasks, 10)]));
    let sent = starts(&bench.decide());
    (bench, sent)
}

/// Answers the starts in flight after `time`, and sends those that are decided on then, so many
/// times.  Returns what is in flight then.
fn carry_out(
    bench: &mut Bench,
    mut in_flight: Vec<StartOrder>,
    time: Millis,
    times: u32,
) -> Vec<StartOrder> {
    for round in 0..times {
        bench.pass(time);
        for start in &in_flight {
            bench.start(start);
        }
        if round % POLL_EVERY == 0 {
            bench.poll_all();
        }
        in_flight = starts(&bench.decide());
    }
    in_flight
}

/// Lets starts in flight go without an answer.
fn leave_unanswered(bench: &mut Bench, in_flight: &[StartOrder]) {
    for start in in_flight {
        let now = bench.now;
        bench
            .cell
            .start_answered(start.run, StartOutcome::Unanswered, None, now);
    }
}

/// A core whose window has become the smallest one, and its starts in flight.
fn slow_core() -> (Bench, Vec<StartOrder>) {
    let (mut bench, sent) = busy_core(BATCH_TASKS);
    let in_flight = carry_out(&mut bench, sent, QUICK, 1);
    let in_flight = carry_out(&mut bench, in_flight, SLOW, 10);
    (bench, in_flight)
}

/// Guards against urgent tasks that wait behind all that was decided before: an owner had a thousand
/// starts in its own queue, where none can overtake another.
#[test]
fn an_urgent_task_overtakes_starts_that_are_not_sent_yet() {
    // Arrange.
    let (mut bench, sent) = busy_core(BATCH_TASKS);
    bench.accept(&job(2, &queues()[0], vec![step(10, 10)]));

    // Act.
    let next = carry_out(&mut bench, sent.clone(), SLOW, 1);

    // Assert.
    assert_eq!(sent.len(), tuning::FIRST_START_WINDOW as usize);
    let first: BTreeSet<JobId> = next[..10].iter().map(|start| start.task.step.job).collect();
    assert_eq!(first, BTreeSet::from([JobId(2)]));
}

#[test]
fn all_tasks_start_however_slow_the_owner_is() {
    // Arrange.
    let tasks = 500;
    let (mut bench, sent) = busy_core(tasks);
    let rounds = tasks / tuning::MIN_START_WINDOW as u32;

    // Act.
    let left = carry_out(&mut bench, sent, SLOW, rounds);

    // Assert.
    assert!(left.is_empty(), "{} starts", left.len());
    assert_eq!(bench.cell.counts().starts, u64::from(tasks));
}

/// Guards against a link that stays full of starts that come too late: nine in ten were not answered
/// in time, and as many were sent again.
#[test]
fn the_window_shrinks_while_starts_are_slow() {
    // Act.
    let (bench, in_flight) = slow_core();

    // Assert.
    assert_eq!(in_flight.len(), tuning::MIN_START_WINDOW as usize);
    assert_eq!(bench.cell.start_window(), in_flight.len());
}

#[test]
fn the_window_is_halved_once_for_all_starts_of_a_round_trip() {
    // Arrange.
    let (mut bench, sent) = busy_core(BATCH_TASKS);
    let sent = carry_out(&mut bench, sent, QUICK, 1);
    let before = bench.cell.start_window();

    // Act.
    carry_out(&mut bench, sent, SLOW, 1);

    // Assert.
    assert!(before >= tuning::FIRST_START_WINDOW as usize, "{before}");
    assert_eq!(bench.cell.start_window(), before / 2);
}

/// Guards against an owner that stays slow after its link is free again.
#[test]
fn the_window_grows_back_once_starts_are_quick_again() {
    // Arrange.
    let (mut bench, in_flight) = slow_core();

    // Act.
    carry_out(&mut bench, in_flight, QUICK, 40);

    // Assert.
    assert_eq!(bench.cell.start_window(), tuning::MAX_START_WINDOW as usize);
}

/// A path that has become longer for good is not a queue: the lowest time of long ago does not count.
#[test]
fn the_window_grows_back_if_each_start_takes_long_by_itself() {
    // Arrange.
    let (mut bench, in_flight) = slow_core();
    let periods = 3 * tuning::LOWEST_TIME_PERIOD / SLOW;

    // Act.
    carry_out(&mut bench, in_flight, SLOW, periods as u32);

    // Assert.
    assert!(bench.cell.start_window() > tuning::MIN_START_WINDOW as usize);
}

#[test]
fn starts_that_no_worker_answers_shrink_the_window() {
    // Arrange.
    let (mut bench, sent) = busy_core(BATCH_TASKS);
    bench.pass(tuning::START_ANSWER_WAIT);

    // Act.
    leave_unanswered(&mut bench, &sent);

    // Assert.
    assert!(bench.cell.start_window() < tuning::MAX_START_WINDOW as usize);
}

/// Guards against silent workers that keep all others from being used: their starts wait for them
/// alone, since later ones are answered.
#[test]
fn starts_on_silent_workers_neither_fill_nor_shrink_the_window() {
    // Arrange.
    let (mut bench, sent) = busy_core(BATCH_TASKS);
    let (silent, answering) = sent.split_at(sent.len() / 2);
    let next = carry_out(&mut bench, answering.to_vec(), QUICK, 1);
    let next = carry_out(&mut bench, next, tuning::START_OVERTAKEN_AFTER, 1);

    // Act.
    let last = carry_out(&mut bench, next, QUICK, 1);
    let window = bench.cell.start_window();
    leave_unanswered(&mut bench, silent);

    // Assert.
    assert_eq!(last.len(), window);
    assert_eq!(bench.cell.start_window(), window);
}

#[test]
fn a_gang_may_exceed_the_window() {
    // Arrange.
    let queues = queues();
    let mut bench = Bench::new(WORKERS, &queues);
    let size = 2 * tuning::MAX_START_WINDOW as u32;
    let mut gang = step(size, 10);
    gang.gang = true;
    bench.accept(&job(1, &queues[0], vec![gang]));

    // Act.
    let sent = starts(&bench.decide());

    // Assert.
    assert_eq!(sent.len(), size as usize);
}

/// The progress of a job of a former owner, of which each start is recorded before it is sent.
fn progress_of_recorded_starts() -> JobProgress {
    JobProgress {
        state: JobState::Running,
        tasks: Vec::new(),
        done: TaskSet::default(),
        record_starts_first: true,
        workspace: None,
    }
}

/// Guards against a link and a store that are full of rows for starts whose placement is out of date
/// when they are recorded: only the starts of each single job were limited.
#[test]
fn starts_that_wait_for_their_records_are_limited_over_all_jobs() {
    // Arrange.
    let queues = queues();
    let mut bench = Bench::new(WORKERS, &queues);
    let progress = progress_of_recorded_starts();
    for id in 1..=10 {
        let row = job(id, &queues[1], vec![step(100, 10)]);
        bench.cell.accept(&row, Some(&progress), false, bench.now);
    }
    for _ in 0..200 {
        bench.pass(100);
        bench.poll_all();
    }

    // Act.
    for _ in 0..10 {
        bench.cell.schedule(bench.now);
    }

    // Assert.
    let most = tuning::PLANNED_START_WINDOWS * bench.cell.start_window();
    assert_eq!(bench.cell.counts().planned, most as u64);
}

/// Guards against a worker that counts as silent, and whose lease runs out, since our own link could
/// not carry a start.
#[test]
fn a_start_that_was_not_sent_shows_nothing_of_its_worker() {
    // Arrange.
    let (mut bench, sent) = busy_core(1);
    let refused = StartOutcome::Refused(Refusal::NotSent);

    // Act.
    let now = bench.now;
    bench.cell.start_answered(sent[0].run, refused, None, now);

    // Assert.
    assert_eq!(bench.cell.count_workers().silent, 0);
    let next = starts(&bench.decide());
    assert_eq!(next.len(), 1, "the task starts elsewhere");
    assert_ne!(next[0].to.worker, sent[0].to.worker);
}
