//! The scheduling core of one cell: which task runs where, on which worker.
//!
//! It is pure: events and the time are handed in, orders come out, so a test can
//! replay any order of events.  `docs/DESIGN.md` explains the rules it keeps.
//!
//! The same events bring the same orders in each process, so no decision rests on the order of a
//! hash map that gives none.
#![deny(clippy::disallowed_types)]

pub mod advice;
pub mod crash;
mod evacuation;
mod forecast;
pub mod intake;
pub mod job;
pub mod lapse;
mod ledger;
pub mod life;
pub mod look;
pub mod lost;
pub mod membership;
pub mod name;
pub mod order;
mod parking;
mod plan;
pub mod progress;
pub mod record;
mod reservation;
pub mod roster;
mod round;
pub mod run;
pub mod schedule;
pub mod sequence;
pub mod spec;
mod trial;
pub mod tuning;
mod urgency;
pub mod view;
pub mod worker;

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use slotmap::SlotMap;

use crate::cell::job::{EndedJob, Job, JobState, Run, StepRun};
use crate::cell::ledger::Ledger;
use crate::cell::life::{FormerLives, Life};
use crate::cell::membership::LostBy;
use crate::cell::order::{Addressee, Order, PollOrder, StopOrder};
use crate::cell::sequence::Sequence;
use crate::cell::spec::{Demand, JobId};
use crate::cell::view::Waiting;
use crate::cell::worker::{NextForget, Worker};
use crate::clock::Millis;
use crate::evacuation::Halls;
use crate::policy::{BuiltIn, Policy};
use crate::queue::Configuration;
use crate::workspace::Caller;

slotmap::new_key_type! {
    /// A worker of the cell.
    pub struct WorkerKey;
    /// A job of the cell.
    pub struct JobKey;
    /// A step of a job at one time.
    pub struct StepKey;
    /// A run of a task.
    pub struct RunKey;
    /// A workspace with jobs in the cell.
    pub struct WorkspaceKey;
}

/// Counts of what the core did, for metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Starts ordered.
    pub starts: u64,
    /// Starts that were recorded before they were ordered.
    pub planned: u64,
    /// Stops ordered.
    pub stops: u64,
    /// Questions about where a step may run.
    pub questions: u64,
    /// Steps for which workers to ask about were looked for.
    pub advice_looks: u64,
    /// Workers looked at for those.
    pub advice_workers: u64,
    /// Workers looked at as places for a step.
    pub places: u64,
    /// Orders refused since they would have broken a rule.
    pub violations: u64,
    /// Runs written off since their lease ran out.
    pub lapsed: u64,
    /// Runs taken over from a former owner.
    pub adopted: u64,
    /// Runs under which a worker has crashed.
    pub crashes: u64,
    /// Other lives found under the id of a worker.
    pub other_lives: u64,
    /// Lives that answered again after a later one of the same id.
    pub rival_lives: u64,
    /// Lives of which some ends were forgotten before anybody had read them.
    pub unread_ends: u64,
}

/// How many workers there are, and how they stand.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerCounts {
    /// All that are known.
    pub known: usize,
    /// Those that have answered under this epoch.
    pub answered: usize,
    /// Those whose last call brought no answer.
    pub silent: usize,
    /// Those that are parked.
    pub parked: usize,
}

/// A time that a job has waited, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// What it waited for.
    pub until: Milestone,
    /// The priority of its queue.
    pub priority: u32,
    /// How long, since the job was taken in.
    pub time: Millis,
}

/// What a job has waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// Its first start.
    FirstStart,
    /// Its end.
    End,
}

