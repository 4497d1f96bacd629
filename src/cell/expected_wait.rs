//! How long the first task of a new job can be expected to wait, by queue.
//!
//! Nodes use these waits to refuse jobs under lasting overload (`node::admission`).  A wait is the
//! work that goes before a new job, divided by the processors that can do it.
//!
//! The waits depend on the callers' estimates and leave out work that arrives later.  That of a
//! queue is therefore too short if more urgent work keeps arriving.

use std::cell::LazyCell;
use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::cell::job::Run;
use crate::cell::spec::Demand;
use crate::cell::start_wait::StartWaits;
use crate::cell::{Cell, JobKey, StepKey, WorkspaceKey, tuning};
use crate::clock::Millis;

/// The waits are computed at most once in this time, in milliseconds: heartbeats to one node are
/// no closer together.
pub const COMPUTE_INTERVAL: Millis = 100;
/// A new owner publishes nothing for this long, in milliseconds.  Workers that it has not heard
/// from yet do not count, so the waits would be too long.
pub const QUIET_AFTER_CLAIM: Millis = 1_000;
/// The most waits that are published.  A heartbeat grows by some 3 KB with that many.
pub const MAX_PUBLISHED: usize = 64;

/// Stands for the jobs without a workspace in an [`ExpectedWait`] that is for these jobs only.  No
/// workspace has this name.
pub const NO_WORKSPACE: &str = "\u{1f}";

/// How long the first task of a new job is expected to wait.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpectedWait {
    /// The name of the queue.
    pub queue: String,
    /// The name of the workspace for whose jobs this counts, or [`NO_WORKSPACE`]; empty for all
    /// others.
    pub workspace: String,
    /// The wait in milliseconds.
    pub wait: Millis,
}

/// Work that goes before a new job: that of one job, or of all jobs under one limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// The work that is left, in millicore-milliseconds; infinite for tasks without an end.
    pub work: f64,
    /// The most processors that it can use at a time, in millicores.
    pub millicores: f64,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.work += other.work;
        self.millicores += other.millicores;
    }
}

/// Returns how long `millicores` are taken up by `loads`, in milliseconds: the sum of their work
/// over the processors, where no load counts for more than it can do in that time.
///
/// The bound matters for tasks without an end, for workspaces at their cap and for estimates of a
/// year: these hold their processors and leave the others to a new job.  The wait is zero if all
/// loads fit side by side.
pub fn expected_wait(mut loads: Vec<Load>, millicores: f64) -> Millis {
    loads.retain(|load| load.millicores > 0.0);
    let duration = |load: &Load| load.work / load.millicores;
    loads.sort_by(|a, b| duration(a).total_cmp(&duration(b)));
    let mut unfinished: f64 = loads.iter().map(|load| load.millicores).sum();
    if unfinished <= millicores {
        return 0;
    }
    let mut finished_work = 0.0;
    for (index, load) in loads.iter().enumerate() {
        // Loads up to this one end within the wait; the others hold their processors throughout.
        finished_work += load.work;
        unfinished -= load.millicores;
        let next = loads.get(index + 1).map_or(f64::INFINITY, duration);
        let left = millicores - unfinished;
        if left > 0.0 && finished_work / left <= next {
            return (finished_work / left).max(duration(load)).ceil() as Millis;
        }
    }
    Millis::MAX
}

/// Returns the waits to publish: those above zero, longest first, at most [`MAX_PUBLISHED`].
pub fn select_published(mut waits: Vec<ExpectedWait>) -> Vec<ExpectedWait> {
    waits.retain(|entry| entry.wait > 0);
    waits.sort_by(|a, b| {
        let name = |entry: &ExpectedWait| (entry.queue.clone(), entry.workspace.clone());
        (b.wait.cmp(&a.wait)).then_with(|| name(a).cmp(&name(b)))
    });
    waits.truncate(MAX_PUBLISHED);
    waits
}

/// The waits that an owner publishes.
#[derive(Debug)]
pub struct Publication {
    held_since: Millis,
    /// When `waits` was computed; none before the first time.
    pub computed_at: Option<Millis>,
    /// The waits for room as last computed.
    pub waits: Vec<ExpectedWait>,
    /// The waits for starts as last computed.
    pub start_waits: StartWaits,
}

