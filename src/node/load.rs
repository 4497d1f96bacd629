//! How much a node can do, and whether it is behind with what it does.
//!
//! Whoever owns the cell speaks to every worker.  On a VM too weak for that, or slowed down,
//! everything it does comes late, so strength decides who claims the cell and who gives
//! it up (`node::election`).  With 350 workers and VMs of 0.12 and 0.5 of a core it made the
//! difference between nothing and 0.94 of the worth on a day without faults (docs/DECISIONS.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Millis;
use crate::node::shared::Shared;

/// How often the node looks how late it is.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The weight of the newest look, in percent: a look that is late by a second, as after a
/// frozen process wakes, is forgotten after some ten looks.
const SAMPLE_WEIGHT: Millis = 20;
/// A node whose turns come so late on the average is behind: urgent jobs have 0.9 s to
/// spare, and an order goes through a handful of turns.
const MAX_DELAY: Millis = 80;

/// How much a node can do.
#[derive(Debug)]
pub struct Load {
    /// Thousandths of a core that the VM gives.
    millicores: u32,
    /// How late turns come, on the average.
    delay: AtomicU64,
}

impl Load {
    /// A node that is not behind, on a VM that gives `millicores`.
    pub fn new(millicores: u32) -> Self {
        Self {
            millicores,
            delay: AtomicU64::new(0),
        }
    }

    /// A turn came late by so much.
    pub fn record_delay(&self, late: Millis) {
        let before = self.delay.load(Ordering::Relaxed);
        let after = (before * (100 - SAMPLE_WEIGHT) + late * SAMPLE_WEIGHT) / 100;
        self.delay.store(after, Ordering::Relaxed);
    }

    /// How late turns come, on the average.
    pub fn average_delay(&self) -> Millis {
        self.delay.load(Ordering::Relaxed)
    }

    /// Thousandths of a core that the VM gives, whether the node is behind or not.
    pub fn millicores(&self) -> u32 {
        self.millicores
    }

    /// Thousandths of a core that the node can spend on owning the cell; zero while it is
    /// behind.
    pub fn strength(&self) -> u32 {
        if self.average_delay() > MAX_DELAY {
            0
        } else {
            self.millicores
        }
    }
}

/// Watches how late the node's turns come, until the process ends.
pub async fn watch(shared: Arc<Shared>) {
    let mut behind = false;
    loop {
        let began = shared.now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let took = shared.now().saturating_sub(began);
        shared
            .load
            .record_delay(took.saturating_sub(SAMPLE_INTERVAL.as_millis() as Millis));
        let now_behind = shared.load.strength() == 0;
        if now_behind != behind {
            behind = now_behind;
            tracing::info!(
                behind,
                late_ms = shared.load.average_delay(),
                "load of the node"
            );
            shared
                .metrics
                .event(if behind { "behind" } else { "caught_up" });
        }
    }
}
