//! An HTTP client whose connections stay open until the process at the other end is gone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use serde_json::Value;
use tokio::net::TcpStream;
use volo_http::http::{Method, Request, header};

use super::plan::HOST;
use super::processes::Addresses;

/// How long a caller waits for an answer, which it also tells the node.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What became of a call.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// No connection could be opened, so nothing was sent.
    pub not_sent: bool,
    /// None if no complete answer came in time.
    pub status: Option<u16>,
    /// The value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    pub body: Value,
}

impl Answer {
    pub fn not_sent() -> Self {
        Self {
            not_sent: true,
            ..Self::default()
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;
type Idle = Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>;

/// The callers of one workspace, with the connections that they share.
#[derive(Clone)]
pub struct Client {
    authorization: String,
    nodes: Addresses,
    idle: Idle,
}

impl Client {
    pub fn new(key: &str, nodes: Addresses) -> Self {
        Self {
            authorization: format!("Bearer {key}"),
            nodes,
            idle: Idle::default(),
        }
    }

    /// Calls any node that has been started.  If no answer comes in time, the connection stays open
    /// all the same: a paused process may still carry the call out.
    pub async fn call(&self, method: Method, path: &str, body: &str, rng: &mut StdRng) -> Answer {
        let nodes = self.nodes.lock().expect("no panic").clone();
        let Some(at) = nodes.into_values().choose(rng) else {
            return Answer::not_sent();
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, HOST)
            .header(header::AUTHORIZATION, &self.authorization)
            .header("x-deadline-ms", CALL_TIMEOUT.as_millis().to_string())
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        let call = tokio::spawn(send(Arc::clone(&self.idle), at, request));
        let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
        answer.ok().and_then(Result::ok).unwrap_or_default()
    }
}

async fn send(idle: Idle, at: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let Some(mut sender) = connection(&idle, at).await else {
        return Answer::not_sent();
    };
    let Ok(response) = sender.send_request(request).await else {
        return Answer::default();
    };
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return Answer::default();
    };
    let mut idle = idle.lock().expect("no panic");
    idle.entry(at).or_default().push(sender);
    let retry_after = parts.headers.get(header::RETRY_AFTER);
    Answer {
        not_sent: false,
        status: Some(parts.status.as_u16()),
        retry_after: retry_after.and_then(|value| value.to_str().ok()?.parse().ok()),
        body: serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
    }
}

/// Takes an idle connection that is still open, or opens one.
async fn connection(idle: &Idle, at: SocketAddr) -> Option<Sender> {
    let take = || idle.lock().expect("no panic").get_mut(&at)?.pop();
    while let Some(mut sender) = take() {
        if sender.ready().await.is_ok() {
            return Some(sender);
        }
    }
    let stream = TcpStream::connect(at).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
