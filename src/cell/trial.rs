//! Trials: isolated runs of tasks that may crash their workers.
//!
//! Tasks that were started beside the one that crashed a worker are suspects as well.  So the next
//! start of a suspect must show whether it is to blame: it is the only recent start on its worker,
//! the worker is one where a crash does the least harm, and few trials run at a time
//! (docs/DESIGN.md, "Tasks that crash their workers").

use crate::cell::candidates::PlacementCandidate;
use crate::cell::job::{Phase, Task};
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Returns whether a task must be started as a trial: it may have crashed a worker, or its step
    /// is suspect.
    pub(super) fn needs_trial(&self, key: StepKey, index: u32) -> bool {
        self.steps[key].tasks[index as usize].is_suspect() || self.is_step_suspect(key)
    }

    /// Returns whether a step is suspect as a whole: one of its tasks may have crashed a worker,
    /// and none is done or has run long enough to be cleared.
    pub(super) fn is_step_suspect(&self, key: StepKey) -> bool {
        let step = &self.steps[key];
        let is_cleared = |task: &Task| task.runs.iter().any(|&run| self.runs[run].proven);
        let fell_silent = |task: &Task| task.runs.iter().any(|&run| self.fell_silent_at_start(run));
        let is_suspect = |task: &Task| task.is_suspect() || fell_silent(task);
        let has_done = (step.open as usize) < step.tasks.len();
        let started = step.started_tasks();
        !has_done && started.iter().any(is_suspect) && !started.iter().any(is_cleared)
    }

    /// Returns whether the worker of a run fell silent while the run was being started, or just
    /// after.
    fn fell_silent_at_start(&self, run: RunKey) -> bool {
        let run = &self.runs[run];
        let silent = self.workers[run.worker].silent_since;
        !run.proven && silent.is_some_and(|since| run.is_fresh(since))
    }

    /// Returns whether a trial is in progress on a worker.  Members of the same gang as `step` do
    /// not count, since they must start together.
    pub(super) fn hosts_trial(&self, worker: WorkerKey, step: StepKey) -> bool {
        let worker = &self.workers[worker];
        let is_active_trial = |&run: &RunKey| {
            let run = &self.runs[run];
            run.trial && !run.proven && !self.are_same_gang(run.step, step)
        };
        worker.trials > 0 && worker.runs.iter().any(is_active_trial)
    }

    fn are_same_gang(&self, one: StepKey, other: StepKey) -> bool {
        one == other && self.steps[one].step().gang
    }

    /// Chooses the worker for a trial of a suspect.  It has no other recent start, so that a crash
    /// shows which task is to blame.  Among those, machines on which the task was not lost before
    /// go first, then workers with the fewest processors in use, where a crash does the least harm.
    pub(super) fn trial_worker(
        &self,
        key: StepKey,
        index: u32,
        candidates: &[PlacementCandidate],
        now: Millis,
    ) -> Option<WorkerKey> {
        if !self.may_start_trial(key) {
            return None;
        }
        let losses = &self.steps[key].tasks[index as usize].losses;
        let workers = candidates
            .iter()
            .map(|candidate| candidate.worker)
            .filter(|&worker| self.has_no_recent_start(worker, key, now));
        workers.min_by_key(|&worker| {
            let worker = &self.workers[worker];
            let machine = &worker.entry.machine;
            let was_lost_there = losses.iter().any(|loss| loss.machine == *machine);
            (was_lost_there, worker.used.millicores)
        })
    }

    /// Returns whether another trial of a step may start.  A step may be at fault as a whole, and
    /// each trial may cost a worker, so no earlier trial of the step may still be undecided.  The
    /// number of trials in the cell is limited as well.
    fn may_start_trial(&self, key: StepKey) -> bool {
        let is_unresolved = |&run: &RunKey| {
            let is_trial = self.runs[run].trial && !self.runs[run].proven;
            is_trial || self.fell_silent_at_start(run)
        };
        let started = self.steps[key].started_tasks();
        let mut runs = started.iter().flat_map(|task| &task.runs);
        let max_trials = (self.workers.len() / tuning::WORKERS_PER_TRIAL).max(1);
        let trials: u32 = self.workers.values().map(|worker| worker.trials).sum();
        (trials as usize) < max_trials && !runs.any(is_unresolved)
    }

    /// Returns whether every start on a worker, other than those of the same gang as `step`, was
    /// answered long enough ago not to be to blame for a crash now.
    pub(super) fn has_no_recent_start(
        &self,
        worker: WorkerKey,
        step: StepKey,
        now: Millis,
    ) -> bool {
        self.workers[worker].runs.iter().all(|&run| {
            let run = &self.runs[run];
            let settled =
                run.phase == Phase::Running && run.began_at + tuning::START_SETTLED_AFTER <= now;
            settled || self.are_same_gang(run.step, step)
        })
    }
}
