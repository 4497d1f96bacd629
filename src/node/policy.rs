//! The policy program that an operator has set: one row, followed by the owner.
//!
//! Only the owner runs it, so other nodes need not follow it.  A successor reads it
//! with the rest of the cell; while the store is away the last one stays in force.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::node::engine::Engine;
use crate::node::shared::{PARTITION, Shared};
use crate::policy::{Policy, Program, ProgramPolicy};
use crate::store::{self, RowKey, StoreCall, StoreError, StoreReply, Table, Transaction, Version};

/// The key of the row.
const KEY: &str = "policy";
/// How often the owner reads the row: a change must be in force within 6 s, and a read
/// costs what a look at a worker does.
const POLL: Duration = Duration::from_millis(2_000);

/// A policy as it is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyRow {
    /// The program.
    pub source: String,
    /// The note of the operator who set it.
    #[serde(default)]
    pub note: String,
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is durable as this version.
    Set(Version),
    /// Another change came first.
    Conflict,
    /// Nothing was changed.
    Unavailable,
    /// It may have been set.
    Unconfirmed,
}

/// Reads the policy and its version; version zero stands for the built-in one.
///
/// # Errors
/// See [`StoreError`].
pub async fn read(shared: &Arc<Shared>) -> Result<(Version, PolicyRow), StoreError> {
    let call = StoreCall::row(Table::Cells, PARTITION, KEY);
    let StoreReply::Rows { rows, .. } = shared.store(call).await? else {
        return Err(StoreError::Malformed);
    };
    let Some(row) = rows.first() else {
        return Ok((0, PolicyRow::default()));
    };
    match serde_json::from_str(&row.value) {
        Ok(policy) => Ok((row.version, policy)),
        Err(err) => {
            tracing::error!(%err, version = row.version, "the policy's row cannot be read");
            Err(StoreError::Malformed)
        }
    }
}

/// Sets a policy if `expected` is the version in force.
pub async fn set(shared: &Arc<Shared>, row: &PolicyRow, expected: Version) -> Change {
    let key = RowKey::new(Table::Cells, PARTITION, KEY);
    let mut tx = Transaction::default();
    tx.expected.push((key.clone(), expected));
    tx.puts.push((key, store::encode(row)));
    let change = match shared.store(StoreCall::Commit(tx)).await {
        Ok(StoreReply::Committed(version)) => Change::Set(version),
        // An earlier try whose answer was lost may have taken effect.
        Ok(StoreReply::Conflict(_)) => settle(shared, row, expected, Change::Conflict).await,
        Err(StoreError::Unavailable | StoreError::Rejected(_)) => Change::Unavailable,
        _ => settle(shared, row, expected, Change::Unconfirmed).await,
    };
    tracing::info!(expected, ?change, note = row.note, "policy is changed");
    change
}

async fn settle(
    shared: &Arc<Shared>,
    row: &PolicyRow,
    expected: Version,
    otherwise: Change,
) -> Change {
    match read(shared).await {
        Ok((version, found)) if version > expected && found == *row => Change::Set(version),
        _ => otherwise,
    }
}

impl Engine {
    pub(super) async fn policy_loop(self: Arc<Self>) {
        let mut in_force = 0;
        loop {
            match read(&self.shared).await {
                Ok((version, row)) if version > in_force => {
                    in_force = version;
                    self.adopt_policy(version, &row);
                }
                Ok(_) => {}
                Err(err) => tracing::debug!(%err, in_force, "the policy cannot be read"),
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn adopt_policy(&self, version: Version, row: &PolicyRow) {
        match Program::parse_and_test(&row.source) {
            Ok(program) => {
                tracing::info!(version, note = row.note, "policy in force");
                let policy: Arc<dyn Policy> = Arc::new(ProgramPolicy(program));
                self.cell().set_policy(policy);
                self.shared.metrics.gauge("policy", version as i64);
                self.wake.notify_one();
            }
            Err(err) => {
                tracing::error!(%err, version, "policy is not taken; the former one stays");
                self.shared.metrics.event("unreadable_policy");
            }
        }
    }
}
