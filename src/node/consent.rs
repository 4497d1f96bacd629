//! Consents, by which an owner goes on without the store after some nodes have fallen silent.
//!
//! An owner that reaches neither the store nor all voters can't tell nodes that are lost from nodes
//! that are cut off, reach the store and claim the cell.  So it goes on only if at least three
//! quarters of the voters have consented to that while they still answered.  A voter that has not
//! consented, and knows of a successor, proves to it that the owner stops ("Two owners" in
//! `docs/DESIGN.md`).

use crate::rpc::node::Heartbeat;

/// How an owner stands without the store, as it tells other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// It says nothing: it is of a version before, or a former owner may still act.
    #[default]
    Unstated,
    /// It goes by the store, holds no consents, and all owners before it have stopped.
    WithStore,
    /// It does not reach the store, and asks for consents.
    WithoutStore,
}

/// A standing of one owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StandingId {
    /// The owner's epoch.
    pub epoch: u64,
    /// Rises each time the standing changes under the epoch.
    pub number: u32,
}

/// Whether a process has consented to an owner's going on without it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Consent {
    /// Not known: a former process of the node may have consented.
    #[default]
    Unknown,
    /// It has not, and neither has a former process of the node to any owner that may still act.
    Withheld,
    /// It has consented to this standing.
    Given(StandingId),
}

/// What a process has heard of the standing of owners, and its consent.
#[derive(Debug, Default)]
pub struct ConsentRecord {
    /// The newest standing that was heard.  Heartbeats may overtake one another.
    newest: StandingId,
    /// What follows from it.
    pub consent: Consent,
}

impl ConsentRecord {
    /// Applies the heartbeat of an owner above whose epoch none is known, if it was meant for the
    /// process that was started as `boot`.
    ///
    /// A heartbeat for a former process counts nothing: the owner may have had its consent since.
    pub fn apply(&mut self, beat: &Heartbeat, boot: u64) {
        let heard = StandingId {
            epoch: beat.epoch,
            number: beat.standing_number,
        };
        if beat.receiver_boot != boot || heard < self.newest {
            return;
        }
        self.newest = heard;
        let consent = match beat.standing {
            Standing::Unstated => return,
            Standing::WithStore => Consent::Withheld,
            Standing::WithoutStore => Consent::Given(heard),
        };
        if consent != self.consent {
            tracing::info!(epoch = heard.epoch, ?consent, "consent");
            self.consent = consent;
        }
    }
}

/// The standing of an owner, as it keeps it.
#[derive(Debug, Default)]
pub struct OwnerStanding {
    number: u32,
    /// The store has not answered of late.
    is_without_store: bool,
    /// Enough voters have consented to this standing.
    has_consent: bool,
}

impl OwnerStanding {
    /// Notes that the store confirms the ownership.  Consents end with that.
    pub fn regain_store(&mut self) {
        if self.is_without_store {
            *self = Self {
                number: self.number + 1,
                ..Self::default()
            };
        }
    }

    /// Notes that neither the store nor another node has shown the row.
    pub fn lose_store(&mut self) {
        if !self.is_without_store {
            self.number += 1;
            self.is_without_store = true;
        }
    }

    /// Returns the standing under `epoch` for which consents count; none while none is needed.
    pub fn wanted(&self, epoch: u64) -> Option<StandingId> {
        let number = self.number;
        self.is_without_store
            .then_some(StandingId { epoch, number })
    }

    /// Notes that enough voters have consented to a standing, unless it has changed since.
    pub fn note_consent(&mut self, standing: StandingId) {
        let is_present = self.is_without_store && self.number == standing.number;
        if is_present && !self.has_consent {
            tracing::info!(number = self.number, "owner may go on without some voters");
            self.has_consent = true;
        }
    }

    /// Returns whether enough voters have consented.
    pub fn has_consent(&self) -> bool {
        self.has_consent
    }

    /// Returns what to tell other nodes.  `is_alone` says that all former owners have stopped.
    pub fn tell(&self, is_alone: bool) -> (Standing, u32) {
        let standing = match (self.is_without_store, is_alone) {
            (true, _) => Standing::WithoutStore,
            (false, true) => Standing::WithStore,
            (false, false) => Standing::Unstated,
        };
        (standing, self.number)
    }
}
