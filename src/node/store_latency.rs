//! How fast the store answers transactions, and how long to wait for an answer.
//!
//! Some answers are lost.  To repeat a transaction early is cheap and safe, since it names the
//! versions that it expects; to wait for the maximum time after each lost answer would make callers
//! miss their deadlines.  So the timeout follows the latency of the answers that arrive.

use crate::clock::Millis;

/// Minimum timeout, in milliseconds: thirty times the usual latency of an answer.
pub const MIN_TIMEOUT: Millis = 200;
/// Maximum timeout, in milliseconds: a store that is ninety times slower answers within 0.9 s.
pub const MAX_TIMEOUT: Millis = 1_200;
/// The timeout after an answer, as a multiple of the latency of that answer.
const LATENCY_FACTOR: Millis = 6;
/// An answer lowers the timeout to no less than this share of its value, in percent.
const MIN_KEPT_PERCENT: Millis = 80;

/// Above this timeout, in milliseconds, the store counts as slow: answers take ten times as long as
/// usual.
const SLOW_TIMEOUT: Millis = 400;
/// A store that has answered nothing for this time, in milliseconds, while transactions are in
/// flight counts as slow already before its first late answer.  It is eight times the usual
/// latency.
const SILENCE_LIMIT: Millis = 100;

/// What this node has last seen of the store's latency counts for this long, in milliseconds: as long
/// as two answers may take at most.  While the store counts as slow other nodes write the jobs of
/// this one, so that it sees no further answers.
const EVIDENCE_LIFETIME: Millis = 2 * MAX_TIMEOUT;

/// The present timeout, and the transactions in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLatency {
    timeout: Millis,
    /// The number of transactions that wait for an answer.
    in_flight: usize,
    /// The time since which transactions have been in flight and none was answered.
    unanswered_since: Millis,
    /// When the last answer arrived; none if there was none.
    last_answer: Option<Millis>,
    /// When a transaction was last answered or given up; none if there was none.
    last_evidence: Option<Millis>,
}

impl Default for StoreLatency {
    fn default() -> Self {
        Self {
            timeout: 2 * MIN_TIMEOUT,
            in_flight: 0,
            unanswered_since: 0,
            last_answer: None,
            last_evidence: None,
        }
    }
}

impl StoreLatency {
    /// Returns how long to wait for the answer to a transaction, in milliseconds.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Returns whether the store is slow, or may just have become slow.
    pub fn is_slow(&self, now: Millis) -> bool {
        let silent =
            self.in_flight > 0 && now.saturating_sub(self.unanswered_since) > SILENCE_LIMIT;
        silent || (self.timeout > SLOW_TIMEOUT && self.has_evidence(now))
    }

    /// Returns whether this node has lately seen how long the store takes.
    fn has_evidence(&self, now: Millis) -> bool {
        let is_recent = |at: Millis| now.saturating_sub(at) < EVIDENCE_LIFETIME;
        self.last_evidence.is_some_and(is_recent)
    }

    /// Returns whether the store is slow but does answer, so that waiting longer can succeed.
    pub fn answers_slowly(&self, now: Millis) -> bool {
        let is_recent = |at: Millis| now.saturating_sub(at) < MAX_TIMEOUT;
        self.timeout > SLOW_TIMEOUT && self.last_answer.is_some_and(is_recent)
    }

    /// Notes that a transaction is sent.
    pub fn note_sent(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.in_flight += 1;
    }

    /// Notes that a transaction is no longer waited for, whether it was answered or not.
    pub fn note_finished(&mut self) {
        self.in_flight -= 1;
    }

    /// Notes that an answer arrived after `took` milliseconds.
    pub fn note_answer(&mut self, took: Millis, now: Millis) {
        self.unanswered_since = now;
        self.last_answer = Some(now);
        let target = (LATENCY_FACTOR * took).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        self.timeout = match self.has_evidence(now) {
            true => target.max(self.timeout * MIN_KEPT_PERCENT / 100),
            false => target,
        };
        self.last_evidence = Some(now);
    }

    /// Notes that no answer arrived within the timeout.
    pub fn note_timeout(&mut self, now: Millis) {
        self.last_evidence = Some(now);
        self.timeout = (2 * self.timeout).min(MAX_TIMEOUT);
    }
}
