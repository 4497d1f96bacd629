//! How long a silent worker may still run something, as one owner tells the next.
//!
//! A successor that cannot reach a worker waits until whatever may run there has lost its
//! lease.  It cannot know when the lease was renewed last, so without a word it must wait the
//! whole time from its own claim, and owners that follow one another soon would all
//! wait anew (see "Settling" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::cell::roster::RosterState;
use crate::cell::worker::Worker;
use crate::cell::{Cell, tuning};
use crate::clock::Millis;

/// The most workers that are told of, so that they fit into a row of the store.  A successor waits
/// the whole time for those that are left out.
const MAX_WORKERS: usize = 1_000;

/// What an owner that gives the cell up knows of silent workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingLeases {
    /// Its epoch: only the next owner may rely on it, since that one may have renewed leases.
    pub epoch: u64,
    /// For how long something may still run there, by the worker's id.
    pub within: BTreeMap<String, Millis>,
}

impl Cell {
    /// Tells for how long something may still run on workers that are silent.  From here on
    /// this owner renews no lease there and starts nothing.
    pub fn seal_silent(&mut self, now: Millis) -> RemainingLeases {
        let settle_deadline = self.settle_deadline;
        let mut within = BTreeMap::new();
        for worker in self.workers.values_mut().filter(|w| has_unrenewed_lease(w)) {
            worker.sealed = true;
            if worker.has_unrecorded_ends() {
                // Its lease says nothing of those: only this worker can tell a successor of them.
                continue;
            }
            let until = if worker.fenced {
                worker.lease_end
            } else {
                worker.inherited_until.min(settle_deadline)
            };
            if within.len() < MAX_WORKERS {
                within.insert(worker.entry.life.id.clone(), until.saturating_sub(now));
            }
        }
        RemainingLeases {
            epoch: self.epoch,
            within,
        }
    }

    /// Takes in what the former owner told, after its roster.
    pub fn apply_remaining_leases(&mut self, lapses: &RemainingLeases, now: Millis) {
        if tuning::next_epoch(lapses.epoch) != self.epoch {
            return;
        }
        for (id, within) in &lapses.within {
            if let Some(worker) = self.worker_ids.get(id).map(|&key| &mut self.workers[key]) {
                worker.inherited_until = now + with_clock_drift(*within);
            }
        }
    }
}

/// Tells whether the worker's lease is not being renewed.
fn has_unrenewed_lease(worker: &Worker) -> bool {
    worker.roster_state != RosterState::Absent && (!worker.fenced || worker.is_silent())
}

/// The time by our clock in which `time` has passed by any other node's.
fn with_clock_drift(time: Millis) -> Millis {
    time + time * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000
}
