//! Accepting, cancelling and ending jobs, and making their steps ready.

use std::sync::Arc;

use crate::cell::health::FailedWorkers;
use crate::cell::job::{Advice, EndedJob, Job, JobState, StepRun, Task};
use crate::cell::name::StepName;
use crate::cell::record::{JobProgress, JobRow};
use crate::cell::spec::JobId;
use crate::cell::speed::RunTimes;
use crate::cell::{Cell, JobKey, tuning, urgency};
use crate::clock::Millis;

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// There is no such job.
    Unknown,
    /// The job had ended before, and that is recorded.
    Final,
    /// The end of the job is decided and waits to be recorded.
    Decided,
}

impl Cell {
    /// Adds a job whose row is durable; a job that is known already stays as it is.
    ///
    /// `progress` is what a former owner recorded, if anything; `predates` says that a former owner
    /// may have started tasks of the job.  While some rows of jobs are unread this is always
    /// assumed, because the job may be in one of them and have been submitted again.
    pub fn accept(
        &mut self,
        row: &JobRow,
        progress: Option<&JobProgress>,
        predates: bool,
        now: Millis,
    ) {
        if self.knows_job(row.id) {
            return;
        }
        let unread_job_progress = self.unread_job_progress.swap_remove(&row.id);
        let progress = progress.or(unread_job_progress.as_ref());
        let configured = self.config.queue(&row.queue.name);
        let queue = configured.unwrap_or(&row.queue).clone();
        let workspace = row.workspace.as_ref().map(|accepted| {
            let newest = self.config.workspace(&accepted.name);
            self.ledger.open_account(newest.unwrap_or(accepted))
        });
        self.unpark_racks(&row.spec.steps, now);
        let spec = row.spec.clone().with_bounded_estimates();
        let key = self.jobs.insert(Job {
            id: row.id,
            workspace,
            critical_path: urgency::critical_path(&spec, |_| true),
            spec: Arc::new(spec),
            text: Arc::from(row.spec.text.as_str()),
            decision: self.policy.decide(&queue, &row.spec),
            queue,
            state: JobState::Queued,
            recorded: JobState::Queued,
            accepted_at: now,
            predates_ownership: predates || self.has_unread_jobs,
            record_starts_first: false,
            occurrences: Default::default(),
            done: Default::default(),
            unfinished_starts: 0,
            dirty: false,
        });
        self.job_ids.insert(row.id, key);
        if let Some(progress) = progress {
            let job = &mut self.jobs[key];
            job.state = progress.state;
            job.recorded = progress.state;
            job.record_starts_first = progress.record_starts_first;
        }
        if self.jobs[key].state.is_final() {
            return;
        }
        if let Some(progress) = progress {
            self.restore(key, progress, now);
        }
        if row.spec.schedule.is_some() {
            self.scheduled.push(key);
            self.begin_due_occurrences_of(key);
        } else if !self.jobs[key].occurrences.has_begun(0) {
            self.begin_occurrence(key, 0);
        }
        if self.may_have_unrecorded_starts {
            self.set_record_starts_first(key);
        }
        let workspace = self.workspace_of(key).map(|workspace| &*workspace.name);
        if self.unknown_cancels.hold_for(row.id, workspace) {
            tracing::info!(job = %row.id, "job was cancelled before it came");
            self.end_job(key, JobState::Cancelled);
        }
    }

    /// Adds the progress that a former owner recorded of a job whose row was not found: the job has
    /// ended, or its row could not be read yet.
    pub fn add_unread_job_progress(&mut self, id: JobId, progress: JobProgress) {
        if self.job_ids.contains_key(&id) {
            return;
        }
        if progress.state.is_final() {
            let ended = EndedJob {
                state: progress.state,
                workspace: progress.workspace,
            };
            self.ended.insert(id, ended);
        } else {
            self.unread_job_progress.insert(id, progress);
        }
    }

    /// Sets whether the rows of some jobs could not be read, so that runs of unknown jobs may be
    /// ours.
    pub fn set_has_unread_jobs(&mut self, has_unread_jobs: bool) {
        self.has_unread_jobs = has_unread_jobs;
    }

    /// Creates the steps of one occurrence.
    pub(super) fn begin_occurrence(&mut self, key: JobKey, time: u32) {
        let job = &self.jobs[key];
        let spec = Arc::clone(&job.spec);
        let id = job.id;
        let mut keys = Vec::with_capacity(spec.steps.len());
        for (index, step) in spec.steps.iter().enumerate() {
            let mut tasks = Vec::with_capacity(step.tasks as usize);
            tasks.resize_with(step.tasks as usize, Task::default);
            let step_key = self.steps.insert(StepRun {
                job: key,
                name: StepName {
                    job: id,
                    time,
                    step: index as u16,
                },
                spec: Arc::clone(&spec),
                tasks,
                open: step.tasks,
                idle: step.tasks,
                first_open: 0,
                started_end: 0,
                ready: step.after.is_empty(),
                advice: Advice::default(),
                next_wake: 0,
                run_times: RunTimes::default(),
                failed_workers: FailedWorkers::default(),
            });
            keys.push(step_key);
            self.open_steps.push(step_key);
        }
        self.jobs[key].occurrences.begin(time, keys);
    }