/// The state of one cell in the hands of its owner.
pub struct Cell {
    epoch: u64,
    last_run_number: u64,
    /// The newest sequence number that was given.
    sequence: Sequence,
    config: Arc<Configuration>,
    policy: Arc<dyn Policy>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_ids: IndexMap<String, WorkerKey>,
    /// Rises whenever the roster changes: the workers that a successor must know of.
    roster_version: u64,
    /// The ids of workers whose entries in it have changed and were not handed on to be recorded.
    roster_changes: IndexSet<String>,
    /// The version of the roster that is recorded.
    recorded_roster_version: u64,
    jobs: SlotMap<JobKey, Job>,
    job_ids: IndexMap<JobId, JobKey>,
    /// Jobs that ended under a former owner.
    ended: IndexMap<JobId, EndedJob>,
    /// Recorded progress of jobs whose rows could not be read yet.
    unread_job_progress: IndexMap<JobId, record::JobProgress>,
    /// Ends that other nodes told of, of jobs whose rows were not read yet.
    early_ends: IndexMap<JobId, JobState>,
    /// What must be known of the lives of a worker that is not there, by its id.
    former_lives: IndexMap<String, FormerLives>,
    /// Runs that may have crashed a life of a worker.
    pending_losses: IndexMap<Life, crash::PendingLosses>,
    /// Starts whose worker was lost before it was known whether it had carried them out.  Their runs
    /// may be gone, and others have their places.
    awaiting_verdict: BTreeMap<RunKey, crash::LossKey>,
    /// Runs whose start is recorded before it is sent.
    planned: Vec<RunKey>,
    /// Starts of jobs that a former owner knew may be forgotten.
    may_have_unrecorded_starts: bool,
    /// Lives that are over and stay in the roster until what is noted of them is recorded.
    ended_lives: Vec<lost::EndedLife>,
    has_unread_jobs: bool,
    /// Jobs that run at set times and have not ended.
    scheduled: Vec<JobKey>,
    steps: SlotMap<StepKey, StepRun>,
    runs: SlotMap<RunKey, Run>,
    /// Processors that the runs of each queue hold, in millicores.
    held_millicores: BTreeMap<String, u64>,
    /// What each workspace has running.
    ledger: Ledger,
    /// Steps that are not done, in the order in which they were taken in.
    open_steps: Vec<StepKey>,
    /// Which lanes to the advice service are in use by which kind of question.
    lanes: Vec<advice::Lane>,
    /// How far callers' guesses are off, by queue.
    guesses: BTreeMap<String, progress::EstimateError>,
    /// The share of workers that is good for a step, learned by queue.
    good_share: BTreeMap<String, f64>,
    /// Milliseconds since 1970, once told.
    unix_time: Option<Millis>,
    /// The platform's list of workers has not come yet, so nothing is placed: a worker of the
    /// roster may be about to leave, or be gone.
    awaits_worker_list: bool,
    /// Halls in which nothing starts; none while they are not known, and then nothing is placed.
    evacuated_halls: Option<Arc<Halls>>,
    /// So many idle workers of each service stay awake.
    idle_reserve: usize,
    /// How many workers are parked.
    parked: usize,
    /// When it was last looked whether workers are to be parked or woken.
    parking_reviewed: Millis,
    /// Workers that were woken, or were lost while they were parked.
    unparked: Vec<WorkerKey>,
    /// The former owner's roster was read whole.
    roster_is_complete: bool,
    /// Tasks of former owners' jobs may start.
    settled: bool,
    /// Until then, what a former owner may have left running.
    unsettled: roster::UnsettledJobs,
    settle_deadline: Millis,
    orders: Vec<Order>,
    job_waits: Vec<Wait>,
    /// What waited for what in the last round of decisions.
    waiting: Waiting,
    counts: Counts,
}

impl Cell {
    /// Begins an ownership of the cell at `now` under `epoch`.
    pub fn new(epoch: u64, config: Arc<Configuration>, now: Millis) -> Self {
        let window = tuning::LEASE + tuning::LEASE * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000;
        Self {
            epoch,
            last_run_number: epoch * tuning::RUNS_PER_EPOCH,
            sequence: Sequence::default(),
            config,
            policy: Arc::new(BuiltIn),
            workers: SlotMap::with_key(),
            worker_ids: IndexMap::new(),
            roster_version: 1,
            roster_changes: IndexSet::new(),
            recorded_roster_version: 0,
            jobs: SlotMap::with_key(),
            job_ids: IndexMap::new(),
            ended: IndexMap::new(),
            unread_job_progress: IndexMap::new(),
            early_ends: IndexMap::new(),
            former_lives: IndexMap::new(),
            pending_losses: IndexMap::new(),
            awaiting_verdict: BTreeMap::new(),
            planned: Vec::new(),
            may_have_unrecorded_starts: false,
            ended_lives: Vec::new(),
            has_unread_jobs: false,
            scheduled: Vec::new(),
            steps: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            held_millicores: BTreeMap::new(),
            ledger: Ledger::default(),
            open_steps: Vec::new(),
            lanes: Vec::new(),
            guesses: BTreeMap::new(),
            good_share: BTreeMap::new(),
            unix_time: None,
            awaits_worker_list: false,
            evacuated_halls: Some(Arc::default()),
            idle_reserve: tuning::MAX_IDLE_AWAKE,
            parked: 0,
            parking_reviewed: 0,
            unparked: Vec::new(),
            roster_is_complete: true,
            settled: false,
            unsettled: roster::UnsettledJobs::Any,
            settle_deadline: now + window + tuning::LEASE_MARGIN + tuning::OWNER_STOP_TIME,
            orders: Vec::new(),
            job_waits: Vec::new(),
            waiting: Waiting::new(),
            counts: Counts::default(),
        }
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What waited for what in the last round of decisions.
    pub fn waiting(&self) -> &Waiting {
        &self.waiting
    }

    /// Takes the orders that have gathered.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the waiting times that have gathered.
    pub fn take_waits(&mut self) -> Vec<Wait> {
        std::mem::take(&mut self.job_waits)
    }

    /// Notes how long a job has waited.
    fn record_wait(&mut self, key: JobKey, until: Milestone, now: Millis) {
        let job = &self.jobs[key];
        self.job_waits.push(Wait {
            until,
            priority: job.queue.priority,
            time: now.saturating_sub(job.accepted_at),
        });
    }

    /// Tells how far a job is; an end counts once it is recorded or another node knows of it.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let ended = self.ended.get(&id).map(|job| job.state);
        if let Some(state) = ended.or(self.early_ends.get(&id).copied()) {
            return Some(state);
        }
        let job = self.jobs.get(*self.job_ids.get(&id)?)?;
        Some(if job.recorded.is_final() {
            job.recorded
        } else if job.state.is_final() && job.known_to_peer {
            job.state
        } else if job.state.is_final() {
            JobState::Running
        } else {
            job.state
        })
    }

