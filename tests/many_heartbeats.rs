//! An owner learns in time that a worker leaves, however many other workers write heartbeats.
//!
//! Each heartbeat of a worker is a change in the store, which returns at most 500 changes in an
//! answer.  With a thousand workers, the change that announces a departure comes after many others.

mod cell_core;
mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cell_core::{job, queue, step, worker};
use crossweir::cell::order::{
    PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crossweir::cell::spec::Step;
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::engine::Engine;
use crossweir::node::links::Workers;
use crossweir::store::{RowKey, Table, Transaction, encode};
use futures::future::BoxFuture;
use virtual_node::{VirtualNode, claim, set_up_cell, virtual_node_with_workers};

/// How many workers write heartbeats; the labelled worker has the next number.
const OTHERS: u16 = 1_000;
/// How many heartbeats are written in each [`INTERVAL`], in milliseconds: 2,000 a second.
const HEARTBEATS_PER_INTERVAL: u16 = 200;
const INTERVAL: Millis = 100;
/// The label of the worker that leaves, which no other has.
const LABEL: &str = "only";

/// Workers that count starts.
struct CountingWorkers {
    inner: MemoryWorkers,
    starts: Arc<AtomicUsize>,
}

impl Workers for CountingWorkers {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        self.starts.fetch_add(1, Ordering::Relaxed);
        Workers::start(&self.inner, order)
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        self.inner.stop(order)
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        self.inner.poll(order)
    }
}

fn labelled(leaving: Option<Millis>) -> WorkerEntry {
    let mut entry = worker(OTHERS);
    entry.labels.push(LABEL.to_owned());
    entry.leaving = leaving;
    entry
}

/// A cell of many workers, and the number of starts that they were sent.
async fn large_cell() -> (VirtualNode, Arc<AtomicUsize>) {
    let starts = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&starts);
    let workers = move |clock: Arc<dyn Clock>| -> Arc<dyn Workers> {
        let ids = (0..=OTHERS).map(|number| format!("w{number}"));
        let inner = MemoryWorkers::new(clock, ids);
        let starts = counted;
        Arc::new(CountingWorkers { inner, starts })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    let others = (0..OTHERS).map(worker);
    let entries: Vec<_> = others.chain([labelled(None)]).collect();
    set_up_cell(&node, &[queue("q", 0)], &entries);
    let version = claim(&node.store, "n0", 7, 16);
    let engine = Engine::start(&node.shared, 16, version).await;
    node.shared
        .set_engine(Some(engine.expect("the cell loads")));
    (node, starts)
}

fn write(node: &VirtualNode, entries: impl Iterator<Item = WorkerEntry>) {
    let mut tx = Transaction::default();
    for entry in entries {
        let key = RowKey::new(Table::Workers, "", &entry.life.id);
        tx.puts.push((key, encode(&entry)));
    }
    node.store.commit(&tx);
}

/// Lets `time` pass while the other workers write heartbeats.
async fn write_heartbeats(node: &VirtualNode, time: Millis) {
    for round in 0..time / INTERVAL {
        let first = round as u16 * HEARTBEATS_PER_INTERVAL % OTHERS;
        write(node, (first..first + HEARTBEATS_PER_INTERVAL).map(worker));
        tokio::time::sleep(Duration::from_millis(INTERVAL)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_starts_on_a_worker_that_said_a_second_ago_that_it_leaves() {
    // Arrange
    let (node, starts) = large_cell().await;
    write_heartbeats(&node, 4_000).await;

    // Act
    write(&node, std::iter::once(labelled(Some(5_000))));
    write_heartbeats(&node, 1_000).await;
    let only = Step {
        label: Some(LABEL.to_owned()),
        ..step(1, 1_000)
    };
    let engine = node.shared.engine().expect("it owns the cell");
    engine.accepted(&job(1, &queue("q", 0), vec![only]));
    write_heartbeats(&node, 1_000).await;

    // Assert
    assert_eq!(starts.load(Ordering::Relaxed), 0);
}
