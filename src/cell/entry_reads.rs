//! How steadily the platform's entries of workers were read, and when a missing one proves that the
//! worker is gone.
//!
//! An entry goes after some heartbeats of silence.  It may also go while the store is away; then it
//! is back soon after the store's return if the worker lives.  So one that is missing while the store
//! is well says that the worker is gone (the platform's word; docs/DESIGN.md, "Two owners").

use crate::cell::tuning;
use crate::clock::Millis;

/// The longest time between two reads of the entries that count as steady, in milliseconds: a slow
/// store takes 0.4 s, and reads are 0.4 s apart.
const MAX_READ_GAP: Millis = 1_500;

/// The reads of the platform's entries of workers, by our clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryReads {
    /// The first of the present series of reads, and the last; none if the last one failed.
    series: Option<(Millis, Millis)>,
}

impl EntryReads {
    /// Notes a read that was sent at `at` and has shown all changes until then.
    pub fn note(&mut self, at: Millis) {
        let steady = self
            .series
            .filter(|(_, last)| at.saturating_sub(*last) <= MAX_READ_GAP);
        let first = steady.map_or(at, |(first, _)| first);
        self.series = Some((first, at));
    }

    /// Notes that a read has failed.
    pub fn fail(&mut self) {
        self.series = None;
    }

    /// Returns whether an entry that is missing since `since` shows that its worker is gone: it was
    /// dropped after [`tuning::GONE_AFTER`] of steady reads, or has been missing that long in them.
    pub fn prove_gone(&self, since: Millis) -> bool {
        self.series.is_some_and(|(first, last)| {
            let was_dropped = since >= first + tuning::GONE_AFTER && last >= since;
            was_dropped || last >= since.max(first) + tuning::GONE_AFTER
        })
    }
}
