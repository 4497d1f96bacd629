//! Reads the rows of a cell from the store, above all when a node becomes its owner.

use std::collections::HashMap;
use std::sync::Arc;

use futures::future::join_all;

use crate::cell::Cell;
use crate::cell::record::{JobProgress, JobRow};
use crate::cell::spec::JobId;
use crate::cell::unknown_cancel::CancelNumber;
use crate::cell::worker::WorkerEntry;
use crate::clock;
use crate::node::roster_rows::RosterRows;
use crate::node::shared::{CELL_PARTITION, JOB_PARTITIONS, Shared, job_partition};
use crate::node::succession::{Succession, Voters};
use crate::node::{halls, recording};
use crate::store::{Row, StoreCall, StoreError, StoreReply, Table, Version};

/// The progress rows are read in this many key ranges at once, by the first hexadecimal digit of
/// the job's id.
const PROGRESS_RANGES: u32 = 16;
/// The number of rows that one call asks for: the most that the store returns.
const PAGE_ROWS: u32 = 500;

/// A character that sorts after all others, so that a prefix followed by it is above every key with
/// that prefix.
const AFTER_ALL: char = char::MAX;

/// A cell as it was read, with the version from which to follow changes of its jobs.
pub struct LoadedCell {
    /// The scheduling core of the cell.
    pub cell: Cell,
    /// The roster's rows as they are in the store.
    pub roster: RosterRows,
    /// The rows of jobs that were read.
    pub jobs: JobRows,
    /// What is known of the former owners.
    pub succession: Succession,
    /// The recorded voters.
    pub voters: Option<Voters>,
}

/// Reads all rows of a partition, with the version from which to follow changes.
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

/// Reads the rows of a partition whose keys begin with `prefix`, with the version from which to
/// follow changes.
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

/// Reads the progress of all jobs, several key ranges at once: in sequence, each page would cost
/// one more round trip to a store that may be slow.
async fn list_progress(shared: &Arc<Shared>) -> Result<Vec<Row>, StoreError> {
    let bounds: Vec<String> = (1..PROGRESS_RANGES)
        .map(|digit| format!("{digit:x}"))
        .collect();
    let starts = std::iter::once(String::new()).chain(bounds.iter().cloned());
    let ends = bounds.iter().cloned().chain(std::iter::once(String::new()));
    let pieces = starts
        .zip(ends)
        .map(|(from, until)| list_range(shared, Table::Progress, CELL_PARTITION, from, until));
    let mut rows = Vec::new();
    for piece in join_all(pieces).await {
        rows.extend(piece?.0);
    }
    Ok(rows)
}

