//! State of one scheduling round: values that its decisions compute once and share, and limits on
//! its work.

use std::collections::BTreeMap;
use std::rc::Rc;

use slotmap::SecondaryMap;

use crate::cell::advice_plan::Budget;
use crate::cell::spec::Demand;
use crate::cell::speed::SpeedPreference;
use crate::cell::wait::{WaitReason, Waiting};
use crate::cell::{StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// The free room of one worker, now and as its runs are expected to end.
#[derive(Debug, Clone)]
pub(super) struct Forecast {
    /// Room that is free now.
    pub(super) free: Demand,
    /// Expected ends of runs and the room that each frees, soonest first; runs of lasting steps
    /// are left out.
    pub(super) releases: Vec<(Millis, Demand)>,
    /// No task starts there before this time: now, or later while the worker is shunned.
    pub(super) not_before: Millis,
}

impl Forecast {
    /// When there is expected to be room for `wanted`; [`Millis::MAX`] if no known end of a run
    /// frees enough.
    pub(super) fn earliest_fit(&self, wanted: &Demand) -> Millis {
        let mut free = self.free;
        if wanted.fits(&free) {
            return self.not_before;
        }
        for (at, room) in &self.releases {
            free.add(room);
            if wanted.fits(&free) {
                return self.not_before.max(*at);
            }
        }
        Millis::MAX
    }

    /// The room that is expected to be free at a time.
    pub(super) fn free_at(&self, at: Millis) -> Demand {
        let mut free = self.free;
        for (_, room) in self.releases.iter().take_while(|(end, _)| *end <= at) {
            free.add(room);
        }
        free
    }
}

/// Room that is reserved on one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    /// The sum over all steps that have reserved room there.
    pub(super) room: Demand,
    /// When the first of them is expected to get it.
    pub(super) at: Millis,
}

/// The room that steps of one service may still ask for.
pub(super) struct AdviceBudget {
    pub(super) budget: Budget<WorkerKey>,
    /// Room that is foreseen to become free by this time is included.  It is left out until a step
    /// needs it, since a forecast of all workers takes most of a round.
    pub(super) foreseen_until: Millis,
}

/// One scheduling round.
pub(super) struct Round {
    /// The time at which the round takes place.
    pub(super) now: Millis,
    /// Forecasts of the workers for which one was needed in this round.
    pub(super) forecasts: SecondaryMap<WorkerKey, Forecast>,
    /// Room that waiting steps have reserved, by worker.
    pub(super) reservations: SecondaryMap<WorkerKey, Reservation>,
    /// How many steps have reserved room.
    pub(super) reserving_steps: usize,
    /// How many times a worker was examined as a placement candidate for a step.
    pub(super) candidates_examined: u64,
    /// How many tasks wait, by priority and reason.
    pub(super) waiting: Waiting,
    /// By service, the workers that will take work, in the order of their keys.
    pub(super) usable_workers: BTreeMap<String, Rc<[WorkerKey]>>,
    /// Which workers steps prefer, for the steps of which that was needed in this round.
    pub(super) speed_preferences: SecondaryMap<StepKey, SpeedPreference>,
    /// By service, the room that steps may still ask for; empty unless questions are planned.
    pub(super) budgets: BTreeMap<String, AdviceBudget>,
    /// How many steps were kept from asking the advice service.
    pub(super) steps_not_asking: u32,
    /// The step among them that has been kept from asking for the longest time, and since when.
    pub(super) longest_kept: Option<(Millis, StepKey)>,
    /// How many steps have searched for workers to ask the advice service about.
    advice_searches: usize,
}

impl Round {
    /// Begins a round; nothing is reserved yet.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            now,
            forecasts: SecondaryMap::new(),
            reservations: SecondaryMap::new(),
            reserving_steps: 0,
            candidates_examined: 0,
            waiting: Waiting::new(),
            usable_workers: BTreeMap::new(),
            speed_preferences: SecondaryMap::new(),
            budgets: BTreeMap::new(),
            steps_not_asking: 0,
            longest_kept: None,
            advice_searches: 0,
        }
    }

    /// Records that so many tasks of a priority wait for a reason.
    pub(super) fn record_wait(&mut self, priority: u32, reason: WaitReason, tasks: usize) {
        if tasks > 0 {
            *self.waiting.entry((priority, reason)).or_default() += tasks as u32;
        }
    }

    /// Counts a search for workers to ask the advice service about; returns false if it would
    /// exceed the limit of this round.
    pub(super) fn admit_advice_search(&mut self) -> bool {
        self.advice_searches += 1;
        self.advice_searches <= tuning::MAX_ADVICE_SEARCHES
    }
}
