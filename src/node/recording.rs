//! Writing what the owner has decided.
//!
//! Every transaction of an owner names the version of the row of ownership and
//! writes that row anew.  So a former owner's transaction fails, and so does a
//! repeated one that took effect after all: the row then shows its number.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cell::lapse::RemainingLeases;
use crate::cell::record::Batch;
use crate::node::engine::Engine;
use crate::node::roster_rows::RosterWrite;
use crate::node::shared::PARTITION;
use crate::store::{self, Row, RowKey, StoreCall, StoreError, StoreReply, Table, Transaction};

/// The key of the row of ownership.
pub const OWNER_KEY: &str = "owner";

/// The key of what an owner that gave the cell up knew of silent workers.
const LAPSES_KEY: &str = "lapses";

/// The least time between two transactions: callers hardly notice it, and each
/// transaction has its price.
const RECORD_PAUSE: Duration = Duration::from_millis(20);
/// Without any change the loop looks at the core so often.
const RECORD_TICK: Duration = Duration::from_millis(200);
/// The most jobs in a transaction, of whose rows the store takes 100: that of ownership and some of
/// the roster go with them.
pub(super) const MAX_JOBS: usize = 80;
/// The most rows in a transaction beside that of ownership, its version and what a release passes on.
const MAX_ROWS: usize = 96;
/// The most rows of the roster in a transaction, so that jobs are recorded beside them.
const MAX_ROSTER_ROWS: usize = 48;
/// A transaction without an answer for so long is late: ten times what one takes.
const LATE: Duration = Duration::from_millis(60);
/// The pause after a failed transaction.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// The row of ownership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The owner's name.
    pub name: String,
    /// Where it answers other nodes.
    pub address: String,
    /// Names the start of its process.
    pub boot: u64,
    /// Rises with each claim.
    pub epoch: u64,
    /// Counts the owner's transactions.
    pub batch: u64,
    /// The owner has given the cell up.
    pub released: bool,
}

impl OwnerRow {
    /// Reads the row; one that cannot be read is logged.
    pub fn read(row: &Row) -> Option<Self> {
        match serde_json::from_str(&row.value) {
            Ok(owner) => Some(owner),
            Err(err) => {
                tracing::error!(%err, "the row of ownership cannot be read");
                None
            }
        }
    }

    /// The row as it is written.
    pub fn write(&self) -> String {
        store::encode(self)
    }

    /// The name of the row.
    pub fn key() -> RowKey {
        RowKey::new(Table::Cells, PARTITION, OWNER_KEY)
    }
}

