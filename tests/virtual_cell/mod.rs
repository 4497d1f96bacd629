//! Fixtures for many nodes in virtual time, with one store and a network that counts.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use crossweir::clock::Millis;
use crossweir::embedded::store::MemoryStore;
use crossweir::metrics::Metrics;
use crossweir::node::election;
use crossweir::node::front::Frontend;
use crossweir::node::links::Decoder;
use crossweir::node::load::Load;
use crossweir::node::recording::OwnerRow;
use crossweir::node::shared::{Identity, Links, Shared};
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{NodeCall, NodeLink, NodeReply, NodeService};
use crossweir::store::{Store, StoreCall, StoreError, StoreReply};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::virtual_node::{NoDecoder, NoWorkers, RuntimeClock};

/// How long a message takes one way.
const HOP: Duration = Duration::from_millis(1);
/// The VMs that have half a core; the others have 0.12 of one.
pub const STRONG: usize = 15;

/// What went between nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub calls: u64,
    pub bytes: u64,
}

/// Carries calls between nodes, and counts them.
#[derive(Default)]
pub struct Network {
    nodes: Mutex<HashMap<SocketAddr, Weak<Frontend>>>,
    calls: AtomicU64,
    bytes: AtomicU64,
}

impl Network {
    fn nodes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Weak<Frontend>>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn traffic(&self) -> Traffic {
        Traffic {
            calls: self.calls.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }

    async fn exchange(&self, addr: SocketAddr, call: NodeCall) -> Result<NodeReply, PeerError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.count(call.wire_bytes());
        tokio::time::sleep(HOP).await;
        let node = self.nodes().get(&addr).and_then(Weak::upgrade);
        let node = node.ok_or(PeerError::NotSent)?;
        let reply = node.serve(call).await;
        self.count(reply.wire_bytes());
        tokio::time::sleep(HOP).await;
        Ok(reply)
    }
}

/// One node's way into the network.
struct Way(Arc<Network>);

impl NodeLink for Way {
    fn call(
        &self,
        addr: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        async move {
            let limit = Duration::from_millis(timeout);
            let exchange = self.0.exchange(addr, call);
            tokio::time::timeout(limit, exchange)
                .await
                .unwrap_or(Err(PeerError::Unanswered))
        }
        .boxed()
    }
}

/// The store of all nodes; some may be turned away.
pub struct Door {
    store: Arc<MemoryStore>,
    pub shut: std::sync::atomic::AtomicBool,
    pace: Arc<Pace>,
}

/// How fast the store is, and how many claims of the cell it was sent.
#[derive(Default)]
pub struct Pace {
    /// How long each answer takes, in milliseconds.
    pub answer: AtomicU64,
    /// How long each transaction keeps its partition, in milliseconds.
    pub turn: AtomicU64,
    pub claims: AtomicU64,
    /// The transactions of each partition go one after the other.
    partitions: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
}

impl Pace {
    fn partition(&self, name: String) -> Arc<tokio::sync::Mutex<()>> {
        let mut known = self.partitions.lock().expect("partitions");
        Arc::clone(known.entry(name).or_default())
    }

    async fn wait(&self, call: &StoreCall) {
        let millis = |time: &AtomicU64| Duration::from_millis(time.load(Ordering::Relaxed));
        if let StoreCall::Commit(tx) = call {
            // The transactions of an owner write its row as well, with a number of their own.
            let is_claim = |value: &str| {
                serde_json::from_str(value).is_ok_and(|owner: OwnerRow| owner.batch == 0)
            };
            let mut puts = tx.puts.iter();
            let claims = puts.any(|(key, value)| *key == OwnerRow::key() && is_claim(value));
            self.claims.fetch_add(claims.into(), Ordering::Relaxed);
            let first = tx.puts.first().map(|(key, _)| key.partition.clone());
            let partition = self.partition(first.unwrap_or_default());
            let _turn = partition.lock().await;
            tokio::time::sleep(millis(&self.turn)).await;
        }
        tokio::time::sleep(millis(&self.answer)).await;
    }
}

