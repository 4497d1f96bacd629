//! Starts of tasks: the rules that each start must keep, and the orders that are sent.

use std::sync::Arc;

use crate::cell::job::{Phase, Run};
use crate::cell::order::{Order, StartOrder};
use crate::cell::round::Round;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// Where and how a task is to be started.
pub(super) struct Placement {
    pub(super) worker: WorkerKey,
    /// The run number that all members of a gang share; `None` to assign a new one.
    pub(super) number: Option<u64>,
    /// It is a trial: it runs isolated, since its task may crash its worker.
    pub(super) trial: bool,
}

/// A start that was ordered or planned, for the log.
pub(super) struct OrderedStart {
    index: u32,
    run: u64,
    worker: WorkerKey,
    free_millicores: u64,
    heard_ms_ago: Millis,
    /// The slowdown of the worker.
    slowdown: f64,
    /// The start is recorded before it is sent.
    is_planned: bool,
}

impl Cell {
    pub(super) fn next_run_number(&mut self) -> u64 {
        self.last_run_number += 1;
        self.last_run_number
    }

    /// Orders a start, or has it recorded first, after checking once more that it breaks no rule.
    /// Returns `None` if it breaks one, or if the clock of the worker is not known.
    pub(super) fn start(
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
            sent_at: 0,
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
            slowdown: self.slowdown(worker_key),
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
        run.sent_at = now;
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
        self.start_pace.note_sent(key, now);
        self.orders.push(Order::Start(order));
    }

    /// Logs all starts of a step in one line.  With one line for each start, a busy owner wrote 90
    /// KB of log a second, and entries older than two seconds were lost.
    ///
    /// `speed` tells which workers the step prefers.  A start on a worker outside the dead band shows
    /// the slowdown, which tells whether the preference was met.
    pub(super) fn log_starts(&self, key: StepKey, started: &[OrderedStart], round: &Round) {
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
            let speed = match start.slowdown {
                1.0 => String::new(),
                slowdown => format!(" slowdown {slowdown:.2}"),
            };
            format!(
                "{}:{}@{worker} {free} {heard}{speed}{first}",
                start.index, start.run
            )
        });
        let texts: Vec<String> = texts.collect();
        tracing::info!(
            request = %job.id,
            step = %step.name,
            predates = job.predates_ownership,
            known_ms = round.now.saturating_sub(job.accepted_at),
            speed = self.speed_preference_text(key, round),
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
