//! Recording jobs in the store, and restoring what a former owner recorded.
//!
//! A job has two rows: the job as it was accepted, written once by the node that accepted it, and
//! its progress, written by the owner of the cell.

use std::cmp::Reverse;
use std::ops::Range;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cell::crash::Loss;
use crate::cell::job::{Job, JobState, StepRun, Task};
use crate::cell::sequence::Sequence;
use crate::cell::spec::{JobId, JobSpec, TaskPlace};
use crate::cell::task_set::TaskSet;
use crate::cell::unknown_cancel::{CancelNumber, UnknownCancel};
use crate::cell::{Cell, JobKey, Milestone, StepKey, WorkerKey, tuning};
use crate::clock::Millis;
use crate::queue::Queue;
use crate::workspace::Workspace;

/// The row of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job's id.
    pub id: JobId,
    /// The queue as it was when the job was accepted.
    pub queue: Queue,
    /// What the caller asked for.
    pub spec: JobSpec,
    /// The job's workspace as it was configured when the job was accepted; none for a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Workspace>,
}

/// The row of a job's progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The state of the job.
    pub state: JobState,
    /// The progress of tasks that have failed, have a checkpoint or have lost workers.  Former
    /// versions also name done tasks here if these are few.
    pub tasks: Vec<TaskProgress>,
    /// The tasks that are done.
    #[serde(default, skip_serializing_if = "TaskSet::is_empty")]
    pub done: TaskSet,
    /// A former owner may have started tasks of the job without recording that, so each further
    /// start is recorded before it is sent.
    #[serde(
        rename = "careful",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub record_starts_first: bool,
    /// The name of the job's workspace, kept here because this row outlasts that of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
}

/// The recorded progress of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task's occurrence, step and index.
    pub place: TaskPlace,
    /// The task has succeeded.
    pub done: bool,
    /// The numbers of the runs that have failed.
    pub failed: Vec<u64>,
    /// The latest checkpoint; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: String,
    /// Runs that were on a worker when it was lost, or may have been lost.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<Loss>,
}

/// The changes that are written to the store in one transaction.
#[derive(Debug, Default)]
pub struct Batch {
    /// The jobs with their progress.
    pub rows: Vec<(JobKey, JobId, JobProgress)>,
    /// Cancellations of jobs that are not known.
    pub unknown_cancels: Vec<(CancelNumber, UnknownCancel)>,
    /// For each worker the number of the last end that is covered by the rows.
    pub ends: Vec<(WorkerKey, u64)>,
    /// Lives that have ended and of which everything known is covered by the rows.
    pub ended_lives: Vec<Sequence>,
}

impl Batch {
    /// Returns whether there are no rows to write.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.unknown_cancels.is_empty()
    }
}

