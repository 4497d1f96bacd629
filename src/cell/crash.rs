//! Runs under which a worker was lost, counted by task.
//!
//! A worker that crashes lists no end, so a task that crashes each worker would look new
//! every time and be started without end: seven starts of one task in 25 s took seven workers
//! down for 3.4 s each, with up to ten other runs.  Which task is to blame shows only when it
//! is tried by itself (docs/DESIGN.md, "Tasks that crash their workers";
//! docs/incidents/crashing-tasks.md).

use serde::{Deserialize, Serialize};

use crate::cell::job::{JobState, Phase, Run, Task};
use crate::cell::life::Life;
use crate::cell::order::StartOutcome;
use crate::cell::sequence::Sequence;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// What speaks for a run having crashed its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Blame {
    /// It was the only one there that was just being started, or whose start was not answered.
    Sole,
    /// It was just being started, and so were others.
    Shared,
    /// None was just being started; it was among the latest, or all had run for a while.
    Late,
}

/// A run that was there when its worker was lost, or fell silent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The run's number.
    pub run: u64,
    /// The id of the worker.
    pub worker: String,
    /// When its life started; whoever hears that life again knows that it did not crash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Millis>,
    /// The machine, so that the next try is made on another one.
    pub machine: String,
    /// What speaks for it being to blame.
    pub blame: Blame,
    /// Nothing shows that the worker lived to begin it: the start was not answered, nor had the worker
    /// been heard just before.
    #[serde(default)]
    pub unanswered: bool,
    /// The life is over for certain.
    pub crashed: bool,
    /// The run was recorded before its start was sent, and nothing speaks against it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub planned: bool,
    /// A successor would know of it.
    #[serde(skip)]
    pub recorded: bool,
}

/// Losses on one life of a worker whose fate is not known yet.
#[derive(Debug)]
pub(super) struct PendingLosses {
    machine: String,
    /// When the first of them was noted, by our clock.
    since: Millis,
    losses: Vec<PendingLoss>,
}

/// A loss whose verdict is out.
#[derive(Debug, Clone, Copy)]
struct PendingLoss {
    loss_key: LossKey,
    /// When it was noted: only the answer to a later look shows that the life has survived it.
    noted: Sequence,
}

/// Where a loss is noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LossKey {
    step: StepKey,
    index: u32,
    run: u64,
}

impl LossKey {
    /// Where a loss of this run is noted.
    pub(super) fn of(run: &Run) -> Self {
        Self {
            step: run.step,
            index: run.index,
            run: run.number,
        }
    }
}

impl Loss {
    fn life(&self) -> Life {
        Life {
            id: self.worker.clone(),
            born: self.born,
        }
    }
}

impl Run {
    /// Tells whether its start was not answered by a time, or only just before.
    pub(super) fn is_fresh(&self, then: Millis) -> bool {
        let is_sent = self.phase != Phase::Planned;
        is_sent && (self.start_heard.is_none() || self.began_at + tuning::FRESH_START_AGE >= then)
    }
}

impl Task {
    /// Tells whether a start of it may have crashed a worker; it is tried by itself then.
    pub(super) fn is_suspect(&self) -> bool {
        let speaks = |loss: &Loss| !loss.planned && loss.blame != Blame::Late;
        self.losses.iter().any(speaks)
    }

    /// Tells whether it may be started as far as its losses go.  While the verdict on the last one would
    /// end the job, that is awaited, or a worker that is slow to come back lets it crash one more.
    pub(super) fn losses_allow_start(&self) -> bool {
        let may_count = |loss: &Loss| loss.crashed || loss.blame != Blame::Late;
        !self.exceeds_crash_limit(may_count)
    }

    /// Tells whether the job is given up if those losses count which `counts` names.
    fn exceeds_crash_limit(&self, counts: impl Fn(&Loss) -> bool) -> bool {
        let counted = || self.losses.iter().filter(|loss| counts(loss));
        let sole = || counted().filter(|loss| loss.blame == Blame::Sole);
        let shown = sole().filter(|loss| !loss.unanswered);
        shown.count() >= tuning::MAX_CONFIRMED_SOLE_CRASHES
            || sole().count() >= tuning::MAX_SOLE_CRASHES
            || counted().count() >= tuning::MAX_CRASHES
    }
}

