//! The scheduling core of one cell: it decides which task runs on which worker.
//!
//! It does no I/O and reads no clock: events and the time are passed in, and it returns orders, so
//! tests can replay any sequence of events.  `docs/DESIGN.md` explains the rules that it follows.
//!
//! It is deterministic: the same events yield the same orders in every process.  Hash maps with
//! unspecified iteration order are therefore disallowed here.
#![deny(clippy::disallowed_types)]

pub mod advice;
pub mod advice_plan;
mod barred_start;
mod candidates;
pub mod crash;
mod crash_limit;
mod crash_verdict;
pub mod entry_reads;
mod evacuation;
pub mod expected_wait;
mod forecast;
pub mod free_room;
mod gang;
pub mod health;
pub mod intake;
pub mod job;
mod lanes;
pub mod lapse;
mod ledger;
pub mod life;
pub mod lost;
pub mod membership;
pub mod name;
pub mod occurrences;
pub mod options;
pub mod order;
mod parking;
mod plan;
pub mod poll;
pub mod progress;
mod query;
mod question_plan;
mod question_turns;
pub mod record;
mod reservation;
pub mod roster;
mod round;
pub mod run;
pub mod schedule;
pub mod sequence;
pub mod shares;
mod silence;
pub mod spec;
pub mod speed;
mod start;
mod start_pace;
pub mod start_wait;
pub mod task_set;
mod trial;
pub mod tuning;
pub mod unknown_cancel;
pub mod urgency;
pub mod view;
pub mod wait;
pub mod worker;

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use slotmap::SlotMap;

use crate::cell::entry_reads::EntryReads;
use crate::cell::job::{EndedJob, Job, Run, StepRun};
use crate::cell::ledger::Ledger;
use crate::cell::life::{FormerLives, Life};
use crate::cell::membership::LostBy;
use crate::cell::options::Options;
use crate::cell::order::{Addressee, Order, PollOrder, StopOrder};
use crate::cell::sequence::Sequence;
use crate::cell::shares::SharesState;
use crate::cell::silence::SilenceEvidence;
use crate::cell::spec::{Demand, JobId};
use crate::cell::speed::Speeds;
use crate::cell::start_pace::StartPace;
use crate::cell::unknown_cancel::UnknownCancels;
use crate::cell::wait::Waiting;
use crate::cell::worker::{NextForget, Worker};
use crate::clock::Millis;
use crate::evacuation::Halls;
use crate::policy::{BuiltIn, Policy};
use crate::queue::Configuration;

slotmap::new_key_type! {
    /// A worker of the cell.
    pub struct WorkerKey;
    /// A job of the cell.
    pub struct JobKey;
    /// A step of one occurrence of a job.
    pub struct StepKey;
    /// A run of a task.
    pub struct RunKey;
    /// A workspace with jobs in the cell.
    pub struct WorkspaceKey;
}

/// Counts of what the core has done since the ownership began, for metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Starts ordered.
    pub starts: u64,
    /// Starts that were recorded before they were ordered.
    pub planned: u64,
    /// Starts that a worker refused, or that could not be sent.
    pub refused_starts: u64,
    /// Starts without an answer.
    pub unanswered_starts: u64,
    /// Polls that could not be sent or brought no answer.
    pub failed_polls: u64,
    /// Stops ordered.
    pub stops: u64,
    /// Questions to the advice service on which workers may run a step.
    pub questions: u64,
    /// Answers that approved a worker and were followed by a start of their step before the next
    /// answer.
    pub used_answers: u64,
    /// Searches for workers to name in such a question, one per step.
    pub advice_searches: u64,
    /// Workers examined in these searches.
    pub advice_workers: u64,
    /// Workers examined as placement candidates for a step.
    pub candidates_examined: u64,
    /// Steps examined in scheduling rounds: once each, and once more for each step whose rank
    /// depends on them.
    pub steps_examined: u64,
    /// Violations of an invariant: starts withheld because they would break one, and runs taken
    /// over that do not fit on their worker.
    pub violations: u64,
    /// Runs given up because their lease ran out.
    pub lapsed: u64,
    /// Silent workers whose runs were given up because witnesses did not reach them either.
    pub lapsed_by_witness: u64,
    /// Silent workers whose runs were given up because the platform had removed their entries.
    pub lapsed_by_entry: u64,
    /// Answers of workers that only a witness has heard.
    pub heard_by_witness: u64,
    /// Runs taken over from a former owner.
    pub adopted: u64,
    /// Runs noted as possible causes of a crash that was then proved.
    pub crashes: u64,
    /// Other lives that answered under the id of a worker.
    pub other_lives: u64,
    /// Former lives that answered again after a later one, which shows that two workers have one
    /// id.
    pub rival_lives: u64,
    /// Lives that had forgotten ends before an owner had read them.
    pub unread_ends: u64,
    /// Tasks of which failures, losses or a checkpoint did not fit into the record of their job,
    /// counted each time it is recorded.
    pub omitted_progress: u64,
}

