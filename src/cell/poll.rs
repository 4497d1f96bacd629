//! Processes the answers to polls.
//!
//! A poll asks one worker what runs there and what has ended, and renews the lease of everything
//! that runs there. It carries the sequence number at which it was sent, so that its answer can be
//! ordered against what was heard from the worker through other calls: only what was heard before
//! that number is sure to be reflected in the answer.

use std::collections::BTreeSet;

use crate::cell::job::{Phase, Run};
use crate::cell::membership::LostBy;
use crate::cell::name::TaskName;
use crate::cell::order::{
    EndEntry, EndKind, PollFailure, PollOrder, PollReport, Refusal, RunningEntry,
};
use crate::cell::worker::Worker;
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

/// Who has heard the answer to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeardBy {
    /// This owner.
    Owner,
    /// Another node, which has asked on this owner's behalf.
    Witness,
}

impl Cell {
    /// Processes the answer to a poll.
    pub fn poll_answered(&mut self, order: &PollOrder, report: &PollReport, now: Millis) {
        self.process_answer(order, report, HeardBy::Owner, now);
    }

    /// Processes the answer to a poll that this owner or a witness has sent.
    pub(super) fn process_answer(
        &mut self,
        order: &PollOrder,
        report: &PollReport,
        heard_by: HeardBy,
        now: Millis,
    ) {
        let key = order.to.worker;
        let heard = self.next_sequence();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if order.sequence < worker.last_poll {
            // A later poll was answered first, and its answer lists again whatever matters here.
            return;
        }
        if self.detect_other_life(order, report, now) {
            return;
        }
        let worker = &mut self.workers[key];
        // Answers that were in flight at the same time may arrive in either order: the older list
        // must neither bring back a run that has ended nor hide work whose job is not read yet.
        let newest = worker.last_answer < order.sequence;
        worker.max_end_delay = max_end_delay(worker, order, now);
        if newest {
            worker.clear_listed_state();
        }
        worker.last_poll = order.sequence;
        worker.forgotten_end = worker.forgotten_end.max(order.forget);
        worker.last_answer = heard;
        worker.unreached_at = None;
        let heard_at = match heard_by {
            HeardBy::Owner => heard_at(order, now),
            // The answer may have waited at the witness.
            HeardBy::Witness => order.sent,
        };
        worker.last_heard = worker.last_heard.max(heard_at);
        // An answer that is older than a lease says nothing of how the worker is reached now.
        let is_recent = now <= order.sent + order.wait + tuning::LEASE;
        if heard_by == HeardBy::Owner && is_recent {
            worker.silent_since = None;
        }
        worker.clock = Some((report.clock, now));
        let first = !worker.fenced;
        worker.fenced = true;
        self.clear_survived_losses(key, order.sequence, now);
        let may_get_former_orders = self.may_get_former_orders(key, now);
        let worker = &mut self.workers[key];
        if first {
            self.counts.unread_ends += u64::from(has_discarded_ends(worker, report));
            worker.lease_end = 0;
            worker.may_have_long_lease &= may_get_former_orders;
            if worker.may_have_long_lease {
                worker.assume_longest_lease(now);
            }
            // A former owner may have renewed the lease just now. Without this a task was started
            // again 0.4 s before its first run was certain to be over.
            worker.extend_lease(now, tuning::LEASE);
            log_first_answer(worker, order.to.epoch, report);
            self.end_other_lives(key, order.sequence, now);
        }
        self.process_ends(key, &report.ended, now);
        let listed = self.process_running(order, report, newest, now);
        let worker = &mut self.workers[key];
        worker.listed_whole |= newest && !worker.more_ends && worker.unread_jobs.is_empty();
        self.remove_unlisted(key, order, report.clock, &listed, now);
        self.unpark_unless_idle(key, now);
    }

