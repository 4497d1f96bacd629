//! Makes accepted jobs durable by writing their rows to the store.
//!
//! Jobs that arrive while earlier transactions are in flight are collected into one batch, which
//! `node::job_batch` writes in a single transaction.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use tokio::sync::{mpsc, oneshot};

use crate::cell::record::JobRow;
use crate::cell::spec::JobId;
use crate::clock::Millis;
use crate::node::job_batch::{self, Batch, MAX_SLOW_STORE_WRITERS, SLOW_STORE_BATCHES, WritePlan};
use crate::node::shared::Shared;
use crate::rpc::PeerError;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::store::MAX_ROW_BYTES;

/// How many jobs may wait to be written: enough for a burst of some seconds.  Further ones are
/// refused.
const QUEUE_LENGTH: usize = 512;
/// The most jobs in one transaction; the store accepts 100 rows.
const MAX_JOBS: usize = 90;
/// No job is added to a transaction that already holds this many bytes of rows.  The store accepts
/// 1 MB; one more row adds up to 64 KB, and the platform's encoding turns three bytes into four.
const MAX_BYTES: usize = 600_000;
/// How many batches may be written at once, each into a different partition.
const MAX_CONCURRENT_BATCHES: usize = 4;
/// Time limit for another node to write a forwarded job, in milliseconds: the time for which a
/// batch is retried (`node::job_batch`), and a round trip between data halls.
const FORWARD_TIMEOUT: Millis = 2_200;

/// The outcome of submitting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is durable, through this submission or an earlier one.
    Accepted,
    /// The job was not accepted, and it will not be unless it is submitted again.
    Refused,
    /// The job may have been accepted; the caller should submit it again.
    Doubtful,
    /// The job was not accepted: even alone, one of its tasks or gangs exceeds the cap of its
    /// workspace.
    BeyondCap,
    /// The job was not accepted: a job of another workspace has its id.
    IdInUse,
    /// The job was not accepted: it is larger than a row of the store may be.
    TooLarge,
    /// The job was not accepted: it would wait for too long.  The caller should submit it again
    /// after so many milliseconds.
    Overloaded(Millis),
    /// The owner does not say whether the job was accepted before, and it would wait for too long.
    /// Nothing was written.  The caller should submit it again after so many milliseconds.
    OwnerSilent(Millis),
}

/// Encodes the row of a job; none if it is longer than the store accepts, since it would have the
/// whole batch rejected.
pub fn encode(row: &JobRow) -> Option<String> {
    match serde_json::to_string(row) {
        Ok(value) => (value.len() <= MAX_ROW_BYTES).then_some(value),
        Err(err) => {
            tracing::error!(%err, request = %row.id, "cannot encode a job");
            None
        }
    }
}

/// A job row that waits to be written.
struct PendingWrite {
    key: String,
    value: String,
    /// A caller submitted the job at this node; otherwise another node forwarded it.
    from_caller: bool,
    answer: oneshot::Sender<SubmitOutcome>,
}

/// Writes the rows of accepted jobs to the store.
pub struct Intake {
    tx: mpsc::Sender<PendingWrite>,
}

impl Intake {
    /// Starts the task that writes job rows.  It ends when the `Intake` is dropped.
    pub fn start(shared: Arc<Shared>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(write_loop(shared, rx));
        Self { tx }
    }

    /// Writes the row of a job that a caller submitted at this node, as [`encode`] returns it.
    pub async fn write(&self, job: JobId, value: String) -> SubmitOutcome {
        self.enqueue(job.to_string(), value, true).await
    }

    /// Writes job rows that another node has forwarded, and returns the outcome of each, in the
    /// order of `rows`.
    pub async fn write_for_node(&self, rows: Batch) -> Vec<SubmitOutcome> {
        let writes = rows
            .into_iter()
            .map(|(key, value)| self.enqueue(key, value, false));
        join_all(writes).await
    }

    async fn enqueue(&self, key: String, value: String, from_caller: bool) -> SubmitOutcome {
        let (answer, rx) = oneshot::channel();
        let write = PendingWrite {
            key,
            value,
            from_caller,
            answer,
        };
        if self.tx.try_send(write).is_err() {
            return SubmitOutcome::Refused;
        }
        rx.await.unwrap_or(SubmitOutcome::Doubtful)
    }
}