impl Publication {
    /// Creates the publication of an ownership that began at `held_since`.
    pub fn new(held_since: Millis) -> Self {
        Self {
            held_since,
            computed_at: None,
            waits: Vec::new(),
            start_waits: StartWaits::default(),
        }
    }

    /// Computes the waits again if that is due.
    pub fn refresh(
        &mut self,
        now: Millis,
        compute: impl FnOnce() -> (Vec<ExpectedWait>, StartWaits),
    ) {
        let is_fresh = |at: Millis| now.saturating_sub(at) < COMPUTE_INTERVAL;
        if now < self.held_since + QUIET_AFTER_CLAIM || self.computed_at.is_some_and(is_fresh) {
            return;
        }
        let (waits, start_waits) = compute();
        self.waits = select_published(waits);
        self.start_waits = start_waits;
        self.computed_at = Some(now);
    }

    /// Drops the waits, so that none are known until they are computed again.
    pub fn withdraw(&mut self) {
        self.waits.clear();
        self.start_waits = StartWaits::default();
        self.computed_at = None;
    }
}

/// How many different sizes of workers are examined to find how well tasks fill them, which bounds
/// the work for each step.  Sites have a handful; of more, evenly spread ones are examined.
const MAX_WORKER_SIZES: usize = 64;

/// The workers of one service that accept work.
#[derive(Debug, Default)]
struct Usable {
    millicores: u64,
    /// The number of workers by their processors, memory and accelerators.
    sizes: BTreeMap<(u64, u64, u64), u32>,
}

impl Usable {
    fn add(&mut self, capacity: &Demand) {
        self.millicores += capacity.millicores;
        let size = (capacity.millicores, capacity.memory, capacity.gpus);
        *self.sizes.entry(size).or_default() += 1;
    }

    /// The processors that a task takes up together with those that stay idle beside it, in
    /// millicores; zero if no worker can hold such a task.
    ///
    /// For instance, three tasks of 4.5 cores take up a worker of 16.  By their demand alone, the
    /// expected wait would be a sixth too short, and jobs that are just accepted would end too late.
    fn taken_up_by(&self, room: &Demand) -> f64 {
        if room.millicores == 0 {
            return 0.0;
        }
        let (mut millicores, mut tasks) = (0.0, 0.0);
        let interval = self.sizes.len().div_ceil(MAX_WORKER_SIZES).max(1);
        for (&(cores, memory, gpus), &count) in self.sizes.iter().step_by(interval) {
            let capacity = Demand {
                millicores: cores,
                memory,
                gpus,
            };
            millicores += cores as f64 * f64::from(count);
            tasks += f64::from(capacity.times(room)) * f64::from(count);
        }
        if tasks > 0.0 { millicores / tasks } else { 0.0 }
    }
}

/// The runs of one step.
#[derive(Debug, Default)]
struct StepRuns {
    runs: u32,
    /// The sum of what they still need, in milliseconds.
    remaining: f64,
    /// How many of them have no end.
    endless: u32,
}

/// The work of each job.
#[derive(Default)]
struct JobLoads {
    /// Work that ends, waiting and running.
    ending: SecondaryMap<JobKey, Load>,
    /// The part of `ending` that runs, in millicore-milliseconds.
    running: SecondaryMap<JobKey, f64>,
    /// Work without an end, waiting and running.
    endless: SecondaryMap<JobKey, Load>,
    /// The jobs with waiting tasks.
    waiting: SecondaryMap<JobKey, ()>,
}

/// Jobs of one queue and workspace share their limits on processors.
type LimitKey<'a> = (&'a str, Option<WorkspaceKey>);

/// The loads of one service and priority.
#[derive(Default)]
struct Loads<'a> {
    /// Loads without a limit, by workspace.
    free: Vec<(Option<WorkspaceKey>, Load)>,
    /// Loads under a limit, in millicores, by what it is for.
    limited: BTreeMap<LimitKey<'a>, (Load, u64)>,
    /// Some tasks wait.
    has_waiting: bool,
}

