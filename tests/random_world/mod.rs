//! Fixture: a simulated cell of four workers and one owner after the other, with random faults that
//! the seed of the world determines.  Calls and answers are delayed, so several polls, starts and
//! stops are in flight at once and overtake one another.
//!
//! Invariants are checked on what the workers ran (`checks`).
#![allow(dead_code, unused_imports)]

mod checks;
mod first_starts;
mod owner_loss;
mod settings;
mod wire;
mod workers;

pub use first_starts::{FirstStart, FirstStarts, MAX_HEARING_TIME};
pub use owner_loss::Moment;
pub use settings::{number, print_log};

use crate::cell_core::{
    advised_queue, configuration, job, queue, shared_configuration, step, worker, workspace,
};
use crate::halls::{HALLS, Operator};
use crate::lives::WorkerLife;
use crossweir::cell::intake::CancelOutcome;
use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::name::{StepName, TaskName};
use crossweir::cell::options::Options;
use crossweir::cell::order::{
    EndEntry, PollFailure, PollOrder, PollReport, StartOrder, StartOutcome, StopOrder,
};
use crossweir::cell::record::{JobProgress, JobRow};
use crossweir::cell::roster::{RosterChange, RosterEntry};
use crossweir::cell::spec::{Demand, JobId};
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, RunKey, WorkerKey, tuning};
use crossweir::clock::Millis;
use crossweir::embedded::worker::{MemoryWorker, RunRecord};
use crossweir::queue::{Configuration, Queue};
use crossweir::workspace::Workspace;
use first_starts::URGENT_QUEUE;
use owner_loss::OwnerLoss;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const WORKERS: u16 = 4;
const TICK: Millis = 20;
/// How long faults occur; the remaining jobs must then end within [`RECOVERY_TIME`].
const FAULT_TIME: Millis = 20_000;
const RECOVERY_TIME: Millis = 60_000;
/// Longest delay of an order that was given up as unanswered.
const MAX_ORDER_DELAY: Millis = 12_000;
/// How many of a hundred starts are given up as unanswered and arrive late, unless `CROSSWEIR_LATE`
/// sets another share.
const LATE_START_PERCENT: u64 = 5;
/// Longest delay of a call or an answer that is not lost.
const MAX_MESSAGE_DELAY: Millis = 120;
/// Longest time that a worker holds a poll open, as `tuning::POLL_WAIT`.
const MAX_POLL_HOLD: Millis = 600;
/// How long the owner waits for the answer to a start or stop, as the platform adapter does.
const ORDER_TIMEOUT: Millis = 250;
/// Run times of tasks are below this, in milliseconds.
const MAX_RUN_TIME: u64 = 1_500;
/// Shortest run time, in milliseconds, where workers restart under the same ids.  It is longer than
/// a call and its answer take, as it is for all tasks that callers submit: a poll that overtakes a
/// whole run and the answer to its start could make the next life forget an end that nobody can
/// know of (docs/FINDINGS.md, "Lives").
const MIN_RUN_TIME: u64 = 300;
/// The text of crashing tasks: each worker that starts one crashes.
const CRASHING_TASK: &str = "crash";
/// A worker that a crashing task has crashed is back within this.
const MAX_CRASH_DOWNTIME: Millis = 6_000;
/// A worker that restarts under its id is back within this, three in ten at once, and its new life
/// is listed within [`MAX_LISTING_DELAY`] of that.
const MAX_RESTART_TIME: Millis = 3_000;
const MAX_LISTING_DELAY: Millis = 1_000;
/// Longest time after the end of a life until a write that it had in flight reaches the store.
const MAX_ENTRY_DELAY: Millis = 3_000;
/// Where clocks tell nothing of a life's age, they begin below this reading.
const MAX_FIRST_READING: Millis = 10_000_000;
/// How old a life is when it is cut off there, and for how long it stays so.
const YOUNG_LIFE: std::ops::Range<Millis> = 300..1_500;
const CUT_OF_YOUNG_LIFE: std::ops::Range<Millis> = 2_000..9_000;
/// In worlds with long runs, every second job has tasks of up to this time, which is longer than an
/// owner's lease and the silence of most workers.
const MAX_LONG_RUN_TIME: u64 = 9_000;
/// The interval at which each worker writes its entry, which is dropped after three intervals
/// without a write.
const HEARTBEAT: Millis = 1_500;
const ENTRY_LIFETIME: Millis = 3 * HEARTBEAT;
/// Where workers restart under the same ids, one life in this many fails all its tasks.
const FAILING_LIFE_ONE_IN: u32 = 4;
/// How often a task may fail in these worlds.
const ATTEMPTS: u32 = 3;
/// How often a crashing task may be started: twice more after three workers have crashed under it.
const MOST_CRASHES: usize = 5;

