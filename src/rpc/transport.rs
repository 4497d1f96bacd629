//! The plumbing under the protocol between nodes: a queue of calls that any task may
//! fill, kept connections, and the loop that accepts them.
//!
//! Cap'n Proto's objects stay on one thread, so connections live inside a `LocalSet`,
//! while callers may be anywhere.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task;
use tokio::time::Instant;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::clock::Millis;
use crate::rpc::PeerError;
use crate::{keep_alive, timeout};

/// How many calls may wait to be picked up: some seconds of the busiest process's calls.
const QUEUE_LENGTH: usize = 4_096;
/// How long a connection may take to come about: halls are milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A call that waits to be carried out.
pub struct Pending<C, R> {
    /// The process that is called.
    addr: SocketAddr,
    /// The call.
    call: C,
    /// How long the answer may take.
    timeout: Duration,
    answer: oneshot::Sender<Result<R, PeerError>>,
}

impl<C, R> Pending<C, R> {
    /// Passes the answer on; whoever asked may have given up.
    fn answer(self, reply: Result<R, PeerError>) {
        let _ = self.answer.send(reply);
    }
}

/// The sending end of a queue of calls: it may be used from any task.
pub struct Calls<C, R> {
    tx: mpsc::Sender<Pending<C, R>>,
}

/// Makes both ends of a queue of calls.
pub fn link<P: Protocol>() -> (Calls<P::Call, P::Reply>, Driver<P>) {
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    (Calls { tx }, Driver { rx })
}

impl<C, R> Calls<C, R> {
    /// Queues a call and waits for its answer.
    ///
    /// # Errors
    /// See [`PeerError`]; a full queue counts as not sent.
    pub async fn call(&self, addr: SocketAddr, call: C, timeout: Millis) -> Result<R, PeerError> {
        let (answer, rx) = oneshot::channel();
        let pending = Pending {
            addr,
            call,
            timeout: Duration::from_millis(timeout),
            answer,
        };
        self.tx.try_send(pending).map_err(|_| PeerError::NotSent)?;
        rx.await.unwrap_or(Err(PeerError::Unanswered))
    }
}

/// What a protocol brings along: the interface, and one exchange over it.
pub trait Protocol: 'static {
    /// The interface of the other process.
    type Client: FromClientHook + Clone + 'static;
    /// A call.
    type Call: 'static;
    /// Its answer.
    type Reply: 'static;

    /// Makes one call over a connection.
    fn exchange(
        client: &Self::Client,
        call: &Self::Call,
    ) -> impl Future<Output = Result<Self::Reply, PeerError>>;
}

/// The half that owns the connections; it must run inside a `LocalSet`.
pub struct Driver<P: Protocol> {
    rx: mpsc::Receiver<Pending<P::Call, P::Reply>>,
}

impl<P: Protocol> Driver<P> {
    /// Carries out calls until the sending end is gone.
    pub async fn run(mut self) {
        let connections = Connections::new();
        while let Some(pending) = self.rx.recv().await {
            let connections = Rc::clone(&connections);
            task::spawn_local(async move {
                let reply = carry_out::<P>(&connections, &pending).await;
                pending.answer(reply);
            });
        }
    }
}

async fn carry_out<P: Protocol>(
    connections: &Rc<Connections<P::Client>>,
    pending: &Pending<P::Call, P::Reply>,
) -> Result<P::Reply, PeerError> {
    let connection = connections.get(pending.addr, pending.timeout).await?;
    let exchange = P::exchange(&connection.client, &pending.call);
    connections
        .bounded(pending.addr, &connection, pending.timeout, exchange)
        .await
}

