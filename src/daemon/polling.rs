//! What is read from the platform again and again: the list of VMs and the revisions.
//!
//! One read of a few small rows a second tells whether anything has changed;
//! the shards are scanned only when their revision row has.

use crate::backend::store::{Op, Row};
use crate::backend::{StoreError, Vm, VmRole, VmState};
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::daemon::shards;
use crate::ownership::ShardMap;
use crate::ownership::shard::{SHARD_PREFIX, SHARD_REVISION};
use crate::placement::cell::WorkerInfo;
use crate::policy::bundle::CONFIG_ROW;
use crate::routing::pool::TargetInfo;

/// The prefix of the rows by which instances find each other.
const MEMBER_PREFIX: &str = "member/";
/// Every how many polls the rows of members are read.
const MEMBERS_EVERY: u64 = 5;
/// After how many times the lag of the list a silent member is forgotten.
const FORGET_AFTER_LAGS: u64 = 4;

/// What an instance writes of itself, so that others find it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct MemberRow {
    rpc: std::net::SocketAddr,
    incarnation: u64,
}

impl Instance {
    /// Reads the list of VMs and the revisions once.
    pub async fn poll(&self) {
        match self.platform.vms.list().await {
            Ok(vms) => self.on_list(vms),
            Err(err) => self.on_store_error("vms", &err),
        }
        if let Err(err) = self.poll_revisions().await {
            self.on_store_error("revisions", &err);
        }
        if let Err(err) = self.poll_members().await {
            self.on_store_error("members", &err);
        }
    }

    fn on_store_error(&self, what: &'static str, err: &StoreError) {
        tracing::debug!(what, %err, "the store did not serve a poll");
        self.metrics.retry("store_poll");
    }

    fn on_list(&self, vms: Vec<Vm>) {
        let now = self.now();
        let mut state = self.lock();
        for vm in &vms {
            state.listed_at.insert(vm.name.clone(), now);
        }
        state.vms = vms;
        state.listed = true;
        self.refresh_listed(&mut state);
        self.note_gone(&mut state, now);
    }

    /// Brings workers and targets of owned shards in line with the list.
    pub fn refresh_listed(&self, state: &mut State) {
        let now = self.now();
        let vms = std::mem::take(&mut state.vms);
        for vm in &vms {
            if let VmRole::Worker { capacity } = vm.role
                && state.held.contains_key(&vm.shard())
            {
                let info = WorkerInfo {
                    name: vm.name.clone(),
                    shard: vm.shard(),
                    hall: vm.hall.clone(),
                    endpoint: vm.endpoint.clone(),
                    capacity,
                    leaving: vm.state == VmState::Leaving,
                };
                state.cell.list_worker(&info, now);
            }
        }
        for (shard, pool) in &mut state.pools {
            pool.set_targets(&targets_of(&vms, shard));
        }
        state.vms = vms;
    }

    /// Notes VMs that have not been listed for longer than the list can lag.
    ///
    /// A VM that is recorded in a row existed; if the list has not named it for
    /// longer than it can lag, that boot of it is over.
    fn note_gone(&self, state: &mut State, now: Millis) {
        let lag = self.cfg.number("platform", "list_lag_ms");
        let mut gone = Vec::new();
        let State { held, members, .. } = &mut *state;
        for held in held
            .iter_mut()
            .filter(|(shard, _)| !shards::is_rack(shard))
            .map(|(_, held)| held)
        {
            let unfenced: Vec<String> = held.tenure.unfenced().map(|vm| vm.vm.clone()).collect();
            for name in unfenced {
                // The claim needed most members, so those that bore witness and have
                // been silent for so long are a minority that cannot confirm anybody.
                if members.silence(&name, now) > FORGET_AFTER_LAGS * lag {
                    held.tenure.on_gone(&name, now);
                }
            }
        }
        for (shard, held) in &mut state.held {
            if !shards::is_rack(shard) {
                continue;
            }
            let unfenced: Vec<String> = held.tenure.unfenced().map(|vm| vm.vm.clone()).collect();
            for vm in unfenced {
                let listed_at = *state.listed_at.entry(vm.clone()).or_insert(now);
                if now > listed_at + lag {
                    held.tenure.on_gone(&vm, now);
                }
            }
            for vm in state.cell.vms_of(shard) {
                let listed_at = state.listed_at.get(&vm).copied().unwrap_or(now);
                if now > listed_at + lag {
                    gone.push(vm);
                }
            }
        }
        for vm in gone {
            if state.cell.unlist_worker(&vm) {
                state.worker_times.remove(&vm);
            }
        }
    }

