//! The frontend of a node: it serves the requests of callers and the calls of other nodes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::cell::job::JobState;
use crate::cell::record::{JobProgress, JobRow};
use crate::cell::spec::{JobId, JobSpec};
use crate::cell::start_wait::StartWaits;
use crate::cell::view::JobView;
use crate::clock::Millis;
use crate::node::admission::{Admission, Arrival, HeardWaits, Overload};
use crate::node::intake::{Intake, SubmitOutcome};
use crate::node::owner_calls::{OWNER_TIMEOUT, ask_owner, notify_owner, serve_as_owner};
use crate::node::shared::{CELL_PARTITION, Shared};
use crate::node::witness;
use crate::node::{configuration_transfer, intake, loading};
use crate::queue::Queue;
use crate::refusal::Refusal;
use crate::rpc::node::{JobRequest, NodeCall, NodeReply, NodeService};
use crate::store::{StoreCall, StoreReply, Table};
use crate::workspace::{Caller, Workspace};

/// Time limit for the owner to record a cancellation, in milliseconds: callers wait 3 s.
const CANCEL_TIMEOUT: Millis = 2_500;
/// The share of a caller's remaining time that an answer may take, in percent.  After a time-out
/// the caller must have time left to ask again, at this node or another.
const ANSWER_PERCENT: Millis = 45;
/// The same share while the store is slow, in percent.  Another submission would take as long as
/// this one, and its row would queue up behind this one's in the same partitions.
const SLOW_ANSWER_PERCENT: Millis = 75;
/// The remaining time of a caller that states no deadline, in milliseconds.
const DEFAULT_DEADLINE: Millis = 3_000;
/// How long a state query waits for an owner if there is none, in milliseconds: twice what a
/// takeover takes.
const OWNER_WAIT: Millis = 300;
/// How often a state query checks meanwhile whether there is an owner.
const OWNER_POLL: Duration = Duration::from_millis(20);
/// Time limit for the owner to tell whether a caller may see the job with an id, in milliseconds:
/// ten times what that takes normally.
const ID_TIMEOUT: Millis = 150;
/// How long callers are asked to wait before they retry after a refusal, in milliseconds: outages
/// of the store last some seconds.
pub const RETRY_AFTER: Millis = 1_000;
/// Counts of pending jobs that the owner reported longer ago than this, in milliseconds, are not
/// passed on: callers accept counts that are 2 s old.
const MAX_PENDING_AGE: Millis = 1_800;

/// A configuration that was last known to be the newest longer ago than this, in milliseconds, may
/// be outdated: a confirmed version is in force everywhere within this time
/// (docs/DESIGN.md, "Configuration").
const MAX_CERTAIN_AGE: Millis = 2_000;

/// The answer to a state query or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// The state of the job.
    State(JobState),
    /// There is no such job, or the caller may not see it.
    Unknown,
    /// The cancellation is recorded.
    Cancelled,
    /// No answer can be given now; the caller may ask again.
    Unavailable,
}

/// Serves the requests of callers and the calls of other nodes.
pub struct Frontend {
    /// The shared state of the node.
    pub shared: Arc<Shared>,
    intake: Intake,
    admission: Mutex<Admission>,
    /// The number of callers' requests in progress.
    requests: Arc<AtomicUsize>,
}

