//! How long new jobs wait for their starts because the owner can send no more of them.
//!
//! Where room on the workers is the limit, `cell::expected_wait` tells how long jobs wait.  Here the
//! workers have room, and the owner's link or processor is the limit ("Beyond the owner's limit" in
//! `docs/DESIGN.md`).

use std::collections::BTreeMap;

use crate::cell::spec::Demand;
use crate::cell::{Cell, StepKey, WorkspaceKey, tuning};
use crate::clock::Millis;

/// The most priorities for which waits are published; those behind them wait as the last one does.
const MAX_PRIORITIES: usize = 64;

/// How long new jobs wait for their starts because the owner can send no more of them, whatever room
/// the workers have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StartWaits {
    /// How many starts a second the owner carries, without the share of late jobs if there are any;
    /// zero if it holds nothing back.
    pub rate: u32,
    /// The wait in milliseconds from each of these priority numbers on, in ascending order.
    pub by_priority: Vec<(u32, Millis)>,
}

/// What a new job asks of the owner's starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartDemand {
    /// The priority number of its queue.
    pub priority: u32,
    /// How many tasks it has, at least one.
    pub tasks: u64,
    /// How long its last start may wait, in milliseconds.
    pub spare: Millis,
}

impl StartWaits {
    /// The wait of a job about which the owner was asked, its own starts included.
    pub fn told(wait: Millis) -> Self {
        Self {
            rate: u32::MAX,
            by_priority: vec![(0, wait)],
        }
    }

    /// Returns whether the owner holds starts back.
    pub fn is_limited(&self) -> bool {
        self.rate > 0
    }

    /// Returns how long the last start of a new job waits that has so many tasks.
    pub fn wait(&self, priority: u32, tasks: u64) -> Millis {
        if self.rate == 0 {
            return 0;
        }
        let before = self.by_priority.iter().rev();
        let before = before.copied().find(|entry| entry.0 <= priority);
        let before = before.map_or(0, |(_, wait)| wait);
        before.saturating_add(start_time(tasks, self.rate))
    }
}

/// How long so many starts take at `rate` a second, in milliseconds.
fn start_time(starts: u64, rate: u32) -> Millis {
    starts.saturating_mul(1_000) / u64::from(rate.max(1))
}

/// What is left for waiting tasks while they are counted.
struct Left<'a> {
    /// The free room of each service.
    room: BTreeMap<&'a str, Demand>,
    /// What each workspace that was met may still hold.
    caps: BTreeMap<WorkspaceKey, Demand>,
}

impl Cell {
    /// Returns how long new jobs wait because the owner can't send all starts at once.
    ///
    /// A job waits for the tasks of its priority and of lower priority numbers that have room, are
    /// within their limits and are in time: late ones have a share of their own, and what waits for
    /// room or for a cap takes no starts.
    pub fn start_waits(&self, now: Millis) -> StartWaits {
        let rate = self.start_rate(now).filter(|_| !self.has_unread_jobs);
        let Some(rate) = rate else {
            return StartWaits::default();
        };
        let waiting = self.open_steps.iter().copied();
        let waiting = waiting.filter(|&key| self.steps[key].ready && self.steps[key].idle > 0);
        let (late, in_time): (Vec<StepKey>, Vec<StepKey>) =
            waiting.partition(|&key| self.is_late(key, now));
        let rate = match late.is_empty() {
            true => rate,
            false => rate_beside_late(rate),
        };
        let mut before = 0;
        let mut by_priority = Vec::new();
        for (priority, tasks) in self.startable_tasks(in_time, now) {
            before += tasks;
            by_priority.push((priority, start_time(before, rate)));
        }
        by_priority.truncate(MAX_PRIORITIES);
        StartWaits { rate, by_priority }
    }

    /// How many tasks of these steps could start now, by priority.
    fn startable_tasks(&self, mut steps: Vec<StepKey>, now: Millis) -> BTreeMap<u32, u64> {
        let priority = |key: &StepKey| self.jobs[self.steps[*key].job].decision.priority;
        steps.sort_by_key(priority);
        let mut left = Left {
            room: self.free_by_service(now),
            caps: BTreeMap::new(),
        };
        let mut tasks: BTreeMap<u32, u64> = BTreeMap::new();
        for key in steps {
            let startable = self.take_startable(key, &mut left);
            *tasks.entry(priority(&key)).or_default() += u64::from(startable);
        }
        tasks
    }

    /// Takes what the waiting tasks of a step can get of what is left, and returns how many can.
    fn take_startable(&self, key: StepKey, left: &mut Left<'_>) -> u32 {
        let step = &self.steps[key];
        let (spec, job) = (step.step(), &self.jobs[step.job]);
        if !self.is_within_quota(key, spec.tasks_at_once()) {
            return 0;
        }
        let Some(room) = left.room.get_mut(job.queue.service.as_str()) else {
            return 0;
        };
        let mut tasks = step.idle.min(room.times(&spec.room()));
        if let Some(workspace) = job.workspace {
            let cap = left.caps.entry(workspace);
            let cap = cap.or_insert_with(|| self.ledger.left(workspace));
            tasks = tasks.min(cap.times(&spec.demand));
            *cap = cap.minus(&spec.demand.of_tasks(tasks));
        }
        *room = room.minus(&spec.room().of_tasks(tasks));
        tasks
    }

    /// The free room of the workers that accept work, by service.
    fn free_by_service(&self, now: Millis) -> BTreeMap<&str, Demand> {
        let mut free: BTreeMap<&str, Demand> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if self.provides_capacity(key, now) {
                let of_service = free.entry(worker.entry.service.as_str()).or_default();
                of_service.add(&worker.free());
            }
        }
        free
    }
}

/// The part of the starts that is left beside the share of late jobs.
fn rate_beside_late(rate: u32) -> u32 {
    let in_time = u64::from(rate) * u64::from(tuning::LATE_ROUNDS - 1);
    ((in_time / u64::from(tuning::LATE_ROUNDS)) as u32).max(1)
}
