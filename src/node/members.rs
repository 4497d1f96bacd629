//! Which other nodes there are, and what they last said of themselves.
//!
//! Every node knows all others.  A heartbeat carries no list of them but a digest of the
//! list that its sender holds, so it has the same size in a cell of any size; what differs
//! goes over in bounded pieces, the newest change first, for as long as two digests differ.
//! With the whole list in each heartbeat, 147 nodes sent 18 MB a second and their owner
//! spent most of its processor on it (docs/CAPACITY.md, "Messages between nodes").

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::rpc::node::{Beat, MemberChange};

/// A node that has not been heard for so long is no longer asked: it is replaced
/// under another address, or tells of itself when it is back.
const FORGET_AFTER: Millis = 30_000;
/// The most changes in one heartbeat, some 60 bytes each: a list of 147 nodes goes over in a
/// second, and a heartbeat stays below 1.5 KB.
pub const MAX_CHANGES: usize = 16;
/// So many of the strongest nodes watch the owner closely, since they may own the cell next.
const STRONG_WATCHERS: usize = 8;
/// So many others watch it as well, in case all strong ones are lost with it.
const OTHER_WATCHERS: usize = 4;
/// So many nodes watch the owner closely.
pub const WATCHERS: usize = STRONG_WATCHERS + OTHER_WATCHERS;
/// So many nodes that are gone are remembered, so that nobody's word brings them back.
const MAX_REMOVED: usize = 256;

/// The row of a node in the store, which it writes when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Thousandths of a core that its VM gives.
    pub millicores: u32,
}

/// One other node.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where it answers.
    pub address: SocketAddr,
    /// Thousandths of a core that its VM gives; zero if that was never told.
    pub millicores: u32,
    /// Names its present start; zero if it was never heard.
    pub boot: u64,
    /// When it was last heard; zero for never.
    pub heard: Millis,
    /// Since when its silence counts.
    pub silent_since: Millis,
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
    /// When we asked it, the last time that it answered that it does not reach the store;
    /// zero if it has said otherwise since.
    pub no_store_asked: Millis,
    /// The digest of the nodes that it knows, as it last said.
    membership: u64,
    /// The number of the last change of what is told of it.
    changed: u64,
    /// Changes from this number on were told to it since the last one came about.
    sent_from: u64,
}

impl Member {
    fn new(row: NodeRow, now: Millis) -> Self {
        Self {
            address: row.address,
            millicores: row.millicores,
            boot: 0,
            heard: 0,
            silent_since: now,
            reaches_store: false,
            leaving: false,
            configuration: 0,
            epoch: 0,
            strength: 0,
            owner_silence: 0,
            no_store_asked: 0,
            membership: 0,
            changed: 0,
            sent_from: u64::MAX,
        }
    }

    /// Tells whether it was heard within the last `window`.
    pub fn was_heard(&self, window: Millis, now: Millis) -> bool {
        self.heard > 0 && now.saturating_sub(self.heard) < window
    }

    fn row(&self) -> NodeRow {
        NodeRow {
            address: self.address,
            millicores: self.millicores,
        }
    }
}

/// Whose word on a third node this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The owner's, which also tells who is gone; or a row that the node wrote itself.
    Authoritative,
    /// Another node's, which only adds nodes.
    Secondhand,
}

/// All other nodes by name.
#[derive(Debug)]
pub struct Members {
    own: String,
    known: BTreeMap<String, Member>,
    /// Nodes that were forgotten, with the number of that change.
    removed: BTreeMap<String, u64>,
    /// The name that each change was about; of several changes of one node only the last.
    changes: BTreeMap<u64, String>,
    /// The number of the newest change.
    newest: u64,
    /// The digest of all nodes, this one included.
    digest: u64,
    /// The nodes that watch the owner closely, this one included if it is one.
    watchers: BTreeSet<String>,
    /// What this node is, for the order of those that may own the cell.
    own_millicores: u32,
}

impl Members {
    /// A node that knows nobody but itself.
    pub fn new(own: &str, row: &NodeRow) -> Self {
        let mut members = Self {
            own: own.to_owned(),
            known: BTreeMap::new(),
            removed: BTreeMap::new(),
            changes: BTreeMap::new(),
            newest: 0,
            digest: digest_of(own, row),
            watchers: BTreeSet::new(),
            own_millicores: row.millicores,
        };
        members.choose_watchers();
        members
    }

