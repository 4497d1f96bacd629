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
use tokio::task::JoinHandle;

use crate::cell::tuning;
use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::node::heartbeat::{self, BEAT_TIMEOUT};
use crate::node::loading;
use crate::node::members::{self, Source};
use crate::node::owner;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::shared::{NODES_PARTITION, PARTITION, Shared};
use crate::rpc::node::{Beat, NodeCall, NodeReply};
use crate::store::{self, RowKey, StoreCall, StoreError, StoreReply, Table, Transaction, Version};

/// How long the others' word on a silent owner is awaited: they are 3 ms away, and
/// whoever does not answer has no say.
const POLL_TIMEOUT: Millis = 80;
/// How often the others look whether the owner is silent.
const LOOK: Duration = Duration::from_millis(50);
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
/// So often a claim is written again if the former owner has written the row meanwhile: it
/// has at most two transactions on their way, one of them through another node.
const CLAIM_TRIES: usize = 3;
/// How often the row of ownership is read while the answer to a claim is awaited: one comes
/// after 4 ms, or after 0.5 s from a store that is 77 times slower.
const CLAIM_LOOK: Duration = Duration::from_millis(200);
/// How often a node that claims the cell tells of it.
const TELL: Duration = Duration::from_millis(owner::HEARTBEAT_INTERVAL);
/// A claim that takes longer has come to nothing: others try as well.
const CLAIM_LIMIT: Millis = 2_500;
/// So many samples are asked one after the other while none of them answers: the nodes that
/// watch the owner may all be lost with it.
const MOST_SAMPLES: usize = 4;
/// Nodes that do not watch the owner closely claim the cell at different times within this
/// one, so that not all of them write a claim at once.
const OTHERS_SPREAD: Millis = 400;
/// How often a node writes where it is, until that succeeded.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Writes to the store where this node is, and reads where the others are.
///
/// A node that starts again where it was writes nothing: one partition takes few transactions, and
/// after the loss of all nodes they would all wait for one another's.
pub async fn register(shared: Arc<Shared>) {
    let own = store::encode(&shared.row());
    let key = RowKey::new(Table::Nodes, NODES_PARTITION, &shared.name);
    let mut tx = Transaction::default();
    tx.puts.push((key, own.clone()));
    let mut written = is_registered(&shared, &own).await;
    loop {
        if !written {
            let call = StoreCall::Commit(tx.clone());
            written = shared.store_unhurried(call).await.is_ok();
        }
        if list_nodes(&shared).await && written {
            break;
        }
        tokio::time::sleep(REGISTER_RETRY).await;
    }
    greet(&shared).await;
}

/// Tells whether the store has this row of ours already.
async fn is_registered(shared: &Arc<Shared>, own: &str) -> bool {
    let call = StoreCall::row(Table::Nodes, NODES_PARTITION, &shared.name);
    match shared.store(call).await {
        Ok(StoreReply::Rows { rows, .. }) => rows.iter().any(|row| row.value == own),
        _ => false,
    }
}

/// Reads from the store where other nodes are; false if it does not answer.
async fn list_nodes(shared: &Arc<Shared>) -> bool {
    let rows = match loading::list(shared, Table::Nodes, NODES_PARTITION).await {
        Ok((rows, _)) => rows,
        Err(err) => {
            tracing::info!(%err, "nodes cannot be listed");
            return false;
        }
    };
    let now = shared.now();
    for row in &rows {
        match serde_json::from_str(&row.value) {
            Ok(node) => shared
                .members()
                .add(&row.key, node, Source::Authoritative, now),
            Err(err) => tracing::warn!(%err, name = row.key, "a node's row cannot be read"),
        }
    }
    // One line for all of them: 147 nodes that start at once would write 21,000.
    let nodes = shared.members().iter().count() + 1;
    tracing::info!(rows = rows.len(), nodes, "nodes listed");
    true
}

/// Tells the owner's heartbeats, or watches for them, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    // Seeds may be dark; nothing waits for them.
    tokio::spawn(greet_seeds(Arc::clone(&shared)));
    loop {
        if shared.engine().is_some() {
            heartbeat::run(&shared).await;
            continue;
        }
        tokio::time::sleep(LOOK).await;
        let suspect = shared.owner().is_suspect(shared.now());
        if !shared.leaving() && suspect {
            consider_claim(&shared).await;
        }
    }
}

async fn greet_seeds(shared: Arc<Shared>) {
    let own = shared.address;
    let seeds = shared.seeds.iter().copied().filter(|seed| *seed != own);
    let beats = ask(&shared, seeds.collect(), BEAT_TIMEOUT).await;
    find_owner(&shared, &beats).await;
}

/// Tells a node's presence to the owner, and to those that may own the cell next: the owner
/// tells everybody else.
async fn greet(shared: &Arc<Shared>) {
    let watchers = shared.members().first_candidates();
    let beats = ask(shared, watchers, BEAT_TIMEOUT).await;
    find_owner(shared, &beats).await;
}

