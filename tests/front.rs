//! How long a node's frontend keeps callers waiting when the store is slow or unavailable.

mod cell_core;
mod virtual_node;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell_core::{queue, step};
use crossweir::cell::spec::{JobId, JobSpec};
use crossweir::embedded::store::MAX_ROW_BYTES;
use crossweir::node::front::{Frontend, JobAnswer};
use crossweir::node::intake::SubmitOutcome;
use crossweir::node::shared::{JOB_PARTITIONS, job_partition};
use crossweir::rpc::node::Heartbeat;
use crossweir::store::{Store, StoreCall, StoreError, StoreReply, Table, Transaction};
use crossweir::workspace::Caller;
use tokio::time::Instant;
use virtual_node::{Relay, VirtualNode, virtual_node};

/// The time that the caller has left, in milliseconds.
const REMAINING: u64 = 900;

fn spec() -> JobSpec {
    JobSpec {
        steps: vec![step(1, 1_000)],
        ..JobSpec::default()
    }
}

/// Returns the frontend of a node whose store never answers.
fn front_with_a_silent_store() -> Frontend {
    let node = virtual_node(&[]);
    node.faulty_store.silent.store(true, Ordering::Relaxed);
    Frontend::new(node.shared)
}

#[tokio::test(start_paused = true)]
async fn a_caller_learns_in_time_that_its_job_may_not_be_accepted() {
    // Arrange.
    let front = front_with_a_silent_store();

    // Act.
    let began = Instant::now();
    let outcome = front
        .submit(
            &Caller::Anonymous,
            &queue("q", 0),
            JobId(1),
            spec(),
            Some(REMAINING),
        )
        .await;

    // Assert.
    assert_eq!(outcome, SubmitOutcome::Doubtful);
    assert!(began.elapsed().as_millis() < u128::from(REMAINING / 2));
}

