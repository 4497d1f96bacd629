//! Claiming shards, keeping their rows true, and handing them over.
//!
//! A claim is one compare-and-set of the shard's row.  Rendezvous hashing names
//! one instance that should claim, so races are rare; the row decides them.

use futures::future;

use crate::backend::Exchange;
use crate::backend::store::Expect;
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::daemon::rows::Written;
use crate::daemon::shards;
use crate::model::VmBoot;
use crate::ownership::rendezvous;
use crate::ownership::shard::{ShardRow, VersionedShard};
use crate::placement::lease::Standing;
use crate::rpc::message::{Fence, FenceReply, PeerCall, PeerReply};

/// How long another instance may take to answer a question.
const PEER_TIMEOUT: Millis = 500;
/// How many shards one step claims at most, so that a restart does not swamp the store.
const CLAIMS_PER_STEP: usize = 8;

/// How many heartbeats an instance waits after its start before it claims anything.
const BEATS_BEFORE_CLAIMS: Millis = 3;

impl Instance {
    /// Claims what should be ours, hands over what should not, and keeps rows true.
    pub async fn tend_shards(&self) {
        {
            let now = self.now();
            let mut state = self.lock();
            state.members.note_changes(now);
            self.drop_lost(&mut state);
            self.allow_inherited(&mut state, now);
        }
        let claims: Vec<_> = self.wanted().into_iter().take(CLAIMS_PER_STEP).collect();
        future::join_all(claims.into_iter().map(|shard| self.consider(shard))).await;
        self.load_records().await;
        self.renew_rows().await;
        self.hand_over().await;
        self.fence_pools().await;
        self.grant_all();
    }

