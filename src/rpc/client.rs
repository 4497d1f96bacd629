//! Calling other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::future::BoxFuture;
use futures::{AsyncReadExt, FutureExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::clock::Millis;
use crate::rpc::peer_capnp as wire;
use crate::rpc::{PeerCall, PeerError, PeerLink, PeerReply, codec};

/// How many calls may wait to be picked up.
const QUEUE_LENGTH: usize = 4_096;
/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

struct Job {
    addr: SocketAddr,
    call: PeerCall,
    timeout: Duration,
    answer: oneshot::Sender<Result<PeerReply, PeerError>>,
}

/// The sending half: it may be used from any task.
pub struct RpcLink {
    tx: mpsc::Sender<Job>,
}

/// The half that owns the connections; it must run inside a `LocalSet`.
pub struct RpcDriver {
    rx: mpsc::Receiver<Job>,
}

/// Makes both halves.
pub fn link() -> (RpcLink, RpcDriver) {
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    (RpcLink { tx }, RpcDriver { rx })
}

impl PeerLink for RpcLink {
    fn call(
        &self,
        addr: SocketAddr,
        call: PeerCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        async move {
            let (answer, rx) = oneshot::channel();
            let job = Job {
                addr,
                call,
                timeout: Duration::from_millis(timeout),
                answer,
            };
            self.tx.try_send(job).map_err(|_| PeerError::NotSent)?;
            rx.await.unwrap_or(Err(PeerError::Unanswered))
        }
        .boxed()
    }
}

type Connections = Rc<Mutex<HashMap<SocketAddr, wire::peer::Client>>>;

impl RpcDriver {
    /// Carries out calls until the sending half is gone.
    pub async fn run(mut self) {
        let connections = Connections::default();
        while let Some(job) = self.rx.recv().await {
            let connections = Rc::clone(&connections);
            task::spawn_local(async move {
                let reply = carry_out(&connections, job.addr, &job.call, job.timeout).await;
                let _ = job.answer.send(reply);
            });
        }
    }
}

async fn carry_out(
    connections: &Connections,
    addr: SocketAddr,
    call: &PeerCall,
    timeout: Duration,
) -> Result<PeerReply, PeerError> {
    let client = connection(connections, addr).await?;
    let answer = tokio::time::timeout(timeout, send(&client, call)).await;
    let answer = answer.unwrap_or(Err(PeerError::Unanswered));
    if answer == Err(PeerError::Unanswered) {
        forget(connections, addr);
    }
    answer
}

async fn send(client: &wire::peer::Client, call: &PeerCall) -> Result<PeerReply, PeerError> {
    let mut req = client.call_request();
    codec::write_call(call, req.get().init_request()).map_err(|_| PeerError::NotSent)?;
    let response = req
        .send()
        .promise
        .await
        .map_err(|_| PeerError::Unanswered)?;
    let reply = response
        .get()
        .and_then(|results| results.get_reply())
        .map_err(|_| PeerError::Malformed)?;
    codec::read_reply(reply).map_err(|_| PeerError::Malformed)
}

async fn connection(
    connections: &Connections,
    addr: SocketAddr,
) -> Result<wire::peer::Client, PeerError> {
    if let Some(client) = lock(connections).get(&addr).cloned() {
        return Ok(client);
    }
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = connecting
        .map_err(|_| PeerError::NotSent)?
        .map_err(|_| PeerError::NotSent)?;
    let client = start_system(stream, connections, addr);
    lock(connections).insert(addr, client.clone());
    Ok(client)
}

fn start_system(
    stream: TcpStream,
    connections: &Connections,
    addr: SocketAddr,
) -> wire::peer::Client {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        rpc_twoparty_capnp::Side::Client,
        Default::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let connections = Rc::clone(connections);
    task::spawn_local(async move {
        let _ = system.await;
        forget(&connections, addr);
    });
    client
}

fn forget(connections: &Connections, addr: SocketAddr) {
    lock(connections).remove(&addr);
}

fn lock(
    connections: &Connections,
) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, wire::peer::Client>> {
    connections
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