impl Loads<'_> {
    fn collect(&self) -> impl Iterator<Item = (Option<WorkspaceKey>, Load)> + '_ {
        let limited = self.limited.iter().map(|(key, (load, limit))| {
            let millicores = load.millicores.min(*limit as f64);
            (
                key.1,
                Load {
                    millicores,
                    ..*load
                },
            )
        });
        self.free.iter().copied().chain(limited)
    }
}

/// Loads by service and priority.
type LoadMap<'a> = BTreeMap<(&'a str, u32), Loads<'a>>;

/// Returns the loads of a service up to a priority number, with their workspace and priority.
fn loads_before<'a>(
    loads: &'a LoadMap<'_>,
    (service, priority): (&'a str, u32),
) -> impl Iterator<Item = (u32, Option<WorkspaceKey>, Load)> + 'a {
    let before = loads.range((service, 0)..=(service, priority));
    before.flat_map(|(&(_, priority), loads)| {
        let loads = loads.collect();
        loads.map(move |(workspace, load)| (priority, workspace, load))
    })
}

/// A workspace with waiting tasks beyond its share.
#[derive(Debug, Clone, Copy)]
struct Beyond {
    /// The priority number from which its work is beyond its share.
    priority: u32,
    /// The processors to which it is entitled, in millicores.
    entitled: f64,
}

/// The workspaces with waiting tasks beyond their share.
type BeyondShares = BTreeMap<Option<WorkspaceKey>, Beyond>;

/// Returns the loads that go before a new job of a workspace within its share.  Work that has the
/// job's priority and is beyond the share of its workspace goes behind it, so such a workspace
/// counts for no more than its entitlement less its more urgent work.
fn loads_before_others(loads: &LoadMap<'_>, key: (&str, u32), beyond: &BeyondShares) -> Vec<Load> {
    let mut before = Vec::new();
    // The load at this priority and the processors for more urgent work.
    let mut by_workspace: BTreeMap<Option<WorkspaceKey>, (Load, f64)> = BTreeMap::new();
    for (priority, workspace, load) in loads_before(loads, key) {
        let beyond = beyond.get(&workspace);
        if beyond.is_none_or(|beyond| beyond.priority > key.1) {
            before.push(load);
            continue;
        }
        let (of_priority, more_urgent) = by_workspace.entry(workspace).or_default();
        if priority == key.1 {
            of_priority.add(load);
        } else {
            *more_urgent += load.millicores;
            before.push(load);
        }
    }
    for (workspace, (load, more_urgent)) in by_workspace {
        let left = (beyond[&workspace].entitled - more_urgent).max(0.0);
        before.push(Load {
            millicores: load.millicores.min(left),
            ..load
        });
    }
    before
}

/// Returns the expected waits of a service and priority, of which the workers have `millicores`.
fn priority_waits(
    (loads, own_loads): (&LoadMap<'_>, &LoadMap<'_>),
    key: (&str, u32),
    beyond: &BeyondShares,
    millicores: f64,
) -> PriorityWaits {
    // Runs alone may take up more than the usable workers have, for instance if some run on workers
    // that no longer accept work.  New jobs do not wait for these.
    let mut before = loads.range((key.0, 0)..=key);
    let general = match before.any(|(_, loads)| loads.has_waiting) {
        true => expected_wait(loads_before_others(loads, key, beyond), millicores),
        false => 0,
    };
    let mut own: BTreeMap<Option<WorkspaceKey>, Vec<Load>> = BTreeMap::new();
    for (_, workspace, load) in loads_before(own_loads, key) {
        if beyond[&workspace].priority <= key.1 {
            own.entry(workspace).or_default().push(load);
        }
    }
    // Without an entitlement a workspace waits for all other work.
    let wait_for_all = LazyCell::new(|| {
        let all = loads_before(loads, key).map(|(_, _, load)| load);
        expected_wait(all.collect(), millicores)
    });
    let own = own.into_iter().map(|(workspace, own)| {
        let entitled = beyond[&workspace].entitled;
        let wait = match entitled < 1.0 {
            true => *wait_for_all,
            false => expected_wait(own, entitled),
        };
        // Its jobs go behind those of workspaces within their share.
        (workspace, wait.max(general))
    });
    let own = own.collect();
    PriorityWaits { general, own }
}

