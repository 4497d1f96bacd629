//! The transport of the protocol between nodes: a queue of calls, the connections over which they
//! are made, and the loop that accepts connections.
//!
//! Cap'n Proto's objects are bound to one thread, so connections live inside a `LocalSet`.  The
//! queue lets tasks on any thread make calls over them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use capnp::capability::FromClientHook;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task;
use tokio::time::Instant;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::clock::Millis;
use crate::rpc::PeerError;
use crate::traffic::Counter;
use crate::{keep_alive, timeout};

/// How many calls may wait in the queue: as many as the busiest process makes in some seconds.
const QUEUE_LENGTH: usize = 4_096;
/// How long connecting may take: the round trip between halls is some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest call that another node may send, in words of eight bytes: four times the 1 MB of the
/// largest transaction that one node relays for another.  The memory of a message is taken as soon
/// as its length is announced.
const MAX_CALL_WORDS: usize = 4 * 1_024 * 1_024 / 8;

/// A queued call.
pub struct PendingCall<C, R> {
    /// The address of the called node.
    addr: SocketAddr,
    call: C,
    /// How long the exchange over a connection may take.  Connecting may take as long before that,
    /// but at most [`CONNECT_TIMEOUT`].
    timeout: Duration,
    answer: oneshot::Sender<Result<R, PeerError>>,
}

impl<C, R> PendingCall<C, R> {
    /// Passes the answer to the caller, which may have been dropped meanwhile.
    fn answer(self, reply: Result<R, PeerError>) {
        let _ = self.answer.send(reply);
    }
}

/// The sending end of a queue of calls, which any task may use.
pub struct Calls<C, R> {
    tx: mpsc::Sender<PendingCall<C, R>>,
}

/// Creates both ends of a queue of calls, whose connections and bytes are counted by `counter`.
pub fn link<P: Protocol>(counter: Arc<Counter>) -> (Calls<P::Call, P::Reply>, Driver<P>) {
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    (Calls { tx }, Driver { rx, counter })
}

impl<C, R> Calls<C, R> {
    /// Queues a call and waits for its answer.
    ///
    /// # Errors
    /// See [`PeerError`]; if the queue is full, this fails with [`PeerError::NotSent`].
    pub async fn call(&self, addr: SocketAddr, call: C, timeout: Millis) -> Result<R, PeerError> {
        let (answer, rx) = oneshot::channel();
        let pending = PendingCall {
            addr,
            call,
            timeout: Duration::from_millis(timeout),
            answer,
        };
        self.tx.try_send(pending).map_err(|_| PeerError::NotSent)?;
        rx.await.unwrap_or(Err(PeerError::Unanswered))
    }
}

/// A request-response protocol over a Cap'n Proto interface.
pub trait Protocol: 'static {
    /// The client of the interface that the other process serves.
    type Client: FromClientHook + Clone + 'static;
    /// The message of a call.
    type Call: 'static;
    /// The message of an answer.
    type Reply: 'static;

    /// Makes one call over a connection and waits for its answer.
    ///
    /// # Errors
    /// Fails with [`PeerError::Unanswered`] if no answer arrives, and with
    /// [`PeerError::Malformed`] if it cannot be decoded.
    fn exchange(
        client: &Self::Client,
        call: &Self::Call,
    ) -> impl Future<Output = Result<Self::Reply, PeerError>>;
}

/// The receiving end of a queue of calls, which owns the connections; it must run inside a
/// `LocalSet`.
pub struct Driver<P: Protocol> {
    rx: mpsc::Receiver<PendingCall<P::Call, P::Reply>>,
    counter: Arc<Counter>,
}

impl<P: Protocol> Driver<P> {
    /// Makes the queued calls, each in a task of its own, until the sending end is dropped.
    pub async fn run(mut self) {
        let connections = Connections::new(self.counter);
        while let Some(pending) = self.rx.recv().await {
            let connections = Rc::clone(&connections);
            task::spawn_local(async move {
                let reply = execute::<P>(&connections, &pending).await;
                pending.answer(reply);
            });
        }
    }
}

async fn execute<P: Protocol>(
    connections: &Rc<Connections<P::Client>>,
    pending: &PendingCall<P::Call, P::Reply>,
) -> Result<P::Reply, PeerError> {
    let connection = connections.get(pending.addr, pending.timeout).await?;
    let exchange = P::exchange(&connection.client, &pending.call);
    connections
        .with_timeout(pending.addr, &connection, pending.timeout, exchange)
        .await
}

