//! An HTTP client that tells what a failed call may have done.

use std::error::Error as _;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client::{self, Client};
use volo_http::error::client::{ClientError, ErrorKind};
use volo_http::http::header;
use volo_http::http::{HeaderMap, Method, StatusCode};

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The most connections kept idle to one address.
const MAX_IDLE_PER_HOST: usize = 64;
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
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Makes a client with an empty pool of connections.
    ///
    /// # Panics
    /// Never in practice: the builder fails only on invalid headers, and none are given.
    pub fn new() -> Self {
        let mut builder = client::ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_max_idle_per_host(MAX_IDLE_PER_HOST);
        Self {
            client: builder
                .build()
                .expect("a client without headers can be built"),
        }
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
        let exchange = self.exchange(method, url, headers, body);
        match tokio::time::timeout(timeout, exchange).await {
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

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<Answer, CallError> {
        let mut req = self.client.request(method, url);
        for (name, value) in headers {
            req = req.header(*name, value.as_str());
        }
        let response = req.body(Body::from(body)).send().await.map_err(classify)?;
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
}

/// Tells what a failed call may have done.
///
/// The library gives a failed connection the same kind as a failed exchange; they
/// differ in what lies beneath.  An error of the operating system comes from
/// connecting, since whatever happens on a connection is reported by the protocol.
fn classify(err: ClientError) -> CallError {
    match err.kind() {
        ErrorKind::Builder | ErrorKind::Context | ErrorKind::Connect => CallError::NotSent,
        _ if never_sent(&err) => CallError::NotSent,
        _ => CallError::Unanswered,
    }
}

/// A request that its connection cancelled before it was written was not sent;
/// that happens when a kept connection has been closed by the other side.
fn never_sent(err: &ClientError) -> bool {
    let Some(source) = err.source() else {
        return false;
    };
    match source.downcast_ref::<hyper::Error>() {
        Some(err) => err.is_canceled(),
        None => source.is::<std::io::Error>(),
    }
}
