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
use crate::node::shared::Shared;
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Version};

/// How long the store may hold a request for changes of the operator's rows, in milliseconds.  A
/// change must be in force within 2 s, and a held request may miss one if the store drops its
/// history.
const CHANGES_WAIT: Millis = 1_200;
/// How long the store may hold the request of a node that is notified of newer versions by the
/// owner, in milliseconds.
const NOTIFIED_CHANGES_WAIT: Millis = 4_000;
/// A node counts on the owner's notifications if it has heard the owner within this time, in
/// milliseconds: two intervals of heartbeats at the default of 500 ms, and 200 ms because one of
/// the two may be late.
const NOTIFIED_WITHIN: Millis = 1_200;
/// The pause after a failed read of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
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
            // Changes since the notifications stopped have not reached this node.
            Route::Owner(_) if !is_notified(&shared) => Route::Nothing,
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

/// Reads the rows about evacuated halls.  The configuration does not wait for them; changes made
/// between the two reads come once more after `after`.
async fn read_halls(shared: &Arc<Shared>, after: Version) -> Route {
    match halls::read(shared).await {
        Ok(()) => Route::Operator(after),
        Err(err) => {
            tracing::info!(%err, "evacuated halls cannot be read");
            match follow_changes(shared, after).await {
                Route::Operator(after) => Route::Configuration(after),
                route => route,
            }
        }
    }
}

async fn follow_changes(shared: &Arc<Shared>, after: Version) -> Route {
    let asked = shared.now();
    let reply = changes(shared, Table::Operator, after, CHANGES_WAIT).await;
    apply_reply(shared, reply, after, asked).await
}

/// Applies the operator's rows as they were at `asked` or later, and returns from where to follow
/// further changes.
async fn apply_reply(
    shared: &Arc<Shared>,
    reply: Result<StoreReply, StoreError>,
    after: Version,
    asked: Millis,
) -> Route {
    match reply {
        Ok(StoreReply::Rows { rows, version, .. }) => {
            apply_configuration(shared, &rows);
            shared.freshness().confirm(asked);
            halls::apply_changes(shared, &rows);
            return Route::Operator(version.max(after));
        }
        Ok(StoreReply::Forgotten) => {}
        Ok(_) => {
            tracing::error!("unexpected kind of answer from the store to a request for changes")
        }
        Err(err) => {
            shared.metrics.retry("configuration_read_failed");
            tracing::info!(
                %err,
                ms = shared.now().saturating_sub(asked),
                version = shared.config_version(),
                age_ms = shared.freshness().age(asked),
                "operator's rows cannot be read"
            );
            read_halls_as_owner(shared).await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    Route::Nothing
}

/// Holds a request for changes of nodes' rows at the store until there are some, or until this node
/// is no longer notified by the owner.  Only the version in the answer is used.
async fn follow_owner(shared: &Arc<Shared>, after: Version) -> Route {
    let answer = tokio::select! {
        answer = changes(shared, Table::Nodes, after, NOTIFIED_CHANGES_WAIT) => answer,
        () = until_not_notified(shared) => return Route::Nothing,
    };
    match answer {
        Ok(StoreReply::Rows { version, .. }) => Route::Owner(version.max(after)),
        _ => Route::Nothing,
    }
}

/// Returns whether this node relies on the owner to notify it of newer versions: it hears the
/// owner, and it is neither the owner itself nor a watcher, since these read the store.
fn is_notified(shared: &Shared) -> bool {
    let is_heard = {
        let owner = shared.owner();
        let is_other = owner
            .address
            .is_some_and(|address| address != shared.address);
        is_other && owner.silence(shared.now()) < NOTIFIED_WITHIN
    };
    is_heard && shared.engine().is_none() && !shared.members().watches(&shared.name)
}

/// Waits until this node is no longer notified by the owner, or its fetch of a newer version has
/// brought nothing for [`MAX_FETCH_STALL`].
async fn until_not_notified(shared: &Shared) {
    loop {
        tokio::time::sleep(COMPARE_INTERVAL).await;
        let stall = shared.freshness().stalled_for(shared.now());
        if !is_notified(shared) || stall.is_some_and(|stall| stall >= MAX_FETCH_STALL) {
            return;
        }
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
        tokio::time::sleep(COMPARE_INTERVAL).await;
        let Some(newest) = newer_member(&shared) else {
            continue;
        };
        let address = match is_notified(&shared) {
            true => watcher_to_ask(&shared, failures).unwrap_or(newest),
            false => newest,
        };
        failures = match fetch(&shared, address, &mut download).await {
            true => 0,
            false => failures + 1,
        };
    }
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
    let progress = || shared.freshness().note_progress(shared.now());
    let peers = shared.peers.as_ref();
    let fetched = download.fetch(peers, address, shared.config_version(), progress);
    let fetched = fetched.await;
    let ms = shared.now().saturating_sub(asked);
    match fetched {
        Ok(config) => {
            tracing::info!(%address, version = config.version, ms, "configuration fetched");
            shared.adopt_config(config, Source::Node(address));
            true
        }
        Err(err) => {
            shared.metrics.retry("configuration_fetch_failed");
            let wanted = shared.freshness().newer().map(|notice| notice.version);
            let in_force = shared.config_version();
            let received = download.received();
            tracing::info!(%address, %err, ms, received, in_force, wanted, "configuration not fetched");
            false
        }
    }
}
