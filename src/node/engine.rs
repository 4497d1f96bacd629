//! The owner's side of a node: drives the scheduling core of the cell.
//!
//! An engine lives for one epoch.  It begins by loading the cell's rows, runs a
//! handful of loops, and retires when a higher epoch is heard of.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::cell::intake::CancelOutcome;
use crate::cell::job::JobState;
use crate::cell::record::JobRow;
use crate::cell::spec::JobId;
use crate::cell::view::JobView;
use crate::cell::{Cell, Milestone, WorkerKey, tuning};
use crate::clock::{self, Millis};
use crate::node::heartbeat;
use crate::node::loading;
use crate::node::pace::{self, RoundStats};
use crate::node::recording::MAX_JOBS;
use crate::node::roster_rows::RosterRows;
use crate::node::shared::Shared;
use crate::node::summary::Summary;
use crate::rpc::node::{JobRequest, NodeReply};
use crate::store::Version;

/// Scheduling runs at least so often, for leases and retries.
const TICK: Duration = Duration::from_millis(50);
/// How often it is logged what waits.
const SUMMARY_INTERVAL: Millis = 1_000;
/// A peer heard within this time bears witness: two heartbeats, of which one may be late.
pub(super) const PEER_ALIVE_WINDOW: Millis =
    2 * heartbeat::DEFAULT_INTERVAL + heartbeat::BEAT_TIMEOUT;
/// How long a question about a job waits for its end: three times what passes until an end
/// is known and recorded.
const END_WAIT: Duration = Duration::from_millis(120);
/// How long a cancellation waits to be recorded: callers wait 3 s.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_200);

/// What the owner of a cell holds.
pub struct Engine {
    /// The epoch of this ownership.
    pub epoch: u64,
    /// Since when it is held, by our clock.
    pub held_since: Millis,
    /// The transaction that claimed it.
    pub(super) claim_version: Version,
    pub(super) shared: Arc<Shared>,
    cell: Mutex<Cell>,
    pub(super) wake: Notify,
    pub(super) record: Notify,
    pub(super) recorded: Notify,
    /// The version of the row of ownership as we last wrote it, and the batch in it.
    pub(super) ownership_row: tokio::sync::Mutex<(Version, u64)>,
    roster_rows: Mutex<RosterRows>,
    /// The most jobs in a transaction; fewer after one that the store has rejected.
    pub(super) max_jobs: AtomicUsize,
    /// The version of the roster that is recorded.
    pub(super) recorded_roster_version: AtomicU64,
    retired: AtomicBool,
    /// The cell is being given up, and nothing is recorded after that.
    pub(super) releasing: AtomicBool,
    /// A transaction has to be repeated, so ends wait to be recorded.
    pub(super) stalled: AtomicBool,
    pub(super) confirmed_at: AtomicU64,
    /// The most nodes that were known since the store last confirmed the ownership: one that
    /// has been forgotten since, being silent, may have claimed the cell.
    pub(super) max_node_count: AtomicUsize,
    /// All entries of workers that were written before then are taken in.
    pub(super) workers_read_at: AtomicU64,
    polled_workers: Mutex<HashSet<WorkerKey>>,
    /// Wakes those that look after workers which are parked.
    unpark_notifiers: Mutex<HashMap<WorkerKey, Arc<Notify>>>,
    lanes: Mutex<Vec<String>>,
    tasks: Mutex<JoinSet<()>>,
}

