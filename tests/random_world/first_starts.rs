//! How long urgent jobs wait for their first start after a change of owner, in virtual time.
//!
//! What counts:
//!
//! - A change of owner is each claim during the play.  The first owner, which has no predecessor,
//!   claims the cell before it.
//! - A job counts if its queue is [`URGENT_QUEUE`], and if it waits when an owner claims the cell or
//!   is submitted within [`AFTER_CLAIM`] of that.  A job waits as long as no owner has sent a start
//!   of any of its tasks and no owner has decided its cancellation.
//! - Its wait lasts from the claim, or from its submission if that is later, until an owner sends
//!   the first start of any of its tasks, whether or not that start reaches its worker.
//! - A wait that another claim cuts off is left out, and the next one begins at that claim.  So a
//!   job gives at most one wait with a first start, which is the one under the last claim before it.
//! - A job whose cancellation is decided before its first start is left out, even if the decision
//!   is lost with its owner.  A cancellation that the owner answers with "unknown", since it has not
//!   read the job's row yet, changes nothing.
//!
//! Nothing here draws random numbers, so the play of a seed does not depend on it.

use std::collections::BTreeMap;

use crossweir::cell::order::StartOrder;
use crossweir::cell::record::JobRow;
use crossweir::cell::spec::JobId;
use crossweir::clock::Millis;

use super::{MAX_MESSAGE_DELAY, MAX_POLL_HOLD, TICK};

/// The queue of the urgent jobs.
pub(super) const URGENT_QUEUE: &str = "urgent";
/// How long after a claim a submitted job still counts.
const AFTER_CLAIM: Millis = 3_000;

/// The longest time from the sending of a poll to the scheduling round that follows its answer, if
/// nothing is lost: the call and the answer may be delayed, and the worker may hold the poll open.
pub const MAX_HEARING_TIME: Millis = MAX_MESSAGE_DELAY + MAX_POLL_HOLD + MAX_MESSAGE_DELAY + TICK;

/// The first start of an urgent job that waited over a change of owner or came soon after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstStart {
    /// From the claim, or from the submission if that was later, to the sending of the start.
    pub wait: Millis,
    /// The job was there when the owner claimed the cell, so that a former owner may have known it.
    pub predates_claim: bool,
    /// The start was recorded before it was sent.
    pub recorded_first: bool,
}

/// A wait that counts and has not ended.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Millis,
    /// It began with a claim, and not with the submission of the job.
    predates_claim: bool,
}

/// The first starts of urgent jobs after changes of owner, and the jobs that still wait for one.
#[derive(Debug, Default)]
pub struct FirstStarts {
    /// The waits of urgent jobs; `None` for a job that was submitted later after a claim than
    /// [`AFTER_CLAIM`].
    waits: BTreeMap<JobId, Option<Wait>>,
    /// When the last owner claimed the cell.
    claimed: Option<Millis>,
    sent: Vec<FirstStart>,
    cut_off: usize,
}

impl FirstStarts {
    /// The first starts, in the order in which they were sent.
    pub fn sent(&self) -> &[FirstStart] {
        &self.sent
    }

    /// How many waits were cut off by another claim.
    pub fn cut_off(&self) -> usize {
        self.cut_off
    }

    /// Notes that an owner has claimed the cell, and begins the wait of each waiting job anew.
    pub(super) fn note_claim(&mut self, now: Millis) {
        self.claimed = Some(now);
        let anew = Wait {
            since: now,
            predates_claim: true,
        };
        for wait in self.waits.values_mut() {
            if wait.replace(anew).is_some() {
                self.cut_off += 1;
            }
        }
    }

    /// Notes that a job was submitted and stored.
    pub(super) fn note_submission(&mut self, row: &JobRow, now: Millis) {
        if row.queue.name != URGENT_QUEUE {
            return;
        }
        let follows_claim = self.claimed.is_some_and(|at| now <= at + AFTER_CLAIM);
        let wait = Wait {
            since: now,
            predates_claim: false,
        };
        self.waits.insert(row.id, follows_claim.then_some(wait));
    }

    /// Notes that an owner has decided the cancellation of a job.
    pub(super) fn note_cancellation(&mut self, id: JobId) {
        self.waits.remove(&id);
    }

    /// Notes that an owner has sent a start.
    pub(super) fn note_start(&mut self, order: &StartOrder, recorded_first: bool, now: Millis) {
        let Some(Some(wait)) = self.waits.remove(&order.task.step.job) else {
            return;
        };
        self.sent.push(FirstStart {
            wait: now - wait.since,
            predates_claim: wait.predates_claim,
            recorded_first,
        });
    }
}