/// Accelerators of a worker.
const GPUS: u64 = 4;
/// Workspaces of the jobs in worlds with caps, where contended capacity is divided by weight.
const WORKSPACES: [&str; 2] = ["a", "b"];
/// Their caps in cores, of 64 in the cell: drawn anew from time to time, and in the end wide enough
/// for any gang ([`FINAL_CAP`]).
const CAP_RANGE: std::ops::Range<u64> = 4..40;
const FINAL_CAP: u64 = 40;
/// Their weights are below this, and drawn together with the caps.
const MAX_WEIGHT: u32 = 4;
/// The longest time for which a step may find no room while its workspace is within its share.  Most
/// of it is lost room: a worker may be cut off for 8 s, and one that was lost holds its room until
/// its lease is over.  The longest wait in 880 worlds was 7.6 s.
const MAX_WAIT_WITHIN_SHARE: Millis = 20_000;
/// How often the waiting steps are looked at.
const SHARE_CHECK_INTERVAL: Millis = 200;

fn worker_with_gpus(number: u16) -> WorkerEntry {
    let mut entry = worker(number);
    entry.capacity.gpus = GPUS;
    entry
}

/// An order whose answer is lost and that a worker executes late.
enum DelayedOrder {
    Start(StartOrder),
    Stop(StopOrder),
}

/// A call or an answer between the owner and a worker.
enum Payload {
    Start(StartOrder),
    StartAnswer(RunKey, StartOutcome, Option<Millis>),
    Stop(StopOrder),
    StopAnswer(WorkerKey, RunKey),
    Poll(PollOrder),
    PollAnswer(PollOrder, Result<PollReport, PollFailure>),
}

/// A message in flight.
struct Message {
    /// When it arrives.
    at: Millis,
    /// The epoch of the owner that sent it or is to receive it.
    epoch: u64,
    payload: Payload,
}

/// The entry of an ended life, which the last write of that life restores from `at` to `until`.
struct FormerEntry {
    at: Millis,
    until: Millis,
    entry: WorkerEntry,
}

/// A start whose outcome the owner does not know.
struct UnresolvedStart {
    task: TaskName,
    /// The life of the worker.
    life: String,
    /// When it was given up as unanswered: a poll of that life sent later tells the outcome.
    given_up: Option<Millis>,
}

/// The present owner.  A former owner is dropped with its cell: of its messages in flight, orders
/// still reach the workers and answers reach nobody.  A suspended process that wakes as a former
/// owner gives no orders either, since `tuning::OWNER_STOP_TIME` is over by then.
struct Owner {
    cell: Cell,
    keys: BTreeMap<String, WorkerKey>,
    confirmed: Millis,
}

