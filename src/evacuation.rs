//! Evacuated halls: nothing new starts on their workers until the operator takes that back (see
//! "Evacuated halls" in `docs/DESIGN.md`).

use std::collections::{BTreeMap, BTreeSet};

use crate::store::Version;

/// The names of the halls that are evacuated now.
pub type Halls = BTreeSet<String>;

/// What is known of the operator's rows about halls, whichever way and in which order they were read.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<String, HallState>,
}

/// The newest that is known of one hall.
#[derive(Debug, Clone, Copy)]
struct HallState {
    /// When the store took it.
    version: Version,
    is_evacuated: bool,
}

impl Evacuations {
    /// A hall is evacuated, or not any more, since the store's `version`; what is outdated changes
    /// nothing.
    pub fn apply(&mut self, hall: &str, version: Version, is_evacuated: bool) {
        let known = self.halls.get(hall);
        if known.is_none_or(|state| state.version < version) {
            let state = HallState {
                version,
                is_evacuated,
            };
            self.halls.insert(hall.to_owned(), state);
        }
    }

    /// The store had rows about `listed` halls, and no others, at `version`: orders that are older
    /// and not listed are taken back.  A list may be older than what a change has told since.
    pub fn remove_unlisted(&mut self, listed: &Halls, version: Version) {
        self.halls
            .retain(|hall, state| state.version > version || listed.contains(hall));
    }

    /// The halls that are evacuated.
    pub fn halls(&self) -> Halls {
        let evacuated = self.halls.iter().filter(|(_, state)| state.is_evacuated);
        evacuated.map(|(hall, _)| hall.clone()).collect()
    }
}
