//! Connections that go silent for good, without a reset, while new connections work.
//!
//! Only a timeout of the node reveals such a connection.  The tests check that no more than one
//! call is lost to it, that its descriptor is released, and that the kernel probes connections on
//! which nobody waits for an answer.  docs/DESIGN.md, "Connections that go silent", tells what else
//! relies on this.

mod cell_core;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cell_core::job_request;
use crossweir::cell::job::JobState;
use crossweir::http::client::{CallError, FullResponse, HttpClient};
use crossweir::http::server;
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{self, NodeCall, NodeLink, NodeReply, NodeService, RpcNodeLink};
use futures::FutureExt;
use futures::future::{BoxFuture, join_all};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{self, LocalSet};
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::http::Method;
use volo_http::request::Request;
use volo_http::response::Response;

/// The timeout of calls in these tests; a call that is answered takes less, even on a busy machine.
const TIMEOUT: Duration = Duration::from_millis(700);
/// How long a condition is polled before the test fails.  It is less than the 20 s after which a
/// client closes idle connections, which would hide a failure.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of connections that the client keeps open.
const KEPT: usize = 4;
/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A TCP proxy to another address that can silence its open connections.
struct Proxy {
    address: SocketAddr,
    /// The number of calls of `silence`; connections from before the last one are silent.
    silences: watch::Sender<u64>,
    accepted: Arc<AtomicUsize>,
    /// The number of silent connections that were closed by the side that opened them.
    closed: Arc<AtomicUsize>,
}

impl Proxy {
    async fn to(target: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let (silences, _) = watch::channel(0);
        let proxy = Self {
            address,
            silences,
            accepted: Arc::default(),
            closed: Arc::default(),
        };
        let silences = proxy.silences.clone();
        let accepted = Arc::clone(&proxy.accepted);
        let closed = Arc::clone(&proxy.closed);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                accepted.fetch_add(1, Ordering::Relaxed);
                let silenced = silences.subscribe();
                tokio::spawn(forward(stream, target, silenced, Arc::clone(&closed)));
            }
        });
        proxy
    }

    /// Makes all connections that are open now silent.
    fn silence(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    fn closed(&self) -> usize {
        self.closed.load(Ordering::Relaxed)
    }
}

