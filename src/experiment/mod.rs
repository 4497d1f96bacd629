//! Seeded experiments with the scheduling core, with generated arrivals and in-memory workers.
//!
//! There is no network and no store: orders are executed at once, and every 20 ms all changes count
//! as recorded.  `docs/CAPACITY.md` gives figures and commands.

mod advice_use;
pub mod load;
mod objective;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::cell::options::Options;
use crate::cell::order::{AdviceOrder, Order};
use crate::cell::spec::JobSpec;
use crate::cell::{Cell, Milestone, WorkerKey};
use crate::clock::Millis;
use crate::embedded::worker::MemoryWorker;
use crate::experiment::advice_use::{AdviceOutcome, AdviceUse};
use crate::experiment::load::Load;
use crate::experiment::objective::Objectives;
use crate::policy::{BuiltIn, Decision, Policy, Turn};
use crate::queue::{Configuration, Draft, Queue};

/// The length of a step of virtual time, in milliseconds.
const TIME_STEP: Millis = 10;
/// How often a worker is polled, in milliseconds: as often as a node polls a busy one.
const POLL_INTERVAL: Millis = 100;
/// How often changes are recorded, in milliseconds.
const RECORD_INTERVAL: Millis = 20;
/// The largest value of the histograms, in milliseconds or nanoseconds; larger ones count as this.
const MAX_VALUE: u64 = 60_000_000_000;
/// The number of lanes to the advice service: the third user's nodes, each of which is one lane.
const LANES: usize = 9;
/// The number of lanes of [`Kind::AdvisedCores`].
const ADVISED_CORES_LANES: usize = 34;

/// The kind of load of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// Short urgent jobs and long batch jobs.
    Cores,
    /// Gangs and jobs of independent tasks, all of which need accelerators and advice.
    Accelerators,
    /// Short urgent jobs and long batch jobs, all of which need advice.
    AdvisedCores,
}

impl Kind {
    fn lanes(self) -> usize {
        match self {
            Self::Cores | Self::Accelerators => LANES,
            Self::AdvisedCores => ADVISED_CORES_LANES,
        }
    }

    fn load(self) -> Box<dyn Load> {
        match self {
            Self::Cores => Box::new(load::Cores),
            Self::Accelerators => Box::new(load::Accelerators),
            Self::AdvisedCores => Box::new(load::AdvisedCores),
        }
    }
}

/// The parameters of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Setup {
    /// The kind of load.
    pub kind: Kind,
    /// Waiting steps reserve room against less urgent ones.
    pub reserves: bool,
    /// Questions are only asked for steps that can start soon.
    pub advice_planning: bool,
    /// The order in which jobs of one queue are considered.
    pub turn: Turn,
    /// The number of workers.
    pub workers: usize,
    /// The demand for the scarce resource, in percent of the workers' capacity.
    pub load_percent: f64,
    /// The share of workers on which every task fails, in percent.
    pub bad_percent: f64,
    /// The length of the experiment, in milliseconds of virtual time.
    pub length: Millis,
    /// The seed from which arrivals are drawn.
    pub seed: u64,
}

/// The results of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The parameters.
    pub setup: Setup,
    /// The number of jobs that arrived.
    pub jobs: u64,
    /// The number of starts.
    pub starts: u64,
    /// The time from a job's arrival to its first start, in milliseconds, in the more urgent queue:
    /// 50th, 99th and 99.9th percentile.
    pub urgent_wait_ms: [u64; 3],
    /// The same for the other queue.
    pub batch_wait_ms: [u64; 3],
    /// The median and the 95th percentile of the same, for each queue.
    pub median_and_p95_wait_ms: [[u64; 2]; 2],
    /// How the lanes to the advice service were used, and what capacity stayed free meanwhile.
    pub advice: AdviceOutcome,
    /// For each queue, the share of jobs that ended within the queue's objective among those that
    /// should have ended by the end of the experiment, in percent.
    pub in_time_percent: [f64; 2],
    /// The share of processors held by tasks, in percent: the mean over the second half of the
    /// experiment.
    pub cores_used_percent: f64,
    /// The real time that a scheduling round takes per start, in nanoseconds: 50th and 99th
    /// percentile over the rounds that ordered starts.
    pub decision_ns: [u64; 2],
    /// The number of starts that the core withheld because they would have broken an invariant.
    pub violations: u64,
}

/// The built-in policy, except that reservations and the turn are set by the experiment.
struct ExperimentPolicy {
    reserves: bool,
    turn: Turn,
}

