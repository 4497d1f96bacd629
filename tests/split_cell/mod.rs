//! Fixture: a cell of seven nodes and, usually, eight workers in virtual time, in which single paths between
//! nodes, to workers and to the store can be cut, nodes be killed and started again, and workers be
//! lost for good.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use crossweir::cell::name::TaskName;
use crossweir::cell::options::Options;
use crossweir::cell::order::{
    EndKind, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crossweir::cell::record::JobRow;
use crossweir::cell::spec::{JobId, Step};
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::store::MemoryStore;
use crossweir::embedded::worker::{MemoryWorkers, RunRecord};
use crossweir::metrics::Metrics;
use crossweir::node::front::{Frontend, JobAnswer};
use crossweir::node::links::Workers;
use crossweir::node::load::Load;
use crossweir::node::shared::{CELL_PARTITION, Identity, Links, Shared, job_partition};
use crossweir::node::{configuration as settings, election, freshness};
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{NodeCall, NodeLink, NodeReply, NodeService};
use crossweir::store::{
    RowKey, Store, StoreCall, StoreError, StoreReply, Table, Transaction, encode,
};
use crossweir::workspace::{Caller, Workspace};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::cell_core::{configuration, job, queue, step, worker};
use crate::virtual_node::RuntimeClock;

pub const NODES: usize = 7;
/// The addresses of nodes: those of the cell, and those at which nodes come in their place.
pub const ADDRESSES: usize = 2 * NODES;
pub const WORKERS: u16 = 8;
/// The delay of a message in one direction.
const DELAY: Duration = Duration::from_millis(1);
/// How long a call to a worker that is cut off takes to fail.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a call to the store takes to fail if there is no answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long each way takes to a store that is slow.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// How long after it was sent a late write is done.
const WRITE_DELAY: Duration = Duration::from_millis(2_500);
/// The time that a caller has left when it asks, in milliseconds.
const CALLER_DEADLINE: Millis = 3_000;

/// How the store treats a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    Serves,
    TurnsAway,
    Silent,
    /// It serves all partitions but the cell's own.
    LacksCell,
    Slow,
    /// It does all transactions, and answers none.
    LosesAnswers,
    /// It does transactions seconds later, and answers none.
    WritesLate,
}

/// Which paths are cut.
struct Paths {
    nodes: BTreeSet<(usize, usize)>,
    workers: BTreeSet<(usize, u16)>,
    lost_workers: BTreeSet<u16>,
    store: [StoreState; ADDRESSES],
}

/// What all nodes share: the paths, and the processes by their nodes' numbers.
pub struct World {
    paths: Mutex<Paths>,
    fronts: Mutex<BTreeMap<usize, Weak<Frontend>>>,
    store: Arc<MemoryStore>,
    workers: MemoryWorkers,
}

impl World {
    fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes rows as another writer does.
    pub fn commit(&self, tx: &Transaction) {
        self.store.commit(tx);
    }

    fn front(&self, node: usize) -> Option<Arc<Frontend>> {
        let fronts = self.fronts.lock().unwrap_or_else(PoisonError::into_inner);
        fronts.get(&node).and_then(Weak::upgrade)
    }

    fn is_node_cut(&self, from: usize, to: usize) -> bool {
        self.paths().nodes.contains(&(from, to))
    }

    fn is_worker_cut(&self, node: usize, id: &str) -> bool {
        let number = id.trim_start_matches('w').parse().expect("a worker's id");
        let paths = self.paths();
        paths.lost_workers.contains(&number) || paths.workers.contains(&(node, number))
    }

    /// Makes a call from one node to another; it fails if either direction is cut.
    pub async fn call(
        &self,
        from: usize,
        to: usize,
        call: NodeCall,
        timeout: Millis,
    ) -> Result<NodeReply, PeerError> {
        let exchange = async {
            tokio::time::sleep(DELAY).await;
            if self.is_node_cut(from, to) || self.is_node_cut(to, from) {
                std::future::pending::<()>().await;
            }
            let front = self.front(to).ok_or(PeerError::NotSent)?;
            let reply = front.serve(call).await;
            tokio::time::sleep(DELAY).await;
            if self.is_node_cut(to, from) {
                std::future::pending::<()>().await;
            }
            Ok(reply)
        };
        let limit = Duration::from_millis(timeout);
        let reply = tokio::time::timeout(limit, exchange).await;
        reply.unwrap_or(Err(PeerError::Unanswered))
    }
}

