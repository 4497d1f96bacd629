//! The state of one instance, and its loops.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::backend::store::Version;
use crate::backend::{Platform, Vm};
use crate::clock::{Clock, Millis};
use crate::config::Config;
use crate::daemon::configuration::Configuration;
use crate::daemon::keys::KeyTable;
use crate::daemon::marks::{self, Marks};
use crate::daemon::records::Writer;
use crate::daemon::shards::Held;
use crate::daemon::streams::Streams;
use crate::daemon::workers::WorkerTimes;
use crate::daemon::writes::WriteBudget;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::model::Epoch;
use crate::ownership::ShardMap;
use crate::ownership::shard::ShardRow;
use crate::placement::{Cell, Limits, Strategy};
use crate::routing::{Grant, Pool, RetryBudget, TicketId};
use crate::rpc::PeerLink;
use crate::rpc::message::Submitted;

/// How long the loops sleep when nothing wakes them, in milliseconds.
const TICK: Millis = 100;

/// Everything that changes, behind one lock.
pub struct State {
    /// The other instances.
    pub members: Members,
    /// The last known owner of every shard.
    pub map: ShardMap,
    /// The value of the shards' revision row at the last scan.
    pub shard_revision: Option<String>,
    /// The platform's last list of VMs.
    pub vms: Vec<Vm>,
    /// When each VM was last listed, by our clock.
    pub listed_at: BTreeMap<String, Millis>,
    /// Whether the list has been read at all.
    pub listed: bool,
    /// The shards that this instance owns.
    pub held: BTreeMap<String, Held>,
    /// The placement core.
    pub cell: Cell,
    /// The groups of targets that this instance owns.
    pub pools: BTreeMap<String, Pool>,
    /// Requests that wait for a slot.
    pub waiters: BTreeMap<TicketId, oneshot::Sender<(String, Grant)>>,
    /// Callers that wait until a job is durable.
    pub submissions: BTreeMap<String, Vec<oneshot::Sender<Submitted>>>,
    /// The highest epoch heard of for each group of targets.
    pub epochs_heard: BTreeMap<String, Epoch>,
    /// The configuration in force.
    pub configuration: Configuration,
    /// When each worker is to be spoken to.
    pub worker_times: BTreeMap<String, WorkerTimes>,
    /// Shards that are no longer acted on and whose rows still name this instance.
    pub unreleased: BTreeMap<String, (ShardRow, Version)>,
    /// The writes of records.
    pub writer: Writer,
    /// Rows of incoming tasks that were taken in and may be deleted, by shard and job.
    pub taken_in: BTreeMap<(String, String), Vec<String>>,
    /// The retry budget of requests to targets.
    pub retries: RetryBudget,
    /// How often the store has been polled.
    pub polls: u64,
    /// How often work to be moved has been looked for.
    pub spills: u64,
    /// Everything random of this instance.
    pub rng: StdRng,
}

/// One instance of the daemon.
pub struct Instance {
    /// The settings.
    pub cfg: Config,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform.
    pub platform: Platform,
    /// The way to other instances.
    pub peers: Arc<dyn PeerLink>,
    /// The counters.
    pub metrics: Metrics,
    /// A number that tells this start from any other.
    pub incarnation: u64,
    /// When it was started.
    pub started_at: Millis,
    /// The bound on writes to the store.
    pub writes: WriteBudget,
    /// The durable marks of requests that must not be repeated.
    pub marks: Marks,
    /// Requests by the caller's key.
    pub keys: KeyTable,
    /// Ordered streams.
    pub streams: Streams,
    /// Lets one write of records go at a time.
    pub record_turn: tokio::sync::Mutex<()>,
    /// Wakes the loop that speaks to workers.
    pub wake_workers: Notify,
    /// Wakes the loop that writes records.
    pub wake_records: Notify,
    me: Weak<Instance>,
    tasks: Mutex<Vec<AbortHandle>>,
    state: Mutex<State>,
    draining: AtomicBool,
    next_ticket: AtomicU64,
    in_progress: AtomicU64,
}

