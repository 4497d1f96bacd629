//! Reads the bodies of requests up to a limit, since a caller may send a body of any size.

use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes};
use volo_http::body::Body;
use volo_http::http::Extensions;

use crate::http::connections::Handle;
use crate::refusal::Refusal;

/// The least by which the memory of a body grows, in bytes.
const MIN_GROWTH: usize = 4_096;

/// Reads a complete body of at most `max_bytes` bytes.  `extensions` are those of its request, in
/// which the server has put the connection that the body arrives on.
///
/// # Errors
/// Fails with [`Refusal::BodySize`] if the body is larger or cannot be read to its end, with
/// [`Refusal::NoRoom`] if the bodies of all connections are too large together, and with
/// [`Refusal::BodyTimeout`] if it takes too long.
pub async fn read(
    body: Body,
    extensions: &Extensions,
    max_bytes: usize,
) -> Result<Vec<u8>, Refusal> {
    let Some(connection) = extensions.get::<Handle>() else {
        tracing::error!("a request without its connection");
        return Err(Refusal::Internal);
    };
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Refusal::BodySize);
    }
    connection.begin_body();
    let read = tokio::select! {
        biased;
        refusal = connection.given_up() => Err(refusal),
        read = read_within(body, connection, max_bytes) => read,
    };
    connection.end_body();
    read
}

async fn read_within(
    mut body: Body,
    connection: &Handle,
    max_bytes: usize,
) -> Result<Vec<u8>, Refusal> {
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| {
            tracing::debug!(%err, "cannot read the body of a request");
            Refusal::BodySize
        })?;
        if let Ok(data) = frame.into_data() {
            append(&mut read, data, connection, max_bytes).await?;
        }
    }
    Ok(read)
}

/// Copies a piece of a body.  The piece itself may be one byte of a buffer of kilobytes, which it
/// would keep.
async fn append(
    read: &mut Vec<u8>,
    piece: Bytes,
    connection: &Handle,
    max_bytes: usize,
) -> Result<(), Refusal> {
    if piece.len() > max_bytes - read.len() {
        return Err(Refusal::BodySize);
    }
    if piece.len() > read.capacity() - read.len() {
        let growth = piece.len().max(read.len()).max(MIN_GROWTH);
        connection.hold(growth).await?;
        read.reserve_exact(growth);
    }
    read.extend_from_slice(&piece);
    Ok(())
}
