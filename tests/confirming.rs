//! Confirmation of an owner by other nodes while it does not reach the store itself.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossweir::node::engine::Engine;
use crossweir::rpc::node::Heartbeat;
use tokio::time::Instant;
use virtual_node::{Relay, VirtualNode, claim, virtual_node};

/// Longer than any confirmation is valid.
const LONG: Duration = Duration::from_secs(8);

struct Bench {
    node: VirtualNode,
    engine: Arc<Engine>,
}

/// An owner under epoch 1 that knows a node for each of `relays`.
async fn owner(relays: &[Relay]) -> Bench {
    let node = virtual_node(relays);
    let version = claim(&node.store, "n0", 7, 1);
    let engine = Engine::start(&node.shared, 1, version)
        .await
        .expect("the cell loads");
    node.shared.set_engine(Some(Arc::clone(&engine)));
    let bench = Bench { node, engine };
    bench.receive_heartbeats(relays);
    // Until the nodes whose answers count are recorded.
    tokio::time::sleep(Duration::from_millis(500)).await;
    bench
}

impl Bench {
    /// The owner receives a heartbeat of each peer.  All report that they reach the store, except
    /// those whose relay is [`Relay::Away`].
    fn receive_heartbeats(&self, relays: &[Relay]) {
        for (place, relay) in relays.iter().enumerate() {
            self.node.shared.apply_heartbeat(&Heartbeat {
                name: format!("n{}", place + 1),
                boot: 1,
                address: format!("127.0.0.1:{}", place + 1),
                epoch: 1,
                reaches_store: *relay != Relay::Away,
                ..Heartbeat::default()
            });
        }
    }

    /// Lets [`LONG`] pass, with ten heartbeats a second of each peer.
    async fn pass(&self, relays: &[Relay]) {
        let until = Instant::now() + LONG;
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.receive_heartbeats(relays);
        }
    }

    fn cut_off_from_store(&self) {
        self.node
            .faulty_store
            .unavailable
            .store(true, Ordering::Relaxed);
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_without_the_store_asks_every_node_that_may_reach_it() {
    // Arrange: of four other nodes the last alone reaches the store.
    let relays = [Relay::Silent, Relay::Silent, Relay::Silent, Relay::Works];
    let bench = owner(&relays).await;
    bench.cut_off_from_store();

    // Act.
    claim(&bench.node.store, "n9", 1, 2);
    bench.pass(&relays).await;

    // Assert.
    assert!(
        bench.engine.is_retired(),
        "a successor has claimed the cell"
    );
}

#[tokio::test(start_paused = true)]
async fn nodes_that_may_reach_the_store_and_do_not_answer_confirm_nobody() {
    // Arrange.
    let relays = [Relay::Silent, Relay::Silent, Relay::Silent, Relay::Away];
    let bench = owner(&relays).await;

    // Act.
    bench.cut_off_from_store();
    bench.pass(&relays).await;

    // Assert.
    assert!(
        !bench.engine.is_active(),
        "any of them may have claimed the cell"
    );
    assert!(
        !bench.engine.is_retired(),
        "no node is known to have claimed the cell"
    );
}

#[tokio::test(start_paused = true)]
async fn an_owner_is_confirmed_when_most_nodes_say_that_the_store_is_away() {
    // Arrange.
    let relays = [Relay::Away, Relay::Away, Relay::Away, Relay::Silent];
    let bench = owner(&relays).await;

    // Act.
    bench.cut_off_from_store();
    bench.pass(&relays).await;

    // Assert.
    assert!(
        bench.engine.is_active(),
        "none of the nodes that answer can claim the cell"
    );
}

/// Another node may claim the cell while its owner still loads it; that owner must not order for as
/// long after the load as after a confirmation.
#[tokio::test(start_paused = true)]
async fn an_owner_that_loads_the_cell_slowly_is_not_confirmed_by_the_end_of_the_load() {
    // Arrange.
    let node = virtual_node(&[]);
    let version = claim(&node.store, "n0", 7, 1);
    node.faulty_store.delay.store(3_000, Ordering::Relaxed);

    // Act.
    let engine = Engine::start(&node.shared, 1, version).await;
    let engine = engine.expect("the cell loads");
    let is_active = engine.is_active();

    // Assert.
    assert!(!is_active, "its row was read 3 s ago");
}
