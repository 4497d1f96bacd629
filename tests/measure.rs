//! Measurements on a cell of real processes; run by hand, never by CI:
//!
//!     cargo test --release --test measure -- --ignored --nocapture --test-threads 1
//!
//! Each prints JSON lines.  `docs/CAPACITY.md` holds the figures and their fit.

mod common;

use std::time::{Duration, Instant};

use common::{Cell, Size};
use hdrhistogram::Histogram;
use serde_json::json;
use volo_http::http::Method;

const CALLS: usize = 2_000;
const IN_PARALLEL: usize = 32;
const BURST: Duration = Duration::from_secs(5);
const WATCH: Duration = Duration::from_secs(15);
const KILLS: usize = 10;

/// The settings that hold unless others are given.
const DEFAULTS: &str = "[leases]\n";

#[tokio::test]
#[ignore = "a measurement, run by hand"]
async fn added_latency_and_rate_of_the_path() {
    let cell = Cell::start_with(
        &Size {
            halls: "north",
            workers: 8,
            targets: 20,
            instances: 3,
        },
        DEFAULTS,
    )
    .await;
    let direct = format!("http://{}/targets/north-t0/run", cell.standin.address);
    let mut histograms = [(); 3].map(|()| Histogram::<u64>::new(3).expect("digits"));
    for _ in 0..CALLS {
        let start = Instant::now();
        cell.http
            .call(
                Method::POST,
                &direct,
                &[],
                b"x".to_vec(),
                Duration::from_secs(2),
            )
            .await
            .expect("answer");
        histograms[0]
            .record(start.elapsed().as_micros() as u64)
            .expect("in range");
    }
    for index in 0..3 {
        for _ in 0..CALLS {
            let start = Instant::now();
            let answer = cell.request(index, &[], "x").await;
            let own = answer.headers["x-via"] == format!("e{index}").as_str();
            let histogram = &mut histograms[if own { 1 } else { 2 }];
            histogram
                .record(start.elapsed().as_micros() as u64)
                .expect("in range");
        }
    }
    for (way, histogram) in ["direct", "own", "handed_over"].iter().zip(&histograms) {
        let (p50, p99) = (
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
        );
        println!(
            "{}",
            json!({ "way": way, "calls": histogram.len(), "p50_us": p50, "p99_us": p99 })
        );
    }
    let start = Instant::now();
    let callers = (0..IN_PARALLEL).map(|_| async {
        let mut calls = 0;
        while start.elapsed() < BURST {
            assert_eq!(cell.request(0, &[], "x").await.status, 200);
            calls += 1;
        }
        calls
    });
    let calls: u64 = futures::future::join_all(callers).await.into_iter().sum();
    println!(
        "{}",
        json!({ "requests_per_second": calls as f64 / start.elapsed().as_secs_f64(), "in_parallel": IN_PARALLEL })
    );
}

#[tokio::test]
#[ignore = "a measurement, run by hand"]
async fn idle_cost_by_number_of_workers() {
    for workers in [25, 138, 275] {
        let size = Size {
            halls: "a,b,c,d",
            workers,
            targets: 10,
            instances: 7,
        };
        let settings = "[leases]\n";
        let cell = Cell::start_plain(&size, settings).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        watch(&cell, 4 * workers, 0).await;
        if workers == 275 {
            for n in 0..43 {
                let answer = cell
                    .submit(
                        n % 7,
                        &common::job(&format!("s{n}"), "service", 100, 1_000, 0),
                    )
                    .await;
                assert_eq!(answer.status, 201);
            }
            for n in 0..43 {
                cell.job_reaches(0, &format!("test.s{n}"), "running", 100)
                    .await;
            }
            watch(&cell, 4 * workers, 4_300).await;
        }
    }
}