#[tokio::test(start_paused = true)]
async fn a_caller_waits_longer_for_a_store_that_is_slow_and_answers() {
    // Arrange: a store that takes 1.1 s for each answer, and a node that has measured that.
    let node = virtual_node(&[]);
    node.faulty_store.delay.store(1_100, Ordering::Relaxed);
    let front = Arc::new(Frontend::new(node.shared));
    let first = Arc::clone(&front);
    let earlier = tokio::spawn(async move {
        first
            .submit(&Caller::Anonymous, &queue("q", 0), JobId(1), spec(), None)
            .await
    });
    let _ = earlier.await;

    // Act: the caller has 2 s left; 45% of that is less than an answer takes.
    let outcome = front
        .submit(
            &Caller::Anonymous,
            &queue("q", 0),
            JobId(2),
            spec(),
            Some(2_000),
        )
        .await;

    // Assert.
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

#[tokio::test(start_paused = true)]
async fn a_caller_learns_in_time_that_a_state_cannot_be_told() {
    let front = front_with_a_silent_store();
    let began = Instant::now();
    let answer = front
        .state(&Caller::Anonymous, JobId(1), Some(REMAINING))
        .await;
    assert_eq!(answer, JobAnswer::Unavailable);
    assert!(began.elapsed().as_millis() < u128::from(REMAINING / 2));
}

#[tokio::test(start_paused = true)]
async fn a_store_that_turns_slow_still_takes_jobs() {
    // Arrange: a node that is used to a fast store.
    let node = virtual_node(&[]);
    let faulty_store = Arc::clone(&node.faulty_store);
    let front = Frontend::new(node.shared);
    let q = queue("q", 0);
    for id in 1..20 {
        let outcome = front
            .submit(&Caller::Anonymous, &q, JobId(id), spec(), None)
            .await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }

    // Act: every answer takes 500 ms from now on, and the caller has 2 s left.
    faulty_store.delay.store(500, Ordering::Relaxed);
    let outcome = front
        .submit(&Caller::Anonymous, &q, JobId(20), spec(), Some(2_000))
        .await;

    // Assert.
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

/// One row that the store rejects had its whole batch refused.
#[tokio::test(start_paused = true)]
async fn a_job_that_the_store_cannot_keep_spoils_none_beside_it() {
    // Arrange.
    let front = Frontend::new(virtual_node(&[]).shared);
    let q = queue("q", 0);
    let mut large = spec();
    large.steps[0].image = "x".repeat(MAX_ROW_BYTES);

    // Act: both are handed in at the same time.
    let (first, second) = tokio::join!(
        front.submit(&Caller::Anonymous, &q, JobId(1), large, None),
        front.submit(&Caller::Anonymous, &q, JobId(2), spec(), None),
    );

    // Assert.
    assert_eq!(first, SubmitOutcome::TooLarge);
    assert_eq!(second, SubmitOutcome::Accepted);
}

/// Submits a job while the store takes 600 ms for each answer, at a node that comes after `others`
/// peers in the order of names.  Returns the outcome, and how many job rows peers were asked to
/// write.
async fn submit_to_slow_store(others: u16) -> (SubmitOutcome, usize) {
    let node = virtual_node(&vec![Relay::Works; usize::from(others)]);
    for number in 1..=others {
        node.shared.apply_heartbeat(&Heartbeat {
            name: format!("a{number:02}"),
            address: format!("127.0.0.1:{number}"),
            ..Heartbeat::default()
        });
    }
    node.faulty_store.delay.store(600, Ordering::Relaxed);
    let front = Arc::new(Frontend::new(Arc::clone(&node.shared)));
    let first = Arc::clone(&front);
    tokio::spawn(async move {
        first
            .submit(&Caller::Anonymous, &queue("q", 0), JobId(1), spec(), None)
            .await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let outcome = front
        .submit(&Caller::Anonymous, &queue("q", 0), JobId(2), spec(), None)
        .await;
    (outcome, node.written.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn in_a_large_cell_some_nodes_write_for_all_while_the_store_is_slow() {
    assert_eq!(submit_to_slow_store(12).await, (SubmitOutcome::Accepted, 1));
}

#[tokio::test(start_paused = true)]
async fn in_a_small_cell_each_node_writes_for_itself_while_the_store_is_slow() {
    assert_eq!(submit_to_slow_store(11).await, (SubmitOutcome::Accepted, 0));
}

/// Returns the number of job rows in each partition that has any.
async fn rows_by_partition(node: &VirtualNode) -> BTreeMap<String, usize> {
    let mut found = BTreeMap::new();
    for partition in (0..JOB_PARTITIONS).map(job_partition) {
        let call = StoreCall::List {
            table: Table::Jobs,
            partition: partition.clone(),
            from: String::new(),
            until: String::new(),
            limit: 500,
        };
        match node.store.call(call).await {
            Ok(StoreReply::Rows { rows, .. }) if rows.is_empty() => {}
            Ok(StoreReply::Rows { rows, .. }) => drop(found.insert(partition, rows.len())),
            other => panic!("not listed: {other:?}"),
        }
    }
    found
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_gets_jobs_in_partitions_that_no_other_node_uses() {
    // Arrange: the first of four nodes in the order of names, and a store that takes 600 ms.
    let node = virtual_node(&[]);
    for name in ["n1", "n2", "n3"] {
        node.shared.apply_heartbeat(&Heartbeat {
            name: name.to_owned(),
            address: String::from("127.0.0.1:1"),
            ..Heartbeat::default()
        });
    }
    node.faulty_store.delay.store(600, Ordering::Relaxed);
    let front = Arc::new(Frontend::new(Arc::clone(&node.shared)));

    // Act: a job is submitted every 50 ms.  During the first 100 ms the node cannot know yet that
    // the store is slow.
    for id in 0..40 {
        let front = Arc::clone(&front);
        tokio::spawn(async move {
            front
                .submit(&Caller::Anonymous, &queue("q", 0), JobId(id), spec(), None)
                .await
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    // Assert.
    let found = rows_by_partition(&node).await;
    let ours = ["j0", "j4"].iter().filter_map(|name| found.get(*name));
    let others = found.values().sum::<usize>() - ours.sum::<usize>();
    assert!(others <= 4, "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn a_job_is_written_through_a_peer_when_the_store_does_not_answer_this_node() {
    // Arrange.
    let node = virtual_node(&[Relay::Works]);
    node.hear_peer();
    node.faulty_store.silent.store(true, Ordering::Relaxed);
    let front = Frontend::new(node.shared);

    // Act.
    let outcome = front
        .submit(
            &Caller::Anonymous,
            &queue("q", 0),
            JobId(1),
            spec(),
            Some(1_500),
        )
        .await;

    // Assert.
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

#[tokio::test(start_paused = true)]
async fn a_job_is_refused_at_once_while_the_store_is_unavailable_and_other_writes_hang() {
    // Arrange: writes hang since the store no longer answers, and the node has noticed that.
    let node = virtual_node(&[]);
    tokio::spawn(Arc::clone(&node.shared).probe_store());
    node.faulty_store.silent.store(true, Ordering::Relaxed);
    let front = Arc::new(Frontend::new(Arc::clone(&node.shared)));
    for id in 1..=3 {
        let front = Arc::clone(&front);
        tokio::spawn(async move {
            front
                .submit(&Caller::Anonymous, &queue("q", 0), JobId(id), spec(), None)
                .await
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let call = StoreCall::Commit(Transaction::default());
    let lost = node.shared.store(call).await;
    tokio::time::sleep(Duration::from_millis(800)).await;

    // Act.
    let began = Instant::now();
    let outcome = front
        .submit(&Caller::Anonymous, &queue("q", 0), JobId(4), spec(), None)
        .await;

    // Assert.
    assert_eq!(lost, Err(StoreError::Unanswered));
    assert_eq!(outcome, SubmitOutcome::Refused);
    assert!(began.elapsed() < Duration::from_millis(50));
}

#[tokio::test(start_paused = true)]
async fn a_doubtful_outcome_is_reported_at_once_when_no_route_to_the_store_works() {
    // Arrange.
    let node = virtual_node(&[]);
    tokio::spawn(Arc::clone(&node.shared).probe_store());
    node.faulty_store.lossy.store(true, Ordering::Relaxed);
    let front = Frontend::new(Arc::clone(&node.shared));

    // Act.
    let began = Instant::now();
    let outcome = front
        .submit(&Caller::Anonymous, &queue("q", 0), JobId(1), spec(), None)
        .await;

    // Assert.
    assert_eq!(outcome, SubmitOutcome::Doubtful);
    assert!(began.elapsed() < Duration::from_millis(200));
}
