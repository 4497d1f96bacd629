//! Cancellations of jobs that are not known: their rows may still come.
//!
//! A caller that got no answer to a submission may cancel the job while the submission is still on
//! its way, in a node that stands still or in a transaction that the store does late.  So the
//! cancellation is recorded, and a row that comes later is that of a cancelled job.  It holds only
//! for jobs that its caller may see, since another workspace may use the same id ("What is told,
//! and what holds it" in `docs/DESIGN.md`).
//!
//! Each cancellation has a row of its own, whose key is used once: no row of a job's progress and no
//! late deletion can take its place.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::cell::spec::JobId;
use crate::cell::{Cell, tuning};
use crate::clock::Millis;
use crate::workspace::Caller;

/// The number of a cancellation, above those of all former owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CancelNumber(pub u64);

/// The row of a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownCancel {
    /// The job.
    pub job: JobId,
    /// Who has cancelled it.
    pub caller: Caller,
}

/// The cancellations of unknown jobs that are kept, by this owner or former ones.
#[derive(Debug)]
pub(super) struct UnknownCancels {
    last_number: u64,
    /// All of them, each with the time since which it is kept.
    kept: BTreeMap<CancelNumber, (Millis, UnknownCancel)>,
    /// Their numbers by job.
    by_job: BTreeMap<JobId, Vec<CancelNumber>>,
    /// Those that are not recorded yet.
    unrecorded: BTreeSet<CancelNumber>,
    /// Those that were recorded since this was last taken.
    recorded: Vec<CancelNumber>,
}

impl UnknownCancels {
    /// Creates the state of an owner under `epoch`.
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            last_number: epoch * tuning::RUNS_PER_EPOCH,
            kept: BTreeMap::new(),
            by_job: BTreeMap::new(),
            unrecorded: BTreeSet::new(),
            recorded: Vec::new(),
        }
    }

    /// Returns whether any cancellation waits to be recorded.
    pub(super) fn has_unrecorded(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// Returns at most `most` cancellations that wait to be recorded.
    pub(super) fn unrecorded(&self, most: usize) -> Vec<(CancelNumber, UnknownCancel)> {
        let numbers = self.unrecorded.iter().take(most);
        numbers
            .filter_map(|number| Some((*number, self.kept.get(number)?.1.clone())))
            .collect()
    }

    pub(super) fn mark_recorded(&mut self, number: CancelNumber) {
        if self.unrecorded.remove(&number) {
            self.recorded.push(number);
        }
    }

    /// Returns whether a job of `workspace` was cancelled by a caller that may see it.
    pub(super) fn hold_for(&self, job: JobId, workspace: Option<&str>) -> bool {
        self.of_job(job)
            .any(|(_, _, cancel)| cancel.caller.may_see(workspace))
    }

    fn of_job(&self, job: JobId) -> impl Iterator<Item = (CancelNumber, Millis, &UnknownCancel)> {
        let numbers = self.by_job.get(&job).into_iter().flatten();
        numbers.filter_map(|number| {
            let (since, cancel) = self.kept.get(number)?;
            Some((*number, *since, cancel))
        })
    }

    fn keep(&mut self, number: CancelNumber, cancel: UnknownCancel, since: Millis) {
        self.by_job.entry(cancel.job).or_default().push(number);
        self.kept.insert(number, (since, cancel));
    }

    fn forget(&mut self, number: CancelNumber) {
        let Some((_, cancel)) = self.kept.remove(&number) else {
            return;
        };
        if let Some(numbers) = self.by_job.get_mut(&cancel.job) {
            numbers.retain(|&other| other != number);
            if numbers.is_empty() {
                self.by_job.remove(&cancel.job);
            }
        }
    }
}

impl Cell {
    /// Cancels a job that is not known for `caller`.  Returns none if
    /// [`tuning::MAX_UNKNOWN_CANCELS`] are kept already: each has a row that a successor reads.
    pub fn cancel_unknown(
        &mut self,
        job: JobId,
        caller: &Caller,
        now: Millis,
    ) -> Option<CancelNumber> {
        if let Some(number) = self.recent_unknown_cancel(job, caller, now) {
            return Some(number);
        }
        let cancels = &mut self.unknown_cancels;
        if cancels.kept.len() >= tuning::MAX_UNKNOWN_CANCELS {
            return None;
        }
        cancels.last_number += 1;
        let number = CancelNumber(cancels.last_number);
        let caller = caller.clone();
        cancels.keep(number, UnknownCancel { job, caller }, now);
        cancels.unrecorded.insert(number);
        Some(number)
    }

    /// Returns a cancellation of the same job by the same caller that holds for most of the time for
    /// which a new one would.
    pub fn recent_unknown_cancel(
        &self,
        job: JobId,
        caller: &Caller,
        now: Millis,
    ) -> Option<CancelNumber> {
        let mut cancels = self.unknown_cancels.of_job(job);
        let found = cancels.find(|(_, since, cancel)| {
            cancel.caller == *caller && now.saturating_sub(*since) < tuning::CANCEL_RENEWAL
        });
        found.map(|(number, ..)| number)
    }

    /// Adds a cancellation that a former owner has recorded.
    pub fn restore_unknown_cancel(&mut self, number: CancelNumber, cancel: UnknownCancel) {
        let cancels = &mut self.unknown_cancels;
        cancels.last_number = cancels.last_number.max(number.0);
        // By our clock the time at which it was cancelled is not known, so it is never a recent one.
        cancels.keep(number, cancel, 0);
        cancels.recorded.push(number);
    }

    /// Returns whether a cancellation is recorded.
    pub fn is_unknown_cancel_recorded(&self, number: CancelNumber) -> bool {
        !self.unknown_cancels.unrecorded.contains(&number)
    }

    /// Removes a cancellation whose row is deleted.
    pub fn forget_unknown_cancel(&mut self, number: CancelNumber) {
        self.unknown_cancels.forget(number);
    }

    /// Returns the cancellations that were recorded since the last call, so that their rows are
    /// deleted in time.
    pub fn take_recorded_cancels(&mut self) -> Vec<CancelNumber> {
        std::mem::take(&mut self.unknown_cancels.recorded)
    }

    /// Returns a cancellation that is kept.
    pub fn unknown_cancel(&self, number: CancelNumber) -> Option<&UnknownCancel> {
        self.unknown_cancels
            .kept
            .get(&number)
            .map(|(_, cancel)| cancel)
    }
}
