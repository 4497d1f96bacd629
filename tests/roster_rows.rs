//! The rows of the roster in the store: of bounded size, and written only when they change.

mod cell_core;

use cell_core::worker;
use crossweir::cell::roster::{RosterChange, RosterEntry};
use crossweir::cell::spec::JobId;
use crossweir::embedded::store::{MAX_ROW_BYTES, MemoryStore};
use crossweir::node::roster_rows::RosterRows;
use crossweir::node::shared::CELL_PARTITION;
use crossweir::store::{
    Row, RowKey, Store, StoreCall, StoreError, StoreReply, Table, Transaction, encode,
};
use yare::parameterized;

/// The number of workers in a large cell.
const MANY: u16 = 1_100;
/// The maximum number of roster rows in one transaction.
const MAX_ROWS: usize = 48;
/// The maximum length of a row in bytes, however many workers there are.
const MAX_ROW_LENGTH: usize = 17_000;

fn entries(count: u16, jobs: Option<Vec<JobId>>) -> Vec<RosterEntry> {
    let entry = |number| RosterEntry {
        worker: worker(number),
        jobs: jobs.clone(),
        long_lease: Some(false),
        lost: None,
    };
    (0..count).map(entry).collect()
}

/// Returns the changes that add these entries to the roster.
fn additions(entries: &[RosterEntry]) -> Vec<RosterChange> {
    let change = |entry: &RosterEntry| RosterChange {
        id: entry.worker.life.id.clone(),
        entry: Some(entry.clone()),
    };
    entries.iter().map(change).collect()
}

/// Returns the change that removes this worker from the roster.
fn removal(entry: &RosterEntry) -> RosterChange {
    RosterChange {
        id: entry.worker.life.id.clone(),
        entry: None,
    }
}

/// Writes all changed rows.  Returns how many rows were written and dropped, and in how many
/// transactions.
async fn write(store: &MemoryStore, rows: &mut RosterRows) -> (usize, usize, usize) {
    let (mut puts, mut drops, mut transactions) = (0, 0, 0);
    while !rows.is_written() {
        let write = rows.next_write(MAX_ROWS);
        let tx = Transaction {
            puts: write.puts.clone(),
            drops: write.drops.clone(),
            ..Transaction::default()
        };
        let reply = store.call(StoreCall::Commit(tx)).await;
        assert!(matches!(reply, Ok(StoreReply::Committed(_))), "{reply:?}");
        rows.mark_written(&write);
        puts += write.puts.len();
        drops += write.drops.len();
        transactions += 1;
    }
    (puts, drops, transactions)
}

fn read_sorted(rows: &[Row]) -> Vec<RosterEntry> {
    let mut read = RosterRows::read(rows).1;
    read.sort_unstable_by_key(|entry| entry.worker.address);
    read
}

async fn stored(store: &MemoryStore) -> Vec<Row> {
    let call = StoreCall::List {
        table: Table::Cells,
        partition: CELL_PARTITION.to_owned(),
        from: String::new(),
        until: String::new(),
        limit: 500,
    };
    match store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => rows,
        other => panic!("not listed: {other:?}"),
    }
}

#[parameterized(
    few = { 48 },
    several_hundred = { 350 },
    as_many_as_were_designed_for = { 1_100 },
    fleet = { 6_000 },
    twice_the_fleet = { 12_000 },
)]
#[test_macro(tokio::test)]
async fn the_roster_of_many_workers_is_taken_by_the_store_and_read_back(workers: u16) {
    let store = MemoryStore::default();
    let entries = entries(workers, None);

    let mut rows = RosterRows::default();
    rows.apply(additions(&entries));
    write(&store, &mut rows).await;

    assert_eq!(read_sorted(&stored(&store).await), entries);
}

#[tokio::test]
async fn only_rows_that_have_changed_are_written() {
    let store = MemoryStore::default();
    let mut rows = RosterRows::default();
    let mut entries = entries(MANY, None);
    rows.apply(additions(&entries));
    write(&store, &mut rows).await;

    entries[5].jobs = Some(vec![JobId(1)]);
    rows.apply(additions(&entries));

    assert_eq!(write(&store, &mut rows).await, (1, 0, 1));
    assert_eq!(read_sorted(&stored(&store).await), entries);
}

/// 150 workers leave one after the other, as when a service is released, in a cell of 350 and in
/// one of 6,000 workers.
#[tokio::test]
async fn what_a_change_writes_does_not_grow_with_the_cell() {
    let mut bytes = Vec::new();
    for workers in [350, 6_000] {
        let store = MemoryStore::default();
        let entries = entries(workers, None);
        let mut rows = RosterRows::default();
        rows.apply(additions(&entries));
        write(&store, &mut rows).await;
        let mut written = 0;
        for entry in &entries[..150] {
            rows.apply(vec![removal(entry)]);
            written += rows.next_write(MAX_ROWS).puts[0].1.len();
            write(&store, &mut rows).await;
        }
        assert_eq!(read_sorted(&stored(&store).await), entries[150..]);
        bytes.push(written / 150);
    }
    assert!(
        bytes.iter().all(|bytes| *bytes <= MAX_ROW_LENGTH),
        "{bytes:?}"
    );
}

