//! Follows which data halls the operator has evacuated.
//!
//! The owner and the watchers (the nodes that may own the cell next) follow the operator's rows, so
//! that a successor knows the evacuated halls at once.  An owner that cannot reach the store
//! directly reads the rows through a peer, since it would otherwise go on to start tasks in a hall
//! that has been evacuated meanwhile.

use std::sync::Arc;

use crate::evacuation::{Evacuations, Halls};
use crate::node::loading;
use crate::node::shared::Shared;
use crate::store::{Row, StoreError, Table, Version};

/// The evacuated halls according to the operator's rows.
#[derive(Debug, Default)]
pub struct HallRows {
    known: Evacuations,
    /// The halls that are evacuated; none if that is not known.
    evacuated: Option<Arc<Halls>>,
    /// The version of the newest row that cannot be parsed.  It is reported once, however often it
    /// is listed.
    unreadable: Version,
}

impl HallRows {
    /// Returns the halls that are evacuated; none if that is not known.
    pub fn evacuated(&self) -> Option<Arc<Halls>> {
        self.evacuated.clone()
    }

    /// Marks the evacuated halls as unknown, because the rows are no longer followed and may change
    /// unnoticed.
    pub fn stop_following(&mut self) {
        self.evacuated = None;
    }

    fn refresh(&mut self) {
        let halls = self.known.halls();
        if self.evacuated.as_deref() != Some(&halls) {
            self.evacuated = Some(Arc::new(halls));
        }
    }

    /// Reports rows that cannot be parsed.  Such a row changes nothing: the hall stays as it was.
    fn report_unreadable(&mut self, shared: &Shared, rows: &[&Row]) {
        let Some(newest) = rows.iter().max_by_key(|row| row.version) else {
            return;
        };
        if newest.version <= self.unreadable {
            return;
        }
        self.unreadable = newest.version;
        tracing::error!(
            rows = rows.len(),
            key = newest.key,
            version = newest.version,
            "rows about evacuated halls cannot be read"
        );
        shared.metrics.event("unreadable_evacuation");
    }
}

/// Reads all rows about halls from the store, directly or through a peer.
///
/// # Errors
/// See [`StoreError`].
pub async fn read(shared: &Arc<Shared>) -> Result<(), StoreError> {
    let prefix = shared.decoder.evacuation_prefix();
    let (rows, version) = loading::list_prefix(shared, Table::Operator, "", prefix).await?;
    let listed = rows.iter().filter_map(|row| row.key.strip_prefix(prefix));
    let listed: Halls = listed.map(str::to_owned).collect();
    let mut halls = shared.hall_rows();
    halls.known.remove_unlisted(&listed, version);
    apply_rows(shared, &mut halls, &rows);
    halls.refresh();
    Ok(())
}

/// Applies changed rows of the operator; those that are not about halls are skipped.
pub fn apply_changes(shared: &Shared, rows: &[Row]) {
    let mut halls = shared.hall_rows();
    apply_rows(shared, &mut halls, rows);
    if halls.evacuated.is_some() {
        halls.refresh();
    }
}

fn apply_rows(shared: &Shared, halls: &mut HallRows, rows: &[Row]) {
    let mut unreadable = Vec::new();
    for row in rows {
        let Some(hall) = row.key.strip_prefix(shared.decoder.evacuation_prefix()) else {
            continue;
        };
        if row.dropped {
            halls.known.apply(hall, row.version, false);
        } else if hall.is_empty() || shared.decoder.evacuation(&row.value).is_err() {
            unreadable.push(row);
        } else {
            halls.known.apply(hall, row.version, true);
        }
    }
    halls.report_unreadable(shared, &unreadable);
}
