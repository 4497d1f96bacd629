//! How often an owner runs scheduling rounds.
//!
//! The orders that come out of a round are carried out on the same processor.  An owner that spends
//! its CPU time on rounds is late with starting tasks and with applying workers' lists, so more
//! work waits in the next round, which then takes even longer.  Each round is therefore followed by
//! a pause that grows with its length ("Rounds" in `docs/DESIGN.md`).

use std::time::Duration;

use crate::clock::Millis;

/// Minimum pause after a round, so that events within this time are handled in one round.
pub const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// The pause after a round, as a multiple of the round's length.
const PAUSE_FACTOR: u32 = 3;
/// Maximum pause, unless the round itself took longer: urgent jobs have 0.9 s to spare.
pub const MAX_PAUSE: Duration = Duration::from_millis(40);

/// Returns the pause after a scheduling round that took `round`.
pub fn pause_after(round: Duration) -> Duration {
    let pause = (round * PAUSE_FACTOR).min(MAX_PAUSE.max(round));
    pause.max(BATCH_WINDOW)
}

/// The time that an owner has spent on scheduling rounds since the last summary was logged.
///
/// If jobs are late while rounds take long or the wake-up delay is high, they wait for the owner
/// and not for room on workers.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundStats {
    /// The number of rounds.
    pub count: u32,
    /// The time spent in them, in milliseconds.
    pub total_time: Millis,
    /// The longest of them, in milliseconds.
    pub longest: Millis,
    /// The number of orders given in them.
    pub orders: usize,
}

impl RoundStats {
    /// Adds a round that took `took` milliseconds and gave this many orders.
    pub fn note(&mut self, took: Millis, orders: usize) {
        self.count += 1;
        self.total_time += took;
        self.longest = self.longest.max(took);
        self.orders += orders;
    }
}
