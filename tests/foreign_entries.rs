//! Rows of other writers in the store: a row that cannot be parsed must not affect other rows.
//!
//! Guards against one row with the bytes ff fe 00 among the workers' entries making every read of
//! that table fail: a node that was ready and owned its cell then started nothing, with 66 failed
//! reads in ten seconds.

mod cell_core;

use std::net::SocketAddr;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::http::client::HttpClient;
use crossweir::node::links::Decoder;
use crossweir::platform::decode::PlatformDecoder;
use crossweir::platform::store::PlatformStore;
use crossweir::store::{Store, StoreCall, StoreReply, Table};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// Returns the valid entry of a worker.
fn entry() -> Value {
    json!({
        "service": "svc", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0,
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1-3"], "seq": 4,
    })
}

/// Starts a store that answers one request, whatever it is, with these rows.
async fn store_with(rows: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let body = json!({"rows": rows, "more": false, "ver": 9, "now_ms": 1}).to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await.expect("a request");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let answer = format!("{head}{body}");
        stream.write_all(answer.as_bytes()).await.expect("written");
    });
    addr
}

#[parameterized(
    bytes_that_are_not_utf8 = { json!("//4A") },
    no_base64 = { json!("%%%") },
    null = { json!(null) },
    another_type = { json!(7) },
)]
#[test_macro(tokio::test)]
async fn a_row_that_cannot_be_parsed_does_not_affect_other_rows(value: Value) {
    // Arrange.
    let valid = json!({"part": "", "key": "w1", "value": "e30=", "ver": 3});
    let foreign = json!({"part": "", "key": "w2", "value": value, "ver": 4});
    let addr = store_with(json!([foreign, valid])).await;
    let store = PlatformStore::new(HttpClient::default(), addr);

    // Act.
    let call = StoreCall::List {
        table: Table::Workers,
        partition: String::new(),
        from: String::new(),
        until: String::new(),
        limit: 500,
    };
    let reply = store.call(call).await;

    // Assert.
    let Ok(StoreReply::Rows { rows, .. }) = reply else {
        panic!("{reply:?}");
    };
    let read: Vec<(&str, &str)> = rows.iter().map(|r| (&*r.key, &*r.value)).collect();
    assert_eq!(read, [("w2", ""), ("w1", "{}")]);
}

#[parameterized(
    no_state = { "state", None },
    a_state_of_another_writer = { "state", Some(json!("paused")) },
    no_capacity = { "capacity", None },
    capacity_of_another_type = { "capacity", Some(json!("16 cores")) },
    no_address = { "address", None },
    an_invalid_address = { "address", Some(json!("here")) },
    no_service = { "service", None },
    no_labels = { "labels", None },
    labels_of_another_type = { "labels", Some(json!("a")) },
    no_zone = { "zone", None },
)]
fn an_entry_with_a_missing_or_invalid_field_is_not_a_worker(field: &str, value: Option<Value>) {
    // Arrange.
    let mut foreign = entry();
    match value {
        Some(value) => foreign[field] = value,
        None => drop(foreign.as_object_mut().and_then(|map| map.remove(field))),
    }

    // Act.
    let read = PlatformDecoder.worker("w1", &foreign.to_string());

    // Assert.
    assert!(read.is_err(), "{read:?}");
    assert!(PlatformDecoder.worker("w1", &entry().to_string()).is_ok());
}

#[test]
fn a_worker_whose_entry_cannot_be_read_keeps_its_runs_and_gets_no_more() {
    // Arrange: a run on the only worker.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 1_000)]));
    let first = bench.start_all().remove(0);

    // Act: its entry can no longer be parsed, another job is submitted, and later the entry can be
    // parsed again.
    bench.cell.mark_entry_outdated("w0", bench.now);
    bench.accept(&job(8, &q, vec![step(1, 1_000)]));
    let mut meanwhile = 0;
    for _ in 0..10 {
        bench.poll_all();
        bench.pass(500);
        meanwhile += starts(&bench.decide()).len();
    }
    let still_running = bench.running[&first.to.worker].len();
    bench.cell.list_worker(cell_core::worker(0), bench.now);
    let after = starts(&bench.decide()).len();

    // Assert.
    assert_eq!((meanwhile, still_running, after), (0, 1, 1));
}

#[parameterized(
    absent = { None, Some(None) },
    a_whole_number = { Some(json!(1_712_599_593_000_u64)), Some(Some(1_712_599_593_000)) },
    null = { Some(json!(null)), None },
    a_fraction = { Some(json!(1.5)), None },
    negative = { Some(json!(-1)), None },
    a_text = { Some(json!("1712599593000")), None },
)]
fn the_start_of_a_life_is_a_whole_number_or_absent(born: Option<Value>, read: Option<Option<u64>>) {
    // Arrange.
    let mut entry = entry();
    if let Some(born) = born {
        entry["born"] = born;
    }

    // Act.
    let worker = PlatformDecoder.worker("w1", &entry.to_string());

    // Assert.
    assert_eq!(worker.ok().map(|worker| worker.life.born), read);
}
