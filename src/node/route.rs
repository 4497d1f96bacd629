//! Access to the store by any route that works: directly, or relayed by a peer that reaches it.
//!
//! The store may refuse single VMs while it serves others.  Repeating a transaction through a peer
//! is safe, since it names the versions of rows that it expects; those that name none write rows
//! that may be written twice.

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

/// How often the direct route is probed while it does not work: callers retry after a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The same on the owner, for whose records callers wait.
const OWNER_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for a probe: a read takes 6 ms, and some 400 ms while the store is slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for a relayed call, in milliseconds: the store's own limit and a round trip to the
/// peer.
const RELAY_TIMEOUT: Millis = 1_200;
/// How many peers are asked to relay a call.
const MAX_RELAYS: usize = 3;
/// A peer that has not relayed a call within this time may have lost the store as well, so the next one
/// is asked beside it: a relayed call takes 8 ms, and some 400 ms while the store is slow.
const RELAY_PATIENCE: Duration = Duration::from_millis(150);
/// A peer that has been silent for this long, in milliseconds, is not asked to relay: two intervals
/// of heartbeats at the default of 500 ms, and ten at the 100 ms of watchers.
pub const RELAY_WINDOW: Millis = 1_000;

/// How long to wait for the answer to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTimeout {
    /// For the time that it can be expected to take at most (`node::store_latency`); after that the
    /// caller repeats the transaction.
    Adaptive,
    /// Until the store client gives up; meanwhile the caller may make other attempts.
    ClientOnly,
}

/// A node's access to the store, directly and through peers.
pub struct RoutedStore {
    direct: Arc<dyn Store>,
    direct_works: AtomicBool,
    /// Notified when a direct call has failed, so that the route is probed.
    probe_needed: Notify,
    /// Notified when the direct route works again after an outage.
    direct_restored: Notify,
    latency: Mutex<StoreLatency>,
}

impl RoutedStore {
    /// Wraps the store client of the direct route, which counts as working until a probe fails.
    pub fn new(direct: Arc<dyn Store>) -> Self {
        Self {
            direct,
            direct_works: AtomicBool::new(true),
            probe_needed: Notify::new(),
            direct_restored: Notify::new(),
            latency: Mutex::default(),
        }
    }

    /// Returns whether the direct route works, according to the last probe.
    pub fn direct_works(&self) -> bool {
        self.direct_works.load(Ordering::Relaxed)
    }

    /// Probes the direct route whenever a call has failed on it, and then until it works again.
    /// Never returns.
    ///
    /// A single failed call does not prove that the route is down, since one partition of the store
    /// may be unavailable alone.  While the route is known to be down, calls do not try it, so that
    /// callers do not wait for its time-outs.
    pub async fn probe_loop(&self, shared: Arc<Shared>) {
        loop {
            self.probe_needed.notified().await;
            if self.probe_once(&shared).await {
                continue;
            }
            self.set_direct_works(&shared, false);
            self.probe_until_answered(&shared).await;
            self.set_direct_works(&shared, true);
            self.direct_restored.notify_waiters();
        }
    }

    /// Waits until the direct route works again after an outage.
    pub async fn direct_regained(&self) {
        self.direct_restored.notified().await;
    }

    fn set_direct_works(&self, shared: &Shared, works: bool) {
        self.direct_works.store(works, Ordering::Relaxed);
        tracing::info!(works, "direct way to the store");
        shared.metrics.event(if works {
            "store_regained"
        } else {
            "store_lost"
        });
    }

    /// Starts a probe at each interval, so that one without an answer does not delay the next one.
    async fn probe_until_answered(&self, shared: &Shared) {
        let mut probes = FuturesUnordered::new();
        loop {
            probes.push(self.probe_once(shared));
            let interval = match shared.engine() {
                Some(_) => OWNER_PROBE_INTERVAL,
                None => PROBE_INTERVAL,
            };
            let pause = tokio::time::sleep(interval);
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
        // No row has this key: an answer with a row may be too large for the time limit, and would
        // fill the link for all other calls.
        let key = format!("{}\u{1}", shared.decoder.configuration_key());
        let call = StoreCall::row(Table::Operator, "", &key);
        let reply = tokio::time::timeout(PROBE_TIMEOUT, self.direct.call(call)).await;
        matches!(reply, Ok(Ok(_)))
    }

    /// Makes a call on the direct route only.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn call_direct(
        &self,
        shared: &Shared,
        call: StoreCall,
        timeout: ReplyTimeout,
    ) -> Result<StoreReply, StoreError> {
        // The store delays the answer to a request for changes until there are some.
        let is_held = matches!(call, StoreCall::Changes { .. });
        let began = shared.now();
        let reply = match call {
            StoreCall::Commit(_) => self.commit(shared, call, timeout).await,
            _ => self.direct.call(call).await,
        };
        if !is_held {
            let took = shared.now().saturating_sub(began);
            shared.metrics.wait("store", took);
        }
        if let Err(err) = &reply {
            shared.metrics.retry(store_error_code(err));
            self.probe_needed.notify_one();
        }
        reply
    }

