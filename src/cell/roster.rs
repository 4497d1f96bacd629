//! The roster: a record, for the next owner of the cell, of the workers on which something may run.
//!
//! A successor may start a task of a job that it inherits only when no run of that task can be
//! going on elsewhere.  It learns that from the workers, once they answer under its epoch.  For a
//! worker that is silent already, the roster names the jobs that may still run there, so that other
//! jobs need not wait for it (see "Ownership" in `docs/DESIGN.md`).

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
    /// The worker's entry in the platform's list.
    #[serde(flatten)]
    pub worker: WorkerEntry,
    /// The only jobs of which something may run there; `None` if it may be any job.  While an entry
    /// names jobs the owner starts nothing there: it records one with `None` first.
    #[serde(default)]
    pub jobs: Option<Vec<JobId>>,
    /// What runs there may have the longest lease that a worker gives, instead of the owner's.
    /// `None` if that does not matter, since the life has ended, or is not known: a former version did
    /// not tell it of a life that it had not heard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_lease: Option<bool>,
    /// Set if a life of the worker has ended on which a former owner may have started tasks without
    /// recording that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<LostLife>,
}

/// A change of one worker's entry in the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterChange {
    /// The worker's id.
    pub id: String,
    /// The new entry; `None` if the worker has left the roster.
    pub entry: Option<RosterEntry>,
}

/// How a worker stands in the roster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RosterState {
    /// Not listed: nothing runs there.
    #[default]
    Absent,
    /// Listed without jobs: tasks of any job may run there.
    AnyJob,
    /// Listed with jobs: only tasks of those may run there.
    NamedJobs,
}

/// What a former owner may have left running on a worker that has not answered this owner yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InheritedWork {
    /// Tasks of any job.
    Any,
    /// Tasks of these jobs.
    Jobs(Vec<JobId>),
}

/// Jobs that may have runs or ends which this owner does not know of yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnsettledJobs {
    /// Any job that a former owner knew.
    Any,
    /// Only these.
    Jobs(BTreeSet<JobId>),
}

impl UnsettledJobs {
    /// Returns whether the job may have runs or ends that this owner does not know of.
    pub fn contains(&self, id: JobId) -> bool {
        match self {
            Self::Any => true,
            Self::Jobs(jobs) => jobs.contains(&id),
        }
    }
}

impl Cell {
    /// Returns the version of the roster and its entries, sorted by id.  A successor must hear from
    /// each of these workers, or wait until its lease has run out.
    pub fn roster(&self) -> (u64, Vec<RosterEntry>) {
        let workers = self.workers.values();
        let listed = workers.filter(|worker| worker.roster_state != RosterState::Absent);
        let present = listed.map(|worker| self.roster_entry(worker));
        let lost = self.ended_entries(|id| self.is_in_roster(id)).cloned();
        let mut entries: Vec<RosterEntry> = present.chain(lost).collect();
        entries.sort_unstable_by(|a, b| a.worker.life.id.cmp(&b.worker.life.id));
        (self.roster_version, entries)
    }

