//! Calls that only the owner of the cell can answer, from whichever node they come.

use std::sync::Arc;
use std::time::Duration;

use crate::cell::record::JobRow;
use crate::clock::Millis;
use crate::node::shared::Shared;
use crate::rpc::node::{NodeCall, NodeReply, Question};

/// How long the owner may take to take in a job or to tell its state.
pub const OWNER_TIMEOUT: Millis = 600;
/// How often telling the owner of a job is tried; it finds the row by itself as well.
const NOTIFY_ATTEMPTS: u32 = 3;

/// Answers a call that only the owner can answer.
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
                tracing::error!(%err, "a job from another node cannot be read");
                NodeReply::Unavailable
            }
        },
        NodeCall::State(asked) | NodeCall::Explain(asked) | NodeCall::Cancel(asked)
            if !engine.may_see(&asked) =>
        {
            NodeReply::UnknownJob
        }
        NodeCall::State(Question { job: id, .. }) => match engine.state_or_end(id).await {
            Some(state) => NodeReply::State(state),
            None => NodeReply::UnknownJob,
        },
        NodeCall::Explain(Question { job: id, .. }) => {
            match engine.view(id).map(|view| serde_json::to_vec(&view)) {
                Some(Ok(view)) => NodeReply::Explained(view),
                Some(Err(err)) => {
                    tracing::error!(%err, request = %id, "a view cannot be encoded");
                    NodeReply::Unavailable
                }
                None => NodeReply::UnknownJob,
            }
        }
        NodeCall::Cancel(asked) => engine.cancel(&asked).await,
        _ => NodeReply::NotOwner,
    }
}

/// Asks the owner, wherever it is; none if it cannot be asked or gave no answer.
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

/// Tells the owner of a job, so that it need not find the row by itself.
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
    tracing::info!(request = %row.id, "the owner was not told; it finds the row");
}
