//! Making sure that an ownership still holds.
//!
//! An owner gives no orders unless this was confirmed of late; a successor relies on
//! that when it cannot reach a worker (see "Ownership" in `docs/DESIGN.md`).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::Millis;
use crate::node::engine::{Engine, WITNESS_WINDOW};
use crate::node::heartbeat;
use crate::node::members::Member;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::route;
use crate::node::shared::PARTITION;
use crate::store::{StoreCall, StoreError, StoreReply, Table};

/// How often the owner looks whether it is still confirmed.
const CONFIRM_POLL: Duration = Duration::from_millis(250);
/// An ownership that was confirmed within this time is not asked about again.
const CONFIRM_AFTER: Millis = 700;
/// When the store has not answered for so long, the other nodes are asked as well: a
/// read takes 6 ms, and whatever is lost here shortens the window of 2 s.
const HEDGE_AFTER: Duration = Duration::from_millis(150);
/// A node that has answered a call no older than this that it does not reach the store need
/// not be asked: heartbeats come to it that often, and an answer may take some time.
const RECENT_ANSWER: Millis = heartbeat::DEFAULT_INTERVAL + heartbeat::BEAT_TIMEOUT;
/// How long one read of the row of ownership may take: 400 ms from a slow store.
const READ_LIMIT: Millis = 700;

/// What one node can tell about the row of ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Word {
    /// The row, as the store shows it; none if it cannot be understood.
    Row(Option<OwnerRow>),
    /// The node says that it does not reach the store, so it has not claimed the cell.
    Away,
    /// The node has not answered.
    Silent,
}

/// What the words of all nodes come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Holds,
    Lost,
    Unknown,
}

impl Engine {
    pub(super) async fn confirm_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CONFIRM_POLL).await;
            let sent = self.shared.now();
            if sent.saturating_sub(self.confirmed.load(Ordering::Relaxed)) < CONFIRM_AFTER {
                continue;
            }
            let words = self.gather_words(sent).await;
            self.take_words(sent, &words);
        }
    }

    /// Asks the store, and if it is silent or away every other node that was heard of late and
    /// has not just said that the store is away: while it is, 146 nodes are not asked anew.
    async fn gather_words(&self, sent: Millis) -> Vec<Word> {
        let own = self.own_word();
        tokio::pin!(own);
        let early = tokio::time::timeout(HEDGE_AFTER, &mut own).await.ok();
        if let Some(word @ Word::Row(_)) = early {
            return vec![word];
        }
        let (away, asked) = self.witnesses(sent);
        let others = join_all(asked.into_iter().map(|addr| self.word_of(addr)));
        let (mut words, own) = match early {
            Some(word) => (others.await, word),
            None => tokio::join!(others, own),
        };
        words.push(own);
        words.extend(std::iter::repeat_n(Word::Away, away));
        words
    }

    fn take_words(&self, sent: Millis, words: &[Word]) {
        match self.verdict(words) {
            Verdict::Holds if is_read(words) => self.confirm(sent),
            // Some of the words may be as old as that.
            Verdict::Holds => self.confirm_for_now(sent.saturating_sub(RECENT_ANSWER)),
            Verdict::Lost => self.retire("the row of ownership names another"),
            Verdict::Unknown => tracing::info!(
                ?words,
                active = self.is_active(),
                "ownership is not confirmed"
            ),
        }
    }

    /// One reading of the row decides.  Without any, most nodes that we know must say
    /// that they do not reach the store, since only a node that does can claim the cell.
    fn verdict(&self, words: &[Word]) -> Verdict {
        let rows: Vec<&Option<OwnerRow>> = words
            .iter()
            .filter_map(|word| match word {
                Word::Row(row) => Some(row),
                Word::Away | Word::Silent => None,
            })
            .collect();
        let is_ours = |row: &Option<OwnerRow>| {
            row.as_ref()
                .is_some_and(|row| row.epoch == self.epoch && row.boot == self.shared.boot)
        };
        if rows.iter().any(|row| !is_ours(row)) {
            return Verdict::Lost;
        }
        let now_known = self.node_count();
        let known = now_known.max(self.known.fetch_max(now_known, Ordering::Relaxed));
        let away = words.iter().filter(|word| **word == Word::Away).count();
        if !rows.is_empty() || away * 2 > known {
            return Verdict::Holds;
        }
        Verdict::Unknown
    }

    /// How many nodes this one knows, itself among them.
    pub(super) fn node_count(&self) -> usize {
        self.shared.members().iter().count() + 1
    }

    async fn own_word(&self) -> Word {
        if !self.shared.reaches_store() {
            return Word::Away;
        }
        let limit = Duration::from_millis(READ_LIMIT);
        let read = self.shared.store_direct(owner_row());
        match tokio::time::timeout(limit, read).await {
            Ok(reply) => word(reply),
            Err(_) => Word::Away,
        }
    }

    async fn word_of(&self, addr: SocketAddr) -> Word {
        match route::ask_to_relay(&self.shared, addr, &owner_row(), READ_LIMIT).await {
            Ok(reply) => word(reply),
            Err(_) => Word::Silent,
        }
    }

    /// Of the nodes that were heard of late and know of no higher epoch: how many have just
    /// said that they do not reach the store, and where the others answer.
    fn witnesses(&self, sent: Millis) -> (usize, Vec<SocketAddr>) {
        let members = self.shared.members();
        let (away, asked): (Vec<&Member>, Vec<&Member>) = members
            .iter()
            .map(|(_, member)| member)
            .filter(|m| m.was_heard(WITNESS_WINDOW, sent))
            .filter(|m| m.epoch <= self.epoch)
            .partition(|m| {
                m.no_store_asked > 0 && sent.saturating_sub(m.no_store_asked) < RECENT_ANSWER
            });
        (away.len(), asked.iter().map(|m| m.address).collect())
    }
}

/// Tells whether somebody has read the row of ownership.
fn is_read(words: &[Word]) -> bool {
    words.iter().any(|word| matches!(word, Word::Row(_)))
}

fn owner_row() -> StoreCall {
    StoreCall::row(Table::Cells, PARTITION, OWNER_KEY)
}

fn word(reply: Result<StoreReply, StoreError>) -> Word {
    match reply {
        Ok(StoreReply::Rows { rows, .. }) => Word::Row(rows.first().and_then(OwnerRow::read)),
        Ok(_) => {
            tracing::warn!("the store's answer about ownership is of the wrong kind");
            Word::Silent
        }
        Err(_) => Word::Away,
    }
}
