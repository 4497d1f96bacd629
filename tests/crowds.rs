//! Crowds of callers that nobody controls, against a node as a real process.
//!
//! The settings of the node are lowered, so that a small crowd is to it what thousands of
//! connections are to a node of a day.  The tests check nothing that depends on the machine's
//! speed: the process lives, its peak of memory and its descriptors stay under a bound, a client
//! inside the limits is served while the crowd stays, also over a slow link, and one more
//! afterwards.  They run one at a time.

mod crowds {
    pub mod clients;
    pub mod site;
}

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crowds::clients::{self, Crowd};
use crowds::site::Site;

/// The most memory that the node may have: a machine has 260 MB and 4,100 descriptors; the node is
/// given a sixteenth of the descriptors.  Of the memory it is left an eighth, since what a node
/// needs at rest does not shrink with its limits.
const MEMORY: usize = 260_000_000 / 8;
/// The most descriptors that the node may have open: `[node] descriptors` of its settings.
const DESCRIPTORS: usize = 256;
/// The largest body that the configuration allows, in bytes.
const MAX_BODY: usize = 262_144;
/// The length of something without end: more than a head or a body may have.
const WITHOUT_END: usize = 1_000_000;

/// Only one test at a time holds it, since a crowd takes the machine's memory and descriptors.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What of a node a crowd presses upon.
#[derive(Clone, Copy)]
enum Port {
    Callers,
    Ready,
    Metrics,
}

impl Port {
    fn of(self, site: &Site) -> SocketAddr {
        match self {
            Self::Callers => site.callers,
            Self::Ready => site.ready,
            Self::Metrics => site.metrics,
        }
    }
}

/// Lets a crowd send `bytes` to a port and stay, and checks what must hold meanwhile and
/// afterwards.
fn withstand(port: Port, bytes: Vec<u8>) {
    withstand_readers(port, bytes, false);
}

/// Does the same; with `narrow` the crowd's machines take few bytes of the answers.
fn withstand_readers(port: Port, bytes: Vec<u8>, narrow: bool) {
    let _alone = alone();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        // Arrange.
        let mut site = Site::start();
        while clients::get(site.ready, "/ready").await != Some(200) {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        let calm = clients::hand_in_slowly(site.callers, 1).await;
        let at_rest = site.peak_memory();

        // Act.
        let crowd = Crowd::send(port.of(&site), bytes, narrow).await;
        let descriptors = site.descriptors();
        let beside = clients::hand_in(site.callers, 2).await;
        let slow = clients::hand_in_slowly(site.callers, 3).await;
        let ready = clients::get(site.ready, "/ready").await;
        drop(crowd);
        let afterwards = clients::hand_in(site.callers, 4).await;
        let lives = site.lives();
        let peak = site.peak_memory();

        // Assert.
        println!("memory: {at_rest} at rest, {peak} at the peak; {descriptors} descriptors");
        assert!(lives, "the process has ended");
        assert!(
            peak <= MEMORY,
            "{peak} bytes at the peak, {at_rest} at rest"
        );
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
        assert_eq!(calm, Some(200), "a slow client in calm");
        assert_eq!(beside, Some(200), "an ordinary client beside the crowd");
        assert_eq!(slow, Some(200), "a slow client beside the crowd");
        assert_eq!(ready, Some(200), "the balancer beside the crowd");
        assert_eq!(afterwards, Some(200), "an ordinary client afterwards");
    });
}

/// A chunked body of `total` bytes in chunks of `size`, without its end.
fn chunked(total: usize, size: usize, extension: &str) -> Vec<u8> {
    let mut bytes = clients::head(9, "transfer-encoding: chunked\r\n\r\n");
    for _ in 0..total / size {
        bytes.extend_from_slice(format!("{size:x}{extension}\r\n").as_bytes());
        bytes.resize(bytes.len() + size, b' ');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A body of the largest legal size without its last byte, after its head.
fn body_without_end() -> Vec<u8> {
    let mut bytes = clients::head(9, &format!("content-length: {MAX_BODY}\r\n\r\n"));
    bytes.resize(bytes.len() + MAX_BODY - 1, b' ');
    bytes
}

/// A head of `length` bytes without its end.
fn head_without_end(length: usize) -> Vec<u8> {
    let mut bytes = clients::head(9, "x-long: ");
    bytes.resize(bytes.len() + length, b'x');
    bytes
}

/// Heads that stay open held hundreds of kilobytes each.
#[test]
fn long_heads_that_stop_short_of_their_end_are_withstood() {
    withstand(Port::Callers, head_without_end(300_000));
}

/// A head without end was read to hundreds of kilobytes on each connection.
#[test]
fn heads_without_end_are_withstood() {
    withstand(Port::Callers, head_without_end(WITHOUT_END));
}

/// Empty lines before a request were kept as part of a head.
#[test]
fn empty_lines_without_end_are_withstood() {
    withstand(Port::Callers, b"\r\n".repeat(WITHOUT_END / 2));
}

/// The sum of bodies that stay open just short of their end had no bound.
#[test]
fn large_bodies_that_stop_short_of_their_end_are_withstood() {
    withstand(Port::Callers, body_without_end());
}

/// The sum of chunked bodies that stay open just short of their end had no bound.
#[test]
fn bodies_in_large_chunks_that_stop_short_of_their_end_are_withstood() {
    withstand(Port::Callers, chunked(MAX_BODY, 16_384, ""));
}

/// Each chunk of a byte kept the buffer into which it had been read.
#[test]
fn bodies_in_chunks_of_a_byte_that_stop_short_of_their_end_are_withstood() {
    withstand(Port::Callers, chunked(40_000, 1, ""));
}

/// A chunk's extension is no part of the body, so the limit of bodies does not bound it.
#[test]
fn chunk_extensions_without_end_are_withstood() {
    let extension = format!(";{}", "e".repeat(WITHOUT_END));
    withstand(Port::Callers, chunked(1, 1, &extension));
}

/// Trailers are no part of the body, so the limit of bodies does not bound them.
#[test]
fn trailers_without_end_are_withstood() {
    let mut bytes = chunked(1, 1, "");
    bytes.extend_from_slice(b"0\r\n");
    bytes.extend_from_slice(&b"x-trailer: t\r\n".repeat(WITHOUT_END / 14));
    withstand(Port::Callers, bytes);
}

/// The port of the balancer has a head's limit of its own.
#[test]
fn long_heads_at_the_port_of_the_balancer_are_withstood() {
    withstand(Port::Ready, head_without_end(300_000));
}

/// The port of the metrics has a head's limit of its own.
#[test]
fn long_heads_at_the_port_of_the_metrics_are_withstood() {
    withstand(Port::Metrics, head_without_end(300_000));
}

/// Connections on which answers were being sent were never closed to make room, so callers who take
/// none kept all others out.
#[test]
fn callers_who_take_no_answers_are_withstood() {
    withstand_readers(Port::Callers, clients::questions(20_000), true);
}
