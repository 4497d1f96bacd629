//! What of a job is kept in the store, and taking it up again.
//!
//! A job has two rows: the job as it was accepted, written once by the node that
//! took it in, and its progress, written by the owner of the cell.

use serde::{Deserialize, Serialize};

use crate::cell::crash::Loss;
use crate::cell::job::{JobState, UnrecordedEnd};
use crate::cell::sequence::Sequence;
use crate::cell::spec::{JobId, JobSpec};
use crate::cell::{Cell, JobKey, Milestone, StepKey, WorkerKey};
use crate::clock::Millis;
use crate::queue::Queue;
use crate::workspace::Workspace;

/// The row of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job's identity.
    pub id: JobId,
    /// The queue as it was when the job was accepted.
    pub queue: Queue,
    /// What the caller asked for.
    pub spec: JobSpec,
    /// Whose it is, as the configuration described the workspace; none of a queue that is public.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Workspace>,
}

/// The row of a job's progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// How far the job is.
    pub state: JobState,
    /// What is known of tasks that are done, have failed or have saved progress.
    pub tasks: Vec<TaskProgress>,
    /// Starts of its tasks may have been forgotten with a former owner.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub careful: bool,
    /// The name of the job's workspace: the row outlasts_notice that of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
}

impl JobProgress {
    /// Tells whether an end of a run is in it: that of the job covers all.
    fn contains(&self, end: &UnrecordedEnd) -> bool {
        let mut tasks = self.tasks.iter();
        let is_in = |task: &TaskProgress| {
            task.place == end.place && (task.done || task.failed.contains(&end.run))
        };
        self.state.is_final() || tasks.any(is_in)
    }
}

/// What is kept of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Time, step and index.
    pub place: (u32, u16, u32),
    /// It has ended well.
    pub done: bool,
    /// The numbers of the runs that have failed.
    pub failed: Vec<u64>,
    /// The newest saved progress.
    pub saved: String,
    /// Runs under which a worker was or may have been lost.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<Loss>,
}

/// What goes to the store in one transaction.
#[derive(Debug, Default)]
pub struct Batch {
    /// Jobs with their progress.
    pub rows: Vec<(JobKey, JobId, JobProgress)>,
    /// For each worker the last end that is in the rows.
    pub ends: Vec<(WorkerKey, u64)>,
    /// Lives that are over of which nothing is noted but what is in the rows.
    pub lost: Vec<Sequence>,
}

