//! Parks idle workers.
//!
//! Nothing runs on a parked worker.  It is not polled and not in the roster, so it costs neither
//! the owner nor its successor anything.  The load of an owner thus depends on the work there is
//! and on the size of the idle reserve, not on the number of workers ("Parked workers" in
//! `docs/DESIGN.md`).  Unparking a worker is also called waking it.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::cell::spec::Step;
use crate::cell::worker::Worker;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// The idle workers of one service, each with its rank in the order of parking.
#[derive(Default)]
struct IdleWorkers {
    awake: Vec<(u64, WorkerKey)>,
    parked: Vec<(u64, WorkerKey)>,
}

impl Cell {
    /// Returns whether the capacity of a worker can be used: it will take work, or it is parked and
    /// is unparked as soon as there is work for it.
    pub(super) fn provides_capacity(&self, key: WorkerKey, now: Millis) -> bool {
        let worker = &self.workers[key];
        let can_be_unparked = worker.parked && worker.entry.leaving.is_none();
        self.will_take_work(key, now) || (can_be_unparked && self.is_hall_open(key))
    }

    /// Sets how many idle workers of each service are kept unparked as a reserve.
    pub fn set_idle_reserve(&mut self, idle_reserve: usize) {
        self.idle_reserve = idle_reserve;
    }

    /// Records that the former owner's roster could not be read completely.  A worker missing from
    /// what was read may run something, so no worker is parked before it has answered.
    pub fn mark_roster_incomplete(&mut self) {
        self.roster_is_complete = false;
        self.former_lives_may_recur = true;
        self.assume_unrecorded_starts();
    }

    /// Takes the workers that are no longer parked, so that the caller polls them again; each is
    /// returned once.
    pub fn take_unparked(&mut self) -> Vec<WorkerKey> {
        std::mem::take(&mut self.unparked)
    }

