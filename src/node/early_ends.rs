//! Early ends: ends of jobs that the owner has decided and could not record in the store yet.
//!
//! While the store is not available, workers keep the ends of runs, and the owner names the ended
//! jobs in its heartbeats.  As soon as another node knows of an end, it is shown to callers, since
//! a successor then learns of it from that node (see "Ends without the store" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use crate::cell::job::JobState;
use crate::cell::spec::JobId;
use crate::rpc::node::Heartbeat;
use crate::workspace::Caller;

/// The early ends that were reported to this node.
#[derive(Debug, Default)]
pub struct EarlyEnds {
    /// The epoch of the owner that reported them.
    epoch: u64,
    ends: Vec<(JobId, JobState)>,
    /// The workspaces of those jobs that belong to one.
    workspaces: BTreeMap<JobId, String>,
    /// The epoch of a later owner whose heartbeat was answered with these ends.
    answered_epoch: u64,
}

impl EarlyEnds {
    /// Applies an owner's heartbeat, which names all ends that the owner could not record yet.
    ///
    /// The ends from a former owner are kept through the first heartbeat of its successor, since
    /// the answer to that passes them on, and are replaced by the next one.
    pub fn apply_heartbeat(&mut self, beat: &Heartbeat) {
        if beat.epoch < self.epoch {
            return;
        }
        let may_not_know = beat.epoch > self.epoch && !self.ends.is_empty();
        if may_not_know && self.answered_epoch < beat.epoch {
            self.answered_epoch = beat.epoch;
            return;
        }
        self.epoch = beat.epoch;
        self.ends.clone_from(&beat.ends);
        self.workspaces = beat.workspaces.iter().cloned().collect();
    }

    /// Adds the workspaces of ended jobs as reported by another node.  Used on the owner.
    pub fn add_workspaces(&mut self, workspaces: &[(JobId, String)]) {
        self.workspaces.extend(workspaces.iter().cloned());
    }

    /// Returns the workspaces of the ended jobs, as far as they were reported.
    pub fn workspaces(&self) -> Vec<(JobId, String)> {
        let workspaces = self.workspaces.iter();
        workspaces.map(|(&id, name)| (id, name.clone())).collect()
    }

    /// Returns whether a caller may see the end of a job.  A job whose workspace was not reported
    /// counts as belonging to none.
    pub fn may_see(&self, caller: &Caller, id: JobId) -> bool {
        let workspace = self.workspaces.get(&id);
        workspace.is_none_or(|workspace| caller.may_see(Some(workspace)))
    }

    /// Returns the ends that the owner under `epoch` may not know of, since a former owner reported
    /// them.
    pub fn unknown_to(&self, epoch: u64) -> Vec<(JobId, JobState)> {
        if epoch > self.epoch {
            self.ends.clone()
        } else {
            Vec::new()
        }
    }

    /// Returns the final state of a job whose end was reported.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let found = self.ends.iter().find(|(job, _)| *job == id);
        found.map(|(_, state)| *state)
    }
}
