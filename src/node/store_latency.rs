//! How long to wait for the store to answer a transaction.
//!
//! Some replies are lost.  A transaction that is repeated soon costs little, since it
//! names the versions it expects; waiting the longest time for each lost reply costs
//! callers their deadline.  So the limit follows the answers that do come.

use crate::clock::Millis;

/// The least limit: thirty times what an answer takes on an ordinary day.
pub const MIN_TIMEOUT: Millis = 200;
/// The greatest limit: an answer of a store that is ninety times slower takes 0.9 s.
pub const MAX_TIMEOUT: Millis = 1_200;
/// An answer may take so many times as long as the last ones.
const SPREAD: Millis = 6;
/// After an answer the limit falls to no less than this part, in hundredths.
const FALL: Millis = 80;

/// Beyond this limit the store is slow: an answer takes ten times the usual.
const SLOW: Millis = 400;
/// A store that has answered nothing for so long, while transactions are on their way,
/// counts as slow before the first late answer tells: eight times the usual.
const SILENT: Millis = 100;

/// The limit, as it stands, and what is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLatency {
    timeout: Millis,
    /// Transactions that wait for an answer.
    on_their_way: usize,
    /// Since when they wait without any of them being answered.
    silent_since: Millis,
    /// When the last answer came; none if there was none.
    answered: Option<Millis>,
}

impl Default for StoreLatency {
    fn default() -> Self {
        Self {
            timeout: 2 * MIN_TIMEOUT,
            on_their_way: 0,
            silent_since: 0,
            answered: None,
        }
    }
}

impl StoreLatency {
    /// How long to wait now.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Tells whether the store is slow, or may have turned so just now.
    pub fn is_slow(&self, now: Millis) -> bool {
        let silent = self.on_their_way > 0 && now.saturating_sub(self.silent_since) > SILENT;
        silent || self.timeout > SLOW
    }

    /// Tells whether the store takes long and does answer, so that waiting is worth while.
    pub fn answers_slowly(&self, now: Millis) -> bool {
        let lately = |at: Millis| now.saturating_sub(at) < MAX_TIMEOUT;
        self.timeout > SLOW && self.answered.is_some_and(lately)
    }

    /// A transaction is sent.
    pub fn note_sent(&mut self, now: Millis) {
        if self.on_their_way == 0 {
            self.silent_since = now;
        }
        self.on_their_way += 1;
    }

    /// A transaction is over, with an answer or without.
    pub fn note_finished(&mut self) {
        self.on_their_way -= 1;
    }

    /// An answer came after `took`.
    pub fn note_answer(&mut self, took: Millis, now: Millis) {
        self.silent_since = now;
        self.answered = Some(now);
        let wanted = (SPREAD * took).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        self.timeout = wanted.max(self.timeout * FALL / 100);
    }

    /// No answer came within the limit.
    pub fn note_timeout(&mut self) {
        self.timeout = (2 * self.timeout).min(MAX_TIMEOUT);
    }
}
