//! A task that takes down every worker that starts it.
//!
//! Seen: on a site with 48 workers two tasks were started again each 3.4 s, seven times and more, and each
//! start took its worker down within 10 ms, with up to ten runs of other jobs.  How it came about: the
//! start was answered or not, the worker was given up when its next life answered, and its runs were
//! taken off without a trace, so the task waited again like a new one.  Cause: only ends that a worker
//! lists were counted, and a worker that crashes lists none.  Proof: the log had the same three lines
//! eight times over, none of them with a count, four times from one owner; here the same happens
//! with one owner, and with another one each time.
//!
//! The load: each of 12 workers runs short tasks of other jobs all the time, since it is those that
//! must not be taken for the culprit, and a worker is back 3.4 s after its crash, as on that site.

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
const TICK: Millis = 10;
/// A worker is back so long after it has crashed.
const DOWN: Millis = 3_400;
/// The text of tasks that crash the worker that starts them.
const CRASH: &str = "crash";
/// The text of tasks whose start is answered just before the worker crashes, as seven of eight were.
const ANSWERED_CRASH: &str = "answered crash";
/// The id of the job at fault.
const CULPRIT: u64 = 0xbad;
/// A task at fault may be started twice more after three workers have crashed under it.
const MOST_STARTS: usize = 5;
/// Long enough for fifteen starts that follow one another as on the site.
const DAY: Millis = 60_000;

/// A cell with its workers and the rows that its owner has recorded.
struct Site {
    now: Millis,
    epoch: u64,
    cell: Cell,
    queue: Queue,
    entries: Vec<WorkerEntry>,
    /// Workers by the id of their present life; none while they are down.
    workers: BTreeMap<String, MemoryWorker>,
    /// When a worker that has crashed is back, by its place.
    back: BTreeMap<usize, Millis>,
    lives: u16,
    rows: BTreeMap<JobId, JobRow>,
    progress: BTreeMap<JobId, JobProgress>,
    roster: Vec<RosterEntry>,
    /// Every start that a worker carried out.
    starts: BTreeMap<TaskName, usize>,
    /// How many workers have crashed.
    crashes: usize,
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
            back: BTreeMap::new(),
            lives: WORKERS,
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

    /// Another owner claims the cell and reads its rows.
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

    /// Hands a job in with tasks of this text.
    fn submit(&mut self, id: u64, tasks: u32, text: &str) {
        let mut row = job(id, &self.queue, vec![step(tasks, 1_000)]);
        row.spec.text = text.to_owned();
        self.cell.accept(&row, None, false, self.now);
        self.rows.insert(row.id, row);
    }

