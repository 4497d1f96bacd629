//! Tasks are not started again while their runs go on, or after these have ended.
//!
//! Guards against double starts as seen without any fault, with over a thousand workers and an
//! owner that lagged behind: three seconds after runs had ended well, the same node started all of
//! their tasks again at once.  It was not reproduced; these tests cover all causes that were found
//! by reading the code:
//!
//! - If the batch that goes with the release of the cell is taken outside of the lock that keeps
//!   transactions in order, while another transaction is in flight, the recording loop finds ends
//!   without rows to write, and lets the workers forget them before the release is durable.
//! - A job that is submitted again has a row younger than the claim, and a job that is accepted
//!   after the claim may be sent to a former owner that does not know of the claim yet.  Neither
//!   may be taken for a job that nobody has started.
//! - A new owner must assume a lease on a worker even before it has granted one itself, and must
//!   not grant one by an old reading of the worker's clock.
//! - A worker lists a bounded number of ends at once, so a run in neither of its lists may go on or
//!   have ended well.

mod cell_core;
mod virtual_node;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cell_core::{Bench, configuration, job, queue, starts, step, worker};
use crossweir::cell::Cell;
use crossweir::cell::order::{
    EndEntry, EndKind, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::cell::record::JobRow;
use crossweir::cell::tuning;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::election;
use crossweir::node::engine::Engine;
use crossweir::node::links::Workers;
use crossweir::node::shared::{CELL_PARTITION, job_partition};
use crossweir::store::{RowKey, Store, StoreCall, StoreReply, Table, Transaction, encode};
use futures::FutureExt;
use futures::future::BoxFuture;
use virtual_node::{VirtualNode, claim, set_up_cell, virtual_node_with_workers};

/// The tasks that were ordered to start, with the epochs of the orders.
type Starts = Arc<Mutex<Vec<(String, u64)>>>;

/// How long the client of the workers waits for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// Workers that record the starts ordered, and of which the first can be cut off from polls.
struct ObservedWorkers {
    inner: MemoryWorkers,
    starts: Starts,
    cut: Arc<AtomicBool>,
}

impl Workers for ObservedWorkers {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        let start = (order.task.to_string(), order.to.epoch);
        self.starts.lock().expect("starts").push(start);
        self.inner.start(order).boxed()
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        self.inner.stop(order)
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        if order.to.life.id == "w0" && self.cut.load(Ordering::Relaxed) {
            return async {
                tokio::time::sleep(POLL_TIMEOUT).await;
                Err(PollFailure::Unanswered)
            }
            .boxed();
        }
        self.inner.poll(order)
    }
}

/// A node with its workers.
struct Fixture {
    node: VirtualNode,
    starts: Starts,
    /// Whether polls of the first worker stay unanswered.
    cut: Arc<AtomicBool>,
}

