//! Which connections of callers make room when there are more than the limit.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossweir::http::connections::{Connections, Limits};
use crossweir::http::server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

const LIMITS: Limits = Limits {
    connections: 2,
    body_bytes: 10_000,
};
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
/// How long is waited for what must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A service that holds its answers back until it is told to give them.
#[derive(Clone)]
struct Held {
    asked: watch::Sender<usize>,
    released: watch::Sender<bool>,
}

impl Service<ServerContext, Request> for Held {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, _: Request) -> Result<Response, Infallible> {
        self.asked.send_modify(|asked| *asked += 1);
        let mut released = self.released.subscribe();
        let _ = released.wait_for(|released| *released).await;
        Ok(Response::default())
    }
}

impl Held {
    fn new() -> Self {
        Self {
            asked: watch::Sender::new(0),
            released: watch::Sender::new(false),
        }
    }

    /// Waits until `count` requests have arrived.
    async fn asked(&self, count: usize) {
        let mut asked = self.asked.subscribe();
        let arrived = asked.wait_for(|asked| *asked >= count);
        let arrived = tokio::time::timeout(TIMEOUT, arrived).await;
        assert!(arrived.expect("in time").is_ok());
    }

    fn release(&self) {
        self.released.send_replace(true);
    }
}

async fn serve(service: Held) -> (SocketAddr, Arc<Connections>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::new(LIMITS, |_| ());
    let serving = server::serve_within(listener, service, Arc::clone(&connections));
    tokio::spawn(serving);
    (address, connections)
}

async fn until_full(connections: &Connections) {
    let filling = async {
        while !connections.is_full() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let filled = tokio::time::timeout(TIMEOUT, filling).await;
    filled.expect("a connection waits");
}

async fn ask(at: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    stream.write_all(REQUEST).await.expect("a request is sent");
    stream
}

/// Reads until the other side closes the connection or what was read ends a head.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let reading = async {
        while !read.ends_with(b"\r\n\r\n") && stream.read_buf(&mut read).await.unwrap_or(0) > 0 {}
    };
    let reading = tokio::time::timeout(TIMEOUT, reading).await;
    reading.expect("an answer or an end");
    String::from_utf8(read).expect("text")
}

/// Callers who kept all connections busy kept all others out.
#[tokio::test]
async fn connections_that_are_answered_give_way_when_others_wait() {
    // Arrange: as many requests as connections are being answered, and one more has come.
    let service = Held::new();
    let (at, connections) = serve(service.clone()).await;
    let mut first = ask(at).await;
    let mut second = ask(at).await;
    service.asked(2).await;
    let mut third = ask(at).await;
    until_full(&connections).await;

    // Act.
    service.release();

    // Assert: those that were read get complete answers.
    let answers = [read_head(&mut first).await, read_head(&mut second).await];
    assert!(
        answers
            .iter()
            .all(|answer| answer.starts_with("HTTP/1.1 200"))
    );
    assert!(
        answers
            .iter()
            .any(|answer| answer.contains("connection: close"))
    );
    assert!(read_head(&mut third).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn the_connection_that_has_been_idle_longest_is_closed_for_a_new_one() {
    // Arrange: two idle connections, of which the second was used last.
    let service = Held::new();
    service.release();
    let (at, _) = serve(service.clone()).await;
    let mut first = ask(at).await;
    read_head(&mut first).await;
    let mut second = ask(at).await;
    read_head(&mut second).await;

    // Act.
    let mut third = ask(at).await;

    // Assert.
    assert!(read_head(&mut third).await.starts_with("HTTP/1.1 200"));
    assert_eq!(read_head(&mut first).await, "");
    second.write_all(REQUEST).await.expect("it is open");
    assert!(read_head(&mut second).await.starts_with("HTTP/1.1 200"));
}