impl Cell {
    /// Gathers what has changed, at most `most` jobs.  Ends are passed on only if
    /// every change is in, since a worker forgets them afterwards.
    pub fn take_batch(&mut self, most: usize) -> Batch {
        let dirty: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.dirty)
            .map(|(key, _)| key)
            .collect();
        let mut batch = Batch::default();
        for &key in dirty.iter().take(most) {
            let progress = self.progress(key);
            let job = &mut self.jobs[key];
            job.dirty = false;
            batch.rows.push((key, job.id, progress));
        }
        if dirty.len() <= most {
            batch.lost = self.lives_to_release();
            batch.ends = self
                .workers
                .iter()
                .filter(|(_, w)| w.seen_end > w.recorded_end)
                .map(|(key, w)| (key, w.seen_end))
                .collect();
        }
        batch
    }

    /// Tells whether a job's progress waits to be recorded.
    pub fn has_unrecorded_progress(&self) -> bool {
        self.jobs.values().any(|job| job.dirty)
    }

    fn progress(&self, key: JobKey) -> JobProgress {
        let job = &self.jobs[key];
        let mut tasks = Vec::new();
        if !job.state.is_final() {
            for &step_key in job.occurrences.values().flatten() {
                let step = &self.steps[step_key];
                for (index, task) in step.tasks.iter().enumerate() {
                    let lost = !task.losses.is_empty();
                    if !task.done && task.failed.is_empty() && task.saved.is_empty() && !lost {
                        continue;
                    }
                    let saved = if task.done { "" } else { task.saved.as_str() };
                    tasks.push(TaskProgress {
                        place: (step.name.time, step.name.step, index as u32),
                        done: task.done,
                        failed: task.failed.clone(),
                        saved: saved.to_owned(),
                        losses: task.losses.clone(),
                    });
                }
            }
        }
        JobProgress {
            state: job.state,
            tasks,
            careful: job.record_starts_first,
            workspace: self
                .workspace_of(key)
                .map(|workspace| workspace.name.clone()),
        }
    }

    /// The batch is durable.
    pub fn batch_recorded(&mut self, batch: Batch, now: Millis) {
        for (key, _, progress) in batch.rows {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.recorded = progress.state;
            job.unrecorded_ends.retain(|end| !progress.contains(end));
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
        self.release_lives(&batch.lost);
        for (key, place) in batch.ends {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.recorded_end = worker.recorded_end.max(place);
            }
        }
    }

    /// The batch did not come about; its jobs are recorded with the next one.
    pub fn batch_failed(&mut self, batch: Batch) {
        for (key, _, _) in batch.rows {
            if let Some(job) = self.jobs.get_mut(key) {
                job.dirty = true;
            }
        }
    }

    /// The store will never take the batch: its jobs fail, which takes a short row, so that
    /// they do not hold up the record of all others.
    pub fn batch_rejected(&mut self, batch: Batch) {
        for (key, id, progress) in batch.rows {
            tracing::error!(request = %id, tasks = progress.tasks.len(), "job fails: its progress cannot be recorded");
            if self.jobs.contains_key(key) {
                self.jobs[key].dirty = true;
                self.end_job(key, JobState::Failed);
            }
        }
    }

    /// Stops what is left of a job that has ended.
    fn stop_ended_job(&mut self, key: JobKey, now: Millis) {
        let steps: Vec<_> = self.jobs[key]
            .occurrences
            .values()
            .flatten()
            .copied()
            .collect();
        for step in steps {
            self.stop_step(step, now, "job has ended");
        }
    }

    /// Jobs that ended under a former owner and whose rows are gone.
    pub fn ended_under_former_owner(&self) -> Vec<JobId> {
        self.ended.keys().copied().collect()
    }

    /// Forgets a job whose end has been recorded for long; false if something of it may
    /// still run.
    pub fn forget(&mut self, id: JobId) -> bool {
        self.ended.swap_remove(&id);
        let Some(&key) = self.job_ids.get(&id) else {
            return true;
        };
        let steps: Vec<StepKey> = self.jobs[key]
            .occurrences
            .values()
            .flatten()
            .copied()
            .collect();
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

    /// Finds a task of a job by its time, step and index.
    fn find_task(&self, key: JobKey, place: (u32, u16, u32)) -> Option<(StepKey, u32)> {
        let (time, step, index) = place;
        let steps = self.jobs[key].occurrences.get(&time)?;
        let step = steps.get(usize::from(step)).copied()?;
        let known = (index as usize) < self.steps[step].tasks.len();
        known.then_some((step, index))
    }

    /// Takes up the progress that a former owner recorded.
    pub(super) fn restore(&mut self, key: JobKey, progress: &JobProgress, now: Millis) {
        let mut times: Vec<u32> = progress.tasks.iter().map(|t| t.place.0).collect();
        times.sort_unstable();
        times.dedup();
        for record in &progress.tasks {
            let Some((step_key, index)) = self.find_task(key, record.place) else {
                tracing::warn!(job = %self.jobs[key].id, ?record.place, "progress of an unknown task");
                continue;
            };
            let step = &mut self.steps[step_key];
            let task = &mut step.tasks[index as usize];
            if record.done && !task.done {
                step.open -= 1;
            }
            task.done = record.done;
            task.failed.clone_from(&record.failed);
            task.saved = record.saved.clone();
            self.restore_losses(step_key, index, &record.losses, now);
        }
        for time in times {
            self.make_ready(key, time);
        }
        self.open_steps.retain(|&step| self.steps[step].open > 0);
        self.finish_if_done(key);
    }
}
