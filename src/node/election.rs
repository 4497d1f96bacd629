//! Finds out who owns the cell, and claims it when its owner is lost.
//!
//! The owner sends heartbeats several times a second.  When it is silent, the other nodes ask one
//! another whether anyone still hears it.  If not, the first candidate that reaches the store
//! claims the cell: it rewrites the ownership row, expecting the version that it has read, so only
//! one of several claims succeeds.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::task::JoinHandle;

use crate::cell::tuning;
use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::node::heartbeat::{self, HEARTBEAT_TIMEOUT};
use crate::node::load::{Load, OWNER_MILLICORES};
use crate::node::loading;
use crate::node::members::{self, Source};
use crate::node::owner;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::shared::{CELL_PARTITION, NODES_PARTITION, Shared};
use crate::node::succession::FormerOwners;
use crate::rpc::node::{Heartbeat, NodeCall, NodeReply};
use crate::store::{self, RowKey, StoreCall, StoreError, StoreReply, Table, Transaction, Version};

/// Time limit for other nodes to report whether they hear a silent owner, in milliseconds.  They
/// are 3 ms away; nodes that do not answer are not counted.
const POLL_TIMEOUT: Millis = 80;
/// How often a node checks whether the owner is silent.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A node that heard the owner within this time, in milliseconds, vouches for it.
const VOUCH_WINDOW: Millis = 300;
/// How long a candidate waits for each one that goes before it: a claim takes 15 ms.
const RANK_DELAY: Duration = Duration::from_millis(60);
/// The longest time, in milliseconds, by which a node that can spend less than [`OWNER_MILLICORES`]
/// delays its claim.  All nodes of a site start within 300 ms, and those that start first do not
/// know the others yet.
const MAX_WEAKNESS_DELAY: Millis = 500;
/// An owner that is not overloaded gives the cell up to a node that has at least this many times its
/// strength.
const STRENGTH_RATIO: u32 = 2;
/// An owner gives the cell up to a stronger node only after it has owned the cell for this long, in
/// milliseconds, since each change of owners stops scheduling for some 150 ms.
const MIN_TERM: Millis = 3_000;
/// Time limit for giving the cell up to a stronger node, which takes one transaction.
const YIELD_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a process that shuts down keeps the cell while the release cannot be written to the
/// store.  No other node can claim the cell meanwhile, and the process must end within 6 s.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How many times a claim is written if the former owner has written the ownership row meanwhile.
/// At most two of its transactions are in flight, one of them through a peer.
const CLAIM_ATTEMPTS: usize = 3;
/// How often the ownership row is read while the answer to a claim is awaited.  The answer takes
/// 4 ms, or 0.5 s from a store that is 77 times slower.
const CLAIM_POLL: Duration = Duration::from_millis(200);
/// How often a node announces that it is claiming the cell.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(owner::HEARTBEAT_INTERVAL);
/// A claim is announced for at most this long, in milliseconds: one that takes longer has failed,
/// and other nodes should try as well.
const ANNOUNCE_LIMIT: Millis = 2_500;
/// How many groups of nodes are asked about the owner, one after the other, while none answers: all
/// watchers may be lost together with the owner.
const MAX_SAMPLES: usize = 4;
/// Nodes that are not watchers delay their claims by different times below this one, in
/// milliseconds, so that they do not all write a claim at once.
const NON_WATCHER_SPREAD: Millis = 400;
/// How often a node tries to write its own row, until that succeeds.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Writes the row of this node to the store, and reads those of the other nodes.
///
/// A node that restarts with the same address and capacity writes nothing.  One partition accepts
/// few transactions at a time, so after the loss of all nodes their writes would delay one another.
pub async fn register(shared: Arc<Shared>) {
    let own = store::encode(&shared.row());
    let key = RowKey::new(Table::Nodes, NODES_PARTITION, &shared.name);
    let mut tx = Transaction::default();
    tx.puts.push((key, own.clone()));
    let mut written = is_registered(&shared, &own).await;
    loop {
        if !written {
            let call = StoreCall::Commit(tx.clone());
            written = shared.store_without_timeout(call).await.is_ok();
        }
        if list_nodes(&shared).await && written {
            break;
        }
        tokio::time::sleep(REGISTER_RETRY).await;
    }
    announce(&shared).await;
}

