//! Which former owners may still act, and which nodes decide that.
//!
//! An owner that does not reach the store goes on while most of the *voters* answer that they have
//! not heard of a successor.  A successor may assume that it has stopped once most of the same
//! voters have answered the successor for longer than a confirmation lasts.  Both go by the set that
//! is recorded in the store together with the ownership, so the two majorities share a node ("Two
//! owners" in `docs/DESIGN.md`).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::cell::tuning;
use crate::clock::Millis;
use crate::node::consent::Consent;
use crate::node::members::{Following, Members, name_hash};
use crate::node::recording::OwnerRow;
use crate::node::shared::CELL_PARTITION;
use crate::store::{Row, RowKey, Table};

/// The key of the row with the voters.
const VOTERS_KEY: &str = "voters";
/// For how long an owner goes on that neither the store nor all voters have confirmed, in
/// milliseconds.  A successor waits this long if the voters that are left prove nothing sooner.
pub const MAX_TERM_BY_MAJORITY: Millis = 60_000;

/// An owner without the store can do without one in this many of its voters, if all others have
/// consented.  So it goes on beside a store that serves others only if that turns away three in four
/// nodes or more.
const DISPENSABLE_DIVISOR: usize = 4;

/// Former owners of the cell that are not known to have stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormerOwners {
    /// Only this process.
    One {
        /// The name of its node.
        name: String,
        /// Identifies the start of the process.
        boot: u64,
    },
    /// The direct predecessor and others before it.
    Several,
}

impl FormerOwners {
    /// Returns the former owners for a claim by a process at `address` that replaces `former`; none
    /// if all have stopped.
    ///
    /// An owner that has released the cell gives no orders any more, and neither does one whose
    /// address this process uses now.
    pub fn before_claim(former: Option<&OwnerRow>, address: &str) -> Option<Self> {
        let former = former?;
        let has_stopped = former.released || former.address == address;
        match &former.former_owners {
            before if has_stopped => before.clone(),
            None => Some(Self::One {
                name: former.name.clone(),
                boot: former.boot,
            }),
            Some(_) => Some(Self::Several),
        }
    }
}

/// The nodes whose answers decide whether an owner goes on without the store, as hashes of their
/// names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters(BTreeSet<u64>);

/// How many of the voters are in a set of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Share {
    /// Half or fewer.
    Few,
    /// More than half.
    Most,
    /// Every one.
    All,
}

impl Voters {
    /// Chooses this node and all others that were heard.
    pub fn choose(own: &str, members: &Members) -> Self {
        let heard = members.iter().filter(|(_, member)| member.last_heard > 0);
        let names = heard.map(|(name, _)| name.as_str());
        Self(names.chain([own]).map(name_hash).collect())
    }

    /// Finds among the rows of a cell, and parses, the recorded voters.
    pub fn read(rows: &[Row]) -> Option<Self> {
        let row = rows.iter().find(|row| row.key == VOTERS_KEY)?;
        serde_json::from_str(&row.value)
            .inspect_err(|err| tracing::error!(%err, "cannot parse the voters"))
            .ok()
    }

    /// The key of the row.
    pub fn key() -> RowKey {
        RowKey::new(Table::Cells, CELL_PARTITION, VOTERS_KEY)
    }

    /// Returns whether a node is a voter.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains(&name_hash(name))
    }

    /// The number of voters.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// How many voters are most of them.
    fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Without how many voters an owner can do that reaches no store, if the others have consented.
    fn dispensable(&self) -> usize {
        self.0.len() / DISPENSABLE_DIVISOR
    }

    fn votes_among(&self, names: &BTreeSet<&str>) -> usize {
        names.iter().filter(|name| self.contains(name)).count()
    }

    /// Returns how many of the voters are among these nodes.
    pub fn share_of(&self, names: &BTreeSet<&str>) -> Share {
        let votes = self.votes_among(names);
        match votes {
            votes if self.0.is_empty() || votes * 2 <= self.0.len() => Share::Few,
            votes if votes < self.0.len() => Share::Most,
            _ => Share::All,
        }
    }
}

