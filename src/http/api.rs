//! The HTTP interface of a node for callers and operators.
//!
//! `docs/API.md` describes it for its users.

use std::convert::Infallible;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::http::request::Parts;
use volo_http::http::{Extensions, HeaderMap, Method, StatusCode};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::cell::spec::{JobId, JobSpec, SpecError};
use crate::cell::view::JobView;
use crate::clock::Millis;
use crate::http::operator::OperatorToken;
use crate::http::{body, response, server, unknown_keys};
use crate::node::front::{Frontend, JobAnswer, RETRY_AFTER};
use crate::node::intake::SubmitOutcome;
use crate::node::policy::{self, Change, PolicyRow};
use crate::policy::Program;
use crate::queue::Configuration;
use crate::refusal::Refusal;
use crate::store::Version;
use crate::workspace::Caller;

/// The largest request body while there is no configuration, in bytes.
const DEFAULT_MAX_BODY: usize = 262_144;

/// The body of a request that submits a job.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Submission {
    /// The id chosen by the caller, 16 hexadecimal digits.  Submitting a job again under the same
    /// id has no further effect.
    pub id: String,
    /// The queue's name.
    pub queue: String,
    /// What the job runs.
    #[serde(default)]
    pub job: JobSpec,
}

/// The response to a request that submits or cancels a job.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The id of the job.
    pub id: String,
}

/// The response with the policy in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyView {
    /// The version; zero for the built-in policy.
    pub version: Version,
    /// The source of the policy program.
    pub source: String,
    /// The note of the operator who set it.
    pub note: String,
}

/// The body of an operator's request that sets the policy.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PolicyChange {
    /// The version that the operator has read and that the change replaces; zero if none was set.
    pub expected: Version,
    /// The source of the policy program.
    pub source: String,
    /// A note for other operators.
    #[serde(default)]
    pub note: String,
}

/// The response to a request that has set the policy.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The version of the new policy.
    pub version: Version,
}

/// A refused request.
struct Rejection {
    refusal: Refusal,
    /// The message for the caller, instead of the general one of the refusal.
    detail: Option<String>,
    /// When to retry if that may help, in milliseconds.
    pause: Millis,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: None,
            pause: RETRY_AFTER,
        }
    }
}

impl From<SpecError> for Rejection {
    fn from(err: SpecError) -> Self {
        Refusal::Spec(err).into()
    }
}

/// Serves the requests of callers and operators.
#[derive(Clone)]
pub struct Api {
    frontend: Arc<Frontend>,
    token: Arc<OperatorToken>,
}

impl Service<ServerContext, Request> for Api {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let _guard = self.frontend.track_request();
        Ok(self.answer(req).await)
    }
}

impl Api {
    /// Creates the interface of a node.
    pub fn new(frontend: Arc<Frontend>, token: OperatorToken) -> Self {
        Self {
            frontend,
            token: Arc::new(token),
        }
    }

    async fn answer(&self, req: Request) -> Response {
        let answered = self.dispatch(req).await;
        answered.unwrap_or_else(|rejection| {
            let code = rejection.refusal.code();
            tracing::info!(reason = code, detail = rejection.detail, "call refused");
            self.frontend.shared.metrics.refusal(code);
            response::refusal(rejection.refusal, rejection.detail, rejection.pause)
        })
    }

