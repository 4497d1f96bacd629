//! How long to wait for the store to answer a transaction.
//!
//! Some replies are lost.  A transaction that is repeated soon costs little, since it
//! names the versions it expects; waiting the longest time for each lost reply costs
//! callers their deadline.  So the limit follows the answers that do come.

use crate::clock::Millis;

/// The least limit: thirty times what an answer takes on an ordinary day.
pub const LEAST: Millis = 200;
/// The greatest limit: an answer of a store that is ninety times slower takes 0.9 s.
pub const MOST: Millis = 1_200;
/// An answer may take so many times as long as the last ones.
const SPREAD: Millis = 6;
/// After an answer the limit falls to no less than this part, in hundredths.
const FALL: Millis = 80;

/// The limit, as it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    limit: Millis,
}

impl Default for Patience {
    fn default() -> Self {
        Self { limit: 2 * LEAST }
    }
}

impl Patience {
    /// How long to wait now.
    pub fn limit(&self) -> Millis {
        self.limit
    }

    /// An answer came after `took`.
    pub fn answered(&mut self, took: Millis) {
        let wanted = (SPREAD * took).clamp(LEAST, MOST);
        self.limit = wanted.max(self.limit * FALL / 100);
    }

    /// No answer came within the limit.
    pub fn gave_up(&mut self) {
        self.limit = (2 * self.limit).min(MOST);
    }
}
