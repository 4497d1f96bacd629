//! The accounts of workers, and the states of tasks that change them.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::model::TaskState;
use crate::placement::cell::Cell;
use crate::placement::task::Phase;
use crate::placement::{JobKey, TaskKey, WorkerKey};

impl Cell {
    /// Brings the index in line with what is known of a worker.
    pub(super) fn reindex(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        let open = worker.is_open(now).then_some(worker.free);
        let accelerated = worker.capacity.accelerators > 0;
        let (hall, capacity) = (worker.hall, worker.capacity);
        let was = self.indexed.get(&key).copied();
        if was == open {
            return;
        }
        if let Some(free) = was {
            self.index[hall].remove(key, &free, accelerated);
            self.indexed.remove(&key);
            self.free = self.free.checked_minus(&free).unwrap_or_default();
            self.capacity = self.capacity.checked_minus(&capacity).unwrap_or_default();
        }
        if let Some(free) = open {
            self.index[hall].insert(key, &free, accelerated);
            self.indexed.insert(key, free);
            self.free = self.free.plus(&free);
            self.capacity = self.capacity.plus(&capacity);
        }
        let grew = match (was, open) {
            (Some(was), Some(free)) => !free.fits(&was),
            (None, Some(_)) => true,
            _ => false,
        };
        if grew {
            self.misfits.clear();
        }
    }

    /// Takes room on a worker for a task; refuses, and counts, what would over-commit it.
    pub(super) fn occupy(&mut self, task: TaskKey, worker: WorkerKey, now: Millis) -> bool {
        let job = self.tasks[task].job;
        let need = self.jobs[job].spec.resources;
        if self.workers[worker].occupy(&need).is_err() {
            self.violations.add("overcommit");
            return false;
        }
        self.workers[worker].tasks.push(task);
        self.tasks[task].worker = Some(worker);
        let (shard, hall) = (self.workers[worker].shard, self.workers[worker].hall);
        let job = &mut self.jobs[job];
        *job.per_shard.entry(shard).or_default() += 1;
        *job.per_hall.entry(hall).or_default() += 1;
        let used = self.usage.entry(job.spec.team.clone()).or_default();
        *used = used.plus(&need);
        self.reindex(worker, now);
        true
    }

    /// Gives back the room of a task, if it has any.
    pub(super) fn vacate(&mut self, task: TaskKey, now: Millis) {
        let Some(worker) = self.tasks[task].worker.take() else {
            return;
        };
        let job = self.tasks[task].job;
        let need = self.jobs[job].spec.resources;
        let (shard, hall) = (self.workers[worker].shard, self.workers[worker].hall);
        self.workers[worker].tasks.retain(|other| *other != task);
        if self.workers[worker].vacate(&need).is_err() {
            self.violations.add("account");
        }
        let job = &mut self.jobs[job];
        decrement(&mut job.per_shard, shard);
        decrement(&mut job.per_hall, hall);
        if let Some(used) = self.usage.get_mut(&job.spec.team) {
            *used = used.checked_minus(&need).unwrap_or_default();
        }
        self.reindex(worker, now);
    }

    /// Ends a task for good.
    pub(super) fn finish(&mut self, key: TaskKey, state: TaskState, now: Millis) {
        self.vacate(key, now);
        let task = &mut self.tasks[key];
        if matches!(task.phase, Phase::Ended(_)) {
            return;
        }
        task.phase = Phase::Ended(state);
        let (job, index, home) = (task.job, task.index, task.next_home);
        self.jobs[job].waiting.remove(&index);
        self.dirty.insert((job, home));
        self.tally.add(match state {
            TaskState::Succeeded => "task_succeeded",
            TaskState::Failed => "task_failed",
            TaskState::Cancelled => "task_cancelled",
            _ => "task_unknown",
        });
        self.requeue_job(job);
    }

    /// Puts a task back to wait for a place.
    pub(super) fn requeue(&mut self, key: TaskKey, now: Millis) {
        self.vacate(key, now);
        if self.jobs[self.tasks[key].job].cancelling {
            self.finish(key, TaskState::Cancelled, now);
            return;
        }
        let task = &mut self.tasks[key];
        task.phase = Phase::Waiting;
        task.lease_over_at = 0;
        task.preempted = false;
        task.waiting_since = now;
        let (job, index) = (task.job, task.index);
        self.jobs[job].waiting.insert(index);
        self.requeue_job(job);
    }

    /// Takes back the place of a task whose record has not moved to the place's shard.
    pub(super) fn unplace(&mut self, key: TaskKey) {
        let since = self.tasks[key].waiting_since;
        self.requeue(key, since);
        if let Some(task) = self.tasks.get_mut(key) {
            task.next_home = task.home.unwrap_or(task.next_home);
        }
    }

    /// Brings the queue in line with whether a job has waiting tasks.
    pub(super) fn requeue_job(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let due = job.due();
        match job.waiting.is_empty() {
            true => self.queue.remove(due, key),
            false => self.queue.insert(due, key),
        }
        if self.jobs[key].waiting.is_empty() {
            self.release_hold(key);
        }
    }

    pub(super) fn release_hold(&mut self, job: JobKey) {
        if self.holder != Some(job) {
            return;
        }
        self.holder = None;
        for worker in self.workers.values_mut() {
            if worker.held_for == Some(job) {
                worker.held_for = None;
            }
        }
        self.misfits.clear();
    }
}

fn decrement(counts: &mut HashMap<usize, u32>, key: usize) {
    if let Some(count) = counts.get_mut(&key) {
        *count = count.saturating_sub(1);
    }
}
