//! The messages between instances.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::model::{Epoch, JobId, JobSpec, Resources};
use crate::placement::reserve::Reserved;
use crate::placement::view::JobView;
use crate::routing::{Outcome, Refusal, RequestSpec};

/// A call to another instance.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerCall {
    /// I am alive, and this is how I stand.
    Beat(Beat),
    /// Note this epoch of a shard, and say what you know of its owner.
    Fence(Fence),
    /// Serve this request.
    Forward {
        /// The request.
        spec: RequestSpec,
        /// Its body.
        body: Vec<u8>,
    },
    /// Accept this job.
    Submit {
        /// The id of the job.
        job: JobId,
        /// What is asked for.
        spec: JobSpec,
    },
    /// Tell how a job stands with you.
    ViewJob(JobId),
    /// Cancel what you have of a job.
    CancelJob(JobId),
    /// Reserve room for work of mine.
    Reserve {
        /// What each task needs.
        need: Resources,
        /// How many tasks there are.
        count: u32,
        /// How long the room is kept, in milliseconds.
        ttl: Millis,
    },
    /// A reservation of yours will not be used.
    Release(u64),
    /// Work has been moved to a shard of yours; its record is written.
    Adopt {
        /// The shard.
        shard: String,
        /// The job.
        job: JobId,
        /// The reservation that holds its places.
        reservation: u64,
    },
    /// A new configuration has been accepted.
    NewVersion {
        /// Its number.
        version: u64,
    },
    /// Tell how you stand, for operators.
    Status,
}

/// The answer to a [`PeerCall`].
#[derive(Debug, Clone, PartialEq)]
pub enum PeerReply {
    /// To a beat: how the answering instance stands.
    Beat(Beat),
    /// To a fence.
    Fence(FenceReply),
    /// To a forwarded request: its final outcome.
    Outcome(Outcome),
    /// To a submission.
    Submitted(Submitted),
    /// To a question for a job.
    Job(Option<JobView>),
    /// To a cancellation.
    Cancelled(Cancelled),
    /// To a reservation.
    Reserved(Reserved),
    /// To a notice.
    Done,
    /// To a question for the status: JSON of `daemon::status::InstanceStatus`.
    Status(Vec<u8>),
}

/// How an instance stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Beat {
    /// Its name.
    pub name: String,
    /// A number that it drew at its start.
    pub incarnation: u64,
    /// Its hall.
    pub hall: String,
    /// Its address for other instances.
    pub rpc: SocketAddr,
    /// Whether it is leaving.
    pub draining: bool,
    /// The version of the configuration that is in force there.
    pub version: u64,
    /// Free processors on its usable workers, in thousandths of a core.
    pub free_millicores: u64,
    /// Free memory there, in mebibytes.
    pub free_memory_mib: u64,
    /// How many jobs wait there.
    pub waiting_jobs: u32,
    /// Whether it decides for any usable worker.
    pub owns_workers: bool,
    /// How its groups of targets stand.
    pub services: Vec<ServiceLoad>,
    /// The groups of targets that it owns.
    pub pools: Vec<PoolEpoch>,
    /// In an answer: those of the asker's groups for which a higher epoch is known.
    pub superseded: Vec<PoolEpoch>,
}

/// How the groups of targets of one service stand at one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// How many slots are free.
    pub free: u32,
    /// How many requests wait.
    pub queued: u32,
}

/// The epoch of a group of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolEpoch {
    /// The shard.
    pub shard: String,
    /// The epoch.
    pub epoch: Epoch,
}

/// A note of an epoch, and a question for its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    /// The shard.
    pub shard: String,
    /// The epoch to note; zero only asks.
    pub epoch: Epoch,
    /// The instance whose silence is asked for.
    pub owner: String,
}

/// The answer to a [`Fence`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// The incarnation of the answering instance.
    pub boot: u64,
    /// The highest epoch of the shard that it knows.
    pub epoch: Epoch,
    /// How long it has not heard from the instance asked for.
    pub owner_silence: Millis,
}

/// What became of a cancellation at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cancelled {
    /// Whether the instance has tasks of the job.
    pub found: bool,
    /// Whether the cancellation is durable there.
    pub recorded: bool,
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submitted {
    /// The job is durably accepted.
    Accepted,
    /// The job was not accepted, and nothing of it will run.
    Refused {
        /// Why.
        reason: Refusal,
        /// When coming back may help, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The job may or may not have been accepted.
    Unknown,
}

impl Submitted {
    /// Builds a refusal, with the time after which coming back may help.
    pub fn refused(reason: Refusal, retry_after_ms: Option<u64>) -> Self {
        Submitted::Refused {
            reason,
            retry_after_ms,
        }
    }
}
