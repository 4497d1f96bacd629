//! Owners that are lost just after events that only they know of.
//!
//! Losses at random times hit a window of 100 ms only once in thousands of runs.  The draws here
//! come from a separate generator, so that worlds without targeted losses run the same for a seed.

use crossweir::cell::record::JobRow;
use crossweir::cell::tuning;
use crossweir::clock::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{CRASHING_TASK, MAX_CRASH_DOWNTIME, MOST_CRASHES, RECOVERY_TIME, World};

/// An event after which the owner may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// A start has crashed its worker.
    Crash,
    /// A start is sent.
    Start,
    /// The answer to a start has come.
    Answer,
    /// A worker has listed ends.
    Ends,
    /// A change of the roster or of a job's progress is recorded.
    Record,
    /// An owner has claimed the cell: it may be replaced in turn at once.
    Claim,
    /// Rows that could not be read at first are read.
    Reading,
    /// A worker has started again under its id.
    Life,
}

impl Moment {
    /// All but [`Moment::Life`], which occurs only in worlds with kept ids.
    pub const ALL: [Self; 7] = [
        Self::Crash,
        Self::Start,
        Self::Answer,
        Self::Ends,
        Self::Record,
        Self::Claim,
        Self::Reading,
    ];

    /// How many of a hundred such moments lead to a loss.  Rare moments have a higher share, so
    /// that a run has about ten losses.
    fn percent(self) -> u32 {
        match self {
            Self::Crash => 70,
            Self::Life => 60,
            Self::Claim | Self::Reading => 30,
            Self::Ends => 10,
            Self::Start | Self::Answer => 8,
            Self::Record => 4,
        }
    }
}

/// Largest number of jobs in one batch of an unreliable store, small so that the changes of a tick
/// can need several batches, as in a large cell.
const MAX_JOBS_PER_BATCH: usize = 4;
/// A batch limit above the number of jobs in a world.
const UNLIMITED_JOBS: usize = 100;
/// How many of a hundred takeovers find some rows unreadable in an unreliable store.
const UNREADABLE_PERCENT: u32 = 70;
/// Makes the seed of the losses differ from the seed of the world.
const SEED_MASK: u64 = 0x9e37;

/// Decides when owners are lost.
pub(super) struct OwnerLoss {
    rng: StdRng,
    moments: Vec<Moment>,
    span: Millis,
    due: Vec<Millis>,
    /// Draws the faults of an unreliable store; `None` if the store has only the faults of every
    /// world.
    store: Option<StdRng>,
}

impl World {
    /// Loses owners within `span` milliseconds of these moments.
    pub fn losing_owners(mut self, seed: u64, moments: &[Moment], span: Millis) -> Self {
        self.owner_loss = Some(OwnerLoss {
            rng: StdRng::seed_from_u64(seed ^ SEED_MASK),
            moments: moments.to_vec(),
            span,
            due: Vec::new(),
            store: None,
        });
        self
    }

    /// Batches are small, so that the recorded roster may be ahead of the recorded jobs, and a new
    /// owner can rarely read all rows.  Has no effect without [`Self::losing_owners`].
    pub fn with_unreliable_store(mut self, seed: u64) -> Self {
        if let Some(loss) = &mut self.owner_loss {
            loss.store = Some(StdRng::seed_from_u64(!seed));
        }
        self
    }

    /// Draws whether the owner is lost soon after this moment, and when.
    pub(super) fn note_moment(&mut self, moment: Moment) {
        if self.faults_ended {
            return;
        }
        let now = self.now;
        let Some(loss) = &mut self.owner_loss else {
            return;
        };
        if loss.moments.contains(&moment) && loss.rng.random_ratio(moment.percent(), 100) {
            loss.due.push(now + loss.rng.random_range(0..loss.span));
        }
    }

    /// Replaces the owner if a drawn loss is due.
    pub(super) fn lose_due_owner(&mut self) {
        let now = self.now;
        let Some(loss) = &mut self.owner_loss else {
            return;
        };
        let is_due = loss.due.iter().any(|&at| at <= now);
        loss.due.retain(|&at| at > now);
        if is_due {
            self.take_over();
        }
    }

    /// How many jobs the next batch may hold.
    pub(super) fn draw_batch_limit(&mut self) -> usize {
        let store = self
            .owner_loss
            .as_mut()
            .and_then(|loss| loss.store.as_mut());
        store.map_or(UNLIMITED_JOBS, |rng| {
            rng.random_range(1..=MAX_JOBS_PER_BATCH)
        })
    }

    /// Draws whether an unreliable store leaves some rows unreadable for a new owner.
    pub(super) fn draws_unreadable_rows(&mut self) -> bool {
        let store = self
            .owner_loss
            .as_mut()
            .and_then(|loss| loss.store.as_mut());
        !self.faults_ended && store.is_some_and(|rng| rng.random_ratio(UNREADABLE_PERCENT, 100))
    }

    /// How long the remaining jobs may take after the faults have ended.  Each crashing task may
    /// run on [`MOST_CRASHES`] workers one after the other, each of which is then down for up
    /// to [`MAX_CRASH_DOWNTIME`], and only a few such tasks run at a time.
    pub(super) fn recovery_time(&self) -> Millis {
        if self.owner_loss.is_none() {
            return RECOVERY_TIME;
        }
        let is_crashing = |row: &&JobRow| row.spec.text == CRASHING_TASK;
        let crashing_jobs = self.rows.values().filter(is_crashing).count() as Millis;
        RECOVERY_TIME
            + crashing_jobs * MOST_CRASHES as Millis * MAX_CRASH_DOWNTIME
                / tuning::WORKERS_PER_TRIAL as Millis
    }
}
