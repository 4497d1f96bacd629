//! What confirms an owner that does not reach the store itself.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossweir::node::engine::Engine;
use crossweir::rpc::node::Heartbeat;
use tokio::time::Instant;
use virtual_node::{Relay, VirtualNode, claim, virtual_node};

/// Longer than any confirmation holds.
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
    bench.hear(relays);
    bench
}

impl Bench {
    /// All other nodes tell of themselves; those whose relay does not say otherwise
    /// believe that they reach the store.
    fn hear(&self, relays: &[Relay]) {
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

    /// Time passes while the others tell of themselves ten times a second.
    async fn pass(&self, relays: &[Relay]) {
        let until = Instant::now() + LONG;
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.hear(relays);
        }
    }

    fn shut_out(&self) {
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
    bench.shut_out();

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
    bench.shut_out();
    bench.pass(&relays).await;

    // Assert.
    assert!(
        !bench.engine.is_active(),
        "any of them may have claimed the cell"
    );
    assert!(!bench.engine.is_retired(), "nobody is known to have");
}

#[tokio::test(start_paused = true)]
async fn an_owner_is_confirmed_when_most_nodes_say_that_the_store_is_away() {
    // Arrange.
    let relays = [Relay::Away, Relay::Away, Relay::Away, Relay::Silent];
    let bench = owner(&relays).await;

    // Act.
    bench.shut_out();
    bench.pass(&relays).await;

    // Assert.
    assert!(
        bench.engine.is_active(),
        "nobody of them can claim the cell"
    );
}
