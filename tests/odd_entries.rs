//! One odd entry of another writer must neither end the process that reads the list nor keep it from
//! following the others ("When something is away" in `docs/DESIGN.md`).

mod cell_core;
mod split_cell;
mod virtual_node;

use cell_core::{Bench, job, listed_end, listed_run, queue, step, stops, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::options::Options;
use crossweir::cell::order::{EndKind, PollReport, RunningEntry, StartOrder};
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::Millis;
use crossweir::node::front::JobAnswer;
use crossweir::node::links::Decoder;
use crossweir::node::shared::CELL_PARTITION;
use crossweir::platform::decode::PlatformDecoder;
use crossweir::store::{RowKey, Table, Transaction};
use serde_json::{Value, json};
use split_cell::{NODES, SplitCell, WORKERS, pass};

/// The id of the worker with the odd entry.
const ODD: &str = "odd";
/// Deeper than any parser can follow by recursion.
const DEPTH: usize = 100_000;

fn nested() -> String {
    ["[", "]"].map(|bracket| bracket.repeat(DEPTH)).concat()
}

fn long_number() -> String {
    "9".repeat(400)
}

/// An entry as the platform's workers write it, whose field `name` has this text as its value.
fn entry_with(name: &str, value: &str) -> String {
    let entry = json!({
        "service": "svc", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 8,
        "state": "draining", "cold_left_ms": 0, "machine": "m", "remaining_ms": 4_000,
        "capacity": {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}, "labels": ["a", "r1-3"], "seq": 4,
        "born": 1_712_599_593_000_u64,
    });
    let fields = entry.as_object().expect("an object").iter();
    let other = fields.filter(|(field, _)| *field != name);
    let other = other.map(|(field, value)| format!("{}:{value}", json!(field)));
    let all: Vec<String> = other.chain([format!("{}:{value}", json!(name))]).collect();
    format!("{{{}}}", all.join(","))
}

/// Values that a field may have by mistake or by malice.
fn odd_values() -> Vec<String> {
    let texts = [
        "",
        "x",
        "10.0.0.9",
        "10.0.0.9:0",
        "10.0.0.9:-1",
        "10.0.0.9:65536",
        "10.0.0.9:99999",
        "[::1",
        "10.0.0.9:8080/path",
        "\u{0}",
    ];
    let long = [format!("10.0.0.9:{}", "8".repeat(300)), "a".repeat(5_000)];
    let texts = texts.iter().map(|text| (*text).to_owned()).chain(long);
    let mut values: Vec<String> = texts.map(|text| Value::from(text).to_string()).collect();
    let plain = [
        "0",
        "-1",
        "1e400",
        "1e19",
        "0.5",
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775807",
        "null",
        "true",
        "{}",
        "[]",
    ];
    values.extend(plain.map(str::to_owned));
    values.extend([long_number(), nested()]);
    values
}

/// The fields of a capacity, with each odd value, beside those of an entry.
fn odd_entries() -> Vec<String> {
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_left_ms",
        "machine",
        "remaining_ms",
        "capacity",
        "labels",
        "seq",
        "born",
        "unknown",
    ];
    let mut entries = Vec::new();
    for value in odd_values() {
        entries.extend(fields.iter().map(|field| entry_with(field, &value)));
        for field in ["cpu", "mem_mb", "gpu"] {
            let capacity = format!("{{\"cpu\":1000,\"{field}\":{value}}}");
            let entry = entry_with("capacity", &capacity);
            entries.push(entry.replace("\"draining\"", "\"ready\""));
            entries.push(entry);
        }
    }
    entries.extend([
        nested(),
        String::new(),
        String::from("\u{0}"),
        long_number(),
    ]);
    entries
}

/// Applies an entry as the owner does.
fn apply(bench: &mut Bench, entry: &str) -> bool {
    let worker = PlatformDecoder.worker(ODD, entry);
    let is_read = worker.is_ok();
    match worker {
        Ok(worker) => bench.cell.list_worker(worker, bench.now),
        Err(_) => bench.cell.mark_entry_outdated(ODD, bench.now),
    }
    is_read
}

fn all_options() -> Options {
    Options {
        worker_speed: true,
        shares: true,
        advice_planning: true,
        reject_after: Some(3),
        reject_late: false,
    }
}

/// A number that is too large, a port out of range or a value nested too deeply must leave the other
/// workers in use.
#[test]
fn an_odd_entry_does_not_keep_other_workers_from_being_used() {
    let mut read = 0;
    for (number, entry) in odd_entries().iter().enumerate() {
        // Arrange.
        let q = queue("q", 0);
        let mut bench = Bench::new(2, std::slice::from_ref(&q));
        bench.cell.set_options(all_options());

        // Act: the entry comes, work is done, and the entry changes all the time.
        read += usize::from(apply(&mut bench, entry));
        for id in 1..=3 {
            bench.accept(&job(id, &q, vec![step(2, 1_000)]));
            for _ in 0..3 {
                bench.know_workers();
                bench.poll_all();
                bench.know_workers();
                let started = bench.start_all();
                bench.pass(1_500);
                for start in started {
                    bench.end(start.task, start.number, EndKind::Done);
                }
                bench.know_workers();
                bench.poll_all();
                cell_core::tick(&mut bench.cell, bench.now);
                bench.record();
                bench.cell.expected_waits(bench.now);
                bench.cell.room();
                apply(&mut bench, entry);
            }
        }

        // Assert.
        let states: Vec<_> = (1..=3).map(|id| bench.state(id)).collect();
        let short = &entry[..entry.len().min(300)];
        assert_eq!(
            states,
            [Some(JobState::Succeeded); 3],
            "entry {number}: {short}"
        );
    }
    assert!(read > 50, "{read} of the entries can be read");
}

