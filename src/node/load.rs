//! The capacity of a node, and whether the node is overloaded.
//!
//! The owner of the cell calls every worker.  On a VM whose processor or link is too weak for that,
//! or slowed down, all its calls are late, so the strength of nodes decides which one claims the cell
//! and which one gives it up (`node::election`).  With 350 workers, VMs of 0.12 and 0.5 of a core,
//! and no faults, this raised the share of the jobs' total value that was earned from nothing to 0.94
//! (docs/DECISIONS.md).

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::cell::tuning;
use crate::clock::Millis;
use crate::node::link_load::{Call, Figures, LinkWatch, Peer};
use crate::node::owner;
use crate::node::shared::Shared;

/// How often the wake-up delay is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The weight of the newest measurement in the average, in percent.  A single delay of a second, as
/// after the process was frozen, no longer matters after some ten measurements.
const SAMPLE_WEIGHT: Millis = 20;
/// A node with a higher average wake-up delay than this, in milliseconds, counts as overloaded.
/// Urgent jobs have 0.9 s to spare, and an order takes a handful of wake-ups.
const MAX_DELAY: Millis = 80;
/// The CPU time that owning a cell of several hundred workers takes at its peak, in thousandths of
/// a core: 350 workers take 200 under ordinary load.
pub const OWNER_MILLICORES: u32 = 250;
/// What the link of that owner carries at that peak in the direction that carries more, in kilobits
/// a second (docs/CAPACITY.md, "Links").
pub const OWNER_KILOBITS: u32 = 25_000;

/// The link, in kilobits a second, of which heartbeats to watchers at their usual interval take a
/// twentieth.
const USUAL_HEARTBEATS_FROM: u32 = 10_000;

/// The capacity and the load of a node.
#[derive(Debug)]
pub struct Load {
    /// The CPU capacity of the VM, in thousandths of a core.
    millicores: u32,
    /// The bandwidth of the VM's link, in kilobits a second; none if not known.
    link: Option<u32>,
    /// The average wake-up delay, in milliseconds: how late the node's timers fire.
    delay: AtomicU64,
    /// Whether the link is full.
    link_watch: Mutex<LinkWatch>,
}

/// Why a node is overloaded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Overload {
    /// Its turns come late.
    behind: bool,
    /// Its link is full.
    link_full: bool,
    /// It remembers that it lost the cell while its link was full.
    remembers_full: bool,
}

impl Load {
    /// Creates the load of a node that is not overloaded, on a VM with a capacity of `millicores` and
    /// a link of unknown bandwidth.
    pub fn new(millicores: u32) -> Self {
        Self {
            millicores,
            link: None,
            delay: AtomicU64::new(0),
            link_watch: Mutex::default(),
        }
    }

