//! The connections of callers and what they may hold together, however many there are and whatever
//! they send ([the design](../../docs/DESIGN.md), "Callers that nobody controls").

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use slotmap::{DefaultKey, SlotMap};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::refusal::Refusal;

/// The most connections of a server that is not given another limit.
const DEFAULT_CONNECTIONS: usize = 64;
/// The most bytes of bodies of such a server.
const DEFAULT_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// How long a head, or a pause within a body or an answer, may take: callers give up after 3 s, and
/// links that are squeezed hold bytes up for less than that.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a body may take as a whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// How long the caller may take nothing of an answer while others wait for a connection: as long as
/// callers wait.
const UNTAKEN_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it is checked meanwhile whether a connection can be closed.
const ROOM_INTERVAL: Duration = Duration::from_millis(500);

/// What the connections of a server may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most connections that may be open.
    pub connections: usize,
    /// The most bytes of bodies that may be in memory, of requests that are not answered yet.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: DEFAULT_CONNECTIONS,
            body_bytes: DEFAULT_BODY_BYTES,
        }
    }
}

/// Why a connection was closed although its caller had not closed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// There were too many, and on this one nothing had happened for the longest time.
    ForRoom,
    /// A head was not complete, or an answer not taken, in time.
    Stalled,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It waits for a request, or reads the head of one.
    Head { begun: Option<Instant> },
    /// It reads a body.
    Body { begun: Instant },
    /// A request was read as far as it will be, and is being answered.
    Answering,
    /// The answer is being sent.
    Sending,
}

struct Entry {
    phase: Phase,
    /// When bytes last arrived or left.
    progress: Instant,
    /// The bytes of its body that are in memory.
    held: usize,
    /// Why its body is no longer read.
    given_up: Option<Refusal>,
    closed: Option<Closed>,
    /// Wakes the task that reads the body, or the one that serves the connection.
    wake: Arc<Notify>,
}

impl Entry {
    fn new(now: Instant, wake: Arc<Notify>) -> Self {
        Self {
            phase: Phase::Head { begun: None },
            progress: now,
            held: 0,
            given_up: None,
            closed: None,
            wake,
        }
    }

    fn is_leaving(&self) -> bool {
        self.closed.is_some() || self.given_up.is_some()
    }

    /// Returns whether the connection may be closed to make room: whoever has sent a whole request
    /// gets a complete answer, unless nothing of it is taken.
    fn may_be_closed(&self, now: Instant) -> bool {
        match self.phase {
            _ if self.is_leaving() => false,
            Phase::Head { .. } | Phase::Body { .. } => true,
            Phase::Answering => false,
            Phase::Sending => now - self.progress > UNTAKEN_TIMEOUT,
        }
    }

    fn close(&mut self, reason: Closed) {
        self.closed = Some(reason);
        self.wake.notify_waiters();
    }

    fn give_up(&mut self, refusal: Refusal) {
        self.given_up = Some(refusal);
        self.wake.notify_waiters();
    }

    /// Ends what takes too long.
    fn check_time(&mut self, now: Instant) {
        let has_stalled = now - self.progress > STALL_TIMEOUT;
        match self.phase {
            _ if self.is_leaving() => {}
            Phase::Head { begun: Some(begun) } if now - begun > STALL_TIMEOUT => {
                self.close(Closed::Stalled);
            }
            Phase::Body { begun } if has_stalled || now - begun > BODY_TIMEOUT => {
                self.give_up(Refusal::BodyTimeout);
            }
            Phase::Sending if has_stalled => self.close(Closed::Stalled),
            _ => {}
        }
    }
}

#[derive(Default)]
struct State {
    open: SlotMap<DefaultKey, Entry>,
    /// The sum of what they hold.
    held: usize,
    /// A new connection waits for room.
    is_full: bool,
}

/// The connections of a server.
pub struct Connections {
    limits: Limits,
    state: Mutex<State>,
    /// Wakes those who wait for room.
    freed: Notify,
    /// Counts connections that are closed.
    count: Box<dyn Fn(Closed) + Send + Sync>,
}

