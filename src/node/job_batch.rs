//! Writes one batch of job rows to the store, in as many attempts as it takes.
//!
//! The row of a job may be written twice, into different partitions, since the owner identifies
//! jobs by id.  So while an attempt has not been answered, another one may be made in another
//! partition, and as soon as one succeeds, it does not matter whether the others did.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::intake::SubmitOutcome;
use crate::node::shared::{JOB_PARTITIONS, Shared, job_partition};
use crate::store::{RowKey, StoreCall, StoreError, StoreReply, Table, Transaction};

/// How long a batch is retried.  Callers that wait for it are answered earlier (`node::front`), but
/// if they submit the job again, it has usually been written by then.
const RETRY_FOR: Duration = Duration::from_millis(2_000);
/// How many attempts for one batch may be in flight at once, each in a different partition.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;
/// After this many attempts that were all refused, more are considered pointless.  Single
/// partitions may be unavailable while others work, but these are half of them.
const MAX_REFUSED_ATTEMPTS: usize = JOB_PARTITIONS / 2;
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How many batches a node writes at once while the store is slow.  With two, a new job waits for
/// half the duration of a transaction instead of a whole one before its own batch starts; with one,
/// fewer jobs were answered in time (docs/FINDINGS.md, "A slow store, measured").
pub const SLOW_STORE_BATCHES: usize = 2;
/// How many nodes write jobs while the store is slow; the others forward their jobs to them.
pub const MAX_SLOW_STORE_WRITERS: usize = JOB_PARTITIONS / SLOW_STORE_BATCHES;
/// While the store is slow, the wait before another concurrent attempt is this many times the usual
/// one, since such an attempt takes up capacity that the first attempts of other jobs need.
const SLOW_WAIT_FACTOR: u32 = 2;
/// The pause between two attempts while the store is slow: half the duration of a transaction.
const SLOW_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The job rows of one transaction, each as its key and its value.
pub type Batch = Vec<(String, String)>;

/// Which partitions the attempts for one batch go to.
///
/// The store carries out the transactions of a partition one after the other.  Normally each node
/// starts at a different partition and goes through all of them in turn, so that the load is
/// spread.  A slow store carries out two transactions a second in each partition.  Then a few nodes
/// write for all, each into partitions that no other node uses, in few large transactions.
/// Otherwise the transactions of different nodes queue up in the same partitions until the store
/// refuses most of them.  With answers that took 99 times as long, this raised the share of the
/// jobs' total value that was earned from 0.76 to 0.80 (docs/DECISIONS.md).
#[derive(Debug, Clone, Copy)]
pub struct WritePlan {
    first: usize,
    stride: usize,
    /// The store was slow when the plan was made.
    slow: bool,
}

impl WritePlan {
    /// Plans the attempts for the batch with the number `batch` of this node.
    pub fn new(shared: &Shared, batch: usize) -> Self {
        let slow = shared.store_is_slow();
        if slow {
            let (rank, nodes) = shared.rank();
            let writers = nodes.min(MAX_SLOW_STORE_WRITERS);
            return Self {
                first: rank % writers + writers * (batch % SLOW_STORE_BATCHES),
                stride: writers,
                slow,
            };
        }
        Self {
            first: xxh3_64(shared.name.as_bytes()) as usize % JOB_PARTITIONS + batch,
            stride: 1,
            slow,
        }
    }

    fn partition(&self, attempt: usize) -> String {
        job_partition(self.first + self.stride * attempt)
    }
}

/// Writes a batch, and again into other partitions until an attempt succeeds or it is pointless to
/// go on, for [`RETRY_FOR`] at most.
pub async fn write(shared: &Arc<Shared>, batch: &Batch, plan: WritePlan) -> SubmitOutcome {
    let until = Instant::now() + RETRY_FOR;
    let mut write = BatchWrite::new(shared, batch, plan);
    while Instant::now() < until {
        write.start_attempt();
        match write.next_result(until).await {
            Some(AttemptResult::Committed) => return SubmitOutcome::Accepted,
            Some(AttemptResult::Rejected) => break,
            Some(AttemptResult::Refused | AttemptResult::Unknown) | None => {}
        }
        if write.should_give_up() {
            break;
        }
        tokio::time::sleep(write.retry_pause()).await;
    }
    write.outcome()
}

