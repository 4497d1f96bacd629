//! Room kept for a short time for another instance.
//!
//! An instance that cannot place work itself asks others to reserve room, moves
//! the record of the work to their shards in one transaction, and then tells
//! them.  A reservation that nobody uses expires by itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::model::Resources;
use crate::placement::cell::Cell;
use crate::placement::task::Phase;
use crate::placement::{TaskKey, WorkerKey};

/// The number of a reservation, unique within the reserving instance.
pub type ReservationId = u64;

#[derive(Debug)]
struct Held {
    id: ReservationId,
    worker: WorkerKey,
    need: Resources,
    until: Millis,
}

/// All reservations of one cell.
#[derive(Debug, Default)]
pub struct Reservations {
    held: Vec<Held>,
    last: ReservationId,
}

impl Reservations {
    /// Returns the room that reservations occupy on a worker.
    pub fn held_on(&self, worker: WorkerKey) -> Resources {
        let here = self.held.iter().filter(|held| held.worker == worker);
        here.fold(Resources::default(), |sum, held| sum.plus(&held.need))
    }

    /// Forgets the reservations on a worker that is gone.
    pub fn drop_worker(&mut self, worker: WorkerKey) {
        self.held.retain(|held| held.worker != worker);
    }
}

/// Room that has been reserved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// The number of the reservation.
    pub id: ReservationId,
    /// How many tasks find room in each shard.
    pub shards: BTreeMap<String, u32>,
}

impl Cell {
    /// Reserves room for up to `count` tasks of `need` until `until`.
    pub fn reserve(
        &mut self,
        need: &Resources,
        count: u32,
        until: Millis,
        now: Millis,
    ) -> Reserved {
        self.reservations.last += 1;
        let id = self.reservations.last;
        let mut shards: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some(worker) = self.roomy_worker(need, now) else {
                break;
            };
            if self.workers[worker].occupy(need).is_err() {
                self.violations.add("overcommit");
                break;
            }
            self.reindex(worker, now);
            let shard = self.shards[self.workers[worker].shard].name.clone();
            *shards.entry(shard).or_default() += 1;
            self.reservations.held.push(Held {
                id,
                worker,
                need: *need,
                until,
            });
        }
        Reserved { id, shards }
    }

    /// Gives the waiting tasks of a job in `shard` the places of a reservation.
    pub fn use_reservation(&mut self, id: ReservationId, shard: &str, job: &str, now: Millis) {
        let shard = self.shard_index(shard);
        let Some(job) = self.by_job.get(job).copied() else {
            return;
        };
        let waiting: Vec<TaskKey> = {
            let job = &self.jobs[job];
            job.waiting.iter().map(|index| job.tasks[index]).collect()
        };
        for task in waiting {
            let here =
                self.tasks[task].next_home == shard && self.tasks[task].phase == Phase::Waiting;
            if !here {
                continue;
            }
            let Some(worker) = self.take_reserved(id, shard, now) else {
                break;
            };
            if self.occupy(task, worker, now) {
                self.settle(task, worker);
            }
        }
        self.requeue_job(job);
    }

    fn take_reserved(&mut self, id: ReservationId, shard: usize, now: Millis) -> Option<WorkerKey> {
        let matches = |held: &Held| held.id == id && self.workers[held.worker].shard == shard;
        let at = self.reservations.held.iter().position(matches)?;
        Some(self.give_back(at, now))
    }

    pub(super) fn take_any_reserved(
        &mut self,
        id: ReservationId,
        now: Millis,
    ) -> Option<WorkerKey> {
        let at = self
            .reservations
            .held
            .iter()
            .position(|held| held.id == id)?;
        Some(self.give_back(at, now))
    }

    /// Gives up a reservation before it expires.
    pub fn release_reservation(&mut self, id: ReservationId, now: Millis) {
        while self.take_any_reserved(id, now).is_some() {}
    }

    fn give_back(&mut self, at: usize, now: Millis) -> WorkerKey {
        let held = self.reservations.held.swap_remove(at);
        if self.workers[held.worker].vacate(&held.need).is_err() {
            self.violations.add("account");
        }
        self.reindex(held.worker, now);
        held.worker
    }

    pub(super) fn reservations_expire(&mut self, now: Millis) {
        while let Some(at) = self
            .reservations
            .held
            .iter()
            .position(|held| held.until <= now)
        {
            self.give_back(at, now);
            self.tally.add("reservation_expired");
        }
    }

    fn roomy_worker(&self, need: &Resources, now: Millis) -> Option<WorkerKey> {
        let mut found = None;
        for index in &self.index {
            index.visit(need, |key| {
                let worker = &self.workers[key];
                let good =
                    worker.is_open(now) && worker.held_for.is_none() && need.fits(&worker.free);
                if good {
                    found = Some(key);
                }
                good
            });
            if found.is_some() {
                break;
            }
        }
        found
    }
}
