//! An HTTP client that tells what a failed call may have done.
//!
//! It keeps connections.  When a call brought no answer, all idle ones to that host may
//! have gone silent with it, so none of them is used again: one call is lost, not one for
//! each connection ([the design](../../docs/DESIGN.md), "Connections that go silent").

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use volo_http::http::header;
use volo_http::http::{HeaderMap, Method, Request, Response, StatusCode, Uri};

use crate::{keep_alive, timeout};

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The most connections to one host, unless the client is told otherwise: more calls than a node
/// has for the store at once.
const USUAL_PER_HOST: usize = 64;
/// The most connections to all hosts, unless the client is told otherwise: a quarter of the
/// descriptors of a VM.
const USUAL_TOTAL: usize = 1_024;
/// How long a connection is kept without a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Why a call brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("could not connect, nothing was sent")]
    NotSent,
    /// Too many calls were on their way, to that host or to all; nothing was sent.
    #[error("too many calls are on their way, nothing was sent")]
    Busy,
    /// Something may have been sent, and no whole answer came.
    #[error("no whole answer came")]
    Unanswered,
    /// The answer is not what the protocol promises.
    #[error("the answer is malformed")]
    Malformed,
}

/// A whole answer.
#[derive(Debug)]
pub struct FullResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, whole.
    pub body: Vec<u8>,
}

impl FullResponse {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// Returns [`CallError::Malformed`] if it is not the JSON expected.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Malformed)
    }
}

/// How many connections a client has at the most; calls beyond that wait for their turn within
/// their own time, and those that do not get it were not sent.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// To one host.
    pub per_host: usize,
    /// To all hosts together; idle ones are closed to make room.
    pub total: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            per_host: USUAL_PER_HOST,
            total: USUAL_TOTAL,
        }
    }
}

/// A client that keeps connections and bounds every call.
#[derive(Clone)]
pub struct HttpClient {
    idle: Arc<IdleConnections>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::with_limits(Limits::default())
    }

    /// Makes a client that has at most so many connections.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            idle: Arc::new(IdleConnections::new(limits)),
        }
    }

    /// How many connections there are.
    pub fn connection_count(&self) -> usize {
        self.idle.limits.total - self.idle.room.available_permits()
    }

    /// Sends `body` with `headers` and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// See [`CallError`]; [`CallError::NotSent`] and [`CallError::Busy`] prove that nothing was
    /// sent.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<FullResponse, CallError> {
        let (host, req) = request(method, url, headers, body)?;
        let until = Instant::now() + timeout;
        let turn = tokio::time::timeout_at(until, self.idle.turn(&host)).await;
        let _turn = turn.map_err(|_| CallError::Busy)?;
        let connecting = tokio::time::timeout_at(until, self.connection(&host)).await;
        let connection = connecting.map_err(|_| CallError::NotSent)??;
        let answer = timeout::wait_until(until, self.exchange(&host, connection, req)).await;
        answer.unwrap_or(Err(CallError::Unanswered))
    }

    /// Sends a value as JSON.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn post_json<T: Serialize>(
        &self,
        url: &str,
        value: &T,
        timeout: Duration,
    ) -> Result<FullResponse, CallError> {
        let body = serde_json::to_vec(value).map_err(|_| CallError::NotSent)?;
        let headers = [(
            header::CONTENT_TYPE.as_str(),
            String::from("application/json"),
        )];
        self.call(Method::POST, url, &headers, body, timeout).await
    }

    async fn exchange(
        &self,
        host: &str,
        mut connection: Connection,
        req: Outgoing,
    ) -> Result<FullResponse, CallError> {
        let mut doubt = Doubt::new(&self.idle, host);
        let sent = connection.sender.try_send_request(req).await;
        let response = sent.map_err(|mut err| match err.take_message() {
            Some(_) => CallError::NotSent,
            None => CallError::Unanswered,
        })?;
        let answer = read(response).await?;
        doubt.settled = true;
        self.idle.put(host, connection);
        Ok(answer)
    }

    /// A connection that takes a request now: a kept one, or else a new one.
    async fn connection(&self, host: &str) -> Result<Connection, CallError> {
        while let Some(mut connection) = self.idle.take(host) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let room = self.idle.room().await;
        let sender = connect(host).await?;
        Ok(Connection {
            sender,
            _room: room,
        })
    }
}

type Outgoing = Request<Full<Bytes>>;
type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection, which counts among all that there are for as long as it is held.
struct Connection {
    sender: Sender,
    _room: Option<OwnedSemaphorePermit>,
}

/// Makes a request as it goes over a connection, and tells the host that it is for.
fn request(
    method: Method,
    url: &str,
    headers: &[(&'static str, String)],
    body: Vec<u8>,
) -> Result<(String, Outgoing), CallError> {
    let unsendable = |err: &dyn std::error::Error| {
        tracing::error!(%err, url, "a request cannot be made");
        CallError::NotSent
    };
    let url_parts: Uri = url.parse().map_err(|err| unsendable(&err))?;
    let host = url_parts.authority().map_or("", |host| host.as_str());
    let path = url_parts.path_and_query().map_or("/", |path| path.as_str());
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, value.as_str());
    }
    // A caller may name another host than the one that the connection goes to.
    if !headers.iter().any(|(name, _)| header::HOST == *name) {
        req = req.header(header::HOST, host);
    }
    let req = req.body(Full::from(body)).map_err(|err| unsendable(&err))?;
    Ok((host.to_owned(), req))
}

