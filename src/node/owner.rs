//! Who owns the cell, as far as a node knows.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::rpc::node::Beat;

/// Beyond the heartbeats that it may miss, an owner is given so long: urgent jobs have 0.9 s to
/// spare, and a takeover takes some 150 ms more.
const SUSPECT_MARGIN: Millis = 100;
/// So many heartbeats may be missed before the owner is suspected.
const TOLERATED_MISSES: Millis = 3;
/// How often the owner is heard by nodes that it has not told otherwise.
pub const HEARTBEAT_INTERVAL: Millis = 100;

/// Who owns the cell, as far as this node knows.
#[derive(Debug, Clone)]
pub struct Owner {
    /// The highest epoch heard of.
    pub epoch: u64,
    /// Where its owner answers; none while there is no known owner.
    pub address: Option<SocketAddr>,
    /// When it was last heard itself; none if it never was.
    pub heard: Option<Millis>,
    /// Since when a node that has just claimed the cell is given time to load it.
    pub claim_seen: Option<Millis>,
    /// Jobs of which nothing has begun by queue, as it last said.
    pub pending: Vec<(String, u32)>,
    /// How often it tells of itself here, in milliseconds.
    interval: Millis,
}

impl Default for Owner {
    fn default() -> Self {
        Self {
            epoch: 0,
            address: None,
            heard: None,
            claim_seen: None,
            pending: Vec::new(),
            interval: HEARTBEAT_INTERVAL,
        }
    }
}

impl Owner {
    /// Tells whether the owner has been silent for so long that another may be needed.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.inactivity(now) > suspicion_timeout(self.interval)
    }

    /// Tells whether the owner itself has been silent for so long, whoever else claims the cell.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.silence(now) > suspicion_timeout(self.interval)
    }

    /// The owner tells of itself this often here; zero if it did not say.
    pub fn set_interval(&mut self, interval: u32) {
        self.interval = Millis::from(interval).max(HEARTBEAT_INTERVAL);
    }

    /// How long the owner has been silent; for ever if there is nobody to wait for.
    fn inactivity(&self, now: Millis) -> Millis {
        elapsed(self.heard.max(self.claim_seen), now)
    }

    /// How long ago the owner itself was heard; for ever if it never was.
    pub fn silence(&self, now: Millis) -> Millis {
        elapsed(self.heard, now)
    }

    /// Tells whether the owner says by this heartbeat that it does not own the cell any more.
    pub fn is_released_by(&self, beat: &Beat) -> bool {
        let is_owner = self
            .address
            .is_some_and(|own| own.to_string() == beat.address);
        // One that has claimed the cell and still loads it was not heard as its owner.
        let retired = self.heard.is_some() && beat.epoch == self.epoch && !beat.owns;
        is_owner && (beat.leaving || retired)
    }

    /// The owner has given the cell up, or has started again; a node that claims the cell is
    /// waited for all the same.
    pub fn release(&mut self) {
        let claim = self.claim_seen;
        self.clear();
        self.claim_seen = claim;
    }

    /// There is nobody to wait for.
    pub fn clear(&mut self) {
        self.address = None;
        self.heard = None;
        self.claim_seen = None;
        self.interval = HEARTBEAT_INTERVAL;
    }

    /// Somebody has claimed the cell under `epoch` and needs time to load it.
    pub fn await_claimant(&mut self, epoch: u64, address: Option<SocketAddr>, now: Millis) {
        self.epoch = epoch;
        self.address = address;
        self.heard = None;
        self.claim_seen = Some(now);
        self.interval = HEARTBEAT_INTERVAL;
    }

    /// How long ago a node that is claiming the cell was heard; none if that was too long ago, or
    /// if an owner was heard since.
    pub fn claim_age(&self, now: Millis) -> Option<u32> {
        let age = now.saturating_sub(self.claim_seen?);
        (age <= suspicion_timeout(HEARTBEAT_INTERVAL)).then_some(age as u32)
    }

    /// A node that is claiming the cell, or loading it, was heard at `heard`: it is given time.
    pub fn note_claim(&mut self, heard: Millis) {
        self.claim_seen = self.claim_seen.max(Some(heard));
    }

    /// The owner under `epoch` was heard.
    pub fn note_heartbeat(&mut self, epoch: u64, address: Option<SocketAddr>, now: Millis) {
        self.epoch = epoch;
        self.address = address;
        self.heard = Some(now);
        self.claim_seen = None;
    }
}

/// How long a node that tells of itself every `interval` may be silent before it is suspected.
fn suspicion_timeout(interval: Millis) -> Millis {
    TOLERATED_MISSES * interval + SUSPECT_MARGIN
}

fn elapsed(since: Option<Millis>, now: Millis) -> Millis {
    since.map_or(Millis::MAX, |since| now.saturating_sub(since))
}