/// Watches a cell that is left alone, and prints what it costs.
async fn watch(cell: &Cell, workers: usize, tasks: usize) {
    let (cpu, bytes, report) = (cpu_ms(cell), loopback_bytes(), cell.report().await);
    tokio::time::sleep(WATCH).await;
    let (cpu, bytes) = (cpu_ms(cell) - cpu, loopback_bytes() - bytes);
    let after = cell.report().await;
    let per = |value: u64| value as f64 / WATCH.as_secs_f64() / 7.0;
    let calls = |name: &str| after[name].as_u64().unwrap_or(0) - report[name].as_u64().unwrap_or(0);
    println!(
        "{}",
        json!({
            "workers": workers,
            "tasks": tasks,
            "rss_kib": memory_kib(cell),
            "core_percent_each": per(cpu) / 10.0,
            "bytes_per_second_each": per(bytes),
            "store_writes_per_second": calls("writes") as f64 / WATCH.as_secs_f64(),
            "store_reads_per_second": calls("reads") as f64 / WATCH.as_secs_f64(),
        })
    );
}

#[tokio::test]
#[ignore = "a measurement, run by hand"]
async fn time_until_a_killed_owners_shards_take_work_again() {
    let size = Size {
        halls: "a,b,c",
        workers: 16,
        targets: 4,
        instances: 7,
    };
    let mut cell = Cell::start_plain(&size, DEFAULTS).await;
    let mut times = Vec::new();
    let mut writes = Vec::new();
    for round in 0..KILLS {
        let victim = round % 7;
        let before = cell.report().await["writes"].as_u64().unwrap_or(0);
        cell.instances[victim] = None;
        let start = Instant::now();
        cell.settled(6).await;
        times.push(start.elapsed().as_millis() as u64);
        writes.push(cell.report().await["writes"].as_u64().unwrap_or(0) - before);
        let started = cell.start_instance(victim, ["a", "b", "c"][victim % 3]);
        cell.instances[victim] = Some(started);
        cell.settled(7).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    times.sort_unstable();
    println!(
        "{}",
        json!({ "takeover_ms": times, "store_writes": writes })
    );
}

#[tokio::test]
#[ignore = "a measurement, run by hand"]
async fn time_until_a_configuration_is_in_force_on_the_last_instance() {
    let size = Size {
        halls: "a,b,c",
        workers: 8,
        targets: 2,
        instances: 7,
    };
    let cell = Cell::start_plain(&size, DEFAULTS).await;
    let token = [("x-operator-token", common::TOKEN)];
    let mut times = Vec::new();
    for version in 0..20_u64 {
        let body = json!({ "expected": version, "bundle": { "default_quota": 0.5 } }).to_string();
        let start = Instant::now();
        let answer = cell
            .call(
                version as usize % 7,
                Method::PUT,
                "/v1/operator/configuration",
                &token,
                &body,
            )
            .await;
        assert_eq!(answer.status, 200);
        cell.until("in force everywhere", |status| {
            status.instances.len() == 7
                && status
                    .instances
                    .iter()
                    .all(|i| i.configuration == version + 1)
        })
        .await;
        times.push(start.elapsed().as_millis() as u64);
    }
    times.sort_unstable();
    println!("{}", json!({ "in_force_ms": times }));
}

/// Processor time of all instances, in milliseconds; a tick is 10 ms.
fn cpu_ms(cell: &Cell) -> u64 {
    let of = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |at: usize| {
            fields
                .get(at)
                .and_then(|field| field.parse::<u64>().ok())
                .unwrap_or(0)
        };
        10 * (ticks(11) + ticks(12))
    };
    cell.instances
        .iter()
        .flatten()
        .map(|process| of(process.child.id()))
        .sum()
}

/// Bytes that have crossed loopback; each is counted once.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or("");
    line.split_whitespace()
        .nth(1)
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or(0)
}

/// Resident memory of each instance, in KiB.
fn memory_kib(cell: &Cell) -> Vec<u64> {
    let of = |pid: u32| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or("")
            .to_owned();
        line.split_whitespace()
            .nth(1)
            .and_then(|kib| kib.parse().ok())
            .unwrap_or(0)
    };
    cell.instances
        .iter()
        .flatten()
        .map(|process| of(process.child.id()))
        .collect()
}
