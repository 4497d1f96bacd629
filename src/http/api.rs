//! The calls of callers and operators, and what each answers.
//!
//! `docs/API.md` describes them for those who call.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::http::{HeaderMap, Method, StatusCode, Uri};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::daemon::Instance;
use crate::daemon::configuration::ChangeError;
use crate::daemon::jobs::JobAnswer;
use crate::http::answer;
use crate::http::operator::OperatorToken;
use crate::http::parse::{self, Deadlines, Rejection};
use crate::model::{Class, JobSpec};
use crate::policy::Bundle;
use crate::policy::bundle::BundleError;
use crate::routing::Refusal;

/// A job that was accepted.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The id under which it is known.
    pub job: String,
}

/// A change of the configuration, as an operator sends it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationChange {
    /// The version that the operator has read; zero before any was set.
    pub expected: u64,
    /// A note for other operators.
    #[serde(default)]
    pub note: String,
    /// What is to be in force.
    pub bundle: Bundle,
}

/// The configuration in force, as operators see it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// The version.
    pub version: u64,
    /// The note of the operator who set it.
    pub note: String,
    /// What is in force.
    pub bundle: Bundle,
}

/// The version that a change brought into force.
#[derive(Debug, Serialize, Deserialize)]
pub struct Changed {
    /// The version.
    pub version: u64,
}

/// How healthy an instance is, for the balancer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Health {
    /// Whether the balancer should send work here.
    pub ready: bool,
    /// The code of the reason if not.
    pub reason: Option<String>,
}

/// Answers the calls of callers and operators.
pub struct Api {
    instance: Arc<Instance>,
    token: OperatorToken,
}

impl Api {
    /// Makes the border of an instance.
    pub fn new(instance: Arc<Instance>, token: OperatorToken) -> Self {
        Self { instance, token }
    }

    /// Answers one call.
    pub async fn answer(&self, req: Request) -> Response {
        let (parts, body) = req.into_parts();
        let answered = self
            .dispatch(parts.method, parts.uri, parts.headers, body)
            .await;
        answered.unwrap_or_else(|rejection| self.reject(&rejection))
    }

    fn reject(&self, rejection: &Rejection) -> Response {
        self.instance.metrics.refusal(rejection.reason.code());
        answer::refusal(rejection.reason, Some(rejection.detail.clone()), None)
    }

    async fn dispatch(
        &self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Body,
    ) -> Result<Response, Rejection> {
        let path: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
        match (method.as_str(), path.as_slice()) {
            ("GET", ["health"]) => Ok(self.health()),
            ("GET", ["metrics"]) => Ok(self.metrics()),
            ("POST", ["v1", "jobs"]) => self.submit(body).await,
            ("GET", ["v1", "jobs", id]) => self.view(id).await,
            ("DELETE", ["v1", "jobs", id]) => self.cancel(id).await,
            ("POST", ["v1", "services", service, "requests", rest @ ..]) => {
                self.request(service, rest, &headers, body).await
            }
            (_, ["v1", "operator", call @ ..]) => {
                if !self.token.admits(&headers) {
                    return Err(Rejection {
                        reason: Refusal::NotOperator,
                        detail: Refusal::NotOperator.describe().meaning.to_owned(),
                    });
                }
                self.operate(method.as_str(), call, body).await
            }
            _ => Err(no_such_path(&method, &uri)),
        }
    }

    async fn operate(
        &self,
        method: &str,
        call: &[&str],
        body: Body,
    ) -> Result<Response, Rejection> {
        match (method, call) {
            ("GET", ["status"]) => Ok(answer::json(
                StatusCode::OK,
                &self.instance.cell_status().await,
            )),
            ("GET", ["configuration"]) => Ok(self.configuration()),
            ("PUT", ["configuration"]) => self.change_configuration(body).await,
            ("POST", ["drain"]) => {
                self.instance.begin_drain();
                Ok(answer::json(StatusCode::ACCEPTED, &self.instance.status()))
            }
            _ => Err(Rejection {
                reason: Refusal::NoSuchPath,
                detail: format!("there is no {method} of /v1/operator/{}", call.join("/")),
            }),
        }
    }

