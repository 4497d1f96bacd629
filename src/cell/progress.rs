//! Judging runs by their progress: those that stand still or crawl are given up, and
//! those that a leaving worker would take with it are moved.
//!
//! Times here are the worker's own, so that a stall of ours is not taken for one of
//! the worker's.

use crate::cell::job::{Phase, Run};
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

/// What was seen of a run's progress.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunProgress {
    /// The first percent that counts, and the worker's clock then.
    pub first: Option<(u32, Millis)>,
    /// The newest.
    pub last: (u32, Millis),
    /// It is far slower than it should be.
    pub slow: bool,
}

impl RunProgress {
    /// Hundredths of the work for each second, if watched for long enough.
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

/// How far the guesses of a queue's callers are off.
#[derive(Debug, Clone, Copy, Default)]
pub struct EstimateError {
    /// Runs that ended well.
    pub seen: u32,
    /// The largest share of a guess that a run took of late.
    pub worst: f64,
}

impl Run {
    /// Notes the progress that a look tells; while saved progress is being restored
    /// nothing moves, so a while after the start does not count.
    pub(super) fn note_progress(&mut self, percent: u32, clock: Millis, now: Millis) {
        self.progress.last = (percent, clock);
        let settled = !self.restored || now >= self.began_at + tuning::RESTORE_TIME;
        if self.progress.first.is_none() && settled {
            self.progress.first = Some((percent, clock));
        }
    }

    /// Estimates how long the run still takes at its present rate.
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
    /// Gives a run up if it is so slow that a new start elsewhere is done sooner.
    pub(super) fn detect_slow_run(&mut self, key: RunKey, now: Millis) {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        let spec = step.step();
        if spec.lasting || spec.filler || spec.gang || run.stop.is_some() || run.progress.slow {
            return;
        }
        // Slow on several workers it is the task that is long: it was stopped on each in turn, for ever.
        if step.tasks[run.index as usize].slow_runs >= tuning::MAX_SLOW_RUNS {
            return;
        }
        let Some(rate) = run.progress.rate() else {
            return;
        };
        let Some(expected) = self.expected_rate(key) else {
            return;
        };
        if rate >= expected * tuning::SLOW_RATE_SHARE {
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
            expected,
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

    /// The rate that a run should have: that of the same step elsewhere, else that of
    /// the queue's worst guess so far; none if there is nothing to compare with.
    fn expected_rate(&self, key: RunKey) -> Option<f64> {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        let elsewhere = step
            .tasks
            .iter()
            .flat_map(|task| &task.runs)
            .map(|&other| &self.runs[other])
            .filter(|other| other.worker != run.worker)
            .filter_map(|other| other.progress.rate());
        // The quickest of them is no measure: tasks of one step differ by more than workers do.
        let elsewhere = median(elsewhere.collect());
        if elsewhere > 0.0 {
            return Some(elsewhere);
        }
        let queue = &self.jobs[step.job].queue.name;
        let guesses = self.estimate_errors.get(queue)?;
        let enough = guesses.seen >= tuning::MIN_ESTIMATE_SAMPLES;
        let longest = step.step().estimate.max(1) as f64 * guesses.worst;
        enough.then_some(100_000.0 / longest)
    }

    /// Learns how far a queue's guesses are off, from a run that ended well.
    pub(super) fn learn_estimate_error(&mut self, run: &Run, now: Millis) {
        let step = &self.steps[run.step];
        let estimate = step.step().estimate;
        if run.restored || run.began_at == 0 || estimate == 0 || step.step().gang {
            return;
        }
        let took = now.saturating_sub(run.began_at) as f64 / estimate as f64;
        let queue = self.jobs[step.job].queue.name.clone();
        let guesses = self.estimate_errors.entry(queue).or_default();
        guesses.seen += 1;
        guesses.worst = took.max(guesses.worst * tuning::ESTIMATE_ERROR_DECAY);
    }

    /// Places nothing on a worker for a while, and then one task to try it.
    pub(super) fn shun(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        worker.health.shunned_until = now + tuning::SHUN_TIME;
        worker.health.on_trial = true;
        tracing::info!(
            worker = worker.entry.life.id,
            failures = worker.health.failures,
            "worker shunned"
        );
    }

    /// Moves what a leaving worker would take with it.
    pub(super) fn stop_runs_outlasting_worker(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        let (Some(since), Some(notice)) = (worker.leaving_since, worker.entry.leaving) else {
            return;
        };
        let left = (since + notice).saturating_sub(now);
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
                .remaining(spec.estimate)
                .saturating_add(tuning::LEAVE_MARGIN)
                > left
    }
}

/// The middle one of some rates; zero if there are none.
fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_unstable_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or_default()
}
