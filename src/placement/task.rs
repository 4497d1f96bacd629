//! A task and its job as the placement core sees them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::clock::Millis;
use crate::model::{JobId, JobSpec, TaskState};
use crate::placement::part::{Ordering, Part};
use crate::placement::ranges::Ranges;
use crate::placement::{JobKey, TaskKey, WorkerKey};

/// How far a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It has no place.
    Waiting,
    /// It has a place, and the record of its new shard is not yet durable.
    Placed,
    /// Its record is on its way to a shard of another instance.
    Moving,
    /// It has been ordered to start.
    Starting,
    /// Its worker says that it runs.
    Running,
    /// It has ended.
    Ended(TaskState),
}

impl Phase {
    /// Returns the state that callers see.
    pub fn state(self) -> TaskState {
        match self {
            Phase::Waiting | Phase::Placed | Phase::Moving => TaskState::Pending,
            Phase::Starting => TaskState::Starting,
            Phase::Running => TaskState::Running,
            Phase::Ended(state) => state,
        }
    }
}

/// One task.
#[derive(Debug)]
pub struct Task {
    /// The job of the task.
    pub job: JobKey,
    /// The index within the job.
    pub index: u32,
    /// How far it has come.
    pub phase: Phase,
    /// Where it runs or is to run.
    pub worker: Option<WorkerKey>,
    /// The shard whose record holds the task, durably.
    pub home: Option<usize>,
    /// Whether a write that changes `home` is under way, or its fate is unknown.
    ///
    /// Until that is known the task must not start anywhere: two records might
    /// lead two owners to it.
    pub in_flux: bool,
    /// The shard whose record is to hold the task.
    pub next_home: usize,
    /// How often it has been ordered to start by this owner.
    pub attempts: u32,
    /// The number of the present attempt: the epoch, then a count.
    pub attempt: u64,
    /// The worker that still remembers the end of the task, if any.
    pub ended_on: Option<WorkerKey>,
    /// When its last lease is over whatever became of the messages; zero if none was sent.
    pub lease_over_at: Millis,
    /// Whether a predecessor may have started it.
    pub inherited: bool,
    /// Whether a stop has been asked for to make room for urgent work.
    pub preempted: bool,
    /// When it last began to wait.
    pub waiting_since: Millis,
    /// When it was first seen to run.
    pub running_since: Millis,
}

/// One job, or the parts of it that this cell decides for.
#[derive(Debug)]
pub struct Job {
    /// The id of the job.
    pub id: JobId,
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// How it is ordered.
    pub ordering: Ordering,
    /// When it was accepted or taken over here.
    pub accepted_at: Millis,
    /// Whether the places of a gang are decided.
    pub committed: bool,
    /// All its tasks here by index.
    pub tasks: BTreeMap<u32, TaskKey>,
    /// The tasks that wait for a place and may be placed, by index.
    pub waiting: BTreeSet<u32>,
    /// The workers on which a task of it failed, and until when they are avoided.
    pub failed_on: BTreeMap<WorkerKey, Avoided>,
    /// Whether it fails wherever it runs, so that no task of it is tried again.
    pub condemned: bool,
    /// How many of its tasks succeeded here.
    pub successes: u32,
    /// How many of its tasks occupy each rack, for spreading.
    pub per_shard: HashMap<usize, u32>,
    /// How many of its tasks occupy each hall, for spreading.
    pub per_hall: HashMap<usize, u32>,
    /// Why it waits, for `explain`.
    pub waits_for: Option<WaitReason>,
    /// Whether the caller has cancelled it.
    pub cancelling: bool,
    /// The claim by which the first record of the job is told from another's; none once written.
    pub claim: Option<u64>,
    /// Whether a record of it has ever been sent to the store.
    pub attempted: bool,
}

/// How a job avoids a worker on which it failed.
#[derive(Debug, Clone, Copy)]
pub struct Avoided {
    failures: u32,
    until: Millis,
}

/// How long a job first avoids a worker on which it failed, in milliseconds.
const FIRST_AVOIDANCE: Millis = 1_000;
/// How often that time is doubled at most.
const MAX_DOUBLINGS: u32 = 8;

impl Job {
    /// Builds a record of the job in which just the given tasks live.
    pub fn part(&self, live: Vec<u32>) -> Part {
        Part {
            job: self.id.clone(),
            spec: (*self.spec).clone(),
            ordering: self.ordering,
            committed: self.committed,
            cancelling: self.cancelling,
            live: Ranges::from_iter(live),
            succeeded: Ranges::default(),
            failed: Ranges::default(),
            cancelled: Ranges::default(),
            unknown: Ranges::default(),
        }
    }

    /// Records that a task of the job failed on a worker.
    pub fn note_failure(&mut self, worker: WorkerKey, now: Millis) {
        let avoided = self.failed_on.entry(worker).or_insert(Avoided {
            failures: 0,
            until: 0,
        });
        avoided.until = now + (FIRST_AVOIDANCE << avoided.failures.min(MAX_DOUBLINGS));
        avoided.failures += 1;
    }

    /// Tells whether the job avoids a worker at `now`.
    pub fn avoids(&self, worker: WorkerKey, now: Millis) -> bool {
        self.failed_on
            .get(&worker)
            .is_some_and(|avoided| now < avoided.until)
    }
}

/// Why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// No usable worker has room for one of its tasks.
    NoRoom,
    /// The team has reached its quota.
    Quota,
    /// The room that is left is kept for urgent work.
    Headroom,
    /// Room is kept for a job that has waited past its patience.
    HeldForOther,
    /// Not all tasks of the gang find room at once.
    GangIncomplete,
    /// A predecessor may still be running it.
    Succession,
}
