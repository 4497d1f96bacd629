//! The rows of shards: written with a claim number, and kept true to the boots that answer.

use rand::Rng;

use crate::daemon::instance::{Instance, State};
use crate::daemon::shards;
use crate::model::VmBoot;
use crate::ownership::shard::{SHARD_REVISION, ShardRow};
use crate::platform::store::{Change, Expect, Op, Version};
use crate::platform::{StoreError, VmRole};

/// What became of the write of a row.
pub(super) enum Written {
    Yes(Version),
    No,
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
            Err(StoreError::Unavailable) => Written::No,
            Err(StoreError::Conflict { .. } | StoreError::Unanswered) => {
                self.read_back(key, row).await
            }
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
            _ => Written::No,
        }
    }

    /// Brings the witnesses recorded in our rows in line with the boots that answer.
    pub(super) async fn renew_rows(&self) {
        for (shard, expect, row) in self.rows_to_renew() {
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
                // The row is not what we left: another has claimed, which the next
                // poll shows, or the store refused and nothing has changed.
                Written::No => held.tenure.finish_change(false),
                // Until the fate of the write is known, both sets of witnesses count.
                Written::Doubtful => held.doubtful = Some(row),
            }
        }
    }

    fn rows_to_renew(&self) -> Vec<(String, Version, ShardRow)> {
        let now = self.now();
        let mut state = self.lock();
        let peers = state.members.witnesses(now);
        let listed: Vec<VmBoot> = self.listed_boots(&state);
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
                due.push((shard.clone(), held.version, row));
                continue;
            }
            if !settled {
                continue;
            }
            let wanted = match shards::is_rack(shard) {
                true => rack_witnesses(shard, &held.row, &listed),
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
            due.push((shard.clone(), held.version, row));
        }
        due
    }

    /// Returns the listed workers of our shards with the boots that have answered.
    fn listed_boots(&self, state: &State) -> Vec<VmBoot> {
        let workers = state
            .vms
            .iter()
            .filter(|vm| matches!(vm.role, VmRole::Worker { .. }));
        workers
            .filter(|vm| state.held.contains_key(&vm.shard()))
            .map(|vm| {
                let boot = state
                    .cell
                    .worker(&vm.name)
                    .map_or(0, |worker| worker.vm.boot);
                VmBoot {
                    vm: format!("{}\u{0}{}", vm.shard(), vm.name),
                    boot,
                }
            })
            .collect()
    }
}

/// The witnesses that a rack's row should name: listed workers that have answered,
/// and those recorded that have not, since they may yet.
fn rack_witnesses(shard: &str, row: &ShardRow, listed: &[VmBoot]) -> Vec<VmBoot> {
    let prefix = format!("{shard}\u{0}");
    let here = listed
        .iter()
        .filter_map(|vm| Some((vm.vm.strip_prefix(&prefix)?, vm.boot)));
    here.filter_map(|(name, boot)| {
        let recorded = row.witnesses.iter().find(|old| old.vm == name);
        match (boot, recorded) {
            (0, recorded) => recorded.cloned(),
            (boot, _) => Some(VmBoot {
                vm: name.to_owned(),
                boot,
            }),
        }
    })
    .collect()
}

fn same_set(a: &[VmBoot], b: &[VmBoot]) -> bool {
    a.len() == b.len() && a.iter().all(|vm| b.contains(vm))
}
