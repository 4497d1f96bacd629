//! Reading the rows of a cell when its ownership begins.

use std::collections::HashMap;
use std::sync::Arc;

use futures::future::join_all;

use crate::cell::Cell;
use crate::cell::record::{JobProgress, JobRow};
use crate::cell::spec::JobId;
use crate::cell::worker::WorkerEntry;
use crate::clock;
use crate::node::roster_rows::RosterRows;
use crate::node::shared::{JOB_PARTITIONS, PARTITION, Shared, job_partition};
use crate::node::{halls, recording};
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Version};

/// Progress is read in so many pieces, by the first digit of a job's id.
const PROGRESS_RANGES: u32 = 16;
/// How many rows one call reads; the store gives at most as many.
const PAGE_ROWS: u32 = 500;

/// Follows all texts that a key may go on with.
const AFTER_ALL: char = char::MAX;

/// A cell as it was read, with the versions from which to follow changes.
pub struct LoadedCell {
    /// The cell.
    pub cell: Cell,
    /// How the roster lies in the store.
    pub roster: RosterRows,
    /// The jobs as they were read.
    pub jobs: JobRows,
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
    list_range(shared, table, partition, String::new(), String::new()).await
}

/// Reads the rows of a partition whose keys begin with `prefix`.
///
/// # Errors
/// See [`StoreError`].
pub async fn list_prefix(
    shared: &Arc<Shared>,
    table: Table,
    partition: &str,
    prefix: &str,
) -> Result<(Vec<Row>, Version), StoreError> {
    let until = format!("{prefix}{AFTER_ALL}");
    list_range(shared, table, partition, prefix.to_owned(), until).await
}

/// Reads what was recorded of all jobs, in several pieces at once: one after the other they would
/// take as many answers of a store that may be slow.
async fn list_progress(shared: &Arc<Shared>) -> Result<Vec<Row>, StoreError> {
    let bounds: Vec<String> = (1..PROGRESS_RANGES)
        .map(|digit| format!("{digit:x}"))
        .collect();
    let starts = std::iter::once(String::new()).chain(bounds.iter().cloned());
    let ends = bounds.iter().cloned().chain(std::iter::once(String::new()));
    let pieces = starts
        .zip(ends)
        .map(|(from, until)| list_range(shared, Table::Progress, PARTITION, from, until));
    let mut rows = Vec::new();
    for piece in join_all(pieces).await {
        rows.extend(piece?.0);
    }
    Ok(rows)
}

