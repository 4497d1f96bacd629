//! Checks of what the workers ran against what the callers were told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::Deserialize;

use super::jobs::{Job, Ledger};
use super::plan::Plan;

/// A run as the stand-in lists it.  Times are in milliseconds of the stand-in's clock.
#[derive(Debug, Clone, Deserialize)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from: u64,
    pub until: Option<u64>,
    pub done: bool,
}

impl Run {
    /// Returns the job and the step of its task, which is named `job.time.step.index`.
    fn job_and_step(&self) -> (u64, usize) {
        let mut parts = self.task.split('.');
        let job = parts.next().and_then(|id| u64::from_str_radix(id, 16).ok());
        let step = parts.nth(1).and_then(|step| step.parse().ok());
        (job.expect("a job's id"), step.expect("a step's number"))
    }
}

/// What the stand-in lists.
#[derive(Deserialize)]
pub struct RunList {
    now: u64,
    runs: Vec<Run>,
}

/// All runs so far, in the order of their starts, by task.
#[derive(Default)]
pub struct Runs {
    /// Runs that had ended before this time are known completely.
    pub listed_until: u64,
    /// A time that is not later than the start of the stand-in's clock.
    clock_began: Option<Instant>,
    pub by_task: BTreeMap<String, BTreeMap<(u64, u64, String), Run>>,
}

impl Runs {
    /// Adds the runs of a list that was asked for at `asked_at`; one that is known already is
    /// replaced by what is known of it now.
    pub fn add(&mut self, list: RunList, asked_at: Instant) {
        self.listed_until = list.now;
        let clock_began = asked_at.checked_sub(Duration::from_millis(list.now));
        self.clock_began = self.clock_began.max(clock_began);
        for run in list.runs {
            let of_task = self.by_task.entry(run.task.clone()).or_default();
            of_task.insert((run.from, run.run, run.worker.clone()), run);
        }
    }

    pub fn all(&self) -> impl Iterator<Item = &Run> {
        self.by_task.values().flat_map(BTreeMap::values)
    }

    /// No task runs twice at the same time.
    pub fn check_single(&self, ledger: &mut Ledger) {
        for runs in self.by_task.values() {
            let runs: Vec<&Run> = runs.values().collect();
            for (index, later) in runs.iter().enumerate() {
                for earlier in &runs[..index] {
                    if earlier.until.is_none_or(|until| until > later.from) {
                        ledger.report(format!("twice at the same time: {earlier:?}, {later:?}"));
                    }
                }
            }
        }
    }

    /// No task of a job begins after a caller was told that the job has succeeded.
    pub fn check_told_ends(&self, ledger: &mut Ledger) {
        let Some(clock_began) = self.clock_began else {
            return;
        };
        for run in self.all() {
            let job = ledger.jobs.get(&run.job_and_step().0);
            let ended = job.filter(|job| job.end.as_deref() == Some("succeeded"));
            let told = ended.and_then(|job| job.ended_at);
            if told.is_some_and(|told| clock_began + Duration::from_millis(run.from) > told) {
                ledger.report(format!("begins after its job was told as done: {run:?}"));
            }
        }
    }

    /// The running tasks of no workspace exceed its cap.
    pub fn check_caps(&self, plan: &Plan, ledger: &mut Ledger) {
        for (index, workspace) in plan.workspaces.iter().enumerate() {
            if workspace.cap == 0 {
                continue;
            }
            // Ends come before the starts of the same millisecond: they make room for them.
            let mut changes: Vec<(u64, i64, &Run)> = Vec::new();
            for run in self.all() {
                let (id, step) = run.job_and_step();
                let Some(job) = ledger.jobs.get(&id).filter(|job| job.workspace == index) else {
                    continue;
                };
                let millicores = job.steps[step].millicores as i64;
                changes.push((run.from, millicores, run));
                changes.extend(run.until.map(|until| (until, -millicores, run)));
            }
            changes.sort_by_key(|(at, millicores, _)| (*at, *millicores));
            let mut held = 0;
            for (at, millicores, run) in changes {
                held += millicores;
                if millicores > 0 && held > workspace.cap as i64 {
                    let (name, cap) = (&workspace.name, workspace.cap);
                    ledger.report(format!(
                        "{name} holds {held} of {cap} at {at} after {run:?}"
                    ));
                    break;
                }
            }
        }
    }

    /// No job has run whose every submission was refused as not run.  `refused` lists these jobs
    /// and how often they were submitted, noted before the runs were fetched.
    pub fn check_refused(&self, refused: &BTreeMap<u64, u32>, ledger: &mut Ledger) {
        let begun: BTreeSet<u64> = self.all().map(|run| run.job_and_step().0).collect();
        for id in begun {
            let job = ledger.job(id).clone();
            if job.must_not_run() && refused.get(&id) == Some(&job.submissions) {
                ledger.report(format!("job {id:016x} runs and was refused: {job:?}"));
            }
        }
    }

    /// Each accepted job has ended, and each that succeeded has run completely.
    pub fn check_ends(&self, ledger: &mut Ledger) {
        for (id, job) in ledger.jobs.clone() {
            if let Some(fault) = self.fault_of(id, &job).filter(|_| job.accepted) {
                let fault = format!("job {id:016x}: {fault}");
                ledger.report(fault);
            }
        }
    }

    fn fault_of(&self, id: u64, job: &Job) -> Option<String> {
        match job.end.as_deref() {
            Some("succeeded") => {
                let is_done = |task: &String| {
                    let runs = self
                        .by_task
                        .get(task)
                        .into_iter()
                        .flat_map(BTreeMap::values);
                    runs.filter(|run| run.done).count() > 0
                };
                let mut tasks = (0..job.steps.len()).flat_map(|step| {
                    (0..job.steps[step].tasks).map(move |task| format!("{id:016x}.0.{step}.{task}"))
                });
                let missing = tasks.find(|task| !is_done(task))?;
                Some(format!("succeeded without {missing}"))
            }
            Some("canceled") if job.cancel_asked => None,
            Some(end) => Some(format!("is {end} without a cause: {job:?}")),
            None => Some(format!("lost, has not ended: {job:?}")),
        }
    }
}

/// Each workspace, all of which always have jobs waiting, completes some during the trouble.
pub fn check_starvation(plan: &Plan, ledger: &mut Ledger) {
    for (index, workspace) in plan.workspaces.iter().enumerate() {
        if ledger.ended_in_trouble(index) == 0 {
            let name = &workspace.name;
            ledger.report(format!("{name} has completed no job during the trouble"));
        }
    }
}
