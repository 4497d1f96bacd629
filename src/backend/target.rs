//! Requests to targets.

use futures::future::BoxFuture;

use crate::backend::worker::LinkError;

/// A request as it goes to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRequest {
    /// The id under which answers are matched.
    pub id: String,
    /// The path below the target's endpoint, with its leading slash.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// How long the caller still waits, in milliseconds.
    pub timeout_ms: u64,
}

/// What a target answered, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReply {
    /// The HTTP status.
    pub status: u16,
    /// The body, whole.
    pub body: Vec<u8>,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
}

/// The way to targets.
pub trait TargetLink: Send + Sync {
    /// Sends one request to the target at `endpoint` and reads the whole answer.
    ///
    /// # Errors
    /// [`LinkError::NotSent`] means that no byte reached the target.
    fn send(
        &self,
        endpoint: String,
        req: TargetRequest,
    ) -> BoxFuture<'_, Result<TargetReply, LinkError>>;
}