impl Policy for ExperimentPolicy {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        Decision {
            reserves: self.reserves,
            turn: self.turn,
            ..BuiltIn.decide(queue, spec)
        }
    }
}

/// A running experiment.
struct Experiment {
    setup: Setup,
    cell: Cell,
    workers: BTreeMap<WorkerKey, MemoryWorker>,
    load: Box<dyn Load>,
    queues: [Queue; 2],
    /// Questions to the advice service that are not answered yet, with the time of their answer.
    open_questions: Vec<(Millis, AdviceOrder)>,
    objectives: Objectives,
    advice_use: AdviceUse,
    rng: StdRng,
    now: Millis,
    /// The number of jobs that have arrived; also the id of the last one.
    jobs: u64,
    /// When the next job arrives, in milliseconds.
    next_arrival: f64,
    /// Times from arrival to the first start, by queue, in milliseconds.
    first_start_waits: [Histogram<u64>; 2],
    /// Real time of scheduling rounds per start, in nanoseconds.
    decision_times: Histogram<u64>,
    /// Processors held by tasks after each step of the second half, in percent.
    cores_used: Vec<f64>,
}

/// Runs one experiment.
pub fn run(setup: &Setup) -> Outcome {
    let mut experiment = Experiment::new(setup.clone());
    while experiment.now < setup.length {
        experiment.advance();
    }
    experiment.outcome()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_VALUE, 3).expect("the bounds are in order")
}

impl Experiment {
    fn new(setup: Setup) -> Self {
        let load = setup.kind.load();
        let queues = load.queues();
        let config = Configuration::from(Draft {
            version: 1,
            queues: queues.to_vec(),
            max_body: 262_144,
            workspaces: None,
        });
        let mut cell = Cell::new(1, Arc::new(config), 1);
        cell.set_policy(Arc::new(ExperimentPolicy {
            reserves: setup.reserves,
            turn: setup.turn,
        }));
        cell.set_options(Options {
            advice_planning: setup.advice_planning,
            ..Options::default()
        });
        cell.set_lanes(&vec![true; setup.kind.lanes()]);
        let entries = (0..setup.workers).map(|number| load.worker(number));
        cell.list_workers(entries.collect(), 1);
        let failing = (setup.workers as f64 * setup.bad_percent / 100.0) as usize;
        let workers = cell.worker_keys().into_iter().enumerate();
        let workers = workers.map(|(number, key)| {
            let mut worker = MemoryWorker::default();
            worker.fails_all_tasks = number < failing;
            (key, worker)
        });
        Self {
            workers: workers.collect(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            cell,
            load,
            queues,
            open_questions: Vec::new(),
            objectives: Objectives::default(),
            advice_use: AdviceUse::default(),
            now: TIME_STEP,
            jobs: 0,
            next_arrival: TIME_STEP as f64,
            first_start_waits: [histogram(), histogram()],
            decision_times: histogram(),
            cores_used: Vec::new(),
        }
    }

    fn advance(&mut self) {
        self.now += TIME_STEP;
        self.accept_arrivals();
        self.answer_questions();
        self.poll_workers();
        self.run_round();
        self.record_changes();
        if self.now > self.setup.length / 2 {
            let (used, capacity) = self.cell.room();
            self.cores_used
                .push(100.0 * used.millicores as f64 / capacity.millicores as f64);
            if self.now.is_multiple_of(advice_use::SAMPLE_INTERVAL) {
                let (load, objectives) = (&self.load, &self.objectives);
                let free = self.cell.free_room(self.now, |step, worker| {
                    let percent = load.approved_percent(objectives.priority(step.job));
                    load::is_approved(percent, &step.to_string(), worker)
                });
                self.advice_use.note_free_room(&free, &capacity);
            }
        }
    }

    /// Accepts the jobs that have arrived: a Poisson process with the rate that gives the load.
    fn accept_arrivals(&mut self) {
        let size = self.load.worker_size() * self.setup.workers as f64;
        let mean_gap = self.load.mean_work() / (size * self.setup.load_percent / 100.0);
        while self.next_arrival <= self.now as f64 {
            self.jobs += 1;
            let row = self.load.job(&mut self.rng, self.jobs);
            self.objectives
                .note_arrival(&row, self.queue_index(&row.queue), self.now);
            self.cell.accept(&row, None, false, self.now);
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            self.next_arrival -= mean_gap * uniform.ln();
        }
    }

    /// Returns the index of a queue among the two.
    fn queue_index(&self, queue: &Queue) -> usize {
        usize::from(queue.priority != self.queues[0].priority)
    }

    /// Answers the questions whose answers are due.
    fn answer_questions(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.open_questions)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.open_questions = later;
        let due: Vec<(Millis, AdviceOrder)> = due;
        for (_, order) in due {
            let step = order.name.to_string();
            let priority = self.objectives.priority(order.name.job);
            let ids = order.workers.iter().map(|(_, id)| id);
            let percent = self.load.approved_percent(priority);
            let approved = ids.filter(|id| load::is_approved(percent, &step, id));
            let tickets = approved.map(|id| (id.clone(), String::from("ticket")));
            let tickets: Vec<(String, String)> = tickets.collect();
            self.advice_use.note_answer(&order, &tickets);
            self.cell.advice_answered(&order, Some(tickets), now);
        }
    }

