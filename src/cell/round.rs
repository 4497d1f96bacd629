//! One round of decisions: what was worked out in it, and how much that may be.

use std::collections::BTreeMap;
use std::rc::Rc;

use slotmap::SecondaryMap;

use crate::cell::forecast::Forecast;
use crate::cell::reservation::Reservation;
use crate::cell::view::{WaitReason, Waiting};
use crate::cell::{WorkerKey, tuning};
use crate::clock::Millis;

/// One round of decisions.
pub(super) struct Round {
    /// Its time.
    pub(super) now: Millis,
    /// When room comes free on the workers that were looked at.
    pub(super) forecasts: SecondaryMap<WorkerKey, Forecast>,
    /// Room that waiting steps have reserved.
    pub(super) reservations: SecondaryMap<WorkerKey, Reservation>,
    /// How many steps have reserved room.
    pub(super) reserving_steps: usize,
    /// How many times a worker was looked at as a place for a step.
    pub(super) candidates_examined: u64,
    /// What waits, and for what.
    pub(super) waiting: Waiting,
    /// The workers of a service that will take work, in the order of their keys.
    pub(super) usable_workers: BTreeMap<String, Rc<[WorkerKey]>>,
    /// For how many steps workers to ask about were looked for.
    advice_searches: usize,
}

impl Round {
    /// A round in which nothing is reserved yet.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            now,
            forecasts: SecondaryMap::new(),
            reservations: SecondaryMap::new(),
            reserving_steps: 0,
            candidates_examined: 0,
            waiting: Waiting::new(),
            usable_workers: BTreeMap::new(),
            advice_searches: 0,
        }
    }

    /// So many tasks of a priority wait for a reason.
    pub(super) fn record_wait(&mut self, priority: u32, reason: WaitReason, tasks: usize) {
        if tasks > 0 {
            *self.waiting.entry((priority, reason)).or_default() += tasks as u32;
        }
    }

    /// Counts a look for workers to ask about; false if there were enough in this round.
    pub(super) fn admit_advice_search(&mut self) -> bool {
        self.advice_searches += 1;
        self.advice_searches <= tuning::MAX_ADVICE_SEARCHES
    }
}
