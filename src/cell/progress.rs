//! Acting on the progress of runs: slow runs are started again elsewhere, and runs that would not
//! end before their worker leaves are moved.
//!
//! Rates are measured by the worker's clock, so that a stall of the owner is not taken for a stall
//! of the worker.

use crate::cell::job::{Phase, Run};
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

/// The observed progress of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunProgress {
    /// The first percentage that counts, and the worker's clock at that time.
    pub first: Option<(u32, Millis)>,
    /// The latest percentage, and the worker's clock at that time.
    pub last: (u32, Millis),
    /// The run was found to be far slower than expected.
    pub slow: bool,
}

impl RunProgress {
    /// Returns the rate in percent of the work per second; none until the run has been watched for
    /// [`tuning::MIN_WATCH_TIME`].
    pub fn rate(&self) -> Option<f64> {
        let (first, from) = self.first?;
        let (last, until) = self.last;
        let watched = until.saturating_sub(from);
        if watched < tuning::MIN_WATCH_TIME {
            return None;
        }
        Some(f64::from(last.saturating_sub(first)) * 1_000.0 / watched as f64)
    }
}

/// By how much the callers of a queue underestimate run times.
#[derive(Debug, Clone, Copy, Default)]
pub struct EstimateError {
    /// The number of successful runs that were compared with their estimates.
    pub samples: u32,
    /// The largest recent ratio of a run's time to its estimate, which decays with each run.
    pub worst_ratio: f64,
}

impl Run {
    /// Notes the progress that a poll reports.
    ///
    /// A run shows no progress while its checkpoint is being restored, so for
    /// [`tuning::RESTORE_TIME`] after the start of such a run nothing is counted.
    pub(super) fn note_progress(&mut self, percent: u32, clock: Millis, now: Millis) {
        self.progress.last = (percent, clock);
        let settled = !self.restored || now >= self.began_at + tuning::RESTORE_TIME;
        if self.progress.first.is_none() && settled {
            self.progress.first = Some((percent, clock));
        }
    }

    /// Estimates how long the run will still take at its present rate, in milliseconds.
    pub(super) fn remaining(&self, estimate: Millis) -> Millis {
        let left = f64::from(100_u32.saturating_sub(self.progress.last.0));
        match self.progress.rate() {
            Some(rate) if rate > 0.0 => (left / rate * 1_000.0) as Millis,
            Some(_) => Millis::MAX,
            None => estimate * left as Millis / 100,
        }
    }
}

impl Cell {
    /// Marks a run as slow and shuns its worker if a new start elsewhere would be done in less than
    /// two thirds of the time that the run still needs.  The run is stopped unless its step allows
    /// copies.
    pub(super) fn detect_slow_run(&mut self, key: RunKey, now: Millis) {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        let spec = step.step();
        if spec.lasting || spec.filler || spec.gang || run.stop.is_some() || run.progress.slow {
            return;
        }
        // A task that is slow on several workers is long itself.  Without this limit such a task
        // was stopped on one worker after another, forever.
        if step.tasks[run.index as usize].slow_runs >= tuning::MAX_SLOW_RUNS {
            return;
        }
        let Some(rate) = run.progress.rate() else {
            return;
        };
        let Some(expected) = self.expected_rate(key) else {
            return;
        };
        let expected_here = expected / self.slowdown(run.worker);
        if rate >= expected_here * tuning::SLOW_RATE_SHARE {
            return;
        }
        let here = run.remaining(spec.estimate);
        let there = (100.0 / expected * 1_000.0) as Millis + tuning::RESTART_COST;
        if here <= there + there / 2 {
            return;
        }
        let (step_key, worker, index) = (run.step, run.worker, run.index);
        let task = step.task_name(index);
        let copies = spec.copies;
        tracing::info!(
            request = %task.step.job,
            %task,
            run = run.number,
            worker = self.workers[worker].entry.life.id,
            percent = run.progress.last.0,
            rate,
            expected = expected_here,
            "run is slow"
        );
        self.runs[key].progress.slow = true;
        let task = &mut self.steps[step_key].tasks[index as usize];
        task.avoid = Some(worker);
        task.slow_runs += 1;
        self.shun(worker, now);
        if !copies {
            self.stop_run(key, now, "too slow");
        }
    }

    /// Returns the rate that a run should have on a typical worker: the median of the same step's
    /// runs on other workers, corrected for their speed, else the rate by the worst estimate error
    /// of the queue; none if there is nothing to compare with.
    fn expected_rate(&self, key: RunKey) -> Option<f64> {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        let elsewhere = step
            .started_tasks()
            .iter()
            .flat_map(|task| &task.runs)
            .map(|&other| &self.runs[other])
            .filter(|other| other.worker != run.worker)
            .filter_map(|other| Some(other.progress.rate()? * self.slowdown(other.worker)));
        // The median and not the fastest, since tasks of one step differ by more than workers do.
        let elsewhere = median(elsewhere.collect());
        if elsewhere > 0.0 {
            return Some(elsewhere);
        }
        let queue = &self.jobs[step.job].queue.name;
        let error = self.estimate_errors.get(queue)?;
        let enough = error.samples >= tuning::MIN_ESTIMATE_SAMPLES;
        let longest = step.step().estimate.max(1) as f64 * error.worst_ratio;
        enough.then_some(100_000.0 / longest)
    }

    /// Updates the estimate error of a queue from a run that succeeded.
    pub(super) fn learn_estimate_error(&mut self, run: &Run, now: Millis) {
        let step = &self.steps[run.step];
        let estimate = step.step().estimate;
        if run.restored || run.began_at == 0 || estimate == 0 || step.step().gang {
            return;
        }
        let expected = estimate as f64 * self.slowdown(run.worker);
        let took = now.saturating_sub(run.began_at) as f64 / expected;
        let queue = self.jobs[step.job].queue.name.clone();
        let error = self.estimate_errors.entry(queue).or_default();
        error.samples += 1;
        error.worst_ratio = took.max(error.worst_ratio * tuning::ESTIMATE_ERROR_DECAY);
    }

    /// Stops the runs that would not end before their worker leaves, so that they start elsewhere.
    pub(super) fn stop_runs_outlasting_worker(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        let (Some(since), Some(notice)) = (worker.leaving_since, worker.entry.leaving) else {
            return;
        };
        let left = since.saturating_add(notice).saturating_sub(now);
        let late: Vec<RunKey> = worker
            .runs
            .iter()
            .copied()
            .filter(|&run| self.outlasts_notice(run, left))
            .collect();
        for run in late {
            self.stop_run(run, now, "the worker leaves");
        }
    }

    fn outlasts_notice(&self, key: RunKey, left: Millis) -> bool {
        let run = &self.runs[key];
        let spec = self.steps[run.step].step();
        if run.phase != Phase::Running || run.stop.is_some() {
            return false;
        }
        spec.lasting
            || run
                .remaining(self.expected_duration(run.step, run.worker))
                .saturating_add(tuning::LEAVE_MARGIN)
                > left
    }
}

/// Returns the median of some rates, the upper one of an even number; zero if there are none.
fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_unstable_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or_default()
}
