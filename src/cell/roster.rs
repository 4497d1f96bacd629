//! The roster: on which workers something may run, for a successor to know.
//!
//! A successor may start a task of a job that it found only when no run of it can go on
//! elsewhere.  It learns that from the workers, once they answer under its epoch.  For
//! one that was silent already, the roster names the jobs that it may still run, so that
//! all others need not wait for it (see "Ownership" in `docs/DESIGN.md`).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::cell::job::StepRun;
use crate::cell::life::FormerLives;
use crate::cell::lost::LostLife;
use crate::cell::spec::JobId;
use crate::cell::worker::{Worker, WorkerEntry};
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// One worker of the recorded roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The worker.
    #[serde(flatten)]
    pub worker: WorkerEntry,
    /// The only jobs of which something may run there; none if it may be any.  The owner
    /// starts nothing there before it has recorded an entry without this.
    #[serde(default)]
    pub jobs: Option<Vec<JobId>>,
    /// What runs there may have the longest lease instead of the owner's.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub long_lease: bool,
    /// A life of it is over on which starts may be forgotten.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<LostLife>,
}

/// What has changed of one worker in the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterChange {
    /// The worker's id.
    pub id: String,
    /// Its entry; none if it is not in the roster any more.
    pub entry: Option<RosterEntry>,
}

/// How a worker stands in the roster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RosterState {
    /// It is not in it: nothing runs there.
    #[default]
    Absent,
    /// Anything may run there.
    AnyJob,
    /// Only the jobs that are named may run there.
    NamedJobs,
}

/// What a former owner may have left on a worker that has not answered us yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InheritedWork {
    /// Tasks of any job.
    Any,
    /// Tasks of these jobs.
    Jobs(Vec<JobId>),
}

/// Jobs of which a former owner may have left runs that we do not know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnsettledJobs {
    /// Any job that it knew.
    Any,
    /// Only these.
    Jobs(BTreeSet<JobId>),
}

impl UnsettledJobs {
    /// Tells whether runs of the job may go on unknown to us.
    pub fn contains(&self, id: JobId) -> bool {
        match self {
            Self::Any => true,
            Self::Jobs(jobs) => jobs.contains(&id),
        }
    }
}

impl Cell {
    /// The version of the roster, and its entries by id.  A successor must hear from each
    /// worker, or wait its lease out.
    pub fn roster(&self) -> (u64, Vec<RosterEntry>) {
        let workers = self.workers.values();
        let listed = workers.filter(|worker| worker.roster_state != RosterState::Absent);
        let present = listed.map(|worker| self.roster_entry(worker));
        let lost = self.lost_entries(|id| self.is_in_roster(id)).cloned();
        let mut entries: Vec<RosterEntry> = present.chain(lost).collect();
        entries.sort_unstable_by(|a, b| a.worker.life.id.cmp(&b.worker.life.id));
        (self.roster_version, entries)
    }

    /// The version of the roster, and what has changed in it since that was last asked.  At any
    /// moment few workers change, so that a change costs no look at all others.
    pub fn take_roster_changes(&mut self) -> (u64, Vec<RosterChange>) {
        let changed = std::mem::take(&mut self.roster_changes);
        let changes = changed.into_iter().map(|id| RosterChange {
            entry: self.roster_entry_of(&id),
            id,
        });
        (self.roster_version, changes.collect())
    }

    fn roster_entry_of(&self, id: &str) -> Option<RosterEntry> {
        if !self.is_in_roster(id) {
            return self.lost_entry_of(id).cloned();
        }
        let worker = &self.workers[*self.worker_ids.get(id)?];
        Some(self.roster_entry(worker))
    }

    /// Tells whether the present life of a worker is in the roster.
    fn is_in_roster(&self, id: &str) -> bool {
        let worker = self.worker_ids.get(id).map(|&key| &self.workers[key]);
        worker.is_some_and(|worker| worker.roster_state != RosterState::Absent)
    }

