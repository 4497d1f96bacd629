//! Deletes the rows of jobs that have ended.
//!
//! A successor reads every row, so few should be left; but callers ask for a job's state for a
//! while after its end.  The row of a job is therefore deleted some seconds after its end is
//! recorded.  The row of its progress, which then holds nothing but the end, is deleted some
//! minutes later, together with what the owner has in memory.

use std::collections::{HashMap, VecDeque};

use crate::cell::spec::JobId;
use crate::cell::unknown_cancel::CancelNumber;
use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::node::recording;
use crate::node::shared::CELL_PARTITION;
use crate::store::{Row, RowKey, StoreCall, StoreError, Table, Transaction};

/// How often rows are deleted, in milliseconds: each time costs one call per partition in use.
const CLEAN_INTERVAL: Millis = 3_000;
/// Maximum number of rows in one transaction; the store accepts 100 entries.
const MAX_ROWS: usize = 100;
/// How long the end of a job is kept after the job's row was deleted, in milliseconds.  Callers may
/// ask for the state for 120 s.  A write of the row whose result is unknown may also take effect
/// some seconds late, and the job must then still be known to have ended.
pub const END_RETENTION: Millis = 300_000;

/// Keeps track of the rows that are still to be deleted.
#[derive(Debug, Default)]
pub struct Cleaner {
    /// Jobs that have a row, by the partition of the row.
    rows: HashMap<String, Vec<JobId>>,
    /// Ended jobs whose own rows are deleted, each with the time from which its end is kept; the
    /// oldest first.
    ended: VecDeque<(Millis, JobId)>,
    /// Recorded cancellations of unknown jobs, each with the time from which it is kept; the oldest
    /// first.
    cancels: VecDeque<(Millis, CancelNumber)>,
    /// When rows were last deleted.
    last_cleaned: Millis,
}

impl Cleaner {
    /// Adds rows of jobs, to be deleted once the jobs have ended.
    pub fn add_rows(&mut self, rows: &[Row]) {
        for row in rows.iter().filter(|row| !row.dropped) {
            if let Ok(id) = row.key.parse() {
                self.rows.entry(row.partition.clone()).or_default().push(id);
            }
        }
    }

    /// Adds jobs that ended under a former owner and have no row of their own any more.
    pub fn add_ended(&mut self, ids: impl IntoIterator<Item = JobId>, now: Millis) {
        self.ended.extend(ids.into_iter().map(|id| (now, id)));
    }

    /// Adds cancellations of unknown jobs that are recorded.
    pub fn add_cancels(&mut self, numbers: Vec<CancelNumber>, now: Millis) {
        self.cancels
            .extend(numbers.into_iter().map(|number| (now, number)));
    }

    /// Deletes the rows that are no longer needed, once per `CLEAN_INTERVAL`.
    pub async fn clean(&mut self, engine: &Engine) {
        let now = engine.shared.now();
        if self.last_cleaned + CLEAN_INTERVAL > now {
            return;
        }
        self.last_cleaned = now;
        self.delete_job_rows(engine, now).await;
        self.delete_ends(engine, now).await;
        self.delete_cancels(engine, now).await;
    }

    async fn delete_job_rows(&mut self, engine: &Engine, now: Millis) {
        for (partition, ids) in &mut self.rows {
            let ended: Vec<JobId> = ids
                .iter()
                .copied()
                .filter(|&id| engine.is_end_recorded(id))
                .take(MAX_ROWS)
                .collect();
            match delete_rows(engine, Table::Jobs, partition, &ended).await {
                Ok(()) => {
                    ids.retain(|id| !ended.contains(id));
                    self.ended.extend(ended.into_iter().map(|id| (now, id)));
                }
                Err(err) => tracing::debug!(%err, partition, "cannot delete rows of jobs yet"),
            }
        }
    }

    async fn delete_ends(&mut self, engine: &Engine, now: Millis) {
        let expired: Vec<JobId> = expired(&self.ended, now);
        match delete_rows(engine, Table::Progress, CELL_PARTITION, &expired).await {
            Ok(()) => {
                self.ended.drain(..expired.len());
                // A job of which something may still run is kept for another period.
                let busy = expired.into_iter().filter(|&id| !engine.forget_job(id));
                self.ended.extend(busy.map(|id| (now, id)));
            }
            Err(err) => tracing::debug!(%err, "cannot delete ends of jobs yet"),
        }
    }

    async fn delete_cancels(&mut self, engine: &Engine, now: Millis) {
        let expired: Vec<CancelNumber> = expired(&self.cancels, now);
        let keys = {
            let cell = engine.cell();
            let cancels = expired
                .iter()
                .filter_map(|&number| Some((number, cell.unknown_cancel(number)?)));
            cancels
                .map(|(number, cancel)| recording::cancel_key(number, cancel))
                .collect()
        };
        match delete_keys(engine, keys).await {
            Ok(()) => {
                self.cancels.drain(..expired.len());
                let mut cell = engine.cell();
                expired
                    .into_iter()
                    .for_each(|number| cell.forget_unknown_cancel(number));
            }
            Err(err) => tracing::debug!(%err, "cannot delete cancellations of unknown jobs yet"),
        }
    }
}

/// Returns what has been kept for [`END_RETENTION`], as much as fits in one transaction.
fn expired<T: Copy>(kept: &VecDeque<(Millis, T)>, now: Millis) -> Vec<T> {
    let old = kept
        .iter()
        .take_while(|(since, _)| since + END_RETENTION <= now);
    old.map(|(_, item)| *item).take(MAX_ROWS).collect()
}

async fn delete_rows(
    engine: &Engine,
    table: Table,
    partition: &str,
    ids: &[JobId],
) -> Result<(), StoreError> {
    let key = |id: &JobId| RowKey::new(table, partition, &id.to_string());
    delete_keys(engine, ids.iter().map(key).collect()).await
}

async fn delete_keys(engine: &Engine, keys: Vec<RowKey>) -> Result<(), StoreError> {
    if keys.is_empty() {
        return Ok(());
    }
    let tx = Transaction {
        drops: keys,
        ..Transaction::default()
    };
    engine.shared.store(StoreCall::Commit(tx)).await.map(drop)
}