/// Returns a node with two workers in its store.
fn node_with_workers() -> Fixture {
    let (starts, cut) = (Starts::default(), Arc::<AtomicBool>::default());
    let (starts_copy, cut_copy) = (Arc::clone(&starts), Arc::clone(&cut));
    let workers = move |clock: Arc<dyn Clock>| -> Arc<dyn Workers> {
        let ids = ["w0", "w1"].map(str::to_owned);
        let inner = MemoryWorkers::new(clock, ids);
        Arc::new(ObservedWorkers {
            inner,
            starts: starts_copy,
            cut: cut_copy,
        })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    set_up_cell(&node, &[queue("q", 0)], &[worker(0), worker(1)]);
    Fixture { node, starts, cut }
}

/// Makes the node own the cell under `epoch`, and waits until it has heard from its workers.
async fn owner(node: &VirtualNode, epoch: u64) -> Arc<Engine> {
    let version = claim(&node.store, "n0", 7, epoch);
    let engine = Engine::start(&node.shared, epoch, version).await;
    let engine = engine.expect("the cell loads");
    node.shared.set_engine(Some(Arc::clone(&engine)));
    pass(1_000).await;
    engine
}

/// Returns a job of one task that runs for `length`.
fn job_of(id: u64, length: Millis, millicores: u64) -> JobRow {
    let mut row = job(id, &queue("q", 0), vec![step(1, millicores)]);
    row.spec.text = length.to_string();
    row
}

/// Writes the row of a job into the partition with this number.
fn write_row(node: &VirtualNode, row: &JobRow, partition: usize) {
    let key = RowKey::new(Table::Jobs, &job_partition(partition), &row.id.to_string());
    let mut tx = Transaction::default();
    tx.puts.push((key, encode(row)));
    node.store.commit(&tx);
}

async fn pass(time: Millis) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// Returns the epochs under which a job's tasks were started.
fn epochs_of(starts: &Starts, row: &JobRow) -> Vec<u64> {
    let job = row.id.to_string();
    let starts = starts.lock().expect("starts");
    let of_job = starts.iter().filter(|(task, _)| task.starts_with(&job));
    of_job.map(|(_, epoch)| *epoch).collect()
}

/// Returns whether the progress of a job has been recorded.
async fn is_recorded(node: &VirtualNode, row: &JobRow) -> bool {
    let call = StoreCall::row(Table::Progress, CELL_PARTITION, &row.id.to_string());
    match node.store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => !rows.is_empty(),
        other => panic!("not read: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn an_end_recorded_with_the_release_is_kept_by_its_worker_until_then() {
    // Arrange: two jobs on two workers, and a store that takes 150 ms for each answer.
    let Fixture { node, starts, .. } = node_with_workers();
    let engine = owner(&node, 1).await;
    let (first, second) = (job_of(1, 100, 1_000), job_of(2, 200, 16_000));
    write_row(&node, &first, 0);
    write_row(&node, &second, 0);
    node.faulty_store.delay.store(150, Ordering::Relaxed);
    engine.accepted(&first);
    engine.accepted(&second);
    pass(220).await;

    // Act: the end of the first job is being recorded, that of the second waits.  The cell is
    // released, and from then on all answers of the store are lost.
    let shared = Arc::clone(&node.shared);
    let release = tokio::spawn(async move { election::hand_over(&shared).await });
    pass(20).await;
    node.faulty_store.lossy.store(true, Ordering::Relaxed);
    release.await.expect("the cell is given up");
    node.faulty_store.lossy.store(false, Ordering::Relaxed);
    node.faulty_store.delay.store(0, Ordering::Relaxed);
    assert!(is_recorded(&node, &first).await);
    assert!(!is_recorded(&node, &second).await);
    owner(&node, 2).await;

    // Assert: the worker has kept the end for the next owner.
    assert_eq!(epochs_of(&starts, &second), [1]);
}

#[tokio::test(start_paused = true)]
async fn a_job_with_two_rows_predates_the_claim_if_one_of_them_does() {
    // Arrange: an owner runs a task.
    let Fixture { node, starts, cut } = node_with_workers();
    let engine = owner(&node, 1).await;
    let row = job_of(1, 10_000, 1_000);
    write_row(&node, &row, 5);
    engine.accepted(&row);
    pass(200).await;
    engine.retire("test");
    let version = claim(&node.store, "n0", 7, 2);
    cut.store(true, Ordering::Relaxed);

    // Act: its caller submits it again, which writes it into another partition, before the next
    // owner has read the cell.
    write_row(&node, &row, 0);
    let next = Engine::start(&node.shared, 2, version).await;
    let next = next.expect("the cell loads");
    pass(1_000).await;
    cut.store(false, Ordering::Relaxed);
    pass(1_000).await;

    // Assert.
    assert_eq!(epochs_of(&starts, &row), [1]);
    drop(next);
}

/// The most ends that a worker lists at once (the platform's protocol, "Running tasks").
const MAX_ENDS_LISTED: u64 = 500;

/// Returns ends of runs of an unknown job, numbered from 1 on.
fn unknown_ends(count: u64) -> Vec<EndEntry> {
    let end = |number| EndEntry {
        end_number: number,
        task: "00000000000000ff.0.0.0".parse().expect("a task"),
        number,
        how: EndKind::Stopped,
        checkpoint: String::new(),
    };
    (1..=count).map(end).collect()
}

#[test]
fn a_run_in_neither_list_may_go_on_while_the_list_of_ends_is_full() {
    // Arrange: a task runs on one of two workers.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let started = bench.start_all();
    let worker = started[0].to.worker;

    // Act: it has ended, behind as many ends as one list holds.
    bench.now += 100;
    let report = PollReport {
        born: None,
        clock: bench.now,
        running: Vec::new(),
        ended: unknown_ends(MAX_ENDS_LISTED),
    };
    bench.poll_with_report(worker, &report);

    // Assert: its end may be the next one after those listed.
    assert!(starts(&bench.decide()).is_empty(), "it may be done");
}

#[test]
fn a_lease_is_not_renewed_by_a_clock_reading_older_than_a_lease() {
    // Arrange: a worker whose clock is 2% slow, the platform's bound, and an owner that has not
    // polled it for 20 s.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    let (worker, read) = (bench.worker(0), bench.now);
    bench.pass(20_000);

    // Act.
    let order = bench.cell.poll_order(worker, bench.now);
    let due = order.and_then(|order| order.due);

    // Assert: by the worker's slow clock, the lease must not last longer than the owner assumes.
    let clock = read + (bench.now - read) * 98 / 100;
    let assumed = tuning::LEASE + tuning::LEASE * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000;
    let assumed = assumed + tuning::LEASE_MARGIN;
    let granted = due.map_or(0, |due| (due - clock) * 100 / 98);
    assert!(granted <= assumed, "{granted} {assumed}");
}

#[tokio::test(start_paused = true)]
async fn a_job_that_a_former_owner_started_after_the_claim_is_not_started_again() {
    // Arrange: the cell is claimed, and the next owner has not heard from the first worker yet.
    // The former owner does not know of the claim.
    let Fixture { node, starts, cut } = node_with_workers();
    let former = owner(&node, 1).await;
    cut.store(true, Ordering::Relaxed);
    let version = claim(&node.store, "n0", 7, 2);
    let next = Engine::start(&node.shared, 2, version).await;
    let next = next.expect("the cell loads");
    pass(50).await;

    // Act: a job is accepted after the next owner has read the cell, and sent to the former owner.
    let row = job_of(1, 10_000, 1_000);
    write_row(&node, &row, 0);
    former.accepted(&row);
    pass(50).await;
    former.retire("test");
    next.accepted(&row);
    pass(1_000).await;
    cut.store(false, Ordering::Relaxed);
    pass(1_000).await;

    // Assert.
    assert_eq!(epochs_of(&starts, &row), [1]);
}

#[test]
fn a_new_owner_waits_for_the_end_of_a_former_owners_lease() {
    // Arrange: a worker runs a task that a former owner has started; another one is idle.
    let q = queue("q", 0);
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(&q)), 1_000);
    cell.list_workers(vec![worker(0), worker(1)], 1_000);
    let row = job(1, &q, vec![step(1, 1_000)]);
    cell.accept(&row, None, true, 1_000);
    let mut bench = Bench::with(cell, 1_000);
    let (busy, other) = (bench.worker(0), bench.worker(1));
    let task = "0000000000000001.0.0.0".parse().expect("a task");
    bench.running.insert(busy, vec![(task, 1)]);
    bench.poll(busy);
    bench.poll(other);
    assert_eq!(bench.cell.counts().adopted, 1);

    // Act: the next poll of it stays unanswered.
    bench
        .cell
        .poll_failed(busy, PollFailure::Unanswered, bench.now);
    bench.pass(100);
    bench.poll(other);
    let early = starts(&bench.decide());
    bench.pass(4_000);
    bench.poll(other);
    let late = starts(&bench.decide());

    // Assert: its run may go on until the former owner's lease has ended.
    assert!(early.is_empty(), "it may still run");
    assert_eq!(late.len(), 1);
}