impl Connections {
    /// Creates the list of a server's connections.  `count` is called for each that is closed
    /// although its caller had not closed it.
    pub fn new(limits: Limits, count: impl Fn(Closed) + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            limits,
            state: Mutex::default(),
            freed: Notify::new(),
            count: Box::new(count),
        })
    }

    /// Returns whether a new connection waits for room.
    pub fn is_full(&self) -> bool {
        self.lock().is_full
    }

    /// Adds a connection once there is room for it.  Closes, if there are too many, the one on
    /// which nothing has happened for the longest time; those that are being answered are closed
    /// with their answer.
    pub(super) async fn admit(self: &Arc<Self>) -> Arc<Connection> {
        loop {
            let freed = self.freed.notified();
            if let Some(connection) = self.try_admit() {
                return connection;
            }
            // An answer that is not taken comes to its time without a wake-up.
            let _ = tokio::time::timeout(ROOM_INTERVAL, freed).await;
        }
    }

    fn try_admit(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let mut state = self.lock();
        state.is_full = state.open.len() >= self.limits.connections;
        if state.is_full {
            if state.open.values().any(|entry| entry.closed.is_some()) {
                return None;
            }
            let now = Instant::now();
            let open = state.open.values_mut();
            let closable = open.filter(|entry| entry.may_be_closed(now));
            if let Some(oldest) = closable.min_by_key(|entry| entry.progress) {
                oldest.close(Closed::ForRoom);
            }
            return None;
        }
        let wake = Arc::new(Notify::new());
        let key = state
            .open
            .insert(Entry::new(Instant::now(), Arc::clone(&wake)));
        Some(Arc::new(Connection {
            connections: Arc::clone(self),
            key,
            wake,
        }))
    }

    /// Ends what takes too long.
    pub(super) fn check_times(&self) {
        let now = Instant::now();
        for entry in self.lock().open.values_mut() {
            entry.check_time(now);
        }
    }

    /// Takes `bytes` for the body that `key` reads.
    fn try_hold(&self, key: DefaultKey, bytes: usize) -> Hold {
        let mut state = self.lock();
        let (held, mine) = match state.open.get(key) {
            Some(Entry {
                given_up: Some(refusal),
                ..
            }) => return Hold::Refused(*refusal),
            Some(entry) => (state.held, entry.held + bytes),
            None => return Hold::Refused(Refusal::NoRoom),
        };
        if held + bytes <= self.limits.body_bytes {
            state.held += bytes;
            state.open[key].held = mine;
            return Hold::Taken;
        }
        if state
            .open
            .values()
            .any(|entry| entry.is_leaving() && entry.held > 0)
        {
            return Hold::Later;
        }
        let others = state.open.iter_mut().filter(|(other, _)| *other != key);
        let reading = others.filter(|(_, entry)| matches!(entry.phase, Phase::Body { .. }));
        let largest = reading
            .map(|(_, entry)| entry)
            .max_by_key(|entry| entry.held);
        match largest {
            Some(entry) if entry.held > mine => {
                entry.give_up(Refusal::NoRoom);
                Hold::Later
            }
            _ => {
                state.open[key].give_up(Refusal::NoRoom);
                Hold::Refused(Refusal::NoRoom)
            }
        }
    }

    fn update<R>(&self, key: DefaultKey, change: impl FnOnce(&mut Entry) -> R) -> Option<R> {
        self.lock().open.get_mut(key).map(change)
    }

    fn release(&self, key: DefaultKey) {
        let mut state = self.lock();
        let entry = state.open.get_mut(key);
        let held = entry.map_or(0, |entry| std::mem::take(&mut entry.held));
        state.held -= held;
        drop(state);
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What became of an attempt to take bytes for a body.
enum Hold {
    Taken,
    /// Another body is given up; its bytes come free at once.
    Later,
    Refused(Refusal),
}

/// A connection, as long as it is open.
#[derive(Clone)]
pub struct Handle(Arc<Connection>);

pub(super) struct Connection {
    connections: Arc<Connections>,
    key: DefaultKey,
    wake: Arc<Notify>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.release(self.key);
        let removed = self.connections.lock().open.remove(self.key);
        self.connections.freed.notify_waiters();
        if let Some(closed) = removed.and_then(|entry| entry.closed) {
            (self.connections.count)(closed);
        }
    }
}

