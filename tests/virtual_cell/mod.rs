//! A cell of real instances in one process and virtual time, with faulty links.
//!
//! Only the interfaces are faked: the store, the list, the workers, the targets
//! and the links between instances.  Time moves only when everything waits, and
//! everything random comes from one seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossweir::backend::local_store::{LocalStore, StoreFault};
use crossweir::backend::local_worker::LocalWorker;
use crossweir::backend::store::{Op, Row, Version};
use crossweir::backend::{
    Exchange, LinkError, Platform, Store, StoreError, TargetLink, TargetReply, TargetRequest, Vm,
    VmList, VmRole, VmState, WorkerLink, WorkerReply,
};
use crossweir::clock::{Clock, Millis};
use crossweir::config::Config;
use crossweir::daemon::Instance;
use crossweir::daemon::status::InstanceStatus;
use crossweir::metrics::Metrics;
use crossweir::model::Resources;
use crossweir::rpc::local::LocalPeers;
use crossweir::rpc::{PeerCall, PeerError, PeerLink, PeerReply};
use futures::FutureExt;
use futures::future::BoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const CAPACITY: Resources = Resources::new(4_000, 8_192, 0);
pub const SLOTS: u32 = 8;

/// Virtual time since the start of the test.
#[derive(Clone, Copy)]
pub struct VirtualClock {
    start: tokio::time::Instant,
}

impl Clock for VirtualClock {
    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis + 1
    }
}

/// A worker with a clock of its own rate and origin.
struct DriftingWorker {
    worker: LocalWorker,
    offset: Millis,
    permille: u64,
}

impl DriftingWorker {
    fn local(&self, now: Millis) -> Millis {
        self.offset + now * self.permille / 1000
    }

    fn global(&self, local: Millis) -> Millis {
        local.saturating_sub(self.offset) * 1000 / self.permille
    }
}

/// What is broken now.
#[derive(Default)]
pub struct Faults {
    pub store: StoreFault,
    /// Links between an instance and the store, a worker or another instance.
    pub cut: BTreeSet<(String, String)>,
    pub frozen: BTreeSet<String>,
    /// Chance in percent that a message is lost, doubled or late.
    pub noise: u32,
}

/// What the targets have seen.
#[derive(Default)]
pub struct TargetCounts {
    pub runs: BTreeMap<String, u32>,
    pub order: Vec<String>,
    in_progress: BTreeMap<String, u32>,
    pub most_at_once: u32,
}

/// Everything outside the instances.
pub struct World {
    pub clock: VirtualClock,
    pub store: LocalStore,
    pub faults: Mutex<Faults>,
    pub targets: Mutex<TargetCounts>,
    workers: Mutex<BTreeMap<String, DriftingWorker>>,
    rng: Mutex<StdRng>,
}