/// Numbers of workers by state, for metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerCounts {
    /// All known workers.
    pub known: usize,
    /// Workers that have answered under this owner's epoch.
    pub answered: usize,
    /// Workers whose last call was not answered.
    pub silent: usize,
    /// Parked workers.
    pub parked: usize,
}

/// How long a job took to reach a milestone, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// The milestone that the job reached.
    pub until: Milestone,
    /// The priority of the job's queue.
    pub priority: u32,
    /// The time since this owner took the job in, in milliseconds.
    pub time: Millis,
}

/// A milestone of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// The first start of one of its tasks that a worker has confirmed.
    FirstStart,
    /// Its end, once that is recorded.
    End,
}

/// The state of one cell, as held by its owner.
pub struct Cell {
    /// The epoch of this ownership; workers refuse orders of lower ones.
    epoch: u64,
    /// The last run number that was assigned.
    last_run_number: u64,
    /// The last sequence number that was assigned.
    sequence: Sequence,
    config: Arc<Configuration>,
    policy: Arc<dyn Policy>,
    options: Options,
    workers: SlotMap<WorkerKey, Worker>,
    /// The present life of each worker, by the worker's id.
    worker_ids: IndexMap<String, WorkerKey>,
    /// Rises with each change of the roster, the record of the workers that a successor must know
    /// of.
    roster_version: u64,
    /// The ids of workers whose roster entries have changed since changes were last taken to be
    /// recorded.
    roster_changes: IndexSet<String>,
    /// The version of the roster that is durable.
    recorded_roster_version: u64,
    jobs: SlotMap<JobKey, Job>,
    job_ids: IndexMap<JobId, JobKey>,
    /// Jobs that ended under a former owner.
    ended: IndexMap<JobId, EndedJob>,
    /// Cancellations of jobs that are not known.
    unknown_cancels: UnknownCancels,
    /// Recorded progress of jobs whose own rows could not be read yet.
    unread_job_progress: IndexMap<JobId, record::JobProgress>,
    /// The former lives of workers that are not in `workers` any more, by worker id.
    former_lives: IndexMap<String, FormerLives>,
    /// Losses on each life that is not yet known to have crashed or survived.
    pending_losses: IndexMap<Life, crash_verdict::PendingLosses>,
    /// Barred starts that were counted as crashes, each with the time after which it no longer
    /// keeps its task from being started.
    counted_barred_starts: Vec<(crash::LossKey, Millis)>,
    /// Starts whose worker was lost before it was known whether it had carried them out.
    ///
    /// An entry outlives its run in `runs`, whose slot a later run may then reuse.  So this is an
    /// ordered map and not a secondary map of `runs`: in that, an entry for the later run would
    /// overwrite the earlier one.  The loss would then never be decided, and the task would wait
    /// forever, because it is not started while a loss that could fail its job is undecided.
    awaiting_verdict: BTreeMap<RunKey, crash::LossKey>,
    /// Runs whose start is being recorded before it is sent.
    planned: Vec<RunKey>,
    /// A former owner may have started tasks, of jobs that it knew, without recording that.
    may_have_unrecorded_starts: bool,
    /// A former owner used workers that may restart under their ids.
    former_lives_may_recur: bool,
    /// When the last order of a former owner can have arrived.
    former_orders_end: Millis,
    /// It was checked after that which workers a former owner's starts may have reached last.
    former_orders_reviewed: bool,
    /// Lives that have ended, and that stay in the roster until what was noted about them is
    /// recorded.
    ended_lives: Vec<lost::EndedLife>,
    /// The rows of some jobs could not be read yet, so runs of unknown jobs may belong to this
    /// cell.
    has_unread_jobs: bool,
    /// Scheduled jobs that have not ended.
    scheduled: Vec<JobKey>,
    /// Occurrences, by job and number, of which a step was done since they were last looked at, or
    /// that are done and have runs left.
    done_steps: Vec<(JobKey, u32)>,
    steps: SlotMap<StepKey, StepRun>,
    runs: SlotMap<RunKey, Run>,
    /// The processors that the runs of each queue hold, in millicores, by the queue's name.
    held_millicores: BTreeMap<String, u64>,
    /// The room that the runs of each workspace hold.
    ledger: Ledger,
    /// Steps with unfinished tasks, in the order in which they were added.
    open_steps: Vec<StepKey>,
    /// Which waiting steps behind the first ones are considered next, if they are too many for one
    /// round.
    next_turn: usize,
    /// The lanes to the advice service, each with the kind of question that it carries at present.
    lanes: Vec<advice::Lane>,
    /// How far callers' estimates of run times are off, by the queue's name.
    estimate_errors: BTreeMap<String, progress::EstimateError>,
    /// How fast workers are, learned from their runs.
    speeds: Speeds,
    /// When a step that had been kept from asking for long was last allowed to ask.
    last_overdue_question: Millis,
    /// The step that has been kept from asking for the longest time, as of the last scheduling round
    /// that kept any.
    longest_kept: Option<StepKey>,
    /// How many waiting steps were kept from asking in the last scheduling round.
    steps_not_asking: u32,
    /// For how long the advice service had not been asked about any one waiting step with nothing
    /// running, at most, as of the last scheduling round.
    longest_unasked: Millis,
    /// A step is due for a question in turn, and room is free for it.
    turn_waits: bool,
    /// The last question was asked in turn.
    last_in_turn: bool,
    /// The share of workers that the advice service approves for a step, learned by queue.
    approved_share: BTreeMap<String, f64>,
    /// The Unix time in milliseconds; none until it has been passed in.
    unix_time: Option<Millis>,
    /// The platform's list of workers has not arrived yet.  Until then no task is placed, since a
    /// worker of the roster may be about to leave, or be gone.
    awaits_worker_list: bool,
    /// Evacuated data halls, in which nothing is started.  `None` while they are not known; until
    /// then no task is placed.
    evacuated_halls: Option<Arc<Halls>>,
    /// How many idle workers of each service are kept unparked.
    idle_reserve: usize,
    /// How many workers are parked.
    parked: usize,
    /// When it was last reviewed which workers to park or unpark.
    parking_reviewed: Millis,
    /// Workers that were unparked, or lost while they were parked, since this was last taken.
    unparked: Vec<WorkerKey>,
    /// The former owner's roster was read completely.
    roster_is_complete: bool,
    /// The ownership is settled: tasks of jobs that a former owner knew may start.
    settled: bool,
    /// Until the ownership is settled, the jobs that a former owner may have left running.
    unsettled: roster::UnsettledJobs,
    /// When the ownership is settled at the latest, unless a worker may have the longest lease;
    /// [`Millis::MAX`] while a former owner may act.
    settle_deadline: Millis,
    /// When the leases of a former owner have run out that stopped at once.
    prompt_settle_time: Millis,
    /// A former owner may go on for long without the store.
    former_owner_may_go_on: bool,
    /// How steadily the platform's entries of workers were read.
    entry_reads: EntryReads,
    /// When nobody else owned the cell, by our clock; [`Millis::MAX`] if there never is another
    /// owner.
    exclusive_at: Millis,
    /// All answers that had arrived by this time, by our clock, are processed; [`Millis::MAX`] if
    /// answers are processed as they arrive.
    heard_until: Millis,
    /// The starts in flight, and how many there may be.
    start_pace: StartPace,
    /// The most polls without news, a second.
    max_idle_polls: u64,
    /// Orders that have not been taken yet.
    orders: Vec<Order>,
    /// Waiting times that have not been taken yet.
    job_waits: Vec<Wait>,
    /// What each waiting step waited for in the last scheduling round.
    waiting: Waiting,
    /// What the last scheduling round decided about shares.
    shares: SharesState,
    counts: Counts,
}

