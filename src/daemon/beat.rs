//! Heartbeats, and answering other instances.

use std::collections::BTreeMap;

use futures::FutureExt;
use futures::future::{self, BoxFuture};

use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::daemon::shards;
use crate::model::VmBoot;
use crate::rpc::PeerService;
use crate::rpc::message::{Beat, Fence, FenceReply, PeerCall, PeerReply, PoolEpoch, ServiceLoad};

/// How long a heartbeat may take, in milliseconds.
const BEAT_TIMEOUT: Millis = 1_000;

impl Instance {
    /// Sends a heartbeat to every known instance.
    pub async fn beat_all(&self) {
        let addrs: Vec<_> = self
            .lock()
            .members
            .peers()
            .map(|(_, peer)| peer.rpc)
            .collect();
        let beats = addrs.into_iter().map(|addr| async move {
            let beat = self.own_beat();
            let pools = beat.pools.clone();
            let asked_at = self.now();
            let reply = self
                .peers
                .call(addr, PeerCall::Beat(beat), BEAT_TIMEOUT)
                .await;
            match reply {
                Ok(PeerReply::Beat(reply)) => self.on_beat_reply(reply, &pools, asked_at),
                _ => self.metrics.retry("beat_unanswered"),
            }
        });
        future::join_all(beats).await;
    }

    fn on_beat_reply(&self, reply: Beat, asked: &[PoolEpoch], asked_at: Millis) {
        let witness = VmBoot {
            vm: reply.name.clone(),
            boot: reply.incarnation,
        };
        for pool in asked {
            let known = reply
                .superseded
                .iter()
                .find(|other| other.shard == pool.shard);
            let epoch = known.map_or(pool.epoch, |known| known.epoch);
            self.on_fenced(&pool.shard, witness.clone(), epoch, asked_at);
        }
        self.on_heard(reply);
    }

    fn on_heard(&self, beat: Beat) {
        let now = self.now();
        let newer = {
            let mut state = self.lock();
            let newer = beat.version > state.configuration.version();
            state.members.on_beat(beat, now);
            newer
        };
        if newer {
            self.metrics.event("newer_version_heard");
        }
    }

    /// Builds our own heartbeat.
    pub fn own_beat(&self) -> Beat {
        let now = self.now();
        let state = self.lock();
        let (free, capacity) = state.cell.room();
        Beat {
            name: self.cfg.name.clone(),
            incarnation: self.incarnation,
            hall: self.cfg.hall.clone(),
            rpc: self.cfg.rpc,
            draining: self.is_draining(),
            version: state.configuration.version(),
            free_millicores: free.millicores,
            free_memory_mib: free.memory_mib,
            waiting_jobs: state.cell.waiting_jobs() as u32,
            owns_workers: capacity.millicores > 0,
            services: loads(&state, now),
            pools: pool_epochs(&state),
            superseded: Vec::new(),
        }
    }

    fn answer_beat(&self, beat: Beat) -> Beat {
        let superseded = {
            let mut state = self.lock();
            let mut superseded = Vec::new();
            for pool in &beat.pools {
                let heard = Self::epoch_heard(&state, &pool.shard);
                if heard > pool.epoch {
                    superseded.push(PoolEpoch {
                        shard: pool.shard.clone(),
                        epoch: heard,
                    });
                }
                let noted = state.epochs_heard.entry(pool.shard.clone()).or_default();
                *noted = (*noted).max(pool.epoch);
            }
            superseded
        };
        self.on_heard(beat);
        Beat {
            superseded,
            ..self.own_beat()
        }
    }

    /// Notes an epoch of a shard, and tells what is known of its owner.
    fn answer_fence(&self, fence: &Fence) -> FenceReply {
        let now = self.now();
        let mut state = self.lock();
        let noted = state.epochs_heard.entry(fence.shard.clone()).or_default();
        *noted = (*noted).max(fence.epoch);
        let epoch = Self::epoch_heard(&state, &fence.shard);
        if let Some(held) = state.held.get_mut(&fence.shard) {
            held.tenure.on_superseded(fence.epoch);
        }
        self.drop_lost(&mut state);
        FenceReply {
            boot: self.incarnation,
            epoch,
            owner_silence: state.members.silence(&fence.owner, now),
        }
    }

    async fn answer(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Beat(beat) => PeerReply::Beat(self.answer_beat(beat)),
            PeerCall::Fence(fence) => PeerReply::Fence(self.answer_fence(&fence)),
            PeerCall::Forward { spec, body } => {
                PeerReply::Outcome(self.serve_request(spec, body).await)
            }
            PeerCall::Submit { job, spec } => {
                PeerReply::Submitted(self.accept_here(&job, spec).await)
            }
            PeerCall::ViewJob(job) => PeerReply::Job(self.lock().cell.view(&job)),
            PeerCall::CancelJob(job) => PeerReply::Cancelled(self.cancel_here(&job).await),
            PeerCall::Reserve { need, count, ttl } => {
                let now = self.now();
                let mut state = self.lock();
                PeerReply::Reserved(state.cell.reserve(&need, count, now + ttl, now))
            }
            PeerCall::Adopt {
                shard,
                job,
                reservation,
            } => {
                self.adopt_reserved(&shard, &job, reservation).await;
                PeerReply::Done
            }
            PeerCall::NewVersion { version } => {
                self.on_new_version(version).await;
                PeerReply::Done
            }
            PeerCall::Release(id) => {
                let now = self.now();
                self.lock().cell.release_reservation(id, now);
                PeerReply::Done
            }
            PeerCall::Status => PeerReply::Status(self.status_json()),
        }
    }
}

impl PeerService for Instance {
    fn serve(&self, call: PeerCall) -> BoxFuture<'_, PeerReply> {
        self.answer(call).boxed()
    }
}

fn loads(state: &State, now: Millis) -> Vec<ServiceLoad> {
    let mut loads: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (shard, pool) in &state.pools {
        let (free, queued) = pool.load(now);
        let open = Instance::pool_open(state, shard, now);
        let load = loads.entry(shards::service_of(shard)).or_default();
        load.0 += if open { free } else { 0 };
        load.1 += queued;
    }
    let load = |(service, (free, queued)): (&str, (u32, u32))| ServiceLoad {
        service: service.to_owned(),
        free,
        queued,
    };
    loads.into_iter().map(load).collect()
}

fn pool_epochs(state: &State) -> Vec<PoolEpoch> {
    let pools = state
        .held
        .iter()
        .filter(|(shard, _)| !shards::is_rack(shard));
    pools
        .map(|(shard, held)| PoolEpoch {
            shard: shard.clone(),
            epoch: held.tenure.epoch(),
        })
        .collect()
}
