//! The links of the nodes, and what goes over them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossweir::cell::name::TaskName;
use crossweir::cell::order::{
    Addressee, EndKind, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::clock::{Clock, Millis};
use crossweir::node::links::Workers;
use crossweir::platform::store::READ_STALL_TIMEOUT;
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{NodeCall, NodeLink, NodeReply};
use crossweir::store::{Store, StoreCall, StoreError, StoreReply, Transaction};
use crossweir::timeout::AnswerTimeout;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::Instant;

use super::link::{Link, UNLIMITED, row_bytes, transfer, value_bytes};
use crate::split_cell::{ADDRESSES, Reached, View, pass};

/// The least and the longest time limit for a worker's answer, as those of the link to workers.
const WORKER_TIMEOUTS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(1_000)];
/// How long the answer to a poll is awaited after the worker counts as silent.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a node waits for the begin of an answer of the store, on top of the time for which the
/// store may hold it back.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a worker's answer takes to come back over a link without a limit, in milliseconds.
pub const ANSWER_TIME: Millis = 1;
/// The bytes of a call, and of an answer, over HTTP without its body, with the network's own.
const HEAD: usize = 300;
/// The bytes that the making of a connection takes in each direction.
const CONNECTION: usize = 100;
/// The bytes of the body of a start without its texts, and of a stop.
const ORDER_BODY: usize = 100;
/// The bytes of the body of a poll, and of an answer without its lists.
const POLL_BODY: usize = 60;
/// The bytes of a run or an end in an answer to a poll.
const LISTED_RUN: usize = 40;
/// The longest lease that a worker accepts, in milliseconds.
const MAX_LEASE: Millis = 10_000;

/// The end of a run as a worker listed it in an answer, whether or not that arrived.
#[derive(Debug, Clone, Copy)]
pub struct ListedEnd {
    /// When the worker answered.
    pub at: Millis,
    /// When its lease was to end then.
    pub lease_end: Millis,
}

/// Links, and what workers have answered.
pub struct Wire {
    clock: Arc<dyn Clock>,
    links: Vec<Link>,
    /// The link of what nodes call, which has no limit.
    outside: Link,
    /// How long workers' answers take to come back, without the links, in milliseconds.
    answer_time: AtomicU64,
    leases: Mutex<HashMap<String, Millis>>,
    listed: Mutex<BTreeMap<(TaskName, u64), ListedEnd>>,
    /// The workers that were ordered to start runs, by task and run.
    places: Mutex<BTreeMap<(TaskName, u64), String>>,
}

