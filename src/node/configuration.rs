//! Follows the configuration and the other rows of the operator: in the store, or through a node
//! that has a newer version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::node::configuration_transfer::Download;
use crate::node::freshness::Source;
use crate::node::halls;
use crate::node::members::WATCHERS;
use crate::node::shared::Shared;
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Version};

/// How long the store may hold a request for changes of the operator's rows, in milliseconds.  A
/// change must be in force within 2 s, and a held request may miss one if the store drops its
/// history.
const CHANGES_WAIT: Millis = 1_200;
/// The same for the owner, in milliseconds: other nodes rely on what it knows, and an answer without
/// changes tells it that there are none.
const OWNER_CHANGES_WAIT: Millis = 300;
/// How long the store may hold the request of a node that is notified of newer versions by the
/// owner, in milliseconds.
const NOTIFIED_CHANGES_WAIT: Millis = 4_000;
/// A node relies on the owner's notifications while the version in force was known to be the newest
/// within this time, in milliseconds: the owner's request is held for 300 ms, its heartbeats come
/// every 500 ms, and a heartbeat may be late by 400 ms.
const MAX_NOTIFIED_AGE: Millis = 1_200;
/// A node to which the store does not answer asks other nodes once the version in force has not been
/// known to be the newest for this long, in milliseconds: somewhat longer than the store holds a
/// request.
const MAX_UNKNOWN_AGE: Millis = 1_300;
/// How many nodes are asked in turn then, since each one takes a connection.
const MAX_CANDIDATES: usize = 2 * WATCHERS;
/// The pause after a failed read of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The shortest time from the beginning of one fetch to that of the next.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// How often the versions of other nodes are compared with the own one.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);
/// A node whose fetch of a newer version brings nothing for this long, in milliseconds, reads the
/// store.
const MAX_FETCH_STALL: Millis = 500;
/// The newest node known is asked after this many watchers in a row, since all of these may be
/// outdated.
const WATCHERS_IN_A_ROW: usize = 2;

/// Follows the operator's rows until the process ends.
///
/// The owner and its watchers read them from the store.  The other nodes learn from the owner's
/// heartbeats which version is the newest, and fetch it from a watcher (see [`follow_members`]), so
/// that the store has to send each version to a few nodes only, and the number of requests stays
/// low in a large cell.  At the store these nodes only hold a request for changes of nodes' rows,
/// which shows whether the store can be reached.
pub async fn follow(shared: Arc<Shared>) {
    let mut route = Route::Nothing;
    loop {
        let next = match route {
            Route::Nothing => read_all(&shared).await,
            Route::Configuration(after) | Route::Operator(after) if is_notified(&shared) => {
                shared.hall_rows().stop_following();
                Route::Owner(after)
            }
            Route::Configuration(after) => read_halls(&shared, after).await,
            Route::Operator(after) => follow_changes(&shared, after).await,
            Route::Owner(_) if !is_notified(&shared) => resume(&shared),
            Route::Owner(after) => follow_owner(&shared, after).await,
        };
        if next.source() != route.source() {
            log_route(&shared, next);
        }
        route = next;
    }
}

fn log_route(shared: &Shared, route: Route) {
    let by = route.source();
    let age_ms = shared.freshness().age(shared.now());
    let version = shared.config_version();
    tracing::info!(by, version, age_ms, "configuration is followed");
}

/// The route by which a node learns of changes of the operator's rows.
#[derive(Debug, Clone, Copy)]
enum Route {
    /// Nothing is followed, so all rows have to be read.
    Nothing,
    /// From the operator's rows in the store, after this version; the rows about evacuated halls
    /// still have to be read.
    Configuration(Version),
    /// From the operator's rows in the store, after this version.
    Operator(Version),
    /// From the owner.  The version is that after which changes of nodes' rows are requested.
    Owner(Version),
}

impl Route {
    /// Who tells this node of changes, for the log.
    fn source(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Configuration(_) | Self::Operator(_) => "store",
            Self::Owner(_) => "owner",
        }
    }
}

async fn read_all(shared: &Arc<Shared>) -> Route {
    let asked = shared.now();
    let key = shared.decoder.configuration_key();
    let call = StoreCall::row(Table::Operator, "", key);
    let reply = shared.store_direct(call).await;
    match apply_reply(shared, reply, 0, asked).await {
        Route::Operator(after) => Route::Configuration(after),
        route => route,
    }
}

/// Returns the route after that from the owner: from where the operator's rows are known to hold no
/// newer configuration, so that only changes have to be read.
fn resume(shared: &Shared) -> Route {
    match shared.freshness().rows() {
        Some(rows) => Route::Configuration(rows),
        None => Route::Nothing,
    }
}

