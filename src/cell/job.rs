//! Jobs, their steps and tasks, and the runs of tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cell::crash::Loss;
use crate::cell::health::FailedWorkers;
use crate::cell::name::{StepName, TaskName};
use crate::cell::occurrences::Occurrences;
use crate::cell::progress::RunProgress;
use crate::cell::sequence::Sequence;
use crate::cell::spec::{JobId, JobSpec, Step};
use crate::cell::speed::RunTimes;
use crate::cell::task_set::TaskSet;
use crate::cell::{JobKey, RunKey, StepKey, WorkerKey, WorkspaceKey, tuning};
use crate::clock::Millis;
use crate::policy::Decision;
use crate::queue::Queue;

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Nothing has begun.
    Queued,
    /// At least one task has begun.
    Running,
    /// All tasks have succeeded.
    Succeeded,
    /// A task has failed or crashed its workers too often, or the store cannot record its progress.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended, so that none of its tasks is started any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// A job that ended under a former owner.
#[derive(Debug)]
pub struct EndedJob {
    /// The final state.
    pub state: JobState,
    /// The name of the job's workspace, if it has one.
    pub workspace: Option<String>,
}

/// One accepted job.
#[derive(Debug)]
pub struct Job {
    /// The id chosen by the caller.
    pub id: JobId,
    /// The workspace that the job belongs to, if any.
    pub workspace: Option<WorkspaceKey>,
    /// What its caller asked for.
    pub spec: Arc<JobSpec>,
    /// The text that each task is given, shared by all orders.
    pub text: Arc<str>,
    /// The queue as in the latest configuration that has it: an accepted job is kept, also if its
    /// queue is removed.
    pub queue: Queue,
    /// What the policy decided about the job.
    pub decision: Decision,
    /// The state as decided by this owner.
    pub state: JobState,
    /// The state as last recorded in the store.
    pub recorded: JobState,
    /// When this owner took the job over or accepted it, by our clock.
    pub accepted_at: Millis,
    /// The length of the critical path of all steps by the caller's estimates, in milliseconds.
    pub critical_path: Millis,
    /// The job may have been submitted before this ownership began, so a former owner may have
    /// started tasks of it.
    pub predates_ownership: bool,
    /// A former owner may have started tasks of the job without recording that, so each further
    /// start is recorded before it is sent.
    pub record_starts_first: bool,
    /// The occurrences; only 0 exists for a job without schedule.
    pub occurrences: Occurrences,
    /// The tasks that are done.
    pub done: TaskSet,
    /// How many tasks were started at least once, or skipped for a later one, and are not done.
    /// Tasks of gangs and lasting steps do not count.
    pub unfinished_starts: u32,
    /// The job's progress has changed since it was last recorded.
    pub dirty: bool,
}

/// A permission, given by the advice service, to run a step's tasks on a worker.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The text that is sent with a start.
    pub text: String,
    /// When the ticket expires, by our clock.
    pub expires: Millis,
}

/// What the advice service has said about where a step may run.
#[derive(Debug, Default)]
pub struct Advice {
    /// The newest ticket for each approved worker.  When a question is composed, this is searched
    /// once for each worker of the cell.
    pub tickets: BTreeMap<WorkerKey, Ticket>,
    /// Workers that may not run the step.  A rejection is never withdrawn.
    pub rejected: BTreeSet<WorkerKey>,
    /// A question has been sent and not answered yet.
    pub asking: bool,
    /// The workers that the question in flight names, if questions are planned.
    pub named: Vec<WorkerKey>,
    /// Since when the step has been kept from asking, because no capacity is left for it; `None` if
    /// it may ask.
    pub kept_since: Option<Millis>,
    /// When the last question was answered or failed, by our clock; 0 before that.
    pub last_answer: Millis,
    /// Since when the step has lacked tickets without being asked about; `None` while a question is in
    /// flight and after a start.
    pub unasked_since: Option<Millis>,
    /// An answer has come since the last start, and it approved a worker.
    pub has_unused_answer: bool,
    /// The last search found no workers to ask about, and the next one is made from this time on.
    pub search_after: Millis,
}

/// One step of one occurrence of a job.
#[derive(Debug)]
pub struct StepRun {
    /// The job.
    pub job: JobKey,
    /// The step's name.
    pub name: StepName,
    /// What the caller asked for, shared with the job.
    pub spec: Arc<JobSpec>,
    /// The tasks of the step.
    pub tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub open: u32,
    /// The number of tasks that are not done and have no run.
    pub idle: u32,
    /// The first task that is not done; the number of tasks if all are.
    pub first_open: u32,
    /// No task from this index on was ever started.
    pub started_end: u32,
    /// All steps that must come before this one are done.
    pub ready: bool,
    /// Where the step may run.
    pub advice: Advice,
    /// The earliest time at which the step may wake parked workers again.
    pub next_wake: Millis,
    /// The times of the runs that have succeeded.
    pub run_times: RunTimes,
    /// The workers on which runs have failed since one went well.
    pub failed_workers: FailedWorkers,
}

impl StepRun {
    /// Returns the step's part of the job's description.
    pub fn step(&self) -> &Step {
        &self.spec.steps[usize::from(self.name.step)]
    }

    /// The indices of all tasks that were started and are not done, with some others between them.
    pub fn started_range(&self) -> Range<usize> {
        let end = self.started_end.max(self.first_open);
        self.first_open as usize..end as usize
    }

