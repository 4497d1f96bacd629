//! A bound on how often one instance writes to the store.

use std::sync::{Mutex, PoisonError};

use crate::clock::Millis;

/// How many writes may follow each other at once after a quiet time.
const BURST: u64 = 4;

/// Spaces out group commits; records and marks share it.
#[derive(Debug)]
pub struct WriteBudget {
    period: Millis,
    /// The time up to which the budget has been spent.
    spent_until: Mutex<Millis>,
}

impl WriteBudget {
    /// Allows one write every `period` milliseconds, and a short burst.
    pub fn new(period: Millis) -> Self {
        Self {
            period,
            spent_until: Mutex::new(0),
        }
    }

    /// Takes one write out of the budget and returns how long to wait before it.
    pub fn take(&self, now: Millis) -> Millis {
        let mut spent = self
            .spent_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *spent = (*spent + self.period).max(now);
        spent.saturating_sub(now + (BURST - 1) * self.period)
    }
}