impl Cell {
    /// Creates the state for an ownership of the cell that begins at `now` under `epoch`.
    pub fn new(epoch: u64, config: Arc<Configuration>, now: Millis) -> Self {
        let lease = tuning::LEASE_WINDOW + tuning::LEASE_MARGIN;
        let prompt_settle_time = now + tuning::OWNER_STOP_TIME + lease;
        Self {
            epoch,
            last_run_number: epoch * tuning::RUNS_PER_EPOCH,
            sequence: Sequence::default(),
            config,
            policy: Arc::new(BuiltIn),
            options: Options::default(),
            workers: SlotMap::with_key(),
            worker_ids: IndexMap::new(),
            roster_version: 1,
            roster_changes: IndexSet::new(),
            recorded_roster_version: 0,
            jobs: SlotMap::with_key(),
            job_ids: IndexMap::new(),
            ended: IndexMap::new(),
            unknown_cancels: UnknownCancels::new(epoch),
            unread_job_progress: IndexMap::new(),
            former_lives: IndexMap::new(),
            pending_losses: IndexMap::new(),
            counted_barred_starts: Vec::new(),
            awaiting_verdict: BTreeMap::new(),
            planned: Vec::new(),
            may_have_unrecorded_starts: false,
            former_lives_may_recur: false,
            former_orders_end: now + tuning::OWNER_STOP_TIME + tuning::MAX_ORDER_DELAY,
            former_orders_reviewed: false,
            ended_lives: Vec::new(),
            has_unread_jobs: false,
            scheduled: Vec::new(),
            done_steps: Vec::new(),
            steps: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            held_millicores: BTreeMap::new(),
            ledger: Ledger::default(),
            open_steps: Vec::new(),
            next_turn: 0,
            lanes: Vec::new(),
            last_overdue_question: 0,
            longest_kept: None,
            steps_not_asking: 0,
            longest_unasked: 0,
            turn_waits: false,
            last_in_turn: false,
            estimate_errors: BTreeMap::new(),
            speeds: Speeds::default(),
            approved_share: BTreeMap::new(),
            unix_time: None,
            awaits_worker_list: false,
            evacuated_halls: Some(Arc::default()),
            idle_reserve: tuning::IDLE_RESERVE,
            parked: 0,
            parking_reviewed: 0,
            unparked: Vec::new(),
            roster_is_complete: true,
            settled: false,
            unsettled: roster::UnsettledJobs::Any,
            settle_deadline: prompt_settle_time,
            prompt_settle_time,
            former_owner_may_go_on: false,
            entry_reads: EntryReads::default(),
            exclusive_at: Millis::MAX,
            heard_until: Millis::MAX,
            start_pace: StartPace::default(),
            max_idle_polls: tuning::MAX_IDLE_POLLS_PER_SECOND,
            orders: Vec::new(),
            job_waits: Vec::new(),
            waiting: Waiting::new(),
            shares: SharesState::default(),
            counts: Counts::default(),
        }
    }

