//! Answering other instances.

use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;

use crate::rpc::peer_capnp as wire;
use crate::rpc::{PeerService, codec, transport};

struct PeerServer {
    service: Arc<dyn PeerService>,
}

impl wire::peer::Server for PeerServer {
    async fn call(
        self: Rc<Self>,
        params: wire::peer::CallParams,
        mut results: wire::peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = codec::read_call(params.get()?.get_request()?)?;
        let reply = self.service.serve(call).await;
        codec::write_reply(&reply, results.get().init_reply())
    }
}

/// Serves calls that arrive at `listener` for as long as the task lives.
///
/// Must run inside a `LocalSet`, as Cap'n Proto's objects stay on one thread.
pub async fn serve(listener: TcpListener, service: Arc<dyn PeerService>) {
    let peer: wire::peer::Client = capnp_rpc::new_client(PeerServer { service });
    transport::serve(listener, peer.client).await;
}
