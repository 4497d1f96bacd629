//! Verdicts on lost lives of workers: whether a life has crashed, or has survived its losses.
//!
//! Losses that are noted for a life stay pending until another life proves that it has ended, until
//! it answers again, or until the wait for that is over (docs/DESIGN.md, "Tasks that crash their
//! workers").

use std::collections::BTreeSet;

use crate::cell::crash::{Blame, LossKey};
use crate::cell::job::JobState;
use crate::cell::life::Life;
use crate::cell::order::StartOutcome;
use crate::cell::sequence::Sequence;
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

/// Losses on one life of a worker that is not yet known to have crashed or survived.
#[derive(Debug)]
pub(super) struct PendingLosses {
    machine: String,
    /// When the first of them was noted, by the owner's clock.
    since: Millis,
    losses: Vec<PendingLoss>,
}

impl PendingLosses {
    /// Returns whether no loss is pending but those of barred starts.
    fn are_all_barred(&self) -> bool {
        self.losses.iter().all(PendingLoss::is_barred)
    }
}

/// A loss that is not yet known to be a crash.
#[derive(Debug, Clone, Copy)]
struct PendingLoss {
    loss_key: LossKey,
    /// When it was noted: only the answer to a poll sent later shows that the life survived it.
    noted: Sequence,
    /// The start was answered, so it cannot be carried out a second time.
    answered: bool,
    /// Until when a barred start may arrive, by the owner's clock; none if it is not barred.
    arrives_until: Option<Millis>,
}

impl PendingLoss {
    fn is_barred(&self) -> bool {
        self.arrives_until.is_some()
    }
}

impl Cell {
    pub(super) fn add_pending_loss(
        &mut self,
        life: &Life,
        machine: &str,
        loss_key: LossKey,
        answered: bool,
        now: Millis,
    ) {
        let pending = self.pending_losses_of(life, machine, now);
        if pending.are_all_barred() {
            pending.since = now;
        }
        self.replace_pending_loss(life, loss_key, answered, None);
    }

    /// Adds the loss of a barred start, which may arrive for [`tuning::MAX_ORDER_DELAY`] from now
    /// on at the longest.
    pub(super) fn add_barred_loss(
        &mut self,
        life: &Life,
        machine: &str,
        loss_key: LossKey,
        now: Millis,
    ) {
        self.pending_losses_of(life, machine, now);
        let arrives_until = now + tuning::MAX_ORDER_DELAY;
        self.replace_pending_loss(life, loss_key, false, Some(arrives_until));
    }

    fn pending_losses_of(&mut self, life: &Life, machine: &str, now: Millis) -> &mut PendingLosses {
        let pending = self.pending_losses.entry(life.clone());
        pending.or_insert_with(|| PendingLosses {
            machine: machine.to_owned(),
            since: now,
            losses: Vec::new(),
        })
    }

    fn replace_pending_loss(
        &mut self,
        life: &Life,
        loss_key: LossKey,
        answered: bool,
        arrives_until: Option<Millis>,
    ) {
        let noted = self.next_sequence();
        let losses = &mut self.pending_losses[life].losses;
        losses.retain(|known| known.loss_key != loss_key);
        losses.push(PendingLoss {
            loss_key,
            noted,
            answered,
            arrives_until,
        });
    }

    /// Clears the losses on the present life of a worker that were noted before `sent`: the worker
    /// has answered a poll sent then, so those runs did not crash it. Neither did a start that had
    /// been given up as unanswered and was barred by a confirmed stop before `sent`.
    pub(super) fn clear_survived_losses(&mut self, key: WorkerKey, sent: Sequence, now: Millis) {
        for run in self.unproven_runs(key) {
            let given_up = self.runs[run].doubt_heard.is_some_and(|heard| heard < sent);
            if given_up && !self.may_begin_after(run, sent) {
                self.mark_proven(run);
            } else if given_up || self.is_past_start_window(key, run) {
                self.mark_inconclusive(run);
            }
        }
        let worker = &mut self.workers[key];
        worker.suspected = false;
        let life = worker.entry.life.clone();
        // An owner that did not know when the life started noted its losses under the id alone.
        self.clear_losses_of_life(&Life::of(life.id.as_str()), key, sent, now);
        self.clear_losses_of_life(&life, key, sent, now);
    }

