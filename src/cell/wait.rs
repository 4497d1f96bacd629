//! Why tasks wait.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Why tasks of a step wait to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Steps that must come first are not done.
    EarlierSteps,
    /// The configuration in force does not have the queue of the job.  Only owners of a version
    /// before give this reason; they do not run such jobs on.
    NoQueue,
    /// Runs of the tasks that a former owner started may still be going on.
    Settling,
    /// The queue already uses as many processors as the policy allows.
    Quota,
    /// The workspace already uses as much as its cap allows.
    Cap,
    /// Workers were lost when the tasks began, so they are started one at a time as trials.
    AfterCrash,
    /// The advice service has not approved any worker yet.
    Advice,
    /// Workers that may run the tasks have room, but only in a hall that is evacuated.
    Evacuated,
    /// No worker that may run the tasks has room, and their workspace already has its share of the
    /// contended capacity.
    Share,
    /// No worker that may run the tasks has room.
    NoRoom,
    /// The tasks are about to start.
    Soon,
}

/// The number of waiting tasks, by the priority of their jobs and by reason.
pub type Waiting = BTreeMap<(u32, WaitReason), u32>;
