//! How fast workers are: how long a task takes on a worker compared with a typical worker of the
//! same service, learned from the times of runs.
//!
//! It is for cells in which the same work takes up to three times as long on some workers as on
//! others.  Urgent jobs may take 1.5 times their critical path, so one task on a slow worker makes a
//! job late although there is free capacity.  See "Uneven workers" in `docs/DESIGN.md`.

use std::collections::BTreeMap;

use slotmap::{SecondaryMap, SlotMap};

use crate::cell::job::Run;
use crate::cell::round::Round;
use crate::cell::spec::Step;
use crate::cell::worker::{Worker, WorkerEntry};
use crate::cell::{Cell, StepKey, WorkerKey, tuning};
use crate::clock::Millis;

/// The mean of a series of values in which old values decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean {
    /// The number of values so far.
    pub count: u32,
    /// Their mean.
    pub value: f64,
}

impl Mean {
    /// Adds a value.  Up to `window / 2` values count alike.  Beyond that each new one has the
    /// weight `2 / window`, which gives the mean the variance of a mean over `window` values.
    pub fn add(&mut self, value: f64, window: u32) {
        self.count = self.count.saturating_add(1);
        let weight = 1.0 / f64::from(self.count.min((window / 2).max(1)));
        self.value += weight * (value - self.value);
    }
}

/// A class of workers: those of one service with the same first label, which names the kind of
/// machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class<'a> {
    /// The service.
    pub service: &'a str,
    /// The first label; empty if a worker has none.
    pub label: &'a str,
}

impl<'a> Class<'a> {
    /// Returns the class of a worker.
    pub fn of(entry: &'a WorkerEntry) -> Self {
        Self {
            service: &entry.service,
            label: entry.labels.first().map_or("", String::as_str),
        }
    }
}

/// How long a run took.
#[derive(Debug, Clone, Copy)]
pub struct RunTime {
    worker: WorkerKey,
    /// The natural logarithm of the run's time over its estimate.
    log: f64,
}

/// The times of the runs of one step.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Runs that have not been compared yet.
    waiting: Vec<RunTime>,
    /// How many runs were compared.
    compared: usize,
    /// The sum of their logarithms, corrected for the slowdowns of their workers.
    sum: f64,
}

/// Which workers a step prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SpeedPreference {
    /// Fast ones: on a slow one, a task of the step may end too late.
    Fast,
    /// Slow ones, so that the fast ones are left to others.
    Slow,
    /// The speed of workers makes no difference to the step.
    #[default]
    None,
}

impl SpeedPreference {
    /// Returns the preference of a step on a service whose slowest workers have the slowdown
    /// `slowest`.  `time_left` is the time in which the step must end so that its job ends within
    /// its granted time.
    ///
    /// A task that is in time even if it takes [`tuning::TASK_TIME_SPREAD`] times its expected time
    /// there gains nothing from a fast worker.  Fast workers are left to other steps then.
    pub fn of(step: &Step, slowest: f64, time_left: Millis) -> Self {
        if step.lasting {
            return Self::Slow;
        }
        let longest = step.estimate as f64 * slowest * tuning::TASK_TIME_SPREAD;
        if step.gang || longest > time_left as f64 {
            return Self::Fast;
        }
        Self::None
    }

    /// The rank of a worker of a speed tier among the candidates of a step; lower goes first.
    fn rank(self, tier: i32) -> i32 {
        match self {
            Self::Fast => tier,
            Self::Slow => -tier,
            Self::None => 0,
        }
    }

    /// The text for the log; none if there is no preference.
    fn text(self) -> Option<&'static str> {
        match self {
            Self::Fast => Some("fast"),
            Self::Slow => Some("slow"),
            Self::None => None,
        }
    }
}

