//! Deciding which waiting task starts where.

use std::sync::Arc;

use crate::cell::job::{Phase, Run, StepRun, Task};
use crate::cell::order::{Order, StartOrder};
use crate::cell::round::Round;
use crate::cell::view::WaitReason;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// Where a task may go, with the room that is left for more of its step.
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerKey,
    fit: u32,
    score: u64,
}

/// Where and how a task is to start.
struct Placement {
    worker: WorkerKey,
    /// The number that all members of a gang share; none to draw one.
    number: Option<u64>,
    /// It is tried by itself.
    trial: bool,
}

/// A start that was ordered, for the log.
struct OrderedStart {
    index: u32,
    run: u64,
    worker: WorkerKey,
    free_millicores: u64,
    heard_ms_ago: Millis,
    /// It is recorded before it is sent.
    is_planned: bool,
}

impl Cell {
    /// Starts what can start now and asks about what lacks tickets.
    pub fn schedule(&mut self, now: Millis) {
        self.update_unknown_usage(now);
        // A start that is dropped now waits again, so that is done before it is asked what waits.
        self.send_planned_starts(now);
        let mut order: Vec<(u32, Millis, usize, StepKey)> = Vec::new();
        let awaiting_poll = self.jobs_awaiting_poll();
        for (place, &key) in self.open_steps.iter().enumerate() {
            let step = &self.steps[key];
            if !step.ready {
                continue;
            }
            let job = &self.jobs[step.job];
            if !job.queue_configured || self.is_unsettled(step, &awaiting_poll) {
                continue;
            }
            // Of most steps all tasks run, and a rank takes a look at the whole job.
            if self.waiting_tasks(key, now).next().is_none() {
                continue;
            }
            let rank = self.rank(key, now);
            order.push((job.ordering.priority, rank, place, key));
        }
        order.sort_unstable();
        let mut round = Round::new(now);
        for (priority, .., key) in order {
            if let Some((reason, tasks)) = self.schedule_step(key, &mut round) {
                round.record_wait(priority, reason, tasks);
            }
        }
        self.counts.places += round.candidates_examined;
        self.waiting = round.waiting;
    }

