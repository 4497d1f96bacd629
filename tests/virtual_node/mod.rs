//! Fixture: one node in virtual time, with a store in memory that can be made to fail and simulated
//! peers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossweir::cell::job::JobState;
use crossweir::cell::options::Options;
use crossweir::cell::order::{
    PollFailure, PollOrder, PollReport, StartOrder, StartOutcome, StopOrder,
};
use crossweir::cell::spec::JobId;
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::store::MemoryStore;
use crossweir::metrics::Metrics;
use crossweir::node::configuration_transfer::EncodedConfiguration;
use crossweir::node::consent::ConsentRecord;
use crossweir::node::freshness;
use crossweir::node::intake::SubmitOutcome;
use crossweir::node::links::{DecodeError, Decoder, Workers};
use crossweir::node::load::Load;
use crossweir::node::recording::OwnerRow;
use crossweir::node::shared::{Identity, Links, Shared};
use crossweir::node::witness::{self, ProbeCall};
use crossweir::queue::{Configuration, Draft, Queue};
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{Heartbeat, NodeCall, NodeLink, NodeReply, PieceRequest};
use crossweir::store::{
    RowKey, Store, StoreCall, StoreError, StoreReply, Table, Transaction, encode,
};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::Instant;

/// A clock that follows the paused time of the Tokio runtime and starts at 1.
pub struct RuntimeClock(pub Instant);

impl Clock for RuntimeClock {
    fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis + 1
    }
}

/// The store as the node under test sees it, with switchable faults.
pub struct FaultyStore {
    store: Arc<MemoryStore>,
    /// Each call of the node under test fails with `Unavailable`.
    pub unavailable: AtomicBool,
    /// Calls of the node under test are never answered.
    pub silent: AtomicBool,
    /// The connection breaks during each call of the node under test: it fails with `Unanswered`.
    pub lossy: AtomicBool,
    /// Calls of the node under test for rows about evacuated halls fail with `Unavailable`.
    pub halls_unavailable: AtomicBool,
    /// How long the store takes for each answer, in milliseconds.
    pub delay: AtomicU64,
    /// How often the node under test has read the operator's rows.
    pub operator_calls: AtomicUsize,
    /// The version of the configuration that the peers have.
    pub configuration: Arc<AtomicU64>,
}

impl Store for FaultyStore {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        if reads_operator_rows(&call) {
            self.operator_calls.fetch_add(1, Ordering::Relaxed);
        }
        let lacks_halls = self.halls_unavailable.load(Ordering::Relaxed) && lists_halls(&call);
        if lacks_halls || self.unavailable.load(Ordering::Relaxed) {
            return async { Err(StoreError::Unavailable) }.boxed();
        }
        if self.lossy.load(Ordering::Relaxed) {
            return async { Err(StoreError::Unanswered) }.boxed();
        }
        if self.silent.load(Ordering::Relaxed) {
            return std::future::pending().boxed();
        }
        async move {
            let delay = Duration::from_millis(self.delay.load(Ordering::Relaxed));
            tokio::time::sleep(delay).await;
            self.store.call(call).await
        }
        .boxed()
    }
}

fn reads_operator_rows(call: &StoreCall) -> bool {
    let (StoreCall::List { table, .. } | StoreCall::Changes { table, .. }) = call else {
        return false;
    };
    *table == Table::Operator
}

fn lists_halls(call: &StoreCall) -> bool {
    let prefix = JsonDecoder.evacuation_prefix();
    matches!(call, StoreCall::List { table: Table::Operator, from, .. } if from == prefix)
}

