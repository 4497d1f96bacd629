//! The rows that record who owns which shard.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::backend::store::{Row, Version};
use crate::model::{Epoch, VmBoot};

/// The prefix of the rows of shards.
pub const SHARD_PREFIX: &str = "shard/";
/// The row that changes with every change of any row of a shard.
pub const SHARD_REVISION: &str = "revision/shards";

/// What the row of a shard holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// The owning instance, or nothing after a clean release.
    pub owner: Option<String>,
    /// The incarnation of the owner.
    pub incarnation: u64,
    /// The epoch of the claim.
    pub epoch: Epoch,
    /// A number unique to the write, by which a lost reply is resolved.
    pub claim: u64,
    /// The VMs, with their boots, that the owner may use.
    pub witnesses: Vec<VmBoot>,
}

impl ShardRow {
    /// Returns the key of the row of `shard`.
    pub fn key(shard: &str) -> String {
        format!("{SHARD_PREFIX}{shard}")
    }
}

/// A row together with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedShard {
    /// The version of the row.
    pub version: Version,
    /// What it holds.
    pub row: ShardRow,
}

/// The last known owner of every shard.
#[derive(Debug, Clone, Default)]
pub struct ShardMap {
    shards: BTreeMap<String, VersionedShard>,
}

impl ShardMap {
    /// Builds the map from a scan; rows that cannot be read are left out.
    pub fn from_rows(rows: Vec<Row>) -> Self {
        let shards = rows.into_iter().filter_map(parse).collect();
        Self { shards }
    }

    /// Returns the row of a shard.
    pub fn get(&self, shard: &str) -> Option<&VersionedShard> {
        self.shards.get(shard)
    }

    /// Records a row that was written or read by itself.
    pub fn insert(&mut self, shard: &str, version: Version, row: ShardRow) {
        let newer = self
            .shards
            .get(shard)
            .is_none_or(|old| old.version <= version);
        if newer {
            self.shards
                .insert(shard.to_owned(), VersionedShard { version, row });
        }
    }

    /// Iterates over all shards in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &VersionedShard)> {
        self.shards.iter()
    }
}

fn parse(row: Row) -> Option<(String, VersionedShard)> {
    let shard = row.key.strip_prefix(SHARD_PREFIX)?.to_owned();
    let value = serde_json::from_str(&row.value).ok()?;
    let versioned = VersionedShard {
        version: row.version,
        row: value,
    };
    Some((shard, versioned))
}
