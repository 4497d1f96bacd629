//! An HTTP client whose errors say whether the request may have been sent.
//!
//! It reuses connections.  When a call gets no response, the idle connections to that host may have
//! gone silent as well, so all of them are closed: one call is lost instead of one for each
//! connection ([the design](../../docs/DESIGN.md), "Connections that go silent").

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

use crate::traffic::Counter;
use crate::{keep_alive, timeout};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The default limit of connections to one host: more than the calls that a node makes to the store
/// at the same time.
const DEFAULT_PER_HOST: usize = 64;
/// The default limit of connections to all hosts: a quarter of the file descriptors of a VM.
const DEFAULT_TOTAL: usize = 1_024;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest time for a response body whose time is not limited as a whole.
const MAX_BODY_TIME: Duration = Duration::from_secs(20);
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request could not be built, or no connection to the host was available in time; nothing
    /// was sent.
    #[error("could not connect, nothing was sent")]
    NotSent,
    /// As many calls to the host as [`Limits::per_host`] allows were in progress until the
    /// time-out; nothing was sent.
    #[error("too many calls to the host are in progress, nothing was sent")]
    Busy,
    /// The request may have been sent, and no complete response was received.
    #[error("no complete response was received")]
    Unanswered,
    /// The response is not of the expected form.
    #[error("the response is malformed")]
    Malformed,
}

/// A response that was received completely.
#[derive(Debug)]
pub struct FullResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl FullResponse {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// Fails with [`CallError::Malformed`] if it is not JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Malformed)
    }
}

/// How many connections a client may have at the same time.  A call beyond that waits until its
/// time-out for a connection; if it gets none, nothing is sent.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The limit for one host.
    pub per_host: usize,
    /// The limit for all hosts together; idle connections are closed to make room for new ones.
    pub total: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            per_host: DEFAULT_PER_HOST,
            total: DEFAULT_TOTAL,
        }
    }
}

/// A client that reuses connections and makes each call with a time-out.  Clones share the
/// connections.
#[derive(Clone)]
pub struct HttpClient {
    pool: Arc<ConnectionPool>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with the default limits.
    pub fn new() -> Self {
        Self::with_limits(Limits::default())
    }

    /// Creates a client with these limits.
    pub fn with_limits(limits: Limits) -> Self {
        Self::counted(limits, Arc::default())
    }

    /// Creates a client with these limits, whose connections and bytes are counted by `counter`.
    pub fn counted(limits: Limits, counter: Arc<Counter>) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(limits, counter)),
        }
    }

    /// The number of open connections, including those that are being opened.
    pub fn connection_count(&self) -> usize {
        self.pool.limits.total - self.pool.permits.available_permits()
    }

    /// Sends `body` with `headers` and reads the complete response within `timeout`.
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
        self.call_patiently(method, url, headers, body, timeout, timeout)
            .await
    }

    /// Sends `body` with `headers` if a connection is available within `connect_timeout`, and reads
    /// the complete response within `timeout`, both from now on.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn call_patiently(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
        connect_timeout: Duration,
        timeout: Duration,
    ) -> Result<FullResponse, CallError> {
        let (host, req) = build_request(method, url, headers, body)?;
        let began = Instant::now();
        let (connection, _slot) = self.acquire(&host, began + connect_timeout).await?;
        let limits = ResponseTimeout::ByCaller;
        let exchange = self.exchange(&host, connection, req, limits);
        let answer = timeout::wait_until(began + timeout, exchange).await;
        answer.unwrap_or(Err(CallError::Unanswered))
    }

    /// Closes the idle connections to a host and port of which a call gets no response: they may have
    /// gone silent as well.
    pub fn close_idle(&self, host: &str) {
        self.pool.close_idle(host);
    }

    /// Reads `url`.  The response must begin within `timeout`, and its body must not pause for
    /// longer than `stall_timeout`; beyond that it may take as long as its size and the bandwidth
    /// of the link ask for, [`MAX_BODY_TIME`] at most.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn get(
        &self,
        url: &str,
        timeout: Duration,
        stall_timeout: Duration,
    ) -> Result<FullResponse, CallError> {
        let (host, req) = build_request(Method::GET, url, &[], Vec::new())?;
        let deadline = Instant::now() + timeout;
        let (connection, _slot) = self.acquire(&host, deadline).await?;
        let limits = ResponseTimeout::Stall {
            begin: deadline,
            stall: stall_timeout,
        };
        self.exchange(&host, connection, req, limits).await
    }

    /// Waits until `deadline` for a call slot of `host` and a connection to it.
    async fn acquire(
        &self,
        host: &str,
        deadline: Instant,
    ) -> Result<(Connection, Option<OwnedSemaphorePermit>), CallError> {
        let slot = timeout::wait_until(deadline, self.pool.acquire_slot(host)).await;
        let slot = slot.ok_or(CallError::Busy)?;
        let connecting = timeout::wait_until(deadline, self.connection(host)).await;
        let connection = connecting.ok_or(CallError::NotSent)??;
        Ok((connection, slot))
    }

    /// Posts a value as JSON.
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
        req: OutgoingRequest,
        limits: ResponseTimeout,
    ) -> Result<FullResponse, CallError> {
        let mut in_flight = InFlight::new(&self.pool, host);
        let sent = limits.limit_begin(connection.sender.try_send_request(req));
        let sent = sent.await.ok_or(CallError::Unanswered)?;
        let response = sent.map_err(|mut err| match err.take_message() {
            Some(_) => CallError::NotSent,
            None => CallError::Unanswered,
        })?;
        let answer = read_response(response, limits).await?;
        in_flight.answered = true;
        self.pool.put(host, connection);
        Ok(answer)
    }

    /// Returns an idle connection that is still usable, or else a new one.
    async fn connection(&self, host: &str) -> Result<Connection, CallError> {
        while let Some(mut connection) = self.pool.take(host) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let permit = self.pool.acquire_permit().await;
        let sender = connect(host, &self.pool.counter).await?;
        Ok(Connection {
            sender,
            _permit: permit,
        })
    }
}

