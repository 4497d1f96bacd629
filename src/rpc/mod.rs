//! The protocol between nodes: Cap'n Proto RPC over TCP.
//!
//! The rest of the program sees typed messages and two traits of [`node`].

pub mod node;
pub mod transport;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod node_capnp;

/// Why a call to another node brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection came about, so the call was not sent.
    #[error("could not connect to the node")]
    NotSent,
    /// The call may have been carried out, and no answer came.
    #[error("the node did not answer")]
    Unanswered,
    /// The answer could not be understood.
    #[error("the node's answer is malformed")]
    Malformed,
}
