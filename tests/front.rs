//! How long callers are kept waiting.

mod cell_core;
mod virtual_node;

use std::sync::atomic::Ordering;

use cell_core::{queue, step};
use crossweir::cell::spec::{JobId, JobSpec};
use crossweir::node::front::{Front, Told};
use crossweir::node::intake::Submitted;
use tokio::time::Instant;
use virtual_node::virtual_node;

/// What the caller has left, in milliseconds.
const LEFT: u64 = 900;

fn front_with_a_silent_store() -> Front {
    let node = virtual_node(&[]);
    node.guarded.silent.store(true, Ordering::Relaxed);
    Front::new(node.shared)
}

#[tokio::test(start_paused = true)]
async fn a_caller_learns_in_time_that_its_job_may_not_be_taken() {
    // Arrange.
    let front = front_with_a_silent_store();
    let spec = JobSpec {
        steps: vec![step(1, 1_000)],
        ..JobSpec::default()
    };

    // Act.
    let began = Instant::now();
    let outcome = front
        .submit(&queue("q", 0), JobId(1), spec, Some(LEFT))
        .await;

    // Assert.
    assert_eq!(outcome, Submitted::Doubtful);
    assert!(began.elapsed().as_millis() < u128::from(LEFT / 2));
}

#[tokio::test(start_paused = true)]
async fn a_caller_learns_in_time_that_a_state_cannot_be_told() {
    let front = front_with_a_silent_store();
    let began = Instant::now();
    let told = front.state(JobId(1), Some(LEFT)).await;
    assert_eq!(told, Told::Unavailable);
    assert!(began.elapsed().as_millis() < u128::from(LEFT / 2));
}
