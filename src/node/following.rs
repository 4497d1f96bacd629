//! Follows the store's rows that others write: the platform's entries of workers, and jobs that
//! other nodes have accepted.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::Millis;
use crate::node::cleaning::Cleaner;
use crate::node::engine::Engine;
use crate::node::loading::{self, JobRows};
use crate::store::{Row, StoreCall, StoreReply, Table, Version};

/// How often changes of workers' entries are read: leaving workers must be known within 2 s.
const WORKERS_POLL: Duration = Duration::from_millis(400);
/// An answer with at least this many changes may not be the last one: more may be waiting.
const FULL_ANSWER_ROWS: usize = 100;
/// How often the store is checked for jobs of which no node has notified the owner, because the
/// node that accepted them died.
const JOBS_POLL: Duration = Duration::from_millis(1_000);
/// The pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

impl Engine {
    pub(super) async fn workers_loop(self: Arc<Self>) {
        let mut after = self.list_all_workers().await;
        loop {
            tokio::time::sleep(WORKERS_POLL).await;
            after = self.follow_workers(after).await;
        }
    }

    /// Applies the changes of workers' entries since the version `after`, and returns the version
    /// from which to go on.
    ///
    /// Every heartbeat of a worker is a change, and the store returns some hundred of them at a
    /// time.  So the next answer is read without a pause while there are more changes: an owner
    /// that paused after each answer would learn of leaving workers ever later, the more workers
    /// there are.
    async fn follow_workers(self: &Arc<Self>, mut after: Version) -> Version {
        loop {
            let asked = self.shared.now();
            let call = StoreCall::Changes {
                table: Table::Workers,
                after,
                wait: 0,
            };
            match self.shared.store(call).await {
                Ok(StoreReply::Rows { rows, version, .. }) => {
                    after = version.max(after);
                    self.apply_worker_changes(&rows);
                    self.poll_new_workers();
                    if rows.len() < FULL_ANSWER_ROWS {
                        self.note_entries_read(asked);
                        return after;
                    }
                }
                Ok(_) => {
                    tracing::info!(
                        after,
                        "store no longer has the changes of workers; listing all"
                    );
                    return self.list_all_workers().await;
                }
                Err(_) => {
                    self.cell().note_entries_unread();
                    tokio::time::sleep(RETRY_PAUSE).await;
                    return after;
                }
            }
        }
    }

    /// Reads the list of all workers, repeatedly until that succeeds, and returns the version from
    /// which to follow changes.
    async fn list_all_workers(self: &Arc<Self>) -> Version {
        loop {
            let asked = self.shared.now();
            match loading::list(&self.shared, Table::Workers, "").await {
                Ok((rows, version)) => {
                    self.note_entries_read(asked);
                    self.apply_worker_list(&rows);
                    self.poll_new_workers();
                    self.wake.notify_one();
                    return version;
                }
                Err(err) => {
                    tracing::info!(%err, "cannot list workers");
                    self.cell().note_entries_unread();
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn note_entries_read(&self, at: Millis) {
        self.workers_read_at.store(at, Ordering::Relaxed);
        self.cell().note_entries_read(at);
    }

    fn apply_worker_list(&self, rows: &[Row]) {
        let now = self.shared.now();
        let mut entries = Vec::with_capacity(rows.len());
        let mut unread = Vec::new();
        for row in rows {
            match loading::parse_worker_entry(&self.shared, row) {
                Some(entry) => entries.push(entry),
                None => unread.push(&row.key),
            }
        }
        let mut cell = self.cell();
        cell.list_workers(entries, now);
        for id in unread {
            cell.mark_entry_outdated(id, now);
        }
    }

    fn apply_worker_changes(&self, rows: &[Row]) {
        let now = self.shared.now();
        let mut cell = self.cell();
        for row in rows {
            if row.dropped {
                cell.unlist_worker(&row.key, now);
            } else if let Some(entry) = loading::parse_worker_entry(&self.shared, row) {
                cell.list_worker(entry, now);
            } else {
                cell.mark_entry_outdated(&row.key, now);
            }
        }
    }

    pub(super) async fn jobs_loop(self: Arc<Self>, loaded: JobRows) {
        let mut after = loaded.version;
        let mut unread = loaded.unread;
        let mut cleaner = Cleaner::default();
        cleaner.add_rows(&loaded.rows);
        cleaner.add_ended(self.cell().ended_under_former_owner(), self.shared.now());
        loop {
            tokio::time::sleep(JOBS_POLL).await;
            if !self.may_take_in_jobs() {
                continue;
            }
            if !unread.is_empty() {
                let missing = loading::list_job_partitions(&self.shared, &unread).await;
                if !self.may_take_in_jobs() {
                    continue;
                }
                self.apply_job_rows(&missing.rows);
                cleaner.add_rows(&missing.rows);
                unread = missing.unread;
            }
            let is_alone = self.is_alone_with_new_jobs();
            let call = StoreCall::Changes {
                table: Table::Jobs,
                after,
                wait: 0,
            };
            match self.shared.store(call).await {
                // The rows are read again if a successor may have read them as well.
                Ok(_) if !self.may_take_in_jobs() => continue,
                Ok(StoreReply::Rows { rows, version, .. }) => {
                    after = version.max(after);
                    self.apply_job_rows(&rows);
                    cleaner.add_rows(&rows);
                    self.cell()
                        .set_has_unread_jobs(!(is_alone && unread.is_empty()));
                }
                Ok(_) => {
                    tracing::info!(
                        after,
                        "store no longer has the changes of jobs; listing all"
                    );
                    let jobs = loading::list_jobs(&self.shared).await;
                    if !self.may_take_in_jobs() {
                        continue;
                    }
                    self.apply_job_rows(&jobs.rows);
                    cleaner.add_rows(&jobs.rows);
                    unread = jobs.unread;
                    self.cell().set_has_unread_jobs(true);
                    after = jobs.version;
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
            let cancelled = self.cell().take_recorded_cancels();
            cleaner.add_cancels(cancelled, self.shared.now());
            cleaner.clean(&self).await;
        }
    }

    fn apply_job_rows(&self, rows: &[Row]) {
        for row in rows.iter().filter(|row| !row.dropped) {
            // The node that accepted a job has usually notified the owner of it.
            if row.key.parse().is_ok_and(|id| self.cell().knows_job(id)) {
                continue;
            }
            let Some(job) = loading::parse_job_row(&row.value) else {
                continue;
            };
            let now = self.shared.now();
            let predates = row.version < self.claim_version;
            self.cell().accept(&job, None, predates, now);
        }
        self.wake.notify_one();
    }
}
