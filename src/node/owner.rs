//! Who owns the cell, as far as a node knows.

use std::net::SocketAddr;

use crate::clock::Millis;

/// Who owns the cell, as far as this node knows.
#[derive(Debug, Clone, Default)]
pub struct Owner {
    /// The highest epoch heard of.
    pub epoch: u64,
    /// Where its owner answers; none while there is no known owner.
    pub address: Option<SocketAddr>,
    /// When it was last heard itself; none if it never was.
    pub heard: Option<Millis>,
    /// Since when a node that has just claimed the cell is given time to load it.
    pub expected: Option<Millis>,
    /// Jobs of which nothing has begun by queue, as it last said.
    pub pending: Vec<(String, u32)>,
}

impl Owner {
    /// How long the owner has been silent; for ever if there is nobody to wait for.
    pub fn silence(&self, now: Millis) -> Millis {
        elapsed(self.heard.max(self.expected), now)
    }

    /// How long ago the owner itself was heard; for ever if it never was.
    pub fn unheard(&self, now: Millis) -> Millis {
        elapsed(self.heard, now)
    }

    /// There is nobody to wait for.
    pub fn forget(&mut self) {
        self.address = None;
        self.heard = None;
        self.expected = None;
    }

    /// Somebody has claimed the cell under `epoch` and needs time to load it.
    pub fn expect(&mut self, epoch: u64, address: Option<SocketAddr>, now: Millis) {
        self.epoch = epoch;
        self.address = address;
        self.heard = None;
        self.expected = Some(now);
    }

    /// The owner under `epoch` was heard.
    pub fn hear(&mut self, epoch: u64, address: Option<SocketAddr>, now: Millis) {
        self.epoch = epoch;
        self.address = address;
        self.heard = Some(now);
        self.expected = None;
    }
}

fn elapsed(since: Option<Millis>, now: Millis) -> Millis {
    since.map_or(Millis::MAX, |since| now.saturating_sub(since))
}
