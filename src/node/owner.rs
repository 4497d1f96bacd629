//! A node's view of who owns the cell, and when it suspects that the owner is lost.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::node::admission::HeardWaits;
use crate::rpc::node::Heartbeat;

/// Time granted to an owner on top of the heartbeats that may be missed, in milliseconds.  Urgent
/// jobs have 0.9 s to spare, and a takeover takes some 150 ms after the owner is suspected.
const SUSPECT_MARGIN: Millis = 100;
/// How many heartbeats in a row may be missed before the owner is suspected.
const TOLERATED_MISSES: Millis = 3;
/// Interval of the owner's heartbeats to a node that was not told another one, in milliseconds.
pub const HEARTBEAT_INTERVAL: Millis = 100;
/// The longest interval of an owner's heartbeats to watchers, in milliseconds, which it has on a
/// narrow link.  Urgent jobs have 0.9 s to spare.
pub const MAX_WATCHER_INTERVAL: Millis = 200;

/// What this node knows of the owner of the cell.
#[derive(Debug, Clone)]
pub struct Owner {
    /// The highest epoch that this node has learnt of.
    pub epoch: u64,
    /// The address of the owner of that epoch; none while no owner is known.
    pub address: Option<SocketAddr>,
    /// When the owner's last heartbeat was received; none if there was none.
    pub last_heard: Option<Millis>,
    /// When a node was last known to be claiming or loading the cell; it gets time to finish.
    pub claim_seen: Option<Millis>,
    /// The number of jobs of which no task has started, by queue, as the owner last reported it.
    pub pending: Vec<(String, u32)>,
    /// How long new jobs are expected to wait, as an owner last reported it.
    pub waits: HeardWaits,
    /// The interval of the owner's heartbeats to this node, in milliseconds.
    interval: Millis,
}

impl Default for Owner {
    fn default() -> Self {
        Self {
            epoch: 0,
            address: None,
            last_heard: None,
            claim_seen: None,
            pending: Vec::new(),
            waits: HeardWaits::default(),
            interval: HEARTBEAT_INTERVAL,
        }
    }
}

impl Owner {
    /// Returns whether neither the owner nor a claimant has been active for so long that this node
    /// may have to claim the cell.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.inactivity(now) > suspicion_timeout(self.interval)
    }

    /// Returns whether the owner itself has been silent for that long, whether or not another node
    /// is claiming the cell.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.silence(now) > suspicion_timeout(self.interval)
    }

    /// Sets the interval in milliseconds at which the owner says it sends heartbeats to this node;
    /// zero if it does not say.
    pub fn set_interval(&mut self, interval: u32) {
        self.interval = Millis::from(interval).max(HEARTBEAT_INTERVAL);
    }

    /// By how much the owner's heartbeats to watchers may come later than usual, in milliseconds, by
    /// the interval that it tells this node.
    pub fn extra_interval(&self) -> Millis {
        let interval = self.interval.min(MAX_WATCHER_INTERVAL);
        interval.saturating_sub(HEARTBEAT_INTERVAL)
    }

    /// Time since the owner was heard or a claim was seen, in milliseconds; the maximum if there
    /// was neither.
    fn inactivity(&self, now: Millis) -> Millis {
        elapsed(self.last_heard.max(self.claim_seen), now)
    }

    /// Time since the owner's last heartbeat, in milliseconds; the maximum if there was none.
    pub fn silence(&self, now: Millis) -> Millis {
        elapsed(self.last_heard, now)
    }

    /// Returns whether this heartbeat comes from the known owner and says that it no longer owns
    /// the cell.
    pub fn is_released_by(&self, beat: &Heartbeat) -> bool {
        let is_owner = self
            .address
            .is_some_and(|own| own.to_string() == beat.address);
        // A claimant that is still loading the cell does not say that it owns it either, but has
        // not been heard as the owner yet.
        let retired = self.last_heard.is_some() && beat.epoch == self.epoch && !beat.owns;
        is_owner && (beat.leaving || retired)
    }

    /// Forgets the owner, which has given the cell up or has restarted.  The time granted to a node
    /// that is claiming the cell goes on.
    pub fn release(&mut self) {
        let claim = self.claim_seen;
        self.clear();
        self.claim_seen = claim;
    }

    /// Forgets the owner and any claim, so that the cell counts as vacant at once.
    pub fn clear(&mut self) {
        self.address = None;
        self.last_heard = None;
        self.claim_seen = None;
        self.interval = HEARTBEAT_INTERVAL;
        self.waits = HeardWaits::default();
    }

    /// Notes that a node has claimed the cell under `epoch` and needs time to load it.
    pub fn await_claimant(&mut self, epoch: u64, address: Option<SocketAddr>, now: Millis) {
        self.epoch = epoch;
        self.address = address;
        self.last_heard = None;
        self.claim_seen = Some(now);
        self.interval = HEARTBEAT_INTERVAL;
    }

    /// Time since a claim was last seen, in milliseconds; none if that is too long ago to wait for
    /// it, or if an owner was heard since.
    pub fn claim_age(&self, now: Millis) -> Option<u32> {
        let age = now.saturating_sub(self.claim_seen?);
        (age <= suspicion_timeout(HEARTBEAT_INTERVAL)).then_some(age as u32)
    }

    /// Notes that a node was claiming or loading the cell at `seen_at`, and gives it time.
    pub fn note_claim(&mut self, seen_at: Millis) {
        self.claim_seen = self.claim_seen.max(Some(seen_at));
    }

    /// Notes a heartbeat of the owner under `epoch`.
    pub fn note_heartbeat(&mut self, epoch: u64, address: Option<SocketAddr>, now: Millis) {
        self.epoch = epoch;
        self.address = address;
        self.last_heard = Some(now);
        self.claim_seen = None;
    }
}

/// How long an owner or claimant whose heartbeats come at this interval may be silent before it is
/// suspected, in milliseconds.
fn suspicion_timeout(interval: Millis) -> Millis {
    TOLERATED_MISSES * interval + SUSPECT_MARGIN
}

fn elapsed(since: Option<Millis>, now: Millis) -> Millis {
    since.map_or(Millis::MAX, |since| now.saturating_sub(since))
}
