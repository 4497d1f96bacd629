//! Forecasts of when room becomes free on a worker, from the progress of its runs.

use crate::cell::round::{Forecast, Round};
use crate::cell::spec::Demand;
use crate::cell::{Cell, RunKey, WorkerKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Returns the forecast of a worker.  It is computed once a round, and again after a start on
    /// that worker.
    pub(super) fn forecast<'a>(&self, key: WorkerKey, round: &'a mut Round) -> &'a Forecast {
        let now = round.now;
        round
            .forecasts
            .entry(key)
            .expect("a worker of the cell")
            .or_insert_with(|| self.compute_forecast(key, now))
    }

    fn compute_forecast(&self, key: WorkerKey, now: Millis) -> Forecast {
        let worker = &self.workers[key];
        let mut releases: Vec<(Millis, Demand)> = worker
            .runs
            .iter()
            .filter_map(|&run| Some((self.expected_end(run, now)?, self.run_room(run))))
            .collect();
        releases.sort_unstable_by_key(|(at, _)| *at);
        Forecast {
            free: worker.free(),
            releases,
            not_before: now.max(worker.health.shunned_until),
        }
    }

    /// When a run is expected to end; `None` for a lasting step, which runs until cancelled.
    fn expected_end(&self, key: RunKey, now: Millis) -> Option<Millis> {
        let run = &self.runs[key];
        if run.stop.is_some() {
            return Some(now + tuning::TYPICAL_STOP_TIME);
        }
        let spec = self.steps[run.step].step();
        if spec.lasting {
            return None;
        }
        let duration = self.expected_duration(run.step, run.worker);
        Some(now.saturating_add(run.remaining(duration)))
    }

    fn run_room(&self, key: RunKey) -> Demand {
        self.steps[self.runs[key].step].step().room()
    }
}