/// The attempts to write one batch.
///
/// An attempt that takes long is not abandoned, since its repetition would only add to the load of
/// a slow store.  The next attempt runs concurrently and takes another route to the store:
/// directly or through a peer.
struct BatchWrite<'a> {
    shared: &'a Arc<Shared>,
    batch: &'a Batch,
    plan: WritePlan,
    in_flight: FuturesUnordered<BoxFuture<'a, AttemptResult>>,
    /// How many attempts have been started.
    started: usize,
    /// An attempt has ended without a clear answer, so it may have taken effect.
    has_unknown_result: bool,
}

impl<'a> BatchWrite<'a> {
    fn new(shared: &'a Arc<Shared>, batch: &'a Batch, plan: WritePlan) -> Self {
        Self {
            shared,
            batch,
            plan,
            in_flight: FuturesUnordered::new(),
            started: 0,
            has_unknown_result: false,
        }
    }

    /// Starts another attempt, unless as many as allowed are in flight.
    fn start_attempt(&mut self) {
        if self.in_flight.len() >= MAX_CONCURRENT_ATTEMPTS {
            return;
        }
        let partition = self.plan.partition(self.started);
        let call = StoreCall::Commit(transaction(self.batch, &partition));
        let attempt = write_once(self.shared, call, self.started);
        self.in_flight.push(attempt.boxed());
        self.started += 1;
    }

    /// Waits for an attempt to end; none if it is time for another one before that.
    async fn next_result(&mut self, until: Instant) -> Option<AttemptResult> {
        let wait = self.next_attempt_at(until);
        let result = tokio::time::timeout_at(wait, self.in_flight.next()).await;
        let result = result.ok().flatten();
        if let Some(AttemptResult::Unknown) = result {
            self.has_unknown_result = true;
            self.shared.metrics.retry("job_write_unanswered");
        }
        result
    }

    /// When the next attempt is due if none of those in flight ends.  The wait grows with their
    /// number, since the store may have become slow.
    fn next_attempt_at(&self, until: Instant) -> Instant {
        if self.in_flight.len() >= MAX_CONCURRENT_ATTEMPTS {
            return until;
        }
        let factor = if self.plan.slow { SLOW_WAIT_FACTOR } else { 1 };
        let wait = self.shared.store_timeout() * self.in_flight.len() as u32 * factor;
        until.min(Instant::now() + wait)
    }

    fn retry_pause(&self) -> Duration {
        if self.plan.slow {
            SLOW_RETRY_PAUSE
        } else {
            RETRY_PAUSE
        }
    }

    /// Returns whether the jobs may have been written, or may still be.
    fn may_be_written(&self) -> bool {
        self.has_unknown_result || !self.in_flight.is_empty()
    }

    /// Returns whether nothing is in flight and further attempts are pointless: so many were
    /// refused, or the store cannot be reached.
    fn should_give_up(&self) -> bool {
        let enough = !self.has_unknown_result && self.started >= MAX_REFUSED_ATTEMPTS;
        self.in_flight.is_empty() && (enough || !self.shared.can_reach_store())
    }

    fn outcome(&self) -> SubmitOutcome {
        if self.may_be_written() {
            SubmitOutcome::Doubtful
        } else {
            SubmitOutcome::Refused
        }
    }
}

/// The result of one attempt.
enum AttemptResult {
    Committed,
    /// Nothing was written; another attempt may succeed.
    Refused,
    /// The attempt may have taken effect, or may still do so.
    Unknown,
    /// The store rejects the transaction itself, so repeating it is of no use.
    Rejected,
}

/// Makes the attempt with this number.  Every other one goes through a peer if possible.
async fn write_once(shared: &Arc<Shared>, call: StoreCall, number: usize) -> AttemptResult {
    let reply = if number.is_multiple_of(2) {
        shared.store_without_timeout(call).await
    } else {
        shared.store_via_peers(call).await
    };
    match reply {
        Ok(StoreReply::Committed(_)) => AttemptResult::Committed,
        Ok(reply) => {
            tracing::error!(
                ?reply,
                "unexpected kind of answer from the store to a write of jobs"
            );
            AttemptResult::Unknown
        }
        Err(StoreError::Rejected(status)) => {
            tracing::error!(status, "store rejects a batch of jobs");
            AttemptResult::Rejected
        }
        Err(StoreError::Unavailable) => AttemptResult::Refused,
        Err(StoreError::Unanswered | StoreError::Malformed) => AttemptResult::Unknown,
    }
}

fn transaction(batch: &Batch, partition: &str) -> Transaction {
    let puts = batch.iter().map(|(key, value)| {
        let key = RowKey::new(Table::Jobs, partition, key);
        (key, value.clone())
    });
    Transaction {
        puts: puts.collect(),
        ..Transaction::default()
    }
}