impl Cell {
    /// A worker has been silent for a while: the next owner must know what may have crashed it.
    pub(super) fn note_suspects_of_silent(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        let silent = |since| now.saturating_sub(since) >= tuning::SUSPECT_AFTER;
        if worker.suspected || !worker.silent_since.is_some_and(silent) {
            return;
        }
        self.workers[key].suspected = true;
        let fresh = self.fresh_starts(key, now);
        self.note_fresh(&fresh, now);
    }

    /// Notes the runs that may have crashed a worker: those that were just being started, else those
    /// that had only just begun, else all.
    pub(super) fn note_losses(&mut self, key: WorkerKey, now: Millis) {
        let fresh = self.fresh_starts(key, now);
        if !fresh.is_empty() {
            return self.note_fresh(&fresh, now);
        }
        let young = self.unproven_runs(key);
        let runs = if young.is_empty() {
            self.workers[key].runs.clone()
        } else {
            young
        };
        for run in runs {
            self.note_loss(run, Blame::Late, now);
        }
    }

    /// A start without an answer is the likelier culprit, so one alone is blamed alone.
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

    /// The starts that were not answered, or just before the worker fell silent: in seven of
    /// eight crashes the start had been answered some milliseconds before.
    fn fresh_starts(&self, key: WorkerKey, now: Millis) -> Vec<RunKey> {
        let silent = self.workers[key].silent_since.unwrap_or(now);
        let young = self.unproven_runs(key).into_iter();
        young
            .filter(|&run| self.runs[run].is_fresh(silent))
            .collect()
    }

    fn unproven_runs(&self, key: WorkerKey) -> Vec<RunKey> {
        let runs = self.workers[key].runs.iter().copied();
        let is_young = |run: &RunKey| {
            let run = &self.runs[*run];
            run.phase != Phase::Planned && !run.proven
        };
        runs.filter(is_young).collect()
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
        job.dirty = true;
        let loss_key = self.loss_key(key);
        self.doubt(life, machine, loss_key, now);
    }

    /// Notes a run whose start is recorded first.  Should the owner be lost, its successor knows of
    /// the start but not whether it was sent, so it blames others as well.
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

