//! Work that comes in, is taken over or is cancelled, and the record that is kept of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::model::{Class, JobKind, JobSpec, TaskState};
use crate::placement::cell::Cell;
use crate::placement::part::{Ordering, Part};
use crate::placement::ranges::Ranges;
use crate::placement::task::{Job, Phase, Task, WaitReason};
use crate::placement::{JobKey, TaskKey};

/// How many tasks of a job a view lists one by one.
pub const TASKS_IN_VIEW: usize = 100;

/// Why the core did not take a job in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum IntakeError {
    /// A job of that id is already known here.
    #[error("a job of that name is already known")]
    Exists,
    /// This cell decides for no shard with workers.
    #[error("no shard with workers is owned here")]
    NoShard,
}

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
    /// Takes in a new job; nothing of it starts before its record is durable.
    ///
    /// # Errors
    /// See [`IntakeError`]; nothing changes then.
    pub fn submit(
        &mut self,
        id: &str,
        spec: JobSpec,
        ordering: Ordering,
        claim: u64,
        now: Millis,
    ) -> Result<JobKey, IntakeError> {
        if self.by_job.contains_key(id) {
            return Err(IntakeError::Exists);
        }
        let home = self.least_loaded_shard().ok_or(IntakeError::NoShard)?;
        if ordering.class == Class::Urgent {
            let millicores = spec.resources.millicores * u64::from(spec.tasks);
            self.urgent.record(millicores, now);
        }
        let count = spec.tasks;
        let key = self.insert_job(id, spec, ordering, now);
        self.jobs[key].claim = Some(claim);
        for index in 0..count {
            self.insert_task(key, index, None, home, now);
        }
        self.dirty.insert((key, home));
        self.requeue_job(key);
        Ok(key)
    }

    /// Takes in the durable record of a part that this cell now decides for.
    ///
    /// `inherited` says that a predecessor may already have started its tasks.
    pub fn adopt(&mut self, shard: &str, part: &Part, inherited: bool, now: Millis) {
        let home = self.shard_index(shard);
        let key = match self.by_job.get(&part.job) {
            Some(key) => *key,
            None => self.insert_job(&part.job, part.spec.clone(), part.ordering, now),
        };
        self.jobs[key].committed |= part.committed;
        self.jobs[key].cancelling |= part.cancelling;
        for index in part.live.iter() {
            if self.jobs[key].tasks.contains_key(&index) {
                continue;
            }
            let task = self.insert_task(key, index, Some(home), home, now);
            self.tasks[task].inherited = inherited;
        }
        let ended = [
            (&part.succeeded, TaskState::Succeeded),
            (&part.failed, TaskState::Failed),
            (&part.cancelled, TaskState::Cancelled),
            (&part.unknown, TaskState::Unknown),
        ];
        for (indexes, state) in ended {
            for index in indexes.iter().collect::<Vec<_>>() {
                self.adopt_ended(key, index, home, state, now);
            }
        }
        self.requeue_job(key);
    }

    fn adopt_ended(&mut self, key: JobKey, index: u32, home: usize, state: TaskState, now: Millis) {
        if self.jobs[key].tasks.contains_key(&index) {
            return;
        }
        let task = self.insert_task(key, index, Some(home), home, now);
        self.tasks[task].phase = Phase::Ended(state);
        self.jobs[key].waiting.remove(&index);
    }

    /// Allows the shard's inherited work to be started.
    ///
    /// `complete` says that every inventory of the predecessor's workers is known,
    /// so that a task in none of them has not run.  Otherwise a task that must not
    /// be repeated is reported as unknown.
    ///
    /// Returns whether it had not been allowed before.
    pub fn allow_inherited(&mut self, shard: &str, complete: bool, now: Millis) -> bool {
        let shard = self.shard_index(shard);
        if std::mem::replace(&mut self.shards[shard].inherited_ok, true) {
            return false;
        }
        let inherited: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| {
                task.inherited && task.home == Some(shard) && task.phase == Phase::Waiting
            })
            .map(|(key, _)| key)
            .collect();
        for key in inherited {
            let job = &self.jobs[self.tasks[key].job];
            if job.cancelling && complete {
                self.finish(key, TaskState::Cancelled, now);
            } else if !job.spec.repeatable && !complete {
                self.finish(key, TaskState::Unknown, now);
            } else if job.cancelling {
                self.finish(key, TaskState::Cancelled, now);
            }
        }
        self.misfits.clear();
        true
    }

    /// Cancels a job in one pass; what has started is stopped and reported when it has ended.
    ///
    /// Returns whether the job is known here.
    pub fn cancel(&mut self, id: &str, now: Millis) -> bool {
        let Some(key) = self.by_job.get(id).copied() else {
            return false;
        };
        self.jobs[key].cancelling = true;
        let tasks: Vec<TaskKey> = self.jobs[key].tasks.values().copied().collect();
        for task in tasks {
            self.dirty.insert((key, self.tasks[task].next_home));
            match self.tasks[task].phase {
                Phase::Waiting if self.may_have_started(task) => {}
                Phase::Waiting | Phase::Placed => self.finish(task, TaskState::Cancelled, now),
                Phase::Starting | Phase::Running => self.order_stop(task),
                // The new owner of a moving task learns of the cancellation by itself.
                Phase::Moving | Phase::Ended(_) => {}
            }
        }
        true
    }

    /// An inherited task may be running where we have not yet looked.
    fn may_have_started(&self, key: TaskKey) -> bool {
        let task = &self.tasks[key];
        task.inherited && !self.shards[task.next_home].inherited_ok
    }

    /// Asks the worker of a task to stop it.
    pub(super) fn order_stop(&mut self, key: TaskKey) {
        let Some(worker) = self.tasks[key].worker else {
            return;
        };
        let id = self.task_id(key);
        let worker = &mut self.workers[worker];
        worker.stop.push(id);
        worker.pressing = true;
    }

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

    /// Removes a job whose first record was refused.
    pub fn withdraw(&mut self, id: &str) {
        let Some(key) = self.by_job.get(id).copied() else {
            return;
        };
        let tasks: Vec<TaskKey> = self.jobs[key].tasks.values().copied().collect();
        for task in tasks {
            self.drop_task(task);
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
            job: job.id.clone(),
            spec: (*job.spec).clone(),
            ordering: job.ordering,
            committed: job.committed,
            cancelling: job.cancelling,
            live: Ranges::from_iter(live),
            succeeded: ranges(TaskState::Succeeded),
            failed: ranges(TaskState::Failed),
            cancelled: ranges(TaskState::Cancelled),
            unknown: ranges(TaskState::Unknown),
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

    fn least_loaded_shard(&self) -> Option<usize> {
        let roomiest = self.indexed.iter().max_by_key(|(_, free)| free.millicores);
        roomiest.map(|(worker, _)| self.workers[*worker].shard)
    }

    fn insert_job(&mut self, id: &str, spec: JobSpec, ordering: Ordering, now: Millis) -> JobKey {
        let key = self.jobs.insert(Job {
            id: id.to_owned(),
            spec: Arc::new(spec),
            ordering,
            accepted_at: now,
            committed: false,
            tasks: BTreeMap::new(),
            waiting: BTreeSet::new(),
            failed_on: BTreeMap::new(),
            successes: 0,
            per_shard: HashMap::new(),
            per_hall: HashMap::new(),
            waits_for: None,
            cancelling: false,
            claim: None,
            attempted: false,
        });
        self.by_job.insert(id.to_owned(), key);
        key
    }

    fn insert_task(
        &mut self,
        job: JobKey,
        index: u32,
        home: Option<usize>,
        next_home: usize,
        now: Millis,
    ) -> TaskKey {
        let key = self.tasks.insert(Task {
            job,
            index,
            phase: Phase::Waiting,
            worker: None,
            home,
            in_flux: false,
            next_home,
            attempts: 0,
            attempt: 0,
            ended_on: None,
            lease_over_at: 0,
            inherited: false,
            preempted: false,
            waiting_since: now,
            running_since: 0,
        });
        self.jobs[job].tasks.insert(index, key);
        self.jobs[job].waiting.insert(index);
        key
    }
}

impl Part {
    /// Returns how many tasks the part holds.
    pub fn size(&self) -> u32 {
        let ended = [
            &self.succeeded,
            &self.failed,
            &self.cancelled,
            &self.unknown,
        ];
        self.live.len() + ended.iter().map(|ranges| ranges.len()).sum::<u32>()
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
