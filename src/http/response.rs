//! Answers with JSON bodies; every failure has a stable code.

use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::http::header::{self, HeaderValue};
use volo_http::response::Response;

use crate::clock::Millis;
use crate::refusal::Refusal;

/// The body of every answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The stable code.
    pub code: String,
    /// What is wrong, for a person.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// Whether anything was done: `not_run` or `unknown`.
    pub outcome: String,
    /// When coming back may help, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<Millis>,
}

/// Builds an answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_string(value) {
        Ok(body) => text(status, "application/json", body),
        Err(err) => {
            tracing::error!(%err, "an answer cannot be encoded");
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "application/json",
                String::new(),
            )
        }
    }
}

/// Builds an answer with a body of the given type.
pub fn text(status: StatusCode, content_type: &'static str, body: String) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Says when to come back; the header counts whole seconds.
pub fn set_retry_after(response: &mut Response, pause: Millis) {
    response.headers_mut().insert(
        header::RETRY_AFTER,
        HeaderValue::from(pause.div_ceil(1_000)),
    );
}

/// Says how a caller names itself.
pub fn set_www_authenticate(response: &mut Response) {
    response
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
}

/// Builds the answer of the product's own interface to something that was refused.
pub fn refusal(refusal: Refusal, detail: Option<String>, pause: Millis) -> Response {
    let description = refusal.describe();
    let outcome = if description.not_run {
        "not_run"
    } else {
        "unknown"
    };
    let failure = ErrorBody {
        code: description.code.to_owned(),
        message: detail.unwrap_or_else(|| description.meaning.to_owned()),
        remedy: description.remedy.to_owned(),
        outcome: outcome.to_owned(),
        retry_after_ms: description.retryable.then_some(pause),
    };
    let status =
        StatusCode::from_u16(description.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &failure);
    if description.retryable {
        set_retry_after(&mut response, pause);
    }
    if matches!(refusal, Refusal::NoKey | Refusal::WrongKey) {
        set_www_authenticate(&mut response);
    }
    response
}