/// The world as one node sees it.
pub struct View {
    node: usize,
    world: Arc<World>,
}

impl View {
    pub fn node(&self) -> usize {
        self.node
    }
}

/// What a node calls.
pub struct Reached {
    pub store: Arc<dyn Store>,
    pub workers: Arc<dyn Workers>,
    pub peers: Arc<dyn NodeLink>,
}

/// Puts something between each node and its view of the world.
pub type Between = Box<dyn Fn(Arc<View>) -> Reached>;

/// Puts nothing between them.
fn nothing(view: Arc<View>) -> Reached {
    Reached {
        store: view.clone(),
        workers: view.clone(),
        peers: view,
    }
}

impl Store for View {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        async move {
            tokio::time::sleep(DELAY).await;
            let state = self.world.paths().store[self.node];
            match state {
                StoreState::LacksCell if names_cell(&call) => Err(StoreError::Unavailable),
                StoreState::Serves | StoreState::LacksCell => self.world.store.call(call).await,
                StoreState::TurnsAway => Err(StoreError::Unavailable),
                StoreState::Silent => self.unanswered().await,
                StoreState::Slow => {
                    tokio::time::sleep(SLOW_DELAY).await;
                    let reply = self.world.store.call(call).await;
                    tokio::time::sleep(SLOW_DELAY).await;
                    reply
                }
                StoreState::LosesAnswers | StoreState::WritesLate if !writes(&call) => {
                    self.world.store.call(call).await
                }
                StoreState::LosesAnswers => {
                    let _ = self.world.store.call(call).await;
                    self.unanswered().await
                }
                StoreState::WritesLate => {
                    let store = Arc::clone(&self.world.store);
                    tokio::spawn(async move {
                        tokio::time::sleep(WRITE_DELAY).await;
                        let _ = store.call(call).await;
                    });
                    self.unanswered().await
                }
            }
        }
        .boxed()
    }
}

impl View {
    async fn unanswered(&self) -> Result<StoreReply, StoreError> {
        tokio::time::sleep(STORE_TIMEOUT).await;
        Err(StoreError::Unanswered)
    }
}

fn writes(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Commit(_))
}

/// Returns whether a call is for rows of the cell's own partition.
fn names_cell(call: &StoreCall) -> bool {
    match call {
        StoreCall::List { partition, .. } => partition == CELL_PARTITION,
        StoreCall::Commit(tx) => tx
            .puts
            .iter()
            .any(|(key, _)| key.partition == CELL_PARTITION),
        StoreCall::Changes { .. } => false,
    }
}

impl NodeLink for View {
    fn call(
        &self,
        address: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        let to = usize::from(address.port());
        self.world.call(self.node, to, call, timeout).boxed()
    }
}

impl Workers for View {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        async move {
            if self.world.is_worker_cut(self.node, &order.to.life.id) {
                tokio::time::sleep(ORDER_TIMEOUT).await;
                return (StartOutcome::Unanswered, None);
            }
            self.world.workers.start(order).await
        }
        .boxed()
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        async move {
            if self.world.is_worker_cut(self.node, &order.to.life.id) {
                tokio::time::sleep(ORDER_TIMEOUT).await;
                return Err(None);
            }
            self.world.workers.stop(order).await
        }
        .boxed()
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        async move {
            if self.world.is_worker_cut(self.node, &order.to.life.id) {
                tokio::time::sleep(ORDER_TIMEOUT).await;
                return Err(PollFailure::Unanswered);
            }
            let answer = self.world.workers.poll(order).await;
            match self.world.is_worker_cut(self.node, &order.to.life.id) {
                true => Err(PollFailure::Unanswered),
                false => answer,
            }
        }
        .boxed()
    }
}

