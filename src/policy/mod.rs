//! Policies: how jobs are ordered and how much each queue may use.
//!
//! An operator steers the cell with a short program.  The core sees only [`Policy`],
//! so a cell without a program pays nothing for it.

pub mod program;

use crate::cell::spec::JobSpec;
use crate::queue::Queue;

pub use program::{Program, ProgramError};

/// What a policy decides about one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ordering {
    /// Jobs of a lower number are considered first.
    pub priority: u32,
    /// Waiting tasks keep room that comes free from less urgent ones.
    pub reserves: bool,
    /// Tasks go to the emptiest workers instead of the fullest.
    pub spread: bool,
    /// The most processors that the running tasks of the job's queue may hold, in
    /// millicores, fillers left out.  The job waits beyond that; none for no bound.
    pub quota: Option<u64>,
}

/// Decides once for each job, whenever the job or the policy is new.
pub trait Policy: Send + Sync {
    /// Decides about a job of `queue`.
    fn order(&self, queue: &Queue, spec: &JobSpec) -> Ordering;
}

/// What holds while no operator has set a program: the queue's own priority.
#[derive(Debug, Clone, Copy, Default)]
pub struct BuiltIn;

impl Policy for BuiltIn {
    fn order(&self, queue: &Queue, spec: &JobSpec) -> Ordering {
        Ordering {
            priority: queue.priority,
            reserves: true,
            spread: spec.steps.iter().any(|step| step.lasting || step.filler),
            quota: None,
        }
    }
}

/// A program that an operator has set.  Where it fails, the built-in policy decides.
pub struct Programmed(pub Program);

impl Policy for Programmed {
    fn order(&self, queue: &Queue, spec: &JobSpec) -> Ordering {
        self.0.order(queue, spec).unwrap_or_else(|err| {
            tracing::warn!(%err, queue = queue.name, "the policy failed; the built-in one decides");
            BuiltIn.order(queue, spec)
        })
    }
}
