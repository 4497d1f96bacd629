//! Fixture: an operator who evacuates data halls and takes them back in a simulated cell.

use std::collections::BTreeMap;
use std::sync::Arc;

use crossweir::clock::Millis;
use crossweir::evacuation::Halls;
use rand::Rng;
use rand::rngs::StdRng;

/// The halls, to which the workers are assigned by turns.
pub const HALLS: [&str; 2] = ["north", "south"];
/// Longest time until an owner knows of a change, in milliseconds.
pub const MAX_NOTICE_DELAY: Millis = 1_000;

/// The evacuations in the store, and what the owner knows of them.
#[derive(Default)]
pub struct Operator {
    /// The evacuated halls, and since when each is.
    evacuated: BTreeMap<&'static str, Millis>,
    known: Arc<Halls>,
    /// Changes that the owner does not know yet: from when on it does, and all halls evacuated
    /// then.
    unread_changes: Vec<(Millis, Arc<Halls>)>,
}

impl Operator {
    /// Evacuates a random hall, or takes it back if it is evacuated.
    pub fn toggle_hall(&mut self, rng: &mut StdRng, now: Millis) {
        let hall = HALLS[rng.random_range(0..HALLS.len())];
        if self.evacuated.remove(hall).is_none() {
            self.evacuated.insert(hall, now);
        }
        let delay = rng.random_range(0..MAX_NOTICE_DELAY);
        self.unread_changes
            .push((now + delay, self.evacuated_halls()));
    }

    /// Takes all halls back; the owner knows at once.
    pub fn reopen_all(&mut self) {
        *self = Self::default();
    }

    /// The evacuated halls in the store.
    pub fn evacuated_halls(&self) -> Arc<Halls> {
        let halls = self.evacuated.keys();
        Arc::new(halls.map(|&hall| hall.to_owned()).collect())
    }

    /// The evacuated halls that the owner knows of.  It learns of changes in their order.
    pub fn known_halls(&mut self, now: Millis) -> Arc<Halls> {
        let due = self.unread_changes.iter().rposition(|(at, _)| *at <= now);
        if let Some(place) = due {
            self.known = self
                .unread_changes
                .drain(..=place)
                .next_back()
                .expect("the last one")
                .1;
        }
        Arc::clone(&self.known)
    }

    /// A new owner reads the store.
    pub fn read_store(&mut self) -> Arc<Halls> {
        self.unread_changes.clear();
        self.known = self.evacuated_halls();
        Arc::clone(&self.known)
    }

    /// Since when a hall is evacuated; `None` if it is not.
    pub fn evacuated_since(&self, hall: &str) -> Option<Millis> {
        self.evacuated.get(hall).copied()
    }
}
