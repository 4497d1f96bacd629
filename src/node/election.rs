//! Finding out who owns the cell, and claiming it when its owner is gone.
//!
//! The owner tells of itself some times a second.  When it is silent, the others
//! compare what they heard; the first of those that reach the store claims the
//! row of ownership at its version, so only one claim of several succeeds.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::shared::{PARTITION, Shared};
use crate::rpc::node::{Beat, NodeCall, NodeReply};
use crate::store::{RowKey, StoreCall, StoreError, StoreReply, Table, Transaction, Version};

/// How often the owner tells of itself: a heartbeat costs its receiver some tens of
/// microseconds, and four may be missed before the owner is suspected.
const BEAT: Duration = Duration::from_millis(100);
/// How long a heartbeat may take.
const BEAT_TIMEOUT: Millis = 300;
/// How long the others' word on a silent owner is awaited: they are 3 ms away, and
/// whoever does not answer has no say.
const POLL_TIMEOUT: Millis = 80;
/// How often the others look whether the owner is silent.
const LOOK: Duration = Duration::from_millis(50);
/// An owner that was not heard for so long is suspected: four heartbeats.  Urgent
/// jobs have 0.9 s to spare, and a takeover takes some 150 ms more.
const SUSPECT: Millis = 400;
/// A node that heard the owner within this time speaks for it.
const VOUCH: Millis = 300;
/// A later candidate waits so long for each one before it: a claim takes 15 ms.
const RANK_PAUSE: Duration = Duration::from_millis(60);
/// What owning a cell of several hundred workers takes at its peak, in thousandths of a
/// core: 350 workers take 200 on an ordinary day.
const OWNER_MILLICORES: u32 = 250;
/// A node with less claims the cell later, by at most this: all nodes of a site start
/// within 300 ms, and those that start first do not know yet who else there is.
const WEAK_PAUSE: Millis = 500;
/// An owner gives the cell up to a node that has so many times its strength.
const STRONGER: u32 = 2;
/// It does so only if it has owned the cell for so long, since each change of owners stops
/// decisions for some 150 ms.
const LEAST_TERM: Millis = 3_000;
/// How long giving the cell up to a stronger node may take: one transaction.
const YIELD_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the cell is kept while the store cannot be told that it is given up:
/// nobody else can claim it meanwhile, and the process must end within 6 s.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How often a node writes where it is, until that succeeded.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Writes this node's address to the store and reads the others'.
pub async fn register(shared: Arc<Shared>) {
    let key = RowKey::new(Table::Nodes, PARTITION, &shared.name);
    let mut tx = Transaction::default();
    tx.puts.push((key, shared.address.to_string()));
    let mut written = false;
    loop {
        if !written {
            written = shared.store(StoreCall::Commit(tx.clone())).await.is_ok();
        }
        match crate::node::loading::list(&shared, Table::Nodes, PARTITION).await {
            Ok((rows, _)) => {
                let now = shared.now();
                for row in &rows {
                    shared
                        .members()
                        .relocate(&row.key, &row.value, &shared.name, now);
                }
                if written {
                    break;
                }
            }
            Err(err) => tracing::info!(%err, "nodes cannot be listed"),
        }
        tokio::time::sleep(REGISTER_RETRY).await;
    }
    tell_all(&shared, BEAT_TIMEOUT).await;
}

/// Tells the owner's heartbeats, or watches for them, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    // Seeds may be dark; nothing waits for them.
    tokio::spawn(greet_seeds(Arc::clone(&shared)));
    loop {
        if shared.engine().is_some() {
            tokio::time::sleep(BEAT).await;
            beat_as_owner(&shared).await;
            continue;
        }
        tokio::time::sleep(LOOK).await;
        let silence = shared.owner().silence(shared.now());
        if !shared.leaving() && silence > SUSPECT {
            consider_claim(&shared).await;
        }
    }
}

async fn greet_seeds(shared: Arc<Shared>) {
    let own = shared.address;
    let seeds = shared.seeds.iter().copied().filter(|seed| *seed != own);
    let beat = shared.beat();
    join_all(seeds.map(|seed| exchange(&shared, seed, beat.clone(), BEAT_TIMEOUT))).await;
}

/// Exchanges heartbeats with one node.
async fn exchange(
    shared: &Arc<Shared>,
    address: SocketAddr,
    beat: Beat,
    timeout: Millis,
) -> Option<Beat> {
    let call = NodeCall::Beat(beat);
    match shared.peers.call(address, call, timeout).await {
        Ok(NodeReply::Beat(beat)) => {
            shared.hear(&beat);
            Some(beat)
        }
        _ => None,
    }
}

