//! Records the owner's decisions in the store.
//!
//! Every transaction of an owner expects the current version of the ownership row and rewrites that
//! row.  So a transaction of a former owner fails, and so does the repetition of one that took
//! effect after all: the row then shows the number of that transaction.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cell::lapse::RemainingLeases;
use crate::cell::record::Batch;
use crate::cell::spec::JobId;
use crate::cell::unknown_cancel::{CancelNumber, UnknownCancel};
use crate::node::engine::Engine;
use crate::node::roster_rows::RosterWrite;
use crate::node::shared::CELL_PARTITION;
use crate::node::succession::{FormerOwners, Voters};
use crate::node::transaction::{Outcome, RETRY_PAUSE};
use crate::store::{self, Row, RowKey, Table, Transaction, Version};

/// The key of the ownership row.
pub const OWNER_KEY: &str = "owner";

/// Separates the id of a job from the number of its cancellation in a key.
const CANCEL_SEPARATOR: char = '-';
/// The key of the row with the remaining leases of silent workers, which an owner writes when it
/// gives the cell up.
const REMAINING_LEASES_KEY: &str = "lapses";

/// The least time between two transactions.  Each transaction has a cost, and this pause is short
/// enough that callers hardly notice it.
const RECORD_PAUSE: Duration = Duration::from_millis(20);
/// How often the recording loop checks the scheduling core when nothing has woken it.
const RECORD_TICK: Duration = Duration::from_millis(200);
/// The most jobs in a transaction.  The store accepts 100 rows in one, among them the ownership row
/// and some rows of the roster.
pub(super) const MAX_JOBS: usize = 80;
/// The most rows of jobs and of the roster in a transaction.  The rest of the 100 is for the
/// ownership row, its expected version, the voters and the row of leases that a release writes.
const MAX_ROWS: usize = 96;
/// The most rows of the roster in a transaction, so that there is room for jobs beside them.
const MAX_ROSTER_ROWS: usize = 48;

/// The ownership row, which names the owner of the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The name of the owning node.
    pub name: String,
    /// The address at which it answers other nodes.
    pub address: String,
    /// Identifies the start of its process.
    pub boot: u64,
    /// The epoch, which rises with each claim.
    pub epoch: u64,
    /// The number of the owner's last transaction, counted from its claim.
    pub batch: u64,
    /// The owner has given the cell up.
    pub released: bool,
    /// Owners before this one that may still act; none if all are known to have stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub former_owners: Option<FormerOwners>,
    /// This owner and those that may still act go on without the store only with the consent of
    /// voters.  Not set by owners of a version before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub asks_consent: bool,
}

impl OwnerRow {
    /// Parses the row; one that cannot be parsed is logged, and none is returned.
    pub fn read(row: &Row) -> Option<Self> {
        match serde_json::from_str(&row.value) {
            Ok(owner) => Some(owner),
            Err(err) => {
                tracing::error!(%err, "cannot parse the ownership row");
                None
            }
        }
    }

    /// The value of the row as it is stored.
    pub fn write(&self) -> String {
        store::encode(self)
    }

    /// The key of the row.
    pub fn key() -> RowKey {
        RowKey::new(Table::Cells, CELL_PARTITION, OWNER_KEY)
    }
}

