//! In which order the steps of one priority are considered.
//!
//! When more is wanted than there is room for, that order decides who is late.  Each way gives a
//! step a rank in milliseconds, and the lowest goes first (docs/design/full-cell.md).

use crate::cell::job::{Job, StepRun};
use crate::cell::spec::{JobSpec, Step};
use crate::cell::{Cell, StepKey, tuning};
use crate::clock::Millis;
use crate::policy::Turn;

impl Cell {
    /// The rank of a step among those of its priority.
    pub(super) fn rank(&self, key: StepKey, now: Millis) -> Millis {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        match job.ordering.turn {
            Turn::Arrival => job.accepted_at,
            Turn::LeastWork => self.remaining_work(job),
            Turn::LeastLaxity => self.latest_start(job, step, now),
            Turn::Balanced => {
                let price = self.remaining_work(job) / tuning::WORK_PER_RANK_MS;
                let latest = self.latest_start(job, step, now);
                latest.saturating_add(price.min(tuning::MAX_WORK_PENALTY))
            }
        }
    }

    /// When what is left of a job's longest chain must start at the latest to end in the time that
    /// its queue grants.
    fn latest_start(&self, job: &Job, step: &StepRun, now: Millis) -> Millis {
        let granted = job.queue.stretch * job.critical_path as f64;
        let granted = job.queue.slack.saturating_add(granted as Millis);
        let due = self
            .deadline_base(job, step.name.time, now)
            .saturating_add(granted);
        due.saturating_sub(self.remaining_critical_path(job, step.name.time))
    }

    /// From when on a job's time counts: since it was taken in, or since a scheduled time was due.
    fn deadline_base(&self, job: &Job, time: u32, now: Millis) -> Millis {
        let (Some(schedule), Some(today)) = (job.spec.schedule, self.unix_time) else {
            return job.accepted_at;
        };
        let due = schedule.first + u64::from(time) * schedule.interval;
        now.saturating_sub(today.saturating_sub(due))
            .max(job.accepted_at)
    }

    fn remaining_critical_path(&self, job: &Job, time: u32) -> Millis {
        let Some(steps) = job.occurrences.get(&time) else {
            return 0;
        };
        critical_path(&job.spec, |place| self.steps[steps[place]].open > 0)
    }

    /// The work of all tasks of a job that are not done, in core-milliseconds.
    fn remaining_work(&self, job: &Job) -> Millis {
        let steps = job
            .occurrences
            .values()
            .flatten()
            .map(|&key| &self.steps[key]);
        let work = |step: &StepRun| work_of(step.step(), step.open);
        steps.map(work).fold(0, u64::saturating_add)
    }
}

fn work_of(step: &Step, tasks: u32) -> u64 {
    let of_task = step.demand.millicores.saturating_mul(step.estimate.max(1));
    of_task.saturating_mul(u64::from(tasks)) / 1_000
}

/// How long the steps of a job take that count, one after the other as they must.
pub(super) fn critical_path(spec: &JobSpec, counts: impl Fn(usize) -> bool) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(spec.steps.len());
    for (place, step) in spec.steps.iter().enumerate() {
        let begins = step.after.iter().map(|&earlier| ends[earlier]).max();
        let takes = if counts(place) { step.estimate } else { 0 };
        ends.push(begins.unwrap_or_default().saturating_add(takes));
    }
    ends.into_iter().max().unwrap_or_default()
}
