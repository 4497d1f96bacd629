//! How soon a task is started on another worker when a start stays unanswered.

mod cell_core;
mod virtual_node;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cell_core::{job, queue, step, worker};
use crossweir::cell::order::{
    PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::engine::Engine;
use crossweir::node::freshness;
use crossweir::node::links::Workers;
use crossweir::queue::{Configuration, Draft};
use crossweir::store::{RowKey, Table, Transaction, encode};
use futures::FutureExt;
use futures::future::BoxFuture;
use virtual_node::{claim, virtual_node_with_workers};

/// How long the platform adapter waits for the answer to a start.
const START_TIMEOUT: Duration = Duration::from_millis(250);

/// Workers that ignore the first start: they neither execute nor answer it.
struct FirstStartLost {
    inner: MemoryWorkers,
    clock: Arc<dyn Clock>,
    /// How many more starts are ignored.
    to_ignore: AtomicU32,
    /// When each start was ordered.
    starts: Arc<Mutex<Vec<Millis>>>,
}

impl Workers for FirstStartLost {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        let now = self.clock.now();
        self.starts.lock().expect("starts").push(now);
        if self.to_ignore.swap(0, Ordering::Relaxed) > 0 {
            return async {
                tokio::time::sleep(START_TIMEOUT).await;
                (StartOutcome::Unanswered, None)
            }
            .boxed();
        }
        self.inner.start(order)
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        self.inner.stop(order)
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        self.inner.poll(order)
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_start_is_resolved_without_waiting_for_the_next_regular_poll() {
    // Arrange: two idle workers, where polls are waiting for a run to end.
    let starts: Arc<Mutex<Vec<Millis>>> = Arc::default();
    let seen = Arc::clone(&starts);
    let workers = move |clock: Arc<dyn Clock>| -> Arc<dyn Workers> {
        let ids = ["w0", "w1"].map(str::to_owned);
        Arc::new(FirstStartLost {
            inner: MemoryWorkers::new(Arc::clone(&clock), ids),
            clock,
            to_ignore: AtomicU32::new(1),
            starts: seen,
        })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    let q = queue("q", 0);
    node.shared.adopt_config(
        Configuration::from(Draft {
            version: 1,
            queues: vec![q.clone()],
            max_body: 1_000,
            workspaces: None,
        }),
        freshness::Source::Local,
    );
    let mut tx = Transaction::default();
    for number in 0..2 {
        let entry = worker(number);
        let key = RowKey::new(Table::Workers, "", &entry.life.id);
        tx.puts.push((key, encode(&entry)));
    }
    node.store.commit(&tx);
    let version = claim(&node.store, "n0", 7, 1);
    let engine = Engine::start(&node.shared, 1, version).await;
    let engine = engine.expect("the cell loads");
    tokio::time::sleep(Duration::from_secs(3)).await;

    // Act.
    engine.accepted(&job(1, &q, vec![step(1, 1_000)]));
    tokio::time::sleep(Duration::from_secs(2)).await;

    // Assert: the time between the starts is the timeout and a few iterations of the owner's loops.
    let starts = starts.lock().expect("starts").clone();
    assert_eq!(starts.len(), 2, "{starts:?}");
    assert!(starts[1] - starts[0] < 400, "{starts:?}");
}