    fn roster_entry(&self, worker: &Worker) -> RosterEntry {
        RosterEntry {
            worker: worker.entry.clone(),
            jobs: self.named_jobs(worker),
            long_lease: worker.has_long_lease,
            lost: self
                .lost_entry_of(&worker.entry.life.id)
                .map(|_| LostLife::Former),
        }
    }

    fn named_jobs(&self, worker: &Worker) -> Option<Vec<JobId>> {
        if worker.roster_state != RosterState::NamedJobs {
            return None;
        }
        if let (false, Some(InheritedWork::Jobs(jobs))) = (worker.fenced, &worker.inherited) {
            return Some(jobs.clone());
        }
        let mut jobs: Vec<JobId> = worker
            .runs
            .iter()
            .map(|&run| self.steps[self.runs[run].step].name.job)
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        Some(jobs)
    }

    /// The version of the roster.
    pub fn roster_version(&self) -> u64 {
        self.roster_version
    }

    /// The roster of this version is durable; the workers in it may be used.
    pub fn mark_roster_recorded(&mut self, version: u64) {
        self.recorded_roster_version = self.recorded_roster_version.max(version);
    }

    /// Brings the roster up to date.
    pub(super) fn update_roster(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            let has_long_lease = now < worker.long_lease_until;
            if has_long_lease != worker.has_long_lease {
                worker.has_long_lease = has_long_lease;
                self.roster_version += 1;
                self.roster_changes.insert(worker.entry.life.id.clone());
                if has_long_lease {
                    // Nothing starts there before a successor would know.
                    worker.roster_state_version = self.roster_version;
                }
            }
            let wanted = target_roster_state(worker, self.settled, now);
            if wanted == worker.roster_state {
                continue;
            }
            self.roster_version += 1;
            self.roster_changes.insert(worker.entry.life.id.clone());
            worker.roster_state = wanted;
            worker.roster_state_version = self.roster_version;
        }
    }

    /// A former owner may have used these workers.
    pub fn restore_roster(&mut self, entries: Vec<RosterEntry>, now: Millis) {
        for entry in entries {
            if entry.lost.is_some() {
                self.inherit_lost_life(&entry);
            }
            if entry.lost == Some(LostLife::This) {
                continue;
            }
            let RosterEntry {
                worker,
                jobs,
                long_lease,
                ..
            } = entry;
            let id = worker.life.id.clone();
            self.list_worker(worker, now);
            if let Some(&key) = self.worker_ids.get(&id) {
                let worker = &mut self.workers[key];
                // What is recorded stays so until we have looked: a roster that we record
                // before, or as we give the cell up, must not leave the worker out.
                worker.roster_state = match jobs {
                    Some(_) => RosterState::NamedJobs,
                    None => RosterState::AnyJob,
                };
                worker.inherited = Some(jobs.map_or(InheritedWork::Any, InheritedWork::Jobs));
                if long_lease {
                    worker.long_lease_until = now + FormerLives::LONGEST_LEASE;
                }
            }
        }
    }

    /// Tells whether a task may be placed on a worker at all: a successor would know.
    pub(super) fn takes_work(&self, key: WorkerKey, now: Millis) -> bool {
        !self.awaits_worker_list
            && self.workers.get(key).is_some_and(|worker| {
                let recorded = worker.roster_state_version <= self.recorded_roster_version;
                worker.roster_state == RosterState::AnyJob && recorded && worker.takes_work(now)
            })
            && self.is_hall_open(key)
    }

    /// Tells whether tasks may be placed on a worker now or in a while.
    pub(super) fn will_take_work(&self, key: WorkerKey, now: Millis) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            let leaves = worker.entry.leaving.is_some() || worker.is_gone(now);
            let is_sound = !worker.entry_outdated && !worker.parked;
            let stays = !leaves && is_sound && worker.quarantined_until <= now;
            worker.roster_state == RosterState::AnyJob && stays && !worker.has_uncertain_life()
        }) && self.is_hall_open(key)
    }

    /// From here on the tasks of jobs that a former owner knew may start: it has no
    /// run left that we do not know of.
    pub(super) fn settle(&mut self, now: Millis) {
        if self.settled {
            return;
        }
        self.unsettled = self.find_unsettled(now);
        let fenced = self.unsettled == UnsettledJobs::Jobs(BTreeSet::new());
        if !fenced && now < self.latest_settle_deadline() {
            return;
        }
        self.settled = true;
        let workers = self.workers.iter();
        let unheard = workers.filter(|(_, worker)| !worker.fenced && worker.inherited.is_some());
        for key in unheard.map(|(key, _)| key).collect::<Vec<_>>() {
            self.keep_lost_life(key);
        }
        self.unsettled = UnsettledJobs::Jobs(BTreeSet::new());
        tracing::info!(epoch = self.epoch, fenced, "ownership settled");
        self.break_partial_gangs(now);
    }

    /// By when what a former owner has left anywhere is over, also where it had the longest lease.
    fn latest_settle_deadline(&self) -> Millis {
        let unheard = self.workers.values().filter(|worker| !worker.fenced);
        let longest = unheard.map(|worker| worker.long_lease_until).max();
        longest.unwrap_or_default().max(self.settle_deadline)
    }

    fn find_unsettled(&self, now: Millis) -> UnsettledJobs {
        let mut unsettled = BTreeSet::new();
        let unheard = |worker: &&Worker| !worker.fenced && now < worker.inherited_until;
        for worker in self.workers.values().filter(unheard) {
            match &worker.inherited {
                Some(InheritedWork::Any) => return UnsettledJobs::Any,
                Some(InheritedWork::Jobs(jobs)) => unsettled.extend(jobs),
                None => {}
            }
        }
        UnsettledJobs::Jobs(unsettled)
    }

    /// Tells whether tasks of a step must wait since a former owner may still run them, or
    /// has run them to their end.
    pub(super) fn is_unsettled(&self, step: &StepRun, awaiting_look: &UnsettledJobs) -> bool {
        let id = step.name.job;
        let predates = self.jobs[step.job].predates;
        predates && (self.unsettled.contains(id) || awaiting_look.contains(id))
    }

    /// Jobs of which some worker listed runs or ends when they were not read yet, or may have
    /// some that it has never listed: the next look at that worker takes them in.
    pub(super) fn jobs_awaiting_look(&self) -> UnsettledJobs {
        let mut jobs = BTreeSet::new();
        for worker in self.workers.values() {
            if worker.more_ends && !worker.listed_whole {
                return UnsettledJobs::Any;
            }
            jobs.extend(&worker.unread_jobs);
        }
        UnsettledJobs::Jobs(jobs)
    }

    /// A former owner's gang that is not whole is stopped.
    fn break_partial_gangs(&mut self, now: Millis) {
        let partial: Vec<StepKey> = self
            .steps
            .iter()
            .filter(|(_, step)| step.step().gang && step.open > 0)
            .filter(|(_, step)| {
                let running = step.tasks.iter().filter(|t| !t.runs.is_empty()).count();
                running > 0 && running < step.tasks.len()
            })
            .map(|(key, _)| key)
            .collect();
        for key in partial {
            self.stop_step(key, now, "gang is not whole");
        }
    }
}

fn target_roster_state(worker: &Worker, settled: bool, now: Millis) -> RosterState {
    if worker.parked {
        return RosterState::Absent;
    }
    if !worker.fenced && !settled {
        // What a former owner left there is known only as far as it was recorded.
        return match &worker.inherited {
            Some(InheritedWork::Jobs(_)) => RosterState::NamedJobs,
            Some(InheritedWork::Any) => RosterState::AnyJob,
            None if worker.may_hold_work(now) => RosterState::AnyJob,
            None => RosterState::Absent,
        };
    }
    if !worker.may_hold_work(now) {
        return RosterState::Absent;
    }
    let silent_for = worker.silent_since.map(|since| now.saturating_sub(since));
    let known = worker.fenced && worker.unknown_runs == 0 && !worker.has_unrecorded_ends();
    if known && silent_for.is_some_and(|time| time >= tuning::NAME_JOBS_AFTER) {
        RosterState::NamedJobs
    } else {
        RosterState::AnyJob
    }
}