    /// Returns whether the worker's clock, by its latest answer, is past the time at which an
    /// unanswered start should have been carried out. The answer to any poll counts, also to one
    /// that was sent before the start and has waited at the worker for an end.
    fn is_past_start_window(&self, key: WorkerKey, run: RunKey) -> bool {
        let run = &self.runs[run];
        let sent = run.expires.saturating_sub(tuning::START_VALIDITY);
        let is_past = |(clock, _): (Millis, Millis)| clock >= sent + tuning::START_ANSWER_WAIT;
        let is_unanswered = run.start_heard.is_none() && run.sent_to == key;
        is_unanswered && self.workers[key].clock.is_some_and(is_past)
    }

    /// Marks an unanswered start that may still arrive late at a worker that is alive: a crash of
    /// the worker from now on no longer shows that it began the run.
    fn mark_inconclusive(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        run.crash_is_evidence = false;
        let number = run.number;
        let task = &mut self.steps[run.step].tasks[run.index as usize];
        for loss in task.losses.iter_mut().filter(|loss| loss.run == number) {
            loss.unanswered = true;
        }
    }

    /// Clears the losses of a life of a worker that were noted before `sent`, unless their starts
    /// may still begin there.  Starts that a later life may still begin stay as barred ones.
    fn clear_losses_of_life(&mut self, life: &Life, key: WorkerKey, sent: Sequence, now: Millis) {
        let Some(mut pending) = self.pending_losses.swap_remove(life) else {
            return;
        };
        let is_open = |loss: &PendingLoss| {
            let run = self.find_lost_run(loss.loss_key);
            let may_begin = run.is_some_and(|run| self.may_begin_after(run, sent));
            loss.is_barred() || loss.noted >= sent || may_begin
        };
        let (open, clear) = pending.losses.into_iter().partition(is_open);
        pending.losses = open;
        if !pending.losses.is_empty() {
            self.pending_losses.insert(life.clone(), pending);
        }
        let may_recur = self.workers[key].entry.life.may_recur();
        let may_come_later = |loss: &PendingLoss| !loss.answered && may_recur;
        let (barred, clear): (Vec<_>, Vec<_>) = clear.into_iter().partition(may_come_later);
        self.forget_pending(clear);
        for loss in barred {
            self.bar_loss(key, loss.loss_key, now);
        }
    }

    /// Returns the run of a loss if it may still go on.
    fn find_lost_run(&self, loss_key: LossKey) -> Option<RunKey> {
        let task = &self.steps.get(loss_key.step)?.tasks[loss_key.index as usize];
        let mut runs = task.runs.iter().copied();
        runs.find(|&run| self.runs[run].number == loss_key.run)
    }

    /// Returns whether an unanswered start may be carried out after a poll was sent at `sent`: no
    /// confirmed stop had barred it by then.
    fn may_begin_after(&self, key: RunKey, sent: Sequence) -> bool {
        let run = &self.runs[key];
        let barred = run.stop.and_then(|stop| stop.confirmed);
        let is_barred = barred.is_some_and(|heard| heard < sent);
        run.start_heard.is_none() && !is_barred
    }

    fn forget_pending(&mut self, losses: Vec<PendingLoss>) {
        for PendingLoss { loss_key, .. } in losses {
            self.forget_loss(loss_key);
        }
    }

    /// Counts the pending losses of a life that has ended as crashes, except for the starts in
    /// `awaited`: it is not known yet whether that life had carried them out.
    pub(super) fn confirm_crash(&mut self, life: &Life, awaited: &[RunKey], now: Millis) {
        let awaited: Vec<LossKey> = awaited
            .iter()
            .map(|&key| self.awaiting_verdict[&key])
            .collect();
        let Some(pending) = self.pending_losses.swap_remove(life) else {
            return;
        };
        // Under another id, the next life refuses what was meant for this one.
        let recurs = self.worker_ids.contains_key(&life.id);
        for loss in pending.losses {
            if loss.is_barred() && !recurs {
                self.forget_loss(loss.loss_key);
            } else if !awaited.contains(&loss.loss_key) {
                self.count_crash(loss.loss_key, now);
            }
        }
    }

    /// Defers the verdict on a start until it is known whether the life that has ended had carried
    /// it out.
    pub(super) fn await_verdict(&mut self, key: RunKey) {
        let loss_key = self.loss_key(key);
        self.awaiting_verdict.insert(key, loss_key);
    }

    /// Forgets the deferred loss of a run that the present life of its worker reports: the life
    /// that ended did not begin it.
    pub(super) fn note_survival(&mut self, key: RunKey) {
        if let Some(loss_key) = self.awaiting_verdict.remove(&key) {
            self.forget_loss(loss_key);
        }
    }