impl World {
    pub fn new(seed: u64, halls: usize, workers_per_hall: usize) -> Arc<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut workers = BTreeMap::new();
        let mut vms = Vec::new();
        for hall in 0..halls {
            for index in 0..workers_per_hall {
                let name = format!("h{hall}-w{index}");
                let worker = DriftingWorker {
                    worker: LocalWorker::new(rng.random()),
                    offset: rng.random_range(0..1_000_000),
                    permille: rng.random_range(995..=1005),
                };
                workers.insert(name.clone(), worker);
                vms.push(vm(&name, hall, VmRole::Worker { capacity: CAPACITY }));
            }
            let role = VmRole::Target {
                service: String::from("echo"),
                slots: SLOTS,
                connections: 64,
            };
            vms.push(vm(&format!("h{hall}-t"), hall, role));
        }
        let store = LocalStore::default();
        store.set_vms(vms);
        Arc::new(Self {
            clock: VirtualClock {
                start: tokio::time::Instant::now(),
            },
            store,
            faults: Mutex::default(),
            targets: Mutex::default(),
            workers: Mutex::new(workers),
            rng: Mutex::new(rng),
        })
    }

    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn random(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .random_range(range)
    }

    pub fn restart_worker(&self, name: &str) {
        let boot = self.random(1..u64::MAX);
        let now = self.clock.now();
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(worker) = workers.get_mut(name) {
            let local = worker.local(now);
            worker.worker.restart(boot, local);
        }
    }

    pub fn set_fail_all(&self, name: &str, on: bool) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(worker) = workers.get_mut(name) {
            worker.worker.fail_all = on;
        }
    }

    pub fn worker_names(&self) -> Vec<String> {
        self.workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .keys()
            .cloned()
            .collect()
    }

    /// Returns every run as (task, worker, start, end) in the time of the test.
    pub fn runs(&self) -> Vec<(String, String, Millis, Millis)> {
        let now = self.clock.now();
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut runs = Vec::new();
        for (name, worker) in workers.iter_mut() {
            let local = worker.local(now);
            worker.worker.advance(local);
            for run in &worker.worker.history {
                let ended = run.ended.map_or(Millis::MAX, |ended| worker.global(ended));
                runs.push((
                    run.task.to_string(),
                    name.clone(),
                    worker.global(run.started),
                    ended,
                ));
            }
        }
        runs
    }

    /// Returns the tasks that ran in two places at once, with both runs.
    pub fn double_runs(&self) -> Vec<String> {
        // Converting between clocks rounds by up to this much.
        const ROUNDING: Millis = 3;
        let mut runs = self.runs();
        runs.sort_by(|a, b| (&a.0, a.2, a.3).cmp(&(&b.0, b.2, b.3)));
        let pairs = runs.windows(2).filter(|pair| {
            let later = pair[1].2 > pair[0].2 + ROUNDING;
            let long = pair[0].3.min(pair[1].3) > pair[1].2 + ROUNDING;
            pair[0].0 == pair[1].0 && pair[1].2 + ROUNDING < pair[0].3 && (later || long)
        });
        pairs
            .map(|pair| format!("{:?} and {:?}", pair[0], pair[1]))
            .collect()
    }

    /// Returns the workers on which tasks occupied more than there is.
    pub fn overcommitted(&self) -> Vec<String> {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let over = workers
            .iter()
            .filter(|(_, worker)| !worker.worker.peak.fits(&CAPACITY));
        over.map(|(name, _)| name.clone()).collect()
    }

    async fn delay(&self) {
        let millis = self.random(0..20);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Waits for as long as the instance is frozen.
    async fn thaw(&self, instance: &str) {
        while self.faults().frozen.contains(instance) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        let faults = self.faults();
        faults.cut.contains(&(a.to_owned(), b.to_owned()))
            || faults.cut.contains(&(b.to_owned(), a.to_owned()))
    }

    fn noisy(&self) -> bool {
        let noise = self.faults().noise;
        self.random(0..100) < u64::from(noise)
    }

    fn exchange_now(&self, name: &str, msg: &Exchange) -> Option<WorkerReply> {
        let now = self.clock.now();
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let worker = workers.get_mut(name)?;
        let local = worker.local(now);
        trace(name, msg, now);
        Some(worker.worker.exchange(msg, local))
    }
}

/// Shows every exchange that names the task in `CROSSWEIR_TRACE`, to explain a failing seed.
fn trace(worker: &str, msg: &Exchange, now: Millis) {
    let Ok(task) = std::env::var("CROSSWEIR_TRACE") else {
        return;
    };
    let text = format!("{msg:?}");
    let (job, index) = task.split_once('/').unwrap_or((&task, ""));
    if text.contains(&format!("job: {job:?}, index: {index}")) {
        println!("{now} {worker} {text}");
    }
}

fn vm(name: &str, hall: usize, role: VmRole) -> Vm {
    Vm {
        name: name.to_owned(),
        role,
        hall: format!("h{hall}"),
        rack: String::from("r0"),
        endpoint: name.to_owned(),
        state: VmState::Live,
    }
}

/// One instance's way to everything outside, with all its faults.
struct Links {
    world: Arc<World>,
    name: String,
    addr_names: Arc<Mutex<BTreeMap<SocketAddr, String>>>,
    peers: Arc<LocalPeers>,
}

const STORE_TIMEOUT: Duration = Duration::from_millis(400);