/// Returns the node to which this one forwards its jobs while the store is slow; none if this node
/// writes them itself.
fn designated_writer(shared: &Shared) -> Option<SocketAddr> {
    if !shared.store_is_slow() {
        return None;
    }
    // The nodes that come first by name are the writers, so in a small cell all nodes are.
    let (rank, _) = shared.rank();
    if rank < MAX_SLOW_STORE_WRITERS {
        return None;
    }
    // The list excludes this node.  All writers precede it by name, so each writer's index in the
    // list is its rank.
    let members = shared.members();
    let writer = members.iter().nth(rank % MAX_SLOW_STORE_WRITERS);
    writer.map(|(_, member)| member.address)
}

async fn write_loop(shared: Arc<Shared>, mut rx: mpsc::Receiver<PendingWrite>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_BATCHES));
    let mut batches = 0;
    while let Some(first) = rx.recv().await {
        if first.from_caller
            && let Some(address) = designated_writer(&shared)
        {
            tokio::spawn(forward(Arc::clone(&shared), address, first));
            continue;
        }
        // While the store is slow, each batch takes several permits, so that no more than
        // `SLOW_STORE_BATCHES` are written at once.
        let slow = shared.store_is_slow();
        let needed = if slow {
            MAX_CONCURRENT_BATCHES / SLOW_STORE_BATCHES
        } else {
            1
        };
        // The semaphore is never closed.
        let Ok(permit) = Arc::clone(&permits).acquire_many_owned(needed as u32).await else {
            return;
        };
        let (rows, answers) = collect_batch(first, &mut rx);
        let plan = WritePlan::new(&shared, batches);
        batches += 1;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            write_and_answer(&shared, &rows, answers, plan).await;
            drop(permit);
        });
    }
}

/// The channels to those who wait for the outcomes of a batch, in the order of its rows.
type Answers = Vec<oneshot::Sender<SubmitOutcome>>;

async fn write_and_answer(shared: &Arc<Shared>, rows: &Batch, answers: Answers, plan: WritePlan) {
    let outcome = job_batch::write(shared, rows, plan).await;
    if outcome != SubmitOutcome::Accepted {
        tracing::info!(jobs = rows.len(), ?plan, ?outcome, "jobs were not written");
    }
    for answer in answers {
        // The caller may have stopped waiting.
        let _ = answer.send(outcome);
    }
}

/// Has another node write a job's row together with its own.  If that node is not reached, the row
/// is written here.
async fn forward(shared: Arc<Shared>, address: SocketAddr, write: PendingWrite) {
    let rows = vec![(write.key, write.value)];
    let call = NodeCall::Write(rows.clone());
    match shared.peers.call(address, call, FORWARD_TIMEOUT).await {
        Ok(NodeReply::Written(outcomes)) => {
            let outcome = outcomes.first().copied();
            // The caller may have stopped waiting.
            let _ = write
                .answer
                .send(outcome.unwrap_or(SubmitOutcome::Doubtful));
        }
        Err(PeerError::NotSent) => {
            shared.metrics.retry("writer_unreached");
            let plan = WritePlan::new(&shared, 0);
            write_and_answer(&shared, &rows, vec![write.answer], plan).await;
        }
        // The channel is dropped without an answer, so the outcome counts as doubtful.
        reply => tracing::info!(%address, ?reply, "outcome of a forwarded job is unknown"),
    }
}

/// Collects as many of the waiting jobs as one transaction may hold.
fn collect_batch(first: PendingWrite, rx: &mut mpsc::Receiver<PendingWrite>) -> (Batch, Answers) {
    let mut bytes = first.value.len();
    let mut rows = vec![(first.key, first.value)];
    let mut answers = vec![first.answer];
    while rows.len() < MAX_JOBS && bytes < MAX_BYTES {
        let Ok(write) = rx.try_recv() else {
            break;
        };
        bytes += write.value.len();
        rows.push((write.key, write.value));
        answers.push(write.answer);
    }
    (rows, answers)
}