    /// Sets the bandwidth of the VM's link, in kilobits a second; none if it is not known.
    pub fn with_link(self, link: Option<u32>) -> Self {
        Self { link, ..self }
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

    /// Returns how much CPU the node could spend on owning the cell if it were idle, in thousandths
    /// of a core: what its processors have, and no more than its link can carry the calls of.
    pub fn capacity(&self) -> u32 {
        let by_link = self.link.map_or(u32::MAX, link_millicores);
        self.millicores.min(by_link)
    }

    /// Returns how many polls without news the node can make as the owner, a second: all that are
    /// wanted if it can own a cell of several hundred workers, and fewer in proportion.
    pub fn max_idle_polls(&self) -> u64 {
        let part = u64::from(self.capacity().min(OWNER_MILLICORES));
        tuning::MAX_IDLE_POLLS_PER_SECOND * part / u64::from(OWNER_MILLICORES)
    }

    /// Returns the interval at which the node sends heartbeats to watchers as the owner, in
    /// milliseconds.  It is longer on a narrow link, which they would fill.
    pub fn watcher_interval(&self) -> Millis {
        let link = self
            .link
            .unwrap_or(u32::MAX)
            .clamp(1, USUAL_HEARTBEATS_FROM);
        let interval =
            owner::HEARTBEAT_INTERVAL * Millis::from(USUAL_HEARTBEATS_FROM) / Millis::from(link);
        interval.min(owner::MAX_WATCHER_INTERVAL)
    }

    /// Returns how much CPU the node can spend on owning the cell, in thousandths of a core; zero
    /// while it is overloaded, and for some time after it has lost the cell with a full link.
    pub fn strength(&self) -> u32 {
        if self.overload() == Overload::default() {
            self.capacity()
        } else {
            0
        }
    }

    /// Returns whether the node's turns come late.
    pub fn is_behind(&self) -> bool {
        self.average_delay() > MAX_DELAY
    }

    /// Returns whether the node's link is full.
    pub fn is_link_full(&self) -> bool {
        self.link_watch().is_full()
    }

    /// Returns whether the node lost the cell not long ago while its link was full.
    pub fn remembers_full_link(&self) -> bool {
        self.link_watch().remembers_full()
    }

    /// Returns what the calls of late have shown about the link.
    pub fn link_figures(&self) -> Figures {
        self.link_watch().figures()
    }

    /// Notes a call of this node to a worker or to another node.
    pub fn note_call(&self, peer: Peer, call: Call) {
        self.link_watch().note(peer, call, self.average_delay());
    }

    /// Judges by the calls of late whether the link is full.  Only an owner makes enough calls to
    /// tell.
    pub fn review_link(&self, now: Millis, owns: bool) {
        let is_behind = self.is_behind();
        let mut watch = self.link_watch();
        match owns {
            true => watch.review(now, is_behind),
            false => watch.end_ownership(now),
        }
    }

    fn overload(&self) -> Overload {
        let watch = self.link_watch();
        Overload {
            behind: self.is_behind(),
            link_full: watch.is_full(),
            remembers_full: watch.remembers_full(),
        }
    }

    fn link_watch(&self) -> MutexGuard<'_, LinkWatch> {
        self.link_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the CPU time that an owner spends while it fills a link of this bandwidth, in thousandths
/// of a core; at least one, since zero stands for overload.
fn link_millicores(kilobits: u32) -> u32 {
    let millicores = u64::from(kilobits) * u64::from(OWNER_MILLICORES) / u64::from(OWNER_KILOBITS);
    u32::try_from(millicores).unwrap_or(u32::MAX).max(1)
}

/// Measures the node's wake-up delay and watches its link until the process ends.
pub async fn watch(shared: Arc<Shared>) {
    let mut before = Overload::default();
    loop {
        let began = shared.now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let now = shared.now();
        let took = now.saturating_sub(began);
        shared
            .load
            .record_delay(took.saturating_sub(SAMPLE_INTERVAL.as_millis() as Millis));
        shared.load.review_link(now, shared.engine().is_some());
        let overload = shared.load.overload();
        if overload != before {
            log_overload(&shared, before, overload);
            before = overload;
        }
    }
}

fn log_overload(shared: &Shared, before: Overload, overload: Overload) {
    let figures = shared.load.link_figures();
    tracing::info!(
        behind = overload.behind,
        late_ms = shared.load.average_delay(),
        link_full = overload.link_full,
        remembers_full_link = overload.remembers_full,
        workers = figures.workers,
        slow_workers = figures.slow_workers,
        answering_workers = figures.answering_workers,
        late_workers = figures.late_workers,
        answering_nodes = figures.answering_nodes,
        late_nodes = figures.late_nodes,
        capacity = shared.load.capacity(),
        "load of the node"
    );
    if overload.behind != before.behind {
        let event = ["caught_up", "behind"][usize::from(overload.behind)];
        shared.metrics.event(event);
    }
    if overload.link_full != before.link_full {
        let event = ["link_clear", "link_full"][usize::from(overload.link_full)];
        shared.metrics.event(event);
    }
}
