//! Confirms regularly that this node still owns the cell.
//!
//! An owner gives no orders unless its ownership was confirmed recently; a successor relies on that
//! when it cannot reach a worker (see "Ownership" in `docs/DESIGN.md`).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::Millis;
use crate::node::consent::Consent;
use crate::node::election;
use crate::node::engine::{Engine, PEER_ALIVE_WINDOW};
use crate::node::heartbeat::{self, HEARTBEAT_TIMEOUT};
use crate::node::members::Member;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::route;
use crate::node::shared::CELL_PARTITION;
use crate::node::succession::{Share, Voters};
use crate::store::{StoreCall, StoreReply, Table};

/// How often the owner checks how long ago its ownership was confirmed.
const CONFIRM_POLL: Duration = Duration::from_millis(250);
/// An ownership that was confirmed within this time, in milliseconds, is not confirmed again yet.
const CONFIRM_AFTER: Millis = 700;
/// The shortest time between two attempts to confirm the ownership, in milliseconds, if that is
/// needed at once.
const MIN_CONFIRM_INTERVAL: Millis = 100;
/// When the store has not answered for this long, the other nodes are asked as well.  A read takes
/// 6 ms, and time spent waiting here is taken from the 2 s for which a confirmation lasts.
const HEDGE_AFTER: Duration = Duration::from_millis(150);
/// What a node has said in answer to a heartbeat sent within this time counts, so that it need not be
/// asked: whether it reaches the store, and whether it knows of a successor.  The time, in
/// milliseconds, is the interval of heartbeats and the time limit of their answers.
const RECENT_ANSWER: Millis = heartbeat::DEFAULT_INTERVAL + heartbeat::HEARTBEAT_TIMEOUT;
/// Time limit for one read of the ownership row, in milliseconds: a slow store takes 400 ms.
const READ_LIMIT: Millis = 700;

/// The ownership row as one node has read it from the store; none if there is no row or it cannot be
/// parsed.
type RowRead = Option<OwnerRow>;

/// A node that has said of late that it knows of no successor.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Supporter {
    name: String,
    /// When its process was first heard, by our clock.
    since: Millis,
}

/// Whose answers count.  A node that knows of a successor, and has not consented, forgets both when
/// it restarts.  While the ownership is confirmed any process counts; once it is not, only one that
/// was there when it last was ("Two owners" in `docs/DESIGN.md`).
#[derive(Debug, Clone, Copy)]
struct Counting {
    is_active: bool,
    confirmed_at: Millis,
}

impl Counting {
    fn is_known(&self, member: &Member) -> bool {
        self.is_active || member.boot_since <= self.confirmed_at
    }
}

impl Engine {
    pub(super) async fn confirm_loop(self: Arc<Self>) {
        let mut attempted = 0;
        loop {
            let needed = self.confirm_needed.notified();
            let is_needed = tokio::time::timeout(CONFIRM_POLL, needed).await.is_ok();
            let sent = self.shared.now();
            let is_due = match is_needed {
                true => sent.saturating_sub(attempted) >= MIN_CONFIRM_INTERVAL,
                false => {
                    let confirmed_at = self.confirmed_at.load(Ordering::Relaxed);
                    sent.saturating_sub(confirmed_at) >= CONFIRM_AFTER
                }
            };
            if !is_due {
                continue;
            }
            attempted = sent;
            let rows = self.collect_rows(sent).await;
            self.apply_rows(sent, &rows);
        }
    }

    /// Reads the ownership row from the store.  If that fails or takes long, also asks every other
    /// node that was heard recently, except those that have just said in a heartbeat that they do
    /// not reach the store: during an outage of the store, 146 nodes are not asked each time.
    async fn collect_rows(&self, sent: Millis) -> Vec<RowRead> {
        let own = self.read_directly();
        tokio::pin!(own);
        let early = tokio::time::timeout(HEDGE_AFTER, &mut own).await.ok();
        if let Some(Some(row)) = early {
            return vec![row];
        }
        // Row or not, the ownership must not lapse while the others are asked.
        self.apply_support();
        let asked = self.peers_to_ask(sent).into_iter();
        let others = join_all(asked.map(|(name, addr)| self.ask_node(name, addr)));
        let (others, own) = match early {
            Some(row) => (others.await, row),
            None => tokio::join!(others, own),
        };
        others.into_iter().chain([own]).flatten().collect()
    }

    /// Any row that was read is decisive.
    fn apply_rows(&self, sent: Millis, rows: &[RowRead]) {
        let is_ours = |row: &RowRead| {
            row.as_ref()
                .is_some_and(|row| row.epoch == self.epoch && row.boot == self.shared.boot)
        };
        if !rows.iter().all(is_ours) {
            self.retire("the ownership row names another owner");
        } else if rows.is_empty() {
            self.standing().lose_store();
            self.apply_support();
        } else {
            self.confirm_by_store(sent);
        }
    }

