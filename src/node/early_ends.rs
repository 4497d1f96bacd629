//! Ends that an owner has decided and that the store could not take yet.
//!
//! While the store is away, the workers keep the ends of runs and the owner tells the
//! other nodes which jobs are over.  As soon as one of them knows, the end is shown:
//! a successor learns of it from any node (see "Ends without the store" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use crate::cell::job::JobState;
use crate::cell::spec::JobId;
use crate::rpc::node::Heartbeat;
use crate::workspace::Caller;

/// The ends that a node was told of.
#[derive(Debug, Default)]
pub struct EarlyEnds {
    /// The epoch of the owner that told of them.
    epoch: u64,
    ends: Vec<(JobId, JobState)>,
    /// Whose those jobs are, of those that belong to a workspace.
    workspaces: BTreeMap<JobId, String>,
    /// The epoch of a later owner that has been told of them.
    answered_epoch: u64,
}

impl EarlyEnds {
    /// Takes in an owner's heartbeat, which names all ends that it could not record.
    ///
    /// What a former owner told is kept until its successor has had an answer from us.
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

    /// Another node tells whose jobs have ended, to the owner.
    pub fn add_workspaces(&mut self, workspaces: &[(JobId, String)]) {
        self.workspaces.extend(workspaces.iter().cloned());
    }

    /// Whose these jobs are, as far as we were told.
    pub fn workspaces(&self) -> Vec<(JobId, String)> {
        let workspaces = self.workspaces.iter();
        workspaces.map(|(&id, name)| (id, name.clone())).collect()
    }

    /// Tells whether a caller may know of a job's end, as far as we were told whose it is.
    pub fn may_see(&self, caller: &Caller, id: JobId) -> bool {
        let workspace = self.workspaces.get(&id);
        workspace.is_none_or(|workspace| caller.may_see(Some(workspace)))
    }

    /// The ends that the owner under `epoch` may not know of.
    pub fn unknown_to(&self, epoch: u64) -> Vec<(JobId, JobState)> {
        if epoch > self.epoch {
            self.ends.clone()
        } else {
            Vec::new()
        }
    }

    /// The end of a job, if we were told of one.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let found = self.ends.iter().find(|(job, _)| *job == id);
        found.map(|(_, state)| *state)
    }
}
