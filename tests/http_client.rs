//! The client tells a call that was not sent from one that may have been.

use std::net::SocketAddr;
use std::time::Duration;

use crossweir::http::client::{CallError, HttpClient, Limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use volo_http::http::Method;

const LIMIT: Duration = Duration::from_secs(5);

async fn call(address: std::net::SocketAddr) -> Result<(), CallError> {
    let url = format!("http://{address}/");
    let answer = HttpClient::new()
        .call(Method::POST, &url, &[], b"body".to_vec(), LIMIT)
        .await;
    answer.map(|_| ())
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    // Arrange: a port that was free a moment ago.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);

    // Act, assert.
    assert_eq!(call(address).await, Err(CallError::NotSent));
}

#[tokio::test]
async fn a_connection_that_closes_after_the_request_leaves_it_open_whether_it_ran() {
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

/// A server with a thread of its own, which answers each request after some time.
fn server_beside(takes: Duration) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_all(stream, takes));
            }
        });
    });
    address
}

async fn answer_all(mut stream: TcpStream, takes: Duration) {
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
        tokio::time::sleep(takes).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

/// More calls than events of sockets that the runtime takes in at a time.
const CALLS: usize = 1_500;

#[tokio::test]
async fn answers_that_came_while_the_process_stood_still_count() {
    // Arrange: many calls are on their way, each of which may take 1.5 s.
    let address = server_beside(Duration::from_millis(1_000));
    let client = HttpClient::with_limits(Limits {
        per_host: CALLS,
        total: CALLS,
    });
    let url = format!("http://{address}/");
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let (client, url) = (client.clone(), url.clone());
            let limit = Duration::from_millis(1_500);
            tokio::spawn(async move {
                let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), limit);
                answer.await.map(drop)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;

    // Act: the process stands still until all answers have come and all calls are overdue.
    std::thread::sleep(Duration::from_millis(2_000));

    // Assert.
    let mut lost = 0;
    for call in calls {
        lost += usize::from(call.await.expect("it ran").is_err());
    }
    assert_eq!(lost, 0, "of {CALLS} answers that were there");
}

#[tokio::test]
async fn a_call_without_an_answer_ends_in_time_though_others_stood_still() {
    // Arrange.
    let address = server_beside(Duration::from_secs(30));
    let client = HttpClient::new();
    let url = format!("http://{address}/");
    let limit = Duration::from_millis(100);

    // Act.
    let began = std::time::Instant::now();
    let answer = client.call(Method::POST, &url, &[], b"x".to_vec(), limit);
    let answer = answer.await.map(drop);

    // Assert: far less than the answer would take.
    assert_eq!(answer, Err(CallError::Unanswered));
    assert!(began.elapsed() < Duration::from_secs(10));
}
