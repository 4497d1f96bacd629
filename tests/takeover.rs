//! How soon a successor acts when the store is slow.  Leases on the workers expire after 3.5 s, and
//! the silence of the former owner and the claim take more than 1 s of that.

mod cell_core;
mod virtual_node;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cell_core::{job, queue, step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{
    PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crossweir::cell::record::JobProgress;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::engine::Engine;
use crossweir::node::links::Workers;
use crossweir::node::shared::CELL_PARTITION;
use crossweir::store::{RowKey, Table, Transaction, encode};
use futures::future::BoxFuture;
use tokio::time::Instant;
use virtual_node::{VirtualNode, claim, set_up_cell, virtual_node_with_workers};

/// How long a slow store takes for each answer, in milliseconds.
const ANSWER_MS: u64 = 400;
/// The workers of a large site.
const WORKERS: u16 = 1_100;
/// How many ended jobs the store holds.
const ENDED_JOBS: u64 = 1_500;

/// How many orders the workers were sent, by kind.
#[derive(Default)]
struct Orders {
    polls: usize,
    starts: usize,
}

/// Workers that count polls and starts.
struct CountingWorkers {
    inner: MemoryWorkers,
    orders: Arc<Mutex<Orders>>,
}

impl Workers for CountingWorkers {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        self.orders.lock().expect("orders").starts += 1;
        Workers::start(&self.inner, order)
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        self.inner.stop(order)
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        self.orders.lock().expect("orders").polls += 1;
        self.inner.poll(order)
    }
}

struct Bed {
    node: VirtualNode,
    orders: Arc<Mutex<Orders>>,
}

impl Bed {
    /// The node claims the cell and loads it.  Returns its engine and how long loading took, in
    /// milliseconds.
    async fn take_over(&self, epoch: u64) -> (Arc<Engine>, u64) {
        let version = claim(&self.node.store, "n0", 7, epoch);
        let began = Instant::now();
        let engine = Engine::start(&self.node.shared, epoch, version).await;
        let took = began.elapsed().as_millis() as u64;
        let engine = engine.expect("the cell loads");
        self.node.shared.set_engine(Some(Arc::clone(&engine)));
        (engine, took)
    }

    fn polls(&self) -> usize {
        self.orders.lock().expect("orders").polls
    }

    fn starts(&self) -> usize {
        self.orders.lock().expect("orders").starts
    }

    fn set_delay(&self, delay: u64) {
        self.node.faulty_store.delay.store(delay, Ordering::Relaxed);
    }
}

async fn pass(time: Millis) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// A large cell with many ended jobs, whose owner has recorded its roster and is gone.
async fn large_cell() -> Bed {
    let orders = Arc::<Mutex<Orders>>::default();
    let counted = Arc::clone(&orders);
    let workers = move |clock: Arc<dyn Clock>| -> Arc<dyn Workers> {
        let ids = (0..WORKERS).map(|number| format!("w{number}"));
        let inner = MemoryWorkers::new(clock, ids);
        let orders = counted;
        Arc::new(CountingWorkers { inner, orders })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    let entries: Vec<_> = (0..WORKERS).map(worker).collect();
    set_up_cell(&node, &[queue("q", 0)], &entries);
    add_ended_jobs(&node);
    let bed = Bed { node, orders };
    let (engine, _) = bed.take_over(1).await;
    pass(1_000).await;
    engine.retire("test");
    bed
}

/// Writes the progress of [`ENDED_JOBS`] ended jobs to the store.
fn add_ended_jobs(node: &VirtualNode) {
    let progress = JobProgress {
        done: Default::default(),
        state: JobState::Succeeded,
        tasks: Vec::new(),
        record_starts_first: false,
        workspace: None,
    };
    let mut tx = Transaction::default();
    for id in 0..ENDED_JOBS {
        let key = format!("{:016x}", id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let key = RowKey::new(Table::Progress, CELL_PARTITION, &key);
        tx.puts.push((key, encode(&progress)));
    }
    node.store.commit(&tx);
}

#[tokio::test(start_paused = true)]
async fn a_successor_waits_for_one_answer_of_a_slow_store() {
    // Arrange.
    let bed = large_cell().await;
    bed.set_delay(ANSWER_MS);

    // Act.
    let (_, took) = bed.take_over(2).await;

    // Assert: after one answer it polls the workers of its roster at once.
    assert!(took < 2 * ANSWER_MS, "{took} ms");
    let before = bed.polls();
    pass(50).await;
    assert!(
        bed.polls() - before >= usize::from(WORKERS) / 2,
        "too few workers were polled"
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_is_placed_before_the_list_of_workers_has_come() {
    // Arrange.
    let bed = large_cell().await;
    bed.set_delay(ANSWER_MS);
    let (engine, _) = bed.take_over(2).await;
    engine.accepted(&job(7, &queue("q", 0), vec![step(3, 1_000)]));

    // Act.
    pass(ANSWER_MS).await;
    let early = bed.starts();
    pass(6_000).await;

    // Assert.
    assert_eq!((early, bed.starts()), (0, 3));
}
