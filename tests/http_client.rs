//! The HTTP client: its errors say whether a request may have been sent, and answers that arrived
//! while the process was stalled are not lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossweir::http::client::{CallError, HttpClient, Limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use volo_http::http::Method;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn call(address: SocketAddr) -> Result<(), CallError> {
    let url = format!("http://{address}/");
    let answer = HttpClient::new()
        .call(Method::POST, &url, &[], b"body".to_vec(), TIMEOUT)
        .await;
    answer.map(|_| ())
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    // Arrange: a port on which nothing listens any more.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);

    // Act, assert.
    assert_eq!(call(address).await, Err(CallError::NotSent));
}

#[tokio::test]
async fn a_call_whose_connection_closes_after_the_request_is_reported_as_unanswered() {
    // Arrange.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut buf = [0; 64];
        let read = stream.read(&mut buf).await.expect("a request");
        assert!(read > 0);
    };

    // Act.
    let (answer, ()) = futures::future::join(call(address), server).await;

    // Assert.
    assert_eq!(answer, Err(CallError::Unanswered));
}

/// The counters of a server, and the switch that lets it answer.
#[derive(Default)]
struct Gate {
    received: AtomicUsize,
    open: AtomicBool,
    answered: AtomicUsize,
}

/// Listens with a queue that holds all calls.  On a busy machine they come faster than the server
/// accepts them, and the kernel closes a connection of ours for which there is no place.
fn listen_for_all_calls() -> std::net::TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    let listener = socket.listen(2 * CALLS as u32).expect("a listener");
    listener.into_std().expect("a listener")
}

/// Starts a server on a thread of its own, which answers once its gate is open.
fn start_gated_server() -> (SocketAddr, Arc<Gate>) {
    let gate = Arc::<Gate>::default();
    let listener = listen_for_all_calls();
    let address = listener.local_addr().expect("an address");
    let seen = Arc::clone(&gate);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_all(stream, Arc::clone(&seen)));
            }
        });
    });
    (address, gate)
}

async fn answer_all(mut stream: TcpStream, gate: Arc<Gate>) {
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
        gate.received.fetch_add(1, Ordering::SeqCst);
        while !gate.open.load(Ordering::SeqCst) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).await.is_err() {
            return;
        }
        gate.answered.fetch_add(1, Ordering::SeqCst);
    }
}

/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The number of calls: more than the 1,024 socket events that the runtime processes at a time.
const CALLS: usize = 1_500;

/// Calls that have all reached a server which does not answer yet.
struct PendingCalls {
    gate: Arc<Gate>,
    timeout: Duration,
    began: Instant,
    calls: Vec<JoinHandle<Result<(), CallError>>>,
}

/// Sends the calls with this timeout.  Returns none if one of them timed out before all had
/// reached the server, as happens on a busy machine.
async fn send_calls(timeout: Duration) -> Option<PendingCalls> {
    let (address, gate) = start_gated_server();
    let client = HttpClient::with_limits(Limits {
        per_host: CALLS,
        total: CALLS,
    });
    let url = format!("http://{address}/");
    let began = Instant::now();
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let (client, url) = (client.clone(), url.clone());
            tokio::spawn(async move {
                let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), timeout);
                answer.await.map(drop)
            })
        })
        .collect();
    while gate.received.load(Ordering::SeqCst) < CALLS {
        if began.elapsed() >= timeout || calls.iter().any(JoinHandle::is_finished) {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Some(PendingCalls {
        gate,
        timeout,
        began,
        calls,
    })
}

/// Guards against calls that time out although their answers wait in the sockets: after a stall the
/// runtime handles all expired timers, but only some of the ready sockets.
#[tokio::test]
async fn answers_that_arrived_during_a_stall_of_the_process_are_not_lost() {
    // Arrange: all calls have reached a server that does not answer yet.  The timeout is doubled
    // until that succeeds.
    let mut timeout = Duration::from_secs(6);
    let pending = loop {
        if let Some(pending) = send_calls(timeout).await {
            break pending;
        }
        timeout *= 2;
        assert!(
            timeout < Duration::from_secs(100),
            "the calls do not reach the server"
        );
    };
    let PendingCalls { gate, began, .. } = &pending;

    // Act: the runtime is stalled until all answers have arrived and all calls are overdue.
    gate.open.store(true, Ordering::SeqCst);
    while gate.answered.load(Ordering::SeqCst) < CALLS {
        std::thread::sleep(POLL_INTERVAL);
    }
    let overdue = pending.timeout + Duration::from_secs(1);
    std::thread::sleep(overdue.saturating_sub(began.elapsed()));

    // Assert.
    let mut lost = 0;
    for call in pending.calls {
        lost += usize::from(call.await.expect("it ran").is_err());
    }
    assert_eq!(lost, 0, "of {CALLS} answers that had arrived");
}

#[tokio::test]
async fn a_call_that_is_never_answered_times_out() {
    // Arrange.
    let (address, _gate) = start_gated_server();
    let client = HttpClient::new();
    let url = format!("http://{address}/");
    let timeout = Duration::from_millis(100);

    // Act.
    let began = Instant::now();
    let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), timeout);
    let answer = answer.await.map(drop);

    // Assert: the server never answers.
    assert_eq!(answer, Err(CallError::Unanswered));
    assert!(began.elapsed() < Duration::from_secs(10));
}

/// The parts of the body that [`answer_in_parts`] sends, and the pause between them.
const PARTS: usize = 8;
const PART_PAUSE: Duration = Duration::from_millis(100);

/// Answers one request with a body of [`PARTS`] bytes, one at a time.  Sends only `sent` of them
/// and goes silent then.
async fn answer_in_parts(listener: TcpListener, sent: usize) {
    let (mut stream, _) = listener.accept().await.expect("a caller");
    let mut buf = [0; 256];
    let read = stream.read(&mut buf).await.expect("a request");
    assert!(read > 0);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the head");
    for _ in 0..sent {
        tokio::time::sleep(PART_PAUSE).await;
        stream.write_all(b"x").await.expect("a part");
    }
    std::future::pending::<()>().await;
}

/// Reads from such a server with limits that are shorter than the whole answer takes.
async fn read_in_parts(sent: usize) -> Result<usize, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(answer_in_parts(listener, sent));
    let limit = PART_PAUSE * 4;
    let answer = HttpClient::new()
        .get(&format!("http://{address}/"), limit, limit)
        .await;
    server.abort();
    answer.map(|answer| answer.body.len())
}

// Guards against a time limit for the whole of a large answer, which a slow link never meets.
#[tokio::test]
async fn an_answer_that_keeps_arriving_is_read_to_its_end() {
    assert_eq!(read_in_parts(PARTS).await, Ok(PARTS));
}

// Guards against waiting for the rest of an answer on a connection that has gone silent.
#[tokio::test]
async fn an_answer_that_stops_arriving_is_given_up() {
    assert_eq!(read_in_parts(PARTS / 2).await, Err(CallError::Unanswered));
}
