//! Which other nodes there are, and what they last said of themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::rpc::node::Beat;

/// A node that has not been heard for so long is no longer asked: it is replaced
/// under another address, or tells of itself when it is back.
const FORGET_AFTER: Millis = 30_000;

/// One other node.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where it answers.
    pub address: SocketAddr,
    /// Names its present start; zero if it was never heard.
    pub boot: u64,
    /// When it was last heard; zero for never.
    pub heard: Millis,
    /// When it was first heard of.
    pub since: Millis,
    /// Its own way to the store works.
    pub reaches_store: bool,
    /// It is about to end.
    pub leaving: bool,
    /// The version of its configuration.
    pub configuration: u64,
    /// The highest epoch that it knows.
    pub epoch: u64,
    /// Thousandths of a core that it can spend on owning the cell.
    pub strength: u32,
    /// How long it had not heard the owner when it was last heard.
    pub owner_silence: Millis,
}

/// All other nodes by name.
#[derive(Debug, Default)]
pub struct Members {
    known: BTreeMap<String, Member>,
}

impl Members {
    /// Takes in what a node says of itself and of others; `own` is our own name.
    pub fn hear(&mut self, beat: &Beat, own: &str, now: Millis) {
        for (name, address) in &beat.members {
            self.mention(name, address, own, now);
        }
        self.mention(&beat.name, &beat.address, own, now);
        let Some(member) = self.known.get_mut(&beat.name) else {
            return;
        };
        member.boot = beat.boot;
        member.heard = now;
        member.reaches_store = beat.reaches_store;
        member.leaving = beat.leaving;
        member.configuration = beat.configuration;
        member.epoch = beat.epoch;
        member.strength = beat.strength;
        member.owner_silence = beat.owner_silence;
        if let Ok(address) = beat.address.parse() {
            member.address = address;
        }
    }

    /// Notes a node that somebody else told of, unless it is known.
    pub fn mention(&mut self, name: &str, address: &str, own: &str, now: Millis) {
        if name == own || self.known.contains_key(name) {
            return;
        }
        let Ok(address) = address.parse() else {
            tracing::warn!(name, address, "a node's address cannot be read");
            return;
        };
        tracing::info!(name, %address, "node known");
        let member = Member {
            address,
            boot: 0,
            heard: 0,
            since: now,
            reaches_store: false,
            leaving: false,
            configuration: 0,
            epoch: 0,
            strength: 0,
            owner_silence: 0,
        };
        self.known.insert(name.to_owned(), member);
    }

    /// A node's row in the store gives its present address.
    pub fn relocate(&mut self, name: &str, address: &str, own: &str, now: Millis) {
        self.mention(name, address, own, now);
        if let (Some(member), Ok(address)) = (self.known.get_mut(name), address.parse()) {
            member.address = address;
        }
    }

    /// Drops nodes that have been silent for long.
    pub fn forget_silent(&mut self, now: Millis) {
        self.known
            .retain(|_, member| now.saturating_sub(member.heard.max(member.since)) < FORGET_AFTER);
    }

    /// All nodes with their addresses.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.known
            .iter()
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    /// All nodes.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.known.iter()
    }

    /// Nodes that were heard within `window` and reach the store, the latest first.
    pub fn relays(&self, now: Millis, window: Millis) -> Vec<SocketAddr> {
        let mut relays: Vec<&Member> = self
            .known
            .values()
            .filter(|member| member.reaches_store && !member.leaving)
            .filter(|member| now.saturating_sub(member.heard) < window)
            .collect();
        relays.sort_by_key(|member| std::cmp::Reverse(member.heard));
        relays.iter().map(|member| member.address).collect()
    }
}
