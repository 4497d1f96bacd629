//! Trying tasks that may crash their workers, each by itself.
//!
//! Whoever was beside a culprit is under suspicion as well, so the next start of a suspect is one
//! that tells: alone, where it does the least harm, and few at a time (docs/DESIGN.md, "Tasks that
//! crash their workers").

use crate::cell::job::{Phase, Task};
use crate::cell::schedule::PlacementCandidate;
use crate::cell::{Cell, RunKey, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Tells whether a task is tried by itself: it may have crashed a worker, or its step is doubted.
    pub(super) fn needs_trial(&self, key: StepKey, index: u32) -> bool {
        self.steps[key].tasks[index as usize].is_suspect() || self.is_step_suspect(key)
    }

    /// Tells whether a task of a step may have crashed a worker, and none has shown that they can run.
    pub(super) fn is_step_suspect(&self, key: StepKey) -> bool {
        let step = &self.steps[key];
        let runs = |task: &Task| task.runs.iter().any(|&run| self.runs[run].proven);
        let unheard = |task: &Task| task.runs.iter().any(|&run| self.fell_silent_at_start(run));
        let doubted = |task: &Task| task.is_suspect() || unheard(task);
        step.tasks.iter().any(doubted) && !step.tasks.iter().any(|task| task.done || runs(task))
    }

    /// Tells whether a worker fell silent while or just after a run was started there.
    fn fell_silent_at_start(&self, run: RunKey) -> bool {
        let run = &self.runs[run];
        let silent = self.workers[run.worker].silent_since;
        !run.proven && silent.is_some_and(|since| run.is_fresh(since))
    }

    /// Tells whether a task is being tried by itself on a worker, other than those of a gang that
    /// must start together.
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

    /// The place where a suspect does the least harm: where nothing else is just being
    /// started, so that a crash shows who is to blame, on a machine that it has not
    /// crashed yet, and with the fewest processors in use.
    pub(super) fn trial_worker(
        &self,
        key: StepKey,
        index: u32,
        places: &[PlacementCandidate],
        now: Millis,
    ) -> Option<WorkerKey> {
        if !self.may_start_trial(key) {
            return None;
        }
        let losses = &self.steps[key].tasks[index as usize].losses;
        let quiet = places
            .iter()
            .map(|place| place.worker)
            .filter(|&worker| self.has_no_recent_start(worker, key, now));
        quiet.min_by_key(|&worker| {
            let worker = &self.workers[worker];
            let machine = &worker.entry.machine;
            let again = losses.iter().any(|loss| loss.machine == *machine);
            (again, worker.used.millicores)
        })
    }

    /// Tells whether one more suspect of a step may be tried: a step may be at fault as a whole, and
    /// each try may cost a worker, so nothing more of it is tried before the last one is clear.
    fn may_start_trial(&self, key: StepKey) -> bool {
        let is_open = |&run: &RunKey| {
            let is_trial = self.runs[run].trial && !self.runs[run].proven;
            is_trial || self.fell_silent_at_start(run)
        };
        let mut runs = self.steps[key].tasks.iter().flat_map(|task| &task.runs);
        let most = (self.workers.len() / tuning::WORKERS_PER_TRIAL).max(1);
        let all: u32 = self.workers.values().map(|worker| worker.trials).sum();
        (all as usize) < most && !runs.any(is_open)
    }

    /// Tells whether every other start on a worker was answered a while ago.
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
