//! Asking which workers may run a step.
//!
//! The advice service takes one question at a time from each node, so each node's
//! *lane* is a resource of its own, and the time of an answer grows with the
//! workers named in the question.  See "Advice" in `docs/DESIGN.md`.

use crate::cell::job::Ticket;
use crate::cell::order::{AdviceOrder, Order};
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// One node's way to the advice service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lane {
    /// The node can be used.
    pub up: bool,
    /// A question is on its way.
    pub busy: bool,
    /// That question is a long one.
    pub long: bool,
}

impl Cell {
    /// Tells which lanes there are; lanes keep their places.
    pub fn set_lanes(&mut self, up: &[bool]) {
        self.lanes
            .resize(up.len().max(self.lanes.len()), Lane::default());
        for (place, lane) in self.lanes.iter_mut().enumerate() {
            lane.up = up.get(place).copied().unwrap_or(false);
        }
    }

    fn free_lane(&self, long: bool) -> Option<usize> {
        let up = self.lanes.iter().filter(|lane| lane.up).count();
        let long_busy = self
            .lanes
            .iter()
            .filter(|lane| lane.busy && lane.long)
            .count();
        if long && up > 1 && long_busy + 1 >= up {
            return None;
        }
        self.lanes.iter().position(|lane| lane.up && !lane.busy)
    }

    /// Asks about a step that lacks tickets for `needed` tasks, if a lane is free and
    /// there are workers with room to ask about.
    pub(super) fn ask(&mut self, key: StepKey, needed: u32, now: Millis) {
        let step = &self.steps[key];
        let Some(policy) = self.jobs[step.job].queue.advice else {
            return;
        };
        let pause = tuning::ADVICE_PAUSE.min(2 * policy.duration(0));
        let pause_over = step.advice.asked == 0 || step.advice.asked + pause <= now;
        if step.advice.asking || !pause_over {
            return;
        }
        let workers = self.worth_asking(key, needed, now);
        if workers.is_empty() {
            return;
        }
        let expected = policy.duration(workers.len());
        let long = expected > tuning::LONG_ADVICE;
        let Some(lane) = self.free_lane(long) else {
            return;
        };
        self.lanes[lane].busy = true;
        self.lanes[lane].long = long;
        self.counts.questions += 1;
        let step = &mut self.steps[key];
        step.advice.asking = true;
        tracing::info!(request = %step.name.job, step = %step.name, lane, workers = workers.len(), needed, "advice asked");
        let workers = workers
            .into_iter()
            .map(|worker| (worker, self.workers[worker].entry.id.clone()))
            .collect();
        self.orders.push(Order::Advise(AdviceOrder {
            step: key,
            name: step.name,
            lane,
            workers,
            expected,
        }));
    }

    /// Chooses the workers to name: those known to be good whose tickets are gone,
    /// then unknown ones with the most room, until enough room is expected.
    fn worth_asking(&self, key: StepKey, needed: u32, now: Millis) -> Vec<WorkerKey> {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let spec = step.step();
        let share = self.learned_share(&job.queue.name);
        let each = job.queue.advice.map_or(0.0, |policy| policy.per_worker_ms);
        let mut candidates: Vec<(bool, u32, WorkerKey)> = Vec::new();
        for (worker_key, worker) in &self.workers {
            if !self.takes_work(worker_key, now) || !worker.allows(spec, &job.queue.service) {
                continue;
            }
            if step.advice.bad.contains(&worker_key) || self.valid_ticket(key, worker_key, now) {
                continue;
            }
            let here = self.tasks_here(key, worker_key);
            let fit = worker.fit(spec, here).min(needed);
            if fit > 0 {
                let good = step.advice.tickets.iter().any(|t| t.worker == worker_key);
                candidates.push((good, fit, worker_key));
            }
        }
        candidates.sort_unstable_by_key(|&(good, fit, worker)| (!good, u32::MAX - fit, worker));
        let wanted = f64::from(needed) * tuning::ADVICE_SURPLUS;
        let mut expected = 0.0;
        let mut chosen = Vec::new();
        for (good, fit, worker) in candidates {
            let cheap = each * (chosen.len() as f64) < tuning::CHEAP_ADVICE_MS;
            if (expected >= wanted && !cheap) || chosen.len() >= tuning::ADVICE_MOST {
                break;
            }
            expected += f64::from(fit) * if good { 1.0 } else { share };
            chosen.push(worker);
        }
        chosen
    }

    fn learned_share(&self, queue: &str) -> f64 {
        self.good_share
            .get(queue)
            .copied()
            .unwrap_or(tuning::FIRST_GOOD_SHARE)
    }

    /// Tells whether a ticket for the worker can still be used.
    pub(super) fn valid_ticket(&self, key: StepKey, worker: WorkerKey, now: Millis) -> bool {
        self.steps[key]
            .advice
            .tickets
            .iter()
            .any(|t| t.worker == worker && t.expires > now + tuning::TICKET_MARGIN)
    }

    /// Takes in the answer to `order`: the workers that may run the step, with their
    /// tickets, or nothing if no answer came.
    pub fn advised(
        &mut self,
        order: &AdviceOrder,
        good: Option<Vec<(String, String)>>,
        now: Millis,
    ) {
        if let Some(lane) = self.lanes.get_mut(order.lane) {
            lane.busy = false;
        }
        let Some(step) = self.steps.get_mut(order.step) else {
            return;
        };
        step.advice.asking = false;
        step.advice.asked = now;
        let Some(good) = good else {
            tracing::info!(request = %order.name.job, step = %order.name, lane = order.lane, "advice failed");
            return;
        };
        let job = &self.jobs[step.job];
        let Some(policy) = job.queue.advice else {
            return;
        };
        tracing::info!(request = %order.name.job, step = %order.name, lane = order.lane, asked = order.workers.len(), good = good.len(), "advice came");
        let share = good.len() as f64 / order.workers.len().max(1) as f64;
        let learned = self
            .good_share
            .entry(job.queue.name.clone())
            .or_insert(tuning::FIRST_GOOD_SHARE);
        *learned += tuning::GOOD_SHARE_WEIGHT * (share - *learned);
        for (worker, id) in &order.workers {
            step.advice
                .tickets
                .retain(|ticket| ticket.worker != *worker);
            match good.iter().find(|(good_id, _)| good_id == id) {
                Some((_, text)) => step.advice.tickets.push(Ticket {
                    worker: *worker,
                    text: text.clone(),
                    expires: now + policy.valid,
                }),
                None => step.advice.bad.push(*worker),
            }
        }
    }
}