    /// Confirms the ownership without its row if most of the recorded voters say that they know of
    /// no successor, and three quarters have consented before: one that starts what may run already
    /// has the answers of most voters, or of more that have not consented than this owner can do
    /// without ("Two owners" in `docs/DESIGN.md`).
    fn apply_support(&self) {
        let asked = self.shared.now().saturating_sub(RECENT_ANSWER);
        let supporters = self.supporters(asked);
        let names: BTreeSet<&str> = supporters.iter().map(|node| node.name.as_str()).collect();
        let share = self.voters().share_of(&names);
        let has_consent = self.has_consent();
        match share {
            Share::Few => tracing::info!(
                supporters = supporters.len(),
                voters = self.voters().recorded.as_ref().map(Voters::count),
                active = self.is_active(),
                "ownership is not confirmed"
            ),
            // A voter that has restarted may have known of a successor.
            Share::All if supporters.iter().all(|node| self.is_unchanged(node)) => {
                self.confirm(asked);
            }
            Share::Most | Share::All if has_consent => self.confirm_by_majority(asked),
            Share::Most | Share::All => tracing::info!(
                supporters = supporters.len(),
                active = self.is_active(),
                "ownership is not confirmed: too few voters have consented"
            ),
        }
    }

    /// Returns whether enough voters have consented to this owner's going on without some of them.
    /// A voter that has been lost since counts: it is no evidence for a successor either.
    fn has_consent(&self) -> bool {
        let wanted = self.standing().wanted(self.epoch);
        if let Some(wanted) = wanted {
            let counts = self.counting();
            let members = self.shared.members();
            let consenting = members.iter().filter(|(_, member)| {
                let answer = member.following.filter(|_| counts.is_known(member));
                answer.is_some_and(|answer| {
                    answer.boot == member.boot && answer.consent == Consent::Given(wanted)
                })
            });
            let names = consenting.map(|(name, _)| name.as_str());
            let names = names.chain([self.shared.name.as_str()]).collect();
            if self.voters().have_consented(&names) {
                self.standing().note_consent(wanted);
            }
        }
        self.standing().has_consent()
    }

    /// Returns whether the process of a node is the one that it was when nobody else could own the
    /// cell.
    fn is_unchanged(&self, node: &Supporter) -> bool {
        node.since <= self.exclusive_at.load(Ordering::Relaxed)
    }

    async fn read_directly(&self) -> Option<RowRead> {
        if !self.shared.reaches_store() {
            return None;
        }
        let limit = Duration::from_millis(READ_LIMIT);
        let read = self.shared.store_direct(read_owner_call());
        let reply = tokio::time::timeout(limit, read).await.ok()?;
        row_in(reply.ok()?)
    }

    /// Asks a node for the row.  If it cannot read it, its answer to a heartbeat still tells
    /// whether it knows of a successor.
    async fn ask_node(&self, name: String, addr: SocketAddr) -> Option<RowRead> {
        let call = read_owner_call();
        let reply = route::ask_to_relay(&self.shared, addr, &call, READ_LIMIT).await;
        if let Ok(Ok(reply)) = reply {
            return row_in(reply);
        }
        let beat = self.shared.heartbeat_for(&name);
        election::exchange(&self.shared, addr, beat, HEARTBEAT_TIMEOUT).await;
        None
    }

    /// The nodes that were heard recently, know of no higher epoch and may reach the store, with
    /// their addresses.
    fn peers_to_ask(&self, sent: Millis) -> Vec<(String, SocketAddr)> {
        let lacks_store = |member: &Member| {
            let asked = member.no_store_asked;
            asked > 0 && sent.saturating_sub(asked) < RECENT_ANSWER
        };
        let members = self.shared.members();
        let asked = members
            .iter()
            .filter(|(_, member)| member.was_heard(PEER_ALIVE_WINDOW, sent))
            .filter(|(_, member)| member.epoch <= self.epoch && !lacks_store(member));
        asked
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    /// Returns whose answers count at present.
    fn counting(&self) -> Counting {
        Counting {
            is_active: self.is_active(),
            confirmed_at: self.confirmed_at.load(Ordering::Relaxed),
        }
    }

    /// The nodes that have answered a call sent since `asked` and know of no successor; this one is
    /// one of them.
    fn supporters(&self, asked: Millis) -> Vec<Supporter> {
        let counts = self.counting();
        let supports = |member: &Member| {
            let answer = member.following.filter(|answer| answer.until >= asked);
            answer.is_some_and(|answer| answer.boot == member.boot && answer.epoch <= self.epoch)
                && counts.is_known(member)
        };
        let members = self.shared.members();
        let others = members.iter().filter(|(_, member)| supports(member));
        let others = others.map(|(name, member)| Supporter {
            name: name.clone(),
            since: member.boot_since,
        });
        let own = Supporter {
            name: self.shared.name.clone(),
            since: 0,
        };
        others.chain([own]).collect()
    }
}

fn read_owner_call() -> StoreCall {
    StoreCall::row(Table::Cells, CELL_PARTITION, OWNER_KEY)
}

fn row_in(reply: StoreReply) -> Option<RowRead> {
    match reply {
        StoreReply::Rows { rows, .. } => Some(rows.first().and_then(OwnerRow::read)),
        _ => {
            tracing::warn!(
                "unexpected kind of answer from the store to a read of the ownership row"
            );
            None
        }
    }
}
