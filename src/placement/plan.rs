//! Giving waiting tasks a place.

use rand::Rng;

use crate::clock::Millis;
use crate::model::{Class, JobKind, Resources};
use crate::placement::cell::Cell;
use crate::placement::task::{Phase, WaitReason};
use crate::placement::{JobKey, TaskKey, WorkerKey};

/// How many waiting jobs one pass looks at.
const JOBS_PER_PASS: usize = 256;
/// How many tasks one pass places at most, so that a pass stays short.
const PLACEMENTS_PER_PASS: usize = 1024;
/// How many fitting workers are compared for work that is to be spread.
const SPREAD_CANDIDATES: usize = 16;
/// The longest declared run time that may use room kept for another job.
const BACKFILL_RUNTIME: Millis = 5_000;
/// The largest part of the room that is kept for urgent work, in percent.
const MAX_HEADROOM_PERCENT: u64 = 25;
/// How long a peak of urgent demand is remembered, in milliseconds.
const DEMAND_MEMORY: Millis = 300_000;
/// Over how long urgent demand is added up, in milliseconds.
const DEMAND_WINDOW: Millis = 1_000;

/// How many bits of an attempt's number count within an epoch.
const ATTEMPT_BITS: u32 = 24;

/// How workers are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The tightest fit, with spreading, head-room, holds and earliest-due order.
    BestFit,
    /// A baseline: the first worker that fits, in arrival order.
    FirstFit,
    /// A baseline: the emptier of two random workers, in arrival order.
    RandomOfTwo,
}

/// What urgent work has lately asked for.
#[derive(Debug, Default)]
pub struct UrgentDemand {
    window_start: Millis,
    in_window: u64,
    peak: u64,
    peak_at: Millis,
}

impl UrgentDemand {
    /// Records urgent tasks that ask for `millicores` together.
    pub fn record(&mut self, millicores: u64, now: Millis) {
        if now >= self.window_start + DEMAND_WINDOW {
            self.window_start = now;
            self.in_window = 0;
        }
        self.in_window += millicores;
        if self.in_window >= self.peak || now >= self.peak_at + DEMAND_MEMORY {
            self.peak = self.in_window;
            self.peak_at = now;
        }
    }

    fn headroom(&self, capacity: &Resources, now: Millis) -> u64 {
        let remembered = if now < self.peak_at + DEMAND_MEMORY {
            self.peak
        } else {
            0
        };
        remembered.min(capacity.millicores * MAX_HEADROOM_PERCENT / 100)
    }
}

impl Cell {
    /// Gives places to waiting tasks, most pressing first, and returns how many got one.
    pub fn plan(&mut self, now: Millis) -> usize {
        let mut placed = 0;
        for (due, job) in self.queue.first(JOBS_PER_PASS) {
            if placed >= PLACEMENTS_PER_PASS {
                break;
            }
            placed += self.plan_job(job, now, PLACEMENTS_PER_PASS - placed);
            let waits = self
                .jobs
                .get(job)
                .is_some_and(|job| !job.waiting.is_empty());
            if waits && self.limits.strategy == Strategy::BestFit {
                self.make_room(job, due, now);
            }
        }
        placed
    }

    /// Does what helps a job that found no room: displace, or keep room for it.
    fn make_room(&mut self, key: JobKey, due: Millis, now: Millis) {
        let job = &self.jobs[key];
        if job.waits_for != Some(WaitReason::NoRoom)
            && job.waits_for != Some(WaitReason::GangIncomplete)
        {
            return;
        }
        if job.ordering.class == Class::Urgent {
            self.preempt_for(key, now);
        } else if now >= due {
            self.hold_for(key);
        }
    }

    fn plan_job(&mut self, key: JobKey, now: Millis, limit: usize) -> usize {
        let job = &self.jobs[key];
        if job.spec.kind == JobKind::Gang && !job.committed {
            return self.plan_gang(key, now);
        }
        let waiting: Vec<u32> = job.waiting.iter().copied().take(limit).collect();
        let mut placed = 0;
        for index in waiting {
            let task = self.jobs[key].tasks[&index];
            match self.place(task, now) {
                Ok(_) => placed += 1,
                Err(WaitReason::Succession) => {
                    self.jobs[key].waits_for = Some(WaitReason::Succession)
                }
                Err(reason) => {
                    self.jobs[key].waits_for = Some(reason);
                    break;
                }
            }
        }
        self.requeue_job(key);
        placed
    }