#[tokio::test]
async fn a_roster_that_grows_and_shrinks_is_always_read_back() {
    // Arrange
    let store = MemoryStore::default();
    let entries = entries(MANY, None);
    let mut rows = RosterRows::default();

    // Act: the workers join one by one, and most leave again.
    for entry in &entries {
        rows.apply(additions(std::slice::from_ref(entry)));
        write(&store, &mut rows).await;
    }
    let full = stored(&store).await;
    for entry in &entries[48..] {
        rows.apply(vec![removal(entry)]);
        write(&store, &mut rows).await;
    }
    let small = stored(&store).await;

    // Assert
    assert_eq!(read_sorted(&full), entries);
    assert_eq!(read_sorted(&small), entries[..48]);
    assert!(
        small.len() < full.len(),
        "{} and {}",
        small.len(),
        full.len()
    );
}

#[tokio::test]
async fn a_successor_writes_only_what_has_changed_since() {
    let store = MemoryStore::default();
    let entries = entries(6_000, None);
    let mut rows = RosterRows::default();
    rows.apply(additions(&entries));
    write(&store, &mut rows).await;

    let (mut rows, _) = RosterRows::read(&stored(&store).await);
    let written_at_first = rows.is_written();
    rows.apply(additions(&entries));
    rows.apply(vec![removal(&entries[7])]);

    assert!(written_at_first);
    assert_eq!(write(&store, &mut rows).await, (1, 0, 1));
}

/// A worker is in two rows if an owner stops after writing the halves of a split row and before
/// dropping the row itself.  The entry that allows more jobs to be running there must count.
#[tokio::test]
async fn a_worker_in_two_rows_gets_the_entry_that_allows_more_jobs() {
    // Arrange
    let store = MemoryStore::default();
    let named = entries(1, Some(vec![JobId(1)]));
    let mut rows = RosterRows::default();
    rows.apply(additions(&named));
    write(&store, &mut rows).await;
    let mut stored = stored(&store).await;
    let mut child = stored[0].clone();
    child.key.push('0');
    child.value = encode(&entries(1, None));
    stored.push(child);

    // Act, assert.
    assert_eq!(RosterRows::read(&stored).1, entries(1, None));
    stored.reverse();
    assert_eq!(RosterRows::read(&stored).1, entries(1, None));
}

#[tokio::test]
async fn a_layout_of_a_former_version_is_replaced() {
    // Arrange: the former layout, with a fixed number of rows.
    let store = MemoryStore::default();
    let entries = entries(48, None);
    let mut tx = Transaction::default();
    for (index, part) in entries.chunks(3).enumerate() {
        let key = RowKey::new(Table::Cells, CELL_PARTITION, &format!("workers-{index:02}"));
        tx.puts.push((key, encode(&part)));
    }
    store.commit(&tx);

    // Act
    let (mut rows, read) = RosterRows::read(&stored(&store).await);
    write(&store, &mut rows).await;

    // Assert
    assert_eq!(read.len(), entries.len());
    let now = stored(&store).await;
    assert_eq!(read_sorted(&now), entries);
    assert!(now.iter().all(|row| row.key.len() > "workers-00".len()));
}

#[tokio::test]
async fn a_row_that_cannot_be_parsed_is_rewritten_and_the_others_are_kept() {
    let store = MemoryStore::default();
    let mut rows = RosterRows::default();
    rows.apply(additions(&entries(48, None)));
    write(&store, &mut rows).await;
    let mut stored = stored(&store).await;
    let lost: Vec<RosterEntry> = serde_json::from_str(&stored[0].value).expect("entries");
    stored[0].value = String::from("[{");

    let (mut rows, read) = RosterRows::read(&stored);

    assert_eq!(read.len(), 48 - lost.len());
    assert_eq!(write(&store, &mut rows).await, (1, 0, 1));
}

#[tokio::test]
async fn an_entry_that_would_be_too_long_names_no_jobs() {
    let jobs: Vec<JobId> = (0..500).map(JobId).collect();
    let store = MemoryStore::default();

    let mut rows = RosterRows::default();
    rows.apply(additions(&entries(MANY, Some(jobs))));
    write(&store, &mut rows).await;

    for row in stored(&store).await {
        assert!(
            row.value.len() < MAX_ROW_BYTES,
            "{}: {}",
            row.key,
            row.value.len()
        );
        assert!(row.value.contains("\"jobs\":null"));
    }
}

#[tokio::test]
async fn a_store_in_memory_rejects_what_the_platform_rejects() {
    let store = MemoryStore::default();
    let key = RowKey::new(Table::Cells, CELL_PARTITION, "long");
    let mut tx = Transaction::default();
    tx.puts.push((key, "x".repeat(MAX_ROW_BYTES + 1)));

    let reply = store.call(StoreCall::Commit(tx)).await;

    assert_eq!(reply, Err(StoreError::Rejected(413)));
}

#[test]
fn a_row_of_a_former_version_is_read() {
    // Arrange: the format from before lives reported when they began.
    let text = r#"[{"id":"w0","address":"127.0.0.1:9000","machine":"m0","service":"svc","hall":"north",
        "capacity":{"millicores":16000,"memory":32768,"gpus":0},"labels":["a","r0"],"rack":"r0",
        "leaving":null,"jobs":null}]"#;
    let row = Row {
        partition: CELL_PARTITION.to_owned(),
        key: String::from("workers-00"),
        value: text.to_owned(),
        version: 1,
        dropped: false,
    };

    // Act.
    let read = RosterRows::read(&[row]).1;

    // Assert: nor did it tell what leases there may be.
    let unknown_lease = entries(1, None).into_iter().map(|entry| RosterEntry {
        long_lease: None,
        ..entry
    });
    assert_eq!(read, unknown_lease.collect::<Vec<_>>());
}
