//! Making sure that an ownership still holds.
//!
//! An owner gives no orders unless this was confirmed of late; a successor relies on
//! that when it cannot reach a worker (see "Ownership" in `docs/CELL.md`).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::Millis;
use crate::node::engine::{Engine, WITNESS_WINDOW};
use crate::node::recording::{OWNER_KEY, OwnerRow};
use crate::node::shared::PARTITION;
use crate::store::{StoreCall, StoreReply, Table};

/// How often the owner looks whether it is still confirmed.
const CONFIRM_POLL: Duration = Duration::from_millis(250);
/// An ownership that was confirmed within this time is not asked about again.
const CONFIRM_AFTER: Millis = 700;

impl Engine {
    pub(super) async fn confirm_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CONFIRM_POLL).await;
            let sent = self.shared.now();
            if sent.saturating_sub(self.confirmed.load(Ordering::Relaxed)) < CONFIRM_AFTER {
                continue;
            }
            self.ask_store_for_confirmation(sent).await;
        }
    }

    /// Reads the row of ownership; without the store, other nodes' word must do.
    async fn ask_store_for_confirmation(&self, sent: Millis) {
        let call = StoreCall::row(Table::Cells, PARTITION, OWNER_KEY);
        match self.shared.store(call).await {
            Ok(StoreReply::Rows { rows, .. }) => match rows.first().and_then(OwnerRow::read) {
                Some(row) if row.epoch == self.epoch && row.boot == self.shared.boot => {
                    self.confirm(sent);
                }
                _ => self.retire("the row of ownership names another"),
            },
            Ok(_) => tracing::warn!("the store's answer about ownership is of the wrong kind"),
            Err(err) => {
                if self.witnessed() {
                    self.confirm(sent);
                } else {
                    tracing::info!(%err, active = self.is_active(), "ownership is not confirmed");
                }
            }
        }
    }

    /// Most nodes that we know, ourselves included, were heard of late and know of no
    /// higher epoch.  Whether they reach the store is not looked at.
    fn witnessed(&self) -> bool {
        let now = self.shared.now();
        let members = self.shared.members();
        let total = members.iter().count() + 1;
        let witnesses = members
            .iter()
            .filter(|(_, m)| m.heard > 0 && now.saturating_sub(m.heard) < WITNESS_WINDOW)
            .filter(|(_, m)| m.epoch <= self.epoch)
            .count()
            + 1;
        witnesses * 2 > total
    }
}
