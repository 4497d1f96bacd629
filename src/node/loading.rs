//! Reading the rows of a cell when its ownership begins.

use std::collections::HashMap;
use std::sync::Arc;

use crate::cell::Cell;
use crate::cell::record::{JobRow, Progress};
use crate::cell::worker::WorkerEntry;
use crate::node::recording::WORKERS_KEY;
use crate::node::shared::{PARTITION, Shared};
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Version};

/// How many rows one call reads; the store gives at most as many.
const PAGE: u32 = 500;

/// A cell as it was read, with the versions from which to follow changes.
pub struct Loaded {
    /// The cell.
    pub cell: Cell,
    /// Follow changes of workers from here.
    pub workers_version: Version,
    /// Follow changes of jobs from here.
    pub jobs_version: Version,
}

/// Reads all rows of a partition.
///
/// # Errors
/// See [`StoreError`].
pub async fn list(
    shared: &Arc<Shared>,
    table: Table,
    partition: &str,
) -> Result<(Vec<Row>, Version), StoreError> {
    let mut all: Vec<Row> = Vec::new();
    let mut first_version = None;
    let mut from = String::new();
    loop {
        let call = StoreCall::List {
            table,
            partition: partition.to_owned(),
            from,
            until: String::new(),
            limit: PAGE,
        };
        let StoreReply::Rows {
            rows,
            more,
            version,
        } = shared.store(call).await?
        else {
            return Err(StoreError::Malformed);
        };
        first_version.get_or_insert(version);
        let last = rows.last().map(|row| format!("{}\u{1}", row.key));
        all.extend(rows);
        match last {
            Some(last) if more => from = last,
            _ => break,
        }
    }
    Ok((all, first_version.unwrap_or_default()))
}

/// Reads a cell for its owner under `epoch`, which was claimed as `claimed`.
///
/// # Errors
/// See [`StoreError`].
pub async fn load(
    shared: &Arc<Shared>,
    epoch: u64,
    claimed: Version,
) -> Result<Loaded, StoreError> {
    let former = StoreCall::row(Table::Cells, PARTITION, WORKERS_KEY);
    let (workers, former, jobs, progress) = tokio::try_join!(
        list(shared, Table::Workers, ""),
        shared.store(former),
        list(shared, Table::Jobs, PARTITION),
        list(shared, Table::Progress, PARTITION),
    )?;
    let now = shared.now();
    let config = shared.config().unwrap_or_default();
    let mut cell = Cell::new(epoch, config, now);
    for entry in former_workers(&former) {
        cell.list_worker(entry, now);
    }
    cell.list_workers(worker_entries(shared, &workers.0), now);
    let mut recorded: HashMap<String, Progress> = HashMap::new();
    for row in &progress.0 {
        match serde_json::from_str(&row.value) {
            Ok(progress) => {
                recorded.insert(row.key.clone(), progress);
            }
            Err(err) => tracing::error!(job = row.key, %err, "progress cannot be read"),
        }
    }
    for row in &jobs.0 {
        let Some(job) = job_row(&row.value) else {
            continue;
        };
        let predates = row.version < claimed;
        cell.accept(&job, recorded.remove(&row.key).as_ref(), predates, now);
    }
    for (key, progress) in recorded {
        if let Ok(id) = key.parse() {
            cell.remember(id, progress.state);
        }
    }
    tracing::info!(
        epoch,
        workers = workers.0.len(),
        jobs = jobs.0.len(),
        progress = progress.0.len(),
        version = jobs.1,
        "cell loaded"
    );
    Ok(Loaded {
        cell,
        workers_version: workers.1,
        jobs_version: jobs.1,
    })
}

/// Reads the row of a job; one that cannot be read is logged and left out.
pub fn job_row(value: &str) -> Option<JobRow> {
    match serde_json::from_str(value) {
        Ok(row) => Some(row),
        Err(err) => {
            tracing::error!(%err, "a job's row cannot be read");
            None
        }
    }
}

/// Reads the platform's entries of workers; those that cannot be read are logged.
pub fn worker_entries(shared: &Shared, rows: &[Row]) -> Vec<WorkerEntry> {
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        match shared.decoder.worker(&row.key, &row.value) {
            Ok(entry) => entries.push(entry),
            Err(err) => tracing::warn!(worker = row.key, %err, "worker left out"),
        }
    }
    entries
}

fn former_workers(reply: &StoreReply) -> Vec<WorkerEntry> {
    let StoreReply::Rows { rows, .. } = reply else {
        return Vec::new();
    };
    let Some(row) = rows.first() else {
        return Vec::new();
    };
    serde_json::from_str(&row.value).unwrap_or_else(|err| {
        tracing::error!(%err, "the former owner's list of workers cannot be read");
        Vec::new()
    })
}