    async fn dispatch(&self, req: Request) -> Result<Response, Rejection> {
        let (parts, body) = req.into_parts();
        let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
        match (&parts.method, path.as_slice()) {
            (&Method::GET, ["health"]) => self.health(),
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::POST, ["v1", "jobs"]) => self.submit(&parts, body).await,
            (&Method::GET, ["v1", "jobs", id]) => self.explain(&parts.headers, id.parse()?).await,
            (&Method::DELETE, ["v1", "jobs", id]) => self.cancel(&parts.headers, id.parse()?).await,
            (&Method::GET, ["v1", "status"]) => {
                Ok(response::json(StatusCode::OK, &self.frontend.status()))
            }
            (method, ["v1", "operator", "policy"]) => self.policy(method, &parts, body).await,
            _ => Err(Refusal::NoSuchPath.into()),
        }
    }

    fn health(&self) -> Result<Response, Rejection> {
        if self.frontend.is_ready() {
            Ok(response::json(
                StatusCode::OK,
                &serde_json::json!({"ready": true}),
            ))
        } else {
            Err(Refusal::NotReady.into())
        }
    }

    fn metrics(&self) -> Result<Response, Rejection> {
        match self.frontend.shared.render_metrics() {
            Ok(text) => Ok(response::text(StatusCode::OK, "text/plain", text)),
            Err(err) => {
                tracing::error!(%err, "cannot render the metrics");
                Err(Refusal::Internal.into())
            }
        }
    }

    /// Identifies the caller: an operator by the token, anyone else by a workspace's key.
    fn caller(
        &self,
        config: &Configuration,
        is_public: bool,
        headers: &HeaderMap,
    ) -> Result<Caller, Rejection> {
        if self.token.is_in(headers) {
            return Ok(Caller::Operator);
        }
        let identified = server::identify_caller(config, is_public, headers);
        identified.map_err(|err| self.frontend.refusal_by_configuration(err.into()).into())
    }

    /// Identifies the caller of a request about a job.  The queue of the job is not known yet, so a
    /// key is not required here; whether the caller may see the job is checked when it is found.
    fn job_caller(&self, headers: &HeaderMap) -> Result<Caller, Rejection> {
        let config = self.frontend.shared.config().unwrap_or_default();
        self.caller(&config, true, headers)
    }

    async fn submit(&self, parts: &Parts, body: Body) -> Result<Response, Rejection> {
        let submission: Submission = self.read_json(body, &parts.extensions).await?;
        let id: JobId = submission.id.parse()?;
        submission.job.check()?;
        let Some(config) = self.frontend.shared.config() else {
            return Err(Refusal::NoConfiguration.into());
        };
        let Some(queue) = config.queue(&submission.queue) else {
            let refusal = self.frontend.refusal_by_configuration(Refusal::NoQueue);
            return Err(refusal.into());
        };
        let caller = self.caller(&config, queue.public, &parts.headers)?;
        let submitted = self
            .frontend
            .submit(&caller, queue, id, submission.job, None);
        match submitted.await {
            SubmitOutcome::Accepted => Ok(accepted(id)),
            SubmitOutcome::Refused => Err(Refusal::StoreUnavailable.into()),
            SubmitOutcome::Doubtful => Err(Refusal::Doubtful.into()),
            SubmitOutcome::BeyondCap => Err(Refusal::BeyondCap.into()),
            SubmitOutcome::IdInUse => Err(Refusal::IdInUse.into()),
            SubmitOutcome::TooLarge => Err(Refusal::JobSize.into()),
            SubmitOutcome::Overloaded(pause) => Err(Rejection {
                pause,
                ..Refusal::Overloaded.into()
            }),
            SubmitOutcome::OwnerSilent(pause) => Err(Rejection {
                pause,
                ..Refusal::OwnerSilent.into()
            }),
        }
    }

    async fn explain(&self, headers: &HeaderMap, id: JobId) -> Result<Response, Rejection> {
        let caller = self.job_caller(headers)?;
        match self.frontend.explain(&caller, id).await {
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
        let caller = self.job_caller(headers)?;
        match self.frontend.cancel(&caller, id, None).await {
            JobAnswer::Cancelled | JobAnswer::State(_) => Ok(accepted(id)),
            JobAnswer::Unknown => Err(Refusal::NoSuchJob.into()),
            JobAnswer::Unavailable => Err(Refusal::OwnerUnavailable.into()),
        }
    }

    async fn policy(
        &self,
        method: &Method,
        parts: &Parts,
        body: Body,
    ) -> Result<Response, Rejection> {
        if !self.token.is_in(&parts.headers) {
            return Err(Refusal::NotOperator.into());
        }
        match *method {
            Method::GET => self.show_policy().await,
            Method::PUT => self.set_policy(body, &parts.extensions).await,
            _ => Err(Refusal::NoSuchPath.into()),
        }
    }

    async fn show_policy(&self) -> Result<Response, Rejection> {
        let (version, row) = policy::read(&self.frontend.shared).await.map_err(|err| {
            tracing::info!(%err, "cannot read the policy");
            Rejection::from(Refusal::OwnerUnavailable)
        })?;
        let view = PolicyView {
            version,
            source: row.source,
            note: row.note,
        };
        Ok(response::json(StatusCode::OK, &view))
    }

    async fn set_policy(&self, body: Body, extensions: &Extensions) -> Result<Response, Rejection> {
        let change: PolicyChange = self.read_json(body, extensions).await?;
        Program::parse_and_test(&change.source).map_err(|err| Rejection {
            detail: Some(err.to_string()),
            ..Refusal::BadPolicy.into()
        })?;
        let row = PolicyRow {
            source: change.source,
            note: change.note,
        };
        match policy::set(&self.frontend.shared, &row, change.expected).await {
            Change::Set(version) => Ok(response::json(StatusCode::OK, &PolicyVersion { version })),
            Change::Conflict => Err(Refusal::VersionConflict.into()),
            Change::Unavailable => Err(Refusal::StoreUnavailable.into()),
            Change::Unconfirmed => Err(Refusal::Unconfirmed.into()),
        }
    }

    /// Reads and decodes a JSON body; refuses one with an unknown key.
    async fn read_json<T: DeserializeOwned + Serialize>(
        &self,
        body: Body,
        extensions: &Extensions,
    ) -> Result<T, Rejection> {
        let config = self.frontend.shared.config();
        let max_bytes = config.map_or(DEFAULT_MAX_BODY, |config| config.max_body);
        let bytes = body::read(body, extensions, max_bytes).await?;
        let malformed = |err: serde_json::Error| Rejection {
            detail: Some(err.to_string()),
            ..Refusal::Spec(SpecError::Malformed).into()
        };
        let given: Value = serde_json::from_slice(&bytes).map_err(malformed)?;
        let decoded: T = serde_json::from_value(given.clone()).map_err(malformed)?;
        match unknown_keys::find(&given, &decoded) {
            Some(key) => Err(Rejection {
                detail: Some(format!("there is no key `{key}`")),
                ..Refusal::UnknownKey.into()
            }),
            None => Ok(decoded),
        }
    }
}

fn accepted(id: JobId) -> Response {
    response::json(StatusCode::OK, &Accepted { id: id.to_string() })
}
