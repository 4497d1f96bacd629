//! Fixture: a cell of four workers and one owner after the other, in a day of random faults that its
//! seed decides.  Calls and answers take their time, so several looks, starts and stops are on their
//! way at once and overtake one another.
//!
//! What must hold is checked on what the workers did (`checks`).
#![allow(dead_code, unused_imports)]

mod aim;
mod checks;
mod settings;
mod wire;
mod workers;

pub use aim::Moment;
pub use settings::{number, print_log};

use crate::cell_core::{
    advised_queue, configuration, job, queue, shared_configuration, step, worker, workspace,
};
use crate::halls::{HALLS, Operator};
use crate::lives::WorkerLife;
use aim::Aim;
use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::name::TaskName;
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
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const WORKERS: u16 = 4;
const TICK: Millis = 20;
/// Trouble lasts so long; what is left must then be done within [`QUIET`].
const TROUBLE: Millis = 20_000;
const QUIET: Millis = 60_000;
/// The most that an order is late.
const MOST_LATE: Millis = 12_000;
/// The most that a call or its answer takes on its way, unless it is lost.
const WAY: Millis = 120;
/// The most that a look is held at a worker, as `tuning::POLL_WAIT`.
const HELD: Millis = 600;
/// How long the owner waits for the answer to a start or stop, as the adapter does.
const ORDER_TIMEOUT: Millis = 250;
/// Tasks run no longer than this.
const LONGEST: u64 = 1_500;
/// Where workers start again under their ids, tasks run longer than a call and its answer take, as all
/// do that the users hand in: a look that overtakes a whole run and its start's answer could make
/// the next life forget what nobody can know of (docs/FINDINGS.md, "Lives").
const SHORTEST: u64 = 300;
/// The text of tasks that crash each worker that starts them.
const CRASH: &str = "crash";
/// A worker that has crashed under such a task is back within this.
const MOST_DOWN: Millis = 6_000;
/// A worker that starts again under its id is back within this, three in ten at once, and is
/// listed within [`MOST_UNLISTED`] of that.
const MOST_AWAY: Millis = 3_000;
const MOST_UNLISTED: Millis = 1_000;
/// A write that a life had on its way as it ended reaches the store so late at most.
const MOST_LATE_ENTRY: Millis = 3_000;
/// Each worker writes its entry so often, and it is dropped after three times of silence.
const HEARTBEAT: Millis = 1_500;
const ENTRY_LASTS: Millis = 3 * HEARTBEAT;
/// Of such lives one in so many fails all its tasks.
const FAILING: u32 = 4;
/// How often a task of theirs may fail.
const ATTEMPTS: u32 = 3;
/// How often such a task may be started: twice more after three workers have crashed under it.
const MOST_CRASHES: usize = 5;

/// Accelerators of a worker.
const GPUS: u64 = 4;
/// Workspaces of the runs that have some.
const TEAMS: [&str; 2] = ["a", "b"];
/// Their caps in cores, of 64: drawn anew from time to time, and wide enough for any gang in the end.
const CAPS: std::ops::Range<u64> = 4..40;
const WIDE: u64 = 40;

fn worker_with_gpus(number: u16) -> WorkerEntry {
    let mut entry = worker(number);
    entry.capacity.gpus = GPUS;
    entry
}

/// An order that is carried out later than it was sent, its answer lost.
enum Late {
    Start(StartOrder),
    Stop(StopOrder),
}

/// A call or an answer on its way between the owner and a worker.
enum Way {
    Start(StartOrder),
    StartAnswer(RunKey, StartOutcome, Option<Millis>),
    Stop(StopOrder),
    StopAnswer(WorkerKey, RunKey),
    Look(PollOrder),
    LookAnswer(PollOrder, Result<PollReport, PollFailure>),
}

/// A message on its way.
struct Message {
    /// When it arrives.
    at: Millis,
    /// The epoch of the owner that sent it or is to hear it.
    epoch: u64,
    way: Way,
}

/// The entry of a life that is over, which its last write brings back.
struct FormerEntry {
    at: Millis,
    until: Millis,
    entry: WorkerEntry,
}

/// A start of which the owner does not know what became of it.
struct UntoldStart {
    task: TaskName,
    /// The life of the worker.
    life: String,
    /// When it was given up as unanswered: a later look at that life tells.
    given_up: Option<Millis>,
}

