//! Runs that were on a worker when it was lost, counted by task.
//!
//! A crashed worker reports no end for its runs. Without this count, a task that crashes every
//! worker would be restarted without limit: in one incident, seven starts of one task within 25 s
//! took down seven workers for 3.4 s each, with up to ten other runs. A crash alone does not show
//! which of the runs on the worker caused it; that shows only when a suspect task is started in
//! isolation, as a trial (docs/DESIGN.md, "Tasks that crash their workers";
//! docs/incidents/crashing-tasks.md).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::cell::job::{JobState, Phase, Run, Task};
use crate::cell::life::Life;
use crate::cell::order::StartOutcome;
use crate::cell::sequence::Sequence;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// How strongly a loss implicates a run in the crash of its worker.
///
/// A start is fresh if it was not answered, or was answered at most [`tuning::FRESH_START_AGE`]
/// before the worker fell silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Blame {
    /// It was the only fresh start without an answer or, if all were answered, the only fresh one.
    Sole,
    /// It was a fresh start, and so were other runs on the worker.
    Shared,
    /// There was no fresh start.  It was one of the unproven runs or, if all runs were proven, one
    /// of those.
    Late,
}

/// A run that was on its worker when the worker was lost or fell silent, or whose start is planned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The number of the run.
    pub run: u64,
    /// The id of the worker.
    pub worker: String,
    /// When the life of the worker started, in Unix milliseconds. If that life answers again, it
    /// did not crash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Millis>,
    /// The machine of the worker; the next attempt is made on another one.
    pub machine: String,
    /// How strongly the loss implicates the run.
    pub blame: Blame,
    /// Nothing shows that the worker was alive to begin the run: the start was not answered, and
    /// the worker had not been heard from just before it was sent.
    #[serde(default)]
    pub unanswered: bool,
    /// The life of the worker has ended for certain.
    pub crashed: bool,
    /// The run was recorded before its start was sent, and no crash implicates it so far.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub planned: bool,
    /// The life that the start was meant for will not begin it any more, but a later life of the
    /// worker's id may (`cell::barred_start`).
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub barred: bool,
    /// The loss is of a barred start that counts as a crash and can no longer arrive. The next
    /// start does not wait for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub settled: bool,
    /// The loss is durable, so that a successor will know of it.
    #[serde(skip)]
    pub recorded: bool,
}

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

/// Identifies a loss by the task and run for which it is noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LossKey {
    pub(super) step: StepKey,
    pub(super) index: u32,
    pub(super) run: u64,
}

impl LossKey {
    /// Returns the key under which a loss of `run` is noted.
    pub(super) fn of(run: &Run) -> Self {
        Self {
            step: run.step,
            index: run.index,
            run: run.number,
        }
    }
}

impl Loss {
    pub(super) fn life(&self) -> Life {
        Life {
            id: self.worker.clone(),
            born: self.born,
        }
    }
}

impl Run {
    /// Returns whether the start was sent and is not answered, or was answered no earlier than
    /// [`tuning::FRESH_START_AGE`] before `then`.
    pub(super) fn is_fresh(&self, then: Millis) -> bool {
        let is_sent = self.phase != Phase::Planned;
        is_sent && (self.start_heard.is_none() || self.began_at + tuning::FRESH_START_AGE >= then)
    }
}

impl Task {
    /// Returns whether a start of the task may have crashed a worker. Such a task is started as a
    /// trial.
    pub(super) fn is_suspect(&self) -> bool {
        let implicates = |loss: &Loss| !loss.planned && loss.blame != Blame::Late;
        self.losses.iter().any(implicates)
    }

    /// Returns whether the losses of the task allow another start. If a pending verdict could fail
    /// the job, it is awaited first: otherwise a task could crash one more worker while the last
    /// one is slow to come back.
    pub(super) fn losses_allow_start(&self) -> bool {
        let may_count = |loss: &Loss| loss.crashed || loss.barred || loss.blame != Blame::Late;
        !self.exceeds_crash_limit(may_count) && !self.awaits_barred_starts(may_count)
    }

    /// Returns whether the losses for which `counts` holds are enough to fail the job.
    fn exceeds_crash_limit(&self, counts: impl Fn(&Loss) -> bool) -> bool {
        let counted = || self.losses.iter().filter(|loss| counts(loss));
        let sole = || counted().filter(|loss| loss.blame == Blame::Sole);
        let shown = sole().filter(|loss| !loss.unanswered);
        let crashes = counted().filter(|loss| !loss.barred).count();
        let implicating = counted().filter(|loss| !loss.barred && loss.blame != Blame::Late);
        let implicating = implicating.count();
        let barred = counted().filter(|loss| loss.barred).count();
        let crashes_and_barred = match crashes >= tuning::MIN_CRASHES_BESIDE_BARRED {
            true => crashes + barred,
            false => crashes,
        };
        shown.count() >= tuning::MAX_CONFIRMED_SOLE_CRASHES
            || sole().count() >= tuning::MAX_SOLE_CRASHES
            || crashes_and_barred >= tuning::MAX_CRASHES
            || (implicating >= tuning::MIN_IMPLICATING_CRASHES
                && implicating + barred >= tuning::MAX_STARTS)
    }

