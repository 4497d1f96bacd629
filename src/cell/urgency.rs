//! The order in which steps of the same priority are considered.
//!
//! When demand exceeds capacity, this order decides which jobs are late.  Each [`Turn`] gives a
//! step a rank in milliseconds (a time, or an amount of work), and the lowest rank goes first
//! (docs/design/full-cell.md).

use slotmap::SecondaryMap;

use crate::cell::job::{Job, JobState, StepRun};
use crate::cell::spec::{JobSpec, Step};
use crate::cell::{Cell, JobKey, StepKey, tuning};
use crate::clock::Millis;
use crate::policy::Turn;

/// Which jobs go behind all others in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Deferral {
    /// Those that can't be in time any more.
    Late,
    /// Those that still can.
    InTime,
}

/// The remaining work of jobs, computed once in a scheduling round for all steps of a job.
#[derive(Debug, Default)]
pub(super) struct RemainingWork {
    by_job: SecondaryMap<JobKey, u64>,
    /// The number of steps that were examined for it.
    pub(super) steps_examined: u64,
}

impl Cell {
    /// The rank of a step among those of the same priority; the lowest goes first.
    pub(super) fn rank(&self, key: StepKey, work: &mut RemainingWork, now: Millis) -> Millis {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        match job.decision.turn {
            Turn::Arrival => job.accepted_at,
            Turn::LeastWork => self.remaining_work(step.job, work),
            Turn::LeastLaxity => self.latest_start(job, step, now),
            Turn::Balanced => {
                let penalty = self.remaining_work(step.job, work) / tuning::WORK_PER_RANK_MS;
                let latest = self.latest_start(job, step, now);
                latest.saturating_add(penalty.min(tuning::MAX_WORK_PENALTY))
            }
        }
    }

    /// The latest time at which the rest of a job's critical path must start, so that the job ends
    /// within the time that its queue grants.
    fn latest_start(&self, job: &Job, step: &StepRun, now: Millis) -> Millis {
        let due = self.due(job, step, now);
        due.saturating_sub(self.remaining_critical_path(job, step.name.time))
    }

    /// When the granted time of a step's job is over.
    fn due(&self, job: &Job, step: &StepRun, now: Millis) -> Millis {
        self.deadline_base(job, step.name.time, now)
            .saturating_add(job.queue.granted_time(job.critical_path))
    }

    /// The time that is left for a step: until the granted time of its job is over, less the
    /// critical path of the steps behind it.
    pub(super) fn step_time_left(&self, key: StepKey, now: Millis) -> Millis {
        let step = &self.steps[key];
        let left = self
            .due(&self.jobs[step.job], step, now)
            .saturating_sub(now);
        left.saturating_sub(path_behind(&step.spec, usize::from(step.name.step)))
    }

    /// Returns whether a job can't end within its granted time any more, by its caller's estimates.
    ///
    /// Where jobs are refused that can't be in time, one that has begun is never late: it is finished,
    /// since what it has done would be in vain.  Lasting steps are never late: they are worth something
    /// whenever they run.
    pub(super) fn is_late(&self, key: StepKey, now: Millis) -> bool {
        let step = &self.steps[key];
        let job = &self.jobs[step.job];
        let is_finished_first = self.options.reject_late && job.state != JobState::Queued;
        let can_be_late = !is_finished_first && !step.step().lasting;
        can_be_late && self.latest_start(job, step, now) < now
    }

    /// Which jobs go behind the others in a round; none if the owner can send all starts that have room
    /// ("Beyond the owner's limit" in `docs/DESIGN.md`).
    pub(super) fn deferral(&mut self, now: Millis) -> Option<Deferral> {
        if !self.is_owner_the_limit(now) {
            return None;
        }
        Some(match self.is_round_for_late_jobs() {
            true => Deferral::InTime,
            false => Deferral::Late,
        })
    }

    /// Returns whether a step goes behind the others in a round.
    pub(super) fn is_deferred(&self, key: StepKey, deferral: Deferral, now: Millis) -> bool {
        self.is_late(key, now) == (deferral == Deferral::Late)
    }

    /// The time from which a job's granted time counts: when the job was taken in or, if later,
    /// when the occurrence was due.
    fn deadline_base(&self, job: &Job, time: u32, now: Millis) -> Millis {
        let (Some(schedule), Some(unix_time)) = (job.spec.schedule, self.unix_time) else {
            return job.accepted_at;
        };
        let due = schedule.due(time);
        now.saturating_sub(unix_time.saturating_sub(due))
            .max(job.accepted_at)
    }

    /// The length of the critical path over the steps of one occurrence with tasks left to do.
    fn remaining_critical_path(&self, job: &Job, time: u32) -> Millis {
        let Some(steps) = job.occurrences.get(time) else {
            return 0;
        };
        critical_path(&job.spec, |index| self.steps[steps[index]].open > 0)
    }

    /// The estimated work of all tasks that are not done in the begun occurrences of a job, in
    /// core-milliseconds.
    fn remaining_work(&self, key: JobKey, work: &mut RemainingWork) -> u64 {
        if let Some(&known) = work.by_job.get(key) {
            return known;
        }
        let mut sum: u64 = 0;
        for step in self.jobs[key].occurrences.steps() {
            let step = &self.steps[step];
            sum = sum.saturating_add(work_of(step.step(), step.open));
            work.steps_examined += 1;
        }
        work.by_job.insert(key, sum);
        sum
    }
}

/// The estimated work of so many tasks of a step, in core-milliseconds.
fn work_of(step: &Step, tasks: u32) -> u64 {
    let of_task = step.demand.millicores.saturating_mul(step.estimate.max(1));
    of_task.saturating_mul(u64::from(tasks)) / 1_000
}

/// The length of the critical path of the steps that come after a step, by its caller's estimates.
fn path_behind(spec: &JobSpec, step: usize) -> Millis {
    let mut ends: Vec<Option<Millis>> = vec![None; spec.steps.len()];
    ends[step] = Some(0);
    for (index, later) in spec.steps.iter().enumerate().skip(step + 1) {
        let start = later
            .after
            .iter()
            .filter_map(|&earlier| ends[earlier])
            .max();
        ends[index] = start.map(|start| start.saturating_add(later.estimate));
    }
    ends.into_iter().flatten().max().unwrap_or_default()
}

/// The length of a job's critical path by its caller's estimates; steps for which `is_included`
/// returns false take no time.
pub fn critical_path(spec: &JobSpec, is_included: impl Fn(usize) -> bool) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(spec.steps.len());
    for (index, step) in spec.steps.iter().enumerate() {
        let start = step.after.iter().map(|&earlier| ends[earlier]).max();
        let duration = if is_included(index) { step.estimate } else { 0 };
        ends.push(start.unwrap_or_default().saturating_add(duration));
    }
    ends.into_iter().max().unwrap_or_default()
}