impl Wire {
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            links: (0..ADDRESSES).map(|_| Link::new(UNLIMITED)).collect(),
            outside: Link::new(UNLIMITED),
            answer_time: AtomicU64::new(ANSWER_TIME),
            leases: Mutex::default(),
            listed: Mutex::default(),
            places: Mutex::default(),
        }
    }

    /// Sets the bandwidth of a node's link, in bytes per millisecond.
    pub fn set_rate(&self, node: usize, bytes_per_ms: usize) {
        self.links[node].set_rate(bytes_per_ms);
    }

    /// Sets how long workers' answers take to come back, without the links.
    pub fn set_answer_time(&self, time: Millis) {
        self.answer_time.store(time, Ordering::Relaxed);
    }

    /// The first answers that listed the ends of runs that had ended well, by task and run.
    pub fn listed(&self) -> BTreeMap<(TaskName, u64), ListedEnd> {
        lock(&self.listed).clone()
    }

    /// The workers that were ordered to start runs, by task and run.
    pub fn places(&self) -> BTreeMap<(TaskName, u64), String> {
        lock(&self.places).clone()
    }

    fn note_place(&self, order: &StartOrder) {
        let run = (order.task, order.number);
        lock(&self.places).insert(run, order.to.life.id.clone());
    }

    fn note_lease(&self, worker: &str, due: Millis) {
        let due = due.min(self.clock.now() + MAX_LEASE);
        let mut leases = lock(&self.leases);
        let lease = leases.entry(worker.to_owned()).or_default();
        *lease = due.max(*lease);
    }

    fn note_ends(&self, worker: &str, report: &PollReport) {
        let at = self.clock.now();
        let lease_end = lock(&self.leases).get(worker).copied().unwrap_or_default();
        let mut listed = lock(&self.listed);
        for end in report.ended.iter().filter(|end| end.how == EndKind::Done) {
            let first = listed.entry((end.task, end.number));
            first.or_insert(ListedEnd { at, lease_end });
        }
    }

    async fn send(&self, node: usize, bytes: usize) {
        transfer(&self.links[node], &self.outside, bytes).await;
    }

    async fn receive(&self, node: usize, bytes: usize) {
        transfer(&self.outside, &self.links[node], bytes).await;
    }

    /// Brings a worker's answer back.
    async fn answer(&self, node: usize, bytes: usize) {
        pass(self.answer_time.load(Ordering::Relaxed)).await;
        self.receive(node, bytes).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a node reaches over its link.
pub fn reached(wire: &Arc<Wire>, view: Arc<View>) -> Reached {
    let port = Port(Arc::new(Inner {
        node: view.node(),
        view,
        wire: Arc::clone(wire),
        idle: Mutex::default(),
        timeout: AnswerTimeout::new(WORKER_TIMEOUTS[0], WORKER_TIMEOUTS[1]),
    }));
    Reached {
        store: Arc::new(port.clone()),
        workers: Arc::new(port.clone()),
        peers: Arc::new(port),
    }
}

/// A node's end of its link.
#[derive(Clone)]
struct Port(Arc<Inner>);

struct Inner {
    node: usize,
    view: Arc<View>,
    wire: Arc<Wire>,
    /// How many connections are open and not in use, by what they lead to.
    idle: Mutex<HashMap<String, usize>>,
    timeout: AnswerTimeout,
}

impl Inner {
    /// Takes a connection that is open, or opens one.
    async fn connect(&self, to: &str) {
        let is_open = match lock(&self.idle).get_mut(to) {
            Some(count) if *count > 0 => {
                *count -= 1;
                true
            }
            _ => false,
        };
        if !is_open {
            self.wire.send(self.node, CONNECTION).await;
            self.wire.receive(self.node, CONNECTION).await;
        }
    }

    async fn start(&self, order: &StartOrder) -> (StartOutcome, Option<Millis>) {
        let id = &order.to.life.id;
        let ticket = order.ticket.as_ref().map_or(0, String::len);
        let body = ORDER_BODY + order.text.len() + ticket + order.checkpoint.len();
        self.connect(id).await;
        self.wire.send(self.node, HEAD + body).await;
        let answer = Workers::start(&*self.view, order).await;
        if answer.0 == StartOutcome::Started {
            self.wire.note_lease(id, order.due);
            self.wire.note_place(order);
        }
        self.wire.answer(self.node, HEAD).await;
        answer
    }

    async fn stop(&self, order: &StopOrder) -> Result<(), Option<Refusal>> {
        self.connect(&order.to.life.id).await;
        self.wire.send(self.node, HEAD + ORDER_BODY).await;
        let answer = Workers::stop(&*self.view, order).await;
        self.wire.answer(self.node, HEAD).await;
        answer
    }

    async fn poll(&self, order: &PollOrder) -> Result<PollReport, PollFailure> {
        let id = &order.to.life.id;
        self.connect(id).await;
        self.wire.send(self.node, HEAD + POLL_BODY).await;
        let report = Workers::poll(&*self.view, order).await?;
        self.wire.note_lease(id, order.due.unwrap_or_default());
        self.wire.note_ends(id, &report);
        let rows = report.running.len() + report.ended.len();
        let bytes = HEAD + POLL_BODY + rows * LISTED_RUN;
        self.wire.answer(self.node, bytes).await;
        Ok(report)
    }

    /// Makes a call to the store up to the begin of the answer.
    async fn store(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.connect(STORE).await;
        let body = match &call {
            StoreCall::Commit(tx) => transaction_bytes(tx),
            StoreCall::List { .. } | StoreCall::Changes { .. } => 0,
        };
        self.wire.send(self.node, HEAD + body).await;
        let reply = Store::call(&*self.view, call).await;
        self.wire.receive(self.node, HEAD).await;
        reply
    }

    async fn peer(
        &self,
        address: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> Result<NodeReply, PeerError> {
        let (here, there) = (self.node, usize::from(address.port()));
        let links = &self.wire.links;
        transfer(&links[here], &links[there], call.wire_bytes()).await;
        let reply = NodeLink::call(&*self.view, address, call, timeout).await?;
        transfer(&links[there], &links[here], reply.wire_bytes()).await;
        Ok(reply)
    }
}

/// What the connections to the store lead to.
const STORE: &str = "store";

fn transaction_bytes(tx: &Transaction) -> usize {
    let expected = tx.expected.iter().map(|(key, _)| key);
    let keys = expected.chain(tx.puts.iter().map(|(key, _)| key));
    let keys = keys.chain(&tx.drops);
    let keys: usize = keys.map(|key| key.key.len() + value_bytes("")).sum();
    let values = tx.puts.iter().map(|(_, value)| value_bytes(value));
    keys + values.sum::<usize>()
}

impl Port {
    /// Makes an exchange, which goes on if the caller gives it up.  Returns none if it takes longer
    /// than `limit`; its connection is then closed.
    async fn exchange<T: Send + 'static>(
        &self,
        to: &str,
        limit: Duration,
        exchange: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        let exchange = tokio::spawn(exchange);
        let answer = tokio::time::timeout(limit, exchange).await.ok()?.ok()?;
        *lock(&self.0.idle).entry(to.to_owned()).or_default() += 1;
        Some(answer)
    }
}

impl Port {
    /// Sends an order, and notes how long the answer takes.
    async fn order<T: Send + 'static>(
        &self,
        to: &Addressee,
        order: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        let timeout = &self.0.timeout;
        let began = Instant::now();
        let answer = self.exchange(&to.life.id, timeout.limit(), order).await;
        match &answer {
            Some(_) => timeout.note_answer(began.elapsed()),
            None => timeout.note_late(),
        }
        answer
    }
}