/// A connection; it is closed when nobody holds it any more, also if the other side has
/// gone silent and will never close it.
struct Connection<C> {
    client: C,
    system: task::JoinHandle<()>,
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Connections that are kept, by address.
struct Connections<C> {
    known: Mutex<HashMap<SocketAddr, Rc<Connection<C>>>>,
}

impl<C: FromClientHook + Clone + 'static> Connections<C> {
    /// Makes an empty set.
    fn new() -> Rc<Self> {
        Rc::new(Self {
            known: Mutex::default(),
        })
    }

    /// The connection to `addr`, made if there is none, within `timeout` like the call.
    ///
    /// # Errors
    /// Fails with [`PeerError::NotSent`] if none comes about.
    async fn get(
        self: &Rc<Self>,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Rc<Connection<C>>, PeerError> {
        if let Some(connection) = self.usable(addr) {
            return Ok(connection);
        }
        let limit = timeout.min(CONNECT_TIMEOUT);
        let connecting = tokio::time::timeout(limit, keep_alive::connect(addr)).await;
        let stream = connecting
            .map_err(|_| PeerError::NotSent)?
            .map_err(|_| PeerError::NotSent)?;
        // Another call may have been faster.
        if let Some(connection) = self.usable(addr) {
            return Ok(connection);
        }
        let connection = Rc::new(start(stream, addr));
        self.lock().insert(addr, Rc::clone(&connection));
        Ok(connection)
    }

    fn usable(&self, addr: SocketAddr) -> Option<Rc<Connection<C>>> {
        let known = self.lock();
        let connection = known.get(&addr)?;
        (!connection.system.is_finished()).then(|| Rc::clone(connection))
    }

    /// Does not use this connection to `addr` any more; one that has taken its place stays.
    fn forget(&self, addr: SocketAddr, connection: &Rc<Connection<C>>) {
        let mut known = self.lock();
        if known
            .get(&addr)
            .is_some_and(|known| Rc::ptr_eq(known, connection))
        {
            known.remove(&addr);
        }
    }

    /// Waits for an answer, and gives the connection up if none comes in time.
    ///
    /// # Errors
    /// Passes on the error of `exchange`, or [`PeerError::Unanswered`].
    async fn bounded<R>(
        &self,
        addr: SocketAddr,
        connection: &Rc<Connection<C>>,
        timeout: Duration,
        exchange: impl Future<Output = Result<R, PeerError>>,
    ) -> Result<R, PeerError> {
        let answer = timeout::wait_until(Instant::now() + timeout, exchange).await;
        let answer = answer.unwrap_or(Err(PeerError::Unanswered));
        if matches!(answer, Err(PeerError::Unanswered)) {
            self.forget(addr, connection);
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Rc<Connection<C>>>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn start<C: FromClientHook + Clone + 'static>(
    stream: TcpStream,
    addr: SocketAddr,
) -> Connection<C> {
    let network = network(stream, rpc_twoparty_capnp::Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: C = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let system = task::spawn_local(async move {
        if let Err(err) = system.await {
            tracing::debug!(%err, %addr, "connection ended");
        }
    });
    Connection { client, system }
}

/// Serves calls that arrive at `listener` for as long as the task lives.
///
/// Must run inside a `LocalSet`.
pub async fn serve(listener: TcpListener, server: capnp::capability::Client) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = keep_alive::set_peer_timeouts(&stream) {
                    tracing::warn!(%err, "a connection that goes silent is given back late");
                }
                let network = network(stream, rpc_twoparty_capnp::Side::Server);
                let system = RpcSystem::new(Box::new(network), Some(server.clone()));
                task::spawn_local(async move {
                    if let Err(err) = system.await {
                        tracing::debug!(%err, "a connection from another process ended");
                    }
                });
            }
            Err(err) => {
                tracing::warn!(%err, "a connection from another process was not accepted");
                task::yield_now().await;
            }
        }
    }
}

fn network(
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
) -> twoparty::VatNetwork<impl futures::AsyncRead + Unpin + 'static> {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(%err, "small messages may be delayed");
    }
    let (reader, writer) = stream.compat().split();
    twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        Default::default(),
    )
}
