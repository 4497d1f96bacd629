//! Questions in turn: no step with nothing running goes without a question to the advice service for
//! long while room is free for it, whatever the steps before it ask.
//!
//! In the order of decisions alone, steps in front can use all lanes with questions that bring no
//! start, again and again: about room that is only foreseen, or that others take first.  So some
//! lanes are given to the steps that have gone without a question for longest.  `docs/DESIGN.md`,
//! "Advice", derives for how long a step may wait for its turn.

use crate::cell::advice::AdviceCandidate;
use crate::cell::advice_plan::MAX_EXAMINED;
use crate::cell::round::Round;
use crate::cell::shares::OrderedStep;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// A question in turn.
#[derive(Default)]
struct TurnQuestion {
    /// The number of tasks that it is for.
    needed: u32,
    /// The workers that it names: some on which a task could start at once.
    workers: Vec<WorkerKey>,
    /// How many workers were examined to find them.
    examined: usize,
}

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

    /// Asks about steps that have gone without a question for [`tuning::MAX_UNASKED`] although room is
    /// free for them, the longest first.
    ///
    /// This comes at the end of a round, since only room on which nothing was started in it is free.
    pub(super) fn ask_in_turn(&mut self, order: &[OrderedStep], round: &mut Round) {
        self.turn_waits = false;
        let mut examined = 0;
        for key in self.due_steps(order, round.now) {
            if examined >= MAX_EXAMINED {
                return;
            }
            let question = self.turn_question(key, round);
            examined += question.examined;
            self.counts.advice_workers += question.examined as u64;
            if question.workers.is_empty() {
                self.steps[key].advice.unasked_since = Some(round.now);
            } else if !self.send_in_turn(key, question) {
                self.turn_waits = true;
                return;
            }
        }
    }

    /// The first steps that are due for a question in turn, those that have gone without one for
    /// longest first.
    fn due_steps(&self, order: &[OrderedStep], now: Millis) -> Vec<StepKey> {
        let keys = order.iter().map(|step| step.key);
        let unasked = keys.filter_map(|key| Some((self.unasked_since(key)?, key)));
        let mut due: Vec<(Millis, StepKey)> = unasked
            .filter(|(since, key)| since + tuning::MAX_UNASKED <= now && self.may_ask(*key))
            .collect();
        due.sort_unstable();
        due.truncate(tuning::MAX_TURN_SEARCHES);
        due.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns whether tickets would let a task of the step start: no question is in flight, and no
    /// limit holds it back.
    fn may_ask(&self, key: StepKey) -> bool {
        !self.steps[key].advice.asking && self.exceeded_limit(key, 1).is_none()
    }

    /// Composes a question that names enough workers for one task to start, or for all members of a
    /// gang: those known to be approved first.  Fewer workers than in other questions shorten the
    /// wait of the next step.
    fn turn_question(&self, key: StepKey, round: &mut Round) -> TurnQuestion {
        let step = &self.steps[key];
        let needed = match step.step().gang {
            true => step.tasks.len() as u32,
            false => 1,
        };
        let share = self.approved_share(&self.jobs[step.job].queue.name);
        let wanted = f64::from(needed) * tuning::ADVICE_SURPLUS;
        let tickets = &step.advice.tickets;
        let unasked = self.usable_workers_rotated(key, round);
        let unasked = unasked.filter(|worker| !tickets.contains_key(worker));
        let mut question = TurnQuestion {
            needed,
            ..TurnQuestion::default()
        };
        let mut expected = 0.0;
        for worker in tickets.keys().copied().chain(unasked) {
            if expected >= wanted || question.workers.len() >= tuning::MAX_ADVICE_WORKERS {
                break;
            }
            question.examined += 1;
            let Some(candidate) = self.turn_candidate(key, worker, needed, round) else {
                continue;
            };
            let probability = if candidate.approved { 1.0 } else { share };
            expected += f64::from(candidate.fit) * probability;
            question.workers.push(worker);
        }
        question
    }

    /// Returns a worker as a candidate for a question in turn, if a task could start there at once.
    fn turn_candidate(
        &self,
        key: StepKey,
        worker: WorkerKey,
        needed: u32,
        round: &mut Round,
    ) -> Option<AdviceCandidate> {
        let step = &self.steps[key];
        if step.advice.rejected.contains(&worker) {
            return None;
        }
        let mut candidate = self.advice_candidate(key, worker, needed, round.now)?;
        candidate.fit = self.unreserved_fit(step.step(), worker, candidate.fit, round);
        (candidate.fit > 0).then_some(candidate)
    }

    /// Asks about a step in turn; returns false if no lane is free for it.
    fn send_in_turn(&mut self, key: StepKey, question: TurnQuestion) -> bool {
        let Some(timing) = self.jobs[self.steps[key].job].queue.advice else {
            return true;
        };
        let expected = timing.duration(question.workers.len());
        let Some(lane) = self.free_lane_in_turn(expected > tuning::LONG_ADVICE) else {
            return false;
        };
        self.last_in_turn = true;
        self.send_question(key, question.needed, question.workers, lane, expected);
        true
    }

    /// Since when a step with nothing running has not been asked about; `None` if it need not be.
    fn unasked_since(&self, key: StepKey) -> Option<Millis> {
        let step = &self.steps[key];
        let has_nothing_running = step.idle == step.open;
        step.advice.unasked_since.filter(|_| has_nothing_running)
    }
}
