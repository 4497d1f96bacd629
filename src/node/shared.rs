//! The state of a node that all its parts share, and what they do with it: access to the store,
//! heartbeats and metrics.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crate::cell::options::Options;
use tokio::sync::{Notify, Semaphore};

use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::node::admission::HeardWaits;
use crate::node::configuration_transfer::EncodedConfiguration;
use crate::node::consent::{Consent, ConsentRecord, Standing};
use crate::node::engine::Engine;
use crate::node::freshness::{self, Freshness, Notice};
use crate::node::halls::HallRows;
use crate::node::links::{Advisor, Decoder, Workers};
use crate::node::load::Load;
use crate::node::members::{Members, NodeRow, Source};
use crate::node::owner::Owner;
use crate::node::route::{RELAY_WINDOW, ReplyTimeout, RoutedStore};
use crate::node::witness;
use crate::queue::Configuration;
use crate::rpc::node::{Heartbeat, NodeLink};
use crate::store::{StoreCall, StoreError, StoreReply};

/// The partition of the cell's own rows.  Each cell has its own partition, and there is one cell so
/// far.
pub const CELL_PARTITION: &str = "c0";

/// The partition of the rows in which nodes publish their addresses.  It is not the cell's: there,
/// the writes of 45 nodes that restart while the store is 77 times slower would delay the owner's
/// transactions by 11 s.
pub const NODES_PARTITION: &str = "nodes";

/// The number of partitions for accepted jobs.  Each node writes to them in turn, since some
/// partitions may be unavailable while others work, and a slow store accepts few transactions in
/// each.
pub const JOB_PARTITIONS: usize = 24;

/// Returns the name of a partition of jobs; numbers beyond the last one wrap around.
pub fn job_partition(number: usize) -> String {
    format!("j{}", number % JOB_PARTITIONS)
}

/// The clients of a node for everything outside its process.
pub struct Links {
    /// The client of the store.
    pub store: Arc<dyn crate::store::Store>,
    /// Sends orders to workers.
    pub workers: Arc<dyn Workers>,
    /// The client of the advice service, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Decodes rows that others write.
    pub decoder: Arc<dyn Decoder>,
    /// Sends calls to other nodes.
    pub peers: Arc<dyn NodeLink>,
}

/// What identifies a node.
pub struct Identity {
    /// Its name, unique in the cell.
    pub name: String,
    /// A random number that identifies this start of its process.
    pub boot: u64,
    /// The address at which it answers other nodes.
    pub address: SocketAddr,
}

/// The shared state of a node.
pub struct Shared {
    /// The node's name, unique in the cell.
    pub name: String,
    /// A random number that identifies this start of the process.
    pub boot: u64,
    /// The address at which this node answers other nodes.
    pub address: SocketAddr,
    /// Addresses of nodes to ask when the store cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// The optional parts of scheduling that the settings enable.
    pub options: Options,
    /// The clock by which the node measures time.
    pub clock: Arc<dyn Clock>,
    /// The CPU capacity of this node, and whether it is overloaded.
    pub load: Load,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Sends orders to workers.
    pub workers: Arc<dyn Workers>,
    /// The client of the advice service, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Decodes rows that others write.
    pub decoder: Arc<dyn Decoder>,
    /// Sends calls to other nodes.
    pub peers: Arc<dyn NodeLink>,
    store: RoutedStore,
    members: Mutex<Members>,
    /// The configuration in force; none until one is known.
    config: RwLock<Option<Arc<Configuration>>>,
    /// Notified when a version above the one in force is reported.
    pub newer_config_noticed: Notify,
    /// The configuration as it is sent to other nodes, once one has asked for it.
    encoded_config: Mutex<Option<Arc<EncodedConfiguration>>>,
    freshness: Mutex<Freshness>,
    hall_rows: Mutex<HallRows>,
    owner: Mutex<Owner>,
    /// The calls of owners that this node carries out as a witness.
    pub(super) probe_calls: Semaphore,
    consent: Mutex<ConsentRecord>,
    /// The engine, while this node owns the cell.
    engine: Mutex<Option<Arc<Engine>>>,
    /// The process is shutting down.
    leaving: AtomicBool,
    /// This node is claiming the cell or loading it.
    claiming: AtomicBool,
}

