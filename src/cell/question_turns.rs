//! For how long steps have gone without a question to the advice service.

use crate::cell::shares::OrderedStep;
use crate::cell::{Cell, StepKey};
use crate::clock::Millis;

impl Cell {
    /// Notes that a step lacks tickets, unless it is being asked about.
    pub(super) fn note_unasked(&mut self, key: StepKey, now: Millis) {
        let advice = &mut self.steps[key].advice;
        if !advice.asking {
            advice.unasked_since.get_or_insert(now);
        }
    }

    /// Notes that tasks of a step were started: it waits anew, and the last answer was of use.
    pub(super) fn note_asked_step_started(&mut self, key: StepKey) {
        let advice = &mut self.steps[key].advice;
        advice.unasked_since = None;
        self.counts.used_answers += u64::from(advice.has_unused_answer);
        advice.has_unused_answer = false;
    }

    /// Notes which of the waiting steps has gone without a question for longest.
    pub(super) fn note_longest_unasked(&mut self, order: &[OrderedStep], now: Millis) {
        let since = order
            .iter()
            .filter_map(|step| self.unasked_since(step.key))
            .min();
        self.longest_unasked = since.map_or(0, |since| now.saturating_sub(since));
    }

    /// Since when a step with nothing running has not been asked about; `None` if it need not be.
    fn unasked_since(&self, key: StepKey) -> Option<Millis> {
        let step = &self.steps[key];
        let has_nothing_running = step.idle == step.open;
        step.advice.unasked_since.filter(|_| has_nothing_running)
    }
}