impl Engine {
    pub(super) async fn record_loop(self: Arc<Self>) {
        loop {
            // Wakes on a change, or after a while in case a notification was missed.
            let _ = tokio::time::timeout(RECORD_TICK, self.record.notified()).await;
            self.record_once(false).await;
            let is_written = self.roster_rows().is_written();
            if !is_written || self.cell().has_unrecorded_progress() {
                self.record.notify_one();
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
    }

    /// Writes what has changed, in one transaction that is repeated until its result is known.
    /// With `release`, the transaction also gives the cell up.
    pub(super) async fn record_once(&self, release: bool) {
        // The lock is held until the transaction has been answered, so that a batch is only taken
        // when no other one is in flight.  Otherwise job ends could be passed on as recorded while
        // their rows are still in another batch.
        let mut row = self.ownership_row.lock().await;
        if release {
            self.releasing.store(true, Ordering::Relaxed);
        } else if self.releasing.load(Ordering::Relaxed) {
            // The release may have timed out and still take effect later, together with its rows.
            return;
        }
        let max_jobs = self.max_jobs.load(Ordering::Relaxed);
        // After the store has rejected a transaction, the job that caused it is searched for in
        // transactions without rows of the roster.
        let (roster, workers) = self.changed_roster(match max_jobs {
            MAX_JOBS => MAX_ROSTER_ROWS,
            _ => 0,
        });
        let batch = self
            .cell()
            .take_batch(max_jobs.min(MAX_ROWS - workers.rows()));
        let voters = self.changed_voters();
        if batch.is_empty() && workers.rows() == 0 && voters.is_none() && !release {
            self.max_jobs.store(MAX_JOBS, Ordering::Relaxed);
            self.mark_roster_written(roster, &workers);
            if !batch.ends.is_empty() || !batch.ended_lives.is_empty() {
                self.apply_recorded(batch);
            }
            return;
        }
        let number = row.1 + 1;
        let mut tx = self.build_transaction(&batch, number, &workers, release);
        if let Some(voters) = &voters {
            tx.puts.push((Voters::key(), store::encode(voters)));
        }
        if release {
            let leases = self.cell().seal_silent(self.shared.now());
            tx.puts
                .push((remaining_leases_key(), store::encode(&leases)));
        }
        let bytes = tx.puts.iter().map(|(_, value)| value.len() as u64).sum();
        self.calls.note_transaction(bytes);
        self.record_began
            .store(self.shared.now(), Ordering::Relaxed);
        match self.transact(&tx, row.0, number).await {
            Outcome::Committed(version) => *row = (version, number),
            Outcome::Rejected(status) => {
                return self
                    .handle_rejection(status, batch, workers.rows() > 0)
                    .await;
            }
            Outcome::Retired => return,
        }
        self.log_recorded_ends(&batch, row.0);
        self.record_began.store(0, Ordering::Relaxed);
        self.max_jobs.store(MAX_JOBS, Ordering::Relaxed);
        if voters.is_some() {
            self.mark_voters_recorded();
        }
        self.mark_roster_written(roster, &workers);
        self.apply_recorded(batch);
    }

    /// Logs which row holds the ends that callers are told from now on: that of each job's progress,
    /// as of this version of the store.
    fn log_recorded_ends(&self, batch: &Batch, version: Version) {
        let ended = batch.rows.iter().filter(|(.., row)| row.state.is_final());
        let ended = ended.map(|(_, id, _)| id);
        let cancelled = batch.unknown_cancels.iter().map(|(_, cancel)| &cancel.job);
        let ended: Vec<String> = ended.chain(cancelled).map(JobId::to_string).collect();
        if ended.is_empty() {
            return;
        }
        let sent_ms_ago = self.record_age();
        let jobs = ended.join(" ");
        tracing::info!(version, sent_ms_ago, jobs, "ends are recorded");
    }

    /// Handles a transaction that the store has rejected.  The next ones hold half as many jobs and
    /// no rows of the roster, until the job that causes the rejection is alone in one and is given
    /// up as impossible to record.
    async fn handle_rejection(&self, status: u16, batch: Batch, with_roster: bool) {
        let rows = batch.rows.len();
        tracing::error!(status, rows, "store rejected a transaction");
        self.shared.metrics.violation("rejected_transaction");
        match rows {
            // There is no job to leave out, so the next attempt would be rejected as well.
            0 => tokio::time::sleep(RETRY_PAUSE).await,
            1 if !with_roster => self.cell().batch_rejected(batch),
            jobs => {
                self.max_jobs.store((jobs / 2).max(1), Ordering::Relaxed);
                self.cell().batch_failed(batch);
            }
        }
    }

    /// Returns the version of the roster, and the changed rows of it that are to be written next.
    fn changed_roster(&self, max_rows: usize) -> (u64, RosterWrite) {
        let (version, changes) = self.cell().take_roster_changes();
        let mut rows = self.roster_rows();
        rows.apply(changes);
        (version, rows.next_write(max_rows))
    }

    /// Marks rows of the roster as written.  The roster of this version counts as recorded once no
    /// changed row is left.
    fn mark_roster_written(&self, version: u64, written: &RosterWrite) {
        let is_written = {
            let mut rows = self.roster_rows();
            rows.mark_written(written);
            rows.is_written()
        };
        if is_written {
            self.recorded_roster_version
                .store(version, Ordering::Relaxed);
            self.cell().mark_roster_recorded(version);
        }
    }

    fn apply_recorded(&self, batch: Batch) {
        let now = self.shared.now();
        self.cell().batch_recorded(batch, now);
        self.recorded.notify_waiters();
        self.wake.notify_one();
    }

    fn build_transaction(
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
            former_owners: self.former_owners(),
            asks_consent: self.former_owners_ask_consent(),
        };
        tx.puts.push((OwnerRow::key(), owner.write()));
        tx.puts.extend(workers.puts.iter().cloned());
        tx.drops.extend(workers.drops.iter().cloned());
        for (_, id, progress) in &batch.rows {
            let id = id.to_string();
            let value = store::encode(progress);
            tx.puts
                .push((RowKey::new(Table::Progress, CELL_PARTITION, &id), value));
        }
        for (number, cancel) in &batch.unknown_cancels {
            tx.puts
                .push((cancel_key(*number, cancel), store::encode(cancel)));
        }
        tx
    }
}

/// Finds among the rows of a cell, and parses, the remaining leases of silent workers that the
/// former owner wrote when it released the cell.
pub fn read_remaining_leases(rows: &[Row]) -> Option<RemainingLeases> {
    let row = rows.iter().find(|row| row.key == REMAINING_LEASES_KEY)?;
    match serde_json::from_str(&row.value) {
        Ok(leases) => Some(leases),
        Err(err) => {
            tracing::error!(%err, "cannot parse the remaining leases written by the former owner");
            None
        }
    }
}

/// Returns the claim under `epoch`, which says which former owners may still act.
pub fn read_claim(rows: &[Row], epoch: u64) -> Option<OwnerRow> {
    let row = rows.iter().find(|row| row.key == OWNER_KEY)?;
    OwnerRow::read(row).filter(|owner| owner.epoch == epoch)
}

/// The key of the row of a cancellation of an unknown job: that of the job's progress, a separator
/// and the number, in hexadecimal digits.
pub fn cancel_key(number: CancelNumber, cancel: &UnknownCancel) -> RowKey {
    let key = format!("{}{CANCEL_SEPARATOR}{:x}", cancel.job, number.0);
    RowKey::new(Table::Progress, CELL_PARTITION, &key)
}

/// Returns the number of the cancellation that has its row under this key; none if it is that of a
/// job's progress.
pub fn read_cancel_key(key: &str) -> Option<CancelNumber> {
    let (_, number) = key.split_once(CANCEL_SEPARATOR)?;
    u64::from_str_radix(number, 16).ok().map(CancelNumber)
}

fn remaining_leases_key() -> RowKey {
    RowKey::new(Table::Cells, CELL_PARTITION, REMAINING_LEASES_KEY)
}
