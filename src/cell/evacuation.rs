//! Halls that the operator has evacuated.
//!
//! No task is started on workers of an evacuated hall, and their room is neither reserved nor
//! forecast.  Runs that are already there continue: stopping them would lose their work, and the
//! operator only asks that no new work is sent.

use std::sync::Arc;

use crate::cell::spec::Demand;
use crate::cell::worker::Worker;
use crate::cell::{Cell, StepKey, WorkerKey};
use crate::evacuation::Halls;

impl Cell {
    /// Blocks all placement until [`Cell::set_evacuated_halls`] tells which halls are evacuated.
    pub fn await_evacuated_halls(&mut self) {
        self.evacuated_halls = None;
    }

    /// Replaces the set of evacuated halls, and logs each hall that was added or removed.
    pub fn set_evacuated_halls(&mut self, halls: &Arc<Halls>) {
        let known = self.evacuated_halls.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, halls) || known == halls) {
            return;
        }
        let before = self.evacuated_halls.replace(Arc::clone(halls));
        let before = before.unwrap_or_default();
        for hall in halls.difference(&before) {
            self.log_hall(hall, "hall is evacuated");
        }
        for hall in before.difference(halls) {
            self.log_hall(hall, "hall is taken back");
        }
    }

    fn log_hall(&self, hall: &str, what: &'static str) {
        let workers = self.workers.values();
        let (mut count, mut runs, mut room) = (0, 0, Demand::default());
        for worker in workers.filter(|worker| worker.entry.hall == hall) {
            count += 1;
            runs += worker.runs.len();
            room.add(&worker.entry.capacity);
        }
        let millicores = room.millicores;
        tracing::info!(hall, workers = count, runs, millicores, "{what}");
    }

    /// Returns whether tasks may be placed in the hall of a worker: the evacuated halls are known,
    /// and it is not one of them.
    pub(super) fn is_hall_open(&self, key: WorkerKey) -> bool {
        self.evacuated_halls.is_some() && !self.is_evacuated(&self.workers[key])
    }

    /// Returns whether the hall of a worker is known to be evacuated.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        let halls = self.evacuated_halls.as_ref();
        halls.is_some_and(|halls| !halls.is_empty() && halls.contains(&worker.entry.hall))
    }

    /// Returns whether a task of a step would fit on a worker whose hall is not open.
    pub(super) fn has_room_in_evacuated_hall(&self, key: StepKey) -> bool {
        let step = &self.steps[key];
        let service = &self.jobs[step.job].queue.service;
        let fits = |(worker_key, worker): (WorkerKey, &Worker)| {
            !self.is_hall_open(worker_key)
                && worker.allows(step.step(), service)
                && worker.fit(step.step(), self.tasks_on_worker(key, worker_key)) > 0
        };
        self.workers.iter().any(fits)
    }
}
