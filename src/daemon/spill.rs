//! Moving work for which there is no room here to instances that have some.
//!
//! Reserve, move the record, tell: the transaction that moves the record is the
//! only decision.  For a gang the same transaction decides all places at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::backend::StoreError;
use crate::backend::store::Op;
use crate::clock::Millis;
use crate::daemon::instance::Instance;
use crate::model::Resources;
use crate::ownership::shard::ShardRow;
use crate::placement::Part;
use crate::placement::part::INCOMING_PREFIX;
use crate::placement::reserve::Reserved;
use crate::placement::transfer::{Offer, Transfer};
use crate::rpc::message::{PeerCall, PeerReply};

/// How long a reservation is kept, in milliseconds.
const RESERVATION: Millis = 4_000;
/// How long another instance may take to reserve.
const PEER_TIMEOUT: Millis = 1_000;
/// How many jobs one step tries to move.
const JOBS_PER_STEP: usize = 4;
/// Every how many steps incoming rows are looked for, in case a notice was lost.
const LOOK_EVERY: u64 = 10;

/// Room at another instance.
struct Room {
    addr: SocketAddr,
    reserved: Reserved,
}

impl Instance {
    /// Moves what waits for room, and takes in what others have moved here.
    pub async fn spill(&self) {
        let look = {
            let mut state = self.lock();
            state.spills += 1;
            state.spills.is_multiple_of(LOOK_EVERY)
        };
        if look {
            self.take_in_all().await;
        }
        let offers = self.lock().cell.offers();
        for offer in offers.into_iter().take(JOBS_PER_STEP) {
            self.spill_job(&offer).await;
        }
    }

    async fn spill_job(&self, offer: &Offer) {
        let asked_at = self.now();
        let own = match offer.gang {
            true => self.reserve_here(&offer.need, offer.count),
            false => None,
        };
        let at_home = own.as_ref().map_or(0, count_of);
        let wanted = offer.count - at_home;
        let rooms = self.reserve_elsewhere(&offer.need, wanted).await;
        let found: u32 = rooms.iter().map(|room| count_of(&room.reserved)).sum();
        let enough = if offer.gang {
            found == wanted
        } else {
            found > 0
        };
        let in_time = self.now() < asked_at + RESERVATION / 2;
        let moved = enough && in_time && self.transfer(offer, &rooms, own.as_ref()).await;
        if !moved {
            self.release_elsewhere(&rooms).await;
        }
        if let Some(own) = own {
            let now = self.now();
            self.lock().cell.release_reservation(own.id, now);
        }
    }

    fn reserve_here(&self, need: &Resources, count: u32) -> Option<Reserved> {
        let now = self.now();
        Some(
            self.lock()
                .cell
                .reserve(need, count, now + RESERVATION, now),
        )
    }

    async fn reserve_elsewhere(&self, need: &Resources, wanted: u32) -> Vec<Room> {
        let now = self.now();
        let mut peers: Vec<(u64, SocketAddr)> = {
            let state = self.lock();
            let roomy = state.members.alive(now).filter(|(_, _, beat)| {
                beat.owns_workers
                    && beat.free_millicores >= need.millicores
                    && beat.free_memory_mib >= need.memory_mib
            });
            roomy
                .map(|(_, peer, beat)| (beat.free_millicores, peer.rpc))
                .collect()
        };
        peers.sort_unstable_by(|a, b| b.cmp(a));
        let mut rooms = Vec::new();
        let mut missing = wanted;
        for (_, addr) in peers {
            if missing == 0 {
                break;
            }
            let call = PeerCall::Reserve {
                need: *need,
                count: missing,
                ttl: RESERVATION,
            };
            if let Ok(PeerReply::Reserved(reserved)) =
                self.peers.call(addr, call, PEER_TIMEOUT).await
            {
                missing -= count_of(&reserved).min(missing);
                rooms.push(Room { addr, reserved });
            }
        }
        rooms
    }

    /// Gives reservations back at once, or a job that finds no room would keep others from it.
    async fn release_elsewhere(&self, rooms: &[Room]) {
        for room in rooms {
            let call = PeerCall::Release(room.reserved.id);
            if self
                .peers
                .call(room.addr, call, PEER_TIMEOUT)
                .await
                .is_err()
            {
                self.metrics.retry("release_unused");
            }
        }
    }

    /// Moves tasks into reserved room, and returns whether that was tried.
    async fn transfer(&self, offer: &Offer, rooms: &[Room], own: Option<&Reserved>) -> bool {
        // Two writes of one record must not be under way together.
        let _turn = self.record_turn.lock().await;
        if self.lock().writer.in_doubt() {
            return false;
        }
        let mut places: BTreeMap<String, u32> = BTreeMap::new();
        for room in rooms {
            for (shard, count) in &room.reserved.shards {
                *places.entry(shard.clone()).or_default() += count;
            }
        }
        let prepared = {
            let mut state = self.lock();
            // A cancellation waits until the transfer has passed it on.
            state.writer.set_moving(Some(offer.job.clone()));
            state.cell.begin_transfer(offer, &places)
        };
        if let Some(transfer) = &prepared {
            self.carry_out(offer, rooms, own, transfer).await;
        }
        self.lock().writer.set_moving(None);
        prepared.is_some()
    }