/// One process's turn as owner.  A former one goes on for a while, as a frozen process
/// that wakes would; its window is over by then, so it only hears answers to old orders.
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
    /// What the platform lists of them, and when it lists a later life.
    listing: Vec<WorkerEntry>,
    to_list: Vec<(Millis, usize)>,
    /// Workers start again under the id that they had.
    keeps_ids: bool,
    /// Entries of lives that are over come back late, and those of the next ones come late.
    has_late_entries: bool,
    to_come_back: Vec<FormerEntry>,
    come_back: Vec<FormerEntry>,
    /// What lives that are over have run.
    graves: Vec<WorkerLife>,
    lives: u16,
    late: Vec<(Millis, Late)>,
    /// Calls and answers that take their time.
    messages: Vec<Message>,
    rows: BTreeMap<u64, JobRow>,
    progress: BTreeMap<JobId, JobProgress>,
    roster: Vec<RosterEntry>,
    cancelled: BTreeSet<JobId>,
    owner: Owner,
    epoch: u64,
    /// An urgent queue, and one that goes behind it and needs advice.
    queues: [Queue; 2],
    /// Jobs whose rows the owner could not read yet.
    unread: Vec<u64>,
    /// Ends that workers listed last, by the worker's id.
    listed: BTreeMap<String, Vec<EndEntry>>,
    /// When a worker was first told to forget that a task has ended well.
    noted: BTreeMap<TaskName, Millis>,
    /// Runs whose good end a worker was told to forget before its lease had run out.
    noted_runs: BTreeSet<(TaskName, u64)>,
    /// Lives that a look has reached which was meant for them.
    reached: BTreeSet<Life>,
    /// Starts that were carried out late by a life which no look had reached, and when.
    astray: BTreeSet<(TaskName, u64, Millis)>,
    /// Runs whose bad end was forgotten so.
    noted_failures: BTreeSet<(TaskName, u64)>,
    /// When the lease of a worker's life had run out, by id.
    lapsed: BTreeMap<String, Vec<Millis>>,
    /// Nothing goes wrong any more.
    calm: bool,
    store_down_until: Millis,
    /// Until when a worker is cut off and runs on, by id.
    cut_until: BTreeMap<String, Millis>,
    /// Some jobs have tasks that crash each worker that starts them.
    has_crashing_tasks: bool,
    /// When a worker that has crashed under a task is back, by its place.
    back: BTreeMap<usize, Millis>,
    /// The runs that such a task has begun, and the workers that have crashed under any task.
    crash_starts: BTreeMap<TaskName, usize>,
    crashed_under: BTreeMap<TaskName, usize>,
    /// The epochs of owners of which such a task has begun a run that no successor could know of.
    unrecorded: BTreeMap<TaskName, BTreeSet<u64>>,
    /// The numbers of runs that were recorded as possible losses, also of jobs that have ended.
    recorded_runs: BTreeSet<u64>,
    /// Starts of which nobody has told the owner what became of them, by its epoch.
    untold: BTreeMap<(u64, RunKey), UntoldStart>,
    /// Since when each version of the configuration is in force, and its workspaces; none without.
    caps: Vec<(Millis, Vec<Workspace>)>,
    /// Evacuates halls and takes them back; none if nobody does.
    operator: Option<Operator>,
    /// So many idle workers stay awake; none if all do.
    awake: Option<usize>,
    /// What was ordered, recorded and lost, in order.
    history: Vec<String>,
    /// At which moments owners are lost; none if only by chance.
    aim: Option<Aim>,
}

