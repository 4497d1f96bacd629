//! How an instance and its cell stand, for operators.

use futures::future;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::daemon::instance::Instance;
use crate::daemon::shards;
use crate::rpc::message::{PeerCall, PeerReply};

/// How long another instance may take to tell how it stands, in milliseconds.
const PEER_TIMEOUT: Millis = 1_000;

/// How one instance stands.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// A number that it drew at its start.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether its configuration is confirmed.
    pub fresh: bool,
    /// The version of the configuration in force there.
    pub configuration: u64,
    /// Requests in progress.
    pub in_progress: u64,
    /// Jobs that wait.
    pub waiting_jobs: usize,
    /// Tasks that it knows.
    pub tasks: usize,
    /// Free processors on its usable workers, in thousandths of a core.
    pub free_millicores: u64,
    /// All processors on its usable workers, in thousandths of a core.
    pub millicores: u64,
    /// The instances that it hears.
    pub hears: Vec<String>,
    /// How many operations were refused to keep an invariant.
    pub violations: u64,
    /// The shards that it owns.
    pub shards: Vec<ShardStatus>,
}

/// How one shard stands.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: String,
    /// The epoch of its owner.
    pub epoch: u64,
    /// For how much longer the owner is confirmed, in milliseconds.
    pub confirmed_for_ms: u64,
    /// Whether work of a former owner may be started.
    pub inherited_open: bool,
    /// How many of its VMs are recorded.
    pub vms: usize,
    /// How many of its workers may be given work, for a rack.
    pub usable: usize,
    /// Free slots, for a group of targets.
    pub free_slots: u32,
    /// Waiting requests, for a group of targets.
    pub queued: u32,
}

/// How the cell stands, as one instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CellStatus {
    /// The instances that answered.
    pub instances: Vec<InstanceStatus>,
    /// The instances that did not answer.
    pub silent: Vec<String>,
    /// The shards that nobody who answered owns.
    pub unowned: Vec<String>,
}

impl Instance {
    /// Returns how this instance stands.
    pub fn status(&self) -> InstanceStatus {
        let now = self.now();
        let state = self.lock();
        let (free, capacity) = state.cell.room();
        let shards = state.held.iter().map(|(shard, held)| {
            let (free_slots, queued) = state.pools.get(shard).map_or((0, 0), |pool| pool.load(now));
            ShardStatus {
                shard: shard.clone(),
                epoch: held.tenure.epoch(),
                confirmed_for_ms: held.tenure.confirmed_until().saturating_sub(now),
                inherited_open: match shards::is_rack(shard) {
                    true => held.tenure.may_start_inherited(now),
                    false => held.tenure.succession_over(now),
                },
                vms: held.row.witnesses.len(),
                usable: state.cell.usable_in(shard),
                free_slots,
                queued,
            }
        });
        let mut shards: Vec<ShardStatus> = shards.collect();
        shards.sort_by(|a, b| a.shard.cmp(&b.shard));
        InstanceStatus {
            name: self.cfg.name.clone(),
            hall: self.cfg.hall.clone(),
            incarnation: self.incarnation,
            draining: self.is_draining(),
            fresh: self.is_fresh(&state, now),
            configuration: state.configuration.version(),
            in_progress: self.in_progress(),
            waiting_jobs: state.cell.waiting_jobs(),
            tasks: state.cell.task_count(),
            free_millicores: free.millicores,
            millicores: capacity.millicores,
            hears: state
                .members
                .alive(now)
                .map(|(name, _, _)| name.clone())
                .collect(),
            violations: self.metrics.violation_count(),
            shards,
        }
    }

    /// Returns how this instance stands, as JSON for another instance.
    pub fn status_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.status()).unwrap_or_default()
    }

    /// Asks every instance how it stands.
    pub async fn cell_status(&self) -> CellStatus {
        let peers: Vec<_> = {
            let state = self.lock();
            state
                .members
                .peers()
                .map(|(name, peer)| (name.clone(), peer.rpc))
                .collect()
        };
        let asked = peers.into_iter().map(|(name, addr)| async move {
            let reply = self.peers.call(addr, PeerCall::Status, PEER_TIMEOUT).await;
            let status = match reply {
                Ok(PeerReply::Status(json)) => serde_json::from_slice(&json).ok(),
                _ => None,
            };
            (name, status)
        });
        let mut instances = vec![self.status()];
        let mut silent = Vec::new();
        for (name, status) in future::join_all(asked).await {
            match status {
                Some(status) => instances.push(status),
                None => silent.push(name),
            }
        }
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let unowned = self.unowned(&instances);
        CellStatus {
            instances,
            silent,
            unowned,
        }
    }

    fn unowned(&self, instances: &[InstanceStatus]) -> Vec<String> {
        let state = self.lock();
        let mut unowned: Vec<String> = state.vms.iter().map(|vm| vm.shard()).collect();
        unowned.sort_unstable();
        unowned.dedup();
        unowned.retain(|shard| {
            !instances
                .iter()
                .any(|i| i.shards.iter().any(|held| held.shard == *shard))
        });
        unowned
    }
}