/// The expected waits of one service and priority.
struct PriorityWaits {
    /// That of jobs of workspaces within their share.
    general: Millis,
    /// Those of the workspaces beyond their share.
    own: Vec<(Option<WorkspaceKey>, Millis)>,
}

impl Cell {
    /// Returns the expected wait of each configured queue, also where it is zero, and that of each
    /// workspace that is beyond its share there.
    ///
    /// Queues whose service has no usable workers are left out: that is an outage and not load.
    /// While rows of jobs are unread, nothing is returned, since the owner cannot tell then whether
    /// a job is known.
    pub fn expected_waits(&self, now: Millis) -> Vec<ExpectedWait> {
        if self.has_unread_jobs {
            return Vec::new();
        }
        let usable = self.usable_by_service(now);
        let beyond = self.shares.beyond_workspaces.iter();
        let beyond = beyond.filter_map(|(&workspace, beyond)| {
            let (priority, entitled) = (beyond.waiting_priority?, beyond.entitled);
            Some((workspace, Beyond { priority, entitled }))
        });
        let beyond: BeyondShares = beyond.collect();
        let (loads, own_loads) = self.loads(&usable, &beyond);
        let mut by_priority: BTreeMap<(&str, u32), PriorityWaits> = BTreeMap::new();
        let mut waits = Vec::new();
        for queue in self.config.queues() {
            let Some(usable) = usable.get(queue.service.as_str()) else {
                continue;
            };
            let key = (queue.service.as_str(), queue.priority);
            let of_priority = by_priority.entry(key).or_insert_with(|| {
                priority_waits((&loads, &own_loads), key, &beyond, usable.millicores as f64)
            });
            let entry = |workspace: &str, wait| ExpectedWait {
                queue: queue.name.clone(),
                workspace: workspace.to_owned(),
                wait,
            };
            waits.push(entry("", of_priority.general));
            for &(workspace, wait) in &of_priority.own {
                let workspace = workspace.map(|key| self.ledger.workspace(key).name.as_str());
                waits.push(entry(workspace.unwrap_or(NO_WORKSPACE), wait));
            }
        }
        waits
    }

