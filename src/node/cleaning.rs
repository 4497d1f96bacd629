//! Dropping the rows of jobs that have ended.
//!
//! A successor reads every job's row, so rows that say no more than the recorded
//! end are dropped some seconds after it.

use std::collections::HashMap;

use crate::cell::spec::JobId;
use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::store::{Row, RowKey, StoreCall, Table, Transaction};

/// How often rows are dropped: each round costs a call for each partition in use.
const CLEAN_EVERY: Millis = 3_000;
/// The most rows in one transaction; the store takes 100 entries.
const MOST_ROWS: usize = 100;

/// Knows where the rows of jobs lie.
#[derive(Debug, Default)]
pub struct Cleaner {
    rows: HashMap<String, Vec<JobId>>,
    cleaned: Millis,
}

impl Cleaner {
    /// Notes where rows lie.
    pub fn note(&mut self, rows: &[Row]) {
        for row in rows.iter().filter(|row| !row.dropped) {
            if let Ok(id) = row.key.parse() {
                self.rows.entry(row.partition.clone()).or_default().push(id);
            }
        }
    }

    /// Drops the rows of jobs whose end is recorded, if it is time.
    pub async fn clean(&mut self, engine: &Engine) {
        let now = engine.shared.now();
        if self.cleaned + CLEAN_EVERY > now {
            return;
        }
        self.cleaned = now;
        for (partition, ids) in &mut self.rows {
            let ended: Vec<JobId> = ids
                .iter()
                .copied()
                .filter(|&id| engine.is_end_recorded(id))
                .take(MOST_ROWS)
                .collect();
            if ended.is_empty() {
                continue;
            }
            let key = |id: &JobId| RowKey::new(Table::Jobs, partition, &id.to_string());
            let tx = Transaction {
                drops: ended.iter().map(key).collect(),
                ..Transaction::default()
            };
            match engine.shared.store(StoreCall::Commit(tx)).await {
                Ok(_) => ids.retain(|id| !ended.contains(id)),
                Err(err) => tracing::debug!(%err, partition, "rows are dropped later"),
            }
        }
    }
}