impl Connection {
    /// Waits until the connection is to be closed.
    pub(super) async fn closed(&self) {
        self.wait_for(|entry| entry.closed).await;
    }

    /// A head was read; its request is being answered.
    pub(super) fn begin_answer(self: &Arc<Self>) -> Handle {
        self.set_phase(Phase::Answering);
        Handle(Arc::clone(self))
    }

    /// A request is answered.  Returns whether the connection stays: it does not if its body was
    /// given up, or if others wait for a connection, since requests that follow one another without
    /// a pause would never let it be closed.
    pub(super) fn end_answer(&self) -> bool {
        self.connections.release(self.key);
        let mut state = self.connections.lock();
        let is_full = state.is_full;
        let Some(entry) = state.open.get_mut(self.key) else {
            return false;
        };
        entry.phase = Phase::Sending;
        entry.given_up.take().is_none() && !is_full
    }

    fn set_phase(&self, phase: Phase) {
        self.connections
            .update(self.key, |entry| entry.phase = phase);
    }

    /// Notes that bytes have arrived.
    fn note_read(&self) {
        let now = Instant::now();
        self.connections.update(self.key, |entry| {
            entry.progress = now;
            if let Phase::Head { begun } = &mut entry.phase {
                begun.get_or_insert(now);
            }
        });
    }

    /// Notes that bytes have left.
    fn note_written(&self) {
        let now = Instant::now();
        self.connections
            .update(self.key, |entry| entry.progress = now);
    }

    /// Notes that all bytes have left.
    fn note_flushed(&self) {
        self.connections.update(self.key, |entry| {
            if entry.phase == Phase::Sending {
                entry.phase = Phase::Head { begun: None };
            }
        });
    }

    async fn wait_for<R>(&self, wanted: impl Fn(&Entry) -> Option<R>) -> R {
        loop {
            let woken = self.wake.notified();
            if let Some(Some(found)) = self.connections.update(self.key, |entry| wanted(entry)) {
                return found;
            }
            woken.await;
        }
    }
}

impl Handle {
    /// The body is read from now on.
    pub(super) fn begin_body(&self) {
        let begun = Instant::now();
        self.0.set_phase(Phase::Body { begun });
    }

    /// The body was read to its end.
    pub(super) fn end_body(&self) {
        self.0.set_phase(Phase::Answering);
    }

    /// Takes `bytes` for the body until the request is answered.  If there is no room, the largest
    /// body that is still being read is given up, which may be this one.
    ///
    /// # Errors
    /// Fails if this body is given up.
    pub(super) async fn hold(&self, bytes: usize) -> Result<(), Refusal> {
        let connections = &self.0.connections;
        loop {
            let freed = connections.freed.notified();
            match connections.try_hold(self.0.key, bytes) {
                Hold::Taken => return Ok(()),
                Hold::Refused(refusal) => return Err(refusal),
                Hold::Later => tokio::select! {
                    () = freed => {}
                    refusal = self.given_up() => return Err(refusal),
                },
            }
        }
    }

    /// Waits until this body is given up, and tells why.
    pub(super) async fn given_up(&self) -> Refusal {
        self.0.wait_for(|entry| entry.given_up).await
    }
}

/// A stream that notes when bytes arrive and leave.
pub(super) struct Watched {
    pub stream: TcpStream,
    pub connection: Arc<Connection>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.note_read();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if polled.is_ready() {
            self.connection.note_written();
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if polled.is_ready() {
            self.connection.note_written();
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.connection.note_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
