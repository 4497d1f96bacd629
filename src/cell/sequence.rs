//! Sequence numbers: the order in which the core sends looks and hears from workers.
//!
//! A worker's list proves that a run is over only if its look was sent after something that
//! proved the run to have begun was heard.  Clocks cannot tell that: they count milliseconds, and
//! calls take one or less (see "Orders" in `docs/DESIGN.md`).

use crate::cell::Cell;

/// A place in that order; the default comes before all others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(u64);

impl Cell {
    /// Gives the next sequence number, for a look that is sent or an answer that is heard.
    pub(super) fn next_sequence(&mut self) -> Sequence {
        self.sequence.0 += 1;
        self.sequence
    }
}
