//! IdleWorkers workers that are parked.
//!
//! Nothing runs on a parked worker, so it is not looked at and not in the roster, and neither the
//! owner nor its successor spends anything on it.  So what an owner does follows the work that there
//! is and a reserve, not the number of workers ("Parked workers" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::cell::spec::Step;
use crate::cell::worker::Worker;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// The idle workers of one service, by rank.
#[derive(Default)]
struct IdleWorkers {
    awake: Vec<(u64, WorkerKey)>,
    parked: Vec<(u64, WorkerKey)>,
}

impl Cell {
    /// Keeps so many idle workers of each service awake.
    pub fn set_idle_reserve(&mut self, idle_reserve: usize) {
        self.idle_reserve = idle_reserve;
    }

    /// The former owner's roster could not be read whole: a worker that is not in what was read may
    /// run something, so none is parked before it has answered.
    pub fn mark_roster_incomplete(&mut self) {
        self.roster_is_complete = false;
        self.assume_unrecorded_starts();
    }

    /// Workers that are not parked any more and are to be looked at, each told once.
    pub fn take_unparked(&mut self) -> Vec<WorkerKey> {
        std::mem::take(&mut self.unparked)
    }

    /// Tells whether a worker is parked.
    pub fn is_parked(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.parked)
    }

    /// Some times a second, parks idle workers beyond the reserve, and wakes some when that has
    /// fallen to the half.
    pub(super) fn review_parking(&mut self, now: Millis) {
        if now >= self.parking_reviewed + tuning::PARKING_INTERVAL {
            self.adjust_parking(now);
        }
    }

    /// The same at once: all workers of a new list would be looked at otherwise.
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

    /// Tells whether a worker is idle, and its owner knows that nothing runs there.
    fn is_parkable(&self, worker: &Worker, now: Millis) -> bool {
        let is_known = worker.fenced || (worker.inherited.is_none() && self.roster_is_complete);
        is_known && worker.is_idle() && worker.quarantined_until <= now
    }

    fn park(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        let was_woken_lately =
            worker.unparked_at > 0 && now < worker.unparked_at + tuning::MIN_AWAKE_TIME;
        if !was_woken_lately {
            worker.parked = true;
            self.parked += 1;
        }
    }

    /// A parked worker is looked at again, and may be used as soon as the roster names it.
    pub(super) fn unpark(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        if worker.parked {
            worker.parked = false;
            worker.unparked_at = now;
            self.parked -= 1;
            self.unparked.push(key);
        }
    }

    /// Something was told of a worker that its owner must look into.
    pub(super) fn unpark_unless_idle(&mut self, key: WorkerKey, now: Millis) {
        if !self.workers[key].is_idle() {
            self.unpark(key, now);
        }
    }

    /// A worker is gone; whoever waits for it to be woken finds that out.
    pub(super) fn remove_parked(&mut self, key: WorkerKey) {
        self.parked -= 1;
        self.unparked.push(key);
    }

    /// A step finds too few places among the workers that are awake: wakes some that could take its
    /// tasks, but no more than a few at a time.
    ///
    /// A step that waits long asks in each round, and to look through the workers each time would take
    /// most of a full cell's rounds.
    pub(super) fn unpark_for_step(&mut self, key: StepKey, tasks: u32, now: Millis) {
        let step = &mut self.steps[key];
        if self.parked == 0 || now < step.next_wake {
            return;
        }
        step.next_wake = now + tuning::WAKE_INTERVAL;
        let most = tuning::MAX_WAKING.saturating_sub(self.count_waking(now));
        let wanted = (tasks as usize).max(tuning::MIN_WAKE_BATCH);
        let parked = self.parked_places(key).take(wanted.min(most));
        for worker in parked.collect::<Vec<_>>() {
            self.unpark(worker, now);
        }
    }

    /// Parked workers that could take tasks of a step.
    fn parked_places(&self, key: StepKey) -> impl Iterator<Item = WorkerKey> {
        let parked = self.workers.iter().filter(|(_, worker)| worker.parked);
        let places = parked.filter(move |&(worker, _)| self.could_take(worker, key));
        places.map(|(key, _)| key)
    }

    /// Tells whether a worker that is not in use could take tasks of a step.
    fn could_take(&self, key: WorkerKey, step: StepKey) -> bool {
        let (worker, step) = (&self.workers[key], &self.steps[step]);
        worker.allows(step.step(), &self.jobs[step.job].queue.service)
            && step.step().room().fits(&worker.entry.capacity)
            && !step.advice.bad.contains(&key)
            && !self.is_evacuated(worker)
    }

    /// Tells whether a step's tasks wait for workers that are parked or just being woken.
    pub(super) fn waits_for_waking(&self, step: StepKey, now: Millis) -> bool {
        let may_wake = |(key, worker): (WorkerKey, &Worker)| {
            (worker.parked || self.is_waking(key, now)) && self.could_take(key, step)
        };
        self.workers.iter().any(may_wake)
    }

    /// A job comes whose data lies on racks that may be parked.
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

    /// How many workers were woken a moment ago and cannot be used yet.
    fn count_waking(&self, now: Millis) -> usize {
        let keys = self.workers.keys();
        keys.filter(|&key| self.is_waking(key, now)).count()
    }

    fn is_waking(&self, key: WorkerKey, now: Millis) -> bool {
        let worker = &self.workers[key];
        let is_new = worker.unparked_at > 0 && now < worker.unparked_at + tuning::WAKE_TIMEOUT;
        is_new && !self.takes_work(key, now)
    }
}

/// Racks stay awake or are parked as a whole, since some work wants to lie within one; which of
/// them does not depend on where they stand.
fn rank(worker: &Worker) -> u64 {
    let place = worker.entry.rack.as_ref();
    xxh3_64(place.unwrap_or(&worker.entry.life.id).as_bytes())
}
