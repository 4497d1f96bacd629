//! In a cell of many nodes, a new configuration comes from the owner's watchers, not from the
//! store.
//!
//! Guards against reads of the configuration making up most of the store's calls, as happens with
//! some hundred nodes and a configuration that changes several times a minute if every node reads
//! it from the store.

mod cell_core;
mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell_core::queue;
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::configuration;
use crossweir::node::front::Frontend;
use crossweir::queue::{Configuration, Draft};
use crossweir::refusal::Refusal;
use crossweir::rpc::node::Heartbeat;
use crossweir::store::{RowKey, Table, Transaction, encode};
use virtual_node::{Relay, VirtualNode, virtual_node_with_workers};

/// The number of peers of the node under test; the last peer owns the cell.
const PEERS: u16 = 40;

/// Two reads a second, of the configuration and of the evacuated halls, and those of one held
/// request.
const MAX_READS_IN_5_S: usize = 40;

fn configuration_of(version: u64) -> Configuration {
    Configuration::from(Draft {
        version,
        queues: vec![queue("q", 0)],
        max_body: 1_000,
        workspaces: None,
    })
}

/// Returns a node that is far weaker than its peers, so that it is no watcher.
async fn node() -> VirtualNode {
    let node = virtual_node_with_workers(
        &vec![Relay::Works; usize::from(PEERS)],
        |clock| Arc::new(MemoryWorkers::new(clock, std::iter::empty())),
        Arc::new(JsonDecoder),
    );
    write(&node, 1);
    node
}

/// Writes a version of the configuration to the store and gives it to the peers.
fn write(node: &VirtualNode, version: u64) {
    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Operator, "", "configuration");
    tx.puts.push((key, encode(&configuration_of(version))));
    node.store.commit(&tx);
    node.faulty_store
        .configuration
        .store(version, Ordering::Relaxed);
}

/// Applies a heartbeat of each peer; the owner reports this version of the configuration.
fn apply_heartbeats(node: &VirtualNode, version: u64) {
    for number in 1..=PEERS {
        let owns = number == PEERS;
        node.shared.apply_heartbeat(&Heartbeat {
            owns,
            configuration: if owns { version } else { 1 },
            ..peer_heartbeat(number)
        });
    }
}

fn peer_heartbeat(number: u16) -> Heartbeat {
    Heartbeat {
        name: format!("a{number:02}"),
        boot: 1,
        address: format!("127.0.0.1:{number}"),
        epoch: 16,
        configuration: 1,
        reaches_store: true,
        millicores: 8_000,
        interval: 500,
        ..Heartbeat::default()
    }
}

