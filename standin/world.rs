//! Everything that the stand-in plays.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crossweir::backend::local_store::LocalStore;
use crossweir::backend::local_worker::LocalWorkers;
use crossweir::backend::{Vm, VmRole, VmState};
use crossweir::clock::SystemClock;
use crossweir::model::Resources;

use crate::targets::Targets;

/// How large the played cell is.
pub struct Size {
    /// The halls.
    pub halls: Vec<String>,
    /// Workers in each hall.
    pub workers: usize,
    /// Workers in each rack.
    pub per_rack: usize,
    /// Cores of each worker.
    pub cores: u64,
    /// Memory of each worker, in GiB.
    pub memory_gib: u64,
    /// Targets in each hall.
    pub targets: usize,
    /// How long a target takes, in milliseconds.
    pub service_ms: u64,
}

/// What delays or withholds answers.
#[derive(Default)]
pub struct Delays {
    /// How long the store takes, in milliseconds.
    pub store_ms: u64,
    /// VMs that do not answer.
    pub frozen: HashMap<String, bool>,
}

/// The played cell.
pub struct World {
    /// The store and the list of VMs.
    pub store: LocalStore,
    /// The workers.
    pub workers: Arc<LocalWorkers>,
    /// The targets.
    pub targets: Targets,
    delays: Mutex<Delays>,
}

impl World {
    /// Makes a cell that answers at `address`.
    pub fn new(size: &Size, address: SocketAddr) -> Self {
        let vms = vms(size, address);
        let workers = vms
            .iter()
            .filter(|vm| matches!(vm.role, VmRole::Worker { .. }));
        let names: Vec<String> = workers.map(|vm| vm.name.clone()).collect();
        let store = LocalStore::default();
        store.set_vms(vms);
        Self {
            store,
            workers: Arc::new(LocalWorkers::new(Arc::new(SystemClock::new()), names)),
            targets: Targets::new(size.service_ms),
            delays: Mutex::default(),
        }
    }

    /// Returns what delays or withholds answers.
    pub fn delays(&self) -> MutexGuard<'_, Delays> {
        self.delays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether a VM does not answer.
    pub fn is_frozen(&self, vm: &str) -> bool {
        self.delays().frozen.get(vm).copied().unwrap_or(false)
    }
}

fn vms(size: &Size, address: SocketAddr) -> Vec<Vm> {
    let mut vms = Vec::new();
    for hall in &size.halls {
        for index in 0..size.workers {
            let name = format!("{hall}-w{index}");
            let capacity = Resources::new(size.cores * 1_000, size.memory_gib * 1_024, 0);
            let rack = format!("r{}", index / size.per_rack);
            let endpoint = format!("http://{address}/workers/{name}");
            vms.push(vm(name, VmRole::Worker { capacity }, hall, rack, endpoint));
        }
        for index in 0..size.targets {
            let name = format!("{hall}-t{index}");
            let role = VmRole::Target {
                service: String::from("echo"),
                slots: 8,
                connections: 64,
            };
            let endpoint = format!("http://{address}/targets/{name}");
            vms.push(vm(name, role, hall, String::from("r0"), endpoint));
        }
    }
    vms
}

fn vm(name: String, role: VmRole, hall: &str, rack: String, endpoint: String) -> Vm {
    Vm {
        name,
        role,
        hall: hall.to_owned(),
        rack,
        endpoint,
        state: VmState::Live,
    }
}