/// The voters as recorded, and those that may be recorded since a transaction with them was sent.
/// Until its result is known, both sets count.
#[derive(Debug, Default)]
pub struct RecordedVoters {
    /// The set that was last known to be recorded; none if there was none.
    pub recorded: Option<Voters>,
    /// The set in a transaction without a known result.
    pub pending: Option<Voters>,
    /// When it was last looked whether the set has changed.
    pub reviewed_at: Millis,
}

impl RecordedVoters {
    /// Returns how many of the voters are among these nodes.
    pub fn share_of(&self, names: &BTreeSet<&str>) -> Share {
        let shares = self.sets().map(|set| set.share_of(names));
        shares.min().unwrap_or(Share::Few)
    }

    /// Returns whether these nodes are enough for an owner to go on without the others.
    pub fn have_consented(&self, names: &BTreeSet<&str>) -> bool {
        let is_enough = |set: &Voters| set.votes_among(names) + set.dispensable() >= set.count();
        self.recorded.is_some() && self.sets().all(is_enough)
    }

    /// The sets that count; none if no set is known to be recorded.
    fn sets(&self) -> impl Iterator<Item = &Voters> {
        let pending = self.recorded.as_ref().and(self.pending.as_ref());
        self.recorded.iter().chain(pending)
    }
}

/// What an owner knows of whether its predecessors have stopped.
#[derive(Debug)]
pub struct Succession {
    /// Those that are not known to have stopped; none if all have.
    former: Option<FormerOwners>,
    /// They go on without the store only with the consent of voters.
    ask_consent: bool,
    /// The voters by whom they may go on.
    voters: Voters,
    /// Since when some voter has known of this ownership.
    first_vote: Option<Millis>,
}

/// The owner that reviews its succession.
#[derive(Debug, Clone, Copy)]
pub struct Successor<'a> {
    /// The name of its node.
    pub name: &'a str,
    /// Its epoch.
    pub epoch: u64,
    /// When it had claimed the cell, by its clock.
    pub since: Millis,
    /// Whether its node has consented to a former owner's going on without it.
    pub consent: Consent,
}

impl Succession {
    /// Begins with the former owners that may act at the time of the claim.
    pub fn new(former: Option<FormerOwners>, ask_consent: bool, voters: Option<Voters>) -> Self {
        Self {
            ask_consent,
            // Owners of a version that records no voters stop by themselves.
            former: former.filter(|_| voters.is_some()),
            voters: voters.unwrap_or_default(),
            first_vote: None,
        }
    }

    /// The former owners that are not known to have stopped.
    pub fn former(&self) -> Option<&FormerOwners> {
        self.former.as_ref()
    }

    /// Returns whether all owners that may still act, the present one included, go on without the
    /// store only with the consent of voters.
    pub fn asks_consent(&self) -> bool {
        self.former.is_none() || self.ask_consent
    }

    /// Since when no former owner takes in new jobs that it is told of; none if that is not known.
    /// One takes them in only while the store or all voters confirm it.
    pub fn no_new_jobs_since(&self, successor: Successor<'_>) -> Option<Millis> {
        let claimed = match &self.former {
            None => Some(successor.since),
            Some(_) => self.first_vote,
        };
        claimed.map(|at| at + tuning::OWNER_STOP_TIME)
    }

    /// Looks for evidence that all former owners have stopped.  Returns since when, once there is.
    pub fn review(
        &mut self,
        successor: Successor<'_>,
        members: &Members,
        now: Millis,
    ) -> Option<Millis> {
        let former = self.former.as_ref()?;
        let votes = self.votes(successor, members, now);
        let first = votes.iter().map(|vote| vote.since).min();
        self.first_vote = self.first_vote.or(first);
        let stopped_at = if has_answered(former, successor, members) {
            Some(now)
        } else {
            let by_term = self.first_vote.map(|at| at + MAX_TERM_BY_MAJORITY);
            let last_confirmed = self.decided_since(&votes).or(by_term);
            last_confirmed.map(|at| at + tuning::OWNER_STOP_TIME)
        };
        let stopped_at = stopped_at.filter(|&at| at <= now)?;
        tracing::info!(
            epoch = successor.epoch,
            ?former,
            votes = votes.len(),
            withheld = votes.iter().filter(|vote| vote.is_withheld).count(),
            voters = self.voters.0.len(),
            stopped_ms_ago = now - stopped_at,
            "former owners have stopped"
        );
        self.former = None;
        Some(stopped_at)
    }

