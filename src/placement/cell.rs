//! The state of the placement core and the accounts of its workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::clock::Millis;
use crate::model::{Epoch, Resources, VmBoot};
use crate::placement::health::Health;
use crate::placement::index::FreeIndex;
use crate::placement::pace::Pace;
use crate::placement::plan::Strategy;
use crate::placement::queue::Queue;
use crate::placement::reserve::Reservations;
use crate::placement::task::{Job, Task};
use crate::placement::worker::Worker;
use crate::placement::{JobKey, TaskKey, WorkerKey};

/// The numbers that a cell works with.
#[derive(Debug, Clone)]
pub struct Limits {
    /// How long the first lease of a started task runs, in milliseconds.
    pub start_lease: Millis,
    /// How long a renewed lease runs, in milliseconds.
    pub lease: Millis,
    /// By how much a worker's clock may differ in rate, in thousandths.
    pub drift_permille: u64,
    /// How often a task is tried before its failure is final.
    pub max_attempts: u32,
    /// How workers are chosen.
    pub strategy: Strategy,
    /// The share of the capacity that a team may occupy unless it has its own.
    pub default_quota: f64,
    /// The shares of single teams.
    pub quotas: HashMap<String, f64>,
    /// The seed of everything random.
    pub seed: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            start_lease: 2_000,
            lease: 10_000,
            drift_permille: 10,
            max_attempts: 5,
            strategy: Strategy::BestFit,
            default_quota: 1.0,
            quotas: HashMap::new(),
            seed: 1,
        }
    }
}

impl Limits {
    /// Returns how long after a reading a lease of `span` may still run, by our clock.
    pub fn over_after(&self, span: Millis) -> Millis {
        span + span * self.drift_permille / 1000 + 1
    }
}

/// A shard that this cell decides for, or once did.
#[derive(Debug, Clone)]
pub struct Shard {
    /// The name of the shard.
    pub name: String,
    /// Whether this cell decides for it now.
    pub owned: bool,
    /// The epoch at which it does.
    pub epoch: Epoch,
    /// Whether work that a predecessor knew of may be started.
    pub inherited_ok: bool,
}

