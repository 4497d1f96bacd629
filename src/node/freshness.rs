//! How fresh a node's configuration is: whether a newer version is known to exist, and when the one
//! in force was last known to be the newest.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::store::Version;

/// Where a node learned of a version, or got it from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The node at this address.
    Node(SocketAddr),
    /// The process itself, without an operator.
    Local,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store => write!(f, "store"),
            Self::Node(address) => write!(f, "node {address}"),
            Self::Local => write!(f, "local"),
        }
    }
}

/// A newer version of which a node has learned before it had it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// The version.
    pub version: u64,
    /// Who reported it.
    pub from: Source,
    /// When the node learned of it.
    pub at: Millis,
}

/// What a node knows about newer versions of the configuration.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The first notice of a version above the one in force, and the newest one.
    notices: Option<(Notice, Notice)>,
    /// When a part of a newer version last arrived.
    progress_at: Millis,
    /// The latest time at which the version in force was known to be the newest.
    confirmed_at: Option<Millis>,
    /// The store holds a version that this node cannot decode.
    has_undecodable: bool,
    /// The version of the store up to which no row of the operator has a newer configuration.
    rows: Option<Version>,
}

impl Freshness {
    /// Notes that a version above the one in force exists; false if that was known.
    pub fn note_newer(&mut self, notice: Notice) -> bool {
        match &mut self.notices {
            Some((_, newest)) if newest.version >= notice.version => return false,
            Some((_, newest)) => *newest = notice,
            None => self.notices = Some((notice, notice)),
        }
        true
    }

    /// Notes that `version` is in force now, and returns the first notice of a version that it
    /// replaces or is.  The notice of a version that is newer still is kept.
    pub fn note_in_force(&mut self, version: u64) -> Option<Notice> {
        self.has_undecodable = false;
        let (first, newest) = self.notices.take()?;
        if newest.version > version {
            self.notices = Some((newest, newest));
        }
        Some(first)
    }

    /// Notes that a part of a newer version has arrived.
    pub fn note_progress(&mut self, now: Millis) {
        self.progress_at = now;
    }

    /// Milliseconds for which a newer version has been known without a part of it arriving; none if
    /// no newer version is known.
    pub fn stalled_for(&self, now: Millis) -> Option<Millis> {
        let (first, _) = self.notices?;
        Some(now.saturating_sub(first.at.max(self.progress_at)))
    }

    /// Notes that the store holds a version that this node cannot decode.  Until another one is in
    /// force, this node must not tell others that it has the newest.
    pub fn note_undecodable(&mut self) {
        self.has_undecodable = true;
    }

    /// Notes that no version newer than the one in force existed at `at`, and that none is in the
    /// operator's rows up to the version `rows` of the store, if that is known.
    pub fn confirm(&mut self, at: Millis, rows: Option<Version>) {
        if self.has_undecodable {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.rows = self.rows.max(rows);
    }

    /// The version of the store after which a newer configuration may have been written; none if
    /// that is not known.
    pub fn rows(&self) -> Option<Version> {
        self.rows
    }

    /// The newest version that is known to exist and is not in force; none if there is none.
    pub fn newer(&self) -> Option<Notice> {
        self.notices.map(|(_, newest)| newest)
    }

    /// Milliseconds since the version in force was last known to be the newest; none if it never
    /// was.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        Some(now.saturating_sub(self.confirmed_at?))
    }
}
