//! The store as the cell sees it: rows with versions, transactions under
//! conditions, and a feed of changes.
//!
//! A call is a value, so that a node which cannot reach the store can hand it to
//! a peer that does (see "Store" in `docs/DESIGN.md`).  The adapter that speaks to
//! the real store implements [`Store`].

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The version of a row, or of the whole store: it rises with each transaction.
/// Zero stands for "not there".
pub type Version = u64;

/// The tables that the system reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Table {
    /// The workers' own entries; read only.
    Workers,
    /// What the operator has written; read only.
    Operator,
    /// The row of ownership and the list of workers of each cell.
    Cells,
    /// Accepted jobs as their callers sent them.
    Jobs,
    /// How far each job has come, written by the cell's owner.
    Progress,
    /// The addresses of nodes.
    Nodes,
}

/// Names one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: Table,
    /// The partition; rows of one partition change in one transaction cheaply.
    pub partition: String,
    /// The key within the partition.
    pub key: String,
}

impl RowKey {
    /// Names the row `key` of `partition`.
    pub fn new(table: Table, partition: &str, key: &str) -> Self {
        Self {
            table,
            partition: partition.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// One row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The partition.
    pub partition: String,
    /// The key within its table and partition.
    pub key: String,
    /// The value; empty if the row was dropped.
    pub value: String,
    /// The version of the change that wrote it.
    pub version: Version,
    /// The row is not there any more.
    pub dropped: bool,
}

/// Encodes the value of a row.
///
/// # Panics
/// Never in practice: rows are plain data.  An empty row in place of one that cannot
/// be encoded would lose what it stands for.
pub fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data can be encoded")
}

/// Changes that happen all together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows with the version that they must have.
    pub expected: Vec<(RowKey, Version)>,
    /// Rows with their new values.
    pub puts: Vec<(RowKey, String)>,
    /// Rows to drop.
    pub drops: Vec<RowKey>,
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Carries out a transaction.
    Commit(Transaction),
    /// Reads rows of a partition in the order of their keys.
    List {
        /// The table.
        table: Table,
        /// The partition.
        partition: String,
        /// The first key wanted; empty for the beginning.
        from: String,
        /// The key to stop before; empty for the end.
        until: String,
        /// The most rows wanted.
        limit: u32,
    },
    /// Reads what changed in a table after a version.
    Changes {
        /// The table.
        table: Table,
        /// The version known so far.
        after: Version,
        /// How long to wait for a change, in milliseconds.
        wait: Millis,
    },
}

impl StoreCall {
    /// Reads one row.
    pub fn row(table: Table, partition: &str, key: &str) -> Self {
        Self::List {
            table,
            partition: partition.to_owned(),
            from: key.to_owned(),
            until: format!("{key}\u{1}"),
            limit: 1,
        }
    }
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The transaction was carried out as this version.
    Committed(Version),
    /// A row did not have the version expected; nothing was done.  The rows are
    /// those that were named in the conditions, as they are.
    Conflict(Vec<Row>),
    /// Rows of a list.
    Rows {
        /// The rows, keys rising.
        rows: Vec<Row>,
        /// More rows follow the last one.
        more: bool,
        /// The newest version of the store.
        version: Version,
    },
    /// The changes asked for lie further back than the store remembers.
    Forgotten,
}

/// Why a call to the store brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// Nothing was done and nothing will be.
    #[error("the store refused the call or was not reached")]
    Unavailable,
    /// The call may have been carried out, or may be later.
    #[error("the store did not answer")]
    Unanswered,
    /// The call itself is at fault; repeating it is of no use.
    #[error("the store rejects the call with status {0}")]
    Rejected(u16),
    /// The answer could not be understood.
    #[error("the store's answer is malformed")]
    Malformed,
}

/// The way to the store.
pub trait Store: Send + Sync {
    /// Makes one call.
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>>;
}
