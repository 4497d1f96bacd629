//! How long tasks really run, compared with what was declared.
//!
//! Workers are asked, they do not call, so an end is seen only when its worker is
//! next spoken to.  Asking at the expected end frees the room early and costs few
//! messages; when a task runs over, it is asked for at growing intervals.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::model::JobKind;
use crate::placement::TaskKey;
use crate::placement::cell::Cell;
use crate::placement::task::Phase;

/// The weight of the newest run in the running mean.
const NEWEST: f64 = 0.1;
/// The least time between two looks at one worker, in milliseconds.
const SHORTEST_LOOK: Millis = 50;
/// A task that runs over is looked at again after this part of its run so far.
const OVERRUN_PARTS: Millis = 8;
/// The largest ratio that is believed.
const MAX_RATIO: f64 = 100.0;

/// The ratio of real to declared run time, by team and kind of job.
#[derive(Debug, Default)]
pub struct Pace {
    ratios: HashMap<(String, JobKind), f64>,
}

impl Pace {
    /// Records a run that ended well.
    pub fn record(&mut self, team: &str, kind: JobKind, declared: Millis, real: Millis) {
        if declared == 0 {
            return;
        }
        let ratio = (real as f64 / declared as f64).min(MAX_RATIO);
        let mean = self.ratios.entry((team.to_owned(), kind)).or_insert(ratio);
        *mean += NEWEST * (ratio - *mean);
    }

    /// Returns how long a task is expected to run.
    pub fn expect(&self, team: &str, kind: JobKind, declared: Millis) -> Millis {
        let ratio = self
            .ratios
            .get(&(team.to_owned(), kind))
            .copied()
            .unwrap_or(1.0);
        (declared as f64 * ratio) as Millis
    }
}

impl Cell {
    /// Returns when a worker should next be asked, if a task there is to end.
    pub fn next_look(&self, vm: &str, now: Millis) -> Option<Millis> {
        let key = self.worker_key(vm)?;
        let looks = self.workers[key]
            .tasks
            .iter()
            .filter_map(|task| self.look_at(*task, now));
        looks.min()
    }

    fn look_at(&self, key: TaskKey, now: Millis) -> Option<Millis> {
        let task = &self.tasks[key];
        let spec = &self.jobs[task.job].spec;
        if task.phase != Phase::Running || spec.kind == JobKind::Service {
            return None;
        }
        let expected = self
            .pace
            .expect(&spec.team, spec.kind, spec.runtime_ms.unwrap_or(0));
        let ends_at = task.running_since + expected;
        let overrun = now.saturating_sub(task.running_since) / OVERRUN_PARTS;
        let earliest = now + SHORTEST_LOOK.max(if now > ends_at { overrun } else { 0 });
        Some(ends_at.max(earliest))
    }

    /// Records how long a task that ended well has run.
    pub(super) fn record_pace(&mut self, key: TaskKey, now: Millis) {
        let task = &self.tasks[key];
        let spec = &self.jobs[task.job].spec;
        if let (Some(declared), true) = (spec.runtime_ms, task.running_since > 0) {
            let real = now.saturating_sub(task.running_since);
            self.pace.record(&spec.team, spec.kind, declared, real);
        }
    }
}
