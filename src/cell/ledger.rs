//! What the runs of each workspace hold, checked against its cap and used to divide contended
//! capacity (`cell::shares`).
//!
//! A run is charged to its workspace when its start is decided, and released when it can no longer
//! be running: at its end, when its lease has run out, or when the life of its worker has ended.  A
//! worker that has not reported yet may hold runs of a predecessor; these are taken to use the
//! worker's whole capacity (see "Workspaces" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::cell::roster::InheritedWork;
use crate::cell::shares::Claimant;
use crate::cell::spec::{Demand, Step};
use crate::cell::worker::Worker;
use crate::cell::{Cell, JobKey, StepKey, WorkspaceKey};
use crate::clock::Millis;
use crate::queue::Configuration;
use crate::workspace::Workspace;

/// Room that runs take on workers, by the priority of their jobs; there are no empty entries.
/// Fillers take less than their demand.
type HeldRoom = BTreeMap<u32, Demand>;

/// The usage of one workspace.
#[derive(Debug)]
struct Account {
    workspace: Workspace,
    /// The demand of all runs that are or may be going on.
    held: Demand,
    /// The room that these runs take on workers.
    room: HeldRoom,
    /// An upper bound on the demand of runs that this owner does not know of.
    unknown: Demand,
}

/// The usage of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    accounts: SlotMap<WorkspaceKey, Account>,
    keys_by_name: BTreeMap<String, WorkspaceKey>,
    /// The room that runs of jobs without a workspace take.
    public_room: HeldRoom,
}

impl Ledger {
    /// Returns the account of a workspace; a new one is opened with the description given.
    pub(super) fn open_account(&mut self, workspace: &Workspace) -> WorkspaceKey {
        if let Some(&key) = self.keys_by_name.get(&workspace.name) {
            return key;
        }
        let key = self.accounts.insert(Account {
            workspace: workspace.clone(),
            held: Demand::default(),
            room: HeldRoom::default(),
            unknown: Demand::default(),
        });
        self.keys_by_name.insert(workspace.name.clone(), key);
        key
    }

    /// Takes caps and weights from a new configuration.  A workspace that is no longer in it keeps
    /// its last ones, since its accepted jobs stay.
    pub(super) fn configure(&mut self, config: &Configuration) {
        for account in self.accounts.values_mut() {
            if let Some(workspace) = config.workspace(&account.workspace.name) {
                account.workspace.clone_from(workspace);
            }
        }
    }

    /// The description of a workspace, as last configured.
    pub(super) fn workspace(&self, key: WorkspaceKey) -> &Workspace {
        &self.accounts[key].workspace
    }

    /// The demand of the known runs of a workspace.
    pub(super) fn held(&self, key: WorkspaceKey) -> Demand {
        self.accounts[key].held
    }

    /// The room that the known runs of jobs without a workspace take.
    pub(super) fn public_room(&self) -> &HeldRoom {
        &self.public_room
    }

    /// All workspaces that had jobs under this owner, with their weights, the room that their known
    /// runs take, and their caps.
    pub(super) fn claimants(&self) -> impl Iterator<Item = (WorkspaceKey, Claimant<'_>)> {
        self.accounts.iter().map(|(key, account)| {
            let claimant = Claimant {
                weight: account.workspace.weight,
                held: &account.room,
                cap: account.workspace.cap,
            };
            (key, claimant)
        })
    }

    /// Charges a run of a step to a workspace, or to the jobs without one.
    pub(super) fn charge(&mut self, workspace: Option<WorkspaceKey>, priority: u32, spec: &Step) {
        if let Some(key) = workspace {
            self.accounts[key].held.add(&spec.demand);
        }
        if spec.room() != Demand::default() {
            let room = self.room_mut(workspace);
            room.entry(priority).or_default().add(&spec.room());
        }
    }

    /// Releases what a run of a step was charged with.
    pub(super) fn release(&mut self, workspace: Option<WorkspaceKey>, priority: u32, spec: &Step) {
        if let Some(key) = workspace {
            let account = &mut self.accounts[key];
            account.held = account.held.minus(&spec.demand);
        }
        let room = self.room_mut(workspace);
        if let Some(held) = room.get_mut(&priority) {
            *held = held.minus(&spec.room());
            if *held == Demand::default() {
                room.remove(&priority);
            }
        }
    }

    fn room_mut(&mut self, workspace: Option<WorkspaceKey>) -> &mut HeldRoom {
        match workspace {
            Some(key) => &mut self.accounts[key].room,
            None => &mut self.public_room,
        }
    }

