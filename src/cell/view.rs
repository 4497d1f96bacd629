//! How a job stands, for people: what runs, what is done, and why the rest waits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::cell::job::{Job, JobState, Task};
use crate::cell::round::Round;
use crate::cell::spec::{Demand, JobId};
use crate::cell::{Cell, JobKey, StepKey};
use crate::clock::Millis;

/// Why tasks of a step wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Steps before it are not done.
    EarlierSteps,
    /// The configuration in force does not have the job's queue.
    NoQueue,
    /// A former owner may still run them.
    Settling,
    /// The queue holds as many processors as the policy allows it.
    Quota,
    /// Their workspace holds as much as its cap allows it.
    Cap,
    /// Workers were lost as they began, so they are tried one by one.
    AfterCrash,
    /// Nobody has said yet which workers may run them.
    Advice,
    /// Workers that may run them have room, and their hall is evacuated.
    Evacuated,
    /// No worker that may run them has room.
    NoRoom,
    /// They are about to start.
    Soon,
}

/// Counts the tasks that wait, by the priority of their jobs and by reason.
pub type Waiting = BTreeMap<(u32, WaitReason), u32>;

/// How one step stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepView {
    /// Which time of a scheduled job, from zero; zero for all others.
    pub time: u32,
    /// The step's place in the job.
    pub step: u16,
    /// How many tasks it has.
    pub tasks: u32,
    /// How many of them are done.
    pub done: u32,
    /// How many of them run, or may run.
    pub running: u32,
    /// How many runs have failed.
    pub failed_runs: u32,
    /// How many runs were there when their worker was lost, since they last ran well.
    #[serde(default)]
    pub lost_runs: u32,
    /// Why the others wait; none if none does.
    pub waits_for: Option<WaitReason>,
}

/// What a job's workspace holds against its cap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Its name.
    pub name: String,
    /// What its tasks hold.
    pub held: Demand,
    /// What they may hold; zeros stand for no limit.
    pub cap: Demand,
    /// The version of the configuration that says so, unless the workspace is not there any more.
    pub configuration: u64,
}

/// How a job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's identity, 16 hexadecimal digits.
    pub id: String,
    /// The queue's name.
    pub queue: String,
    /// Its workspace, if it has one and has not ended under a former owner.
    #[serde(default)]
    pub workspace: Option<WorkspaceView>,
    /// How far it is.
    pub state: JobState,
    /// Its steps; none of a job that ended under a former owner.
    pub steps: Vec<StepView>,
}

impl JobView {
    /// A job of which only the state is known.
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
    /// Tells how a job stands; none if it is not known.
    pub fn view(&self, id: JobId, now: Millis) -> Option<JobView> {
        let state = self.state(id)?;
        let job = self.job_ids.get(&id).and_then(|&key| self.jobs.get(key));
        let steps = job.map(|job| job.occurrences.values().flatten());
        Some(JobView {
            id: id.to_string(),
            queue: job.map_or_else(String::new, |job| job.queue.name.clone()),
            workspace: job.and_then(|job| self.view_workspace(job)),
            state,
            steps: steps
                .into_iter()
                .flatten()
                .map(|&key| self.view_step(key, now))
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
        StepView {
            time: step.name.time,
            step: step.name.step,
            tasks: step.tasks.len() as u32,
            done: count(&|task| task.done),
            running: count(&|task| !task.runs.is_empty()),
            failed_runs: step.tasks.iter().map(|task| task.failed.len() as u32).sum(),
            lost_runs: step.tasks.iter().map(|task| task.losses.len() as u32).sum(),
            waits_for: open.then(|| self.wait_reason(step.job, key, now)),
        }
    }

    fn wait_reason(&self, job: JobKey, key: StepKey, now: Millis) -> WaitReason {
        let step = &self.steps[key];
        let job = &self.jobs[job];
        if !step.ready {
            return WaitReason::EarlierSteps;
        }
        if !job.queue_configured {
            return WaitReason::NoQueue;
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
        let has_places = !self
            .placement_candidates(key, &mut Round::new(now))
            .is_empty();
        if has_places || self.waits_for_waking(key, now) {
            return WaitReason::Soon;
        }
        if self.has_room_in_evacuated_hall(key) {
            return WaitReason::Evacuated;
        }
        if job.queue.advice.is_some() && step.advice.tickets.is_empty() {
            return WaitReason::Advice;
        }
        WaitReason::NoRoom
    }
}
