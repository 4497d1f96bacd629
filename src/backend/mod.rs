//! What the platform gives, behind traits: the store, the list of VMs, workers
//! and targets.
//!
//! The decision cores never see these traits.  `local` keeps everything in
//! memory for the embedded mode and the stand-in; `remote` speaks HTTP.

pub mod local_store;
pub mod local_target;
pub mod local_worker;
pub mod remote;
pub mod store;
pub mod target;
pub mod vm;
pub mod worker;

pub use store::{Op, Row, Store, StoreError, Version};
pub use target::{TargetLink, TargetReply, TargetRequest};
pub use vm::{Vm, VmList, VmRole, VmState};
pub use worker::{Exchange, LinkError, StartOrder, TaskReport, WorkerLink, WorkerReply};

use std::sync::Arc;

/// The adapters that one instance uses.
#[derive(Clone)]
pub struct Platform {
    /// The table service and the object store.
    pub store: Arc<dyn Store>,
    /// The list of live and leaving VMs.
    pub vms: Arc<dyn VmList>,
    /// The way to workers.
    pub workers: Arc<dyn WorkerLink>,
    /// The way to targets.
    pub targets: Arc<dyn TargetLink>,
}
