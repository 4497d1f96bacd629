//! Making accepted jobs durable.
//!
//! Jobs that come while a transaction is on its way go together into the next.  A
//! job's row may be written twice, to different partitions: the owner knows jobs by
//! their id and takes each in once.  So a write that brought no answer is repeated
//! elsewhere, and one success settles all earlier doubts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{BoxFuture, join_all};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::cell::record::JobRow;
use crate::clock::Millis;
use crate::node::shared::{JOB_PARTITIONS, Shared, job_partition};
use crate::rpc::PeerError;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::store::{RowKey, StoreCall, StoreError, StoreReply, Table, Transaction};

/// How many jobs may wait for the next transaction: seconds of a burst.
const QUEUE_LENGTH: usize = 512;
/// The most jobs in one transaction; the store takes 100 entries.
const MOST_JOBS: usize = 90;
/// No job is added to a transaction that holds so many bytes: the store takes 1 MB, a row
/// is below 64 KB, and the platform's form makes three bytes four.
const MOST_BYTES: usize = 600_000;
/// How long a doubtful write is repeated.  Its callers have had their answer by then
/// (`node::front`); the job is taken for when they ask again.
const SETTLE_FOR: Duration = Duration::from_millis(2_000);
/// How many tries of one batch may be on their way at once, each in another partition.
const MOST_TRIES: usize = 3;
/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How many transactions may be on their way at once, each in another partition.
const LANES: usize = 4;
/// How many at most while the store is slow: two are on their way then, and a job waits
/// for half of one instead of a whole one.  With one, more jobs found no answer in time
/// (docs/FINDINGS.md tells of the day).
const SLOW_LANES: usize = 2;
/// How many nodes write while the store is slow; the others hand their jobs on to them.
const MOST_WRITERS: usize = JOB_PARTITIONS / SLOW_LANES;
/// How long a node may take to write another's jobs: as long as doubts are settled, and
/// a hop between halls.
const HAND_ON_TIMEOUT: Millis = 2_200;
/// While the store is slow, another try goes beside an unanswered one only after so many
/// times the usual patience: it takes the place of other jobs' first tries.
const SLOW_PATIENCE: u32 = 2;
/// The pause after a slow store has refused a transaction: half of what one takes.
const SLOW_RETRY_PAUSE: Duration = Duration::from_millis(250);

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
    /// A caller handed it in at this node.
    own: bool,
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
        self.queue(row.id.to_string(), value, true).await
    }

    /// Writes rows of jobs for another node, and tells what became of each.
    pub async fn write_for_node(&self, rows: Vec<(String, String)>) -> Vec<Submitted> {
        let writes = rows
            .into_iter()
            .map(|(key, value)| self.queue(key, value, false));
        join_all(writes).await
    }

    async fn queue(&self, key: String, value: String, own: bool) -> Submitted {
        let (answer, rx) = oneshot::channel();
        let waiting = Waiting {
            key,
            value,
            own,
            answer,
        };
        if self.tx.try_send(waiting).is_err() {
            return Submitted::Refused;
        }
        rx.await.unwrap_or(Submitted::Doubtful)
    }
}

/// Where the tries of one batch go.
///
/// A partition takes its transactions one after the other.  While all is well nodes begin
/// at different places and go round, so that the partitions share the work.  A slow store
/// takes two a second in each: then some nodes write for all, each into partitions of its
/// own, and send few large transactions.  Otherwise nodes queue behind one another until
/// the store refuses most of what it is sent.
#[derive(Debug, Clone, Copy)]
struct Plan {
    first: usize,
    step: usize,
    slow: bool,
}

impl Plan {
    fn new(shared: &Shared, batch: usize) -> Self {
        let slow = shared.store_is_slow();
        if slow {
            let (rank, nodes) = shared.rank();
            let writers = nodes.min(MOST_WRITERS);
            return Self {
                first: rank % writers + writers * (batch % SLOW_LANES),
                step: writers,
                slow,
            };
        }
        Self {
            first: xxh3_64(shared.name.as_bytes()) as usize % JOB_PARTITIONS + batch,
            step: 1,
            slow,
        }
    }