/// Reads the rows of a partition from one key up to another; empty ones stand for its ends.
async fn list_range(
    shared: &Arc<Shared>,
    table: Table,
    partition: &str,
    mut from: String,
    until: String,
) -> Result<(Vec<Row>, Version), StoreError> {
    let mut all: Vec<Row> = Vec::new();
    let mut first_version = None;
    loop {
        let call = StoreCall::List {
            table,
            partition: partition.to_owned(),
            from,
            until: until.clone(),
            limit: PAGE_ROWS,
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

/// Reads a cell for its owner under `epoch`.
///
/// The roster names the workers on which something may run.  The platform's list of all workers
/// is read behind this (`node::following`): it takes several answers of the store one after the
/// other, while leases run out.  Nothing is placed before it has come.
///
/// # Errors
/// See [`StoreError`].
pub async fn load(shared: &Arc<Shared>, epoch: u64) -> Result<LoadedCell, StoreError> {
    let (former, progress, jobs, halls) = tokio::join!(
        list(shared, Table::Cells, PARTITION),
        list_progress(shared),
        list_jobs(shared),
        halls::read(shared),
    );
    if let Err(err) = halls {
        tracing::info!(%err, "evacuated halls cannot be read");
    }
    let (former, progress) = (former?, progress?);
    let now = shared.now();
    let config = shared.config().unwrap_or_default();
    let mut cell = Cell::new(epoch, config, now);
    cell.set_wall_clock(clock::since_1970());
    let (roster, workers) = RosterRows::read(&former.0);
    if roster.has_unreadable_rows() {
        cell.mark_roster_incomplete();
    }
    cell.restore_roster(workers, now);
    cell.await_list();
    cell.await_evacuated_halls();
    if let Some(lapses) = recording::read_lapses(&former.0) {
        cell.apply_remaining_leases(&lapses, now);
    }
    let mut recorded: HashMap<String, JobProgress> = HashMap::new();
    for row in &progress {
        match serde_json::from_str(&row.value) {
            Ok(progress) => {
                recorded.insert(row.key.clone(), progress);
            }
            Err(err) => tracing::error!(job = row.key, %err, "progress cannot be read"),
        }
    }
    for row in &jobs.rows {
        let Some(job) = parse_job_row(&row.value) else {
            continue;
        };
        // A row that is younger than the claim does not prove that the job is: whoever gets a job
        // again writes its row again.  So a former owner may have started any that is found.
        cell.accept(&job, recorded.get(&row.key), true, now);
    }
    for (key, progress) in recorded {
        if let Ok(id) = key.parse() {
            cell.add_unread_job_progress(id, progress);
        }
    }
    for (id, state) in shared.early_ends().unknown_to(epoch) {
        cell.accept_peer_end(id, state);
    }
    // Even if all is read, the former owner may be told of jobs for a while.
    cell.set_incomplete(true);
    tracing::info!(
        epoch,
        workers = cell.worker_keys().len(),
        jobs = jobs.rows.len(),
        unread = ?jobs.unread,
        progress = progress.len(),
        version = jobs.version,
        "cell loaded"
    );
    Ok(LoadedCell { cell, roster, jobs })
}

/// Rows of jobs from all partitions that could be read.
pub struct JobRows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Partitions that could not be read.
    pub unread: Vec<usize>,
    /// Follow changes from here.
    pub version: Version,
}

/// Reads the jobs of all partitions; some may be away while others are read.
pub async fn list_jobs(shared: &Arc<Shared>) -> JobRows {
    let numbers: Vec<usize> = (0..JOB_PARTITIONS).collect();
    list_job_partitions(shared, &numbers).await
}

/// Reads the jobs of some partitions.
pub async fn list_job_partitions(shared: &Arc<Shared>, numbers: &[usize]) -> JobRows {
    let names: Vec<String> = numbers
        .iter()
        .map(|&number| job_partition(number))
        .collect();
    let lists = join_all(names.iter().map(|name| list(shared, Table::Jobs, name))).await;
    let mut jobs = JobRows {
        rows: Vec::new(),
        unread: Vec::new(),
        version: Version::MAX,
    };
    for (&number, list) in numbers.iter().zip(lists) {
        match list {
            Ok((rows, version)) => {
                jobs.rows.extend(rows);
                jobs.version = jobs.version.min(version);
            }
            Err(err) => {
                tracing::info!(%err, number, "jobs of a partition cannot be read");
                jobs.unread.push(number);
            }
        }
    }
    if jobs.version == Version::MAX {
        jobs.version = 0;
    }
    jobs
}

/// Looks for a job of which nobody told yet, in all partitions.
///
/// # Errors
/// Fails if it is in none of those that can be read, and some cannot.
pub async fn find_job(shared: &Arc<Shared>, id: JobId) -> Result<Option<JobRow>, StoreError> {
    let key = id.to_string();
    let calls = (0..JOB_PARTITIONS)
        .map(|number| shared.store(StoreCall::row(Table::Jobs, &job_partition(number), &key)));
    let mut failed = None;
    for reply in join_all(calls).await {
        match reply {
            Ok(StoreReply::Rows { rows, .. }) => {
                if let Some(row) = rows.first() {
                    return Ok(parse_job_row(&row.value));
                }
            }
            Ok(_) => failed = Some(StoreError::Malformed),
            Err(err) => failed = Some(err),
        }
    }
    match failed {
        Some(err) => Err(err),
        None => Ok(None),
    }
}

/// Reads the row of a job; one that cannot be read is logged and left out.
pub fn parse_job_row(value: &str) -> Option<JobRow> {
    match serde_json::from_str(value) {
        Ok(row) => Some(row),
        Err(err) => {
            tracing::error!(%err, "a job's row cannot be read");
            None
        }
    }
}

/// Reads the platform's entry of a worker; one that cannot be read is logged.
pub fn parse_worker_entry(shared: &Shared, row: &Row) -> Option<WorkerEntry> {
    match shared.decoder.worker(&row.key, &row.value) {
        Ok(entry) => Some(entry),
        Err(err) => {
            tracing::warn!(worker = row.key, %err, "worker left out");
            None
        }
    }
}