/// Returns whether the row of this node is in the store already, with the value `own`.
async fn is_registered(shared: &Arc<Shared>, own: &str) -> bool {
    let call = StoreCall::row(Table::Nodes, NODES_PARTITION, &shared.name);
    match shared.store(call).await {
        Ok(StoreReply::Rows { rows, .. }) => rows.iter().any(|row| row.value == own),
        _ => false,
    }
}

/// Reads the rows of the other nodes from the store; false if that fails.
async fn list_nodes(shared: &Arc<Shared>) -> bool {
    let rows = match loading::list(shared, Table::Nodes, NODES_PARTITION).await {
        Ok((rows, _)) => rows,
        Err(err) => {
            tracing::info!(%err, "cannot list nodes");
            return false;
        }
    };
    let now = shared.now();
    for row in &rows {
        match serde_json::from_str(&row.value) {
            Ok(node) => shared
                .members()
                .add(&row.key, node, Source::Authoritative, now),
            Err(err) => tracing::warn!(%err, name = row.key, "cannot parse the row of a node"),
        }
    }
    // One log line for all nodes: with a line for each, 147 nodes that start at once would write
    // 21,000.
    let nodes = shared.members().iter().count() + 1;
    tracing::info!(rows = rows.len(), nodes, "nodes listed");
    true
}

/// Sends the owner's heartbeats, or watches for them and claims the cell when they stop, until the
/// process ends.
pub async fn run(shared: Arc<Shared>) {
    // Seeds may be unreachable, so this does not wait for their answers.
    tokio::spawn(announce_to_seeds(Arc::clone(&shared)));
    loop {
        if shared.engine().is_some() {
            heartbeat::run(&shared).await;
            continue;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        let suspect = shared.owner().is_suspect(shared.now());
        if !shared.is_leaving() && suspect {
            consider_claim(&shared).await;
        }
    }
}

async fn announce_to_seeds(shared: Arc<Shared>) {
    let own = shared.address;
    let seeds = shared.seeds.iter().copied().filter(|seed| *seed != own);
    let beats = exchange_all(&shared, seeds.collect(), HEARTBEAT_TIMEOUT).await;
    find_owner(&shared, &beats).await;
}

/// Announces this node to those that may own the cell next, and to the owner if they know it.  The
/// owner then informs all other nodes.
async fn announce(shared: &Arc<Shared>) {
    let watchers = shared.members().first_candidates();
    let beats = exchange_all(shared, watchers, HEARTBEAT_TIMEOUT).await;
    find_owner(shared, &beats).await;
}

/// Exchanges heartbeats with the owner that other nodes report, if this node has not heard it.
async fn find_owner(shared: &Arc<Shared>, beats: &[Heartbeat]) {
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
        exchange(shared, address, shared.heartbeat(), HEARTBEAT_TIMEOUT).await;
    }
}

/// Exchanges heartbeats with one node.  Returns its heartbeat, or none if it did not answer within
/// `timeout` milliseconds.
pub(super) async fn exchange(
    shared: &Arc<Shared>,
    address: SocketAddr,
    beat: Heartbeat,
    timeout: Millis,
) -> Option<Heartbeat> {
    let call = NodeCall::Beat(Box::new(beat));
    let asked = shared.now();
    match shared.peers.call(address, call, timeout).await {
        Ok(NodeReply::Beat(beat)) => {
            shared.apply_heartbeat(&beat);
            shared.members().note_store_answer(&beat.name, asked);
            Some(*beat)
        }
        _ => None,
    }
}

