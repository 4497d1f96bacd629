//! Group commit of the records of jobs.
//!
//! One transaction carries all records that have changed, together with checks
//! that the shards are still ours: a former owner that wakes up can change nothing.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::daemon::instance::{Instance, State};
use crate::ownership::shard::ShardRow;
use crate::placement::Part;
use crate::placement::intake::{PartWrite, WriteBatch};
use crate::platform::StoreError;
use crate::platform::store::Op;
use crate::routing::Refusal;
use crate::rpc::message::Submitted;

/// The most jobs whose records go into one transaction.
const JOBS_PER_WRITE: usize = 64;
/// The prefix of the rows that name every job ever accepted.
const JOB_PREFIX: &str = "job/";
/// How long to wait after the store has failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// What the row of a job holds.
#[derive(Debug, Serialize, Deserialize)]
struct JobRow {
    claim: u64,
    accepted_by: String,
}

/// What a step of a transaction stands for, to make sense of a conflict.
enum Step {
    Ownership(String),
    Claim(String, u64),
    Record,
}

impl Instance {
    /// Writes changed records whenever there are any.
    pub async fn run_records(self: Arc<Self>) {
        loop {
            let _ = tokio::time::timeout(self.tick(), self.wake_records.notified()).await;
            while self.lock().cell.has_writes() {
                let wait = self.writes.take(self.now());
                tokio::time::sleep(Duration::from_millis(wait)).await;
                if !self.flush().await {
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    break;
                }
            }
        }
    }

    /// Writes one batch of records, and returns whether it took effect.
    pub async fn flush(&self) -> bool {
        let Some((batch, ops, steps)) = self.next_batch() else {
            return true;
        };
        let result = self.platform.store.transact(ops).await;
        let resolved = match result {
            Err(StoreError::Conflict { index }) => self.on_conflict(&steps, index).await,
            _ => Vec::new(),
        };
        let mut state = self.lock();
        state.flushing = false;
        for (job, outcome) in resolved {
            resolve(&mut state, &job, outcome);
        }
        match result {
            Ok(_) => self.on_written(&mut state, &batch),
            Err(ref err) => self.on_unwritten(&mut state, &batch, err),
        }
        self.publish(&mut state);
        drop(state);
        self.wake_workers.notify_one();
        result.is_ok()
    }

    fn next_batch(&self) -> Option<(WriteBatch, Vec<Op>, Vec<Step>)> {
        let mut state = self.lock();
        let batch = state.cell.take_writes(JOBS_PER_WRITE)?;
        let mut ops = Vec::new();
        let mut steps = Vec::new();
        for shard in batch.shards() {
            if let Some(held) = state.held.get(&shard) {
                ops.push(Op::check(ShardRow::key(&shard), held.version));
                steps.push(Step::Ownership(shard));
            }
        }
        for write in &batch.writes {
            self.add_ops(&state, write, &mut ops, &mut steps);
        }
        state.flushing = true;
        Some((batch, ops, steps))
    }

    fn add_ops(&self, state: &State, write: &PartWrite, ops: &mut Vec<Op>, steps: &mut Vec<Step>) {
        let claimed = steps
            .iter()
            .any(|step| matches!(step, Step::Claim(job, _) if *job == write.job));
        if let (Some(claim), false) = (write.claim, claimed) {
            let row = JobRow {
                claim,
                accepted_by: self.cfg.name.clone(),
            };
            let value = serde_json::to_string(&row).unwrap_or_default();
            ops.push(Op::create(format!("{JOB_PREFIX}{}", write.job), value));
            steps.push(Step::Claim(write.job.clone(), claim));
        }
        let key = Part::key(&write.shard, &write.job);
        match &write.part {
            Some(part) => {
                let value = serde_json::to_string(part).unwrap_or_default();
                if write.ended {
                    ops.push(Op::put(Part::ended_key(&write.shard, &write.job), value));
                    ops.push(Op::delete(key));
                } else {
                    ops.push(Op::put(key, value));
                }
            }
            None => ops.push(Op::delete(key)),
        }
        let taken = state
            .taken_in
            .get(&(write.shard.clone(), write.job.clone()));
        ops.extend(
            taken
                .into_iter()
                .flatten()
                .map(|row| Op::delete(row.clone())),
        );
        steps.resize_with(ops.len(), || Step::Record);
    }

    fn on_written(&self, state: &mut State, batch: &WriteBatch) {
        self.metrics.event("records_written");
        state.cell.written(batch);
        for write in &batch.writes {
            state
                .taken_in
                .remove(&(write.shard.clone(), write.job.clone()));
            if write.claim.is_some() {
                resolve(state, &write.job, Submitted::Accepted);
            }
        }
    }

    fn on_unwritten(&self, state: &mut State, batch: &WriteBatch, err: &StoreError) {
        tracing::warn!(%err, "records were not written");
        self.metrics.retry("records_unwritten");
        state.cell.unwritten(batch);
        let lost: Vec<String> = batch.writes.iter().map(|write| write.job.clone()).collect();
        for job in lost {
            if state.cell.is_durable(&job).is_none() {
                let outcome = match err {
                    StoreError::Unanswered => Submitted::Unknown,
                    _ => refused(Refusal::NoOwner),
                };
                resolve(state, &job, outcome);
            }
        }
    }

    /// Finds out why a transaction was refused, and puts it right for the next try.
    async fn on_conflict(&self, steps: &[Step], index: usize) -> Vec<(String, Submitted)> {
        match steps.get(index) {
            Some(Step::Ownership(shard)) => {
                tracing::info!(
                    shard,
                    "a record was refused because the shard's row has changed"
                );
                self.lock().shard_revision = None;
                Vec::new()
            }
            Some(Step::Claim(job, claim)) => self.on_claim_conflict(job, *claim).await,
            Some(Step::Record) | None => Vec::new(),
        }
    }

    /// A job of that name has a row: ours, whose reply was lost, or another's.
    async fn on_claim_conflict(&self, job: &str, claim: u64) -> Vec<(String, Submitted)> {
        let Ok(rows) = self
            .platform
            .store
            .read(vec![format!("{JOB_PREFIX}{job}")])
            .await
        else {
            return Vec::new();
        };
        let row = rows.into_iter().next().flatten();
        let found = row.and_then(|row| serde_json::from_str::<JobRow>(&row.value).ok());
        let mut state = self.lock();
        match found {
            Some(found) if found.claim == claim => {
                state.cell.claim_written(job);
                vec![(job.to_owned(), Submitted::Accepted)]
            }
            Some(_) => {
                state.cell.withdraw(job);
                vec![(job.to_owned(), refused(Refusal::JobExists))]
            }
            None => Vec::new(),
        }
    }
}

fn refused(reason: Refusal) -> Submitted {
    Submitted::Refused {
        reason,
        retry_after_ms: None,
    }
}

fn resolve(state: &mut State, job: &str, outcome: Submitted) {
    for waiter in state.submissions.remove(job).unwrap_or_default() {
        let _ = waiter.send(outcome.clone());
    }
}