    /// Returns the version of the roster, and its changes since the last call.  Few workers change
    /// at a time, so this avoids going over all the others.
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
            return self.ended_entry_of(id).cloned();
        }
        let worker = &self.workers[*self.worker_ids.get(id)?];
        Some(self.roster_entry(worker))
    }

    /// Returns whether the present life of a worker is in the roster.
    fn is_in_roster(&self, id: &str) -> bool {
        let worker = self.worker_ids.get(id).map(|&key| &self.workers[key]);
        worker.is_some_and(|worker| worker.roster_state != RosterState::Absent)
    }

    fn roster_entry(&self, worker: &Worker) -> RosterEntry {
        RosterEntry {
            worker: worker.entry.clone(),
            jobs: self.named_jobs(worker),
            long_lease: Some(worker.may_have_long_lease),
            lost: self
                .ended_entry_of(&worker.entry.life.id)
                .map(|_| LostLife::Former),
        }
    }

    /// Returns the jobs that the entry of a worker names; none if anything may run there.
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

    /// Returns the version of the roster, which rises with each change.
    pub fn roster_version(&self) -> u64 {
        self.roster_version
    }

    /// Records that the roster of this version is durable, so that the workers in it may be used.
    pub fn mark_roster_recorded(&mut self, version: u64) {
        self.recorded_roster_version = self.recorded_roster_version.max(version);
    }

    /// Updates how each worker stands in the roster.
    pub(super) fn update_roster(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.end_long_lease(now);
            let target = target_roster_state(worker, self.settled, now);
            let long_lease = target != RosterState::Absent && worker.may_have_long_lease;
            let is_changed = target != worker.roster_state;
            if !is_changed && long_lease == worker.lists_long_lease {
                continue;
            }
            self.roster_version += 1;
            self.roster_changes.insert(worker.entry.life.id.clone());
            worker.roster_state = target;
            worker.lists_long_lease = long_lease;
            if is_changed || long_lease {
                // Nothing is started there before this is recorded for a successor.
                worker.roster_state_version = self.roster_version;
            }
        }
    }

    /// Takes over the recorded roster of the former owner, which may have used these workers.
    pub fn restore_roster(&mut self, entries: Vec<RosterEntry>, now: Millis) {
        for entry in entries {
            self.former_lives_may_recur |= entry.worker.life.may_recur();
            if entry.lost.is_some() {
                self.inherit_ended_life(&entry);
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
            let life = worker.life.clone();
            self.list_worker(worker, now);
            if let Some(&key) = self.worker_ids.get(&life.id) {
                let worker = &mut self.workers[key];
                // The recorded state stays until the worker has answered: a roster that this owner
                // records before that, or when it gives up the cell, must not leave the worker out.
                worker.roster_state = match jobs {
                    Some(_) => RosterState::NamedJobs,
                    None => RosterState::AnyJob,
                };
                worker.inherited = Some(jobs.map_or(InheritedWork::Any, InheritedWork::Jobs));
                let is_ruled_out = long_lease == Some(false) && worker.entry.life == life;
                worker.may_have_long_lease &= !is_ruled_out;
                worker.lists_long_lease = worker.may_have_long_lease;
                if worker.may_have_long_lease {
                    worker.long_lease_until = now + FormerLives::MAX_LEASE;
                }
            }
        }
    }

    /// Returns whether tasks may be placed on a worker now.  It must be in the recorded roster, so
    /// that a successor would know of them.
    pub(super) fn takes_work(&self, key: WorkerKey, now: Millis) -> bool {
        !self.awaits_worker_list
            && self.workers.get(key).is_some_and(|worker| {
                let recorded = worker.roster_state_version <= self.recorded_roster_version;
                worker.roster_state == RosterState::AnyJob && recorded && worker.takes_work(now)
            })
            && self.is_hall_open(key)
    }

    /// Returns whether tasks may be placed on a worker now or soon.
    pub(super) fn will_take_work(&self, key: WorkerKey, now: Millis) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            let leaves = worker.entry.leaving.is_some() || worker.is_gone(now);
            let is_sound = !worker.entry_outdated && !worker.parked;
            let stays = !leaves && is_sound && worker.quarantined_until <= now;
            worker.roster_state == RosterState::AnyJob && stays && !worker.has_uncertain_life()
        }) && self.is_hall_open(key)
    }

    /// Waits for the former owners to stop before their leases count as running out.
    pub fn await_former_owners(&mut self) {
        self.settle_deadline = Millis::MAX;
        self.former_orders_end = Millis::MAX;
    }

    /// Sets whether a former owner may go on for long without the store.  One that may not has
    /// stopped soon after the claim, unless all its voters answer it.
    pub fn set_former_owner_may_go_on(&mut self, may_go_on: bool) {
        self.former_owner_may_go_on = may_go_on;
    }

    /// Returns whether no run of a former owner can be left that this one does not know of.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Notes that all changes of the workers' entries until `at` are applied.
    pub fn note_entries_read(&mut self, at: Millis) {
        self.entry_reads.note(at);
    }

    /// Notes that the workers' entries could not be read.
    pub fn note_entries_unread(&mut self) {
        self.entry_reads.fail();
    }

    /// Returns whether nothing of a former owner is left on a worker: its entry is missing, and
    /// leases of an owner that stopped at the claim have run out.
    fn is_presumed_gone(&self, worker: &Worker, now: Millis) -> bool {
        let lease_end = self.prompt_settle_time.max(worker.long_lease_until);
        !self.former_owner_may_go_on
            && now >= lease_end
            && self.is_entry_gone(worker)
            && self.silence_evidence(worker, lease_end).is_some()
    }

    /// Returns until when the last order of a former owner may bind, whatever life it was meant for.
    pub(super) fn former_leases_end(&self) -> Millis {
        self.former_orders_end
            .saturating_add(FormerLives::MAX_LEASE)
    }

    /// Returns until when something of a former owner may run on a worker that this one has not
    /// reached: an order that was meant for a former life can still give it the longest lease, unless
    /// the roster rules that out for the life that the platform lists.
    pub(super) fn inherited_lease_end(&self, worker: &Worker) -> Millis {
        match worker.may_have_long_lease || worker.next.is_some() {
            true => self.former_leases_end(),
            false => self.settle_deadline,
        }
    }

    /// Notes that no former owner has given orders or renewed leases since `at`.
    pub fn note_former_owners_stopped(&mut self, at: Millis) {
        let settled = at + tuning::LEASE_WINDOW + tuning::LEASE_MARGIN;
        self.settle_deadline = self.settle_deadline.min(settled);
        self.former_orders_end = self.former_orders_end.min(at + tuning::MAX_ORDER_DELAY);
    }

    /// Settles the ownership once no run of a former owner can be left that this one does not know
    /// of: from then on the tasks of jobs that the former owner knew may start.
    pub(super) fn settle(&mut self, now: Millis) {
        if self.settled {
            return;
        }
        self.unsettled = self.find_unsettled(now);
        if self.unsettled != UnsettledJobs::Jobs(BTreeSet::new()) {
            return;
        }
        self.settled = true;
        let workers = self.workers.iter();
        let unreached = workers.filter(|(_, worker)| !worker.fenced && worker.inherited.is_some());
        let unreached: Vec<WorkerKey> = unreached.map(|(key, _)| key).collect();
        let fenced = unreached.is_empty();
        for key in unreached {
            self.keep_ended_life(key);
        }
        tracing::info!(epoch = self.epoch, fenced, "ownership settled");
        self.break_partial_gangs(now);
    }

    /// Returns until when something of a former owner may run on a worker that has not answered this
    /// one.
    pub(super) fn unreached_until(&self, worker: &Worker) -> Millis {
        worker.inherited_until.min(self.inherited_lease_end(worker))
    }

    /// Returns whether everything that a former owner has left on an unreached worker is over, and
    /// there is no evidence yet that this owner misses no end that the worker tells.
    pub(super) fn holds_up_settling(&self, worker: &Worker, now: Millis) -> bool {
        let until = self.unreached_until(worker);
        let is_over = now >= until;
        let is_inherited = !worker.fenced && worker.inherited.is_some();
        is_inherited
            && is_over
            && self
                .silence_evidence(worker, until.saturating_sub(1))
                .is_none()
    }

    /// Returns the jobs of which a former owner may still run something on workers that have not
    /// answered this owner.
    fn find_unsettled(&self, now: Millis) -> UnsettledJobs {
        let mut unsettled = BTreeSet::new();
        let is_unsettled = |worker: &&Worker| {
            let may_run_on = now < self.unreached_until(worker);
            let is_open = may_run_on || self.holds_up_settling(worker, now);
            !worker.fenced && is_open && !self.is_presumed_gone(worker, now)
        };
        for worker in self.workers.values().filter(is_unsettled) {
            match &worker.inherited {
                Some(InheritedWork::Any) => return UnsettledJobs::Any,
                Some(InheritedWork::Jobs(jobs)) => unsettled.extend(jobs),
                None => {}
            }
        }
        UnsettledJobs::Jobs(unsettled)
    }

    /// Returns whether tasks of a step must wait, since runs that a former owner started may still
    /// be going on, or may have ended unnoticed.  `awaiting_poll` comes from
    /// [`Cell::jobs_awaiting_poll`].
    pub(super) fn is_unsettled(&self, step: &StepRun, awaiting_poll: &UnsettledJobs) -> bool {
        let id = step.name.job;
        let predates = self.jobs[step.job].predates_ownership;
        predates && (self.unsettled.contains(id) || awaiting_poll.contains(id))
    }

    /// Returns the jobs of which some worker listed runs or ends before they had been read, or may
    /// have ends that did not fit into its list yet: the next poll of that worker brings them.
    pub(super) fn jobs_awaiting_poll(&self) -> UnsettledJobs {
        let mut jobs = BTreeSet::new();
        for worker in self.workers.values() {
            if worker.more_ends && !worker.listed_whole {
                return UnsettledJobs::Any;
            }
            jobs.extend(&worker.unread_jobs);
        }
        UnsettledJobs::Jobs(jobs)
    }

    /// Stops the gangs of a former owner that run only in part.
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
            self.stop_step(key, now, "gang is incomplete");
        }
    }
}

/// Returns how a worker should stand in the roster.
fn target_roster_state(worker: &Worker, settled: bool, now: Millis) -> RosterState {
    if worker.parked {
        return RosterState::Absent;
    }
    if !worker.fenced && !settled {
        // What a former owner left there is known only from the roster that it recorded.
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
