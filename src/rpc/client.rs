//! Calling other instances.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::clock::Millis;
use crate::rpc::peer_capnp as wire;
use crate::rpc::{PeerCall, PeerError, PeerLink, PeerReply, codec, transport};

/// The sending half: it may be used from any task.
pub struct RpcLink {
    calls: transport::Calls<PeerCall, PeerReply>,
}

/// The half that owns the connections; it must run inside a `LocalSet`.
pub type RpcDriver = transport::Driver<PeerProtocol>;

/// Makes both halves.
pub fn link() -> (RpcLink, RpcDriver) {
    let (calls, driver) = transport::link();
    (RpcLink { calls }, driver)
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

/// The protocol of this module over any connection.
pub struct PeerProtocol;

impl transport::Protocol for PeerProtocol {
    type Client = wire::peer::Client;
    type Call = PeerCall;
    type Reply = PeerReply;

    async fn exchange(client: &Self::Client, call: &PeerCall) -> Result<PeerReply, PeerError> {
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
}
