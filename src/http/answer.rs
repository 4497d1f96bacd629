//! Answers to callers: every failure has a stable code.

use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::http::header::{self, HeaderValue};
use volo_http::response::Response;

use crate::routing::{Outcome, Refusal};

/// The header that tells whether a request was answered, not run or unknown.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// The header that names the target that answered.
pub const TARGET_HEADER: &str = "x-target";
/// The header that names the instance that spoke to the target.
pub const VIA_HEADER: &str = "x-via";

/// The body of every answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The stable code.
    pub code: String,
    /// What is wrong, for a person.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// Whether anything ran: `not_run` or `unknown`.
    pub outcome: String,
    /// When coming back may help, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Builds an answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_body(status, "application/json", body)
}

/// Builds an answer with a body of the given type.
pub fn with_body(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds the answer to something that was refused and did not run.
pub fn refusal(reason: Refusal, detail: Option<String>, retry_after_ms: Option<u64>) -> Response {
    failure(reason, "not_run", detail, retry_after_ms)
}

/// Builds the answer to something that may have run.
pub fn unknown(reason: Refusal) -> Response {
    failure(reason, "unknown", None, None)
}

fn failure(
    reason: Refusal,
    outcome: &'static str,
    detail: Option<String>,
    retry_after_ms: Option<u64>,
) -> Response {
    let description = reason.describe();
    let failure = Failure {
        code: description.code.to_owned(),
        message: detail.unwrap_or_else(|| description.meaning.to_owned()),
        remedy: description.remedy.to_owned(),
        outcome: outcome.to_owned(),
        retry_after_ms,
    };
    let status =
        StatusCode::from_u16(description.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &failure);
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    if let Some(millis) = retry_after_ms {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(millis.div_ceil(1_000)),
        );
    }
    response
}

/// Builds the answer to a request to a service.
pub fn outcome(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Answered {
            status,
            target,
            via,
            body,
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = with_body(status, "application/octet-stream", body);
            let headers = response.headers_mut();
            headers.insert(OUTCOME_HEADER, HeaderValue::from_static("answered"));
            insert(headers, TARGET_HEADER, &target);
            insert(headers, VIA_HEADER, &via);
            response
        }
        Outcome::NotRun {
            reason,
            retry_after_ms,
        } => refusal(reason, None, retry_after_ms),
        Outcome::Unknown { reason } => unknown(reason),
    }
}

fn insert(headers: &mut header::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
