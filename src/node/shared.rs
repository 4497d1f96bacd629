//! What all parts of a node share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::node::early_ends::EarlyEnds;
use crate::node::engine::Engine;
use crate::node::halls::HallRows;
use crate::node::links::{Advisor, Decoder, Workers};
use crate::node::load::Load;
use crate::node::members::{Members, NodeRow, Source};
use crate::node::owner::Owner;
use crate::node::route::{RELAY_WINDOW, ReplyTimeout, RoutedStore};
use crate::queue::Configuration;
use crate::rpc::node::{Heartbeat, NodeLink};
use crate::store::{StoreCall, StoreError, StoreReply};

/// Every cell's rows lie in a partition of their own.  There is one cell so far.
pub const PARTITION: &str = "c0";

/// Where nodes write where they are.  In the partition of the cell, 45 nodes that start again beside
/// a store that is 77 times slower would hold its owner's transactions up for 11 s.
pub const NODES_PARTITION: &str = "nodes";

/// Accepted jobs lie in so many partitions, which every node writes in turn: some of a
/// store's partitions may be down while others work, and a slow one takes few writes.
pub const JOB_PARTITIONS: usize = 24;

/// The name of a partition of jobs.
pub fn job_partition(number: usize) -> String {
    format!("j{}", number % JOB_PARTITIONS)
}

/// The way to the outside, given to a node when it is made.
pub struct Links {
    /// The store.
    pub store: Arc<dyn crate::store::Store>,
    /// Workers.
    pub workers: Arc<dyn Workers>,
    /// The advice service, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// The meaning of rows that others write.
    pub decoder: Arc<dyn Decoder>,
    /// Other nodes.
    pub peers: Arc<dyn NodeLink>,
}

/// Which node this is.
pub struct Identity {
    /// Its name, unique in the cell.
    pub name: String,
    /// Names this start of the process.
    pub boot: u64,
    /// Where it answers other nodes.
    pub address: SocketAddr,
}

/// What all parts of a node share.
pub struct Shared {
    /// The node's name.
    pub name: String,
    /// Names this start of the process.
    pub boot: u64,
    /// Where this node answers other nodes.
    pub address: SocketAddr,
    /// Nodes to ask when the store is not reached.
    pub seeds: Vec<SocketAddr>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// How much this node can do.
    pub load: Load,
    /// Counters.
    pub metrics: Metrics,
    /// Workers.
    pub workers: Arc<dyn Workers>,
    /// The advice service, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// The meaning of rows that others write.
    pub decoder: Arc<dyn Decoder>,
    /// Other nodes.
    pub peers: Arc<dyn NodeLink>,
    store: RoutedStore,
    members: Mutex<Members>,
    config: RwLock<Option<Arc<Configuration>>>,
    hall_rows: Mutex<HallRows>,
    owner: Mutex<Owner>,
    early_ends: Mutex<EarlyEnds>,
    engine: Mutex<Option<Arc<Engine>>>,
    leaving: AtomicBool,
    claiming: AtomicBool,
}

