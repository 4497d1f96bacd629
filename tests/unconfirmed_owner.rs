//! An owner whose ownership was not confirmed of late, for example because its VM was paused, tells
//! nobody the state of a job: a successor may have shown an end that it does not know of.

mod cell_core;
mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell_core::{job, queue, step};
use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::clock::Millis;
use crossweir::node::engine::Engine;
use crossweir::node::front::{Frontend, JobAnswer};
use crossweir::workspace::Caller;
use virtual_node::{VirtualNode, claim, set_up_cell, virtual_node};

/// Longer than an ownership counts without a confirmation, in milliseconds.
const UNCONFIRMED: Millis = 3_000;

/// Makes a node own a cell with one waiting job and no workers.
async fn owner_of_a_waiting_job() -> (VirtualNode, Arc<Engine>) {
    let node = virtual_node(&[]);
    let q = queue("q", 0);
    set_up_cell(&node, std::slice::from_ref(&q), &[]);
    let version = claim(&node.store, "n0", 7, 1);
    let engine = Engine::start(&node.shared, 1, version).await;
    let engine = engine.expect("the cell loads");
    node.shared.set_engine(Some(Arc::clone(&engine)));
    engine.accepted(&job(1, &q, vec![step(1, 1_000)]));
    (node, engine)
}

async fn ask(node: &VirtualNode) -> JobAnswer {
    let front = Frontend::new(Arc::clone(&node.shared));
    front.state(&Caller::Anonymous, JobId(1), None).await
}

#[tokio::test(start_paused = true)]
async fn a_confirmed_owner_tells_the_state_of_a_job() {
    let (node, _engine) = owner_of_a_waiting_job().await;

    let answer = ask(&node).await;

    assert_eq!(answer, JobAnswer::State(JobState::Queued));
}

/// Guards against a state that goes back: callers saw `succeeded` from a successor and then
/// `running` from an owner that had been paused.
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_owner_tells_no_state() {
    let (node, engine) = owner_of_a_waiting_job().await;
    // A peer that reaches the store may have claimed the cell.
    node.hear_peer();
    node.faulty_store.unavailable.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(UNCONFIRMED)).await;

    let answer = ask(&node).await;

    assert!(!engine.is_active());
    assert_eq!(answer, JobAnswer::Unavailable);
}
