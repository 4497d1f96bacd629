//! Lives of workers: a worker that starts again may keep its id.
//!
//! A life ends with its process, and so does all that rests on it: what it runs, its count of
//! ends, its clock, its lease, the epochs and stops that it has seen.  See "Lives" in
//! `docs/DESIGN.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::cell::sequence::Sequence;
use crate::cell::tuning;
use crate::cell::worker::WorkerEntry;
use crate::clock::Millis;

/// One life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// Names the worker; a later life may have the same id.
    pub id: String,
    /// When it started, in Unix milliseconds by the worker's own word.  None if it does not
    /// tell: then the id alone names the life.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Millis>,
}

impl Life {
    /// A life that does not tell when it started.
    pub fn of(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            born: None,
        }
    }

    /// Tells whether a worker of this id that says to have started at `born` is another life for
    /// certain.  Times of day step, so they only tell lives apart: neither is the later one.
    pub fn differs_from(&self, born: Option<Millis>) -> bool {
        matches!((self.born, born), (Some(ours), Some(theirs)) if ours != theirs)
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)?;
        match self.born {
            Some(born) => write!(f, "@{born}"),
            None => Ok(()),
        }
    }
}

/// Another life of a worker, as the platform lists it.
#[derive(Debug, Clone)]
pub struct NextLife {
    /// Its entry.
    pub entry: WorkerEntry,
    /// When that was read.
    pub listed: Sequence,
    /// The last look there brought nothing, so the next one goes where the present life was.
    pub is_passed_over: bool,
}

/// The lives of a worker before the present one, as far as they are known to this owner.
#[derive(Debug, Clone, Default)]
pub struct FormerLives {
    count: u64,
    /// When the latest of them started, the last one first.
    born: Vec<Millis>,
    /// When the last one was found to be over.
    since: Millis,
}

impl FormerLives {
    /// How long a former life can matter: its orders may come late, and what they start has the
    /// longest lease.
    pub const RELEVANT_FOR: Millis = tuning::MAX_ORDER_DELAY + Self::LONGEST_LEASE;

    /// The longest lease of a worker, by our clock.
    pub const LONGEST_LEASE: Millis = tuning::MAX_LEASE
        + tuning::MAX_LEASE * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000
        + tuning::LEASE_MARGIN;

    /// Those and one more.
    pub fn with(&self, life: &Life, now: Millis) -> Self {
        let kept = self.born.len().min(tuning::LIVES_PER_EPOCH as usize - 1);
        let born = life
            .born
            .into_iter()
            .chain(self.born[..kept].iter().copied());
        Self {
            count: self.count + 1,
            born: born.collect(),
            since: now,
        }
    }

    /// How far above the owner's epoch the present life's lies.
    pub fn epoch_offset(&self) -> u64 {
        self.count.min(tuning::LIVES_PER_EPOCH - 1)
    }

    /// Tells whether the present life has no epoch of its own any more.
    pub fn epochs_are_exhausted(&self) -> bool {
        self.count >= tuning::LIVES_PER_EPOCH
    }

    /// Tells whether one that another has followed started then: two workers have one id.
    pub fn were_superseded(&self, born: Option<Millis>) -> bool {
        let followed = self.born.iter().skip(1);
        born.is_some_and(|born| followed.into_iter().any(|&former| former == born))
    }

    /// Tells whether they matter no more: no late order can reach a further life, and the last one
    /// has seen no epoch but the owner's own.  Others are kept, since a life that comes back
    /// refuses lower ones.
    pub fn are_obsolete(&self, now: Millis) -> bool {
        self.count <= 1 && now.saturating_sub(self.since) > Self::RELEVANT_FOR
    }
}
