//! Connections that go silent for good, without a reset, while new ones work.
//!
//! Only a limit of our own shows such a connection.  Tested is that one call is lost to it
//! and no more, that its descriptor is given back, and that connections on which nobody
//! waits for an answer are probed by the kernel.  docs/DESIGN.md, "Connections that go
//! silent", tells what else relies on this.

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

/// How long a call may take in these tests, on a busy machine too.
const LIMIT: Duration = Duration::from_millis(700);
/// How long a condition is polled before the test fails: a client drops connections that
/// it has not used for 20 s, which is not meant here.
const PATIENCE: Duration = Duration::from_secs(10);
/// How many connections a client keeps here.
const KEPT: usize = 4;
/// The pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// Passes bytes on to another address, until the connections of the moment are silenced.
struct Relay {
    address: SocketAddr,
    /// Counts the silences; a connection that is older than the last one is silent.
    silences: watch::Sender<u64>,
    accepted: Arc<AtomicUsize>,
    /// Silent connections that their maker has closed.
    closed: Arc<AtomicUsize>,
}

impl Relay {
    async fn to(target: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let (silences, _) = watch::channel(0);
        let relay = Self {
            address,
            silences,
            accepted: Arc::default(),
            closed: Arc::default(),
        };
        let silences = relay.silences.clone();
        let accepted = Arc::clone(&relay.accepted);
        let closed = Arc::clone(&relay.closed);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                accepted.fetch_add(1, Ordering::Relaxed);
                let silenced = silences.subscribe();
                tokio::spawn(pass(stream, target, silenced, Arc::clone(&closed)));
            }
        });
        relay
    }

    /// All connections that are open now pass nothing any more.
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

/// A silent connection takes bytes and stays open, for whatever its maker does.
async fn pass(
    mut stream: TcpStream,
    target: SocketAddr,
    mut silenced: watch::Receiver<u64>,
    closed: Arc<AtomicUsize>,
) {
    let mut onward = TcpStream::connect(target).await.expect("the target");
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut onward) => return,
        changed = silenced.changed() => changed.expect("the relay lives"),
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

async fn until(what: &str, holds: impl Fn() -> bool) {
    let polled = async {
        while !holds() {
            tokio::time::sleep(POLL).await;
        }
    };
    let held = tokio::time::timeout(PATIENCE, polled).await;
    assert!(held.is_ok(), "{what}");
}

/// Answers every request alike, the first ones only when all of them are there.
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
        all.expect("the server lives");
        Ok(Response::default())
    }
}

/// An HTTP server of ours that wants `first` requests at once before it answers any.
async fn http_server(first: usize) -> SocketAddr {
    let (listener, address) = listen().await;
    let (seen, _) = watch::channel(0);
    tokio::spawn(server::serve(listener, Greeter { first, seen }));
    address
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<(), CallError> {
    let url = format!("http://{address}/");
    let answer = client.call(Method::GET, &url, &[], Vec::new(), LIMIT).await;
    answer.map(|answer| assert!(answer.status.is_success()))
}

/// As many calls at once as connections are kept.
async fn calls(client: &HttpClient, relay: &Relay) -> Vec<Result<(), CallError>> {
    join_all((0..KEPT).map(|_| call(client, relay.address))).await
}

/// A client that keeps several connections over a relay.
async fn client_with_kept_connections() -> (HttpClient, Relay) {
    let relay = Relay::to(http_server(KEPT).await).await;
    let client = HttpClient::new();
    assert_eq!(calls(&client, &relay).await, [Ok(()); KEPT]);
    assert_eq!(relay.accepted(), KEPT);
    (client, relay)
}

#[tokio::test]
async fn one_call_is_lost_to_kept_connections_that_have_all_gone_silent() {
    // Arrange.
    let (client, relay) = client_with_kept_connections().await;
    relay.silence();

    // Act.
    let first = call(&client, relay.address).await;
    let next = calls(&client, &relay).await;

    // Assert: the first may have been carried out.
    assert_eq!(first, Err(CallError::Unanswered));
    assert_eq!(next, [Ok(()); KEPT]);
}

#[tokio::test]
async fn a_call_that_its_maker_gave_up_counts_as_lost_too() {
    // Arrange: the store's calls are given up sooner than the client would.
    let (client, relay) = client_with_kept_connections().await;
    relay.silence();

    // Act.
    let first = tokio::time::timeout(LIMIT / 4, call(&client, relay.address)).await;
    let next = calls(&client, &relay).await;

    // Assert.
    assert!(first.is_err());
    assert_eq!(next, [Ok(()); KEPT]);
}

#[tokio::test]
async fn kept_connections_that_have_gone_silent_are_closed_after_one_lost_call() {
    // Arrange.
    let (client, relay) = client_with_kept_connections().await;
    relay.silence();

    // Act.
    let lost = call(&client, relay.address).await;

    // Assert.
    assert_eq!(lost, Err(CallError::Unanswered));
    until("all are closed", || relay.closed() == KEPT).await;
}

/// A node that tells the same of every job.
struct Teller;

impl NodeService for Teller {
    fn serve(&self, _: NodeCall) -> BoxFuture<'_, NodeReply> {
        std::future::ready(NodeReply::State(JobState::Queued)).boxed()
    }
}

