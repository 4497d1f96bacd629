//! Decides which steps may ask the advice service, by the room that is left for them.

use xxhash_rust::xxh3::xxh3_64;

use crate::cell::advice_plan::{Budget, Claim};
use crate::cell::round::{AdviceBudget, Round};
use crate::cell::spec::Demand;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;
use crate::queue::AdviceTiming;

/// What a question is for.
pub(super) struct QuestionPlan {
    /// The number of tasks that need tickets.
    pub(super) needed: u32,
    /// The workers that the question may name; `None` for all.
    pub(super) among: Option<Vec<WorkerKey>>,
    /// No capacity is left for the step, but it has been kept from asking for long.
    pub(super) is_overdue: bool,
}

impl QuestionPlan {
    /// A question that may name any worker.
    pub(super) fn unplanned(needed: u32) -> Self {
        Self {
            needed,
            among: None,
            is_overdue: false,
        }
    }
}

impl Cell {
    /// Decides whether a step may ask: only if capacity is left for it after the steps before it.
    /// Returns `None` if it may not, or if its valid tickets are enough.
    ///
    /// While no lane is free, no step is examined and the last decision about it stands.
    ///
    /// Only a question for which the room that is free now does not suffice is restricted to the
    /// workers on which room was claimed.  If all questions were, they would name too few workers, and
    /// urgent jobs would be late.
    pub(super) fn plan_question(
        &mut self,
        key: StepKey,
        needed: u32,
        timing: &AdviceTiming,
        round: &mut Round,
    ) -> Option<QuestionPlan> {
        let now = round.now;
        let is_long = timing.duration(0) > tuning::LONG_ADVICE;
        if self.free_lane(is_long).is_none() {
            round.steps_not_asking += u32::from(self.steps[key].advice.kept_since.is_some());
            return None;
        }
        self.prepare_budget(key, round);
        let service = &self.jobs[self.steps[key].job].queue.service;
        // Taken out of the round, which forecasts need as well, and put back below.
        let mut budget = round.budgets.remove(service)?;
        let share = self.approved_share(&self.jobs[self.steps[key].job].queue.name);
        let mut claim = self.claim_asked_workers(key, needed, share, &mut budget, round);
        let missing = claim.tasks.ceil().max(0.0) as u32;
        if missing == 0 {
            round.budgets.insert(service.clone(), budget);
            self.steps[key].advice.kept_since = None;
            return None;
        }
        let mut plan = QuestionPlan::unplanned(missing);
        let probability = |worker| self.approval_probability(key, worker, share, now);
        let mut granted = budget.budget.claim(&claim, probability);
        if granted.tasks < claim.tasks {
            claim.tasks -= granted.tasks;
            claim.max_per_worker = 1;
            self.widen_budget(&mut budget, timing, round);
            let foreseen = budget.budget.claim(&claim, |worker| {
                let is_new = !granted.workers.contains(&worker);
                is_new.then(|| probability(worker)).flatten()
            });
            granted.workers.extend(foreseen.workers);
            plan.among = Some(granted.workers.clone());
        }
        let is_undecided = budget.budget.is_examined_enough();
        round.budgets.insert(service.clone(), budget);
        if !granted.workers.is_empty() {
            self.steps[key].advice.kept_since = None;
            return Some(plan);
        }
        if is_undecided {
            self.steps[key].advice.kept_since = None;
            return Some(QuestionPlan::unplanned(missing));
        }
        self.unpark_for_step(key, missing, now);
        self.keep_from_asking(key, round).then(|| QuestionPlan {
            is_overdue: true,
            ..QuestionPlan::unplanned(needed)
        })
    }

    /// Claims room on the workers for which a step has tickets, and on those that its question in
    /// flight names.  Returns the claim for the tasks that these workers leave.
    fn claim_asked_workers(
        &self,
        key: StepKey,
        needed: u32,
        share: f64,
        budget: &mut AdviceBudget,
        round: &mut Round,
    ) -> Claim {
        let step = &self.steps[key];
        let mut claim = Claim {
            room: step.step().room(),
            tasks: f64::from(needed),
            // More room there may become free only after the ticket has expired.
            max_per_worker: 1,
        };
        let ticketed = self.workers_with_coming_room(key, round);
        claim.tasks -= budget.budget.claim_on(&claim, ticketed).tasks;
        claim.max_per_worker = needed;
        let named = step.advice.named.iter().map(|&worker| (worker, share));
        claim.tasks -= budget.budget.claim_on(&claim, named).tasks;
        claim
    }