impl World {
    /// Workers that start again do so under new ids.
    pub fn new(seed: u64) -> Self {
        let queues = [queue("urgent", 0), advised_queue("later", 2)].map(|queue| Queue {
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
            listing: entries.clone(),
            to_list: Vec::new(),
            keeps_ids: false,
            has_late_entries: false,
            to_come_back: Vec::new(),
            come_back: Vec::new(),
            entries,
            graves: Vec::new(),
            lives: WORKERS,
            late: Vec::new(),
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
            noted: BTreeMap::new(),
            noted_runs: BTreeSet::new(),
            reached: BTreeSet::new(),
            astray: BTreeSet::new(),
            noted_failures: BTreeSet::new(),
            lapsed: BTreeMap::new(),
            calm: false,
            store_down_until: 0,
            cut_until: BTreeMap::new(),
            has_crashing_tasks: false,
            back: BTreeMap::new(),
            crash_starts: BTreeMap::new(),
            crashed_under: BTreeMap::new(),
            unrecorded: BTreeMap::new(),
            recorded_runs: BTreeSet::new(),
            untold: BTreeMap::new(),
            caps: Vec::new(),
            operator: None,
            awake: None,
            history: Vec::new(),
            aim: None,
        };
        world.take_over();
        world
    }

    /// Workers stand in two halls, which are evacuated and taken back.
    pub fn with_evacuations(mut self) -> Self {
        for (place, entry) in self.entries.iter_mut().enumerate() {
            entry.hall = HALLS[place % HALLS.len()].to_owned();
        }
        self.listing = self.entries.clone();
        self.operator = Some(Operator::default());
        self.take_over();
        self
    }

    /// Idle workers are parked, but for one.
    pub fn with_parking(mut self) -> Self {
        self.awake = Some(1);
        self.take_over();
        self
    }

    /// Two of three jobs belong to workspaces whose caps change.
    pub fn with_caps(mut self) -> Self {
        self.change_caps(CAPS);
        self
    }

    pub(super) fn config(&self) -> Arc<Configuration> {
        match self.caps.last() {
            Some((_, list)) => shared_configuration(self.caps.len() as u64 + 1, &self.queues, list),
            None => configuration(&self.queues),
        }
    }

    /// A newer configuration is in force, and the owner hears of it.
    pub(super) fn change_caps(&mut self, cores: std::ops::Range<u64>) {
        let mut draw = |name: &str| workspace(name, self.rng.random_range(cores.clone()));
        let list = TEAMS.iter().map(|name| draw(name)).collect();
        self.caps.push((self.now, list));
        let config = self.config();
        self.owner.cell.configure(config);
    }

    /// The workspace of a job, in the newest configuration.
    pub(super) fn team_of(&self, job: u64) -> Option<Workspace> {
        let (_, list) = self.caps.last()?;
        list.get(job as usize % (TEAMS.len() + 1)).cloned()
    }

    /// Some tasks crash each worker that starts them.
    pub fn with_crashing_tasks(seed: u64) -> Self {
        Self {
            has_crashing_tasks: true,
            ..Self::new(seed)
        }
    }

    /// Workers tell when they started, start again under their ids, and some fail what they run.
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
        world.listing = world.entries.clone();
        world.epoch = 0;
        world.take_over();
        world
    }

    /// Late entries on top of what the other worlds have.
    pub fn with_late_entries(mut self) -> Self {
        self.has_late_entries = true;
        self
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        !self.calm && self.rng.random_ratio(percent, 100)
    }

    pub(super) fn store_is_up(&self) -> bool {
        self.now >= self.store_down_until
    }

    pub(super) fn is_cut(&self, id: &str) -> bool {
        self.cut_until
            .get(id)
            .is_some_and(|&until| self.now < until)
    }

    fn note(&mut self, what: String) {
        self.history.push(format!("{} {what}", self.now));
    }

    /// What was ordered, recorded and lost, one line each with its time.
    pub fn history(&self) -> &[String] {
        &self.history
    }

    /// A successor claims the cell and reads its rows.
    pub(super) fn take_over(&mut self) {
        if !self.store_is_up() {
            return;
        }
        self.epoch = tuning::next_epoch(self.epoch);
        tracing::debug!(now = self.now, epoch = self.epoch, "owner changes");
        self.note(format!("owner {} begins", self.epoch));
        let mut cell = Cell::new(self.epoch, self.config(), self.now);
        cell.set_lanes(&[true]);
        if let Some(awake) = self.awake {
            cell.set_idle_reserve(awake);
        }
        cell.restore_roster(self.roster.clone(), self.now);
        cell.list_workers(self.store_lists(), self.now);
        if let Some(operator) = &mut self.operator {
            cell.set_evacuated_halls(&operator.read());
        }
        // Some rows lie where the store cannot be read just now.
        let hides_rows = self.hides_rows();
        let readable = if self.chance(30) || hides_rows { 2 } else { 3 };
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
        self.reaches(Moment::Claim);
    }

