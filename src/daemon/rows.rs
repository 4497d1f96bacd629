//! The rows of shards: written with a claim number, and kept true to the boots that answer.

use std::collections::BTreeMap;

use rand::Rng;

use crate::backend::store::{Change, Expect, Op, Version};
use crate::backend::{StoreError, VmRole};
use crate::daemon::instance::{Instance, State};
use crate::daemon::shards;
use crate::model::VmBoot;
use crate::ownership::shard::{SHARD_REVISION, ShardRow};

/// What became of the write of a row.
pub(super) enum Written {
    /// It took effect, and the row got this version.
    Yes(Version),
    /// The store did nothing; an earlier try of the same write may still be open.
    Refused,
    /// The row is another's, so neither this nor an earlier try can take effect any more.
    Taken,
    /// It may have taken effect, or may yet.
    Doubtful,
}

impl Instance {
    /// Writes a shard's row; a lost reply is resolved by reading the claim back.
    pub(super) async fn write_row(&self, shard: &str, expect: Expect, row: &ShardRow) -> Written {
        let key = ShardRow::key(shard);
        let value = serde_json::to_string(row).unwrap_or_default();
        let ops = vec![
            Op::new(key.clone(), expect, Change::Put(value)),
            Op::put(SHARD_REVISION, format!("{:016x}", row.claim)),
        ];
        match self.platform.store.transact(ops).await {
            Ok(version) => Written::Yes(version),
            Err(StoreError::Unavailable) => Written::Refused,
            Err(StoreError::Conflict { .. }) => self.read_back(key, row).await,
            Err(StoreError::Unanswered) => match self.read_back(key, row).await {
                // What is not there yet may still arrive.
                Written::Taken => Written::Doubtful,
                other => other,
            },
        }
    }

    async fn read_back(&self, key: String, row: &ShardRow) -> Written {
        let Ok(rows) = self.platform.store.read(vec![key]).await else {
            return Written::Doubtful;
        };
        let found = rows.into_iter().next().flatten();
        let ours = found
            .as_ref()
            .and_then(|found| serde_json::from_str::<ShardRow>(&found.value).ok());
        match (found, ours) {
            (Some(found), Some(ours)) if ours.claim == row.claim => Written::Yes(found.version),
            _ => Written::Taken,
        }
    }

    /// Brings the witnesses recorded in our rows in line with the boots that answer.
    pub(super) async fn renew_rows(&self) {
        for (shard, expect, row, doubted) in self.rows_to_renew() {
            let written = self.write_row(&shard, Expect::Version(expect), &row).await;
            let mut state = self.lock();
            let Some(held) = state.held.get_mut(&shard) else {
                continue;
            };
            held.writing = false;
            match written {
                Written::Yes(version) => {
                    held.tenure.finish_change(true);
                    held.row = row.clone();
                    held.version = version;
                    state.map.insert(&shard, version, row);
                    state.cell.press_shard(&shard);
                    self.wake_workers.notify_one();
                }
                // Another has claimed, which the next poll shows.
                Written::Taken => held.tenure.finish_change(false),
                Written::Refused if !doubted => held.tenure.finish_change(false),
                // Until the fate of the write is known, both sets of witnesses count.
                Written::Refused | Written::Doubtful => held.doubtful = Some(row),
            }
        }
    }

    /// Returns the rows to write, each with the version that it replaces and whether an
    /// earlier try of the same write is in doubt.
    fn rows_to_renew(&self) -> Vec<(String, Version, ShardRow, bool)> {
        let now = self.now();
        let mut state = self.lock();
        let peers = state.members.witnesses(now);
        let listed = listed_boots(&state);
        let settled: Vec<bool> = state
            .held
            .keys()
            .map(|shard| Self::row_may_change(&state, shard, now))
            .collect();
        let State { held, rng, .. } = &mut *state;
        let mut due = Vec::new();
        for ((shard, held), settled) in held.iter_mut().zip(settled) {
            if held.writing || held.releasing || !held.loaded {
                continue;
            }
            if let Some(row) = held.doubtful.take() {
                held.writing = true;
                due.push((shard.clone(), held.version, row, true));
                continue;
            }
            if !settled {
                continue;
            }
            let wanted = match shards::is_rack(shard) {
                true => rack_witnesses(&held.row, listed.get(shard)),
                false => peers.clone(),
            };
            if same_set(&wanted, &held.row.witnesses) {
                continue;
            }
            let row = ShardRow {
                claim: rng.random(),
                witnesses: wanted.clone(),
                ..held.row.clone()
            };
            held.tenure.begin_change(wanted);
            held.writing = true;
            due.push((shard.clone(), held.version, row, false));
        }
        due
    }
}

/// Returns the listed workers of our racks, each with the boot that has answered or zero.
fn listed_boots(state: &State) -> BTreeMap<String, Vec<VmBoot>> {
    let mut listed: BTreeMap<String, Vec<VmBoot>> = BTreeMap::new();
    for vm in &state.vms {
        let shard = vm.shard();
        if !matches!(vm.role, VmRole::Worker { .. }) || !state.held.contains_key(&shard) {
            continue;
        }
        let worker = state.cell.worker(&vm.name);
        listed.entry(shard).or_default().push(VmBoot {
            vm: vm.name.clone(),
            boot: worker.map_or(0, |worker| worker.vm.boot),
        });
    }
    listed
}

/// The witnesses that a rack's row should name: listed workers that have answered,
/// and those recorded that have not, since they may yet.
fn rack_witnesses(row: &ShardRow, listed: Option<&Vec<VmBoot>>) -> Vec<VmBoot> {
    let recorded = |name: &str| row.witnesses.iter().find(|old| old.vm == name);
    let witness = |vm: &VmBoot| match vm.boot {
        0 => recorded(&vm.vm).cloned(),
        _ => Some(vm.clone()),
    };
    listed.into_iter().flatten().filter_map(witness).collect()
}

fn same_set(a: &[VmBoot], b: &[VmBoot]) -> bool {
    a.len() == b.len() && a.iter().all(|vm| b.contains(vm))
}