/// Reads the rows about evacuated halls.  Changes are followed meanwhile: those made before the
/// halls are read come once more after `after`.
async fn read_halls(shared: &Arc<Shared>, after: Version) -> Route {
    let (read, route) = tokio::join!(halls::read(shared), follow_changes(shared, after));
    match (read, route) {
        (Err(err), Route::Operator(after)) => {
            tracing::info!(%err, "evacuated halls cannot be read");
            Route::Configuration(after)
        }
        (_, route) => route,
    }
}

async fn follow_changes(shared: &Arc<Shared>, after: Version) -> Route {
    let wait = match shared.engine() {
        Some(_) => OWNER_CHANGES_WAIT,
        None => CHANGES_WAIT,
    };
    let asked = shared.now();
    let reply = changes(shared, Table::Operator, after, wait).await;
    // The store answers without changes only when it has held the request for that long.
    let is_unchanged = matches!(&reply, Ok(StoreReply::Rows { rows, .. }) if rows.is_empty());
    let as_of = match is_unchanged && shared.now() >= asked + wait {
        true => asked + wait,
        false => asked,
    };
    apply_reply(shared, reply, after, as_of).await
}

/// Applies the operator's rows as they were at `as_of` or later, and returns from where to follow
/// further changes.
async fn apply_reply(
    shared: &Arc<Shared>,
    reply: Result<StoreReply, StoreError>,
    after: Version,
    as_of: Millis,
) -> Route {
    match reply {
        Ok(StoreReply::Rows { rows, version, .. }) => {
            apply_configuration(shared, &rows);
            let version = version.max(after);
            {
                let mut freshness = shared.freshness();
                freshness.confirm(as_of, Some(version));
                freshness.note_progress(shared.now());
            }
            halls::apply_changes(shared, &rows);
            return Route::Operator(version);
        }
        Ok(StoreReply::Forgotten) => {}
        Ok(_) => {
            tracing::error!("unexpected kind of answer from the store to a request for changes")
        }
        Err(err) => {
            shared.metrics.retry("configuration_read_failed");
            tracing::info!(
                %err,
                ms = shared.now().saturating_sub(as_of),
                version = shared.config_version(),
                age_ms = shared.freshness().age(shared.now()),
                "operator's rows cannot be read"
            );
            read_halls_as_owner(shared).await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    Route::Nothing
}

/// Holds a request for changes of nodes' rows at the store until there are some, or until this node
/// cannot rely on the owner any more.  Only the version in the answer is used.
async fn follow_owner(shared: &Arc<Shared>, after: Version) -> Route {
    let answer = tokio::select! {
        answer = changes(shared, Table::Nodes, after, NOTIFIED_CHANGES_WAIT) => answer,
        () = until_not_notified(shared) => return Route::Owner(after),
        () = until_fetch_stalls(shared) => return Route::Nothing,
    };
    match answer {
        Ok(StoreReply::Rows { version, .. }) => Route::Owner(version.max(after)),
        Ok(_) => Route::Nothing,
        Err(err) => {
            tracing::debug!(%err, "cannot follow changes of nodes' rows");
            tokio::time::sleep(RETRY_PAUSE).await;
            Route::Owner(after)
        }
    }
}

/// Returns whether this node relies on the owner to notify it of newer versions: what the owner
/// reported is recent, and this node is neither the owner itself nor a watcher, since these read the
/// store.
fn is_notified(shared: &Shared) -> bool {
    let owner = shared.owner().address;
    let has_other_owner = owner.is_some_and(|address| address != shared.address);
    let age = shared.freshness().age(shared.now());
    has_other_owner
        && age.is_some_and(|age| age < MAX_NOTIFIED_AGE)
        && shared.engine().is_none()
        && !shared.members().watches(&shared.name)
}

/// Waits until this node cannot rely on the owner any more.
async fn until_not_notified(shared: &Shared) {
    while is_notified(shared) {
        tokio::time::sleep(COMPARE_INTERVAL).await;
    }
}

/// Waits until the fetch of a newer version has brought nothing for [`MAX_FETCH_STALL`].
async fn until_fetch_stalls(shared: &Shared) {
    let stall = || shared.freshness().stalled_for(shared.now());
    while stall().is_none_or(|stall| stall < MAX_FETCH_STALL) {
        tokio::time::sleep(COMPARE_INTERVAL).await;
    }
}

async fn changes(
    shared: &Arc<Shared>,
    table: Table,
    after: Version,
    wait: Millis,
) -> Result<StoreReply, StoreError> {
    let call = StoreCall::Changes { table, after, wait };
    shared.store_direct(call).await
}

/// Reads the evacuated halls, through a peer if need be, if this node owns the cell: it must know
/// them even when the store refuses its own calls, since it may start nothing there.
async fn read_halls_as_owner(shared: &Arc<Shared>) {
    if shared.engine().is_some()
        && let Err(err) = halls::read(shared).await
    {
        tracing::debug!(%err, "evacuated halls cannot be read");
    }
}

fn apply_configuration(shared: &Shared, rows: &[Row]) {
    let key = shared.decoder.configuration_key();
    for row in rows.iter().filter(|row| row.key == key && !row.dropped) {
        match shared.decoder.configuration(&row.value) {
            Ok(config) => shared.adopt_config(config, Source::Store),
            Err(err) => {
                tracing::error!(%err, "cannot decode the configuration; keeping the former one");
                shared.freshness().note_undecodable();
                shared.metrics.event("unreadable_configuration");
            }
        }
    }
}

/// Fetches the configuration from another node whenever one has a newer version, until the process
/// ends.
pub async fn follow_members(shared: Arc<Shared>) {
    let mut failures = 0;
    let mut download = Download::default();
    loop {
        wait_for_notice(&shared).await;
        let Some(address) = node_to_ask(&shared, failures) else {
            continue;
        };
        let pause = tokio::time::sleep(MIN_FETCH_INTERVAL);
        failures = match fetch(&shared, address, &mut download).await {
            true => 0,
            false => failures + 1,
        };
        pause.await;
    }
}

/// Waits until a newer version is known, for [`COMPARE_INTERVAL`] at most.
async fn wait_for_notice(shared: &Shared) {
    if shared.freshness().newer().is_none() {
        let noticed = shared.newer_config_noticed.notified();
        // Whether or not there was a notice, the caller looks for a node to ask.
        let _ = tokio::time::timeout(COMPARE_INTERVAL, noticed).await;
    }
}

/// Returns the address of the node to ask for a newer configuration after this many failures in a
/// row; none if there is no reason to ask.
fn node_to_ask(shared: &Shared, failures: usize) -> Option<SocketAddr> {
    match newer_member(shared) {
        Some(newest) if is_notified(shared) => {
            Some(watcher_to_ask(shared, failures).unwrap_or(newest))
        }
        Some(newest) => Some(newest),
        None if is_outdated(shared) => candidate_to_ask(shared, failures),
        None => None,
    }
}

/// Returns whether a node should ask others although it knows of no newer version: neither the owner
/// nor the store has told it of late that there is none.
fn is_outdated(shared: &Shared) -> bool {
    let age = shared.freshness().age(shared.now());
    age.is_none_or(|age| age > MAX_UNKNOWN_AGE)
}

/// Returns the address of the node to ask after this many failures in a row, of the watchers and
/// some others.  Nodes start at different ones.
fn candidate_to_ask(shared: &Shared, failures: usize) -> Option<SocketAddr> {
    let mut candidates = shared.members().candidates();
    candidates.truncate(MAX_CANDIDATES);
    let first = xxh3_64(shared.name.as_bytes()) as usize;
    let place = first.wrapping_add(failures) % candidates.len().max(1);
    candidates.get(place).copied()
}

/// Returns the address of a node with a newer configuration than this one's: of those with the
/// newest, the one that was heard last.
fn newer_member(shared: &Shared) -> Option<SocketAddr> {
    let version = shared.config_version();
    let members = shared.members();
    let newer = members
        .iter()
        .filter(|(_, member)| member.configuration > version)
        .max_by_key(|(_, member)| (member.configuration, member.last_heard));
    newer.map(|(_, member)| member.address)
}

/// Returns the address of the watcher to ask after this many failures in a row: a different one
/// each time.  Nodes start at different watchers, so that each of these sends the configuration to
/// a part of the nodes only.  The result is none when it is the turn of the newest node.
fn watcher_to_ask(shared: &Shared, failures: usize) -> Option<SocketAddr> {
    let (round, turn) = (
        failures / (WATCHERS_IN_A_ROW + 1),
        failures % (WATCHERS_IN_A_ROW + 1),
    );
    if turn == WATCHERS_IN_A_ROW {
        return None;
    }
    let watchers = shared.members().first_candidates();
    let first = xxh3_64(shared.name.as_bytes()) as usize;
    let place = first.wrapping_add(round * WATCHERS_IN_A_ROW + turn);
    watchers.get(place % watchers.len().max(1)).copied()
}

/// Fetches the configuration from one node; false if it did not send all of it.
async fn fetch(shared: &Arc<Shared>, address: SocketAddr, download: &mut Download) -> bool {
    let asked = shared.now();
    let in_force = shared.config_version();
    let progress = || shared.freshness().note_progress(shared.now());
    let fetched = download.fetch(shared.peers.as_ref(), address, in_force, progress);
    let fetched = fetched.await;
    let ms = shared.now().saturating_sub(asked);
    match fetched {
        Ok(config) => {
            tracing::info!(%address, version = config.version, ms, "configuration fetched");
            shared.adopt_config(config, Source::Node(address));
            true
        }
        Err(err) => {
            let wanted = shared.freshness().newer().map(|notice| notice.version);
            // Without a notice, it is only asked whether there is a newer version.
            if wanted.is_some() {
                shared.metrics.retry("configuration_fetch_failed");
                let received = download.received();
                tracing::info!(%address, %err, ms, received, in_force, wanted, "configuration not fetched");
            }
            false
        }
    }
}