    /// Processes a poll that failed.
    pub fn poll_failed(&mut self, key: WorkerKey, failure: PollFailure, now: Millis) {
        self.counts.failed_polls += 1;
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

    /// Processes the ends that a worker lists, as far as their jobs are known.
    ///
    /// A worker may forget an end only once it is recorded, so it keeps everything from the first
    /// end on whose job is not read yet. Ends behind that one are processed all the same: their
    /// runs are no longer listed as running, so their tasks would be started again. While four in
    /// ten partitions of jobs were unavailable, that happened to 490 tasks a day.
    pub(super) fn process_ends(&mut self, key: WorkerKey, ends: &[EndEntry], now: Millis) {
        let mut held: Option<&EndEntry> = None;
        for end in ends {
            if self.is_unread(end.task) {
                self.workers[key].unread_jobs.insert(end.task.step.job);
                held = held.or(Some(end));
            } else if self.workers[key].accept_end(end.end_number) {
                self.process_end(key, end, now);
            }
        }
        let forgettable = match held {
            Some(first) => Some(first.end_number.saturating_sub(1)),
            None => ends.last().map(|last| last.end_number),
        };
        let worker = &mut self.workers[key];
        worker.holds_ends |= held.is_some();
        worker.more_ends |= ends.len() >= tuning::MAX_ENDS_LISTED;
        worker.accept_ends_up_to(forgettable.unwrap_or_default());
        match held {
            Some(first) if worker.held_end != first.end_number => {
                worker.held_end = first.end_number;
                self.log_held_ends(key, first, ends.len());
            }
            _ => {}
        }
    }

    /// Logs which end keeps the worker from forgetting further ones, once for each such end and not
    /// at each poll.
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

    /// Returns whether a task may be one of ours that is not known yet: the row of its job could
    /// not be read, or its scheduled time has not come by our wall clock, though it had by a former
    /// owner's.
    fn is_unread(&self, task: TaskName) -> bool {
        let id = task.step.job;
        let Some(job) = self.job_ids.get(&id).and_then(|&key| self.jobs.get(key)) else {
            return self.has_unread_jobs && !self.knows_job(id);
        };
        let time = task.step.time;
        let is_scheduled = job
            .spec
            .schedule
            .is_some_and(|schedule| time < schedule.times);
        is_scheduled && !job.state.is_final() && !job.occurrences.has_begun(time)
    }

    fn process_end(&mut self, key: WorkerKey, end: &EndEntry, now: Millis) {
        if let Some(run) = self.find_run(key, end.task, end.number) {
            self.run_ended(run, end, now);
            return;
        }
        let Some(step_key) = self.find_step(end.task) else {
            return;
        };
        self.process_unknown_end(step_key, end, now);
    }

    /// Processes the end of a run that a former owner started, or that was written off.
    fn process_unknown_end(&mut self, step_key: crate::cell::StepKey, end: &EndEntry, now: Millis) {
        let job_key = self.steps[step_key].job;
        if self.jobs[job_key].state.is_final() {
            return;
        }
        let index = end.task.index;
        self.forget_executed_start(step_key, index, end.number);
        if !end.checkpoint.is_empty() && self.steps[step_key].tasks[index as usize].runs.is_empty()
        {
            self.set_checkpoint(step_key, index, &end.checkpoint);
            self.jobs[job_key].dirty = true;
        }
        match end.how {
            EndKind::Done => {
                self.mark_job_running(job_key);
                self.task_done(step_key, index, end.number, now);
            }
            EndKind::Failed => self.count_unknown_failure(step_key, end, now),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// Processes the runs that a worker lists, and returns those that are known or were taken over.
    fn process_running(
        &mut self,
        order: &PollOrder,
        report: &PollReport,
        newest: bool,
        now: Millis,
    ) -> BTreeSet<RunKey> {
        let key = order.to.worker;
        let mut listed: BTreeSet<RunKey> = BTreeSet::new();
        let mut unknown = 0;
        for entry in &report.running {
            let known = self.find_run(key, entry.task, entry.number);
            if known.is_none() && !newest {
                // It may have ended since the list was made; if not, the next list shows it.
                continue;
            }
            match known.or_else(|| self.adopt(key, entry, now)) {
                Some(run) => {
                    listed.insert(run);
                    self.clear_stale_stop_confirmation(run, order);
                    self.update_progress(run, entry, report.clock, now);
                }
                None => {
                    unknown += 1;
                    self.stop_unknown_run(key, entry.task, entry.number);
                }
            }
        }
        if newest {
            self.workers[key].unknown_runs = unknown;
        }
        listed
    }

    /// Stops a run that belongs to no job of ours. It is left alone if it may belong to a job that
    /// could not be read. For a job that ended under a former owner the record of its end is enough
    /// to tell that its runs must stop.
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
            "stopping a run that belongs to no job of this cell"
        );
        self.order_stop(worker, None, task, number);
    }

    /// Drops the confirmation of a stop if the run is still listed more than
    /// [`tuning::MAX_STOP_TIME`] after the stop was sent: the run goes on, so the stop is repeated.
    fn clear_stale_stop_confirmation(&mut self, key: RunKey, order: &PollOrder) {
        if let Some(stop) = &mut self.runs[key].stop
            && stop.sent + tuning::MAX_STOP_TIME < order.sent
        {
            stop.confirmed = stop.confirmed.filter(|&heard| heard >= order.sequence);
        }
    }

    /// Takes over a run that a former owner started. Returns `None` if its task is not known, is
    /// done or already has a run, or if its job has ended.
    fn adopt(&mut self, worker: WorkerKey, entry: &RunningEntry, now: Millis) -> Option<RunKey> {
        let step_key = self.find_step(entry.task)?;
        let step = &self.steps[step_key];
        let job_key = step.job;
        let task = &step.tasks[entry.task.index as usize];
        let accepts_run = task.runs.is_empty() || step.step().copies;
        if self.jobs[job_key].state.is_final() || task.done || !accepts_run {
            return None;
        }
        let trial = self.needs_trial(step_key, entry.task.index);
        let room = step.step().room();
        if !room.fits(&self.workers[worker].free()) {
            self.counts.violations += 1;
            tracing::error!(
                task = %entry.task,
                "a former owner's run does not fit into the free room of its worker"
            );
        }
        self.counts.adopted += 1;
        tracing::info!(
            request = %entry.task.step.job,
            task = %entry.task,
            run = entry.number,
            worker = self.workers[worker].entry.life.id,
            "run taken over"
        );
        self.mark_job_running(job_key);
        self.forget_executed_start(step_key, entry.task.index, entry.number);
        Some(self.add_run(Run {
            step: step_key,
            index: entry.task.index,
            worker,
            sent_to: worker,
            number: entry.number,
            phase: Phase::Running,
            decided_at: 0,
            sent_at: 0,
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

    /// Updates a known run by its entry in a list.
    fn update_progress(&mut self, key: RunKey, entry: &RunningEntry, clock: Millis, now: Millis) {
        self.note_survival(key);
        let run = &mut self.runs[key];
        run.confirm_started(self.workers[run.worker].last_answer, now);
        run.note_progress(entry.percent, clock, now);
        let (step, index) = (run.step, run.index);
        if !entry.checkpoint.is_empty()
            && self.steps[step].tasks[index as usize].checkpoint != entry.checkpoint
        {
            self.set_checkpoint(step, index, &entry.checkpoint);
        }
        self.mark_job_running(self.steps[step].job);
        self.reduce_blame(key, now);
        self.detect_slow_run(key, now);
    }

    /// Removes the runs that a worker does not list and that are certain to be over: its poll was
    /// sent after their beginning, or the confirmation of their stop, had been heard, or their
    /// start can no longer take effect by the worker's clock.
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
            // An unlisted run may be among the ends that did not fit into this list.
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
                // From then on the present life refuses a start that was meant for a former one.
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
            tracing::info!(
                request = %task.step.job,
                %task,
                run = run.number,
                phase = ?run.phase,
                worker = %worker.entry.life,
                clock,
                ends = worker.accepted_end,
                forgotten,
                "run is not there"
            );
            if !is_inherited {
                // The life that the start was meant for goes on, so the run did not crash it.
                self.bar_start(run_key, now);
            }
            self.remove_run(run_key);
            self.start_not_found(run_key, now);
            self.stop_gang(step, now, "a member of the gang is not there");
        }
    }
}

/// Logs the first answer of a worker under an epoch.  The ends that it lists are those that no former
/// owner has recorded, so it alone can tell of them.
fn log_first_answer(worker: &Worker, epoch: u64, report: &PollReport) {
    let life = &worker.entry.life;
    let (running, ended) = (report.running.len(), report.ended.len());
    if ended == 0 {
        tracing::debug!(worker = %life, epoch, running, "worker answers under our epoch");
    } else {
        tracing::info!(worker = %life, epoch, running, ended, "worker answers under our epoch with unrecorded ends");
    }
}

/// Returns when the worker gave an answer that arrives now, at least: an answer that is late may have
/// been given soon after its poll was sent.
fn heard_at(order: &PollOrder, now: Millis) -> Millis {
    let is_late = now > order.sent + order.wait + tuning::MAX_ANSWER_AGE;
    if is_late { order.sent } else { now }
}

/// Returns whether a life that has not answered before has discarded ends that nobody has read:
/// each life numbers its ends from one without gaps.
fn has_discarded_ends(worker: &Worker, report: &PollReport) -> bool {
    let is_next = |end: &EndEntry| end.end_number <= worker.accepted_end + 1;
    let missing = worker.former.epoch_offset() > 0 && !report.ended.first().is_none_or(is_next);
    if missing {
        tracing::error!(
            worker = %worker.entry.life,
            first = report.ended[0].end_number,
            "a worker has forgotten ends that nobody has read"
        );
    }
    missing
}

/// The longest time that an end in the answer to a poll may have waited to be heard.  While a poll is
/// open, the worker reports an end at once.  An end therefore waits for the next poll or for a
/// delayed answer, and possibly longer if the previous list was full.
fn max_end_delay(worker: &Worker, order: &PollOrder, now: Millis) -> Millis {
    if worker.more_ends {
        return Millis::MAX;
    }
    let before_poll = order.sent.saturating_sub(worker.last_heard);
    let open = now.saturating_sub(order.sent);
    before_poll + open.saturating_sub(order.wait)
}
