//! Answers of the owner to callers and other nodes about its jobs.

use std::collections::BTreeMap;

use crate::cell::job::{Job, JobState};
use crate::cell::spec::JobId;
use crate::cell::{Cell, StepKey};
use crate::workspace::Caller;

impl Cell {
    /// Returns the state of a job; none if it is not known.  An end is told only once it is
    /// recorded, since anything else may be lost ("What is told, and what holds it" in
    /// `docs/DESIGN.md`).
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(ended) = self.ended.get(&id) {
            return Some(ended.state);
        }
        let job = self.jobs.get(*self.job_ids.get(&id)?)?;
        Some(if job.recorded.is_final() {
            job.recorded
        } else if job.state.is_final() {
            JobState::Running
        } else {
            job.state
        })
    }

    /// Returns whether a caller may see and cancel a job.  Also true for a job that is not known.
    pub fn may_see(&self, caller: &Caller, id: JobId) -> bool {
        if let Some(ended) = self.ended.get(&id) {
            return caller.may_see(ended.workspace.as_deref());
        }
        let Some(&key) = self.job_ids.get(&id) else {
            return true;
        };
        let workspace = self.workspace_of(key);
        caller.may_see(workspace.map(|workspace| workspace.name.as_str()))
    }

    /// Returns whether a job may end at any moment: all its remaining tasks have started, or its
    /// end is decided and not recorded yet.
    pub fn may_end_soon(&self, id: JobId) -> bool {
        let Some(job) = self.job_ids.get(&id).and_then(|&key| self.jobs.get(key)) else {
            return false;
        };
        if job.state.is_final() {
            return !job.recorded.is_final();
        }
        let is_under_way = |key: StepKey| {
            let step = &self.steps[key];
            step.open == 0 || (step.ready && !step.step().lasting && step.idle == 0)
        };
        job.spec.schedule.is_none() && job.occurrences.steps().all(is_under_way)
    }

    /// Counts the jobs whose end is decided and waits to be recorded.
    pub fn count_unrecorded_ends(&self) -> usize {
        let awaits_record = |job: &&Job| job.state.is_final() && !job.recorded.is_final();
        self.jobs.values().filter(awaits_record).count()
    }

    /// Returns whether the end of a job is recorded.
    pub fn is_end_recorded(&self, id: JobId) -> bool {
        let recorded = |key| {
            self.jobs
                .get(key)
                .is_some_and(|job: &Job| job.recorded.is_final())
        };
        self.ended.contains_key(&id) || self.job_ids.get(&id).is_some_and(|&key| recorded(key))
    }

    /// Returns whether a job is known, ended ones included.
    pub fn knows_job(&self, id: JobId) -> bool {
        self.job_ids.contains_key(&id) || self.ended.contains_key(&id)
    }

    /// Counts the accepted jobs of which nothing has started, by the queue's name.
    pub fn pending(&self) -> BTreeMap<String, u32> {
        let mut pending = BTreeMap::new();
        for job in self.jobs.values() {
            if job.state == JobState::Queued {
                *pending.entry(job.queue.name.clone()).or_default() += 1;
            }
        }
        pending
    }
}
