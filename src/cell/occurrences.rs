//! The occurrences of a job: which are finished, and the steps of those that are in progress.
//!
//! A recurring job may have billions of occurrences.  Only those in progress have steps, and their
//! number is limited ("Jobs of any size" in `docs/DESIGN.md`); the finished ones are kept as ranges
//! of numbers.

use std::collections::BTreeMap;
use std::ops::Range;

use rangemap::RangeSet;

use crate::cell::StepKey;

/// The occurrences of one job, by number.
#[derive(Debug, Default)]
pub struct Occurrences {
    /// The steps of each occurrence in progress, by their index in the job.
    in_progress: BTreeMap<u32, Vec<StepKey>>,
    /// Occurrences of which all tasks are done and no run is left.
    finished: RangeSet<u32>,
    /// The first occurrence that has not begun.
    next: u32,
}

impl Occurrences {
    /// Adds an occurrence that begins now with these steps.
    pub fn begin(&mut self, time: u32, steps: Vec<StepKey>) {
        self.in_progress.insert(time, steps);
        self.advance();
    }

    /// Moves an occurrence to the finished ones, and returns its steps.
    pub fn finish(&mut self, time: u32) -> Vec<StepKey> {
        let steps = self.in_progress.remove(&time).unwrap_or_default();
        self.finish_all(time..time.saturating_add(1));
        steps
    }

    /// Notes that occurrences which have not begun here are finished.
    pub fn finish_all(&mut self, times: Range<u32>) {
        if !times.is_empty() {
            self.finished.insert(times);
        }
        self.advance();
    }

    fn advance(&mut self) {
        loop {
            if let Some(finished) = self.finished.get(&self.next) {
                self.next = finished.end;
            } else if self.in_progress.contains_key(&self.next) {
                self.next += 1;
            } else {
                return;
            }
        }
    }

    /// Returns the steps of an occurrence in progress.
    pub fn get(&self, time: u32) -> Option<&[StepKey]> {
        self.in_progress.get(&time).map(Vec::as_slice)
    }

    /// Iterates over the numbers of the occurrences in progress.
    pub fn times(&self) -> impl Iterator<Item = u32> {
        self.in_progress.keys().copied()
    }

    /// Iterates over the steps of all occurrences in progress.
    pub fn steps(&self) -> impl Iterator<Item = StepKey> {
        self.in_progress.values().flatten().copied()
    }

    /// Returns whether an occurrence is in progress or finished.
    pub fn has_begun(&self, time: u32) -> bool {
        self.in_progress.contains_key(&time) || self.finished.contains(&time)
    }

    /// The first occurrence that has not begun.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// The number of occurrences in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.len()
    }
}
