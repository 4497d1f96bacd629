//! The owner's side of a node: drives the scheduling core of the cell.
//!
//! An engine lives for one epoch.  It loads the cell's rows and then runs a handful of loops, which
//! schedule tasks, record progress, confirm the ownership, follow rows of the store and poll the
//! workers.  It retires when the ownership ends, for example because a higher epoch became known.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

use crate::cell::expected_wait::Publication;
use crate::cell::intake::CancelOutcome;
use crate::cell::job::JobState;
use crate::cell::record::JobRow;
use crate::cell::spec::JobId;
use crate::cell::start_wait::StartDemand;
use crate::cell::unknown_cancel::CancelNumber;
use crate::cell::view::JobView;
use crate::cell::{Cell, Milestone, WorkerKey, tuning};
use crate::clock::{self, Millis};
use crate::node::admission::{AdmittedStarts, FirstRefusals, HeardWaits};
use crate::node::call_times::CallClock;
use crate::node::consent::{OwnerStanding, Standing};
use crate::node::heartbeat;
use crate::node::loading;
use crate::node::orders::LatePolls;
use crate::node::pace::{self, RoundStats};
use crate::node::probes::ProbeLimit;
use crate::node::recording::MAX_JOBS;
use crate::node::roster_rows::RosterRows;
use crate::node::shared::Shared;
use crate::node::succession::{self, FormerOwners, RecordedVoters, Succession, Successor, Voters};
use crate::node::summary::{self, Summary};
use crate::node::witness_calls;
use crate::rpc::node::{JobRequest, NodeReply};
use crate::store::Version;
use crate::timeout;

/// Maximum time between two scheduling rounds, so that leases and retries are handled in time even
/// if nothing else happens.
const TICK: Duration = Duration::from_millis(50);
/// Interval of the log line about the cell, in milliseconds.
const SUMMARY_INTERVAL: Millis = 1_000;
/// A node that was heard within this time, in milliseconds, counts as alive: two intervals
/// of heartbeats and the time limit of one, since one of the two may be late.
pub(super) const PEER_ALIVE_WINDOW: Millis =
    2 * heartbeat::DEFAULT_INTERVAL + heartbeat::HEARTBEAT_TIMEOUT;
