//! The calls of callers and operators, and what each answers.
//!
//! `docs/API.md` describes them for those who call.

use std::convert::Infallible;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::http::{HeaderMap, Method, StatusCode};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::cell::spec::{JobId, JobSpec, SpecError};
use crate::cell::view::JobView;
use crate::http::operator::OperatorToken;
use crate::http::{body, keys, response, server};
use crate::node::front::{Frontend, JobAnswer, RETRY_AFTER};
use crate::node::intake::SubmitOutcome;
use crate::node::policy::{self, Change, PolicyRow};
use crate::policy::Program;
use crate::queue::Configuration;
use crate::refusal::Refusal;
use crate::store::Version;
use crate::workspace::Caller;

/// The largest body before a configuration says otherwise, in bytes.
const DEFAULT_MAX_BODY: usize = 262_144;

/// A job as a caller hands it in.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Submission {
    /// The identity that the caller has chosen, 16 hexadecimal digits; handing the same
    /// one in again is harmless.
    pub id: String,
    /// The queue's name.
    pub queue: String,
    /// What is to run.
    #[serde(default)]
    pub job: JobSpec,
}

/// A job that was accepted or cancelled.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The id under which it is known.
    pub id: String,
}

/// The policy in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyView {
    /// Its version; zero for the built-in one.
    pub version: Version,
    /// The program.
    pub source: String,
    /// The note of the operator who set it.
    pub note: String,
}

/// A change of the policy, as an operator sends it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PolicyChange {
    /// The version that the operator has read; zero before any was set.
    pub expected: Version,
    /// The program.
    pub source: String,
    /// A note for other operators.
    #[serde(default)]
    pub note: String,
}

/// The version that a change brought into force.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The version.
    pub version: Version,
}

/// A refusal with what is to be said about this case of it.
struct Rejection {
    refusal: Refusal,
    detail: Option<String>,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: None,
        }
    }
}

impl From<SpecError> for Rejection {
    fn from(err: SpecError) -> Self {
        Refusal::Spec(err).into()
    }
}

/// Answers the calls of callers and operators.
#[derive(Clone)]
pub struct Api {
    front: Arc<Frontend>,
    token: Arc<OperatorToken>,
}

impl Service<ServerContext, Request> for Api {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let _busy = self.front.track_request();
        Ok(self.answer(req).await)
    }
}

impl Api {
    /// Makes the interface of a node.
    pub fn new(front: Arc<Frontend>, token: OperatorToken) -> Self {
        Self {
            front,
            token: Arc::new(token),
        }
    }

    async fn answer(&self, req: Request) -> Response {
        let answered = self.dispatch(req).await;
        answered.unwrap_or_else(|rejection| {
            let code = rejection.refusal.code();
            tracing::info!(reason = code, detail = rejection.detail, "call refused");
            self.front.shared.metrics.refusal(code);
            response::refusal(rejection.refusal, rejection.detail, RETRY_AFTER)
        })
    }