/// Exchanges heartbeats with all nodes.
pub async fn tell_all(shared: &Arc<Shared>, timeout: Millis) -> Vec<Beat> {
    let addresses = shared.members().addresses();
    let beat = shared.beat();
    let exchanges = addresses
        .into_iter()
        .map(|(_, address)| exchange(shared, address, beat.clone(), timeout));
    join_all(exchanges).await.into_iter().flatten().collect()
}

async fn beat_as_owner(shared: &Arc<Shared>) {
    // The counts in a heartbeat go over all jobs, so it is made once for all nodes.
    let beat = shared.beat();
    let addresses = shared.members().addresses();
    for (_, address) in addresses {
        let shared = Arc::clone(shared);
        let beat = beat.clone();
        tokio::spawn(async move {
            let ends = beat.ends.clone();
            let answer = exchange(&shared, address, beat, BEAT_TIMEOUT).await;
            if let (Some(_), Some(engine)) = (answer, shared.engine()) {
                engine.ends_are_witnessed(&ends);
            }
        });
    }
    let now = shared.now();
    shared.members().forget_silent(now);
    if let Some(engine) = shared.engine() {
        engine.set_lanes();
        if is_outdone(shared, &engine, now) {
            shared.metrics.event("cell_yielded");
            give_up(shared, YIELD_TIMEOUT, "another node is stronger").await;
        }
    }
}

/// Tells whether another node that could claim the cell is far stronger than we are.
fn is_outdone(shared: &Shared, engine: &Engine, now: Millis) -> bool {
    let may_be_released = shared.reaches_store() && !shared.store_is_slow();
    if now.saturating_sub(engine.since) < LEAST_TERM || !may_be_released {
        return false;
    }
    let enough = STRONGER * shared.load.strength().max(1);
    shared
        .members()
        .iter()
        .filter(|(_, m)| m.reaches_store && !m.leaving)
        .filter(|(_, m)| now.saturating_sub(m.heard) < VOUCH)
        .any(|(_, m)| m.strength >= enough)
}

/// The owner is silent: claims the cell if most say so and nobody goes before us.
async fn consider_claim(shared: &Arc<Shared>) {
    let suspected = shared.owner().epoch;
    let beats = tell_all(shared, POLL_TIMEOUT).await;
    if shared.owner().silence(shared.now()) <= SUSPECT {
        return;
    }
    let epoch = shared.owner().epoch;
    let vouching = beats
        .iter()
        .filter(|beat| beat.epoch >= epoch && beat.owner_silence < VOUCH)
        .count();
    if vouching > 0 && vouching * 2 >= beats.len() {
        return;
    }
    let rank = rank_among(shared, &beats);
    let pause = RANK_PAUSE * rank + weak_pause(shared.load.strength());
    if stays_vacant(shared, epoch, pause).await {
        claim(shared, suspected).await;
    }
}

/// Waits, and tells whether nobody has been heard as the owner meanwhile.  One that has come
/// and gone leaves a vacancy of its own, in which the stronger nodes go first again.
async fn stays_vacant(shared: &Shared, epoch: u64, pause: Duration) -> bool {
    let mut left = pause;
    loop {
        let step = left.min(LOOK);
        tokio::time::sleep(step).await;
        left -= step;
        let now = shared.now();
        let vacant = {
            let owner = shared.owner();
            owner.epoch == epoch && owner.silence(now) > SUSPECT
        };
        if !vacant || left.is_zero() {
            return vacant;
        }
    }
}

/// How much later than others a node of this strength claims the cell.
fn weak_pause(strength: u32) -> Duration {
    let missing = OWNER_MILLICORES.saturating_sub(strength);
    Duration::from_millis(WEAK_PAUSE * u64::from(missing) / u64::from(OWNER_MILLICORES))
}

/// How many candidates go before us: stronger nodes that reach the store, and equal ones
/// of a lower name.
fn rank_among(shared: &Shared, beats: &[Beat]) -> u32 {
    let ours = (Reverse(shared.load.strength()), shared.name.as_str());
    let before = beats
        .iter()
        .filter(|beat| !beat.leaving && beat.reaches_store)
        .filter(|beat| (Reverse(beat.strength), beat.name.as_str()) < ours)
        .count() as u32;
    before + u32::from(!shared.reaches_store())
}