/// Greets the owner that others know and we have not heard.
async fn find_owner(shared: &Arc<Shared>, beats: &[Beat]) {
    let epoch = {
        let owner = shared.owner();
        if !owner.is_suspect(shared.now()) {
            return;
        }
        owner.epoch
    };
    let hint = beats
        .iter()
        .filter(|beat| beat.epoch >= epoch && !beat.owner.is_empty())
        .max_by_key(|beat| (beat.epoch, Reverse(beat.owner_silence)));
    let Some(address) = hint.and_then(|beat| beat.owner.parse().ok()) else {
        return;
    };
    if address != shared.address {
        exchange(shared, address, shared.beat(), BEAT_TIMEOUT).await;
    }
}

/// Exchanges heartbeats with one node.
pub(super) async fn exchange(
    shared: &Arc<Shared>,
    address: SocketAddr,
    beat: Beat,
    timeout: Millis,
) -> Option<Beat> {
    let call = NodeCall::Beat(beat);
    let asked = shared.now();
    match shared.peers.call(address, call, timeout).await {
        Ok(NodeReply::Beat(beat)) => {
            shared.hear(&beat);
            shared.members().note_store_answer(&beat.name, asked);
            Some(*beat)
        }
        _ => None,
    }
}

/// Exchanges heartbeats with these nodes.
async fn ask(shared: &Arc<Shared>, addresses: Vec<SocketAddr>, timeout: Millis) -> Vec<Beat> {
    let beat = shared.beat();
    let exchanges = addresses
        .into_iter()
        .map(|address| exchange(shared, address, beat.clone(), timeout));
    join_all(exchanges).await.into_iter().flatten().collect()
}

