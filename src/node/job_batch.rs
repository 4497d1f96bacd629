//! Writing one batch of jobs to the store, in as many tries as it takes.
//!
//! One job may be written twice, to different partitions: the owner knows jobs by their id.
//! So a write that brought no answer is repeated elsewhere, and one success settles all
//! earlier doubts.

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

/// How long a doubtful write is repeated.  Its callers have had their answer by then
/// (`node::front`); the job is taken for when they ask again.
const SETTLE_FOR: Duration = Duration::from_millis(2_000);
/// How many tries of one batch may be on their way at once, each in another partition.
const MOST_TRIES: usize = 3;
/// After so many refused tries further ones come to nothing: half of the partitions, of
/// which some may be away alone.
const ENOUGH_TRIES: usize = JOB_PARTITIONS / 2;
/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How many at most while the store is slow: two are on their way then, and a job waits
/// for half of one instead of a whole one.  With one, more jobs found no answer in time
/// (docs/FINDINGS.md tells of the day).
pub const SLOW_STORE_BATCHES: usize = 2;
/// How many nodes write while the store is slow; the others hand their jobs on to them.
pub const MAX_SLOW_STORE_WRITERS: usize = JOB_PARTITIONS / SLOW_STORE_BATCHES;
/// While the store is slow, another try goes beside an unanswered one only after so many
/// times the usual patience: it takes the place of other jobs' first tries.
const SLOW_PATIENCE: u32 = 2;
/// The pause after a slow store has refused a transaction: half of what one takes.
const SLOW_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The rows of jobs that go together, each as its key and its value.
pub type Batch = Vec<(String, String)>;

/// Where the tries of one batch go.
///
/// A partition takes its transactions one after the other.  While all is well nodes begin
/// at different places and go round, so that the partitions share the work.  A slow store
/// takes two a second in each: then some nodes write for all, each into partitions of its
/// own, and send few large transactions.  Otherwise nodes queue behind one another until
/// the store refuses most of what it is sent.  While answers took 99 times as long, this
/// raised the share of worth earned that day from 0.76 to 0.80 (docs/DECISIONS.md).
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    first: usize,
    step: usize,
    slow: bool,
}

impl Plan {
    /// Plans for the `batch`th batch of a node.
    pub fn new(shared: &Shared, batch: usize) -> Self {
        let slow = shared.store_is_slow();
        if slow {
            let (rank, nodes) = shared.rank();
            let writers = nodes.min(MAX_SLOW_STORE_WRITERS);
            return Self {
                first: rank % writers + writers * (batch % SLOW_STORE_BATCHES),
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

/// Writes a batch, and while the store leaves it open, again into other partitions.
pub async fn write(shared: &Arc<Shared>, batch: &Batch, plan: Plan) -> SubmitOutcome {
    let until = Instant::now() + SETTLE_FOR;
    let mut writing = Writing::new(shared, batch, plan);
    while Instant::now() < until {
        writing.begin_try();
        match writing.next(until).await {
            Some(Written::Yes) => return SubmitOutcome::Accepted,
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
    batch: &'a Batch,
    plan: Plan,
    tries: FuturesUnordered<BoxFuture<'a, Written>>,
    begun: usize,
    /// A try that has ended may have taken effect.
    doubt: bool,
}

impl<'a> Writing<'a> {
    fn new(shared: &'a Arc<Shared>, batch: &'a Batch, plan: Plan) -> Self {
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
        let patience = self.shared.store_timeout() * self.tries.len() as u32 * times;
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
        let enough = !self.doubt && self.begun >= ENOUGH_TRIES;
        self.tries.is_empty() && (enough || !self.shared.can_reach_store())
    }

    fn outcome(&self) -> SubmitOutcome {
        if self.is_open() {
            SubmitOutcome::Doubtful
        } else {
            SubmitOutcome::Refused
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
        shared.store_without_timeout(call).await
    } else {
        shared.store_via_peers(call).await
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
