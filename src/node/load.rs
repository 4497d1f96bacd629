//! The CPU capacity of a node, and whether the node is overloaded.
//!
//! The owner of the cell calls every worker.  On a VM that is too weak for that, or slowed down,
//! all its calls are late, so the strength of nodes decides which one claims the cell and which one
//! gives it up (`node::election`).  With 350 workers, VMs of 0.12 and 0.5 of a core, and no faults,
//! this raised the share of the jobs' total value that was earned from nothing to 0.94
//! (docs/DECISIONS.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Millis;
use crate::node::shared::Shared;

/// How often the wake-up delay is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The weight of the newest measurement in the average, in percent.  A single delay of a second, as
/// after the process was frozen, no longer matters after some ten measurements.
const SAMPLE_WEIGHT: Millis = 20;
/// A node with a higher average wake-up delay than this, in milliseconds, counts as overloaded.
/// Urgent jobs have 0.9 s to spare, and an order takes a handful of wake-ups.
const MAX_DELAY: Millis = 80;

/// The CPU capacity and the load of a node.
#[derive(Debug)]
pub struct Load {
    /// The CPU capacity of the VM, in thousandths of a core.
    millicores: u32,
    /// The average wake-up delay, in milliseconds: how late the node's timers fire.
    delay: AtomicU64,
}

impl Load {
    /// Creates the load of a node that is not overloaded, on a VM with a capacity of `millicores`.
    pub fn new(millicores: u32) -> Self {
        Self {
            millicores,
            delay: AtomicU64::new(0),
        }
    }

    /// Adds a measured wake-up delay, in milliseconds, to the average.
    pub fn record_delay(&self, delay: Millis) {
        let before = self.delay.load(Ordering::Relaxed);
        let after = (before * (100 - SAMPLE_WEIGHT) + delay * SAMPLE_WEIGHT) / 100;
        self.delay.store(after, Ordering::Relaxed);
    }

    /// Returns the average wake-up delay, in milliseconds.
    pub fn average_delay(&self) -> Millis {
        self.delay.load(Ordering::Relaxed)
    }

    /// Returns the CPU capacity of the VM in thousandths of a core, whether the node is overloaded
    /// or not.
    pub fn millicores(&self) -> u32 {
        self.millicores
    }

    /// Returns how much CPU the node can spend on owning the cell, in thousandths of a core; zero
    /// while it is overloaded.
    pub fn strength(&self) -> u32 {
        if self.average_delay() > MAX_DELAY {
            0
        } else {
            self.millicores
        }
    }
}

/// Measures the node's wake-up delay until the process ends.
pub async fn watch(shared: Arc<Shared>) {
    let mut behind = false;
    loop {
        let began = shared.now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let took = shared.now().saturating_sub(began);
        shared
            .load
            .record_delay(took.saturating_sub(SAMPLE_INTERVAL.as_millis() as Millis));
        let is_behind = shared.load.strength() == 0;
        if is_behind != behind {
            behind = is_behind;
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
