//! The roster in the store: rows of bounded size, of which only changed ones are written.
//!
//! A store takes rows of some 64 KB, which the entries of about 230 workers fill.  So the
//! roster is cut into a fixed number of rows, each worker in the row that its id gives it.
//! One row for all of 350 workers was rejected, and then nothing was recorded any more.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::cell::roster::RosterEntry;
use crate::node::shared::PARTITION;
use crate::store::{self, Row, RowKey, Table};

/// In how many rows the roster lies: 1,100 workers make rows of some 20 KB, 48 of 1 KB.
const ROWS: usize = 16;
/// The longest row: below the 64 KB of the store, of which its own form takes a third.
const MOST_BYTES: usize = 44_000;
/// How the keys of the rows begin.
const KEY_PREFIX: &str = "workers-";

/// What the rows of the roster hold, as last written by this owner.
#[derive(Debug, Default)]
pub struct RosterRows {
    written: HashMap<usize, String>,
}

/// Rows of the roster that are to be written.
#[derive(Debug, Clone, Default)]
pub struct ChangedRows(Vec<(usize, String)>);

impl ChangedRows {
    /// The rows as a transaction writes them.
    pub fn puts(&self) -> impl Iterator<Item = (RowKey, String)> {
        self.0
            .iter()
            .map(|(row, text)| (row_key(*row), text.clone()))
    }
}

impl RosterRows {
    /// The rows that differ from what was last written.
    pub fn changed(&self, entries: &[RosterEntry]) -> ChangedRows {
        let mut rows: Vec<Vec<&RosterEntry>> = vec![Vec::new(); ROWS];
        for entry in entries {
            rows[row_of(&entry.worker.life.id)].push(entry);
        }
        let texts = rows.iter().map(|entries| encode(entries)).enumerate();
        ChangedRows(
            texts
                .filter(|(row, text)| self.written.get(row) != Some(text))
                .collect(),
        )
    }

    /// These rows are durable.
    pub fn are_written(&mut self, rows: ChangedRows) {
        self.written.extend(rows.0);
    }
}

/// Reads the roster from the rows of a cell; other rows are left out.
pub fn read(rows: &[Row]) -> Vec<RosterEntry> {
    let mut entries = Vec::new();
    for row in rows.iter().filter(|row| row.key.starts_with(KEY_PREFIX)) {
        match serde_json::from_str::<Vec<RosterEntry>>(&row.value) {
            Ok(found) => entries.extend(found),
            Err(err) => {
                tracing::error!(%err, key = row.key, "a part of the former owner's roster cannot be read");
            }
        }
    }
    entries
}

fn row_of(worker: &str) -> usize {
    xxh3_64(worker.as_bytes()) as usize % ROWS
}

fn row_key(row: usize) -> RowKey {
    RowKey::new(Table::Cells, PARTITION, &format!("{KEY_PREFIX}{row:02}"))
}

/// A row that would be too long names no jobs: a successor then waits for those workers
/// with all jobs, which is slower and as safe.
fn encode(entries: &[&RosterEntry]) -> String {
    let text = store::encode(&entries);
    if text.len() <= MOST_BYTES {
        return text;
    }
    tracing::warn!(
        bytes = text.len(),
        "a part of the roster is too long to name jobs"
    );
    let plain: Vec<RosterEntry> = entries
        .iter()
        .map(|entry| RosterEntry {
            worker: entry.worker.clone(),
            jobs: None,
            long_lease: entry.long_lease,
        })
        .collect();
    store::encode(&plain)
}