    /// Starts what can start of a step, and tells what keeps the rest of its tasks waiting.
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
        let mut places = self.placement_candidates(key, round);
        let doubted = self.is_step_suspect(key);
        let mut planned_starts_left = self.planned_starts_left(key);
        for index in waiting {
            limit = self.exceeded_limit(key, 1);
            if limit.is_some() {
                break;
            }
            let task = &self.steps[key].tasks[index as usize];
            let trial = doubted || task.is_suspect();
            let worker = if trial {
                self.trial_worker(key, index, &places, round.now)
            } else {
                best_worker(&places, task.avoid)
            };
            let Some(worker) = worker else {
                if trial {
                    continue;
                }
                break;
            };
            if self.is_recorded_first(key, index) {
                if planned_starts_left == 0 {
                    continue;
                }
                planned_starts_left -= 1;
            }
            let place = Placement {
                worker,
                number: None,
                trial,
            };
            started.extend(self.start(key, index, place, round));
            self.refresh_candidate(&mut places, key, worker, round);
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

    /// So many tasks of a step found no place: asks about more workers, keeps room that comes free, and
    /// wakes parked workers.
    fn request_capacity(&mut self, key: StepKey, tasks: u32, round: &mut Round) {
        let (now, step) = (round.now, &self.steps[key]);
        let whole = match step.step().gang {
            true => step.tasks.len() as u32,
            false => tasks,
        };
        if self.jobs[step.job].queue.advice.is_none() {
            self.unpark_for_step(key, whole, now);
        }
        self.request_advice(key, tasks, round);
        self.reserve(key, whole, round);
    }

    /// What a step lacks that no limit holds back: tickets, or room where it may run.
    fn placement_wait_reason(&self, key: StepKey, now: Millis) -> WaitReason {
        let step = &self.steps[key];
        let asks = self.jobs[step.job].queue.advice.is_some();
        let mut ticketed = step.advice.tickets.keys();
        match asks && !ticketed.any(|&worker| self.has_valid_ticket(key, worker, now)) {
            true => WaitReason::Advice,
            false => WaitReason::NoRoom,
        }
    }

    /// Which limit keeps so many more tasks of a step from starting, if one does.
    pub(super) fn exceeded_limit(&self, key: StepKey, tasks: u32) -> Option<WaitReason> {
        if !self.is_within_quota(key, tasks) {
            return Some(WaitReason::Quota);
        }
        (!self.is_within_cap(key, tasks)).then_some(WaitReason::Cap)
    }

    /// Tells whether the policy lets the step's queue hold so many more tasks of it.
    fn is_within_quota(&self, key: StepKey, tasks: u32) -> bool {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let Some(quota) = job.ordering.quota else {
            return true;
        };
        let held = self
            .held_millicores
            .get(&job.queue.name)
            .copied()
            .unwrap_or_default();
        held + u64::from(tasks) * step.step().room().millicores <= quota
    }

    /// The tasks that neither run nor are done, and those of which a copy should run.
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

    /// Tells whether a second copy of a task should run beside a slow one.
    fn needs_speculative_run(&self, key: StepKey, runs: &[RunKey]) -> bool {
        let [only] = runs else {
            return false;
        };
        self.steps[key].step().copies && self.runs[*only].progress.slow
    }

    /// How many tasks of the step a worker holds; zero if it may hold any number of them, since
    /// counting goes over all that runs there.
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

    /// The places where a task of the step could start now.
    pub(super) fn placement_candidates(
        &self,
        key: StepKey,
        round: &mut Round,
    ) -> Vec<PlacementCandidate> {
        let step = &self.steps[key];
        let queue = &self.jobs[step.job].queue;
        let spec = step.step();
        let mut places = Vec::new();
        if queue.advice.is_some() {
            for (&worker, ticket) in &step.advice.tickets {
                if ticket.expires > round.now + tuning::TICKET_MARGIN {
                    places.extend(self.placement_candidate(
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
                places.extend(self.placement_candidate(key, step, worker, &queue.service, round));
            }
        }
        places.sort_unstable_by_key(|place| (place.score, place.worker));
        debug_assert!(places.iter().all(|place| place.fit > 0), "{spec:?}");
        places
    }

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
        let here = self.tasks_on_worker(key, worker_key);
        let fit = worker.fit(spec, here);
        let fit = self.unreserved_fit(spec, worker_key, fit, round);
        (fit > 0).then(|| PlacementCandidate {
            worker: worker_key,
            fit,
            score: self.score(step, worker_key),
        })
    }

    /// Lower is better: tightest fit, but lasting tasks and fillers spread out; the
    /// rack where the data lies goes first, workers that are not listed go last.
    fn score(&self, step: &StepRun, key: WorkerKey) -> u64 {
        let spec = step.step();
        let worker = &self.workers[key];
        let free = worker.free();
        let far = match &spec.near {
            Some(rack) if worker.entry.rack.as_ref() != Some(rack) => 1_000_000_000,
            _ => 0,
        };
        // It may leave without a word, or its entry may come back.
        let doubtful = match worker.unlisted_since {
            Some(_) => 10_000_000_000,
            None => 0,
        };
        let spread = spec.lasting || spec.filler || self.jobs[step.job].ordering.spread;
        let left = free.millicores.saturating_sub(spec.room().millicores);
        doubtful
            + far
            + if spread {
                100_000_000 - left.min(100_000_000)
            } else {
                left
            }
    }

    /// A start changes nothing but the place that it takes, so the others are not looked at anew
    /// for each task of a step.
    fn refresh_candidate(
        &self,
        places: &mut Vec<PlacementCandidate>,
        key: StepKey,
        worker: WorkerKey,
        round: &mut Round,
    ) {
        places.retain(|place| place.worker != worker);
        let step = &self.steps[key];
        let service = &self.jobs[step.job].queue.service;
        if let Some(place) = self.placement_candidate(key, step, worker, service, round) {
            let order = |place: &PlacementCandidate| (place.score, place.worker);
            let at = places.partition_point(|other| order(other) < order(&place));
            places.insert(at, place);
        }
    }

    /// Starts all members of a gang, or none.
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
        let mut places = self.placement_candidates(key, round);
        let trial = self.is_step_suspect(key) || self.steps[key].tasks.iter().any(Task::is_suspect);
        if trial {
            places.retain(|place| self.has_no_recent_start(place.worker, key, round.now));
        }
        let Some(chosen) = self.gang_workers(key, &places, size) else {
            let ticketed: u32 = places.iter().map(|place| place.fit).sum();
            let missing = (size as u32).saturating_sub(ticketed);
            self.request_capacity(key, missing, round);
            return Some((self.placement_wait_reason(key, round.now), size));
        };
        let number = self.next_run_number();
        let mut started = Vec::new();
        for (index, worker) in chosen.into_iter().enumerate() {
            let place = Placement {
                worker,
                number: Some(number),
                trial,
            };
            started.extend(self.start(key, index as u32, place, round));
        }
        self.log_starts(key, &started, round.now);
        None
    }

    /// Finds places for all members, within one rack if that is wanted and possible.
    fn gang_workers(
        &self,
        key: StepKey,
        places: &[PlacementCandidate],
        size: usize,
    ) -> Option<Vec<WorkerKey>> {
        let expand =
            |places: &mut dyn Iterator<Item = &PlacementCandidate>| -> Option<Vec<WorkerKey>> {
                let mut chosen = Vec::with_capacity(size);
                for place in places {
                    for _ in 0..place.fit.min((size - chosen.len()) as u32) {
                        chosen.push(place.worker);
                    }
                }
                (chosen.len() == size).then_some(chosen)
            };
        if self.steps[key].step().same_rack {
            let mut racks: Vec<&Option<String>> = Vec::new();
            for place in places {
                let rack = &self.workers[place.worker].entry.rack;
                if !racks.contains(&rack) {
                    racks.push(rack);
                }
            }
            for rack in racks {
                let mut within = places
                    .iter()
                    .filter(|place| &self.workers[place.worker].entry.rack == rack);
                if let Some(chosen) = expand(&mut within) {
                    return Some(chosen);
                }
            }
        }
        expand(&mut places.iter())
    }

    fn next_run_number(&mut self) -> u64 {
        self.last_run_number += 1;
        self.last_run_number
    }

    /// Orders a start, after checking once more that it breaks no rule; or has it recorded first.
    fn start(
        &mut self,
        key: StepKey,
        index: u32,
        place: Placement,
        round: &mut Round,
    ) -> Option<OrderedStart> {
        let (now, worker_key) = (round.now, place.worker);
        round.forecasts.remove(worker_key);
        let number = place.number.unwrap_or_else(|| self.next_run_number());
        self.workers[worker_key].clock?;
        if let Err(rule) = self.check_start(key, index, worker_key) {
            self.counts.violations += 1;
            tracing::error!(task = %self.steps[key].task_name(index), rule, "start withheld");
            return None;
        }
        let is_planned = self.is_recorded_first(key, index);
        let run = self.add_run(Run {
            step: key,
            index,
            worker: worker_key,
            sent_to: worker_key,
            number,
            phase: Phase::Planned,
            began_at: 0,
            start_heard: None,
            doubt_heard: None,
            crash_is_evidence: false,
            expires: 0,
            restored: !self.steps[key].tasks[index as usize].saved.is_empty(),
            progress: Default::default(),
            stop: None,
            trial: place.trial,
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

    /// Orders the start of a run that has its place.
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
        let saved = step.tasks[index as usize].saved.clone();
        let run = &mut self.runs[key];
        run.phase = Phase::Sent;
        run.expires = due;
        run.crash_is_evidence = crash_is_evidence;
        run.restored = !saved.is_empty();
        let order = StartOrder {
            to,
            run: key,
            task: step.task_name(index),
            number: run.number,
            text: Arc::clone(&self.jobs[step.job].text),
            due,
            ticket: ticket.map(|ticket| ticket.text.clone()),
            saved,
        };
        self.counts.starts += 1;
        self.orders.push(Order::Start(order));
    }

    /// Logs the starts of a step as one line: with a line for each, a busy owner wrote 90 KB
    /// a second, and what it had logged two seconds before was lost.
    fn log_starts(&self, key: StepKey, started: &[OrderedStart], now: Millis) {
        if started.is_empty() {
            return;
        }
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let texts = started.iter().map(|one| {
            let worker = &self.workers[one.worker].entry.life.id;
            let (free, heard) = (one.free_millicores, one.heard_ms_ago);
            let first = if one.is_planned {
                " recorded first"
            } else {
                ""
            };
            format!("{}:{}@{worker} {free} {heard}{first}", one.index, one.run)
        });
        let texts: Vec<String> = texts.collect();
        tracing::info!(
            request = %job.id,
            step = %step.name,
            predates = job.predates,
            known_ms = now.saturating_sub(job.accepted_at),
            starts = texts.join(", "),
            "starts ordered"
        );
    }

    /// The rules that no start may break, whatever was decided.
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

/// The best place, but the one to avoid only if there is no other.
fn best_worker(places: &[PlacementCandidate], avoid: Option<WorkerKey>) -> Option<WorkerKey> {
    places
        .iter()
        .find(|place| Some(place.worker) != avoid)
        .or(places.first())
        .map(|place| place.worker)
}
