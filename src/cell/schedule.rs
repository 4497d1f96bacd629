//! The scheduling round: in which order waiting steps are considered, and what is done for the tasks
//! that cannot start.

use crate::cell::candidates::best_worker;
use crate::cell::round::Round;
use crate::cell::shares::OrderedStep;
use crate::cell::start::Placement;
use crate::cell::urgency::RemainingWork;
use crate::cell::wait::WaitReason;
use crate::cell::{Cell, RunKey, StepKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Runs one scheduling round: starts the tasks that can start now, and asks the advice service
    /// about steps that lack tickets.
    pub fn schedule(&mut self, now: Millis) {
        self.update_unknown_usage(now);
        self.update_speeds(now);
        // A task whose planned start is dropped here waits again, so this comes before waiting
        // tasks are collected.
        self.begin_start_round(now);
        self.send_planned_starts(now);
        let mut order: Vec<OrderedStep> = Vec::new();
        let mut work = RemainingWork::default();
        let awaiting_poll = self.jobs_awaiting_poll();
        let deferral = self.deferral(now);
        for (position, &key) in self.open_steps.iter().enumerate() {
            let step = &self.steps[key];
            if !step.ready {
                continue;
            }
            let job = &self.jobs[step.job];
            if self.is_unsettled(step, &awaiting_poll) {
                continue;
            }
            // Checked before computing the rank, which takes longer, since most steps have no waiting
            // task.
            if self.waiting_tasks(key, now).next().is_none() {
                continue;
            }
            order.push(OrderedStep {
                deferred: deferral.is_some_and(|deferral| self.is_deferred(key, deferral, now)),
                priority: job.decision.priority,
                beyond_share: false,
                rank: self.rank(key, &mut work, now),
                position,
                key,
            });
        }
        self.counts.steps_examined += self.open_steps.len() as u64 + work.steps_examined;
        order.sort_unstable();
        self.order_by_shares(&mut order, now);
        let mut round = Round::new(now);
        self.note_longest_unasked(&order, now);
        for step in self.take_turns(&order) {
            if self.is_start_window_full() {
                self.note_start_held_back(round.now);
                let waiting = self.steps[step.key].idle as usize;
                round.record_wait(step.priority, WaitReason::Soon, waiting);
                continue;
            }
            let Some((mut reason, tasks)) = self.schedule_step(step.key, &mut round) else {
                continue;
            };
            if step.beyond_share {
                self.note_waiting_beyond_share(&step, tasks);
                if reason == WaitReason::NoRoom {
                    reason = WaitReason::Share;
                }
            }
            round.record_wait(step.priority, reason, tasks);
        }
        if !self.is_start_window_full() {
            self.ask_in_turn(&order, &mut round);
        }
        self.counts.candidates_examined += round.candidates_examined;
        self.steps_not_asking = round.steps_not_asking;
        if let Some((_, key)) = round.longest_kept {
            self.longest_kept = Some(key);
        }
        self.waiting = round.waiting;
    }

    /// Limits a round to [`tuning::MAX_STEPS_PER_ROUND`] waiting steps, so that the owner answers
    /// others in between: the first ones, and as many of the rest, which take turns.
    fn take_turns(&mut self, order: &[OrderedStep]) -> Vec<OrderedStep> {
        if order.len() <= tuning::MAX_STEPS_PER_ROUND {
            return order.to_vec();
        }
        let half = tuning::MAX_STEPS_PER_ROUND / 2;
        let (first, rest) = order.split_at(half);
        let start = self.next_turn % rest.len();
        self.next_turn = start + half;
        let turns = rest.iter().cycle().skip(start).take(half);
        first.iter().chain(turns).copied().collect()
    }

    /// Starts the tasks of a step that can start now; returns why the others wait, and how many.
    fn schedule_step(&mut self, key: StepKey, round: &mut Round) -> Option<(WaitReason, usize)> {
        let waiting: Vec<u32> = self.waiting_tasks(key, round.now).collect();
        if waiting.is_empty() {
            return None;
        }
        if self.steps[key].step().gang {
            return self.schedule_gang(key, &waiting, round);
        }
        if let Some(limit) = self.exceeded_limit(key, 1) {
            return Some((limit, waiting.len()));
        }
        let mut left = waiting.len() as u32;
        let mut started = Vec::new();
        let mut limit = None;
        let mut is_job_at_limit = false;
        let mut candidates = self.placement_candidates(key, round);
        let is_step_suspect = self.is_step_suspect(key);
        let mut planned_starts_left = None;
        for index in waiting {
            limit = self.exceeded_limit(key, 1);
            if limit.is_some() {
                break;
            }
            is_job_at_limit = !self.may_start_another(key, index);
            if is_job_at_limit {
                break;
            }
            let step = &self.steps[key];
            let task = &step.tasks[index as usize];
            let trial = is_step_suspect || task.is_suspect();
            let worker = if trial {
                self.trial_worker(key, index, &candidates, round.now)
            } else {
                best_worker(&candidates, task.avoid, &step.failed_workers)
            };
            let Some(worker) = worker else {
                if trial {
                    continue;
                }
                break;
            };
            if self.is_start_window_full() {
                self.note_start_held_back(round.now);
                limit = Some(WaitReason::Soon);
                break;
            }
            if self.is_recorded_first(key, index, round.now) {
                let left = planned_starts_left.get_or_insert_with(|| self.planned_starts_left(key));
                if *left == 0 {
                    continue;
                }
                *left -= 1;
            }
            let placement = Placement {
                worker,
                number: None,
                trial,
            };
            started.extend(self.start(key, index, placement, round));
            self.refresh_candidate(&mut candidates, key, worker, round);
            left -= 1;
        }
        if !started.is_empty() {
            self.note_asked_step_started(key);
        }
        self.log_starts(key, &started, round);
        if left == 0 {
            return None;
        }
        if limit.is_none() && !is_job_at_limit {
            self.request_capacity(key, left, round);
        }
        let reason = limit.unwrap_or_else(|| self.placement_wait_reason(key, round.now));
        Some((reason, left as usize))
    }

    /// Seeks room for so many tasks of a step that could not be placed: wakes parked workers, asks
    /// the advice service about more workers, and reserves room that becomes free.
    pub(super) fn request_capacity(&mut self, key: StepKey, tasks: u32, round: &mut Round) {
        let (now, step) = (round.now, &self.steps[key]);
        let tasks_to_place = match step.step().gang {
            true => step.tasks.len() as u32,
            false => tasks,
        };
        if self.jobs[step.job].queue.advice.is_none() {
            self.unpark_for_step(key, tasks_to_place, now);
        }
        self.request_advice(key, tasks, round);
        self.reserve(key, tasks_to_place, round);
    }

    /// Why tasks of a step wait that are within all limits: for tickets, or for room on the workers
    /// that may run them.
    pub(super) fn placement_wait_reason(&self, key: StepKey, now: Millis) -> WaitReason {
        let step = &self.steps[key];
        let uses_advice = self.jobs[step.job].queue.advice.is_some();
        if step.advice.kept_since.is_some() {
            return WaitReason::NoRoom;
        }
        let mut ticketed = step.advice.tickets.keys();
        match uses_advice && !ticketed.any(|&worker| self.has_valid_ticket(key, worker, now)) {
            true => WaitReason::Advice,
            false => WaitReason::NoRoom,
        }
    }

    /// The limit, if any, that starting so many more tasks of a step would exceed.
    pub(super) fn exceeded_limit(&self, key: StepKey, tasks: u32) -> Option<WaitReason> {
        if !self.is_within_quota(key, tasks) {
            return Some(WaitReason::Quota);
        }
        (!self.is_within_cap(key, tasks)).then_some(WaitReason::Cap)
    }

    /// Returns whether so many more tasks of a step are within the quota that the policy gives its
    /// queue.
    pub(super) fn is_within_quota(&self, key: StepKey, tasks: u32) -> bool {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let Some(quota) = job.decision.quota else {
            return true;
        };
        let held = self.queue_millicores(&job.queue.name);
        held + u64::from(tasks) * step.step().room().millicores <= quota
    }

    /// The processors that the runs of a queue hold, in millicores.
    pub(super) fn queue_millicores(&self, queue: &str) -> u64 {
        self.held_millicores.get(queue).copied().unwrap_or_default()
    }

    /// The tasks that may be started: those that neither run nor are done, and those of which a
    /// speculative run should be started.
    pub(super) fn waiting_tasks(&self, key: StepKey, now: Millis) -> impl Iterator<Item = u32> {
        let step = &self.steps[key];
        // Most steps with open tasks have all of them running.
        let has_none = step.idle == 0 && !step.step().copies;
        let first = match has_none {
            true => step.tasks.len(),
            false => step.first_open as usize,
        };
        let tasks = step.tasks.iter().enumerate().skip(first);
        tasks
            .filter(move |(_, task)| !task.done && task.paused_until <= now)
            .filter(move |(_, task)| {
                task.runs.is_empty() || self.needs_speculative_run(key, &task.runs)
            })
            .filter(|(_, task)| task.losses_allow_start())
            .map(|(index, _)| index as u32)
    }

    /// Returns whether a second, speculative run of a task should be started beside a slow one.
    fn needs_speculative_run(&self, key: StepKey, runs: &[RunKey]) -> bool {
        let [only] = runs else {
            return false;
        };
        self.steps[key].step().copies && self.runs[*only].progress.slow
    }
}