/// A link over a relay to a node, with a connection that has been used.
async fn linked_nodes() -> (Arc<RpcNodeLink>, Relay) {
    let (listener, address) = listen().await;
    task::spawn_local(node::serve(listener, Arc::new(Teller)));
    let relay = Relay::to(address).await;
    let (link, driver) = node::link();
    task::spawn_local(driver.run());
    let link = Arc::new(link);
    assert_eq!(ask(&link, &relay, LIMIT).await, Ok(()));
    (link, relay)
}

async fn ask(link: &RpcNodeLink, relay: &Relay, limit: Duration) -> Result<(), PeerError> {
    let call = NodeCall::State(job_request(1));
    let limit = limit.as_millis() as u64;
    let reply = link.call(relay.address, call, limit).await?;
    assert_eq!(reply, NodeReply::State(JobState::Queued));
    Ok(())
}

#[tokio::test]
async fn one_unanswered_call_between_nodes_makes_a_new_connection_that_stays() {
    let test = async {
        // Arrange: a call that waits long is on its way over the connection as well.
        let (link, relay) = linked_nodes().await;
        relay.silence();
        let patient = {
            let link = Arc::clone(&link);
            let address = relay.address;
            task::spawn_local(async move {
                let call = NodeCall::State(job_request(2));
                link.call(address, call, 2 * LIMIT.as_millis() as u64).await
            })
        };
        task::yield_now().await;

        // Act.
        let first = ask(&link, &relay, LIMIT).await;
        let second = ask(&link, &relay, LIMIT).await;
        let patient = patient.await.expect("it ran");
        let third = ask(&link, &relay, LIMIT).await;

        // Assert: the call that failed late does not cost the new connection.
        assert_eq!(first, Err(PeerError::Unanswered));
        assert_eq!(second, Ok(()));
        assert_eq!(patient, Err(PeerError::Unanswered));
        assert_eq!(third, Ok(()));
        assert_eq!(relay.accepted(), 2);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_between_nodes_that_has_gone_silent_is_closed() {
    let test = async {
        // Arrange.
        let (link, relay) = linked_nodes().await;
        relay.silence();

        // Act.
        let lost = ask(&link, &relay, LIMIT).await;

        // Assert.
        assert_eq!(lost, Err(PeerError::Unanswered));
        until("it is closed", || relay.closed() == 1).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn bytes_that_the_other_side_does_not_take_end_a_call_before_its_own_limit() {
    // Arrange: a server that reads nothing, so that most of the request stays with us.  The
    // kernel's limit is the same for bytes that get no acknowledgement.
    let (listener, address) = listen().await;
    let client = HttpClient::new();
    let url = format!("http://{address}/");
    let body = vec![0; 64 * 1024 * 1024];

    // Act.
    let call = client.call(Method::POST, &url, &[], body, 2 * PATIENCE);
    let answer = tokio::time::timeout(PATIENCE, call).await;

    // Assert.
    assert_eq!(answer.map(drop_answer), Ok(Err(CallError::Unanswered)));
    drop(listener);
}

fn drop_answer(answer: Result<FullResponse, CallError>) -> Result<(), CallError> {
    answer.map(|_| ())
}

/// The kernel's name in its table of connections for a timer that probes an idle one.
const PROBED: &str = "02";

/// Tells whether the kernel probes the end of a connection that lies at `local`.
fn is_probed(local: SocketAddr, peer: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    let name = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
    table.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let timer = words.get(5).and_then(|timer| timer.split(':').next());
        words.get(1) == Some(&name(local).as_str())
            && words.get(2) == Some(&name(peer).as_str())
            && timer == Some(PROBED)
    })
}

/// A listener whose connections answer one HTTP request and are told to the test.
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
    let told = peer.wait_for(Option::is_some).await.expect("a connection");
    let peer = told.expect("an address");
    until("it is probed", || is_probed(peer, address)).await;
}

#[tokio::test]
async fn connections_that_callers_hold_are_probed() {
    // Arrange.
    let address = http_server(1).await;

    // Act: a caller that opens a connection and says nothing.
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
        task::spawn_local(node::serve(listener, Arc::new(Teller)));

        // Act.
        let caller = TcpStream::connect(address).await.expect("a connection");

        // Assert.
        let peer = caller.local_addr().expect("an address");
        until("it is probed", || is_probed(address, peer)).await;
    };
    LocalSet::new().run_until(test).await;
}