/// The shortest time between two changes of the recorded voters, in milliseconds.
const VOTERS_INTERVAL: Millis = 2_000;
/// How long the answer to a request for the state of a job waits for the job's end: three times the
/// time that it takes to learn of an end and record it.
const END_WAIT: Duration = Duration::from_millis(120);
/// Time limit for recording a cancellation: callers wait 3 s for an answer.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The state of a node that owns the cell.
pub struct Engine {
    /// The epoch of this ownership.
    pub epoch: u64,
    /// When this ownership began, by our clock.
    pub held_since: Millis,
    /// The version of the transaction that claimed the cell.
    pub(super) claim_version: Version,
    pub(super) shared: Arc<Shared>,
    /// The calls to workers that have ended since the last summary.
    pub(super) calls: CallClock,
    /// The polls that are awaited after their time limit.
    pub(super) late_polls: Mutex<LatePolls>,
    cell: Mutex<Cell>,
    /// How long new jobs are expected to wait.
    publication: Mutex<Publication>,
    /// When nodes first refused jobs because of load.  A successor does not know it.
    first_refusals: Mutex<FirstRefusals>,
    /// The starts of jobs that were let in of late.
    admitted_starts: Mutex<AdmittedStarts>,
    /// Triggers a scheduling round.
    pub(super) wake: Notify,
    /// Triggers the recording of what has changed.
    pub(super) record: Notify,
    /// Triggers a confirmation of the ownership before it is due.
    pub(super) confirm_needed: Notify,
    /// Signals that changes are recorded.
    pub(super) recorded: Notify,
    /// The version of the ownership row as we last wrote it, and the number of the batch in it.
    pub(super) ownership_row: tokio::sync::Mutex<(Version, u64)>,
    roster_rows: Mutex<RosterRows>,
    /// The maximum number of jobs in a transaction; reduced after the store has rejected one.
    pub(super) max_jobs: AtomicUsize,
    /// The version of the roster that is recorded.
    pub(super) recorded_roster_version: AtomicU64,
    retired: AtomicBool,
    /// The cell is being released.  Nothing is recorded after the release.
    pub(super) releasing: AtomicBool,
    /// When the transaction in flight was first sent, by our clock; 0 if none is in flight.
    pub(super) record_began: AtomicU64,
    /// When the latest call that confirmed the ownership was sent, by our clock.
    pub(super) confirmed_at: AtomicU64,
    /// When the latest call was sent by which the store or all voters confirmed the ownership, by our
    /// clock: nobody else owned the cell then.
    pub(super) exclusive_at: AtomicU64,
    /// The nodes whose answers count while the store is away.
    voters: Mutex<RecordedVoters>,
    /// How this owner stands without the store.
    standing: Mutex<OwnerStanding>,
    /// What is known of the former owners.
    succession: Mutex<Succession>,
    /// All entries of workers that were written before this time, by our clock, are applied.
    pub(super) workers_read_at: AtomicU64,
    /// Limits how many silent workers are polled at a time.
    pub(super) probes: ProbeLimit,
    /// The workers for which a poll loop was started.
    polled_workers: Mutex<HashSet<WorkerKey>>,
    /// Wakes the poll loops of parked workers.
    unpark_notifiers: Mutex<HashMap<WorkerKey, Arc<Notify>>>,
    /// The names of the nodes whose connections to the advice service are the core's lanes, by the
    /// index of the lane; the first is our own.
    lanes: Mutex<Vec<String>>,
    /// The questions to witnesses that are open.
    pub(super) questions: Arc<Semaphore>,
    /// How many questions to witnesses have proved nothing about some worker.
    pub(super) vain_questions: AtomicUsize,
    tasks: Mutex<JoinSet<()>>,
}

impl Engine {
    /// Loads the cell and starts acting as its owner under `epoch`, which was claimed by the
    /// transaction of this `version`.
    ///
    /// # Errors
    /// Fails if the store cannot be read.  The claim remains valid, so loading may be tried again.
    pub async fn start(
        shared: &Arc<Shared>,
        epoch: u64,
        version: Version,
    ) -> Result<Arc<Self>, crate::store::StoreError> {
        // The row of ownership is read with the others.  A node may have claimed the cell since.
        let read_at = shared.now();
        let loaded = loading::load(shared, epoch).await?;
        let engine = Arc::new(Self {
            epoch,
            held_since: shared.now(),
            claim_version: version,
            shared: Arc::clone(shared),
            calls: CallClock::default(),
            late_polls: Mutex::default(),
            cell: Mutex::new(loaded.cell),
            publication: Mutex::new(Publication::new(shared.now())),
            first_refusals: Mutex::default(),
            admitted_starts: Mutex::default(),
            wake: Notify::new(),
            record: Notify::new(),
            confirm_needed: Notify::new(),
            recorded: Notify::new(),
            ownership_row: tokio::sync::Mutex::new((version, 0)),
            roster_rows: Mutex::new(loaded.roster),
            max_jobs: AtomicUsize::new(MAX_JOBS),
            recorded_roster_version: AtomicU64::new(0),
            retired: AtomicBool::new(false),
            releasing: AtomicBool::new(false),
            record_began: AtomicU64::new(0),
            confirmed_at: AtomicU64::new(read_at),
            exclusive_at: AtomicU64::new(read_at),
            voters: Mutex::new(RecordedVoters {
                recorded: loaded.voters,
                ..RecordedVoters::default()
            }),
            standing: Mutex::default(),
            succession: Mutex::new(loaded.succession),
            workers_read_at: AtomicU64::new(shared.now()),
            probes: ProbeLimit::default(),
            polled_workers: Mutex::default(),
            unpark_notifiers: Mutex::default(),
            lanes: Mutex::new(vec![shared.name.clone()]),
            questions: Arc::new(Semaphore::new(witness_calls::MAX_QUESTIONS)),
            vain_questions: AtomicUsize::new(0),
            tasks: Mutex::default(),
        });
        engine.spawn(Arc::clone(&engine).schedule_loop());
        engine.spawn(Arc::clone(&engine).record_loop());
        engine.spawn(Arc::clone(&engine).confirm_loop());
        engine.confirm_needed.notify_one();
        engine.spawn(Arc::clone(&engine).workers_loop());
        engine.spawn(Arc::clone(&engine).jobs_loop(loaded.jobs));
        engine.spawn(Arc::clone(&engine).policy_loop());
        engine.poll_new_workers();
        Ok(engine)
    }

