//! An in-memory store, for a cell that runs in one process.

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

pub use crate::store::MAX_ROW_BYTES;

/// The most rows that a transaction may name in its expected versions, writes and removals; the
/// same as the users' platform's.
pub const MAX_TRANSACTION_ROWS: usize = 100;
/// The most bytes that a transaction may have in the form in which it is sent; only its values are
/// counted here.
pub const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// The most changes that one reply holds, except that the changes of one transaction are never
/// split between replies.
pub const MAX_CHANGES: usize = 500;
/// The error for a transaction that exceeds the limits.
const TOO_LARGE: StoreError = StoreError::Rejected(413);

/// The full key of a row: table, partition, key.
type FullKey = (Table, String, String);

#[derive(Default)]
struct Contents {
    rows: BTreeMap<FullKey, Row>,
    /// Every write and removal, ordered by version.
    changes: Vec<(Table, Row)>,
    /// The version of the last transaction that was committed.
    version: Version,
}

/// A store that keeps its rows in memory until the process ends.
pub struct MemoryStore {
    contents: Mutex<Contents>,
    /// Wakes the calls that wait for a change.
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
    /// Executes a transaction without a check of its size.  It may also write tables that nodes
    /// only read.
    pub fn commit(&self, tx: &Transaction) -> StoreReply {
        let mut contents = self.lock();
        let has_conflict = tx
            .expected
            .iter()
            .any(|(key, version)| contents.version_of(key) != *version);
        if has_conflict {
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

    async fn handle(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
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
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            changed.borrow_and_update();
            let (rows, version) = self.lock().changes(table, after);
            if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                return StoreReply::Rows {
                    rows,
                    more: false,
                    version,
                };
            }
            // The changes are read again whether a change has come or the wait has timed out.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for MemoryStore {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        self.handle(call).boxed()
    }
}

fn is_too_large(tx: &Transaction) -> bool {
    let rows = tx.expected.len() + tx.puts.len() + tx.drops.len();
    let longest = tx.puts.iter().map(|(_, value)| value.len()).max();
    // Values are sent as base64, which makes them a third longer.
    let encoded_bytes: usize = tx.puts.iter().map(|(_, value)| value.len() * 4 / 3).sum();
    rows > MAX_TRANSACTION_ROWS
        || longest.is_some_and(|bytes| bytes > MAX_ROW_BYTES)
        || encoded_bytes > MAX_TRANSACTION_BYTES
}

impl Contents {
    fn find(&self, key: &RowKey) -> Option<&Row> {
        let full_key = (key.table, key.partition.clone(), key.key.clone());
        self.rows.get(&full_key)
    }

    fn version_of(&self, key: &RowKey) -> Version {
        self.find(key).map_or(0, |row| row.version)
    }

    /// Writes a row, or removes it if there is no value, and adds that to the changes.
    fn write(&mut self, key: &RowKey, value: Option<&String>) {
        let row = Row {
            partition: key.partition.clone(),
            key: key.key.clone(),
            value: value.cloned().unwrap_or_default(),
            version: self.version,
            dropped: value.is_none(),
        };
        let full_key = (key.table, key.partition.clone(), key.key.clone());
        match value {
            Some(_) => self.rows.insert(full_key, row.clone()),
            None => self.rows.remove(&full_key),
        };
        self.changes.push((key.table, row));
    }

    /// Lists the rows of a partition from the key `from` up to, but not including, the key `until`
    /// (no bound if empty).
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

    /// Returns the table's changes after a version in their order, and the version from which to
    /// continue.
    fn changes(&self, table: Table, after: Version) -> (Vec<Row>, Version) {
        let first = self
            .changes
            .partition_point(|(_, row)| row.version <= after);
        let mut rows: Vec<Row> = Vec::new();
        for (_, row) in self.changes[first..]
            .iter()
            .filter(|(row_table, _)| *row_table == table)
        {
            match rows.last().map(|last| last.version) {
                Some(last) if rows.len() >= MAX_CHANGES && last < row.version => {
                    return (rows, last);
                }
                _ => rows.push(row.clone()),
            }
        }
        (rows, self.version)
    }
}