/// A cell with its workers, its owner and the rows of the store.
pub struct World {
    rng: StdRng,
    now: Millis,
    /// Workers by the id of their present life.
    workers: BTreeMap<String, WorkerLife>,
    entries: Vec<WorkerEntry>,
    /// The entries that the store lists of them, and when it lists a new life, by index in
    /// `entries`.
    listed_entries: Vec<WorkerEntry>,
    pending_listings: Vec<(Millis, usize)>,
    /// Workers restart under the same id.
    keeps_ids: bool,
    /// Draws the first reading of each life's clock; `None` if all clocks begin at 0.
    clocks: Option<StdRng>,
    /// Some tasks run for up to [`MAX_LONG_RUN_TIME`].
    has_long_runs: bool,
    /// Workers that will be cut off: from when, their ids, and until when.
    coming_cuts: Vec<(Millis, String, Millis)>,
    /// Entries of ended lives are restored by late writes, and those of new lives are delayed.
    has_late_entries: bool,
    /// Owners are deaf for seconds, and that is the only fault beside lost messages and new owners.
    deafens_owners: bool,
    /// Until then no answer of a worker reaches the owner; witnesses hear workers all the same.
    deaf_until: Millis,
    delayed_entries: Vec<FormerEntry>,
    stale_entries: Vec<FormerEntry>,
    /// Ended lives of workers, with what they have run.
    ended_lives: Vec<WorkerLife>,
    next_worker_number: u16,
    delayed_orders: Vec<(Millis, DelayedOrder)>,
    /// Calls and answers in flight.
    messages: Vec<Message>,
    rows: BTreeMap<u64, JobRow>,
    progress: BTreeMap<JobId, JobProgress>,
    roster: Vec<RosterEntry>,
    cancelled: BTreeSet<JobId>,
    owner: Owner,
    epoch: u64,
    /// An urgent queue, and one of lower priority that needs advice.
    queues: [Queue; 2],
    /// The numbers of jobs whose rows the owner could not read yet.
    unread: Vec<u64>,
    /// The ends that each worker listed last, by its id.
    listed: BTreeMap<String, Vec<EndEntry>>,
    /// When a worker was first told to forget the successful end of a task.
    acknowledged_tasks: BTreeMap<TaskName, Millis>,
    /// Runs whose successful end a worker was told to forget before its lease had expired.
    acknowledged_runs: BTreeSet<(TaskName, u64)>,
    /// Lives that a poll meant for them has reached.
    polled_lives: BTreeSet<Life>,
    /// Starts that were meant for a former life and executed by one that no poll had reached, and
    /// when.
    starts_by_wrong_life: BTreeSet<(TaskName, u64, Millis)>,
    /// Runs whose failure a worker was told to forget before its lease had expired.
    acknowledged_failures: BTreeSet<(TaskName, u64)>,
    /// The ticks at which the lease of a worker's present life was expired, by id.
    lease_expiries: BTreeMap<String, Vec<Millis>>,
    /// No more faults occur.
    faults_ended: bool,
    store_down_until: Millis,
    /// Until when a worker cannot be reached and runs on, by id.
    disconnected_until: BTreeMap<String, Millis>,
    /// Some jobs have crashing tasks.
    has_crashing_tasks: bool,
    /// When a worker that is down begins its next life, by its index in `entries`.
    restarts: BTreeMap<usize, Millis>,
    /// How often each crashing task was started, and how many workers have crashed under each task.
    crash_starts: BTreeMap<TaskName, usize>,
    crashed_under: BTreeMap<TaskName, usize>,
    /// The epochs of owners that have started a crashing task without recording the run, so that no
    /// successor could know of it.
    unrecorded_start_epochs: BTreeMap<TaskName, BTreeSet<u64>>,
    /// The numbers of runs that were recorded as possible losses, including those of ended jobs.
    recorded_runs: BTreeSet<u64>,
    /// Starts whose outcome the owner does not know, by its epoch and the run.
    unresolved_starts: BTreeMap<(u64, RunKey), UnresolvedStart>,
    /// Since when each version of the configuration is in force, and its workspaces; empty in
    /// worlds without caps.
    caps: Vec<(Millis, Vec<Workspace>)>,
    /// Since when each step has found no room although its workspace is within its share.
    waits_within_share: BTreeMap<StepName, Millis>,
    /// The longest such time, and how often a step was beyond the share of its workspace.
    longest_wait_within_share: Millis,
    steps_beyond_share: usize,
    /// How often a workspace beyond its share had an expected wait of its own.
    own_expected_waits: usize,
    /// Evacuates halls and takes them back; `None` if nobody does.
    operator: Option<Operator>,
    /// How many idle workers stay awake; `None` if all do.
    idle_reserve: Option<usize>,
    /// What was ordered, recorded and lost, in order.
    history: Vec<String>,
    /// Loses owners just after certain moments; `None` if they are lost at random times only.
    owner_loss: Option<OwnerLoss>,
    /// How long urgent jobs wait for their first start after a change of owner.
    first_starts: FirstStarts,
}