/// A connection to another node.  It is closed when its last user drops it, also if the other node
/// has gone silent and would never close it.
struct Connection<C> {
    client: C,
    /// The task that reads and writes the messages; it ends when the connection is closed.
    rpc_task: task::JoinHandle<()>,
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// The newest connection to each address.
struct Connections<C> {
    by_address: Mutex<HashMap<SocketAddr, Rc<Connection<C>>>>,
    counter: Arc<Counter>,
}

impl<C: FromClientHook + Clone + 'static> Connections<C> {
    fn new(counter: Arc<Counter>) -> Rc<Self> {
        Rc::new(Self {
            by_address: Mutex::default(),
            counter,
        })
    }

    /// Returns the connection to `addr`.  If there is none, connects within `timeout`, at most
    /// [`CONNECT_TIMEOUT`].
    ///
    /// # Errors
    /// Fails with [`PeerError::NotSent`] if connecting fails or takes too long.
    async fn get(
        self: &Rc<Self>,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Rc<Connection<C>>, PeerError> {
        if let Some(connection) = self.find_open(addr) {
            return Ok(connection);
        }
        let limit = timeout.min(CONNECT_TIMEOUT);
        let connecting = tokio::time::timeout(limit, keep_alive::connect(addr)).await;
        let stream = connecting
            .map_err(|_| PeerError::NotSent)?
            .map_err(|_| PeerError::NotSent)?;
        // Another call may have connected meanwhile; then its connection is used and ours closed.
        if let Some(connection) = self.find_open(addr) {
            return Ok(connection);
        }
        let connection = Rc::new(open(stream, addr, &self.counter));
        self.lock().insert(addr, Rc::clone(&connection));
        Ok(connection)
    }

    /// Finds the connection to `addr` if it is still open.
    fn find_open(&self, addr: SocketAddr) -> Option<Rc<Connection<C>>> {
        let by_address = self.lock();
        let connection = by_address.get(&addr)?;
        (!connection.rpc_task.is_finished()).then(|| Rc::clone(connection))
    }

    /// Removes this connection to `addr` so that no further call uses it, unless another one has
    /// replaced it already.
    fn remove(&self, addr: SocketAddr, connection: &Rc<Connection<C>>) {
        let mut by_address = self.lock();
        if by_address
            .get(&addr)
            .is_some_and(|current| Rc::ptr_eq(current, connection))
        {
            by_address.remove(&addr);
        }
    }

    /// Waits for an answer.  If none arrives in time, removes the connection, since it may have
    /// gone silent.
    ///
    /// # Errors
    /// Fails with the error of `exchange`, or with [`PeerError::Unanswered`] if no answer arrives
    /// in time.
    async fn with_timeout<R>(
        &self,
        addr: SocketAddr,
        connection: &Rc<Connection<C>>,
        timeout: Duration,
        exchange: impl Future<Output = Result<R, PeerError>>,
    ) -> Result<R, PeerError> {
        let answer = timeout::wait_until(Instant::now() + timeout, exchange).await;
        let answer = answer.unwrap_or(Err(PeerError::Unanswered));
        if matches!(answer, Err(PeerError::Unanswered)) {
            self.remove(addr, connection);
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Rc<Connection<C>>>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn open<C: FromClientHook + Clone + 'static>(
    stream: TcpStream,
    addr: SocketAddr,
    counter: &Arc<Counter>,
) -> Connection<C> {
    let options = ReaderOptions::new();
    let network = network(stream, counter, rpc_twoparty_capnp::Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: C = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let rpc_task = task::spawn_local(async move {
        if let Err(err) = system.await {
            tracing::debug!(%err, %addr, "connection ended");
        }
    });
    Connection { client, rpc_task }
}

/// Serves the calls that arrive at `listener`, until the task is dropped.  `counter` counts their
/// connections and bytes.
///
/// It must run inside a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    server: capnp::capability::Client,
    counter: Arc<Counter>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = keep_alive::set_peer_timeouts(&stream) {
                    tracing::warn!(%err, "cannot set keep-alive; a silent node is noticed late");
                }
                let mut options = ReaderOptions::new();
                options.traversal_limit_in_words(Some(MAX_CALL_WORDS));
                let network = network(stream, &counter, rpc_twoparty_capnp::Side::Server, options);
                let system = RpcSystem::new(Box::new(network), Some(server.clone()));
                task::spawn_local(async move {
                    if let Err(err) = system.await {
                        tracing::debug!(%err, "connection from another node ended");
                    }
                });
            }
            Err(err) => {
                tracing::warn!(%err, "cannot accept a connection from another node");
                task::yield_now().await;
            }
        }
    }
}

fn network(
    stream: TcpStream,
    counter: &Arc<Counter>,
    side: rpc_twoparty_capnp::Side,
    options: ReaderOptions,
) -> twoparty::VatNetwork<impl futures::AsyncRead + Unpin + 'static> {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(%err, "cannot set TCP_NODELAY; small messages may be delayed");
    }
    let (reader, writer) = counter.count(stream).compat().split();
    twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        options,
    )
}
