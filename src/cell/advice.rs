//! Questions to the advice service about which workers may run a step.
//!
//! The service takes one question at a time from each node.  The owner of a cell may use every
//! node's connection to it, a *lane*, for one question at a time.  The time that an answer takes
//! grows with the number of workers named in the question.  See "Advice" in `docs/DESIGN.md`.
//!
//! Questions also name workers that have no room yet.  Where jobs wait for room, this halved the
//! time spent on questions.  The share of the callers' payments for such jobs that was earned, net
//! of costs, rose from 0.83 to 0.90 over days with faults (docs/DECISIONS.md).

use std::rc::Rc;

use slotmap::Key;
use xxhash_rust::xxh3::xxh3_64;

use crate::cell::job::Ticket;
use crate::cell::order::{AdviceOrder, Order};
use crate::cell::question_plan::QuestionPlan;
use crate::cell::round::Round;
use crate::cell::speed::SpeedPreference;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;
use crate::queue::AdviceTiming;

/// One node's connection to the advice service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lane {
    /// The node can be used.
    pub up: bool,
    /// A question is in flight on it.
    pub busy: bool,
    /// That question is expected to take longer than [`tuning::LONG_ADVICE`].
    pub long: bool,
    /// That question was asked in turn.
    pub in_turn: bool,
}

/// A worker that a question may name.
pub(super) struct AdviceCandidate {
    worker: WorkerKey,
    /// The advice service has approved it for the step.
    pub(super) approved: bool,
    /// How many of the tasks that need tickets have room there now.
    pub(super) fit: u32,
    /// When the first task is expected to have room there.
    free_at: Millis,
}

/// Workers that a question may name.
#[derive(Default)]
struct CandidatePool {
    /// At least one task of the step has room there now.
    with_room: Vec<AdviceCandidate>,
    /// No task of the step has room there yet.
    full: Vec<AdviceCandidate>,
}

impl CandidatePool {
    fn push(&mut self, candidate: AdviceCandidate) {
        match candidate.fit {
            0 => self.full.push(candidate),
            _ => self.with_room.push(candidate),
        }
    }
}

impl Cell {
    /// Sets which lanes can be used, by index.  Lanes keep their index; those beyond the end of
    /// `up` cannot be used.
    pub fn set_lanes(&mut self, up: &[bool]) {
        self.lanes
            .resize(up.len().max(self.lanes.len()), Lane::default());
        for (index, lane) in self.lanes.iter_mut().enumerate() {
            lane.up = up.get(index).copied().unwrap_or(false);
        }
    }

    /// Asks about a step that lacks tickets for `needed` tasks, if a lane is free and there are
    /// workers to ask about.
    pub(super) fn request_advice(&mut self, key: StepKey, needed: u32, round: &mut Round) {
        let now = round.now;
        let Some(timing) = self.jobs[self.steps[key].job].queue.advice else {
            return;
        };
        self.note_unasked(key, round.now);
        let plan = match self.options.advice_planning {
            true => self.plan_question(key, needed, &timing, round),
            false => Some(QuestionPlan::unplanned(needed)),
        };
        let Some(plan) = plan else {
            return;
        };
        let (needed, among) = (plan.needed, plan.among);
        let step = &self.steps[key];
        let pause = tuning::ADVICE_INTERVAL.min(2 * timing.duration(0));
        let pause_over = step.advice.last_answer == 0 || step.advice.last_answer + pause <= now;
        if step.advice.asking || !pause_over || step.advice.search_after > now {
            return;
        }
        if self.free_lane(false).is_none() || !round.admit_advice_search() {
            return;
        }
        self.counts.advice_searches += 1;
        if plan.is_overdue {
            self.note_overdue_search(key, now);
        }
        let (workers, are_enough) =
            self.select_advice_workers(key, needed, &timing, among.as_deref(), round);
        if !are_enough {
            self.unpark_for_step(key, needed, now);
        }
        if workers.is_empty() {
            self.steps[key].advice.search_after = now + tuning::ADVICE_SEARCH_INTERVAL;
            return;
        }
        let expected = timing.duration(workers.len());
        let Some(lane) = self.free_lane(expected > tuning::LONG_ADVICE) else {
            return;
        };
        self.last_in_turn = false;
        self.send_question(key, needed, workers, lane, expected);
    }

    /// Asks about a step through a free lane.
    pub(super) fn send_question(
        &mut self,
        key: StepKey,
        needed: u32,
        workers: Vec<WorkerKey>,
        lane: usize,
        expected: Millis,
    ) {
        self.lanes[lane] = Lane {
            up: true,
            busy: true,
            long: expected > tuning::LONG_ADVICE,
            in_turn: self.last_in_turn,
        };
        self.counts.questions += 1;
        let step = &mut self.steps[key];
        step.advice.asking = true;
        step.advice.unasked_since = None;
        step.advice.named = match self.options.advice_planning {
            true => workers.clone(),
            false => Vec::new(),
        };
        tracing::info!(
            request = %step.name.job,
            step = %step.name,
            lane,
            in_turn = self.last_in_turn,
            workers = workers.len(),
            needed,
            "advice asked"
        );
        let workers = workers
            .into_iter()
            .map(|worker| (worker, self.workers[worker].entry.life.id.clone()))
            .collect();
        self.orders.push(Order::Advise(AdviceOrder {
            step: key,
            name: step.name,
            lane,
            workers,
            expected,
        }));
    }

