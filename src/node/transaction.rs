//! Sends one transaction of the owner until its result is known.
//!
//! Each transaction expects the ownership row at a version and writes that row with the transaction's
//! number.  So it takes effect once at most, however often it is sent, and the row shows whether it
//! did (see "What is kept in the store" in `docs/DESIGN.md`).

use std::time::Duration;

use tokio::time::Instant;

use crate::node::engine::Engine;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::shared::CELL_PARTITION;
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Transaction, Version};

/// The pause after a failed transaction.  It ends at once when the store is regained.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// If a transaction has not been answered for this long, the ownership row is read: it shows whether
/// the transaction took effect and only its answer was lost.  This is ten times what one takes.
const LATE_AFTER: Duration = Duration::from_millis(60);
/// Time limit for that read: a slow store takes 400 ms.
const READ_LIMIT: Duration = Duration::from_millis(700);
/// An unanswered transaction that has not taken effect is repeated after this many times what the
/// read took.
const REPEAT_FACTOR: u32 = 6;
/// The least time after which it is repeated.
const MIN_REPEAT_AFTER: Duration = Duration::from_millis(150);

/// The result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It took effect as this version of the store.
    Committed(Version),
    /// The store will never accept it, as this status says.
    Rejected(u16),
    /// The ownership has ended, and the transaction takes no effect any more.
    Retired,
}

/// Why a transaction met a newer version of the ownership row.
enum Conflict {
    /// An earlier attempt at the same transaction took effect as this version.
    TookEffect(Version),
    /// Another node has written the ownership row.
    Lost,
}

impl Engine {
    /// Sends the transaction of this number, which expects the ownership row at version `expected`,
    /// until its result is known or the ownership ends.
    pub(super) async fn transact(
        &self,
        tx: &Transaction,
        expected: Version,
        number: u64,
    ) -> Outcome {
        while !self.is_retired() {
            let sent = self.shared.now();
            let mut tx = tx.clone();
            tx.expected.push((OwnerRow::key(), expected));
            let committed = match self.commit(tx, expected).await {
                Ok(StoreReply::Committed(version)) => Some(version),
                Ok(StoreReply::Conflict(rows)) => match self.resolve_conflict(&rows, number) {
                    Conflict::TookEffect(version) => Some(version),
                    Conflict::Lost => {
                        self.retire("a successor has written the ownership row");
                        return Outcome::Retired;
                    }
                },
                Ok(_) => {
                    tracing::error!("unexpected kind of answer from the store to a transaction");
                    None
                }
                Err(StoreError::Rejected(status)) => return Outcome::Rejected(status),
                Err(err) => {
                    tracing::info!(%err, number, "transaction is repeated");
                    None
                }
            };
            if let Some(version) = committed {
                self.confirm_by_store(sent);
                return Outcome::Committed(version);
            }
            let regained = self.shared.store_regained();
            let _ = tokio::time::timeout(RETRY_PAUSE, regained).await;
        }
        Outcome::Retired
    }

    /// Makes one attempt.  While the answer is late, reads the ownership row: a newer one is as
    /// good as the answer that there is a conflict.
    async fn commit(&self, tx: Transaction, expected: Version) -> Result<StoreReply, StoreError> {
        let sent = Instant::now();
        let answer = self.shared.store(StoreCall::Commit(tx));
        tokio::pin!(answer);
        loop {
            if let Ok(reply) = tokio::time::timeout(LATE_AFTER, &mut answer).await {
                return reply;
            }
            let asked = Instant::now();
            let read = tokio::select! {
                reply = &mut answer => return reply,
                read = self.read_ownership_row() => read,
            };
            let Some(rows) = read else {
                continue;
            };
            if rows.iter().any(|row| row.version != expected) {
                return Ok(StoreReply::Conflict(rows));
            }
            let repeat_after = REPEAT_FACTOR * asked.elapsed();
            if sent.elapsed() > repeat_after.max(MIN_REPEAT_AFTER) {
                return Err(StoreError::Unanswered);
            }
        }
    }

    /// Reads the ownership row; none if the store does not answer in time.
    async fn read_ownership_row(&self) -> Option<Vec<Row>> {
        let read = StoreCall::row(Table::Cells, CELL_PARTITION, OWNER_KEY);
        let reply = tokio::time::timeout(READ_LIMIT, self.shared.store(read)).await;
        match reply {
            Ok(Ok(StoreReply::Rows { rows, .. })) => Some(rows),
            _ => None,
        }
    }

    fn resolve_conflict(&self, rows: &[Row], number: u64) -> Conflict {
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