    /// The workers that accept work, by service.  Parked workers count: they are used as soon as
    /// there is work for them.
    fn usable_by_service(&self, now: Millis) -> BTreeMap<&str, Usable> {
        let mut usable: BTreeMap<&str, Usable> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if self.provides_capacity(key, now) {
                let of_service = usable.entry(worker.entry.service.as_str()).or_default();
                of_service.add(&worker.entry.capacity);
            }
        }
        usable.retain(|_, workers| workers.millicores > 0);
        usable
    }

    /// The runs of each step.
    fn step_runs(&self) -> SecondaryMap<StepKey, StepRuns> {
        let mut by_step: SecondaryMap<StepKey, StepRuns> = SecondaryMap::new();
        for run in self.runs.values() {
            let Some(entry) = by_step.entry(run.step) else {
                continue;
            };
            let runs = entry.or_default();
            runs.runs += 1;
            match self.remaining_time(run) {
                Some(time) => runs.remaining += time.max(1) as f64,
                None => runs.endless += 1,
            }
        }
        by_step
    }

    /// How long a run still needs, in milliseconds; none for a run without an end.
    fn remaining_time(&self, run: &Run) -> Option<Millis> {
        let step = self.steps[run.step].step();
        match run.remaining(step.estimate) {
            _ if run.stop.is_some() => Some(tuning::TYPICAL_STOP_TIME),
            _ if step.lasting => None,
            // No progress is reported yet: a task of an hour takes 36 s to reach one percent.
            Millis::MAX => Some(step.estimate),
            remaining => Some(remaining),
        }
    }

    /// The work of each job, waiting and running.
    fn job_loads(&self, usable: &BTreeMap<&str, Usable>) -> JobLoads {
        let mut jobs = JobLoads::default();
        let by_step = self.step_runs();
        let size_of = |key: StepKey| {
            let step = &self.steps[key];
            let workers = usable.get(self.jobs[step.job].queue.service.as_str());
            workers.map_or(0.0, |workers| workers.taken_up_by(&step.step().room()))
        };
        for (key, runs) in &by_step {
            let (job, size) = (self.steps[key].job, size_of(key));
            let ending = f64::from(runs.runs - runs.endless);
            let work = size * runs.remaining;
            add_load(&mut jobs.ending, job, load(work, size * ending));
            if let Some(entry) = jobs.running.entry(job) {
                *entry.or_default() += work;
            }
            if runs.endless > 0 {
                let millicores = size * f64::from(runs.endless);
                add_load(&mut jobs.endless, job, load(f64::INFINITY, millicores));
            }
        }
        for &key in &self.open_steps {
            let step = &self.steps[key];
            let runs = by_step.get(key).map_or(0, |runs| runs.runs);
            let waiting = step.open.saturating_sub(runs);
            if waiting == 0 {
                continue;
            }
            jobs.waiting.insert(step.job, ());
            let spec = step.step();
            let millicores = size_of(key) * f64::from(waiting);
            // Later steps of a job go before a new job as well, but not beside its earlier steps.
            let at_once = if step.ready { millicores } else { 0.0 };
            if spec.lasting {
                add_load(&mut jobs.endless, step.job, load(f64::INFINITY, at_once));
            } else {
                let work = millicores * spec.estimate.max(1) as f64;
                add_load(&mut jobs.ending, step.job, load(work, at_once));
            }
        }
        jobs
    }

    /// Returns the loads of all work, and those of the workspaces beyond their share without the
    /// work that runs.  New jobs of such a workspace start once the tasks before them have started,
    /// in the room that its own runs leave.
    fn loads(
        &self,
        usable: &BTreeMap<&str, Usable>,
        beyond: &BeyondShares,
    ) -> (LoadMap<'_>, LoadMap<'_>) {
        let jobs = self.job_loads(usable);
        let (mut loads, mut own_loads) = (LoadMap::new(), LoadMap::new());
        for (key, load) in jobs.ending {
            self.add_to(&mut loads, key, load);
            if beyond.contains_key(&self.jobs[key].workspace) {
                let running = jobs.running.get(key).copied().unwrap_or_default();
                let work = (load.work - running).max(0.0);
                self.add_to(&mut own_loads, key, Load { work, ..load });
            }
        }
        for (key, load) in jobs.endless {
            self.add_to(&mut loads, key, load);
            if beyond.contains_key(&self.jobs[key].workspace) {
                self.add_to(&mut own_loads, key, load);
            }
        }
        for key in jobs.waiting.keys() {
            let job = &self.jobs[key];
            let of_priority = (job.queue.service.as_str(), job.decision.priority);
            loads.entry(of_priority).or_default().has_waiting = true;
        }
        (loads, own_loads)
    }

    /// Adds the load of a job to those of its service and priority.
    fn add_to<'a>(&'a self, loads: &mut LoadMap<'a>, key: JobKey, load: Load) {
        let job = &self.jobs[key];
        let of_priority = (job.queue.service.as_str(), job.decision.priority);
        let loads = loads.entry(of_priority).or_default();
        match self.processor_limit(key) {
            None => loads.free.push((job.workspace, load)),
            Some(limit) => {
                let limited = (job.queue.name.as_str(), job.workspace);
                let entry = loads.limited.entry(limited).or_default();
                entry.0.add(load);
                entry.1 = limit;
            }
        }
    }

    /// The most processors that the jobs of a job's queue and workspace may hold, in millicores;
    /// none if there is no limit.
    fn processor_limit(&self, key: JobKey) -> Option<u64> {
        let cap = self.workspace_of(key).map(|w| w.cap.millicores);
        let cap = cap.filter(|&millicores| millicores > 0);
        cap.into_iter().chain(self.jobs[key].decision.quota).min()
    }
}

fn load(work: f64, millicores: f64) -> Load {
    Load { work, millicores }
}

fn add_load(loads: &mut SecondaryMap<JobKey, Load>, job: JobKey, load: Load) {
    if let Some(entry) = loads.entry(job) {
        entry.or_default().add(load);
    }
}