/// What is used of a worker's speed until the slowdowns are computed again.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    /// The natural logarithm of the slowdown, without the dead band.
    log: f64,
    /// What is subtracted from the logarithms of run times before they are compared: the worker's
    /// own mean, once it has [`tuning::MIN_OWN_RUNS`].  The slowdown itself is moved towards that of
    /// the class, so subtracting it would make the learned difference smaller each time.
    correction: f64,
    /// The slowdown, which is 1.0 within the dead band.
    factor: f64,
    /// Slowdowns within about [`tuning::EQUAL_SPEEDS`] of each other are of one tier; higher is
    /// slower, and 0 is typical.
    tier: i32,
}

impl Slowdown {
    const TYPICAL: Self = Self {
        log: 0.0,
        correction: 0.0,
        factor: 1.0,
        tier: 0,
    };

    fn of(log: f64) -> Self {
        let bound = tuning::MAX_RUN_TIME_RATIO.ln();
        let log = log.clamp(-bound, bound);
        if log.abs() <= tuning::SPEED_DEAD_BAND.ln() {
            return Self {
                log,
                correction: log,
                ..Self::TYPICAL
            };
        }
        Self {
            log,
            correction: log,
            factor: log.exp(),
            tier: (log / tuning::EQUAL_SPEEDS.ln()).round() as i32,
        }
    }
}

/// The spread of the logarithms of the workers of a service.
#[derive(Debug, Clone, Copy)]
struct Spread {
    median: f64,
    /// The value that one in [`tuning::WORKERS_PER_SLOW_ONE`] workers exceeds.
    slow: f64,
}

impl Spread {
    /// Returns the spread of some values, of which there must be at least one.
    fn of(mut logs: Vec<f64>) -> Self {
        let count = logs.len();
        let mut nth = |index| *logs.select_nth_unstable_by(index, f64::total_cmp).1;
        Self {
            median: nth(count / 2),
            slow: nth(count - 1 - count / tuning::WORKERS_PER_SLOW_ONE),
        }
    }
}

/// What was learned about a class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassSpeed {
    mean: Mean,
    /// It was outside the dead band when the slowdowns were last computed.
    is_outside: bool,
    /// How many workers it had then.
    workers: usize,
}

impl ClassSpeed {
    fn is_known(&self) -> bool {
        self.mean.count >= tuning::MIN_CLASS_RUNS
    }
}

/// What was learned about the workers of a service.
#[derive(Debug, Clone, Default)]
struct ServiceSpeed {
    classes: BTreeMap<String, ClassSpeed>,
    /// The slowdown of the slowest class, or that of the slowest tenth of the workers if it is
    /// greater; at least 1.0.
    slowest: f64,
    /// How many workers are outside the dead band.
    outside: usize,
}

/// The speeds of all workers of a cell.
///
/// A slowdown is looked up for each candidate of each step, so the slowdowns are kept in a table.
/// It is computed again from the means at most every [`tuning::SPEED_INTERVAL`].
#[derive(Debug, Default)]
pub struct Speeds {
    /// The mean of each worker's own samples.
    workers: SecondaryMap<WorkerKey, Mean>,
    services: BTreeMap<String, ServiceSpeed>,
    /// For each queue, the mean logarithm of a run's time on a typical worker over its estimate.
    queues: BTreeMap<String, Mean>,
    table: SecondaryMap<WorkerKey, Slowdown>,
    /// Samples or workers have changed since the table was computed.
    changed: bool,
    /// When the table was last computed.
    computed_at: Millis,
}

impl Speeds {
    /// Learns from a run on a worker of a class.  `sample` is the logarithm of the run's time over
    /// its estimate, less the mean of that logarithm over comparable runs.
    pub fn learn(&mut self, worker: WorkerKey, class: Class<'_>, sample: f64) {
        if let Some(own) = self.workers.entry(worker) {
            own.or_default().add(sample, tuning::WORKER_SPEED_RUNS);
        }
        let service = entry_of(&mut self.services, class.service);
        let of_class = entry_of(&mut service.classes, class.label);
        of_class.mean.add(sample, tuning::CLASS_SPEED_RUNS);
        self.changed = true;
    }

