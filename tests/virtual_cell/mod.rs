//! Fixture: a cell of many nodes in virtual time, with one store and a network that counts its
//! traffic.
#![allow(dead_code)]

pub mod link;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use crossweir::cell::options::Options;
use crossweir::clock::Millis;
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::store::MemoryStore;
use crossweir::metrics::Metrics;
use crossweir::node::front::Frontend;
use crossweir::node::links::Decoder;
use crossweir::node::load::{self, Load};
use crossweir::node::recording::OwnerRow;
use crossweir::node::shared::{Identity, Links, Shared};
use crossweir::node::{configuration, election};
use crossweir::platform::store::READ_STALL_TIMEOUT;
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{NodeCall, NodeLink, NodeReply, NodeService};
use crossweir::store::{Store, StoreCall, StoreError, StoreReply};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::virtual_node::{NoDecoder, NoWorkers, RuntimeClock};
use link::{Link, UNLIMITED, row_bytes, transfer};

/// The delay of a message in one direction.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// How many nodes run on VMs with half a core; the others have 0.12 of one.
pub const STRONG_NODES: usize = 15;

/// Traffic between nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub calls: u64,
    pub bytes: u64,
}

/// What a node's VM is like.
#[derive(Debug, Clone, Copy)]
pub struct VmPlan {
    pub millicores: u32,
    /// The bandwidth of its link in each direction.
    pub bytes_per_ms: usize,
    /// Its settings name the bandwidth.
    pub tells_link: bool,
}

impl VmPlan {
    /// The bandwidth as the settings name it, in kilobits a second.
    fn link(self) -> Option<u32> {
        self.tells_link
            .then(|| (self.bytes_per_ms * 1_000 / link::MEGABIT) as u32)
    }
}

/// Carries calls between nodes, and counts calls and bytes.
#[derive(Default)]
pub struct Network {
    nodes: Mutex<HashMap<SocketAddr, Weak<Frontend>>>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    /// Calls from and to these nodes are never answered.
    cut: Mutex<HashSet<SocketAddr>>,
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

    /// Cuts a node off from the others.
    pub fn cut(&self, addr: SocketAddr) {
        let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        cut.insert(addr);
    }

    /// Returns whether a node is cut off.
    pub fn is_cut(&self, addr: SocketAddr) -> bool {
        let cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        cut.contains(&addr)
    }

    fn link(&self, addr: SocketAddr) -> Option<Arc<Link>> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&addr).cloned()
    }

    /// Waits until `bytes` have gone from one node to another; forever if either is cut off.
    async fn carry(&self, from: SocketAddr, to: SocketAddr, bytes: usize) {
        self.count(bytes);
        tokio::time::sleep(ONE_WAY_DELAY).await;
        if let (Some(sender), Some(receiver)) = (self.link(from), self.link(to)) {
            transfer(&sender, &receiver, bytes).await;
        }
        if self.is_cut(from) || self.is_cut(to) {
            std::future::pending::<()>().await;
        }
    }

    async fn exchange(
        &self,
        caller: SocketAddr,
        addr: SocketAddr,
        call: NodeCall,
    ) -> Result<NodeReply, PeerError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.carry(caller, addr, call.wire_bytes()).await;
        let node = self.nodes().get(&addr).and_then(Weak::upgrade);
        let node = node.ok_or(PeerError::NotSent)?;
        let reply = node.serve(call).await;
        self.carry(addr, caller, reply.wire_bytes()).await;
        Ok(reply)
    }
}

/// A node's access to the network.
struct NetworkLink {
    network: Arc<Network>,
    caller: SocketAddr,
}

impl NodeLink for NetworkLink {
    fn call(
        &self,
        addr: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        async move {
            let limit = Duration::from_millis(timeout);
            let exchange = self.network.exchange(self.caller, addr, call);
            tokio::time::timeout(limit, exchange)
                .await
                .unwrap_or(Err(PeerError::Unanswered))
        }
        .boxed()
    }
}

/// The store as one node sees it; calls of the node fail while it is `unavailable`, and are never
/// answered while it is `silent`.
pub struct NodeStore {
    store: Arc<MemoryStore>,
    pub unavailable: AtomicBool,
    pub silent: AtomicBool,
    timing: Arc<StoreTiming>,
    link: Arc<Link>,
}