    /// Takes in what a node says of itself and of others; tells how many entries could not be
    /// understood or were too many.
    pub fn apply_heartbeat(&mut self, beat: &Beat, source: Source, now: Millis) -> usize {
        let refused = self.apply_changes(beat, source, now);
        if beat.name == self.own {
            return refused;
        }
        let Ok(address) = beat.address.parse() else {
            tracing::warn!(
                name = beat.name,
                address = beat.address,
                "a node's address cannot be read"
            );
            return refused + 1;
        };
        let row = NodeRow {
            address,
            millicores: beat.millicores,
        };
        self.put(&beat.name, row, now);
        let Some(member) = self.known.get_mut(&beat.name) else {
            return refused;
        };
        member.boot = beat.boot;
        member.heard = now;
        member.reaches_store = beat.reaches_store;
        if beat.reaches_store {
            member.no_store_asked = 0;
        }
        member.leaving = beat.leaving;
        member.configuration = beat.configuration;
        member.epoch = beat.epoch;
        member.strength = beat.strength;
        member.owner_silence = beat.owner_silence;
        member.membership = beat.membership;
        refused
    }

    /// What was just heard of a node answers a call that was sent at `asked`.  When an answer
    /// arrives does not tell when it was given: this process may have stood still meanwhile.
    pub fn note_store_answer(&mut self, name: &str, asked: Millis) {
        if let Some(member) = self.known.get_mut(name) {
            member.no_store_asked = if member.reaches_store { 0 } else { asked };
        }
    }

    fn apply_changes(&mut self, beat: &Beat, source: Source, now: Millis) -> usize {
        let mut refused = beat.changes.len().saturating_sub(MAX_CHANGES);
        for change in beat.changes.iter().take(MAX_CHANGES) {
            match change {
                MemberChange::Gone(name) if source == Source::Authoritative => self.remove(name),
                MemberChange::Gone(_) => {}
                MemberChange::Known {
                    name,
                    address,
                    millicores,
                } => match address.parse() {
                    Ok(address) => {
                        let millicores = *millicores;
                        let row = NodeRow {
                            address,
                            millicores,
                        };
                        self.add(name, row, source, now);
                    }
                    Err(_) => refused += 1,
                },
            }
        }
        refused
    }

    /// Notes what somebody else says of a node, or what its row in the store says.
    pub fn add(&mut self, name: &str, row: NodeRow, source: Source, now: Millis) {
        let news = !self.known.contains_key(name) && !self.removed.contains_key(name);
        if name != self.own && (news || source == Source::Authoritative) {
            self.put(name, row, now);
        }
    }

    fn put(&mut self, name: &str, row: NodeRow, now: Millis) {
        match self.known.get_mut(name) {
            Some(member) if member.row() == row => return,
            Some(member) => {
                self.digest ^= digest_of(name, &member.row());
                self.digest ^= digest_of(name, &row);
                member.address = row.address;
                member.millicores = row.millicores;
            }
            None => {
                tracing::debug!(name, address = %row.address, "node known");
                self.digest ^= digest_of(name, &row);
                self.known.insert(name.to_owned(), Member::new(row, now));
            }
        }
        self.note_change(name);
    }

    fn remove(&mut self, name: &str) {
        let Some(member) = self.known.remove(name) else {
            return;
        };
        tracing::info!(name, address = %member.address, nodes = self.known.len(), "node forgotten");
        self.digest ^= digest_of(name, &member.row());
        self.changes.remove(&member.changed);
        self.note_change(name);
    }

    /// Everybody who does not know of it yet is told of the newest change first.
    fn note_change(&mut self, name: &str) {
        self.newest += 1;
        let newest = self.newest;
        let former = match self.known.get_mut(name) {
            Some(member) => {
                let former = std::mem::replace(&mut member.changed, newest);
                self.removed.remove(name).unwrap_or(former)
            }
            None => self
                .removed
                .insert(name.to_owned(), newest)
                .unwrap_or_default(),
        };
        self.changes.remove(&former);
        self.changes.insert(newest, name.to_owned());
        for member in self.known.values_mut() {
            member.sent_from = u64::MAX;
        }
        self.bound_removed();
        self.choose_watchers();
    }