    /// Begins the occurrences of scheduled jobs that are due, as far as the limits allow.
    pub(super) fn begin_due_occurrences(&mut self) {
        let jobs = &self.jobs;
        let has_ended = |key| jobs.get(key).is_none_or(|job: &Job| job.state.is_final());
        self.scheduled.retain(|&key| !has_ended(key));
        for key in self.scheduled.clone() {
            self.begin_due_occurrences_of(key);
        }
    }

    fn begin_due_occurrences_of(&mut self, key: JobKey) {
        while let Some(time) = self.due_occurrence(key) {
            self.begin_occurrence(key, time);
        }
    }

    /// Returns the next occurrence of a scheduled job, if it is due and may begin.
    fn due_occurrence(&self, key: JobKey) -> Option<u32> {
        let unix_time = self.unix_time?;
        let job = &self.jobs[key];
        let schedule = job.spec.schedule?;
        let next = job.occurrences.next();
        let is_due = next < schedule.times && unix_time >= schedule.due(next);
        (is_due && self.may_begin_occurrence(job)).then_some(next)
    }

    /// Returns whether another occurrence of a job may be in progress beside the others.  One may
    /// always be, so that the job goes on.
    fn may_begin_occurrence(&self, job: &Job) -> bool {
        let in_progress = job.occurrences.in_progress() as u64;
        let tasks = (in_progress + 1).saturating_mul(job.spec.tasks_per_occurrence());
        let has_room = self.open_steps.len() < tuning::MAX_OPEN_STEPS;
        in_progress == 0 || (has_room && tasks <= tuning::MAX_TASKS_IN_PROGRESS)
    }

    /// Drops the steps of occurrences of scheduled jobs that are done, once none of their runs is
    /// left.  Steps of other jobs stay until the job is forgotten.
    pub(super) fn drop_done_occurrences(&mut self) {
        for (key, time) in std::mem::take(&mut self.done_steps) {
            let job = self.jobs.get(key);
            let recurs = |job: &Job| job.spec.schedule.is_some() && !job.state.is_final();
            let Some(steps) = job
                .filter(|job| recurs(job))
                .and_then(|job| job.occurrences.get(time))
            else {
                continue;
            };
            if steps.iter().any(|&step| self.steps[step].open > 0) {
                // The step that is done last is noted as well.
                continue;
            }
            let mut tasks = steps.iter().flat_map(|&step| &self.steps[step].tasks);
            if tasks.any(|task| !task.runs.is_empty()) {
                self.done_steps.push((key, time));
                continue;
            }
            for step in self.jobs[key].occurrences.finish(time) {
                self.steps.remove(step);
            }
        }
    }

    /// Sets the current time in Unix milliseconds, which scheduled jobs follow.
    pub fn set_wall_clock(&mut self, unix_time: Millis) {
        self.unix_time = Some(unix_time);
    }

    /// Makes the steps of an occurrence ready for which all earlier steps are done.
    pub(super) fn make_ready(&mut self, key: JobKey, time: u32) {
        let Some(keys) = self.jobs[key].occurrences.get(time).map(<[_]>::to_vec) else {
            return;
        };
        for &step_key in &keys {
            let step = &self.steps[step_key];
            let ready = step
                .step()
                .after
                .iter()
                .all(|&earlier| self.steps[keys[earlier]].open == 0);
            self.steps[step_key].ready = ready;
        }
    }

    /// Ends a job as succeeded once all steps of all its occurrences are done.
    pub(super) fn finish_if_done(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let have_all_begun = job.occurrences.next() >= job.spec.times();
        let are_done = job
            .occurrences
            .steps()
            .all(|step| self.steps[step].open == 0);
        if have_all_begun && are_done {
            self.end_job(key, JobState::Succeeded);
        }
    }

    /// Decides the end of a job.  It is told to nobody before it is recorded.
    pub(super) fn end_job(&mut self, key: JobKey, state: JobState) {
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        tracing::info!(job = %job.id, queue = job.queue.name, ?state, "job ends");
        job.state = state;
        job.dirty = true;
        self.open_steps.retain(|&step| self.steps[step].job != key);
    }

    /// Cancels a job.  Its tasks are stopped once the cancellation is recorded.
    pub fn cancel(&mut self, id: JobId) -> CancelOutcome {
        let Some(&key) = self.job_ids.get(&id) else {
            return match self.ended.contains_key(&id) {
                true => CancelOutcome::Final,
                false => CancelOutcome::Unknown,
            };
        };
        let job = &self.jobs[key];
        if job.recorded.is_final() {
            return CancelOutcome::Final;
        }
        self.end_job(key, JobState::Cancelled);
        CancelOutcome::Decided
    }
}