/// A worker whose notice is too long for a sum must not have its runs stopped as if it left at once.
#[test]
fn a_worker_that_leaves_after_the_longest_time_keeps_its_runs() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 1_000)]));
    assert_eq!(bench.start_all().len(), 1);
    bench.poll_all();

    // Act.
    let leaving = WorkerEntry {
        leaving: Some(Millis::MAX),
        ..worker(0)
    };
    bench.cell.list_worker(leaving, bench.now);
    bench.pass(100);
    let stopped = stops(&bench.decide());

    // Assert.
    assert!(stopped.is_empty(), "{stopped:?}");
}

/// Numbers that are too large in a worker's own answers must not end the owner.
#[yare::parameterized(
    clock = { u64::MAX, 5, 50, 1 },
    clock_that_leaves_no_room_for_a_lease = { u64::MAX - 1_000, 5, 50, 1 },
    run = { 5_000, u64::MAX, 50, 1 },
    percent = { 5_000, 5, u32::MAX, 1 },
    end = { 5_000, 5, 50, u64::MAX },
    all = { u64::MAX, u64::MAX, u32::MAX, u64::MAX },
)]
fn odd_numbers_in_an_answer_do_not_end_the_owner(
    clock: Millis,
    run: u64,
    percent: u32,
    end_number: u64,
) {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::new(3, std::slice::from_ref(&q));
    bench.cell.set_options(all_options());
    bench.accept(&job(7, &q, vec![step(4, 1_000)]));
    let started = bench.start_all();
    let odd = bench.worker(2);
    let report = PollReport {
        born: Some(clock),
        clock,
        running: vec![RunningEntry {
            percent,
            ..listed_run("0000000000000007.0.0.1", run)
        }],
        ended: vec![listed_end(
            end_number,
            "0000000000000007.0.0.2",
            run,
            EndKind::Failed,
        )],
    };

    // Act.
    bench.poll_with_report(odd, &report);
    for _ in 0..10 {
        bench.know_workers();
        bench.poll_all();
        bench.pass(700);
        bench.start_all();
        bench.record();
    }
    for start in started {
        bench.end(start.task, start.number, EndKind::Done);
    }
    bench.accept(&job(8, &q, vec![step(1, 1_000)]));
    let next: Vec<_> = (0..10)
        .flat_map(|_| {
            bench.know_workers();
            bench.poll_all();
            bench.pass(500);
            bench.start_all()
        })
        .collect();

    // Assert.
    let is_next = |start: &StartOrder| start.task.step.job.0 == 8;
    assert!(next.iter().any(is_next), "the owner still starts tasks");
}

/// Odd rows of any writer must not end a node, nor keep it from reading on, taking over and using a
/// new worker.
#[tokio::test(start_paused = true)]
async fn nodes_go_on_beside_odd_rows_in_every_table() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let mut tx = Transaction::default();
    let mut values = odd_values();
    values.extend(odd_entries().into_iter().step_by(7));
    let places = [
        (Table::Workers, "", ""),
        (Table::Nodes, "nodes", ""),
        (Table::Operator, "", "evacuate/"),
        (Table::Cells, CELL_PARTITION, "policy"),
        (Table::Cells, CELL_PARTITION, "workers-"),
        (Table::Jobs, "j0", ""),
        (Table::Progress, CELL_PARTITION, ""),
    ];
    for (number, value) in values.iter().enumerate() {
        for (table, partition, prefix) in places {
            let key = RowKey::new(table, partition, &format!("{prefix}{number:016x}"));
            tx.puts.push((key, value.clone()));
        }
    }

    // Act: they come while the cell works, and a successor loads them.
    cell.world.commit(&tx);
    pass(5_000).await;
    let owner = cell.owners()[0];
    cell.kill(owner);
    pass(20_000).await;
    cell.lose_worker(0);
    pass(5_000).await;
    let node = (0..NODES).find(|&node| node != owner).expect("a node");
    let id = cell
        .submit(node, u32::from(WORKERS - 1), 500)
        .await
        .expect("a job");
    pass(10_000).await;

    // Assert.
    assert_eq!(cell.done_tasks(id), usize::from(WORKERS - 1));
    let told = cell.ask(node, id).expect("a node").await;
    assert_eq!(told, JobAnswer::State(JobState::Succeeded));
    cell.end();
}
