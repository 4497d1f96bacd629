//! How many starts are sent at a time, and how long new tasks wait because of that.
//!
//! An owner that orders more starts than it can carry out keeps them in its own queue of ready
//! tasks.  More urgent tasks cannot overtake them there, and their tickets and orders expire while
//! they wait.  So the number of starts in flight is limited, and whatever is decided beyond it stays in the
//! order of decisions.  The limit also tells how long a new job would wait for the owner: nodes
//! refuse jobs that would wait for too long ("A slow owner" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use crate::cell::expected_wait::ExpectedWait;
use crate::cell::wait::WaitReason;
use crate::cell::{Cell, tuning};
use crate::clock::Millis;

/// The weight of the newest start in the mean times and shares: one in this many.
const SAMPLE_WEIGHT: f64 = 1.0 / 128.0;
/// The least share of the starts that tasks of a priority are assumed to get, however many are more
/// urgent.
const MIN_SHARE: f64 = 0.05;

/// The starts that are in flight, and how quickly starts are answered.
#[derive(Debug, Default)]
pub(super) struct StartPace {
    in_flight: usize,
    /// The mean time from the order of a start to its answer, in milliseconds.
    mean_time: f64,
    /// The share of the starts that have each priority.
    shares: BTreeMap<u32, f64>,
    /// When tasks last waited because too many starts were in flight.
    limited_at: Option<Millis>,
}

impl StartPace {
    /// Notes that a start of a task with this priority is sent.
    pub(super) fn note_sent(&mut self, priority: u32) {
        self.in_flight += 1;
        for share in self.shares.values_mut() {
            *share *= 1.0 - SAMPLE_WEIGHT;
        }
        *self.shares.entry(priority).or_default() += SAMPLE_WEIGHT;
    }

    /// Notes the outcome of a start, which took `time` milliseconds if that is known.
    pub(super) fn note_answered(&mut self, time: Option<Millis>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(time) = time {
            self.mean_time += (time as f64 - self.mean_time) * SAMPLE_WEIGHT;
        }
    }

    /// Returns whether no further start should be sent until others are answered.
    pub(super) fn is_at_limit(&self) -> bool {
        self.in_flight >= tuning::MAX_STARTS_IN_FLIGHT
    }

    /// Returns whether tasks have lately waited because too many starts were in flight.
    fn was_limited(&self, now: Millis) -> bool {
        self.limited_at
            .is_some_and(|at| now.saturating_sub(at) < tuning::START_LIMIT_MEMORY)
    }

    /// How long it takes until so many tasks of a priority and more urgent ones have started, in
    /// milliseconds.
    fn time_for(&self, tasks: usize, priority: u32) -> Millis {
        let more_urgent: f64 = self.shares.range(..priority).map(|(_, share)| share).sum();
        let share = (1.0 - more_urgent).max(MIN_SHARE);
        let batches = tasks as f64 / tuning::MAX_STARTS_IN_FLIGHT as f64;
        (batches * self.mean_time / share) as Millis
    }
}

impl Cell {
    /// Returns whether no further start should be sent until others are answered.
    pub fn has_max_starts_in_flight(&self) -> bool {
        self.start_pace.is_at_limit()
    }

    /// Notes that tasks wait because too many starts are in flight.
    pub(super) fn note_start_limit(&mut self, now: Millis) {
        self.start_pace.limited_at = Some(now);
    }

    /// Returns how long the first task of a new job would wait for the owner, by queue; nothing
    /// unless tasks wait for the owner.
    pub fn owner_waits(&self, now: Millis) -> Vec<ExpectedWait> {
        if self.has_unread_jobs || !self.start_pace.was_limited(now) {
            return Vec::new();
        }
        let queues = self.config.queues().iter();
        let wait = |priority| {
            let before = self.waiting.range(..=(priority, WaitReason::Soon));
            let for_owner = before
                .filter(|((_, reason), _)| matches!(reason, WaitReason::Soon | WaitReason::Advice));
            let tasks: u32 = for_owner.map(|(_, tasks)| tasks).sum();
            self.start_pace.time_for(tasks as usize, priority)
        };
        let waits = queues.map(|queue| ExpectedWait {
            queue: queue.name.clone(),
            workspace: String::new(),
            wait: wait(queue.priority),
        });
        waits.collect()
    }
}
