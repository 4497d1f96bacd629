//! What each workspace has running, against its cap.
//!
//! A run is charged when its start is decided, and given back when nothing of it can go on: at its end,
//! when its lease is over, or with the life of its worker.  What a former owner may have left on a
//! worker that has not told yet is taken to be as much as the worker has room for (see "Workspaces"
//! in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::cell::roster::InheritedWork;
use crate::cell::spec::Demand;
use crate::cell::worker::Worker;
use crate::cell::{Cell, JobKey, StepKey, WorkspaceKey};
use crate::clock::Millis;
use crate::queue::Configuration;
use crate::workspace::Workspace;

/// What one workspace holds.
#[derive(Debug)]
struct Account {
    workspace: Workspace,
    /// By runs that go on or may.
    held: Demand,
    /// At most, by runs that we do not know of.
    unknown: Demand,
}

/// What all workspaces hold.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    accounts: SlotMap<WorkspaceKey, Account>,
    keys_by_name: BTreeMap<String, WorkspaceKey>,
}

impl Ledger {
    /// The account of a workspace, as described if it is new.
    pub(super) fn open_account(&mut self, workspace: &Workspace) -> WorkspaceKey {
        if let Some(&key) = self.keys_by_name.get(&workspace.name) {
            return key;
        }
        let key = self.accounts.insert(Account {
            workspace: workspace.clone(),
            held: Demand::default(),
            unknown: Demand::default(),
        });
        self.keys_by_name.insert(workspace.name.clone(), key);
        key
    }

    /// Caps and weights may have changed.  One that is not there any more keeps its last ones: what was
    /// accepted is kept.
    pub(super) fn configure(&mut self, config: &Configuration) {
        for account in self.accounts.values_mut() {
            if let Some(workspace) = config.workspace(&account.workspace.name) {
                account.workspace.clone_from(workspace);
            }
        }
    }

    /// A workspace as it is described.
    pub(super) fn workspace(&self, key: WorkspaceKey) -> &Workspace {
        &self.accounts[key].workspace
    }

    /// What a workspace holds.
    pub(super) fn held(&self, key: WorkspaceKey) -> Demand {
        self.accounts[key].held
    }

    /// A run takes this.
    pub(super) fn charge(&mut self, key: WorkspaceKey, demand: &Demand) {
        self.accounts[key].held.add(demand);
    }

    /// A run gives this back.
    pub(super) fn release(&mut self, key: WorkspaceKey, demand: &Demand) {
        let account = &mut self.accounts[key];
        account.held = account.held.minus(demand);
    }

    /// Tells whether a workspace may hold so much more.
    pub(super) fn admits(&self, key: WorkspaceKey, wanted: &Demand) -> bool {
        let account = &self.accounts[key];
        let all = account.held.plus(&account.unknown).plus(wanted);
        account.workspace.admits(&all)
    }

    fn clear_unknown(&mut self) {
        for account in self.accounts.values_mut() {
            account.unknown = Demand::default();
        }
    }

    /// Something may run in so much room for any workspace.
    fn add_unknown_to_all(&mut self, room: &Demand) {
        for account in self.accounts.values_mut() {
            account.unknown.add(room);
        }
    }

    /// Something may run in so much room for these.
    fn add_unknown(&mut self, keys: &[WorkspaceKey], room: &Demand) {
        for &key in keys {
            self.accounts[key].unknown.add(room);
        }
    }
}

/// Whose runs a worker may hold that we do not know of.
enum UnknownRuns {
    None,
    AnyWorkspace,
    Workspaces(Vec<WorkspaceKey>),
}

impl Cell {
    /// Tells whether so many more tasks of a step are within their workspace's cap.  They count in
    /// full, also the processors that fillers only borrow.
    pub(super) fn is_within_cap(&self, key: StepKey, tasks: u32) -> bool {
        let step = &self.steps[key];
        let Some(workspace) = self.jobs[step.job].workspace else {
            return true;
        };
        let wanted = step.step().demand.of_tasks(tasks);
        self.ledger.admits(workspace, &wanted)
    }

    /// Finds out what may run unknown to us, before anything is decided.
    pub(super) fn update_unknown_usage(&mut self, now: Millis) {
        self.ledger.clear_unknown();
        let mut any_workspace = Demand::default();
        for worker in self.workers.values() {
            let room = &worker.entry.capacity;
            match self.unknown_runs_on(worker, now) {
                UnknownRuns::None => {}
                UnknownRuns::AnyWorkspace => any_workspace.add(room),
                UnknownRuns::Workspaces(keys) => self.ledger.add_unknown(&keys, room),
            }
        }
        self.ledger.add_unknown_to_all(&any_workspace);
    }

    fn unknown_runs_on(&self, worker: &Worker, now: Millis) -> UnknownRuns {
        if worker.unknown_runs > 0 || !worker.unread_jobs.is_empty() {
            return UnknownRuns::AnyWorkspace;
        }
        if self.settled || worker.fenced || now >= worker.inherited_until {
            return UnknownRuns::None;
        }
        match &worker.inherited {
            None => UnknownRuns::None,
            Some(InheritedWork::Any) => UnknownRuns::AnyWorkspace,
            Some(InheritedWork::Jobs(jobs)) => {
                let known = |id| self.job_ids.get(id).map(|&key| self.jobs[key].workspace);
                let Some(workspaces) = jobs.iter().map(known).collect::<Option<Vec<_>>>() else {
                    return UnknownRuns::AnyWorkspace;
                };
                let mut keys: Vec<WorkspaceKey> = workspaces.into_iter().flatten().collect();
                keys.sort_unstable();
                keys.dedup();
                UnknownRuns::Workspaces(keys)
            }
        }
    }

    /// Counts all runs anew, and tells of how many workspaces the ledger says something else.
    pub fn ledger_errors(&self) -> usize {
        let mut counted: BTreeMap<WorkspaceKey, Demand> = BTreeMap::new();
        for run in self.runs.values() {
            let step = &self.steps[run.step];
            if let Some(key) = self.jobs[step.job].workspace {
                counted.entry(key).or_default().add(&step.step().demand);
            }
        }
        let differs = |(key, account): (WorkspaceKey, &Account)| {
            account.held != counted.get(&key).copied().unwrap_or_default()
        };
        self.ledger
            .accounts
            .iter()
            .filter(|&account| differs(account))
            .count()
    }

    /// The workspace of a job, if it has one.
    pub(super) fn workspace_of(&self, job: JobKey) -> Option<&Workspace> {
        let key = self.jobs[job].workspace?;
        Some(self.ledger.workspace(key))
    }
}