    fn bound_removed(&mut self) {
        if self.removed.len() <= MAX_REMOVED {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, change)| **change);
        if let Some((name, change)) = oldest.map(|(name, change)| (name.clone(), *change)) {
            self.removed.remove(&name);
            self.changes.remove(&change);
        }
    }

    /// The digest of all nodes that we know, for comparison with another node's.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Tells whether a node knows the same nodes as we do, as far as it last said.
    pub fn is_in_sync(&self, member: &Member) -> bool {
        member.membership == self.digest
    }

    /// The next piece of what another node may not know; empty if it knows the same.
    pub fn changes_for(&mut self, name: &str) -> Vec<MemberChange> {
        let Some(sent_from) = self
            .known
            .get(name)
            .and_then(|member| (!self.is_in_sync(member)).then_some(member.sent_from))
        else {
            return Vec::new();
        };
        let piece = self.changes.range(..sent_from).rev().take(MAX_CHANGES);
        let mut last = u64::MAX;
        let mut changes = Vec::new();
        for (number, about) in piece {
            last = *number;
            if about != name {
                changes.push(self.change(about));
            }
        }
        if let Some(member) = self.known.get_mut(name) {
            // After the last piece the first one follows: any of them may have been lost.
            member.sent_from = last;
        }
        changes
    }

    fn change(&self, name: &str) -> MemberChange {
        match self.known.get(name) {
            Some(member) => MemberChange::Known {
                name: name.to_owned(),
                address: member.address.to_string(),
                millicores: member.millicores,
            },
            None => MemberChange::Gone(name.to_owned()),
        }
    }

    /// From now on silence counts: a node that has just become the owner has not heard most
    /// others before, as they do not speak to one another.
    pub fn restart_silence(&mut self, now: Millis) {
        for member in self.known.values_mut() {
            member.silent_since = now;
        }
    }

    /// Drops nodes that have been silent for long.
    pub fn forget_silent(&mut self, now: Millis) {
        let silent: Vec<String> = self
            .known
            .iter()
            .filter(|(_, m)| now.saturating_sub(m.heard.max(m.silent_since)) >= FORGET_AFTER)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.remove(&name);
        }
    }

    /// All nodes.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.known.iter()
    }

    /// The node of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.known.get(name)
    }

    /// Tells whether a node watches the owner closely.
    pub fn watches(&self, name: &str) -> bool {
        self.watchers.contains(name)
    }

    /// Other nodes in the order in which they are asked about the owner: those that watch it
    /// closely, then all others in an order that is the same everywhere.
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let mut others: Vec<(bool, u64, SocketAddr)> = self
            .known
            .iter()
            .map(|(name, member)| (!self.watches(name), name_hash(name), member.address))
            .collect();
        others.sort_unstable();
        others.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Where other nodes answer that watch the owner closely; if this one is none of them, one more
    /// is named.
    pub fn first_candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.candidates();
        candidates.truncate(WATCHERS);
        candidates
    }

    fn choose_watchers(&mut self) {
        let others = self.known.iter().map(|(name, m)| (m.millicores, name));
        let own = std::iter::once((self.own_millicores, &self.own));
        let mut all: Vec<(u32, &String)> = others.chain(own).collect();
        all.sort_unstable_by_key(|(millicores, name)| (Reverse(*millicores), *name));
        let strong = all.len().min(STRONG_WATCHERS);
        all[strong..].sort_unstable_by_key(|(_, name)| name_hash(name));
        all.truncate(WATCHERS);
        self.watchers = all.into_iter().map(|(_, name)| name.clone()).collect();
    }

    /// Nodes that were heard within `window` and reach the store, the latest first.
    pub fn relays(&self, now: Millis, window: Millis) -> Vec<SocketAddr> {
        let mut relays: Vec<&Member> = self
            .known
            .values()
            .filter(|member| member.reaches_store && !member.leaving)
            .filter(|member| now.saturating_sub(member.heard) < window)
            .collect();
        relays.sort_by_key(|member| Reverse(member.heard));
        relays.iter().map(|member| member.address).collect()
    }
}

/// Digests of different nodes are combined by exclusive or, so that their order does not
/// matter and one node comes or goes in one step.
fn digest_of(name: &str, row: &NodeRow) -> u64 {
    xxh3_64(format!("{name} {} {}", row.address, row.millicores).as_bytes())
}

/// A place in an order that is the same on every node and prefers nobody.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
