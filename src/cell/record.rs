//! Recording jobs in the store, and restoring what a former owner recorded.
//!
//! A job has two rows: the job as it was accepted, written once by the node that accepted it, and
//! its progress, written by the owner of the cell.

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
    /// The progress of tasks that are done, have failed, have a checkpoint or have lost workers.
    pub tasks: Vec<TaskProgress>,
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

impl JobProgress {
    /// Returns whether the end of a run is covered; the end of the job covers all of its runs.
    fn contains(&self, end: &UnrecordedEnd) -> bool {
        let mut tasks = self.tasks.iter();
        let is_in = |task: &TaskProgress| {
            task.place == end.place && (task.done || task.failed.contains(&end.run))
        };
        self.state.is_final() || tasks.any(is_in)
    }
}

/// The recorded progress of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task's occurrence, step and index.
    pub place: (u32, u16, u32),
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
    /// For each worker the number of the last end that is covered by the rows.
    pub ends: Vec<(WorkerKey, u64)>,
    /// Lives that have ended and of which everything known is covered by the rows.
    pub ended_lives: Vec<Sequence>,
}

impl Cell {
    /// Collects the changes of at most `most` jobs.  Ends are included only if the batch holds
    /// every change, because workers are told to forget them once it is recorded.
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
                    if !task.done && task.failed.is_empty() && task.checkpoint.is_empty() && !lost {
                        continue;
                    }
                    let checkpoint = if task.done {
                        ""
                    } else {
                        task.checkpoint.as_str()
                    };
                    tasks.push(TaskProgress {
                        place: (step.name.time, step.name.step, index as u32),
                        done: task.done,
                        failed: task.failed.clone(),
                        checkpoint: checkpoint.to_owned(),
                        losses: task.losses.clone(),
                    });
                }
            }
        }
        JobProgress {
            state: job.state,
            tasks,
            record_starts_first: job.record_starts_first,
            workspace: self
                .workspace_of(key)
                .map(|workspace| workspace.name.clone()),
        }
    }

    /// Notes that a batch is durable, and stops the runs of jobs whose end it records.
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

    /// Finds a task of a job by its occurrence, step and index.
    fn find_task(&self, key: JobKey, place: (u32, u16, u32)) -> Option<(StepKey, u32)> {
        let (time, step, index) = place;
        let steps = self.jobs[key].occurrences.get(&time)?;
        let step = steps.get(usize::from(step)).copied()?;
        let known = (index as usize) < self.steps[step].tasks.len();
        known.then_some((step, index))
    }

    /// Restores the progress that a former owner recorded.
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
            task.checkpoint = record.checkpoint.clone();
            self.restore_losses(step_key, index, &record.losses, now);
        }
        for time in times {
            self.make_ready(key, time);
        }
        self.open_steps.retain(|&step| self.steps[step].open > 0);
        self.finish_if_done(key);
    }
}
