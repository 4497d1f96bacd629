//! The interface to the store: versioned rows, conditional transactions and a change feed.
//!
//! A call is a value, so that a node that cannot reach the store can pass it to a peer that can
//! (see "Store" in `docs/DESIGN.md`).  The adapter to the real store implements [`Store`].

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The longest value of a row, in bytes.
pub const MAX_ROW_BYTES: usize = 65_536;

/// The version of a row or of the whole store, which rises with each transaction.  Zero means that
/// the row does not exist.
pub type Version = u64;

/// A table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Table {
    /// The entries that workers write about themselves; nodes only read them.
    Workers,
    /// The operator's rows, such as the configuration and evacuated halls; nodes only read them.
    Operator,
    /// The ownership row, the roster of workers and the policy of each cell.
    Cells,
    /// Accepted jobs, as their callers submitted them.
    Jobs,
    /// The progress of each job, written by the cell's owner.
    Progress,
    /// The addresses of the nodes.
    Nodes,
}

/// The key of one row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: Table,
    /// The partition; a transaction on rows of a single partition is cheap.
    pub partition: String,
    /// The key within the partition.
    pub key: String,
}

impl RowKey {
    /// Creates the key of row `key` in `partition`.
    pub fn new(table: Table, partition: &str, key: &str) -> Self {
        Self {
            table,
            partition: partition.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// One row, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The partition.
    pub partition: String,
    /// The key within its table and partition.
    pub key: String,
    /// The value; empty if the row has been deleted.
    pub value: String,
    /// The version of the change that wrote it.
    pub version: Version,
    /// The row has been deleted.
    pub dropped: bool,
}

/// Encodes the value of a row.
///
/// # Panics
/// Panics if the value cannot be encoded, which does not happen with plain data.  Writing an empty
/// row instead would lose the data.
pub fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data can be encoded")
}

/// Changes that are applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The versions that rows must have, or nothing is changed.
    pub expected: Vec<(RowKey, Version)>,
    /// Rows to write, with their new values.
    pub puts: Vec<(RowKey, String)>,
    /// Rows to delete.
    pub drops: Vec<RowKey>,
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Commits a transaction.
    Commit(Transaction),
    /// Reads rows of a partition in the order of their keys.
    List {
        /// The table.
        table: Table,
        /// The partition.
        partition: String,
        /// The first key to read; empty for the start of the partition.
        from: String,
        /// The key before which to stop; empty for the end of the partition.
        until: String,
        /// The maximum number of rows to return.
        limit: u32,
    },
    /// Reads the changes of a table after a version.
    Changes {
        /// The table.
        table: Table,
        /// The latest version that is known.
        after: Version,
        /// How long the store may hold the request if there is no change yet, in milliseconds.
        wait: Millis,
    },
}

impl StoreCall {
    /// Creates a call that reads one row.
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

/// The answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The transaction was committed with this version.
    Committed(Version),
    /// A row did not have the expected version, so nothing was changed.  Holds the current rows
    /// that the transaction's conditions name.
    Conflict(Vec<Row>),
    /// The rows that were read.
    Rows {
        /// The rows, in ascending order of their keys.
        rows: Vec<Row>,
        /// There are more rows after the last one.
        more: bool,
        /// The latest version of the store.
        version: Version,
    },
    /// The store no longer has all changes after the requested version.
    Forgotten,
}

/// Why a call to the store has no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// The call was not carried out and will not be.
    #[error("the store refused the call or was not reached")]
    Unavailable,
    /// The call may have been carried out, or may still be.
    #[error("the store did not answer")]
    Unanswered,
    /// The call is not valid, so repeating it does not help.
    #[error("the store rejects the call with status {0}")]
    Rejected(u16),
    /// The answer could not be parsed.
    #[error("the store's answer is malformed")]
    Malformed,
}

/// A client of the store.
pub trait Store: Send + Sync {
    /// Makes one call.
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>>;
}
