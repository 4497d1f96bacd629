//! Work that comes in, is taken over or is cancelled, and the record that is kept of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::clock::Millis;
use crate::model::{Class, JobSpec, TaskState};
use crate::placement::cell::Cell;
use crate::placement::part::{Ordering, Part};
use crate::placement::task::{Job, Phase, Task};
use crate::placement::{JobKey, TaskKey};

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

    /// Tells whether a job has been cancelled.
    pub fn is_cancelling(&self, id: &str) -> bool {
        self.by_job
            .get(id)
            .is_some_and(|key| self.jobs[*key].cancelling)
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
            condemned: false,
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
