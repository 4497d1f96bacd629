//! Questions about a job that come just when its last task has ended.
//!
//! The pattern: a caller asks within milliseconds of the end, since its tasks tell it themselves,
//! and asks again a quarter of a second later if the job is still said to run.  Urgent jobs have
//! 250 ms and half of their work to spare, so the first answer decides whether many are in time.

mod cell_core;
mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell_core::{job, queue, step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::record::JobRow;
use crossweir::clock::Millis;
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::engine::Engine;
use crossweir::node::front::{Frontend, JobAnswer};
use crossweir::node::shared::job_partition;
use crossweir::store::{RowKey, Table, Transaction, encode};
use crossweir::workspace::Caller;
use tokio::time::Instant;
use virtual_node::{Relay, VirtualNode, claim, set_up_cell, virtual_node_with_workers};

/// What a caller has left when it asks.
const LEFT: Option<Millis> = Some(3_000);
/// The longest that an answer may wait for an end.
const WAIT: Millis = 150;

struct Bed {
    node: VirtualNode,
    engine: Arc<Engine>,
    front: Frontend,
}

/// A node that owns a cell of two workers.
async fn owner() -> Bed {
    let workers = |clock| {
        let ids = ["w0", "w1"].map(str::to_owned);
        Arc::new(MemoryWorkers::new(clock, ids)) as Arc<_>
    };
    let node = virtual_node_with_workers(&[Relay::Works], workers, Arc::new(JsonDecoder));
    set_up_cell(&node, &[queue("q", 0)], &[worker(0), worker(1)]);
    let version = claim(&node.store, "n0", 7, 1);
    let engine = Engine::start(&node.shared, 1, version).await;
    let engine = engine.expect("the cell loads");
    node.shared.set_engine(Some(Arc::clone(&engine)));
    let (address, now) = (node.shared.address, node.shared.now());
    node.shared.owner().note_heartbeat(1, Some(address), now);
    pass(1_000).await;
    let front = Frontend::new(Arc::clone(&node.shared));
    Bed {
        node,
        engine,
        front,
    }
}

async fn pass(time: Millis) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// Hands in a job whose tasks take `length` each, and lets it start.
async fn start(bed: &Bed, tasks: u32, length: Millis) -> JobRow {
    let mut row = job(1, &queue("q", 0), vec![step(tasks, 16_000)]);
    row.spec.text = length.to_string();
    let key = RowKey::new(Table::Jobs, &job_partition(0), &row.id.to_string());
    let mut tx = Transaction::default();
    tx.puts.push((key, encode(&row)));
    bed.node.store.commit(&tx);
    bed.engine.accepted(&row);
    pass(20).await;
    row
}

/// Asks for the job's state; tells it and how long the answer took.
async fn ask(bed: &Bed, row: &JobRow) -> (JobAnswer, Millis) {
    let began = Instant::now();
    let told = bed.front.state(&Caller::Anonymous, row.id, LEFT).await;
    (told, began.elapsed().as_millis() as Millis)
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_asks_just_after_the_end_is_told_of_it() {
    // Arrange: the task ends within the millisecond before the question.
    let bed = owner().await;
    let row = start(&bed, 1, 300).await;
    pass(285).await;

    // Act.
    let (told, took) = ask(&bed, &row).await;

    // Assert.
    assert_eq!(
        told,
        JobAnswer::State(JobState::Succeeded),
        "after {took} ms"
    );
    assert!(took <= WAIT, "{took} ms");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_asks_long_before_the_end_waits_no_longer_than_that() {
    let bed = owner().await;
    let row = start(&bed, 1, 5_000).await;
    let (told, took) = ask(&bed, &row).await;
    assert_eq!(told, JobAnswer::State(JobState::Running));
    assert!(took <= WAIT, "{took} ms");
}

#[tokio::test(start_paused = true)]
async fn a_caller_whose_job_waits_for_room_is_answered_at_once() {
    // Arrange: five tasks that take a whole worker each, on two workers.
    let bed = owner().await;
    let row = start(&bed, 5, 300).await;

    // Act.
    let (told, took) = ask(&bed, &row).await;

    // Assert.
    assert_eq!((told, took), (JobAnswer::State(JobState::Running), 0));
}

/// The other node hears the owner ten times a second and answers.
async fn pass_with_witness(bed: &Bed, time: Millis) {
    for _ in 0..time / 20 {
        pass(20).await;
        let beat = bed.node.shared.heartbeat();
        bed.engine.mark_ends_known_to_peer(&beat.ends);
    }
}

#[tokio::test(start_paused = true)]
async fn an_end_is_shown_while_a_slow_store_is_still_recording_it() {
    // Arrange: a store that takes 500 ms for each answer.
    let bed = owner().await;
    bed.node.faulty_store.delay.store(500, Ordering::Relaxed);
    let row = start(&bed, 1, 100).await;

    // Act: 120 ms after the end.
    pass_with_witness(&bed, 220).await;
    let (told, _) = ask(&bed, &row).await;

    // Assert.
    assert_eq!(told, JobAnswer::State(JobState::Succeeded));
    assert!(!bed.engine.is_end_recorded(row.id));
}

#[tokio::test(start_paused = true)]
async fn an_end_that_no_other_node_knows_of_waits_for_its_record() {
    // Arrange.
    let bed = owner().await;
    bed.node.faulty_store.delay.store(500, Ordering::Relaxed);
    let row = start(&bed, 1, 100).await;
    pass(220).await;

    // Act, assert.
    let (told, took) = ask(&bed, &row).await;
    assert_eq!(told, JobAnswer::State(JobState::Running));
    assert!(took <= WAIT, "{took} ms");
    assert_eq!(
        bed.node.shared.heartbeat().ends,
        [(row.id, JobState::Succeeded)]
    );
}
