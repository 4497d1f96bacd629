//! How soon a cell whose nodes were all killed has an owner again.

mod virtual_node;

use std::sync::Arc;
use std::time::Duration;

use crossweir::node::election;
use crossweir::node::recording::OwnerRow;
use crossweir::rpc::node::Beat;
use crossweir::store::{Store, StoreCall, StoreReply, Table};
use virtual_node::{Relay, VirtualNode, claim, virtual_node};

/// A heartbeat of a node that has just started and knows of epoch 5.
fn started_beat() -> Beat {
    Beat {
        name: String::from("n1"),
        boot: 1,
        address: String::from("127.0.0.1:1"),
        epoch: 5,
        reaches_store: true,
        owner_silence: u64::MAX,
        ..Beat::default()
    }
}

async fn owner_row(node: &VirtualNode) -> OwnerRow {
    let call = StoreCall::row(Table::Cells, "c0", "owner");
    match node.store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => OwnerRow::read(&rows[0]).expect("a row"),
        other => panic!("no row: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_started_does_not_wait_for_an_owner_that_is_gone() {
    // Arrange: all nodes were killed, the owner's port is dead.
    let node = virtual_node(&[Relay::Gone]);
    claim(&node.store, "n9", 1, 5);

    // Act.
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_millis(300)).await;

    // Assert.
    let row = owner_row(&node).await;
    assert_eq!((row.epoch, row.name.as_str()), (6, "n0"));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_never_heard_the_owner_does_not_speak_for_it() {
    let node = virtual_node(&[Relay::Gone]);
    node.shared.hear(&started_beat());
    let beat = node.shared.beat();
    assert_eq!((beat.epoch, beat.owner_silence), (5, u64::MAX));
}

#[tokio::test(start_paused = true)]
async fn a_node_speaks_for_an_owner_that_it_has_heard() {
    let node = virtual_node(&[Relay::Gone]);
    node.shared.hear(&Beat {
        owns: true,
        ..started_beat()
    });
    tokio::time::sleep(Duration::from_millis(120)).await;
    assert!(node.shared.beat().owner_silence <= 120);
}
