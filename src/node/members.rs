//! The other nodes of the cell, with the state that each last reported of itself.
//!
//! Every node knows all others.  A heartbeat does not carry the list of nodes but a digest of the
//! sender's list, so its size does not depend on that of the cell.  While two digests differ,
//! changes of the list are sent along in pieces of bounded size, the newest change first.  With the
//! whole list in each heartbeat, 147 nodes sent 18 MB a second, and the owner spent most of its CPU
//! time on it (docs/CAPACITY.md, "Messages between nodes").

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::node::consent::Consent;
use crate::rpc::node::{Heartbeat, MemberChange};

/// A node that has been silent for this long, in milliseconds, is removed: either it is replaced by
/// one with another address, or it announces itself when it is back.
const FORGET_AFTER: Millis = 30_000;
/// The most changes of the list in one heartbeat.  With some 60 bytes for each, a list of 147 nodes
/// is transferred within a second, and a heartbeat stays below 1.5 KB.
pub const MAX_CHANGES: usize = 16;
/// How many of the nodes with the most CPU capacity are watchers, since they may own the cell next.
const STRONG_WATCHERS: usize = 8;
/// How many other nodes are watchers as well, in case all of the strongest are lost with the owner.
const OTHER_WATCHERS: usize = 4;
/// The number of watchers: nodes that get the owner's heartbeats at the short interval and are the
/// first to claim the cell when it is lost.
pub const WATCHERS: usize = STRONG_WATCHERS + OTHER_WATCHERS;
/// How many removed nodes are remembered, so that outdated reports by other nodes do not add them
/// again.
const MAX_REMOVED: usize = 256;

/// The row of a node in the store, which the node writes when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// The address at which it answers other nodes.
    pub address: SocketAddr,
    /// The capacity of its VM, in thousandths of a core: what its processors and its link allow.
    /// Nodes of versions that know no links tell their processors; all nodes use the number that a
    /// node tells of itself, so their digests and watchers agree.
    pub millicores: u32,
}

/// One other node.
#[derive(Debug, Clone)]
pub struct Member {
    /// The address at which it answers.
    pub address: SocketAddr,
    /// The capacity of its VM, in thousandths of a core; zero if that was never reported.
    pub millicores: u32,
    /// Identifies the current start of its process; zero if it was never heard.
    pub boot: u64,
    /// When it was last heard; zero if never.
    pub last_heard: Millis,
    /// The time from which its silence is counted, if it was not heard later.
    pub silent_since: Millis,
    /// It reaches the store directly.
    pub reaches_store: bool,
    /// Its process is shutting down.
    pub leaving: bool,
    /// The version of its configuration.
    pub configuration: u64,
    /// The highest epoch that it knows.
    pub epoch: u64,
    /// What it can spend on owning the cell, in thousandths of a core.
    pub strength: u32,
    /// For how long it had not heard the owner when it was last heard, in milliseconds.
    pub owner_silence: Millis,
    /// When the call was sent to which it last answered that it does not reach the store; zero if
    /// it has reported since that it does.
    pub no_store_asked: Millis,
    /// When this start of its process was first heard.
    pub boot_since: Millis,
    /// What it last answered about the ownership; none if it has answered no call.
    pub following: Option<Following>,
    /// Whether it has consented to an owner's going on without it, as it last reported.
    consent: Consent,
    /// The digest of its list of nodes, as it last reported.
    membership: u64,
    /// The number of the last change of its row.
    changed: u64,
    /// Changes from this number on have been sent to it since the newest change was made.
    sent_from: u64,
}

impl Member {
    fn new(row: NodeRow, now: Millis) -> Self {
        Self {
            address: row.address,
            millicores: row.millicores,
            boot: 0,
            last_heard: 0,
            silent_since: now,
            reaches_store: false,
            leaving: false,
            configuration: 0,
            epoch: 0,
            strength: 0,
            owner_silence: 0,
            no_store_asked: 0,
            boot_since: 0,
            following: None,
            consent: Consent::Unknown,
            membership: 0,
            changed: 0,
            sent_from: u64::MAX,
        }
    }

    /// Returns whether it was heard within the last `window`.
    pub fn was_heard(&self, window: Millis, now: Millis) -> bool {
        self.last_heard > 0 && now.saturating_sub(self.last_heard) < window
    }

    fn row(&self) -> NodeRow {
        NodeRow {
            address: self.address,
            millicores: self.millicores,
        }
    }
}

/// What a node has answered about the ownership, the same in each answer of a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Following {
    /// Identifies the start of its process.
    pub boot: u64,
    /// The highest epoch that it knows.
    pub epoch: u64,
    /// Whether it has consented to an owner's going on without it.
    pub consent: Consent,
    /// When the first of these answers was heard.
    pub since: Millis,
    /// When the call was sent to which the last of them was given.
    pub until: Millis,
}

/// Where a report on a third node comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the owner, which also reports removed nodes, or from a row that the node wrote itself.
    Authoritative,
    /// From any other node: it can only add nodes.
    Secondhand,
}

/// All other nodes by name.
#[derive(Debug)]
pub struct Members {
    own: String,
    known: BTreeMap<String, Member>,
    /// Nodes that were removed, with the number of that change.
    removed: BTreeMap<String, u64>,
    /// The node that each change is about, by the number of the change.  Only the last change of
    /// each node is kept.
    changes: BTreeMap<u64, String>,
    /// The number of the newest change.
    newest: u64,
    /// The digest of all nodes, including this one.
    digest: u64,
    /// The names of the watchers, which may include this node.
    watchers: BTreeSet<String>,
    /// The CPU capacity of this node's VM, which decides whether it is a watcher.
    own_millicores: u32,
}

impl Members {
    /// Creates the list of a node that knows only itself.
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