impl Shared {
    /// Creates the shared state of a node that knows no other node and no configuration yet.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        clock: Arc<dyn Clock>,
        load: Load,
        metrics: Metrics,
        links: Links,
        options: Options,
    ) -> Arc<Self> {
        let row = NodeRow {
            address: identity.address,
            millicores: load.capacity(),
        };
        let members = Members::new(&identity.name, &row);
        Arc::new(Self {
            name: identity.name,
            boot: identity.boot,
            address: identity.address,
            seeds,
            options,
            clock,
            load,
            metrics,
            workers: links.workers,
            advisor: links.advisor,
            decoder: links.decoder,
            peers: links.peers,
            store: RoutedStore::new(links.store),
            members: Mutex::new(members),
            probe_calls: Semaphore::new(witness::MAX_PROBE_CALLS),
            config: RwLock::new(None),
            newer_config_noticed: Notify::new(),
            encoded_config: Mutex::default(),
            freshness: Mutex::default(),
            hall_rows: Mutex::default(),
            owner: Mutex::default(),
            consent: Mutex::default(),
            engine: Mutex::new(None),
            leaving: AtomicBool::new(false),
            claiming: AtomicBool::new(false),
        })
    }

    /// Returns the time by this node's clock, in milliseconds.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Locks and returns the list of the other nodes.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns what this node knows of the cell's owner.
    pub fn owner(&self) -> MutexGuard<'_, Owner> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this process has consented to an owner's going on without it.
    pub fn consent(&self) -> Consent {
        self.consent_record().consent
    }

    fn consent_record(&self) -> MutexGuard<'_, ConsentRecord> {
        self.consent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the engine if this node owns the cell.
    pub fn engine(&self) -> Option<Arc<Engine>> {
        self.engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets the engine of the cell that this node now owns, or removes it.
    pub fn set_engine(&self, engine: Option<Arc<Engine>>) {
        *self.engine.lock().unwrap_or_else(PoisonError::into_inner) = engine;
    }

    /// Returns the configuration in force, if one is known.
    pub fn config(&self) -> Option<Arc<Configuration>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force if its version is higher than the present one's.  `source` is
    /// logged.
    pub fn adopt_config(&self, config: Configuration, source: freshness::Source) {
        let mut in_force = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let version = in_force.as_ref().map_or(0, |config| config.version);
        if config.version <= version {
            return;
        }
        let notice = self.freshness().note_in_force(config.version);
        let known_for = notice.map_or(0, |notice| self.now().saturating_sub(notice.at));
        tracing::info!(
            version = config.version,
            former = version,
            %source,
            known_ms = known_for,
            queues = config.queues().len(),
            "configuration in force"
        );
        self.metrics.wait("configuration", known_for);
        *in_force = Some(Arc::new(config));
        drop(in_force);
        if let Some(engine) = self.engine() {
            engine.configure();
        }
    }

    /// Returns the configuration in force as it is sent to other nodes; none if there is none or it
    /// cannot be encoded.
    pub fn encoded_config(&self) -> Option<Arc<EncodedConfiguration>> {
        let config = self.config()?;
        let mut cached = self
            .encoded_config
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(encoded) = cached.as_ref().filter(|e| e.version() == config.version) {
            return Some(Arc::clone(encoded));
        }
        let encoded = EncodedConfiguration::new(&config)
            .inspect_err(|err| tracing::error!(%err, "cannot encode the configuration"));
        *cached = encoded.ok().map(Arc::new);
        cached.clone()
    }

    /// Locks and returns what this node knows about newer versions of the configuration.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies what a node reports of its configuration: that there is a version above the one in
    /// force, or when there was none.
    fn note_configuration(&self, beat: &Heartbeat, now: Millis) {
        let in_force = self.config_version();
        if beat.configuration <= in_force {
            let rows = (beat.operator_rows > 0).then_some(beat.operator_rows);
            match beat.configuration_age {
                Some(age) => {
                    let at = now.saturating_sub(age.into());
                    self.freshness().confirm(at, rows);
                }
                // The owner is of a version that does not report the age.
                None if beat.owns => self.freshness().confirm(now, None),
                None => {}
            }
            return;
        }
        let Ok(address) = beat.address.parse() else {
            return;
        };
        let notice = Notice {
            version: beat.configuration,
            from: freshness::Source::Node(address),
            at: now,
        };
        let mut freshness = self.freshness();
        let age = freshness.age(now);
        if freshness.note_newer(notice) {
            self.newer_config_noticed.notify_one();
            tracing::info!(
                version = beat.configuration,
                in_force,
                node = beat.name,
                age_ms = age,
                "newer configuration is known"
            );
        }
    }

    /// Locks and returns the evacuated halls according to the operator's rows.
    pub fn hall_rows(&self) -> MutexGuard<'_, HallRows> {
        self.hall_rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the configuration in force; zero if there is none.
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Marks the node as shutting down.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Sets whether this node is claiming the cell or loading it.
    pub fn set_claiming(&self, claiming: bool) {
        self.claiming.store(claiming, Ordering::Relaxed);
    }

    /// Updates the gauges and renders all metrics as text.
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
        let (newer, age) = {
            let freshness = self.freshness();
            (freshness.newer(), freshness.age(self.now()))
        };
        self.metrics.gauge(
            "newer_configuration",
            newer.map_or(0, |notice| notice.version as i64),
        );
        self.metrics
            .gauge("configuration_age_ms", age.map_or(-1, |age| age as i64));
        let evacuated = self.hall_rows().evacuated();
        self.metrics.gauge(
            "evacuated_halls",
            evacuated.map_or(-1, |halls| halls.len() as i64),
        );
        self.metrics
            .gauge("late_ms", self.load.average_delay() as i64);
        self.metrics
            .gauge("link_full", i64::from(self.load.is_link_full()));
        self.metrics
            .gauge("strength", i64::from(self.load.strength()));
        if self.options.may_reject() {
            let (waits, epoch) = self.expected_waits();
            let longest = waits.longest(epoch, self.now());
            self.metrics
                .gauge("expected_wait_ms", longest.map_or(-1, |wait| wait as i64));
        }
        let text = self.metrics.render()?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Returns how long new jobs are expected to wait, as far as this node knows, and the present
    /// epoch.
    pub fn expected_waits(&self) -> (HeardWaits, u64) {
        if let Some(engine) = self.engine() {
            return (engine.expected_waits(), engine.epoch);
        }
        let owner = self.owner();
        (owner.waits.clone(), owner.epoch)
    }

    /// Makes a call to the store, directly or through a peer.  The wait for the answer to a direct
    /// transaction is limited to [`Self::store_timeout`].
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store(self: &Arc<Self>, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store.call(self, call, ReplyTimeout::Adaptive).await
    }

    /// Makes a call to the store like [`Self::store`], but waits for the answer until the store
    /// client gives up.  For callers that may make other attempts meanwhile.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store_without_timeout(
        self: &Arc<Self>,
        call: StoreCall,
    ) -> Result<StoreReply, StoreError> {
        self.store.call(self, call, ReplyTimeout::ClientOnly).await
    }

    /// Makes a call to the store through a peer, or like [`Self::store_without_timeout`] if no peer
    /// could relay it.
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

    /// Returns the time that the answer to a transaction can be expected to take at most.
    pub fn store_timeout(&self) -> std::time::Duration {
        self.store.timeout()
    }

    /// Returns whether the store is slow, or has not answered for so long that it probably is.
    pub fn store_is_slow(&self) -> bool {
        self.store.is_slow(self.now())
    }

    /// Returns whether the store is slow but does answer, so that waiting longer can succeed.
    pub fn store_answers_slowly(&self) -> bool {
        self.store.answers_slowly(self.now())
    }

    /// Returns the position of this node, counted from zero, among all known nodes sorted by name,
    /// and the number of these nodes.
    pub fn rank(&self) -> (usize, usize) {
        let members = self.members();
        let before = members.iter().filter(|(name, _)| **name < self.name);
        (before.count(), members.iter().count() + 1)
    }

    /// Makes a call to the store on the direct route only, for example to relay it for a peer.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn store_direct(self: &Arc<Self>, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store
            .call_direct(self, call, ReplyTimeout::ClientOnly)
            .await
    }

    /// Probes the direct route to the store whenever it may have failed, until the process ends.
    pub async fn probe_store(self: Arc<Self>) {
        self.store.probe_loop(Arc::clone(&self)).await;
    }

    /// Returns whether the store can be reached, directly or through a peer.
    pub fn can_reach_store(&self) -> bool {
        let relays = || self.members().relays(self.now(), RELAY_WINDOW);
        self.reaches_store() || !relays().is_empty()
    }

    /// Returns whether the direct route to the store works.
    pub fn reaches_store(&self) -> bool {
        self.store.direct_works()
    }

    /// Waits until the direct route to the store works again after an outage.
    pub async fn store_regained(&self) {
        self.store.direct_regained().await;
    }

    /// Returns the row by which this node is known in the store.
    pub fn row(&self) -> NodeRow {
        NodeRow {
            address: self.address,
            millicores: self.load.capacity(),
        }
    }

    /// Builds a heartbeat for the node `name`, with changes of the list of nodes that it may not
    /// know.
    pub fn heartbeat_for(&self, name: &str) -> Heartbeat {
        let changes = self.members().changes_for(name);
        let beat = Heartbeat {
            changes,
            ..self.heartbeat()
        };
        self.addressed_to(name, beat)
    }

    /// Adds how this node stands as the owner, for the process of the node `name` that it knows.  The
    /// process is looked up first, so that no former one can consent to a later standing.
    pub(super) fn addressed_to(&self, name: &str, beat: Heartbeat) -> Heartbeat {
        let receiver_boot = self.members().get(name).map_or(0, |member| member.boot);
        let engine = self.engine();
        let told = engine.map(|engine| engine.standing_to_tell());
        let (standing, standing_number) = told.unwrap_or_default();
        Heartbeat {
            receiver_boot,
            standing,
            standing_number,
            ..beat
        }
    }

    /// Builds a heartbeat without changes of the list of nodes.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.now();
        let waits = match self.engine() {
            Some(engine) => engine.expected_waits(),
            None => HeardWaits::default(),
        };
        let owner = self.owner().clone();
        let engine = self.engine();
        let pending = engine.as_ref().map(|engine| engine.pending());
        let (age, rows) = {
            let freshness = self.freshness();
            (freshness.age(now), freshness.rows())
        };
        Heartbeat {
            name: self.name.clone(),
            boot: self.boot,
            address: self.address.to_string(),
            epoch: owner.epoch,
            owns: engine.is_some(),
            leaving: self.is_leaving(),
            configuration: self.config_version(),
            configuration_age: Some(age.map_or(u32::MAX, |age| age.min(u32::MAX.into()) as u32)),
            operator_rows: rows.unwrap_or_default(),
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
            millicores: self.load.capacity(),
            strength: self.load.strength(),
            pending: pending.unwrap_or_default(),
            waits: waits.waits,
            start_waits: waits.start_waits,
            standing: Standing::Unstated,
            standing_number: 0,
            receiver_boot: 0,
            consent: self.consent(),
        }
    }

    /// Applies a heartbeat to the list of nodes.  Only the owner of the highest epoch is an
    /// authoritative source, since the lists of other nodes may be outdated.
    fn apply_members(&self, beat: &Heartbeat, now: Millis) {
        let from_owner = beat.owns && beat.epoch >= self.owner().epoch;
        let source = match from_owner && self.engine().is_none() {
            true => Source::Authoritative,
            false => Source::Secondhand,
        };
        let refused = self.members().apply_heartbeat(beat, source, now);
        if refused > 0 {
            tracing::warn!(
                node = beat.name,
                refused,
                "entries of nodes in a heartbeat are refused"
            );
            self.metrics.event("unreadable_member");
        }
    }

    /// Applies a heartbeat of another node: to the list of nodes and to what is known of the owner.
    /// If it shows a higher epoch, this node's own engine retires.
    pub fn apply_heartbeat(&self, beat: &Heartbeat) {
        let now = self.now();
        self.apply_members(beat, now);
        self.note_configuration(beat, now);
        let mut owner = self.owner();
        if beat.owns && beat.epoch >= owner.epoch {
            let is_new = owner.epoch != beat.epoch || owner.address.is_none();
            if is_new {
                tracing::info!(epoch = beat.epoch, owner = beat.name, "owner of the cell");
            }
            owner.note_heartbeat(beat.epoch, beat.address.parse().ok(), now);
            owner.set_interval(beat.interval);
            owner.pending.clone_from(&beat.pending);
            owner.waits = HeardWaits::heard(beat, now);
            self.consent_record().apply(beat, self.boot);
        } else if owner.is_released_by(beat) {
            tracing::info!(
                epoch = owner.epoch,
                owner = beat.name,
                "owner gives the cell up"
            );
            owner.release();
        } else if beat.epoch > owner.epoch {
            // The claimant of that epoch is loading the cell and will soon send heartbeats.
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
            engine.retire("another node has reported a higher epoch");
        }
    }
}