/// Claims the cell from its owner of the epoch `suspected`, unless somebody else just did.
async fn claim(shared: &Arc<Shared>, suspected: u64) {
    let Some((version, former)) = read_owner(shared).await else {
        tracing::info!("the row of ownership cannot be read");
        return;
    };
    if let Some(owner) = &former
        && owner.epoch > suspected
        && !owner.released
        && is_to_be_expected(shared, owner, suspected).await
    {
        let epoch = owner.epoch;
        tracing::info!(
            epoch,
            owner = owner.name,
            "another node has claimed the cell"
        );
        note_claim(shared, owner);
        return;
    }
    let claimed = OwnerRow {
        name: shared.name.clone(),
        address: shared.address.to_string(),
        boot: shared.boot,
        epoch: former.as_ref().map_or(0, |owner| owner.epoch) + 1,
        batch: 0,
        released: false,
    };
    let former = former.map(|owner| owner.name);
    tracing::info!(epoch = claimed.epoch, ?former, "cell is claimed");
    match write_claim(shared, &claimed, version).await {
        Some(version) => become_owner(shared, claimed.epoch, version).await,
        None => shared.metrics.event("claim_lost"),
    }
}

/// Reads the row of ownership with its version, which is zero if there is none; none if
/// the store does not answer.
async fn read_owner(shared: &Arc<Shared>) -> Option<(Version, Option<OwnerRow>)> {
    let call = StoreCall::row(Table::Cells, PARTITION, OWNER_KEY);
    let Ok(StoreReply::Rows { rows, .. }) = shared.store(call).await else {
        return None;
    };
    Some(match rows.first() {
        Some(row) => (row.version, OwnerRow::read(row)),
        None => (0, None),
    })
}

/// Tells whether the node that claimed the cell after the owner we know may soon be heard.
///
/// Another start of its process proves that it is over.  One that does not answer is
/// given time, but not by a node that has just started: an owner that lives would have
/// answered it by now, and nobody else has heard one.
async fn is_to_be_expected(shared: &Arc<Shared>, owner: &OwnerRow, suspected: u64) -> bool {
    if owner.name == shared.name {
        return owner.boot == shared.boot;
    }
    let Ok(address) = owner.address.parse() else {
        return true;
    };
    match exchange(shared, address, shared.beat(), BEAT_TIMEOUT).await {
        Some(beat) => beat.name != owner.name || beat.boot == owner.boot,
        None => suspected > 0,
    }
}

/// Gives the winner of another claim some time to be heard.
fn note_claim(shared: &Shared, row: &OwnerRow) {
    let now = shared.now();
    let address = row.address.parse().ok();
    shared.owner().expect(row.epoch, address, now);
}

/// Writes a claim; returns the version of the row if it is ours now.
async fn write_claim(shared: &Arc<Shared>, claim: &OwnerRow, version: Version) -> Option<Version> {
    let mut tx = Transaction::default();
    tx.expected.push((OwnerRow::key(), version));
    tx.puts.push((OwnerRow::key(), claim.write()));
    match shared.store(StoreCall::Commit(tx)).await {
        Ok(StoreReply::Committed(version)) => return Some(version),
        Ok(StoreReply::Conflict(_)) | Err(StoreError::Unanswered) => {}
        Ok(_) | Err(_) => return None,
    }
    // An earlier, unanswered try may have taken effect.
    let (version, owner) = read_owner(shared).await?;
    let owner = owner?;
    if owner == *claim {
        return Some(version);
    }
    note_claim(shared, &owner);
    None
}

async fn become_owner(shared: &Arc<Shared>, epoch: u64, version: Version) {
    shared.metrics.event("claimed");
    let now = shared.now();
    shared.owner().hear(epoch, Some(shared.address), now);
    match Engine::start(shared, epoch, version).await {
        Ok(engine) => {
            if shared.owner().epoch > epoch {
                engine.retire("a higher epoch was heard of while loading");
                return;
            }
            shared.set_engine(Some(Arc::clone(&engine)));
            engine.configure();
            engine.set_lanes();
            beat_as_owner(shared).await;
        }
        Err(err) => {
            tracing::warn!(%err, epoch, "the cell cannot be loaded");
            shared.owner().forget();
        }
    }
}

/// Gives the cell up before the process ends, so that another takes it at once.
pub async fn hand_over(shared: &Arc<Shared>) {
    give_up(shared, RELEASE_TIMEOUT, "the process is about to end").await;
}

/// Writes within `limit` that the cell is free, if it is ours, and tells the others.
///
/// The engine goes on working until this is written, or the time is over.  A transaction
/// without an answer may yet take effect, with what it was to record, so the ownership is
/// over in any case.
async fn give_up(shared: &Arc<Shared>, limit: Duration, reason: &'static str) {
    if let Some(engine) = shared.engine() {
        let released = tokio::time::timeout(limit, engine.record_once(true)).await;
        tracing::info!(
            epoch = engine.epoch,
            reason,
            released = released.is_ok(),
            late_ms = shared.load.late(),
            "cell is given up"
        );
        engine.retire(reason);
    }
    {
        let mut owner = shared.owner();
        if owner.address == Some(shared.address) {
            owner.forget();
        }
    }
    tell_all(shared, BEAT_TIMEOUT).await;
}
