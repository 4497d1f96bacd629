//! Confirms regularly that this node still owns the cell.
//!
//! An owner gives no orders unless its ownership was confirmed recently; a successor relies on that
//! when it cannot reach a worker (see "Ownership" in `docs/DESIGN.md`).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::Millis;
use crate::node::engine::{Engine, PEER_ALIVE_WINDOW};
use crate::node::heartbeat;
use crate::node::members::Member;
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::route;
use crate::node::shared::CELL_PARTITION;
use crate::store::{StoreCall, StoreError, StoreReply, Table};

/// How often the owner checks how long ago its ownership was confirmed.
const CONFIRM_POLL: Duration = Duration::from_millis(250);
/// An ownership that was confirmed within this time, in milliseconds, is not confirmed again yet.
const CONFIRM_AFTER: Millis = 700;
/// When the store has not answered for this long, the other nodes are asked as well.  A read takes
/// 6 ms, and time spent waiting here is taken from the 2 s for which a confirmation lasts.
const HEDGE_AFTER: Duration = Duration::from_millis(150);
/// A node that has said that it does not reach the store, in answer to a heartbeat sent within this
/// time, need not be asked.  The time, in milliseconds, is the interval of heartbeats and the time
/// limit of their answers.
const RECENT_ANSWER: Millis = heartbeat::DEFAULT_INTERVAL + heartbeat::HEARTBEAT_TIMEOUT;
/// Time limit for one read of the ownership row, in milliseconds: a slow store takes 400 ms.
const READ_LIMIT: Millis = 700;

/// What one node answers when it is asked for the ownership row.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Response {
    /// The row as read from the store; none if there is no row or it cannot be parsed.
    Row(Option<OwnerRow>),
    /// The node does not reach the store, so it has not claimed the cell.
    Away,
    /// The node has not answered, or not with a row.
    Silent,
}

/// The conclusion from the responses of all nodes.
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
            if sent.saturating_sub(self.confirmed_at.load(Ordering::Relaxed)) < CONFIRM_AFTER {
                continue;
            }
            let responses = self.collect_responses(sent).await;
            self.apply_responses(sent, &responses);
        }
    }

    /// Reads the ownership row from the store.  If that fails or takes long, also asks every other
    /// node that was heard recently, except those that have just said in a heartbeat that they do
    /// not reach the store: during an outage of the store, 146 nodes are not asked each time.
    async fn collect_responses(&self, sent: Millis) -> Vec<Response> {
        let own = self.read_directly();
        tokio::pin!(own);
        let early = tokio::time::timeout(HEDGE_AFTER, &mut own).await.ok();
        if let Some(response @ Response::Row(_)) = early {
            return vec![response];
        }
        let (away, asked) = self.classify_peers(sent);
        let others = join_all(asked.into_iter().map(|addr| self.ask_node(addr)));
        let (mut responses, own) = match early {
            Some(response) => (others.await, response),
            None => tokio::join!(others, own),
        };
        responses.push(own);
        responses.extend(std::iter::repeat_n(Response::Away, away));
        responses
    }

    fn apply_responses(&self, sent: Millis, responses: &[Response]) {
        match self.verdict(responses) {
            Verdict::Holds if has_row(responses) => self.confirm(sent),
            // Some of the responses were taken from heartbeats, which may be as old as this.
            Verdict::Holds => self.confirm_by_peers(sent.saturating_sub(RECENT_ANSWER)),
            Verdict::Lost => self.retire("the ownership row names another owner"),
            Verdict::Unknown => tracing::info!(
                ?responses,
                active = self.is_active(),
                "ownership is not confirmed"
            ),
        }
    }

    /// Decides whether the ownership holds.  Any row that was read is decisive.  Without one, most
    /// known nodes must say that they do not reach the store, since only a node that reaches it can
    /// claim the cell.
    fn verdict(&self, responses: &[Response]) -> Verdict {
        let rows: Vec<&Option<OwnerRow>> = responses
            .iter()
            .filter_map(|response| match response {
                Response::Row(row) => Some(row),
                Response::Away | Response::Silent => None,
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
        let known = now_known.max(self.max_node_count.fetch_max(now_known, Ordering::Relaxed));
        let away = responses
            .iter()
            .filter(|response| **response == Response::Away)
            .count();
        if !rows.is_empty() || away * 2 > known {
            return Verdict::Holds;
        }
        Verdict::Unknown
    }

    /// The number of nodes that this one knows, including itself.
    pub(super) fn node_count(&self) -> usize {
        self.shared.members().iter().count() + 1
    }

    async fn read_directly(&self) -> Response {
        if !self.shared.reaches_store() {
            return Response::Away;
        }
        let limit = Duration::from_millis(READ_LIMIT);
        let read = self.shared.store_direct(read_owner_call());
        match tokio::time::timeout(limit, read).await {
            Ok(reply) => response(reply),
            Err(_) => Response::Away,
        }
    }

    async fn ask_node(&self, addr: SocketAddr) -> Response {
        match route::ask_to_relay(&self.shared, addr, &read_owner_call(), READ_LIMIT).await {
            Ok(reply) => response(reply),
            Err(_) => Response::Silent,
        }
    }

    /// Considers the nodes that were heard recently and know of no higher epoch.  Returns how many
    /// of them have just said that they do not reach the store, and the addresses of the others.
    fn classify_peers(&self, sent: Millis) -> (usize, Vec<SocketAddr>) {
        let members = self.shared.members();
        let (away, asked): (Vec<&Member>, Vec<&Member>) = members
            .iter()
            .map(|(_, member)| member)
            .filter(|m| m.was_heard(PEER_ALIVE_WINDOW, sent))
            .filter(|m| m.epoch <= self.epoch)
            .partition(|m| {
                m.no_store_asked > 0 && sent.saturating_sub(m.no_store_asked) < RECENT_ANSWER
            });
        (away.len(), asked.iter().map(|m| m.address).collect())
    }
}

/// Returns whether the ownership row was read, by this node or another one.
fn has_row(responses: &[Response]) -> bool {
    responses
        .iter()
        .any(|response| matches!(response, Response::Row(_)))
}

fn read_owner_call() -> StoreCall {
    StoreCall::row(Table::Cells, CELL_PARTITION, OWNER_KEY)
}

fn response(reply: Result<StoreReply, StoreError>) -> Response {
    match reply {
        Ok(StoreReply::Rows { rows, .. }) => Response::Row(rows.first().and_then(OwnerRow::read)),
        Ok(_) => {
            tracing::warn!(
                "unexpected kind of answer from the store to a read of the ownership row"
            );
            Response::Silent
        }
        Err(_) => Response::Away,
    }
}