/// The time limit of the store's client for the begin of an answer, beyond the time that the store
/// may hold the call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

impl NodeStore {
    /// Waits for the answer to a call as the store's client does.
    async fn receive(
        &self,
        wait: Duration,
        answer: impl Future<Output = Result<StoreReply, StoreError>>,
    ) -> Result<StoreReply, StoreError> {
        let answer = async {
            let reply = answer.await;
            if self.silent.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            reply
        };
        let reply = tokio::time::timeout(wait + ANSWER_TIMEOUT, answer)
            .await
            .unwrap_or(Err(StoreError::Unavailable))?;
        if let StoreReply::Rows { rows, .. } = &reply {
            self.link
                .receive(row_bytes(rows), READ_STALL_TIMEOUT)
                .await?;
        }
        Ok(reply)
    }
}

/// How slow the store is, and how many claims of the cell it has received.
#[derive(Default)]
pub struct StoreTiming {
    /// How long each answer takes, in milliseconds.
    pub answer_ms: AtomicU64,
    /// How long each transaction locks its partition, in milliseconds.
    pub transaction_ms: AtomicU64,
    pub claims: AtomicU64,
    /// One lock for each partition: its transactions are executed one after the other.
    partitions: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
}

impl StoreTiming {
    fn partition(&self, name: String) -> Arc<tokio::sync::Mutex<()>> {
        let mut known = self.partitions.lock().expect("partitions");
        Arc::clone(known.entry(name).or_default())
    }

    async fn wait(&self, call: &StoreCall) {
        let millis = |time: &AtomicU64| Duration::from_millis(time.load(Ordering::Relaxed));
        if let StoreCall::Commit(tx) = call {
            // An owner's other transactions also write its row, with a batch number above 0.
            let is_claim = |value: &str| {
                serde_json::from_str(value).is_ok_and(|owner: OwnerRow| owner.batch == 0)
            };
            let mut puts = tx.puts.iter();
            let claims = puts.any(|(key, value)| *key == OwnerRow::key() && is_claim(value));
            self.claims.fetch_add(claims.into(), Ordering::Relaxed);
            let first = tx.puts.first().map(|(key, _)| key.partition.clone());
            let partition = self.partition(first.unwrap_or_default());
            let _turn = partition.lock().await;
            tokio::time::sleep(millis(&self.transaction_ms)).await;
        }
        tokio::time::sleep(millis(&self.answer_ms)).await;
    }
}

impl Store for NodeStore {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        if self.unavailable.load(Ordering::Relaxed) {
            return async { Err(StoreError::Unavailable) }.boxed();
        }
        let wait = match &call {
            StoreCall::Changes { wait, .. } => Duration::from_millis(*wait),
            _ => Duration::ZERO,
        };
        // A call that was sent is executed even if the sender gives up.
        let (timing, store) = (Arc::clone(&self.timing), Arc::clone(&self.store));
        let call_task = tokio::spawn(async move {
            timing.wait(&call).await;
            store.call(call).await
        });
        let answer = async move { call_task.await.unwrap_or(Err(StoreError::Unanswered)) };
        self.receive(wait, answer).boxed()
    }
}

/// One node of the cell.
pub struct Member {
    pub front: Arc<Frontend>,
    pub node_store: Arc<NodeStore>,
    tasks: Vec<AbortHandle>,
}

impl Member {
    pub fn shared(&self) -> &Arc<Shared> {
        &self.front.shared
    }

    /// The link of its VM.
    pub fn link(&self) -> &Arc<Link> {
        &self.node_store.link
    }

    pub fn owns(&self) -> bool {
        self.shared().engine().is_some()
    }
}

fn default_vm(place: usize) -> VmPlan {
    VmPlan {
        millicores: if place < STRONG_NODES { 500 } else { 120 },
        bytes_per_ms: UNLIMITED,
        tells_link: false,
    }
}

