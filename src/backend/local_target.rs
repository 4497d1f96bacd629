//! Targets in memory: they answer with what they were sent.

use futures::FutureExt;
use futures::future::{self, BoxFuture};

use crate::backend::target::{TargetLink, TargetReply, TargetRequest};
use crate::backend::worker::LinkError;

/// Targets that answer every request with its own body.
#[derive(Debug, Default)]
pub struct LocalTargets;

impl TargetLink for LocalTargets {
    fn send(
        &self,
        _endpoint: String,
        req: TargetRequest,
    ) -> BoxFuture<'_, Result<TargetReply, LinkError>> {
        let reply = TargetReply {
            status: 200,
            body: req.body,
            leaving: false,
        };
        future::ready(Ok(reply)).boxed()
    }
}
