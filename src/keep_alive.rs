//! Detection of silent TCP connections by the kernel.
//!
//! A connection may stop carrying bytes for good without a reset, while new connections to the same
//! address work.  Only timeouts on this side detect that ([the design](../docs/DESIGN.md),
//! "Connections that go silent").

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::time::Instant;

/// How long sent bytes may stay unacknowledged, in addition to `ACK_ROUND_TRIPS`.  The kernel of a
/// busy or slow machine still acknowledges in time, so this tells a silent connection from a slow
/// peer.  With 400 ms, simulated days with silent connections scored 0.008 to 0.016 lower (share of
/// the callers' payments earned, net of costs; 6 seeds each).
const ACK_TIMEOUT: Duration = Duration::from_millis(150);
/// The number of round trips added to `ACK_TIMEOUT`: the round trip between halls takes 1 to 4 ms,
/// between regions possibly a hundred times that.
const ACK_ROUND_TRIPS: u32 = 3;
/// The maximum round trip that is assumed.  A longer measurement may be due to a lost first packet.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged on a connection that another node has opened.  That
/// node opens a new one by itself, so a silent connection only costs memory here.
const PEER_ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// The idle time after which a connection is probed: the minimum that the kernel accepts.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(1);
/// How long bytes sent to a caller may stay unacknowledged.  Callers open new connections by
/// themselves, so a silent connection only costs memory and a descriptor here.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The idle time after which a caller's connection is probed.
const CALLER_PROBE_IDLE_TIME: Duration = Duration::from_secs(5);
/// The time between two probes: the minimum that the kernel accepts.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the kernel closes the connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Connects to `addr`, and has the kernel close the connection soon after it goes silent.
///
/// # Errors
/// Fails if the connection cannot be established.
pub async fn connect(addr: impl ToSocketAddrs) -> io::Result<TcpStream> {
    let began = Instant::now();
    let stream = TcpStream::connect(addr).await?;
    let round_trip = began.elapsed().min(MAX_ROUND_TRIP);
    let ack_timeout = ACK_TIMEOUT + ACK_ROUND_TRIPS * round_trip;
    if let Err(err) = set_timeouts(&stream, ack_timeout, PROBE_IDLE_TIME) {
        tracing::warn!(%err, "cannot set TCP timeouts; a silent connection will be detected late");
    }
    Ok(stream)
}

/// Has the kernel close a connection from another node 1 s after it goes silent, or some 2 s if it
/// is idle.
///
/// # Errors
/// Fails if the kernel rejects an option.
pub fn set_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_timeouts(stream, PEER_ACK_TIMEOUT, PROBE_IDLE_TIME)
}

/// Has the kernel close a caller's connection 5 s after it goes silent, or some 7 s if it is idle.
///
/// # Errors
/// Fails if the kernel rejects an option.
pub fn set_caller_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_timeouts(stream, CALLER_ACK_TIMEOUT, CALLER_PROBE_IDLE_TIME)
}

fn set_timeouts(stream: &TcpStream, ack_timeout: Duration, idle_time: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(idle_time)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ack_timeout))
}