struct Process {
    front: Arc<Frontend>,
    tasks: Vec<AbortHandle>,
}

/// The cell.
pub struct SplitCell {
    pub world: Arc<World>,
    clock: Arc<dyn Clock>,
    processes: BTreeMap<usize, Process>,
    workers: u16,
    between: Between,
    boots: u64,
    jobs: u64,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], node as u16))
}

impl SplitCell {
    /// Starts all nodes, and waits until one of them owns the cell and has settled.
    pub async fn settled() -> Self {
        Self::settled_with(WORKERS, Box::new(nothing)).await
    }

    /// Does the same with so many workers, and with something between the nodes and the world.
    pub async fn settled_with(workers: u16, between: Between) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(RuntimeClock(Instant::now()));
        let store = MemoryStore::default();
        let mut tx = Transaction::default();
        for number in 0..workers {
            let entry = worker(number);
            let key = RowKey::new(Table::Workers, "", &entry.life.id);
            tx.puts.push((key, encode(&entry)));
        }
        store.commit(&tx);
        let ids = (0..workers).map(|number| format!("w{number}"));
        let world = World {
            paths: Mutex::new(Paths {
                nodes: BTreeSet::new(),
                workers: BTreeSet::new(),
                lost_workers: BTreeSet::new(),
                store: [StoreState::Serves; ADDRESSES],
            }),
            fronts: Mutex::default(),
            store: Arc::new(store),
            workers: MemoryWorkers::new(Arc::clone(&clock), ids),
        };
        let mut cell = Self {
            world: Arc::new(world),
            clock,
            processes: BTreeMap::new(),
            workers,
            between,
            boots: 0,
            jobs: 0,
        };
        for node in 0..NODES {
            cell.start(node);
        }
        pass(5_000).await;
        assert_eq!(cell.owners().len(), 1, "one node owns the cell");
        cell
    }

    /// Starts a node that does not run.
    pub fn start(&mut self, node: usize) {
        if self.processes.contains_key(&node) {
            return;
        }
        self.boots += 1;
        let view = Arc::new(View {
            node,
            world: Arc::clone(&self.world),
        });
        let reached = (self.between)(view);
        let links = Links {
            store: reached.store,
            workers: reached.workers,
            advisor: None,
            decoder: Arc::new(JsonDecoder),
            peers: reached.peers,
        };
        let identity = Identity {
            name: format!("n{node}"),
            boot: self.boots,
            address: address(node),
        };
        let seeds = (0..NODES).map(address).collect();
        let metrics = Metrics::new().expect("collectors");
        let shared = Shared::new(
            identity,
            seeds,
            Arc::clone(&self.clock),
            Load::new(500),
            metrics,
            links,
            Options::default(),
        );
        let config = configuration(&[queue("q", 0)]);
        shared.adopt_config((*config).clone(), freshness::Source::Local);
        let front = Arc::new(Frontend::new(Arc::clone(&shared)));
        let mut fronts = self.world.fronts.lock().expect("nodes");
        fronts.insert(node, Arc::downgrade(&front));
        drop(fronts);
        let tasks = vec![
            tokio::spawn(Arc::clone(&shared).probe_store()).abort_handle(),
            tokio::spawn(election::register(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(election::run(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(settings::follow(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(settings::follow_members(shared)).abort_handle(),
        ];
        self.processes.insert(node, Process { front, tasks });
    }

    /// Kills a node.
    pub fn kill(&mut self, node: usize) {
        let Some(process) = self.processes.remove(&node) else {
            return;
        };
        self.world.fronts.lock().expect("nodes").remove(&node);
        for task in &process.tasks {
            task.abort();
        }
        if let Some(engine) = process.front.shared.engine() {
            engine.retire("killed");
        }
    }

    /// Kills all nodes, so that they take no time of later worlds.
    pub fn end(&mut self) {
        (0..ADDRESSES).for_each(|node| self.kill(node));
    }

    pub fn runs(&self, node: usize) -> bool {
        self.processes.contains_key(&node)
    }

    /// The nodes that say they own the cell.
    pub fn owners(&self) -> Vec<usize> {
        let owns = |process: &Process| process.front.shared.engine().is_some();
        let owners = self.processes.iter().filter(|(_, process)| owns(process));
        owners.map(|(&node, _)| node).collect()
    }

    /// The nodes that own the cell and may give orders.
    pub fn active_owners(&self) -> Vec<usize> {
        let is_active = |process: &Process| {
            let engine = process.front.shared.engine();
            engine.is_some_and(|engine| engine.is_active())
        };
        let active = self
            .processes
            .iter()
            .filter(|(_, process)| is_active(process));
        active.map(|(&node, _)| node).collect()
    }

    /// Hands a job of equal tasks in at a node, which tells the owner that it knows.  Returns the
    /// id, or none if the node runs not or does not reach the store.
    pub async fn submit(&mut self, node: usize, tasks: u32, time: Millis) -> Option<u64> {
        self.submit_step(node, step(tasks, 8_000), time).await
    }

    /// Does the same with a job of this step.
    pub async fn submit_step(&mut self, node: usize, step: Step, time: Millis) -> Option<u64> {
        let serves = self.world.paths().store[node] == StoreState::Serves;
        let process = self.processes.get(&node).filter(|_| serves)?;
        self.jobs += 1;
        let mut row: JobRow = job(self.jobs, &queue("q", 0), vec![step]);
        row.spec.text = time.to_string();
        let mut tx = Transaction::default();
        let key = RowKey::new(Table::Jobs, &job_partition(node), &row.id.to_string());
        tx.puts.push((key, encode(&row)));
        self.world.store.commit(&tx);
        let owner = process.front.shared.owner().address;
        if let Some(owner) = owner {
            let body = serde_json::to_vec(&row).expect("JSON");
            let owner = usize::from(owner.port());
            let told = self.world.call(node, owner, NodeCall::Accepted(body), 600);
            // An owner that is not told finds the row by itself.
            let _ = told.await;
        }
        Some(self.jobs)
    }

    /// The state that a node's metrics show under this name; none if there is none.
    pub fn gauge(&self, node: usize, what: &str) -> Option<u64> {
        let shared = &self.processes.get(&node)?.front.shared;
        if let Some(engine) = shared.engine() {
            engine.export_counts(&shared.metrics);
        }
        let text = shared.metrics.render().expect("metrics");
        let name = format!("crossweir_state{{what=\"{what}\"}} ");
        let text = String::from_utf8(text).expect("text");
        let value = text.lines().find_map(|line| line.strip_prefix(&name))?;
        value.parse().ok()
    }

    /// Sets how the store treats these nodes.
    pub fn set_store(&self, nodes: &[usize], state: StoreState) {
        for &node in nodes {
            self.world.paths().store[node] = state;
        }
    }

    /// Cuts all paths between the nodes of two sides.
    pub fn part(&self, near: &[usize], far: &[usize]) {
        let mut paths = self.world.paths();
        for &a in near {
            for &b in far {
                paths.nodes.extend([(a, b), (b, a)]);
            }
        }
    }

    /// Makes all paths between the nodes of two sides whole again.
    pub fn join(&self, near: &[usize], far: &[usize]) {
        let mut paths = self.world.paths();
        for &a in near {
            for &b in far {
                paths.nodes.remove(&(a, b));
                paths.nodes.remove(&(b, a));
            }
        }
    }

    /// Cuts the paths from these nodes to these workers.
    pub fn cut_workers(&self, nodes: &[usize], workers: impl Iterator<Item = u16> + Clone) {
        for &node in nodes {
            let cuts = workers.clone().map(|worker| (node, worker));
            self.world.paths().workers.extend(cuts);
        }
    }

    /// Makes the paths to these workers whole again.
    pub fn join_workers(&self, workers: &[u16]) {
        let mut paths = self.world.paths();
        paths
            .workers
            .retain(|(_, worker)| !workers.contains(worker));
    }

    /// Loses a worker for good, with what runs there and with the ends that it lists.
    pub fn lose_worker(&self, number: u16) {
        self.world.paths().lost_workers.insert(number);
        self.world.workers.crash(&format!("w{number}"));
        self.unlist_worker(number);
    }

    /// Drops the entry of a worker, which serves on.
    pub fn unlist_worker(&self, number: u16) {
        let mut tx = Transaction::default();
        let key = RowKey::new(Table::Workers, "", &format!("w{number}"));
        tx.drops.push(key);
        self.world.store.commit(&tx);
    }

    /// Writes the entries of all workers that are not lost.
    pub fn list_workers(&self) {
        let mut tx = Transaction::default();
        let lost = self.world.paths().lost_workers.clone();
        for number in (0..self.workers).filter(|number| !lost.contains(number)) {
            let entry = worker(number);
            let key = RowKey::new(Table::Workers, "", &entry.life.id);
            tx.puts.push((key, encode(&entry)));
        }
        self.world.store.commit(&tx);
    }

    /// The time by the clock of all nodes and workers.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Asks a node for the state of a job as a caller does; none if the node does not run.
    pub fn ask(&self, node: usize, id: u64) -> Option<impl Future<Output = JobAnswer> + use<>> {
        self.ask_as(Caller::Anonymous, node, id)
    }

    /// Asks as a certain caller.
    pub fn ask_as(
        &self,
        caller: Caller,
        node: usize,
        id: u64,
    ) -> Option<impl Future<Output = JobAnswer> + use<>> {
        let front = Arc::clone(&self.processes.get(&node)?.front);
        Some(async move { front.state(&caller, JobId(id), Some(CALLER_DEADLINE)).await })
    }

    /// Cancels a job at a node as a caller does; none if the node does not run.
    pub fn cancel(&self, node: usize, id: u64) -> Option<impl Future<Output = JobAnswer> + use<>> {
        self.cancel_as(Caller::Anonymous, node, id)
    }

    /// Cancels a job as a certain caller.
    pub fn cancel_as(
        &self,
        caller: Caller,
        node: usize,
        id: u64,
    ) -> Option<impl Future<Output = JobAnswer> + use<>> {
        let front = Arc::clone(&self.processes.get(&node)?.front);
        Some(async move {
            front
                .cancel(&caller, JobId(id), Some(CALLER_DEADLINE))
                .await
        })
    }

    /// Returns the id of a job that [`Self::hand_in_late`] may hand in.
    pub fn next_id(&mut self) -> u64 {
        self.jobs += 1;
        self.jobs
    }

    /// Hands a job of one task in at a node, which stands still for `delay` before it writes the row.
    /// The node then tells the owner that it knows if it still runs.
    pub fn hand_in_late(&self, node: usize, id: u64, delay: Millis) {
        self.hand_in_late_for(None, node, id, delay);
    }

    /// Hands such a job in for a workspace.
    pub fn hand_in_late_for(
        &self,
        workspace: Option<Workspace>,
        node: usize,
        id: u64,
        delay: Millis,
    ) {
        let row = JobRow {
            workspace,
            ..job(id, &queue("q", 0), vec![step(1, 1_000)])
        };
        let mut tx = Transaction::default();
        let key = RowKey::new(Table::Jobs, &job_partition(node), &row.id.to_string());
        tx.puts.push((key, encode(&row)));
        let body = serde_json::to_vec(&row).expect("JSON");
        let world = Arc::clone(&self.world);
        tokio::spawn(async move {
            pass(delay).await;
            world.store.commit(&tx);
            let Some(front) = world.front(node) else {
                return;
            };
            let owner = front.shared.owner().address;
            if let Some(owner) = owner {
                let call = NodeCall::Accepted(body);
                // An owner that is not told finds the row by itself.
                let _ = world.call(node, usize::from(owner.port()), call, 600).await;
            }
        });
    }

    /// Counts the rows of a table of the cell, of which the store lists 500 at most.
    pub async fn count_rows(&self, table: Table) -> usize {
        let list = StoreCall::List {
            table,
            partition: CELL_PARTITION.to_owned(),
            from: String::new(),
            until: String::new(),
            limit: 500,
        };
        match self.world.store.call(list).await {
            Ok(StoreReply::Rows { rows, .. }) => rows.len(),
            other => panic!("{other:?}"),
        }
    }

    /// When runs of a job began, by the clock of all workers.
    pub fn starts(&self, id: u64) -> Vec<Millis> {
        let history = self.history().into_iter();
        let of_job = history.filter(|(task, _)| task.step.job.0 == id);
        of_job
            .flat_map(|(_, runs)| runs)
            .map(|run| run.began)
            .collect()
    }

    /// Makes all paths whole again.
    pub fn heal(&self) {
        let mut paths = self.world.paths();
        paths.nodes.clear();
        paths.workers.clear();
        paths.store = [StoreState::Serves; ADDRESSES];
    }

    /// All runs by task, in the order of their beginnings.
    pub fn history(&self) -> BTreeMap<TaskName, Vec<RunRecord>> {
        let mut by_task: BTreeMap<TaskName, Vec<RunRecord>> = BTreeMap::new();
        for run in self.world.workers.history() {
            by_task.entry(run.task).or_default().push(run);
        }
        for runs in by_task.values_mut() {
            runs.sort_by_key(|run| run.began);
        }
        by_task
    }

    /// The runs that began while an earlier run of the same task was going on.
    pub fn overlapping_runs(&self) -> Vec<(RunRecord, RunRecord)> {
        let mut overlapping = Vec::new();
        for runs in self.history().into_values() {
            for pair in runs.windows(2) {
                let ended = pair[0].ended.as_ref().map_or(Millis::MAX, |(at, _)| *at);
                if ended > pair[1].began {
                    overlapping.push((pair[0].clone(), pair[1].clone()));
                }
            }
        }
        overlapping
    }

    /// The numbers of those of a job's first `tasks` tasks that run nowhere and are not done.
    pub fn tasks_without_a_run(&self, id: u64, tasks: u32) -> Vec<u32> {
        let mut open: BTreeSet<u32> = (0..tasks).collect();
        for (task, runs) in self.history() {
            let is_well = |run: &RunRecord| matches!(run.ended, None | Some((_, EndKind::Done)));
            if task.step.job.0 == id && runs.iter().any(is_well) {
                open.remove(&task.index);
            }
        }
        open.into_iter().collect()
    }

    /// How many tasks of a job have a run that ended well.
    pub fn done_tasks(&self, id: u64) -> usize {
        let is_done = |run: &RunRecord| matches!(run.ended, Some((_, EndKind::Done)));
        let history = self.history();
        let of_job = history.iter().filter(|(task, _)| task.step.job.0 == id);
        of_job.filter(|(_, runs)| runs.iter().any(is_done)).count()
    }
}

/// Reads a number from the environment.
pub fn number(name: &str, otherwise: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(otherwise, |value| value.parse().expect("a number"))
}

/// Plays random worlds, each in a runtime of its own, and returns what was wrong with those that
/// failed.  `CROSSWEIR_SEED` and `CROSSWEIR_RUNS` set which worlds are played.
pub fn faults_of_worlds<F>(play: impl Fn(u64) -> F) -> Vec<String>
where
    F: Future<Output = Option<String>>,
{
    let first = number("CROSSWEIR_SEED", 1);
    faults_of(first..first + number("CROSSWEIR_RUNS", 40), play)
}

/// Plays the random worlds of these seeds in the same way.
pub fn faults_of<F>(seeds: Range<u64>, play: impl Fn(u64) -> F) -> Vec<String>
where
    F: Future<Output = Option<String>>,
{
    let fault = |seed| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let fault = runtime.block_on(play(seed))?;
        Some(format!("seed {seed}: {fault}"))
    };
    seeds.filter_map(fault).collect()
}

/// Lets virtual time pass.
pub async fn pass(time: Millis) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}
