//! An answer of a worker that comes after its time limit is not lost.

mod cell_core;
mod virtual_node;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cell_core::{Bench, job, listed_end, queue, step, worker};
use crossweir::cell::WorkerKey;
use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::order::{
    Addressee, EndKind, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::cell::record::JobRow;
use crossweir::cell::sequence::Sequence;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::JsonDecoder;
use crossweir::embedded::worker::MemoryWorkers;
use crossweir::node::engine::Engine;
use crossweir::node::links::Workers;
use crossweir::platform::workers::PlatformWorkers;
use crossweir::timeout::AnswerTimeout;
use futures::FutureExt;
use futures::future::BoxFuture;
use virtual_node::{VirtualNode, claim, set_up_cell, virtual_node_with_workers};

/// Longer than any time limit of a call, shorter than what is left of a lease then.
const LATENESS: Duration = Duration::from_millis(2_000);

/// Workers whose answers to polls come [`LATENESS`] late while the link is full.
struct LateWorkers {
    inner: MemoryWorkers,
    is_full: Arc<AtomicBool>,
}

impl Workers for LateWorkers {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        self.inner.start(order)
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        self.inner.stop(order)
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        async {
            let answer = self.inner.poll(order).await;
            if self.is_full.load(Ordering::Relaxed) {
                tokio::time::sleep(LATENESS).await;
            }
            answer
        }
        .boxed()
    }
}

/// An owner of one worker, the state of its link, and a job of one task of 300 ms that runs there.
async fn busy_owner() -> (VirtualNode, Arc<Engine>, Arc<AtomicBool>, JobRow) {
    let is_full = Arc::<AtomicBool>::default();
    let shared = Arc::clone(&is_full);
    let workers = move |clock: Arc<dyn Clock>| -> Arc<dyn Workers> {
        Arc::new(LateWorkers {
            inner: MemoryWorkers::new(clock, [String::from("w0")]),
            is_full: shared,
        })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    let q = queue("q", 0);
    set_up_cell(&node, std::slice::from_ref(&q), &[worker(0)]);
    let version = claim(&node.store, "n0", 7, 16);
    let engine = Engine::start(&node.shared, 16, version).await;
    let engine = engine.expect("the cell loads");
    pass(3_000).await;
    let mut row = job(1, &q, vec![step(1, 1_000)]);
    row.spec.text = String::from("300");
    engine.accepted(&row);
    pass(100).await;
    (node, engine, is_full, row)
}

async fn pass(time: Millis) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// Guards against ends that are thrown away: an owner on a full link gave each poll up after its
/// limit, took its workers for silent, and started tasks again that had ended well.
#[tokio::test(start_paused = true)]
async fn an_end_in_an_answer_after_the_time_limit_is_taken_in() {
    // Arrange.
    let (_node, engine, is_full, row) = busy_owner().await;

    // Act: the poll that is open now is answered when the run has ended, and comes late.
    is_full.store(true, Ordering::Relaxed);
    pass(300 + LATENESS.as_millis() as Millis).await;

    // Assert.
    assert_eq!(engine.state(row.id), Some(JobState::Succeeded));
}

/// What the next poll of the worker tells it to forget, if the answer that listed its only end took
/// this long, and the end is recorded.
fn forgotten_after(lateness: Millis) -> u64 {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    let key = bench.worker(0);
    let order = bench.cell.poll_order(key, bench.now).expect("a worker");
    bench.pass(order.wait + lateness);
    let report = PollReport {
        born: None,
        clock: bench.now,
        running: Vec::new(),
        ended: vec![listed_end(
            1,
            &start.task.to_string(),
            start.number,
            EndKind::Done,
        )],
    };
    bench.cell.poll_answered(&order, &report, bench.now);
    bench.record();
    let next = bench.cell.poll_order(key, bench.now);
    next.expect("a worker").forget
}

/// An answer that was given long ago must not count as one that is given now: another life of the
/// worker may have begun since, and would forget ends that nobody has read.
#[test]
fn a_late_answer_does_not_show_that_the_worker_is_still_the_same() {
    assert_eq!(forgotten_after(100), 1);
    assert_eq!(forgotten_after(2_000), 0);
}

/// Starts a server on a thread of its own that answers each request after [`LATENESS`] with the clock
/// of a worker that holds nothing.
fn start_late_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_late(stream));
        }
    });
    address
}

fn answer_late(mut stream: TcpStream) {
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).is_ok_and(|read| read > 0) {
        std::thread::sleep(LATENESS);
        let body = r#"{"clock_ms":7,"running":[],"ended":[]}"#;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let answer = format!("{head}{body}");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn poll_of(address: SocketAddr) -> PollOrder {
    PollOrder {
        to: Addressee {
            worker: WorkerKey::default(),
            life: Life {
                id: String::from("w0"),
                born: None,
            },
            address,
            epoch: 16,
        },
        sequence: Sequence::default(),
        sent: 0,
        forget: 0,
        due: None,
        wait: 0,
    }
}

/// Guards against the same at the link itself: it closed the connection of a poll at its limit, and
/// the answer met a closed connection.
#[tokio::test]
async fn the_link_to_workers_awaits_an_answer_after_the_time_limit() {
    // Arrange.
    let order = poll_of(start_late_server());
    let workers = PlatformWorkers::new(8, Arc::default());

    // Act.
    let answer = Workers::poll(&workers, &order).await;

    // Assert.
    assert!(workers.answer_timeout() < LATENESS, "it counts as silent");
    assert_eq!(answer.map(|report| report.clock), Ok(7));
}

/// The limit of 250 ms to 1 s that the tests below use.
fn limit() -> AnswerTimeout {
    AnswerTimeout::new(Duration::from_millis(250), Duration::from_secs(1))
}

#[test]
fn the_time_limit_follows_how_long_answers_take_within_its_bounds() {
    // Arrange.
    let limit = limit();
    let first = limit.limit();

    // Act.
    for _ in 0..200 {
        limit.note_answer(Duration::from_millis(400));
    }
    let slow = limit.limit();
    for _ in 0..200 {
        limit.note_answer(Duration::from_millis(2));
    }

    // Assert.
    let least = Duration::from_millis(250);
    assert_eq!(first, least);
    assert!(slow > Duration::from_millis(400), "{slow:?}");
    assert_eq!(limit.limit(), least);
}

#[test]
fn calls_to_some_hosts_that_are_lost_do_not_lengthen_the_limit_for_all() {
    // Arrange.
    let limit = limit();

    // Act: each third call is not answered.
    for _ in 0..200 {
        limit.note_answer(Duration::from_millis(2));
        limit.note_answer(Duration::from_millis(2));
        limit.note_late();
    }
    let some_lost = limit.limit();
    for _ in 0..200 {
        limit.note_late();
    }

    // Assert.
    assert_eq!(some_lost, Duration::from_millis(250));
    assert_eq!(limit.limit(), Duration::from_secs(1), "most are lost");
}
