//! How often an owner decides.
//!
//! What is decided has to be carried out as well, on the same processor.  An owner that spends what it
//! has on rounds of decisions is late with the starts and the lists that come of them, so more waits in
//! the next round, which takes longer.  So a round is followed by a pause that grows with it
//! ("Rounds" in `docs/DESIGN.md`).

use std::time::Duration;

use crate::clock::Millis;

/// Events that come within this time are decided on together.
pub const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// The pause after a round, in times of its length.
const PAUSE_FACTOR: u32 = 3;
/// No pause is longer than this, or than the round itself: urgent jobs have 0.9 s to spare.
pub const MAX_PAUSE: Duration = Duration::from_millis(40);

/// The pause after a round of decisions that took so long.
pub fn pause_after(round: Duration) -> Duration {
    let pause = (round * PAUSE_FACTOR).min(MAX_PAUSE.max(round));
    pause.max(BATCH_WINDOW)
}

/// What an owner has spent on deciding since the last survey.
///
/// Jobs that are late while rounds take long or turns come late wait for the owner, and not for room.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundStats {
    /// How many rounds of decisions.
    pub count: u32,
    /// Milliseconds spent in them.
    pub deciding: Millis,
    /// The longest of them, in milliseconds.
    pub longest: Millis,
    /// Orders that came of them.
    pub orders: usize,
}

impl RoundStats {
    /// Counts a round that took so long and gave so many orders.
    pub fn note(&mut self, took: Millis, orders: usize) {
        self.count += 1;
        self.deciding += took;
        self.longest = self.longest.max(took);
        self.orders += orders;
    }
}