/// A worker as it is listed by the platform.
#[derive(Debug, Clone)]
pub struct WorkerInfo {
    /// The name of the VM.
    pub name: String,
    /// The shard that decides for it.
    pub shard: String,
    /// The hall that it stands in.
    pub hall: String,
    /// The address of its interface.
    pub endpoint: String,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Counts of things that happened, taken by the caller for its metrics.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Tally(pub BTreeMap<&'static str, u64>);

impl Tally {
    /// Adds one to the count of `event`.
    pub fn add(&mut self, event: &'static str) {
        *self.0.entry(event).or_default() += 1;
    }
}

/// The placement core of one instance.
pub struct Cell {
    pub(super) limits: Limits,
    pub(super) shards: Vec<Shard>,
    pub(super) halls: Vec<String>,
    pub(super) index: Vec<FreeIndex>,
    pub(super) indexed: BTreeMap<WorkerKey, Resources>,
    pub(super) workers: SlotMap<WorkerKey, Worker>,
    pub(super) by_vm: HashMap<String, WorkerKey>,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) by_job: HashMap<String, JobKey>,
    pub(super) tasks: SlotMap<TaskKey, Task>,
    pub(super) queue: Queue,
    pub(super) usage: HashMap<String, Resources>,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    pub(super) misfits: Vec<Resources>,
    pub(super) urgent: super::plan::UrgentDemand,
    pub(super) holder: Option<JobKey>,
    pub(super) reservations: Reservations,
    pub(super) pace: Pace,
    pub(super) dirty: BTreeSet<(JobKey, usize)>,
    pub(super) rng: SmallRng,
    /// What happened since the tally was last taken.
    pub tally: Tally,
    /// Invariants that an operation would have broken; the operation was refused.
    pub violations: Tally,
    /// The waiting times of started tasks since they were last taken, by class label.
    pub waits: Vec<(&'static str, Millis)>,
}

impl Cell {
    /// Makes a cell without shards.
    pub fn new(limits: Limits) -> Self {
        let rng = SmallRng::seed_from_u64(limits.seed);
        Self {
            limits,
            shards: Vec::new(),
            halls: Vec::new(),
            index: Vec::new(),
            indexed: BTreeMap::new(),
            workers: SlotMap::with_key(),
            by_vm: HashMap::new(),
            jobs: SlotMap::with_key(),
            by_job: HashMap::new(),
            tasks: SlotMap::with_key(),
            queue: Queue::default(),
            usage: HashMap::new(),
            capacity: Resources::default(),
            free: Resources::default(),
            misfits: Vec::new(),
            urgent: super::plan::UrgentDemand::default(),
            holder: None,
            reservations: Reservations::default(),
            pace: Pace::default(),
            dirty: BTreeSet::new(),
            rng,
            tally: Tally::default(),
            violations: Tally::default(),
            waits: Vec::new(),
        }
    }

    /// Replaces the quotas, as a new configuration says.
    pub fn set_quotas(&mut self, default_quota: f64, quotas: HashMap<String, f64>) {
        self.limits.default_quota = default_quota;
        self.limits.quotas = quotas;
        self.misfits.clear();
    }

    /// Begins to decide for a shard; its inherited work stays put until allowed.
    pub fn own_shard(&mut self, name: &str, epoch: Epoch) {
        let index = self.shard_index(name);
        self.shards[index].owned = true;
        self.shards[index].epoch = epoch;
        self.shards[index].inherited_ok = false;
    }

    /// Takes no new work for a shard that is being handed over.
    pub fn close_shard(&mut self, name: &str) {
        let index = self.shard_index(name);
        for key in self.workers_of(index).collect::<Vec<_>>() {
            self.workers[key].usable = false;
            self.reindex(key, 0);
        }
    }

    /// Stops deciding for a shard and drops all that belongs to it.
    ///
    /// Nothing is reported as ended: the next owner finds the same record.
    pub fn disown_shard(&mut self, name: &str) {
        let index = self.shard_index(name);
        self.shards[index].owned = false;
        self.shards[index].inherited_ok = false;
        let workers: Vec<WorkerKey> = self.workers_of(index).collect();
        let tasks: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| self.belongs(task, index))
            .map(|(key, _)| key)
            .collect();
        for key in tasks {
            self.drop_task(key);
        }
        for key in workers {
            for task in self.workers[key].tasks.clone() {
                self.unplace(task);
            }
            self.drop_worker(key);
        }
        self.dirty.retain(|(_, shard)| *shard != index);
    }

    /// Adds a worker, or brings what is known of it up to date.
    pub fn list_worker(&mut self, info: &WorkerInfo, now: Millis) -> WorkerKey {
        let shard = self.shard_index(&info.shard);
        if let Some(key) = self.by_vm.get(&info.name).copied() {
            self.workers[key].leaving |= info.leaving;
            self.workers[key].endpoint.clone_from(&info.endpoint);
            self.reindex(key, now);
            return key;
        }
        let hall = self.hall_index(&info.hall);
        let worker = Worker {
            vm: VmBoot {
                vm: info.name.clone(),
                boot: 0,
            },
            shard,
            hall,
            endpoint: info.endpoint.clone(),
            capacity: info.capacity,
            free: info.capacity,
            usable: false,
            leaving: info.leaving,
            tasks: Vec::new(),
            health: Health::default(),
            held_for: None,
            reading: None,
            forget: Vec::new(),
            stop: Vec::new(),
            pressing: true,
        };
        let key = self.workers.insert(worker);
        self.by_vm.insert(info.name.clone(), key);
        key
    }

    /// Iterates over all workers with the names of their shards.
    pub fn workers(&self) -> impl Iterator<Item = (&str, &Worker)> {
        let shard = |worker: &Worker| self.shards[worker.shard].name.as_str();
        self.workers
            .values()
            .map(move |worker| (shard(worker), worker))
    }

    /// Returns the worker of a VM.
    pub fn worker(&self, vm: &str) -> Option<&Worker> {
        self.by_vm.get(vm).and_then(|key| self.workers.get(*key))
    }

    /// Returns the key of the worker of a VM.
    pub fn worker_key(&self, vm: &str) -> Option<WorkerKey> {
        self.by_vm.get(vm).copied()
    }

    /// Returns the names of the VMs of an owned shard.
    pub fn vms_of(&self, shard: &str) -> Vec<String> {
        let Some(index) = self.shards.iter().position(|s| s.name == shard) else {
            return Vec::new();
        };
        self.workers_of(index)
            .map(|key| self.workers[key].vm.vm.clone())
            .collect()
    }

    /// Returns how many workers of a shard may be given work.
    pub fn usable_in(&self, shard: &str) -> usize {
        let index = self.shards.iter().position(|known| known.name == shard);
        self.workers
            .values()
            .filter(|worker| Some(worker.shard) == index && worker.usable)
            .count()
    }

    /// Returns the room that is free on usable workers, and the room that they have.
    pub fn room(&self) -> (Resources, Resources) {
        (self.free, self.capacity)
    }

    /// Returns the room that is free on all workers, whether usable or not.
    pub fn free_everywhere(&self) -> Resources {
        let free = self.workers.values().map(|worker| worker.free);
        free.fold(Resources::default(), |sum, free| sum.plus(&free))
    }

    /// Returns how many jobs wait.
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many tasks the cell knows.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Checks that every account adds up; used by tests after every step.
    ///
    /// # Panics
    /// Panics with the name of the worker whose account is wrong.
    pub fn assert_accounts(&self) {
        for (key, worker) in &self.workers {
            let held = self.reservations.held_on(key);
            let used = worker.tasks.iter().fold(held, |sum, task| {
                sum.plus(&self.jobs[self.tasks[*task].job].spec.resources)
            });
            assert_eq!(
                used.plus(&worker.free),
                worker.capacity,
                "account of {}",
                worker.vm.vm
            );
        }
    }

    pub(super) fn shard_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.shards.iter().position(|shard| shard.name == name) {
            return index;
        }
        self.shards.push(Shard {
            name: name.to_owned(),
            owned: false,
            epoch: 0,
            inherited_ok: false,
        });
        self.shards.len() - 1
    }

