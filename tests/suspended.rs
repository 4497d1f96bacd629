//! An owner whose VM was suspended gives no orders before its ownership is confirmed again.
//!
//! Timers stop while a VM is suspended, and the clock of a node does not.  After 2.5 s, the 2 s for
//! which a confirmation is valid are over at the moment of waking, whatever the timers show.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossweir::clock::{Clock, Millis, SystemClock};
use crossweir::node::election;
use tokio::time::Instant;
use virtual_node::{Relay, RuntimeClock, virtual_node_with_clock};

/// A clock that also counts the time in which the VM was suspended; the runtime's timers do not.
struct SuspendedClock {
    awake: RuntimeClock,
    asleep: AtomicU64,
}

impl Clock for SuspendedClock {
    fn now(&self) -> Millis {
        self.awake.now() + self.asleep.load(Ordering::Relaxed)
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_wakes_is_confirmed_before_it_orders_anything() {
    // Arrange: an owner whose store is unavailable from the moment of waking on.
    let clock = Arc::new(SuspendedClock {
        awake: RuntimeClock(Instant::now()),
        asleep: AtomicU64::new(0),
    });
    let node = virtual_node_with_clock(&[Relay::Gone], clock.clone());
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let engine = node.shared.engine().expect("it owns the cell");
    let before = engine.is_active();

    // Act.
    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    clock.asleep.store(2_500, Ordering::Relaxed);

    // Assert.
    assert_eq!((before, engine.is_active()), (true, false));
}

#[test]
fn the_clock_of_a_node_counts_from_one_and_does_not_go_back() {
    let clock = SystemClock::new();
    let first = clock.now();
    assert!(first >= 1);
    assert!(clock.now() >= first);
}
