//! The platform's list of VMs, which lags behind reality.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::backend::store::StoreError;
use crate::model::Resources;

/// What a VM is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs tasks under leases.
    Worker {
        /// What it has.
        capacity: Resources,
    },
    /// It answers requests of one service.
    Target {
        /// The service that it belongs to.
        service: String,
        /// How many requests it takes at a time.
        slots: u32,
        /// How many connections it takes.
        connections: u32,
    },
}

/// What the list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It may be given work.
    Live,
    /// It must not be given new work.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: String,
    /// What it is for.
    pub role: VmRole,
    /// The hall that it stands in.
    pub hall: String,
    /// The rack that it stands in.
    pub rack: String,
    /// The base address of its interface, for example `http://127.0.0.1:9000/w1`.
    pub endpoint: String,
    /// Whether it may be given work.
    pub state: VmState,
}

impl Vm {
    /// Returns the shard that decides for this VM.
    ///
    /// Workers are sharded by rack, targets by service and hall.
    pub fn shard(&self) -> String {
        match &self.role {
            VmRole::Worker { .. } => format!("rack:{}:{}", self.hall, self.rack),
            VmRole::Target { service, .. } => format!("service:{}:{service}", self.hall),
        }
    }
}

/// The list as the rest of the program sees it.
pub trait VmList: Send + Sync {
    /// Returns all listed VMs.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, StoreError>>;
}
