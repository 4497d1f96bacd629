//! The exchange between an owner and a worker.
//!
//! One message carries everything an owner wants of a worker, and one reply
//! carries the worker's whole inventory: a worker has few tasks, and a complete
//! inventory leaves nothing to reconcile.  All times are of the worker's own
//! clock, so a delayed message cannot lengthen a lease; see "Clocks" in
//! `docs/DESIGN.md`.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::model::{Epoch, Resources, RunEnd, TaskId};

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The attempt, unique within the task.
    pub attempt: u64,
    /// What the task may use.
    pub resources: Resources,
    /// The program and arguments.
    pub command: Vec<String>,
    /// How long the task is expected to run; stand-ins use it.
    pub runtime_ms: Option<u64>,
}

/// What an owner sends to a worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The shard of the worker, as the owner knows it.
    pub shard: String,
    /// The owner, for the worker's log.
    pub owner: String,
    /// The epoch of the sender.  Zero asks without claiming anything.
    pub epoch: Epoch,
    /// The boot that the orders are meant for; orders for another are refused.
    pub boot: Option<u64>,
    /// Until when start orders are valid and first leases run, in the worker's clock.
    ///
    /// It is short, so that an order whose fate is unknown is soon known to be over.
    pub start_until: Millis,
    /// Until when renewed leases run, in the worker's clock.
    pub lease_until: Millis,
    /// Tasks to start.
    pub start: Vec<StartOrder>,
    /// Tasks whose leases are renewed.
    pub renew: Vec<TaskId>,
    /// Tasks to stop.
    pub stop: Vec<TaskId>,
    /// Ended tasks whose end is durably known and may be forgotten.
    pub forget: Vec<TaskId>,
}

/// One task in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt that ran or runs.
    pub attempt: u64,
    /// What it occupies while it runs.
    pub resources: Resources,
    /// How it ended, or nothing while it runs.
    pub end: Option<RunEnd>,
    /// What it was last seen to use; lags.
    pub used: Resources,
}

/// What a worker answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The present boot of the worker.
    pub boot: u64,
    /// The worker's clock when it answered.
    pub clock: Millis,
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Whether the message was obeyed: its epoch and boot were current.
    pub obeyed: bool,
    /// How long ago an owner last spoke, in the worker's clock.
    pub owner_silence: Millis,
    /// Whether the worker says that it is leaving.
    pub leaving: bool,
    /// Every task that runs, and every ended one that was not yet forgotten.
    pub inventory: Vec<TaskReport>,
}

/// Why a worker or target could not be spoken to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkError {
    /// No connection came about, so nothing was sent.
    #[error("could not connect")]
    NotSent,
    /// Something was sent and no whole answer came.
    #[error("no whole answer came")]
    Unanswered,
    /// The answer could not be understood.
    #[error("the answer is malformed")]
    Malformed,
}

/// The way to workers.
pub trait WorkerLink: Send + Sync {
    /// Sends one exchange to the worker at `endpoint`.
    fn exchange(
        &self,
        endpoint: String,
        msg: Exchange,
    ) -> BoxFuture<'_, Result<WorkerReply, LinkError>>;
}
