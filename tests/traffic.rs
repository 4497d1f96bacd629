//! The counters of bytes and connections.

use std::sync::Arc;
use std::time::Duration;

use crossweir::http::client::{HttpClient, Limits};
use crossweir::traffic::{Party, Traffic, Volume};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use volo_http::http::Method;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Serves `calls` calls on each connection; returns the address.
async fn serve(calls: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                for _ in 0..calls {
                    let read = stream.read(&mut buf).await.unwrap_or_default();
                    if read == 0 || stream.write_all(ANSWER).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    format!("http://{address}/")
}

async fn call(client: &HttpClient, url: &str, body: &[u8]) {
    let timeout = Duration::from_secs(5);
    let answer = client.call(Method::POST, url, &[], body.to_vec(), timeout);
    assert_eq!(answer.await.unwrap().body, b"ok");
}

#[tokio::test]
async fn calls_count_the_bytes_of_both_directions_and_one_connection() {
    // Arrange.
    let url = serve(2).await;
    let traffic = Traffic::default();
    let counter = Arc::clone(traffic.counter(Party::Workers));
    let client = HttpClient::counted(Limits::default(), counter);

    // Act.
    call(&client, &url, &[b'x'; 1_000]).await;
    let first = traffic.counter(Party::Workers).volume();
    call(&client, &url, &[b'x'; 1_000]).await;

    // Assert.
    let second = traffic.counter(Party::Workers).volume().since(first);
    assert_eq!(first.connections, 1);
    assert_eq!(second.connections, 0, "the connection is used again");
    assert_eq!(second.received, ANSWER.len() as u64);
    assert!(
        second.sent > 1_000,
        "the head counts as well as the body: {}",
        second.sent
    );
    assert_eq!(
        traffic.counter(Party::Nodes).volume(),
        Volume::default(),
        "nothing was exchanged with nodes"
    );
}