impl Engine {
    pub(super) async fn record_loop(self: Arc<Self>) {
        loop {
            // Woken by a change, or to see whether one was missed.
            let _ = tokio::time::timeout(RECORD_TICK, self.record.notified()).await;
            self.record_once(false).await;
            let is_written = self.roster_rows().is_written();
            if !is_written || self.cell().has_unrecorded_progress() {
                self.record.notify_one();
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
    }

    /// Writes what has changed; `release` gives the cell up with it.
    pub(super) async fn record_once(&self, release: bool) {
        // Only what is taken while no other transaction is on its way can follow all that was
        // taken before; otherwise ends would be passed on while their rows are in another batch.
        let mut row = self.row.lock().await;
        if release {
            self.releasing.store(true, Ordering::Relaxed);
        } else if self.releasing.load(Ordering::Relaxed) {
            // The release may have been given up on and yet take effect, with its rows.
            return;
        }
        let most_jobs = self.most_jobs.load(Ordering::Relaxed);
        // After a rejection the job at fault is looked for, and nothing else goes with it.
        let (roster, workers) = self.changed_roster(match most_jobs {
            MAX_JOBS => MAX_ROSTER_ROWS,
            _ => 0,
        });
        let batch = self
            .cell()
            .take_batch(most_jobs.min(MAX_ROWS - workers.rows()));
        if batch.rows.is_empty() && workers.rows() == 0 && !release {
            self.most_jobs.store(MAX_JOBS, Ordering::Relaxed);
            self.finish_roster(roster, &workers);
            if !batch.ends.is_empty() || !batch.lost.is_empty() {
                self.finish(batch);
            }
            return;
        }
        let number = row.1 + 1;
        let mut tx = self.transaction(&batch, number, &workers, release);
        if release {
            let lapses = self.cell().seal_silent(self.shared.now());
            tx.puts.push((lapses_key(), store::encode(&lapses)));
        }
        loop {
            if self.is_retired() {
                return;
            }
            let sent = self.shared.now();
            let mut tx = tx.clone();
            tx.expected.push((OwnerRow::key(), row.0));
            match self.commit(tx).await {
                Ok(StoreReply::Committed(version)) => {
                    *row = (version, number);
                    self.confirm(sent);
                    break;
                }
                Ok(StoreReply::Conflict(rows)) => match self.settle_conflict(&rows, number) {
                    Conflict::TookEffect(version) => {
                        *row = (version, number);
                        self.confirm(sent);
                        break;
                    }
                    Conflict::Lost => return self.retire("a successor writes"),
                },
                Ok(_) => {
                    tracing::error!("the store's answer to a transaction is of the wrong kind")
                }
                Err(StoreError::Rejected(status)) => {
                    tracing::error!(
                        status,
                        rows = batch.rows.len(),
                        "the store rejects a transaction"
                    );
                    self.shared.metrics.violation("rejected_transaction");
                    if batch.rows.is_empty() {
                        // Nothing can be left out, so it is rejected again.
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                    self.rejected(batch, workers.rows() > 0);
                    return;
                }
                Err(err) => {
                    tracing::info!(%err, number, "transaction is repeated");
                    self.stalled.store(true, Ordering::Relaxed);
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.stalled.store(false, Ordering::Relaxed);
        self.most_jobs.store(MAX_JOBS, Ordering::Relaxed);
        self.finish_roster(roster, &workers);
        self.finish(batch);
    }

    /// Sends a transaction.  While its answer is late, ends are told to other nodes, so that
    /// callers need not wait for a slow store: urgent jobs have 0.9 s to spare, and a store
    /// that is 77 times slower takes 0.46 s for each answer.
    async fn commit(&self, tx: Transaction) -> Result<StoreReply, StoreError> {
        let committing = self.shared.store(StoreCall::Commit(tx));
        tokio::pin!(committing);
        if let Ok(reply) = tokio::time::timeout(LATE, &mut committing).await {
            return reply;
        }
        self.stalled.store(true, Ordering::Relaxed);
        committing.await
    }

    /// The next transactions are smaller and hold no rows of the roster, until the job at fault is
    /// alone in one.
    fn rejected(&self, batch: Batch, with_roster: bool) {
        match batch.rows.len() {
            0 => {}
            1 if !with_roster => self.cell().batch_rejected(batch),
            jobs => {
                self.most_jobs.store((jobs / 2).max(1), Ordering::Relaxed);
                self.cell().batch_failed(batch);
            }
        }
    }

    /// The version of the roster, and those of its rows that are to be written next.
    fn changed_roster(&self, most_rows: usize) -> (u64, RosterWrite) {
        let (version, changes) = self.cell().take_roster_changes();
        let mut rows = self.roster_rows();
        rows.apply(changes);
        (version, rows.next_write(most_rows))
    }

    /// The roster of this version is recorded once all rows that had changed are.
    fn finish_roster(&self, version: u64, written: &RosterWrite) {
        let is_written = {
            let mut rows = self.roster_rows();
            rows.mark_written(written);
            rows.is_written()
        };
        if is_written {
            self.roster_recorded.store(version, Ordering::Relaxed);
            self.cell().mark_roster_recorded(version);
        }
    }

    fn finish(&self, batch: Batch) {
        let now = self.shared.now();
        self.cell().batch_recorded(batch, now);
        self.recorded.notify_waiters();
        self.wake.notify_one();
    }

    fn transaction(
        &self,
        batch: &Batch,
        number: u64,
        workers: &RosterWrite,
        release: bool,
    ) -> Transaction {
        let mut tx = Transaction::default();
        let owner = OwnerRow {
            name: self.shared.name.clone(),
            address: self.shared.address.to_string(),
            boot: self.shared.boot,
            epoch: self.epoch,
            batch: number,
            released: release,
        };
        tx.puts.push((OwnerRow::key(), owner.write()));
        tx.puts.extend(workers.puts.iter().cloned());
        tx.drops.extend(workers.drops.iter().cloned());
        for (_, id, progress) in &batch.rows {
            let id = id.to_string();
            let value = store::encode(progress);
            tx.puts
                .push((RowKey::new(Table::Progress, PARTITION, &id), value));
        }
        tx
    }

    fn settle_conflict(&self, rows: &[Row], number: u64) -> Conflict {
        let found = rows
            .iter()
            .find(|row| row.key == OWNER_KEY)
            .and_then(|row| Some((row.version, OwnerRow::read(row)?)));
        match found {
            Some((version, owner))
                if owner.epoch == self.epoch
                    && owner.boot == self.shared.boot
                    && owner.batch == number =>
            {
                Conflict::TookEffect(version)
            }
            _ => Conflict::Lost,
        }
    }
}

/// Reads what the former owner knew of silent workers from the rows of a cell, if it told.
pub fn read_lapses(rows: &[Row]) -> Option<RemainingLeases> {
    let row = rows.iter().find(|row| row.key == LAPSES_KEY)?;
    match serde_json::from_str(&row.value) {
        Ok(lapses) => Some(lapses),
        Err(err) => {
            tracing::error!(%err, "what the former owner knew of silent workers cannot be read");
            None
        }
    }
}

fn lapses_key() -> RowKey {
    RowKey::new(Table::Cells, PARTITION, LAPSES_KEY)
}

enum Conflict {
    /// An earlier try of this transaction took effect as this version.
    TookEffect(u64),
    /// Somebody else has written the row of ownership.
    Lost,
}