    /// Chooses the workers to name in a question, and returns whether they are expected to be
    /// enough. Approved workers whose tickets have run out come first, then those not asked about
    /// yet; among each, those with the most room come first.  For a step that prefers fast workers,
    /// these come first among those with room that were not asked about.
    ///
    /// Whether a worker may run a step never changes, so the first question also names workers that
    /// have no room yet: a step that waits for room then knows where to reserve it.
    fn select_advice_workers(
        &mut self,
        key: StepKey,
        needed: u32,
        timing: &AdviceTiming,
        among: Option<&[WorkerKey]>,
        round: &mut Round,
    ) -> (Vec<WorkerKey>, bool) {
        let now = round.now;
        let job = &self.jobs[self.steps[key].job];
        let approved_share = self.approved_share(&job.queue.name);
        let answer_by =
            now + timing.duration(tuning::MAX_ADVICE_WORKERS) + tuning::ADVICE_LOOKAHEAD;
        let mut candidates = self.advice_candidates(key, needed, round);
        match among {
            Some(workers) => candidates.retain(|candidate| workers.contains(&candidate.worker)),
            None => {
                candidates.retain(|candidate| !candidate.approved || candidate.free_at <= answer_by)
            }
        }
        let preference = self.speed_preference(key, round);
        candidates.sort_unstable_by_key(|candidate| {
            let less_room = u32::MAX - candidate.fit;
            let speed = match preference {
                SpeedPreference::Fast if !candidate.approved && candidate.fit > 0 => {
                    self.speed_rank(preference, candidate.worker)
                }
                _ => 0,
            };
            (
                !candidate.approved,
                candidate.fit == 0,
                speed,
                less_room,
                candidate.free_at,
                candidate.worker,
            )
        });
        let wanted = f64::from(needed) * tuning::ADVICE_SURPLUS;
        let mut expected = 0.0;
        let mut chosen = Vec::new();
        for candidate in candidates {
            let cost = timing.per_worker_ms * chosen.len() as f64;
            let cheap = cost <= timing.base_ms * tuning::ADVICE_EXTRA_TIME_SHARE;
            if (among.is_none() && expected >= wanted && !cheap)
                || chosen.len() >= tuning::MAX_ADVICE_WORKERS
            {
                break;
            }
            expected += f64::from(candidate.fit)
                * if candidate.approved {
                    1.0
                } else {
                    approved_share
                };
            chosen.push(candidate.worker);
        }
        let are_enough = expected >= wanted || chosen.len() >= tuning::MAX_ADVICE_WORKERS;
        (chosen, are_enough)
    }

    /// Workers that might run the step, now or later, and for which it has no valid ticket: all
    /// that are approved, and workers not asked about yet until there are enough with room.
    ///
    /// Each search starts at another worker.  Otherwise steps that ask at the same time would name
    /// the same workers, and the first one answered would take their room.
    fn advice_candidates(
        &mut self,
        key: StepKey,
        needed: u32,
        round: &mut Round,
    ) -> Vec<AdviceCandidate> {
        let step = &self.steps[key];
        let room = step.step().room();
        let approved = step.advice.tickets.keys();
        let mut pool = CandidatePool::default();
        for candidate in
            approved.filter_map(|&worker| self.advice_candidate(key, worker, needed, round.now))
        {
            pool.push(candidate);
        }
        let approved_with_room = pool.with_room.len();
        let examined = self.add_unasked_candidates(key, needed, round, &mut pool);
        // Forecasting when room becomes free on each worker of a full cell takes most of a round.
        if pool.with_room.len() - approved_with_room >= tuning::MAX_ADVICE_WORKERS {
            pool.full.retain(|candidate| candidate.approved);
        }
        for candidate in &mut pool.full {
            candidate.free_at = self.forecast(candidate.worker, round).earliest_fit(&room);
        }
        pool.with_room.append(&mut pool.full);
        self.counts.advice_workers += examined;
        pool.with_room
    }

    /// Adds workers that the step has not asked about yet, until there are enough with room;
    /// returns how many workers were examined.
    fn add_unasked_candidates(
        &self,
        key: StepKey,
        needed: u32,
        round: &mut Round,
        pool: &mut CandidatePool,
    ) -> u64 {
        let advice = &self.steps[key].advice;
        let max_with_room = pool.with_room.len() + tuning::ADVICE_CANDIDATES;
        let mut examined = 0;
        for worker in self.usable_workers_rotated(key, round) {
            if pool.with_room.len() == max_with_room {
                break;
            }
            examined += 1;
            if advice.tickets.contains_key(&worker) || advice.rejected.contains(&worker) {
                continue;
            }
            if let Some(candidate) = self.advice_candidate(key, worker, needed, round.now) {
                pool.push(candidate);
            }
        }
        examined
    }

