//! Sequence numbers: the order in which the core sends polls and receives answers from workers.
//!
//! A poll asks a worker for its running and ended runs.  That a run is missing from the answer
//! proves that it has ended only if the poll was sent after the owner had received proof that the
//! run had begun.  Clock readings cannot establish that order: they have a resolution of one
//! millisecond, and a call takes a millisecond or less (see "Orders" in `docs/DESIGN.md`).

use crate::cell::Cell;

/// A position in that order; the default precedes all assigned numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(u64);

impl Cell {
    /// Returns the next sequence number, for a poll to be sent or an answer just received.
    pub(super) fn next_sequence(&mut self) -> Sequence {
        self.sequence.0 += 1;
        self.sequence
    }
}
