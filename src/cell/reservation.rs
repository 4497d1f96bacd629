//! Reservations of room for waiting steps.
//!
//! A task that needs most of a worker would never find enough room while small tasks take every
//! core as it becomes free.  So a waiting step reserves the room that becomes free first on the
//! workers it may use.  Steps that come later in the order may use that room only if they are done
//! by then, or if they fit beside what is reserved (backfill).  Reservations are made anew in each
//! scheduling round, from the progress of the runs.
//!
//! On a site whose gangs take 2 to 8 of a worker's 8 accelerators beside tasks that take one, the
//! share of the callers' payments for gangs that was earned, net of costs, was 0.95 with
//! reservations and 0.90 without, over days with faults.  For other kinds of work it differed by no
//! more than 0.01 (docs/DECISIONS.md).

use crate::cell::round::{Reservation, Round};
use crate::cell::spec::{Demand, Step};
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// Room for one task, and when it becomes free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Millis,
    worker: WorkerKey,
}

impl Cell {
    /// Reserves room for `count` tasks of a step where it becomes free first; for a gang only if
    /// there is room for all of them.
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
        // Members of a gang start together, so none needs its room before the last slot is free.
        let gang_start = slots.last().filter(|_| spec.gang).map(|slot| slot.at);
        for slot in slots {
            let at = gang_start.unwrap_or(slot.at);
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

    /// Returns whether the policy allows the step's job to reserve room.
    fn may_reserve(&self, key: StepKey) -> bool {
        self.jobs[self.steps[key].job].decision.reserves
    }

    /// Where and when room for tasks of a step becomes free beside what is already reserved.
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

    /// The workers that may run a step as far as is known: those with a ticket if the queue uses
    /// the advice service, else all.
    fn eligible_workers(&self, key: StepKey) -> Vec<WorkerKey> {
        let step = &self.steps[key];
        match self.jobs[step.job].queue.advice {
            Some(_) => step.advice.tickets.keys().copied().collect(),
            None => self.workers.keys().collect(),
        }
    }

    /// How many of the `fit` tasks of a step that have room on a worker can start there without
    /// delaying what is reserved on it.
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
        let end = round.now + self.expected_time(spec.estimate, worker);
        if !spec.lasting && end <= reservation.at {
            return fit;
        }
        let free = self.forecast(worker, round).free_at(reservation.at);
        fit.min(free.minus(&reservation.room).times(&spec.room()))
    }
}

/// How many of `count` tasks of a step one worker may hold at most.
fn max_tasks_on_worker(spec: &Step, count: u32) -> u32 {
    match spec.per_worker {
        0 => count,
        max => count.min(max),
    }
}