    /// Learns from the waiting runs of a step.  Each is compared with the other runs of the step
    /// that have ended, or with those of its queue if the step has few.
    ///
    /// The times are corrected for what is known of their workers so far.  Otherwise workers would
    /// look even wherever a step runs only on fast ones, or only on slow ones.
    fn compare(&mut self, times: &mut RunTimes, queue: &str, workers: &SlotMap<WorkerKey, Worker>) {
        let waiting = std::mem::take(&mut times.waiting);
        let typical_times = waiting.iter().map(|time| {
            let slowdown = self.table.get(time.worker);
            time.log - slowdown.map_or(0.0, |slowdown| slowdown.correction)
        });
        let typical_times: Vec<f64> = typical_times.collect();
        times.sum += typical_times.iter().sum::<f64>();
        times.compared += waiting.len();
        let of_queue = self.queues.get(queue).copied().unwrap_or_default();
        for (time, typical) in waiting.iter().zip(&typical_times) {
            let mean = if times.compared >= tuning::MIN_COMPARED_RUNS {
                (times.sum - typical) / (times.compared - 1) as f64
            } else if of_queue.count as usize >= tuning::MIN_COMPARED_RUNS {
                of_queue.value
            } else {
                continue;
            };
            if let Some(worker) = workers.get(time.worker) {
                self.learn(time.worker, Class::of(&worker.entry), time.log - mean);
            }
        }
        let of_queue = entry_of(&mut self.queues, queue);
        for typical in typical_times {
            of_queue.add(typical, tuning::QUEUE_TIME_RUNS);
        }
    }

    /// Drops the values of a worker that has vanished.
    pub(super) fn forget(&mut self, worker: WorkerKey) {
        self.workers.remove(worker);
        self.table.remove(worker);
        self.changed = true;
    }

    /// Has the table computed in the next round, so that it includes a worker that was added.
    pub(super) fn worker_added(&mut self) {
        self.changed = true;
        self.computed_at = 0;
    }

    /// Computes the table again if something has changed and it was not computed recently.
    pub(super) fn update<'a>(
        &mut self,
        workers: impl Iterator<Item = (WorkerKey, &'a Worker)> + Clone,
        now: Millis,
    ) {
        let is_due = self.computed_at == 0 || now >= self.computed_at + tuning::SPEED_INTERVAL;
        if !self.changed || !is_due {
            return;
        }
        self.changed = false;
        self.computed_at = now;
        self.table.clear();
        for service in self.services.values_mut() {
            service.outside = 0;
            let classes = service.classes.values_mut();
            classes.for_each(|class| class.workers = 0);
        }
        let spreads = self.compute_logs(workers.clone());
        for (key, worker) in workers {
            let service = worker.entry.service.as_str();
            let (Some(slowdown), Some(spread)) = (self.table.get_mut(key), spreads.get(service))
            else {
                continue;
            };
            let correction = slowdown.correction - spread.median;
            *slowdown = Slowdown {
                correction,
                ..Slowdown::of(slowdown.log - spread.median)
            };
            if let Some(speed) = self.services.get_mut(service) {
                speed.outside += usize::from(slowdown.factor != 1.0);
            }
        }
        for (name, service) in &mut self.services {
            service.update_classes(name, spreads.get(name));
        }
    }