    async fn poll_revisions(&self) -> Result<(), StoreError> {
        let asked_at = self.now();
        let keys = vec![SHARD_REVISION.to_owned(), CONFIG_ROW.to_owned()];
        let mut rows = self.platform.store.read(keys).await?.into_iter();
        let shards = rows.next().flatten();
        let config = rows.next().flatten();
        self.on_shard_revision(shards, asked_at).await?;
        self.on_config_row(config, asked_at).await
    }

    async fn on_shard_revision(
        &self,
        row: Option<Row>,
        asked_at: Millis,
    ) -> Result<(), StoreError> {
        let revision = row.map(|row| row.value).unwrap_or_default();
        if self.lock().shard_revision.as_ref() == Some(&revision) {
            self.confirm_held(asked_at);
            return Ok(());
        }
        let asked_at = self.now();
        let rows = self.platform.store.scan(SHARD_PREFIX.to_owned()).await?;
        {
            let mut state = self.lock();
            state.map = ShardMap::from_rows(rows);
            // A change during the scan shows as another revision at the next poll.
            state.shard_revision = Some(revision);
        }
        self.confirm_held(asked_at);
        Ok(())
    }

    /// Confirms, or ends, every tenure by what the store showed when asked at `asked_at`.
    fn confirm_held(&self, asked_at: Millis) {
        let mut state = self.lock();
        let State { held, map, .. } = &mut *state;
        for (shard, held) in held.iter_mut() {
            if let Some(known) = map.get(shard) {
                held.tenure.on_store(known.row.epoch, asked_at);
            }
        }
        self.drop_lost(&mut state);
        let now = self.now();
        self.allow_inherited(&mut state, now);
    }

    async fn poll_members(&self) -> Result<(), StoreError> {
        let due = {
            let mut state = self.lock();
            let due = state.polls < MEMBERS_EVERY || state.polls.is_multiple_of(MEMBERS_EVERY);
            state.polls += 1;
            due
        };
        if !due {
            return Ok(());
        }
        let rows = self.platform.store.scan(MEMBER_PREFIX.to_owned()).await?;
        let mine = format!("{MEMBER_PREFIX}{}", self.cfg.name);
        let mut registered = false;
        {
            let mut state = self.lock();
            for row in rows {
                let Ok(member) = serde_json::from_str::<MemberRow>(&row.value) else {
                    continue;
                };
                registered |= row.key == mine && member.incarnation == self.incarnation;
                if let Some(name) = row.key.strip_prefix(MEMBER_PREFIX) {
                    state.members.introduce(name, member.rpc);
                }
            }
            let now = self.now();
            let limit = FORGET_AFTER_LAGS * self.cfg.number("platform", "list_lag_ms");
            state.members.forget_silent(limit, now);
        }
        if !registered {
            self.register(mine).await?;
        }
        Ok(())
    }

    async fn register(&self, key: String) -> Result<(), StoreError> {
        let row = MemberRow {
            rpc: self.cfg.rpc,
            incarnation: self.incarnation,
        };
        let value = serde_json::to_string(&row).unwrap_or_default();
        self.platform
            .store
            .transact(vec![Op::put(key, value)])
            .await?;
        Ok(())
    }
}

fn targets_of(vms: &[Vm], shard: &str) -> Vec<TargetInfo> {
    let in_shard = vms.iter().filter(|vm| vm.shard() == shard);
    in_shard
        .filter_map(|vm| match vm.role {
            VmRole::Target {
                slots, connections, ..
            } => Some(TargetInfo {
                name: vm.name.clone(),
                endpoint: vm.endpoint.clone(),
                slots: slots.min(connections),
                leaving: vm.state == VmState::Leaving,
            }),
            VmRole::Worker { .. } => None,
        })
        .collect()
}
