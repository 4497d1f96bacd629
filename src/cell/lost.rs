//! Lives that are over, and on which starts may be forgotten.
//!
//! What a former owner had started on such a life, and not recorded, nobody can tell any more.  Whoever
//! finds the life over marks all jobs that the former owner knew ([`Cell::assume_unrecorded_starts`]),
//! and a successor that does not find the life in the roster takes for granted that nothing was lost
//! there.  So it stays in the roster until each of those jobs is read and its mark is recorded
//! (docs/DESIGN.md, "Tasks that crash their workers"; docs/incidents/forgotten-starts.md).

use serde::{Deserialize, Serialize};

use crate::cell::roster::{RosterEntry, RosterState};
use crate::cell::sequence::Sequence;
use crate::cell::{Cell, WorkerKey};

/// What the roster tells of a life that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LostLife {
    /// It is that of the entry: nothing runs there.
    This,
    /// It came before that of the entry.
    Former,
}

/// A life that is over and stays in the roster.
#[derive(Debug)]
pub(super) struct EndedLife {
    /// How it stands there unless another life of its id is in use.
    entry: RosterEntry,
    /// When it was found to be over.
    noted: Sequence,
    /// A former owner may have started tasks there, also of jobs that are not read yet.
    forgets: bool,
}

impl Cell {
    /// A life is over, or its lease: it stays in the roster.  On one that is not in it nothing was
    /// started.
    pub(super) fn keep_lost_life(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let hides_starts = worker.may_have_unknown_starts();
        if worker.roster_state != RosterState::Absent {
            let entry = RosterEntry {
                jobs: None,
                long_lease: false,
                lost: Some(LostLife::This),
                worker: worker.entry.clone(),
            };
            self.keep_in_roster(entry, hides_starts);
        }
        if hides_starts {
            self.assume_unrecorded_starts();
        }
    }

    fn keep_in_roster(&mut self, entry: RosterEntry, forgets: bool) {
        let noted = self.next_sequence();
        let id = &entry.worker.life.id;
        let mut kept = self.ended_lives.iter_mut();
        match kept.find(|kept| kept.entry.worker.life.id == *id) {
            // What is being recorded for the life before does not cover this one.
            Some(kept) => {
                kept.noted = noted;
                kept.forgets |= forgets;
            }
            None => self.ended_lives.push(EndedLife {
                entry,
                noted,
                forgets,
            }),
        }
    }

    /// A former owner tells of a life that was over for it.
    pub(super) fn inherit_lost_life(&mut self, entry: &RosterEntry) {
        let entry = RosterEntry {
            lost: Some(LostLife::This),
            jobs: None,
            ..entry.clone()
        };
        self.keep_in_roster(entry, true);
        self.assume_unrecorded_starts();
    }

    /// The entry of a life of this id that is over and stays in the roster.
    pub(super) fn lost_entry_of(&self, id: &str) -> Option<&RosterEntry> {
        let mut entries = self.ended_lives.iter().map(|kept| &kept.entry);
        entries.find(|entry| entry.worker.life.id == id)
    }

    /// The entries of lives that are over, but for those whose id another one in use has.
    pub(super) fn lost_entries(
        &self,
        is_used: impl Fn(&str) -> bool,
    ) -> impl Iterator<Item = &RosterEntry> {
        let entries = self.ended_lives.iter().map(|kept| &kept.entry);
        entries.filter(move |entry| !is_used(&entry.worker.life.id))
    }

    /// Lives of which nothing is noted but what is recorded once all that has changed is.  Jobs that
    /// are not read yet have no mark to be recorded.
    pub(super) fn lives_to_release(&self) -> Vec<Sequence> {
        let told = self
            .ended_lives
            .iter()
            .filter(|kept| !kept.forgets || !self.has_unread_jobs);
        told.map(|kept| kept.noted).collect()
    }

    /// What is noted of these lives is durable, so they leave the roster.
    pub(super) fn release_lives(&mut self, told: &[Sequence]) {
        let is_told = |kept: &mut EndedLife| told.contains(&kept.noted);
        for kept in self.ended_lives.extract_if(.., is_told) {
            self.roster_changes.insert(kept.entry.worker.life.id);
            self.roster_version += 1;
        }
    }
}