    /// Places all waiting tasks of a gang or none.
    fn plan_gang(&mut self, key: JobKey, now: Millis) -> usize {
        let tasks: Vec<TaskKey> = {
            let job = &self.jobs[key];
            job.waiting.iter().map(|index| job.tasks[index]).collect()
        };
        let mut placed = Vec::with_capacity(tasks.len());
        for task in tasks {
            match self.place(task, now) {
                Ok(_) => placed.push(task),
                Err(reason) => {
                    self.undo(&placed, now);
                    let incomplete = reason == WaitReason::NoRoom && !placed.is_empty();
                    let reason = if incomplete {
                        WaitReason::GangIncomplete
                    } else {
                        reason
                    };
                    self.jobs[key].waits_for = Some(reason);
                    return 0;
                }
            }
        }
        self.jobs[key].committed = true;
        self.requeue_job(key);
        placed.len()
    }

    fn undo(&mut self, placed: &[TaskKey], now: Millis) {
        for task in placed {
            let since = self.tasks[*task].waiting_since;
            let home = self.tasks[*task].home;
            self.requeue(*task, now);
            self.tasks[*task].waiting_since = since;
            if let Some(home) = home {
                self.tasks[*task].next_home = home;
            }
        }
    }

    /// Finds a place for one task and takes it.
    fn place(&mut self, key: TaskKey, now: Millis) -> Result<WorkerKey, WaitReason> {
        let task = &self.tasks[key];
        let job = task.job;
        if task.inherited && !self.shards[task.next_home].inherited_ok {
            return Err(WaitReason::Succession);
        }
        let need = self.jobs[job].spec.resources;
        self.check_shares(job, &need, now)?;
        let worker = self.choose(job, &need, now)?;
        if !self.occupy(key, worker, now) {
            return Err(WaitReason::NoRoom);
        }
        self.settle(key, worker);
        Ok(worker)
    }

    /// Records a task's place, and whether its record must move first.
    pub(super) fn settle(&mut self, key: TaskKey, worker: WorkerKey) {
        let shard = self.workers[worker].shard;
        let task = &mut self.tasks[key];
        let (job, index, old) = (task.job, task.index, task.next_home);
        task.next_home = shard;
        task.phase = Phase::Placed;
        self.jobs[job].waiting.remove(&index);
        if self.tasks[key].home == Some(shard) && !self.tasks[key].in_flux {
            self.release(key);
            return;
        }
        self.dirty.insert((job, old));
        self.dirty.insert((job, shard));
    }

    /// Lets the start order of a task go out.
    pub(super) fn release(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        task.phase = Phase::Starting;
        task.attempts += 1;
        task.attempt =
            (self.shards[task.next_home].epoch << ATTEMPT_BITS) | u64::from(task.attempts);
        task.inherited = false;
        if let Some(worker) = task.worker {
            self.workers[worker].pressing = true;
        }
    }

    fn check_shares(&self, job: JobKey, need: &Resources, now: Millis) -> Result<(), WaitReason> {
        let job = &self.jobs[job];
        let team = &job.spec.team;
        let quota = self
            .limits
            .quotas
            .get(team)
            .copied()
            .unwrap_or(self.limits.default_quota);
        if quota < 1.0 {
            let used = self.usage.get(team).copied().unwrap_or_default();
            if used.plus(need).dominant_share(&self.capacity) > quota {
                return Err(WaitReason::Quota);
            }
        }
        if self.limits.strategy != Strategy::BestFit || job.ordering.class == Class::Urgent {
            return Ok(());
        }
        let headroom = self.urgent.headroom(&self.capacity, now);
        if headroom > 0 && self.free.millicores < need.millicores + headroom {
            return Err(WaitReason::Headroom);
        }
        Ok(())
    }

    fn choose(
        &mut self,
        job: JobKey,
        need: &Resources,
        now: Millis,
    ) -> Result<WorkerKey, WaitReason> {
        match self.limits.strategy {
            Strategy::BestFit => self.choose_best(job, need, now),
            Strategy::FirstFit => self.choose_first(need, now),
            Strategy::RandomOfTwo => self.choose_random(need, now),
        }
        .ok_or(WaitReason::NoRoom)
    }

