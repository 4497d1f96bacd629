//! Making accepted jobs durable.
//!
//! Jobs that come while a transaction is on its way go together into the next.  A
//! job's row may be written twice, to different partitions: the owner knows jobs by
//! their id and takes each in once.  So a write that brought no answer is repeated
//! elsewhere, and one success settles all earlier doubts.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::cell::record::JobRow;
use crate::clock::Millis;
use crate::node::shared::{JOB_PARTITIONS, Shared, job_partition};
use crate::store::{RowKey, StoreCall, StoreError, StoreReply, Table, Transaction};

/// How many jobs may wait for the next transaction: seconds of a burst.
const QUEUE_LENGTH: usize = 512;
/// The most jobs in one transaction: the store takes 1 MB and a job is below 64 KB,
/// mostly 2 KB.
const MOST_JOBS: usize = 15;
/// How long a doubtful write is repeated.  Its callers have had their answer by then
/// (`node::front`); the job is taken for when they ask again.
const SETTLE_FOR: Millis = 2_000;
/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How many transactions may be on their way at once, each in another partition.
const LANES: usize = 3;

/// What became of a job that a caller handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It is kept, now or since before.
    Accepted,
    /// It was not taken and never will be.
    Refused,
    /// It may have been taken; the caller should hand it in again.
    Doubtful,
}

struct Waiting {
    key: String,
    value: String,
    answer: oneshot::Sender<Submitted>,
}

/// Writes jobs to the store.
pub struct Intake {
    tx: mpsc::Sender<Waiting>,
}

impl Intake {
    /// Begins to write for a node.
    pub fn start(shared: Arc<Shared>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(run(shared, rx));
        Self { tx }
    }

    /// Writes one job.
    pub async fn write(&self, row: &JobRow) -> Submitted {
        let value = match serde_json::to_string(row) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, request = %row.id, "a job cannot be encoded");
                return Submitted::Refused;
            }
        };
        let (answer, rx) = oneshot::channel();
        let waiting = Waiting {
            key: row.id.to_string(),
            value,
            answer,
        };
        if self.tx.try_send(waiting).is_err() {
            return Submitted::Refused;
        }
        rx.await.unwrap_or(Submitted::Doubtful)
    }
}

async fn run(shared: Arc<Shared>, mut rx: mpsc::Receiver<Waiting>) {
    let home = xxh3_64(shared.name.as_bytes()) as usize;
    let lanes = Arc::new(tokio::sync::Semaphore::new(LANES));
    let mut batches = 0;
    while let Some(first) = rx.recv().await {
        // The semaphore is never closed.
        let Ok(lane) = Arc::clone(&lanes).acquire_owned().await else {
            return;
        };
        let mut batch = vec![first];
        while batch.len() < MOST_JOBS {
            match rx.try_recv() {
                Ok(waiting) => batch.push(waiting),
                Err(_) => break,
            }
        }
        let busy = LANES - lanes.available_permits() - 1;
        let partition = home + busy;
        batches += 1;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let outcome = write_batch(&shared, &batch, partition).await;
            if outcome != Submitted::Accepted {
                tracing::info!(
                    jobs = batch.len(),
                    batches,
                    ?outcome,
                    "jobs were not written"
                );
            }
            for waiting in batch {
                // A caller that has left needs no answer.
                let _ = waiting.answer.send(outcome);
            }
            drop(lane);
        });
    }
}

async fn write_batch(shared: &Arc<Shared>, batch: &[Waiting], home: usize) -> Submitted {
    let began = shared.now();
    let mut doubt = false;
    for attempt in 0.. {
        let partition = job_partition(home + attempt);
        match shared
            .store(StoreCall::Commit(transaction(batch, &partition)))
            .await
        {
            Ok(StoreReply::Committed(_)) => return Submitted::Accepted,
            Ok(reply) => {
                tracing::error!(?reply, "the store's answer to jobs is of the wrong kind");
                doubt = true;
            }
            Err(StoreError::Rejected(status)) => {
                tracing::error!(status, jobs = batch.len(), "the store rejects jobs");
                break;
            }
            Err(StoreError::Unavailable) => {}
            Err(StoreError::Unanswered | StoreError::Malformed) => {
                doubt = true;
                shared.metrics.retry("job_write_unanswered");
            }
        }
        let elapsed = shared.now().saturating_sub(began);
        if elapsed > SETTLE_FOR || (!doubt && attempt + 1 >= JOB_PARTITIONS / 2) {
            break;
        }
        if doubt {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    if doubt {
        Submitted::Doubtful
    } else {
        Submitted::Refused
    }
}

fn transaction(batch: &[Waiting], partition: &str) -> Transaction {
    let puts = batch.iter().map(|waiting| {
        let key = RowKey::new(Table::Jobs, partition, &waiting.key);
        (key, waiting.value.clone())
    });
    Transaction {
        puts: puts.collect(),
        ..Transaction::default()
    }
}
