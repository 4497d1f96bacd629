//! The shards that this instance owns.

use crate::backend::store::Version;
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::model::{Epoch, VmBoot};
use crate::ownership::shard::ShardRow;
use crate::ownership::{Tenure, TenureLimits};
use crate::routing::Pool;

/// The prefix of the names of racks of workers.
pub const RACK: &str = "rack:";

/// A shard that this instance owns.
#[derive(Debug)]
pub struct Held {
    /// The tenure.
    pub tenure: Tenure,
    /// The row that records it.
    pub row: ShardRow,
    /// The version of the row.
    pub version: Version,
    /// Whether the durable record has been read, so that the shard may be worked on.
    pub loaded: bool,
    /// Whether the shard is being handed over.
    pub releasing: bool,
    /// Whether a write of the row is under way.
    pub writing: bool,
    /// A row whose write may or may not have taken effect.
    pub doubtful: Option<ShardRow>,
    /// When a boot or a former owner was last found to be over.
    pub changed_at: Millis,
    /// When the last write of all the shard's changed records that has succeeded was begun.
    pub flushed_at: Millis,
}

/// Tells whether a shard is a rack of workers rather than a group of targets.
pub fn is_rack(shard: &str) -> bool {
    shard.starts_with(RACK)
}

/// Returns the hall of a shard, the second part of its name.
pub fn hall_of(shard: &str) -> &str {
    shard.split(':').nth(1).unwrap_or("")
}

/// Returns the service of a group of targets, the third part of its name.
pub fn service_of(shard: &str) -> &str {
    shard.split(':').nth(2).unwrap_or("")
}

impl Instance {
    /// Returns the times that ownership of `shard` rests on.
    pub fn limits_of(&self, shard: &str) -> TenureLimits {
        match is_rack(shard) {
            true => self.cfg.tenure_limits(),
            false => self.cfg.pool_limits(),
        }
    }

    /// Begins to own a shard whose claim has been confirmed.
    pub fn begin_tenure(
        &self,
        state: &mut State,
        shard: &str,
        row: ShardRow,
        version: Version,
        predecessor: Option<Vec<VmBoot>>,
        claimed_at: Millis,
    ) {
        let limits = self.limits_of(shard);
        let mut tenure = Tenure::new(
            row.epoch,
            limits,
            row.witnesses.clone(),
            predecessor,
            claimed_at,
        );
        if !is_rack(shard) {
            // We may ourselves have borne witness for the predecessor.
            let witness = VmBoot {
                vm: self.cfg.name.clone(),
                boot: self.incarnation,
            };
            tenure.on_ack(&witness, claimed_at, self.now());
        }
        tracing::info!(shard, epoch = row.epoch, "shard claimed");
        self.metrics.event("shard_claimed");
        state.map.insert(shard, version, row.clone());
        if is_rack(shard) {
            state.cell.own_shard(shard, row.epoch);
        } else {
            let queue = self.cfg.number("limits", "queue_length") as usize;
            state.pools.insert(shard.to_owned(), Pool::new(queue));
        }
        let held = Held {
            tenure,
            row,
            version,
            loaded: !is_rack(shard),
            releasing: false,
            writing: false,
            doubtful: None,
            changed_at: claimed_at,
            flushed_at: 0,
        };
        state.held.insert(shard.to_owned(), held);
        self.refresh_listed(state);
    }

    /// Stops owning a shard, whatever became of its row.
    pub fn end_tenure(&self, state: &mut State, shard: &str, why: &'static str) {
        if state.held.remove(shard).is_none() {
            return;
        }
        tracing::info!(shard, why, "shard given up");
        self.metrics.event(why);
        if is_rack(shard) {
            for vm in state.cell.vms_of(shard) {
                state.worker_times.remove(&vm);
            }
            state.cell.disown_shard(shard);
        } else {
            state.pools.remove(shard);
        }
        state.taken_in.retain(|(taken, _), _| taken != shard);
        if state.writer.concerns(shard) {
            // A write that moves work between shards may or may not have taken
            // effect: all shards of it are read anew from the record.
            for other in state.writer.take_shards() {
                self.end_tenure(state, &other, "shard_reloaded");
            }
        }
    }

    /// Ends the tenures that have been superseded.
    pub fn drop_lost(&self, state: &mut State) {
        let lost: Vec<String> = state
            .held
            .iter()
            .filter(|(_, held)| held.tenure.is_lost())
            .map(|(shard, _)| shard.clone())
            .collect();
        for shard in lost {
            self.end_tenure(state, &shard, "shard_lost");
        }
    }

    /// Returns the shards whose rows still name this instance.
    pub fn unreleased_shards(&self) -> Vec<String> {
        let state = self.lock();
        state
            .held
            .keys()
            .chain(state.unreleased.keys())
            .cloned()
            .collect()
    }

    /// Allows inherited work where nothing of the predecessor's can overlap any more.
    pub fn allow_inherited(&self, state: &mut State, now: Millis) {
        for (shard, held) in &mut state.held {
            if is_rack(shard) && held.loaded && held.tenure.may_start_inherited(now) {
                let complete = held.tenure.inventory_complete();
                if state.cell.allow_inherited(shard, complete, now) {
                    held.changed_at = now;
                }
            }
        }
    }

    /// Tells whether the row of a rack may forget the boots that are over.
    ///
    /// The row is what tells a successor which boots may have run work; it must
    /// name them until what became of that work is recorded.
    pub fn row_may_change(state: &State, shard: &str, now: Millis) -> bool {
        let Some(held) = state.held.get(shard) else {
            return false;
        };
        let quiet = !state.writer.concerns(shard) && !state.cell.has_writes_for(shard);
        let recorded = quiet || held.flushed_at > held.changed_at;
        !is_rack(shard) || (held.tenure.may_start_inherited(now) && recorded)
    }

    /// Tells whether requests may be sent to the targets of a group now.
    pub fn pool_open(state: &State, shard: &str, now: Millis) -> bool {
        state.held.get(shard).is_some_and(|held| {
            let tenure = &held.tenure;
            tenure.may_act(now) && tenure.succession_over(now) && !held.releasing
        })
    }

    /// Returns the highest epoch of a shard that this instance has heard of.
    pub fn epoch_heard(state: &State, shard: &str) -> Epoch {
        let heard = state.epochs_heard.get(shard).copied().unwrap_or(0);
        let mapped = state.map.get(shard).map_or(0, |known| known.row.epoch);
        let held = state.held.get(shard).map_or(0, |held| held.tenure.epoch());
        heard.max(mapped).max(held)
    }
}
