//! Displacing repeatable batch work for urgent work.

use crate::clock::Millis;
use crate::model::{Class, Resources};
use crate::placement::cell::Cell;
use crate::placement::plan;
use crate::placement::task::Phase;
use crate::placement::{JobKey, TaskKey, WorkerKey};

/// How many workers are weighed for one displacement.
const WORKERS_WEIGHED: usize = 64;

impl Cell {
    /// Stops repeatable batch tasks so that the first waiting task of an urgent job fits.
    ///
    /// Of the workers weighed, the one on which the fewest tasks lose their work
    /// is chosen, and its room is kept for the urgent job until that has started.
    pub(super) fn preempt_for(&mut self, key: JobKey, now: Millis) {
        if self.holder.is_some() {
            return;
        }
        let need = self.jobs[key].spec.resources;
        let mut best: Option<(WorkerKey, Vec<TaskKey>)> = None;
        for worker in self.indexed.keys().take(WORKERS_WEIGHED) {
            let Some(victims) = self.victims(*worker, &need, now) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(_, fewest)| victims.len() < fewest.len())
            {
                best = Some((*worker, victims));
            }
        }
        let Some((worker, victims)) = best else {
            return;
        };
        self.holder = Some(key);
        self.workers[worker].held_for = Some(key);
        for victim in victims {
            self.displace(victim);
        }
    }

    /// Returns the fewest repeatable batch tasks whose end makes room for `need`.
    fn victims(&self, worker: WorkerKey, need: &Resources, now: Millis) -> Option<Vec<TaskKey>> {
        let worker = &self.workers[worker];
        if !worker.is_open(now) || !need.fits(&worker.capacity) {
            return None;
        }
        let mut candidates: Vec<TaskKey> = worker
            .tasks
            .iter()
            .copied()
            .filter(|task| self.may_displace(*task))
            .collect();
        candidates.sort_by_key(|task| {
            let job = self.tasks[*task].job;
            std::cmp::Reverse(self.jobs[job].spec.resources.millicores)
        });
        let mut free = worker.free;
        let mut victims = Vec::new();
        for task in candidates {
            if plan::copies(need, &free) > 0 {
                break;
            }
            free = free.plus(&self.jobs[self.tasks[task].job].spec.resources);
            victims.push(task);
        }
        (plan::copies(need, &free) > 0).then_some(victims)
    }

    fn may_displace(&self, task: TaskKey) -> bool {
        let task = &self.tasks[task];
        let job = &self.jobs[task.job];
        let displaceable = job.ordering.class == Class::Batch && job.spec.repeatable;
        displaceable && task.phase == Phase::Running && !task.preempted
    }

    fn displace(&mut self, key: TaskKey) {
        self.tasks[key].preempted = true;
        self.tally.add("preempted");
        self.order_stop(key);
    }
}