    /// Returns whether a worker is parked.
    pub fn is_parked(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.parked)
    }

    /// Once per `PARKING_INTERVAL`, parks idle workers beyond the reserve, and unparks some when
    /// fewer than half of the reserve are left.
    pub(super) fn review_parking(&mut self, now: Millis) {
        if now >= self.parking_reviewed + tuning::PARKING_INTERVAL {
            self.adjust_parking(now);
        }
    }

    /// Parks and unparks workers by the same rule, at once.  Called for a new list of workers, all
    /// of which would be polled otherwise.
    pub(super) fn adjust_parking(&mut self, now: Millis) {
        self.parking_reviewed = now;
        let mut services: BTreeMap<&str, IdleWorkers> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if self.is_evacuated(worker) || !(worker.parked || self.is_parkable(worker, now)) {
                continue;
            }
            let idle = services.entry(&worker.entry.service).or_default();
            let list = match worker.parked {
                true => &mut idle.parked,
                false => &mut idle.awake,
            };
            list.push((rank(worker), key));
        }
        for mut idle in services.into_values().collect::<Vec<_>>() {
            let awake = idle.awake.len();
            if awake > self.idle_reserve {
                idle.awake.sort_unstable();
                for (_, key) in idle.awake.split_off(self.idle_reserve) {
                    self.park(key, now);
                }
            } else if awake < self.idle_reserve.div_ceil(2) {
                idle.parked.sort_unstable();
                idle.parked.truncate(self.idle_reserve - awake);
                for (_, key) in idle.parked {
                    self.unpark(key, now);
                }
            }
        }
    }

    /// Returns whether a worker is idle and the owner knows that nothing runs there.
    fn is_parkable(&self, worker: &Worker, now: Millis) -> bool {
        let is_known = worker.fenced || (worker.inherited.is_none() && self.roster_is_complete);
        is_known && worker.is_idle() && worker.quarantined_until <= now
    }

    /// Parks a worker, unless it was unparked less than `MIN_AWAKE_TIME` ago.
    fn park(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        let was_unparked_recently =
            worker.unparked_at > 0 && now < worker.unparked_at + tuning::MIN_AWAKE_TIME;
        if !was_unparked_recently {
            worker.parked = true;
            self.parked += 1;
        }
    }

    /// Unparks a worker: it is polled again, and may be used once it is in the recorded roster.
    pub(super) fn unpark(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        if worker.parked {
            worker.parked = false;
            worker.unparked_at = now;
            self.parked -= 1;
            self.unparked.push(key);
        }
    }

    /// Unparks a worker of which something was learnt that the owner must look into.
    pub(super) fn unpark_unless_idle(&mut self, key: WorkerKey, now: Millis) {
        if !self.workers[key].is_idle() {
            self.unpark(key, now);
        }
    }

    /// Records that a parked worker was lost, so that whoever waits for it to be unparked learns of
    /// it.
    pub(super) fn remove_parked(&mut self, key: WorkerKey) {
        self.parked -= 1;
        self.unparked.push(key);
    }

    /// Unparks workers that could run tasks of a step for which too little room was found.  At most
    /// `MAX_WAKING` workers are being unparked at a time, over all steps.
    ///
    /// A step is served once per `WAKE_INTERVAL` at most.  A waiting step asks in each scheduling
    /// round, and searching all workers each time would take up most of the rounds of a full cell.
    pub(super) fn unpark_for_step(&mut self, key: StepKey, tasks: u32, now: Millis) {
        let step = &mut self.steps[key];
        if self.parked == 0 || now < step.next_wake {
            return;
        }
        step.next_wake = now + tuning::WAKE_INTERVAL;
        let most = tuning::MAX_WAKING.saturating_sub(self.count_waking(now));
        let wanted = (tasks as usize).max(tuning::MIN_WAKE_BATCH);
        let parked = self.parked_candidates(key).take(wanted.min(most));
        for worker in parked.collect::<Vec<_>>() {
            self.unpark(worker, now);
        }
    }

    /// Returns the parked workers that could run tasks of a step.
    fn parked_candidates(&self, key: StepKey) -> impl Iterator<Item = WorkerKey> {
        let parked = self.workers.iter().filter(|(_, worker)| worker.parked);
        let candidates = parked.filter(move |&(worker, _)| self.could_take(worker, key));
        candidates.map(|(key, _)| key)
    }

    /// Returns whether a parked worker, or one that was just unparked, could run tasks of a step.
    fn could_take(&self, key: WorkerKey, step: StepKey) -> bool {
        let (worker, step) = (&self.workers[key], &self.steps[step]);
        worker.allows(step.step(), &self.jobs[step.job].queue.service)
            && step.step().room().fits(&worker.entry.capacity)
            && !step.advice.rejected.contains(&key)
            && !self.is_evacuated(worker)
    }

    /// Returns whether a step's tasks may get workers that are parked or were just unparked.
    pub(super) fn waits_for_waking(&self, step: StepKey, now: Millis) -> bool {
        let may_wake = |(key, worker): (WorkerKey, &Worker)| {
            (worker.parked || self.is_waking(key, now)) && self.could_take(key, step)
        };
        self.workers.iter().any(may_wake)
    }

    /// Unparks the racks that hold the data of a new job.
    pub(super) fn unpark_racks(&mut self, steps: &[Step], now: Millis) {
        if self.parked == 0 {
            return;
        }
        let is_near = |(_, worker): &(WorkerKey, &Worker)| {
            let mut racks = steps.iter().filter_map(|step| step.near.as_ref());
            worker.parked && racks.any(|rack| worker.entry.rack.as_ref() == Some(rack))
        };
        let near = self.workers.iter().filter(is_near).map(|(key, _)| key);
        for worker in near.collect::<Vec<_>>() {
            self.unpark(worker, now);
        }
    }

    /// Returns how many workers were just unparked and cannot be used yet.
    fn count_waking(&self, now: Millis) -> usize {
        let keys = self.workers.keys();
        keys.filter(|&key| self.is_waking(key, now)).count()
    }

    /// Returns whether a worker was unparked less than `WAKE_TIMEOUT` ago and cannot be used yet.
    fn is_waking(&self, key: WorkerKey, now: Millis) -> bool {
        let worker = &self.workers[key];
        let is_recent = worker.unparked_at > 0 && now < worker.unparked_at + tuning::WAKE_TIMEOUT;
        is_recent && !self.takes_work(key, now)
    }
}

/// Returns the rank of a worker in the order of parking.  It is a hash of the rack, so that racks
/// are parked as a whole, since some jobs prefer to run within one rack, and so that the unparked
/// racks are spread over all halls.  A worker without a rack is ranked by its id.
fn rank(worker: &Worker) -> u64 {
    let rack = worker.entry.rack.as_ref();
    xxh3_64(rack.unwrap_or(&worker.entry.life.id).as_bytes())
}
