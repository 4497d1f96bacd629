//! Taking in what a worker tells when it is looked at.

use std::collections::HashSet;

use crate::cell::job::{Phase, Run};
use crate::cell::name::TaskName;
use crate::cell::order::{EndEntry, EndKind, Look, LookFailure, Refusal, RunningEntry};
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Takes in a look that was sent at `sent`.
    pub fn looked(&mut self, key: WorkerKey, sent: Millis, look: &Look, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if sent < worker.looked {
            // A later look was answered first; whatever matters here is told again.
            return;
        }
        worker.looked = sent;
        worker.heard = now;
        worker.silent_since = None;
        worker.clock = Some((look.clock, now));
        let first = !worker.fenced;
        worker.fenced = true;
        if first {
            // A former owner may have renewed its lease until just now.
            worker.lease_sent(now, tuning::LEASE);
            tracing::info!(
                worker = worker.entry.id,
                epoch = self.epoch,
                running = look.running.len(),
                ended = look.ended.len(),
                "worker answers under our epoch"
            );
        }
        self.take_ends(key, &look.ended, now);
        self.take_running(key, sent, look, now);
    }

    /// A look brought nothing.
    pub fn look_failed(&mut self, key: WorkerKey, failure: LookFailure, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        match failure {
            LookFailure::Refused(Refusal::Gone) => {
                self.lose_worker(key, now, "another life answers");
            }
            LookFailure::Refused(_) | LookFailure::Unanswered => {
                if !worker.is_silent() {
                    tracing::info!(
                        worker = worker.entry.id,
                        heard_ms_ago = now.saturating_sub(worker.heard),
                        ?failure,
                        "worker does not answer"
                    );
                }
                worker.fall_silent(now);
            }
        }
    }

    /// Takes in ends up to the first that may belong to a job whose row was not read yet:
    /// what is taken in is forgotten by the worker, and the task would run again.
    fn take_ends(&mut self, key: WorkerKey, ends: &[EndEntry], now: Millis) {
        let held_before = std::mem::take(&mut self.workers[key].holds_ends);
        for (place, end) in ends.iter().enumerate() {
            if self.incomplete && !self.knows(end.task.step.job) {
                self.workers[key].holds_ends = true;
                if !held_before {
                    self.log_held_ends(key, &ends[place..]);
                }
                return;
            }
            self.take_end(key, end, now);
        }
    }

    /// Logs once for each time of waiting, and not for each look, what is held back.
    fn log_held_ends(&self, key: WorkerKey, held: &[EndEntry]) {
        let known = held.iter().filter(|end| self.knows(end.task.step.job));
        tracing::info!(
            worker = self.workers[key].entry.id,
            task = %held[0].task,
            run = held[0].number,
            held = held.len(),
            of_known_jobs = known.count(),
            "ends wait for a job to be read"
        );
    }

    fn take_end(&mut self, key: WorkerKey, end: &EndEntry, now: Millis) {
        if end.place <= self.workers[key].seen_end {
            return;
        }
        self.workers[key].seen_end = end.place;
        if let Some(run) = self.find_run(key, end.task, end.number) {
            self.run_ended(run, end, now);
            return;
        }
        let Some(step_key) = self.find_step(end.task) else {
            return;
        };
        self.take_unknown_end(step_key, end, now);
    }

    /// An end of a run that a former owner started, or that was written off.
    fn take_unknown_end(&mut self, step_key: crate::cell::StepKey, end: &EndEntry, now: Millis) {
        let job_key = self.steps[step_key].job;
        if self.jobs[job_key].state.is_final() {
            return;
        }
        let index = end.task.index;
        if !end.saved.is_empty() && self.steps[step_key].tasks[index as usize].runs.is_empty() {
            self.save_progress(step_key, index, &end.saved);
        }
        match end.how {
            EndKind::Done => {
                self.job_begins(job_key);
                self.task_done(step_key, index, end.number, now);
            }
            EndKind::Failed => self.count_former_failure(step_key, end, now),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    fn take_running(&mut self, key: WorkerKey, sent: Millis, look: &Look, now: Millis) {
        let mut listed: HashSet<RunKey> = HashSet::with_capacity(look.running.len());
        let mut strangers = 0;
        for entry in &look.running {
            let known = self.find_run(key, entry.task, entry.number);
            match known.or_else(|| self.adopt(key, entry, now)) {
                Some(run) => {
                    listed.insert(run);
                    self.take_progress(run, entry, look.clock, now);
                }
                None => {
                    strangers += 1;
                    self.stop_stranger(key, entry.task, entry.number);
                }
            }
        }
        self.workers[key].strangers = strangers;
        self.remove_unlisted(key, sent, look.clock, &listed, now);
    }

    /// Stops a run that no job of ours accounts for; while some jobs could not be
    /// read it may belong to one of them.
    fn stop_stranger(&mut self, worker: WorkerKey, task: TaskName, number: u64) {
        if self.incomplete && !self.job_ids.contains_key(&task.step.job) {
            return;
        }
        tracing::info!(
            request = %task.step.job,
            %task,
            run = number,
            worker = self.workers[worker].entry.id,
            "a run that is not ours is stopped"
        );
        self.order_stop(worker, None, task, number);
    }

    /// Takes over a run that a former owner started.
    fn adopt(&mut self, worker: WorkerKey, entry: &RunningEntry, now: Millis) -> Option<RunKey> {
        let step_key = self.find_step(entry.task)?;
        let step = &self.steps[step_key];
        let job_key = step.job;
        let task = &step.tasks[entry.task.index as usize];
        let free = task.runs.is_empty() || step.step().copies;
        if self.jobs[job_key].state.is_final() || task.done || !free {
            return None;
        }
        let room = step.step().room();
        if !room.fits(&self.workers[worker].free()) {
            self.counts.violations += 1;
            tracing::error!(task = %entry.task, "a former owner's run does not fit");
        }
        self.counts.adopted += 1;
        tracing::info!(request = %entry.task.step.job, task = %entry.task, run = entry.number, worker = self.workers[worker].entry.id, "run taken over");
        self.job_begins(job_key);
        Some(self.add_run(Run {
            step: step_key,
            index: entry.task.index,
            worker,
            number: entry.number,
            phase: Phase::Running,
            answered: now,
            expires: 0,
            restored: false,
            progress: Default::default(),
            stop: None,
        }))
    }

    fn take_progress(&mut self, key: RunKey, entry: &RunningEntry, clock: Millis, now: Millis) {
        let run = &mut self.runs[key];
        run.phase = Phase::Running;
        run.note_progress(entry.percent, clock, now);
        let (step, index) = (run.step, run.index);
        if !entry.saved.is_empty() && self.steps[step].tasks[index as usize].saved != entry.saved {
            self.save_progress(step, index, &entry.saved);
        }
        self.job_begins(self.steps[step].job);
        self.judge_progress(key, now);
    }

    /// Runs that the worker does not list are over, unless their start may be on its way.
    fn remove_unlisted(
        &mut self,
        key: WorkerKey,
        sent: Millis,
        clock: Millis,
        listed: &HashSet<RunKey>,
        now: Millis,
    ) {
        let unlisted: Vec<RunKey> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !listed.contains(run))
            .collect();
        for run_key in unlisted {
            let run = &self.runs[run_key];
            let over = match run.phase {
                Phase::Sent => false,
                Phase::Running => run.answered < sent,
                Phase::Doubtful => {
                    let barred = run.stop.and_then(|stop| stop.confirmed);
                    barred.is_some_and(|at| at < sent) || clock > run.expires + tuning::LEASE_MARGIN
                }
            };
            if !over {
                continue;
            }
            let (step, index) = (run.step, run.index);
            let task = self.steps[step].task_name(index);
            tracing::info!(request = %task.step.job, %task, run = run.number, phase = ?run.phase, "run is not there");
            self.remove_run(run_key);
            self.break_gang(step, now, "a member of the gang is not there");
        }
    }
}