impl Cell {
    /// Collects the changes of at most `most` jobs, those that have ended first, since callers wait
    /// for that.  Ends are included only if the batch holds every change, because workers are told to
    /// forget them once it is recorded.
    pub fn take_batch(&mut self, most: usize) -> Batch {
        let mut dirty: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.dirty)
            .map(|(key, _)| key)
            .collect();
        dirty.sort_by_key(|&key| !self.jobs[key].state.is_final());
        let mut batch = Batch {
            unknown_cancels: self.unknown_cancels.unrecorded(most),
            ..Batch::default()
        };
        let most = most - batch.unknown_cancels.len();
        for &key in dirty.iter().take(most) {
            let progress = self.progress(key);
            let job = &mut self.jobs[key];
            job.dirty = false;
            batch.rows.push((key, job.id, progress));
        }
        if dirty.len() <= most {
            batch.ended_lives = self.lives_to_release();
            batch.ends = self
                .workers
                .iter()
                .filter(|(_, w)| w.accepted_end > w.recorded_end)
                .map(|(key, w)| (key, w.accepted_end))
                .collect();
        }
        batch
    }

    /// Returns whether the progress of any job waits to be recorded.
    pub fn has_unrecorded_progress(&self) -> bool {
        self.unknown_cancels.has_unrecorded() || self.jobs.values().any(|job| job.dirty)
    }

    fn progress(&mut self, key: JobKey) -> JobProgress {
        let job = &self.jobs[key];
        let mut progress = JobProgress {
            state: job.state,
            tasks: Vec::new(),
            done: TaskSet::default(),
            record_starts_first: job.record_starts_first,
            workspace: self
                .workspace_of(key)
                .map(|workspace| workspace.name.clone()),
        };
        if job.state.is_final() {
            return progress;
        }
        progress.done = job.done.clone();
        let left = tuning::MAX_RECORD_BYTES.saturating_sub(encoded_size(&progress.done));
        let (open, omitted) = self.open_task_progress(job, left);
        progress.tasks = open;
        if omitted > 0 {
            self.counts.omitted_progress += omitted as u64;
            tracing::warn!(job = %job.id, omitted, "progress of some tasks is not recorded");
        }
        progress
    }

    /// Returns the progress of tasks that are not done, without what exceeds `left` bytes, and the
    /// number of tasks of which something was left out.  Losses go first, then failures, since both
    /// decide whether a task is given up; a task without its checkpoint only begins again.
    fn open_task_progress(&self, job: &Job, mut left: usize) -> (Vec<TaskProgress>, usize) {
        let mut tasks: Vec<TaskProgress> = Vec::new();
        for step in job.occurrences.steps().map(|key| &self.steps[key]) {
            let started = step.started_range();
            for (index, task) in started.zip(step.started_tasks()) {
                if !task.done && task.has_progress() {
                    tasks.push(TaskProgress::of_open_task(step, index as u32, task));
                }
            }
        }
        tasks.sort_by_key(|task| (Reverse(task.losses.len()), Reverse(task.failed.len())));
        let mut omitted = 0;
        tasks.retain_mut(|task| {
            if encoded_size(task) >= left {
                omitted += 1;
                task.checkpoint.clear();
            }
            // The comma between two entries counts as well.
            let size = encoded_size(task) + 1;
            let fits = size <= left && !task.is_empty();
            left -= if fits { size } else { 0 };
            fits
        });
        tasks.sort_by_key(|task| task.place);
        (tasks, omitted)
    }

    /// Notes that a batch is durable, and stops the runs of jobs whose end it records.
    pub fn batch_recorded(&mut self, batch: Batch, now: Millis) {
        for (number, _) in batch.unknown_cancels {
            self.unknown_cancels.mark_recorded(number);
        }
        for (key, _, progress) in batch.rows {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.recorded = progress.state;
            for task in progress.tasks.iter().filter(|task| !task.losses.is_empty()) {
                if let Some((step, index)) = self.find_task(key, task.place) {
                    self.mark_losses_recorded(step, index, &task.losses);
                }
            }
            if progress.state.is_final() {
                self.record_wait(key, Milestone::End, now);
                self.stop_ended_job(key, now);
            }
        }
        self.release_lives(&batch.ended_lives);
        for (key, number) in batch.ends {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.recorded_end = worker.recorded_end.max(number);
            }
        }
    }

    /// Notes that a batch could not be written; its jobs are recorded with the next one.
    pub fn batch_failed(&mut self, batch: Batch) {
        for (key, _, _) in batch.rows {
            if let Some(job) = self.jobs.get_mut(key) {
                job.dirty = true;
            }
        }
    }

    /// Notes that the store will never accept a batch.  Its jobs fail, since a failed job has a
    /// short row, so that they do not block the recording of all others.
    pub fn batch_rejected(&mut self, batch: Batch) {
        for (key, id, progress) in batch.rows {
            tracing::error!(request = %id, tasks = progress.tasks.len(), "job fails: its progress cannot be recorded");
            if self.jobs.contains_key(key) {
                self.jobs[key].dirty = true;
                self.end_job(key, JobState::Failed);
            }
        }
    }

    /// Stops the remaining runs of a job that has ended.
    fn stop_ended_job(&mut self, key: JobKey, now: Millis) {
        for step in self.jobs[key].occurrences.steps().collect::<Vec<_>>() {
            self.stop_step(step, now, "job has ended");
        }
    }

    /// Returns the jobs that ended under a former owner and whose own rows are gone.
    pub fn ended_under_former_owner(&self) -> Vec<JobId> {
        self.ended.keys().copied().collect()
    }

    /// Removes a job whose end was recorded long ago.  Returns false, and keeps the job, if one of
    /// its tasks may still run or its end is not recorded.
    pub fn forget_job(&mut self, id: JobId) -> bool {
        self.ended.swap_remove(&id);
        let Some(&key) = self.job_ids.get(&id) else {
            return true;
        };
        let steps: Vec<StepKey> = self.jobs[key].occurrences.steps().collect();
        let mut tasks = steps.iter().flat_map(|&step| &self.steps[step].tasks);
        let runs = tasks.any(|task| !task.runs.is_empty());
        if runs || !self.jobs[key].recorded.is_final() {
            return false;
        }
        for step in steps {
            self.steps.remove(step);
        }
        self.jobs.remove(key);
        self.job_ids.swap_remove(&id);
        true
    }

    /// Finds a task in an occurrence in progress.
    fn find_task(&self, key: JobKey, place: TaskPlace) -> Option<(StepKey, u32)> {
        let (time, step, index) = place;
        let steps = self.jobs[key].occurrences.get(time)?;
        let step = steps.get(usize::from(step)).copied()?;
        let known = (index as usize) < self.steps[step].tasks.len();
        known.then_some((step, index))
    }

    /// Finds a task of which progress is recorded.  Its occurrence begins if it has not, also if it
    /// is not due: the former owner's wall clock may have been ahead of ours.
    fn find_recorded_task(&mut self, key: JobKey, place: TaskPlace) -> Option<(StepKey, u32)> {
        let job = &self.jobs[key];
        let (time, ..) = place;
        if job.spec.task_number(place).is_none() {
            tracing::warn!(job = %job.id, ?place, "progress of an unknown task");
            return None;
        }
        if !job.occurrences.has_begun(time) {
            self.begin_occurrence(key, time);
        }
        self.find_task(key, place)
    }

    /// Restores the progress that a former owner recorded.
    pub(super) fn restore(&mut self, key: JobKey, progress: &JobProgress, now: Millis) {
        let first_step = self.open_steps.len();
        for range in progress.done.ranges() {
            self.restore_done(key, range.clone());
        }
        for record in &progress.tasks {
            let Some((step_key, index)) = self.find_recorded_task(key, record.place) else {
                continue;
            };
            if record.done {
                self.mark_done(step_key, index);
            }
            self.note_started(step_key, index);
            let task = &mut self.steps[step_key].tasks[index as usize];
            task.failed.clone_from(&record.failed);
            task.checkpoint = record.checkpoint.clone();
            self.restore_losses(step_key, index, &record.losses, now);
        }
        for time in self.jobs[key].occurrences.times().collect::<Vec<_>>() {
            self.make_ready(key, time);
            self.done_steps.push((key, time));
        }
        // All steps that were added here are of this job.
        let is_open = |&step: &StepKey| self.steps[step].open > 0;
        let restored: Vec<StepKey> = self
            .open_steps
            .drain(first_step..)
            .filter(is_open)
            .collect();
        self.open_steps.extend(restored);
        self.finish_if_done(key);
    }

    /// Restores a range of done tasks.  Occurrences that are whole in it get no steps.
    fn restore_done(&mut self, key: JobKey, range: Range<u64>) {
        let spec = Arc::clone(&self.jobs[key].spec);
        let per_occurrence = spec.tasks_per_occurrence().max(1);
        let end = u64::from(spec.times()).saturating_mul(per_occurrence);
        if range.end > end {
            tracing::warn!(job = %self.jobs[key].id, ?range, "progress of unknown tasks");
        }
        let range = range.start..range.end.min(end);
        let first_whole = range.start.div_ceil(per_occurrence);
        let end_whole = range.end / per_occurrence;
        if spec.schedule.is_some() && first_whole < end_whole {
            let job = &mut self.jobs[key];
            job.done
                .insert_range(first_whole * per_occurrence..end_whole * per_occurrence);
            job.occurrences
                .finish_all(first_whole as u32..end_whole as u32);
            self.restore_done_tasks(key, range.start..first_whole * per_occurrence);
            self.restore_done_tasks(key, end_whole * per_occurrence..range.end);
        } else {
            self.restore_done_tasks(key, range);
        }
    }

    fn restore_done_tasks(&mut self, key: JobKey, range: Range<u64>) {
        for number in range {
            let place = self.jobs[key].spec.task_place(number);
            let task = place.and_then(|place| self.find_recorded_task(key, place));
            if let Some((step, index)) = task {
                self.mark_done(step, index);
            }
        }
    }
}

impl Task {
    /// Returns whether a successor must know more of the task than that it is not done.
    fn has_progress(&self) -> bool {
        !self.failed.is_empty() || !self.checkpoint.is_empty() || !self.losses.is_empty()
    }
}

impl TaskProgress {
    fn of_open_task(step: &StepRun, index: u32, task: &Task) -> Self {
        Self {
            place: (step.name.time, step.name.step, index),
            done: false,
            failed: task.failed.clone(),
            checkpoint: task.checkpoint.clone(),
            losses: task.losses.clone(),
        }
    }

    fn is_empty(&self) -> bool {
        self.failed.is_empty() && self.checkpoint.is_empty() && self.losses.is_empty()
    }
}

/// The length of a part of a record in a row, in bytes.
fn encoded_size(part: &impl Serialize) -> usize {
    serde_json::to_vec(part).map_or(usize::MAX, |json| json.len())
}