    /// Returns a worker as a candidate for a question about a step, unless the step has a valid
    /// ticket for it or cannot use it.  `free_at` is set to `now`, which is right only if there is
    /// room now.
    pub(super) fn advice_candidate(
        &self,
        key: StepKey,
        worker_key: WorkerKey,
        needed: u32,
        now: Millis,
    ) -> Option<AdviceCandidate> {
        let step = &self.steps[key];
        let spec = step.step();
        let service = &self.jobs[step.job].queue.service;
        if self.has_valid_ticket(key, worker_key, now) || !self.will_take_work(worker_key, now) {
            return None;
        }
        let worker = &self.workers[worker_key];
        if !worker.allows(spec, service) || !spec.room().fits(&worker.entry.capacity) {
            return None;
        }
        let fit = match self.takes_work(worker_key, now) {
            true => worker.fit(spec, self.tasks_on_worker(key, worker_key)),
            false => 0,
        };
        Some(AdviceCandidate {
            worker: worker_key,
            approved: step.advice.tickets.contains_key(&worker_key),
            fit: fit.min(needed),
            free_at: now,
        })
    }

    /// The workers of a step's service that will take work, starting at a position that depends on
    /// the step and the time.
    pub(super) fn usable_workers_rotated(
        &self,
        key: StepKey,
        round: &mut Round,
    ) -> impl Iterator<Item = WorkerKey> + use<> {
        let usable = self.usable_workers(key, round);
        let hash = xxh3_64(&(key.data().as_ffi() ^ round.now).to_le_bytes()) as usize;
        let first = hash.checked_rem(usable.len()).unwrap_or_default();
        (0..usable.len()).map(move |offset| usable[(first + offset) % usable.len()])
    }

    /// The workers of a step's service that will take work, computed once a round.
    pub(super) fn usable_workers(&self, key: StepKey, round: &mut Round) -> Rc<[WorkerKey]> {
        let service = &self.jobs[self.steps[key].job].queue.service;
        if let Some(usable) = round.usable_workers.get(service) {
            return Rc::clone(usable);
        }
        let workers = self.workers.iter();
        let of_service = workers.filter(|(_, worker)| worker.entry.service == *service);
        let keys = of_service.map(|(worker, _)| worker);
        let usable = keys.filter(|&worker| self.will_take_work(worker, round.now));
        let usable: Rc<[WorkerKey]> = usable.collect();
        round
            .usable_workers
            .insert(service.clone(), Rc::clone(&usable));
        usable
    }

    /// The share of workers named in questions of a queue that the advice service approves, learned
    /// from its answers.
    pub(super) fn approved_share(&self, queue: &str) -> f64 {
        self.approved_share
            .get(queue)
            .copied()
            .unwrap_or(tuning::INITIAL_APPROVED_SHARE)
    }

    /// Returns whether the step has a ticket for the worker that can still be used.
    pub(super) fn has_valid_ticket(&self, key: StepKey, worker: WorkerKey, now: Millis) -> bool {
        let ticket = self.steps[key].advice.tickets.get(&worker);
        ticket.is_some_and(|ticket| ticket.expires > now + tuning::TICKET_MARGIN)
    }

    /// Handles the answer to `order`: the ids of the workers that may run the step, each with its
    /// ticket, or `None` if no answer came.
    pub fn advice_answered(
        &mut self,
        order: &AdviceOrder,
        approved: Option<Vec<(String, String)>>,
        now: Millis,
    ) {
        if let Some(lane) = self.lanes.get_mut(order.lane) {
            lane.busy = false;
        }
        let Some(step) = self.steps.get_mut(order.step) else {
            return;
        };
        step.advice.asking = false;
        step.advice.named.clear();
        step.advice.last_answer = now;
        let Some(approved) = approved else {
            tracing::info!(
                request = %order.name.job,
                step = %order.name,
                lane = order.lane,
                "advice failed"
            );
            return;
        };
        let job = &self.jobs[step.job];
        let Some(timing) = job.queue.advice else {
            return;
        };
        tracing::info!(
            request = %order.name.job,
            step = %order.name,
            lane = order.lane,
            asked = order.workers.len(),
            good = approved.len(),
            "advice came"
        );
        step.advice.has_unused_answer = !approved.is_empty();
        let share = approved.len() as f64 / order.workers.len().max(1) as f64;
        let approved_share = self
            .approved_share
            .entry(job.queue.name.clone())
            .or_insert(tuning::INITIAL_APPROVED_SHARE);
        *approved_share += tuning::APPROVED_SHARE_WEIGHT * (share - *approved_share);
        for (worker, id) in &order.workers {
            match approved.iter().find(|(approved_id, _)| approved_id == id) {
                Some((_, text)) => {
                    let ticket = Ticket {
                        text: text.clone(),
                        expires: now + timing.valid,
                    };
                    step.advice.tickets.insert(*worker, ticket);
                }
                None => {
                    step.advice.tickets.remove(worker);
                    step.advice.rejected.insert(*worker);
                }
            }
        }
    }
}
