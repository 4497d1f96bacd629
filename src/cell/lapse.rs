//! Remaining leases on silent workers, handed from one owner of the cell to the next.
//!
//! A successor that cannot reach a worker waits until the lease of whatever may run there is over.
//! It cannot know when that lease was last renewed, so without further information it must wait
//! the longest possible time from its own claim, and owners that follow one another quickly would
//! each wait that long again (see "Settling" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::cell::roster::RosterState;
use crate::cell::worker::Worker;
use crate::cell::{Cell, WorkerKey, tuning};
use crate::clock::Millis;

/// The most workers that are handed over, so that they fit into a row of the store. A successor
/// waits the longest possible time for those that are left out.
const MAX_WORKERS: usize = 1_000;

/// How long something may still run on silent workers, as known to an owner that gives the cell up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingLeases {
    /// The epoch of that owner. Only its direct successor may rely on the times, since a successor
    /// may renew leases itself.
    pub epoch: u64,
    /// The remaining time by worker id, in milliseconds from when the cell was given up.
    pub within: BTreeMap<String, Millis>,
}

impl Cell {
    /// Returns for how long something may still run on silent workers. From here on this owner
    /// renews no lease there and starts nothing.
    pub fn seal_silent(&mut self, now: Millis) -> RemainingLeases {
        let workers = self.workers.iter();
        let unrenewed = workers.filter(|(_, worker)| has_unrenewed_lease(worker));
        let mut within = BTreeMap::new();
        for key in unrenewed.map(|(key, _)| key).collect::<Vec<_>>() {
            let until = self.unrenewed_lease_end(key);
            let worker = &mut self.workers[key];
            worker.sealed = true;
            if worker.has_unrecorded_ends() {
                // These ends outlast the lease, and a successor can learn of them only from this
                // worker, so it must not rely on the lease.
                continue;
            }
            if until == Millis::MAX {
                // A former owner may renew it still.
                continue;
            }
            if within.len() < MAX_WORKERS {
                within.insert(worker.entry.life.id.clone(), until.saturating_sub(now));
            }
        }
        RemainingLeases {
            epoch: self.epoch,
            within,
        }
    }

    /// Returns until when something may run on a worker whose lease is not being renewed.
    fn unrenewed_lease_end(&self, key: WorkerKey) -> Millis {
        let worker = &self.workers[key];
        if worker.fenced {
            return worker.lease_end;
        }
        let inherited_until = worker.inherited_until.min(self.inherited_lease_end(worker));
        worker.lease_end.max(inherited_until)
    }

    /// Applies what the former owner has handed over. Call this after its roster was taken in;
    /// values of any other than the direct predecessor are ignored.
    pub fn apply_remaining_leases(&mut self, leases: &RemainingLeases, now: Millis) {
        if tuning::next_epoch(leases.epoch) != self.epoch {
            return;
        }
        for (id, within) in &leases.within {
            if let Some(worker) = self.worker_ids.get(id).map(|&key| &mut self.workers[key]) {
                worker.inherited_until = now + with_clock_drift(*within);
            }
        }
    }
}

/// Returns whether the worker is in the roster and its lease is not being renewed.
fn has_unrenewed_lease(worker: &Worker) -> bool {
    worker.roster_state != RosterState::Absent && (!worker.fenced || worker.is_silent())
}

/// Returns the time by our clock in which `time` has passed by the clock of any other node.
fn with_clock_drift(time: Millis) -> Millis {
    time + time * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000
}
