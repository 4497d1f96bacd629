//! Configurations that are sent from node to node in pieces.

mod cell_core;

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Mutex;

use cell_core::queue;
use crossweir::clock::Millis;
use crossweir::node::configuration_transfer::{
    Download, EncodedConfiguration, FetchError, PIECE_BYTES,
};
use crossweir::queue::{Configuration, Draft};
use crossweir::rpc::PeerError;
use crossweir::rpc::node::{NodeCall, NodeLink, NodeReply};
use futures::FutureExt;
use futures::future::BoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// A configuration that takes several pieces.
fn large_configuration(version: u64) -> Configuration {
    let mut rng = StdRng::seed_from_u64(version);
    let queues = (0..3_000).map(|_| queue(&format!("{:016x}", rng.random::<u64>()), 0));
    Configuration::from(Draft {
        version,
        queues: queues.collect(),
        max_body: 1_000,
        workspaces: None,
    })
}

/// How a node answers the calls for pieces after the first ones.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    GoesOn,
    GoesSilent,
    SendsErrors,
    KnowsNoPieces,
}

/// A node that answers `good` calls well.
struct ScriptedNode {
    config: Configuration,
    good: usize,
    then: Then,
    /// The offset of each piece that was asked for.
    offsets: Mutex<Vec<u32>>,
}

impl ScriptedNode {
    fn new(version: u64, good: usize, then: Then) -> Self {
        Self {
            config: large_configuration(version),
            good,
            then,
            offsets: Mutex::default(),
        }
    }

    fn offsets(&self) -> Vec<u32> {
        self.offsets.lock().expect("offsets").clone()
    }

    fn answer(&self, call: NodeCall) -> Result<NodeReply, PeerError> {
        let request = match call {
            NodeCall::ConfigurationPiece(request) => request,
            NodeCall::Configuration(_) => {
                let json = serde_json::to_vec(&self.config).expect("plain data");
                return Ok(NodeReply::Configuration(json));
            }
            call => panic!("unexpected call {call:?}"),
        };
        let mut offsets = self.offsets.lock().expect("offsets");
        offsets.push(request.offset);
        let encoded = EncodedConfiguration::new(&self.config).expect("plain data");
        let reply = encoded.answer(&request);
        match (self.then, reply) {
            (_, reply) if offsets.len() <= self.good => Ok(reply),
            (Then::GoesOn, reply) => Ok(reply),
            (Then::GoesSilent, _) => Err(PeerError::Unanswered),
            (Then::KnowsNoPieces, _) => Err(PeerError::Malformed),
            (Then::SendsErrors, NodeReply::ConfigurationPiece(mut piece)) => {
                piece.bytes[0] ^= 1;
                Ok(NodeReply::ConfigurationPiece(piece))
            }
            (Then::SendsErrors, reply) => Ok(reply),
        }
    }
}

impl NodeLink for ScriptedNode {
    fn call(
        &self,
        _: SocketAddr,
        call: NodeCall,
        _: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        async { self.answer(call) }.boxed()
    }
}

async fn fetch(download: &mut Download, node: &ScriptedNode) -> Result<Configuration, FetchError> {
    download.fetch(node, ADDRESS, 0, || ()).await
}

// Guards against a transfer that begins anew when its sender is lost: on a slow link it would never
// end.
#[tokio::test]
async fn a_transfer_goes_on_at_another_node_from_where_it_stopped() {
    let lost = ScriptedNode::new(1, 1, Then::GoesSilent);
    let other = ScriptedNode::new(1, 0, Then::GoesOn);
    let mut download = Download::default();

    let first = fetch(&mut download, &lost).await;
    let second = fetch(&mut download, &other).await;

    assert_eq!(first, Err(FetchError::Peer(PeerError::Unanswered)));
    assert_eq!(second, Ok(large_configuration(1)));
    assert_eq!(other.offsets()[0] as usize, PIECE_BYTES);
}

// Guards against pieces of two versions being put together.
#[tokio::test]
async fn a_node_with_another_version_sends_it_from_the_beginning() {
    let lost = ScriptedNode::new(1, 1, Then::GoesSilent);
    let newer = ScriptedNode::new(2, 0, Then::GoesOn);
    let mut download = Download::default();

    let first = fetch(&mut download, &lost).await;
    let second = fetch(&mut download, &newer).await;

    assert_eq!(first, Err(FetchError::Peer(PeerError::Unanswered)));
    assert_eq!(second, Ok(large_configuration(2)));
}

// Guards against errors on the way getting into force, and against keeping them for the next try.
#[tokio::test]
async fn a_transfer_with_an_error_is_given_up_and_begun_anew() {
    let faulty = ScriptedNode::new(1, 1, Then::SendsErrors);
    let sound = ScriptedNode::new(1, 0, Then::GoesOn);
    let mut download = Download::default();

    let first = fetch(&mut download, &faulty).await;
    let second = fetch(&mut download, &sound).await;

    assert_eq!(first, Err(FetchError::Malformed));
    assert_eq!(second, Ok(large_configuration(1)));
    assert_eq!(sound.offsets()[0], 0);
}

// Guards against a node that gets no configuration from nodes of the version before.
#[tokio::test]
async fn a_node_that_knows_no_pieces_sends_the_whole_configuration() {
    let older = ScriptedNode::new(1, 0, Then::KnowsNoPieces);

    let fetched = fetch(&mut Download::default(), &older).await;

    assert_eq!(fetched, Ok(large_configuration(1)));
}

// Guards against a configuration that is fetched again although it is in force.
#[tokio::test]
async fn a_node_without_a_newer_version_says_so() {
    let node = ScriptedNode::new(1, 0, Then::GoesOn);
    let pieces = Cell::new(0);
    let mut download = Download::default();

    let count = || pieces.set(pieces.get() + 1);
    let fetched = download.fetch(&node, ADDRESS, 1, count).await;

    assert_eq!(fetched, Err(FetchError::NothingNewer));
    assert_eq!(pieces.get(), 0);
}
