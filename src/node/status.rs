//! The status of a node, for operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::evacuation::Halls;
use crate::node::front::Frontend;

/// What this node knows of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the node.
    pub name: String,
    /// The address at which it answers other nodes.
    pub address: String,
    /// Milliseconds since it was last heard; none if it never was.
    pub heard_ms_ago: Option<Millis>,
    /// It reaches the store directly, as it last reported.
    pub reaches_store: bool,
    /// It is shutting down.
    pub leaving: bool,
    /// The version of its configuration, as it last reported.
    pub configuration: u64,
}

/// A queue and the number of jobs that wait in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The name of the queue.
    pub name: String,
    /// Its priority in the configuration.
    pub priority: u32,
    /// The number of jobs of which no task has started; none if the owner was not heard recently.
    pub pending: Option<u32>,
}

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the node.
    pub node: String,
    /// It accepts jobs.
    pub ready: bool,
    /// It owns the cell.
    pub owns: bool,
    /// The highest epoch that it has learnt of.
    pub epoch: u64,
    /// The address at which the owner of that epoch answers other nodes; none if it is not known.
    pub owner: Option<String>,
    /// It reaches the store directly.
    pub reaches_store: bool,
    /// The version of the configuration in force.
    pub configuration: u64,
    /// The evacuated data halls; none if they could not be read yet.
    #[serde(default)]
    pub evacuated: Option<Halls>,
    /// The other nodes.
    pub members: Vec<MemberStatus>,
    /// The queues.
    pub queues: Vec<QueueStatus>,
}

impl Frontend {
    /// Returns the status of this node.
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