    /// Fills the table for the workers whose class is known, relative to the estimates and not yet
    /// to the typical worker.  Returns the spread of their logarithms by service.
    fn compute_logs<'a>(
        &mut self,
        workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
    ) -> BTreeMap<String, Spread> {
        let mut logs: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (key, worker) in workers {
            let class = Class::of(&worker.entry);
            let Some(service) = self.services.get_mut(class.service) else {
                continue;
            };
            let Some(speed) = service.classes.get_mut(class.label) else {
                continue;
            };
            speed.workers += 1;
            if !speed.is_known() {
                continue;
            }
            let own = self.workers.get(key).copied().unwrap_or_default();
            let log = combine(speed.mean.value, own);
            let is_own_used = own.count >= tuning::MIN_OWN_RUNS;
            let slowdown = Slowdown {
                log,
                correction: if is_own_used { own.value } else { log },
                ..Slowdown::TYPICAL
            };
            self.table.insert(key, slowdown);
            logs.entry(class.service).or_default().push(log);
        }
        let spreads = logs.into_iter();
        let spreads = spreads.map(|(service, logs)| (service.to_owned(), Spread::of(logs)));
        spreads.collect()
    }

    fn slowdown(&self, worker: WorkerKey) -> Slowdown {
        let slowdown = self.table.get(worker);
        slowdown.copied().unwrap_or(Slowdown::TYPICAL)
    }

    /// Returns [`ServiceSpeed::slowest`] of a service; none while all its workers count as 1.0.
    fn slowest(&self, service: &str) -> Option<f64> {
        let service = self.services.get(service)?;
        (service.outside > 0).then_some(service.slowest)
    }

    /// How many workers are outside the dead band.
    fn outside(&self) -> usize {
        self.services.values().map(|service| service.outside).sum()
    }
}

impl ServiceSpeed {
    /// Computes the slowdowns of the classes, and logs which of them leave or enter the dead band.
    /// Classes without workers are dropped.
    fn update_classes(&mut self, service: &str, spread: Option<&Spread>) {
        self.classes.retain(|_, class| class.workers > 0);
        self.slowest = spread.map_or(1.0, |spread| {
            Slowdown::of(spread.slow - spread.median).factor.max(1.0)
        });
        for (label, class) in &mut self.classes {
            let factor = match spread {
                Some(spread) if class.is_known() => {
                    Slowdown::of(class.mean.value - spread.median).factor
                }
                _ => 1.0,
            };
            let is_outside = factor != 1.0;
            if class.is_outside != is_outside {
                tracing::info!(
                    service,
                    class = label,
                    slowdown = factor,
                    runs = class.mean.count,
                    workers = class.workers,
                    "{}",
                    if is_outside {
                        "class of workers has left the dead band"
                    } else {
                        "class of workers has entered the dead band"
                    }
                );
            }
            class.is_outside = is_outside;
            self.slowest = self.slowest.max(factor);
        }
    }
}

/// Moves the mean of a class towards the worker's own mean, whose weight grows with its runs.
fn combine(class: f64, own: Mean) -> f64 {
    let runs = f64::from(own.count.min(tuning::WORKER_SPEED_RUNS));
    let weight = runs / (runs + tuning::CLASS_WEIGHT_RUNS);
    class + weight * (own.value - class)
}

/// Returns the entry of a name, without a copy of the name if there is one already.
fn entry_of<'a, T: Default>(map: &'a mut BTreeMap<String, T>, name: &str) -> &'a mut T {
    if !map.contains_key(name) {
        map.insert(name.to_owned(), T::default());
    }
    map.get_mut(name).expect("inserted above")
}

impl Cell {
    /// How long a task takes on a worker compared with a typical worker of its service: 1.0 for a
    /// typical one, more for a slow one.
    pub fn slowdown(&self, worker: WorkerKey) -> f64 {
        self.speeds.slowdown(worker).factor
    }

    /// How long a task of a step is expected to take on a worker.
    pub fn expected_duration(&self, step: StepKey, worker: WorkerKey) -> Millis {
        let estimate = self.steps[step].step().estimate;
        self.expected_time(estimate, worker)
    }

    pub(super) fn expected_time(&self, estimate: Millis, worker: WorkerKey) -> Millis {
        match self.slowdown(worker) {
            1.0 => estimate,
            slowdown => (estimate as f64 * slowdown) as Millis,
        }
    }

