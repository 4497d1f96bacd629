//! Jobs and tasks as callers see them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{Class, JobKind, TaskState};
use crate::placement::TaskKey;
use crate::placement::cell::Cell;
use crate::placement::task::WaitReason;

/// How many tasks of a job a view lists one by one.
pub const TASKS_IN_VIEW: usize = 100;

/// A job as callers see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// The id of the job.
    pub job: String,
    /// What kind of work it is.
    pub kind: JobKind,
    /// The class by which it is ordered.
    pub class: Class,
    /// How many tasks are in each state.
    pub counts: BTreeMap<String, u32>,
    /// Why it waits, if it does.
    pub waits_for: Option<WaitReason>,
    /// The first tasks, one by one.
    pub tasks: Vec<TaskView>,
}

/// A task as callers see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// The index within the job.
    pub index: u32,
    /// The state.
    pub state: TaskState,
    /// The worker, while it has one.
    pub vm: Option<String>,
    /// How often it was ordered to start by the present owner.
    pub attempts: u32,
}

impl Cell {
    /// Returns how a job stands here.
    pub fn view(&self, id: &str) -> Option<JobView> {
        let job = self.jobs.get(*self.by_job.get(id)?)?;
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for key in job.tasks.values() {
            let state = self.tasks[*key].phase.state();
            *counts.entry(state_label(state).to_owned()).or_default() += 1;
        }
        let tasks = job
            .tasks
            .values()
            .take(TASKS_IN_VIEW)
            .map(|key| self.task_view(*key))
            .collect();
        Some(JobView {
            job: job.id.clone(),
            kind: job.spec.kind,
            class: job.ordering.class,
            counts,
            waits_for: if job.waiting.is_empty() {
                None
            } else {
                job.waits_for
            },
            tasks,
        })
    }

    fn task_view(&self, key: TaskKey) -> TaskView {
        let task = &self.tasks[key];
        TaskView {
            index: task.index,
            state: task.phase.state(),
            vm: task.worker.map(|worker| self.workers[worker].vm.vm.clone()),
            attempts: task.attempts,
        }
    }
}

/// Returns the name of a state as callers see it.
pub fn state_label(state: TaskState) -> &'static str {
    match state {
        TaskState::Pending => "pending",
        TaskState::Starting => "starting",
        TaskState::Running => "running",
        TaskState::Succeeded => "succeeded",
        TaskState::Failed => "failed",
        TaskState::Cancelled => "cancelled",
        TaskState::Unknown => "unknown",
    }
}
