//! Durable marks: a request that must not be repeated is marked before it is sent.
//!
//! Marks of many requests are written in one transaction.  A mark that cannot be
//! made means that the request is not sent; a mark whose fate is unknown is read
//! back by its claim.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use crate::backend::StoreError;
use crate::backend::store::Op;
use crate::daemon::instance::Instance;
use crate::routing::Refusal;

/// The most marks that go into one transaction.
const MARKS_PER_WRITE: usize = 128;
/// How often a doubtful mark is read back before the request is refused.
const MAX_TRIES: u32 = 3;

struct Pending {
    op: Op,
    claim: String,
    tries: u32,
    answer: oneshot::Sender<Result<(), Refusal>>,
}

/// Marks that wait to be written.
#[derive(Default)]
pub struct Marks {
    pending: Mutex<Vec<Pending>>,
    wake: Notify,
}

impl Marks {
    /// Writes a row under the given condition and returns when it is durable.
    ///
    /// `op` must put a value that ends with `claim`, which is unique, so that the
    /// row can be recognised as ours.
    ///
    /// # Errors
    /// [`Refusal::AlreadyMarked`] if the row is not as expected;
    /// [`Refusal::StoreUnavailable`] if the store cannot confirm it.
    pub async fn write(&self, op: Op, claim: String) -> Result<(), Refusal> {
        let (answer, rx) = oneshot::channel();
        self.push(Pending {
            op,
            claim,
            tries: 0,
            answer,
        });
        rx.await.unwrap_or(Err(Refusal::StoreUnavailable))
    }

    fn push(&self, pending: Pending) {
        self.pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(pending);
        self.wake.notify_one();
    }

    fn take(&self) -> Vec<Pending> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let count = pending.len().min(MARKS_PER_WRITE);
        pending.drain(..count).collect()
    }
}

/// Writes marks for as long as the instance lives.
pub async fn run(instance: Arc<Instance>) {
    loop {
        let wait = tokio::time::timeout(instance.tick(), instance.marks.wake.notified());
        let _ = wait.await;
        while !instance
            .marks
            .pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
        {
            let pause = instance.writes.take(instance.now());
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let batch = instance.marks.take();
            write_batch(&instance, batch).await;
        }
    }
}

async fn write_batch(instance: &Instance, mut batch: Vec<Pending>) {
    while !batch.is_empty() {
        let ops = batch.iter().map(|pending| pending.op.clone()).collect();
        match instance.platform.store.transact(ops).await {
            Ok(_) => {
                instance
                    .metrics
                    .event_by("mark_written", batch.len() as u64);
                return answer_all(batch, Ok(()));
            }
            Err(StoreError::Unavailable) => {
                return answer_all(batch, Err(Refusal::StoreUnavailable));
            }
            Err(StoreError::Conflict { index }) => {
                let Some(pending) = (index < batch.len()).then(|| batch.remove(index)) else {
                    return answer_all(batch, Err(Refusal::StoreUnavailable));
                };
                settle_conflict(instance, pending).await;
            }
            Err(StoreError::Unanswered) => return read_back(instance, batch).await,
        }
    }
}

/// A conflicting row may be our own, left by a try whose reply was lost.
async fn settle_conflict(instance: &Instance, pending: Pending) {
    let result = match pending.tries {
        0 => Err(Refusal::AlreadyMarked),
        _ => match is_ours(instance, &pending).await {
            Some(true) => Ok(()),
            Some(false) => Err(Refusal::AlreadyMarked),
            None => Err(Refusal::StoreUnavailable),
        },
    };
    let _ = pending.answer.send(result);
}

async fn is_ours(instance: &Instance, pending: &Pending) -> Option<bool> {
    let rows = instance
        .platform
        .store
        .read(vec![pending.op.key.clone()])
        .await
        .ok()?;
    let row = rows.into_iter().next().flatten();
    Some(row.is_some_and(|row| row.value.ends_with(&pending.claim)))
}

async fn read_back(instance: &Instance, batch: Vec<Pending>) {
    instance.metrics.retry("mark_unanswered");
    let keys = batch.iter().map(|pending| pending.op.key.clone()).collect();
    let Ok(rows) = instance.platform.store.read(keys).await else {
        return answer_all(batch, Err(Refusal::StoreUnavailable));
    };
    for (mut pending, row) in batch.into_iter().zip(rows) {
        let ours = row.is_some_and(|row| row.value.ends_with(&pending.claim));
        pending.tries += 1;
        if ours {
            let _ = pending.answer.send(Ok(()));
        } else if pending.tries >= MAX_TRIES {
            let _ = pending.answer.send(Err(Refusal::StoreUnavailable));
        } else {
            instance.marks.push(pending);
        }
    }
}

fn answer_all(batch: Vec<Pending>, result: Result<(), Refusal>) {
    for pending in batch {
        let _ = pending.answer.send(result);
    }
}