    /// How many workers are outside the dead band, that is, count as slow or fast.
    pub fn count_uneven_workers(&self) -> usize {
        self.speeds.outside()
    }

    /// Computes the slowdowns from what was learned, if that is due.
    pub(super) fn update_speeds(&mut self, now: Millis) {
        if self.options.worker_speed {
            self.speeds.update(self.workers.iter(), now);
        }
    }

    /// Notes the time of a run that succeeded.  Once the last task of its step is done, or many
    /// are, learns about the workers from the step's runs.
    pub(super) fn learn_speed(&mut self, run: &Run, now: Millis) {
        if !self.options.worker_speed {
            return;
        }
        let time = self.run_time(run, now);
        let step = &mut self.steps[run.step];
        step.run_times.waiting.extend(time);
        if step.open <= 1 || step.run_times.waiting.len() >= tuning::MAX_WAITING_RUN_TIMES {
            let queue = &self.jobs[step.job].queue.name;
            self.speeds
                .compare(&mut step.run_times, queue, &self.workers);
        }
    }

    /// The time of a run that has just ended; none if it is no measure of the worker's speed.
    fn run_time(&self, run: &Run, now: Millis) -> Option<RunTime> {
        let spec = self.steps[run.step].step();
        // The times of fillers depend on what other tasks leave them.
        if spec.gang || spec.lasting || spec.filler || run.restored || spec.estimate == 0 {
            return None;
        }
        // A run that a former owner started (`sent_at` is 0) began at an unknown time.
        if run.began_at == 0 || run.sent_at == 0 {
            return None;
        }
        let time = now.saturating_sub(run.began_at);
        if !self.is_time_accurate(run, time) {
            return None;
        }
        let ratio = time as f64 / spec.estimate as f64;
        let bound = tuning::MAX_RUN_TIME_RATIO;
        Some(RunTime {
            worker: run.worker,
            log: ratio.clamp(1.0 / bound, bound).ln(),
        })
    }

    /// Returns whether the begin and the end of a run became known early enough for the measured
    /// `time` to be accurate.
    fn is_time_accurate(&self, run: &Run, time: Millis) -> bool {
        let worker = self.workers.get(run.worker);
        let end_delay = worker.map_or(Millis::MAX, |worker| worker.max_end_delay);
        let begin_delay = run.began_at.saturating_sub(run.sent_at);
        let error = begin_delay.saturating_add(end_delay);
        error <= tuning::USUAL_RUN_TIME_ERROR
            || error as f64 <= time as f64 * tuning::MAX_RUN_TIME_ERROR
    }

    /// The preference of a step, computed once a round.
    pub(super) fn speed_preference(&self, key: StepKey, round: &mut Round) -> SpeedPreference {
        if !self.options.worker_speed {
            return SpeedPreference::None;
        }
        if let Some(&preference) = round.speed_preferences.get(key) {
            return preference;
        }
        let step = &self.steps[key];
        let service = &self.jobs[step.job].queue.service;
        let preference = match self.speeds.slowest(service) {
            Some(slowest) => {
                let time_left = self.step_time_left(key, round.now);
                SpeedPreference::of(step.step(), slowest, time_left)
            }
            None => SpeedPreference::None,
        };
        round.speed_preferences.insert(key, preference);
        preference
    }

    /// The rank of a worker by its speed among the candidates of a step; lower goes first.
    pub(super) fn speed_rank(&self, preference: SpeedPreference, worker: WorkerKey) -> i32 {
        match preference {
            SpeedPreference::None => 0,
            _ => preference.rank(self.speeds.slowdown(worker).tier),
        }
    }

    /// The preference of a step as text for the log; none if it has none.
    pub(super) fn speed_preference_text(
        &self,
        key: StepKey,
        round: &Round,
    ) -> Option<&'static str> {
        round.speed_preferences.get(key)?.text()
    }
}