    /// Tells whether a caller may see and cancel a job, or it is not known whose it is.
    pub fn may_see(&self, caller: &Caller, id: JobId) -> bool {
        if let Some(ended) = self.ended.get(&id) {
            return caller.may_see(ended.workspace.as_deref());
        }
        let Some(&key) = self.job_ids.get(&id) else {
            return true;
        };
        let workspace = self.workspace_of(key);
        caller.may_see(workspace.map(|workspace| workspace.name.as_str()))
    }

    /// The name of a job's workspace, if it has one and has not ended under a former owner.
    pub fn workspace_name(&self, id: JobId) -> Option<String> {
        let workspace = self.workspace_of(*self.job_ids.get(&id)?)?;
        Some(workspace.name.clone())
    }

    /// Tells whether a job may end at any moment: nothing of it waits to start, or its end is
    /// decided and not shown yet.
    pub fn may_end_soon(&self, id: JobId) -> bool {
        let Some(job) = self.job_ids.get(&id).and_then(|&key| self.jobs.get(key)) else {
            return false;
        };
        if job.state.is_final() {
            return !job.recorded.is_final() && !job.known_to_peer;
        }
        let steps = job
            .occurrences
            .values()
            .flatten()
            .map(|&key| &self.steps[key]);
        let is_under_way = |step: &StepRun| {
            let runs = |task: &job::Task| task.done || !task.runs.is_empty();
            step.open == 0 || (step.ready && !step.step().lasting && step.tasks.iter().all(runs))
        };
        job.spec.schedule.is_none() && steps.into_iter().all(is_under_way)
    }

    /// Tells whether the end of a job is recorded.
    pub fn is_end_recorded(&self, id: JobId) -> bool {
        let recorded = |key| {
            self.jobs
                .get(key)
                .is_some_and(|job: &Job| job.recorded.is_final())
        };
        self.ended.contains_key(&id) || self.job_ids.get(&id).is_some_and(|&key| recorded(key))
    }

    /// Tells whether a job is known, ended ones included.
    pub fn knows_job(&self, id: JobId) -> bool {
        self.job_ids.contains_key(&id) || self.ended.contains_key(&id)
    }

    /// Counts by queue the accepted jobs of which nothing has begun.
    pub fn pending(&self) -> BTreeMap<String, u32> {
        let mut pending = BTreeMap::new();
        for job in self.jobs.values() {
            if job.state == JobState::Queued {
                *pending.entry(job.queue.name.clone()).or_default() += 1;
            }
        }
        pending
    }

    /// All workers that are known.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// How many workers there are, and how they stand.
    pub fn count_workers(&self) -> WorkerCounts {
        let mut counts = WorkerCounts::default();
        for worker in self.workers.values() {
            counts.known += 1;
            counts.answered += usize::from(worker.fenced);
            counts.silent += usize::from(worker.is_silent());
            counts.parked += usize::from(worker.parked);
        }
        counts
    }

    /// The room that tasks hold, and all that there is.
    pub fn room(&self) -> (Demand, Demand) {
        let (mut used, mut capacity) = (Demand::default(), Demand::default());
        for worker in self.workers.values() {
            used.add(&worker.used);
            capacity.add(&worker.entry.capacity);
        }
        (used, capacity)
    }