impl Links {
    async fn store_call<T>(
        &self,
        write: bool,
        apply: impl FnOnce() -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.world.thaw(&self.name).await;
        self.world.delay().await;
        if self.world.is_cut(&self.name, "store") {
            tokio::time::sleep(STORE_TIMEOUT).await;
            return Err(StoreError::Unavailable);
        }
        let fault = self.world.faults().store;
        if fault == StoreFault::Down {
            return Err(StoreError::Unavailable);
        }
        let late = write && self.world.noisy();
        if late {
            let pause = self.world.random(0..3_000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let result = apply();
        let lost = write && (self.world.noisy() || fault == StoreFault::ReplyLost);
        self.world.delay().await;
        self.world.thaw(&self.name).await;
        if lost {
            Err(StoreError::Unanswered)
        } else {
            result
        }
    }
}

impl Store for Links {
    fn read(&self, keys: Vec<String>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        self.store_call(false, move || {
            self.world.store.read(keys).now_or_never().expect("memory")
        })
        .boxed()
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, StoreError>> {
        self.store_call(false, move || {
            self.world
                .store
                .scan(prefix)
                .now_or_never()
                .expect("memory")
        })
        .boxed()
    }

    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Version, StoreError>> {
        self.store_call(true, move || self.world.store.apply(&ops))
            .boxed()
    }

    fn put_object(&self, key: String, body: Vec<u8>) -> BoxFuture<'_, Result<(), StoreError>> {
        self.store_call(true, move || {
            self.world
                .store
                .put_object(key, body)
                .now_or_never()
                .expect("memory")
        })
        .boxed()
    }

    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, StoreError>> {
        self.store_call(false, move || {
            self.world
                .store
                .get_object(key)
                .now_or_never()
                .expect("memory")
        })
        .boxed()
    }
}

impl VmList for Links {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, StoreError>> {
        self.store_call(false, move || {
            self.world.store.list().now_or_never().expect("memory")
        })
        .boxed()
    }
}

impl WorkerLink for Links {
    fn exchange(
        &self,
        endpoint: String,
        msg: Exchange,
    ) -> BoxFuture<'_, Result<WorkerReply, LinkError>> {
        async move {
            self.world.thaw(&self.name).await;
            self.world.delay().await;
            if self.world.is_cut(&self.name, &endpoint) {
                tokio::time::sleep(Duration::from_millis(300)).await;
                return Err(LinkError::Unanswered);
            }
            let lost_before = self.world.noisy();
            if self.world.noisy() {
                self.deliver_late(&endpoint, &msg);
            }
            if lost_before {
                return Err(LinkError::Unanswered);
            }
            let reply = self
                .world
                .exchange_now(&endpoint, &msg)
                .ok_or(LinkError::NotSent)?;
            self.world.delay().await;
            self.world.thaw(&self.name).await;
            if self.world.noisy() {
                Err(LinkError::Unanswered)
            } else {
                Ok(reply)
            }
        }
        .boxed()
    }
}

impl Links {
    /// Delivers a message, again or for the first time, long after it was sent.
    fn deliver_late(&self, endpoint: &str, msg: &Exchange) {
        let world = Arc::clone(&self.world);
        let (endpoint, msg) = (endpoint.to_owned(), msg.clone());
        let pause = world.random(0..8_000);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(pause)).await;
            world.exchange_now(&endpoint, &msg);
        });
    }
}

impl TargetLink for Links {
    fn send(
        &self,
        endpoint: String,
        req: TargetRequest,
    ) -> BoxFuture<'_, Result<TargetReply, LinkError>> {
        async move {
            self.world.thaw(&self.name).await;
            if self.world.is_cut(&self.name, &endpoint) {
                return Err(LinkError::NotSent);
            }
            self.world.delay().await;
            {
                let mut targets = self
                    .world
                    .targets
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                let text = String::from_utf8_lossy(&req.body).into_owned();
                *targets.runs.entry(text.clone()).or_default() += 1;
                targets.order.push(text);
                let now = targets.in_progress.entry(endpoint.clone()).or_default();
                *now += 1;
                let now = *now;
                targets.most_at_once = targets.most_at_once.max(now);
            }
            self.world.delay().await;
            {
                let mut targets = self
                    .world
                    .targets
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *targets.in_progress.entry(endpoint).or_default() -= 1;
            }
            self.world.thaw(&self.name).await;
            if self.world.noisy() {
                return Err(LinkError::Unanswered);
            }
            Ok(TargetReply {
                status: 200,
                body: req.body,
                leaving: false,
            })
        }
        .boxed()
    }
}

impl PeerLink for Links {
    fn call(
        &self,
        addr: SocketAddr,
        call: PeerCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        async move {
            self.world.thaw(&self.name).await;
            self.world.delay().await;
            let other = self
                .addr_names
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .get(&addr)
                .cloned();
            let other = other.unwrap_or_default();
            if self.world.is_cut(&self.name, &other) {
                return Err(PeerError::NotSent);
            }
            if self.world.noisy() {
                return Err(PeerError::Unanswered);
            }
            let carried = async {
                self.world.thaw(&other).await;
                let reply = self.peers.call(addr, call, timeout).await;
                self.world.thaw(&other).await;
                reply
            };
            let reply = tokio::time::timeout(Duration::from_millis(timeout), carried).await;
            self.world.thaw(&self.name).await;
            if self.world.noisy() {
                return Err(PeerError::Unanswered);
            }
            reply.unwrap_or(Err(PeerError::Unanswered))
        }
        .boxed()
    }
}

