//! Answering other instances.

use std::rc::Rc;
use std::sync::Arc;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::rpc::peer_capnp as wire;
use crate::rpc::{PeerService, codec};

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
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_connection(stream, &peer),
            Err(err) => {
                tracing::warn!(%err, "an instance's connection was not accepted");
                task::yield_now().await;
            }
        }
    }
}

fn serve_connection(stream: TcpStream, peer: &wire::peer::Client) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        rpc_twoparty_capnp::Side::Server,
        Default::default(),
    );
    let system = RpcSystem::new(Box::new(network), Some(peer.clone().client));
    task::spawn_local(async move {
        if let Err(err) = system.await {
            tracing::debug!(%err, "an instance's connection ended");
        }
    });
}
