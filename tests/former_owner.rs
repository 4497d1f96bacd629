//! A former owner continues for a while after its successor's claim, and may be notified of a job
//! in that time.  The successor must not take that job for one that nobody can have started.

mod cell_core;
mod virtual_node;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cell_core::{job, queue, step, worker};
use crossweir::cell::order::{
    Addressee, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crossweir::cell::record::JobRow;
use crossweir::cell::{RunKey, WorkerKey, tuning};
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::engine::Engine;
use crossweir::node::links::Workers;
use crossweir::node::shared::job_partition;
use crossweir::store::{RowKey, Table, Transaction, encode};
use futures::future::BoxFuture;
use virtual_node::{VirtualNode, claim, set_up_cell, virtual_node_with_workers};

/// Workers in memory that record the epochs under which tasks were started.
struct RecordingWorkers {
    inner: MemoryWorkers,
    epochs: Arc<Mutex<Vec<u64>>>,
}

impl Workers for RecordingWorkers {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        self.epochs.lock().expect("epochs").push(order.to.epoch);
        self.inner.start(order)
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        self.inner.stop(order)
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        self.inner.poll(order)
    }
}

/// Returns a node that can own a cell of two workers, and the epochs of the starts there.
fn node_with_two_workers() -> (VirtualNode, Arc<Mutex<Vec<u64>>>) {
    let epochs: Arc<Mutex<Vec<u64>>> = Arc::default();
    let seen = Arc::clone(&epochs);
    let workers = move |clock: Arc<dyn Clock>| -> Arc<dyn Workers> {
        let ids = ["w0", "w1"].map(str::to_owned);
        Arc::new(RecordingWorkers {
            inner: MemoryWorkers::new(clock, ids),
            epochs: seen,
        })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    set_up_cell(&node, &[queue("q", 0)], &[worker(0), worker(1)]);
    (node, epochs)
}

/// Returns a job of one task that runs for `time`.
fn short_job(time: Millis) -> JobRow {
    let mut row = job(7, &queue("q", 0), vec![step(1, 1_000)]);
    row.spec.text = time.to_string();
    row
}

/// Returns the former owner's order to start the job's task.
fn former_start(row: &JobRow, clock: Millis) -> StartOrder {
    StartOrder {
        to: Addressee {
            worker: WorkerKey::default(),
            life: crossweir::cell::life::Life::of("w0"),
            address: worker(0).address,
            epoch: 1,
        },
        run: RunKey::default(),
        task: "0000000000000007.0.0.0".parse().expect("a task"),
        number: tuning::RUNS_PER_EPOCH,
        text: Arc::from(row.spec.text.as_str()),
        due: clock + tuning::LEASE,
        ticket: None,
        checkpoint: String::new(),
    }
}

/// Lets the former owner start the task of a job after the claim, while the worker still accepts
/// its orders, and the successor find the job's row only after it has loaded the cell.  Returns the
/// epochs under which the task was started.
async fn epochs_of_a_job_that_only_the_former_owner_knew(time: Millis) -> Vec<u64> {
    let (node, epochs) = node_with_two_workers();
    let version = claim(&node.store, "n0", 7, 2);
    let row = short_job(time);
    let order = former_start(&row, node.shared.now());
    let (outcome, _) = node.shared.workers.start(&order).await;
    assert_eq!(outcome, StartOutcome::Started);
    let engine = Engine::start(&node.shared, 2, version).await;
    let engine = engine.expect("the cell loads");
    node.shared.set_engine(Some(engine));
    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Jobs, &job_partition(0), &row.id.to_string());
    tx.puts.push((key, encode(&row)));
    node.store.commit(&tx);
    tokio::time::sleep(Duration::from_secs(4)).await;
    epochs.lock().expect("epochs").clone()
}

#[tokio::test(start_paused = true)]
async fn a_task_that_a_former_owner_ran_after_the_claim_is_not_run_again() {
    // Arrange, act: the run has ended before the successor learns of the job.
    let epochs = epochs_of_a_job_that_only_the_former_owner_knew(300).await;

    // Assert.
    assert_eq!(epochs, [1], "under which epochs it was started");
}

#[tokio::test(start_paused = true)]
async fn a_run_that_a_former_owner_began_after_the_claim_is_taken_over() {
    // Arrange, act: the run still goes on when the successor learns of the job.
    let epochs = epochs_of_a_job_that_only_the_former_owner_knew(1_500).await;

    // Assert.
    assert_eq!(epochs, [1], "under which epochs it was started");
}
