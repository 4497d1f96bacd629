//! Who owns the cell, as far as a node knows.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::rpc::node::Beat;

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

    /// Tells whether the owner says by this heartbeat that it does not own the cell any more.
    pub fn gives_up(&self, beat: &Beat) -> bool {
        let is_owner = self
            .address
            .is_some_and(|own| own.to_string() == beat.address);
        // One that has claimed the cell and still loads it was not heard as its owner.
        let retired = self.heard.is_some() && beat.epoch == self.epoch && !beat.owns;
        is_owner && (beat.leaving || retired)
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
