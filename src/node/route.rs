//! The store by whichever way works: directly, or through a peer that reaches it.
//!
//! The store may turn single VMs away while it serves others.  Repeating a call
//! through a peer is safe, since every transaction names the versions it expects.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;

use crate::clock::Millis;
use crate::node::shared::Shared;
use crate::node::store_latency::StoreLatency;
use crate::rpc::PeerError;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::store::{Store, StoreCall, StoreError, StoreReply, Table};

/// How often a direct way that does not work is probed: callers come back by the second.
const PROBE_PAUSE: Duration = Duration::from_millis(200);
/// How long a probe may take: a read takes 6 ms, and some 400 ms from a slow store.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a relayed call may take: the store's own limit and a hop.
const RELAY_TIMEOUT: Millis = 1_200;
/// How many peers are asked for one call.
const MOST_RELAYS: usize = 2;
/// A peer that was not heard for so long is not asked: three heartbeats.
pub const RELAY_WINDOW: Millis = 1_000;

/// How long the answer to a transaction is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTimeout {
    /// As long as it can be expected to take; the caller repeats the transaction.
    Adaptive,
    /// As long as the store may take at all; the caller has other tries beside it.
    ClientOnly,
}

/// The store of a node.
pub struct RoutedStore {
    direct: Arc<dyn Store>,
    works: AtomicBool,
    doubted: Notify,
    regained: Notify,
    patience: Mutex<StoreLatency>,
}

impl RoutedStore {
    /// Wraps the direct way, which counts as working until a probe fails.
    pub fn new(direct: Arc<dyn Store>) -> Self {
        Self {
            direct,
            works: AtomicBool::new(true),
            doubted: Notify::new(),
            regained: Notify::new(),
            patience: Mutex::default(),
        }
    }

    /// Tells whether the direct way works, as far as is known.
    pub fn direct_works(&self) -> bool {
        self.works.load(Ordering::Relaxed)
    }

    /// Probes the direct way when a call has failed on it, and until it works again.
    ///
    /// One failed call proves little: a partition of the store may be away alone.  And
    /// calls that somebody waits for must not each try a way that says nothing.
    pub async fn probe(&self, shared: Arc<Shared>) {
        loop {
            self.doubted.notified().await;
            if self.probe_once(&shared).await {
                continue;
            }
            self.turn(&shared, false);
            self.probe_until_answered(&shared).await;
            self.turn(&shared, true);
            self.regained.notify_waiters();
        }
    }

    fn turn(&self, shared: &Shared, works: bool) {
        self.works.store(works, Ordering::Relaxed);
        tracing::info!(works, "direct way to the store");
        shared.metrics.event(if works {
            "store_regained"
        } else {
            "store_lost"
        });
    }

