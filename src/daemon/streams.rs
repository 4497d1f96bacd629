//! Ordered streams: one request of a stream at a time, each place once.
//!
//! The last place that was let through is kept in the store, so that another
//! instance goes on after it.  A request is marked there before it is sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex as AsyncMutex, Notify, OwnedMutexGuard};

use crate::backend::store::{Expect, Op, Version};
use crate::clock::Millis;
use crate::daemon::instance::Instance;
use crate::routing::{Refusal, RequestSpec};

/// The prefix of the rows of streams.
const STREAM_PREFIX: &str = "stream/";
/// How long an earlier place is waited for, in milliseconds.
const GAP_WAIT: Millis = 500;

/// What the row of a stream holds.  The claim comes last; see [`crate::daemon::marks`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StreamRow {
    sequence: u64,
    /// How long the marked request may at most still be in progress, in milliseconds.
    busy_ms: Millis,
    claim: u64,
}

/// What is known here of one stream.
#[derive(Debug, Default)]
pub struct Stream {
    known: Option<Known>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    /// The last place that was let through.
    last: u64,
    /// Whether the row was written by us, so that nobody else has one in progress.
    ours: bool,
    version: Option<Version>,
}

type Cell = Arc<AsyncMutex<Stream>>;

/// All streams that this instance serves.
#[derive(Default)]
pub struct Streams {
    streams: Mutex<HashMap<String, Cell>>,
    moved: Notify,
}

/// The right to send one request of a stream.
pub struct Turn {
    guard: OwnedMutexGuard<Stream>,
    key: String,
    before: u64,
}

impl Streams {
    fn cell(&self, key: &str) -> Cell {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(streams.entry(key.to_owned()).or_default())
    }
}

impl Instance {
    /// Waits for the turn of a request in its stream, and marks its place.
    ///
    /// # Errors
    /// [`Refusal::OrderPassed`], [`Refusal::OrderGap`] or [`Refusal::StoreUnavailable`];
    /// the request was not run then.
    pub async fn take_turn(&self, spec: &RequestSpec, deadline: Millis) -> Result<Turn, Refusal> {
        let Some(order) = &spec.order else {
            return Err(Refusal::Malformed);
        };
        let key = format!("{STREAM_PREFIX}{}/{}", spec.service, order.stream);
        let give_up_at = deadline.min(self.now() + GAP_WAIT);
        loop {
            let moved = self.streams.moved.notified();
            let mut guard = self.streams.cell(&key).lock_owned().await;
            self.learn(&key, &mut guard).await?;
            // A stream begins at place 1.
            let last = guard.known.map_or(0, |known| known.last);
            match order.sequence {
                place if place <= last => return Err(Refusal::OrderPassed),
                place if place > last + 1 => {
                    drop(guard);
                    self.wait_for_gap(moved, give_up_at).await?;
                }
                _ => {
                    let mut turn = Turn {
                        guard,
                        key,
                        before: last,
                    };
                    let busy = deadline.saturating_sub(self.now());
                    self.mark_place(&mut turn, order.sequence, busy).await?;
                    return Ok(turn);
                }
            }
        }
    }

    async fn wait_for_gap(
        &self,
        moved: impl Future<Output = ()>,
        give_up_at: Millis,
    ) -> Result<(), Refusal> {
        let now = self.now();
        if now >= give_up_at {
            return Err(Refusal::OrderGap);
        }
        let _ = tokio::time::timeout(Duration::from_millis(give_up_at - now), moved).await;
        Ok(())
    }

    /// Reads the row of a stream that is not known here yet.
    ///
    /// If another instance wrote it, its last request may still be in progress;
    /// that is waited out before anything of the stream is sent from here.
    async fn learn(&self, key: &str, stream: &mut Stream) -> Result<(), Refusal> {
        if stream
            .known
            .is_some_and(|known| known.ours || known.version.is_none())
        {
            return Ok(());
        }
        let rows = self.platform.store.read(vec![key.to_owned()]).await;
        let row = rows
            .map_err(|_| Refusal::StoreUnavailable)?
            .into_iter()
            .next()
            .flatten();
        let Some(row) = row else {
            stream.known = Some(Known {
                last: 0,
                ours: true,
                version: None,
            });
            return Ok(());
        };
        let parsed: StreamRow =
            serde_json::from_str(&row.value).map_err(|_| Refusal::StoreUnavailable)?;
        let drift = self.cfg.number("leases", "drift_permille");
        let wait = parsed.busy_ms + parsed.busy_ms * drift / 1000;
        tokio::time::sleep(Duration::from_millis(wait)).await;
        stream.known = Some(Known {
            last: parsed.sequence,
            ours: true,
            version: Some(row.version),
        });
        Ok(())
    }

    async fn mark_place(
        &self,
        turn: &mut Turn,
        sequence: u64,
        busy: Millis,
    ) -> Result<(), Refusal> {
        let claim = self.draw();
        let row = StreamRow {
            sequence,
            busy_ms: busy,
            claim,
        };
        let value = serde_json::to_string(&row).unwrap_or_default();
        let version = turn.guard.known.and_then(|known| known.version);
        let expect = version.map_or(Expect::Absent, Expect::Version);
        let op = Op::new(
            turn.key.clone(),
            expect,
            crate::backend::store::Change::Put(value),
        );
        let marked = self.marks.write(op, format!("\"claim\":{claim}}}")).await;
        // The version that the row got is learnt by reading it, and so is its
        // content if the mark was refused.
        turn.guard.known = None;
        marked.map_err(|refusal| match refusal {
            Refusal::AlreadyMarked => Refusal::OrderPassed,
            other => other,
        })?;
        let rows = self.platform.store.read(vec![turn.key.clone()]).await;
        let row = rows
            .map_err(|_| Refusal::StoreUnavailable)?
            .into_iter()
            .next()
            .flatten();
        let ours = row.filter(|row| row.value.ends_with(&format!("\"claim\":{claim}}}")));
        let row = ours.ok_or(Refusal::OrderPassed)?;
        turn.guard.known = Some(Known {
            last: sequence,
            ours: true,
            version: Some(row.version),
        });
        Ok(())
    }

    /// Ends a turn.  A place whose request was not run is free again here.
    pub fn end_turn(&self, mut turn: Turn, not_run: bool) {
        if not_run && let Some(known) = &mut turn.guard.known {
            known.last = turn.before;
        }
        drop(turn);
        self.streams.moved.notify_waiters();
    }
}
