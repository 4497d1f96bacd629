//! Group commit of the records of jobs.
//!
//! One transaction carries all records that have changed, together with checks
//! that the shards are still ours: a former owner that wakes up can change nothing.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backend::StoreError;
use crate::backend::store::{Change, Expect, Op, Version};
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::ownership::shard::ShardRow;
use crate::placement::Part;
use crate::placement::journal::{PartWrite, WriteBatch};
use crate::routing::Refusal;
use crate::rpc::message::Submitted;

/// The most jobs whose records go into one transaction.
const JOBS_PER_WRITE: usize = 64;
/// The prefix of the rows that chain the writes of one start of an instance.
const WRITER_PREFIX: &str = "writer/";
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

/// The writes of one start of this instance, chained so that a lost reply can be settled.
#[derive(Debug, Default)]
pub struct Writer {
    version: Option<Version>,
    doubt: Option<Doubt>,
    /// The shards whose records are in a write that is under way or in doubt.
    shards: BTreeSet<String>,
    /// The jobs whose records are in it.
    jobs: BTreeSet<String>,
    /// The job whose tasks are being moved to another instance.
    moving: Option<String>,
    /// The shards of which the write holds every changed record.
    complete: BTreeSet<String>,
    /// When the write was put together.
    taken_at: Millis,
}

impl Writer {
    /// Tells whether a write of a shard's records is under way or in doubt.
    pub fn concerns(&self, shard: &str) -> bool {
        self.shards.contains(shard)
    }

    /// Tells whether a write of a job's records is under way or in doubt.
    pub fn holds(&self, job: &str) -> bool {
        self.jobs.contains(job) || self.moving.as_deref() == Some(job)
    }

    /// Notes the job whose tasks are being moved to another instance.
    pub fn set_moving(&mut self, job: Option<String>) {
        self.moving = job;
    }

    /// Tells whether the fate of a write is unknown.
    pub fn in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Returns the shards of the write that is under way or in doubt, and forgets them.
    pub fn take_shards(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.shards)
    }
}

/// A write whose reply was lost.
#[derive(Debug)]
struct Doubt {
    batch: WriteBatch,
    mark: u64,
    attempts: Vec<u64>,
}

/// What a step of a transaction stands for, to make sense of a conflict.
enum Step {
    Writer,
    Ownership(String),
    Claim(String, u64),
    Record,
}

impl Instance {
    /// Writes changed records whenever there are any.
    pub async fn run_records(self: Arc<Self>) {
        loop {
            let _ = tokio::time::timeout(self.tick(), self.wake_records.notified()).await;
            while self.has_records_to_write() {
                let wait = self.writes.take(self.now());
                tokio::time::sleep(Duration::from_millis(wait)).await;
                if !self.flush().await {
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    break;
                }
            }
        }
    }

    fn has_records_to_write(&self) -> bool {
        let state = self.lock();
        state.cell.has_writes() || state.writer.in_doubt()
    }

    /// Writes one batch of records, and returns whether it took effect.
    pub async fn flush(&self) -> bool {
        let _turn = self.record_turn.lock().await;
        if !self.settle_doubt().await {
            return false;
        }
        let Some((batch, ops, steps, mark)) = self.next_batch() else {
            return true;
        };
        let result = self.platform.store.transact(ops).await;
        let resolved = match result {
            Err(StoreError::Conflict { index }) => self.on_conflict(&steps, index).await,
            _ => Vec::new(),
        };
        let mut state = self.lock();
        for (job, outcome) in resolved {
            resolve(&mut state, &job, outcome);
        }
        match result {
            Ok(version) => {
                state.writer.version = Some(version);
                self.on_written(&mut state, &batch);
            }
            Err(StoreError::Unanswered) => {
                self.metrics.retry("records_unanswered");
                state.writer.doubt = Some(Doubt {
                    batch,
                    mark,
                    attempts: Vec::new(),
                });
            }
            Err(ref err) => self.on_unwritten(&mut state, &batch, err),
        }
        self.publish(&mut state);
        drop(state);
        self.wake_workers.notify_one();
        result.is_ok()
    }

    /// Finds out what became of a write whose reply was lost; returns whether that is known.
    ///
    /// Every write of ours replaces our writer's row at the version that the last
    /// one left.  If that can be done once more, the lost write can never take
    /// effect; if it cannot, the row tells whose mark it bears.
    async fn settle_doubt(&self) -> bool {
        let Some(mut doubt) = self.lock().writer.doubt.take() else {
            return true;
        };
        let (op, mark) = self.writer_op();
        doubt.attempts.push(mark);
        let written = match self.platform.store.transact(vec![op]).await {
            Ok(version) => {
                self.lock().writer.version = Some(version);
                Some(false)
            }
            Err(StoreError::Conflict { .. }) => self.read_mark(&doubt).await,
            Err(_) => None,
        };
        let mut state = self.lock();
        match written {
            Some(true) => self.on_written(&mut state, &doubt.batch),
            Some(false) => self.on_unwritten(&mut state, &doubt.batch, &StoreError::Unanswered),
            None => state.writer.doubt = Some(doubt),
        }
        written.is_some()
    }