impl Engine {
    /// Loads the cell and begins to act as its owner under `epoch`, which was claimed
    /// by the transaction `version`.
    ///
    /// # Errors
    /// Fails if the store cannot be read; the claim stands and may be loaded again.
    pub async fn start(
        shared: &Arc<Shared>,
        epoch: u64,
        version: Version,
    ) -> Result<Arc<Self>, crate::store::StoreError> {
        let loaded = loading::load(shared, epoch).await?;
        let engine = Arc::new(Self {
            epoch,
            held_since: shared.now(),
            claim_version: version,
            shared: Arc::clone(shared),
            cell: Mutex::new(loaded.cell),
            wake: Notify::new(),
            record: Notify::new(),
            recorded: Notify::new(),
            ownership_row: tokio::sync::Mutex::new((version, 0)),
            roster_rows: Mutex::new(loaded.roster),
            max_jobs: AtomicUsize::new(MAX_JOBS),
            recorded_roster_version: AtomicU64::new(0),
            retired: AtomicBool::new(false),
            releasing: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
            confirmed_at: AtomicU64::new(shared.now()),
            max_node_count: AtomicUsize::new(1),
            workers_read_at: AtomicU64::new(shared.now()),
            polled_workers: Mutex::default(),
            unpark_notifiers: Mutex::default(),
            lanes: Mutex::new(vec![shared.name.clone()]),
            tasks: Mutex::default(),
        });
        engine.spawn(Arc::clone(&engine).schedule_loop());
        engine.spawn(Arc::clone(&engine).record_loop());
        engine.spawn(Arc::clone(&engine).confirm_loop());
        engine.spawn(Arc::clone(&engine).workers_loop());
        engine.spawn(Arc::clone(&engine).jobs_loop(loaded.jobs));
        engine.spawn(Arc::clone(&engine).policy_loop());
        engine.poll_new_workers();
        Ok(engine)
    }

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