    /// Counts a crash for a deferred start that the next life does not report: if the start was
    /// carried out at all, it was by the life that has ended.
    pub(super) fn start_not_found(&mut self, key: RunKey, now: Millis) {
        if let Some(loss_key) = self.awaiting_verdict.remove(&key) {
            self.count_crash(loss_key, now);
        }
    }

    /// Decides a deferred verdict by the answer to the start, which came after its worker was lost.
    pub(super) fn start_answered_late(&mut self, key: RunKey, outcome: StartOutcome, now: Millis) {
        let Some(loss_key) = self.awaiting_verdict.remove(&key) else {
            return;
        };
        match outcome {
            StartOutcome::Refused(_) => {
                self.forget_loss(loss_key);
            }
            StartOutcome::Started | StartOutcome::Unanswered => self.count_crash(loss_key, now),
        }
    }

    fn count_crash(&mut self, loss_key: LossKey, now: Millis) {
        let Some(job) = self.steps.get(loss_key.step).map(|step| step.job) else {
            return;
        };
        let step = &mut self.steps[loss_key.step];
        let name = step.task_name(loss_key.index);
        let task = &mut step.tasks[loss_key.index as usize];
        let Some(loss) = task.losses.iter_mut().find(|loss| loss.run == loss_key.run) else {
            return;
        };
        loss.crashed = true;
        loss.planned = false;
        if loss.barred {
            self.counted_barred_starts
                .push((loss_key, now + tuning::MAX_ORDER_DELAY));
        }
        let (worker, blame, barred) = (loss.worker.clone(), loss.blame, loss.barred);
        let (losses, hopeless) = (
            task.losses.len(),
            task.exceeds_crash_limit(|loss| loss.crashed),
        );
        // Runs that were merely present, up to ten in a crash, are not logged one by one.
        if blame != Blame::Late || barred || hopeless {
            tracing::info!(
                request = %name.step.job,
                task = %name,
                run = loss_key.run,
                worker,
                ?blame,
                barred,
                losses,
                hopeless,
                "worker crashed under a task"
            );
        }
        self.counts.crashes += 1;
        if self.jobs[job].state.is_final() {
            return;
        }
        self.jobs[job].dirty = true;
        if hopeless {
            self.end_job(job, JobState::Failed);
            self.stop_step(loss_key.step, now, "job has failed");
        }
    }

    /// Decides about the lives with pending losses: another life of the same machine that answers
    /// proves that they crashed. A worker that was cut off, drained or removed has no other life,
    /// so after [`tuning::CRASH_VERDICT_TIMEOUT`] its losses no longer count against their tasks.
    pub(super) fn resolve_pending_losses(&mut self, now: Millis) {
        if self.pending_losses.is_empty() || self.awaits_worker_list {
            return;
        }
        let mut crashed = Vec::new();
        let mut expired = BTreeSet::new();
        for (life, pending) in &self.pending_losses {
            if self.is_crash_proven(life, pending) {
                crashed.push(life.clone());
                continue;
            }
            let is_late = now.saturating_sub(pending.since) > tuning::CRASH_VERDICT_TIMEOUT;
            for loss in &pending.losses {
                let is_expired = match loss.arrives_until {
                    Some(until) => self.is_barred_start_void(life, until, now),
                    None => is_late,
                };
                if is_expired {
                    expired.insert(loss.loss_key);
                }
            }
        }
        for life in crashed {
            self.confirm_crash(&life, &[], now);
        }
        self.drop_pending(&expired);
        for loss_key in expired {
            self.forget_loss(loss_key);
        }
    }

    /// Removes these from the pending losses.
    fn drop_pending(&mut self, dropped: &BTreeSet<LossKey>) {
        if dropped.is_empty() {
            return;
        }
        for pending in self.pending_losses.values_mut() {
            let is_kept = |loss: &PendingLoss| !dropped.contains(&loss.loss_key);
            pending.losses.retain(is_kept);
        }
        self.pending_losses
            .retain(|_, pending| !pending.losses.is_empty());
    }

    /// Returns whether another life proves that `life` has ended: one of the same id that has
    /// answered, or one of the same machine that has answered since the first loss on `life` was
    /// noted. The entry of another life alone proves nothing, since it may be that of an earlier
    /// one.
    fn is_crash_proven(&self, life: &Life, pending: &PendingLosses) -> bool {
        match self.worker_ids.get(&life.id).map(|&key| &self.workers[key]) {
            Some(worker) => worker.fenced && worker.entry.life.differs_from(life.born),
            None => self.workers.values().any(|worker| {
                let heard = worker.fenced && worker.last_heard >= pending.since;
                heard && worker.entry.machine == pending.machine
            }),
        }
    }
}
