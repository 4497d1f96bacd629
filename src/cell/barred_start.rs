//! Starts that one life of a worker has barred and a later life of the same id may still carry out.
//!
//! A start that brings no answer may arrive up to [`tuning::MAX_ORDER_DELAY`] late.  The life that
//! it was meant for refuses it once it has confirmed the stop, or has seen the epoch of the next
//! owner.  That bar ends with the life: until a poll reaches the next one, that life has seen
//! neither and carries the start out.  If the task crashes it, the owner may never hear of it.  So
//! the start stays with its task as a barred loss until it can no longer arrive, and counts beside
//! crashes if its life is found ended before that (docs/DESIGN.md, "Tasks that crash their
//! workers"; docs/incidents/late-starts.md).

use crate::cell::crash::{Blame, LossKey};
use crate::cell::job::{Phase, Task};
use crate::cell::life::Life;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

impl Task {
    /// Returns whether a barred start of the task may have been carried out, or may still be.
    pub(super) fn has_barred_start(&self) -> bool {
        self.losses.iter().any(|loss| loss.barred)
    }
}

impl Cell {
    /// Returns whether a task, or any member of its gang, has a barred start.  Its next start is
    /// recorded before it is sent, and the barred one with it: otherwise both would be forgotten
    /// with the owner.
    pub(super) fn has_barred_start(&self, key: StepKey, index: u32) -> bool {
        let step = &self.steps[key];
        if step.step().gang {
            step.tasks.iter().any(Task::has_barred_start)
        } else {
            step.tasks[index as usize].has_barred_start()
        }
    }

    /// Keeps the start of a run that is about to be removed as a barred loss, unless it was
    /// answered, can reach no other life, or the job has [`tuning::MAX_BARRED_STARTS`].  Replaces
    /// what was noted of the run as a possible cause of a crash: the life that it was meant for has
    /// not begun it.
    pub(super) fn bar_start(&mut self, key: RunKey, now: Millis) {
        let run = &self.runs[key];
        let (loss_key, worker) = (LossKey::of(run), run.worker);
        let is_open = run.phase != Phase::Planned && run.start_heard.is_none();
        if !is_open || !self.workers[worker].entry.life.may_recur() {
            return self.forget_loss(loss_key);
        }
        let loss = self.loss_of(key);
        let job = self.steps[loss_key.step].job;
        let is_full = self.count_losses(job, |loss| loss.barred) >= tuning::MAX_BARRED_STARTS;
        let Some(task) = self.task_of_loss(loss_key) else {
            return;
        };
        if !task.losses.iter().any(|known| known.run == loss.run) {
            if is_full {
                return;
            }
            task.losses.push(loss);
        }
        task.avoid = Some(worker);
        self.bar_loss(worker, loss_key, now);
    }

    /// Keeps the start of a run that is lost with its worker as a barred loss, unless the run is
    /// among those that may have crashed the worker.
    pub(super) fn bar_uncounted_start(&mut self, key: RunKey, now: Millis) {
        let run = &self.runs[key];
        let losses = &self.steps[run.step].tasks[run.index as usize].losses;
        let known = losses.iter().find(|loss| loss.run == run.number);
        if known.is_none_or(|loss| loss.planned) {
            self.bar_start(key, now);
        }
    }

    /// Turns the loss of a start that its worker has not begun into a barred one.
    pub(super) fn bar_loss(&mut self, key: WorkerKey, loss_key: LossKey, now: Millis) {
        let Some(task) = self.task_of_loss(loss_key) else {
            return;
        };
        let mut losses = task.losses.iter_mut();
        let Some(loss) = losses.find(|loss| loss.run == loss_key.run) else {
            return;
        };
        loss.blame = Blame::Late;
        loss.unanswered = true;
        loss.planned = false;
        loss.barred = true;
        let entry = self.workers[key].entry.clone();
        self.add_barred_loss(&entry.life, &entry.machine, loss_key, now);
    }

    /// Returns whether a start that a life has barred, and that could arrive until `until`, is
    /// void: the life was heard after that.  If it stays silent, its end is awaited no longer than
    /// that of any other.
    pub(super) fn is_barred_start_void(&self, life: &Life, until: Millis, now: Millis) -> bool {
        let worker = self.worker_ids.get(&life.id).map(|&key| &self.workers[key]);
        let outlived = worker.is_some_and(|worker| {
            worker.fenced && worker.last_heard >= until && worker.entry.life == *life
        });
        outlived || now >= until + tuning::CRASH_VERDICT_TIMEOUT
    }

    /// Marks counted barred starts of tasks that wait for nothing else as settled, once they can no
    /// longer arrive: the next start does not wait for them any more.  They still count beside the
    /// crashes that follow, since they may have been carried out.
    pub(super) fn settle_barred_starts(&mut self, now: Millis) {
        let counted = std::mem::take(&mut self.counted_barred_starts);
        for (loss_key, until) in counted {
            let Some(task) = self.task_of_loss(loss_key) else {
                continue;
            };
            let waits = task.waits_for_barred_starts();
            let mut losses = task.losses.iter_mut();
            let Some(loss) = losses.find(|loss| loss.run == loss_key.run) else {
                continue;
            };
            if now >= until && waits {
                loss.settled = true;
                let job = self.steps[loss_key.step].job;
                self.jobs[job].dirty = true;
            } else {
                self.counted_barred_starts.push((loss_key, until));
            }
        }
    }

    /// Forgets that a run was barred, since a worker lists it as running or ended: it was carried
    /// out, and is not once more.
    pub(super) fn forget_executed_start(&mut self, step: StepKey, index: u32, run: u64) {
        self.forget_losses(step, index, |loss| loss.barred && loss.run == run);
    }

    fn task_of_loss(&mut self, loss_key: LossKey) -> Option<&mut Task> {
        let step = self.steps.get_mut(loss_key.step)?;
        if self.jobs[step.job].state.is_final() {
            return None;
        }
        step.tasks.get_mut(loss_key.index as usize)
    }
}
