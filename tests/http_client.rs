//! The client tells a call that was not sent from one that may have been.

use std::time::Duration;

use crossweir::http::client::{CallError, HttpClient};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
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