    /// Applies what a node reports of itself and of others.  Returns how many entries were refused,
    /// because they could not be parsed or were too many.
    pub fn apply_heartbeat(&mut self, beat: &Heartbeat, source: Source, now: Millis) -> usize {
        let refused = self.apply_changes(beat, source, now);
        if beat.name == self.own {
            return refused;
        }
        let Ok(address) = beat.address.parse() else {
            tracing::warn!(
                name = beat.name,
                address = beat.address,
                "cannot parse the address of a node"
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
        if member.boot != beat.boot {
            member.boot = beat.boot;
            member.boot_since = now;
        }
        member.last_heard = now;
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
        member.consent = beat.consent;
        refused
    }

    /// Notes that the state just heard from a node answers a call that was sent at `asked`.  The
    /// time of sending counts, since the time of arrival does not show when the answer was given:
    /// this process may have been suspended meanwhile.
    pub fn note_store_answer(&mut self, name: &str, asked: Millis) {
        let Some(member) = self.known.get_mut(name) else {
            return;
        };
        member.no_store_asked = if member.reaches_store { 0 } else { asked };
        let (boot, epoch, consent) = (member.boot, member.epoch, member.consent);
        let is_same =
            |known: &Following| (known.boot, known.epoch, known.consent) == (boot, epoch, consent);
        match &mut member.following {
            Some(known) if is_same(known) => {
                known.until = known.until.max(asked);
            }
            following => {
                *following = Some(Following {
                    boot,
                    epoch,
                    consent,
                    since: member.last_heard,
                    until: asked,
                });
            }
        }
    }

    fn apply_changes(&mut self, beat: &Heartbeat, source: Source, now: Millis) -> usize {
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

    /// Adds or updates a node according to another node or to the row in the store.  A secondhand
    /// report does not change a known node, or bring back a removed one.
    pub fn add(&mut self, name: &str, row: NodeRow, source: Source, now: Millis) {
        let is_new = !self.known.contains_key(name) && !self.removed.contains_key(name);
        if name != self.own && (is_new || source == Source::Authoritative) {
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
                tracing::debug!(name, address = %row.address, "node added");
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
        tracing::info!(name, address = %member.address, nodes = self.known.len(), "node removed");
        self.digest ^= digest_of(name, &member.row());
        self.changes.remove(&member.changed);
        self.note_change(name);
    }

    /// Numbers a change of a node's row as the newest one.  To every other node whose list differs,
    /// changes are sent again, starting with this one.
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

    /// The digest of all nodes in the list, for comparison with another node's.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether a node has the same list as this one, according to its last heartbeat.
    pub fn is_in_sync(&self, member: &Member) -> bool {
        member.membership == self.digest
    }

    /// Returns the next changes to send to a node; none if it has the same list.
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
            // After the oldest change it starts over, since any of the heartbeats may have been
            // lost.
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

    /// Counts the silence of all nodes from `now` on.  A node that has just become the owner has
    /// not heard most others before, since nodes other than the owner exchange no regular
    /// heartbeats.
    pub fn restart_silence(&mut self, now: Millis) {
        for member in self.known.values_mut() {
            member.silent_since = now;
        }
    }

    /// Removes nodes that have been silent for too long.
    pub fn forget_silent(&mut self, now: Millis) {
        let silent: Vec<String> = self
            .known
            .iter()
            .filter(|(_, m)| now.saturating_sub(m.last_heard.max(m.silent_since)) >= FORGET_AFTER)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.remove(&name);
        }
    }

    /// Iterates over all other nodes, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.known.iter()
    }

    /// Returns the node of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.known.get(name)
    }

    /// Returns whether a node is a watcher.
    pub fn watches(&self, name: &str) -> bool {
        self.watchers.contains(name)
    }

    /// The addresses of the other nodes in the order in which they are asked about the owner: first
    /// the watchers, then all others, in an order that is the same on every node.
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let mut others: Vec<(bool, u64, SocketAddr)> = self
            .known
            .iter()
            .map(|(name, member)| (!self.watches(name), name_hash(name), member.address))
            .collect();
        others.sort_unstable();
        others.into_iter().map(|(_, _, address)| address).collect()
    }

    /// The first [`WATCHERS`] of [`Self::candidates`]: all watchers if this node is not one of
    /// them, otherwise the other watchers and one more node.
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

    /// The addresses of nodes that were heard within `window` and may ask workers for this node, the
    /// strongest first.
    pub fn witnesses(&self, now: Millis, window: Millis) -> Vec<SocketAddr> {
        let known = self.known.iter();
        let mut heard: Vec<(&String, &Member)> = known
            .filter(|(_, member)| !member.leaving && member.was_heard(window, now))
            .collect();
        heard.sort_by_key(|(name, member)| (Reverse(member.strength), *name));
        heard.iter().map(|(_, member)| member.address).collect()
    }

    /// The addresses of nodes that were heard within `window` and reach the store, the most
    /// recently heard first.
    pub fn relays(&self, now: Millis, window: Millis) -> Vec<SocketAddr> {
        let mut relays: Vec<&Member> = self
            .known
            .values()
            .filter(|member| member.reaches_store && !member.leaving)
            .filter(|member| now.saturating_sub(member.last_heard) < window)
            .collect();
        relays.sort_by_key(|member| Reverse(member.last_heard));
        relays.iter().map(|member| member.address).collect()
    }
}

/// The digest of one node.  The digests of all nodes are combined by exclusive or, so that their
/// order does not matter, and adding or removing one takes a single step.
fn digest_of(name: &str, row: &NodeRow) -> u64 {
    xxh3_64(format!("{name} {} {}", row.address, row.millicores).as_bytes())
}

/// A hash by which nodes are sorted or spread: the same on every node, and without preference for
/// any.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
