//! Orders that the core gives to workers and to the advice service, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cell::life::Life;
use crate::cell::name::{StepName, TaskName};
use crate::cell::sequence::Sequence;
use crate::cell::{RunKey, StepKey, WorkerKey};
use crate::clock::Millis;

/// The life of a worker to which an order is addressed, and the epoch under which it is given.
#[derive(Debug, Clone)]
pub struct Addressee {
    /// The worker's key in the core.
    pub worker: WorkerKey,
    /// The addressed life.  The platform addresses lives by id alone, so another life with this id
    /// carries the order out as well.
    pub life: Life,
    /// The address at which the worker accepts orders.
    pub address: SocketAddr,
    /// Our epoch.  A worker refuses orders of lower epochs than it has seen.
    pub epoch: u64,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The worker that is to run it.
    pub to: Addressee,
    /// The run's key in the core.
    pub run: RunKey,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// The job's text, which is passed to the task.
    pub text: Arc<str>,
    /// When the run's first lease ends and the order becomes void, by the worker's clock.
    pub due: Millis,
    /// The ticket that permits the step to run there, if its queue needs one.
    pub ticket: Option<String>,
    /// The checkpoint to continue from; empty for none.
    pub checkpoint: String,
}

/// An order to stop a run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// The worker that runs it.
    pub to: Addressee,
    /// The run's key, unless the run is unknown to the core.
    pub run: Option<RunKey>,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
}

/// A question to the advice service: which workers may run a step.
#[derive(Debug, Clone)]
pub struct AdviceOrder {
    /// The step's key in the core.
    pub step: StepKey,
    /// The step.
    pub name: StepName,
    /// The index of the lane, a node's connection to the advice service, that is to be used.
    pub lane: usize,
    /// The workers that the question names, with their ids.
    pub workers: Vec<(WorkerKey, String)>,
    /// The expected duration of the answer, in milliseconds.
    pub expected: Millis,
}

/// An order that the core has given.
#[derive(Debug, Clone)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Ask which workers may run a step.
    Advise(AdviceOrder),
}

/// A poll of a worker: asks for its runs and ends, and renews the lease of its runs.
///
/// The worker holds the answer back until a run ends, at most for `wait`.
#[derive(Debug, Clone)]
pub struct PollOrder {
    /// The worker to poll.
    pub to: Addressee,
    /// The poll's place in the order of calls sent and answers heard.
    pub sequence: Sequence,
    /// When the poll was sent, by our clock.
    pub sent: Millis,
    /// The number of the last end that the worker may forget, because it and all before are
    /// recorded.
    pub forget: u64,
    /// When the renewed lease ends, by the worker's clock; none to poll without a renewal.
    pub due: Option<Millis>,
    /// How long the worker holds the answer back until a run ends, in milliseconds.
    pub wait: Millis,
}

/// The outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run has started.
    Started,
    /// The run has not started and never will.
    Refused(Refusal),
    /// No answer came, so the run may have started or may start later.
    Unanswered,
}

/// Why a worker did not carry out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    Epoch,
    /// The run's number is not higher than that of a run of the task that has ended there.
    OldRun,
    /// The order arrived after its due time.
    Late,
    /// The worker has no room for the task.
    Room,
    /// The ticket is missing, has expired or is for another step or worker.
    Ticket,
    /// The worker reports itself as unhealthy.
    Unhealthy,
    /// The worker does not recognise the task.
    UnknownTask,
    /// Another life of a worker answers at the address.
    Gone,
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// Too many calls of this node were in flight, so nothing was sent.  The worker is not at
    /// fault.
    Busy,
}

impl Refusal {
    /// Returns a stable name for metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Epoch => "epoch",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::Room => "room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::UnknownTask => "unknown_task",
            Self::Gone => "gone",
            Self::NotSent => "not_sent",
            Self::Busy => "busy",
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The run succeeded.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped by an owner's order.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start in time.
    Alone,
}

/// A run that is going on, as listed by the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningEntry {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
    /// The share of the work that is done, in percent.
    pub percent: u32,
    /// For a serving task its tail latency in milliseconds, for all others the millicores in use.
    pub measurement: Option<u64>,
}

/// A run that has ended, as listed by the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndEntry {
    /// The number of the end, which rises by one with each end of this life of the worker.
    pub end_number: u64,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// How the run ended.
    pub how: EndKind,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// The answer of a worker to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReport {
    /// When this life of the worker started, in Unix milliseconds, if the worker says so.
    pub born: Option<Millis>,
    /// The worker's clock, in milliseconds.
    pub clock: Millis,
    /// All runs that are going on.
    pub running: Vec<RunningEntry>,
    /// The ends that the worker has not been told to forget.
    pub ended: Vec<EndEntry>,
}

/// Why a poll failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The worker refused the poll, or it was not sent.
    Refused(Refusal),
    /// No answer came, or an incomplete one.
    Unanswered,
}
