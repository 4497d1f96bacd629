//! Following the configuration and the other rows of the operator: from the store, or from a node
//! that has a newer version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::node::halls;
use crate::node::shared::Shared;
use crate::queue::Configuration;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Version};

/// How long the store holds a question for changes.  A change must be in force
/// within 2 s, and a held question may miss one when the store drops its history.
const WAIT: Millis = 1_200;
/// The same for a node that hears of newer versions from the owner.
const TOLD_WAIT: Millis = 4_000;
/// A node is told as long as it heard the owner within this: two heartbeats, of which one is late.
const TOLD_WITHIN: Millis = 1_200;
/// The pause after a failure.
const RETRY: Duration = Duration::from_millis(200);
/// How often other nodes' versions are compared with ours.
const COMPARE: Duration = Duration::from_millis(150);
/// How long a node may take to send its configuration.
const FETCH_TIMEOUT: Millis = 800;

/// Follows the operator's rows until the process ends.
///
/// The owner and the nodes that watch it read them from the store.  The others hear from the owner
/// which version there is, and get it from a watcher, so that the store sends a version to few and
/// is asked seldom however many nodes there are.  They only hold a question for other changes
/// there, which shows whether the store is reached.
pub async fn follow(shared: Arc<Shared>) {
    let mut source = Source::Nothing;
    loop {
        source = match source {
            Source::Nothing => follow_whole(&shared).await,
            Source::Operator(after) if is_told(&shared) => {
                shared.hall_rows().stop_following();
                Source::Owner(after)
            }
            Source::Operator(after) => follow_changes(&shared, after).await,
            // What has changed meanwhile was told to others only.
            Source::Owner(_) if !is_told(&shared) => Source::Nothing,
            Source::Owner(after) => follow_owner(&shared, after).await,
        };
    }
}

/// Where a node learns of changes of the operator's rows.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// Nothing is followed, so all has to be read.
    Nothing,
    /// The operator's rows, after this version.
    Operator(Version),
    /// The owner; changes of nodes are asked for after this version.
    Owner(Version),
}

async fn follow_whole(shared: &Arc<Shared>) -> Source {
    let reply = whole(shared).await;
    take_reply(shared, reply, 0).await
}

async fn follow_changes(shared: &Arc<Shared>, after: Version) -> Source {
    let reply = changes(shared, Table::Operator, after, WAIT).await;
    take_reply(shared, reply, after).await
}

/// Takes in the operator's rows, and tells how to go on.
async fn take_reply(
    shared: &Arc<Shared>,
    reply: Result<StoreReply, StoreError>,
    after: Version,
) -> Source {
    match reply {
        Ok(StoreReply::Rows { rows, version, .. }) => {
            take_rows(shared, &rows);
            halls::apply_changes(shared, &rows);
            return Source::Operator(version.max(after));
        }
        Ok(StoreReply::Forgotten) => {}
        Ok(_) => {
            tracing::error!("the store's answer to a question for changes is of the wrong kind")
        }
        Err(err) => {
            tracing::debug!(%err, "configuration cannot be followed");
            read_halls_as_owner(shared).await;
            tokio::time::sleep(RETRY).await;
        }
    }
    Source::Nothing
}

/// Holds a question for changes of nodes, of which only the version is wanted, until the owner is
/// heard no more.
async fn follow_owner(shared: &Arc<Shared>, after: Version) -> Source {
    let answer = tokio::select! {
        answer = changes(shared, Table::Nodes, after, TOLD_WAIT) => answer,
        () = until_untold(shared) => return Source::Nothing,
    };
    match answer {
        Ok(StoreReply::Rows { version, .. }) => Source::Owner(version.max(after)),
        _ => Source::Nothing,
    }
}