/// How a peer handles a store call that it is asked to relay.
#[derive(Clone, Copy, PartialEq)]
pub enum Relay {
    /// It makes the call and returns the store's reply.
    Works,
    /// It replies that the store is unavailable.
    Away,
    /// It does not answer, which is noticed at once.
    Silent,
    /// It does not answer, and the call takes its whole time.
    Hangs,
    /// No process listens at its address.
    Gone,
    /// It makes the call, and asks workers as a witness; the others are of a version that knows calls
    /// to the store only.
    Witness,
    /// It makes the call, and answers as the owner of a cell that knows only the job with the id 1,
    /// and that the job with the id 7 was first refused 4 s ago.
    Owner,
}

/// The simulated peers; the peer at port 1 behaves as the first of `relays`, and so on.
pub struct Peers {
    store: Arc<MemoryStore>,
    workers: Arc<dyn Workers>,
    relays: Vec<Relay>,
    /// How many job rows the peers were asked to write.
    written: Arc<AtomicUsize>,
    /// The version of the configuration that the peers have.
    configuration: Arc<AtomicU64>,
}

impl NodeLink for Peers {
    fn call(
        &self,
        address: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        async move {
            let relay = usize::from(address.port()).checked_sub(1);
            let relay = relay.and_then(|place| self.relays.get(place));
            let relay = relay.copied().unwrap_or(Relay::Gone);
            if relay == Relay::Gone {
                return Err(PeerError::NotSent);
            }
            if relay == Relay::Hangs {
                tokio::time::sleep(Duration::from_millis(timeout)).await;
                return Err(PeerError::Unanswered);
            }
            let body = match call {
                NodeCall::Relay(body) => body,
                NodeCall::ConfigurationPiece(request) => return Ok(self.piece(&request)),
                NodeCall::Beat(beat) if relay == Relay::Away => {
                    return Ok(NodeReply::Beat(Box::new(away_heartbeat(address, &beat))));
                }
                NodeCall::Write(rows) if relay == Relay::Works => {
                    self.written.fetch_add(rows.len(), Ordering::Relaxed);
                    return Ok(NodeReply::Written(vec![
                        SubmitOutcome::Accepted;
                        rows.len()
                    ]));
                }
                NodeCall::State(request) if relay == Relay::Owner => {
                    return Ok(match request.job {
                        JobId(1) => NodeReply::State(JobState::Queued),
                        _ => NodeReply::UnknownJob,
                    });
                }
                NodeCall::Intake { job, .. } if relay == Relay::Owner => {
                    return Ok(match job {
                        JobId(1) => NodeReply::State(JobState::Queued),
                        JobId(7) => NodeReply::FirstRefused(4_000),
                        _ => NodeReply::UnknownJob,
                    });
                }
                NodeCall::Intake { .. } if relay == Relay::Silent => {
                    return Err(PeerError::Unanswered);
                }
                NodeCall::State(_) if relay == Relay::Silent => return Err(PeerError::Unanswered),
                _ => return Ok(NodeReply::Unavailable),
            };
            if let (Relay::Witness, Ok(ProbeCall { probes })) =
                (relay, serde_json::from_slice(&body))
            {
                let findings = witness::ask(&*self.workers, &probes).await;
                let body = witness::encode(findings).expect("plain data");
                return Ok(NodeReply::Relayed(body));
            }
            let reply = match relay {
                Relay::Works | Relay::Witness | Relay::Owner => {
                    let Ok(call) = serde_json::from_slice(&body) else {
                        return Ok(NodeReply::Unavailable);
                    };
                    self.store.call(call).await
                }
                Relay::Away => Err(StoreError::Unavailable),
                Relay::Silent | Relay::Hangs | Relay::Gone => return Err(PeerError::Unanswered),
            };
            let body = serde_json::to_vec(&reply).expect("plain data");
            Ok(NodeReply::Relayed(body))
        }
        .boxed()
    }
}

/// The heartbeat with which the peer at an address answers one of the owner, if it does not reach
/// the store.  It consents as a node does.
fn away_heartbeat(address: SocketAddr, owner: &Heartbeat) -> Heartbeat {
    let boot = 1;
    let mut record = ConsentRecord::default();
    record.apply(owner, boot);
    Heartbeat {
        name: format!("n{}", address.port()),
        boot,
        address: address.to_string(),
        epoch: owner.epoch,
        consent: record.consent,
        ..Heartbeat::default()
    }
}