    /// A newer configuration is in force.
    pub fn configure(&mut self, config: Arc<Configuration>) {
        self.config = config;
        self.ledger.configure(&self.config);
        for job in self.jobs.values_mut() {
            match self.config.queue(&job.queue.name) {
                Some(queue) => {
                    job.queue = queue.clone();
                    job.queue_configured = true;
                }
                None => job.queue_configured = false,
            }
            job.ordering = self.policy.order(&job.queue, &job.spec);
        }
    }

    /// A newer policy is in force, also for jobs that wait.
    pub fn set_policy(&mut self, policy: Arc<dyn Policy>) {
        self.policy = policy;
        for job in self.jobs.values_mut() {
            job.ordering = self.policy.order(&job.queue, &job.spec);
        }
    }

    /// Time passes: leases run out, stops are repeated, ownership settles.
    pub fn tick(&mut self, now: Millis) {
        self.settle(now);
        self.review_parking(now);
        self.update_roster(now);
        self.begin_due_occurrences();
        let workers = self.workers.iter();
        let due =
            workers.filter(|(_, worker)| worker.is_silent() || worker.leaving_since.is_some());
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            self.tick_worker(key, now);
        }
        self.resolve_pending_losses(now);
        self.repeat_stops(now);
    }

    fn tick_worker(&mut self, key: WorkerKey, now: Millis) {
        self.stop_runs_outlasting_worker(key, now);
        self.note_suspects_of_silent(key, now);
        let worker = &self.workers[key];
        if !worker.is_silent() || now <= worker.lease_end {
            return;
        }
        if !worker.runs.is_empty() {
            tracing::info!(
                worker = worker.entry.life.id,
                heard_ms_ago = now.saturating_sub(worker.heard),
                runs = worker.runs.len(),
                "lease ran out"
            );
        }
        self.counts.lapsed += worker.runs.len() as u64;
        self.write_off(key, now);
        let worker = &self.workers[key];
        let told = !worker.has_unrecorded_ends();
        if worker.unlisted_since.is_some() && self.settled && told {
            self.lose_worker(key, now, LostBy::Silence);
        }
    }

    /// Addresses a life of a worker under an epoch of its own, so that the next life refuses what
    /// was meant for this one.
    fn addressee(&self, key: WorkerKey) -> Addressee {
        let worker = &self.workers[key];
        Addressee {
            worker: key,
            life: worker.entry.life.clone(),
            address: worker.address(),
            epoch: self.epoch + worker.former.epoch_offset(),
        }
    }

    /// Says how to look at a worker next; none if it is gone.
    pub fn look_order(&mut self, key: WorkerKey, now: Millis) -> Option<PollOrder> {
        let sequence = self.next_sequence();
        let look_wait = self.look_wait();
        let worker = self.workers.get(key)?;
        let ends = worker.next_forget(now);
        let waits = ends != NextForget::Deferred && worker.seen_end == worker.recorded_end;
        let lasting_silence = worker.has_uncertain_life() || !worker.has_recent_clock(now);
        let order = PollOrder {
            to: self.addressee(key),
            sequence,
            sent: now,
            forget: match ends {
                NextForget::UpTo(place) => place,
                NextForget::Nothing | NextForget::Deferred => 0,
            },
            due: match worker.clock_at(now) {
                Some(clock) if !lasting_silence && !worker.sealed => Some(clock + tuning::LEASE),
                _ => None,
            },
            wait: if lasting_silence || !waits {
                0
            } else {
                look_wait
            },
        };
        let worker = &mut self.workers[key];
        worker.forget_deferred = ends == NextForget::Deferred;
        if order.due.is_some() {
            worker.extend_lease(now, tuning::LEASE);
        }
        Some(order)
    }

    /// How long a look waits at a worker for an end: the more workers, the longer.
    fn look_wait(&self) -> Millis {
        let workers = (self.workers.len() - self.parked) as Millis;
        let wait = workers * 1_000 / tuning::MAX_IDLE_POLLS_PER_SECOND;
        wait.clamp(tuning::POLL_WAIT, tuning::MAX_POLL_WAIT)
    }

    /// Tells whether ends of this worker wait to be recorded; it would list them again at once.
    pub fn has_ends_to_record(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| worker.seen_end > worker.recorded_end)
    }

    /// Tells whether ends of this worker wait for their jobs to be read; it would list them
    /// again at once.
    pub fn holds_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| worker.holds_ends)
    }

    fn order_stop(
        &mut self,
        worker: WorkerKey,
        run: Option<RunKey>,
        task: name::TaskName,
        number: u64,
    ) {
        self.counts.stops += 1;
        let order = StopOrder {
            to: self.addressee(worker),
            run,
            task,
            number,
        };
        self.orders.push(Order::Stop(order));
    }
}
