//! Deletion of the rows of ended jobs, over minutes of virtual time.

mod cell_core;
mod virtual_node;

use std::sync::Arc;
use std::time::Duration;

use cell_core::{job, job_request, queue, step};
use crossweir::cell::spec::JobId;
use crossweir::node::engine::Engine;
use crossweir::store::{RowKey, Store, StoreCall, StoreReply, Table, Transaction, encode};
use virtual_node::{VirtualNode, claim, virtual_node};

/// Returns the number of rows in a partition of a table.
async fn count_rows(node: &VirtualNode, table: Table, partition: &str) -> usize {
    let call = StoreCall::List {
        table,
        partition: partition.to_owned(),
        from: String::new(),
        until: String::new(),
        limit: 100,
    };
    match node.store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => rows.len(),
        other => panic!("no rows: {other:?}"),
    }
}

/// Starts an owner that finds the row of one job in the store.
async fn owner_of_one_job(node: &VirtualNode) -> Arc<Engine> {
    let row = job(1, &queue("q", 0), vec![step(1, 1_000)]);
    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Jobs, "j0", &row.id.to_string());
    tx.puts.push((key, encode(&row)));
    node.store.commit(&tx);
    let version = claim(&node.store, "n0", 7, 1);
    let engine = Engine::start(&node.shared, 1, version).await;
    engine.expect("the cell loads")
}

#[tokio::test(start_paused = true)]
async fn the_job_row_is_deleted_soon_after_the_end_and_the_end_minutes_later() {
    // Arrange.
    let node = virtual_node(&[]);
    let engine = owner_of_one_job(&node).await;

    // Act.
    engine.cancel(&job_request(1)).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let soon = (
        count_rows(&node, Table::Jobs, "j0").await,
        count_rows(&node, Table::Progress, "c0").await,
        engine.state(JobId(1)).is_some(),
    );
    tokio::time::sleep(Duration::from_secs(310)).await;
    let later = (
        count_rows(&node, Table::Progress, "c0").await,
        engine.state(JobId(1)).is_some(),
    );

    // Assert.
    assert_eq!(soon, (0, 1, true));
    assert_eq!(later, (0, false));
}

#[tokio::test(start_paused = true)]
async fn a_successor_drops_ends_that_it_found() {
    // Arrange.
    let node = virtual_node(&[]);
    let former = owner_of_one_job(&node).await;
    former.cancel(&job_request(1)).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    former.retire("the test goes on with another");

    // Act.
    let version = claim(&node.store, "n0", 7, 2);
    let engine = Engine::start(&node.shared, 2, version).await;
    let engine = engine.expect("the cell loads");
    let found = engine.state(JobId(1)).is_some();
    tokio::time::sleep(Duration::from_secs(310)).await;

    // Assert.
    assert!(found);
    assert_eq!(count_rows(&node, Table::Progress, "c0").await, 0);
    assert_eq!(engine.state(JobId(1)), None);
}
