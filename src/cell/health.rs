//! Whose fault a failure is: that of the worker, which is then shunned, or that of the step.
//!
//! A failure says something of a worker only as far as the step does not fail elsewhere, and
//! something of a step only as far as other steps don't fail on that worker.  So for each worker
//! the steps are kept that have failed there since a run succeeded there, and for each step the
//! workers on which it has failed since a run of it went well.  A failure counts against the worker
//! unless its step has failed on more workers than steps have failed on this one: that explains all
//! failures by as few faulty workers and steps as possible.  Once a run of the step goes well
//! elsewhere, its failures count in any case ("Failing tasks" in `docs/DESIGN.md`).

use crate::cell::job::Run;
use crate::cell::order::EndKind;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// The most steps that are kept for a worker, and workers for a step.
const MAX_KEPT: usize = 32;

/// How far a worker's results can be trusted.
#[derive(Debug, Default)]
pub struct Health {
    /// The failures since the last run that succeeded there.
    recent: Vec<FailedStep>,
    /// No task is placed on the worker before this time, because runs failed or were slow there, or
    /// it refused a start for lack of health or room.  Unlike
    /// [`Worker::quarantined_until`](crate::cell::worker::Worker::quarantined_until), this says
    /// nothing about which orders can still reach the worker.
    pub shunned_until: Millis,
    /// The worker was shunned for failed or slow runs: it gets one task at a time until one has
    /// succeeded.
    pub on_trial: bool,
    /// The worker is shunned or on trial for failures only.
    is_shunned_for_failures: bool,
}

/// A step that has failed on a worker.
#[derive(Debug, Clone, Copy)]
struct FailedStep {
    step: StepKey,
    /// How many of its runs have failed there.
    count: u32,
    /// On how many workers it has failed.
    workers: usize,
    /// It goes well elsewhere.
    is_sound: bool,
}

impl Health {
    /// How many failures count against the worker.
    fn failures(&self) -> u32 {
        let steps = self.recent.len();
        let counts = |failed: &&FailedStep| failed.is_sound || failed.workers <= steps;
        self.recent
            .iter()
            .filter(counts)
            .map(|failed| failed.count)
            .sum()
    }

    fn fails_too_often(&self) -> bool {
        self.failures() >= tuning::MAX_CONSECUTIVE_FAILURES
    }

    fn note_success(&mut self) {
        self.recent.clear();
        self.on_trial = false;
        self.is_shunned_for_failures = false;
    }

    fn note_failure(&mut self, step: StepKey) {
        if let Some(failed) = self.recent.iter_mut().find(|failed| failed.step == step) {
            failed.count += 1;
            return;
        }
        if self.recent.len() == MAX_KEPT {
            self.recent.remove(0);
        }
        self.recent.push(FailedStep {
            step,
            count: 1,
            workers: 1,
            is_sound: false,
        });
    }

    /// Shuns the worker from `now` on.
    fn shun(&mut self, for_failures: bool, now: Millis) {
        let is_shunned_otherwise = self.on_trial && !self.is_shunned_for_failures;
        self.shunned_until = now + tuning::SHUN_TIME;
        self.on_trial = true;
        self.is_shunned_for_failures = for_failures && !is_shunned_otherwise;
    }

    /// Uses the worker again if it was shunned for failures that do not count against it any more.
    /// Returns whether it was.
    fn end_shunning(&mut self, now: Millis) -> bool {
        if !self.is_shunned_for_failures || self.fails_too_often() {
            return false;
        }
        self.shunned_until = self.shunned_until.min(now);
        self.on_trial = false;
        self.is_shunned_for_failures = false;
        true
    }
}

/// The workers on which a step has failed since a run of it went well.
#[derive(Debug, Default)]
pub struct FailedWorkers(Vec<WorkerKey>);

impl FailedWorkers {
    /// Returns whether a run has failed on a worker.
    pub fn include(&self, worker: WorkerKey) -> bool {
        self.0.contains(&worker)
    }

    fn note(&mut self, worker: WorkerKey) {
        if self.include(worker) {
            return;
        }
        if self.0.len() == MAX_KEPT {
            self.0.remove(0);
        }
        self.0.push(worker);
    }
}