type OutgoingRequest = Request<Full<Bytes>>;
type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection with the permit that counts it against [`Limits::total`].
struct Connection {
    sender: Sender,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Builds a request, and returns it with the host and port to connect to.
fn build_request(
    method: Method,
    url: &str,
    headers: &[(&'static str, String)],
    body: Vec<u8>,
) -> Result<(String, OutgoingRequest), CallError> {
    let not_sent = |err: &dyn std::error::Error| {
        tracing::error!(%err, url, "cannot build a request");
        CallError::NotSent
    };
    let uri: Uri = url.parse().map_err(|err| not_sent(&err))?;
    let host = uri.authority().map_or("", |host| host.as_str());
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, value.as_str());
    }
    // The given headers may name another host than the one that is connected to.
    if !headers.iter().any(|(name, _)| header::HOST == *name) {
        req = req.header(header::HOST, host);
    }
    let req = req.body(Full::from(body)).map_err(|err| not_sent(&err))?;
    Ok((host.to_owned(), req))
}

async fn connect(host: &str, counter: &Arc<Counter>) -> Result<Sender, CallError> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let connecting = timeout::wait_until(deadline, keep_alive::connect(host)).await;
    let stream = connecting
        .ok_or(CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    let (sender, connection) = http1::handshake(TokioIo::new(counter.count(stream)))
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

/// How long a response may take, if its caller does not limit that itself.
#[derive(Debug, Clone, Copy)]
enum ResponseTimeout {
    /// The caller limits the whole exchange.
    ByCaller,
    /// The response must begin by `begin`, and its body must not pause for longer than `stall`.
    Stall { begin: Instant, stall: Duration },
}

impl ResponseTimeout {
    /// Waits for the begin of a response; none on timeout.
    async fn limit_begin<T>(self, begin: impl Future<Output = T>) -> Option<T> {
        match self {
            Self::ByCaller => Some(begin.await),
            Self::Stall {
                begin: deadline, ..
            } => timeout::wait_until(deadline, begin).await,
        }
    }

    /// Waits for the next part of a body that began at `began`; none on timeout.
    async fn limit_frame<T>(self, began: Instant, frame: impl Future<Output = T>) -> Option<T> {
        match self {
            Self::ByCaller => Some(frame.await),
            Self::Stall { stall, .. } => {
                let deadline = (Instant::now() + stall).min(began + MAX_BODY_TIME);
                timeout::wait_until(deadline, frame).await
            }
        }
    }
}

async fn read_response(
    response: Response<Incoming>,
    limits: ResponseTimeout,
) -> Result<FullResponse, CallError> {
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut bytes = Vec::new();
    let began = Instant::now();
    loop {
        let frame = limits.limit_frame(began, body.frame()).await;
        let Some(frame) = frame.ok_or(CallError::Unanswered)? else {
            break;
        };
        let frame = frame.map_err(|_| CallError::Unanswered)?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(FullResponse {
        status: parts.status,
        headers: parts.headers,
        body: bytes,
    })
}

/// The idle connections of a client, and the limits on all its connections.
struct ConnectionPool {
    limits: Limits,
    /// One permit for each connection, idle or in use, that may still be opened.
    permits: Arc<Semaphore>,
    /// The number of calls that wait for a connection permit.
    waiting_for_permit: AtomicUsize,
    hosts: Mutex<Hosts>,
    counter: Arc<Counter>,
}

struct Hosts {
    /// By host and port.
    by_name: HashMap<String, HostPool>,
    last_sweep: Instant,
}

struct HostPool {
    /// One call slot for each further call that may be made to the host now.
    slots: Arc<Semaphore>,
    /// The idle connections, the one that has been idle longest first.
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl ConnectionPool {
    fn new(limits: Limits, counter: Arc<Counter>) -> Self {
        let hosts = Hosts {
            by_name: HashMap::new(),
            last_sweep: Instant::now(),
        };
        Self {
            limits,
            permits: Arc::new(Semaphore::new(limits.total)),
            waiting_for_permit: AtomicUsize::new(0),
            hosts: Mutex::new(hosts),
            counter,
        }
    }

    /// Waits for a call slot of `host`, first come, first served.
    async fn acquire_slot(&self, host: &str) -> Option<OwnedSemaphorePermit> {
        let slots = {
            let mut hosts = self.lock();
            hosts.sweep();
            Arc::clone(&hosts.host(host, self.limits.per_host).slots)
        };
        // The semaphore is never closed.
        slots.acquire_owned().await.ok()
    }

    /// Waits for a connection permit.  If there is none, closes the connection that has been idle
    /// longest, which frees its permit.
    async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if self.permits.available_permits() == 0 {
            let closed = self.lock().take_oldest();
            drop(closed);
        }
        let _waiting = WaitingGuard::new(&self.waiting_for_permit);
        // The semaphore is never closed.
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Takes the idle connection that was used last, since it is the likeliest to work.
    fn take(&self, host: &str) -> Option<Connection> {
        let mut hosts = self.lock();
        let idle = &mut hosts.by_name.get_mut(host)?.idle;
        while let Some(last) = idle.pop() {
            let expired = last.since.elapsed() > IDLE_TIMEOUT;
            if !expired && !last.connection.sender.is_closed() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection as idle.  If a call waits for a connection permit, closes it instead,
    /// since that frees its permit.
    fn put(&self, host: &str, connection: Connection) {
        if self.waiting_for_permit.load(Ordering::Relaxed) > 0 {
            return;
        }
        let since = Instant::now();
        let mut hosts = self.lock();
        let idle = &mut hosts.host(host, self.limits.per_host).idle;
        idle.push(IdleConnection { connection, since });
    }

    /// Closes all idle connections to `host`.
    fn close_idle(&self, host: &str) {
        if let Some(host) = self.lock().by_name.get_mut(host) {
            host.idle.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Hosts> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as waiting for a connection permit until it is dropped, as it is when the call is
/// abandoned.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Hosts {
    /// Returns the pool of `host`; adds one with this number of call slots if there is none.
    fn host(&mut self, host: &str, slots: usize) -> &mut HostPool {
        if !self.by_name.contains_key(host) {
            let new = HostPool {
                slots: Arc::new(Semaphore::new(slots)),
                idle: Vec::new(),
            };
            self.by_name.insert(host.to_owned(), new);
        }
        self.by_name
            .get_mut(host)
            .expect("the host was just inserted")
    }

    /// Takes the connection that has been idle longest, to any host.
    fn take_oldest(&mut self) -> Option<Connection> {
        let oldest = self
            .by_name
            .values_mut()
            .filter(|host| !host.idle.is_empty())
            .min_by_key(|host| host.idle[0].since)?;
        Some(oldest.idle.remove(0).connection)
    }

    /// Closes connections that have been idle too long, also to hosts that are no longer called,
    /// and removes hosts without idle connections and calls.  Does so at most once in
    /// [`IDLE_TIMEOUT`].
    fn sweep(&mut self) {
        if self.last_sweep.elapsed() < IDLE_TIMEOUT {
            return;
        }
        self.last_sweep = Instant::now();
        self.by_name.retain(|_, host| {
            host.idle.retain(|idle| {
                idle.since.elapsed() < IDLE_TIMEOUT && !idle.connection.sender.is_closed()
            });
            // A call that has a slot or waits for one holds the semaphore as well.
            !host.idle.is_empty() || Arc::strong_count(&host.slots) > 1
        });
    }
}

/// A call in flight.  If it is dropped without a complete response, also because the call is
/// abandoned, the idle connections to its host are closed.
struct InFlight<'a> {
    pool: &'a ConnectionPool,
    host: &'a str,
    answered: bool,
}

impl<'a> InFlight<'a> {
    fn new(pool: &'a ConnectionPool, host: &'a str) -> Self {
        Self {
            pool,
            host,
            answered: false,
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.pool.close_idle(self.host);
        }
    }
}
