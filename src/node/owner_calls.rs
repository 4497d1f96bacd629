//! Calls that only the owner of the cell can answer: served here if this node is the owner,
//! forwarded to the owner otherwise.

use std::sync::Arc;
use std::time::Duration;

use crate::cell::record::JobRow;
use crate::clock::Millis;
use crate::node::shared::Shared;
use crate::rpc::node::{JobRequest, NodeCall, NodeReply};

/// Time limit for the owner to accept a job or to report its state, in milliseconds.
pub const OWNER_TIMEOUT: Millis = 600;
/// How many times a node tries to notify the owner of a new job.  After that the owner finds the
/// job's row by polling the store.
const NOTIFY_ATTEMPTS: u32 = 3;

/// Answers a call as the owner; [`NodeReply::NotOwner`] if this node does not own the cell, or if
/// the call is not one for the owner.
pub async fn serve_as_owner(shared: &Arc<Shared>, call: NodeCall) -> NodeReply {
    let Some(engine) = shared.engine() else {
        return NodeReply::NotOwner;
    };
    match call {
        NodeCall::Accepted(row) => match serde_json::from_slice::<JobRow>(&row) {
            Ok(row) => {
                engine.accepted(&row);
                NodeReply::Taken
            }
            Err(err) => {
                tracing::error!(%err, "cannot decode a job from another node");
                NodeReply::Unavailable
            }
        },
        NodeCall::State(request) | NodeCall::Explain(request) | NodeCall::Cancel(request)
            if !engine.may_see(&request) =>
        {
            NodeReply::UnknownJob
        }
        NodeCall::State(JobRequest { job: id, .. }) => {
            let state = engine.state_or_end(id).await;
            // A successor may have recorded an end meanwhile that this owner does not know of.
            if !engine.is_active() {
                return NodeReply::Unavailable;
            }
            match state {
                Some(state) => NodeReply::State(state),
                None => NodeReply::UnknownJob,
            }
        }
        NodeCall::Explain(JobRequest { job: id, .. }) => {
            match engine.view(id).map(|view| serde_json::to_vec(&view)) {
                Some(Ok(view)) => NodeReply::Explained(view),
                Some(Err(err)) => {
                    tracing::error!(%err, request = %id, "cannot encode the view of a job");
                    NodeReply::Unavailable
                }
                None => NodeReply::UnknownJob,
            }
        }
        NodeCall::Cancel(request) => engine.cancel(&request).await,
        NodeCall::Intake {
            job,
            refused_for,
            starts,
        } => engine.intake(job, refused_for, starts).await,
        _ => NodeReply::NotOwner,
    }
}

/// Passes a call to the owner, which may be this node.  Returns none if no owner is known, or if it
/// did not answer within `timeout` milliseconds or could not serve the call.
pub async fn ask_owner(shared: &Arc<Shared>, call: NodeCall, timeout: Millis) -> Option<NodeReply> {
    if shared.engine().is_some() {
        return Some(serve_as_owner(shared, call).await);
    }
    let address = shared.owner().address?;
    match shared.peers.call(address, call, timeout).await {
        Ok(NodeReply::NotOwner | NodeReply::Unavailable) => None,
        Ok(reply) => Some(reply),
        Err(err) => {
            tracing::debug!(%err, %address, "the owner does not answer");
            shared.metrics.retry("owner_unanswered");
            None
        }
    }
}

/// Notifies the owner of a new job, so that it need not wait until it polls the job's row.
pub async fn notify_owner(shared: Arc<Shared>, row: JobRow) {
    let Ok(body) = serde_json::to_vec(&row) else {
        return;
    };
    for _ in 0..NOTIFY_ATTEMPTS {
        let call = NodeCall::Accepted(body.clone());
        if let Some(NodeReply::Taken) = ask_owner(&shared, call, OWNER_TIMEOUT).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(OWNER_TIMEOUT / 2)).await;
    }
    tracing::info!(
        request = %row.id,
        "owner not notified of the job; it will find the row in the store"
    );
}
