//! Noticing that a connection has gone silent.
//!
//! A connection may stop carrying bytes for good without a reset, while new ones to the
//! same place work.  Only limits of our own show it ([the design](../docs/DESIGN.md),
//! "Connections that go silent").

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long bytes that were sent may stay unacknowledged on a connection of our own
/// network: machines are 1 to 4 ms apart.  The kernel of a busy or slow machine
/// acknowledges all the same, so this tells silence from slowness.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);
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

/// Has the kernel end a connection of our own network soon after it went silent.
///
/// # Errors
/// Fails if the kernel does not take an option.
pub fn watch_own(stream: &TcpStream) -> io::Result<()> {
    watch(stream, ACK_TIMEOUT, PROBE_AFTER)
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