/// Tells whether the owner tells this node of newer versions: it is heard, and this node is none of
/// those that tell others.
fn is_told(shared: &Shared) -> bool {
    let is_heard = {
        let owner = shared.owner();
        let is_other = owner
            .address
            .is_some_and(|address| address != shared.address);
        is_other && owner.silence(shared.now()) < TOLD_WITHIN
    };
    is_heard && shared.engine().is_none() && !shared.members().watches(&shared.name)
}

/// Waits until the owner is heard no more, or has told of a version that could not be had for a while.
async fn until_untold(shared: &Shared) {
    let mut behind_since = None;
    loop {
        tokio::time::sleep(COMPARE).await;
        let now = shared.now();
        match newer_member(shared) {
            Some(_) => behind_since = behind_since.or(Some(now)),
            None => behind_since = None,
        }
        if !is_told(shared) || behind_since.is_some_and(|since| now >= since + TOLD_WITHIN) {
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

/// Reads the configuration, and then the halls: what changes between the two is told once more, as
/// changes are followed from the first of them.
async fn whole(shared: &Arc<Shared>) -> Result<StoreReply, StoreError> {
    let key = shared.decoder.configuration_key();
    let call = StoreCall::row(Table::Operator, "", key);
    let reply = shared.store_direct(call).await?;
    halls::read(shared).await?;
    Ok(reply)
}

/// An owner that the store turns away must still know where it may start nothing.
async fn read_halls_as_owner(shared: &Arc<Shared>) {
    if shared.engine().is_some()
        && let Err(err) = halls::read(shared).await
    {
        tracing::debug!(%err, "evacuated halls cannot be read");
    }
}

fn take_rows(shared: &Shared, rows: &[Row]) {
    let key = shared.decoder.configuration_key();
    for row in rows.iter().filter(|row| row.key == key && !row.dropped) {
        match shared.decoder.configuration(&row.value) {
            Ok(config) => shared.adopt_config(config, "store"),
            Err(err) => {
                tracing::error!(%err, "the configuration cannot be read; the former one stays");
                shared.metrics.event("unreadable_configuration");
            }
        }
    }
}

/// Fetches the configuration from other nodes when one of them has a newer one.
pub async fn follow_members(shared: Arc<Shared>) {
    let mut failures = 0;
    loop {
        tokio::time::sleep(COMPARE).await;
        let Some(newest) = newer_member(&shared) else {
            continue;
        };
        let address = match is_told(&shared) {
            true => nth_watcher(&shared, failures).unwrap_or(newest),
            false => newest,
        };
        failures = match fetch(&shared, address).await {
            true => 0,
            false => failures + 1,
        };
    }
}

/// Where a node answers that has a newer configuration than this one.
fn newer_member(shared: &Shared) -> Option<SocketAddr> {
    let version = shared.config_version();
    let members = shared.members();
    let newer = members
        .iter()
        .filter(|(_, member)| member.configuration > version)
        .max_by_key(|(_, member)| (member.configuration, member.last_heard));
    newer.map(|(_, member)| member.address)
}

/// One of the watchers, another one at each try; which is the first differs from node to node, so
/// that each sends the configuration to a part of them.  None at each last try of a round, since the
/// watchers may all be behind.
fn nth_watcher(shared: &Shared, failures: usize) -> Option<SocketAddr> {
    let watchers = shared.members().first_candidates();
    let place = (xxh3_64(shared.name.as_bytes()) as usize).wrapping_add(failures);
    watchers.get(place % (watchers.len() + 1)).copied()
}

async fn fetch(shared: &Arc<Shared>, address: SocketAddr) -> bool {
    let call = NodeCall::Configuration(shared.config_version());
    let Ok(NodeReply::Configuration(body)) = shared.peers.call(address, call, FETCH_TIMEOUT).await
    else {
        return false;
    };
    match serde_json::from_slice::<Configuration>(&body) {
        Ok(config) => {
            shared.adopt_config(config, "node");
            true
        }
        Err(err) => {
            tracing::error!(%err, "a node's configuration cannot be read");
            false
        }
    }
}