async fn connect(host: &str) -> Result<Sender, CallError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, keep_alive::connect(host)).await;
    let stream = connecting
        .map_err(|_| CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::NotSent)?;
    let host = host.to_owned();
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!(%err, host, "connection ended");
        }
    });
    Ok(sender)
}

async fn read(response: Response<Incoming>) -> Result<FullResponse, CallError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER)
        .collect()
        .await
        .map_err(|_| CallError::Unanswered)?;
    Ok(FullResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes().to_vec(),
    })
}

/// Connections without a call, by host, and how many there may be in all.
struct IdleConnections {
    limits: Limits,
    /// Room for further connections, idle ones and others.
    room: Arc<Semaphore>,
    /// How many calls wait for room.
    waiting: AtomicUsize,
    known: Mutex<Known>,
}

struct Known {
    hosts: HashMap<String, Host>,
    swept: Instant,
}

struct Host {
    /// Turns to make calls.
    turns: Arc<Semaphore>,
    idle: Vec<Idle>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

impl IdleConnections {
    fn new(limits: Limits) -> Self {
        let known = Known {
            hosts: HashMap::new(),
            swept: Instant::now(),
        };
        Self {
            limits,
            room: Arc::new(Semaphore::new(limits.total)),
            waiting: AtomicUsize::new(0),
            known: Mutex::new(known),
        }
    }

    /// Waits for the turn to make a call to `host`, first come, first served.
    async fn turn(&self, host: &str) -> Option<OwnedSemaphorePermit> {
        let turns = {
            let mut known = self.lock();
            known.sweep();
            Arc::clone(&known.host(host, self.limits.per_host).turns)
        };
        // The semaphore is never closed.
        turns.acquire_owned().await.ok()
    }

    /// Waits for room for one more connection; the one that was idle longest makes room.
    async fn room(&self) -> Option<OwnedSemaphorePermit> {
        if self.room.available_permits() == 0 {
            let closed = self.lock().take_oldest();
            drop(closed);
        }
        let _waiting = Waiting::new(&self.waiting);
        // The semaphore is never closed.
        Arc::clone(&self.room).acquire_owned().await.ok()
    }

    /// The connection that was used last, since it is the likeliest to work.
    fn take(&self, host: &str) -> Option<Connection> {
        let mut known = self.lock();
        let idle = &mut known.hosts.get_mut(host)?.idle;
        while let Some(last) = idle.pop() {
            let expired = last.since.elapsed() > IDLE_TIMEOUT;
            if !expired && !last.connection.sender.is_closed() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection, unless a call to another host waits for its room.
    fn put(&self, host: &str, connection: Connection) {
        if self.waiting.load(Ordering::Relaxed) > 0 {
            return;
        }
        let since = Instant::now();
        let mut known = self.lock();
        let idle = &mut known.host(host, self.limits.per_host).idle;
        idle.push(Idle { connection, since });
    }

    /// Closes all idle ones to `host`.
    fn drop_all(&self, host: &str) {
        if let Some(host) = self.lock().hosts.get_mut(host) {
            host.idle.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as waiting for room, also when whoever makes it gives up.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Known {
    fn host(&mut self, host: &str, turns: usize) -> &mut Host {
        if !self.hosts.contains_key(host) {
            let new = Host {
                turns: Arc::new(Semaphore::new(turns)),
                idle: Vec::new(),
            };
            self.hosts.insert(host.to_owned(), new);
        }
        self.hosts.get_mut(host).expect("it was just put there")
    }

    /// The connection that has been idle for the longest time, to whichever host.
    fn take_oldest(&mut self) -> Option<Connection> {
        let oldest = self
            .hosts
            .values_mut()
            .filter(|host| !host.idle.is_empty())
            .min_by_key(|host| host.idle[0].since)?;
        Some(oldest.idle.remove(0).connection)
    }

    /// Closes what nobody uses, also to hosts that are not called any more.
    fn sweep(&mut self) {
        if self.swept.elapsed() < IDLE_TIMEOUT {
            return;
        }
        self.swept = Instant::now();
        self.hosts.retain(|_, host| {
            host.idle.retain(|idle| {
                idle.since.elapsed() < IDLE_TIMEOUT && !idle.connection.sender.is_closed()
            });
            // Whoever waits for a turn or has one holds the semaphore as well.
            !host.idle.is_empty() || Arc::strong_count(&host.turns) > 1
        });
    }
}

/// A call on its way; unless it is answered, also when whoever waits for it gives up,
/// the idle connections to its host are closed.
struct Doubt<'a> {
    idle: &'a IdleConnections,
    host: &'a str,
    settled: bool,
}

impl<'a> Doubt<'a> {
    fn new(idle: &'a IdleConnections, host: &'a str) -> Self {
        Self {
            idle,
            host,
            settled: false,
        }
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.idle.drop_all(self.host);
        }
    }
}
