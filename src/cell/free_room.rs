//! How much of the free room waiting tasks could use if they had tickets for it.

use crate::cell::name::StepName;
use crate::cell::{Cell, StepKey};
use crate::clock::Millis;

/// The processors that are free on workers that take work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreeRoom {
    /// All of them.
    pub millicores: u64,
    /// Those on which waiting tasks would fit that may run there.  The rest is too small for any
    /// waiting task, or on workers that no waiting task may use.
    pub placeable_millicores: u64,
    /// The number of waiting tasks.
    pub waiting_tasks: u32,
}

impl Cell {
    /// Measures the free room, for experiments: `is_approved` tells which workers may run a step.
    /// It examines every worker for each waiting step, so it is too slow for scheduling rounds.
    pub fn free_room(
        &self,
        now: Millis,
        is_approved: impl Fn(&StepName, &str) -> bool,
    ) -> FreeRoom {
        let ready = self.open_steps.iter().filter(|&&key| self.steps[key].ready);
        let mut waiting: Vec<(StepKey, u32)> = ready
            .map(|&key| (key, self.waiting_tasks(key, now).count() as u32))
            .collect();
        let mut sum = FreeRoom {
            waiting_tasks: waiting.iter().map(|(_, tasks)| tasks).sum(),
            ..FreeRoom::default()
        };
        for (worker_key, worker) in &self.workers {
            if !self.takes_work(worker_key, now) {
                continue;
            }
            let mut free = worker.free();
            sum.millicores += free.millicores;
            for (key, tasks) in &mut waiting {
                let step = &self.steps[*key];
                let room = step.step().room();
                let fit = free.times(&room).min(*tasks);
                if fit > 0 && is_approved(&step.name, &worker.entry.life.id) {
                    *tasks -= fit;
                    free = free.minus(&room.of_tasks(fit));
                    sum.placeable_millicores += room.of_tasks(fit).millicores;
                }
            }
        }
        sum
    }
}