    fn loss_of(&self, key: RunKey) -> Loss {
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
            recorded: false,
        }
    }

    fn loss_key(&self, key: RunKey) -> LossKey {
        LossKey::of(&self.runs[key])
    }

    fn doubt(&mut self, life: Life, machine: String, loss_key: LossKey, now: Millis) {
        let noted = self.next_sequence();
        let doubt = self
            .pending_losses
            .entry(life)
            .or_insert_with(|| PendingLosses {
                machine,
                since: now,
                losses: Vec::new(),
            });
        doubt.losses.push(PendingLoss { loss_key, noted });
    }

    /// A worker has answered a look: what was noted of this life before the look was sent did not crash
    /// it, nor did a start that was given up as unanswered and barred by then.
    pub(super) fn clear_survived_losses(&mut self, key: WorkerKey, sent: Sequence) {
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
        // An owner that did not know when the life started may have noted it so.
        self.clear_losses_of_life(&Life::of(life.id.as_str()), sent);
        self.clear_losses_of_life(&life, sent);
    }

    /// Tells whether a worker's clock is past the time at which a start without an answer would have
    /// been carried out, by an answer to any look: one that is held for an end was sent before.
    fn is_past_start_window(&self, key: WorkerKey, run: RunKey) -> bool {
        let run = &self.runs[run];
        let sent = run.expires.saturating_sub(tuning::START_VALIDITY);
        let is_past = |(clock, _): (Millis, Millis)| clock >= sent + tuning::START_ANSWER_WAIT;
        let is_unanswered = run.start_heard.is_none() && run.sent_to == key;
        is_unanswered && self.workers[key].clock.is_some_and(is_past)
    }

    /// A worker has outlived a start that may still come late: a crash of it shows nothing any more.
    fn mark_inconclusive(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        run.crash_is_evidence = false;
        let number = run.number;
        let task = &mut self.steps[run.step].tasks[run.index as usize];
        for loss in task.losses.iter_mut().filter(|loss| loss.run == number) {
            loss.unanswered = true;
        }
    }

    fn clear_losses_of_life(&mut self, life: &Life, sent: Sequence) {
        let Some(mut doubt) = self.pending_losses.swap_remove(life) else {
            return;
        };
        let is_open = |noted: &PendingLoss| {
            let run = self.find_lost_run(noted.loss_key);
            noted.noted >= sent || run.is_some_and(|run| self.may_begin_after(run, sent))
        };
        let (open, clear) = doubt.losses.into_iter().partition(is_open);
        doubt.losses = open;
        if !doubt.losses.is_empty() {
            self.pending_losses.insert(life.clone(), doubt);
        }
        self.forget_pending(clear);
    }

    /// The run of a loss, if it may still go on.
    fn find_lost_run(&self, loss_key: LossKey) -> Option<RunKey> {
        let task = &self.steps.get(loss_key.step)?.tasks[loss_key.index as usize];
        let mut runs = task.runs.iter().copied();
        runs.find(|&run| self.runs[run].number == loss_key.run)
    }

    /// Tells whether a start without an answer may be carried out after a look was sent: no stop had
    /// barred it by then.
    fn may_begin_after(&self, key: RunKey, sent: Sequence) -> bool {
        let run = &self.runs[key];
        let barred = run.stop.and_then(|stop| stop.confirmed);
        let is_barred = barred.is_some_and(|heard| heard < sent);
        run.start_heard.is_none() && !is_barred
    }

    fn discard_pending_losses(&mut self, life: &Life) {
        if let Some(doubt) = self.pending_losses.swap_remove(life) {
            self.forget_pending(doubt.losses);
        }
    }

    fn forget_pending(&mut self, losses: Vec<PendingLoss>) {
        for PendingLoss { loss_key, .. } in losses {
            self.forget_loss(loss_key);
        }
    }

    /// A life of a worker is over: whatever is noted of it has crashed with it, but for starts of
    /// which it is not known yet whether it had carried them out.
    pub(super) fn confirm_crash(&mut self, life: &Life, awaited: &[RunKey], now: Millis) {
        let awaited: Vec<LossKey> = awaited
            .iter()
            .map(|&key| self.awaiting_verdict[&key])
            .collect();
        let Some(doubt) = self.pending_losses.swap_remove(life) else {
            return;
        };
        for PendingLoss { loss_key, .. } in doubt.losses {
            if !awaited.contains(&loss_key) {
                self.count_crash(loss_key, now);
            }
        }
    }

    /// It shows later whether a start was carried out by the life that is over.
    pub(super) fn await_verdict(&mut self, key: RunKey) {
        let loss_key = self.loss_key(key);
        self.awaiting_verdict.insert(key, loss_key);
    }

    /// A run is found in a life of its worker that goes on.
    pub(super) fn note_survival(&mut self, key: RunKey) {
        if let Some(loss_key) = self.awaiting_verdict.remove(&key) {
            self.forget_loss(loss_key);
        }
    }

    /// A start whose worker was lost is found nowhere: if it was carried out, then by the life that
    /// is over.
    pub(super) fn start_not_found(&mut self, key: RunKey, now: Millis) {
        if let Some(loss_key) = self.awaiting_verdict.remove(&key) {
            self.count_crash(loss_key, now);
        }
    }

    /// The answer to a start came after its worker had been lost.
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
        let Some(step) = self.steps.get_mut(loss_key.step) else {
            return;
        };
        let (job, name) = (step.job, step.task_name(loss_key.index));
        let task = &mut step.tasks[loss_key.index as usize];
        let Some(loss) = task.losses.iter_mut().find(|loss| loss.run == loss_key.run) else {
            return;
        };
        loss.crashed = true;
        loss.planned = false;
        let (worker, blame) = (loss.worker.clone(), loss.blame);
        let (losses, hopeless) = (
            task.losses.len(),
            task.exceeds_crash_limit(|loss| loss.crashed),
        );
        // Of ten runs that were merely there nothing is to be told.
        if blame != Blame::Late || hopeless {
            tracing::info!(request = %name.step.job, task = %name, run = loss_key.run, worker, ?blame, losses, hopeless, "worker crashed under a task");
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

    /// Decides about lives that are not listed any more: another life of the machine that answers
    /// proves that they crashed.  A worker that was cut off, drained or removed has none, and nothing is
    /// held against a task for ever.
    pub(super) fn resolve_pending_losses(&mut self, now: Millis) {
        if self.pending_losses.is_empty() || self.awaits_worker_list {
            return;
        }
        let mut crashed = Vec::new();
        let mut faded = Vec::new();
        for (life, doubt) in &self.pending_losses {
            if self.is_over(life, doubt) {
                crashed.push(life.clone());
            } else if now.saturating_sub(doubt.since) > tuning::CRASH_VERDICT_TIMEOUT {
                faded.push(life.clone());
            }
        }
        for life in crashed {
            self.confirm_crash(&life, &[], now);
        }
        for life in faded {
            self.discard_pending_losses(&life);
        }
    }

    /// Tells whether another life of its machine proves that a life is over: one that was heard after
    /// that life was doubted.  Its entry alone may be that of an earlier life.
    fn is_over(&self, life: &Life, doubt: &PendingLosses) -> bool {
        match self.worker_ids.get(&life.id).map(|&key| &self.workers[key]) {
            Some(worker) => worker.fenced && worker.entry.life.differs_from(life.born),
            None => self.workers.values().any(|worker| {
                let heard = worker.fenced && worker.last_heard >= doubt.since;
                heard && worker.entry.machine == doubt.machine
            }),
        }
    }

    /// Takes up the losses that a former owner recorded of a task.
    pub(super) fn restore_losses(
        &mut self,
        step: StepKey,
        index: u32,
        losses: &[Loss],
        now: Millis,
    ) {
        // What it had only noted may have been cleared since, and the record be late.
        let recorded = |loss: &Loss| Loss {
            recorded: true,
            unanswered: loss.unanswered || !loss.crashed,
            ..loss.clone()
        };
        self.steps[step].tasks[index as usize].losses = losses.iter().map(recorded).collect();
        for loss in losses.iter().filter(|loss| !loss.crashed) {
            let run = loss.run;
            let loss_key = LossKey { step, index, run };
            self.doubt(loss.life(), loss.machine.clone(), loss_key, now);
        }
    }

    /// These losses of a task are durable.
    pub(super) fn mark_losses_recorded(&mut self, step: StepKey, index: u32, recorded: &[Loss]) {
        for loss in &mut self.steps[step].tasks[index as usize].losses {
            loss.recorded |= recorded.iter().any(|other| other.run == loss.run);
        }
    }

    /// A look shows that a run goes on: after a while it is not to blame for what was lost when it
    /// began, and long after for nothing.
    pub(super) fn clear_losses_by_age(&mut self, key: RunKey, now: Millis) {
        let run = &mut self.runs[key];
        let age = now.saturating_sub(run.began_at);
        let (step, index) = (run.step, run.index);
        if age < tuning::PROVEN_AFTER {
            return;
        }
        if !run.proven {
            self.mark_proven(key);
            self.forget_losses(step, index, |loss| loss.blame != Blame::Late);
        }
        if age >= tuning::LOSSES_EXPIRE_AFTER {
            self.forget_losses(step, index, |_| true);
        }
    }

    fn mark_proven(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        run.proven = true;
        self.workers[run.worker].trials -= u32::from(run.trial);
    }

    /// Nothing is held against a task for one of its runs any more.
    pub(super) fn forget_loss(&mut self, loss_key: LossKey) {
        self.forget_losses(loss_key.step, loss_key.index, |loss| {
            loss.run == loss_key.run
        });
    }

    pub(super) fn forget_losses(
        &mut self,
        step: StepKey,
        index: u32,
        is_cleared: impl Fn(&Loss) -> bool,
    ) {
        let Some(step) = self.steps.get_mut(step) else {
            return;
        };
        let losses = &mut step.tasks[index as usize].losses;
        let before = losses.len();
        losses.retain(|loss| !is_cleared(loss));
        if losses.len() < before {
            self.jobs[step.job].dirty = true;
        }
    }
}