    fn choose_best(&mut self, key: JobKey, need: &Resources, now: Millis) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let ordinary = self.holder.is_none();
        let hopeless = ordinary && self.misfits.iter().any(|misfit| misfit.fits(need));
        if hopeless {
            return None;
        }
        let spread = job.ordering.spread;
        let mut halls: Vec<usize> = (0..self.index.len()).collect();
        if spread > 0 {
            halls.sort_by_key(|hall| job.per_hall.get(hall).copied().unwrap_or(0));
        }
        let wanted = if spread > 0 { SPREAD_CANDIDATES } else { 1 };
        for hall in halls {
            if let Some(worker) = self.best_in_hall(hall, key, need, wanted, now) {
                return Some(worker);
            }
        }
        if ordinary && self.jobs[key].failed_on.is_empty() {
            self.misfits.push(*need);
        }
        None
    }

    fn best_in_hall(
        &self,
        hall: usize,
        key: JobKey,
        need: &Resources,
        wanted: usize,
        now: Millis,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let mut found: Vec<WorkerKey> = Vec::with_capacity(wanted);
        self.index[hall].visit(need, |worker| {
            if self.may_use(worker, key, need, now) {
                found.push(worker);
            }
            found.len() >= wanted
        });
        found.into_iter().min_by_key(|worker| {
            let shard = self.workers[*worker].shard;
            let on_worker = self.workers[*worker]
                .tasks
                .iter()
                .filter(|task| self.tasks[**task].job == key)
                .count();
            (job.per_shard.get(&shard).copied().unwrap_or(0), on_worker)
        })
    }

    fn may_use(&self, worker: WorkerKey, job: JobKey, need: &Resources, now: Millis) -> bool {
        if self.jobs[job].avoids(worker, now) {
            return false;
        }
        let worker = &self.workers[worker];
        let spec = &self.jobs[job].spec;
        let fits = need.fits(&worker.free) && worker.is_open(now);
        let trusted = spec.repeatable || !worker.health.on_probation();
        let short = spec
            .runtime_ms
            .is_some_and(|ms| ms > 0 && ms <= BACKFILL_RUNTIME);
        let held = worker.held_for.is_some_and(|holder| holder != job) && !short;
        fits && trusted && !held
    }

    fn choose_first(&self, need: &Resources, now: Millis) -> Option<WorkerKey> {
        self.workers
            .iter()
            .find(|(_, worker)| worker.is_open(now) && need.fits(&worker.free))
            .map(|(key, _)| key)
    }

    fn choose_random(&mut self, need: &Resources, now: Millis) -> Option<WorkerKey> {
        let keys: Vec<WorkerKey> = self.indexed.keys().copied().collect();
        if keys.is_empty() {
            return None;
        }
        let pair = [
            self.rng.random_range(0..keys.len()),
            self.rng.random_range(0..keys.len()),
        ];
        pair.into_iter()
            .map(|at| keys[at])
            .filter(|key| self.workers[*key].is_open(now) && need.fits(&self.workers[*key].free))
            .max_by_key(|key| self.workers[*key].free.millicores)
    }

    /// Keeps room for a job that has waited past its patience; one job at a time.
    fn hold_for(&mut self, key: JobKey) {
        if self.holder.is_some() {
            return;
        }
        let job = &self.jobs[key];
        let need = job.spec.resources;
        let mut missing = match job.spec.kind {
            JobKind::Gang => job.waiting.len() as u64,
            _ => 1,
        };
        let mut roomy: Vec<WorkerKey> = self.indexed.keys().copied().collect();
        roomy.retain(|worker| need.fits(&self.workers[*worker].capacity));
        roomy.sort_by_key(|worker| std::cmp::Reverse(self.workers[*worker].free.millicores));
        for worker in roomy {
            if missing == 0 {
                break;
            }
            let worker = &mut self.workers[worker];
            worker.held_for = Some(key);
            missing = missing.saturating_sub(copies(&need, &worker.capacity));
        }
        self.holder = Some(key);
        self.tally.add("hold");
    }
}

/// Returns how many times `need` fits into `room`.
pub(super) fn copies(need: &Resources, room: &Resources) -> u64 {
    let times = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
    times(need.millicores, room.millicores)
        .min(times(need.memory_mib, room.memory_mib))
        .min(times(need.accelerators, room.accelerators))
}
