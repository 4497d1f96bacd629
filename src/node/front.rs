//! Serving callers and other nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::cell::job::JobState;
use crate::cell::record::{JobProgress, JobRow};
use crate::cell::spec::{JobId, JobSpec};
use crate::cell::view::JobView;
use crate::clock::Millis;
use crate::node::intake::{Intake, SubmitOutcome};
use crate::node::loading;
use crate::node::owner_calls::{OWNER_TIMEOUT, ask_owner, notify_owner, serve_as_owner};
use crate::node::shared::{PARTITION, Shared};
use crate::queue::Queue;
use crate::rpc::node::{JobRequest, NodeCall, NodeReply, NodeService};
use crate::store::{StoreCall, StoreReply, Table};
use crate::workspace::{Caller, Workspace};

/// How long the owner may take to record a cancellation: callers wait 3 s.
const CANCEL_TIMEOUT: Millis = 2_500;
/// The share of the time that a caller has left which an answer may take, in percent: a
/// caller that gets none must have time to ask again, at this node or another.
const HOLD_PERCENT: Millis = 45;
/// The share while the store is slow, in percent: another try would take as long as this
/// one, and its row would wait in the same partitions behind it.
const SLOW_HOLD_PERCENT: Millis = 75;
/// What a caller that names no deadline is taken to have left.
const USUAL_DEADLINE: Millis = 3_000;
/// How long a question about a job waits for an owner: twice what a takeover takes.
const TAKEOVER: Millis = 300;
/// How often it looks whether there is one.
const OWNER_LOOK: Duration = Duration::from_millis(20);
/// How long the owner may take to tell whose an id is: ten times what it takes when it is well.
const ID_TIMEOUT: Millis = 150;
/// When to come back after a refusal: the store's outages last some seconds.
pub const RETRY_AFTER: Millis = 1_000;
/// A count of the owner's that is older than this is not passed on: callers accept 2 s.
const PENDING_VALID: Millis = 1_800;

/// What became of a question or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// How far the job is.
    State(JobState),
    /// There is no such job.
    Unknown,
    /// The cancellation is recorded.
    Cancelled,
    /// It cannot be told now.
    Unavailable,
}

/// The side of a node that callers and other nodes see.
pub struct Frontend {
    /// What all parts of the node share.
    pub shared: Arc<Shared>,
    intake: Intake,
    /// Callers' requests that are being answered.
    requests: Arc<AtomicUsize>,
}

