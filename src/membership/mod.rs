//! Which instances there are, and which of them are alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::model::VmBoot;
use crate::ownership::rendezvous::Candidate;
use crate::rpc::message::Beat;

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its address for other instances.
    pub rpc: SocketAddr,
    /// When it was last heard, by our clock; zero if never.
    pub heard_at: Millis,
    /// What it last said.
    pub beat: Option<Beat>,
}

/// The table of other instances, kept by heartbeats.
#[derive(Debug)]
pub struct Members {
    name: String,
    hall: String,
    suspect_after: Millis,
    peers: BTreeMap<String, Peer>,
    changed_at: Millis,
    alive_before: Vec<String>,
}

impl Members {
    /// Makes a table that knows only the instance itself.
    pub fn new(name: &str, hall: &str, suspect_after: Millis) -> Self {
        Self {
            name: name.to_owned(),
            hall: hall.to_owned(),
            suspect_after,
            peers: BTreeMap::new(),
            changed_at: 0,
            alive_before: Vec::new(),
        }
    }

    /// Adds an instance that is known from the settings or the store.
    pub fn introduce(&mut self, name: &str, rpc: SocketAddr) {
        if name == self.name {
            return;
        }
        let peer = self.peers.entry(name.to_owned()).or_insert(Peer {
            rpc,
            heard_at: 0,
            beat: None,
        });
        if peer.beat.is_none() {
            peer.rpc = rpc;
        }
    }

    /// Records a heartbeat.
    pub fn on_beat(&mut self, beat: Beat, now: Millis) {
        if beat.name == self.name {
            return;
        }
        let name = beat.name.clone();
        self.introduce(&name, beat.rpc);
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.rpc = beat.rpc;
            peer.heard_at = now;
            peer.beat = Some(beat);
        }
        self.note_changes(now);
    }

    /// Notes whether the set of instances that may own shards has changed.
    pub fn note_changes(&mut self, now: Millis) {
        let alive: Vec<String> = self
            .candidates(false, now)
            .into_iter()
            .map(|c| c.name)
            .collect();
        if alive != self.alive_before {
            self.alive_before = alive;
            self.changed_at = now;
        }
    }

    /// Returns for how long the set of instances has been the same.
    pub fn settled_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.changed_at)
    }

    /// Returns all known instances.
    pub fn peers(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    /// Returns an instance by name.
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Tells whether an instance has been heard lately.
    pub fn is_alive(&self, name: &str, now: Millis) -> bool {
        name == self.name
            || self
                .peers
                .get(name)
                .is_some_and(|peer| self.heard_lately(peer, now))
    }

    /// Returns how long an instance has not been heard.
    pub fn silence(&self, name: &str, now: Millis) -> Millis {
        let heard_at = self.peers.get(name).map_or(0, |peer| peer.heard_at);
        if name == self.name {
            0
        } else {
            now.saturating_sub(heard_at)
        }
    }

    fn heard_lately(&self, peer: &Peer, now: Millis) -> bool {
        peer.heard_at > 0 && now < peer.heard_at + self.suspect_after
    }

    /// Returns the instances that are alive and not leaving.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = (&String, &Peer, &Beat)> {
        self.peers.iter().filter_map(move |(name, peer)| {
            let beat = peer.beat.as_ref()?;
            (self.heard_lately(peer, now) && !beat.draining).then_some((name, peer, beat))
        })
    }

    /// Notes that a slot of another instance is about to be used, until it next tells.
    ///
    /// Without this, all requests between two heartbeats would go to one instance.
    pub fn use_slot(&mut self, name: &str, service: &str) {
        let beat = self.peers.get_mut(name).and_then(|peer| peer.beat.as_mut());
        let load = beat.and_then(|beat| {
            beat.services
                .iter_mut()
                .find(|load| load.service == service)
        });
        if let Some(load) = load {
            load.free = load.free.saturating_sub(1);
            load.queued += 1;
        }
    }

    /// Returns the instances that may own shards, this one among them unless it is `leaving`.
    pub fn candidates(&self, leaving: bool, now: Millis) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .alive(now)
            .map(|(name, _, beat)| Candidate {
                name: name.clone(),
                hall: beat.hall.clone(),
            })
            .collect();
        if !leaving {
            candidates.push(Candidate {
                name: self.name.clone(),
                hall: self.hall.clone(),
            });
        }
        candidates.sort_by(|a, b| a.name.cmp(&b.name));
        candidates
    }

    /// Returns the instances, with their incarnations, that can bear witness for a group of targets.
    pub fn witnesses(&self, now: Millis) -> Vec<VmBoot> {
        let witness = |(name, _, beat): (&String, &Peer, &Beat)| VmBoot {
            vm: name.clone(),
            boot: beat.incarnation,
        };
        self.alive(now).map(witness).collect()
    }

    /// Returns how many instances are known, this one included, and how many of them are heard.
    pub fn heard(&self, now: Millis) -> (usize, usize) {
        let heard = self
            .peers
            .values()
            .filter(|peer| self.heard_lately(peer, now))
            .count();
        (self.peers.len() + 1, heard + 1)
    }

    /// Forgets instances that have been silent for longer than `limit`.
    pub fn forget_silent(&mut self, limit: Millis, now: Millis) {
        self.peers
            .retain(|_, peer| peer.heard_at == 0 || now < peer.heard_at + limit);
    }
}
