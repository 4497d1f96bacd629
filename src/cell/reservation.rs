//! Keeping room for steps that wait for it.
//!
//! A task that needs most of a worker never finds it empty while small ones take every
//! core that comes free.  So a step that waits reserves the room that comes free first
//! among the workers it may use; steps behind it may use that room only as long as they
//! are done by then, or beside what is reserved (backfill).
//! Reservations are made anew in each round of decisions, from the progress of what runs.
//!
//! On a site whose gangs take 2 to 8 of a worker's 8 accelerators beside tasks that take
//! one, gangs earned 0.95 instead of 0.90 of their worth over days with faults, and other
//! kinds of work the same within 0.01 (docs/DECISIONS.md).

use crate::cell::round::Round;
use crate::cell::spec::{Demand, Step};
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// Room that is reserved on one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    /// For all steps that wait for it.
    room: Demand,
    /// When the first of them should have it.
    at: Millis,
}

/// Room that comes free for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Millis,
    worker: WorkerKey,
}

impl Cell {
    /// Reserves room for `count` tasks of a step, where it comes free first.
    pub(super) fn reserve(&self, key: StepKey, count: u32, round: &mut Round) {
        if round.reserving_steps >= tuning::MAX_RESERVING_STEPS || !self.may_reserve(key) {
            return;
        }
        let mut slots = self.slots(key, count, round);
        slots.sort_unstable();
        slots.truncate(count as usize);
        let spec = self.steps[key].step();
        if spec.gang && slots.len() < count as usize {
            return;
        }
        round.reserving_steps += 1;
        // Members of a gang start together, so all room is needed when the last of it is free.
        let together = slots.last().filter(|_| spec.gang).map(|slot| slot.at);
        for slot in slots {
            let at = together.unwrap_or(slot.at);
            let reserved = round.reservations.entry(slot.worker);
            let reservation = reserved
                .expect("a worker of the cell")
                .or_insert(Reservation {
                    room: Demand::default(),
                    at,
                });
            reservation.room.add(&spec.room());
            reservation.at = reservation.at.min(at);
        }
    }

    /// Tells whether the policy lets the step's job keep room from others.
    fn may_reserve(&self, key: StepKey) -> bool {
        self.jobs[self.steps[key].job].ordering.reserves
    }

    /// Where and when room for tasks of a step comes free beside what is reserved.
    fn slots(&self, key: StepKey, count: u32, round: &mut Round) -> Vec<Slot> {
        let step = &self.steps[key];
        let service = &self.jobs[step.job].queue.service;
        let spec = step.step();
        let mut slots = Vec::new();
        for worker_key in self.eligible_workers(key) {
            if !self.will_take_work(worker_key, round.now) {
                continue;
            }
            let worker = &self.workers[worker_key];
            if !worker.allows(spec, service) {
                continue;
            }
            let reserved = round.reservations.get(worker_key);
            let mut wanted = reserved.map_or_else(Demand::default, |r| r.room);
            let forecast = self.forecast(worker_key, round);
            for _ in 0..max_tasks_on_worker(spec, count) {
                wanted.add(&spec.room());
                let at = forecast.earliest_fit(&wanted);
                if at == Millis::MAX {
                    break;
                }
                slots.push(Slot {
                    at,
                    worker: worker_key,
                });
            }
        }
        slots
    }

    /// The workers that may run a step, as far as is known.
    fn eligible_workers(&self, key: StepKey) -> Vec<WorkerKey> {
        let step = &self.steps[key];
        match self.jobs[step.job].queue.advice {
            Some(_) => step.advice.tickets.keys().copied().collect(),
            None => self.workers.keys().collect(),
        }
    }

    /// How many of `fit` tasks of a step leave what is reserved on a worker alone.
    pub(super) fn unreserved_fit(
        &self,
        spec: &Step,
        worker: WorkerKey,
        fit: u32,
        round: &mut Round,
    ) -> u32 {
        let Some(&reservation) = round.reservations.get(worker) else {
            return fit;
        };
        let ends = round.now + spec.estimate;
        if !spec.lasting && ends <= reservation.at {
            return fit;
        }
        let then = self.forecast(worker, round).free_at(reservation.at);
        fit.min(then.minus(&reservation.room).times(&spec.room()))
    }
}

/// How many tasks of a step one worker may hold at most.
fn max_tasks_on_worker(spec: &Step, count: u32) -> u32 {
    match spec.per_worker {
        0 => count,
        most => count.min(most),
    }
}
