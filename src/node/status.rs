//! The status of a node, for operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::evacuation::Halls;
use crate::node::front::Frontend;

/// What a node last reported counts for this long, in milliseconds: four heartbeats.
const HEARD_OF_LATE: Millis = 2_000;

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
    /// The newest version that is known to exist and is not in force here; none if there is none.
    #[serde(default)]
    pub newer_configuration: Option<u64>,
    /// Milliseconds since the version in force was last known to be the newest; none if it never
    /// was.
    #[serde(default)]
    pub configuration_age_ms: Option<Millis>,
    /// The evacuated data halls; none if they could not be read yet.
    #[serde(default)]
    pub evacuated: Option<Halls>,
    /// The other nodes.
    pub members: Vec<MemberStatus>,
    /// The queues.
    pub queues: Vec<QueueStatus>,
}

impl NodeStatus {
    /// The nodes that were heard of late and whose configuration is older than the newest one known
    /// here.  Only the owner hears all nodes regularly.
    pub fn behind(&self) -> impl Iterator<Item = &MemberStatus> {
        let newest = self.newer_configuration.unwrap_or(self.configuration);
        self.members
            .iter()
            .filter(|member| member.heard_ms_ago.is_some_and(|ms| ms <= HEARD_OF_LATE))
            .filter(move |member| member.configuration < newest)
    }
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
        let (newer, age) = {
            let freshness = shared.freshness();
            (freshness.newer(), freshness.age(now))
        };
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
            newer_configuration: newer.map(|notice| notice.version),
            configuration_age_ms: age,
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
