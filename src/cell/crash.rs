//! Runs under which a worker was lost, counted by task.
//!
//! A worker that crashes lists no end, so a task that crashes each worker would look new
//! every time and be started without end: seven starts of one task in 25 s took seven workers
//! down for 3.4 s each, with up to ten other runs.  Which task is to blame shows only when it
//! is tried by itself (docs/DESIGN.md, "Tasks that crash their workers";
//! docs/incidents/crashing-tasks.md).

use serde::{Deserialize, Serialize};

use crate::cell::job::{JobState, Run, Task};
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
    /// Its start was not answered.
    #[serde(default)]
    pub unanswered: bool,
    /// The life is over for certain.
    pub crashed: bool,
    /// A successor would know of it.
    #[serde(skip)]
    pub recorded: bool,
}

/// Losses on one life of a worker whose fate is not known yet.
#[derive(Debug)]
pub(super) struct Doubt {
    machine: String,
    /// When the first of them was noted, by our clock.
    since: Millis,
    places: Vec<LossKey>,
}

/// Where a loss is noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LossKey {
    step: StepKey,
    index: u32,
    run: u64,
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
        self.begun.is_none() || self.answered + tuning::FRESH >= then
    }
}

impl Task {
    /// Tells whether a start of it may have crashed a worker; it is tried by itself then.
    pub(super) fn is_suspect(&self) -> bool {
        self.losses.iter().any(|loss| loss.blame != Blame::Late)
    }

    /// Tells whether it may be started as far as its losses go.  One without an answer that the
    /// store does not know of would be lost with its owner; and while the verdict on the last one would end the job,
    /// that is awaited, or a worker that is slow to come back lets it crash one more.
    pub(super) fn may_be_risked(&self) -> bool {
        let known = |loss: &Loss| loss.recorded || !loss.unanswered;
        let may_count = |loss: &Loss| loss.crashed || loss.blame != Blame::Late;
        self.losses.iter().all(known) && !self.is_hopeless(may_count)
    }

    /// Tells whether the job is given up if those losses count which `counts` names.
    fn is_hopeless(&self, counts: impl Fn(&Loss) -> bool) -> bool {
        let counted = || self.losses.iter().filter(|loss| counts(loss));
        let sole = counted().filter(|loss| loss.blame == Blame::Sole).count();
        sole >= tuning::MOST_SOLE_CRASHES || counted().count() >= tuning::MOST_LOSSES
    }
}

impl Cell {
    /// A worker has been silent for a while: the next owner must know what may have crashed it.
    pub(super) fn suspect_silent(&mut self, key: WorkerKey, now: Millis) {
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
        let young = self.young_runs(key);
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
        let is_unanswered = |run: &RunKey| self.runs[*run].begun.is_none();
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
        let young = self.young_runs(key).into_iter();
        young
            .filter(|&run| self.runs[run].is_fresh(silent))
            .collect()
    }

    fn young_runs(&self, key: WorkerKey) -> Vec<RunKey> {
        let runs = self.workers[key].runs.iter().copied();
        runs.filter(|&run| !self.runs[run].proven).collect()
    }

    fn note_loss(&mut self, key: RunKey, blame: Blame, now: Millis) {
        let run = &self.runs[key];
        let (step, index, number) = (run.step, run.index, run.number);
        let unanswered = run.begun.is_none();
        let entry = &self.workers[run.worker].entry;
        let (life, machine) = (entry.life.clone(), entry.machine.clone());
        let job = &mut self.jobs[self.steps[step].job];
        let losses = &mut self.steps[step].tasks[index as usize].losses;
        if job.state.is_final() || losses.iter().any(|loss| loss.run == number) {
            return;
        }
        job.dirty = true;
        losses.push(Loss {
            run: number,
            worker: life.id.clone(),
            born: life.born,
            machine: machine.clone(),
            blame,
            unanswered,
            crashed: false,
            recorded: false,
        });
        let place = self.loss_key(key);
        self.doubt(life, machine, place, now);
    }

    fn loss_key(&self, key: RunKey) -> LossKey {
        let run = &self.runs[key];
        LossKey {
            step: run.step,
            index: run.index,
            run: run.number,
        }
    }

    fn doubt(&mut self, life: Life, machine: String, place: LossKey, now: Millis) {
        let doubt = self.doubts.entry(life).or_insert_with(|| Doubt {
            machine,
            since: now,
            places: Vec::new(),
        });
        doubt.places.push(place);
    }

    /// A worker has answered a look: what is noted of this life did not crash it, nor did a start
    /// that was given up as unanswered before the look was sent.
    pub(super) fn clear_doubts(&mut self, key: WorkerKey, sent: Sequence) {
        for run in self.young_runs(key) {
            if self.runs[run].doubted.is_some_and(|heard| heard < sent) {
                self.is_not_to_blame(run);
            }
        }
        let worker = &mut self.workers[key];
        worker.suspected = false;
        let life = worker.entry.life.clone();
        // An owner that did not know when the life started may have noted it so.
        self.drop_doubt(&Life::of(life.id.as_str()));
        self.drop_doubt(&life);
    }

    fn drop_doubt(&mut self, life: &Life) {
        let Some(doubt) = self.doubts.remove(life) else {
            return;
        };
        for place in doubt.places {
            self.forget_losses(place.step, place.index, |loss| loss.run == place.run);
        }
    }

