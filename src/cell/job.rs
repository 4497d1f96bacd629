//! Jobs, their steps and tasks, and the runs of tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cell::crash::Loss;
use crate::cell::name::{StepName, TaskName};
use crate::cell::progress::RunProgress;
use crate::cell::sequence::Sequence;
use crate::cell::spec::{JobId, JobSpec, Step};
use crate::cell::{JobKey, RunKey, StepKey, WorkerKey, WorkspaceKey, tuning};
use crate::clock::Millis;
use crate::policy::Ordering;
use crate::queue::Queue;

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Nothing has begun.
    Queued,
    /// At least one task has begun.
    Running,
    /// All tasks have ended well.
    Succeeded,
    /// A task has failed too often, or can run nowhere.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl JobState {
    /// Tells whether nothing will run any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// A job that ended under a former owner.
#[derive(Debug)]
pub struct EndedJob {
    /// How it ended.
    pub state: JobState,
    /// The name of its workspace, if it has one.
    pub workspace: Option<String>,
}

/// An end of a run that is not recorded yet: only the worker that lists it can tell a successor.
#[derive(Debug, Clone, Copy)]
pub struct UnrecordedEnd {
    /// The worker.
    pub worker: WorkerKey,
    /// The time, step and index of the task.
    pub place: (u32, u16, u32),
    /// The run's number.
    pub run: u64,
}

/// One accepted job.
#[derive(Debug)]
pub struct Job {
    /// Its identity.
    pub id: JobId,
    /// Whose it is, if it is anybody's.
    pub workspace: Option<WorkspaceKey>,
    /// What its caller asked for.
    pub spec: Arc<JobSpec>,
    /// The text for each task, shared by all orders.
    pub text: Arc<str>,
    /// Its queue, as the newest configuration has it.
    pub queue: Queue,
    /// What the policy decided about it.
    pub ordering: Ordering,
    /// The queue is in the configuration in force.
    pub queue_configured: bool,
    /// How far it is, as decided.
    pub state: JobState,
    /// How far it is, as recorded.
    pub recorded: JobState,
    /// Another node knows of its end, so that may be shown before it is recorded.
    pub known_to_peer: bool,
    /// What of its progress is not recorded yet.
    pub unrecorded_ends: Vec<UnrecordedEnd>,
    /// When it was taken in, by our clock.
    pub accepted_at: Millis,
    /// How long its steps take one after the other, by its caller's guesses.
    pub critical_path: Millis,
    /// A former owner may have started its tasks.
    pub predates: bool,
    /// Starts of its tasks may have been forgotten with a former owner, so each is recorded first.
    pub record_starts_first: bool,
    /// Its steps by time.
    pub occurrences: BTreeMap<u32, Vec<StepKey>>,
    /// Its progress has changed since it was last recorded.
    pub dirty: bool,
}

/// A permission to run a step's tasks on a worker.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The text that a start must bring.
    pub text: String,
    /// When it is no longer good.
    pub expires: Millis,
}

/// What is known about where a step may run.
#[derive(Debug, Default)]
pub struct Advice {
    /// The newest ticket of each good worker.  These are looked up once for each worker of the
    /// cell when a question is made up.
    pub tickets: BTreeMap<WorkerKey, Ticket>,
    /// Workers that may not run the step; this never changes.
    pub bad: BTreeSet<WorkerKey>,
    /// A question is on its way.
    pub asking: bool,
    /// When the last question was answered or failed.
    pub asked: Millis,
    /// There was nothing to ask about; this is looked at again from then on.
    pub search_after: Millis,
}

/// One step of a job at one time.
#[derive(Debug)]
pub struct StepRun {
    /// The job.
    pub job: JobKey,
    /// Its name.
    pub name: StepName,
    /// What the caller asked for, shared with the job.
    pub spec: Arc<JobSpec>,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub open: u32,
    /// All steps before it are done and its time has come.
    pub ready: bool,
    /// Where it may run.
    pub advice: Advice,
    /// It wakes no parked workers before.
    pub next_wake: Millis,
}

impl StepRun {
    /// What the caller asked for.
    pub fn step(&self) -> &Step {
        &self.spec.steps[usize::from(self.name.step)]
    }

    /// Names one of the tasks.
    pub fn task_name(&self, index: u32) -> TaskName {
        TaskName {
            step: self.name,
            index,
        }
    }
}

/// One task.
#[derive(Debug, Default)]
pub struct Task {
    /// It has ended well.
    pub done: bool,
    /// The numbers of the runs that have failed.  An end may be told twice, and that
    /// of an earlier run after that of a later one.
    pub failed: Vec<u64>,
    /// The newest saved progress; empty for none.
    pub saved: String,
    /// Runs that are or may be going on.
    pub runs: Vec<RunKey>,
    /// Where it failed or stood still last.
    pub avoid: Option<WorkerKey>,
    /// It is not started before; a worker did not understand its start.
    pub paused_until: Millis,
    /// How many of its runs were given up as slow by this owner.
    pub slow_runs: u32,
    /// Runs that were there when their worker was lost, since the last one that ran well.
    pub losses: Vec<Loss>,
}

impl Task {
    /// Tells whether it is neither done nor may run.
    pub fn waits(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// How sure it is that a run goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was sent yet: the start is recorded first.
    Planned,
    /// The start is on its way.
    Sent,
    /// The start brought no answer: it may run, or begin later.
    Doubtful,
    /// The worker has confirmed it.
    Running,
}

/// A stop that has been ordered.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When it was last sent.
    pub sent: Millis,
    /// When its confirmation was heard; a look sent later shows what came of it.
    pub confirmed: Option<Sequence>,
}

/// One run of a task on a worker.
#[derive(Debug)]
pub struct Run {
    /// The step.
    pub step: StepKey,
    /// The task's place in it.
    pub index: u32,
    /// The worker.
    pub worker: WorkerKey,
    /// The life of the worker that the start was meant for.
    pub sent_to: WorkerKey,
    /// Rises with each start of the task.
    pub number: u64,
    /// How sure it is that it goes on.
    pub phase: Phase,
    /// When it was first known to have begun, by our clock; 0 before that.
    pub began_at: Millis,
    /// When that was heard, from the start's answer or a list: only the list of a look that
    /// was sent later can show that the run is over.
    pub start_heard: Option<Sequence>,
    /// When it was heard that the start brought no answer.
    pub doubt_heard: Option<Sequence>,
    /// The worker was heard just before the start was sent, so a crash tells even without an answer.
    pub crash_is_evidence: bool,
    /// By the worker's clock, when the start can no longer take effect.
    pub expires: Millis,
    /// It goes on from saved progress.
    pub restored: bool,
    /// What was seen of its progress.
    pub progress: RunProgress,
    /// Set if it is to end.
    pub stop: Option<Stop>,
    /// It is tried by itself, since its task may crash its workers.
    pub trial: bool,
    /// It was seen running long enough not to be to blame if its worker crashes.
    pub proven: bool,
}

impl Run {
    /// Tells whether a worker's answer to the start shows another clock than the one by which it
    /// was sent: that one has begun anew, and so has the worker.
    pub(super) fn is_from_other_clock(&self, clock: Millis) -> bool {
        clock + tuning::START_VALIDITY + tuning::LEASE_MARGIN < self.expires
    }

    /// The worker has confirmed that the run began; the first time that was heard counts.
    pub(super) fn confirm_started(&mut self, heard: Sequence, now: Millis) {
        self.phase = Phase::Running;
        if self.start_heard.is_none() {
            self.start_heard = Some(heard);
            self.began_at = now;
        }
    }
}
