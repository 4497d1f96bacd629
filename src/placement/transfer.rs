//! Moving waiting tasks to shards of other instances.
//!
//! The moved tasks leave our record and enter an "incoming" row of the other
//! shard in one transaction.  Whoever owns that shard takes the row in, so the
//! move does not depend on who that is or on any notice arriving.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::model::{JobKind, Resources};
use crate::placement::cell::Cell;
use crate::placement::journal::WriteBatch;
use crate::placement::part::Part;
use crate::placement::task::{Phase, WaitReason};
use crate::placement::{JobKey, TaskKey};

/// How many waiting jobs are looked at for a transfer.
const JOBS_OFFERED: usize = 32;

/// Waiting tasks of one job that may be moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The job.
    pub job: String,
    /// What each task needs.
    pub need: Resources,
    /// How many tasks wait.
    pub count: u32,
    /// Whether all of them must find room at once.
    pub gang: bool,
}

/// Tasks on their way.
#[derive(Debug)]
pub struct Transfer {
    /// Our own rows, without the moved tasks.
    pub batch: WriteBatch,
    /// What is to enter each shard.
    pub incoming: Vec<(String, Part)>,
    /// The tasks that leave.
    tasks: Vec<TaskKey>,
    /// The tasks of a gang that stay and must not start before the rest may.
    staying: Vec<TaskKey>,
    gang: bool,
}

impl Cell {
    /// Returns waiting work for which there is no room here, most pressing first.
    pub fn offers(&self) -> Vec<Offer> {
        let jobs = self.queue.first(JOBS_OFFERED);
        jobs.into_iter()
            .filter_map(|(_, job)| self.offer(job))
            .collect()
    }

    fn offer(&self, key: JobKey) -> Option<Offer> {
        let job = &self.jobs[key];
        let roomless = matches!(
            job.waits_for,
            Some(WaitReason::NoRoom | WaitReason::GangIncomplete | WaitReason::Headroom)
        );
        let count = self.movable(key).len() as u32;
        (roomless && count > 0 && !job.cancelling).then(|| Offer {
            job: job.id.clone(),
            need: job.spec.resources,
            count,
            gang: job.spec.kind == JobKind::Gang && !job.committed,
        })
    }

    /// Only tasks whose record is settled and that no predecessor may run are moved.
    fn movable(&self, key: JobKey) -> Vec<TaskKey> {
        let job = &self.jobs[key];
        let tasks = job.waiting.iter().map(|index| job.tasks[index]);
        tasks
            .filter(|task| {
                let task = &self.tasks[*task];
                let settled = task.home == Some(task.next_home) && !task.in_flux;
                settled && (!task.inherited || self.shards[task.next_home].inherited_ok)
            })
            .collect()
    }

    /// Takes waiting tasks of a job out and prepares the rows that move them.
    ///
    /// `places` says how many tasks go to each shard; those of a gang that find no
    /// place there stay.  Returns nothing if the job no longer waits as it was
    /// offered, since it may have been placed or cancelled meanwhile.
    pub fn begin_transfer(
        &mut self,
        offer: &Offer,
        places: &BTreeMap<String, u32>,
    ) -> Option<Transfer> {
        let key = *self.by_job.get(&offer.job)?;
        let movable = self.movable(key);
        let as_offered = movable.len() as u32 == offer.count;
        if movable.is_empty() || (offer.gang && !as_offered) {
            return None;
        }
        self.jobs[key].committed |= offer.gang;
        let mut movable = movable.into_iter();
        let mut transfer = Transfer {
            batch: WriteBatch::default(),
            incoming: Vec::new(),
            tasks: Vec::new(),
            staying: Vec::new(),
            gang: offer.gang,
        };
        let mut homes = std::collections::BTreeSet::new();
        for (shard, count) in places {
            let to = self.shard_index(shard);
            let moved: Vec<TaskKey> = movable.by_ref().take(*count as usize).collect();
            let mut live = Vec::with_capacity(moved.len());
            for task in moved {
                homes.insert(self.tasks[task].next_home);
                live.push(self.tasks[task].index);
                self.set_moving(task, to);
                transfer.tasks.push(task);
            }
            if !live.is_empty() {
                transfer
                    .incoming
                    .push((shard.clone(), self.jobs[key].part(live)));
            }
        }
        if offer.gang {
            for task in movable {
                let home = self.tasks[task].next_home;
                homes.insert(home);
                self.set_moving(task, home);
                transfer.staying.push(task);
            }
        }
        for home in homes {
            self.write_part(&mut transfer.batch, key, home);
        }
        self.requeue_job(key);
        Some(transfer)
    }

    fn set_moving(&mut self, key: TaskKey, to: usize) {
        let task = &mut self.tasks[key];
        task.phase = Phase::Moving;
        task.next_home = to;
        let (job, index) = (task.job, task.index);
        self.jobs[job].waiting.remove(&index);
    }

    /// Records that a transfer is durable: the tasks that left are no longer ours.
    pub fn finish_transfer(&mut self, transfer: &Transfer, now: Millis) {
        self.written(&transfer.batch, now);
        for task in &transfer.staying {
            if self.tasks.contains_key(*task) {
                self.requeue(*task, now);
            }
        }
        for task in &transfer.tasks {
            self.drop_task(*task);
        }
        self.tally.add("transfer");
    }

    /// Takes a transfer back that certainly did not take effect.
    pub fn undo_transfer(&mut self, transfer: &Transfer, now: Millis) {
        for key in transfer.tasks.iter().chain(&transfer.staying) {
            let Some(task) = self.tasks.get_mut(*key) else {
                continue;
            };
            task.next_home = task.home.unwrap_or(task.next_home);
            let job = task.job;
            self.requeue(*key, now);
            if transfer.gang {
                self.jobs[job].committed = false;
            }
        }
    }

    /// Gives the waiting tasks of a job places of a reservation made here.
    pub fn use_own_reservation(&mut self, id: u64, job: &str, now: Millis) {
        let Some(key) = self.by_job.get(job).copied() else {
            return;
        };
        let waiting: Vec<TaskKey> = {
            let job = &self.jobs[key];
            job.waiting.iter().map(|index| job.tasks[index]).collect()
        };
        for task in waiting {
            let Some(worker) = self.take_any_reserved(id, now) else {
                break;
            };
            if self.occupy(task, worker, now) {
                self.settle(task, worker);
            }
        }
        self.requeue_job(key);
    }
}
