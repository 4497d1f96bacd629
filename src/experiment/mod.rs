//! Seeded experiments with the scheduling core: generated arrivals, workers in memory.
//!
//! There is no network and no store here: orders are carried out at once, and what
//! changed counts as recorded every 20 ms.  `docs/CAPACITY.md` gives figures and commands.

pub mod load;
mod objective;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::cell::order::{AdviceOrder, Order};
use crate::cell::spec::JobSpec;
use crate::cell::{Cell, Milestone, WorkerKey};
use crate::clock::Millis;
use crate::embedded::worker::MemoryWorker;
use crate::experiment::load::Load;
use crate::experiment::objective::Objectives;
use crate::policy::{BuiltIn, Decision, Policy, Turn};
use crate::queue::{Configuration, Draft, Queue};

/// Virtual time moves by so much.
const STEP: Millis = 10;
/// A worker is looked at so often, as a busy one is by a node.
const LOOK_EVERY: Millis = 100;
/// What changed is recorded so often.
const RECORD_EVERY: Millis = 20;
/// The largest value that is told apart, in milliseconds or nanoseconds.
const LARGEST: u64 = 60_000_000_000;
/// Ways to the advice service, as many as the third user has nodes.
const LANES: usize = 9;

/// Which kind of load is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// Short urgent jobs and long batch jobs.
    Cores,
    /// Gangs and single tasks that need accelerators, with advice.
    Accelerators,
}

impl Kind {
    fn load(self) -> Box<dyn Load> {
        match self {
            Self::Cores => Box::new(load::Cores),
            Self::Accelerators => Box::new(load::Accelerators),
        }
    }
}

/// What to run.
#[derive(Debug, Clone, Serialize)]
pub struct Setup {
    /// The kind of load.
    pub kind: Kind,
    /// Waiting steps keep room from less urgent ones.
    pub reserves: bool,
    /// In which order jobs of one queue are considered.
    pub turn: Turn,
    /// How many workers.
    pub workers: usize,
    /// What is asked for of what is scarce, in percent of what there is.
    pub load_percent: f64,
    /// Workers on which every task fails, in percent.
    pub bad_percent: f64,
    /// Virtual milliseconds.
    pub length: Millis,
    /// The seed of arrivals.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// What was run.
    pub setup: Setup,
    /// Jobs that arrived.
    pub jobs: u64,
    /// Tasks started.
    pub starts: u64,
    /// Milliseconds from arrival to the first start of jobs of the more urgent queue: 50, 99
    /// and 99.9 of 100.
    pub urgent_wait_ms: [u64; 3],
    /// The same of the other queue.
    pub batch_wait_ms: [u64; 3],
    /// Of the jobs of each queue that should have ended by now, the percent that ended within
    /// their queue's objective.
    pub in_time_percent: [f64; 2],
    /// Processors held by tasks, in percent, over the second half.
    pub cores_used_percent: f64,
    /// Nanoseconds of a decision, for each start: 50 and 99 of 100 rounds.
    pub decision_ns: [u64; 2],
    /// Starts that the core withheld since they would have broken a rule.
    pub violations: u64,
}

/// The built-in policy, with reservations switched on or off, and one of the orders.
struct Switched {
    reserves: bool,
    turn: Turn,
}

impl Policy for Switched {
    fn decide(&self, queue: &Queue, spec: &JobSpec) -> Decision {
        Decision {
            reserves: self.reserves,
            turn: self.turn,
            ..BuiltIn.decide(queue, spec)
        }
    }
}

struct Experiment {
    setup: Setup,
    cell: Cell,
    workers: BTreeMap<WorkerKey, MemoryWorker>,
    load: Box<dyn Load>,
    queues: [Queue; 2],
    /// Answers to questions that are on their way, with the time when they come.
    answers: Vec<(Millis, AdviceOrder)>,
    objectives: Objectives,
    rng: StdRng,
    now: Millis,
    jobs: u64,
    next_arrival: f64,
    waits: [Histogram<u64>; 2],
    decisions: Histogram<u64>,
    used: Vec<f64>,
}

