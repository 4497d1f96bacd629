//! The table service and the object store.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// The version of a row; it grows with each write to the table.
pub type Version = u64;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The version that the last write gave it.
    pub version: Version,
    /// The value, as JSON text.
    pub value: String,
}

/// What a row must look like for a transaction to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Anything will do.
    Any,
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(Version),
}

/// What a transaction does to a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Nothing: the row is only checked.
    Keep,
    /// The value is replaced.
    Put(String),
    /// The row is removed.
    Delete,
}

/// One step of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// The key of the row.
    pub key: String,
    /// What the row must look like.
    pub expect: Expect,
    /// What is done to it.
    pub change: Change,
}

impl Op {
    /// Writes a row whatever it holds.
    pub fn put(key: impl Into<String>, value: String) -> Self {
        Self::new(key, Expect::Any, Change::Put(value))
    }

    /// Writes a row that must not exist yet.
    pub fn create(key: impl Into<String>, value: String) -> Self {
        Self::new(key, Expect::Absent, Change::Put(value))
    }

    /// Writes a row that must still have `version`.
    pub fn replace(key: impl Into<String>, version: Version, value: String) -> Self {
        Self::new(key, Expect::Version(version), Change::Put(value))
    }

    /// Checks that a row still has `version`.
    pub fn check(key: impl Into<String>, version: Version) -> Self {
        Self::new(key, Expect::Version(version), Change::Keep)
    }

    /// Removes a row whatever it holds.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::new(key, Expect::Any, Change::Delete)
    }

    /// Builds a step from its parts.
    pub fn new(key: impl Into<String>, expect: Expect, change: Change) -> Self {
        Self {
            key: key.into(),
            expect,
            change,
        }
    }
}

/// Why a call to the store did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreError {
    /// The step at `index` found another row than it expected; nothing was written.
    #[error("the row of step {index} is not as expected")]
    Conflict {
        /// The position of the step in the transaction.
        index: usize,
    },
    /// The store refused before it did anything.
    #[error("the store is unavailable")]
    Unavailable,
    /// No answer came: a write may or may not have taken effect.
    #[error("the store did not answer; a write may have taken effect")]
    Unanswered,
}

/// The store as the rest of the program sees it.
pub trait Store: Send + Sync {
    /// Reads rows by key in one call; an absent row is `None`.
    fn read(&self, keys: Vec<String>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>>;

    /// Reads all rows whose key starts with `prefix`, in key order.
    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, StoreError>>;

    /// Applies all steps or none, and returns the version that the rows got.
    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Version, StoreError>>;

    /// Writes an object.
    fn put_object(&self, key: String, body: Vec<u8>) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reads an object, if it exists.
    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, StoreError>>;
}