    async fn carry_out(
        &self,
        offer: &Offer,
        rooms: &[Room],
        own: Option<&Reserved>,
        transfer: &Transfer,
    ) {
        let ops = self.transfer_ops(transfer);
        let result = self.write_transfer(ops).await;
        let now = self.now();
        match result {
            Ok(()) => {
                let cancelled = {
                    let mut state = self.lock();
                    let cancelled = state.cell.is_cancelling(&offer.job);
                    state.cell.finish_transfer(transfer, now);
                    if let Some(own) = own {
                        state.cell.use_own_reservation(own.id, &offer.job, now);
                    }
                    cancelled
                };
                self.notify_adopters(offer, rooms).await;
                if cancelled {
                    self.cancel_at(offer, rooms).await;
                }
            }
            Err(StoreError::Unanswered) => self.abandon(transfer),
            Err(_) => {
                self.metrics.retry("transfer_refused");
                self.lock().cell.undo_transfer(transfer, now);
            }
        }
        self.wake_records.notify_one();
        self.wake_workers.notify_one();
    }

    fn transfer_ops(&self, transfer: &Transfer) -> Vec<Op> {
        let number = self.draw();
        let state = self.lock();
        let mut ops = Vec::new();
        for shard in transfer.batch.shards() {
            let version = state.held.get(&shard).map_or(0, |held| held.version);
            ops.push(Op::check(ShardRow::key(&shard), version));
        }
        for write in &transfer.batch.writes {
            let key = Part::key(&write.shard, &write.job);
            ops.push(match &write.part {
                Some(part) => Op::put(key, serde_json::to_string(part).unwrap_or_default()),
                None => Op::delete(key),
            });
        }
        for (shard, part) in &transfer.incoming {
            let key = format!("{INCOMING_PREFIX}{shard}/{}/{number:016x}", part.job);
            ops.push(Op::create(
                key,
                serde_json::to_string(part).unwrap_or_default(),
            ));
        }
        ops
    }

    /// Writes a transfer; a lost reply is resolved by looking for its incoming rows.
    async fn write_transfer(&self, ops: Vec<Op>) -> Result<(), StoreError> {
        let incoming = ops
            .iter()
            .rev()
            .find(|op| op.key.starts_with(INCOMING_PREFIX));
        let marker = incoming.map(|op| op.key.clone()).unwrap_or_default();
        match self.platform.store.transact(ops).await {
            Ok(_) => Ok(()),
            Err(StoreError::Unanswered) => {
                let rows = self.platform.store.read(vec![marker]).await;
                match rows.map(|rows| rows.into_iter().next().flatten()) {
                    Ok(Some(_)) => Ok(()),
                    // The row may have been taken in and deleted already, or the
                    // write may still arrive: its fate stays open.
                    _ => Err(StoreError::Unanswered),
                }
            }
            Err(err) => Err(err),
        }
    }

    /// The fate of a transfer is open: the record decides, so it is read anew.
    ///
    /// Giving up the shards concerned and claiming them again is the one way that
    /// needs no case of its own: the next tenure starts from what is written.
    fn abandon(&self, transfer: &Transfer) {
        self.metrics.retry("transfer_unanswered");
        let mut state = self.lock();
        for shard in transfer.batch.shards() {
            self.end_tenure(&mut state, &shard, "shard_reloaded");
        }
    }

    async fn notify_adopters(&self, offer: &Offer, rooms: &[Room]) {
        for room in rooms {
            for shard in room.reserved.shards.keys() {
                let call = PeerCall::Adopt {
                    shard: shard.clone(),
                    job: offer.job.clone(),
                    reservation: room.reserved.id,
                };
                if self
                    .peers
                    .call(room.addr, call, PEER_TIMEOUT)
                    .await
                    .is_err()
                {
                    self.metrics.retry("adopt_unanswered");
                }
            }
        }
    }

    /// Passes on a cancellation that came while the tasks were on their way.
    async fn cancel_at(&self, offer: &Offer, rooms: &[Room]) {
        for room in rooms {
            let call = PeerCall::CancelJob(offer.job.clone());
            if self
                .peers
                .call(room.addr, call, PEER_TIMEOUT)
                .await
                .is_err()
            {
                self.metrics.retry("cancel_unanswered");
            }
        }
    }

    /// Takes in work that was moved here under a reservation of ours.
    pub async fn adopt_reserved(&self, shard: &str, job: &str, reservation: u64) {
        self.take_in(shard).await;
        let now = self.now();
        self.lock()
            .cell
            .use_reservation(reservation, shard, job, now);
        self.plan();
        self.wake_workers.notify_one();
    }
}

fn count_of(reserved: &Reserved) -> u32 {
    reserved.shards.values().sum()
}