impl Store for Door {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        if self.shut.load(Ordering::Relaxed) {
            return async { Err(StoreError::Unavailable) }.boxed();
        }
        // What was sent is carried out, also when whoever sent it gives up.
        let (pace, store) = (Arc::clone(&self.pace), Arc::clone(&self.store));
        let carried_out = tokio::spawn(async move {
            pace.wait(&call).await;
            store.call(call).await
        });
        async move { carried_out.await.unwrap_or(Err(StoreError::Unanswered)) }.boxed()
    }
}

/// One node of the cell.
pub struct Member {
    pub front: Arc<Frontend>,
    pub door: Arc<Door>,
    tasks: Vec<AbortHandle>,
}

impl Member {
    pub fn shared(&self) -> &Arc<Shared> {
        &self.front.shared
    }

    pub fn owns(&self) -> bool {
        self.shared().engine().is_some()
    }
}

/// All nodes of a cell.
pub struct VirtualCell {
    pub network: Arc<Network>,
    pub store: Arc<MemoryStore>,
    pub pace: Arc<Pace>,
    pub members: Vec<Member>,
    started: usize,
}

impl VirtualCell {
    /// A cell of `nodes` that has had an owner for some seconds.
    pub async fn settled(nodes: usize) -> Self {
        let mut cell = Self {
            network: Arc::default(),
            store: Arc::default(),
            pace: Arc::default(),
            members: Vec::new(),
            started: 0,
        };
        for _ in 0..nodes {
            cell.add(&[]);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(cell.owners(), 1, "one node owns the cell");
        cell
    }

    /// Starts one more node.
    pub fn add(&mut self, seeds: &[SocketAddr]) -> usize {
        self.add_behind(seeds, false)
    }

    /// Starts one more node, which the store may turn away.
    pub fn add_behind(&mut self, seeds: &[SocketAddr], shut: bool) -> usize {
        let place = self.started;
        self.started += 1;
        let address = SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_000));
        let millicores = if place < STRONG { 500 } else { 120 };
        let door = Arc::new(Door {
            store: Arc::clone(&self.store),
            shut: shut.into(),
            pace: Arc::clone(&self.pace),
        });
        let links = Links {
            store: door.clone(),
            workers: Arc::new(NoWorkers),
            advisor: None,
            decoder: Arc::new(NoDecoder) as Arc<dyn Decoder>,
            peers: Arc::new(Way(Arc::clone(&self.network))),
        };
        let shared = Shared::new(
            Identity {
                name: format!("n{place:03}"),
                boot: place as u64 + 1,
                address,
            },
            seeds.to_vec(),
            Arc::new(RuntimeClock(Instant::now())),
            Load::new(millicores),
            Metrics::new().expect("collectors"),
            links,
        );
        let front = Arc::new(Frontend::new(Arc::clone(&shared)));
        self.network.nodes().insert(address, Arc::downgrade(&front));
        let tasks = vec![
            tokio::spawn(Arc::clone(&shared).probe_store()).abort_handle(),
            tokio::spawn(election::register(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(election::run(shared)).abort_handle(),
        ];
        self.members.push(Member { front, door, tasks });
        self.members.len() - 1
    }

    /// A process ends without a word.
    pub fn kill(&mut self, place: usize) {
        let member = self.members.remove(place);
        self.network.nodes().remove(&member.shared().address);
        for task in &member.tasks {
            task.abort();
        }
        if let Some(engine) = member.shared().engine() {
            engine.retire("killed");
        }
    }

    pub fn owners(&self) -> usize {
        self.members.iter().filter(|member| member.owns()).count()
    }

    pub fn owner(&self) -> Option<usize> {
        self.members.iter().position(Member::owns)
    }

    /// What goes between nodes within `time`.
    pub async fn traffic_within(&self, time: Duration) -> Traffic {
        let before = self.network.traffic();
        tokio::time::sleep(time).await;
        let after = self.network.traffic();
        Traffic {
            calls: after.calls - before.calls,
            bytes: after.bytes - before.bytes,
        }
    }
}