    /// Returns whether the losses of the task are as many as fail its job, barred starts included,
    /// and some of them are no barred starts.  The next start then waits until a barred one can no
    /// longer arrive.  A task that has only barred starts does not wait: it merely lost many orders.
    fn awaits_barred_starts(&self, counts: impl Fn(&Loss) -> bool) -> bool {
        let counted = || {
            self.losses
                .iter()
                .filter(|loss| counts(loss) && !loss.settled)
        };
        counted().any(|loss| !loss.barred) && counted().count() >= tuning::MAX_CRASHES
    }

    /// Returns whether the next start waits for barred starts, and not for a verdict.
    pub(super) fn waits_for_barred_starts(&self) -> bool {
        self.awaits_barred_starts(|loss| loss.crashed || loss.barred)
    }
}

impl Cell {
    /// Notes the fresh starts on a worker once it has been silent for [`tuning::SUSPECT_AFTER`], so
    /// that they are recorded and the next owner knows what may have crashed it.
    pub(super) fn note_suspects_of_silent(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        let is_long = |since| now.saturating_sub(since) >= tuning::SUSPECT_AFTER;
        if worker.suspected || !worker.silent_since.is_some_and(is_long) {
            return;
        }
        self.workers[key].suspected = true;
        let fresh = self.fresh_starts(key, now);
        self.note_fresh(&fresh, now);
    }

    /// Notes the runs that may have crashed a worker: its fresh starts, else its unproven runs,
    /// else all of its runs.
    pub(super) fn note_losses(&mut self, key: WorkerKey, now: Millis) {
        let fresh = self.fresh_starts(key, now);
        if !fresh.is_empty() {
            return self.note_fresh(&fresh, now);
        }
        let unproven = self.unproven_runs(key);
        let runs = if unproven.is_empty() {
            self.workers[key].runs.clone()
        } else {
            unproven
        };
        for run in runs {
            self.note_loss(run, Blame::Late, now);
        }
    }

    /// Notes losses for fresh starts. An unanswered start is a likelier cause than an answered one,
    /// so a single unanswered start gets the sole blame.
    fn note_fresh(&mut self, fresh: &[RunKey], now: Millis) {
        let is_unanswered = |run: &RunKey| self.runs[*run].start_heard.is_none();
        let unanswered: Vec<RunKey> = fresh.iter().copied().filter(is_unanswered).collect();
        let likely = if unanswered.is_empty() {
            fresh
        } else {
            &unanswered
        };
        let sole = match likely {
            [only] => Some(*only),
            _ => None,
        };
        for &run in fresh {
            let blame = if sole == Some(run) {
                Blame::Sole
            } else {
                Blame::Shared
            };
            self.note_loss(run, blame, now);
        }
    }

    /// Returns the unproven runs whose start was not answered, or was answered just before the
    /// worker fell silent: in seven of eight crashes the answer had come some milliseconds before.
    fn fresh_starts(&self, key: WorkerKey, now: Millis) -> Vec<RunKey> {
        let silent = self.workers[key].silent_since.unwrap_or(now);
        let unproven = self.unproven_runs(key).into_iter();
        unproven
            .filter(|&run| self.runs[run].is_fresh(silent))
            .collect()
    }

    fn unproven_runs(&self, key: WorkerKey) -> Vec<RunKey> {
        let runs = self.workers[key].runs.iter().copied();
        let is_unproven = |run: &RunKey| {
            let run = &self.runs[*run];
            run.phase != Phase::Planned && !run.proven
        };
        runs.filter(is_unproven).collect()
    }

    fn note_loss(&mut self, key: RunKey, blame: Blame, now: Millis) {
        let run = &self.runs[key];
        let unanswered = run.start_heard.is_none() && !run.crash_is_evidence;
        let loss = Loss {
            blame,
            unanswered,
            ..self.loss_of(key)
        };
        let run = &self.runs[key];
        let (step, index) = (run.step, run.index);
        let job = &mut self.jobs[self.steps[step].job];
        let losses = &mut self.steps[step].tasks[index as usize].losses;
        if job.state.is_final() {
            return;
        }
        let (life, machine) = (loss.life(), loss.machine.clone());
        match losses.iter_mut().find(|known| known.run == loss.run) {
            Some(known) if known.planned => {
                let recorded = known.recorded;
                *known = Loss { recorded, ..loss };
            }
            Some(_) => return,
            None => losses.push(loss),
        }
        tracing::debug!(
            request = %job.id, run = run.number, %life, ?blame, unanswered, "loss is noted"
        );
        job.dirty = true;
        let answered = self.runs[key].start_heard.is_some();
        let loss_key = self.loss_key(key);
        self.add_pending_loss(&life, &machine, loss_key, answered, now);
    }

