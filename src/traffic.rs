//! Counts the bytes and the connections of this process, by whom they are exchanged with.
//!
//! A node's link may be too narrow for what its owner has to do; every call is then late, as it is when
//! the others are slow or cut off.  Only the bytes tell these apart (docs/OPERATIONS.md, "Is it the
//! link").

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Party {
    /// The workers, which this process calls.
    Workers,
    /// The store and the advice service, which this process calls.
    Platform,
    /// Other nodes, on connections that either side has opened.
    Nodes,
}

impl Party {
    /// All parties, in the order in which they are shown.
    pub const ALL: [Self; 3] = [Self::Workers, Self::Platform, Self::Nodes];

    /// The label of the party in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Platform => "platform",
            Self::Nodes => "nodes",
        }
    }
}

/// What was exchanged with a party since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Volume {
    /// Bytes that were written, without the headers of the network.
    pub sent: u64,
    /// Bytes that were read, without the headers of the network.
    pub received: u64,
    /// Connections that were opened, by either side.
    pub connections: u64,
}

impl Volume {
    /// What was exchanged since `before`.
    pub fn since(self, before: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(before.sent),
            received: self.received.saturating_sub(before.received),
            connections: self.connections.saturating_sub(before.connections),
        }
    }
}

/// Counters of what is exchanged with one party.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
    connections: AtomicU64,
}

impl Counter {
    /// Returns what was exchanged so far.
    pub fn volume(&self) -> Volume {
        Volume {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
        }
    }

    fn note_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(written)) = result {
            self.sent.fetch_add(*written as u64, Ordering::Relaxed);
        }
    }

    /// Counts a connection, and from now on the bytes on it.
    pub fn count<S>(self: &Arc<Self>, stream: S) -> Counted<S> {
        self.connections.fetch_add(1, Ordering::Relaxed);
        Counted {
            stream,
            counter: Arc::clone(self),
        }
    }
}

/// The counters of a process.  Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    workers: Arc<Counter>,
    platform: Arc<Counter>,
    nodes: Arc<Counter>,
}

impl Traffic {
    /// Returns the counter of a party.
    pub fn counter(&self, party: Party) -> &Arc<Counter> {
        match party {
            Party::Workers => &self.workers,
            Party::Platform => &self.platform,
            Party::Nodes => &self.nodes,
        }
    }

    /// Returns what was exchanged with each party so far, in the order of [`Party::ALL`].
    pub fn volumes(&self) -> [Volume; Party::ALL.len()] {
        Party::ALL.map(|party| self.counter(party).volume())
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct Counted<S> {
    stream: S,
    counter: Arc<Counter>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.counter
            .received
            .fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.counter.note_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.counter.note_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