    /// A life of a worker is over: whatever is noted of it has crashed with it, but for starts of
    /// which it is not known yet whether it had carried them out.
    pub(super) fn confirm_crash(&mut self, life: &Life, awaited: &[RunKey], now: Millis) {
        let awaited: Vec<LossKey> = awaited.iter().map(|&key| self.awaited[key]).collect();
        let Some(doubt) = self.doubts.remove(life) else {
            return;
        };
        for place in doubt.places {
            if !awaited.contains(&place) {
                self.count_crash(place, now);
            }
        }
    }

    /// It shows later whether a start was carried out by the life that is over.
    pub(super) fn await_verdict(&mut self, key: RunKey) {
        let place = self.loss_key(key);
        self.awaited.insert(key, place);
    }

    /// A run is found in a life of its worker that goes on.
    pub(super) fn has_survived(&mut self, key: RunKey) {
        if let Some(place) = self.awaited.remove(key) {
            self.forget_losses(place.step, place.index, |loss| loss.run == place.run);
        }
    }

    /// A start whose worker was lost is found nowhere: if it was carried out, then by the life that
    /// is over.
    pub(super) fn begins_no_more(&mut self, key: RunKey, now: Millis) {
        if let Some(place) = self.awaited.remove(key) {
            self.count_crash(place, now);
        }
    }

    /// The answer to a start came after its worker had been lost.
    pub(super) fn start_answered_late(&mut self, key: RunKey, outcome: StartOutcome, now: Millis) {
        let Some(place) = self.awaited.remove(key) else {
            return;
        };
        match outcome {
            StartOutcome::Refused(_) => {
                self.forget_losses(place.step, place.index, |loss| loss.run == place.run);
            }
            StartOutcome::Started | StartOutcome::Unanswered => self.count_crash(place, now),
        }
    }

    fn count_crash(&mut self, place: LossKey, now: Millis) {
        let Some(step) = self.steps.get_mut(place.step) else {
            return;
        };
        let (job, name) = (step.job, step.task_name(place.index));
        let task = &mut step.tasks[place.index as usize];
        let Some(loss) = task.losses.iter_mut().find(|loss| loss.run == place.run) else {
            return;
        };
        loss.crashed = true;
        let (worker, blame) = (loss.worker.clone(), loss.blame);
        let (losses, hopeless) = (task.losses.len(), task.is_hopeless(|loss| loss.crashed));
        // Of ten runs that were merely there nothing is to be told.
        if blame != Blame::Late || hopeless {
            tracing::info!(request = %name.step.job, task = %name, run = place.run, worker, ?blame, losses, hopeless, "worker crashed under a task");
        }
        self.counts.crashes += 1;
        if self.jobs[job].state.is_final() {
            return;
        }
        self.jobs[job].dirty = true;
        if hopeless {
            self.end_job(job, JobState::Failed);
            self.stop_step(place.step, now, "job has failed");
        }
    }

    /// Decides about lives that are not listed any more: another life of the machine that answers
    /// proves that they crashed.  A worker that was cut off, drained or removed has none, and nothing is
    /// held against a task for ever.
    pub(super) fn settle_doubts(&mut self, now: Millis) {
        if self.doubts.is_empty() || self.awaits_list {
            return;
        }
        let mut crashed = Vec::new();
        let mut faded = Vec::new();
        for (life, doubt) in &self.doubts {
            if self.is_over(life, doubt) {
                crashed.push(life.clone());
            } else if now.saturating_sub(doubt.since) > tuning::VERDICT_WAIT {
                faded.push(life.clone());
            }
        }
        for life in crashed {
            self.confirm_crash(&life, &[], now);
        }
        for life in faded {
            self.drop_doubt(&life);
        }
    }

    /// Tells whether another life of its machine proves that a life is over: one that was heard after
    /// that life was doubted.  Its entry alone may be that of an earlier life.
    fn is_over(&self, life: &Life, doubt: &Doubt) -> bool {
        match self.worker_ids.get(&life.id).map(|&key| &self.workers[key]) {
            Some(worker) => worker.fenced && worker.entry.life.differs_from(life.born),
            None => self.workers.values().any(|worker| {
                let heard = worker.fenced && worker.heard >= doubt.since;
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
        let recorded = |loss: &Loss| Loss {
            recorded: true,
            ..loss.clone()
        };
        self.steps[step].tasks[index as usize].losses = losses.iter().map(recorded).collect();
        for loss in losses.iter().filter(|loss| !loss.crashed) {
            let run = loss.run;
            let place = LossKey { step, index, run };
            self.doubt(loss.life(), loss.machine.clone(), place, now);
        }
    }

    /// These losses of a task are durable.
    pub(super) fn losses_are_recorded(&mut self, step: StepKey, index: u32, recorded: &[Loss]) {
        for loss in &mut self.steps[step].tasks[index as usize].losses {
            loss.recorded |= recorded.iter().any(|other| other.run == loss.run);
        }
    }

    /// A look shows that a run goes on: after a while it is not to blame for what was lost when it
    /// began, and long after for nothing.
    pub(super) fn prove_run(&mut self, key: RunKey, now: Millis) {
        let run = &mut self.runs[key];
        let age = now.saturating_sub(run.answered);
        let (step, index) = (run.step, run.index);
        if age < tuning::YOUNG {
            return;
        }
        if !run.proven {
            self.is_not_to_blame(key);
            self.forget_losses(step, index, |loss| loss.blame != Blame::Late);
        }
        if age >= tuning::LOSSES_FADE {
            self.forget_losses(step, index, |_| true);
        }
    }

    fn is_not_to_blame(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        run.proven = true;
        self.workers[run.worker].trials -= u32::from(run.trial);
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
