//! How many connections a client has when many calls come at once: an owner of 1,100 workers
//! had 6,800 of the 8,192 descriptors that its process may open, and one whose descriptors
//! were used up could not stop what had been cancelled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crossweir::http::client::{CallError, HttpClient, Limits};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use volo_http::http::Method;

const LIMIT: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A worker that counts its connections and takes some time for each answer.
struct Worker {
    address: SocketAddr,
    most: Arc<AtomicUsize>,
}

impl Worker {
    async fn start(takes: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (open, most) = (Arc::new(AtomicUsize::new(0)), Arc::<AtomicUsize>::default());
        let seen = Arc::clone(&most);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let now = open.fetch_add(1, Ordering::SeqCst) + 1;
                seen.fetch_max(now, Ordering::SeqCst);
                let open = Arc::clone(&open);
                tokio::spawn(async move {
                    serve(stream, takes).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, most }
    }

    fn most(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, takes: Duration) {
    let mut buf = [0; 1_024];
    while let Ok(read) = stream.read(&mut buf).await {
        if read == 0 {
            return;
        }
        tokio::time::sleep(takes).await;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn call(client: &HttpClient, to: SocketAddr, limit: Duration) -> Result<(), CallError> {
    let url = format!("http://{to}/");
    let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), limit);
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
    let calls = (0..40).map(|_| call(&client, worker.address, LIMIT));
    let answers = join_all(calls).await;

    // Assert.
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    assert_eq!((worker.most(), client.connection_count()), (3, 3));
}

#[tokio::test]
async fn all_connections_together_are_bounded_and_every_call_gets_its_turn() {
    // Arrange.
    let mut workers = Vec::new();
    for _ in 0..20 {
        workers.push(Worker::start(Duration::from_millis(2)).await);
    }
    let client = client(3, 8);

    // Act.
    let calls = (0..100).map(|number| call(&client, workers[number % 20].address, LIMIT));
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
async fn a_call_that_does_not_get_its_turn_in_time_was_not_sent() {
    // Arrange: the only connection waits for an answer for long.
    let worker = Worker::start(Duration::from_secs(5)).await;
    let client = client(1, 100);
    let first = client.clone();
    let address = worker.address;
    let waiting = tokio::spawn(async move { call(&first, address, LIMIT).await });
    tokio::time::sleep(Duration::from_millis(100)).await;

    // Act.
    let answer = call(&client, address, Duration::from_millis(50)).await;

    // Assert.
    assert_eq!(answer, Err(CallError::Busy));
    waiting.abort();
}

#[tokio::test]
async fn a_call_that_is_given_up_gives_its_turn_and_its_room_back() {
    // Arrange.
    let worker = Worker::start(Duration::from_millis(300)).await;
    let client = client(1, 1);

    // Act.
    let given_up = call(&client, worker.address, Duration::from_millis(50)).await;
    let next = call(&client, worker.address, LIMIT).await;

    // Assert.
    assert_eq!((given_up, next), (Err(CallError::Unanswered), Ok(())));
}
