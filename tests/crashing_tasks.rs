//! A task that crashes every worker that starts it.
//!
//! Guards against such a task being started without limit.  Only ends that a worker lists were
//! counted as attempts, and a crashed worker lists none: whether or not the start was answered, the
//! worker was given up when its next life answered, its runs were dropped without a trace, and the
//! task waited again like a new one.  In one incident, on a site with 48 workers, two tasks were
//! started again every 3.4 s, seven times and more, and each start took down its worker within
//! 10 ms, with up to ten runs of other jobs.  Four of the eight starts in the log were made by one
//! owner, so a change of owner was not the cause; both cases are tested here
//! (docs/incidents/crashing-tasks.md).
//!
//! Each of 12 workers runs short tasks of other jobs all the time, since these must not be blamed
//! for the crashes, and a worker is back 3.4 s after its crash, as on that site.

mod cell_core;

use std::collections::{BTreeMap, BTreeSet};

use cell_core::{configuration, job, queue, step, worker};
use crossweir::cell::Cell;
use crossweir::cell::job::JobState;
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{Order, PollFailure, Refusal, StartOrder, StartOutcome};
use crossweir::cell::record::{JobProgress, JobRow};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::JobId;
use crossweir::cell::tuning;
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::Millis;
use crossweir::embedded::worker::MemoryWorker;
use crossweir::queue::Queue;

const WORKERS: u16 = 12;
/// The time between two scheduling rounds.
const TICK: Millis = 10;
/// How long a worker is down after a crash.
const DOWN_TIME: Millis = 3_400;
/// The text of tasks that crash their worker when it starts them, before it answers the start.
const CRASH: &str = "crash";
/// The text of tasks that crash their worker just after it has answered the start, as in seven of
/// eight crashes of the incident.
const ANSWERED_CRASH: &str = "answered crash";
/// The id of the job that a test watches: in most tests its tasks crash their workers.
const CULPRIT: u64 = 0xbad;
/// The most starts of a task that crashes its workers: two more after three workers have crashed
/// under it.
const MAX_STARTS: usize = 5;
/// How long the culprit is watched: long enough for fifteen starts at the interval of the incident.
const WATCH_TIME: Millis = 60_000;

/// A cell, its workers, and the rows that its owners have recorded.
struct Site {
    now: Millis,
    epoch: u64,
    cell: Cell,
    queue: Queue,
    /// The entry of the latest life of each worker.
    entries: Vec<WorkerEntry>,
    /// The workers that are up and reachable, by the id of their present life.
    workers: BTreeMap<String, MemoryWorker>,
    /// When a crashed worker restarts, by its index in `entries`.
    restart_times: BTreeMap<usize, Millis>,
    /// The number of lives that have begun.
    life_count: u16,
    rows: BTreeMap<JobId, JobRow>,
    progress: BTreeMap<JobId, JobProgress>,
    roster: Vec<RosterEntry>,
    /// How many starts of each task workers have executed.
    starts: BTreeMap<TaskName, usize>,
    /// The number of crashes of workers.
    crashes: usize,
    /// Whether the store accepts records.
    store_is_up: bool,
}

impl Site {
    fn new() -> Self {
        let queue = Queue {
            attempts: 1_000,
            ..queue("q", 0)
        };
        let entries: Vec<WorkerEntry> = (0..WORKERS).map(worker).collect();
        let ids = entries.iter().map(|entry| entry.life.id.clone());
        let mut site = Self {
            now: 1_000,
            epoch: 0,
            cell: Cell::new(0, configuration(&[]), 0),
            queue,
            workers: ids.map(|id| (id, MemoryWorker::default())).collect(),
            entries,
            restart_times: BTreeMap::new(),
            life_count: WORKERS,
            rows: BTreeMap::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
            starts: BTreeMap::new(),
            crashes: 0,
            store_is_up: true,
        };
        site.take_over();
        site.pass(200);
        site
    }

    /// A new owner claims the cell and reads the recorded rows.
    fn take_over(&mut self) {
        self.epoch = tuning::next_epoch(self.epoch);
        let config = configuration(std::slice::from_ref(&self.queue));
        self.cell = Cell::new(self.epoch, config, self.now);
        self.cell.set_lanes(&[true]);
        self.cell.restore_roster(self.roster.clone(), self.now);
        self.cell.list_workers(self.entries.clone(), self.now);
        for row in self.rows.values() {
            let progress = self.progress.get(&row.id);
            self.cell.accept(row, progress, true, self.now);
        }
    }