impl Shared {
    /// Puts a node's shared state together.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        clock: Arc<dyn Clock>,
        load: Load,
        metrics: Metrics,
        links: Links,
    ) -> Arc<Self> {
        let row = NodeRow {
            address: identity.address,
            millicores: load.millicores(),
        };
        let members = Members::new(&identity.name, &row);
        Arc::new(Self {
            name: identity.name,
            boot: identity.boot,
            address: identity.address,
            seeds,
            clock,
            load,
            metrics,
            workers: links.workers,
            advisor: links.advisor,
            decoder: links.decoder,
            peers: links.peers,
            store: RoutedStore::new(links.store),
            members: Mutex::new(members),
            config: RwLock::new(None),
            hall_rows: Mutex::default(),
            owner: Mutex::default(),
            early_ends: Mutex::default(),
            engine: Mutex::new(None),
            leaving: AtomicBool::new(false),
            claiming: AtomicBool::new(false),
        })
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The other nodes.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who owns the cell.
    pub fn owner(&self) -> MutexGuard<'_, Owner> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends that an owner told of and could not record.
    pub fn early_ends(&self) -> MutexGuard<'_, EarlyEnds> {
        self.early_ends
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The engine, if this node owns the cell.
    pub fn engine(&self) -> Option<Arc<Engine>> {
        self.engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// This node owns the cell, or does not any more.
    pub fn set_engine(&self, engine: Option<Arc<Engine>>) {
        *self.engine.lock().unwrap_or_else(PoisonError::into_inner) = engine;
    }

    /// The configuration in force, if one is known.
    pub fn config(&self) -> Option<Arc<Configuration>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force if it is newer; never goes back.
    pub fn adopt_config(&self, config: Configuration, source: &'static str) {
        let mut held = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let version = held.as_ref().map_or(0, |config| config.version);
        if config.version <= version {
            return;
        }
        tracing::info!(
            version = config.version,
            former = version,
            source,
            queues = config.queues().len(),
            "configuration in force"
        );
        *held = Some(Arc::new(config));
        drop(held);
        if let Some(engine) = self.engine() {
            engine.configure();
        }
    }

    /// What the operator's rows about halls say.
    pub fn hall_rows(&self) -> MutexGuard<'_, HallRows> {
        self.hall_rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The version of the configuration in force; zero for none.
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// The node is about to end.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether the node is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// The node is claiming the cell or loading it, or does not any more.
    pub fn set_claiming(&self, claiming: bool) {
        self.claiming.store(claiming, Ordering::Relaxed);
    }

    /// Renders counters and histograms as text.
    ///
    /// # Errors
    /// Fails if a collector cannot be encoded.
    pub fn render_metrics(&self) -> crate::error::Result<String> {
        if let Some(engine) = self.engine() {
            engine.export_counts(&self.metrics);
        }
        let owns = i64::from(self.engine().is_some());
        self.metrics.gauge("owns_cell", owns);
        self.metrics
            .gauge("configuration", self.config_version() as i64);
        let evacuated = self.hall_rows().evacuated();
        self.metrics.gauge(
            "evacuated_halls",
            evacuated.map_or(-1, |halls| halls.len() as i64),
        );
        self.metrics
            .gauge("late_ms", self.load.average_delay() as i64);
        let text = self.metrics.render()?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Makes a call to the store by any way.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store(self: &Arc<Self>, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store.call(self, call, ReplyTimeout::Adaptive).await
    }

    /// Makes a call to the store by any way, and waits for its answer as long as it may
    /// take: the caller has other tries beside this one.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store_without_timeout(
        self: &Arc<Self>,
        call: StoreCall,
    ) -> Result<StoreReply, StoreError> {
        self.store.call(self, call, ReplyTimeout::ClientOnly).await
    }

    /// Makes a call to the store through other nodes, or directly if there are none.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store_via_peers(
        self: &Arc<Self>,
        call: StoreCall,
    ) -> Result<StoreReply, StoreError> {
        match self.store.call_relayed(self, &call).await {
            Err(StoreError::Unavailable) => self.store_without_timeout(call).await,
            reply => reply,
        }
    }

    /// How long the answer to a transaction can be expected to take at most.
    pub fn store_timeout(&self) -> std::time::Duration {
        self.store.timeout()
    }

    /// Tells whether the store is slow, or may have turned so just now.
    pub fn store_is_slow(&self) -> bool {
        self.store.is_slow(self.now())
    }

    /// Tells whether the store takes long and does answer, so that waiting is worth while.
    pub fn store_answers_slowly(&self) -> bool {
        self.store.answers_slowly(self.now())
    }

    /// Our place among all nodes that we know, by name, and how many there are.
    pub fn rank(&self) -> (usize, usize) {
        let members = self.members();
        let before = members.iter().filter(|(name, _)| **name < self.name);
        (before.count(), members.iter().count() + 1)
    }

    /// Makes a call to the store by the direct way only, as for a peer.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store_direct(self: &Arc<Self>, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store
            .call_direct(self, call, ReplyTimeout::ClientOnly)
            .await
    }

    /// Watches the direct way to the store until the process ends.
    pub async fn probe_store(self: Arc<Self>) {
        self.store.probe_loop(Arc::clone(&self)).await;
    }

    /// Tells whether the store is reached by any way.
    pub fn can_reach_store(&self) -> bool {
        let relays = || self.members().relays(self.now(), RELAY_WINDOW);
        self.reaches_store() || !relays().is_empty()
    }

    /// Tells whether the direct way to the store works.
    pub fn reaches_store(&self) -> bool {
        self.store.direct_works()
    }

    /// How this node stands in the store.
    pub fn row(&self) -> NodeRow {
        NodeRow {
            address: self.address,
            millicores: self.load.millicores(),
        }
    }

    /// What this node says of itself to the node `name`, with what that one may not know of
    /// others.
    pub fn heartbeat_for(&self, name: &str) -> Heartbeat {
        let changes = self.members().changes_for(name);
        Heartbeat {
            changes,
            ..self.heartbeat()
        }
    }

    /// What this node says of itself.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.now();
        let owner = self.owner().clone();
        let engine = self.engine();
        let (pending, ends) = match &engine {
            Some(engine) => (engine.pending(), engine.early_ends()),
            None => (Vec::new(), self.early_ends().unknown_to(owner.epoch)),
        };
        let workspaces = match &engine {
            _ if ends.is_empty() => Vec::new(),
            Some(engine) => engine.workspaces_of(&ends),
            None => self.early_ends().workspaces(),
        };
        Heartbeat {
            name: self.name.clone(),
            boot: self.boot,
            address: self.address.to_string(),
            epoch: owner.epoch,
            owns: engine.is_some(),
            leaving: self.is_leaving(),
            configuration: self.config_version(),
            reaches_store: self.reaches_store(),
            owner_silence: if engine.is_some() {
                0
            } else {
                owner.silence(now)
            },
            membership: self.members().digest(),
            changes: Vec::new(),
            owner: owner
                .address
                .map_or_else(String::new, |address| address.to_string()),
            interval: 0,
            claim_age: match self.claiming.load(Ordering::Relaxed) {
                true => Some(0),
                false => owner.claim_age(now),
            },
            millicores: self.load.millicores(),
            strength: self.load.strength(),
            pending,
            ends,
            workspaces,
        }
    }

    fn apply_ends(&self, beat: &Heartbeat) {
        match self.engine() {
            _ if beat.owns => self.early_ends().apply_heartbeat(beat),
            Some(engine) if !beat.ends.is_empty() => {
                self.early_ends().add_workspaces(&beat.workspaces);
                engine.accept_peer_ends(&beat.ends);
            }
            _ => {}
        }
    }

    /// The owner of the highest epoch is sure of who is there; all others may be behind.
    fn apply_members(&self, beat: &Heartbeat, now: Millis) {
        let owner_speaks = beat.owns && beat.epoch >= self.owner().epoch;
        let source = match owner_speaks && self.engine().is_none() {
            true => Source::Authoritative,
            false => Source::Secondhand,
        };
        let refused = self.members().apply_heartbeat(beat, source, now);
        if refused > 0 {
            tracing::warn!(node = beat.name, refused, "entries of nodes are refused");
            self.metrics.event("unreadable_member");
        }
    }

    /// Takes in what another node says of itself.
    pub fn apply_heartbeat(&self, beat: &Heartbeat) {
        let now = self.now();
        self.apply_members(beat, now);
        self.apply_ends(beat);
        let mut owner = self.owner();
        if beat.owns && beat.epoch >= owner.epoch {
            let news = owner.epoch != beat.epoch || owner.address.is_none();
            if news {
                tracing::info!(epoch = beat.epoch, owner = beat.name, "owner of the cell");
            }
            owner.note_heartbeat(beat.epoch, beat.address.parse().ok(), now);
            owner.set_interval(beat.interval);
            owner.pending.clone_from(&beat.pending);
        } else if owner.is_released_by(beat) {
            tracing::info!(
                epoch = owner.epoch,
                owner = beat.name,
                "owner gives the cell up"
            );
            owner.release();
        } else if beat.epoch > owner.epoch {
            // Its claimant is loading the cell and soon tells of itself.
            owner.await_claimant(beat.epoch, None, now);
        }
        if let Some(age) = beat.claim_age
            && beat.epoch >= owner.epoch
        {
            owner.note_claim(now.saturating_sub(Millis::from(age)));
        }
        let epoch = owner.epoch;
        drop(owner);
        if let Some(engine) = self.engine()
            && epoch > engine.epoch
        {
            engine.retire("a higher epoch was heard of");
        }
    }
}