impl Workers for Port {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        let (inner, sent) = (Arc::clone(&self.0), order.clone());
        let exchange = async move { inner.start(&sent).await };
        async move {
            let answer = self.order(&order.to, exchange);
            let unanswered = (StartOutcome::Unanswered, None);
            answer.await.unwrap_or(unanswered)
        }
        .boxed()
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        let (inner, sent) = (Arc::clone(&self.0), order.clone());
        let exchange = async move { inner.stop(&sent).await };
        async move {
            let answer = self.order(&order.to, exchange);
            answer.await.unwrap_or(Err(None))
        }
        .boxed()
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        let (inner, sent) = (Arc::clone(&self.0), order.clone());
        let exchange = async move { inner.poll(&sent).await };
        async move {
            let wait = Duration::from_millis(order.wait);
            let limit = self.0.timeout.limit() + wait + LATE_ANSWER_TIMEOUT;
            let answer = self.exchange(&order.to.life.id, limit, exchange);
            answer.await.unwrap_or(Err(PollFailure::Unanswered))
        }
        .boxed()
    }

    fn answer_timeout(&self) -> Duration {
        self.0.timeout.limit()
    }

    fn note_late(&self, to: &Addressee) {
        self.0.timeout.note_late();
        lock(&self.0.idle).remove(&to.life.id);
    }
}

impl Store for Port {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        let wait = match &call {
            StoreCall::Changes { wait, .. } => Duration::from_millis(*wait),
            _ => Duration::ZERO,
        };
        // A read changes nothing, so one without an answer leaves nothing in doubt.
        let otherwise = match &call {
            StoreCall::Commit(_) => StoreError::Unanswered,
            _ => StoreError::Unavailable,
        };
        let inner = Arc::clone(&self.0);
        let exchange = async move { inner.store(call).await };
        async move {
            let answer = self.exchange(STORE, STORE_TIMEOUT + wait, exchange).await;
            let reply = answer.unwrap_or(Err(otherwise))?;
            if let StoreReply::Rows { rows, .. } | StoreReply::Conflict(rows) = &reply {
                let link = &self.0.wire.links[self.0.node];
                link.receive(row_bytes(rows), READ_STALL_TIMEOUT).await?;
            }
            Ok(reply)
        }
        .boxed()
    }
}

impl NodeLink for Port {
    fn call(
        &self,
        address: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        let inner = Arc::clone(&self.0);
        let exchange = async move { inner.peer(address, call, timeout).await };
        async move {
            let limit = Duration::from_millis(timeout);
            let answer = tokio::time::timeout(limit, tokio::spawn(exchange)).await;
            match answer {
                Ok(Ok(reply)) => reply,
                Ok(Err(_)) | Err(_) => Err(PeerError::Unanswered),
            }
        }
        .boxed()
    }
}
