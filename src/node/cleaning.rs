//! Dropping the rows of jobs that have ended.
//!
//! A successor reads every row, and callers ask for a job's state for a while after its
//! end.  So the row of a job goes some seconds after its end is recorded, and that of its
//! progress, which then holds nothing but the end, goes some minutes later together with
//! what the owner has in memory.

use std::collections::{HashMap, VecDeque};

use crate::cell::spec::JobId;
use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::node::shared::PARTITION;
use crate::store::{Row, RowKey, StoreCall, StoreError, Table, Transaction};

/// How often rows are dropped: each round costs a call for each partition in use.
const CLEAN_INTERVAL: Millis = 3_000;
/// The most rows in one transaction; the store takes 100 entries.
const MAX_ROWS: usize = 100;
/// How long the end of a job is kept after its row was dropped.  Callers may ask for 120 s;
/// a doubtful write of the row, which may come some seconds late, must find the end.
pub const END_RETENTION: Millis = 300_000;

/// Knows which rows are still to be dropped.
#[derive(Debug, Default)]
pub struct Cleaner {
    /// Rows of jobs, by partition.
    rows: HashMap<String, Vec<JobId>>,
    /// Jobs whose rows are gone, with the time since when, the oldest first.
    ended: VecDeque<(Millis, JobId)>,
    cleaned: Millis,
}

impl Cleaner {
    /// Notes where rows lie.
    pub fn add_rows(&mut self, rows: &[Row]) {
        for row in rows.iter().filter(|row| !row.dropped) {
            if let Ok(id) = row.key.parse() {
                self.rows.entry(row.partition.clone()).or_default().push(id);
            }
        }
    }

    /// Notes jobs that ended under a former owner and have no row any more.
    pub fn add_ended(&mut self, ids: impl IntoIterator<Item = JobId>, now: Millis) {
        self.ended.extend(ids.into_iter().map(|id| (now, id)));
    }

    /// Drops what is over, if it is time.
    pub async fn clean(&mut self, engine: &Engine) {
        let now = engine.shared.now();
        if self.cleaned + CLEAN_INTERVAL > now {
            return;
        }
        self.cleaned = now;
        self.drop_jobs(engine, now).await;
        self.drop_ends(engine, now).await;
    }

    async fn drop_jobs(&mut self, engine: &Engine, now: Millis) {
        for (partition, ids) in &mut self.rows {
            let over: Vec<JobId> = ids
                .iter()
                .copied()
                .filter(|&id| engine.is_end_recorded(id))
                .take(MAX_ROWS)
                .collect();
            match drop_rows(engine, Table::Jobs, partition, &over).await {
                Ok(()) => {
                    ids.retain(|id| !over.contains(id));
                    self.ended.extend(over.into_iter().map(|id| (now, id)));
                }
                Err(err) => tracing::debug!(%err, partition, "rows are dropped later"),
            }
        }
    }

    async fn drop_ends(&mut self, engine: &Engine, now: Millis) {
        let old = self
            .ended
            .iter()
            .take_while(|(since, _)| since + END_RETENTION <= now);
        let over: Vec<JobId> = old.map(|(_, id)| *id).take(MAX_ROWS).collect();
        match drop_rows(engine, Table::Progress, PARTITION, &over).await {
            Ok(()) => {
                self.ended.drain(..over.len());
                let busy = over.into_iter().filter(|&id| !engine.forget(id));
                self.ended.extend(busy.map(|id| (now, id)));
            }
            Err(err) => tracing::debug!(%err, "ends are dropped later"),
        }
    }
}

async fn drop_rows(
    engine: &Engine,
    table: Table,
    partition: &str,
    ids: &[JobId],
) -> Result<(), StoreError> {
    if ids.is_empty() {
        return Ok(());
    }
    let key = |id: &JobId| RowKey::new(table, partition, &id.to_string());
    let tx = Transaction {
        drops: ids.iter().map(key).collect(),
        ..Transaction::default()
    };
    engine.shared.store(StoreCall::Commit(tx)).await.map(drop)
}