/// Counts one request as in progress until it is dropped.
pub struct RequestGuard(Arc<AtomicUsize>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Whether a job is refused because of load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admittance {
    /// It is not.
    Granted,
    /// It is, and will never run.
    Refused(Overload),
    /// It can't be started in time, and the owner does not say whether it was accepted before.
    Unknown(Overload),
}

impl Frontend {
    /// Creates the frontend of a node and starts its intake.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            intake: Intake::start(Arc::clone(&shared)),
            shared,
            admission: Mutex::default(),
            requests: Arc::default(),
        }
    }

    /// Counts a request as in progress for as long as the returned guard lives.
    pub fn track_request(&self) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(&self.requests))
    }

    /// Returns whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0
    }

    /// Returns whether the load balancer should send new connections here: the node has a
    /// configuration, reaches the store and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.shared.config().is_some() && !self.shared.is_leaving() && self.shared.can_reach_store()
    }

    /// Returns the refusal of a request that the configuration in force does not allow: `refusal`
    /// itself, unless that is for an unknown queue or key and a newer configuration is known to
    /// exist or may exist.  The caller should come back then: a newer version is usually in force
    /// within a second.
    pub fn refusal_by_configuration(&self, refusal: Refusal) -> Refusal {
        if !matches!(refusal, Refusal::NoQueue | Refusal::WrongKey) {
            return refusal;
        }
        let shared = &self.shared;
        let (newer, age) = {
            let freshness = shared.freshness();
            (freshness.newer(), freshness.age(shared.now()))
        };
        let is_certain = age.is_some_and(|age| age <= MAX_CERTAIN_AGE);
        match newer {
            None if is_certain => refusal,
            newer => {
                tracing::info!(
                    refusal = refusal.code(),
                    version = shared.config_version(),
                    newer = newer.map(|notice| notice.version),
                    age_ms = age,
                    "configuration may be outdated"
                );
                Refusal::OutdatedConfiguration
            }
        }
    }

    /// Submits a job, which is durable if the outcome is `Accepted`.  `deadline` is the caller's
    /// remaining time in milliseconds, if it has stated that.
    pub async fn submit(
        &self,
        caller: &Caller,
        queue: &Queue,
        id: JobId,
        spec: JobSpec,
        deadline: Option<Millis>,
    ) -> SubmitOutcome {
        let workspace = self.workspace(caller);
        if workspace.as_ref().is_some_and(|w| !w.could_run(&spec)) {
            return SubmitOutcome::BeyondCap;
        }
        let row = JobRow {
            id,
            queue: queue.clone(),
            spec,
            workspace,
        };
        // Before anything is waited for, since a job may take several times the memory of its row.
        let Some(value) = intake::encode(&row) else {
            return SubmitOutcome::TooLarge;
        };
        let began = self.shared.now();
        let outcome = match self.is_id_taken(caller, id).await {
            true => SubmitOutcome::IdInUse,
            false => match self.admittance(&row).await {
                Admittance::Refused(overload) => SubmitOutcome::Overloaded(overload.pause),
                Admittance::Unknown(overload) => SubmitOutcome::OwnerSilent(overload.pause),
                Admittance::Granted => {
                    let asked = self.shared.now().saturating_sub(began);
                    let left = deadline.map(|deadline| deadline.saturating_sub(asked));
                    self.write(id, value, left).await
                }
            },
        };
        let now = self.shared.now();
        if outcome == SubmitOutcome::Doubtful && self.shared.options.may_reject() {
            self.admission().note_doubtful(id, now);
        }
        tracing::info!(
            request = %id,
            queue = queue.name,
            workspace = row.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            configuration = self.shared.config_version(),
            ?outcome,
            ms = now.saturating_sub(began),
            "job handed in"
        );
        self.shared
            .metrics
            .wait("accept", now.saturating_sub(began));
        if outcome == SubmitOutcome::Accepted {
            self.shared.metrics.outcome("accepted");
            tokio::spawn(notify_owner(Arc::clone(&self.shared), row));
        }
        outcome
    }

    /// Returns whether a job with this id exists that the caller may not see.  The row of that job
    /// must not be overwritten, and a second job with its id would never run.
    ///
    /// Only callers with a workspace are checked.  Without an owner the id counts as free, since no
    /// other node can tell quickly.
    async fn is_id_taken(&self, caller: &Caller, id: JobId) -> bool {
        let Caller::Workspace(_) = caller else {
            return false;
        };
        let known = self.query_owner(&Caller::Operator, id).await;
        if !matches!(known, Some(NodeReply::State(_))) {
            return false;
        }
        let seen = self.query_owner(caller, id).await;
        matches!(seen, Some(NodeReply::UnknownJob))
    }

    /// Decides whether a job is refused because of load.
    ///
    /// Nothing is refused while the store is slow: the outcome of many writes is unknown then, and
    /// the owner reads their rows late, so it cannot tell which jobs are known.
    ///
    /// While the owner can send no more starts, it is asked about each job.  If it does not answer
    /// about one that can't be started in time, the job is neither refused, since it may be known, nor
    /// written, since it would be late and make others late.
    async fn admittance(&self, row: &JobRow) -> Admittance {
        let shared = &self.shared;
        if !shared.options.may_reject() {
            return Admittance::Granted;
        }
        let workspace = row.workspace.as_ref().map(|w| w.name.as_str());
        let job = Arrival::new(row.id, &row.queue, workspace.unwrap_or_default(), &row.spec);
        let Some(job) = job else {
            return Admittance::Granted;
        };
        let (waits, epoch) = shared.expected_waits();
        let now = shared.now();
        if shared.store_is_slow() {
            self.admission().note_accepted(&job);
            return Admittance::Granted;
        }
        let options = &shared.options;
        let judge = |admission: &Admission, waits: &HeardWaits| {
            admission.judge(&job, options, (waits, epoch), now)
        };
        let (mut overload, asks, starts) = {
            let admission = self.admission();
            let asks = admission.may_have_lost_time(&job, options, (&waits, epoch), now);
            let starts = admission.start_demand(&job, options, now);
            (judge(&admission, &waits), asks, starts)
        };
        let mut owner_is_silent = false;
        let is_limited = waits.age(epoch, now).is_some() && waits.start_waits.is_limited();
        if overload.is_some() || asks || is_limited {
            let call = NodeCall::Intake {
                job: row.id,
                refused_for: overload.map_or(0, |overload| overload.limit),
                starts,
            };
            let limit = if is_limited {
                OWNER_TIMEOUT
            } else {
                ID_TIMEOUT
            };
            match ask_owner(shared, call, limit).await {
                Some(NodeReply::UnknownJob) => {}
                Some(NodeReply::FirstRefused(since)) => {
                    let mut admission = self.admission();
                    admission.note_first_refusal(&job, options, since, now);
                    overload = judge(&admission, &waits);
                }
                Some(NodeReply::StartsWait(wait)) => {
                    let told = HeardWaits {
                        start_waits: StartWaits::told(wait),
                        ..waits.clone()
                    };
                    overload = judge(&self.admission(), &told);
                }
                None if is_limited && overload.is_some() => owner_is_silent = true,
                _ => return Admittance::Granted,
            }
        }
        let Some(overload) = overload else {
            self.admission().note_accepted(&job);
            return Admittance::Granted;
        };
        tracing::info!(
            request = %row.id,
            queue = job.queue,
            workspace,
            epoch,
            wait_ms = overload.wait,
            age_ms = overload.age,
            critical_path_ms = job.critical_path,
            granted_ms = job.granted,
            limit_ms = overload.limit,
            since_first_ms = overload.since_first,
            retry_ms = overload.pause,
            owner_is_silent,
            "job refused because of load"
        );
        if owner_is_silent {
            return Admittance::Unknown(overload);
        }
        self.admission().note_refused(&job, &overload, now);
        Admittance::Refused(overload)
    }

    fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the owner for the state of a job, for [`ID_TIMEOUT`] at most.
    async fn query_owner(&self, caller: &Caller, id: JobId) -> Option<NodeReply> {
        let call = NodeCall::State(job_request(caller, id));
        ask_owner(&self.shared, call, ID_TIMEOUT).await
    }

    /// Returns the workspace of a caller as defined in the configuration in force.
    fn workspace(&self, caller: &Caller) -> Option<Workspace> {
        let Caller::Workspace(name) = caller else {
            return None;
        };
        self.shared.config()?.workspace(name).cloned()
    }

    async fn write(&self, id: JobId, value: String, deadline: Option<Millis>) -> SubmitOutcome {
        if !self.shared.can_reach_store() {
            return SubmitOutcome::Refused;
        }
        let writing = self.intake.write(id, value);
        tokio::pin!(writing);
        if let Ok(outcome) = tokio::time::timeout(answer_limit(deadline), &mut writing).await {
            return outcome;
        }
        if !self.shared.store_answers_slowly() {
            // The write continues in the background, so the job may still be accepted.
            return SubmitOutcome::Doubtful;
        }
        let longer = slow_answer_limit(deadline).saturating_sub(answer_limit(deadline));
        let outcome = tokio::time::timeout(longer, writing).await;
        outcome.unwrap_or(SubmitOutcome::Doubtful)
    }

    /// Returns the state of a job.  `deadline` is the caller's remaining time in milliseconds.
    pub async fn state(&self, caller: &Caller, id: JobId, deadline: Option<Millis>) -> JobAnswer {
        let query = tokio::time::timeout(answer_limit(deadline), self.find_state(caller, id));
        query.await.unwrap_or_else(|_| {
            tracing::info!(request = %id, ?deadline, "state of a job not found in time");
            JobAnswer::Unavailable
        })
    }

    async fn find_state(&self, caller: &Caller, id: JobId) -> JobAnswer {
        self.await_owner().await;
        let call = NodeCall::State(job_request(caller, id));
        let reply = ask_owner(&self.shared, call, OWNER_TIMEOUT).await;
        let (answer, source) = match reply {
            Some(NodeReply::State(state)) => (JobAnswer::State(state), "owner"),
            _ => (self.stored_state(caller, id).await, "rows"),
        };
        let epoch = self.shared.owner().epoch;
        tracing::info!(request = %id, told = ?answer, source, epoch, "state told");
        answer
    }

    /// Waits for an owner if there is none, for [`OWNER_WAIT`] at most: a takeover takes less time
    /// than reading a job's rows, which needs a call for each partition.
    async fn await_owner(&self) {
        let until = self.shared.now() + OWNER_WAIT;
        while self.shared.owner().address.is_none() && self.shared.now() < until {
            tokio::time::sleep(OWNER_POLL).await;
        }
    }

    /// Reads a job's state from the store: first from the row of its progress, since finding the
    /// row of the job itself takes a call for each partition.
    async fn stored_state(&self, caller: &Caller, id: JobId) -> JobAnswer {
        let progress = StoreCall::row(Table::Progress, CELL_PARTITION, &id.to_string());
        let Ok(StoreReply::Rows { rows, .. }) = self.shared.store(progress).await else {
            return JobAnswer::Unavailable;
        };
        if let Some(row) = rows.first() {
            return match serde_json::from_str::<JobProgress>(&row.value) {
                Ok(progress) if caller.may_see(progress.workspace.as_deref()) => {
                    JobAnswer::State(progress.state)
                }
                Ok(_) => JobAnswer::Unknown,
                Err(err) => {
                    tracing::error!(%err, request = %id, "cannot parse the progress of a job");
                    JobAnswer::Unavailable
                }
            };
        }
        let Ok(job) = loading::find_job(&self.shared, id).await else {
            return JobAnswer::Unavailable;
        };
        match job {
            Some(row) => {
                let workspace = row.workspace.as_ref().map(|w| w.name.as_str());
                let answer = match caller.may_see(workspace) {
                    true => JobAnswer::State(JobState::Queued),
                    false => JobAnswer::Unknown,
                };
                tokio::spawn(notify_owner(Arc::clone(&self.shared), row));
                answer
            }
            None => JobAnswer::Unknown,
        }
    }

    /// Returns a detailed view of a job, which only the owner has.
    ///
    /// # Errors
    /// If the owner does not answer with one, the error holds what [`Self::state`] returns.
    pub async fn explain(
        &self,
        caller: &Caller,
        id: JobId,
    ) -> std::result::Result<JobView, JobAnswer> {
        let call = NodeCall::Explain(job_request(caller, id));
        let reply = ask_owner(&self.shared, call, OWNER_TIMEOUT).await;
        if let Some(NodeReply::Explained(view)) = reply {
            match serde_json::from_slice(&view) {
                Ok(view) => return Ok(view),
                Err(err) => tracing::error!(%err, request = %id, "cannot decode the view of a job"),
            }
        }
        Err(self.state(caller, id, None).await)
    }

    /// Cancels a job.  The cancellation is recorded if the answer is `Cancelled`.  `deadline` is
    /// the caller's remaining time in milliseconds.
    pub async fn cancel(&self, caller: &Caller, id: JobId, deadline: Option<Millis>) -> JobAnswer {
        let cancelling =
            tokio::time::timeout(answer_limit(deadline), self.cancel_at_owner(caller, id));
        let answer = cancelling.await.unwrap_or(JobAnswer::Unavailable);
        tracing::info!(request = %id, told = ?answer, "cancellation");
        answer
    }

    async fn cancel_at_owner(&self, caller: &Caller, id: JobId) -> JobAnswer {
        let call = NodeCall::Cancel(job_request(caller, id));
        match ask_owner(&self.shared, call, CANCEL_TIMEOUT).await {
            Some(NodeReply::Cancelled) => JobAnswer::Cancelled,
            Some(NodeReply::UnknownJob) => JobAnswer::Unknown,
            _ => JobAnswer::Unavailable,
        }
    }

    /// Returns the number of a queue's jobs of which no task has started; none if that is not
    /// known, or if the owner last reported it too long ago.
    pub fn pending(&self, queue: &str) -> Option<u32> {
        let pending = match self.shared.engine() {
            Some(engine) => engine.pending(),
            None => {
                let owner = self.shared.owner();
                let age = owner.silence(self.shared.now());
                if owner.address.is_none() || age > MAX_PENDING_AGE {
                    return None;
                }
                owner.pending.clone()
            }
        };
        let count = pending.iter().find(|(name, _)| name == queue);
        Some(count.map_or(0, |(_, jobs)| *jobs))
    }

    async fn serve_call(&self, call: NodeCall) -> NodeReply {
        let shared = &self.shared;
        match call {
            NodeCall::Beat(beat) => {
                shared.apply_heartbeat(&beat);
                NodeReply::Beat(Box::new(shared.heartbeat_for(&beat.name)))
            }
            NodeCall::Accepted(_)
            | NodeCall::State(_)
            | NodeCall::Explain(_)
            | NodeCall::Cancel(_)
            | NodeCall::Intake { .. } => serve_as_owner(shared, call).await,
            NodeCall::Advise { step, workers } => match &shared.advisor {
                Some(advisor) => match advisor.advise(&step, &workers).await {
                    Some(tickets) => NodeReply::Tickets(tickets),
                    None => NodeReply::Unavailable,
                },
                None => NodeReply::Unavailable,
            },
            NodeCall::Configuration(above) => match shared.config() {
                Some(config) if config.version > above => serde_json::to_vec(&*config)
                    .map_or(NodeReply::Unavailable, NodeReply::Configuration),
                _ => NodeReply::Unavailable,
            },
            NodeCall::ConfigurationPiece(request) => {
                configuration_transfer::serve(shared, &request)
            }
            NodeCall::Relay(body) => relay(shared, &body).await,
            NodeCall::Write(rows) => NodeReply::Written(self.intake.write_for_node(rows).await),
        }
    }
}

