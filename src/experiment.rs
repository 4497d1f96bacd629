//! Seeded experiments with the scheduling core: generated arrivals, workers in memory.
//!
//! There is no network and no store here: orders are carried out at once, and what
//! changed counts as recorded every 20 ms.  `docs/CAPACITY.md` gives figures and commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::cell::order::Order;
use crate::cell::record::JobRow;
use crate::cell::spec::{Demand, JobId, JobSpec, Step};
use crate::cell::worker::WorkerEntry;
use crate::cell::{Cell, Waited, WorkerKey};
use crate::clock::Millis;
use crate::embedded::worker::MemoryWorker;
use crate::queue::{Configuration, Queue};

/// Virtual time moves by so much.
const STEP: Millis = 10;
/// A worker is looked at so often, as a busy one is by a node.
const LOOK_EVERY: Millis = 100;
/// What changed is recorded so often.
const RECORD_EVERY: Millis = 20;
/// The service of all workers.
const SERVICE: &str = "experiment";
/// The share of arrivals that is urgent, as at the two users.
const URGENT_SHARE: f64 = 0.9;
/// The largest value that is told apart, in milliseconds or nanoseconds.
const LARGEST: u64 = 60_000_000_000;
/// The priority of urgent jobs, and that of batch jobs.
const URGENT: u32 = 0;
const BATCH: u32 = 2;

/// No job fails for good, also where some workers fail everything.
const ATTEMPTS: u32 = 100;

/// What to run.
#[derive(Debug, Clone, Serialize)]
pub struct Setup {
    /// How many workers of 32 cores and 64 GiB.
    pub workers: usize,
    /// Processors asked for, in percent of those there are.
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
    /// Milliseconds from arrival to the first start of urgent jobs: 50, 99 and 99.9 of 100.
    pub urgent_wait_ms: [u64; 3],
    /// The same of batch jobs.
    pub batch_wait_ms: [u64; 3],
    /// Processors held by tasks, in percent, over the second half.
    pub cores_used_percent: f64,
    /// Nanoseconds of a decision, for each start: 50 and 99 of 100 rounds.
    pub decision_ns: [u64; 2],
    /// Starts that the core withheld since they would have broken a rule.
    pub violations: u64,
}

struct Experiment {
    setup: Setup,
    cell: Cell,
    workers: BTreeMap<WorkerKey, MemoryWorker>,
    queues: [Queue; 2],
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

/// The kind of job that arrives.
fn job(rng: &mut StdRng, queue: &Queue, id: u64) -> JobRow {
    let urgent = queue.priority == URGENT;
    let (tasks, millicores, length) = if urgent {
        (
            rng.random_range(1..=12),
            2_500,
            rng.random_range(200..=1_400),
        )
    } else {
        (
            rng.random_range(4..=24),
            5_500,
            rng.random_range(2_000..=8_000),
        )
    };
    let step = Step {
        tasks,
        demand: Demand {
            millicores,
            memory: 2_048,
            gpus: 0,
        },
        estimate: length,
        ..Step::default()
    };
    JobRow {
        id: JobId(id),
        queue: queue.clone(),
        spec: JobSpec {
            text: length.to_string(),
            steps: vec![step],
            schedule: None,
        },
    }
}

/// Core-milliseconds of a mean arrival, from the ranges of [`job`].
fn mean_work() -> f64 {
    let urgent = 6.5 * 2.5 * 800.0;
    let batch = 14.0 * 5.5 * 5_000.0;
    URGENT_SHARE * urgent + (1.0 - URGENT_SHARE) * batch
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        attempts: ATTEMPTS,
        ..Queue::local(name, SERVICE, priority)
    }
}

fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        machine: format!("m{number}"),
        service: SERVICE.to_owned(),
        hall: String::from("hall"),
        capacity: Demand {
            millicores: 32_000,
            memory: 65_536,
            gpus: 0,
        },
        labels: Vec::new(),
        rack: Some(format!("r{}", number / 8)),
        leaving: None,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LARGEST, 3).expect("the bounds are in order")
}

impl Experiment {
    fn new(setup: Setup) -> Self {
        let queues = [queue("urgent", URGENT), queue("batch", BATCH)];
        let config = Configuration {
            version: 1,
            queues: queues.to_vec(),
            max_body: 262_144,
        };
        let mut cell = Cell::new(1, Arc::new(config), 1);
        cell.list_workers((0..setup.workers).map(worker).collect(), 1);
        let bad = (setup.workers as f64 * setup.bad_percent / 100.0) as usize;
        let workers = cell.worker_keys().into_iter().enumerate();
        let workers = workers.map(|(number, key)| {
            let mut worker = MemoryWorker::default();
            worker.fails = number < bad;
            (key, worker)
        });
        Self {
            workers: workers.collect(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            cell,
            queues,
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
        let cores = 32.0 * self.setup.workers as f64;
        let mean_gap = mean_work() / (cores * self.setup.load_percent / 100.0);
        while self.next_arrival <= self.now as f64 {
            let urgent = self.rng.random_bool(URGENT_SHARE);
            let queue = &self.queues[usize::from(!urgent)];
            self.jobs += 1;
            let row = job(&mut self.rng, queue, self.jobs);
            self.cell.accept(&row, None, false, self.now);
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            self.next_arrival -= mean_gap * uniform.ln();
        }
    }

    fn look(&mut self) {
        let turns = LOOK_EVERY / STEP;
        let turn = self.now / STEP % turns;
        for (place, (&key, worker)) in self.workers.iter_mut().enumerate() {
            if place as Millis % turns != turn {
                continue;
            }
            let Some(order) = self.cell.look_order(key, self.now) else {
                continue;
            };
            match worker.look(&order, self.now) {
                Ok(look) => self.cell.looked(key, self.now, &look, self.now),
                Err(failure) => self.cell.look_failed(key, failure, self.now),
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
            if wait.what == Waited::FirstStart {
                self.waits[usize::from(wait.priority != URGENT)].saturating_record(wait.time);
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
                    self.cell.stop_confirmed(run, now);
                }
            }
            Order::Advise(order) => self.cell.advised(&order, None, now),
        }
    }

    fn record(&mut self) {
        if !self.now.is_multiple_of(RECORD_EVERY) {
            return;
        }
        let roster = self.cell.roster_version();
        self.cell.roster_is_recorded(roster);
        let batch = self.cell.take_batch(usize::MAX);
        self.cell.recorded(batch, self.now);
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
            cores_used_percent: self.used.iter().sum::<f64>() / self.used.len().max(1) as f64,
            decision_ns: [0.5, 0.99].map(|q| self.decisions.value_at_quantile(q)),
            violations: counts.violations,
            setup: self.setup,
        }
    }
}
