//! Sends the configuration from one node to another, compressed and in pieces.
//!
//! A configuration of thousands of queues is larger than a slow link carries within any useful time
//! limit of one call.  Each piece is a call of its own, so the limit applies to a bounded number of
//! bytes, other calls are not held up for longer than one piece takes, and what has arrived is kept
//! when the next piece comes from another node (docs/DESIGN.md, "Configuration").

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::node::shared::Shared;
use crate::queue::Configuration;
use crate::rpc::PeerError;
use crate::rpc::node::{NodeCall, NodeLink, NodeReply, Piece, PieceRequest};

/// The bytes of a piece: 26 ms at 10 Mbit/s.
pub const PIECE_BYTES: usize = 32 * 1024;
/// Time limit for a piece, in milliseconds: a node may send to ten others at once over such a link.
/// It doubles with each call in a row that is not answered, [`MAX_DOUBLINGS`] times at most.
const PIECE_TIMEOUT: Millis = 300;
/// See [`PIECE_TIMEOUT`].
const MAX_DOUBLINGS: u32 = 2;
/// Time limit for a whole configuration, in milliseconds, from a node of a version that sends no
/// pieces.
const WHOLE_TIMEOUT: Millis = 800;
/// The largest configuration that is accepted, in bytes of JSON.
const MAX_JSON_BYTES: u64 = 64 * 1024 * 1024;

/// A configuration in the form in which it is sent: compressed JSON.
pub struct EncodedConfiguration {
    version: u64,
    digest: u64,
    bytes: Vec<u8>,
}

impl EncodedConfiguration {
    /// Encodes a configuration.
    ///
    /// # Errors
    /// Fails if it cannot be written as JSON.
    pub fn new(config: &Configuration) -> io::Result<Self> {
        let json = serde_json::to_vec(config)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&json)?;
        let bytes = encoder.finish()?;
        Ok(Self {
            version: config.version,
            digest: xxh3_64(&bytes),
            bytes,
        })
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Answers a request: with the piece that follows what the other node has of this very
    /// encoding, or else with the first one.
    pub fn answer(&self, request: &PieceRequest) -> NodeReply {
        if self.version <= request.above {
            return NodeReply::NothingNewer;
        }
        let offset = match request.digest == self.digest {
            true => (request.offset as usize).min(self.bytes.len()),
            false => 0,
        };
        let end = self.bytes.len().min(offset + PIECE_BYTES);
        NodeReply::ConfigurationPiece(Piece {
            version: self.version,
            digest: self.digest,
            size: self.bytes.len() as u32,
            offset: offset as u32,
            bytes: self.bytes[offset..end].to_vec(),
        })
    }
}

/// Answers another node's request for a piece of the configuration in force.
pub fn serve(shared: &Shared, request: &PieceRequest) -> NodeReply {
    if shared.config_version() <= request.above {
        return NodeReply::NothingNewer;
    }
    match shared.encoded_config() {
        Some(encoded) => encoded.answer(request),
        None => NodeReply::Unavailable,
    }
}

/// Why another node did not send its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// The node's configuration is not newer.
    #[error("it has no newer one")]
    NothingNewer,
    /// What the node sent cannot be decoded.
    #[error("what it sent cannot be decoded")]
    Malformed,
    /// The call failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
}

/// What has arrived of an encoded configuration.  Another node may send the rest.
#[derive(Debug, Default)]
pub struct Download {
    digest: u64,
    size: usize,
    bytes: Vec<u8>,
    /// How many calls in a row were not answered.
    unanswered: u32,
}

impl Download {
    /// The number of bytes that have arrived.
    pub fn received(&self) -> usize {
        self.bytes.len()
    }

    /// Fetches the rest of a configuration above the version `above` from one node.  `progress` is
    /// called for each piece.
    ///
    /// # Errors
    /// See [`FetchError`].  What has arrived is kept, unless it cannot be decoded.
    pub async fn fetch(
        &mut self,
        peers: &dyn NodeLink,
        address: SocketAddr,
        above: u64,
        progress: impl Fn(),
    ) -> Result<Configuration, FetchError> {
        loop {
            let call = NodeCall::ConfigurationPiece(self.request(above));
            let timeout = PIECE_TIMEOUT << self.unanswered.min(MAX_DOUBLINGS);
            let reply = match peers.call(address, call, timeout).await {
                // A node of a version that does not know pieces.
                Err(PeerError::Malformed) => return fetch_whole(peers, address, above).await,
                Err(err) => {
                    self.unanswered += 1;
                    return Err(err.into());
                }
                Ok(reply) => reply,
            };
            self.unanswered = 0;
            match reply {
                NodeReply::ConfigurationPiece(piece) => self.add(piece)?,
                NodeReply::NothingNewer => return Err(FetchError::NothingNewer),
                _ => return Err(PeerError::Malformed.into()),
            }
            progress();
            if self.bytes.len() >= self.size {
                return std::mem::take(self).decode();
            }
        }
    }

    fn request(&self, above: u64) -> PieceRequest {
        PieceRequest {
            above,
            digest: self.digest,
            offset: self.bytes.len() as u32,
        }
    }

    fn add(&mut self, piece: Piece) -> Result<(), FetchError> {
        let continues = piece.digest == self.digest && piece.offset as usize == self.bytes.len();
        if !continues && piece.offset > 0 {
            *self = Self::default();
            return Err(FetchError::Malformed);
        }
        if !continues {
            *self = Self {
                digest: piece.digest,
                size: piece.size as usize,
                ..Self::default()
            };
        }
        let is_last = self.bytes.len() + piece.bytes.len() >= self.size;
        if piece.bytes.is_empty() && !is_last {
            return Err(FetchError::Malformed);
        }
        self.bytes.extend_from_slice(&piece.bytes);
        Ok(())
    }

    fn decode(self) -> Result<Configuration, FetchError> {
        if xxh3_64(&self.bytes) != self.digest {
            tracing::error!("a configuration from other nodes has arrived with errors");
            return Err(FetchError::Malformed);
        }
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(self.bytes.as_slice()).take(MAX_JSON_BYTES);
        decoder.read_to_end(&mut json).map_err(|err| {
            tracing::error!(%err, "cannot decompress the configuration of another node");
            FetchError::Malformed
        })?;
        parse(&json)
    }
}

async fn fetch_whole(
    peers: &dyn NodeLink,
    address: SocketAddr,
    above: u64,
) -> Result<Configuration, FetchError> {
    let call = NodeCall::Configuration(above);
    match peers.call(address, call, WHOLE_TIMEOUT).await? {
        NodeReply::Configuration(body) => parse(&body),
        _ => Err(FetchError::NothingNewer),
    }
}

fn parse(json: &[u8]) -> Result<Configuration, FetchError> {
    serde_json::from_slice(json).map_err(|err| {
        tracing::error!(%err, "cannot decode the configuration of another node");
        FetchError::Malformed
    })
}
