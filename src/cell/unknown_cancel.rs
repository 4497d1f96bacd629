//! Cancellations of jobs that are not known: their rows may still come.
//!
//! A caller that got no answer to a submission may cancel the job while the submission is still on its
//! way, in a node that stands still or in a transaction that the store does late.  So the cancellation
//! is recorded like that of a known job, and a row that comes later is that of an ended job ("What is
//! told, and what holds it" in `docs/DESIGN.md`).

use indexmap::IndexSet;

use crate::cell::job::{EndedJob, JobState};
use crate::cell::record::JobProgress;
use crate::cell::spec::JobId;
use crate::cell::task_set::TaskSet;
use crate::cell::{Cell, tuning};

/// The cancellations of unknown jobs that this owner keeps.
#[derive(Debug, Default)]
pub(super) struct UnknownCancels {
    /// All of them.
    kept: IndexSet<JobId>,
    /// Those that are not recorded yet.
    unrecorded: IndexSet<JobId>,
    /// Those that were recorded since this was last taken.
    recorded: Vec<JobId>,
}

impl UnknownCancels {
    /// Returns whether a cancellation waits to be recorded.
    pub(super) fn is_unrecorded(&self, id: JobId) -> bool {
        self.unrecorded.contains(&id)
    }

    /// Returns whether any cancellation waits to be recorded.
    pub(super) fn has_unrecorded(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    pub(super) fn mark_recorded(&mut self, id: JobId) {
        if self.unrecorded.swap_remove(&id) {
            self.recorded.push(id);
        }
    }

    pub(super) fn forget(&mut self, id: JobId) {
        self.kept.swap_remove(&id);
    }
}

impl Cell {
    /// Cancels a job that is not known for a caller of `workspace`.  Returns false if
    /// [`tuning::MAX_UNKNOWN_CANCELS`] are kept already: each has a row that a successor reads.
    pub fn cancel_unknown(&mut self, id: JobId, workspace: Option<String>) -> bool {
        if self.knows_job(id) {
            return true;
        }
        let cancels = &mut self.unknown_cancels;
        if cancels.kept.len() >= tuning::MAX_UNKNOWN_CANCELS {
            return false;
        }
        cancels.kept.insert(id);
        cancels.unrecorded.insert(id);
        let ended = EndedJob {
            state: JobState::Cancelled,
            workspace,
        };
        self.ended.insert(id, ended);
        true
    }

    /// Returns the rows of at most `most` cancellations that wait to be recorded.
    pub(super) fn unrecorded_cancels(&self, most: usize) -> Vec<(JobId, JobProgress)> {
        let ids = self.unknown_cancels.unrecorded.iter().take(most);
        let ended = ids.filter_map(|id| Some((*id, self.ended.get(id)?)));
        let rows = ended.map(|(id, ended)| {
            let progress = JobProgress {
                state: ended.state,
                tasks: Vec::new(),
                done: TaskSet::default(),
                record_starts_first: false,
                workspace: ended.workspace.clone(),
            };
            (id, progress)
        });
        rows.collect()
    }

    /// Returns the jobs whose cancellation was recorded since the last call, so that their rows are
    /// dropped in time.
    pub fn take_recorded_cancels(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.unknown_cancels.recorded)
    }
}