/// A cell of instances.
pub struct VirtualCell {
    pub world: Arc<World>,
    pub instances: BTreeMap<String, Arc<Instance>>,
    peers: Arc<LocalPeers>,
    addr_names: Arc<Mutex<BTreeMap<SocketAddr, String>>>,
    starts: u16,
    pub settings: String,
}

/// The settings of all instances: short times, so that a run sees many takeovers.
pub const SETTINGS: &str = "\
[platform]
url = http://127.0.0.1:9
poll_ms = 500
flush_ms = 100
list_lag_ms = 20000
[leases]
window_ms = 2500
pool_window_ms = 1500
start_ms = 1000
lease_ms = 4000
renew_ms = 1000
[membership]
beat_ms = 250
suspect_ms = 1000
settle_ms = 1000
";

impl VirtualCell {
    pub fn new(seed: u64, instances: usize, halls: usize, workers_per_hall: usize) -> Self {
        Self::with_settings(seed, instances, halls, workers_per_hall, SETTINGS)
    }

    pub fn with_settings(
        seed: u64,
        instances: usize,
        halls: usize,
        workers_per_hall: usize,
        settings: &str,
    ) -> Self {
        let mut cell = Self::empty(seed, halls, workers_per_hall);
        cell.settings = settings.to_owned();
        for index in 0..instances {
            cell.start_instance(&format!("e{index}"), &format!("h{}", index % halls));
        }
        cell
    }

    /// Makes a cell without instances.
    pub fn empty(seed: u64, halls: usize, workers_per_hall: usize) -> Self {
        Self {
            world: World::new(seed, halls, workers_per_hall),
            instances: BTreeMap::new(),
            peers: Arc::new(LocalPeers::default()),
            addr_names: Arc::default(),
            starts: 0,
            settings: SETTINGS.to_owned(),
        }
    }

    /// Starts an instance; a former one of that name has been killed.
    pub fn start_instance(&mut self, name: &str, hall: &str) {
        self.starts += 1;
        let rpc = SocketAddr::from(([127, 0, 0, 1], 10_000 + self.starts));
        let settings = format!(
            "[instance]\nname = {name}\nhall = {hall}\nhttp = 127.0.0.1:1\nrpc = {rpc}\n{}",
            self.settings
        );
        let cfg = Config::parse("test", &settings).expect("settings");
        self.addr_names
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(rpc, name.to_owned());
        // A killed instance is one that stays frozen for ever, under a name of its own.
        let links = Arc::new(Links {
            world: Arc::clone(&self.world),
            name: name.to_owned(),
            addr_names: Arc::clone(&self.addr_names),
            peers: Arc::clone(&self.peers),
        });
        let platform = Platform {
            store: links.clone(),
            vms: links.clone(),
            workers: links.clone(),
            targets: links.clone(),
        };
        let clock: Arc<dyn Clock> = Arc::new(self.world.clock);
        let metrics = Metrics::new().expect("metrics");
        let incarnation = self.world.random(1..u64::MAX);
        let instance = Instance::new(cfg, clock, platform, links, metrics, incarnation);
        let weak: std::sync::Weak<dyn crossweir::rpc::PeerService> = Arc::downgrade(&instance) as _;
        self.peers.insert(rpc, weak);
        instance.start();
        self.instances.insert(name.to_owned(), instance);
    }

    /// Kills an instance: nothing it has not yet sent will ever be sent.
    pub fn kill(&mut self, name: &str) {
        if let Some(instance) = self.instances.remove(name) {
            instance.stop();
            self.peers.remove(instance.cfg.rpc);
        }
    }

    /// Returns how every instance stands, to explain a failure.
    pub fn statuses(&self) -> Vec<InstanceStatus> {
        self.instances
            .values()
            .map(|instance| instance.status())
            .collect()
    }

    /// Waits until every shard is owned and open, for at most `limit` of virtual time.
    pub async fn settle(&self, limit: Millis) -> bool {
        let until = self.world.clock.now() + limit;
        while self.world.clock.now() < until {
            let owned: usize = self
                .instances
                .values()
                .map(|i| {
                    i.status()
                        .shards
                        .iter()
                        .filter(|s| s.inherited_open && s.confirmed_for_ms > 0)
                        .count()
                })
                .sum();
            let listed: BTreeSet<String> = self
                .world
                .store
                .list()
                .now_or_never()
                .expect("memory")
                .unwrap_or_default()
                .iter()
                .map(Vm::shard)
                .collect();
            if owned == listed.len() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }
}
