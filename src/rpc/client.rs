//! Calling other instances.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::task;

use crate::clock::Millis;
use crate::rpc::peer_capnp as wire;
use crate::rpc::{PeerCall, PeerError, PeerLink, PeerReply, codec, transport};

/// The sending half: it may be used from any task.
pub struct RpcLink {
    calls: transport::Calls<PeerCall, PeerReply>,
}

/// The half that owns the connections; it must run inside a `LocalSet`.
pub struct RpcDriver {
    rx: mpsc::Receiver<transport::Pending<PeerCall, PeerReply>>,
}

/// Makes both halves.
pub fn link() -> (RpcLink, RpcDriver) {
    let (calls, rx) = transport::queue();
    (RpcLink { calls }, RpcDriver { rx })
}

impl PeerLink for RpcLink {
    fn call(
        &self,
        addr: SocketAddr,
        call: PeerCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        self.calls.call(addr, call, timeout).boxed()
    }
}

type Connections = transport::Connections<wire::peer::Client>;

impl RpcDriver {
    /// Carries out calls until the sending half is gone.
    pub async fn run(mut self) {
        let connections = Connections::new();
        while let Some(pending) = self.rx.recv().await {
            let connections = Rc::clone(&connections);
            task::spawn_local(async move {
                let reply = carry_out(&connections, &pending).await;
                pending.answer(reply);
            });
        }
    }
}

async fn carry_out(
    connections: &Rc<Connections>,
    pending: &transport::Pending<PeerCall, PeerReply>,
) -> Result<PeerReply, PeerError> {
    let client = connections.get(pending.addr).await?;
    let exchange = send(&client, &pending.call);
    connections
        .bounded(pending.addr, pending.timeout, exchange)
        .await
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
