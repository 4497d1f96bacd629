//! Builds HTTP responses; each error response has a JSON body with a stable code.

use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::http::header::{self, HeaderValue};
use volo_http::response::Response;

use crate::clock::Millis;
use crate::refusal::Refusal;

/// The body of each response that reports an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The stable code.
    pub code: String,
    /// What is wrong, for people to read.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// `not_run` if nothing was done and nothing will be, `unknown` otherwise.
    pub outcome: String,
    /// After how many milliseconds a retry may succeed; none if no retry will.
    #[serde(default)]
    pub retry_after_ms: Option<Millis>,
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_string(value) {
        Ok(body) => text(status, "application/json", body),
        Err(err) => {
            tracing::error!(%err, "cannot encode a response");
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "application/json",
                String::new(),
            )
        }
    }
}

/// Builds a response with a body of the given content type.
pub fn text(status: StatusCode, content_type: &'static str, body: String) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Sets the `Retry-After` header to the pause, rounded up to whole seconds.
pub fn set_retry_after(response: &mut Response, pause: Millis) {
    response.headers_mut().insert(
        header::RETRY_AFTER,
        HeaderValue::from(pause.div_ceil(1_000)),
    );
}

/// Sets the `WWW-Authenticate` header, which asks the caller for a bearer key.
pub fn set_www_authenticate(response: &mut Response) {
    response
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
}

/// Builds the error response for a refused request.  `detail` replaces the general message of the
/// refusal; `pause` is when to retry, if a retry may succeed.
pub fn refusal(refusal: Refusal, detail: Option<String>, pause: Millis) -> Response {
    let description = refusal.describe();
    let outcome = if description.not_run {
        "not_run"
    } else {
        "unknown"
    };
    let body = ErrorBody {
        code: description.code.to_owned(),
        message: detail.unwrap_or_else(|| description.meaning.to_owned()),
        remedy: description.remedy.to_owned(),
        outcome: outcome.to_owned(),
        retry_after_ms: description.retryable.then_some(pause),
    };
    let status =
        StatusCode::from_u16(description.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &body);
    if description.retryable {
        set_retry_after(&mut response, pause);
    }
    if matches!(refusal, Refusal::NoKey | Refusal::WrongKey) {
        set_www_authenticate(&mut response);
    }
    response
}
