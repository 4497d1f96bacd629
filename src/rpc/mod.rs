//! The protocol between instances: Cap'n Proto RPC over TCP.
//!
//! The rest of the program sees typed messages and two traits.  Tests put a
//! [`local::LocalPeers`] in place of the network.

pub mod client;
mod codec;
pub mod local;
pub mod message;
pub mod node;
pub mod server;
pub mod transport;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer_capnp;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod node_capnp;

pub use message::{PeerCall, PeerReply};

use std::net::SocketAddr;

use futures::future::BoxFuture;

use crate::clock::Millis;

/// Why a call to another instance brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection came about, so the call was not sent.
    #[error("could not connect to the instance")]
    NotSent,
    /// The call may have been carried out, and no answer came.
    #[error("the instance did not answer")]
    Unanswered,
    /// The answer could not be understood.
    #[error("the instance's answer is malformed")]
    Malformed,
}

/// The way to other instances.
pub trait PeerLink: Send + Sync {
    /// Calls the instance at `addr` and waits at most `timeout` milliseconds.
    fn call(
        &self,
        addr: SocketAddr,
        call: PeerCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>>;
}

/// What answers other instances.
pub trait PeerService: Send + Sync {
    /// Answers one call.
    fn serve(&self, call: PeerCall) -> BoxFuture<'_, PeerReply>;
}
