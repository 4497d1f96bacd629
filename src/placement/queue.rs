//! The order in which waiting jobs are considered.
//!
//! Each job has a time by which it should have started: its acceptance plus its
//! patience.  Earliest first means that urgent work, whose patience is short,
//! goes ahead, and that nothing starves, since every job's time comes.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::placement::JobKey;

/// Waiting jobs by the time at which their patience ends.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<(Millis, JobKey), JobKey>,
}

impl Queue {
    /// Adds a job; adding it twice changes nothing.
    pub fn insert(&mut self, due: Millis, job: JobKey) {
        self.jobs.insert((due, job), job);
    }

    /// Removes a job.
    pub fn remove(&mut self, due: Millis, job: JobKey) {
        self.jobs.remove(&(due, job));
    }

    /// Returns how many jobs wait.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the first `limit` jobs with the time at which their patience ends.
    pub fn first(&self, limit: usize) -> Vec<(Millis, JobKey)> {
        self.jobs.keys().take(limit).copied().collect()
    }
}