impl Peers {
    fn piece(&self, request: &PieceRequest) -> NodeReply {
        let version = self.configuration.load(Ordering::Relaxed);
        let config = Configuration::from(Draft {
            version,
            queues: Vec::new(),
            max_body: 1_000,
            workspaces: None,
        });
        let encoded = EncodedConfiguration::new(&config).expect("plain data");
        encoded.answer(request)
    }
}

/// Workers that answer no call.
pub struct NoWorkers;

impl Workers for NoWorkers {
    fn start<'a>(&'a self, _: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        async { (StartOutcome::Unanswered, None) }.boxed()
    }

    fn stop<'a>(
        &'a self,
        _: &'a StopOrder,
    ) -> BoxFuture<'a, Result<(), Option<crossweir::cell::order::Refusal>>> {
        async { Err(None) }.boxed()
    }

    fn poll<'a>(&'a self, _: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        async { Err(PollFailure::Unanswered) }.boxed()
    }
}

/// A decoder that accepts evacuation rows and nothing else.
pub struct NoDecoder;

impl Decoder for NoDecoder {
    fn worker(&self, _: &str, _: &str) -> Result<WorkerEntry, DecodeError> {
        Err(DecodeError(String::from("no workers here")))
    }

    fn configuration_key(&self) -> &'static str {
        "configuration"
    }

    fn configuration(&self, _: &str) -> Result<Configuration, DecodeError> {
        Err(DecodeError(String::from("no configuration here")))
    }

    fn evacuation_prefix(&self) -> &'static str {
        "evacuate-"
    }

    fn evacuation(&self, _: &str) -> Result<(), DecodeError> {
        Ok(())
    }
}

/// A node with its store and counters, for tests to inspect.
pub struct VirtualNode {
    /// The store itself, without the faults that the node sees.
    pub store: Arc<MemoryStore>,
    /// The same store as the node sees it.
    pub faulty_store: Arc<FaultyStore>,
    /// The node's shared state.
    pub shared: Arc<Shared>,
    /// How many job rows the peers were asked to write.
    pub written: Arc<AtomicUsize>,
}

impl VirtualNode {
    /// The node receives a heartbeat of the peer `n1`, which reaches the store.
    pub fn hear_peer(&self) {
        self.hear(1);
    }

    /// The node receives a heartbeat of the peer at this port, which reaches the store.
    pub fn hear(&self, port: u16) {
        self.shared.apply_heartbeat(&heartbeat_of_peer(port));
    }
}

/// The heartbeat of the peer at this port, which reaches the store.
pub fn heartbeat_of_peer(port: u16) -> Heartbeat {
    Heartbeat {
        name: format!("n{port}"),
        boot: 1,
        address: format!("127.0.0.1:{port}"),
        reaches_store: true,
        ..Heartbeat::default()
    }
}

/// Makes the node `n0` with boot number 7 and 1,000 millicores.  The peers listen at the ports from
/// 1 on, one for each of `relays`.
pub fn virtual_node(relays: &[Relay]) -> VirtualNode {
    virtual_node_with_millicores(1_000, relays)
}

/// Makes the same node on a VM that gives it `millicores`.
pub fn virtual_node_with_millicores(millicores: u32, relays: &[Relay]) -> VirtualNode {
    let clock = Arc::new(RuntimeClock(Instant::now()));
    build_without_workers(millicores, relays, clock)
}

/// Makes the same node on a VM with this load.
pub fn virtual_node_with_load(load: Load) -> VirtualNode {
    let clock = Arc::new(RuntimeClock(Instant::now()));
    build(
        load,
        &[],
        clock,
        |_| Arc::new(NoWorkers),
        Arc::new(NoDecoder),
    )
}