    /// Polls the workers whose turn it is; polls are spread evenly over [`POLL_INTERVAL`].
    fn poll_workers(&mut self) {
        let groups = POLL_INTERVAL / TIME_STEP;
        let group = self.now / TIME_STEP % groups;
        for (index, (&key, worker)) in self.workers.iter_mut().enumerate() {
            if index as Millis % groups != group {
                continue;
            }
            let Some(order) = self.cell.poll_order(key, self.now) else {
                continue;
            };
            match worker.poll(&order, self.now) {
                Ok(report) => self.cell.poll_answered(&order, &report, self.now),
                Err(failure) => self.cell.poll_failed(key, failure, self.now),
            }
        }
    }

    /// Runs a scheduling round and measures it, executes its orders and notes first starts.
    fn run_round(&mut self) {
        self.cell.tick(self.now);
        let began = Instant::now();
        self.cell.schedule(self.now);
        let elapsed = began.elapsed().as_nanos() as u64;
        let orders = self.cell.take_orders();
        let starts = orders
            .iter()
            .filter(|order| matches!(order, Order::Start(_)))
            .count() as u64;
        if let Some(per_start) = elapsed.checked_div(starts) {
            self.decision_times.saturating_record(per_start);
        }
        for order in orders {
            self.execute(order);
        }
        for wait in self.cell.take_waits() {
            if wait.until == Milestone::FirstStart {
                let queue = usize::from(wait.priority != self.queues[0].priority);
                self.first_start_waits[queue].saturating_record(wait.time);
            }
        }
    }

    fn execute(&mut self, order: Order) {
        let now = self.now;
        match order {
            Order::Start(order) => {
                let Some(worker) = self.workers.get_mut(&order.to.worker) else {
                    return;
                };
                self.advice_use.note_start(&order);
                let outcome = worker.start(&order, now);
                self.cell.start_answered(order.run, outcome, Some(now), now);
            }
            Order::Stop(order) => {
                let Some(worker) = self.workers.get_mut(&order.to.worker) else {
                    return;
                };
                if let (Ok(()), Some(run)) = (worker.stop(&order, now), order.run) {
                    self.cell.stop_confirmed(run);
                }
            }
            Order::Advise(order) => self.open_questions.push((now + order.expected, order)),
        }
    }

    /// Treats all changes as recorded, every [`RECORD_INTERVAL`].
    fn record_changes(&mut self) {
        if !self.now.is_multiple_of(RECORD_INTERVAL) {
            return;
        }
        let roster = self.cell.roster_version();
        self.cell.mark_roster_recorded(roster);
        let batch = self.cell.take_batch(usize::MAX);
        for (_, id, progress) in &batch.rows {
            if progress.state.is_final() {
                self.objectives.note_end(*id, self.now);
            }
        }
        self.cell.batch_recorded(batch, self.now);
    }

    fn outcome(self) -> Outcome {
        let counts = self.cell.counts();
        let [urgent, batch] = &self.first_start_waits;
        let percentiles = |h: &Histogram<u64>| [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
        Outcome {
            jobs: self.jobs,
            starts: counts.starts,
            urgent_wait_ms: percentiles(urgent),
            batch_wait_ms: percentiles(batch),
            median_and_p95_wait_ms: [urgent, batch]
                .map(|h| [0.5, 0.95].map(|q| h.value_at_quantile(q))),
            advice: self.advice_use.outcome(counts.starts),
            in_time_percent: self.objectives.in_time_percent(self.now),
            cores_used_percent: self.cores_used.iter().sum::<f64>()
                / self.cores_used.len().max(1) as f64,
            decision_ns: [0.5, 0.99].map(|q| self.decision_times.value_at_quantile(q)),
            violations: counts.violations,
            setup: self.setup,
        }
    }
}
