//! Faults, switched on and off by tests.

use std::collections::HashMap;

use crossweir::backend::VmState;
use crossweir::backend::local_store::StoreFault;
use crossweir::backend::local_worker::RunRecord;
use serde::{Deserialize, Serialize};

use crate::targets::Counts;
use crate::world::World;

/// A fault that is switched on or off.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The store refuses every call.
    StoreDown(bool),
    /// Writes take effect and their replies are lost.
    StoreReplyLost(bool),
    /// Every call to the store takes this long, in milliseconds.
    StoreSlow(u64),
    /// A VM does not answer.
    Freeze {
        /// The VM.
        vm: String,
        /// Whether it is frozen.
        on: bool,
    },
    /// A worker fails every task.
    FailAll {
        /// The worker.
        vm: String,
        /// Whether it does.
        on: bool,
    },
    /// A worker restarts: its tasks and its memory are gone.
    Restart {
        /// The worker.
        vm: String,
        /// The number of its new boot.
        boot: u64,
    },
    /// A target says that it is leaving; the list does not show it.
    TargetLeaving {
        /// The target.
        vm: String,
        /// Whether it is leaving.
        on: bool,
    },
    /// The list shows a VM as leaving.
    ListLeaving {
        /// The VM.
        vm: String,
    },
    /// The list no longer shows a VM.
    Unlist {
        /// The VM.
        vm: String,
    },
    /// Targets run requests and their answers are lost.
    LoseAnswers(bool),
}

/// What has happened so far, for tests.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Every run of every worker, by worker.
    pub runs: HashMap<String, Vec<RunRecord>>,
    /// What the targets counted.
    pub targets: Counts,
    /// Transactions and object writes that the store has served.
    pub writes: u64,
    /// Reads that the store has served.
    pub reads: u64,
}

/// Switches a fault on or off.
pub fn set(world: &World, fault: Fault) {
    match fault {
        Fault::StoreDown(on) => world.store.set_fault(if on {
            StoreFault::Down
        } else {
            StoreFault::None
        }),
        Fault::StoreReplyLost(on) => {
            world.store.set_fault(if on {
                StoreFault::ReplyLost
            } else {
                StoreFault::None
            });
        }
        Fault::StoreSlow(millis) => world.delays().store_ms = millis,
        Fault::Freeze { vm, on } => {
            world.delays().frozen.insert(vm, on);
        }
        Fault::FailAll { vm, on } => {
            world.workers.with(&vm, |worker, _| worker.fail_all = on);
        }
        Fault::Restart { vm, boot } => {
            world
                .workers
                .with(&vm, |worker, now| worker.restart(boot, now));
        }
        Fault::TargetLeaving { vm, on } => world.targets.set_leaving(&vm, on),
        Fault::ListLeaving { vm } => world.store.edit_vms(|vms| {
            let listed = vms.iter_mut().filter(|listed| listed.name == vm);
            listed.for_each(|listed| listed.state = VmState::Leaving);
        }),
        Fault::Unlist { vm } => world
            .store
            .edit_vms(|vms| vms.retain(|listed| listed.name != vm)),
        Fault::LoseAnswers(on) => world.targets.set_lose_answers(on),
    }
}

/// Returns what has happened so far.
pub fn report(world: &World) -> Report {
    let load = world.store.load();
    Report {
        runs: world.workers.histories(),
        targets: world.targets.counts(),
        writes: load.writes,
        reads: load.reads,
    }
}