/// Exchanges heartbeats with these nodes, and returns those of the nodes that answered.
async fn exchange_all(
    shared: &Arc<Shared>,
    addresses: Vec<SocketAddr>,
    timeout: Millis,
) -> Vec<Heartbeat> {
    let beat = shared.heartbeat();
    let exchanges = addresses
        .into_iter()
        .map(|address| exchange(shared, address, beat.clone(), timeout));
    join_all(exchanges).await.into_iter().flatten().collect()
}

/// Checks that the owner performs several times a second beside its heartbeats: updates which
/// nodes' connections to the advice service can be used, looks whether former owners have stopped,
/// and gives the cell up if another node is far stronger.
pub(super) async fn review_ownership(shared: &Arc<Shared>) {
    let Some(engine) = shared.engine() else {
        return;
    };
    engine.set_lanes();
    engine.review_succession();
    if let Some(reason) = reason_to_yield(shared, &engine, shared.now()) {
        shared.metrics.event("cell_yielded");
        give_up(shared, YIELD_TIMEOUT, reason).await;
    }
}

/// Returns why this owner should give the cell up, if another node that could claim it is so much
/// stronger.  Not before [`MIN_TERM`] has passed, and not while this node does not reach the store or
/// the store is slow, as the release could not be written quickly then.
///
/// A full link makes the store look slow as well, and does not become less full by waiting.
fn reason_to_yield(shared: &Shared, engine: &Engine, now: Millis) -> Option<&'static str> {
    let yields_for_link = yields_for_link(&shared.load);
    let may_be_released = shared.reaches_store() && (yields_for_link || !shared.store_is_slow());
    if now.saturating_sub(engine.held_since) < MIN_TERM || !may_be_released {
        return None;
    }
    let enough = enough_strength(&shared.load);
    let is_outdone = shared
        .members()
        .iter()
        .filter(|(_, m)| m.reaches_store && !m.leaving)
        .filter(|(_, m)| now.saturating_sub(m.last_heard) < VOUCH_WINDOW)
        .any(|(_, m)| m.strength >= enough);
    let reason = if shared.load.is_behind() {
        "another node is stronger, and turns come late"
    } else if yields_for_link {
        "another node is stronger, and the link is full"
    } else {
        "another node is stronger"
    };
    is_outdone.then_some(reason)
}

/// Returns whether an owner gives the cell up to any stronger node, since its link is full.  Not a
/// second time while it remembers the first: it has the cell again because no other node took it.
fn yields_for_link(load: &Load) -> bool {
    load.is_link_full() && !load.remembers_full_link() && !load.is_behind()
}

/// The strength from which on another node should own the cell rather than a node with this load.
///
/// A node whose turns come late can hardly act at all.  One whose link is full makes way only for a
/// node that can do more than itself when idle: among nodes with equal links, another owner would
/// soon be where this one is.
fn enough_strength(load: &Load) -> u32 {
    if load.is_behind() {
        STRENGTH_RATIO
    } else if yields_for_link(load) {
        load.capacity().saturating_add(1)
    } else {
        load.capacity().saturating_mul(STRENGTH_RATIO)
    }
}

/// Claims the cell of a silent owner, unless at least half of the nodes that answer vouch for it or
/// a candidate of better rank claims it first.
///
/// Weak nodes wait before they even ask, so that a cell with strong nodes has an owner again
/// without their calls.  A node that asks calls a bounded number of others.
async fn consider_claim(shared: &Arc<Shared>) {
    let suspected = shared.owner().epoch;
    let delay = weakness_delay(shared.load.strength());
    if !delay.is_zero() && !stays_vacant(shared, suspected, delay).await {
        return;
    }
    let beats = ask_candidates(shared).await;
    if !shared.owner().is_suspect(shared.now()) {
        return;
    }
    let (epoch, window) = {
        let owner = shared.owner();
        (owner.epoch, VOUCH_WINDOW + owner.extra_interval())
    };
    let vouching = beats
        .iter()
        .filter(|beat| beat.epoch >= epoch && beat.owner_silence < window)
        .count();
    if vouching > 0 && vouching * 2 >= beats.len() {
        find_owner(shared, &beats).await;
        return;
    }
    let delay = RANK_DELAY * rank_among(shared, &beats) + non_watcher_delay(shared);
    if stays_vacant(shared, epoch, delay).await {
        let _announcement = ClaimAnnouncement::start(shared);
        claim(shared, suspected).await;
    }
}