    async fn dispatch(&self, req: Request) -> Result<Response, Rejection> {
        let (parts, body) = req.into_parts();
        let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
        match (&parts.method, path.as_slice()) {
            (&Method::GET, ["health"]) => self.health(),
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::POST, ["v1", "jobs"]) => self.submit(&parts.headers, body).await,
            (&Method::GET, ["v1", "jobs", id]) => self.explain(&parts.headers, id.parse()?).await,
            (&Method::DELETE, ["v1", "jobs", id]) => self.cancel(&parts.headers, id.parse()?).await,
            (&Method::GET, ["v1", "status"]) => {
                Ok(response::json(StatusCode::OK, &self.front.status()))
            }
            (method, ["v1", "operator", "policy"]) => {
                self.policy(method, &parts.headers, body).await
            }
            _ => Err(Refusal::NoSuchPath.into()),
        }
    }

    fn health(&self) -> Result<Response, Rejection> {
        if self.front.is_ready() {
            Ok(response::json(
                StatusCode::OK,
                &serde_json::json!({"ready": true}),
            ))
        } else {
            Err(Refusal::NotReady.into())
        }
    }

    fn metrics(&self) -> Result<Response, Rejection> {
        match self.front.shared.render_metrics() {
            Ok(text) => Ok(response::text(StatusCode::OK, "text/plain", text)),
            Err(err) => {
                tracing::error!(%err, "metrics cannot be rendered");
                Err(Refusal::Internal.into())
            }
        }
    }

    /// Tells who calls: an operator by its token, anybody else by its key.
    fn caller(
        &self,
        config: &Configuration,
        is_public: bool,
        headers: &HeaderMap,
    ) -> Result<Caller, Rejection> {
        if self.token.admits(headers) {
            return Ok(Caller::Operator);
        }
        server::identify_caller(config, is_public, headers).map_err(|err| Refusal::from(err).into())
    }

    /// Who asks about a job, of which the queue is not known yet.
    fn asker(&self, headers: &HeaderMap) -> Result<Caller, Rejection> {
        let config = self.front.shared.config().unwrap_or_default();
        self.caller(&config, true, headers)
    }

    async fn submit(&self, headers: &HeaderMap, body: Body) -> Result<Response, Rejection> {
        let submission: Submission = self.read(body).await?;
        let id: JobId = submission.id.parse()?;
        submission.job.check()?;
        let Some(config) = self.front.shared.config() else {
            return Err(Refusal::NoConfiguration.into());
        };
        let Some(queue) = config.queue(&submission.queue) else {
            return Err(Refusal::NoQueue.into());
        };
        let caller = self.caller(&config, queue.public, headers)?;
        let submitted = self.front.submit(&caller, queue, id, submission.job, None);
        match submitted.await {
            SubmitOutcome::Accepted => Ok(accepted(id)),
            SubmitOutcome::Refused => Err(Refusal::StoreUnavailable.into()),
            SubmitOutcome::Doubtful => Err(Refusal::Doubtful.into()),
            SubmitOutcome::BeyondCap => Err(Refusal::BeyondCap.into()),
            SubmitOutcome::IdInUse => Err(Refusal::IdInUse.into()),
        }
    }

    async fn explain(&self, headers: &HeaderMap, id: JobId) -> Result<Response, Rejection> {
        let caller = self.asker(headers)?;
        match self.front.explain(&caller, id).await {
            Ok(view) => Ok(response::json(StatusCode::OK, &view)),
            Err(JobAnswer::State(state)) => {
                let view = JobView::of_state(id, state);
                Ok(response::json(StatusCode::OK, &view))
            }
            Err(JobAnswer::Unknown) => Err(Refusal::NoSuchJob.into()),
            Err(JobAnswer::Cancelled | JobAnswer::Unavailable) => {
                Err(Refusal::OwnerUnavailable.into())
            }
        }
    }

    async fn cancel(&self, headers: &HeaderMap, id: JobId) -> Result<Response, Rejection> {
        let caller = self.asker(headers)?;
        match self.front.cancel(&caller, id, None).await {
            JobAnswer::Cancelled | JobAnswer::State(_) => Ok(accepted(id)),
            JobAnswer::Unknown => Err(Refusal::NoSuchJob.into()),
            JobAnswer::Unavailable => Err(Refusal::OwnerUnavailable.into()),
        }
    }

    async fn policy(
        &self,
        method: &Method,
        headers: &HeaderMap,
        body: Body,
    ) -> Result<Response, Rejection> {
        if !self.token.admits(headers) {
            return Err(Refusal::NotOperator.into());
        }
        match *method {
            Method::GET => self.show_policy().await,
            Method::PUT => self.set_policy(body).await,
            _ => Err(Refusal::NoSuchPath.into()),
        }
    }

    async fn show_policy(&self) -> Result<Response, Rejection> {
        let (version, row) = policy::read(&self.front.shared).await.map_err(|err| {
            tracing::info!(%err, "the policy cannot be read");
            Rejection::from(Refusal::OwnerUnavailable)
        })?;
        let view = PolicyView {
            version,
            source: row.source,
            note: row.note,
        };
        Ok(response::json(StatusCode::OK, &view))
    }

    async fn set_policy(&self, body: Body) -> Result<Response, Rejection> {
        let change: PolicyChange = self.read(body).await?;
        Program::parse_and_test(&change.source).map_err(|err| Rejection {
            refusal: Refusal::BadPolicy,
            detail: Some(err.to_string()),
        })?;
        let row = PolicyRow {
            source: change.source,
            note: change.note,
        };
        match policy::set(&self.front.shared, &row, change.expected).await {
            Change::Set(version) => Ok(response::json(StatusCode::OK, &PolicyVersion { version })),
            Change::Conflict => Err(Refusal::VersionConflict.into()),
            Change::Unavailable => Err(Refusal::StoreUnavailable.into()),
            Change::Unconfirmed => Err(Refusal::Unconfirmed.into()),
        }
    }

    /// Reads a body whole; a key that does not exist is refused, not passed over.
    async fn read<T: DeserializeOwned + Serialize>(&self, body: Body) -> Result<T, Rejection> {
        let config = self.front.shared.config();
        let most = config.map_or(DEFAULT_MAX_BODY, |config| config.max_body);
        let bytes = body::read(body, most).await?;
        let malformed = |err: serde_json::Error| Rejection {
            refusal: Refusal::Spec(SpecError::Malformed),
            detail: Some(err.to_string()),
        };
        let given: Value = serde_json::from_slice(&bytes).map_err(malformed)?;
        let read: T = serde_json::from_value(given.clone()).map_err(malformed)?;
        match keys::unknown(&given, &read) {
            Some(key) => Err(Rejection {
                refusal: Refusal::UnknownKey,
                detail: Some(format!("there is no key `{key}`")),
            }),
            None => Ok(read),
        }
    }
}

fn accepted(id: JobId) -> Response {
    response::json(StatusCode::OK, &Accepted { id: id.to_string() })
}
