//! What the core wants done, and what it is told of the outcome.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::cell::life::Life;
use crate::cell::name::{StepName, TaskName};
use crate::cell::sequence::Sequence;
use crate::cell::{RunKey, StepKey, WorkerKey};
use crate::clock::Millis;

/// Addresses one life of a worker under one epoch.
#[derive(Debug, Clone)]
pub struct Addressee {
    /// The worker's key in the core.
    pub worker: WorkerKey,
    /// The life that is meant.  Workers tell lives apart by the id alone, so another one of this id
    /// carries the order out.
    pub life: Life,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Our epoch; a worker refuses orders of lower ones.
    pub epoch: u64,
}

/// Starts one run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The worker.
    pub to: Addressee,
    /// The run's key in the core.
    pub run: RunKey,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// The text of the job.
    pub text: Arc<str>,
    /// By the worker's clock, when the lease ends and the order is void.
    pub due: Millis,
    /// The permission to run there, if one is needed.
    pub ticket: Option<String>,
    /// The progress to go on from; empty for none.
    pub saved: String,
}

/// Stops one run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// The worker.
    pub to: Addressee,
    /// The run's key, if it is one of ours.
    pub run: Option<RunKey>,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
}

/// Asks which workers may run a step.
#[derive(Debug, Clone)]
pub struct AdviceOrder {
    /// The step's key in the core.
    pub step: StepKey,
    /// The step.
    pub name: StepName,
    /// The lane to use.
    pub lane: usize,
    /// The workers that are meant.
    pub workers: Vec<(WorkerKey, String)>,
    /// How long the answer should take.
    pub expected: Millis,
}

/// Something that the core wants done.
#[derive(Debug, Clone)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Ask which workers may run a step.
    Advise(AdviceOrder),
}

/// Looks at a worker, and renews the lease of all that runs there.
#[derive(Debug, Clone)]
pub struct PollOrder {
    /// The worker.
    pub to: Addressee,
    /// Its place in the order of what is sent and heard.
    pub sequence: Sequence,
    /// When it was sent, by our clock.
    pub sent: Millis,
    /// The number of the last end that it may forget.
    pub forget: u64,
    /// By the worker's clock, when the lease ends; none only looks.
    pub due: Option<Millis>,
    /// How long to wait for an end.
    pub wait: Millis,
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// It does not run and never will.
    Refused(Refusal),
    /// Nobody knows.
    Unanswered,
}

/// Why a worker did not carry out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher epoch.
    Epoch,
    /// The run's number is not above one that has ended there.
    OldRun,
    /// The order came after its time.
    Late,
    /// It has no room.
    Room,
    /// The ticket is missing, too old or for something else.
    Ticket,
    /// It says that it is not healthy.
    Unhealthy,
    /// It does not know the task.
    UnknownTask,
    /// Another life answers at the address.
    Gone,
    /// No connection came about.
    NotSent,
    /// Too many of our own calls were on their way; nothing was sent, and the worker is not to
    /// blame.
    Busy,
}

impl Refusal {
    /// A stable name for counters and logs.
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// Well.
    Done,
    /// Through its own fault or the worker's.
    Failed,
    /// By our order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that goes on, as the worker tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningEntry {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// The newest saved progress.
    pub saved: String,
    /// Work done, in hundredths.
    pub percent: u32,
    /// For a serving task the tail of its answers in ms, else millicores in use.
    pub figure: Option<u64>,
}

/// A run that ended, as the worker tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndEntry {
    /// Rises by one with each end of this life of the worker.
    pub place: u64,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// How it ended.
    pub how: EndKind,
    /// The newest saved progress.
    pub saved: String,
}

/// What a worker tells when it is looked at.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollReport {
    /// When this life of the worker started, in Unix milliseconds, if it tells.
    pub born: Option<Millis>,
    /// Its clock.
    pub clock: Millis,
    /// All that runs.
    pub running: Vec<RunningEntry>,
    /// Ends that it may not forget yet.
    pub ended: Vec<EndEntry>,
}

/// Why a look brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The worker refused.
    Refused(Refusal),
    /// No answer, or not a whole one.
    Unanswered,
}