/// Makes the same node with `clock` as its clock.
pub fn virtual_node_with_clock(relays: &[Relay], clock: Arc<dyn Clock>) -> VirtualNode {
    build_without_workers(1_000, relays, clock)
}

fn build_without_workers(millicores: u32, relays: &[Relay], clock: Arc<dyn Clock>) -> VirtualNode {
    build(
        Load::new(millicores),
        relays,
        clock,
        |_| Arc::new(NoWorkers),
        Arc::new(NoDecoder),
    )
}

/// Makes the same node with the workers that `workers` builds from the node's clock.
pub fn virtual_node_with_workers(
    relays: &[Relay],
    workers: impl FnOnce(Arc<dyn Clock>) -> Arc<dyn Workers>,
    decoder: Arc<dyn Decoder>,
) -> VirtualNode {
    let clock = Arc::new(RuntimeClock(Instant::now()));
    build(Load::new(1_000), relays, clock, workers, decoder)
}

fn build(
    load: Load,
    relays: &[Relay],
    clock: Arc<dyn Clock>,
    workers: impl FnOnce(Arc<dyn Clock>) -> Arc<dyn Workers>,
    decoder: Arc<dyn Decoder>,
) -> VirtualNode {
    let store = Arc::new(MemoryStore::default());
    let faulty_store = Arc::new(FaultyStore {
        store: Arc::clone(&store),
        unavailable: AtomicBool::new(false),
        silent: AtomicBool::new(false),
        lossy: AtomicBool::new(false),
        halls_unavailable: AtomicBool::new(false),
        delay: AtomicU64::new(0),
        operator_calls: AtomicUsize::new(0),
        configuration: Arc::default(),
    });
    let written = Arc::<AtomicUsize>::default();
    let workers = workers(Arc::clone(&clock));
    let links = Links {
        store: faulty_store.clone(),
        workers: Arc::clone(&workers),
        advisor: None,
        decoder,
        peers: Arc::new(Peers {
            store: Arc::clone(&store),
            workers,
            relays: relays.to_vec(),
            written: Arc::clone(&written),
            configuration: Arc::clone(&faulty_store.configuration),
        }),
    };
    let shared = Shared::new(
        Identity {
            name: String::from("n0"),
            boot: 7,
            address: SocketAddr::from(([127, 0, 0, 1], 100)),
        },
        Vec::new(),
        clock,
        load,
        Metrics::new().expect("collectors"),
        links,
        Options::default(),
    );
    VirtualNode {
        store,
        faulty_store,
        shared,
        written,
    }
}

/// Writes an ownership row that names `name`; returns the version of the row.
pub fn claim(store: &MemoryStore, name: &str, boot: u64, epoch: u64) -> u64 {
    let row = OwnerRow {
        former_owners: None,
        asks_consent: true,
        name: name.to_owned(),
        address: String::from("127.0.0.1:100"),
        boot,
        epoch,
        batch: 0,
        released: false,
    };
    let mut tx = Transaction::default();
    tx.puts.push((OwnerRow::key(), row.write()));
    match store.commit(&tx) {
        StoreReply::Committed(version) => version,
        other => panic!("not committed: {other:?}"),
    }
}

/// Puts a configuration with these queues in force on the node, and writes the workers' entries to
/// the store.
pub fn set_up_cell(node: &VirtualNode, queues: &[Queue], workers: &[WorkerEntry]) {
    let config = Configuration::from(Draft {
        version: 1,
        queues: queues.to_vec(),
        max_body: 1_000,
        workspaces: None,
    });
    node.shared.adopt_config(config, freshness::Source::Local);
    let mut tx = Transaction::default();
    for entry in workers {
        let key = RowKey::new(Table::Workers, "", &entry.life.id);
        tx.puts.push((key, encode(entry)));
    }
    node.store.commit(&tx);
}