    /// Sends a transaction, and notes how long the answer takes for later time-outs.
    async fn commit(
        &self,
        shared: &Shared,
        call: StoreCall,
        timeout: ReplyTimeout,
    ) -> Result<StoreReply, StoreError> {
        let began = shared.now();
        let _in_flight = InFlight::new(&self.latency, began);
        let sent = async {
            // A transaction that was in flight during an outage gets no answer any more.
            tokio::select! {
                reply = self.direct.call(call) => reply,
                () = self.direct_restored.notified() => Err(StoreError::Unanswered),
            }
        };
        let reply = match timeout {
            ReplyTimeout::Adaptive => tokio::time::timeout(self.timeout(), sent).await,
            ReplyTimeout::ClientOnly => Ok(sent.await),
        };
        let now = shared.now();
        match reply {
            Ok(Ok(reply)) => {
                self.lock_latency()
                    .note_answer(now.saturating_sub(began), now);
                Ok(reply)
            }
            Ok(Err(err)) => Err(err),
            Err(_) => {
                self.lock_latency().note_timeout(now);
                Err(StoreError::Unanswered)
            }
        }
    }

    /// Returns the time that the answer to a transaction can be expected to take at most.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.lock_latency().timeout())
    }

    /// Returns whether the store is slow but does answer.
    pub fn answers_slowly(&self, now: Millis) -> bool {
        self.lock_latency().answers_slowly(now)
    }

    /// Returns whether the store is slow, or has not answered for so long that it probably is.
    pub fn is_slow(&self, now: Millis) -> bool {
        self.lock_latency().is_slow(now)
    }

    fn lock_latency(&self) -> MutexGuard<'_, StoreLatency> {
        lock(&self.latency)
    }

    /// Makes a call on the direct route, or through peers if that does not work or the call fails.
    ///
    /// # Errors
    /// See [`StoreError`].
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
        let may_be_done = match direct {
            Err(StoreError::Unavailable) => false,
            Err(StoreError::Unanswered | StoreError::Malformed) => true,
            answer => return answer,
        };
        match self.call_relayed(shared, &call).await {
            Err(StoreError::Unavailable) if may_be_done => Err(StoreError::Unanswered),
            reply => reply,
        }
    }

    /// Makes a call through peers only.  Another peer is asked when one has failed, and beside one that
    /// is late.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn call_relayed(
        &self,
        shared: &Arc<Shared>,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreError> {
        let mut may_be_done = false;
        let now = shared.now();
        let relays = shared.members().relays(now, RELAY_WINDOW);
        let mut relays = relays.into_iter().take(MAX_RELAYS);
        let patience = RELAY_PATIENCE + held_for(call);
        let mut calls = FuturesUnordered::new();
        loop {
            let next = relays.next();
            calls.extend(next.map(|address| relay(shared, address, call)));
            if calls.is_empty() {
                break;
            }
            match tokio::time::timeout(patience, calls.next()).await {
                Err(_) | Ok(None | Some(Err(StoreError::Unavailable))) => {}
                Ok(Some(Err(StoreError::Unanswered | StoreError::Malformed))) => may_be_done = true,
                Ok(Some(answer)) => return answer,
            }
        }
        Err(if may_be_done {
            StoreError::Unanswered
        } else {
            StoreError::Unavailable
        })
    }
}

/// How long the store may hold a call before it answers.
fn held_for(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Changes { wait, .. } => Duration::from_millis(*wait),
        _ => Duration::ZERO,
    }
}

fn lock(latency: &Mutex<StoreLatency>) -> MutexGuard<'_, StoreLatency> {
    latency.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a transaction as in flight until it is dropped, which also happens if the caller stops
/// waiting.
struct InFlight<'a>(&'a Mutex<StoreLatency>);

impl<'a> InFlight<'a> {
    fn new(latency: &'a Mutex<StoreLatency>, now: Millis) -> Self {
        lock(latency).note_sent(now);
        Self(latency)
    }
}

impl Drop for InFlight<'_> {
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

/// Asks a peer to make a call to the store, and returns the store's answer to the peer.  `timeout`
/// is in milliseconds.
///
/// # Errors
/// The outer error means that the peer was not reached, or did not answer in a valid way.
pub async fn ask_to_relay(
    shared: &Arc<Shared>,
    address: SocketAddr,
    call: &StoreCall,
    timeout: Millis,
) -> Result<Result<StoreReply, StoreError>, PeerError> {
    let body = serde_json::to_vec(call).map_err(|err| {
        tracing::error!(%err, "cannot encode a call to be relayed to the store");
        PeerError::NotSent
    })?;
    shared.metrics.event("store_call_relayed");
    let call = NodeCall::Relay(body);
    match shared.peers.call(address, call, timeout).await? {
        NodeReply::Relayed(body) => serde_json::from_slice(&body).map_err(|err| {
            tracing::error!(%err, %address, "cannot decode a relayed answer of the store");
            PeerError::Malformed
        }),
        reply => {
            tracing::error!(?reply, %address, "unexpected kind of answer to a relayed call");
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