    /// The tasks in [`Self::started_range`].  Others have no runs, no failures and no losses, and
    /// are not done unless they come before these.
    pub fn started_tasks(&self) -> &[Task] {
        &self.tasks[self.started_range()]
    }

    /// Returns whether the tasks count towards the limit of unfinished starts.  The members of a
    /// gang are done together, and lasting tasks never, so neither leaves gaps in a record.
    pub fn limits_starts(&self) -> bool {
        !self.step().gang && !self.step().lasting
    }

    /// Marks a task as done.  Returns false if it was done already.
    pub fn mark_done(&mut self, index: u32) -> bool {
        let task = &mut self.tasks[index as usize];
        if task.done {
            return false;
        }
        task.done = true;
        self.open -= 1;
        self.idle -= u32::from(task.runs.is_empty());
        let is_done = |first: u32| self.tasks.get(first as usize).is_some_and(|task| task.done);
        while is_done(self.first_open) {
            self.first_open += 1;
        }
        true
    }

    /// Returns the name of one of the tasks.
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
    /// The task has succeeded.
    pub done: bool,
    /// The numbers of the runs that have failed.  An end may be reported twice, and the end of an
    /// earlier run after that of a later one.
    pub failed: Vec<u64>,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runs that are going on, or may be.
    pub runs: Vec<RunKey>,
    /// The worker on which the task last failed or ran too slowly.
    pub avoid: Option<WorkerKey>,
    /// The task is not started before this time, because a worker did not recognise its last start,
    /// or because it lasts and keeps failing.
    pub paused_until: Millis,
    /// How many times in a row it has failed soon after its start, if it lasts.
    pub early_failures: u8,
    /// How many runs of the task this owner has found to be slow.
    pub slow_runs: u32,
    /// Runs that were on a worker when it was lost, since the last run that ran well.
    pub losses: Vec<Loss>,
}

impl Task {
    /// Returns whether the task is not done and has no run that may be going on.
    pub fn waits(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// How certain it is that a run is going on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has been sent yet, because the start is recorded first.
    Planned,
    /// The start has been sent and not answered yet.
    Sent,
    /// The start was not answered: the run may be going on, or may begin later.
    Doubtful,
    /// The worker has confirmed that the run began.
    Running,
}

/// A stop that was ordered for a run.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When the stop was last sent, by our clock.
    pub sent: Millis,
    /// How many times it was sent again.
    pub repeats: u32,
    /// When the stop was confirmed.  The answer to a poll sent later shows its effect.
    pub confirmed: Option<Sequence>,
}

/// One run of a task on a worker.
#[derive(Debug)]
pub struct Run {
    /// The step.
    pub step: StepKey,
    /// The task's index in the step.
    pub index: u32,
    /// The life of the worker on which the run is, or may be.
    pub worker: WorkerKey,
    /// The life of the worker to which the start was addressed.  A later life with the same id may
    /// carry it out.
    pub sent_to: WorkerKey,
    /// The number of the run, which rises with each start of the task.
    pub number: u64,
    /// How certain it is that the run is going on.
    pub phase: Phase,
    /// When the run was decided on, by our clock in milliseconds; 0 if a former owner did.
    pub decided_at: Millis,
    /// When its start was sent, by our clock in milliseconds; 0 before that, and if a former owner
    /// sent it.
    pub sent_at: Millis,
    /// When the run was first known to have begun, by our clock in milliseconds; 0 before that.
    pub began_at: Millis,
    /// The point at which that became known, from the answer to the start or from a list of runs.
    /// Only a list whose poll was sent later can show that the run has ended.
    pub start_heard: Option<Sequence>,
    /// The point at which it became known that the start was not answered.
    pub doubt_heard: Option<Sequence>,
    /// A crash of the worker shows that it lived to begin the run, even if the start was not
    /// answered, since the worker was heard just before the start was sent.  Cleared once the
    /// worker has outlived the time in which it should have begun the run.
    pub crash_is_evidence: bool,
    /// When the start can no longer take effect, by the worker's clock.
    pub expires: Millis,
    /// The run was started from a checkpoint.
    pub restored: bool,
    /// The progress observed so far.
    pub progress: RunProgress,
    /// Set once a stop has been ordered.
    pub stop: Option<Stop>,
    /// The run is a trial: nothing else is started beside it, because its task may crash workers.
    pub trial: bool,
    /// The run is not to blame if its worker crashes: it was seen running for long enough, or its
    /// unanswered start was barred by a confirmed stop and the worker has answered since.
    pub proven: bool,
}

impl Run {
    /// Returns whether `clock`, the worker's clock in its answer to the start, shows that the
    /// worker has restarted since the start was sent: it is more than [`tuning::LEASE_MARGIN`]
    /// behind what it was then.
    pub(super) fn is_from_other_clock(&self, clock: Millis) -> bool {
        clock + tuning::START_VALIDITY + tuning::LEASE_MARGIN < self.expires
    }

    /// Notes that the worker has confirmed that the run began.  Only the first confirmation sets
    /// the time.
    pub(super) fn confirm_started(&mut self, heard: Sequence, now: Millis) {
        self.phase = Phase::Running;
        if self.start_heard.is_none() {
            self.start_heard = Some(heard);
            self.began_at = now;
        }
    }
}
