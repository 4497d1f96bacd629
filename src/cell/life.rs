//! Lives of workers: the incarnations of a worker that restarts under the same id.
//!
//! A life is one run of a worker's process, from start to exit.  All state of the process ends with
//! it: its runs, its numbering of ends, its clock, its lease, and the epochs and stops that it has
//! seen.  See "Lives" in `docs/DESIGN.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::cell::sequence::Sequence;
use crate::cell::tuning;
use crate::cell::worker::WorkerEntry;
use crate::clock::Millis;

/// Identifies one life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// The id of the worker; a later life may have the same one.
    pub id: String,
    /// When the process started, in Unix milliseconds, as reported by the worker.  `None` if it
    /// does not report that: then the id alone identifies the life.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Millis>,
}

impl Life {
    /// Creates a life whose start time is not known.
    pub fn of(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            born: None,
        }
    }

    /// Returns whether a later life may have the same id, and so carry out what was meant for this
    /// one.  A worker that does not report when its life began has a new id in each.
    pub fn may_recur(&self) -> bool {
        self.born.is_some()
    }

    /// Returns whether a worker of this id that reports `born` as its start time is certainly
    /// another life.  The wall clock may be set back, so start times only distinguish lives; they
    /// do not show which one is the later.
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

/// Another life of a worker, which the platform lists and which has not answered yet.
#[derive(Debug, Clone)]
pub struct NextLife {
    /// The platform's entry for it.
    pub entry: WorkerEntry,
    /// When the entry was read.
    pub listed: Sequence,
    /// The last poll at its address was not answered, so the next one goes to the address of the
    /// present life.
    pub is_passed_over: bool,
}

/// The former lives of a worker: those before the present one that this owner knows of.
#[derive(Debug, Clone, Default)]
pub struct FormerLives {
    /// How many there were.
    count: u64,
    /// The start times of the latest ones, newest first; lives without a known start time are left
    /// out.
    born: Vec<Millis>,
    /// When the last one was found to have ended, by the owner's clock.
    since: Millis,
}

impl FormerLives {
    /// How long a former life can still have effects after it has ended, in milliseconds: an order
    /// meant for it may be carried out this late, and what that starts may have the longest lease.
    pub const RELEVANT_FOR: Millis = tuning::MAX_ORDER_DELAY + Self::MAX_LEASE;

    /// The longest lease of a worker, measured by the owner's clock, in milliseconds.
    pub const MAX_LEASE: Millis = tuning::MAX_LEASE
        + tuning::MAX_LEASE * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000
        + tuning::LEASE_MARGIN;

    /// Returns these lives with `life` added as the last one, which ended at `now`.
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

    /// Returns how far above the owner's epoch the epoch of the present life lies.
    pub fn epoch_offset(&self) -> u64 {
        self.count.min(tuning::LIVES_PER_EPOCH - 1)
    }

    /// Returns whether the epochs that one owner can give to lives are used up, so that the present
    /// life shares its epoch with the one before.
    pub fn epochs_are_exhausted(&self) -> bool {
        self.count >= tuning::LIVES_PER_EPOCH
    }

    /// Returns whether a life that started at `born` was followed by another former life.  If it
    /// answers again, two workers have the same id.
    pub fn were_superseded(&self, born: Option<Millis>) -> bool {
        let superseded = self.born.iter().skip(1);
        born.is_some_and(|born| superseded.into_iter().any(|&former| former == born))
    }

    /// Returns whether they can be discarded: no late order can reach a further life any more, and
    /// the only one was addressed under the owner's own epoch.  After more than one life they are
    /// kept, since a life that comes back refuses epochs lower than the one it has seen.
    pub fn are_obsolete(&self, now: Millis) -> bool {
        self.count <= 1 && now.saturating_sub(self.since) > Self::RELEVANT_FOR
    }
}
