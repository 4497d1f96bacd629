//! Reading the bodies of requests, which may be as large as a caller likes.

use http_body_util::{BodyExt, Limited};
use volo_http::body::Body;

use crate::refusal::Refusal;

/// Reads a body whole, at most `most` bytes of it.
///
/// # Errors
/// Refuses a larger body, and one that does not arrive whole.
pub async fn read(body: Body, most: usize) -> Result<Vec<u8>, Refusal> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes().to_vec()),
        Err(err) => {
            tracing::debug!(%err, "a body was not read");
            Err(Refusal::BodySize)
        }
    }
}
