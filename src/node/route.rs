//! The store by whichever way works: directly, or through a peer that reaches it.
//!
//! The store may turn single VMs away while it serves others.  Repeating a call
//! through a peer is safe, since every transaction names the versions it expects.

use std::sync::{Arc, Mutex, PoisonError};

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::clock::Millis;
use crate::node::shared::Shared;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::store::{Store, StoreCall, StoreError, StoreReply};

/// After a failure the direct way is not tried again for so long: many callers must
/// not each wait for a silent store.
const RETRY_DIRECT: Millis = 250;
/// How long a relayed call may take: the store's own limit and a hop.
const RELAY_TIMEOUT: Millis = 1_200;
/// How many peers are asked for one call.
const MOST_RELAYS: usize = 2;
/// A peer that was not heard for so long is not asked: three heartbeats.
const RELAY_WINDOW: Millis = 1_000;

#[derive(Debug, Default)]
struct Direct {
    failed: Millis,
    works: bool,
    tried: bool,
}

/// The store of a node.
pub struct RoutedStore {
    direct: Arc<dyn Store>,
    state: Mutex<Direct>,
}

impl RoutedStore {
    /// Wraps the direct way.
    pub fn new(direct: Arc<dyn Store>) -> Self {
        Self {
            direct,
            state: Mutex::default(),
        }
    }

    /// Tells whether the last direct call worked; true before the first.
    pub fn direct_works(&self) -> bool {
        let state = self.lock();
        state.works || !state.tried
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Direct> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_try(&self, now: Millis) -> bool {
        let mut state = self.lock();
        if state.works || !state.tried {
            return true;
        }
        if state.failed + RETRY_DIRECT > now {
            return false;
        }
        state.failed = now;
        true
    }

    fn note(&self, works: bool, now: Millis) {
        let mut state = self.lock();
        if state.works != works || !state.tried {
            tracing::info!(works, "direct way to the store");
        }
        state.works = works;
        state.tried = true;
        if !works {
            state.failed = now;
        }
    }

    /// Makes a call by the direct way only.
    pub fn call_direct(
        &self,
        shared: Arc<Shared>,
        call: StoreCall,
    ) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        async move {
            let reply = self.direct.call(call).await;
            let works = !matches!(reply, Err(StoreError::Unavailable | StoreError::Unanswered));
            self.note(works, shared.now());
            if let Err(err) = &reply {
                shared.metrics.retry(store_error_code(err));
            }
            reply
        }
        .boxed()
    }

    /// Makes a call by any way.
    pub async fn call(
        &self,
        shared: &Arc<Shared>,
        call: StoreCall,
    ) -> Result<StoreReply, StoreError> {
        let mut doubt = false;
        if self.may_try(shared.now()) {
            match self.call_direct(Arc::clone(shared), call.clone()).await {
                Err(StoreError::Unavailable) => {}
                Err(StoreError::Unanswered | StoreError::Malformed) => doubt = true,
                settled => return settled,
            }
        }
        let now = shared.now();
        let relays = shared.members().relays(now, RELAY_WINDOW);
        for address in relays.into_iter().take(MOST_RELAYS) {
            match relay(shared, address, &call).await {
                Err(StoreError::Unavailable) => {}
                Err(StoreError::Unanswered | StoreError::Malformed) => doubt = true,
                settled => return settled,
            }
        }
        Err(if doubt {
            StoreError::Unanswered
        } else {
            StoreError::Unavailable
        })
    }
}

fn store_error_code(err: &StoreError) -> &'static str {
    match err {
        StoreError::Unavailable => "store_unavailable",
        StoreError::Unanswered => "store_unanswered",
        StoreError::Rejected(_) => "store_rejected",
        StoreError::Malformed => "store_malformed",
    }
}

async fn relay(
    shared: &Arc<Shared>,
    address: std::net::SocketAddr,
    call: &StoreCall,
) -> Result<StoreReply, StoreError> {
    let body = serde_json::to_vec(call).map_err(|err| {
        tracing::error!(%err, "a call to the store cannot be encoded");
        StoreError::Unavailable
    })?;
    shared.metrics.event("store_call_relayed");
    match shared
        .peers
        .call(address, NodeCall::Relay(body), RELAY_TIMEOUT)
        .await
    {
        Ok(NodeReply::Relayed(body)) => {
            serde_json::from_slice(&body).unwrap_or(Err(StoreError::Malformed))
        }
        Ok(_) | Err(crate::rpc::PeerError::NotSent) => Err(StoreError::Unavailable),
        Err(_) => Err(StoreError::Unanswered),
    }
}