impl Cell {
    /// Updates the health of workers by how a run ended that has just been removed.
    pub(super) fn update_health(&mut self, run: &Run, how: EndKind, now: Millis) {
        match how {
            EndKind::Done => {
                if let Some(worker) = self.workers.get_mut(run.worker) {
                    worker.health.note_success();
                }
                self.count_against_workers(run.step, now);
            }
            EndKind::Failed => self.note_failure(run, now),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    fn note_failure(&mut self, run: &Run, now: Millis) {
        if self.goes_well_elsewhere(run, now) {
            self.count_against_workers(run.step, now);
        }
        let Some(worker) = self.workers.get_mut(run.worker) else {
            return;
        };
        worker.health.note_failure(run.step);
        let failed = &mut self.steps[run.step].failed_workers;
        failed.note(run.worker);
        let workers = failed.0.clone();
        for &key in &workers {
            let change = |failed: &mut FailedStep| failed.workers = workers.len();
            self.review_health(key, run.step, change, now);
        }
        if self.workers[run.worker].health.fails_too_often() {
            self.shun_for(run.worker, true, now);
        }
    }

    /// Returns whether a lasting task has been at work elsewhere for far longer than a run that has
    /// failed.
    fn goes_well_elsewhere(&self, failed: &Run, now: Millis) -> bool {
        let step = &self.steps[failed.step];
        if !step.step().lasting || failed.began_at == 0 {
            return false;
        }
        let age = now.saturating_sub(failed.began_at);
        let enough = tuning::MIN_SOUND_RUN.max(2 * age);
        let runs = step.started_tasks().iter().flat_map(|task| &task.runs);
        let mut elsewhere = runs
            .map(|&key| &self.runs[key])
            .filter(|run| run.worker != failed.worker && run.began_at > 0);
        elsewhere.any(|run| now.saturating_sub(run.began_at) >= enough)
    }

    /// Counts the failures of a step against the workers on which they were, since one of its runs
    /// has gone well elsewhere.
    fn count_against_workers(&mut self, step: StepKey, now: Millis) {
        let workers = std::mem::take(&mut self.steps[step].failed_workers);
        for key in workers.0 {
            self.review_health(key, step, |failed| failed.is_sound = true, now);
        }
    }

    /// Changes what is known of a step that has failed on a worker, and what follows for the worker.
    fn review_health(
        &mut self,
        key: WorkerKey,
        step: StepKey,
        change: impl Fn(&mut FailedStep),
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let health = &mut worker.health;
        let failed_too_often = health.fails_too_often();
        let Some(failed) = health.recent.iter_mut().find(|failed| failed.step == step) else {
            return;
        };
        change(failed);
        if health.end_shunning(now) {
            tracing::info!(
                step = %self.steps[step].name,
                worker = worker.entry.life.id,
                "worker is used again: the step fails elsewhere"
            );
        } else if !failed_too_often && health.fails_too_often() {
            self.shun_for(key, true, now);
        }
    }

    /// Returns whether half of a worker's service is left if the worker is shunned.
    fn is_half_left_without(&self, key: WorkerKey, now: Millis) -> bool {
        let service = &self.workers[key].entry.service;
        let workers = self.workers.iter();
        let of_service = workers.filter(|(_, worker)| worker.entry.service == *service);
        let (mut all, mut avoided) = (0, 0);
        for (other, worker) in of_service {
            let is_avoided = worker.health.on_trial || worker.health.shunned_until > now;
            all += 1;
            avoided += usize::from(is_avoided || other == key);
        }
        2 * avoided <= all
    }

    /// Shuns a worker on which runs are slow: nothing is placed on it for [`tuning::SHUN_TIME`], and
    /// then only one task until a run there succeeds.
    pub(super) fn shun(&mut self, key: WorkerKey, now: Millis) {
        self.shun_for(key, false, now);
    }

    /// Shuns a worker, unless half of its service are shunned or on trial already: there are none
    /// to go to, so work would only stand still.
    fn shun_for(&mut self, key: WorkerKey, failures: bool, now: Millis) {
        if !self.is_half_left_without(key, now) {
            return;
        }
        let worker = &mut self.workers[key];
        worker.health.shun(failures, now);
        tracing::info!(
            worker = worker.entry.life.id,
            failures = worker.health.failures(),
            steps = worker.health.recent.len(),
            "worker shunned"
        );
    }
}

/// How long a lasting task waits that has failed so many times in a row soon after its start, in
/// milliseconds: not at all at first, then twice as long each time.
pub fn pause_after_failures(failures: u8) -> Millis {
    let doublings = u32::from(failures.saturating_sub(2)).min(16);
    match failures {
        0 | 1 => 0,
        _ => (tuning::FIRST_FAILURE_PAUSE << doublings).min(tuning::MAX_FAILURE_PAUSE),
    }
}
