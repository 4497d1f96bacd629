//! Policies: how jobs are ordered and how much each queue may use.
//!
//! An operator steers the cell with a short program.  The core sees only [`Policy`],
//! so a cell without a program pays nothing for it.

pub mod program;

use serde::Serialize;

use crate::cell::spec::JobSpec;
use crate::queue::Queue;

pub use program::{Program, ProgramError};

/// What a policy decides about one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Jobs of a lower number are considered first.
    pub priority: u32,
    /// In which order jobs of one priority are considered.
    pub turn: Turn,
    /// Waiting tasks keep room that comes free from less urgent ones.
    pub reserves: bool,
    /// Tasks go to the emptiest workers instead of the fullest.
    pub spread: bool,
    /// The most processors that the running tasks of the job's queue may hold, in
    /// millicores, fillers left out.  The job waits beyond that; none for no bound.
    pub quota: Option<u64>,
}

/// In which order jobs of one priority are considered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Turn {
    /// As they came.
    Arrival,
    /// Those with the least work left first.
    LeastWork,
    /// Those first that must start the soonest to be done in time.
    LeastLaxity,
    /// Those that must start the soonest, but for large ones, which give way to small ones for a while.
    #[default]
    Balanced,
}

impl Turn {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Arrival,
        Self::LeastWork,
        Self::LeastLaxity,
        Self::Balanced,
    ];

    /// What operators call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::LeastWork => "least_work",
            Self::LeastLaxity => "least_laxity",
            Self::Balanced => "balanced",
        }
    }

    /// Finds one by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|turn| turn.name() == name)
    }
}

/// Decides once for each job, whenever the job or the policy is new.
pub trait Policy: Send + Sync {
    /// Decides about a job of `queue`.
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision;
}

/// What holds while no operator has set a program: the queue's own priority.
#[derive(Debug, Clone, Copy, Default)]
pub struct BuiltIn;

impl Policy for BuiltIn {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        Decision {
            priority: queue.priority,
            turn: Turn::default(),
            reserves: true,
            spread: spec.steps.iter().any(|step| step.lasting || step.filler),
            quota: None,
        }
    }
}

/// A program that an operator has set.  Where it fails, the built-in policy decides.
pub struct ProgramPolicy(pub Program);

impl Policy for ProgramPolicy {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        self.0.decide(queue, spec).unwrap_or_else(|err| {
            tracing::warn!(%err, queue = queue.name, "the policy failed; the built-in one decides");
            BuiltIn.decide(queue, spec)
        })
    }
}
