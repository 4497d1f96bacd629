//! Making accepted jobs durable.
//!
//! Jobs that come while a transaction is on its way go together into the next
//! (`node::job_batch`).

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use tokio::sync::{mpsc, oneshot};

use crate::cell::record::JobRow;
use crate::clock::Millis;
use crate::node::job_batch::{self, Batch, MAX_SLOW_STORE_WRITERS, Plan, SLOW_STORE_BATCHES};
use crate::node::shared::Shared;
use crate::rpc::PeerError;
use crate::rpc::node::{NodeCall, NodeReply};

/// How many jobs may wait for the next transaction: seconds of a burst.
const QUEUE_LENGTH: usize = 512;
/// The most jobs in one transaction; the store takes 100 entries.
const MOST_JOBS: usize = 90;
/// No job is added to a transaction that holds so many bytes: the store takes 1 MB, a row
/// is below 64 KB, and the platform's form makes three bytes four.
const MOST_BYTES: usize = 600_000;
/// How many transactions may be on their way at once, each in another partition.
const LANES: usize = 4;
/// How long a node may take to write another's jobs: as long as doubts are settled, and
/// a hop between halls.
const HAND_ON_TIMEOUT: Millis = 2_200;

/// What became of a job that a caller handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is kept, now or since before.
    Accepted,
    /// It was not taken and never will be.
    Refused,
    /// It may have been taken; the caller should hand it in again.
    Doubtful,
    /// It was not taken: even alone, one of its tasks or gangs is above the cap of its workspace.
    BeyondCap,
    /// It was not taken: a job of another workspace has its id.
    IdInUse,
}

struct Waiting {
    key: String,
    value: String,
    /// A caller handed it in at this node.
    own: bool,
    answer: oneshot::Sender<SubmitOutcome>,
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
    pub async fn write(&self, row: &JobRow) -> SubmitOutcome {
        let value = match serde_json::to_string(row) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, request = %row.id, "a job cannot be encoded");
                return SubmitOutcome::Refused;
            }
        };
        self.queue(row.id.to_string(), value, true).await
    }

    /// Writes rows of jobs for another node, and tells what became of each.
    pub async fn write_for_node(&self, rows: Batch) -> Vec<SubmitOutcome> {
        let writes = rows
            .into_iter()
            .map(|(key, value)| self.queue(key, value, false));
        join_all(writes).await
    }

    async fn queue(&self, key: String, value: String, own: bool) -> SubmitOutcome {
        let (answer, rx) = oneshot::channel();
        let waiting = Waiting {
            key,
            value,
            own,
            answer,
        };
        if self.tx.try_send(waiting).is_err() {
            return SubmitOutcome::Refused;
        }
        rx.await.unwrap_or(SubmitOutcome::Doubtful)
    }
}

/// The node that writes our jobs while the store is slow; none if we do ourselves.
fn writer(shared: &Shared) -> Option<SocketAddr> {
    if !shared.store_is_slow() {
        return None;
    }
    // Of so few nodes that all write, none has a rank beyond theirs.
    let (rank, _) = shared.rank();
    if rank < MAX_SLOW_STORE_WRITERS {
        return None;
    }
    // The writers come before us by name, so among the others their places are the same.
    let members = shared.members();
    let writer = members.iter().nth(rank % MAX_SLOW_STORE_WRITERS);
    writer.map(|(_, member)| member.address)
}

async fn run(shared: Arc<Shared>, mut rx: mpsc::Receiver<Waiting>) {
    let lanes = Arc::new(tokio::sync::Semaphore::new(LANES));
    let mut batches = 0;
    while let Some(first) = rx.recv().await {
        if first.own
            && let Some(address) = writer(&shared)
        {
            tokio::spawn(hand_on(Arc::clone(&shared), address, first));
            continue;
        }
        let slow = shared.store_is_slow();
        let share = if slow { LANES / SLOW_STORE_BATCHES } else { 1 };
        // The semaphore is never closed.
        let Ok(lane) = Arc::clone(&lanes).acquire_many_owned(share as u32).await else {
            return;
        };
        let (rows, answers) = gather(first, &mut rx);
        let plan = Plan::new(&shared, batches);
        batches += 1;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            write_and_answer(&shared, &rows, answers, plan).await;
            drop(lane);
        });
    }
}

/// Who waits for a batch, in the order of its rows.
type Answers = Vec<oneshot::Sender<SubmitOutcome>>;

async fn write_and_answer(shared: &Arc<Shared>, rows: &Batch, answers: Answers, plan: Plan) {
    let outcome = job_batch::write(shared, rows, plan).await;
    if outcome != SubmitOutcome::Accepted {
        tracing::info!(jobs = rows.len(), ?plan, ?outcome, "jobs were not written");
    }
    for answer in answers {
        // A caller that has left needs no answer.
        let _ = answer.send(outcome);
    }
}

/// Has another node write a job of ours with its own.
async fn hand_on(shared: Arc<Shared>, address: SocketAddr, waiting: Waiting) {
    let rows = vec![(waiting.key, waiting.value)];
    let call = NodeCall::Write(rows.clone());
    match shared.peers.call(address, call, HAND_ON_TIMEOUT).await {
        Ok(NodeReply::Written(outcomes)) => {
            let outcome = outcomes.first().copied();
            // A caller that has left needs no answer.
            let _ = waiting
                .answer
                .send(outcome.unwrap_or(SubmitOutcome::Doubtful));
        }
        Err(PeerError::NotSent) => {
            shared.metrics.retry("writer_unreached");
            let plan = Plan::new(&shared, 0);
            write_and_answer(&shared, &rows, vec![waiting.answer], plan).await;
        }
        // The answer is dropped, which leaves it open whether the job was written.
        reply => tracing::info!(%address, ?reply, "no word on a job that was handed on"),
    }
}

/// Takes as many of the waiting jobs as one transaction may hold.
fn gather(first: Waiting, rx: &mut mpsc::Receiver<Waiting>) -> (Batch, Answers) {
    let mut bytes = first.value.len();
    let mut rows = vec![(first.key, first.value)];
    let mut answers = vec![first.answer];
    while rows.len() < MOST_JOBS && bytes < MOST_BYTES {
        let Ok(waiting) = rx.try_recv() else {
            break;
        };
        bytes += waiting.value.len();
        rows.push((waiting.key, waiting.value));
        answers.push(waiting.answer);
    }
    (rows, answers)
}