    async fn read_mark(&self, doubt: &Doubt) -> Option<bool> {
        let rows = self
            .platform
            .store
            .read(vec![self.writer_key()])
            .await
            .ok()?;
        let row = rows.into_iter().next().flatten()?;
        let mark = row.value.parse::<u64>().ok()?;
        let ours = mark == doubt.mark || doubt.attempts.contains(&mark);
        if ours {
            self.lock().writer.version = Some(row.version);
        }
        Some(mark == doubt.mark)
    }

    fn writer_key(&self) -> String {
        format!("{WRITER_PREFIX}{}/{:016x}", self.cfg.name, self.incarnation)
    }

    /// Builds the step that chains a write to the one before, with its mark.
    fn writer_op(&self) -> (Op, u64) {
        let mark = self.draw();
        let version = self.lock().writer.version;
        let expect = version.map_or(Expect::Absent, Expect::Version);
        let op = Op::new(self.writer_key(), expect, Change::Put(mark.to_string()));
        (op, mark)
    }

    fn next_batch(&self) -> Option<(WriteBatch, Vec<Op>, Vec<Step>, u64)> {
        let (op, mark) = self.writer_op();
        let mut state = self.lock();
        let mut batch = state.cell.take_writes(JOBS_PER_WRITE)?;
        for write in &mut batch.writes {
            let taken = state
                .taken_in
                .get(&(write.shard.clone(), write.job.clone()));
            write.taken_in = taken.cloned().unwrap_or_default();
        }
        let mut ops = vec![op];
        let mut steps = vec![Step::Writer];
        for shard in batch.shards() {
            let Some(held) = state.held.get(&shard) else {
                // A record of a shard that is not ours must not be written at all.
                self.metrics.violation("foreign_record");
                state.cell.unwritten(&batch);
                return None;
            };
            ops.push(Op::check(ShardRow::key(&shard), held.version));
            steps.push(Step::Ownership(shard));
        }
        for write in &batch.writes {
            self.add_ops(write, &mut ops, &mut steps);
        }
        let now = self.now();
        let State { writer, cell, .. } = &mut *state;
        writer.shards = batch.shards();
        writer.jobs = batch.writes.iter().map(|write| write.job.clone()).collect();
        writer.complete = batch
            .shards()
            .into_iter()
            .filter(|shard| !cell.has_writes_for(shard))
            .collect();
        writer.taken_at = now;
        Some((batch, ops, steps, mark))
    }

    fn add_ops(&self, write: &PartWrite, ops: &mut Vec<Op>, steps: &mut Vec<Step>) {
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
        ops.extend(write.taken_in.iter().map(|row| Op::delete(row.clone())));
        steps.resize_with(ops.len(), || Step::Record);
    }

    fn on_written(&self, state: &mut State, batch: &WriteBatch) {
        self.metrics.event("records_written");
        state.writer.shards.clear();
        state.writer.jobs.clear();
        for shard in std::mem::take(&mut state.writer.complete) {
            if let Some(held) = state.held.get_mut(&shard) {
                held.flushed_at = state.writer.taken_at;
            }
        }
        state.cell.written(batch, self.now());
        for write in &batch.writes {
            let part = (write.shard.clone(), write.job.clone());
            if let Some(taken) = state.taken_in.get_mut(&part) {
                taken.retain(|row| !write.taken_in.contains(row));
            }
            state.taken_in.retain(|_, taken| !taken.is_empty());
            if write.claim.is_some() {
                resolve(state, &write.job, Submitted::Accepted);
            }
        }
    }

    fn on_unwritten(&self, state: &mut State, batch: &WriteBatch, err: &StoreError) {
        tracing::warn!(%err, "records were not written");
        self.metrics.retry("records_unwritten");
        state.writer.shards.clear();
        state.writer.jobs.clear();
        state.cell.unwritten(batch);
        let lost: Vec<String> = batch.writes.iter().map(|write| write.job.clone()).collect();
        for job in lost {
            if state.cell.is_durable(&job).is_none() {
                resolve(state, &job, Submitted::refused(Refusal::NoOwner, None));
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
            Some(Step::Writer | Step::Record) | None => Vec::new(),
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
                vec![(job.to_owned(), Submitted::refused(Refusal::JobExists, None))]
            }
            None => Vec::new(),
        }
    }
}

fn resolve(state: &mut State, job: &str, outcome: Submitted) {
    for waiter in state.submissions.remove(job).unwrap_or_default() {
        let _ = waiter.send(outcome.clone());
    }
}