    /// Plays the day, until all jobs have ended or were given the time for it.
    pub fn play(&mut self) {
        while self.now < TROUBLE {
            self.trouble();
            self.turn();
        }
        self.calm = true;
        for worker in self.workers.values_mut() {
            worker.memory.fails_all_tasks = false;
        }
        self.store_down_until = 0;
        self.cut_until.clear();
        if !self.caps.is_empty() {
            self.change_caps(WIDE..WIDE + 1);
        }
        if let Some(operator) = &mut self.operator {
            operator.take_all_back();
        }
        let quiet = self.quiet();
        while self.now < TROUBLE + quiet && !self.is_done() {
            self.turn();
        }
    }

    pub(super) fn trouble(&mut self) {
        if self.chance(6) && self.rows.len() < 30 {
            self.submit();
        }
        if self.chance(3) {
            self.hand_in_again();
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
            self.change_caps(CAPS);
        }
        if self.operator.is_some() && self.chance(1) {
            let now = self.now;
            let operator = self.operator.as_mut().expect("an operator");
            operator.order(&mut self.rng, now);
        }
        if self.chance(1) && self.rng.random_ratio(1, 2) {
            let place = self.rng.random_range(0..self.entries.len());
            let until = self.now + self.rng.random_range(200..8_000);
            self.cut_until
                .insert(self.entries[place].life.id.clone(), until);
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
        first.estimate = LONGEST;
        let mut second = step(2, 1_000);
        second.after = vec![0];
        second.estimate = LONGEST;
        // A gang in the queue that needs advice might have too few good workers for ever.
        let later = self.rng.random_bool(0.5) && !first.gang;
        let queue = &self.queues[usize::from(later)];
        let mut row = job(number, queue, vec![first, second]);
        let shortest = if self.keeps_ids { SHORTEST } else { 20 };
        row.spec.text = self.rng.random_range(shortest..LONGEST).to_string();
        row.workspace = self.team_of(number);
        if self.has_crashing_tasks && self.rng.random_ratio(1, 6) {
            row.spec.text = CRASH.to_owned();
        }
        if self.store_is_up() {
            self.owner.cell.accept(&row, None, false, self.now);
            self.rows.insert(number, row);
        }
    }

    /// A caller hands a job in again whose row the owner may not have read yet.
    pub(super) fn hand_in_again(&mut self) {
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
        self.owner.cell.cancel(JobId(number));
    }

    pub(super) fn turn(&mut self) {
        self.now += TICK;
        self.lose_owners();
        tracing::trace!(now = self.now, "turn");
        self.workers_come_back();
        self.list_later_lives();
        self.list_former_lives();
        self.note_lapses();
        self.carry_out_late();
        self.deliver();
        if self.store_is_up() {
            self.owner.confirmed = self.now;
            self.read_the_rest();
        }
        // Without confirmation an owner orders nothing after its window.
        if self.now - self.owner.confirmed < tuning::OWNER_STOP_TIME {
            self.look();
            self.deliver();
            self.decide();
            self.deliver();
        }
        self.record();
        self.check();
    }

    /// The owner reads the rows that it could not read at first.
    pub(super) fn read_the_rest(&mut self) {
        if self.unread.is_empty() || !(self.calm || self.rng.random_ratio(1, 30)) {
            return;
        }
        for number in std::mem::take(&mut self.unread) {
            let row = &self.rows[&number];
            self.owner.cell.accept(row, None, true, self.now);
        }
        self.owner.cell.set_has_unread_jobs(false);
        self.reaches(Moment::Reading);
    }

    pub(super) fn record(&mut self) {
        if !self.store_is_up() || self.chance(20) {
            return;
        }
        let most = self.most_recorded();
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
        let batch = cell.take_batch(most);
        for (_, id, progress) in &batch.rows {
            if progress.state == JobState::Cancelled {
                self.cancelled.insert(*id);
            }
            self.progress.insert(*id, progress.clone());
            written.push(id.to_string());
            let losses = progress.tasks.iter().flat_map(|task| &task.losses);
            self.recorded_runs.extend(losses.map(|loss| loss.run));
        }
        cell.batch_recorded(batch, self.now);
        if !written.is_empty() {
            self.note(format!("recorded: {}", written.join(" ")));
            self.reaches(Moment::Record);
        }
    }
}

/// The room that runs take.
fn held_by(rows: &BTreeMap<u64, JobRow>, runs: impl Iterator<Item = RunRecord>) -> Demand {
    let mut held = Demand::default();
    for run in runs {
        let row = &rows[&run.task.step.job.0];
        held.add(&row.spec.steps[usize::from(run.task.step.step)].demand);
    }
    held
}
