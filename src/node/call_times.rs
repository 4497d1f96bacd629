//! How long the owner's calls to workers take, and how many are not answered.
//!
//! Workers answer in a few milliseconds.  If most calls take longer, the owner's own processor or link
//! is too slow, not the workers.

use std::sync::{Mutex, PoisonError};

use crate::clock::Millis;

/// The calls that ended within some time.
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
    /// Notes a call that was answered after `time` milliseconds, not counting the time for which the
    /// worker held the answer back; none if it was not answered.
    pub fn note(&self, time: Option<Millis>) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match time {
            Some(time) => {
                times.answered += 1;
                times.total += time;
                times.longest = times.longest.max(time);
            }
            None => times.unanswered += 1,
        }
    }

    /// Returns the calls since this was last called.
    pub fn take(&self) -> CallTimes {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut times)
    }
}