    /// Submits a job with tasks of this text.
    fn submit(&mut self, id: u64, tasks: u32, text: &str) {
        let mut row = job(id, &self.queue, vec![step(tasks, 1_000)]);
        row.spec.text = text.to_owned();
        self.cell.accept(&row, None, false, self.now);
        self.rows.insert(row.id, row);
    }

    /// Advances time, while 100 other jobs per second are submitted, each with one task of 0.8 s.
    fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let id = 0x1_0000 + self.now;
            self.submit(id, 1, "800");
            self.run_round();
        }
    }

    /// Runs one scheduling round at the present time: polls, executes the orders and records.
    fn run_round(&mut self) {
        self.restart_due_workers();
        self.poll_all();
        cell_core::tick(&mut self.cell, self.now);
        self.cell.schedule(self.now);
        for order in self.cell.take_orders() {
            match order {
                Order::Start(order) => self.execute_start(&order),
                Order::Stop(order) => {
                    let worker = self.workers.get_mut(&order.to.life.id);
                    let stopped = worker.is_some_and(|w| w.stop(&order, self.now).is_ok());
                    if let (true, Some(run)) = (stopped, order.run) {
                        self.cell.stop_confirmed(run);
                    }
                }
                Order::Advise(_) => unreachable!("no queue needs advice here"),
            }
        }
        if self.store_is_up {
            self.record();
        }
    }

    fn execute_start(&mut self, order: &StartOrder) {
        let outcome = match self.workers.get_mut(&order.to.life.id) {
            Some(worker) => worker.start(order, self.now),
            None => StartOutcome::Refused(Refusal::NotSent),
        };
        if outcome == StartOutcome::Started {
            *self.starts.entry(order.task).or_default() += 1;
        }
        let started = outcome == StartOutcome::Started;
        let outcome = match &*order.text {
            CRASH if started => {
                self.crash(&order.to.life.id);
                StartOutcome::Unanswered
            }
            ANSWERED_CRASH if started => {
                self.crash(&order.to.life.id);
                StartOutcome::Started
            }
            _ => outcome,
        };
        let clock = (outcome == StartOutcome::Started).then_some(self.now);
        self.cell
            .start_answered(order.run, outcome, clock, self.now);
    }

    /// Ends the life of a worker without notice.  Its entry stays until the next life writes its
    /// own.
    fn crash(&mut self, id: &str) {
        let index = self.entries.iter().position(|entry| entry.life.id == id);
        let index = index.expect("a listed worker");
        self.workers.remove(id);
        self.crashes += 1;
        self.restart_times.insert(index, self.now + DOWN_TIME);
    }

    /// Starts the next lives of crashed workers whose time has come, under new ids.
    fn restart_due_workers(&mut self) {
        let due = |(&index, &at): (&usize, &Millis)| (at <= self.now).then_some(index);
        let due: Vec<usize> = self.restart_times.iter().filter_map(due).collect();
        for index in due {
            self.restart_times.remove(&index);
            self.entries[index].life.id = format!("w{}", self.life_count);
            self.life_count += 1;
            let entry = self.entries[index].clone();
            self.workers
                .insert(entry.life.id.clone(), MemoryWorker::default());
            self.cell.list_worker(entry, self.now);
        }
    }

    fn poll_all(&mut self) {
        for key in self.cell.worker_keys() {
            let Some(order) = self.cell.poll_order(key, self.now) else {
                continue;
            };
            let answer = match self.workers.get_mut(&order.to.life.id) {
                Some(worker) => worker.poll(&order, self.now),
                None => Err(PollFailure::Unanswered),
            };
            match answer {
                Ok(report) => self.cell.poll_answered(&order, &report, self.now),
                Err(failure) => self.cell.poll_failed(key, failure, self.now),
            }
        }
    }

    fn record(&mut self) {
        let (version, roster) = self.cell.roster();
        self.roster = roster;
        self.cell.mark_roster_recorded(version);
        let batch = self.cell.take_batch(1_000);
        for (_, id, progress) in &batch.rows {
            self.progress.insert(*id, progress.clone());
        }
        self.cell.batch_recorded(batch, self.now);
    }

    /// How many starts of the culprit's tasks workers have executed.
    fn culprit_starts(&self) -> usize {
        let of_culprit = |(task, _): &(&TaskName, &usize)| task.step.job == JobId(CULPRIT);
        self.starts
            .iter()
            .filter(of_culprit)
            .map(|(_, starts)| starts)
            .sum()
    }

    /// Advances time, and replaces the owner within the time `within` of each start of the culprit.
    /// Returns how many starts of the culprit workers have executed.
    fn replace_owners_after_starts(&mut self, time: Millis, within: Millis) -> usize {
        let mut starts = 0;
        for _ in 0..time / within {
            self.pass(within);
            if self.culprit_starts() > starts {
                starts = self.culprit_starts();
                self.take_over();
            }
        }
        starts
    }

    /// The number of the culprit's losses that a successor would read.
    fn recorded_losses_of_culprit(&self) -> usize {
        let progress = self.progress.get(&JobId(CULPRIT));
        let tasks = progress.into_iter().flat_map(|progress| &progress.tasks);
        tasks.map(|task| task.losses.len()).sum()
    }

    /// The id of a worker on which a task of the culprit runs.
    fn holder_of_culprit(&self) -> String {
        let runs = |worker: &MemoryWorker| {
            let mut history = worker.history.iter();
            history.any(|run| run.task.step.job == JobId(CULPRIT) && run.ended.is_none())
        };
        let holder = self.workers.iter().find(|(_, worker)| runs(worker));
        holder.map(|(id, _)| id.clone()).expect("a worker runs it")
    }

    fn culprit_state(&self) -> Option<JobState> {
        self.cell.state(JobId(CULPRIT))
    }

    /// The other jobs that have failed.
    fn failed_others(&self) -> Vec<JobId> {
        let failed = |id: &JobId| self.cell.state(*id) == Some(JobState::Failed);
        let others = self.rows.keys().filter(|id| **id != JobId(CULPRIT));
        others.copied().filter(failed).collect()
    }
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);

    // Act.
    site.submit(CULPRIT, 1, CRASH);
    site.pass(WATCH_TIME);

    // Assert.
    assert!(
        site.culprit_starts() <= MAX_STARTS,
        "{:?}",
        site.culprit_starts()
    );
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn crashes_are_counted_across_changes_of_owner() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);

    // Act: each owner is lost within 300 ms of a start; its successor finds that the worker's life
    // has ended.
    site.submit(CULPRIT, 1, CRASH);
    let starts = site.replace_owners_after_starts(WATCH_TIME, 300);

    // Assert.
    assert!(starts <= MAX_STARTS, "{starts}");
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn while_nothing_can_be_recorded_a_suspect_is_not_started_again() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);
    site.submit(CULPRIT, 1, CRASH);
    site.store_is_up = false;

    // Act: three times over, the owner is lost with everything that it could not record.
    for _ in 0..3 {
        site.pass(8_000);
        site.take_over();
    }
    site.store_is_up = true;
    site.pass(WATCH_TIME);

    // Assert: one start was forgotten with each of the three owners, and two were counted.
    assert!(
        site.culprit_starts() <= MAX_STARTS,
        "{}",
        site.culprit_starts()
    );
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
}