    /// Spawns a task that is aborted when this ownership ends.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    fn tasks(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn cell(&self) -> MutexGuard<'_, Cell> {
        self.cell.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn roster_rows(&self) -> MutexGuard<'_, RosterRows> {
        self.roster_rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this ownership has ended.
    pub fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Relaxed)
    }

    /// Ends this ownership: no more orders are given.
    pub fn retire(&self, reason: &'static str) {
        if self.retired.swap(true, Ordering::Relaxed) {
            return;
        }
        tracing::info!(epoch = self.epoch, reason, "ownership ends");
        self.shared.set_engine(None);
        self.tasks().abort_all();
    }

    /// Returns whether orders may be given: the ownership has not ended and was confirmed recently.
    pub fn is_active(&self) -> bool {
        let confirmed = self.confirmed_at.load(Ordering::Relaxed);
        !self.is_retired() && self.shared.now().saturating_sub(confirmed) < tuning::OWNER_STOP_TIME
    }

    /// Notes that a call sent at `sent` has found the ownership row to be ours.
    pub(super) fn confirm_by_store(&self, sent: Millis) {
        self.standing().regain_store();
        self.confirm(sent);
    }

    /// Notes that a call sent at `sent` has found the ownership row to be ours, or that all voters
    /// have said after `sent` that they know of no successor.
    pub(super) fn confirm(&self, sent: Millis) {
        self.exclusive_at.fetch_max(sent, Ordering::Relaxed);
        self.confirmed_at.fetch_max(sent, Ordering::Relaxed);
    }

    /// Notes that most voters have said after `sent` that they know of no successor.  That counts
    /// only for a limited time.
    pub(super) fn confirm_by_majority(&self, sent: Millis) {
        let exclusive_at = self.exclusive_at.load(Ordering::Relaxed);
        let until = exclusive_at + succession::MAX_TERM_BY_MAJORITY;
        self.confirmed_at
            .fetch_max(sent.min(until), Ordering::Relaxed);
    }

    /// Locks and returns how this owner stands without the store.
    pub(super) fn standing(&self) -> MutexGuard<'_, OwnerStanding> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how this owner stands without the store, and the number of that standing.
    pub(super) fn standing_to_tell(&self) -> (Standing, u32) {
        let is_alone = self.former_owners().is_none();
        self.standing().tell(is_alone)
    }

    /// Locks and returns the voters.
    pub(super) fn voters(&self) -> MutexGuard<'_, RecordedVoters> {
        self.voters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn succession(&self) -> MutexGuard<'_, Succession> {
        self.succession
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn successor(&self) -> Successor<'_> {
        Successor {
            name: &self.shared.name,
            epoch: self.epoch,
            since: self.held_since,
            consent: self.shared.consent(),
        }
    }

    /// The former owners that are not known to have stopped.
    pub(super) fn former_owners(&self) -> Option<FormerOwners> {
        self.succession().former().cloned()
    }

    /// Returns whether all owners that may still act, this one included, go on without the store only
    /// with the consent of voters.
    pub(super) fn former_owners_ask_consent(&self) -> bool {
        self.succession().asks_consent()
    }

    /// Looks whether the former owners have stopped, so that their leases run out, or may go on
    /// without the store.
    pub(super) fn review_succession(&self) {
        let is_settled = self.cell().is_settled();
        let (stopped, may_go_on) = {
            let members = self.shared.members();
            let now = self.shared.now();
            let mut succession = self.succession();
            let stopped = succession.review(self.successor(), &members, now);
            if is_settled && stopped.is_none() {
                succession.close_without_voters(self.successor(), &members, now);
            }
            (stopped, succession.may_go_on(self.successor(), &members))
        };
        let mut cell = self.cell();
        cell.set_former_owner_may_go_on(may_go_on);
        if let Some(at) = stopped {
            cell.note_former_owners_stopped(at);
        }
    }

    /// Returns whether no former owner takes in jobs of which it is told any more.
    pub(super) fn is_alone_with_new_jobs(&self) -> bool {
        let since = self.succession().no_new_jobs_since(self.successor());
        since.is_some_and(|since| self.shared.now() > since)
    }

    /// Returns the voters that are to be recorded, if they have changed.  They stay as they are while
    /// a former owner may go by them.
    pub(super) fn changed_voters(&self) -> Option<Voters> {
        if self.former_owners().is_some() {
            return None;
        }
        let now = self.shared.now();
        let mut voters = self.voters();
        let is_due = voters.recorded.is_none() || now >= voters.reviewed_at + VOTERS_INTERVAL;
        if voters.pending.is_none() && is_due {
            voters.reviewed_at = now;
            let chosen = Voters::choose(&self.shared.name, &self.shared.members());
            voters.pending = Some(chosen).filter(|chosen| voters.recorded.as_ref() != Some(chosen));
        }
        voters.pending.clone()
    }

    /// Notes that the voters that were sent last are recorded.
    pub(super) fn mark_voters_recorded(&self) {
        let mut voters = self.voters();
        if let Some(recorded) = voters.pending.take() {
            voters.recorded = Some(recorded);
        }
    }

    /// Applies the configuration in force to the core.
    pub fn configure(&self) {
        if let Some(config) = self.shared.config() {
            self.cell().configure(config);
            self.wake.notify_one();
        }
    }

    /// Returns the number of jobs of which no task has started, by queue.
    pub fn pending(&self) -> Vec<(String, u32)> {
        self.cell().pending().into_iter().collect()
    }

    /// Returns how long new jobs are expected to wait.  Nothing is computed unless jobs may be
    /// refused.  An owner that may not give orders knows no waits, since it cannot tell whether its
    /// jobs still wait.
    pub fn expected_waits(&self) -> HeardWaits {
        let options = self.shared.options;
        if !options.may_reject() {
            return HeardWaits::default();
        }
        let now = self.shared.now();
        let mut publication = self
            .publication
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if self.is_active() {
            publication.refresh(now, || {
                let cell = self.cell();
                let waits = options.reject_after.map(|_| cell.expected_waits(now));
                let start_waits = options.reject_late.then(|| cell.start_waits(now));
                (waits.unwrap_or_default(), start_waits.unwrap_or_default())
            });
        } else {
            publication.withdraw();
        }
        HeardWaits {
            epoch: self.epoch,
            heard_at: publication.computed_at,
            waits: publication.waits.clone(),
            start_waits: publication.start_waits.clone(),
        }
    }

    /// Answers a node that may refuse a job because of load, and remembers its refusal for
    /// `refused_for` milliseconds if the job is not known.
    ///
    /// A job that the node does not refuse is let in here, if `starts` says what it asks of the
    /// starts.
    pub async fn intake(
        &self,
        job: JobId,
        refused_for: Millis,
        starts: Option<StartDemand>,
    ) -> NodeReply {
        if let Some(state) = self.state_or_end(job).await {
            return NodeReply::State(state);
        }
        let now = self.shared.now();
        let since = self.note_refusal(job, refused_for, now);
        if refused_for == 0
            && let Some(demand) = starts
            && let Err(wait) = self.admit(demand, since.unwrap_or_default(), now)
        {
            return NodeReply::StartsWait(wait);
        }
        match since {
            Some(since) => NodeReply::FirstRefused(since),
            None => NodeReply::UnknownJob,
        }
    }

    /// Notes that a node refuses a job for `refused_for` milliseconds, if that is not zero.  Returns
    /// how long ago it was first refused, if it was.
    fn note_refusal(&self, job: JobId, refused_for: Millis, now: Millis) -> Option<Millis> {
        let mut refusals = self
            .first_refusals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if refused_for > 0 {
            refusals.note(job, 0, refused_for, now);
        }
        refusals.since(job, now)
    }

    /// Lets in a job that was first refused `since` milliseconds ago.
    ///
    /// # Errors
    /// Fails with the time for which its starts would have waited since then, if that is too long.
    fn admit(&self, demand: StartDemand, since: Millis, now: Millis) -> Result<(), Millis> {
        let waits = self.expected_waits().start_waits;
        let spare = demand.spare.saturating_sub(since);
        let demand = StartDemand { spare, ..demand };
        let mut admitted = self
            .admitted_starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let admitted = admitted.admit(demand, &waits, now);
        admitted.map_err(|wait| wait.saturating_add(since))
    }

    /// Exports the core's counts as metrics.
    pub fn export_counts(&self, metrics: &crate::metrics::Metrics) {
        let (counts, (used, capacity), ledger_errors, parked, contention, uneven) = {
            let cell = self.cell();
            metrics.gauge("unrecorded_ends", cell.count_unrecorded_ends() as i64);
            let (counts, room) = (cell.counts(), cell.room());
            let (steps, open_steps) = cell.step_counts();
            metrics.gauge("steps", steps as i64);
            metrics.gauge("open_steps", open_steps as i64);
            let parked = cell.count_workers().parked;
            metrics.gauge("steps_not_asking", i64::from(cell.steps_not_asking()));
            metrics.gauge("longest_unasked_ms", cell.longest_unasked() as i64);
            (
                counts,
                room,
                cell.ledger_errors(),
                parked,
                cell.contention(),
                cell.count_uneven_workers(),
            )
        };
        metrics.gauge("contended", i64::from(contention.contended));
        metrics.gauge("beyond_share", i64::from(contention.beyond_share));
        metrics.gauge("ledger_errors", ledger_errors as i64);
        metrics.gauge("parked_workers", parked as i64);
        metrics.gauge("slow_workers", uneven as i64);
        metrics.gauge("workers_age_ms", self.workers_age() as i64);
        metrics.gauge("record_age_ms", self.record_age() as i64);
        metrics.gauge("held_millicores", used.millicores as i64);
        metrics.gauge("millicores", capacity.millicores as i64);
        for (name, value) in [
            ("starts", counts.starts),
            ("stops", counts.stops),
            ("questions", counts.questions),
            ("used_answers", counts.used_answers),
            ("advice_looks", counts.advice_searches),
            ("advice_workers", counts.advice_workers),
            ("places", counts.candidates_examined),
            ("steps_examined", counts.steps_examined),
            ("withheld_starts", counts.violations),
            ("lapsed_runs", counts.lapsed),
            ("lapsed_by_witness", counts.lapsed_by_witness),
            ("lapsed_by_entry", counts.lapsed_by_entry),
            ("heard_by_witness", counts.heard_by_witness),
            ("adopted_runs", counts.adopted),
            ("crashes", counts.crashes),
            ("recorded_first", counts.planned),
            ("other_lives", counts.other_lives),
            ("rival_lives", counts.rival_lives),
            ("unread_ends", counts.unread_ends),
            ("omitted_progress", counts.omitted_progress),
        ] {
            metrics.gauge(name, value as i64);
        }
    }

    /// Returns for how long the transaction in flight has been tried, in milliseconds; 0 if none is
    /// in flight.
    pub(super) fn record_age(&self) -> Millis {
        match self.record_began.load(Ordering::Relaxed) {
            0 => 0,
            began => self.shared.now().saturating_sub(began),
        }
    }

    /// Adds an accepted job, whose row is durable, to the core.  Returns false if a successor may be
    /// told of the job as well: the cell may have one unless the store or all voters have just
    /// denied it.  The job is then read from the store once that answers.
    pub fn accepted(&self, row: &JobRow) -> bool {
        if !self.may_take_in_jobs() {
            self.shared.metrics.event("job_not_taken_in");
            tracing::info!(request = %row.id, "new job is left to the store");
            return false;
        }
        let now = self.shared.now();
        self.cell().accept(row, None, false, now);
        self.wake.notify_one();
        true
    }

    /// Returns whether the store or all voters have confirmed the ownership of late, so that no
    /// successor takes jobs for new that this owner may be told of.
    pub(super) fn may_take_in_jobs(&self) -> bool {
        let exclusive_at = self.exclusive_at.load(Ordering::Relaxed);
        self.shared.now().saturating_sub(exclusive_at) < tuning::OWNER_STOP_TIME
    }

    /// Removes a job that ended long ago from memory.  Returns false if one of its tasks may still
    /// run.
    pub fn forget_job(&self, id: JobId) -> bool {
        self.cell().forget_job(id)
    }

    /// Returns the state of a job in detail; none if the job is not known here.
    pub fn view(&self, id: JobId) -> Option<JobView> {
        self.cell().view(id, self.shared.now())
    }

    /// Returns whether the end of a job is recorded.
    pub fn is_end_recorded(&self, id: JobId) -> bool {
        self.cell().is_end_recorded(id)
    }

    /// Returns the state of a job; none if the job is not known here.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.cell().state(id)
    }

    /// Returns the state of a job for a caller; none if the job is not known here.
    ///
    /// If the job may end at any moment, waits up to `END_WAIT` for the end.  Callers ask just
    /// after their last task has ended, some 40 ms before that is recorded, and ask again only a
    /// quarter of a second later.  An urgent job has 250 ms and half of its work to spare, so that
    /// second query alone would use up the 250 ms.  In the median the time from a job's last end to
    /// the answer that reports it is 0.07 s, and 0.26 s without this wait.
    pub async fn state_or_end(&self, id: JobId) -> Option<JobState> {
        let until = tokio::time::Instant::now() + END_WAIT;
        loop {
            let recorded = self.recorded.notified();
            let (state, may_end_soon) = {
                let cell = self.cell();
                (cell.state(id), cell.may_end_soon(id))
            };
            if !may_end_soon || tokio::time::timeout_at(until, recorded).await.is_err() {
                return state;
            }
        }
    }

    /// Returns whether the caller who asks may see the job, as far as the job's workspace is known.
    pub fn may_see(&self, request: &JobRequest) -> bool {
        self.cell().may_see(&request.caller, request.job)
    }

    /// Cancels a job and waits until that is recorded, for at most `CANCEL_TIMEOUT`.  Also a job
    /// that is not known: its row may still come.
    pub async fn cancel(&self, request: &JobRequest) -> NodeReply {
        let &JobRequest {
            job: id,
            ref caller,
        } = request;
        if let Some(answer) = self.cancel_known(id).await {
            return answer;
        }
        let now = self.shared.now();
        let repeated = self.cell().recent_unknown_cancel(id, caller, now);
        if let Some(number) = repeated {
            return self.await_unknown_cancel(number).await;
        }
        match loading::find_job(&self.shared, id).await {
            Ok(Some(row)) if !self.accepted(&row) => return NodeReply::Unavailable,
            Ok(_) => {}
            Err(_) => return NodeReply::Unavailable,
        }
        // The node that accepted the job may have told of it meanwhile.
        if !self.may_see(request) {
            return NodeReply::UnknownJob;
        }
        let number = {
            let now = self.shared.now();
            let mut cell = self.cell();
            match cell.knows_job(id) {
                true => None,
                false => cell.cancel_unknown(id, caller, now),
            }
        };
        if let Some(number) = number {
            return self.await_unknown_cancel(number).await;
        }
        if let Some(answer) = self.cancel_known(id).await {
            return answer;
        }
        self.shared.metrics.event("unknown_cancel_refused");
        NodeReply::Unavailable
    }

    /// Cancels a job that is known, and waits until that is recorded; returns none if it is not
    /// known.
    async fn cancel_known(&self, id: JobId) -> Option<NodeReply> {
        let outcome = self.cell().cancel(id);
        match outcome {
            CancelOutcome::Unknown => None,
            CancelOutcome::Final => Some(NodeReply::Cancelled),
            CancelOutcome::Decided => {
                let is_recorded = |cell: &Cell| cell.is_end_recorded(id);
                Some(self.await_record(is_recorded, NodeReply::Cancelled).await)
            }
        }
    }

    /// Waits until the cancellation of an unknown job is recorded.
    async fn await_unknown_cancel(&self, number: CancelNumber) -> NodeReply {
        let is_recorded = |cell: &Cell| cell.is_unknown_cancel_recorded(number);
        self.await_record(is_recorded, NodeReply::UnknownJob).await
    }

    /// Returns `answer` once a cancellation is recorded.
    async fn await_record(
        &self,
        is_recorded: impl Fn(&Cell) -> bool,
        answer: NodeReply,
    ) -> NodeReply {
        self.record.notify_one();
        let until_recorded = async {
            loop {
                let recorded = self.recorded.notified();
                if is_recorded(&self.cell()) {
                    return;
                }
                recorded.await;
            }
        };
        match tokio::time::timeout(CANCEL_TIMEOUT, until_recorded).await {
            Ok(()) => answer,
            Err(_) => NodeReply::Unavailable,
        }
    }

    async fn schedule_loop(self: Arc<Self>) {
        let mut last_round = Duration::ZERO;
        let mut summarized_at = 0;
        let mut rounds = RoundStats::default();
        let mut volumes = self.shared.metrics.traffic().volumes();
        loop {
            // Either something has happened, or it is time to check the leases.
            let _ = tokio::time::timeout(TICK, self.wake.notified()).await;
            tokio::time::sleep(pace::pause_after(last_round)).await;
            if !self.is_active() {
                continue;
            }
            let heard_until = self.shared.now();
            if self.cell().has_lapsing_runs(heard_until) {
                timeout::catch_up().await;
            }
            let now = self.shared.now();
            let is_summary_due = now.saturating_sub(summarized_at) >= SUMMARY_INTERVAL;
            let halls = self.shared.hall_rows().evacuated();
            let (orders, waits, summary) = {
                let mut cell = self.cell();
                if let Some(halls) = &halls {
                    cell.set_evacuated_halls(halls);
                }
                cell.set_wall_clock(clock::unix_time());
                cell.set_exclusive_at(self.exclusive_at.load(Ordering::Relaxed));
                cell.set_heard_until(heard_until);
                cell.tick(now);
                if cell.awaits_confirmation(now) {
                    self.confirm_needed.notify_one();
                }
                cell.schedule(now);
                self.notify_unparked(&cell.take_unparked());
                if cell.roster_version() != self.recorded_roster_version.load(Ordering::Relaxed) {
                    self.record.notify_one();
                }
                let delay = self.shared.load.average_delay();
                let summary =
                    is_summary_due.then(|| Summary::new(&cell, self.workers_age(), rounds, delay));
                (cell.take_orders(), cell.take_waits(), summary)
            };
            if let Some(summary) = summary {
                summarized_at = now;
                rounds = RoundStats::default();
                summary.log();
                summary::log_traffic(self.calls.take(), &self.shared, &mut volumes);
            }
            self.ask_witnesses(now);
            let duration = self.shared.now().saturating_sub(now);
            rounds.note(duration, orders.len());
            last_round = Duration::from_millis(duration);
            for wait in waits {
                self.shared
                    .metrics
                    .wait(wait_label(wait.until, wait.priority), wait.time);
            }
            for order in orders {
                self.spawn(Arc::clone(&self).execute(order));
            }
        }
    }

    /// Waits until a worker is no longer parked.
    pub(super) async fn wait_until_unparked(&self, key: WorkerKey) {
        let unparked = Arc::new(Notify::new());
        self.unpark_notifiers().insert(key, Arc::clone(&unparked));
        // The worker may have been unparked before the notifier was registered.
        if self.cell().is_parked(key) {
            unparked.notified().await;
        }
        self.unpark_notifiers().remove(&key);
    }

    fn notify_unparked(&self, keys: &[WorkerKey]) {
        let notifiers = self.unpark_notifiers();
        for unparked in keys.iter().filter_map(|key| notifiers.get(key)) {
            unparked.notify_one();
        }
    }

    fn unpark_notifiers(&self) -> MutexGuard<'_, HashMap<WorkerKey, Arc<Notify>>> {
        self.unpark_notifiers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how old our knowledge of the workers' entries is, in milliseconds.
    fn workers_age(&self) -> Millis {
        let read = self.workers_read_at.load(Ordering::Relaxed);
        self.shared.now().saturating_sub(read)
    }

    /// Starts a poll loop for each worker that has none yet.
    pub(super) fn poll_new_workers(self: &Arc<Self>) {
        let keys = self.cell().worker_keys();
        self.probes.raise(keys.len());
        let mut polled_workers = self
            .polled_workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for key in keys {
            if polled_workers.insert(key) {
                self.spawn(Arc::clone(self).poll_loop(key));
            }
        }
    }

    /// Tells the core which lanes, the nodes' connections to the advice service, can be used.
    pub fn set_lanes(&self) {
        let now = self.shared.now();
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let known: HashSet<String> = lanes.iter().cloned().collect();
        let members = self.shared.members();
        let new = members.iter().filter(|(name, _)| !known.contains(*name));
        lanes.extend(new.map(|(name, _)| name.clone()));
        let is_usable = |name: &String| {
            if *name == self.shared.name {
                return self.shared.advisor.is_some();
            }
            let member = members.get(name);
            member.is_some_and(|member| member.was_heard(PEER_ALIVE_WINDOW, now) && !member.leaving)
        };
        let flags: Vec<bool> = lanes.iter().map(is_usable).collect();
        drop(members);
        drop(lanes);
        self.cell().set_lanes(&flags);
    }

    /// Returns the address of the node whose lane this is; none for our own lane, and for that of a
    /// node that is no longer known.
    pub(super) fn lane_member(&self, lane: usize) -> Option<std::net::SocketAddr> {
        let name = {
            let lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
            lanes.get(lane)?.clone()
        };
        self.shared
            .members()
            .get(&name)
            .map(|member| member.address)
    }
}

/// Returns the metric's label for a waiting time.  Priorities from 2 on share one label.
fn wait_label(until: Milestone, priority: u32) -> &'static str {
    match (until, priority) {
        (Milestone::FirstStart, 0) => "first_start_p0",
        (Milestone::FirstStart, 1) => "first_start_p1",
        (Milestone::FirstStart, _) => "first_start_p2",
        (Milestone::End, 0) => "end_p0",
        (Milestone::End, 1) => "end_p1",
        (Milestone::End, _) => "end_p2",
    }
}
