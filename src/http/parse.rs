//! Reading what callers send; nothing they send can do more than be refused.

use std::str::FromStr;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::http::HeaderMap;

use crate::model::{self, Class};
use crate::routing::Refusal;
use crate::routing::outcome::{OrderKey, RequestSpec};

/// The header that gives how long the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header that gives the caller's key.
pub const KEY_HEADER: &str = "x-request-key";
/// The header that says whether the request may be repeated: `yes` or `no`.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// The header that names the ordered stream.
pub const ORDER_KEY_HEADER: &str = "x-order-key";
/// The header that gives the place in the ordered stream.
pub const ORDER_SEQUENCE_HEADER: &str = "x-order-sequence";
/// The header that gives the class: `urgent`, `service` or `batch`.
pub const CLASS_HEADER: &str = "x-class";
/// The header that names the team.
pub const TEAM_HEADER: &str = "x-team";
/// The team of a request that names none.
const DEFAULT_TEAM: &str = "default";

/// Why something a caller sent was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The stable reason.
    pub reason: Refusal,
    /// What exactly is wrong.
    pub detail: String,
}

impl Rejection {
    /// Builds a rejection of something malformed.
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self {
            reason: Refusal::Malformed,
            detail: detail.into(),
        }
    }
}

/// Reads a body of at most `limit` bytes, whole.
///
/// # Errors
/// [`Refusal::TooLarge`], or [`Refusal::Malformed`] if the body breaks off.
pub async fn body(body: Body, limit: u64) -> Result<Vec<u8>, Rejection> {
    let limited = Limited::new(body, limit as usize);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes().to_vec()),
        Err(err) if err.is::<LengthLimitError>() => Err(Rejection {
            reason: Refusal::TooLarge,
            detail: format!("the body is larger than {limit} bytes"),
        }),
        Err(_) => Err(Rejection::malformed("the body broke off")),
    }
}

/// Reads JSON; unknown fields and wrong types are refused by name.
///
/// # Errors
/// [`Refusal::Malformed`] with the place of the fault.
pub fn json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(bytes).map_err(|err| Rejection::malformed(err.to_string()))
}

/// The bounds on deadlines.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// What holds when none is given, in milliseconds.
    pub default_ms: u64,
    /// The longest allowed, in milliseconds.
    pub max_ms: u64,
}

/// Reads the headers of a request to a service.
///
/// # Errors
/// [`Refusal::Malformed`] naming the header, or [`Refusal::DeadlineExpired`].
pub fn request(
    headers: &HeaderMap,
    id: String,
    service: &str,
    path: String,
    deadlines: Deadlines,
) -> Result<RequestSpec, Rejection> {
    check_name("service", service)?;
    let repeatable = match text(headers, REPEATABLE_HEADER)? {
        None | Some("yes") => true,
        Some("no") => false,
        Some(_) => {
            return Err(Rejection::malformed(format!(
                "{REPEATABLE_HEADER} must be yes or no"
            )));
        }
    };
    let key = name(headers, KEY_HEADER)?;
    let team = name(headers, TEAM_HEADER)?.unwrap_or_else(|| DEFAULT_TEAM.to_owned());
    let remaining_ms = deadline(headers, deadlines)?;
    Ok(RequestSpec {
        id,
        service: service.to_owned(),
        path,
        team,
        class: class(headers)?,
        repeatable,
        key,
        order: order(headers)?,
        remaining_ms,
        marked: false,
        hops: 0,
    })
}

fn deadline(headers: &HeaderMap, bounds: Deadlines) -> Result<u64, Rejection> {
    let Some(text) = text(headers, DEADLINE_HEADER)? else {
        return Ok(bounds.default_ms);
    };
    let millis = i64::from_str(text).map_err(|_| {
        Rejection::malformed(format!(
            "{DEADLINE_HEADER} must be a whole number of milliseconds"
        ))
    })?;
    if millis <= 0 {
        return Err(Rejection {
            reason: Refusal::DeadlineExpired,
            detail: format!("{DEADLINE_HEADER} is {millis}: the deadline has passed"),
        });
    }
    Ok((millis as u64).min(bounds.max_ms))
}

fn class(headers: &HeaderMap) -> Result<Class, Rejection> {
    let Some(label) = text(headers, CLASS_HEADER)? else {
        return Ok(Class::Urgent);
    };
    let found = Class::ALL.into_iter().find(|class| class.label() == label);
    found.ok_or_else(|| {
        Rejection::malformed(format!("{CLASS_HEADER} must be urgent, service or batch"))
    })
}

fn order(headers: &HeaderMap) -> Result<Option<OrderKey>, Rejection> {
    let stream = name(headers, ORDER_KEY_HEADER)?;
    let sequence = text(headers, ORDER_SEQUENCE_HEADER)?;
    match (stream, sequence) {
        (None, None) => Ok(None),
        (Some(stream), Some(sequence)) => {
            let sequence = sequence.parse().map_err(|_| {
                Rejection::malformed(format!("{ORDER_SEQUENCE_HEADER} must be a whole number"))
            })?;
            Ok(Some(OrderKey { stream, sequence }))
        }
        _ => Err(Rejection::malformed(format!(
            "{ORDER_KEY_HEADER} and {ORDER_SEQUENCE_HEADER} go together"
        ))),
    }
}

fn name(headers: &HeaderMap, header: &'static str) -> Result<Option<String>, Rejection> {
    let Some(value) = text(headers, header)? else {
        return Ok(None);
    };
    check_name(header, value)?;
    Ok(Some(value.to_owned()))
}

fn check_name(field: &'static str, name: &str) -> Result<(), Rejection> {
    model::check_name(field, name).map_err(|fault| Rejection::malformed(fault.to_string()))
}

fn text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Rejection::malformed(format!("{header} is not text")))?;
    Ok(Some(text))
}