/// Forwards the bytes of a connection until it is silenced.  Then reads and drops bytes, and stays
/// open until the side that opened the connection closes it.
async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    mut silenced: watch::Receiver<u64>,
    closed: Arc<AtomicUsize>,
) {
    let mut upstream = TcpStream::connect(target).await.expect("the target");
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut upstream) => return,
        changed = silenced.changed() => changed.expect("the proxy runs"),
    }
    let mut buf = [0; 1024];
    while matches!(stream.read(&mut buf).await, Ok(1..)) {}
    closed.fetch_add(1, Ordering::Relaxed);
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Polls a condition until it holds, and panics with `what` after `POLL_TIMEOUT`.
async fn until(what: &str, holds: impl Fn() -> bool) {
    let polled = async {
        while !holds() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let held = tokio::time::timeout(POLL_TIMEOUT, polled).await;
    assert!(held.is_ok(), "{what}");
}

/// Answers every request with an empty response, but none before `first` requests have arrived.
#[derive(Clone)]
struct Greeter {
    first: usize,
    seen: watch::Sender<usize>,
}

impl Service<ServerContext, Request> for Greeter {
    type Response = Response;
    type Error = std::convert::Infallible;

    async fn call(&self, _: &mut ServerContext, _: Request) -> Result<Response, Self::Error> {
        self.seen.send_modify(|seen| *seen += 1);
        let mut seen = self.seen.subscribe();
        let all = seen.wait_for(|&seen| seen >= self.first).await;
        all.expect("the server runs");
        Ok(Response::default())
    }
}

/// Starts the nodes' HTTP server with a service that answers when `first` requests have arrived.
async fn http_server(first: usize) -> SocketAddr {
    let (listener, address) = listen().await;
    let (seen, _) = watch::channel(0);
    tokio::spawn(server::serve(listener, Greeter { first, seen }));
    address
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<(), CallError> {
    let url = format!("http://{address}/");
    let answer = client
        .call(Method::GET, &url, &[], Vec::new(), TIMEOUT)
        .await;
    answer.map(|answer| assert!(answer.status.is_success()))
}

/// Makes as many concurrent calls as connections are kept.
async fn calls(client: &HttpClient, proxy: &Proxy) -> Vec<Result<(), CallError>> {
    join_all((0..KEPT).map(|_| call(client, proxy.address))).await
}

/// Returns a client that keeps `KEPT` connections through a proxy.
async fn client_with_kept_connections() -> (HttpClient, Proxy) {
    let proxy = Proxy::to(http_server(KEPT).await).await;
    let client = HttpClient::new();
    assert_eq!(calls(&client, &proxy).await, [Ok(()); KEPT]);
    assert_eq!(proxy.accepted(), KEPT);
    (client, proxy)
}

#[tokio::test]
async fn one_call_is_lost_to_kept_connections_that_have_all_gone_silent() {
    // Arrange.
    let (client, proxy) = client_with_kept_connections().await;
    proxy.silence();

    // Act.
    let first = call(&client, proxy.address).await;
    let next = calls(&client, &proxy).await;

    // Assert: the first call may have been executed, so it is reported as unanswered.
    assert_eq!(first, Err(CallError::Unanswered));
    assert_eq!(next, [Ok(()); KEPT]);
}

#[tokio::test]
async fn a_call_that_its_maker_gave_up_counts_as_lost_too() {
    // Arrange.  Calls to the store are dropped in this way, before the client's timeout.
    let (client, proxy) = client_with_kept_connections().await;
    proxy.silence();

    // Act.
    let first = tokio::time::timeout(TIMEOUT / 4, call(&client, proxy.address)).await;
    let next = calls(&client, &proxy).await;

    // Assert.
    assert!(first.is_err());
    assert_eq!(next, [Ok(()); KEPT]);
}

#[tokio::test]
async fn kept_connections_that_have_gone_silent_are_closed_after_one_lost_call() {
    // Arrange.
    let (client, proxy) = client_with_kept_connections().await;
    proxy.silence();

    // Act.
    let lost = call(&client, proxy.address).await;

    // Assert.
    assert_eq!(lost, Err(CallError::Unanswered));
    until("all are closed", || proxy.closed() == KEPT).await;
}

/// A node that answers every call with the same state of a job.
struct FixedStateNode;

impl NodeService for FixedStateNode {
    fn serve(&self, _: NodeCall) -> BoxFuture<'_, NodeReply> {
        std::future::ready(NodeReply::State(JobState::Queued)).boxed()
    }
}

/// Returns a link through a proxy to a node, with a connection that has been used.
async fn linked_nodes() -> (Arc<RpcNodeLink>, Proxy) {
    let (listener, address) = listen().await;
    task::spawn_local(node::serve(
        listener,
        Arc::new(FixedStateNode),
        Arc::default(),
    ));
    let proxy = Proxy::to(address).await;
    let (link, driver) = node::link(Arc::default());
    task::spawn_local(driver.run());
    let link = Arc::new(link);
    assert_eq!(ask(&link, &proxy, TIMEOUT).await, Ok(()));
    (link, proxy)
}

async fn ask(link: &RpcNodeLink, proxy: &Proxy, timeout: Duration) -> Result<(), PeerError> {
    let call = NodeCall::State(job_request(1));
    let timeout = timeout.as_millis() as u64;
    let reply = link.call(proxy.address, call, timeout).await?;
    assert_eq!(reply, NodeReply::State(JobState::Queued));
    Ok(())
}

#[tokio::test]
async fn one_unanswered_call_between_nodes_makes_a_new_connection_that_stays() {
    let test = async {
        // Arrange: a call with a longer timeout is in flight on the connection as well.
        let (link, proxy) = linked_nodes().await;
        proxy.silence();
        let slow_call = {
            let link = Arc::clone(&link);
            let address = proxy.address;
            task::spawn_local(async move {
                let call = NodeCall::State(job_request(2));
                link.call(address, call, 2 * TIMEOUT.as_millis() as u64)
                    .await
            })
        };
        task::yield_now().await;

        // Act.
        let first = ask(&link, &proxy, TIMEOUT).await;
        let second = ask(&link, &proxy, TIMEOUT).await;
        let slow_reply = slow_call.await.expect("it ran");
        let third = ask(&link, &proxy, TIMEOUT).await;

        // Assert: the call that timed out later does not close the new connection.
        assert_eq!(first, Err(PeerError::Unanswered));
        assert_eq!(second, Ok(()));
        assert_eq!(slow_reply, Err(PeerError::Unanswered));
        assert_eq!(third, Ok(()));
        assert_eq!(proxy.accepted(), 2);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_between_nodes_that_has_gone_silent_is_closed() {
    let test = async {
        // Arrange.
        let (link, proxy) = linked_nodes().await;
        proxy.silence();

        // Act.
        let lost = ask(&link, &proxy, TIMEOUT).await;

        // Assert.
        assert_eq!(lost, Err(PeerError::Unanswered));
        until("it is closed", || proxy.closed() == 1).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn bytes_that_the_other_side_does_not_take_end_a_call_before_its_own_limit() {
    // Arrange: a server that reads nothing, so that most of the request stays in the send buffer.
    // The kernel applies the same limit to bytes that are not acknowledged.
    let (listener, address) = listen().await;
    let client = HttpClient::new();
    let url = format!("http://{address}/");
    let body = vec![0; 64 * 1024 * 1024];

    // Act.
    let call = client.call(Method::POST, &url, &[], body, 2 * POLL_TIMEOUT);
    let answer = tokio::time::timeout(POLL_TIMEOUT, call).await;

    // Assert.
    assert_eq!(answer.map(without_response), Ok(Err(CallError::Unanswered)));
    drop(listener);
}

fn without_response(answer: Result<FullResponse, CallError>) -> Result<(), CallError> {
    answer.map(|_| ())
}

/// The code in the kernel's table of connections for an active keep-alive timer.
const KEEP_ALIVE_TIMER: &str = "02";

/// Tells whether the kernel probes the connection from `local` to `peer`, at the end `local`.
fn is_probed(local: SocketAddr, peer: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    let name = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
    table.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let timer = words.get(5).and_then(|timer| timer.split(':').next());
        words.get(1) == Some(&name(local).as_str())
            && words.get(2) == Some(&name(peer).as_str())
            && timer == Some(KEEP_ALIVE_TIMER)
    })
}

/// Starts a listener that answers one HTTP request and then reports the address of the client.
async fn answering_listener() -> (SocketAddr, watch::Receiver<Option<SocketAddr>>) {
    let (listener, address) = listen().await;
    let (tx, rx) = watch::channel(None);
    tokio::spawn(async move {
        let (mut stream, peer) = listener.accept().await.expect("a connection");
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.expect("a request") > 0);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("an answer is sent");
        tx.send_replace(Some(peer));
        std::future::pending::<()>().await;
    });
    (address, rx)
}

#[tokio::test]
async fn a_kept_connection_of_the_client_is_probed() {
    // Arrange.
    let (address, mut peer) = answering_listener().await;
    let client = HttpClient::new();

    // Act.
    assert_eq!(call(&client, address).await, Ok(()));

    // Assert.
    let reported = peer.wait_for(Option::is_some).await.expect("a connection");
    let peer = reported.expect("an address");
    until("it is probed", || is_probed(peer, address)).await;
}

#[tokio::test]
async fn connections_that_callers_hold_are_probed() {
    // Arrange.
    let address = http_server(1).await;

    // Act: a caller opens a connection and sends nothing.
    let caller = TcpStream::connect(address).await.expect("a connection");

    // Assert.
    let peer = caller.local_addr().expect("an address");
    until("it is probed", || is_probed(address, peer)).await;
}

#[tokio::test]
async fn connections_that_other_nodes_hold_are_probed() {
    let test = async {
        // Arrange.
        let (listener, address) = listen().await;
        task::spawn_local(node::serve(
            listener,
            Arc::new(FixedStateNode),
            Arc::default(),
        ));

        // Act.
        let caller = TcpStream::connect(address).await.expect("a connection");

        // Assert.
        let peer = caller.local_addr().expect("an address");
        until("it is probed", || is_probed(address, peer)).await;
    };
    LocalSet::new().run_until(test).await;
}
