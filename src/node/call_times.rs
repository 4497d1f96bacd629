//! How long the owner's calls to workers take, how many are not answered, and what it sends by purpose.
//!
//! Workers answer in a few milliseconds.  If most calls take longer, the owner's own processor or link
//! is too slow, not the workers.  The number of calls of each kind, and the bytes that are recorded, tell
//! what fills the link (docs/CAPACITY.md, "What an owner sends").

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Millis;

/// What a call to a worker is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Lists what runs and what has ended, and renews the lease.
    Poll,
    /// Starts a run.
    Start,
    /// Stops a run.
    Stop,
}

/// The calls that ended within some time, and what was recorded meanwhile.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallTimes {
    /// The number of calls that were answered.
    pub answered: u32,
    /// The number of calls that were sent and not answered in time.
    pub unanswered: u32,
    /// The time of all answered calls together, in milliseconds.
    pub total: Millis,
    /// The longest time of an answered call, in milliseconds.
    pub longest: Millis,
    /// The number of polls, answered or not.
    pub polls: u32,
    /// The number of starts, answered or not.
    pub starts: u32,
    /// The number of stops, answered or not.
    pub stops: u32,
    /// The number of transactions of the owner.
    pub transactions: u32,
    /// The bytes of the rows in them, without their keys.
    pub recorded_bytes: u64,
}

impl CallTimes {
    /// The mean time of an answered call, in milliseconds.
    pub fn mean(&self) -> Millis {
        self.total / Millis::from(self.answered.max(1))
    }
}

/// Collects the times of calls.
#[derive(Debug, Default)]
pub struct CallClock(Mutex<CallTimes>);

impl CallClock {
    /// Notes a call of this kind that was answered after `time` milliseconds, not counting the time for which the
    /// worker held the answer back; none if it was not answered.
    pub fn note(&self, kind: CallKind, time: Option<Millis>) {
        let mut times = self.lock();
        match kind {
            CallKind::Poll => times.polls += 1,
            CallKind::Start => times.starts += 1,
            CallKind::Stop => times.stops += 1,
        }
        match time {
            Some(time) => {
                times.answered += 1;
                times.total += time;
                times.longest = times.longest.max(time);
            }
            None => times.unanswered += 1,
        }
    }

    /// Notes a transaction whose rows have so many bytes.
    pub fn note_transaction(&self, bytes: u64) {
        let mut times = self.lock();
        times.transactions += 1;
        times.recorded_bytes += bytes;
    }

    /// Returns the calls since this was last called.
    pub fn take(&self) -> CallTimes {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, CallTimes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
