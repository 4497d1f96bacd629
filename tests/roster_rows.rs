//! The rows in which the roster lies: short enough for the store, written when they change.

mod cell_core;

use cell_core::worker;
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::JobId;
use crossweir::embedded::store::{MOST_ROW_BYTES, MemoryStore};
use crossweir::node::roster_rows::{self, RosterRows};
use crossweir::node::shared::PARTITION;
use crossweir::store::{Row, Store, StoreCall, StoreError, StoreReply, Table, Transaction};

/// The workers of the largest cell that is designed for.
const MANY: u16 = 1_100;

fn entries(count: u16, jobs: Option<Vec<JobId>>) -> Vec<RosterEntry> {
    let entry = |number| RosterEntry {
        worker: worker(number),
        jobs: jobs.clone(),
        long_lease: false,
    };
    (0..count).map(entry).collect()
}

fn transaction(rows: &RosterRows, entries: &[RosterEntry]) -> Transaction {
    Transaction {
        puts: rows.changed(entries).puts().collect(),
        ..Transaction::default()
    }
}

async fn stored(store: &MemoryStore) -> Vec<Row> {
    let call = StoreCall::List {
        table: Table::Cells,
        partition: PARTITION.to_owned(),
        from: String::new(),
        until: String::new(),
        limit: 500,
    };
    match store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => rows,
        other => panic!("not listed: {other:?}"),
    }
}

#[tokio::test]
async fn the_roster_of_many_workers_is_taken_by_the_store_and_read_back() {
    let store = MemoryStore::default();
    let entries = entries(MANY, None);

    let tx = transaction(&RosterRows::default(), &entries);
    let reply = store.call(StoreCall::Commit(tx)).await;

    assert!(matches!(reply, Ok(StoreReply::Committed(_))), "{reply:?}");
    let mut read = roster_rows::read(&stored(&store).await);
    read.sort_unstable_by_key(|entry| entry.worker.address);
    assert_eq!(read, entries);
}

#[test]
fn only_rows_that_have_changed_are_written() {
    let mut rows = RosterRows::default();
    let mut entries = entries(MANY, None);
    let all = rows.changed(&entries);
    rows.are_written(all);

    entries[5].jobs = Some(vec![JobId(1)]);
    let changed = rows.changed(&entries);

    assert_eq!(changed.puts().count(), 1);
}

#[test]
fn a_row_that_would_be_too_long_names_no_jobs() {
    let jobs: Vec<JobId> = (0..500).map(JobId).collect();
    let entries = entries(MANY, Some(jobs));

    let changed = RosterRows::default().changed(&entries);

    for (key, text) in changed.puts() {
        assert!(text.len() < MOST_ROW_BYTES, "{}: {}", key.key, text.len());
        assert!(text.contains("\"jobs\":null"));
    }
}

#[tokio::test]
async fn a_store_in_memory_rejects_what_the_platform_rejects() {
    let store = MemoryStore::default();
    let key = crossweir::store::RowKey::new(Table::Cells, PARTITION, "long");
    let mut tx = Transaction::default();
    tx.puts.push((key, "x".repeat(MOST_ROW_BYTES + 1)));

    let reply = store.call(StoreCall::Commit(tx)).await;

    assert_eq!(reply, Err(StoreError::Rejected(413)));
}

#[test]
fn a_row_of_a_former_version_is_read() {
    // Arrange: as it was written before lives told when they started.
    let text = r#"[{"id":"w0","address":"127.0.0.1:9000","machine":"m0","service":"svc","hall":"north",
        "capacity":{"millicores":16000,"memory":32768,"gpus":0},"labels":["a","r0"],"rack":"r0",
        "leaving":null,"jobs":null}]"#;
    let row = Row {
        partition: PARTITION.to_owned(),
        key: String::from("workers-00"),
        value: text.to_owned(),
        version: 1,
        dropped: false,
    };

    // Act, assert.
    assert_eq!(roster_rows::read(&[row]), entries(1, None));
}