    /// A probe that hangs does not hold up the next one.
    async fn probe_until_answered(&self, shared: &Shared) {
        let mut probes = FuturesUnordered::new();
        loop {
            probes.push(self.probe_once(shared));
            let pause = tokio::time::sleep(PROBE_PAUSE);
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    Some(works) = probes.next() => if works { return },
                }
            }
        }
    }

    async fn probe_once(&self, shared: &Shared) -> bool {
        let key = shared.decoder.configuration_key();
        let call = StoreCall::row(Table::Operator, "", key);
        let reply = tokio::time::timeout(PROBE_TIMEOUT, self.direct.call(call)).await;
        matches!(reply, Ok(Ok(_)))
    }

    /// Makes a call by the direct way only.
    pub async fn call_direct(
        &self,
        shared: &Shared,
        call: StoreCall,
        timeout: ReplyTimeout,
    ) -> Result<StoreReply, StoreError> {
        let held = matches!(call, StoreCall::Changes { .. });
        let began = shared.now();
        let reply = match call {
            StoreCall::Commit(_) => self.commit(shared, call, timeout).await,
            _ => self.direct.call(call).await,
        };
        if !held {
            let took = shared.now().saturating_sub(began);
            shared.metrics.wait("store", took);
        }
        if let Err(err) = &reply {
            shared.metrics.retry(store_error_code(err));
            self.doubted.notify_one();
        }
        reply
    }

    /// Sends a transaction, and learns from how long its answer takes.
    async fn commit(
        &self,
        shared: &Shared,
        call: StoreCall,
        timeout: ReplyTimeout,
    ) -> Result<StoreReply, StoreError> {
        let began = shared.now();
        let _on_its_way = OnItsWay::new(&self.patience, began);
        let sent = async {
            // What hangs since the store was away gets no answer any more.
            tokio::select! {
                reply = self.direct.call(call) => reply,
                () = self.regained.notified() => Err(StoreError::Unanswered),
            }
        };
        let reply = match timeout {
            ReplyTimeout::Adaptive => tokio::time::timeout(self.patience(), sent).await,
            ReplyTimeout::ClientOnly => Ok(sent.await),
        };
        let now = shared.now();
        match reply {
            Ok(Ok(reply)) => {
                self.lock_patience()
                    .note_answer(now.saturating_sub(began), now);
                Ok(reply)
            }
            Ok(Err(err)) => Err(err),
            Err(_) => {
                self.lock_patience().note_timeout();
                Err(StoreError::Unanswered)
            }
        }
    }

    /// How long the answer to a transaction can be expected to take at most.
    pub fn patience(&self) -> Duration {
        Duration::from_millis(self.lock_patience().timeout())
    }

    /// Tells whether the store takes long and does answer.
    pub fn answers_slowly(&self, now: Millis) -> bool {
        self.lock_patience().answers_slowly(now)
    }

    /// Tells whether the store is slow, or may have turned so just now.
    pub fn is_slow(&self, now: Millis) -> bool {
        self.lock_patience().is_slow(now)
    }

    fn lock_patience(&self) -> MutexGuard<'_, StoreLatency> {
        lock(&self.patience)
    }

    /// Makes a call by any way.
    pub async fn call(
        &self,
        shared: &Arc<Shared>,
        call: StoreCall,
        timeout: ReplyTimeout,
    ) -> Result<StoreReply, StoreError> {
        if !self.direct_works() {
            return self.call_relayed(shared, &call).await;
        }
        let direct = self.call_direct(shared, call.clone(), timeout).await;
        let doubt = match direct {
            Err(StoreError::Unavailable) => false,
            Err(StoreError::Unanswered | StoreError::Malformed) => true,
            settled => return settled,
        };
        match self.call_relayed(shared, &call).await {
            Err(StoreError::Unavailable) if doubt => Err(StoreError::Unanswered),
            reply => reply,
        }
    }

    /// Makes a call through other nodes only.
    pub async fn call_relayed(
        &self,
        shared: &Arc<Shared>,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreError> {
        let mut doubt = false;
        let now = shared.now();
        let relays = shared.members().relays(now, RELAY_WINDOW);
        for address in relays.into_iter().take(MOST_RELAYS) {
            match relay(shared, address, call).await {
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

fn lock(patience: &Mutex<StoreLatency>) -> MutexGuard<'_, StoreLatency> {
    patience.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a transaction as on its way, also when whoever waits for it gives up.
struct OnItsWay<'a>(&'a Mutex<StoreLatency>);

impl<'a> OnItsWay<'a> {
    fn new(patience: &'a Mutex<StoreLatency>, now: Millis) -> Self {
        lock(patience).note_sent(now);
        Self(patience)
    }
}

impl Drop for OnItsWay<'_> {
    fn drop(&mut self) {
        lock(self.0).note_finished();
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

/// Hands a call to another node and tells what the store said to it.
///
/// # Errors
/// Fails if the node itself was not reached or did not answer.
pub async fn ask_to_relay(
    shared: &Arc<Shared>,
    address: SocketAddr,
    call: &StoreCall,
    timeout: Millis,
) -> Result<Result<StoreReply, StoreError>, PeerError> {
    let body = serde_json::to_vec(call).map_err(|err| {
        tracing::error!(%err, "a call to the store cannot be encoded");
        PeerError::NotSent
    })?;
    shared.metrics.event("store_call_relayed");
    let call = NodeCall::Relay(body);
    match shared.peers.call(address, call, timeout).await? {
        NodeReply::Relayed(body) => serde_json::from_slice(&body).map_err(|err| {
            tracing::error!(%err, %address, "a relayed answer cannot be read");
            PeerError::Malformed
        }),
        reply => {
            tracing::error!(?reply, %address, "a relayed answer is of the wrong kind");
            Err(PeerError::Malformed)
        }
    }
}

async fn relay(
    shared: &Arc<Shared>,
    address: SocketAddr,
    call: &StoreCall,
) -> Result<StoreReply, StoreError> {
    match ask_to_relay(shared, address, call, RELAY_TIMEOUT).await {
        Ok(reply) => reply,
        Err(PeerError::NotSent) => Err(StoreError::Unavailable),
        Err(PeerError::Unanswered | PeerError::Malformed) => Err(StoreError::Unanswered),
    }
}
