//! The durable record of the tasks of one job that one shard decides for.

use serde::{Deserialize, Serialize};

use crate::model::{Class, JobId, JobSpec};
use crate::placement::ranges::Ranges;

/// The prefix of the rows of parts; the shard and the job follow.
pub const PART_PREFIX: &str = "part/";
/// The prefix of the rows of parts that have ended; the job and the shard follow.
pub const ENDED_PREFIX: &str = "ended/";

/// The prefix of the rows of tasks on their way to a shard; the shard, the job and a number follow.
pub const INCOMING_PREFIX: &str = "incoming/";

/// How a job is ordered, as its policy decided at acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Ordering {
    /// The class of the job.
    pub class: Class,
    /// How long the job may wait before others must yield, in milliseconds.
    pub patience_ms: u64,
    /// How strongly tasks are spread over racks and halls; zero packs them.
    pub spread: u32,
}

/// The tasks of one job that one shard decides for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The job.
    pub job: JobId,
    /// What was asked for.
    pub spec: JobSpec,
    /// How it is ordered.
    pub ordering: Ordering,
    /// Whether the tasks of a gang have been given their places and must start.
    pub committed: bool,
    /// Whether the caller has cancelled the job; what runs is being stopped.
    pub cancelling: bool,
    /// Tasks that have not ended: they wait or run.
    pub live: Ranges,
    /// Tasks that ended well.
    pub succeeded: Ranges,
    /// Tasks that ended badly, finally.
    pub failed: Ranges,
    /// Tasks that were cancelled.
    pub cancelled: Ranges,
    /// Tasks of which nobody knows whether they ran.
    pub unknown: Ranges,
}

impl Part {
    /// Returns the key of the row while the part is live.
    pub fn key(shard: &str, job: &str) -> String {
        format!("{PART_PREFIX}{shard}/{job}")
    }

    /// Returns the key of the row once all of the part has ended.
    pub fn ended_key(shard: &str, job: &str) -> String {
        format!("{ENDED_PREFIX}{job}/{shard}")
    }

    /// Returns the prefix of the live rows of `shard`.
    pub fn prefix(shard: &str) -> String {
        format!("{PART_PREFIX}{shard}/")
    }
}
