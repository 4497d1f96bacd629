//! Limits on the connections of the HTTP client when many calls are made at once.
//!
//! Without them an owner of 1,100 workers had 6,800 of the 8,192 descriptors open that its process
//! may have, and an owner without free descriptors could not stop the runs of cancelled jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crossweir::http::client::{CallError, HttpClient, Limits};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use volo_http::http::Method;

/// A timeout that no call in these tests should reach.
const TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A worker that counts its connections and answers each request after a delay.
struct Worker {
    address: SocketAddr,
    /// The highest number of connections that were open at the same time.
    max_open: Arc<AtomicUsize>,
}

impl Worker {
    async fn start(delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (open, max_open) = (Arc::new(AtomicUsize::new(0)), Arc::<AtomicUsize>::default());
        let seen = Arc::clone(&max_open);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let now = open.fetch_add(1, Ordering::SeqCst) + 1;
                seen.fetch_max(now, Ordering::SeqCst);
                let open = Arc::clone(&open);
                tokio::spawn(async move {
                    serve(stream, delay).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, max_open }
    }

    fn max_open(&self) -> usize {
        self.max_open.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, delay: Duration) {
    let mut buf = [0; 1_024];
    while let Ok(read) = stream.read(&mut buf).await {
        if read == 0 {
            return;
        }
        tokio::time::sleep(delay).await;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn call(client: &HttpClient, to: SocketAddr, timeout: Duration) -> Result<(), CallError> {
    let url = format!("http://{to}/");
    let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), timeout);
    answer.await.map(drop)
}

fn client(per_host: usize, total: usize) -> HttpClient {
    HttpClient::with_limits(Limits { per_host, total })
}

#[tokio::test]
async fn a_burst_of_orders_to_one_worker_takes_few_connections() {
    // Arrange.
    let worker = Worker::start(Duration::from_millis(2)).await;
    let client = client(3, 100);

    // Act.
    let calls = (0..40).map(|_| call(&client, worker.address, TIMEOUT));
    let answers = join_all(calls).await;

    // Assert.
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    assert_eq!((worker.max_open(), client.connection_count()), (3, 3));
}

#[tokio::test]
async fn the_total_of_connections_is_bounded_and_every_call_is_made() {
    // Arrange.
    let mut workers = Vec::new();
    for _ in 0..20 {
        workers.push(Worker::start(Duration::from_millis(2)).await);
    }
    let client = client(3, 8);

    // Act.
    let calls = (0..100).map(|number| call(&client, workers[number % 20].address, TIMEOUT));
    let answers = join_all(calls).await;

    // Assert.
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    assert!(
        client.connection_count() <= 8,
        "{}",
        client.connection_count()
    );
}

#[tokio::test]
async fn a_call_that_gets_no_call_slot_in_time_fails_as_busy() {
    // Arrange: the only connection is in use by a call whose answer takes 5 s.
    let worker = Worker::start(Duration::from_secs(5)).await;
    let client = client(1, 100);
    let first = client.clone();
    let address = worker.address;
    let waiting = tokio::spawn(async move { call(&first, address, TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(100)).await;

    // Act.
    let answer = call(&client, address, Duration::from_millis(50)).await;

    // Assert.
    assert_eq!(answer, Err(CallError::Busy));
    waiting.abort();
}

#[tokio::test]
async fn a_timed_out_call_releases_its_call_slot_and_connection_permit() {
    // Arrange.
    let worker = Worker::start(Duration::from_millis(300)).await;
    let client = client(1, 1);

    // Act.
    let timed_out = call(&client, worker.address, Duration::from_millis(50)).await;
    let next = call(&client, worker.address, TIMEOUT).await;

    // Assert.
    assert_eq!((timed_out, next), (Err(CallError::Unanswered), Ok(())));
}
