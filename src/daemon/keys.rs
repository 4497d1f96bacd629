//! Requests by the caller's key, so that a repeat meets the first.
//!
//! Only the durable mark decides whether a request may run; this table lets a
//! repeat at the same instance share the first one's answer.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::routing::Outcome;

/// How many finished outcomes are remembered.
const REMEMBERED: usize = 1_024;
/// The largest answer that is remembered, in bytes.
const MAX_REMEMBERED_BODY: usize = 64 * 1024;

type Seen = watch::Receiver<Option<Outcome>>;

#[derive(Default)]
struct Table {
    seen: HashMap<String, Seen>,
    finished: VecDeque<String>,
}

/// Requests in progress and lately finished, by key.
#[derive(Default)]
pub struct KeyTable {
    table: Mutex<Table>,
}

/// What a request finds under its key.
pub enum Entry {
    /// Nothing: it is the first, and must tell its outcome.
    First(watch::Sender<Option<Outcome>>),
    /// A former one, whose outcome may be waited for.
    Repeat(Seen),
}

impl KeyTable {
    /// Enters a request under its key.
    pub fn enter(&self, key: &str) -> Entry {
        let mut table = self.lock();
        if let Some(seen) = table.seen.get(key) {
            return Entry::Repeat(seen.clone());
        }
        let (tx, rx) = watch::channel(None);
        table.seen.insert(key.to_owned(), rx);
        Entry::First(tx)
    }

    /// Records the outcome of the first request under a key.
    ///
    /// A request that was not run leaves no trace, so that it may be tried again.
    pub fn finish(&self, key: &str, tx: &watch::Sender<Option<Outcome>>, outcome: &Outcome) {
        tx.send_replace(Some(outcome.clone()));
        let mut table = self.lock();
        let large =
            matches!(outcome, Outcome::Answered { body, .. } if body.len() > MAX_REMEMBERED_BODY);
        if large || matches!(outcome, Outcome::NotRun { .. }) {
            table.seen.remove(key);
            return;
        }
        table.finished.push_back(key.to_owned());
        if table.finished.len() > REMEMBERED
            && let Some(oldest) = table.finished.pop_front()
        {
            table.seen.remove(&oldest);
        }
    }

    /// Waits for the outcome of the first request under a key.
    ///
    /// Returns nothing if the first was dropped without an outcome.
    pub async fn wait(mut seen: Seen) -> Option<Outcome> {
        let outcome = seen.wait_for(Option::is_some).await.ok()?;
        outcome.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
