//! An owner that reaches neither the store nor any other node drops the silent nodes from its
//! members after a while.  It must not count as confirmed because no other node is left: one of the
//! dropped nodes may have claimed the cell.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossweir::node::engine::Engine;
use crossweir::rpc::node::Heartbeat;
use virtual_node::{Relay, VirtualNode, claim, virtual_node};

/// An owner that has received heartbeats of two other nodes, and reaches neither them nor the store
/// from now on.
async fn owner_that_is_cut_off() -> (VirtualNode, Arc<Engine>) {
    let node = virtual_node(&[Relay::Silent, Relay::Silent]);
    let version = claim(&node.store, "n0", 7, 1);
    let engine = Engine::start(&node.shared, 1, version).await;
    let engine = engine.expect("the cell loads");
    node.shared.set_engine(Some(Arc::clone(&engine)));
    for place in 1..=2 {
        node.shared.apply_heartbeat(&Heartbeat {
            name: format!("n{place}"),
            boot: 1,
            address: format!("127.0.0.1:{place}"),
            epoch: 1,
            reaches_store: true,
            ..Heartbeat::default()
        });
    }
    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    (node, engine)
}

/// Lets time pass; silent nodes are dropped as an owner does with each heartbeat.
async fn pass(node: &VirtualNode, seconds: u64) {
    for _ in 0..seconds * 10 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        node.shared.members().forget_silent(node.shared.now());
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_is_cut_off_from_all_stays_inactive() {
    // Arrange.
    let (node, engine) = owner_that_is_cut_off().await;
    claim(&node.store, "n1", 1, 2);

    // Act.
    pass(&node, 8).await;
    let soon = engine.is_active();
    pass(&node, 32).await;
    let late = engine.is_active();

    // Assert.
    assert_eq!((soon, late), (false, false), "n1 owns the cell");
}
