//! The durable record: which rows have changed, and what their writing lets happen.

use std::collections::{BTreeSet, HashMap};

use crate::clock::Millis;
use crate::model::TaskState;
use crate::placement::cell::Cell;
use crate::placement::part::Part;
use crate::placement::ranges::Ranges;
use crate::placement::task::Phase;
use crate::placement::{JobKey, TaskKey};

/// One row to write for a part of a job.
#[derive(Debug, Clone)]
pub struct PartWrite {
    /// The shard of the part.
    pub shard: String,
    /// The job of the part.
    pub job: String,
    /// What the part holds now, or nothing if its tasks have all moved away.
    pub part: Option<Part>,
    /// Whether all of the part has ended.
    pub ended: bool,
    /// The claim of a job that has never been written.
    pub claim: Option<u64>,
    /// The incoming rows that this write makes superfluous.
    pub taken_in: Vec<String>,
}

/// Rows that are to be written in one transaction.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// The rows.
    pub writes: Vec<PartWrite>,
    tasks: Vec<(TaskKey, usize)>,
    parts: Vec<(JobKey, usize)>,
}

impl WriteBatch {
    /// Returns the shards that must still be owned for the batch to be written.
    pub fn shards(&self) -> BTreeSet<String> {
        self.writes
            .iter()
            .map(|write| write.shard.clone())
            .collect()
    }
}

impl Cell {
    /// Tells whether a job is known here and its first record is written.
    pub fn is_durable(&self, id: &str) -> Option<bool> {
        let key = self.by_job.get(id)?;
        Some(self.jobs[*key].claim.is_none())
    }

    /// Tells whether a record of a job has ever been sent to the store.
    pub fn write_attempted(&self, id: &str) -> bool {
        let key = self.by_job.get(id);
        key.is_some_and(|key| self.jobs[*key].claim.is_none() || self.jobs[*key].attempted)
    }

    /// Records that the first record of a job turned out to have been written.
    pub fn claim_written(&mut self, id: &str) {
        if let Some(key) = self.by_job.get(id) {
            self.jobs[*key].claim = None;
        }
    }

    /// Takes the records that changed, of at most `max_jobs` jobs, to be written together.
    ///
    /// All changed parts of one job go into the same batch, so that a task that
    /// moves from one shard to another is never in both records or in neither.
    pub fn take_writes(&mut self, max_jobs: usize) -> Option<WriteBatch> {
        let jobs: BTreeSet<JobKey> = self
            .dirty
            .iter()
            .map(|(job, _)| *job)
            .take(max_jobs)
            .collect();
        let taken: Vec<(JobKey, usize)> = self
            .dirty
            .iter()
            .filter(|(job, _)| jobs.contains(job))
            .copied()
            .collect();
        if taken.is_empty() {
            return None;
        }
        let mut batch = WriteBatch::default();
        for (job, shard) in taken {
            self.dirty.remove(&(job, shard));
            self.write_part(&mut batch, job, shard);
        }
        Some(batch)
    }

    pub(super) fn write_part(&mut self, batch: &mut WriteBatch, key: JobKey, shard: usize) {
        self.jobs[key].attempted = true;
        for task in self.jobs[key].tasks.values() {
            let task = &mut self.tasks[*task];
            task.in_flux |= task.next_home == shard && task.home != Some(shard);
        }
        let job = &self.jobs[key];
        let mut by_state: HashMap<TaskState, Vec<u32>> = HashMap::new();
        let mut live = Vec::new();
        for (index, task_key) in &job.tasks {
            let task = &self.tasks[*task_key];
            if task.next_home != shard {
                continue;
            }
            batch.tasks.push((*task_key, shard));
            match task.phase {
                Phase::Ended(state) => by_state.entry(state).or_default().push(*index),
                _ => live.push(*index),
            }
        }
        let mut ranges = |state| Ranges::from_iter(by_state.remove(&state).unwrap_or_default());
        let part = Part {
            succeeded: ranges(TaskState::Succeeded),
            failed: ranges(TaskState::Failed),
            cancelled: ranges(TaskState::Cancelled),
            unknown: ranges(TaskState::Unknown),
            ..job.part(live)
        };
        let holds_any = part.size() > 0;
        batch.parts.push((key, shard));
        batch.writes.push(PartWrite {
            shard: self.shards[shard].name.clone(),
            job: job.id.clone(),
            ended: holds_any && part.live.is_empty(),
            part: holds_any.then_some(part),
            claim: job.claim,
            taken_in: Vec::new(),
        });
    }

    /// Records that a batch is durable: starts may go out and ends may be forgotten.
    pub fn written(&mut self, batch: &WriteBatch, now: Millis) {
        for (job, _) in &batch.parts {
            if let Some(job) = self.jobs.get_mut(*job) {
                job.claim = None;
            }
        }
        for (key, shard) in &batch.tasks {
            self.task_written(*key, *shard, now);
        }
        let jobs: BTreeSet<JobKey> = batch.parts.iter().map(|(job, _)| *job).collect();
        for job in jobs {
            self.drop_if_ended(job);
        }
    }

    fn task_written(&mut self, key: TaskKey, shard: usize, now: Millis) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.home = Some(shard);
        task.in_flux = false;
        let here = task.next_home == shard;
        match task.phase {
            Phase::Placed if here => self.release(key),
            Phase::Ended(_) => self.forget_end(key, now),
            _ => {}
        }
    }

    /// Lets the worker forget an end that is now durable.
    fn forget_end(&mut self, key: TaskKey, now: Millis) {
        let Some(worker) = self.tasks[key].ended_on.take() else {
            return;
        };
        let id = self.task_id(key);
        self.allow_forget(worker, id, now);
    }

    fn drop_if_ended(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let unwritten = self.dirty.iter().any(|(job, _)| *job == key);
        let live = job
            .tasks
            .values()
            .any(|task| !matches!(self.tasks[*task].phase, Phase::Ended(_)));
        if unwritten || live {
            return;
        }
        let tasks: Vec<TaskKey> = job.tasks.values().copied().collect();
        for task in tasks {
            self.drop_task(task);
        }
    }

    /// Records that a batch was not written and never will be, so that it is tried again.
    pub fn unwritten(&mut self, batch: &WriteBatch) {
        for (key, _) in &batch.tasks {
            if let Some(task) = self.tasks.get_mut(*key) {
                task.in_flux = false;
            }
        }
        for (job, shard) in &batch.parts {
            if self.jobs.contains_key(*job) && self.shards[*shard].owned {
                self.dirty.insert((*job, *shard));
            }
        }
    }

    /// Has the record of a part written again.
    pub fn touch(&mut self, shard: &str, job: &str) {
        let shard = self.shard_index(shard);
        if let Some(key) = self.by_job.get(job) {
            self.dirty.insert((*key, shard));
        }
    }

    /// Tells whether records of a job wait to be written.
    pub fn has_writes_of(&self, id: &str) -> bool {
        let job = self.by_job.get(id);
        job.is_some_and(|key| self.dirty.iter().any(|(job, _)| job == key))
    }

    /// Tells whether records of one shard wait to be written.
    pub fn has_writes_for(&self, shard: &str) -> bool {
        let index = self.shards.iter().position(|known| known.name == shard);
        self.dirty.iter().any(|(_, shard)| Some(*shard) == index)
    }

    /// Tells whether records wait to be written.
    pub fn has_writes(&self) -> bool {
        !self.dirty.is_empty()
    }
}
