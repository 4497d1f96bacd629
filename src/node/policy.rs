//! The policy program that an operator has set, which is kept in one row of the store.
//!
//! Only the owner runs the program, so other nodes do not follow the row.  A successor reads it
//! when its ownership begins.  While the store is unavailable, the program that was read last stays
//! in force.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::node::engine::Engine;
use crate::node::shared::{CELL_PARTITION, Shared};
use crate::policy::{Policy, Program, ProgramPolicy};
use crate::store::{self, RowKey, StoreCall, StoreError, StoreReply, Table, Transaction, Version};

/// The key of the row.
const ROW_KEY: &str = "policy";
/// How often the owner reads the row: a change must be in force within 6 s, and a read costs as
/// much as a poll of a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// A policy as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyRow {
    /// The source text of the program.
    pub source: String,
    /// The note of the operator who set it.
    #[serde(default)]
    pub note: String,
}

/// The outcome of an attempt to change the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The new policy is durable, as this version.
    Set(Version),
    /// Another change came first: the expected version is not the one in force.
    Conflict,
    /// The policy was not changed, because the store is unavailable or rejected the change.
    Unavailable,
    /// It is unknown whether the new policy was set.
    Unconfirmed,
}

/// Reads the policy and its version; version zero stands for the built-in policy.
///
/// # Errors
/// See [`StoreError`]; [`StoreError::Malformed`] also if the row cannot be parsed.
pub async fn read(shared: &Arc<Shared>) -> Result<(Version, PolicyRow), StoreError> {
    let call = StoreCall::row(Table::Cells, CELL_PARTITION, ROW_KEY);
    let StoreReply::Rows { rows, .. } = shared.store(call).await? else {
        return Err(StoreError::Malformed);
    };
    let Some(row) = rows.first() else {
        return Ok((0, PolicyRow::default()));
    };
    match serde_json::from_str(&row.value) {
        Ok(policy) => Ok((row.version, policy)),
        Err(err) => {
            tracing::error!(%err, version = row.version, "cannot parse the row of the policy");
            Err(StoreError::Malformed)
        }
    }
}

/// Sets a policy if `expected` is the version in force.
pub async fn set(shared: &Arc<Shared>, row: &PolicyRow, expected: Version) -> Change {
    let key = RowKey::new(Table::Cells, CELL_PARTITION, ROW_KEY);
    let mut tx = Transaction::default();
    tx.expected.push((key.clone(), expected));
    tx.puts.push((key, store::encode(row)));
    let change = match shared.store(StoreCall::Commit(tx)).await {
        Ok(StoreReply::Committed(version)) => Change::Set(version),
        // An earlier attempt whose answer was lost may have taken effect.
        Ok(StoreReply::Conflict(_)) => check_applied(shared, row, expected, Change::Conflict).await,
        Err(StoreError::Unavailable | StoreError::Rejected(_)) => Change::Unavailable,
        _ => check_applied(shared, row, expected, Change::Unconfirmed).await,
    };
    tracing::info!(
        expected,
        ?change,
        note = row.note,
        "attempt to change the policy"
    );
    change
}

/// Reads the policy to find out whether a change took effect, and returns `otherwise` if not.
async fn check_applied(
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
                Err(err) => tracing::debug!(%err, in_force, "cannot read the policy"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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
                tracing::error!(%err, version, "invalid policy program; keeping the former one");
                self.shared.metrics.event("unreadable_policy");
            }
        }
    }
}