    /// Time passes, while other jobs come at 100 a second, each of a task of 0.8 s.
    fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let id = 0x1_0000 + self.now;
            self.submit(id, 1, "800");
            self.turn();
        }
    }

    fn turn(&mut self) {
        self.come_back();
        self.look();
        self.cell.tick(self.now);
        self.cell.schedule(self.now);
        for order in self.cell.take_orders() {
            match order {
                Order::Start(order) => self.start(&order),
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

    fn start(&mut self, order: &StartOrder) {
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

    /// A life of a worker is over; its entry stays until the next one writes.
    fn crash(&mut self, id: &str) {
        let place = self.entries.iter().position(|entry| entry.life.id == id);
        let place = place.expect("a listed worker");
        self.workers.remove(id);
        self.crashes += 1;
        self.back.insert(place, self.now + DOWN);
    }

    fn come_back(&mut self) {
        let due = |(&place, &at): (&usize, &Millis)| (at <= self.now).then_some(place);
        let due: Vec<usize> = self.back.iter().filter_map(due).collect();
        for place in due {
            self.back.remove(&place);
            self.entries[place].life.id = format!("w{}", self.lives);
            self.lives += 1;
            let entry = self.entries[place].clone();
            self.workers
                .insert(entry.life.id.clone(), MemoryWorker::default());
            self.cell.list_worker(entry, self.now);
        }
    }

    fn look(&mut self) {
        for key in self.cell.worker_keys() {
            let Some(order) = self.cell.poll_order(key, self.now) else {
                continue;
            };
            let answer = match self.workers.get_mut(&order.to.life.id) {
                Some(worker) => worker.poll(&order, self.now),
                None => Err(PollFailure::Unanswered),
            };
            match answer {
                Ok(look) => self.cell.poll_answered(&order, &look, self.now),
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

    /// How often a worker has carried out a start of the culprit.
    fn culprit_starts(&self) -> usize {
        let of_culprit = |(task, _): &(&TaskName, &usize)| task.step.job == JobId(CULPRIT);
        self.starts
            .iter()
            .filter(of_culprit)
            .map(|(_, starts)| starts)
            .sum()
    }

    /// Each owner is lost within this time of a start of the culprit.  Tells how often that was started.
    fn lose_owners(&mut self, time: Millis, within: Millis) -> usize {
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

    /// Of how many starts of the culprit a successor would know.
    fn recorded_losses_of_culprit(&self) -> usize {
        let progress = self.progress.get(&JobId(CULPRIT));
        let tasks = progress.into_iter().flat_map(|progress| &progress.tasks);
        tasks.map(|task| task.losses.len()).sum()
    }

    /// The worker on which a task of that job runs.
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

    /// Other jobs that are shown as failed.
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
    site.pass(DAY);

    // Assert.
    assert!(
        site.culprit_starts() <= MOST_STARTS,
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

    // Act: each owner is lost 300 ms after a worker has crashed, and the next one finds out.
    site.submit(CULPRIT, 1, CRASH);
    let starts = site.lose_owners(DAY, 300);

    // Assert.
    assert!(starts <= MOST_STARTS, "{starts}");
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

    // Act: the owner is lost with all that it could not record, three times over.
    for _ in 0..3 {
        site.pass(8_000);
        site.take_over();
    }
    site.store_is_up = true;
    site.pass(DAY);

    // Assert: one start that was forgotten with each owner, and two that were not.
    assert!(
        site.culprit_starts() <= MOST_STARTS,
        "{}",
        site.culprit_starts()
    );
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
}

#[test]
fn a_step_that_is_at_fault_as_a_whole_costs_no_more_than_a_third_of_the_workers() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);

    // Act: twice as many tasks as there are workers.
    site.submit(CULPRIT, 24, CRASH);
    site.pass(DAY);

    // Assert: what the first round of starts took down, and a few that were tried by themselves.
    assert!(site.crashes <= 4, "{}", site.crashes);
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn workers_that_crash_by_themselves_are_held_against_no_task() {
    // Arrange: 40 tasks of 3 s.
    let mut site = Site::new();
    site.submit(CULPRIT, 40, "3000");

    // Act: every 2 s half of the workers crash, each time before the longer tasks are done.
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
    site.pass(DAY);

    // Assert.
    assert_eq!(site.culprit_state(), Some(JobState::Succeeded));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn a_worker_that_is_cut_off_or_removed_has_not_crashed() {
    // Arrange: a start to a worker that is cut off brings no answer.
    let mut site = Site::new();
    site.submit(CULPRIT, 1, "3000");
    site.turn();

    // Act: each worker that runs the task is cut off for good and its entry goes.
    for _ in 0..5 {
        let holder = site.holder_of_culprit();
        site.workers.remove(&holder);
        site.entries.retain(|entry| entry.life.id != holder);
        let now = site.now;
        site.cell.unlist_worker(&holder, now);
        site.pass(4_500);
    }
    site.pass(DAY);

    // Assert.
    assert_eq!(site.culprit_state(), Some(JobState::Succeeded));
}

#[test]
fn a_task_whose_start_is_answered_before_its_worker_crashes_is_given_up_as_soon() {
    // Arrange: starts of other jobs are on their way to the same worker as it crashes.
    let mut site = Site::new();
    site.pass(1_000);

    // Act.
    site.submit(CULPRIT, 1, ANSWERED_CRASH);
    site.pass(DAY);

    // Assert: two crashes that speak against it alone, and one before it was tried by itself.
    assert!(site.culprit_starts() <= 3, "{}", site.culprit_starts());
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

/// Seen in random runs: a culprit was started six times, where five starts are allowed.  Two owners were
/// lost 40 and 100 ms after its start, before the silence of its worker had been noted and recorded,
/// and each took its start with it.  Cause: nothing durable told of a start.  Proof: the core's log shows no
/// loss of those runs with any later owner.
#[test]
fn of_many_owners_that_are_lost_just_after_a_start_one_forgets_it() {
    // Arrange.
    let mut site = Site::new();
    site.pass(1_000);

    // Act: each owner is lost within 10 ms of the start.
    site.submit(CULPRIT, 1, CRASH);
    let starts = site.lose_owners(2 * DAY, TICK);

    // Assert.
    assert!(starts <= MOST_STARTS, "{starts}");
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

/// Seed 4225 of the random runs as a script: two owners are lost 40 and 100 ms after their starts of a
/// task, before its crash is recorded, and it was started a sixth time.
#[test]
fn two_owners_that_are_lost_40_and_100_ms_after_their_starts_forget_one() {
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
    site.pass(DAY);

    // Assert.
    assert!(forgotten <= 1, "{forgotten} starts are forgotten");
    let starts = site.culprit_starts();
    assert!(starts <= MOST_STARTS, "{starts}");
    assert_eq!(site.culprit_state(), Some(JobState::Failed));
    assert_eq!(site.failed_others(), []);
}

#[test]
fn a_suspect_starts_only_when_its_start_is_recorded() {
    // Arrange: its first crash is recorded; nothing else can be.
    let mut site = Site::new();
    site.pass(1_000);
    site.submit(CULPRIT, 1, CRASH);
    site.pass(200);
    assert_eq!(site.culprit_starts(), 1);
    site.store_is_up = false;

    // Act
    site.pass(DOWN + 2_000);
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
    site.pass(DOWN + 2_000);
    let lost = before.difference(&ids(&site.entries)).next().cloned();
    let lost = lost.expect("a worker has crashed");
    let is_told = |site: &Site| {
        let (_, entries) = site.cell.roster();
        entries.iter().any(|entry| entry.worker.life.id == lost)
    };

    // Act
    let before = is_told(&site);
    site.store_is_up = true;
    site.pass(100);

    // Assert: a successor would find out; once it could read of the loss, it need not.
    assert!(before);
    assert!(!is_told(&site));
}