impl Instance {
    /// Makes an instance; nothing runs before [`Instance::start`].
    pub fn new(
        cfg: Config,
        clock: Arc<dyn Clock>,
        platform: Platform,
        peers: Arc<dyn PeerLink>,
        metrics: Metrics,
        incarnation: u64,
    ) -> Arc<Self> {
        let limits = Limits {
            start_lease: cfg.number("leases", "start_ms"),
            lease: cfg.number("leases", "lease_ms"),
            drift_permille: cfg.number("leases", "drift_permille"),
            max_attempts: cfg.number("placement", "max_attempts") as u32,
            strategy: Strategy::BestFit,
            seed: cfg.number("placement", "seed"),
            ..Limits::default()
        };
        let suspect = cfg.number("membership", "suspect_ms");
        let mut members = Members::new(&cfg.name, &cfg.hall, suspect);
        for peer in &cfg.peers {
            members.introduce(&peer.name, peer.rpc);
        }
        let state = State {
            members,
            map: ShardMap::default(),
            shard_revision: None,
            vms: Vec::new(),
            listed_at: BTreeMap::new(),
            listed: false,
            held: BTreeMap::new(),
            cell: Cell::new(limits),
            pools: BTreeMap::new(),
            waiters: BTreeMap::new(),
            submissions: BTreeMap::new(),
            epochs_heard: BTreeMap::new(),
            configuration: Configuration::default(),
            worker_times: BTreeMap::new(),
            unreleased: BTreeMap::new(),
            writer: Writer::default(),
            taken_in: BTreeMap::new(),
            retries: RetryBudget::new(cfg.number("limits", "retry_percent")),
            polls: 0,
            spills: 0,
            rng: StdRng::seed_from_u64(incarnation),
        };
        let started_at = clock.now();
        let writes = WriteBudget::new(cfg.number("platform", "flush_ms"));
        Arc::new_cyclic(|me| Self {
            cfg,
            clock,
            platform,
            peers,
            metrics,
            incarnation,
            started_at,
            writes,
            marks: Marks::default(),
            keys: KeyTable::default(),
            streams: Streams::default(),
            record_turn: tokio::sync::Mutex::new(()),
            wake_workers: Notify::new(),
            wake_records: Notify::new(),
            me: me.clone(),
            tasks: Mutex::default(),
            state: Mutex::new(state),
            draining: AtomicBool::new(false),
            next_ticket: AtomicU64::new(1),
            in_progress: AtomicU64::new(0),
        })
    }

    /// Starts all loops on the current runtime.
    pub fn start(self: &Arc<Self>) {
        let beat = self.cfg.beat();
        let poll = self.cfg.number("platform", "poll_ms");
        self.every(poll, |instance| async move { instance.poll().await });
        self.every(beat, |instance| async move { instance.beat_all().await });
        self.every(beat, |instance| async move { instance.tend_shards().await });
        self.every(beat, |instance| async move { instance.spill().await });
        self.spawn(Arc::clone(self).run_workers());
        self.spawn(Arc::clone(self).run_records());
        self.spawn(marks::run(Arc::clone(self)));
    }

    /// Runs `step` again and again, `period` milliseconds after it last ended.
    fn every<F, R>(self: &Arc<Self>, period: Millis, step: F)
    where
        F: Fn(Arc<Self>) -> R + Send + 'static,
        R: Future<Output = ()> + Send,
    {
        let instance = Arc::clone(self);
        self.spawn(async move {
            loop {
                step(Arc::clone(&instance)).await;
                tokio::time::sleep(Duration::from_millis(period)).await;
            }
        });
    }

    /// Runs a task that ends at the latest with [`Instance::stop`].
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task).abort_handle();
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.is_finished());
        tasks.push(handle);
    }

    /// Ends everything at once, wherever it is, as a kill does.
    pub fn stop(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
    }

    /// Returns the instance itself, for tasks that outlive a borrow.
    pub fn me(&self) -> Option<Arc<Instance>> {
        self.me.upgrade()
    }

    /// Locks the state.  The guard must not be held across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the longest time for which a loop sleeps.
    pub fn tick(&self) -> Duration {
        Duration::from_millis(TICK)
    }

    /// Draws a number for a claim; it is unique for all practical purposes.
    pub fn draw(&self) -> u64 {
        self.lock().rng.random()
    }

    /// Tells whether the instance is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Begins to leave: no new work, and every shard is handed over.
    pub fn begin_drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            tracing::info!("draining");
            self.metrics.event("drain");
        }
    }

    /// Returns a new number for a waiting request.
    pub fn next_ticket(&self) -> TicketId {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn enter(&self) -> InProgress<'_> {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        InProgress { instance: self }
    }

    /// Returns how many requests are in progress.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Moves the counts of the cores to the metrics.
    pub fn publish(&self, state: &mut State) {
        for (event, n) in std::mem::take(&mut state.cell.tally.0) {
            self.metrics.event_by(event, n);
        }
        for (invariant, n) in std::mem::take(&mut state.cell.violations.0) {
            for _ in 0..n {
                self.metrics.violation(invariant);
            }
        }
        for (class, waited) in std::mem::take(&mut state.cell.waits) {
            self.metrics.wait(class, waited);
        }
    }
}

/// A request in progress.
pub struct InProgress<'a> {
    instance: &'a Instance,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.instance.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}
