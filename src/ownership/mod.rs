//! Who decides for a shard, and when it may act.
//!
//! `docs/DESIGN.md` section "Ownership" gives the argument; `tests/ownership_model.rs`
//! runs it at random.

pub mod rendezvous;
pub mod shard;
pub mod tenure;

pub use shard::{ShardMap, ShardRow};
pub use tenure::{Tenure, TenureLimits};
