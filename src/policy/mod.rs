//! Scheduling policies: the order in which jobs are considered, and how much each queue may use.
//!
//! An operator can set a short program as the policy.  The scheduling core only uses the trait
//! [`Policy`], so a cell without a program has no interpreter overhead.

pub mod program;

use serde::Serialize;

use crate::cell::spec::JobSpec;
use crate::queue::Queue;

pub use program::{Program, ProgramError};

/// What a policy decides about one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Jobs with a lower number are considered first.
    pub priority: u32,
    /// The order in which jobs of the same priority are considered.
    pub turn: Turn,
    /// While tasks of the job wait, room that becomes free is reserved for them against jobs with a
    /// higher number.
    pub reserves: bool,
    /// Tasks are placed on the emptiest workers instead of the fullest.
    pub spread: bool,
    /// The processors that the running tasks of the job's queue may hold, in millicores, not
    /// counting fillers; a task waits while it would exceed that.  None means no limit.
    pub quota: Option<u64>,
}

/// The order in which jobs of the same priority are considered.  Policy programs name it `turn`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Turn {
    /// The oldest job first.
    Arrival,
    /// The job with the least remaining work first.
    LeastWork,
    /// The job first that must start the soonest to end within the time that its queue grants.
    LeastLaxity,
    /// As `LeastLaxity`, but large jobs are moved back behind small ones, by at most
    /// `tuning::MAX_WORK_PENALTY`.
    #[default]
    Balanced,
}

impl Turn {
    /// All values.
    pub const ALL: [Self; 4] = [
        Self::Arrival,
        Self::LeastWork,
        Self::LeastLaxity,
        Self::Balanced,
    ];

    /// Returns the name that operators use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::LeastWork => "least_work",
            Self::LeastLaxity => "least_laxity",
            Self::Balanced => "balanced",
        }
    }

    /// Returns the value with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|turn| turn.name() == name)
    }
}

/// A scheduling policy.  It is asked once for each job, and again when the configuration or the
/// policy has changed.
pub trait Policy: Send + Sync {
    /// Decides how a job of `queue` is scheduled.
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision;
}

/// The policy without a program: jobs have the priority of their queue.
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

/// An operator's program as a policy.  If it fails for a job, the built-in policy decides.
pub struct ProgramPolicy(pub Program);

impl Policy for ProgramPolicy {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        self.0.decide(queue, spec).unwrap_or_else(|err| {
            tracing::warn!(
                %err,
                queue = queue.name,
                "policy program failed; using the built-in policy"
            );
            BuiltIn.decide(queue, spec)
        })
    }
}
