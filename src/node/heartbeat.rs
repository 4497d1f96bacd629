//! The owner's heartbeats: how often each node gets one, and what the owner does with the answers.
//!
//! A few nodes, the watchers, get heartbeats at a short interval, since one of them owns the cell
//! next; the others only need the data in a heartbeat.  With 147 nodes that makes 390 heartbeats a
//! second instead of 1,460, each of which costs the owner some 100 us of CPU time; a cell of up to
//! 13 nodes sees no difference.  Heartbeats are spread over the interval, so that the answers do
//! not arrive all at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Millis;
use crate::node::election;
use crate::node::link_load::{Call, Ending, Peer};
use crate::node::members::Members;
use crate::node::owner;
use crate::node::shared::Shared;
use crate::rpc::node::Heartbeat;

/// Interval of heartbeats to watchers, in milliseconds: a heartbeat costs its receiver some tens of
/// microseconds, and three may be missed before the owner is suspected.
pub const WATCHER_INTERVAL: Millis = owner::HEARTBEAT_INTERVAL;
/// Interval of heartbeats to all other nodes, in milliseconds: callers accept counts of pending
/// jobs that are 2 s old, and a node that is cut off from the store must learn of a newer
/// configuration within 2 s.
pub const DEFAULT_INTERVAL: Millis = 500;
/// Time limit for the answer to a heartbeat, in milliseconds.
pub const HEARTBEAT_TIMEOUT: Millis = 300;
/// How often the owner checks which nodes are due for a heartbeat.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the owner checks which nodes are gone, which nodes' connections to the advice service
/// can be used, and whether another node should own the cell; in milliseconds.
const REVIEW_INTERVAL: Millis = 100;

/// When each node is due for its next heartbeat.
#[derive(Debug, Default)]
pub struct Schedule {
    due: HashMap<String, Millis>,
}

/// A node that is due for a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// The name of the node.
    pub name: String,
    /// The address at which it answers.
    pub address: SocketAddr,
    /// Milliseconds until its next heartbeat.
    pub interval: Millis,
}

impl Schedule {
    /// Returns the nodes that are due now, and schedules their next heartbeats.  A node that was
    /// not known before is due at once.
    ///
    /// `watcher_interval` is that of heartbeats to watchers, in milliseconds.
    pub fn take_due(
        &mut self,
        members: &Members,
        watcher_interval: Millis,
        now: Millis,
    ) -> Vec<Due> {
        let nodes = members.iter().count().max(1) as Millis;
        let mut due = Vec::new();
        for (place, (name, member)) in members.iter().enumerate() {
            // A node whose list of members differs gets the changes at the short interval too, a
            // bounded number in each heartbeat.
            let is_short = members.watches(name) || !members.is_in_sync(member);
            let interval = if is_short {
                watcher_interval
            } else {
                DEFAULT_INTERVAL
            };
            let next = match self.due.get(name).copied() {
                // From the second heartbeat on, nodes are spread evenly over the interval.
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

/// Sends heartbeats to the other nodes for as long as this node owns the cell.
pub async fn run(shared: &Arc<Shared>) {
    let mut schedule = Schedule::default();
    let watcher_interval = shared.load.watcher_interval();
    let mut reviewed = 0;
    let mut beat: Option<(Millis, Heartbeat)> = None;
    shared.members().restart_silence(shared.now());
    while shared.engine().is_some() {
        let now = shared.now();
        let due = schedule.take_due(&shared.members(), watcher_interval, now);
        // Building a heartbeat counts all jobs, so one is reused for many nodes.
        beat = beat.filter(|(made, _)| now.saturating_sub(*made) < WATCHER_INTERVAL);
        let (made, base) = beat.get_or_insert_with(|| (now, shared.heartbeat()));
        let since = now.saturating_sub(*made) as u32;
        for node in due {
            spawn_exchange(shared, base, since, node);
        }
        if now.saturating_sub(reviewed) >= REVIEW_INTERVAL {
            reviewed = now;
            shared.members().forget_silent(now);
            election::review_ownership(shared).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a node the heartbeat `base`, which was made `since` milliseconds ago.
fn spawn_exchange(shared: &Arc<Shared>, base: &Heartbeat, since: u32, node: Due) {
    let (membership, changes) = {
        let mut members = shared.members();
        (members.digest(), members.changes_for(&node.name))
    };
    let beat = Heartbeat {
        interval: node.interval as u32,
        membership,
        changes,
        configuration_age: base.configuration_age.map(|age| age.saturating_add(since)),
        ..base.clone()
    };
    let beat = shared.addressed_to(&node.name, beat);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let sent = shared.now();
        let answer = election::exchange(&shared, node.address, beat, HEARTBEAT_TIMEOUT).await;
        let ending = match answer {
            Some(_) => Ending::Answered,
            None => Ending::Unanswered,
        };
        let call = Call {
            took: shared.now().saturating_sub(sent),
            wait: 0,
            ending,
        };
        shared.load.note_call(Peer::Node(node.address), call);
    });
}
