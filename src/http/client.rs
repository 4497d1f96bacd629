//! An HTTP client that tells what a failed call may have done.
//!
//! It keeps connections.  When a call brought no answer, all idle ones to that host may
//! have gone silent with it, so none of them is used again: one call is lost, not one for
//! each connection ([the design](../../docs/DESIGN.md), "Connections that go silent").

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use volo_http::http::header;
use volo_http::http::{HeaderMap, Method, Request, Response, StatusCode, Uri};

use crate::keep_alive;

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The most connections kept idle to one address.
const MAX_IDLE_PER_HOST: usize = 64;
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
    /// Something may have been sent, and no whole answer came.
    #[error("no whole answer came")]
    Unanswered,
    /// The answer is not what the protocol promises.
    #[error("the answer is malformed")]
    Malformed,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, whole.
    pub body: Vec<u8>,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// Returns [`CallError::Malformed`] if it is not the JSON expected.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Malformed)
    }
}

/// A client that keeps connections and bounds every call.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Arc<IdleConnections>,
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `body` with `headers` and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// See [`CallError`]; only [`CallError::NotSent`] proves that nothing was sent.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let (host, req) = request(method, url, headers, body)?;
        match tokio::time::timeout(timeout, self.exchange(&host, req)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::Unanswered),
        }
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
    ) -> Result<Answer, CallError> {
        let body = serde_json::to_vec(value).map_err(|_| CallError::NotSent)?;
        let headers = [(
            header::CONTENT_TYPE.as_str(),
            String::from("application/json"),
        )];
        self.call(Method::POST, url, &headers, body, timeout).await
    }

    async fn exchange(&self, host: &str, req: Outgoing) -> Result<Answer, CallError> {
        let mut sender = self.connection(host).await?;
        let mut doubt = Doubt::new(&self.idle, host);
        let sent = sender.try_send_request(req).await;
        let response = sent.map_err(|mut err| match err.take_message() {
            Some(_) => CallError::NotSent,
            None => CallError::Unanswered,
        })?;
        let answer = read(response).await?;
        doubt.settled = true;
        self.idle.put(host, sender);
        Ok(answer)
    }

    /// A connection that takes a request now: a kept one, or else a new one.
    async fn connection(&self, host: &str) -> Result<Sender, CallError> {
        while let Some(mut sender) = self.idle.take(host) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(host).await
    }
}

type Outgoing = Request<Full<Bytes>>;
type Sender = http1::SendRequest<Full<Bytes>>;

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

async fn read(response: Response<Incoming>) -> Result<Answer, CallError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER)
        .collect()
        .await
        .map_err(|_| CallError::Unanswered)?;
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes().to_vec(),
    })
}

/// Connections without a call, by host.
struct IdleConnections {
    known: Mutex<Known>,
}

struct Known {
    hosts: HashMap<String, Vec<Idle>>,
    swept: Instant,
}

struct Idle {
    sender: Sender,
    since: Instant,
}

impl Default for IdleConnections {
    fn default() -> Self {
        let known = Known {
            hosts: HashMap::new(),
            swept: Instant::now(),
        };
        Self {
            known: Mutex::new(known),
        }
    }
}

impl IdleConnections {
    /// The connection that was used last, since it is the likeliest to work.
    fn take(&self, host: &str) -> Option<Sender> {
        let mut known = self.lock();
        let idle = known.hosts.get_mut(host)?;
        while let Some(last) = idle.pop() {
            let expired = last.since.elapsed() > IDLE_TIMEOUT;
            if !expired && !last.sender.is_closed() {
                return Some(last.sender);
            }
        }
        None
    }

    fn put(&self, host: &str, sender: Sender) {
        let mut known = self.lock();
        known.sweep();
        let since = Instant::now();
        let idle = known.hosts.entry(host.to_owned()).or_default();
        if idle.len() < MAX_IDLE_PER_HOST {
            idle.push(Idle { sender, since });
        }
    }

    /// Closes all to `host`.
    fn drop_all(&self, host: &str) {
        self.lock().hosts.remove(host);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// Closes what nobody uses, also to hosts that are not called any more.
    fn sweep(&mut self) {
        if self.swept.elapsed() < IDLE_TIMEOUT {
            return;
        }
        self.swept = Instant::now();
        self.hosts.retain(|_, idle| {
            idle.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT && !idle.sender.is_closed());
            !idle.is_empty()
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
