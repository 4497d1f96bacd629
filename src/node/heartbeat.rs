//! The owner's heartbeats: how often each node gets one, and what follows from the answers.
//!
//! A few nodes watch the owner closely, since one of them owns the cell next; the others only
//! need its news.  With 147 nodes that makes 390 heartbeats a second instead of 1,460, each of
//! some 100 us of the owner's processor; a cell of up to 13 nodes notices no difference.  They
//! are spread over the interval, so that answers do not come all at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Millis;
use crate::node::election;
use crate::node::members::Members;
use crate::node::owner;
use crate::node::shared::Shared;
use crate::rpc::node::Beat;

/// How often the nodes that watch the owner closely hear of it: a heartbeat costs its
/// receiver some tens of microseconds, and three may be missed before the owner is suspected.
pub const WATCHER_INTERVAL: Millis = owner::HEARTBEAT_INTERVAL;
/// How often all others do: callers accept counts of waiting jobs that are 2 s old, and a
/// node that is cut off from the store learns of a newer configuration within 2 s.
pub const DEFAULT_INTERVAL: Millis = 500;
/// How long a heartbeat may take.
pub const BEAT_TIMEOUT: Millis = 300;
/// How often the owner looks who is due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the owner looks who is gone, which nodes' ways to the advice service work, and
/// whether another node should own the cell.
const REVIEW_INTERVAL: Millis = 100;

/// When each node is due.
#[derive(Debug, Default)]
pub struct Schedule {
    due: HashMap<String, Millis>,
}

/// A node that is due for a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// Its name.
    pub name: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Milliseconds until its next one.
    pub interval: Millis,
}

impl Schedule {
    /// The nodes that are due now.  One that was not known before is due at once.
    pub fn take_due(&mut self, members: &Members, now: Millis) -> Vec<Due> {
        let nodes = members.iter().count().max(1) as Millis;
        let mut due = Vec::new();
        for (place, (name, member)) in members.iter().enumerate() {
            // One that knows other nodes than we do is told the rest piece by piece.
            let close = members.watches(name) || !members.is_in_sync(member);
            let interval = if close {
                WATCHER_INTERVAL
            } else {
                DEFAULT_INTERVAL
            };
            let next = match self.due.get(name).copied() {
                // After the first one each has a place of its own in the interval.
                None => now + interval * (place as Millis + 1) / nodes,
                Some(at) if at > now + interval => now + interval,
                Some(at) if at > now => continue,
                Some(at) => now.max(at + interval),
            };
            self.due.insert(name.clone(), next);
            due.push(Due {
                name: name.clone(),
                address: member.address,
                interval,
            });
        }
        if self.due.len() > members.iter().count() {
            self.due.retain(|name, _| members.get(name).is_some());
        }
        due
    }
}

/// Tells the other nodes of this owner for as long as it is one.
pub async fn run(shared: &Arc<Shared>) {
    let mut schedule = Schedule::default();
    let mut reviewed = 0;
    let mut beat: Option<(Millis, Beat)> = None;
    shared.members().restart_silence(shared.now());
    while let Some(engine) = shared.engine() {
        let now = shared.now();
        let due = schedule.take_due(&shared.members(), now);
        // The counts in a heartbeat go over all jobs, so it is made once for many nodes; ends that
        // wait for the store are told without that delay.
        let age = if engine.is_stalled() {
            0
        } else {
            WATCHER_INTERVAL
        };
        beat = beat.filter(|(made, _)| now.saturating_sub(*made) < age);
        let (_, base) = beat.get_or_insert_with(|| (now, shared.beat()));
        for node in due {
            spawn_exchange(shared, base, node);
        }
        if now.saturating_sub(reviewed) >= REVIEW_INTERVAL {
            reviewed = now;
            shared.members().forget_silent(now);
            election::review_ownership(shared).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn spawn_exchange(shared: &Arc<Shared>, base: &Beat, node: Due) {
    let (membership, changes) = {
        let mut members = shared.members();
        (members.digest(), members.changes_for(&node.name))
    };
    let beat = Beat {
        interval: node.interval as u32,
        membership,
        changes,
        ..base.clone()
    };
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let ends = beat.ends.clone();
        let answer = election::exchange(&shared, node.address, beat, BEAT_TIMEOUT).await;
        if let (Some(_), Some(engine)) = (answer, shared.engine()) {
            engine.mark_ends_known_to_peer(&ends);
        }
    });
}