impl World {
    /// A world whose workers restart under new ids.
    pub fn new(seed: u64) -> Self {
        let queues = [queue(URGENT_QUEUE, 0), advised_queue("later", 2)].map(|queue| Queue {
            attempts: 1_000,
            ..queue
        });
        let entries: Vec<WorkerEntry> = (0..WORKERS).map(worker_with_gpus).collect();
        let ids = entries.iter().map(|entry| entry.life.id.clone());
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            workers: ids
                .map(|id| (id, WorkerLife::begun_at(0, MemoryWorker::default())))
                .collect(),
            listed_entries: entries.clone(),
            pending_listings: Vec::new(),
            keeps_ids: false,
            clocks: None,
            has_long_runs: false,
            coming_cuts: Vec::new(),
            has_late_entries: false,
            deafens_owners: false,
            deaf_until: 0,
            delayed_entries: Vec::new(),
            stale_entries: Vec::new(),
            entries,
            ended_lives: Vec::new(),
            next_worker_number: WORKERS,
            delayed_orders: Vec::new(),
            messages: Vec::new(),
            rows: BTreeMap::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
            cancelled: BTreeSet::new(),
            owner: Owner {
                cell: Cell::new(0, configuration(&[]), 0),
                keys: BTreeMap::new(),
                confirmed: 0,
            },
            epoch: 0,
            queues,
            unread: Vec::new(),
            listed: BTreeMap::new(),
            acknowledged_tasks: BTreeMap::new(),
            acknowledged_runs: BTreeSet::new(),
            polled_lives: BTreeSet::new(),
            starts_by_wrong_life: BTreeSet::new(),
            acknowledged_failures: BTreeSet::new(),
            lease_expiries: BTreeMap::new(),
            faults_ended: false,
            store_down_until: 0,
            disconnected_until: BTreeMap::new(),
            has_crashing_tasks: false,
            restarts: BTreeMap::new(),
            crash_starts: BTreeMap::new(),
            crashed_under: BTreeMap::new(),
            unrecorded_start_epochs: BTreeMap::new(),
            recorded_runs: BTreeSet::new(),
            unresolved_starts: BTreeMap::new(),
            caps: Vec::new(),
            waits_within_share: BTreeMap::new(),
            longest_wait_within_share: 0,
            own_expected_waits: 0,
            steps_beyond_share: 0,
            operator: None,
            idle_reserve: None,
            history: Vec::new(),
            owner_loss: None,
            first_starts: FirstStarts::default(),
        };
        world.take_over();
        world
    }

    /// Puts the workers into two halls, which are evacuated and taken back.
    pub fn with_evacuations(mut self) -> Self {
        for (place, entry) in self.entries.iter_mut().enumerate() {
            entry.hall = HALLS[place % HALLS.len()].to_owned();
        }
        self.listed_entries = self.entries.clone();
        self.operator = Some(Operator::default());
        self.take_over();
        self
    }

    /// Parks all idle workers but one.
    pub fn with_parking(mut self) -> Self {
        self.idle_reserve = Some(1);
        self.take_over();
        self
    }

    /// Puts two of three jobs into workspaces whose caps and weights change, and divides contended
    /// capacity among them.
    pub fn with_caps(mut self) -> Self {
        self.change_caps(CAP_RANGE);
        self
    }

    pub(super) fn config(&self) -> Arc<Configuration> {
        match self.caps.last() {
            Some((_, list)) => shared_configuration(self.caps.len() as u64 + 1, &self.queues, list),
            None => configuration(&self.queues),
        }
    }

    /// Draws new caps and weights and puts them in force at the owner.
    pub(super) fn change_caps(&mut self, cores: std::ops::Range<u64>) {
        let mut draw = |name: &str| Workspace {
            weight: self.rng.random_range(0..MAX_WEIGHT).into(),
            ..workspace(name, self.rng.random_range(cores.clone()))
        };
        let list = WORKSPACES.iter().map(|name| draw(name)).collect();
        self.caps.push((self.now, list));
        let config = self.config();
        self.owner.cell.configure(config);
        self.owner.cell.set_options(self.options());
    }

    /// Contended capacity is divided among workspaces if there are any.
    fn options(&self) -> Options {
        Options {
            shares: !self.caps.is_empty(),
            ..Options::default()
        }
    }

    /// The workspace of a job, in the newest configuration.
    pub(super) fn workspace_of(&self, job: u64) -> Option<Workspace> {
        let (_, list) = self.caps.last()?;
        list.get(job as usize % (WORKSPACES.len() + 1)).cloned()
    }

    /// A world in which some tasks crash each worker that starts them.
    pub fn with_crashing_tasks(seed: u64) -> Self {
        Self {
            has_crashing_tasks: true,
            ..Self::new(seed)
        }
    }

    /// A world whose workers report when they started and restart under the same ids, and where
    /// some lives fail all their tasks.
    pub fn with_kept_ids(seed: u64, has_crashing_tasks: bool) -> Self {
        let mut world = Self::new(seed);
        world.has_crashing_tasks = has_crashing_tasks;
        world.keeps_ids = true;
        for queue in &mut world.queues {
            queue.attempts = ATTEMPTS;
        }
        for place in 0..world.entries.len() {
            world.begin_life(place);
        }
        world.listed_entries = world.entries.clone();
        world.epoch = 0;
        world.take_over();
        world
    }

    /// Lets the clocks of workers begin at any reading, cuts off young lives, and some tasks run for
    /// longer than an owner's lease: a lease that was meant for another clock then lasts longer than
    /// its owner meant, and shows.
    pub fn with_unrelated_clocks(mut self, seed: u64) -> Self {
        self.clocks = Some(StdRng::seed_from_u64(seed));
        self.has_long_runs = true;
        self.draw_clocks();
        self
    }

    /// Adds late entries of workers: ended lives are listed again, and new lives are listed late.
    pub fn with_late_entries(mut self) -> Self {
        self.has_late_entries = true;
        self
    }

    /// Replaces most faults by owners that hear no worker for seconds, as with a full link.
    pub fn with_deaf_owners(mut self) -> Self {
        self.deafens_owners = true;
        self
    }

    pub(super) fn is_deaf(&self) -> bool {
        self.now < self.deaf_until
    }

    /// Draws with this chance whether a fault occurs; never once the faults have ended.
    pub(super) fn chance(&mut self, percent: u32) -> bool {
        !self.faults_ended && self.rng.random_ratio(percent, 100)
    }

    pub(super) fn store_is_up(&self) -> bool {
        self.now >= self.store_down_until
    }

    pub(super) fn is_disconnected(&self, id: &str) -> bool {
        self.disconnected_until
            .get(id)
            .is_some_and(|&until| self.now < until)
    }

    fn add_history(&mut self, what: String) {
        self.history.push(format!("{} {what}", self.now));
    }

    /// What was ordered, recorded and lost, one line for each event, which begins with its time.
    pub fn history(&self) -> &[String] {
        &self.history
    }

    /// Ends the world and returns the first starts of its urgent jobs.
    pub fn into_first_starts(self) -> FirstStarts {
        self.first_starts
    }

    /// A successor claims the cell and reads its rows.
    pub(super) fn take_over(&mut self) {
        if !self.store_is_up() {
            return;
        }
        self.epoch = tuning::next_epoch(self.epoch);
        tracing::debug!(now = self.now, epoch = self.epoch, "owner changes");
        self.add_history(format!("owner {} begins", self.epoch));
        let mut cell = Cell::new(self.epoch, self.config(), self.now);
        cell.set_lanes(&[true]);
        cell.set_options(self.options());
        if let Some(idle_reserve) = self.idle_reserve {
            cell.set_idle_reserve(idle_reserve);
        }
        cell.restore_roster(self.roster.clone(), self.now);
        cell.list_workers(self.entries_in_store(), self.now);
        if let Some(operator) = &mut self.operator {
            cell.set_evacuated_halls(&operator.read_store());
        }
        // Part of the store may be unreadable at this moment.
        let has_unreadable_rows = self.draws_unreadable_rows();
        let readable = if self.chance(30) || has_unreadable_rows {
            2
        } else {
            3
        };
        self.unread.clear();
        for (&number, row) in &self.rows {
            let progress = self.progress.get(&row.id);
            if number % 3 < readable {
                cell.accept(row, progress, true, self.now);
                continue;
            }
            self.unread.push(number);
            if let Some(progress) = progress {
                cell.add_unread_job_progress(row.id, progress.clone());
            }
        }
        cell.set_has_unread_jobs(!self.unread.is_empty());
        self.owner = Owner {
            cell,
            keys: BTreeMap::new(),
            confirmed: self.now,
        };
        self.first_starts.note_claim(self.now);
        self.note_moment(Moment::Claim);
    }

    /// Runs the world until all jobs have ended or the time for recovery is over.
    pub fn play(&mut self) {
        // Claims before the play are no changes of owner: there is no job yet.
        self.first_starts = FirstStarts::default();
        while self.now < FAULT_TIME {
            self.inject_faults();
            self.tick();
        }
        self.faults_ended = true;
        for worker in self.workers.values_mut() {
            worker.memory.fails_all_tasks = false;
        }
        self.store_down_until = 0;
        self.deaf_until = 0;
        self.disconnected_until.clear();
        self.coming_cuts.clear();
        if !self.caps.is_empty() {
            self.change_caps(FINAL_CAP..FINAL_CAP + 1);
        }
        if let Some(operator) = &mut self.operator {
            operator.reopen_all();
        }
        let recovery_time = self.recovery_time();
        while self.now < FAULT_TIME + recovery_time && !self.is_done() {
            self.tick();
        }
    }

    pub(super) fn inject_faults(&mut self) {
        if self.deafens_owners {
            return self.deafen_owners();
        }
        if self.chance(6) && self.rows.len() < 30 {
            self.submit();
        }
        if self.chance(3) {
            self.resubmit();
        }
        if self.chance(1) && self.rng.random_ratio(1, 2) {
            self.take_over();
        }
        if self.chance(1) && self.rng.random_ratio(1, 2) {
            self.restart_worker();
        }
        if self.chance(1) && self.rng.random_ratio(1, 4) {
            self.store_down_until = self.now + self.rng.random_range(200..4_000);
        }
        if self.chance(1) {
            self.cancel();
        }
        if !self.caps.is_empty() && self.chance(1) {
            self.change_caps(CAP_RANGE);
        }
        if self.operator.is_some() && self.chance(1) {
            let now = self.now;
            let operator = self.operator.as_mut().expect("an operator");
            operator.toggle_hall(&mut self.rng, now);
        }
        if self.chance(1) && self.rng.random_ratio(1, 2) {
            let place = self.rng.random_range(0..self.entries.len());
            let until = self.now + self.rng.random_range(200..8_000);
            self.disconnected_until
                .insert(self.entries[place].life.id.clone(), until);
        }
    }

    fn deafen_owners(&mut self) {
        if self.chance(6) && self.rows.len() < 30 {
            self.submit();
        }
        if self.chance(1) && self.rng.random_ratio(1, 4) {
            self.take_over();
        }
        if self.chance(1) {
            self.deaf_until = self.now + self.rng.random_range(200..8_000);
        }
    }

    pub(super) fn submit(&mut self) {
        let number = self.rows.len() as u64 + 1;
        let tasks = self.rng.random_range(1..6);
        let mut first = step(tasks, self.rng.random_range(1..8) * 1_000);
        if self.rng.random_ratio(1, 3) {
            first.demand.gpus = self.rng.random_range(1..=GPUS);
        }
        first.gang = self.rng.random_ratio(1, 4);
        if first.gang {
            // Five members must fit on four workers.
            first.demand.gpus = first.demand.gpus.min(2);
        }
        first.estimate = MAX_RUN_TIME;
        let mut second = step(2, 1_000);
        second.after = vec![0];
        second.estimate = MAX_RUN_TIME;
        // A gang in the queue that needs advice might never have enough approved workers.
        let later = self.rng.random_bool(0.5) && !first.gang;
        let queue = &self.queues[usize::from(later)];
        let mut row = job(number, queue, vec![first, second]);
        let shortest = if self.keeps_ids { MIN_RUN_TIME } else { 20 };
        let longest = match self.has_long_runs && number.is_multiple_of(2) {
            true => MAX_LONG_RUN_TIME,
            false => MAX_RUN_TIME,
        };
        row.spec.text = self.rng.random_range(shortest..longest).to_string();
        row.workspace = self.workspace_of(number);
        if self.has_crashing_tasks && self.rng.random_ratio(1, 6) {
            row.spec.text = CRASHING_TASK.to_owned();
        }
        if self.store_is_up() {
            self.owner.cell.accept(&row, None, false, self.now);
            self.first_starts.note_submission(&row, self.now);
            self.rows.insert(number, row);
        }
    }

    /// A caller submits a job again whose row the owner may not have read yet.
    pub(super) fn resubmit(&mut self) {
        let count = self.unread.len();
        if count == 0 || !self.store_is_up() {
            return;
        }
        let number = self.unread[self.rng.random_range(0..count)];
        let row = &self.rows[&number];
        self.owner.cell.accept(row, None, false, self.now);
    }

    pub(super) fn cancel(&mut self) {
        let Some(number) = (!self.rows.is_empty()).then(|| {
            let last = self.rows.len() as u64;
            self.rng.random_range(1..=last)
        }) else {
            return;
        };
        let id = JobId(number);
        if self.owner.cell.cancel(id) == CancelOutcome::Decided {
            self.first_starts.note_cancellation(id);
        }
    }

    pub(super) fn tick(&mut self) {
        self.now += TICK;
        self.lose_due_owner();
        tracing::trace!(now = self.now, "tick");
        self.begin_due_lives();
        self.begin_due_cuts();
        self.list_new_lives();
        self.update_stale_entries();
        self.note_lease_expiries();
        self.execute_delayed_orders();
        self.deliver();
        if self.store_is_up() {
            self.owner.confirmed = self.now;
            self.read_remaining_rows();
        }
        // An owner without confirmation gives no orders after this time.
        if self.now - self.owner.confirmed < tuning::OWNER_STOP_TIME {
            self.poll_workers();
            self.deliver();
            self.run_scheduling_round();
            self.check_expected_waits();
            self.deliver();
        }
        self.record();
        self.check();
        if !self.caps.is_empty() && self.now.is_multiple_of(SHARE_CHECK_INTERVAL) {
            self.check_waits_within_share();
        }
    }

    /// From time to time, the owner reads the rows that it could not read at first.
    pub(super) fn read_remaining_rows(&mut self) {
        if self.unread.is_empty() || !(self.faults_ended || self.rng.random_ratio(1, 30)) {
            return;
        }
        for number in std::mem::take(&mut self.unread) {
            let row = &self.rows[&number];
            self.owner.cell.accept(row, None, true, self.now);
        }
        self.owner.cell.set_has_unread_jobs(false);
        self.note_moment(Moment::Reading);
    }

    pub(super) fn record(&mut self) {
        if !self.store_is_up() || self.chance(20) {
            return;
        }
        let limit = self.draw_batch_limit();
        let cell = &mut self.owner.cell;
        let (version, changes) = cell.take_roster_changes();
        let mut written: Vec<String> = Vec::new();
        for RosterChange { id, entry } in changes {
            written.push(id.clone());
            self.roster.retain(|known| known.worker.life.id != id);
            self.roster.extend(entry);
        }
        cell.mark_roster_recorded(version);
        let ids = |roster: &[RosterEntry]| -> BTreeSet<String> {
            let ids = roster.iter().map(|entry| entry.worker.life.id.clone());
            ids.collect()
        };
        assert_eq!(ids(&self.roster), ids(&cell.roster().1), "at {}", self.now);
        let batch = cell.take_batch(limit);
        for (_, id, progress) in &batch.rows {
            if progress.state == JobState::Cancelled {
                self.cancelled.insert(*id);
            }
            self.progress.insert(*id, progress.clone());
            written.push(id.to_string());
            let losses = progress.tasks.iter().flat_map(|task| &task.losses);
            for loss in losses.clone() {
                tracing::debug!(now = self.now, %id, state = ?progress.state, ?loss, "loss is recorded");
            }
            self.recorded_runs.extend(losses.map(|loss| loss.run));
        }
        cell.batch_recorded(batch, self.now);
        if !written.is_empty() {
            self.add_history(format!("recorded: {}", written.join(" ")));
            self.note_moment(Moment::Record);
        }
    }
}

/// The resources that these runs hold.
fn held_by(rows: &BTreeMap<u64, JobRow>, runs: impl Iterator<Item = RunRecord>) -> Demand {
    let mut held = Demand::default();
    for run in runs {
        let row = &rows[&run.task.step.job.0];
        held.add(&row.spec.steps[usize::from(run.task.step.step)].demand);
    }
    held
}