/// Runs one experiment.
pub fn run(setup: &Setup) -> Outcome {
    let mut experiment = Experiment::new(setup.clone());
    while experiment.now < setup.length {
        experiment.step();
    }
    experiment.outcome()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LARGEST, 3).expect("the bounds are in order")
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
        cell.set_policy(Arc::new(Switched {
            reserves: setup.reserves,
            turn: setup.turn,
        }));
        cell.set_lanes(&[true; LANES]);
        let entries = (0..setup.workers).map(|number| load.worker(number));
        cell.list_workers(entries.collect(), 1);
        let bad = (setup.workers as f64 * setup.bad_percent / 100.0) as usize;
        let workers = cell.worker_keys().into_iter().enumerate();
        let workers = workers.map(|(number, key)| {
            let mut worker = MemoryWorker::default();
            worker.fails_all_tasks = number < bad;
            (key, worker)
        });
        Self {
            workers: workers.collect(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            cell,
            load,
            queues,
            answers: Vec::new(),
            objectives: Objectives::default(),
            now: STEP,
            jobs: 0,
            next_arrival: STEP as f64,
            waits: [histogram(), histogram()],
            decisions: histogram(),
            used: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.arrive();
        self.answer();
        self.look();
        self.decide();
        self.record();
        if self.now > self.setup.length / 2 {
            let (used, capacity) = self.cell.room();
            self.used
                .push(100.0 * used.millicores as f64 / capacity.millicores as f64);
        }
    }

    fn arrive(&mut self) {
        let size = self.load.worker_size() * self.setup.workers as f64;
        let mean_gap = self.load.mean_work() / (size * self.setup.load_percent / 100.0);
        while self.next_arrival <= self.now as f64 {
            self.jobs += 1;
            let row = self.load.job(&mut self.rng, self.jobs);
            self.objectives
                .arrived(&row, self.place(&row.queue), self.now);
            self.cell.accept(&row, None, false, self.now);
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            self.next_arrival -= mean_gap * uniform.ln();
        }
    }

    /// The place of a queue among the two.
    fn place(&self, queue: &Queue) -> usize {
        usize::from(queue.priority != self.queues[0].priority)
    }

    /// Answers questions whose time has come.
    fn answer(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.answers = later;
        let due: Vec<(Millis, AdviceOrder)> = due;
        for (_, order) in due {
            let step = order.name.to_string();
            let priority = self.objectives.priority(order.name.job);
            let good = order.workers.iter().map(|(_, id)| id);
            let good = good.filter(|id| load::is_good(priority, &step, id));
            let tickets = good.map(|id| (id.clone(), String::from("ticket")));
            self.cell.advised(&order, Some(tickets.collect()), now);
        }
    }

    fn look(&mut self) {
        let turns = LOOK_EVERY / STEP;
        let turn = self.now / STEP % turns;
        for (place, (&key, worker)) in self.workers.iter_mut().enumerate() {
            if place as Millis % turns != turn {
                continue;
            }
            let Some(order) = self.cell.poll_order(key, self.now) else {
                continue;
            };
            match worker.poll(&order, self.now) {
                Ok(look) => self.cell.poll_answered(&order, &look, self.now),
                Err(failure) => self.cell.poll_failed(key, failure, self.now),
            }
        }
    }

    fn decide(&mut self) {
        self.cell.tick(self.now);
        let began = Instant::now();
        self.cell.schedule(self.now);
        let took = began.elapsed().as_nanos() as u64;
        let orders = self.cell.take_orders();
        let starts = orders
            .iter()
            .filter(|order| matches!(order, Order::Start(_)))
            .count() as u64;
        if let Some(each) = took.checked_div(starts) {
            self.decisions.saturating_record(each);
        }
        for order in orders {
            self.carry_out(order);
        }
        for wait in self.cell.take_waits() {
            if wait.until == Milestone::FirstStart {
                let place = usize::from(wait.priority != self.queues[0].priority);
                self.waits[place].saturating_record(wait.time);
            }
        }
    }

    fn carry_out(&mut self, order: Order) {
        let now = self.now;
        match order {
            Order::Start(order) => {
                let Some(worker) = self.workers.get_mut(&order.to.worker) else {
                    return;
                };
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
            Order::Advise(order) => self.answers.push((now + order.expected, order)),
        }
    }

    fn record(&mut self) {
        if !self.now.is_multiple_of(RECORD_EVERY) {
            return;
        }
        let roster = self.cell.roster_version();
        self.cell.mark_roster_recorded(roster);
        let batch = self.cell.take_batch(usize::MAX);
        for (_, id, progress) in &batch.rows {
            if progress.state.is_final() {
                self.objectives.ended(*id, self.now);
            }
        }
        self.cell.batch_recorded(batch, self.now);
    }

    fn outcome(self) -> Outcome {
        let counts = self.cell.counts();
        let [urgent, batch] = &self.waits;
        let waits = |h: &Histogram<u64>| [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
        Outcome {
            jobs: self.jobs,
            starts: counts.starts,
            urgent_wait_ms: waits(urgent),
            batch_wait_ms: waits(batch),
            in_time_percent: self.objectives.in_time_percent(self.now),
            cores_used_percent: self.used.iter().sum::<f64>() / self.used.len().max(1) as f64,
            decision_ns: [0.5, 0.99].map(|q| self.decisions.value_at_quantile(q)),
            violations: counts.violations,
            setup: self.setup,
        }
    }
}
