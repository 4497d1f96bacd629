//! Taking in what a worker tells when it is looked at.

use std::collections::BTreeSet;

use crate::cell::crash::LossKey;
use crate::cell::job::{Phase, Run};
use crate::cell::life::FormerLives;
use crate::cell::membership::LostBy;
use crate::cell::name::TaskName;
use crate::cell::order::{
    EndEntry, EndKind, PollFailure, PollOrder, PollReport, Refusal, RunningEntry,
};
use crate::cell::worker::Worker;
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Takes in what a look brought.
    pub fn look_answered(&mut self, order: &PollOrder, look: &PollReport, now: Millis) {
        let key = order.to.worker;
        let heard = self.next_sequence();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if order.sequence < worker.last_poll {
            // A later look was answered first; whatever matters here is told again.
            return;
        }
        if self.detect_other_life(order, look, now) {
            return;
        }
        let worker = &mut self.workers[key];
        // Of two lists that were on their way at once either may be the older one: it must
        // neither bring back a run that has ended nor hide work that waits for its job.
        let newest = worker.last_answer < order.sequence;
        if newest {
            worker.clear_listed_state();
        }
        worker.last_poll = order.sequence;
        worker.forgotten_end = worker.forgotten_end.max(order.forget);
        worker.last_answer = heard;
        worker.last_heard = now;
        worker.silent_since = None;
        worker.clock = Some((look.clock, now));
        let first = !worker.fenced;
        worker.fenced = true;
        self.clear_survived_losses(key, order.sequence);
        let worker = &mut self.workers[key];
        if first {
            self.counts.unread_ends += u64::from(has_discarded_ends(worker, look));
            worker.lease_end = 0;
            if may_have_former_life_lease(worker, look) {
                worker.assume_longest_lease(now);
            }
            // A former owner may have renewed the lease just now: without this a task was
            // started again 0.4 s before its first run could be over.
            worker.extend_lease(now, tuning::LEASE);
            tracing::debug!(
                worker = %worker.entry.life,
                epoch = order.to.epoch,
                running = look.running.len(),
                ended = look.ended.len(),
                "worker answers under our epoch"
            );
            self.end_other_lives(key, order.sequence, now);
        }
        self.process_ends(key, &look.ended, now);
        let listed = self.process_running(order, look, newest, now);
        let worker = &mut self.workers[key];
        worker.listed_whole |= newest && !worker.more_ends && worker.unread_jobs.is_empty();
        self.remove_unlisted(key, order, look.clock, &listed, now);
        self.unpark_unless_idle(key, now);
    }

    /// A look brought nothing.
    pub fn look_failed(&mut self, key: WorkerKey, failure: PollFailure, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        match failure {
            PollFailure::Refused(Refusal::Gone) => {
                self.lose_worker(key, now, LostBy::OtherLife);
            }
            PollFailure::Refused(Refusal::Busy) => {}
            PollFailure::Refused(_) | PollFailure::Unanswered => {
                if !worker.is_silent() {
                    tracing::info!(
                        worker = worker.entry.life.id,
                        heard_ms_ago = now.saturating_sub(worker.last_heard),
                        ?failure,
                        "worker does not answer"
                    );
                }
                worker.mark_silent(now);
            }
        }
    }

    /// Takes in the ends of all jobs that are known.
    ///
    /// What a worker forgets must be recorded, so it forgets nothing from the first end on that
    /// belongs to a job which was not read yet.  Ends behind that one count all the same: their
    /// runs are not listed as running any more, and their tasks would be started again.  While
    /// four in ten partitions of jobs were away, 490 tasks a day were.
    pub(super) fn process_ends(&mut self, key: WorkerKey, ends: &[EndEntry], now: Millis) {
        let mut held: Option<&EndEntry> = None;
        for end in ends {
            if self.is_unread(end.task) {
                self.workers[key].unread_jobs.insert(end.task.step.job);
                held = held.or(Some(end));
            } else if self.workers[key].accept_end(end.place) {
                self.process_end(key, end, now);
            }
        }
        let forgettable = match held {
            Some(first) => Some(first.place.saturating_sub(1)),
            None => ends.last().map(|last| last.place),
        };
        let worker = &mut self.workers[key];
        worker.holds_ends |= held.is_some();
        worker.more_ends |= ends.len() >= tuning::MAX_ENDS_LISTED;
        worker.accept_ends_up_to(forgettable.unwrap_or_default());
        match held {
            Some(first) if worker.held_end != first.place => {
                worker.held_end = first.place;
                self.log_held_ends(key, first, ends.len());
            }
            _ => {}
        }
    }

    /// Logs once for each end, and not for each look, what holds others back.
    fn log_held_ends(&self, key: WorkerKey, first: &EndEntry, listed: usize) {
        tracing::info!(
            worker = self.workers[key].entry.life.id,
            request = %first.task.step.job,
            task = %first.task,
            run = first.number,
            listed,
            "an end waits for its job to be read"
        );
    }

    /// Tells whether a task may be one of ours that is not known yet: the row of its job could
    /// not be read, or by our time of day its time has not come, as it had by a former
    /// owner's.
    fn is_unread(&self, task: TaskName) -> bool {
        let id = task.step.job;
        let Some(job) = self.job_ids.get(&id).and_then(|&key| self.jobs.get(key)) else {
            return self.has_unread_jobs && !self.knows_job(id);
        };
        let time = task.step.time;
        let comes = job
            .spec
            .schedule
            .is_some_and(|schedule| time < schedule.times);
        comes && !job.state.is_final() && !job.occurrences.contains_key(&time)
    }

    fn process_end(&mut self, key: WorkerKey, end: &EndEntry, now: Millis) {
        if matches!(end.how, EndKind::Done | EndKind::Failed) {
            self.note_unrecorded_end(key, end);
        }
        if let Some(run) = self.find_run(key, end.task, end.number) {
            self.run_ended(run, end, now);
            return;
        }
        let Some(step_key) = self.find_step(end.task) else {
            return;
        };
        self.process_unknown_end(step_key, end, now);
    }

    /// An end of a run that a former owner started, or that was written off.
    fn process_unknown_end(&mut self, step_key: crate::cell::StepKey, end: &EndEntry, now: Millis) {
        let job_key = self.steps[step_key].job;
        if self.jobs[job_key].state.is_final() {
            return;
        }
        let index = end.task.index;
        if !end.saved.is_empty() && self.steps[step_key].tasks[index as usize].runs.is_empty() {
            self.save_progress(step_key, index, &end.saved);
            self.jobs[job_key].dirty = true;
        }
        match end.how {
            EndKind::Done => {
                self.mark_job_running(job_key);
                self.task_done(step_key, index, end.number, now);
            }
            EndKind::Failed => self.count_inherited_failure(step_key, end, now),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// Takes in what runs, and returns which runs of ours that is.
    fn process_running(
        &mut self,
        order: &PollOrder,
        look: &PollReport,
        newest: bool,
        now: Millis,
    ) -> BTreeSet<RunKey> {
        let key = order.to.worker;
        let mut listed: BTreeSet<RunKey> = BTreeSet::new();
        let mut strangers = 0;
        for entry in &look.running {
            let known = self.find_run(key, entry.task, entry.number);
            if known.is_none() && !newest {
                // It may have ended since; if it has not, the next list shows it.
                continue;
            }
            match known.or_else(|| self.adopt(key, entry, now)) {
                Some(run) => {
                    listed.insert(run);
                    self.clear_stale_stop_confirmation(run, order);
                    self.update_progress(run, entry, look.clock, now);
                }
                None => {
                    strangers += 1;
                    self.stop_unknown_run(key, entry.task, entry.number);
                }
            }
        }
        if newest {
            self.workers[key].unknown_runs = strangers;
        }
        listed
    }

    /// Stops a run that no job of ours accounts for; while some jobs could not be
    /// read it may belong to one of them.  One that has ended is known by its end alone.
    fn stop_unknown_run(&mut self, worker: WorkerKey, task: TaskName, number: u64) {
        if self.is_unread(task) {
            let worker = &mut self.workers[worker];
            worker.unread_jobs.insert(task.step.job);
            worker.has_unread_runs = true;
            return;
        }
        tracing::info!(
            request = %task.step.job,
            %task,
            run = number,
            worker = self.workers[worker].entry.life.id,
            "a run that is not ours is stopped"
        );
        self.order_stop(worker, None, task, number);
    }

    /// What a worker lists long after it has confirmed a stop outweighs that: the run goes
    /// on, so the stop is repeated as if it had not been confirmed.
    fn clear_stale_stop_confirmation(&mut self, key: RunKey, order: &PollOrder) {
        if let Some(stop) = &mut self.runs[key].stop
            && stop.sent + tuning::MAX_STOP_TIME < order.sent
        {
            stop.confirmed = stop.confirmed.filter(|&heard| heard >= order.sequence);
        }
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
        let trial = self.needs_trial(step_key, entry.task.index);
        let room = step.step().room();
        if !room.fits(&self.workers[worker].free()) {
            self.counts.violations += 1;
            tracing::error!(task = %entry.task, "a former owner's run does not fit");
        }
        self.counts.adopted += 1;
        tracing::info!(request = %entry.task.step.job, task = %entry.task, run = entry.number, worker = self.workers[worker].entry.life.id, "run taken over");
        self.mark_job_running(job_key);
        Some(self.add_run(Run {
            step: step_key,
            index: entry.task.index,
            worker,
            sent_to: worker,
            number: entry.number,
            phase: Phase::Running,
            began_at: now,
            start_heard: Some(self.workers[worker].last_answer),
            doubt_heard: None,
            crash_is_evidence: false,
            expires: 0,
            restored: false,
            progress: Default::default(),
            stop: None,
            trial,
            proven: false,
        }))
    }

    fn update_progress(&mut self, key: RunKey, entry: &RunningEntry, clock: Millis, now: Millis) {
        self.note_survival(key);
        let run = &mut self.runs[key];
        run.confirm_started(self.workers[run.worker].last_answer, now);
        run.note_progress(entry.percent, clock, now);
        let (step, index) = (run.step, run.index);
        if !entry.saved.is_empty() && self.steps[step].tasks[index as usize].saved != entry.saved {
            self.save_progress(step, index, &entry.saved);
        }
        self.mark_job_running(self.steps[step].job);
        self.clear_losses_by_age(key, now);
        self.detect_slow_run(key, now);
    }

    /// Runs that the worker does not list are over if the list is later than their beginning
    /// or their stop took effect there: its look was sent after that was heard.
    fn remove_unlisted(
        &mut self,
        key: WorkerKey,
        order: &PollOrder,
        clock: Millis,
        listed: &BTreeSet<RunKey>,
        now: Millis,
    ) {
        let (sent, forgotten) = (order.sequence, order.forget);
        if self.workers[key].more_ends {
            // It may have ended, among those ends that are not listed yet.
            return;
        }
        let unlisted: Vec<RunKey> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !listed.contains(run))
            .collect();
        for run_key in unlisted {
            let run = &self.runs[run_key];
            let is_inherited = run.sent_to != key;
            let over = match run.phase {
                // It refuses by now what was meant for the former life.
                _ if is_inherited => self.workers[key].quarantined_until <= now,
                Phase::Planned | Phase::Sent => false,
                Phase::Running => run.start_heard.is_some_and(|heard| heard < sent),
                Phase::Doubtful => {
                    let barred = run.stop.and_then(|stop| stop.confirmed);
                    barred.is_some_and(|heard| heard < sent)
                        || clock > run.expires + tuning::LEASE_MARGIN
                }
            };
            if !over {
                continue;
            }
            let (step, index) = (run.step, run.index);
            let task = self.steps[step].task_name(index);
            let worker = &self.workers[key];
            tracing::info!(request = %task.step.job, %task, run = run.number, phase = ?run.phase, worker = %worker.entry.life, clock, ends = worker.seen_end, forgotten, "run is not there");
            let place = LossKey::of(run);
            self.remove_run(run_key);
            if !is_inherited {
                // Its life goes on without it.
                self.forget_loss(place);
            }
            self.start_not_found(run_key, now);
            self.stop_gang(step, now, "a member of the gang is not there");
        }
    }
}

/// Tells whether a life may have a lease that was meant for the clock of a former one, of this owner
/// or another: a late start gives it, also one that is refused.
fn may_have_former_life_lease(worker: &Worker, look: &PollReport) -> bool {
    let is_young = look.born.is_some() && look.clock <= FormerLives::RELEVANT_FOR;
    is_young || worker.former.epoch_offset() > 0
}

/// Tells whether a life that has not answered before has forgotten ends: they are numbered from one.
fn has_discarded_ends(worker: &Worker, look: &PollReport) -> bool {
    let is_next = |end: &EndEntry| end.place <= worker.seen_end + 1;
    let missing = worker.former.epoch_offset() > 0 && !look.ended.first().is_none_or(is_next);
    if missing {
        tracing::error!(worker = %worker.entry.life, first = look.ended[0].place, "a worker has forgotten ends that nobody has read");
    }
    missing
}
