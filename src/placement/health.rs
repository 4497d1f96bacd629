//! Telling a bad worker from a bad job.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::placement::JobKey;

/// After how many distinct jobs that failed here, with no success between, a worker is put aside.
const JOBS_TO_QUARANTINE: usize = 3;
/// How long the first quarantine lasts.
const FIRST_QUARANTINE: Millis = 10_000;
/// How long a quarantine lasts at most.
const LONGEST_QUARANTINE: Millis = 600_000;
/// How many tasks in a row must succeed on probation before the worker is trusted.
const SUCCESSES_TO_TRUST: u32 = 3;

/// The record of one worker.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failed_jobs: BTreeSet<JobKey>,
    quarantined_until: Millis,
    last_quarantine: Millis,
    probation: Option<u32>,
}

impl Health {
    /// Tells whether a worker that already runs `tasks` tasks may be given one more.
    ///
    /// On probation it is given one task at a time.
    pub fn admits(&self, tasks: usize, now: Millis) -> bool {
        now >= self.quarantined_until && (self.probation.is_none() || tasks == 0)
    }

    /// Tells whether only repeatable work may be tried here.
    pub fn on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Records a task that ended well.
    pub fn on_success(&mut self) {
        self.failed_jobs.clear();
        if let Some(successes) = self.probation {
            let successes = successes + 1;
            self.probation = (successes < SUCCESSES_TO_TRUST).then_some(successes);
        }
        if self.probation.is_none() {
            self.last_quarantine = 0;
        }
    }

    /// Records a task that failed, and tells whether the worker is put aside for it.
    ///
    /// `job_runs_elsewhere` is evidence against the worker: the same job has
    /// succeeded on another one, so the failure counts for more.
    pub fn on_failure(&mut self, job: JobKey, job_runs_elsewhere: bool, now: Millis) -> bool {
        self.failed_jobs.insert(job);
        let suspicious = self.failed_jobs.len() >= JOBS_TO_QUARANTINE;
        if !suspicious && !job_runs_elsewhere && self.probation.is_none() {
            return false;
        }
        self.quarantine(now);
        true
    }

    fn quarantine(&mut self, now: Millis) {
        let length = match self.last_quarantine {
            0 => FIRST_QUARANTINE,
            last => (2 * last).min(LONGEST_QUARANTINE),
        };
        self.last_quarantine = length;
        self.quarantined_until = now + length;
        self.probation = Some(0);
        self.failed_jobs.clear();
    }
}
