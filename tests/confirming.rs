//! What confirms an owner that does not reach the store itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossweir::cell::order::{Look, LookFailure, LookOrder, StartOrder, StartOutcome, StopOrder};
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::store::MemoryStore;
use crossweir::metrics::Metrics;
use crossweir::node::engine::Engine;
use crossweir::node::links::{DecodeError, Decoder, Workers};
use crossweir::node::recording::OwnerRow;
use crossweir::node::shared::{Links, Shared};
use crossweir::queue::Configuration;
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{Beat, NodeCall, NodeLink, NodeReply};
use crossweir::store::{Store, StoreCall, StoreError, StoreReply, Transaction};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::time::Duration;
use tokio::time::Instant;

/// Longer than any confirmation holds.
const LONG: Duration = Duration::from_secs(8);

/// The time of the paused runtime.
struct RuntimeClock(Instant);

impl Clock for RuntimeClock {
    fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis + 1
    }
}

/// A store that can turn the node under test away.
struct Guarded {
    store: Arc<MemoryStore>,
    shut: AtomicBool,
}

impl Store for Guarded {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, Result<StoreReply, StoreError>> {
        if self.shut.load(Ordering::Relaxed) {
            return async { Err(StoreError::Unavailable) }.boxed();
        }
        self.store.call(call)
    }
}

/// What another node does with a call that it is asked to make.
#[derive(Clone, Copy, PartialEq)]
enum Relay {
    /// It reaches the store.
    Works,
    /// It says that the store is away.
    Away,
    /// It does not answer.
    Silent,
}

struct Others {
    store: Arc<MemoryStore>,
    relays: Vec<Relay>,
}

impl NodeLink for Others {
    fn call(
        &self,
        address: SocketAddr,
        call: NodeCall,
        _timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        async move {
            let NodeCall::Relay(body) = call else {
                return Ok(NodeReply::Unavailable);
            };
            let reply = match self.relays[usize::from(address.port()) - 1] {
                Relay::Works => {
                    let call = serde_json::from_slice(&body).expect("a call");
                    self.store.call(call).await
                }
                Relay::Away => Err(StoreError::Unavailable),
                Relay::Silent => return Err(PeerError::Unanswered),
            };
            let body = serde_json::to_vec(&reply).expect("plain data");
            Ok(NodeReply::Relayed(body))
        }
        .boxed()
    }
}

struct NoWorkers;

impl Workers for NoWorkers {
    fn start<'a>(&'a self, _: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        async { (StartOutcome::Unanswered, None) }.boxed()
    }

    fn stop<'a>(
        &'a self,
        _: &'a StopOrder,
    ) -> BoxFuture<'a, Result<(), Option<crossweir::cell::order::Refusal>>> {
        async { Err(None) }.boxed()
    }

    fn look<'a>(&'a self, _: &'a LookOrder) -> BoxFuture<'a, Result<Look, LookFailure>> {
        async { Err(LookFailure::Unanswered) }.boxed()
    }
}

struct NoDecoder;

impl Decoder for NoDecoder {
    fn worker(&self, _: &str, _: &str) -> Result<WorkerEntry, DecodeError> {
        Err(DecodeError(String::from("no workers here")))
    }

    fn configuration_key(&self) -> &'static str {
        "configuration"
    }

    fn configuration(&self, _: &str) -> Result<Configuration, DecodeError> {
        Err(DecodeError(String::from("no configuration here")))
    }
}

struct Bench {
    store: Arc<MemoryStore>,
    guarded: Arc<Guarded>,
    shared: Arc<Shared>,
    engine: Arc<Engine>,
}

/// An owner under epoch 1 that knows a node for each of `relays`.
async fn owner(relays: &[Relay]) -> Bench {
    let store = Arc::new(MemoryStore::default());
    let guarded = Arc::new(Guarded {
        store: Arc::clone(&store),
        shut: AtomicBool::new(false),
    });
    let links = Links {
        store: guarded.clone(),
        workers: Arc::new(NoWorkers),
        advisor: None,
        decoder: Arc::new(NoDecoder),
        peers: Arc::new(Others {
            store: Arc::clone(&store),
            relays: relays.to_vec(),
        }),
    };
    let shared = Shared::new(
        String::from("n0"),
        7,
        SocketAddr::from(([127, 0, 0, 1], 100)),
        Vec::new(),
        Arc::new(RuntimeClock(Instant::now())),
        Metrics::new().expect("collectors"),
        links,
    );
    let version = claim(&store, "n0", 7, 1);
    let engine = Engine::start(&shared, 1, version)
        .await
        .expect("the cell loads");
    shared.set_engine(Some(Arc::clone(&engine)));
    let bench = Bench {
        store,
        guarded,
        shared,
        engine,
    };
    bench.hear(relays);
    bench
}

fn claim(store: &MemoryStore, name: &str, boot: u64, epoch: u64) -> u64 {
    let row = OwnerRow {
        name: name.to_owned(),
        address: String::from("127.0.0.1:100"),
        boot,
        epoch,
        batch: 0,
        released: false,
    };
    let mut tx = Transaction::default();
    tx.puts.push((OwnerRow::key(), row.write()));
    match store.commit(&tx) {
        StoreReply::Committed(version) => version,
        other => panic!("not committed: {other:?}"),
    }
}

impl Bench {
    /// All other nodes tell of themselves; those whose relay does not say otherwise
    /// believe that they reach the store.
    fn hear(&self, relays: &[Relay]) {
        for (place, relay) in relays.iter().enumerate() {
            self.shared.hear(&Beat {
                name: format!("n{}", place + 1),
                boot: 1,
                address: format!("127.0.0.1:{}", place + 1),
                epoch: 1,
                reaches_store: *relay != Relay::Away,
                ..Beat::default()
            });
        }
    }

    /// Time passes while the others tell of themselves ten times a second.
    async fn pass(&self, relays: &[Relay]) {
        let until = Instant::now() + LONG;
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.hear(relays);
        }
    }

    fn shut_out(&self) {
        self.guarded.shut.store(true, Ordering::Relaxed);
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_without_the_store_asks_every_node_that_may_reach_it() {
    // Arrange: of four other nodes the last alone reaches the store.
    let relays = [Relay::Silent, Relay::Silent, Relay::Silent, Relay::Works];
    let bench = owner(&relays).await;
    bench.shut_out();

    // Act.
    claim(&bench.store, "n9", 1, 2);
    bench.pass(&relays).await;

    // Assert.
    assert!(
        bench.engine.is_retired(),
        "a successor has claimed the cell"
    );
}

#[tokio::test(start_paused = true)]
async fn nodes_that_may_reach_the_store_and_do_not_answer_confirm_nobody() {
    // Arrange.
    let relays = [Relay::Silent, Relay::Silent, Relay::Silent, Relay::Away];
    let bench = owner(&relays).await;

    // Act.
    bench.shut_out();
    bench.pass(&relays).await;

    // Assert.
    assert!(
        !bench.engine.is_active(),
        "any of them may have claimed the cell"
    );
    assert!(!bench.engine.is_retired(), "nobody is known to have");
}

#[tokio::test(start_paused = true)]
async fn an_owner_is_confirmed_when_most_nodes_say_that_the_store_is_away() {
    // Arrange.
    let relays = [Relay::Away, Relay::Away, Relay::Away, Relay::Silent];
    let bench = owner(&relays).await;

    // Act.
    bench.shut_out();
    bench.pass(&relays).await;

    // Assert.
    assert!(
        bench.engine.is_active(),
        "nobody of them can claim the cell"
    );
}