    /// Tells whether this ownership is over.
    pub fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Relaxed)
    }

    /// Ends this ownership: nothing is ordered any more.
    pub fn retire(&self, reason: &'static str) {
        if self.retired.swap(true, Ordering::Relaxed) {
            return;
        }
        tracing::info!(epoch = self.epoch, reason, "ownership ends");
        self.shared.set_engine(None);
        self.tasks().abort_all();
    }

    /// Tells whether orders may be given: the ownership was confirmed of late.
    pub fn is_active(&self) -> bool {
        let confirmed = self.confirmed_at.load(Ordering::Relaxed);
        !self.is_retired() && self.shared.now().saturating_sub(confirmed) < tuning::OWNER_STOP_TIME
    }

    /// The row of ownership was seen to be ours by a call that was sent at `sent`.
    pub(super) fn confirm(&self, sent: Millis) {
        self.max_node_count
            .store(self.node_count(), Ordering::Relaxed);
        self.confirmed_at.fetch_max(sent, Ordering::Relaxed);
    }

    /// Most nodes said after `sent` that they do not reach the store.
    pub(super) fn confirm_by_peers(&self, sent: Millis) {
        self.confirmed_at.fetch_max(sent, Ordering::Relaxed);
    }

    /// A newer configuration is in force.
    pub fn configure(&self) {
        if let Some(config) = self.shared.config() {
            self.cell().configure(config);
            self.wake.notify_one();
        }
    }

    /// Jobs of which nothing has begun, by queue.
    pub fn pending(&self) -> Vec<(String, u32)> {
        self.cell().pending().into_iter().collect()
    }

    /// Passes the core's counts on to the metrics.
    pub fn export_counts(&self, metrics: &crate::metrics::Metrics) {
        let (counts, (used, capacity), ledger_errors, parked) = {
            let cell = self.cell();
            let parked = cell.count_workers().parked;
            (cell.counts(), cell.room(), cell.ledger_errors(), parked)
        };
        metrics.gauge("ledger_errors", ledger_errors as i64);
        metrics.gauge("parked_workers", parked as i64);
        metrics.gauge("workers_age_ms", self.workers_age() as i64);
        metrics.gauge("held_millicores", used.millicores as i64);
        metrics.gauge("millicores", capacity.millicores as i64);
        for (what, value) in [
            ("starts", counts.starts),
            ("stops", counts.stops),
            ("questions", counts.questions),
            ("advice_looks", counts.advice_looks),
            ("advice_workers", counts.advice_workers),
            ("places", counts.places),
            ("withheld_starts", counts.violations),
            ("lapsed_runs", counts.lapsed),
            ("adopted_runs", counts.adopted),
            ("crashes", counts.crashes),
            ("recorded_first", counts.planned),
            ("other_lives", counts.other_lives),
            ("rival_lives", counts.rival_lives),
            ("unread_ends", counts.unread_ends),
        ] {
            metrics.gauge(what, value as i64);
        }
    }

    /// Takes in a job whose row is durable.
    pub fn accepted(&self, row: &JobRow) {
        let now = self.shared.now();
        self.cell().accept(row, None, false, now);
        self.wake.notify_one();
    }

    /// Tells whether ends wait for a store that does not take them, or takes long.
    pub fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }

    /// Ends that the store could not take so far; none while it takes them.
    pub fn early_ends(&self) -> Vec<(JobId, JobState)> {
        if self.is_stalled() {
            self.cell().unrecorded_job_ends()
        } else {
            Vec::new()
        }
    }

    /// Whose the jobs of these ends are, of those that belong to a workspace.
    pub fn workspaces_of(&self, ends: &[(JobId, JobState)]) -> Vec<(JobId, String)> {
        let cell = self.cell();
        let workspace = |&(id, _): &(JobId, JobState)| Some((id, cell.workspace_name(id)?));
        ends.iter().filter_map(workspace).collect()
    }

    /// Another node knows of these ends now.
    pub fn mark_ends_known_to_peer(&self, ends: &[(JobId, JobState)]) {
        if !ends.is_empty() {
            self.cell().mark_ends_known_to_peer(ends);
            self.recorded.notify_waiters();
        }
    }

    /// Another node tells of ends that a former owner could not record.
    pub fn accept_peer_ends(&self, ends: &[(JobId, JobState)]) {
        for &(id, state) in ends {
            tracing::info!(request = %id, ?state, "end was decided by a former owner");
            self.cell().accept_peer_end(id, state);
        }
        self.record.notify_one();
    }

    /// Forgets a job that ended long ago; false if something of it may still run.
    pub fn forget(&self, id: JobId) -> bool {
        self.cell().forget_job(id)
    }

    /// How a job stands, in detail; none if it is not known here.
    pub fn view(&self, id: JobId) -> Option<JobView> {
        self.cell().view(id, self.shared.now())
    }

    /// Tells whether the end of a job is recorded.
    pub fn is_end_recorded(&self, id: JobId) -> bool {
        self.cell().is_end_recorded(id)
    }

    /// How far a job is; none if it is not known here.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.cell().state(id)
    }

    /// How far a job is, told to a caller; none if it is not known here.
    ///
    /// One that may end at any moment is waited for a while: callers ask just after their last
    /// task has ended, some 40 ms before that is recorded, and would ask again only a quarter of a
    /// second later, which is all that urgent jobs have to spare.  From a job's last end to the
    /// answer that tells of it 0.26 s passed in the median, and 0.07 s since.
    pub async fn state_or_end(&self, id: JobId) -> Option<JobState> {
        let until = tokio::time::Instant::now() + END_WAIT;
        loop {
            let shown = self.recorded.notified();
            let (state, waits) = {
                let cell = self.cell();
                (cell.state(id), cell.may_end_soon(id))
            };
            if !waits || tokio::time::timeout_at(until, shown).await.is_err() {
                return state;
            }
        }
    }

    /// Tells whether whoever asks may know of the job, as far as it is known whose it is.
    pub fn may_see(&self, asked: &JobRequest) -> bool {
        let may_see_end = self.shared.early_ends().may_see(&asked.caller, asked.job);
        may_see_end && self.cell().may_see(&asked.caller, asked.job)
    }

    /// Cancels a job and waits until that is recorded.
    pub async fn cancel(&self, asked: &JobRequest) -> NodeReply {
        let id = asked.job;
        let mut decided = self.cell().cancel(id);
        if decided == CancelOutcome::Unknown {
            match loading::find_job(&self.shared, id).await {
                Ok(Some(row)) => {
                    self.accepted(&row);
                    if !self.may_see(asked) {
                        return NodeReply::UnknownJob;
                    }
                    decided = self.cell().cancel(id);
                }
                Ok(None) => return NodeReply::UnknownJob,
                Err(_) => return NodeReply::Unavailable,
            }
        }
        if decided != CancelOutcome::Decided {
            return NodeReply::Cancelled;
        }
        self.record.notify_one();
        let wait = async {
            loop {
                let recorded = self.recorded.notified();
                if self.cell().cancel(id) == CancelOutcome::Final {
                    return;
                }
                recorded.await;
            }
        };
        match tokio::time::timeout(CANCEL_TIMEOUT, wait).await {
            Ok(()) => NodeReply::Cancelled,
            Err(_) => NodeReply::Unavailable,
        }
    }

    async fn schedule_loop(self: Arc<Self>) {
        let mut took = Duration::ZERO;
        let mut summarized_at = 0;
        let mut rounds = RoundStats::default();
        loop {
            // Either something happened, or it is time to look at leases.
            let _ = tokio::time::timeout(TICK, self.wake.notified()).await;
            tokio::time::sleep(pace::pause_after(took)).await;
            if !self.is_active() {
                continue;
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
                cell.tick(now);
                cell.schedule(now);
                self.notify_unparked(&cell.take_unparked());
                if cell.roster_version() != self.recorded_roster_version.load(Ordering::Relaxed) {
                    self.record.notify_one();
                }
                let late = self.shared.load.average_delay();
                let summary =
                    is_summary_due.then(|| Summary::new(&cell, self.workers_age(), rounds, late));
                (cell.take_orders(), cell.take_waits(), summary)
            };
            if let Some(summary) = summary {
                summarized_at = now;
                rounds = RoundStats::default();
                summary.log();
            }
            let round = self.shared.now().saturating_sub(now);
            rounds.note(round, orders.len());
            took = Duration::from_millis(round);
            for wait in waits {
                self.shared
                    .metrics
                    .wait(wait_class(wait.until, wait.priority), wait.time);
            }
            for order in orders {
                self.spawn(Arc::clone(&self).execute(order));
            }
        }
    }

    /// Waits until a worker is not parked any more.
    pub(super) async fn wait_until_unparked(&self, key: WorkerKey) {
        let woken = Arc::new(Notify::new());
        self.unpark_notifiers().insert(key, Arc::clone(&woken));
        // It may have been woken before anybody could tell us.
        if self.cell().is_parked(key) {
            woken.notified().await;
        }
        self.unpark_notifiers().remove(&key);
    }

    fn notify_unparked(&self, keys: &[WorkerKey]) {
        let notifiers = self.unpark_notifiers();
        for woken in keys.iter().filter_map(|key| notifiers.get(key)) {
            woken.notify_one();
        }
    }

    fn unpark_notifiers(&self) -> MutexGuard<'_, HashMap<WorkerKey, Arc<Notify>>> {
        self.unpark_notifiers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// How old what is known of the workers' entries is.
    fn workers_age(&self) -> Millis {
        let read = self.workers_read_at.load(Ordering::Relaxed);
        self.shared.now().saturating_sub(read)
    }

    /// Begins to look after workers that are new.
    pub(super) fn poll_new_workers(self: &Arc<Self>) {
        let keys = self.cell().worker_keys();
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

    /// Tells the core which nodes' ways to the advice service can be used.
    pub fn set_lanes(&self) {
        let now = self.shared.now();
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let known: HashSet<String> = lanes.iter().cloned().collect();
        let members = self.shared.members();
        let news = members.iter().filter(|(name, _)| !known.contains(*name));
        lanes.extend(news.map(|(name, _)| name.clone()));
        let is_up = |name: &String| {
            if *name == self.shared.name {
                return self.shared.advisor.is_some();
            }
            let member = members.get(name);
            member.is_some_and(|member| member.was_heard(PEER_ALIVE_WINDOW, now) && !member.leaving)
        };
        let flags: Vec<bool> = lanes.iter().map(is_up).collect();
        drop(members);
        drop(lanes);
        self.cell().set_lanes(&flags);
    }

    /// The node whose lane this is; none for our own.
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

/// The label of a waiting time; queues beyond the third priority share one.
fn wait_class(what: Milestone, priority: u32) -> &'static str {
    match (what, priority) {
        (Milestone::FirstStart, 0) => "first_start_p0",
        (Milestone::FirstStart, 1) => "first_start_p1",
        (Milestone::FirstStart, _) => "first_start_p2",
        (Milestone::End, 0) => "end_p0",
        (Milestone::End, 1) => "end_p1",
        (Milestone::End, _) => "end_p2",
    }
}
