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
const ROUND_TRIPS: u32 = 3;
/// A round trip that is measured longer, as when the first packet is lost, counts as this.
const LONGEST_ROUND_TRIP: Duration = Duration::from_millis(300);
/// How long bytes for another node that has called us may stay unacknowledged: it opens a new
/// connection by itself, and only our memory is at stake.
const ACCEPTED_ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// An idle connection is probed after this time: the least that the kernel takes.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// How long bytes for a caller may stay unacknowledged.  Callers open new connections by
/// themselves; only our memory and descriptors are at stake.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// An idle connection of a caller is probed after this time.
const CALLER_PROBE_AFTER: Duration = Duration::from_secs(5);
/// The pause between two probes: the least that the kernel takes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// So many unanswered probes end a connection.
const PROBES: u32 = 2;

/// Connects, and has the kernel end the connection soon after it goes silent.
///
/// # Errors
/// Fails if no connection comes about.
pub async fn connect(addr: impl ToSocketAddrs) -> io::Result<TcpStream> {
    let began = Instant::now();
    let stream = TcpStream::connect(addr).await?;
    let round_trip = began.elapsed().min(LONGEST_ROUND_TRIP);
    let limit = ACK_TIMEOUT + ROUND_TRIPS * round_trip;
    if let Err(err) = watch(&stream, limit, PROBE_AFTER) {
        tracing::warn!(%err, "a connection that goes silent is noticed late");
    }
    Ok(stream)
}

/// Has the kernel end another node's connection some time after it went silent.
///
/// # Errors
/// Fails if the kernel does not take an option.
pub fn watch_accepted(stream: &TcpStream) -> io::Result<()> {
    watch(stream, ACCEPTED_ACK_TIMEOUT, PROBE_AFTER)
}

/// Has the kernel end a caller's connection some seconds after it went silent.
///
/// # Errors
/// Fails if the kernel does not take an option.
pub fn watch_caller(stream: &TcpStream) -> io::Result<()> {
    watch(stream, CALLER_ACK_TIMEOUT, CALLER_PROBE_AFTER)
}

fn watch(stream: &TcpStream, ack: Duration, probe_after: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(probe_after)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ack))
}