    /// Returns the counts of what was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns what each waiting step waited for in the last scheduling round.
    pub fn waiting(&self) -> &Waiting {
        &self.waiting
    }

    /// Returns how many waiting steps were kept from asking the advice service in the last
    /// scheduling round.
    pub fn steps_not_asking(&self) -> u32 {
        self.steps_not_asking
    }

    /// For how long, in milliseconds, the advice service had not been asked about the waiting step
    /// that has gone without a question for longest, among those with nothing running; 0 if there is
    /// none.
    pub fn longest_unasked(&self) -> Millis {
        self.longest_unasked
    }

    /// Returns how many steps are kept in memory, and how many of them have unfinished tasks.
    pub fn step_counts(&self) -> (usize, usize) {
        (self.steps.len(), self.open_steps.len())
    }

    /// Takes the orders given since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the waiting times recorded since the last call.
    pub fn take_waits(&mut self) -> Vec<Wait> {
        std::mem::take(&mut self.job_waits)
    }

    /// Records how long a job took to reach a milestone.
    fn record_wait(&mut self, key: JobKey, until: Milestone, now: Millis) {
        let job = &self.jobs[key];
        self.job_waits.push(Wait {
            until,
            priority: job.queue.priority,
            time: now.saturating_sub(job.accepted_at),
        });
    }

