//! The state of a job as shown to people: what runs, what is done, and why the rest waits.

use serde::{Deserialize, Serialize};

use crate::cell::job::{Job, JobState, Task};
use crate::cell::round::Round;
use crate::cell::spec::{Demand, JobId};
use crate::cell::wait::WaitReason;
use crate::cell::{Cell, JobKey, StepKey};
use crate::clock::Millis;

/// The state of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepView {
    /// The occurrence of a scheduled job, from zero; zero for all others.
    pub time: u32,
    /// The step's index in the job.
    pub step: u16,
    /// The number of tasks.
    pub tasks: u32,
    /// How many tasks are done.
    pub done: u32,
    /// How many tasks have a run that is going on, or may be.
    pub running: u32,
    /// How many runs have failed.
    pub failed_runs: u32,
    /// How many runs were on a worker when it was lost, since the last run of the task that ran
    /// well.
    #[serde(default)]
    pub lost_runs: u32,
    /// Why the other tasks wait; none if no task waits.  Never [`WaitReason::Share`], which nodes of
    /// the previous version cannot decode; see [`Self::reason`].
    pub waits_for: Option<WaitReason>,
    /// The tasks wait for room behind those of other workspaces, since their own workspace already
    /// has its share.
    #[serde(default)]
    pub beyond_share: bool,
}

impl StepView {
    /// Returns why the other tasks wait; none if no task waits.
    pub fn reason(&self) -> Option<WaitReason> {
        match self.waits_for {
            Some(WaitReason::NoRoom) if self.beyond_share => Some(WaitReason::Share),
            reason => reason,
        }
    }
}

/// The usage and cap of a job's workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// The workspace's name.
    pub name: String,
    /// The resources that tasks of the workspace use.
    pub held: Demand,
    /// The resources that tasks of the workspace may use; zeros stand for no limit.
    pub cap: Demand,
    /// The version of the configuration in force, which sets the cap.  If it does not have the
    /// workspace any more, the cap is the last one that was set.
    pub configuration: u64,
}

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id, 16 hexadecimal digits.
    pub id: String,
    /// The queue's name.
    pub queue: String,
    /// The job's workspace; none if it has none or if the job ended under a former owner.
    #[serde(default)]
    pub workspace: Option<WorkspaceView>,
    /// The state of the job as a whole.
    pub state: JobState,
    /// The job's steps; empty for a job that ended under a former owner.
    pub steps: Vec<StepView>,
}

impl JobView {
    /// Makes the view of a job of which only the state is known.
    pub fn of_state(id: JobId, state: JobState) -> Self {
        Self {
            id: id.to_string(),
            queue: String::new(),
            workspace: None,
            state,
            steps: Vec::new(),
        }
    }
}

impl Cell {
    /// Returns the state of a job; none if the job is not known.
    pub fn view(&self, id: JobId, now: Millis) -> Option<JobView> {
        let state = self.state(id)?;
        let job = self.job_ids.get(&id).and_then(|&key| self.jobs.get(key));
        let steps = job.map(|job| job.occurrences.steps());
        Some(JobView {
            id: id.to_string(),
            queue: job.map_or_else(String::new, |job| job.queue.name.clone()),
            workspace: job.and_then(|job| self.view_workspace(job)),
            state,
            steps: steps
                .into_iter()
                .flatten()
                .map(|key| self.view_step(key, now))
                .collect(),
        })
    }

    fn view_workspace(&self, job: &Job) -> Option<WorkspaceView> {
        let key = job.workspace?;
        let workspace = self.ledger.workspace(key);
        Some(WorkspaceView {
            name: workspace.name.clone(),
            held: self.ledger.held(key),
            cap: workspace.cap,
            configuration: self.config.version,
        })
    }

    fn view_step(&self, key: StepKey, now: Millis) -> StepView {
        let step = &self.steps[key];
        let count = |holds: &dyn Fn(&Task) -> bool| {
            step.tasks.iter().filter(|task| holds(task)).count() as u32
        };
        let waiting = count(&Task::waits);
        let open = waiting > 0 && !self.jobs[step.job].state.is_final();
        let waits_for = open.then(|| self.wait_reason(step.job, key, now));
        StepView {
            time: step.name.time,
            step: step.name.step,
            tasks: step.tasks.len() as u32,
            done: count(&|task| task.done),
            running: count(&|task| !task.runs.is_empty()),
            failed_runs: step.tasks.iter().map(|task| task.failed.len() as u32).sum(),
            lost_runs: step.tasks.iter().map(|task| task.losses.len() as u32).sum(),
            waits_for,
            beyond_share: waits_for == Some(WaitReason::NoRoom) && self.is_beyond_share(key),
        }
    }

    fn wait_reason(&self, job: JobKey, key: StepKey, now: Millis) -> WaitReason {
        let step = &self.steps[key];
        let job = &self.jobs[job];
        if !step.ready {
            return WaitReason::EarlierSteps;
        }
        if self.is_unsettled(step, &self.jobs_awaiting_poll()) {
            return WaitReason::Settling;
        }
        if let Some(limit) = self.exceeded_limit(key, step.step().tasks_at_once()) {
            return limit;
        }
        let mut waiting = step.tasks.iter().enumerate();
        if waiting.any(|(index, task)| task.waits() && self.needs_trial(key, index as u32)) {
            return WaitReason::AfterCrash;
        }
        let has_candidates = !self
            .placement_candidates(key, &mut Round::new(now))
            .is_empty();
        if has_candidates || self.waits_for_waking(key, now) {
            return WaitReason::Soon;
        }
        if self.has_room_in_evacuated_hall(key) {
            return WaitReason::Evacuated;
        }
        let may_ask = job.queue.advice.is_some() && step.advice.kept_since.is_none();
        if may_ask && step.advice.tickets.is_empty() {
            return WaitReason::Advice;
        }
        WaitReason::NoRoom
    }
}
