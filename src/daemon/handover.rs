//! Handing shards over: to the instance that should own them, or all of them on leaving.

use crate::backend::store::{Expect, Version};
use crate::daemon::instance::{Instance, State};
use crate::daemon::rows::Written;
use crate::daemon::shards;
use crate::ownership::rendezvous;
use crate::ownership::shard::ShardRow;

/// How many shards one step hands over because another instance should own them.
const MOVES_PER_STEP: usize = 1;

impl Instance {
    /// Hands over shards that another instance should own; a leaving one hands over all.
    pub(super) async fn hand_over(&self) {
        let unreleased = std::mem::take(&mut self.lock().unreleased);
        for (shard, (row, version)) in unreleased {
            self.write_release(&shard, row, version).await;
        }
        let leaving = self.to_hand_over();
        self.keep_others(&leaving);
        for shard in leaving {
            self.release(&shard).await;
        }
    }

    /// Opens shards again whose hand-over had begun and is no longer due.
    fn keep_others(&self, leaving: &[String]) {
        let mut state = self.lock();
        let State {
            held, pools, cell, ..
        } = &mut *state;
        let kept = held
            .iter_mut()
            .filter(|(shard, held)| held.releasing && !leaving.contains(shard));
        for (shard, held) in kept {
            held.releasing = false;
            match pools.get_mut(shard) {
                Some(pool) => pool.open(),
                None => cell.press_shard(shard),
            }
        }
    }

    fn to_hand_over(&self) -> Vec<String> {
        let now = self.now();
        let state = self.lock();
        let draining = self.is_draining();
        let settled = state.members.settled_for(now) >= self.cfg.number("membership", "settle_ms");
        if !draining && !settled {
            return Vec::new();
        }
        let members = state.members.candidates(draining, now);
        let limit = if draining { usize::MAX } else { MOVES_PER_STEP };
        let elsewhere = |shard: &&String| {
            let preferred = rendezvous::preferred(shard, shards::hall_of(shard), &members);
            preferred.is_some_and(|candidate| candidate.name != self.cfg.name)
        };
        let idle = |shard: &&String| !state.held[*shard].writing;
        state
            .held
            .keys()
            .filter(idle)
            .filter(elsewhere)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Releases a shard: stops acting on it first, writes its row second.
    async fn release(&self, shard: &str) {
        if !self.quiesce(shard) {
            return;
        }
        let Some((row, version)) = self.stop_owning(shard) else {
            return;
        };
        let released = ShardRow {
            owner: None,
            claim: self.draw(),
            ..row
        };
        self.write_release(shard, released, version).await;
    }

    /// Writes the row of a shard that is no longer acted on, again and again if need be.
    async fn write_release(&self, shard: &str, row: ShardRow, version: Version) {
        let written = self.write_row(shard, Expect::Version(version), &row).await;
        let mut state = self.lock();
        match written {
            Written::Yes(version) => {
                self.metrics.event("shard_released");
                state.map.insert(shard, version, row);
            }
            Written::Refused | Written::Taken | Written::Doubtful => {
                self.metrics.retry("release_unanswered");
                let taken = state
                    .map
                    .get(shard)
                    .is_some_and(|known| known.version > version);
                if !taken {
                    state.unreleased.insert(shard.to_owned(), (row, version));
                }
            }
        }
    }

    /// Tells whether the shard has nothing in progress that only we can finish.
    fn quiesce(&self, shard: &str) -> bool {
        let mut state = self.lock();
        if let Some(held) = state.held.get_mut(shard) {
            held.releasing = true;
        }
        match state.pools.get_mut(shard) {
            Some(pool) => {
                pool.close();
                pool.is_idle()
            }
            None => {
                state.cell.close_shard(shard);
                !state.writer.concerns(shard) && !state.cell.has_writes_for(shard)
            }
        }
    }

    fn stop_owning(&self, shard: &str) -> Option<(ShardRow, Version)> {
        let mut state = self.lock();
        let held = state.held.get(shard)?;
        let row = (held.row.clone(), held.version);
        self.end_tenure(&mut state, shard, "shard_handed_over");
        Some(row)
    }
}
