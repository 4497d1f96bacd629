//! Lives of workers that have ended with starts on them that nobody may know of.
//!
//! If a former owner had started tasks on a life and not recorded that, nobody can tell which they
//! were once the life has ended. The owner that finds the life ended marks all jobs that the former
//! owner knew ([`Cell::assume_unrecorded_starts`]), so that further starts of their tasks are
//! recorded before they are sent. A successor that does not find the life in the roster assumes
//! that no start was lost there. The life therefore stays in the roster until each of those jobs is
//! read and its mark is recorded (docs/DESIGN.md, "Tasks that crash their workers";
//! docs/incidents/forgotten-starts.md).

use serde::{Deserialize, Serialize};

use crate::cell::roster::{RosterEntry, RosterState};
use crate::cell::sequence::Sequence;
use crate::cell::{Cell, WorkerKey};

/// Which life of a roster entry has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LostLife {
    /// The life in the entry: nothing runs there.
    This,
    /// A life before the one in the entry.
    Former,
}

/// A life that has ended and stays in the roster.
#[derive(Debug)]
pub(super) struct EndedLife {
    /// Its roster entry, unless another life of the same id is in use.
    entry: RosterEntry,
    /// When it was last found that a life of this id had ended.
    noted: Sequence,
    /// A former owner may have started tasks there, also of jobs that are not read yet.
    may_have_unknown_starts: bool,
}

impl Cell {
    /// Keeps a worker's life in the roster that has ended, or whose lease has run out. A life that
    /// is not in the roster was never sent a start.
    pub(super) fn keep_ended_life(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let may_have_unknown_starts = worker.may_have_unknown_starts(self.former_orders_end);
        if worker.roster_state != RosterState::Absent {
            let entry = RosterEntry {
                jobs: None,
                long_lease: None,
                lost: Some(LostLife::This),
                worker: worker.entry.clone(),
            };
            self.keep_in_roster(entry, may_have_unknown_starts);
        }
        if may_have_unknown_starts {
            self.assume_unrecorded_starts();
        }
    }

    /// Adds an ended life to those that stay in the roster, or renews the one of the same id.
    fn keep_in_roster(&mut self, entry: RosterEntry, may_have_unknown_starts: bool) {
        let noted = self.next_sequence();
        let id = &entry.worker.life.id;
        let mut kept = self.ended_lives.iter_mut();
        match kept.find(|kept| kept.entry.worker.life.id == *id) {
            // What is being recorded for an earlier life does not cover this one.
            Some(kept) => {
                kept.noted = noted;
                kept.may_have_unknown_starts |= may_have_unknown_starts;
            }
            None => self.ended_lives.push(EndedLife {
                entry,
                noted,
                may_have_unknown_starts,
            }),
        }
    }

    /// Keeps an ended life in the roster that a former owner has kept there.
    pub(super) fn inherit_ended_life(&mut self, entry: &RosterEntry) {
        let entry = RosterEntry {
            lost: Some(LostLife::This),
            jobs: None,
            ..entry.clone()
        };
        self.keep_in_roster(entry, true);
        self.assume_unrecorded_starts();
    }

    /// Returns the entry of an ended life of this id that stays in the roster.
    pub(super) fn ended_entry_of(&self, id: &str) -> Option<&RosterEntry> {
        let mut entries = self.ended_lives.iter().map(|kept| &kept.entry);
        entries.find(|entry| entry.worker.life.id == id)
    }

    /// Returns the entries of ended lives, except those whose id a life in use has.
    pub(super) fn ended_entries(
        &self,
        is_used: impl Fn(&str) -> bool,
    ) -> impl Iterator<Item = &RosterEntry> {
        let entries = self.ended_lives.iter().map(|kept| &kept.entry);
        entries.filter(move |entry| !is_used(&entry.worker.life.id))
    }

    /// Returns the ended lives that may leave the roster once all pending changes are recorded.
    /// While some jobs are not read yet, lives that may have unknown starts are not among them:
    /// those jobs carry no mark yet that could be recorded.
    pub(super) fn lives_to_release(&self) -> Vec<Sequence> {
        let releasable = self
            .ended_lives
            .iter()
            .filter(|kept| !kept.may_have_unknown_starts || !self.has_unread_jobs);
        releasable.map(|kept| kept.noted).collect()
    }

    /// Removes lives from the roster, by when they were noted: all that was noted for them is
    /// durable.
    pub(super) fn release_lives(&mut self, noted: &[Sequence]) {
        let is_released = |kept: &mut EndedLife| noted.contains(&kept.noted);
        for kept in self.ended_lives.extract_if(.., is_released) {
            self.roster_changes.insert(kept.entry.worker.life.id);
            self.roster_version += 1;
        }
    }
}