    fn health(&self) -> Response {
        let now = self.instance.now();
        let fresh = self.instance.is_fresh(&self.instance.lock(), now);
        let reason = match (self.instance.is_draining(), fresh) {
            (true, _) => Some(Refusal::Draining),
            (_, false) => Some(Refusal::StaleConfiguration),
            _ => None,
        };
        let status = match reason {
            None => StatusCode::OK,
            Some(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let health = Health {
            ready: reason.is_none(),
            reason: reason.map(|reason| reason.code().to_owned()),
        };
        answer::json(status, &health)
    }

    fn metrics(&self) -> Response {
        match self.instance.metrics.render() {
            Ok(body) => answer::with_body(StatusCode::OK, "text/plain; version=0.0.4", body),
            Err(err) => answer::with_body(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                err.to_string().into_bytes(),
            ),
        }
    }

    async fn read(&self, body: Body) -> Result<Vec<u8>, Rejection> {
        parse::body(body, self.instance.cfg.number("limits", "max_body_bytes")).await
    }

    async fn submit(&self, body: Body) -> Result<Response, Rejection> {
        let spec: JobSpec = parse::json(&self.read(body).await?)?;
        spec.check()
            .map_err(|fault| Rejection::malformed(fault.to_string()))?;
        Ok(match self.instance.submit(spec).await {
            JobAnswer::Accepted(job) => answer::json(StatusCode::CREATED, &Accepted { job }),
            JobAnswer::Refused {
                reason,
                dimension,
                retry_after_ms,
            } => {
                self.instance.metrics.refusal(reason.code());
                let detail =
                    dimension.map(|dimension| format!("no VM has that much of {dimension}"));
                answer::refusal(reason, detail, retry_after_ms)
            }
            JobAnswer::Unknown => {
                self.instance.metrics.refusal(Refusal::Unconfirmed.code());
                answer::unknown(Refusal::Unconfirmed)
            }
        })
    }

    async fn view(&self, id: &str) -> Result<Response, Rejection> {
        match self.instance.view_job(id).await {
            Some(view) => Ok(answer::json(StatusCode::OK, &view)),
            None => Err(no_such_job(id)),
        }
    }

    async fn cancel(&self, id: &str) -> Result<Response, Rejection> {
        let cancelled = self.instance.cancel(id).await;
        match (cancelled.found, cancelled.recorded) {
            (true, true) => Ok(answer::json(
                StatusCode::ACCEPTED,
                &Accepted { job: id.to_owned() },
            )),
            (true, false) => {
                self.instance.metrics.refusal(Refusal::Unconfirmed.code());
                Ok(answer::unknown(Refusal::Unconfirmed))
            }
            (false, _) => Err(no_such_job(id)),
        }
    }

    async fn request(
        &self,
        service: &str,
        rest: &[&str],
        headers: &HeaderMap,
        body: Body,
    ) -> Result<Response, Rejection> {
        let limits = Deadlines {
            default_ms: self.instance.cfg.number("limits", "default_deadline_ms"),
            max_ms: self.instance.cfg.number("limits", "max_deadline_ms"),
        };
        let id = format!("{:016x}", self.instance.draw());
        let path = format!("/{}", rest.join("/"));
        let spec = parse::request(headers, id, service, path, limits)?;
        let body = self.read(body).await?;
        if spec.class == Class::Urgent {
            self.instance.metrics.event("urgent_request");
        }
        Ok(answer::outcome(
            self.instance.serve_request(spec, body).await,
        ))
    }

    fn configuration(&self) -> Response {
        let state = self.instance.lock();
        let view = ConfigurationView {
            version: state.configuration.version(),
            note: state
                .configuration
                .row()
                .map(|row| row.note.clone())
                .unwrap_or_default(),
            bundle: state.configuration.bundle().clone(),
        };
        answer::json(StatusCode::OK, &view)
    }

    async fn change_configuration(&self, body: Body) -> Result<Response, Rejection> {
        let change: ConfigurationChange = parse::json(&self.read(body).await?)?;
        let changed = self
            .instance
            .change_configuration(change.bundle, change.expected, change.note)
            .await;
        let reject = |reason: Refusal, err: &ChangeError| Rejection {
            reason,
            detail: err.to_string(),
        };
        match changed {
            Ok(version) => Ok(answer::json(StatusCode::OK, &Changed { version })),
            Err(err) => Err(match &err {
                ChangeError::Bundle(BundleError::Policy(_) | BundleError::Quota { .. }) => {
                    reject(Refusal::BadConfiguration, &err)
                }
                ChangeError::Conflict { .. } => reject(Refusal::VersionConflict, &err),
                ChangeError::Isolated { .. } => reject(Refusal::StaleConfiguration, &err),
                ChangeError::Unavailable => reject(Refusal::StoreUnavailable, &err),
                ChangeError::Unconfirmed => {
                    self.instance.metrics.refusal(Refusal::Unconfirmed.code());
                    return Ok(answer::unknown(Refusal::Unconfirmed));
                }
            }),
        }
    }
}

fn no_such_path(method: &Method, uri: &Uri) -> Rejection {
    Rejection {
        reason: Refusal::NoSuchPath,
        detail: format!("there is no {method} of {}", uri.path()),
    }
}

fn no_such_job(id: &str) -> Rejection {
    Rejection {
        reason: Refusal::NoSuchJob,
        detail: format!("no instance knows the job {id}"),
    }
}
