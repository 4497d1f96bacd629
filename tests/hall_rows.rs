//! How a node learns from the operator's rows which data halls are evacuated.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::evacuation::Halls;
use crossweir::node::engine::Engine;
use crossweir::node::{configuration, halls};
use crossweir::store::{RowKey, Table, Transaction};
use virtual_node::{Relay, VirtualNode, claim, virtual_node_with_workers};

/// The value of the row that the operator writes to evacuate a hall.
const EVACUATION: &str = "{}";

fn node(relays: &[Relay]) -> VirtualNode {
    virtual_node_with_workers(
        relays,
        |clock| Arc::new(MemoryWorkers::new(clock, std::iter::empty())),
        Arc::new(JsonDecoder),
    )
}

fn key(hall: &str) -> RowKey {
    RowKey::new(Table::Operator, "", &format!("evacuate-{hall}"))
}

fn evacuate(node: &VirtualNode, hall: &str, value: &str) {
    let mut tx = Transaction::default();
    tx.puts.push((key(hall), value.to_owned()));
    node.store.commit(&tx);
}

fn end_evacuation(node: &VirtualNode, hall: &str) {
    let mut tx = Transaction::default();
    tx.drops.push(key(hall));
    node.store.commit(&tx);
}

/// Returns the evacuated halls; none if the node does not know them.
fn evacuated_halls(node: &VirtualNode) -> Option<Vec<String>> {
    let halls = node.shared.hall_rows().evacuated()?;
    Some(Halls::clone(&halls).into_iter().collect())
}

async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_follows_begun_and_ended_evacuations() {
    // Arrange
    let node = node(&[]);
    evacuate(&node, "north", EVACUATION);
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));

    // Act
    pass(100).await;
    let first = evacuated_halls(&node);
    evacuate(&node, "south", EVACUATION);
    evacuate(&node, "south", EVACUATION);
    pass(100).await;
    let both = evacuated_halls(&node);
    end_evacuation(&node, "north");
    pass(100).await;

    // Assert
    assert_eq!(first.expect("it is known"), ["north"]);
    assert_eq!(both.expect("it is known"), ["north", "south"]);
    assert_eq!(evacuated_halls(&node).expect("it is known"), ["south"]);
}

#[tokio::test(start_paused = true)]
async fn an_evacuation_that_ends_while_the_store_is_unavailable_is_ended_afterwards() {
    let node = node(&[]);
    evacuate(&node, "north", EVACUATION);
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    pass(100).await;

    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    pass(3_000).await;
    end_evacuation(&node, "north");
    let during_outage = evacuated_halls(&node);
    node.faulty_store
        .unavailable
        .store(false, Ordering::Relaxed);
    pass(1_000).await;

    assert_eq!(during_outage.expect("it is known"), ["north"]);
    assert_eq!(evacuated_halls(&node).expect("it is known").len(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_the_store_turns_away_reads_the_halls_through_another_node() {
    // Arrange
    let node = node(&[Relay::Works]);
    node.hear_peer();
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    let version = claim(&node.store, "n0", 7, 16);
    let engine = Engine::start(&node.shared, 16, version).await;
    node.shared
        .set_engine(Some(engine.expect("the cell loads")));
    pass(100).await;

    // Act
    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    evacuate(&node, "north", EVACUATION);
    for _ in 0..10 {
        node.hear_peer();
        pass(300).await;
    }

    // Assert
    assert_eq!(evacuated_halls(&node).expect("it is known"), ["north"]);
}

#[tokio::test(start_paused = true)]
async fn rows_that_cannot_be_parsed_change_nothing_and_are_reported_once() {
    // Arrange
    let node = node(&[]);
    evacuate(&node, "north", EVACUATION);
    let mut tx = Transaction::default();
    for number in 0..10_000 {
        tx.puts
            .push((key(&format!("hall-{number}")), String::new()));
    }
    tx.puts.push((key(""), EVACUATION.to_owned()));
    node.store.commit(&tx);

    // Act
    for _ in 0..3 {
        halls::read(&node.shared).await.expect("the store answers");
    }
    evacuate(&node, "north", "");
    halls::read(&node.shared).await.expect("the store answers");

    // Assert
    assert_eq!(evacuated_halls(&node).expect("it is known"), ["north"]);
    let metrics = node.shared.render_metrics().expect("metrics");
    assert!(metrics.contains("unreadable_evacuation\"} 2"), "{metrics}");
}

#[tokio::test(start_paused = true)]
async fn a_node_that_has_read_nothing_knows_no_halls() {
    let node = node(&[]);
    node.faulty_store.unavailable.store(true, Ordering::Relaxed);

    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    pass(1_000).await;

    assert_eq!(evacuated_halls(&node), None);
}
