//! Asking other instances.

use std::net::SocketAddr;

use futures::future;

use crate::clock::Millis;
use crate::daemon::instance::Instance;
use crate::rpc::PeerError;
use crate::rpc::message::{PeerCall, PeerReply};

impl Instance {
    /// Calls several instances at once and returns their answers in the same order.
    pub async fn ask_all(
        &self,
        addrs: Vec<SocketAddr>,
        call: &PeerCall,
        timeout: Millis,
    ) -> Vec<Result<PeerReply, PeerError>> {
        let calls = addrs
            .into_iter()
            .map(|addr| self.peers.call(addr, call.clone(), timeout));
        future::join_all(calls).await
    }

    /// Returns the addresses of the instances that are heard, leaving ones among them.
    pub fn heard_peers(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let state = self.lock();
        let heard = state
            .members
            .peers()
            .filter(|(name, _)| state.members.is_alive(name, now));
        heard.map(|(_, peer)| peer.rpc).collect()
    }
}