fn job_request(caller: &Caller, job: JobId) -> JobRequest {
    JobRequest {
        job,
        caller: caller.clone(),
    }
}

/// How long an answer may take for a caller with this remaining time.
fn answer_limit(deadline: Option<Millis>) -> Duration {
    share_of(deadline, ANSWER_PERCENT)
}

/// How long an answer may take while the store is slow.
fn slow_answer_limit(deadline: Option<Millis>) -> Duration {
    share_of(deadline, SLOW_ANSWER_PERCENT)
}

fn share_of(deadline: Option<Millis>, percent: Millis) -> Duration {
    let left = deadline.unwrap_or(DEFAULT_DEADLINE);
    Duration::from_millis(left * percent / 100)
}

impl NodeService for Frontend {
    fn serve(&self, call: NodeCall) -> BoxFuture<'_, NodeReply> {
        self.serve_call(call).boxed()
    }
}

/// Makes a call to the store, or to workers, for another node; both the call and the answer are
/// JSON.
async fn relay(shared: &Arc<Shared>, body: &[u8]) -> NodeReply {
    if let Ok(call) = serde_json::from_slice(body) {
        return witness::serve(shared, &call).await;
    }
    let call = match serde_json::from_slice(body) {
        Ok(call) => call,
        Err(err) => {
            tracing::error!(%err, "cannot decode a call to be relayed");
            return NodeReply::Unavailable;
        }
    };
    let reply = shared.store_direct(call).await;
    serde_json::to_vec(&reply).map_or(NodeReply::Unavailable, NodeReply::Relayed)
}
