//! Placement: which waiting task starts on which worker.

use std::sync::Arc;

use crate::cell::job::{Phase, Run, StepRun, Task};
use crate::cell::order::{Order, StartOrder};
use crate::cell::round::Round;
use crate::cell::view::WaitReason;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// A worker on which a task of a step can start now.
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerKey,
    /// How many tasks of the step can start there.
    fit: u32,
    /// Lower is better.
    score: u64,
}

/// Where and how a task is to be started.
struct Placement {
    worker: WorkerKey,
    /// The run number that all members of a gang share; `None` to assign a new one.
    number: Option<u64>,
    /// It is a trial: it runs isolated, since its task may crash its worker.
    trial: bool,
}

/// A start that was ordered or planned, for the log.
struct OrderedStart {
    index: u32,
    run: u64,
    worker: WorkerKey,
    free_millicores: u64,
    heard_ms_ago: Millis,
    /// The start is recorded before it is sent.
    is_planned: bool,
}

impl Cell {
    /// Runs one scheduling round: starts the tasks that can start now, and asks the advice service
    /// about steps that lack tickets.
    pub fn schedule(&mut self, now: Millis) {
        self.update_unknown_usage(now);
        // A task whose planned start is dropped here waits again, so this comes before waiting
        // tasks are collected.
        self.send_planned_starts(now);
        let mut order: Vec<(u32, Millis, usize, StepKey)> = Vec::new();
        let awaiting_poll = self.jobs_awaiting_poll();
        for (position, &key) in self.open_steps.iter().enumerate() {
            let step = &self.steps[key];
            if !step.ready {
                continue;
            }
            let job = &self.jobs[step.job];
            if !job.queue_configured || self.is_unsettled(step, &awaiting_poll) {
                continue;
            }
            // Checked before computing the rank, which goes over the whole job, since most steps
            // have no waiting task.
            if self.waiting_tasks(key, now).next().is_none() {
                continue;
            }
            let rank = self.rank(key, now);
            order.push((job.decision.priority, rank, position, key));
        }
        order.sort_unstable();
        let mut round = Round::new(now);
        for (priority, .., key) in order {
            if let Some((reason, tasks)) = self.schedule_step(key, &mut round) {
                round.record_wait(priority, reason, tasks);
            }
        }
        self.counts.candidates_examined += round.candidates_examined;
        self.waiting = round.waiting;
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
        let mut candidates = self.placement_candidates(key, round);
        let is_step_suspect = self.is_step_suspect(key);
        let mut planned_starts_left = None;
        for index in waiting {
            limit = self.exceeded_limit(key, 1);
            if limit.is_some() {
                break;
            }
            let task = &self.steps[key].tasks[index as usize];
            let trial = is_step_suspect || task.is_suspect();
            let worker = if trial {
                self.trial_worker(key, index, &candidates, round.now)
            } else {
                best_worker(&candidates, task.avoid)
            };
            let Some(worker) = worker else {
                if trial {
                    continue;
                }
                break;
            };
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
        self.log_starts(key, &started, round.now);
        if left == 0 {
            return None;
        }
        if limit.is_none() {
            self.request_capacity(key, left, round);
        }
        let reason = limit.unwrap_or_else(|| self.placement_wait_reason(key, round.now));
        Some((reason, left as usize))
    }

    /// Seeks room for so many tasks of a step that could not be placed: wakes parked workers, asks
    /// the advice service about more workers, and reserves room that becomes free.
    fn request_capacity(&mut self, key: StepKey, tasks: u32, round: &mut Round) {
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
    fn placement_wait_reason(&self, key: StepKey, now: Millis) -> WaitReason {
        let step = &self.steps[key];
        let uses_advice = self.jobs[step.job].queue.advice.is_some();
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
    fn is_within_quota(&self, key: StepKey, tasks: u32) -> bool {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let Some(quota) = job.decision.quota else {
            return true;
        };
        let held = self
            .held_millicores
            .get(&job.queue.name)
            .copied()
            .unwrap_or_default();
        held + u64::from(tasks) * step.step().room().millicores <= quota
    }

    /// The tasks that may be started: those that neither run nor are done, and those of which a
    /// speculative run should be started.
    fn waiting_tasks(&self, key: StepKey, now: Millis) -> impl Iterator<Item = u32> {
        let tasks = self.steps[key].tasks.iter().enumerate();
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

    /// How many tasks of a step a worker holds, for steps that limit this.  For others it is zero,
    /// which saves going over all runs of the worker.
    pub(super) fn tasks_on_worker(&self, key: StepKey, worker: WorkerKey) -> u32 {
        if self.steps[key].step().per_worker == 0 {
            return 0;
        }
        self.workers[worker]
            .runs
            .iter()
            .filter(|&&run| self.runs[run].step == key)
            .count() as u32
    }

    /// The workers on which a task of a step could start now, best first.
    pub(super) fn placement_candidates(
        &self,
        key: StepKey,
        round: &mut Round,
    ) -> Vec<PlacementCandidate> {
        let step = &self.steps[key];
        let queue = &self.jobs[step.job].queue;
        let spec = step.step();
        let mut candidates = Vec::new();
        if queue.advice.is_some() {
            for (&worker, ticket) in &step.advice.tickets {
                if ticket.expires > round.now + tuning::TICKET_MARGIN {
                    candidates.extend(self.placement_candidate(
                        key,
                        step,
                        worker,
                        &queue.service,
                        round,
                    ));
                }
            }
        } else {
            for worker in self.workers.keys() {
                candidates.extend(self.placement_candidate(
                    key,
                    step,
                    worker,
                    &queue.service,
                    round,
                ));
            }
        }
        candidates.sort_unstable_by_key(|candidate| (candidate.score, candidate.worker));
        debug_assert!(
            candidates.iter().all(|candidate| candidate.fit > 0),
            "{spec:?}"
        );
        candidates
    }

    /// Returns a worker as a placement candidate for a step, unless none of its tasks can start
    /// there now.
    fn placement_candidate(
        &self,
        key: StepKey,
        step: &StepRun,
        worker_key: WorkerKey,
        service: &str,
        round: &mut Round,
    ) -> Option<PlacementCandidate> {
        round.candidates_examined += 1;
        let worker = self.workers.get(worker_key)?;
        let spec = step.step();
        if !self.takes_work(worker_key, round.now) || !worker.allows(spec, service) {
            return None;
        }
        if self.hosts_trial(worker_key, key) {
            return None;
        }
        let present = self.tasks_on_worker(key, worker_key);
        let fit = worker.fit(spec, present);
        let fit = self.unreserved_fit(spec, worker_key, fit, round);
        (fit > 0).then(|| PlacementCandidate {
            worker: worker_key,
            fit,
            score: self.score(step, worker_key),
        })
    }

    /// The score of a worker for a step; lower is better.  The tightest fit goes first, except that
    /// lasting tasks, fillers and jobs that the policy spreads go to the emptiest worker.  The rack
    /// where the data lies goes before others, and workers that the platform does not list go last.
    fn score(&self, step: &StepRun, key: WorkerKey) -> u64 {
        let spec = step.step();
        let worker = &self.workers[key];
        let free = worker.free();
        let rack_penalty = match &spec.near {
            Some(rack) if worker.entry.rack.as_ref() != Some(rack) => 1_000_000_000,
            _ => 0,
        };
        // It may be leaving without notice, or its entry may come back.
        let unlisted_penalty = match worker.unlisted_since {
            Some(_) => 10_000_000_000,
            None => 0,
        };
        let spread = spec.lasting || spec.filler || self.jobs[step.job].decision.spread;
        let left = free.millicores.saturating_sub(spec.room().millicores);
        unlisted_penalty
            + rack_penalty
            + if spread {
                100_000_000 - left.min(100_000_000)
            } else {
                left
            }
    }

    /// Updates the candidates of a step after one of its tasks was placed on `worker`.  A start
    /// affects that worker only, so the others are not examined again for each task.
    fn refresh_candidate(
        &self,
        candidates: &mut Vec<PlacementCandidate>,
        key: StepKey,
        worker: WorkerKey,
        round: &mut Round,
    ) {
        candidates.retain(|candidate| candidate.worker != worker);
        let step = &self.steps[key];
        let service = &self.jobs[step.job].queue.service;
        if let Some(candidate) = self.placement_candidate(key, step, worker, service, round) {
            let order = |other: &PlacementCandidate| (other.score, other.worker);
            let at = candidates.partition_point(|other| order(other) < order(&candidate));
            candidates.insert(at, candidate);
        }
    }

    /// Starts all members of a gang or none; returns why they wait, and how many.
    fn schedule_gang(
        &mut self,
        key: StepKey,
        waiting: &[u32],
        round: &mut Round,
    ) -> Option<(WaitReason, usize)> {
        let size = self.steps[key].tasks.len();
        if waiting.len() < size {
            return None;
        }
        if let Some(limit) = self.exceeded_limit(key, size as u32) {
            return Some((limit, size));
        }
        let mut candidates = self.placement_candidates(key, round);
        let trial = self.is_step_suspect(key) || self.steps[key].tasks.iter().any(Task::is_suspect);
        if trial {
            candidates
                .retain(|candidate| self.has_no_recent_start(candidate.worker, key, round.now));
        }
        let Some(chosen) = self.gang_workers(key, &candidates, size) else {
            let fit: u32 = candidates.iter().map(|candidate| candidate.fit).sum();
            let missing = (size as u32).saturating_sub(fit);
            self.request_capacity(key, missing, round);
            return Some((self.placement_wait_reason(key, round.now), size));
        };
        let number = self.next_run_number();
        let mut started = Vec::new();
        for (index, worker) in chosen.into_iter().enumerate() {
            let placement = Placement {
                worker,
                number: Some(number),
                trial,
            };
            started.extend(self.start(key, index as u32, placement, round));
        }
        self.log_starts(key, &started, round.now);
        None
    }

    /// Chooses a worker for each member of a gang, all within one rack if the step asks for that
    /// and it is possible.
    fn gang_workers(
        &self,
        key: StepKey,
        candidates: &[PlacementCandidate],
        size: usize,
    ) -> Option<Vec<WorkerKey>> {
        let expand =
            |candidates: &mut dyn Iterator<Item = &PlacementCandidate>| -> Option<Vec<WorkerKey>> {
                let mut chosen = Vec::with_capacity(size);
                for candidate in candidates {
                    for _ in 0..candidate.fit.min((size - chosen.len()) as u32) {
                        chosen.push(candidate.worker);
                    }
                }
                (chosen.len() == size).then_some(chosen)
            };
        if self.steps[key].step().same_rack {
            let mut racks: Vec<&Option<String>> = Vec::new();
            for candidate in candidates {
                let rack = &self.workers[candidate.worker].entry.rack;
                if !racks.contains(&rack) {
                    racks.push(rack);
                }
            }
            for rack in racks {
                let mut within = candidates
                    .iter()
                    .filter(|candidate| &self.workers[candidate.worker].entry.rack == rack);
                if let Some(chosen) = expand(&mut within) {
                    return Some(chosen);
                }
            }
        }
        expand(&mut candidates.iter())
    }

    fn next_run_number(&mut self) -> u64 {
        self.last_run_number += 1;
        self.last_run_number
    }

    /// Orders a start, or has it recorded first, after checking once more that it breaks no rule.
    /// Returns `None` if it breaks one, or if the clock of the worker is not known.
    fn start(
        &mut self,
        key: StepKey,
        index: u32,
        placement: Placement,
        round: &mut Round,
    ) -> Option<OrderedStart> {
        let (now, worker_key) = (round.now, placement.worker);
        round.forecasts.remove(worker_key);
        let number = placement.number.unwrap_or_else(|| self.next_run_number());
        self.workers[worker_key].clock?;
        if let Err(rule) = self.check_start(key, index, worker_key) {
            self.counts.violations += 1;
            tracing::error!(task = %self.steps[key].task_name(index), rule, "start withheld");
            return None;
        }
        let is_planned = self.is_recorded_first(key, index, now);
        let run = self.add_run(Run {
            step: key,
            index,
            worker: worker_key,
            sent_to: worker_key,
            number,
            phase: Phase::Planned,
            decided_at: now,
            began_at: 0,
            start_heard: None,
            doubt_heard: None,
            crash_is_evidence: false,
            expires: 0,
            restored: !self.steps[key].tasks[index as usize].checkpoint.is_empty(),
            progress: Default::default(),
            stop: None,
            trial: placement.trial,
            proven: false,
        });
        if is_planned {
            self.plan_start(run);
        } else {
            self.send_start(run, now);
        }
        let worker = &self.workers[worker_key];
        Some(OrderedStart {
            index,
            run: number,
            worker: worker_key,
            free_millicores: worker.free().millicores,
            heard_ms_ago: now.saturating_sub(worker.last_heard),
            is_planned,
        })
    }

    /// Orders the start of a run that has been added to its worker.
    pub(super) fn send_start(&mut self, key: RunKey, now: Millis) {
        let run = &self.runs[key];
        let (step_key, index, worker_key) = (run.step, run.index, run.worker);
        let Some(clock) = self.workers[worker_key].clock_at(now) else {
            return;
        };
        let due = clock + tuning::START_VALIDITY;
        self.workers[worker_key].extend_lease(now, tuning::START_VALIDITY);
        let to = self.addressee(worker_key);
        let is_trial = self.runs[key].trial;
        let crash_is_evidence = self.workers[worker_key].was_heard_recently(is_trial, now);
        let step = &self.steps[step_key];
        let ticket = step.advice.tickets.get(&worker_key);
        let checkpoint = step.tasks[index as usize].checkpoint.clone();
        let run = &mut self.runs[key];
        run.phase = Phase::Sent;
        run.expires = due;
        run.crash_is_evidence = crash_is_evidence;
        run.restored = !checkpoint.is_empty();
        let order = StartOrder {
            to,
            run: key,
            task: step.task_name(index),
            number: run.number,
            text: Arc::clone(&self.jobs[step.job].text),
            due,
            ticket: ticket.map(|ticket| ticket.text.clone()),
            checkpoint,
        };
        self.counts.starts += 1;
        self.orders.push(Order::Start(order));
    }

    /// Logs all starts of a step in one line.  With one line for each start, a busy owner wrote 90
    /// KB of log a second, and entries older than two seconds were lost.
    fn log_starts(&self, key: StepKey, started: &[OrderedStart], now: Millis) {
        if started.is_empty() {
            return;
        }
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let texts = started.iter().map(|start| {
            let worker = &self.workers[start.worker].entry.life.id;
            let (free, heard) = (start.free_millicores, start.heard_ms_ago);
            let first = if start.is_planned {
                " recorded first"
            } else {
                ""
            };
            format!(
                "{}:{}@{worker} {free} {heard}{first}",
                start.index, start.run
            )
        });
        let texts: Vec<String> = texts.collect();
        tracing::info!(
            request = %job.id,
            step = %step.name,
            predates = job.predates_ownership,
            known_ms = now.saturating_sub(job.accepted_at),
            starts = texts.join(", "),
            "starts ordered"
        );
    }

    /// Checks the rules that every start must keep, independently of how it was chosen; returns the
    /// name of the first one that it breaks.
    fn check_start(&self, key: StepKey, index: u32, worker: WorkerKey) -> Result<(), &'static str> {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let task = &step.tasks[index as usize];
        let worker = &self.workers[worker];
        let attempts = job.queue.attempts.max(1);
        if !step.step().room().fits(&worker.free()) {
            return Err("room");
        }
        if !self.is_within_cap(key, 1) {
            return Err("cap");
        }
        if task.done || (!task.runs.is_empty() && !step.step().copies) {
            return Err("single run");
        }
        if !step.ready || job.state.is_final() {
            return Err("order");
        }
        if task.failed.len() >= attempts as usize && !step.step().lasting {
            return Err("attempts");
        }
        if !worker.allows(step.step(), &job.queue.service) {
            return Err("route");
        }
        Ok(())
    }
}

/// The best worker; the one to avoid is chosen only if there is no other.
fn best_worker(candidates: &[PlacementCandidate], avoid: Option<WorkerKey>) -> Option<WorkerKey> {
    candidates
        .iter()
        .find(|candidate| Some(candidate.worker) != avoid)
        .or(candidates.first())
        .map(|candidate| candidate.worker)
}
