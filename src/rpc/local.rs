//! Instances in one process, for tests and the embedded mode.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError, Weak};

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::clock::Millis;
use crate::rpc::{PeerCall, PeerError, PeerLink, PeerReply, PeerService};

/// All instances of one process by address.
#[derive(Default)]
pub struct LocalPeers {
    services: Mutex<HashMap<SocketAddr, Weak<dyn PeerService>>>,
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
}

impl PeerLink for LocalPeers {
    fn call(
        &self,
        addr: SocketAddr,
        call: PeerCall,
        _timeout: Millis,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(&addr).and_then(Weak::upgrade);
        async move {
            match service {
                Some(service) => Ok(service.serve(call).await),
                None => Err(PeerError::NotSent),
            }
        }
        .boxed()
    }
}
