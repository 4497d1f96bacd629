//! Which halls are evacuated, as a node reads it from the operator's rows.

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

/// What the operator writes to have a hall evacuated.
const ORDER: &str = "{}";

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

fn take_back(node: &VirtualNode, hall: &str) {
    let mut tx = Transaction::default();
    tx.drops.push(key(hall));
    node.store.commit(&tx);
}

fn halls_known(node: &VirtualNode) -> Option<Vec<String>> {
    let halls = node.shared.hall_rows().evacuated()?;
    Some(Halls::clone(&halls).into_iter().collect())
}

async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_hears_of_halls_that_are_evacuated_and_taken_back() {
    // Arrange
    let node = node(&[]);
    evacuate(&node, "north", ORDER);
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));

    // Act
    pass(100).await;
    let first = halls_known(&node);
    evacuate(&node, "south", ORDER);
    evacuate(&node, "south", ORDER);
    pass(100).await;
    let both = halls_known(&node);
    take_back(&node, "north");
    pass(100).await;

    // Assert
    assert_eq!(first.expect("it is known"), ["north"]);
    assert_eq!(both.expect("it is known"), ["north", "south"]);
    assert_eq!(halls_known(&node).expect("it is known"), ["south"]);
}

#[tokio::test(start_paused = true)]
async fn a_hall_that_is_taken_back_while_the_store_is_away_is_taken_back() {
    let node = node(&[]);
    evacuate(&node, "north", ORDER);
    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    pass(100).await;

    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    pass(3_000).await;
    take_back(&node, "north");
    let away = halls_known(&node);
    node.faulty_store
        .unavailable
        .store(false, Ordering::Relaxed);
    pass(1_000).await;

    assert_eq!(away.expect("it is known"), ["north"]);
    assert_eq!(halls_known(&node).expect("it is known").len(), 0);
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
    evacuate(&node, "north", ORDER);
    for _ in 0..10 {
        node.hear_peer();
        pass(300).await;
    }

    // Assert
    assert_eq!(halls_known(&node).expect("it is known"), ["north"]);
}

#[tokio::test(start_paused = true)]
async fn rows_that_cannot_be_read_change_nothing_and_are_told_of_once() {
    // Arrange
    let node = node(&[]);
    evacuate(&node, "north", ORDER);
    let mut tx = Transaction::default();
    for number in 0..10_000 {
        tx.puts
            .push((key(&format!("hall-{number}")), String::new()));
    }
    tx.puts.push((key(""), ORDER.to_owned()));
    node.store.commit(&tx);

    // Act
    for _ in 0..3 {
        halls::read(&node.shared).await.expect("the store answers");
    }
    evacuate(&node, "north", "");
    halls::read(&node.shared).await.expect("the store answers");

    // Assert
    assert_eq!(halls_known(&node).expect("it is known"), ["north"]);
    let metrics = node.shared.render_metrics().expect("metrics");
    assert!(metrics.contains("unreadable_evacuation\"} 2"), "{metrics}");
}

#[tokio::test(start_paused = true)]
async fn a_node_that_has_read_nothing_knows_no_halls() {
    let node = node(&[]);
    node.faulty_store.unavailable.store(true, Ordering::Relaxed);

    tokio::spawn(configuration::follow(Arc::clone(&node.shared)));
    pass(1_000).await;

    assert_eq!(halls_known(&node), None);
}