    /// Returns what each voter that knows of this ownership has answered.
    fn votes(&self, successor: Successor<'_>, members: &Members, now: Millis) -> Vec<Vote> {
        let follows = |following: &&Following| following.epoch == successor.epoch;
        let voters = members
            .iter()
            .filter(|(name, _)| self.voters.contains(name));
        let others = voters.filter_map(|(_, member)| member.following.as_ref().filter(follows));
        let mut votes: Vec<Vote> = others
            .map(|following| Vote {
                since: following.since,
                until: following.until,
                is_withheld: following.consent == Consent::Withheld,
            })
            .collect();
        if self.voters.contains(successor.name) {
            votes.push(Vote {
                since: successor.since,
                until: now,
                is_withheld: successor.consent == Consent::Withheld,
            });
        }
        votes
    }

    /// Since when most voters have known of this ownership, or more that have consented to nothing
    /// than a former owner can do without.
    fn decided_since(&self, votes: &[Vote]) -> Option<Millis> {
        let withheld: Vec<Vote> = votes
            .iter()
            .copied()
            .filter(|vote| vote.is_withheld)
            .collect();
        let by_majority = lasting_since(votes, self.voters.majority());
        let by_withheld = lasting_since(&withheld, self.voters.dispensable() + 1);
        let by_withheld = by_withheld.filter(|_| self.ask_consent);
        by_majority.into_iter().chain(by_withheld).min()
    }

    /// Returns whether a former owner may go on for long without the store: some node has consented
    /// to that, or it does not ask.
    pub fn may_go_on(&self, successor: Successor<'_>, members: &Members) -> bool {
        let is_given =
            |consent: Consent| matches!(consent, Consent::Given(id) if id.epoch < successor.epoch);
        let answers = members.iter().filter_map(|(_, member)| member.following);
        let mut consents = answers
            .map(|answer| answer.consent)
            .chain([successor.consent]);
        self.former.is_some() && (!self.ask_consent || consents.any(is_given))
    }

    /// Stops looking for evidence if no voter is left that could give it.  Only for a settled owner:
    /// every worker that a former one may have used has answered it, or is gone.
    pub fn close_without_voters(
        &mut self,
        successor: Successor<'_>,
        members: &Members,
        now: Millis,
    ) {
        if self.former.is_some() && self.votes(successor, members, now).is_empty() {
            tracing::info!(epoch = successor.epoch, former = ?self.former, "no voter is left");
            self.former = None;
        }
    }
}

/// Since when at least `count` voters have known of an ownership without a restart, for at least
/// [`tuning::OWNER_STOP_TIME`].
fn lasting_since(votes: &[Vote], count: usize) -> Option<Millis> {
    let mut since: Vec<Millis> = votes.iter().map(|vote| vote.since).collect();
    since.sort_unstable();
    since.into_iter().find(|&at| {
        let last = at + tuning::OWNER_STOP_TIME;
        let lasting = votes
            .iter()
            .filter(|vote| vote.since <= at && vote.until >= last);
        lasting.count() >= count
    })
}

/// For how long a voter, without a restart, has known of an ownership.
#[derive(Debug, Clone, Copy)]
struct Vote {
    /// Its first answer that shows so was heard at this time.
    since: Millis,
    /// Its last answer that shows so was given to a call that was sent at this time.
    until: Millis,
    /// It has consented to no former owner's going on without it.
    is_withheld: bool,
}

/// Returns whether the only former owner was heard after the claim, and has given its ownership up
/// or is another process.
fn has_answered(former: &FormerOwners, successor: Successor<'_>, members: &Members) -> bool {
    let FormerOwners::One { name, boot } = former else {
        return false;
    };
    let following = members
        .get(name)
        .and_then(|member| member.following.as_ref());
    following.is_some_and(|following| {
        let is_recent = following.until >= successor.since;
        is_recent && (following.boot != *boot || following.epoch >= successor.epoch)
    })
}
