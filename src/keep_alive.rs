//! Noticing that a connection has gone silent.
//!
//! A connection may stop carrying bytes for good without a reset, while new ones to the
//! same place work.  Only limits of our own show it ([the design](../docs/DESIGN.md),
//! "Connections that go silent").

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::time::Instant;

/// How long bytes that we sent may stay unacknowledged, beyond some round trips.  The kernel
/// of a busy or slow machine acknowledges all the same, so this tells silence from slowness.
/// On days of silence 400 ms earned 0.008 to 0.016 less of the worth (6 seeds each).
const ACK_TIMEOUT: Duration = Duration::from_millis(150);
/// So many round trips are added: halls are 1 to 4 ms apart, regions may be a hundred times that.
const ACK_ROUND_TRIPS: u32 = 3;
/// A round trip that is measured longer, as when the first packet is lost, counts as this.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(300);
/// How long bytes for another node that has called us may stay unacknowledged: it opens a new
/// connection by itself, and only our memory is at stake.
const PEER_ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// An idle connection is probed after this time: the least that the kernel takes.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(1);
/// How long bytes for a caller may stay unacknowledged.  Callers open new connections by
/// themselves; only our memory and descriptors are at stake.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// An idle connection of a caller is probed after this time.
const CALLER_PROBE_IDLE_TIME: Duration = Duration::from_secs(5);
/// The pause between two probes: the least that the kernel takes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// So many unanswered probes end a connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Connects, and has the kernel end the connection soon after it goes silent.
///
/// # Errors
/// Fails if no connection comes about.
pub async fn connect(addr: impl ToSocketAddrs) -> io::Result<TcpStream> {
    let began = Instant::now();
    let stream = TcpStream::connect(addr).await?;
    let round_trip = began.elapsed().min(MAX_ROUND_TRIP);
    let limit = ACK_TIMEOUT + ACK_ROUND_TRIPS * round_trip;
    if let Err(err) = set_timeouts(&stream, limit, PROBE_IDLE_TIME) {
        tracing::warn!(%err, "a connection that goes silent is noticed late");
    }
    Ok(stream)
}

/// Has the kernel end another node's connection some time after it went silent.
///
/// # Errors
/// Fails if the kernel does not take an option.
pub fn set_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_timeouts(stream, PEER_ACK_TIMEOUT, PROBE_IDLE_TIME)
}

/// Has the kernel end a caller's connection some seconds after it went silent.
///
/// # Errors
/// Fails if the kernel does not take an option.
pub fn set_caller_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_timeouts(stream, CALLER_ACK_TIMEOUT, CALLER_PROBE_IDLE_TIME)
}

fn set_timeouts(stream: &TcpStream, ack: Duration, probe_after: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(probe_after)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ack))
}