    /// Returns the shards that are listed by the platform or recorded in the store.
    fn known_shards(state: &State) -> Vec<String> {
        let listed = state.vms.iter().map(|vm| vm.shard());
        let recorded = state.map.iter().map(|(shard, _)| shard.clone());
        let mut shards: Vec<String> = listed.chain(recorded).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    /// Returns the shards that this instance should claim, if nobody keeps them.
    fn wanted(&self) -> Vec<String> {
        let now = self.now();
        let state = self.lock();
        // A newcomer first learns who else is there, or it would claim what others should own.
        let fresh = now < self.started_at + BEATS_BEFORE_CLAIMS * self.cfg.beat();
        if fresh || self.is_draining() || state.shard_revision.is_none() || !state.listed {
            return Vec::new();
        }
        let members = state.members.candidates(false, now);
        let mine = |shard: &String| {
            // A row that names us although we do not own the shard is ours to mend.
            let left = state
                .map
                .get(shard)
                .is_some_and(|known| known.row.owner.as_ref() == Some(&self.cfg.name));
            let preferred = rendezvous::preferred(shard, shards::hall_of(shard), &members);
            left || preferred.is_some_and(|candidate| candidate.name == self.cfg.name)
        };
        let kept = |shard: &String| match state.map.get(shard) {
            None => false,
            Some(known) => self.is_kept(&state, &known.row, now),
        };
        Self::known_shards(&state)
            .into_iter()
            .filter(|shard| {
                !state.held.contains_key(shard) && !state.unreleased.contains_key(shard)
            })
            .filter(|shard| !kept(shard) && mine(shard))
            .collect()
    }

    /// Tells whether the recorded owner seems to be there.
    fn is_kept(&self, state: &State, row: &ShardRow, now: Millis) -> bool {
        match &row.owner {
            None => false,
            // Our own former start is certainly not there any more.
            Some(owner) if *owner == self.cfg.name => false,
            Some(owner) => {
                let peer = state.members.get(owner);
                let incarnation = peer
                    .and_then(|peer| peer.beat.as_ref())
                    .map(|beat| beat.incarnation);
                let restarted =
                    incarnation.is_some_and(|incarnation| incarnation != row.incarnation);
                state.members.is_alive(owner, now) && !restarted
            }
        }
    }

    /// Claims a shard unless a witness has lately heard from its owner.
    async fn consider(&self, shard: String) {
        let known = self.lock().map.get(&shard).cloned();
        if let Some(known) = &known
            && !self.owner_is_silent(&shard, &known.row).await
        {
            self.metrics.event("claim_withheld");
            return;
        }
        self.claim(&shard, known).await;
    }

    /// Asks the witnesses whether they have lately heard from the recorded owner.
    ///
    /// A restarted or released owner needs no question.  A rack is claimed only by
    /// an instance that reaches most of its workers, and a group of targets only by
    /// one that hears most of the members: otherwise two sides of a cut would take
    /// the shard from each other in turn.
    async fn owner_is_silent(&self, shard: &str, row: &ShardRow) -> bool {
        let Some(owner) = row.owner.clone() else {
            return true;
        };
        let now = self.now();
        {
            let state = self.lock();
            if owner == self.cfg.name || state.members.is_alive(&owner, now) {
                return true;
            }
        }
        let suspect = self.cfg.number("membership", "suspect_ms");
        let by_peers = self.peer_silences(shard, &owner).await;
        if by_peers.iter().any(|reply| reply.owner_silence < suspect) {
            return false;
        }
        match shards::is_rack(shard) {
            true => self.workers_agree(shard, suspect).await,
            false => {
                let (known, heard) = self.lock().members.heard(now);
                2 * heard > known
            }
        }
    }

    async fn peer_silences(&self, shard: &str, owner: &str) -> Vec<FenceReply> {
        let call = PeerCall::Fence(Fence {
            shard: shard.to_owned(),
            epoch: 0,
            owner: owner.to_owned(),
        });
        let replies = self.ask_all(self.heard_peers(), &call, PEER_TIMEOUT).await;
        replies
            .into_iter()
            .filter_map(|reply| match reply {
                Ok(PeerReply::Fence(reply)) => Some(reply),
                _ => None,
            })
            .collect()
    }

    async fn workers_agree(&self, shard: &str, suspect: Millis) -> bool {
        let endpoints = {
            let state = self.lock();
            let listed = state.vms.iter().filter(|vm| vm.shard() == shard);
            listed.map(|vm| vm.endpoint.clone()).collect::<Vec<_>>()
        };
        let count = endpoints.len();
        let ask = |endpoint| {
            let probe = Exchange {
                shard: shard.to_owned(),
                owner: self.cfg.name.clone(),
                ..Exchange::default()
            };
            self.platform.workers.exchange(endpoint, probe)
        };
        let replies = future::join_all(endpoints.into_iter().map(ask)).await;
        let answered: Vec<_> = replies.into_iter().flatten().collect();
        let heard = answered.iter().any(|reply| reply.owner_silence < suspect);
        !heard && (count == 0 || 2 * answered.len() > count)
    }

    /// Claims a shard whose row was last seen as `known`.
    async fn claim(&self, shard: &str, known: Option<VersionedShard>) {
        let claimed_at = self.now();
        let row = ShardRow {
            owner: Some(self.cfg.name.clone()),
            incarnation: self.incarnation,
            epoch: known.as_ref().map_or(1, |known| known.row.epoch + 1),
            claim: self.draw(),
            witnesses: self.first_witnesses(shard, known.as_ref()),
        };
        let predecessor = known
            .as_ref()
            .and_then(|known| self.predecessor_of(shard, &known.row));
        let expect = known
            .as_ref()
            .map_or(Expect::Absent, |known| Expect::Version(known.version));
        match self.write_row(shard, expect, &row).await {
            Written::Yes(version) => {
                let mut state = self.lock();
                self.begin_tenure(&mut state, shard, row, version, predecessor, claimed_at);
            }
            Written::Taken => self.metrics.event("claim_lost"),
            Written::Refused => self.metrics.retry("claim_refused"),
            Written::Doubtful => self.metrics.retry("claim_unanswered"),
        }
    }

    /// Targets hold nothing, so a group that was released cleanly has no predecessor.
    fn predecessor_of(&self, shard: &str, row: &ShardRow) -> Option<Vec<VmBoot>> {
        let released = row.owner.is_none();
        (shards::is_rack(shard) || !released).then(|| row.witnesses.clone())
    }

    fn first_witnesses(&self, shard: &str, known: Option<&VersionedShard>) -> Vec<VmBoot> {
        match shards::is_rack(shard) {
            true => known
                .map(|known| known.row.witnesses.clone())
                .unwrap_or_default(),
            false => self.lock().members.witnesses(self.now()),
        }
    }

    /// Tells the former witnesses of our groups of targets that we own them now.
    async fn fence_pools(&self) {
        let calls = {
            let state = self.lock();
            let mut calls = Vec::new();
            for (shard, held) in state
                .held
                .iter()
                .filter(|(shard, _)| !shards::is_rack(shard))
            {
                for witness in held.tenure.unfenced() {
                    if let Some(peer) = state.members.get(&witness.vm) {
                        calls.push((
                            shard.clone(),
                            held.tenure.epoch(),
                            witness.vm.clone(),
                            peer.rpc,
                        ));
                    }
                }
            }
            calls
        };
        let send = |(shard, epoch, vm, addr): (String, u64, String, std::net::SocketAddr)| async move {
            let call = PeerCall::Fence(Fence {
                shard: shard.clone(),
                epoch,
                owner: self.cfg.name.clone(),
            });
            let asked_at = self.now();
            if let Ok(PeerReply::Fence(reply)) = self.peers.call(addr, call, PEER_TIMEOUT).await {
                self.on_fenced(
                    &shard,
                    VmBoot {
                        vm,
                        boot: reply.boot,
                    },
                    reply.epoch,
                    asked_at,
                );
            }
        };
        future::join_all(calls.into_iter().map(send)).await;
    }

    /// Records that a witness of a group of targets knows our epoch, or a higher one.
    pub fn on_fenced(&self, shard: &str, witness: VmBoot, epoch: u64, asked_at: Millis) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(held) = state.held.get_mut(shard) {
            match epoch > held.tenure.epoch() {
                true => held.tenure.on_superseded(epoch),
                false => held.tenure.on_ack(&witness, asked_at, now),
            }
        }
        self.drop_lost(&mut state);
    }

    /// Builds how a shard stands, for an exchange with one of its workers.
    pub fn standing(&self, state: &State, vm: &str, shard: &str, now: Millis) -> Option<Standing> {
        let held = state.held.get(shard).filter(|held| held.loaded)?;
        let recorded = state
            .cell
            .worker(vm)
            .is_some_and(|worker| held.tenure.is_witness(&worker.vm));
        Some(Standing {
            shard: shard.to_owned(),
            owner: self.cfg.name.clone(),
            epoch: held.tenure.epoch(),
            may_act: held.tenure.may_act(now),
            recorded: recorded && !held.releasing,
        })
    }
}
