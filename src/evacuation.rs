//! Evacuated halls: no task is started on their workers until the operator ends the evacuation
//! (see "Evacuated halls" in `docs/DESIGN.md`).

use std::collections::{BTreeMap, BTreeSet};

use crate::store::Version;

/// The names of evacuated halls.
pub type Halls = BTreeSet<String>;

/// The latest known state of each hall, from the operator's rows in the store.  The result does not
/// depend on the order in which the rows are read, or on whether they come singly or in lists.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<String, HallState>,
}

/// The latest known state of one hall.
#[derive(Debug, Clone, Copy)]
struct HallState {
    /// The store's version of the change that set this state.
    version: Version,
    is_evacuated: bool,
}

impl Evacuations {
    /// Applies a change of one hall, made in `version` of the store.  It has no effect if a change
    /// of that or a later version is known.
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

    /// Removes halls that a complete list of the rows at `version` does not name.  Halls that
    /// changed in a later version stay, since the list may be older than changes applied before.
    pub fn remove_unlisted(&mut self, listed: &Halls, version: Version) {
        self.halls
            .retain(|hall, state| state.version > version || listed.contains(hall));
    }

    /// Returns the halls that are evacuated.
    pub fn halls(&self) -> Halls {
        let evacuated = self.halls.iter().filter(|(_, state)| state.is_evacuated);
        evacuated.map(|(hall, _)| hall.clone()).collect()
    }
}
