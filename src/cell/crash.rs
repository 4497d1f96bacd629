//! Runs that were on a worker when it was lost, counted by task.
//!
//! A crashed worker reports no end for its runs. Without this count, a task that crashes every
//! worker would be restarted without limit: in one incident, seven starts of one task within 25 s
//! took down seven workers for 3.4 s each, with up to ten other runs. A crash alone does not show
//! which of the runs on the worker caused it; that shows only when a suspect task is started in
//! isolation, as a trial (docs/DESIGN.md, "Tasks that crash their workers";
//! docs/incidents/crashing-tasks.md).

use serde::{Deserialize, Serialize};

use crate::cell::job::{Phase, Run, Task};
use crate::cell::life::Life;
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

    pub(super) fn unproven_runs(&self, key: WorkerKey) -> Vec<RunKey> {
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

    pub(super) fn loss_key(&self, key: RunKey) -> LossKey {
        LossKey::of(&self.runs[key])
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
    pub(super) fn mark_proven(&mut self, key: RunKey) {
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
