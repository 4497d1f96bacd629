//! Instances in one process, for tests and the embedded mode; links can be cut.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::clock::Millis;
use crate::rpc::{PeerCall, PeerError, PeerLink, PeerReply, PeerService};

/// All instances of one process by address.
#[derive(Default)]
pub struct LocalPeers {
    services: Mutex<HashMap<SocketAddr, Weak<dyn PeerService>>>,
    cut: Mutex<HashSet<(SocketAddr, SocketAddr)>>,
}

impl LocalPeers {
    /// Makes an instance reachable at `addr`.
    pub fn insert(&self, addr: SocketAddr, service: Weak<dyn PeerService>) {
        self.services
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(addr, service);
    }

    /// Makes an instance unreachable for good.
    pub fn remove(&self, addr: SocketAddr) {
        self.services
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&addr);
    }

    /// Cuts the link between two instances in both directions, or mends it.
    pub fn set_cut(&self, a: SocketAddr, b: SocketAddr, cut: bool) {
        let mut links = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        for link in [(a, b), (b, a)] {
            match cut {
                true => links.insert(link),
                false => links.remove(&link),
            };
        }
    }

    fn find(&self, from: SocketAddr, to: SocketAddr) -> Option<Arc<dyn PeerService>> {
        if self
            .cut
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&(from, to))
        {
            return None;
        }
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.get(&to).and_then(Weak::upgrade)
    }
}

/// One instance's way to the others.
pub struct LocalPeerLink {
    /// All instances.
    pub peers: Arc<LocalPeers>,
    /// The address of the instance that calls.
    pub from: SocketAddr,
}

impl PeerLink for LocalPeerLink {
    fn call(
        &self,
        addr: SocketAddr,
        call: PeerCall,
        _timeout: Millis,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        let service = self.peers.find(self.from, addr);
        async move {
            match service {
                Some(service) => Ok(service.serve(call).await),
                None => Err(PeerError::NotSent),
            }
        }
        .boxed()
    }
}
