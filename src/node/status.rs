//! How a node stands, for people.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::evacuation::Halls;
use crate::node::front::Frontend;

/// Another node, as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it answers other nodes.
    pub address: String,
    /// How long ago it was heard; none if it never was.
    pub heard_ms_ago: Option<Millis>,
    /// Its own way to the store works, as it last said.
    pub reaches_store: bool,
    /// It is about to end.
    pub leaving: bool,
    /// The version of its configuration.
    pub configuration: u64,
}

/// A queue with what waits in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Its name.
    pub name: String,
    /// Its priority in the configuration.
    pub priority: u32,
    /// Jobs of which nothing has begun; none if the owner was not heard of late.
    pub pending: Option<u32>,
}

/// How a node stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub node: String,
    /// It takes work.
    pub ready: bool,
    /// It owns the cell.
    pub owns: bool,
    /// The highest epoch that it knows.
    pub epoch: u64,
    /// Where the owner of that epoch answers, if it is known.
    pub owner: Option<String>,
    /// Its own way to the store works.
    pub reaches_store: bool,
    /// The version of the configuration in force.
    pub configuration: u64,
    /// The evacuated halls; none if that could not be read yet.
    #[serde(default)]
    pub evacuated: Option<Halls>,
    /// The other nodes.
    pub members: Vec<MemberStatus>,
    /// The queues.
    pub queues: Vec<QueueStatus>,
}

impl Frontend {
    /// Tells how this node stands.
    pub fn status(&self) -> NodeStatus {
        let shared = &self.shared;
        let now = shared.now();
        let owner = shared.owner().clone();
        let known = shared.members();
        let members = known.iter().map(|(name, member)| MemberStatus {
            name: name.clone(),
            address: member.address.to_string(),
            heard_ms_ago: (member.last_heard > 0).then(|| now.saturating_sub(member.last_heard)),
            reaches_store: member.reaches_store,
            leaving: member.leaving,
            configuration: member.configuration,
        });
        let members = members.collect();
        drop(known);
        let config = shared.config();
        let queues = config.iter().flat_map(|config| config.queues());
        NodeStatus {
            node: shared.name.clone(),
            ready: self.is_ready(),
            owns: shared.engine().is_some(),
            epoch: owner.epoch,
            owner: owner.address.map(|address| address.to_string()),
            reaches_store: shared.reaches_store(),
            configuration: shared.config_version(),
            evacuated: shared.hall_rows().evacuated().map(Arc::unwrap_or_clone),
            members,
            queues: queues
                .map(|queue| QueueStatus {
                    name: queue.name.clone(),
                    priority: queue.priority,
                    pending: self.pending(&queue.name),
                })
                .collect(),
        }
    }
}
