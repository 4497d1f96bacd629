//! A store in memory, for a cell that lives in one process.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::watch;

use crate::clock::Millis;
use crate::store::{
    Row, RowKey, Store, StoreCall, StoreError, StoreReply, Table, Transaction, Version,
};

/// The longest row, in bytes, as the users' platform has it.
pub const MAX_ROW_BYTES: usize = 65_536;
/// The most rows that a transaction may name, as the users' platform has it.
pub const MOST_ENTRIES: usize = 100;
/// The most bytes that a transaction may have in the form in which it is sent.
pub const MOST_BYTES: usize = 1_000_000;
/// The most changes that one answer holds, unless one transaction made more.
pub const MOST_CHANGES: usize = 500;
/// What a store answers to a transaction beyond its limits.
const TOO_LARGE: StoreError = StoreError::Rejected(413);

/// Where a row lies: table, partition, key.
type Place = (Table, String, String);

#[derive(Default)]
struct Contents {
    rows: BTreeMap<Place, Row>,
    changes: Vec<(Table, Row)>,
    version: Version,
}

/// A store that keeps its rows for as long as the process lives.
pub struct MemoryStore {
    contents: Mutex<Contents>,
    /// Wakes those that wait for a change.
    changed: watch::Sender<Version>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            contents: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl MemoryStore {
    /// Carries out a transaction, also into tables that nodes only read.
    pub fn commit(&self, tx: &Transaction) -> StoreReply {
        let mut contents = self.lock();
        let unmet = tx
            .expected
            .iter()
            .any(|(key, version)| contents.version_of(key) != *version);
        if unmet {
            let rows = tx.expected.iter().filter_map(|(key, _)| contents.find(key));
            return StoreReply::Conflict(rows.cloned().collect());
        }
        contents.version += 1;
        for (key, value) in &tx.puts {
            contents.write(key, Some(value));
        }
        for key in &tx.drops {
            contents.write(key, None);
        }
        let version = contents.version;
        drop(contents);
        self.changed.send_replace(version);
        StoreReply::Committed(version)
    }

    async fn answer(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        Ok(match call {
            StoreCall::Commit(tx) if is_too_large(&tx) => return Err(TOO_LARGE),
            StoreCall::Commit(tx) => self.commit(&tx),
            StoreCall::List {
                table,
                partition,
                from,
                until,
                limit,
            } => self.lock().list(table, &partition, &from, &until, limit),
            StoreCall::Changes { table, after, wait } => self.changes(table, after, wait).await,
        })
    }

    async fn changes(&self, table: Table, after: Version, wait: Millis) -> StoreReply {
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            changed.borrow_and_update();
            let (rows, version) = self.lock().changes(table, after);
            if !rows.is_empty() || tokio::time::Instant::now() >= until {
                return StoreReply::Rows {
                    rows,
                    more: false,
                    version,
                };
            }
            // Whether a change came or the time is over, the changes are read again.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for MemoryStore {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        self.answer(call).boxed()
    }
}

fn is_too_large(tx: &Transaction) -> bool {
    let entries = tx.expected.len() + tx.puts.len() + tx.drops.len();
    let longest = tx.puts.iter().map(|(_, value)| value.len()).max();
    // Values are sent as base64.
    let values: usize = tx.puts.iter().map(|(_, value)| value.len() * 4 / 3).sum();
    entries > MOST_ENTRIES
        || longest.is_some_and(|bytes| bytes > MAX_ROW_BYTES)
        || values > MOST_BYTES
}

impl Contents {
    fn find(&self, key: &RowKey) -> Option<&Row> {
        let place = (key.table, key.partition.clone(), key.key.clone());
        self.rows.get(&place)
    }

    fn version_of(&self, key: &RowKey) -> Version {
        self.find(key).map_or(0, |row| row.version)
    }

    fn write(&mut self, key: &RowKey, value: Option<&String>) {
        let row = Row {
            partition: key.partition.clone(),
            key: key.key.clone(),
            value: value.cloned().unwrap_or_default(),
            version: self.version,
            dropped: value.is_none(),
        };
        let place = (key.table, key.partition.clone(), key.key.clone());
        match value {
            Some(_) => self.rows.insert(place, row.clone()),
            None => self.rows.remove(&place),
        };
        self.changes.push((key.table, row));
    }

    fn list(
        &self,
        table: Table,
        partition: &str,
        from: &str,
        until: &str,
        limit: u32,
    ) -> StoreReply {
        let first = (table, partition.to_owned(), from.to_owned());
        let mut found = self
            .rows
            .range(first..)
            .take_while(|((t, p, _), _)| *t == table && p == partition)
            .filter(|((_, _, key), _)| until.is_empty() || key.as_str() < until)
            .map(|(_, row)| row.clone());
        let rows = found.by_ref().take(limit as usize).collect();
        StoreReply::Rows {
            rows,
            more: found.next().is_some(),
            version: self.version,
        }
    }

    /// Changes in their order, and the version from which to go on.
    fn changes(&self, table: Table, after: Version) -> (Vec<Row>, Version) {
        let first = self
            .changes
            .partition_point(|(_, row)| row.version <= after);
        let mut rows: Vec<Row> = Vec::new();
        for (_, row) in self.changes[first..].iter().filter(|(of, _)| *of == table) {
            match rows.last().map(|last| last.version) {
                Some(last) if rows.len() >= MOST_CHANGES && last < row.version => {
                    return (rows, last);
                }
                _ => rows.push(row.clone()),
            }
        }
        (rows, self.version)
    }
}