/// Announces to the nodes that may claim the cell as well that this one is claiming it, until the
/// guard is dropped.
///
/// All claims are written to one partition of the store, so they delay one another.  On a store
/// that is 77 times slower, with all strong nodes killed, 14 claims took 4.4 s, and 1,868 runs lost
/// their leases (docs/incidents/late-claims.md).
struct ClaimAnnouncement {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl ClaimAnnouncement {
    fn start(shared: &Arc<Shared>) -> Self {
        shared.set_claiming(true);
        let task = tokio::spawn(announce_claim(Arc::clone(shared)));
        Self {
            shared: Arc::clone(shared),
            task,
        }
    }
}

impl Drop for ClaimAnnouncement {
    fn drop(&mut self) {
        self.shared.set_claiming(false);
        self.task.abort();
    }
}

async fn announce_claim(shared: Arc<Shared>) {
    let until = shared.now() + ANNOUNCE_LIMIT;
    while shared.now() < until {
        let watchers = shared.members().first_candidates();
        tokio::spawn({
            let shared = Arc::clone(&shared);
            async move { exchange_all(&shared, watchers, POLL_TIMEOUT).await }
        });
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
    shared.set_claiming(false);
}

/// Exchanges heartbeats with the watchers; if none of them answers, with some other nodes.
async fn ask_candidates(shared: &Arc<Shared>) -> Vec<Heartbeat> {
    let candidates = shared.members().candidates();
    for sample in candidates.chunks(members::WATCHERS).take(MAX_SAMPLES) {
        let beats = exchange_all(shared, sample.to_vec(), POLL_TIMEOUT).await;
        if !beats.is_empty() {
            return beats;
        }
    }
    Vec::new()
}

/// How much later than the watchers this node claims the cell.
fn non_watcher_delay(shared: &Shared) -> Duration {
    if shared.members().watches(&shared.name) {
        return Duration::ZERO;
    }
    Duration::from_millis(members::name_hash(&shared.name) % NON_WATCHER_SPREAD)
}

/// Waits for `delay`, and tells whether no owner was heard meanwhile.  After an owner that has come
/// and gone meanwhile the epoch differs, and the delays start over, so that stronger nodes go first
/// again.
async fn stays_vacant(shared: &Shared, epoch: u64, delay: Duration) -> bool {
    let mut left = delay;
    loop {
        let step = left.min(POLL_INTERVAL);
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

/// How much later than a node of sufficient strength one of this strength claims the cell.
fn weakness_delay(strength: u32) -> Duration {
    let missing = OWNER_MILLICORES.saturating_sub(strength);
    Duration::from_millis(MAX_WEAKNESS_DELAY * u64::from(missing) / u64::from(OWNER_MILLICORES))
}

/// The number of candidates that go before this node: those that reach the store and are stronger,
/// or as strong with a lower name.  A node that does not reach the store directly waits one place
/// longer.
fn rank_among(shared: &Shared, beats: &[Heartbeat]) -> u32 {
    let ours = (Reverse(shared.load.strength()), shared.name.as_str());
    let before = beats
        .iter()
        .filter(|beat| !beat.leaving && beat.reaches_store)
        .filter(|beat| (Reverse(beat.strength), beat.name.as_str()) < ours)
        .count() as u32;
    before + u32::from(!shared.reaches_store())
}

/// Claims the cell from its owner of the epoch `suspected`, unless another node has just claimed
/// it.
async fn claim(shared: &Arc<Shared>, suspected: u64) {
    let Some((version, former)) = read_owner(shared).await else {
        tracing::info!("cannot read the ownership row");
        return;
    };
    if let Some(owner) = &former
        && owner.epoch > suspected
        && !owner.released
        && may_claimant_be_alive(shared, owner, suspected).await
    {
        let epoch = owner.epoch;
        tracing::info!(
            epoch,
            owner = owner.name,
            "another node has claimed the cell"
        );
        await_winner(shared, owner);
        return;
    }
    let former_owners = FormerOwners::before_claim(former.as_ref(), &shared.address.to_string());
    let former_asks = former.as_ref().is_some_and(|owner| owner.asks_consent);
    let claimed = OwnerRow {
        name: shared.name.clone(),
        address: shared.address.to_string(),
        boot: shared.boot,
        epoch: tuning::next_epoch(former.as_ref().map_or(0, |owner| owner.epoch)),
        batch: 0,
        released: false,
        asks_consent: former_owners.is_none() || former_asks,
        former_owners,
    };
    let former = former.map(|owner| owner.name);
    tracing::info!(epoch = claimed.epoch, ?former, "cell is claimed");
    match write_claim(shared, &claimed, version).await {
        Some(version) => become_owner(shared, claimed.epoch, version).await,
        None => shared.metrics.event("claim_lost"),
    }
}

/// Reads the ownership row with its version, which is zero if there is no row.
///
/// Returns none if the store does not answer, or if the row cannot be parsed.  A claim over such a
/// row would start again at the first epoch, which workers refuse, and repeat run numbers that they
/// have seen.
async fn read_owner(shared: &Arc<Shared>) -> Option<(Version, Option<OwnerRow>)> {
    let call = StoreCall::row(Table::Cells, CELL_PARTITION, OWNER_KEY);
    let Ok(StoreReply::Rows { rows, .. }) = shared.store(call).await else {
        return None;
    };
    match rows.first() {
        Some(row) => Some((row.version, Some(OwnerRow::read(row)?))),
        None => Some((0, None)),
    }
}

/// Returns whether the node that claimed the cell after the known owner may still be heard as the
/// owner.
///
/// If its process has restarted since, it is not.  A node that does not answer is given time, but
/// not by a node that has just started and knows no epoch: an owner that is alive would have
/// answered it by now, and no other node has heard one.
async fn may_claimant_be_alive(shared: &Arc<Shared>, owner: &OwnerRow, suspected: u64) -> bool {
    if owner.name == shared.name {
        return owner.boot == shared.boot;
    }
    let Ok(address) = owner.address.parse() else {
        return true;
    };
    match exchange(shared, address, shared.heartbeat(), HEARTBEAT_TIMEOUT).await {
        Some(beat) => beat.name != owner.name || beat.boot == owner.boot,
        None => suspected > 0,
    }
}

/// Gives the node that has won the cell some time to load it.
fn await_winner(shared: &Shared, row: &OwnerRow) {
    let now = shared.now();
    let address = row.address.parse().ok();
    shared.owner().await_claimant(row.epoch, address, now);
}

/// The result of writing a claim once.
enum ClaimResult {
    /// This node owns the cell; the row has this version.
    Ours(Version),
    /// The former owner has written the row once more, at this version: a transaction that it sent
    /// before it was lost may take effect later.
    Outdated(Version),
    /// Another node has claimed the cell, or the result is unknown.
    Lost,
}

/// Writes a claim; returns the version of the ownership row if this node owns the cell now.
async fn write_claim(
    shared: &Arc<Shared>,
    claim: &OwnerRow,
    mut version: Version,
) -> Option<Version> {
    for _ in 0..CLAIM_ATTEMPTS {
        match try_claim(shared, claim, version).await {
            ClaimResult::Ours(version) => return Some(version),
            ClaimResult::Outdated(newer) if shared.owner().is_silent(shared.now()) => {
                version = newer
            }
            ClaimResult::Outdated(_) | ClaimResult::Lost => return None,
        }
    }
    None
}

async fn try_claim(shared: &Arc<Shared>, claim: &OwnerRow, version: Version) -> ClaimResult {
    let mut tx = Transaction::default();
    tx.expected.push((OwnerRow::key(), version));
    tx.puts.push((OwnerRow::key(), claim.write()));
    let writing = shared.store_without_timeout(StoreCall::Commit(tx));
    let reply = tokio::select! {
        reply = writing => reply,
        () = until_claimed(shared, claim) => Err(StoreError::Unanswered),
    };
    tracing::info!(epoch = claim.epoch, ?reply, "answer to the claim");
    let found = match reply {
        Ok(StoreReply::Committed(version)) => return ClaimResult::Ours(version),
        Ok(StoreReply::Conflict(rows)) => {
            let row = rows.iter().find(|row| row.key == OWNER_KEY);
            row.and_then(|row| Some((row.version, OwnerRow::read(row)?)))
        }
        // The claim may have taken effect.
        Err(StoreError::Unanswered) => match read_owner(shared).await {
            Some((version, Some(owner))) => Some((version, owner)),
            _ => None,
        },
        Ok(_) | Err(_) => None,
    };
    match found {
        Some((version, owner)) if owner == *claim => ClaimResult::Ours(version),
        Some((version, owner)) if owner.epoch < claim.epoch => ClaimResult::Outdated(version),
        Some((_, owner)) => {
            await_winner(shared, &owner);
            ClaimResult::Lost
        }
        None => ClaimResult::Lost,
    }
}

/// Waits until the ownership row shows a claim of this epoch or a higher one, by this node or
/// another.  The answer to a claim may be lost, and a second claim would only queue behind the
/// first one.
async fn until_claimed(shared: &Arc<Shared>, claim: &OwnerRow) {
    loop {
        tokio::time::sleep(CLAIM_POLL).await;
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
    // Nodes that started a moment ago may have registered in the store only, and not be known yet.
    tokio::spawn({
        let shared = Arc::clone(shared);
        async move { list_nodes(&shared).await }
    });
    match Engine::start(shared, epoch, version).await {
        Ok(engine) => {
            if shared.owner().epoch > epoch {
                engine.retire("a higher epoch became known while loading");
                return;
            }
            shared.set_engine(Some(Arc::clone(&engine)));
            engine.configure();
            engine.set_lanes();
        }
        Err(err) => {
            tracing::warn!(%err, epoch, "cannot load the cell");
            shared.owner().clear();
        }
    }
}

/// Gives the cell up before the process ends, so that another node can claim it at once.
pub async fn hand_over(shared: &Arc<Shared>) {
    give_up(shared, RELEASE_TIMEOUT, "the process is shutting down").await;
}

/// Writes within `limit` that the cell is free, if this node owns it, and informs the other nodes.
///
/// The engine goes on working until this is written or the time is over.  The ownership ends in
/// either case, since a transaction without an answer may still take effect, with everything that
/// it records.
async fn give_up(shared: &Arc<Shared>, limit: Duration, reason: &'static str) {
    let engine = shared.engine();
    let owned = engine.is_some();
    if let Some(engine) = engine {
        let released = tokio::time::timeout(limit, engine.record_once(true)).await;
        let figures = shared.load.link_figures();
        tracing::info!(
            epoch = engine.epoch,
            reason,
            released = released.is_ok(),
            late_ms = shared.load.average_delay(),
            link_full = shared.load.is_link_full(),
            slow_workers = figures.slow_workers,
            workers = figures.workers,
            capacity = shared.load.capacity(),
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
    announce_end(shared, owned).await;
}

/// Informs all nodes that the cell is free.  If this node did not own it, informs only the owner
/// and the nodes that may own the cell next that this node is shutting down.
async fn announce_end(shared: &Arc<Shared>, owned: bool) {
    let addresses = if owned {
        shared.members().candidates()
    } else {
        let mut addresses = shared.members().first_candidates();
        addresses.extend(shared.owner().address);
        addresses
    };
    exchange_all(shared, addresses, HEARTBEAT_TIMEOUT).await;
}