/// Reads the rows of a partition from one key up to another; an empty key stands for the beginning
/// or the end.  The version is that of the first page, since changes made after it may be missing.
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
/// The roster names the workers on which tasks may be running.  The platform's list of all workers
/// is read later, in the background (`node::following`): that takes several round trips to the
/// store in sequence, while leases run out.  No task is placed before that list has been read.
///
/// # Errors
/// See [`StoreError`].
pub async fn load(shared: &Arc<Shared>, epoch: u64) -> Result<LoadedCell, StoreError> {
    let (former, progress, jobs, halls) = tokio::join!(
        list(shared, Table::Cells, CELL_PARTITION),
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
    cell.set_options(shared.options);
    cell.set_max_idle_polls(shared.load.max_idle_polls());
    cell.set_wall_clock(clock::unix_time());
    let (roster, workers) = RosterRows::read(&former.0);
    if roster.has_unreadable_rows() {
        cell.mark_roster_incomplete();
    }
    cell.restore_roster(workers, now);
    cell.await_worker_list();
    cell.await_evacuated_halls();
    if let Some(leases) = recording::read_remaining_leases(&former.0) {
        cell.apply_remaining_leases(&leases, now);
    }
    let mut recorded: HashMap<String, JobProgress> = HashMap::new();
    for row in &progress {
        if let Some(number) = recording::read_cancel_key(&row.key) {
            restore_unknown_cancel(&mut cell, number, row);
            continue;
        }
        match serde_json::from_str(&row.value) {
            Ok(progress) => {
                recorded.insert(row.key.clone(), progress);
            }
            Err(err) => tracing::error!(job = row.key, %err, "cannot parse the progress of a job"),
        }
    }
    for row in &jobs.rows {
        let Some(job) = parse_job_row(&row.value) else {
            continue;
        };
        // A row that was written after the claim does not prove that the job is newer than the
        // claim: a node to which a job is submitted again writes its row again.  So a former owner
        // may have started any of these jobs.
        cell.accept(&job, recorded.get(&row.key), true, now);
    }
    for (key, progress) in recorded {
        if let Ok(id) = key.parse() {
            cell.add_unread_job_progress(id, progress);
        }
    }
    // Even if all rows were read, the former owner may still be notified of new jobs for a while.
    cell.set_has_unread_jobs(true);
    let voters = Voters::read(&former.0);
    let claim = recording::read_claim(&former.0, epoch);
    let asks_consent = claim.as_ref().is_some_and(|claim| claim.asks_consent);
    let former_owners = claim.and_then(|claim| claim.former_owners);
    let succession = Succession::new(former_owners, asks_consent, voters.clone());
    if succession.former().is_some() {
        cell.await_former_owners();
    }
    tracing::info!(
        epoch,
        former_owners = ?succession.former(),
        workers = cell.worker_keys().len(),
        jobs = jobs.rows.len(),
        unread = ?jobs.unread,
        progress = progress.len(),
        version = jobs.version,
        "cell loaded"
    );
    Ok(LoadedCell {
        cell,
        roster,
        jobs,
        succession,
        voters,
    })
}

fn restore_unknown_cancel(cell: &mut Cell, number: CancelNumber, row: &Row) {
    match serde_json::from_str(&row.value) {
        Ok(cancel) => cell.restore_unknown_cancel(number, cancel),
        Err(err) => tracing::error!(key = row.key, %err, "cannot parse a cancellation"),
    }
}

/// The rows of jobs from those partitions that could be read.
pub struct JobRows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The numbers of the partitions that could not be read.
    pub unread: Vec<usize>,
    /// The version from which to follow changes.
    pub version: Version,
}

/// Reads the jobs of all partitions, some of which may be unavailable while others can be read.
pub async fn list_jobs(shared: &Arc<Shared>) -> JobRows {
    let numbers: Vec<usize> = (0..JOB_PARTITIONS).collect();
    list_job_partitions(shared, &numbers).await
}

/// Reads the jobs of the partitions with these numbers.
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
                tracing::info!(%err, number, "cannot read the jobs of a partition");
                jobs.unread.push(number);
            }
        }
    }
    if jobs.version == Version::MAX {
        jobs.version = 0;
    }
    jobs
}

/// Looks for the row of a job that this node does not know yet, in all partitions.
///
/// # Errors
/// Fails if the job is in none of the partitions that can be read, and some cannot be read.
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

/// Parses the row of a job; one that cannot be parsed is logged and left out.
pub fn parse_job_row(value: &str) -> Option<JobRow> {
    match serde_json::from_str(value) {
        Ok(row) => Some(row),
        Err(err) => {
            tracing::error!(%err, "cannot parse the row of a job");
            None
        }
    }
}

/// Parses the platform's entry of a worker; one that cannot be parsed is logged and left out.
pub fn parse_worker_entry(shared: &Shared, row: &Row) -> Option<WorkerEntry> {
    match shared.decoder.worker(&row.key, &row.value) {
        Ok(entry) => Some(entry),
        Err(err) => {
            tracing::warn!(worker = row.key, %err, "worker left out: cannot parse its entry");
            None
        }
    }
}