    /// Returns the keys of all known workers.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Counts the workers by state.
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

    /// Returns the room that runs take up, and the whole room of all workers.
    pub fn room(&self) -> (Demand, Demand) {
        let (mut used, mut capacity) = (Demand::default(), Demand::default());
        for worker in self.workers.values() {
            used.add(&worker.used);
            capacity.add(&worker.entry.capacity);
        }
        (used, capacity)
    }

    /// Applies a newer configuration, also to jobs that wait.
    pub fn configure(&mut self, config: Arc<Configuration>) {
        self.config = config;
        self.ledger.configure(&self.config);
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.config.queue(&job.queue.name) {
                job.queue = queue.clone();
            }
            job.decision = self.policy.decide(&job.queue, &job.spec);
        }
        self.recharge_room();
    }

    /// Sets how many polls without news the owner can make, a second; at least one.
    pub fn set_max_idle_polls(&mut self, a_second: u64) {
        self.max_idle_polls = a_second.max(1);
    }

    /// Switches optional parts of scheduling on or off.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
        if !options.worker_speed {
            self.speeds = Speeds::default();
        }
    }

    /// Applies a newer policy, also to jobs that wait.
    pub fn set_policy(&mut self, policy: Arc<dyn Policy>) {
        self.policy = policy;
        for job in self.jobs.values_mut() {
            job.decision = self.policy.decide(&job.queue, &job.spec);
        }
        self.recharge_room();
    }

    /// Does what is due at `now`: leases run out, stops are repeated, the ownership settles.
    pub fn tick(&mut self, now: Millis) {
        self.settle(now);
        self.review_former_orders(now);
        self.review_parking(now);
        self.update_roster(now);
        self.drop_done_occurrences();
        self.begin_due_occurrences();
        let workers = self.workers.iter();
        let due =
            workers.filter(|(_, worker)| worker.is_silent() || worker.leaving_since.is_some());
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            self.tick_worker(key, now);
        }
        self.resolve_pending_losses(now);
        self.settle_barred_starts(now);
        self.repeat_stops(now);
    }

    /// Does what is due on a worker that is silent or leaving.
    fn tick_worker(&mut self, key: WorkerKey, now: Millis) {
        self.stop_runs_outlasting_worker(key, now);
        self.note_suspects_of_silent(key, now);
        let worker = &self.workers[key];
        if !self.has_run_out(worker, now.min(self.heard_until))
            || self.may_be_renewed_by_successor(worker)
        {
            return;
        }
        if worker.holds_listed_work() {
            let Some(evidence) = self.silence_evidence(worker, worker.lease_end) else {
                return;
            };
            self.note_lapse(key, evidence, now);
        }
        self.write_off(key, now);
        let worker = &self.workers[key];
        let is_recorded = !worker.has_unrecorded_ends();
        if worker.unlisted_since.is_some() && self.settled && is_recorded {
            self.lose_worker(key, now, LostBy::Silence);
        }
    }

    /// Logs and counts that the lease of a silent worker has run out.
    fn note_lapse(&mut self, key: WorkerKey, evidence: SilenceEvidence, now: Millis) {
        let worker = &self.workers[key];
        tracing::info!(
            worker = worker.entry.life.id,
            heard_ms_ago = now.saturating_sub(worker.last_heard),
            runs = worker.runs.len(),
            evidence = evidence.label(),
            "lease ran out"
        );
        self.counts.lapsed += worker.runs.len() as u64;
        match evidence {
            SilenceEvidence::Witness => self.counts.lapsed_by_witness += 1,
            SilenceEvidence::EntryGone => self.counts.lapsed_by_entry += 1,
        }
    }

    /// Returns whether the last call to a worker was not answered.
    pub fn is_silent(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(Worker::is_silent)
    }

    /// Returns whether the lease of a silent worker was over at `at`.
    fn has_run_out(&self, worker: &Worker, at: Millis) -> bool {
        worker.is_silent() && at > worker.lease_end
    }

    /// Returns whether the lease of a silent worker is over whose runs are not given up yet.  An
    /// answer of the worker may have arrived and not have been processed.
    pub fn has_lapsing_runs(&self, now: Millis) -> bool {
        self.workers
            .values()
            .any(|worker| self.has_run_out(worker, now) && !worker.runs.is_empty())
    }

    /// Sets the time, by our clock, until which all answers that had arrived are processed.
    /// Silence counts only until then.
    pub fn set_heard_until(&mut self, at: Millis) {
        self.heard_until = at;
    }

    /// Returns whether a successor may have renewed a lease before it ran out, and the runs may go
    /// on.
    fn may_be_renewed_by_successor(&self, worker: &Worker) -> bool {
        worker.lease_end >= self.exclusive_at
    }

    /// Sets when nobody else owned the cell, by our clock.
    pub fn set_exclusive_at(&mut self, at: Millis) {
        self.exclusive_at = at;
    }

    /// Returns whether leases have run out by our reckoning, and it must be confirmed that no
    /// successor has renewed them.
    pub fn awaits_confirmation(&self, now: Millis) -> bool {
        self.workers.values().any(|worker| {
            self.has_run_out(worker, now)
                && !worker.runs.is_empty()
                && self.may_be_renewed_by_successor(worker)
        })
    }

    /// Addresses the present life of a worker, under an epoch that rises with each life so that
    /// this life refuses orders meant for a former one.
    fn addressee(&self, key: WorkerKey) -> Addressee {
        let worker = &self.workers[key];
        Addressee {
            worker: key,
            life: worker.entry.life.clone(),
            address: worker.address(),
            epoch: self.epoch + worker.former.epoch_offset(),
        }
    }

    /// Prepares the next poll of a worker; none if the worker is gone.
    pub fn poll_order(&mut self, key: WorkerKey, now: Millis) -> Option<PollOrder> {
        let sequence = self.next_sequence();
        let poll_wait = self.poll_wait();
        let worker = self.workers.get(key)?;
        let ends = worker.next_forget(now);
        let may_wait = ends != NextForget::Deferred && worker.accepted_end == worker.recorded_end;
        // Another life may answer, or a lease cannot be given by the worker's clock.  A probe
        // therefore renews no lease and does not wait for an end.
        let is_probe = worker.has_uncertain_life() || !worker.has_recent_clock(now);
        let order = PollOrder {
            to: self.addressee(key),
            sequence,
            sent: now,
            forget: match ends {
                NextForget::UpTo(number) => number,
                NextForget::Nothing | NextForget::Deferred => 0,
            },
            due: match worker.clock_at(now) {
                Some(clock) if !is_probe && !worker.sealed => Some(clock + tuning::LEASE),
                _ => None,
            },
            wait: if is_probe || !may_wait { 0 } else { poll_wait },
        };
        let worker = &mut self.workers[key];
        worker.forget_deferred = ends == NextForget::Deferred;
        if order.due.is_some() {
            worker.extend_lease(now, tuning::LEASE);
        }
        Some(order)
    }

    /// Returns how long a poll waits at a worker for an end.  It grows with the number of unparked
    /// workers, up to `MAX_POLL_WAIT`, to keep polls without news below what the owner can do.
    fn poll_wait(&self) -> Millis {
        let workers = (self.workers.len() - self.parked) as Millis;
        let wait = workers * 1_000 / self.max_idle_polls;
        wait.clamp(tuning::POLL_WAIT, tuning::MAX_POLL_WAIT)
    }

    /// Returns whether ends of a worker wait to be recorded.  A poll would return at once, with the
    /// same ends.
    pub fn has_ends_to_record(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| worker.accepted_end > worker.recorded_end)
    }

    /// Returns whether ends of a worker wait for their jobs to be read.  A poll would return at
    /// once, with the same ends.
    pub fn holds_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| worker.holds_ends)
    }

    /// Orders a worker to stop a run; `run` is none if the run belongs to no known job.
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
