//! Reads the bodies of requests up to a limit, since a caller may send a body of any size.

use http_body_util::{BodyExt, Limited};
use volo_http::body::Body;

use crate::refusal::Refusal;

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
/// Fails with [`Refusal::BodySize`] if the body is larger or cannot be read to its end.
pub async fn read(body: Body, max_bytes: usize) -> Result<Vec<u8>, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes().to_vec()),
        Err(err) => {
            tracing::debug!(%err, "cannot read the body of a request");
            Err(Refusal::BodySize)
        }
    }
}