#[test]
fn a_step_whose_tasks_all_crash_takes_down_no_more_than_a_third_of_the_workers() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);

    // Act: a step of twice as many tasks as there are workers.
    site.submit(CULPRIT, 24, CRASH);
    site.pass(WATCH_TIME);

    // Assert: the workers that the first round of starts took down, and those of a few trials.
    assert!(site.crashes <= 4, "{}", site.crashes);
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn crashes_of_workers_without_a_culprit_fail_no_job() {
    // Arrange: 40 tasks of 3 s.
    let mut site = Site::new();
    site.submit(CULPRIT, 40, "3000");

    // Act: every 2 s half of the workers crash, each time before the tasks of 3 s are done.
    for _ in 0..3 {
        site.pass(2_000);
        let half = site
            .entries
            .iter()
            .step_by(2)
            .map(|entry| entry.life.id.clone());
        for id in half.collect::<Vec<String>>() {
            if site.workers.contains_key(&id) {
                site.crash(&id);
            }
        }
    }
    site.pass(WATCH_TIME);

    // Assert.
    assert_eq!(site.culprit_state(), Some(JobState::Succeeded));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn a_worker_that_is_cut_off_or_removed_has_not_crashed() {
    // Arrange: a task of 3 s runs.
    let mut site = Site::new();
    site.submit(CULPRIT, 1, "3000");
    site.run_round();

    // Act: each worker that runs the task is cut off for good, and its entry is removed.
    for _ in 0..5 {
        let holder = site.holder_of_culprit();
        site.workers.remove(&holder);
        site.entries.retain(|entry| entry.life.id != holder);
        let now = site.now;
        site.cell.unlist_worker(&holder, now);
        site.pass(4_500);
    }
    site.pass(WATCH_TIME);

    // Assert.
    assert_eq!(site.culprit_state(), Some(JobState::Succeeded));
}

#[test]
fn a_task_whose_start_is_answered_before_its_worker_crashes_is_given_up_as_soon() {
    // Arrange: starts of other jobs are sent all the time, also to the worker that crashes.
    let mut site = Site::new();
    site.pass(1_000);

    // Act.
    site.submit(CULPRIT, 1, ANSWERED_CRASH);
    site.pass(WATCH_TIME);

    // Assert: one crash before the task ran as a trial, and two for which it is the only suspect.
    assert!(site.culprit_starts() <= 3, "{}", site.culprit_starts());
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

/// Guards against a sixth start of a culprit, where five are allowed: in random runs two owners
/// were lost 40 and 100 ms after its start, before the silence of its worker had been noted and
/// recorded.  Nothing durable showed these starts, so no later owner counted a loss of those runs.
#[test]
fn of_many_owners_lost_just_after_a_start_at_most_one_forgets_it() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);

    // Act: each owner is lost within 10 ms of the start.
    site.submit(CULPRIT, 1, CRASH);
    let starts = site.replace_owners_after_starts(2 * WATCH_TIME, TICK);

    // Assert.
    assert!(starts <= MAX_STARTS, "{starts}");
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

/// Guards against a sixth start of a culprit after two owners are lost 40 and 100 ms after their
/// starts of it, before its crash is recorded (seed 4225 of the random runs, as a script).
#[test]
fn two_owners_lost_40_and_100_ms_after_their_starts_forget_at_most_one() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);
    site.submit(CULPRIT, 1, CRASH);

    // Act.
    for lost_after in [40, 100] {
        let starts = site.culprit_starts();
        while site.culprit_starts() == starts {
            site.pass(TICK);
        }
        site.store_is_up = false;
        site.pass(lost_after);
        site.take_over();
        site.store_is_up = true;
    }
    let forgotten = site.culprit_starts() - site.recorded_losses_of_culprit();
    site.pass(WATCH_TIME);

    // Assert.
    assert!(forgotten <= 1, "{forgotten} starts are not recorded");
    let starts = site.culprit_starts();
    assert!(starts <= MAX_STARTS, "{starts}");
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn a_suspect_starts_only_when_its_start_is_recorded() {
    // Arrange: the first crash is recorded; the store accepts no more records.
    let mut site = Site::new();
    site.pass(1_000);
    site.submit(CULPRIT, 1, CRASH);
    site.pass(200);
    assert_eq!(site.culprit_starts(), 1);
    site.store_is_up = false;

    // Act
    site.pass(DOWN_TIME + 2_000);
    let starts = site.culprit_starts();
    site.store_is_up = true;
    site.pass(1_000);

    // Assert
    assert_eq!(starts, 1);
    assert_eq!(site.culprit_starts(), 2);
}

#[test]
fn a_life_that_was_lost_stays_in_the_roster_until_its_losses_are_recorded() {
    // Arrange: a worker crashes under a task and is lost while nothing can be recorded.
    let mut site = Site::new();
    site.pass(1_000);
    let ids = |entries: &[WorkerEntry]| -> BTreeSet<String> {
        let ids = entries.iter().map(|entry| entry.life.id.clone());
        ids.collect()
    };
    let before = ids(&site.entries);
    site.submit(CULPRIT, 1, CRASH);
    site.store_is_up = false;
    site.pass(DOWN_TIME + 2_000);
    let lost = before.difference(&ids(&site.entries)).next().cloned();
    let lost = lost.expect("a worker has crashed");
    let is_in_roster = |site: &Site| {
        let (_, entries) = site.cell.roster();
        entries.iter().any(|entry| entry.worker.life.id == lost)
    };

    // Act
    let before = is_in_roster(&site);
    site.store_is_up = true;
    site.pass(100);

    // Assert: until the loss is recorded, a successor must find the life in the roster.
    assert!(before);
    assert!(!is_in_roster(&site));
}