/// All nodes of a cell.
pub struct VirtualCell {
    pub network: Arc<Network>,
    pub store: Arc<MemoryStore>,
    pub timing: Arc<StoreTiming>,
    pub members: Vec<Member>,
    started: usize,
    /// The VM of each node by its place in the order of starts; none for the default VMs, whose
    /// nodes follow no configuration.
    plan: Option<fn(usize) -> VmPlan>,
}

impl VirtualCell {
    /// Starts a cell of `nodes` and waits 5 s, within which one of them becomes the owner.
    pub async fn settled(nodes: usize) -> Self {
        Self::settled_on(nodes, None).await
    }

    /// Starts such a cell whose nodes run on VMs as planned and follow the configuration.
    pub async fn settled_with_configuration(nodes: usize, plan: fn(usize) -> VmPlan) -> Self {
        Self::settled_on(nodes, Some(plan)).await
    }

    async fn settled_on(nodes: usize, plan: Option<fn(usize) -> VmPlan>) -> Self {
        let mut cell = Self {
            network: Arc::default(),
            store: Arc::default(),
            timing: Arc::default(),
            members: Vec::new(),
            started: 0,
            plan,
        };
        for _ in 0..nodes {
            cell.add(&[]);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(cell.owners(), 1, "one node owns the cell");
        cell
    }

    /// Starts one more node, which reaches the store.  Returns its index in `members`.
    pub fn add(&mut self, seeds: &[SocketAddr]) -> usize {
        self.add_with_store_state(seeds, false)
    }

    /// Starts one more node, for which the store may be unavailable.  Returns its index in
    /// `members`.
    pub fn add_with_store_state(&mut self, seeds: &[SocketAddr], unavailable: bool) -> usize {
        let place = self.started;
        self.started += 1;
        let address = SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_000));
        let vm = match self.plan {
            Some(plan) => plan(place),
            None => default_vm(place),
        };
        let link = Arc::new(Link::new(vm.bytes_per_ms));
        let mut links = self.network.links.lock().expect("links");
        links.insert(address, Arc::clone(&link));
        drop(links);
        let node_store = Arc::new(NodeStore {
            store: Arc::clone(&self.store),
            unavailable: unavailable.into(),
            silent: AtomicBool::new(false),
            timing: Arc::clone(&self.timing),
            link,
        });
        let decoder: Arc<dyn Decoder> = match self.plan {
            Some(_) => Arc::new(JsonDecoder),
            None => Arc::new(NoDecoder),
        };
        let links = Links {
            store: node_store.clone(),
            workers: Arc::new(NoWorkers),
            advisor: None,
            decoder,
            peers: Arc::new(NetworkLink {
                network: Arc::clone(&self.network),
                caller: address,
            }),
        };
        let shared = Shared::new(
            Identity {
                name: format!("n{place:03}"),
                boot: place as u64 + 1,
                address,
            },
            seeds.to_vec(),
            Arc::new(RuntimeClock(Instant::now())),
            Load::new(vm.millicores).with_link(vm.link()),
            Metrics::new().expect("collectors"),
            links,
            Options::default(),
        );
        let front = Arc::new(Frontend::new(Arc::clone(&shared)));
        self.network.nodes().insert(address, Arc::downgrade(&front));
        let mut tasks = vec![
            tokio::spawn(Arc::clone(&shared).probe_store()).abort_handle(),
            tokio::spawn(load::watch(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(election::register(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(election::run(Arc::clone(&shared))).abort_handle(),
        ];
        if self.plan.is_some() {
            let following = configuration::follow(Arc::clone(&shared));
            tasks.push(tokio::spawn(following).abort_handle());
            tasks.push(tokio::spawn(configuration::follow_members(shared)).abort_handle());
        }
        self.members.push(Member {
            front,
            node_store,
            tasks,
        });
        self.members.len() - 1
    }

    /// Kills a node: it neither tells the others nor releases the cell.
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

    /// Kills all nodes, so that they take no time of later tests.
    pub fn kill_all(&mut self) {
        while !self.members.is_empty() {
            self.kill(0);
        }
    }

    pub fn owners(&self) -> usize {
        self.members.iter().filter(|member| member.owns()).count()
    }

    pub fn owner(&self) -> Option<usize> {
        self.members.iter().position(Member::owns)
    }

    /// The traffic between nodes during the next `time`.
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