    fn partition(&self, number: usize) -> String {
        job_partition(self.first + self.step * number)
    }
}

/// The node that writes our jobs while the store is slow; none if we do ourselves.
fn writer(shared: &Shared) -> Option<SocketAddr> {
    let (rank, nodes) = shared.rank();
    if !shared.store_is_slow() || nodes <= MOST_WRITERS || rank < MOST_WRITERS {
        return None;
    }
    // The writers come before us by name, so among the others their places are the same.
    let members = shared.members();
    let writer = members.iter().nth(rank % MOST_WRITERS);
    writer.map(|(_, member)| member.address)
}

async fn run(shared: Arc<Shared>, mut rx: mpsc::Receiver<Waiting>) {
    let lanes = Arc::new(tokio::sync::Semaphore::new(LANES));
    let mut batches = 0;
    while let Some(first) = rx.recv().await {
        if first.own
            && let Some(address) = writer(&shared)
        {
            tokio::spawn(hand_on(Arc::clone(&shared), address, vec![first]));
            continue;
        }
        let slow = shared.store_is_slow();
        let share = if slow { LANES / SLOW_LANES } else { 1 };
        // The semaphore is never closed.
        let Ok(lane) = Arc::clone(&lanes).acquire_many_owned(share as u32).await else {
            return;
        };
        let batch = gather(first, &mut rx);
        let plan = Plan::new(&shared, batches);
        batches += 1;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            write_and_answer(&shared, batch, plan).await;
            drop(lane);
        });
    }
}

async fn write_and_answer(shared: &Arc<Shared>, batch: Vec<Waiting>, plan: Plan) {
    let outcome = write_batch(shared, &batch, plan).await;
    if outcome != Submitted::Accepted {
        tracing::info!(jobs = batch.len(), ?plan, ?outcome, "jobs were not written");
    }
    for waiting in batch {
        // A caller that has left needs no answer.
        let _ = waiting.answer.send(outcome);
    }
}

/// Has another node write our jobs with its own.
async fn hand_on(shared: Arc<Shared>, address: SocketAddr, batch: Vec<Waiting>) {
    let rows = batch.iter().map(|w| (w.key.clone(), w.value.clone()));
    let call = NodeCall::Write(rows.collect());
    match shared.peers.call(address, call, HAND_ON_TIMEOUT).await {
        Ok(NodeReply::Written(outcomes)) => {
            for (waiting, outcome) in batch.into_iter().zip(outcomes) {
                let _ = waiting.answer.send(outcome);
            }
        }
        Err(PeerError::NotSent) => {
            shared.metrics.retry("writer_unreached");
            let plan = Plan::new(&shared, 0);
            write_and_answer(&shared, batch, plan).await;
        }
        // The answers are dropped, which leaves it open whether the jobs were written.
        reply => tracing::info!(%address, ?reply, "no word on jobs that were handed on"),
    }
}

/// Takes as many of the waiting jobs as one transaction may hold.
fn gather(first: Waiting, rx: &mut mpsc::Receiver<Waiting>) -> Vec<Waiting> {
    let mut bytes = first.value.len();
    let mut batch = vec![first];
    while batch.len() < MOST_JOBS && bytes < MOST_BYTES {
        let Ok(waiting) = rx.try_recv() else {
            break;
        };
        bytes += waiting.value.len();
        batch.push(waiting);
    }
    batch
}

/// Writes a batch, and while the store leaves it open, again into other partitions.
async fn write_batch(shared: &Arc<Shared>, batch: &[Waiting], plan: Plan) -> Submitted {
    let until = Instant::now() + SETTLE_FOR;
    let mut writing = Writing::new(shared, batch, plan);
    while Instant::now() < until {
        writing.begin_try();
        match writing.next(until).await {
            Some(Written::Yes) => return Submitted::Accepted,
            Some(Written::Never) => break,
            Some(Written::No | Written::Perhaps) | None => {}
        }
        if writing.is_hopeless() {
            break;
        }
        tokio::time::sleep(writing.retry_pause()).await;
    }
    writing.outcome()
}

