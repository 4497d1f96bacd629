//! In a cell of many nodes a new configuration comes from the owner's watchers, not from the store.
//!
//! The pattern: some hundred nodes and a configuration that changes some times a minute; the questions
//! of all nodes for it made up most of the calls that the store had.

mod cell_core;
mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell_core::queue;
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::configuration;
use crossweir::queue::{Configuration, Draft};
use crossweir::rpc::node::Heartbeat;
use crossweir::store::{RowKey, Table, Transaction, encode};
use virtual_node::{Relay, VirtualNode, virtual_node_with_workers};

/// Nodes beside the one under test, the last of which owns the cell.
const OTHERS: u16 = 40;

fn configured(version: u64) -> Configuration {
    Configuration::from(Draft {
        version,
        queues: vec![queue("q", 0)],
        max_body: 1_000,
        workspaces: None,
    })
}

/// A node of which all others are far stronger.
async fn node() -> VirtualNode {
    let node = virtual_node_with_workers(
        &vec![Relay::Works; usize::from(OTHERS)],
        |clock| Arc::new(MemoryWorkers::new(clock, std::iter::empty())),
        Arc::new(JsonDecoder),
    );
    write(&node, 1);
    node
}

fn write(node: &VirtualNode, version: u64) {
    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Operator, "", "configuration");
    tx.puts.push((key, encode(&configured(version))));
    node.store.commit(&tx);
    node.faulty_store
        .configuration
        .store(version, Ordering::Relaxed);
}

/// All others tell of themselves, the owner of the version that it has.
fn hear(node: &VirtualNode, version: u64) {
    for number in 1..=OTHERS {
        let owns = number == OTHERS;
        node.shared.apply_heartbeat(&Heartbeat {
            name: format!("a{number:02}"),
            boot: 1,
            address: format!("127.0.0.1:{number}"),
            epoch: 16,
            owns,
            configuration: if owns { version } else { 1 },
            reaches_store: true,
            millicores: 8_000,
            interval: 500,
            ..Heartbeat::default()
        });
    }
}

async fn pass(node: &VirtualNode, version: Option<u64>, millis: u64) {
    for _ in 0..millis / 100 {
        if let Some(version) = version {
            hear(node, version);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn reads(node: &VirtualNode) -> usize {
    node.faulty_store.operator_calls.load(Ordering::Relaxed)
}

/// Starts a node that has read the configuration, and hears the owner.
async fn told_node() -> VirtualNode {
    let node = node().await;
    hear(&node, 1);
    assert!(
        !node.shared.members().watches("n0"),
        "it should be no watcher"
    );
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    tokio::spawn(configuration::follow_members(Arc::clone(&node.shared)));
    pass(&node, Some(1), 500).await;
    assert_eq!(node.shared.config_version(), 1);
    node
}

#[tokio::test(start_paused = true)]
async fn a_node_that_hears_the_owner_reads_no_more_rows_of_the_operator() {
    let node = told_node().await;
    let before = reads(&node);

    pass(&node, Some(1), 20_000).await;

    assert_eq!(reads(&node), before);
}

#[tokio::test(start_paused = true)]
async fn a_newer_version_of_which_the_owner_tells_comes_from_a_watcher() {
    let node = told_node().await;
    let before = reads(&node);

    write(&node, 2);
    pass(&node, Some(2), 600).await;

    assert_eq!(node.shared.config_version(), 2);
    assert_eq!(reads(&node), before);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_hears_the_owner_no_more_reads_the_store_again() {
    let node = told_node().await;

    write(&node, 2);
    pass(&node, None, 2_000).await;

    assert_eq!(node.shared.config_version(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_no_watcher_gives_the_newer_version_reads_the_store() {
    let node = told_node().await;
    node.faulty_store.configuration.store(0, Ordering::Relaxed);

    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Operator, "", "configuration");
    tx.puts.push((key, encode(&configured(3))));
    node.store.commit(&tx);
    pass(&node, Some(3), 2_000).await;

    assert_eq!(node.shared.config_version(), 3);
}