    /// Notes that no capacity is left for a step.  Returns true if it may ask all the same, because
    /// it has been kept from asking for long and no other step for longer.
    fn keep_from_asking(&mut self, key: StepKey, round: &mut Round) -> bool {
        let now = round.now;
        let is_next = self.longest_kept == Some(key);
        let next_question = self.last_overdue_question + tuning::OVERDUE_QUESTION_INTERVAL;
        let advice = &mut self.steps[key].advice;
        let since = *advice.kept_since.get_or_insert(now);
        let is_overdue = since + tuning::MAX_ADVICE_DELAY <= now;
        if is_overdue && is_next && !advice.asking && next_question <= now {
            return true;
        }
        let longest = round
            .longest_kept
            .map_or(Millis::MAX, |(longest, _)| longest);
        if !advice.asking && since < longest {
            round.longest_kept = Some((since, key));
        }
        round.steps_not_asking += 1;
        false
    }

    /// Notes that workers are searched for a step that was kept from asking for long.  It waits
    /// again for its next turn, whether or not a worker is found.
    pub(super) fn note_overdue_search(&mut self, key: StepKey, now: Millis) {
        self.steps[key].advice.kept_since = Some(now);
        self.last_overdue_question = now;
    }

    /// Begins the budget of a step's service with the room that is free now.
    fn prepare_budget(&self, key: StepKey, round: &mut Round) {
        let service = &self.jobs[self.steps[key].job].queue.service;
        if round.budgets.contains_key(service) {
            return;
        }
        let usable = self.usable_workers(key, round);
        let free = |worker| match self.takes_work(worker, round.now) {
            true => self.workers[worker].free(),
            false => Demand::default(),
        };
        let rooms = usable.iter().map(|&worker| (worker, free(worker)));
        let first = xxh3_64(&round.now.to_le_bytes()) as usize;
        let budget = AdviceBudget {
            budget: Budget::new(rooms, first),
            foreseen_until: round.now,
        };
        round.budgets.insert(service.clone(), budget);
    }

    /// Adds the room that is foreseen to become free before the tickets of a question with this
    /// timing that is asked now would expire.
    fn widen_budget(&self, budget: &mut AdviceBudget, timing: &AdviceTiming, round: &mut Round) {
        let valid = timing.valid.saturating_sub(tuning::TICKET_MARGIN);
        let horizon = round.now + timing.duration(tuning::MAX_ADVICE_WORKERS) + valid;
        if budget.foreseen_until >= horizon {
            return;
        }
        budget.foreseen_until = horizon;
        budget
            .budget
            .widen(|worker| self.forecast(worker, round).free_at(horizon));
    }

    /// The workers for which a step has a ticket that is still valid when room for a task is
    /// foreseen there, each with the probability 1 that the step may run there.
    fn workers_with_coming_room(&self, key: StepKey, round: &mut Round) -> Vec<(WorkerKey, f64)> {
        let now = round.now;
        let step = &self.steps[key];
        let room = step.step().room();
        let mut workers = Vec::new();
        for (&worker, ticket) in &step.advice.tickets {
            let usable_until = ticket.expires.saturating_sub(tuning::TICKET_MARGIN);
            if usable_until > now
                && self.will_take_work(worker, now)
                && self.forecast(worker, round).earliest_fit(&room) < usable_until
            {
                workers.push((worker, 1.0));
            }
        }
        workers
    }

    /// The probability that a question about a step yields a ticket for a worker; `None` if the
    /// step has a valid one, or cannot use the worker.
    fn approval_probability(
        &self,
        key: StepKey,
        worker: WorkerKey,
        share: f64,
        now: Millis,
    ) -> Option<f64> {
        let advice = &self.steps[key].advice;
        if advice.rejected.contains(&worker) || advice.named.contains(&worker) {
            return None;
        }
        let candidate = self.advice_candidate(key, worker, 1, now)?;
        Some(if candidate.approved { 1.0 } else { share })
    }
}
