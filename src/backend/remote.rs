//! The platform, workers and targets over HTTP.
//!
//! Bodies are JSON except towards targets, whose bodies pass through untouched.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use volo_http::http::{Method, StatusCode, header};

use crate::backend::store::{Op, Row, Store, StoreError, Version};
use crate::backend::target::{TargetLink, TargetReply, TargetRequest};
use crate::backend::vm::{Vm, VmList};
use crate::backend::worker::{Exchange, LinkError, WorkerLink, WorkerReply};
use crate::http::client::{Answer, CallError, HttpClient};
use crate::metrics::Metrics;

/// The header by which a target says that it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// The header that carries the id of a request to a target.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header by which an unchanged list is not sent again.
const IF_NONE_MATCH: &str = "if-none-match";
/// How long a worker may take to answer.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1500);

/// A call that reads rows by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadCall {
    /// The keys to read.
    pub keys: Vec<String>,
}

/// A call that reads rows by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanCall {
    /// The prefix of the keys.
    pub prefix: String,
}

/// A call that applies a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactCall {
    /// The steps, all or none of which are applied.
    pub ops: Vec<Op>,
}

/// The answer to a transaction that was applied.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactReply {
    /// The version that the written rows got.
    pub version: Version,
}

/// The answer to a transaction that was not applied.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictReply {
    /// The first step that found another row than it expected.
    pub index: usize,
}

/// The platform's table service, object store and list of VMs.
pub struct RemotePlatform {
    http: HttpClient,
    base: String,
    timeout: Duration,
    metrics: Metrics,
    listed: Mutex<Listed>,
}

/// The list of VMs as last read, with the tag by which a change is noticed.
#[derive(Clone, Default)]
struct Listed {
    tag: Option<String>,
    vms: Vec<Vm>,
}

impl RemotePlatform {
    /// Makes an adapter for the platform at `base`, for example `http://127.0.0.1:9000`.
    pub fn new(base: String, timeout: Duration, metrics: Metrics) -> Self {
        Self {
            http: HttpClient::new(),
            base,
            timeout,
            metrics,
            listed: Mutex::default(),
        }
    }

    fn listed(&self) -> MutexGuard<'_, Listed> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn post<T: Serialize + Sync>(
        &self,
        call: &'static str,
        value: &T,
    ) -> Result<Answer, StoreError> {
        self.metrics.store_call(call);
        let url = format!("{}/table/{call}", self.base);
        let answer = self.http.post_json(&url, value, self.timeout).await;
        check(answer.map_err(store_error)?)
    }

    async fn object(&self, method: Method, key: &str, body: Vec<u8>) -> Result<Answer, StoreError> {
        self.metrics.store_call("object");
        let url = format!("{}/objects/{key}", self.base);
        let answer = self.http.call(method, &url, &[], body, self.timeout).await;
        answer.map_err(store_error)
    }
}

fn store_error(err: CallError) -> StoreError {
    match err {
        CallError::NotSent => StoreError::Unavailable,
        CallError::Unanswered | CallError::Malformed => StoreError::Unanswered,
    }
}

fn check(answer: Answer) -> Result<Answer, StoreError> {
    match answer.status {
        StatusCode::OK => Ok(answer),
        StatusCode::CONFLICT => {
            let conflict: ConflictReply = answer.json().map_err(store_error)?;
            Err(StoreError::Conflict {
                index: conflict.index,
            })
        }
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
        _ => Err(StoreError::Unanswered),
    }
}

impl Store for RemotePlatform {
    fn read(&self, keys: Vec<String>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            let answer = self.post("read", &ReadCall { keys }).await?;
            answer.json().map_err(store_error)
        }
        .boxed()
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, StoreError>> {
        async move {
            let answer = self.post("scan", &ScanCall { prefix }).await?;
            answer.json().map_err(store_error)
        }
        .boxed()
    }

    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Version, StoreError>> {
        async move {
            let answer = self.post("transact", &TransactCall { ops }).await?;
            let reply: TransactReply = answer.json().map_err(store_error)?;
            Ok(reply.version)
        }
        .boxed()
    }

    fn put_object(&self, key: String, body: Vec<u8>) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let answer = self.object(Method::PUT, &key, body).await?;
            check(answer).map(|_| ())
        }
        .boxed()
    }

    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, StoreError>> {
        async move {
            let answer = self.object(Method::GET, &key, Vec::new()).await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            check(answer).map(|answer| Some(answer.body))
        }
        .boxed()
    }
}

impl VmList for RemotePlatform {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, StoreError>> {
        async move {
            self.metrics.store_call("vms");
            let url = format!("{}/vms", self.base);
            let known = self.listed().clone();
            let headers: Vec<_> = known
                .tag
                .iter()
                .map(|tag| (IF_NONE_MATCH, tag.clone()))
                .collect();
            let answer = self
                .http
                .call(Method::GET, &url, &headers, Vec::new(), self.timeout)
                .await
                .map_err(store_error)?;
            if answer.status == StatusCode::NOT_MODIFIED {
                return Ok(known.vms);
            }
            let answer = check(answer)?;
            let vms: Vec<Vm> = answer.json().map_err(store_error)?;
            let tag = answer
                .headers
                .get(header::ETAG)
                .and_then(|tag| tag.to_str().ok());
            *self.listed() = Listed {
                tag: tag.map(str::to_owned),
                vms: vms.clone(),
            };
            Ok(vms)
        }
        .boxed()
    }
}

/// Workers and targets over HTTP.
#[derive(Default)]
pub struct RemoteVms {
    http: HttpClient,
}

fn link_error(err: CallError) -> LinkError {
    match err {
        CallError::NotSent => LinkError::NotSent,
        CallError::Unanswered => LinkError::Unanswered,
        CallError::Malformed => LinkError::Malformed,
    }
}

impl WorkerLink for RemoteVms {
    fn exchange(
        &self,
        endpoint: String,
        msg: Exchange,
    ) -> BoxFuture<'_, Result<WorkerReply, LinkError>> {
        async move {
            let url = format!("{endpoint}/exchange");
            let answer = self.http.post_json(&url, &msg, WORKER_TIMEOUT).await;
            let answer = answer.map_err(link_error)?;
            if answer.status != StatusCode::OK {
                return Err(LinkError::Malformed);
            }
            answer.json().map_err(link_error)
        }
        .boxed()
    }
}

impl TargetLink for RemoteVms {
    fn send(
        &self,
        endpoint: String,
        req: TargetRequest,
    ) -> BoxFuture<'_, Result<TargetReply, LinkError>> {
        async move {
            let url = format!("{endpoint}{}", req.path);
            let headers = [(REQUEST_ID_HEADER, req.id)];
            let timeout = Duration::from_millis(req.timeout_ms);
            let answer = self
                .http
                .call(Method::POST, &url, &headers, req.body, timeout)
                .await;
            let answer = answer.map_err(link_error)?;
            Ok(TargetReply {
                status: answer.status.as_u16(),
                leaving: answer.headers.contains_key(LEAVING_HEADER),
                body: answer.body,
            })
        }
        .boxed()
    }
}