/// What an owner looks at some times a second beside its heartbeats.
pub(super) async fn review_ownership(shared: &Arc<Shared>) {
    let Some(engine) = shared.engine() else {
        return;
    };
    engine.set_lanes();
    if is_outdone(shared, &engine, shared.now()) {
        shared.metrics.event("cell_yielded");
        give_up(shared, YIELD_TIMEOUT, "another node is stronger").await;
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
///
/// Weak nodes wait before they even ask, so a cell with strong ones has an owner again
/// without their calls; whoever asks, asks a bounded number of nodes.
async fn consider_claim(shared: &Arc<Shared>) {
    let suspected = shared.owner().epoch;
    let pause = weak_pause(shared.load.strength());
    if !pause.is_zero() && !stays_vacant(shared, suspected, pause).await {
        return;
    }
    let beats = ask_candidates(shared).await;
    if !shared.owner().is_suspect(shared.now()) {
        return;
    }
    let epoch = shared.owner().epoch;
    let vouching = beats
        .iter()
        .filter(|beat| beat.epoch >= epoch && beat.owner_silence < VOUCH)
        .count();
    if vouching > 0 && vouching * 2 >= beats.len() {
        find_owner(shared, &beats).await;
        return;
    }
    let pause = RANK_PAUSE * rank_among(shared, &beats) + others_pause(shared);
    if stays_vacant(shared, epoch, pause).await {
        let _telling = Telling::start(shared);
        claim(shared, suspected).await;
    }
}

/// Tells the nodes that may claim the cell as well that this one does, until it is dropped.
///
/// All claims wait for one another in one partition of the store.  On a store that is 77 times
/// slower, with all strong nodes killed, 14 claims took 4.4 s, and 1,868 runs lost their leases
/// (docs/incidents/late-claims.md).
struct Telling {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Telling {
    fn start(shared: &Arc<Shared>) -> Self {
        shared.set_claiming(true);
        let task = tokio::spawn(tell_of_claim(Arc::clone(shared)));
        Self {
            shared: Arc::clone(shared),
            task,
        }
    }
}

impl Drop for Telling {
    fn drop(&mut self) {
        self.shared.set_claiming(false);
        self.task.abort();
    }
}

async fn tell_of_claim(shared: Arc<Shared>) {
    let until = shared.now() + CLAIM_LIMIT;
    while shared.now() < until {
        let watchers = shared.members().first_candidates();
        tokio::spawn({
            let shared = Arc::clone(&shared);
            async move { ask(&shared, watchers, POLL_TIMEOUT).await }
        });
        tokio::time::sleep(TELL).await;
    }
    shared.set_claiming(false);
}

/// Asks those that watch the owner closely; if none of them answers, some others.
async fn ask_candidates(shared: &Arc<Shared>) -> Vec<Beat> {
    let candidates = shared.members().candidates();
    for sample in candidates.chunks(members::WATCHERS).take(MOST_SAMPLES) {
        let beats = ask(shared, sample.to_vec(), POLL_TIMEOUT).await;
        if !beats.is_empty() {
            return beats;
        }
    }
    Vec::new()
}

/// How much later than those that watch the owner closely a node claims the cell.
fn others_pause(shared: &Shared) -> Duration {
    if shared.members().watches(&shared.name) {
        return Duration::ZERO;
    }
    Duration::from_millis(members::name_hash(&shared.name) % OTHERS_SPREAD)
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
            owner.epoch == epoch && owner.is_suspect(now)
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
        epoch: tuning::next_epoch(former.as_ref().map_or(0, |owner| owner.epoch)),
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
/// the store does not answer, or the row is there and cannot be read: a claim over it would begin
/// again at the first epoch, which workers refuse and whose run numbers they have seen.
async fn read_owner(shared: &Arc<Shared>) -> Option<(Version, Option<OwnerRow>)> {
    let call = StoreCall::row(Table::Cells, PARTITION, OWNER_KEY);
    let Ok(StoreReply::Rows { rows, .. }) = shared.store(call).await else {
        return None;
    };
    match rows.first() {
        Some(row) => Some((row.version, Some(OwnerRow::read(row)?))),
        None => Some((0, None)),
    }
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
    shared.owner().await_claimant(row.epoch, address, now);
}

/// What became of one write of a claim.
enum Claimed {
    /// The row is ours, at this version.
    Ours(Version),
    /// The former owner has written the row once more, at this version: what it sent before its
    /// end may take effect later.
    Behind(Version),
    /// Another node was first, or nothing is known.
    Lost,
}

/// Writes a claim; returns the version of the row if it is ours now.
async fn write_claim(
    shared: &Arc<Shared>,
    claim: &OwnerRow,
    mut version: Version,
) -> Option<Version> {
    for _ in 0..CLAIM_TRIES {
        match try_claim(shared, claim, version).await {
            Claimed::Ours(version) => return Some(version),
            Claimed::Behind(newer) if shared.owner().is_silent(shared.now()) => version = newer,
            Claimed::Behind(_) | Claimed::Lost => return None,
        }
    }
    None
}

async fn try_claim(shared: &Arc<Shared>, claim: &OwnerRow, version: Version) -> Claimed {
    let mut tx = Transaction::default();
    tx.expected.push((OwnerRow::key(), version));
    tx.puts.push((OwnerRow::key(), claim.write()));
    let writing = shared.store_unhurried(StoreCall::Commit(tx));
    let reply = tokio::select! {
        reply = writing => reply,
        () = until_claimed(shared, claim) => Err(StoreError::Unanswered),
    };
    tracing::info!(epoch = claim.epoch, ?reply, "answer to the claim");
    let found = match reply {
        Ok(StoreReply::Committed(version)) => return Claimed::Ours(version),
        Ok(StoreReply::Conflict(rows)) => {
            let row = rows.iter().find(|row| row.key == OWNER_KEY);
            row.and_then(|row| Some((row.version, OwnerRow::read(row)?)))
        }
        // It may have taken effect.
        Err(StoreError::Unanswered) => match read_owner(shared).await {
            Some((version, Some(owner))) => Some((version, owner)),
            _ => None,
        },
        Ok(_) | Err(_) => None,
    };
    match found {
        Some((version, owner)) if owner == *claim => Claimed::Ours(version),
        Some((version, owner)) if owner.epoch < claim.epoch => Claimed::Behind(version),
        Some((_, owner)) => {
            note_claim(shared, &owner);
            Claimed::Lost
        }
        None => Claimed::Lost,
    }
}

/// Waits until the row of ownership shows a claim of this epoch, ours or another's.  The answer
/// to a claim may be lost, and a second claim would only wait behind the first one.
async fn until_claimed(shared: &Arc<Shared>, claim: &OwnerRow) {
    loop {
        tokio::time::sleep(CLAIM_LOOK).await;
        if let Some((_, Some(owner))) = read_owner(shared).await
            && owner.epoch >= claim.epoch
        {
            return;
        }
    }
}

async fn become_owner(shared: &Arc<Shared>, epoch: u64, version: Version) {
    shared.metrics.event("claimed");
    let now = shared.now();
    shared
        .owner()
        .note_heartbeat(epoch, Some(shared.address), now);
    // Nodes that started a moment ago may have told nobody but the store so far.
    tokio::spawn({
        let shared = Arc::clone(shared);
        async move { list_nodes(&shared).await }
    });
    match Engine::start(shared, epoch, version).await {
        Ok(engine) => {
            if shared.owner().epoch > epoch {
                engine.retire("a higher epoch was heard of while loading");
                return;
            }
            shared.set_engine(Some(Arc::clone(&engine)));
            engine.configure();
            engine.set_lanes();
        }
        Err(err) => {
            tracing::warn!(%err, epoch, "the cell cannot be loaded");
            shared.owner().clear();
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
    let engine = shared.engine();
    let owned = engine.is_some();
    if let Some(engine) = engine {
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
            owner.clear();
        }
    }
    tell_of_end(shared, owned).await;
}

/// Tells all nodes that the cell is free, or, if it was not ours, those that may need to know
/// that we are about to end.
async fn tell_of_end(shared: &Arc<Shared>, owned: bool) {
    let addresses = if owned {
        shared.members().candidates()
    } else {
        let mut addresses = shared.members().first_candidates();
        addresses.extend(shared.owner().address);
        addresses
    };
    ask(shared, addresses, BEAT_TIMEOUT).await;
}