    /// Returns whether `wanted` is within a workspace's cap beside its known and unknown runs.
    pub(super) fn admits(&self, key: WorkspaceKey, wanted: &Demand) -> bool {
        let account = &self.accounts[key];
        let all = account.held.plus(&account.unknown).plus(wanted);
        account.workspace.admits(&all)
    }

    /// What a workspace may still hold beside its known and unknown runs.
    pub(super) fn left(&self, key: WorkspaceKey) -> Demand {
        let account = &self.accounts[key];
        account
            .workspace
            .left_beside(&account.held.plus(&account.unknown))
    }

    fn clear_unknown(&mut self) {
        for account in self.accounts.values_mut() {
            account.unknown = Demand::default();
        }
    }

    /// Adds room in which runs of any workspace may be going on.
    fn add_unknown_to_all(&mut self, room: &Demand) {
        for account in self.accounts.values_mut() {
            account.unknown.add(room);
        }
    }

    /// Adds room in which runs of these workspaces may be going on.
    fn add_unknown(&mut self, keys: &[WorkspaceKey], room: &Demand) {
        for &key in keys {
            self.accounts[key].unknown.add(room);
        }
    }
}

/// The workspaces of which a worker may hold runs that this owner does not know of.
enum UnknownRuns {
    None,
    AnyWorkspace,
    Workspaces(Vec<WorkspaceKey>),
}

impl Cell {
    /// Returns whether so many more tasks of a step are within their workspace's cap.  Their full
    /// demand counts, also the processors of fillers, which take up no room on a worker.
    pub(super) fn is_within_cap(&self, key: StepKey, tasks: u32) -> bool {
        let step = &self.steps[key];
        let Some(workspace) = self.jobs[step.job].workspace else {
            return true;
        };
        let wanted = step.step().demand.of_tasks(tasks);
        self.ledger.admits(workspace, &wanted)
    }

    /// Recomputes what unknown runs of each workspace may hold; called before a round decides
    /// anything.
    pub(super) fn update_unknown_usage(&mut self, now: Millis) {
        self.ledger.clear_unknown();
        let mut any_workspace_room = Demand::default();
        for worker in self.workers.values() {
            let room = &worker.entry.capacity;
            match self.unknown_runs_on(worker, now) {
                UnknownRuns::None => {}
                UnknownRuns::AnyWorkspace => any_workspace_room.add(room),
                UnknownRuns::Workspaces(keys) => self.ledger.add_unknown(&keys, room),
            }
        }
        self.ledger.add_unknown_to_all(&any_workspace_room);
    }

    /// Finds the workspaces that may have runs on a worker of which this owner does not know.
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

    /// Recounts all runs, and returns for how many workspaces the ledger differs from that count.
    /// Jobs without a workspace count as one more.
    pub fn ledger_errors(&self) -> usize {
        let mut counted: BTreeMap<WorkspaceKey, Demand> = BTreeMap::new();
        for run in self.runs.values() {
            let step = &self.steps[run.step];
            if let Some(key) = self.jobs[step.job].workspace {
                counted.entry(key).or_default().add(&step.step().demand);
            }
        }
        let rooms = self.count_room();
        let differs = |(key, account): (WorkspaceKey, &Account)| {
            account.held != counted.get(&key).copied().unwrap_or_default()
                || account.room != rooms.get(&Some(key)).cloned().unwrap_or_default()
        };
        let accounts = self.ledger.accounts.iter();
        let errors = accounts.filter(|&account| differs(account)).count();
        let public_room = rooms.get(&None).cloned().unwrap_or_default();
        errors + usize::from(self.ledger.public_room != public_room)
    }

    /// Counts the room that all runs take, by workspace and priority.
    fn count_room(&self) -> BTreeMap<Option<WorkspaceKey>, HeldRoom> {
        let mut rooms: BTreeMap<Option<WorkspaceKey>, HeldRoom> = BTreeMap::new();
        for run in self.runs.values() {
            let step = &self.steps[run.step];
            let (job, room) = (&self.jobs[step.job], step.step().room());
            if room != Demand::default() {
                let held = rooms.entry(job.workspace).or_default();
                held.entry(job.decision.priority).or_default().add(&room);
            }
        }
        rooms
    }

    /// Charges all runs again after the priorities of their jobs may have changed.
    pub(super) fn recharge_room(&mut self) {
        let mut rooms = self.count_room();
        self.ledger.public_room = rooms.remove(&None).unwrap_or_default();
        for (key, account) in &mut self.ledger.accounts {
            account.room = rooms.remove(&Some(key)).unwrap_or_default();
        }
    }

    /// The workspace of a job, if it has one.
    pub(super) fn workspace_of(&self, job: JobKey) -> Option<&Workspace> {
        let key = self.jobs[job].workspace?;
        Some(self.ledger.workspace(key))
    }
}