/// The tries of one batch.
///
/// One whose answer is late is not given up: a slow store would only be given more to
/// do.  The next one goes beside it, by another way.
struct Writing<'a> {
    shared: &'a Arc<Shared>,
    batch: &'a [Waiting],
    plan: Plan,
    tries: FuturesUnordered<BoxFuture<'a, Written>>,
    begun: usize,
    /// A try that has ended may have taken effect.
    doubt: bool,
}

impl<'a> Writing<'a> {
    fn new(shared: &'a Arc<Shared>, batch: &'a [Waiting], plan: Plan) -> Self {
        Self {
            shared,
            batch,
            plan,
            tries: FuturesUnordered::new(),
            begun: 0,
            doubt: false,
        }
    }

    /// Begins another try, unless enough are on their way.
    fn begin_try(&mut self) {
        if self.tries.len() >= MOST_TRIES {
            return;
        }
        let partition = self.plan.partition(self.begun);
        let call = StoreCall::Commit(transaction(self.batch, &partition));
        let attempt = write_once(self.shared, call, self.begun);
        self.tries.push(attempt.boxed());
        self.begun += 1;
    }

    /// Waits for a try to end, or until it is time for another; none if none has ended.
    async fn next(&mut self, until: Instant) -> Option<Written> {
        let wait = self.until_next_try(until);
        let written = tokio::time::timeout_at(wait, self.tries.next()).await;
        let written = written.ok().flatten();
        if let Some(Written::Perhaps) = written {
            self.doubt = true;
            self.shared.metrics.retry("job_write_unanswered");
        }
        written
    }

    /// Each further try waits longer: it may be that the store has turned slow.
    fn until_next_try(&self, until: Instant) -> Instant {
        if self.tries.len() >= MOST_TRIES {
            return until;
        }
        let times = if self.plan.slow { SLOW_PATIENCE } else { 1 };
        let patience = self.shared.store_patience() * self.tries.len() as u32 * times;
        until.min(Instant::now() + patience)
    }

    fn retry_pause(&self) -> Duration {
        if self.plan.slow {
            SLOW_RETRY_PAUSE
        } else {
            RETRY_PAUSE
        }
    }

    /// The jobs may have been written, or may be yet.
    fn is_open(&self) -> bool {
        self.doubt || !self.tries.is_empty()
    }

    /// Nothing is on its way, and further tries would come to nothing either.
    fn is_hopeless(&self) -> bool {
        let enough = !self.doubt && self.begun >= JOB_PARTITIONS / 2;
        self.tries.is_empty() && (enough || !self.shared.has_store())
    }

    fn outcome(&self) -> Submitted {
        if self.is_open() {
            Submitted::Doubtful
        } else {
            Submitted::Refused
        }
    }
}

/// What one try came to.
enum Written {
    Yes,
    No,
    Perhaps,
    /// The store rejects the jobs, however often they are sent.
    Never,
}

async fn write_once(shared: &Arc<Shared>, call: StoreCall, number: usize) -> Written {
    let reply = if number.is_multiple_of(2) {
        shared.store_unhurried(call).await
    } else {
        shared.store_elsewhere(call).await
    };
    match reply {
        Ok(StoreReply::Committed(_)) => Written::Yes,
        Ok(reply) => {
            tracing::error!(?reply, "the store's answer to jobs is of the wrong kind");
            Written::Perhaps
        }
        Err(StoreError::Rejected(status)) => {
            tracing::error!(status, "the store rejects jobs");
            Written::Never
        }
        Err(StoreError::Unavailable) => Written::No,
        Err(StoreError::Unanswered | StoreError::Malformed) => Written::Perhaps,
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
