//! The HTTP interfaces of the platform, the workers and the targets.

use std::convert::Infallible;
use std::future;
use std::sync::Arc;
use std::time::Duration;

use crossweir::backend::remote::{
    ConflictReply, LEAVING_HEADER, ReadCall, ScanCall, TransactCall, TransactReply,
};
use crossweir::backend::{Exchange, Store, StoreError, VmList};
use crossweir::http::{answer, parse};
use serde::Serialize;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::http::header::{self, HeaderValue};
use volo_http::http::{Method, StatusCode};
use volo_http::request::Request;
use volo_http::response::Response;
use xxhash_rust::xxh3;

use crate::control;
use crate::targets::Answer;
use crate::world::World;

/// The largest body that is taken, in bytes.
const MAX_BODY: u64 = 64 * 1024 * 1024;

/// All interfaces on one port.
#[derive(Clone)]
pub struct StandinService {
    /// What is played.
    pub world: Arc<World>,
}

impl Service<ServerContext, Request> for StandinService {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let (parts, body) = req.into_parts();
        let body = parse::body(body, MAX_BODY).await.unwrap_or_default();
        let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
        let tag = parts.headers.get(header::IF_NONE_MATCH).cloned();
        Ok(self.answer(&parts.method, &path, body, tag).await)
    }
}

impl StandinService {
    async fn answer(
        &self,
        method: &Method,
        path: &[&str],
        body: Vec<u8>,
        tag: Option<HeaderValue>,
    ) -> Response {
        match (method.as_str(), path) {
            ("POST", ["table", call]) => self.table(call, &body).await,
            ("GET", ["vms"]) => self.vms(tag).await,
            (_, ["objects", key]) => self.object(method, key, body).await,
            ("POST", ["workers", vm, "exchange"]) => self.worker(vm, &body).await,
            ("POST", ["targets", vm, ..]) => self.target(vm, body).await,
            ("POST", ["control"]) => match serde_json::from_slice(&body) {
                Ok(fault) => {
                    control::set(&self.world, fault);
                    answer::json(StatusCode::OK, &())
                }
                Err(err) => answer::json(StatusCode::BAD_REQUEST, &err.to_string()),
            },
            ("GET", ["control"]) => answer::json(StatusCode::OK, &control::report(&self.world)),
            _ => answer::json(StatusCode::NOT_FOUND, &()),
        }
    }

    /// Sends the list of VMs, unless the caller has it as it is.
    async fn vms(&self, known: Option<HeaderValue>) -> Response {
        let Ok(vms) = self.world.store.list().await else {
            return from_store::<()>(Err(StoreError::Unavailable));
        };
        let body = serde_json::to_vec(&vms).unwrap_or_default();
        let tag = format!("\"{:016x}\"", xxh3::xxh3_64(&body));
        if known.is_some_and(|known| known == tag.as_str()) {
            return answer::with_body(StatusCode::NOT_MODIFIED, "application/json", Vec::new());
        }
        let mut response = answer::with_body(StatusCode::OK, "application/json", body);
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            response.headers_mut().insert(header::ETAG, tag);
        }
        response
    }

    async fn table(&self, call: &str, body: &[u8]) -> Response {
        let pause = self.world.delays().store_ms;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let store = &self.world.store;
        match call {
            "read" => match serde_json::from_slice::<ReadCall>(body) {
                Ok(call) => from_store(store.read(call.keys).await),
                Err(_) => bad_request(),
            },
            "scan" => match serde_json::from_slice::<ScanCall>(body) {
                Ok(call) => from_store(store.scan(call.prefix).await),
                Err(_) => bad_request(),
            },
            "transact" => match serde_json::from_slice::<TransactCall>(body) {
                Ok(call) => from_store(
                    store
                        .transact(call.ops)
                        .await
                        .map(|version| TransactReply { version }),
                ),
                Err(_) => bad_request(),
            },
            _ => answer::json(StatusCode::NOT_FOUND, &()),
        }
    }

    async fn object(&self, method: &Method, key: &str, body: Vec<u8>) -> Response {
        let store = &self.world.store;
        if *method == Method::PUT {
            return from_store(store.put_object(key.to_owned(), body).await);
        }
        match store.get_object(key.to_owned()).await {
            Ok(Some(body)) => answer::with_body(StatusCode::OK, "application/octet-stream", body),
            Ok(None) => answer::json(StatusCode::NOT_FOUND, &()),
            Err(err) => from_store::<()>(Err(err)),
        }
    }

    async fn worker(&self, vm: &str, body: &[u8]) -> Response {
        if self.world.is_frozen(vm) {
            future::pending::<()>().await;
        }
        let Ok(msg) = serde_json::from_slice::<Exchange>(body) else {
            return bad_request();
        };
        let reply = self
            .world
            .workers
            .with(vm, |worker, now| worker.exchange(&msg, now));
        match reply {
            Some(reply) => answer::json(StatusCode::OK, &reply),
            None => answer::json(StatusCode::NOT_FOUND, &()),
        }
    }

    async fn target(&self, vm: &str, body: Vec<u8>) -> Response {
        if self.world.is_frozen(vm) {
            future::pending::<()>().await;
        }
        let leaving = match self.world.targets.run(vm, &body).await {
            Answer::Echo { leaving } => leaving,
            Answer::Refused => {
                let mut response = answer::json(StatusCode::SERVICE_UNAVAILABLE, &());
                response
                    .headers_mut()
                    .insert(LEAVING_HEADER, HeaderValue::from_static("yes"));
                return response;
            }
            Answer::Lost => future::pending().await,
        };
        let mut response = answer::with_body(StatusCode::OK, "application/octet-stream", body);
        if leaving {
            response
                .headers_mut()
                .insert(LEAVING_HEADER, HeaderValue::from_static("yes"));
        }
        response
    }
}

fn bad_request() -> Response {
    answer::json(StatusCode::BAD_REQUEST, &())
}

fn from_store<T: Serialize>(result: Result<T, StoreError>) -> Response {
    match result {
        Ok(value) => answer::json(StatusCode::OK, &value),
        Err(StoreError::Conflict { index }) => {
            answer::json(StatusCode::CONFLICT, &ConflictReply { index })
        }
        Err(StoreError::Unavailable) => answer::json(StatusCode::SERVICE_UNAVAILABLE, &()),
        Err(StoreError::Unanswered) => answer::json(StatusCode::GATEWAY_TIMEOUT, &()),
    }
}