    fn hall_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.halls.iter().position(|hall| hall == name) {
            return index;
        }
        self.halls.push(name.to_owned());
        self.index.push(FreeIndex::default());
        self.halls.len() - 1
    }

    pub(super) fn workers_of(&self, shard: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.shard == shard)
            .map(|(key, _)| key)
    }

    /// A task belongs to the shard that durably holds it, or is just being written to hold it.
    fn belongs(&self, task: &Task, shard: usize) -> bool {
        let coming = task.next_home == shard && (task.home.is_none() || task.in_flux);
        task.home == Some(shard) || coming
    }

    /// Removes a task from memory without saying that it ended.
    pub(super) fn drop_task(&mut self, key: TaskKey) {
        if !self.tasks.contains_key(key) {
            return;
        }
        self.vacate(key, 0);
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        let job = &mut self.jobs[task.job];
        job.tasks.remove(&task.index);
        job.waiting.remove(&task.index);
        let empty = job.tasks.is_empty();
        self.requeue_job(task.job);
        if empty {
            self.drop_job(task.job);
        }
    }

    fn drop_job(&mut self, key: JobKey) {
        self.dirty.retain(|(job, _)| *job != key);
        if let Some(job) = self.jobs.remove(key) {
            self.by_job.remove(&job.id);
        }
    }

    fn drop_worker(&mut self, key: WorkerKey) {
        self.workers[key].usable = false;
        self.reindex(key, 0);
        self.reservations.drop_worker(key);
        if let Some(worker) = self.workers.remove(key) {
            self.by_vm.remove(&worker.vm.vm);
        }
    }

    /// Forgets a worker that is no longer listed, once nothing can run on it.
    ///
    /// Returns whether it was forgotten.
    pub fn unlist_worker(&mut self, vm: &str) -> bool {
        let Some(key) = self.by_vm.get(vm).copied() else {
            return true;
        };
        self.workers[key].leaving = true;
        self.reindex(key, 0);
        if !self.workers[key].tasks.is_empty() {
            return false;
        }
        self.drop_worker(key);
        true
    }
}

impl Job {
    /// Returns the time at which the patience of the job ends.
    pub fn due(&self) -> Millis {
        self.accepted_at + self.ordering.patience_ms
    }
}