/// Lets time pass while the owner sends heartbeats and does not learn of newer versions any more.
async fn pass_beside_an_outdated_owner(node: &VirtualNode, version: u64, millis: u64) {
    for age in (0..millis).step_by(100) {
        node.shared
            .apply_heartbeat(&owner_heartbeat(version, age as u32));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn owner_heartbeat(version: u64, age: u32) -> Heartbeat {
    Heartbeat {
        owns: true,
        configuration: version,
        configuration_age: Some(age),
        ..peer_heartbeat(PEERS)
    }
}

/// Lets time pass.  The peers send heartbeats every 100 ms, unless `version` is none.
async fn pass(node: &VirtualNode, version: Option<u64>, millis: u64) {
    for _ in 0..millis / 100 {
        if let Some(version) = version {
            apply_heartbeats(node, version);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns how often the node has read the operator's rows from the store.
fn operator_reads(node: &VirtualNode) -> usize {
    node.faulty_store.operator_calls.load(Ordering::Relaxed)
}

/// Starts a node that has read the configuration and receives the owner's heartbeats.
async fn notified_node() -> VirtualNode {
    let node = node().await;
    apply_heartbeats(&node, 1);
    assert!(
        !node.shared.members().watches("n0"),
        "the node must not be a watcher"
    );
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    tokio::spawn(configuration::follow_members(Arc::clone(&node.shared)));
    pass(&node, Some(1), 500).await;
    assert_eq!(node.shared.config_version(), 1);
    node
}

#[tokio::test(start_paused = true)]
async fn a_node_that_hears_the_owner_reads_no_more_rows_of_the_operator() {
    let node = notified_node().await;
    let before = operator_reads(&node);

    pass(&node, Some(1), 20_000).await;

    assert_eq!(operator_reads(&node), before);
}

#[tokio::test(start_paused = true)]
async fn a_newer_version_of_which_the_owner_tells_comes_from_a_watcher() {
    let node = notified_node().await;
    let before = operator_reads(&node);

    write(&node, 2);
    pass(&node, Some(2), 600).await;

    assert_eq!(node.shared.config_version(), 2);
    assert_eq!(operator_reads(&node), before);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_no_longer_hears_the_owner_reads_the_store_again() {
    let node = notified_node().await;

    write(&node, 2);
    pass(&node, None, 2_000).await;

    assert_eq!(node.shared.config_version(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_no_watcher_gives_the_newer_version_reads_the_store() {
    let node = notified_node().await;
    node.faulty_store.configuration.store(0, Ordering::Relaxed);

    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Operator, "", "configuration");
    tx.puts.push((key, encode(&configuration_of(3))));
    node.store.commit(&tx);
    pass(&node, Some(3), 2_000).await;

    assert_eq!(node.shared.config_version(), 3);
}

/// Starts a node that can read the configuration, but not the rows about evacuated halls.
async fn node_without_halls() -> VirtualNode {
    let node = node().await;
    let unavailable = &node.faulty_store.halls_unavailable;
    unavailable.store(true, Ordering::Relaxed);
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    pass(&node, None, 500).await;
    node
}

// Guards against a configuration that has been read and is not put in force, because the rows about
// evacuated halls cannot be read.
#[tokio::test(start_paused = true)]
async fn a_configuration_does_not_wait_for_the_evacuated_halls() {
    let node = node_without_halls().await;
    assert_eq!(node.shared.config_version(), 1);

    write(&node, 2);
    pass(&node, None, 2_000).await;

    assert_eq!(node.shared.config_version(), 2);
    assert!(node.shared.hall_rows().evacuated().is_none());
}

// Guards against evacuated halls that stay unknown once a read of them has failed.
#[tokio::test(start_paused = true)]
async fn evacuated_halls_that_could_not_be_read_are_read_again() {
    let node = node_without_halls().await;

    let unavailable = &node.faulty_store.halls_unavailable;
    unavailable.store(false, Ordering::Relaxed);
    pass(&node, None, 2_000).await;

    assert!(node.shared.hall_rows().evacuated().is_some());
}

// Guards against trust in an owner that itself learns of nothing any more.
#[tokio::test(start_paused = true)]
async fn a_node_whose_owner_is_outdated_reads_the_store_itself() {
    let node = notified_node().await;
    let peers_have = &node.faulty_store.configuration;

    write(&node, 2);
    peers_have.store(1, Ordering::Relaxed);
    pass_beside_an_outdated_owner(&node, 1, 2_000).await;

    assert_eq!(node.shared.config_version(), 2);
}

/// Returns how the node refuses a caller whose queue it does not know.
fn refusal_of_an_unknown_queue(node: &VirtualNode) -> Refusal {
    let front = Frontend::new(Arc::clone(&node.shared));
    front.refusal_by_configuration(Refusal::NoQueue)
}

// Guards against an outage of the store or of the owner that is told to callers as a wrong request:
// the node must be certain of what it says while it hears from either.
#[tokio::test(start_paused = true)]
async fn an_unknown_queue_is_refused_for_good_while_the_configuration_is_fresh() {
    let node = notified_node().await;

    pass(&node, Some(1), 5_000).await;

    assert_eq!(refusal_of_an_unknown_queue(&node), Refusal::NoQueue);
}

// Guards against a refusal for good by a node that knows that a newer version exists.
#[tokio::test(start_paused = true)]
async fn a_caller_comes_back_while_a_newer_version_is_fetched() {
    let node = notified_node().await;

    apply_heartbeats(&node, 2);

    assert_eq!(
        refusal_of_an_unknown_queue(&node),
        Refusal::OutdatedConfiguration
    );
    assert_eq!(
        Frontend::new(Arc::clone(&node.shared)).refusal_by_configuration(Refusal::NoKey),
        Refusal::NoKey,
        "a caller without a key has to add one"
    );
}

// Guards against a refusal for good by a node that hears neither the owner nor the store.
#[tokio::test(start_paused = true)]
async fn a_caller_comes_back_while_a_newer_version_may_exist() {
    let node = notified_node().await;

    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    pass(&node, None, 3_000).await;

    assert_eq!(
        refusal_of_an_unknown_queue(&node),
        Refusal::OutdatedConfiguration
    );
}

// Guards against reading all rows without a pause while the store does not have the version that a
// node has reported.
#[tokio::test(start_paused = true)]
async fn a_version_that_nobody_has_causes_few_reads() {
    let node = notified_node().await;
    node.faulty_store.configuration.store(1, Ordering::Relaxed);
    let before = operator_reads(&node);

    pass(&node, Some(2), 5_000).await;

    assert!(operator_reads(&node) - before <= MAX_READS_IN_5_S);
}

// Guards against a node that calls the version in force the newest although it cannot decode what
// the operator has written since: nodes that can would rely on it.
#[tokio::test(start_paused = true)]
async fn a_node_that_cannot_decode_a_version_does_not_call_its_own_the_newest() {
    let node = node().await;
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    pass(&node, None, 1_000).await;
    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Operator, "", "configuration");
    tx.puts.push((key, String::from("{")));

    node.store.commit(&tx);
    pass(&node, None, 5_000).await;

    let age = node.shared.heartbeat().configuration_age;
    assert!(age.is_some_and(|age| age > 3_000), "{age:?}");
}