/// One request that is being answered; dropping it ends the count.
pub struct RequestGuard(Arc<AtomicUsize>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Frontend {
    /// Makes the front of a node.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            intake: Intake::start(Arc::clone(&shared)),
            shared,
            requests: Arc::default(),
        }
    }

    /// Counts a request for as long as the value lives.
    pub fn track_request(&self) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(&self.requests))
    }

    /// Tells whether no request is being answered.
    pub fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0
    }

    /// Tells whether the node should get new connections: it can take jobs.
    pub fn is_ready(&self) -> bool {
        self.shared.config().is_some() && !self.shared.is_leaving() && self.shared.can_reach_store()
    }

    /// Takes a job in.  It is durable before this says so; `deadline` is the time that
    /// the caller has left, if it told.
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
        let began = self.shared.now();
        let outcome = match self.is_anothers(caller, id).await {
            true => SubmitOutcome::IdInUse,
            false => self.write(&row, deadline).await,
        };
        let now = self.shared.now();
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

    /// Tells whether a job has this id that the caller may not see.  Its row must not be written
    /// over, and a second one of its id would never run.  Only workspaces need the question, and
    /// without an owner nobody can tell at once.
    async fn is_anothers(&self, caller: &Caller, id: JobId) -> bool {
        let Caller::Workspace(_) = caller else {
            return false;
        };
        let known = self.ask_state(&Caller::Operator, id).await;
        if !matches!(known, Some(NodeReply::State(_))) {
            return false;
        }
        let seen = self.ask_state(caller, id).await;
        matches!(seen, Some(NodeReply::UnknownJob))
    }

    async fn ask_state(&self, caller: &Caller, id: JobId) -> Option<NodeReply> {
        let call = NodeCall::State(question(caller, id));
        ask_owner(&self.shared, call, ID_TIMEOUT).await
    }

    /// The workspace of a caller, as the configuration in force describes it.
    fn workspace(&self, caller: &Caller) -> Option<Workspace> {
        let Caller::Workspace(name) = caller else {
            return None;
        };
        self.shared.config()?.workspace(name).cloned()
    }

    async fn write(&self, row: &JobRow, deadline: Option<Millis>) -> SubmitOutcome {
        if !self.shared.can_reach_store() {
            return SubmitOutcome::Refused;
        }
        let writing = self.intake.write(row);
        tokio::pin!(writing);
        if let Ok(outcome) = tokio::time::timeout(hold(deadline), &mut writing).await {
            return outcome;
        }
        if !self.shared.store_answers_slowly() {
            // The write goes on: the job may yet be taken.
            return SubmitOutcome::Doubtful;
        }
        let longer = slow_hold(deadline).saturating_sub(hold(deadline));
        let outcome = tokio::time::timeout(longer, writing).await;
        outcome.unwrap_or(SubmitOutcome::Doubtful)
    }

    /// Tells how far a job is, to a caller that has `deadline` left.
    pub async fn state(&self, caller: &Caller, id: JobId, deadline: Option<Millis>) -> JobAnswer {
        let asking = tokio::time::timeout(hold(deadline), self.find_state(caller, id));
        asking.await.unwrap_or_else(|_| {
            tracing::info!(request = %id, ?deadline, "state is not found in time");
            JobAnswer::Unavailable
        })
    }

    async fn find_state(&self, caller: &Caller, id: JobId) -> JobAnswer {
        self.await_owner().await;
        let call = NodeCall::State(question(caller, id));
        let asked = ask_owner(&self.shared, call, OWNER_TIMEOUT).await;
        let (early, may_see) = {
            let ends = self.shared.early_ends();
            (ends.state(id), ends.may_see(caller, id))
        };
        let (told, source) = match (asked, early) {
            (Some(NodeReply::State(state)), _) => (JobAnswer::State(state), "owner"),
            (_, Some(_)) if !may_see => (JobAnswer::Unknown, "early ends"),
            (_, Some(state)) => (JobAnswer::State(state), "early ends"),
            _ => (self.stored_state(caller, id).await, "rows"),
        };
        let epoch = self.shared.owner().epoch;
        tracing::info!(request = %id, ?told, source, epoch, "state told");
        told
    }

    /// Waits a while for an owner if there is none: a takeover is shorter than reading a
    /// job's rows, which takes a call for each partition.
    async fn await_owner(&self) {
        let until = self.shared.now() + TAKEOVER;
        while self.shared.owner().address.is_none() && self.shared.now() < until {
            tokio::time::sleep(OWNER_LOOK).await;
        }
    }

    /// Reads a job's state from its rows: first from that of its progress, since looking
    /// for the job takes a call for each partition.
    async fn stored_state(&self, caller: &Caller, id: JobId) -> JobAnswer {
        let progress = StoreCall::row(Table::Progress, PARTITION, &id.to_string());
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
                    tracing::error!(%err, request = %id, "progress cannot be read");
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
                let told = match caller.may_see(workspace) {
                    true => JobAnswer::State(JobState::Queued),
                    false => JobAnswer::Unknown,
                };
                tokio::spawn(notify_owner(Arc::clone(&self.shared), row));
                told
            }
            None => JobAnswer::Unknown,
        }
    }

    /// Tells how a job stands in detail, which only the owner knows; `Err` tells as much
    /// as any node can.
    pub async fn explain(
        &self,
        caller: &Caller,
        id: JobId,
    ) -> std::result::Result<JobView, JobAnswer> {
        let call = NodeCall::Explain(question(caller, id));
        let asked = ask_owner(&self.shared, call, OWNER_TIMEOUT).await;
        if let Some(NodeReply::Explained(view)) = asked {
            match serde_json::from_slice(&view) {
                Ok(view) => return Ok(view),
                Err(err) => tracing::error!(%err, request = %id, "a view cannot be read"),
            }
        }
        Err(self.state(caller, id, None).await)
    }

    /// Cancels a job, for a caller that has `deadline` left; it is recorded before this
    /// says so.
    pub async fn cancel(&self, caller: &Caller, id: JobId, deadline: Option<Millis>) -> JobAnswer {
        let cancelling = tokio::time::timeout(hold(deadline), self.ask_to_cancel(caller, id));
        let told = cancelling.await.unwrap_or(JobAnswer::Unavailable);
        tracing::info!(request = %id, ?told, "cancellation");
        told
    }

    async fn ask_to_cancel(&self, caller: &Caller, id: JobId) -> JobAnswer {
        let call = NodeCall::Cancel(question(caller, id));
        match ask_owner(&self.shared, call, CANCEL_TIMEOUT).await {
            Some(NodeReply::Cancelled) => JobAnswer::Cancelled,
            Some(NodeReply::UnknownJob) => JobAnswer::Unknown,
            _ => JobAnswer::Unavailable,
        }
    }

    /// How many jobs of a queue have not begun; none if that is not known.
    pub fn pending(&self, queue: &str) -> Option<u32> {
        let pending = match self.shared.engine() {
            Some(engine) => engine.pending(),
            None => {
                let owner = self.shared.owner();
                let age = owner.silence(self.shared.now());
                if owner.address.is_none() || age > PENDING_VALID {
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
            | NodeCall::Cancel(_) => serve_as_owner(shared, call).await,
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
            NodeCall::Relay(body) => relay(shared, &body).await,
            NodeCall::Write(rows) => NodeReply::Written(self.intake.write_for_node(rows).await),
        }
    }
}

fn question(caller: &Caller, job: JobId) -> JobRequest {
    JobRequest {
        job,
        caller: caller.clone(),
    }
}

/// How long a caller that has `deadline` left may be kept waiting.
fn hold(deadline: Option<Millis>) -> Duration {
    share_of(deadline, HOLD_PERCENT)
}

/// How long a caller may be kept waiting for a slow store.
fn slow_hold(deadline: Option<Millis>) -> Duration {
    share_of(deadline, SLOW_HOLD_PERCENT)
}

fn share_of(deadline: Option<Millis>, percent: Millis) -> Duration {
    let left = deadline.unwrap_or(USUAL_DEADLINE);
    Duration::from_millis(left * percent / 100)
}

impl NodeService for Frontend {
    fn serve(&self, call: NodeCall) -> BoxFuture<'_, NodeReply> {
        self.serve_call(call).boxed()
    }
}

async fn relay(shared: &Arc<Shared>, body: &[u8]) -> NodeReply {
    let call = match serde_json::from_slice(body) {
        Ok(call) => call,
        Err(err) => {
            tracing::error!(%err, "a call to relay cannot be read");
            return NodeReply::Unavailable;
        }
    };
    let reply = shared.store_direct(call).await;
    serde_json::to_vec(&reply).map_or(NodeReply::Unavailable, NodeReply::Relayed)
}
