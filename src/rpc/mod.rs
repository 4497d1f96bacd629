//! The protocol between nodes: Cap'n Proto RPC over TCP.
//!
//! Other modules see only the typed messages of [`node`] and its traits `NodeLink` (calls other
//! nodes) and `NodeService` (answers them).

pub mod node;
pub mod transport;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod node_capnp;

/// Why a call to another node failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The call was not sent: no connection could be made, or the queue of calls was full.
    #[error("could not connect to the node")]
    NotSent,
    /// No answer arrived; the other node may have executed the call.
    #[error("the node did not answer")]
    Unanswered,
    /// The answer could not be decoded.
    #[error("the node's answer is malformed")]
    Malformed,
}