    /// Notes a run whose start is recorded before it is sent. If the owner is lost, its successor
    /// knows of the start but not whether it was sent, so the run gets only a share of the blame.
    pub(super) fn note_planned_start(&mut self, key: RunKey) {
        let loss = Loss {
            planned: true,
            ..self.loss_of(key)
        };
        let run = &self.runs[key];
        let step = &mut self.steps[run.step];
        step.tasks[run.index as usize].losses.push(loss);
        self.jobs[step.job].dirty = true;
    }

    pub(super) fn loss_of(&self, key: RunKey) -> Loss {
        let run = &self.runs[key];
        let entry = &self.workers[run.worker].entry;
        Loss {
            run: run.number,
            worker: entry.life.id.clone(),
            born: entry.life.born,
            machine: entry.machine.clone(),
            blame: Blame::Shared,
            unanswered: true,
            crashed: false,
            planned: false,
            barred: false,
            settled: false,
            recorded: false,
        }
    }

    fn loss_key(&self, key: RunKey) -> LossKey {
        LossKey::of(&self.runs[key])
    }

    fn add_pending_loss(
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

    /// Restores the losses of a task that a former owner recorded.
    pub(super) fn restore_losses(
        &mut self,
        step: StepKey,
        index: u32,
        losses: &[Loss],
        now: Millis,
    ) {
        // A loss that was not confirmed as a crash may have been cleared after this record was
        // written, so it counts as unanswered.
        let recorded = |loss: &Loss| Loss {
            recorded: true,
            unanswered: loss.unanswered || !loss.crashed,
            ..loss.clone()
        };
        self.steps[step].tasks[index as usize].losses = losses.iter().map(recorded).collect();
        for loss in losses
            .iter()
            .filter(|loss| loss.crashed && loss.barred && !loss.settled)
        {
            let run = loss.run;
            let loss_key = LossKey { step, index, run };
            self.counted_barred_starts
                .push((loss_key, now + tuning::MAX_ORDER_DELAY));
        }
        for loss in losses.iter().filter(|loss| !loss.crashed) {
            let run = loss.run;
            let loss_key = LossKey { step, index, run };
            let life = loss.life();
            if loss.barred {
                self.add_barred_loss(&life, &loss.machine, loss_key, now);
            } else {
                self.add_pending_loss(&life, &loss.machine, loss_key, false, now);
            }
        }
    }

    /// Marks those losses of a task that have become durable.
    pub(super) fn mark_losses_recorded(&mut self, step: StepKey, index: u32, recorded: &[Loss]) {
        for loss in &mut self.steps[step].tasks[index as usize].losses {
            loss.recorded |= recorded.iter().any(|other| other.run == loss.run);
        }
    }

    /// Reduces the blame on a run that a poll shows to go on. Once it is older than
    /// [`tuning::PROVEN_AFTER`], it is proven and its task's losses from fresh starts are
    /// forgotten; after [`tuning::LOSSES_EXPIRE_AFTER`] all losses of the task are.
    pub(super) fn reduce_blame(&mut self, key: RunKey, now: Millis) {
        let run = &mut self.runs[key];
        let age = now.saturating_sub(run.began_at);
        let (step, index) = (run.step, run.index);
        if age < tuning::PROVEN_AFTER {
            return;
        }
        if !run.proven {
            self.mark_proven(key);
            self.forget_losses(step, index, |loss| loss.blame != Blame::Late || loss.barred);
        }
        if age >= tuning::LOSSES_EXPIRE_AFTER {
            self.forget_losses(step, index, |_| true);
        }
    }

    /// Marks a run as not to blame if its worker crashes, which also ends its trial.
    fn mark_proven(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        run.proven = true;
        self.workers[run.worker].trials -= u32::from(run.trial);
    }

    /// Forgets the loss of one run of a task.
    pub(super) fn forget_loss(&mut self, loss_key: LossKey) {
        self.forget_losses(loss_key.step, loss_key.index, |loss| {
            loss.run == loss_key.run
        });
    }

    /// Forgets those losses of a task for which `is_cleared` holds.
    pub(super) fn forget_losses(
        &mut self,
        step: StepKey,
        index: u32,
        is_cleared: impl Fn(&Loss) -> bool,
    ) {
        let Some(step) = self.steps.get_mut(step) else {
            return;
        };
        let task = step.task_name(index);
        let losses = &mut step.tasks[index as usize].losses;
        for loss in losses.extract_if(.., |loss| is_cleared(loss)) {
            tracing::debug!(request = %task.step.job, %task, ?loss, "loss is forgotten");
            self.jobs[step.job].dirty = true;
        }
    }
}
