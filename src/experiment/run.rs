//! One experiment.

use std::collections::HashMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::backend::local_worker::LocalWorker;
use crate::clock::Millis;
use crate::experiment::arrivals::{self, Load};
use crate::model::Resources;
use crate::placement::cell::WorkerInfo;
use crate::placement::lease::Standing;
use crate::placement::{Cell, Limits, Strategy};

/// The step of virtual time.
const TICK: Millis = 10;
/// How often changed records are written.
const FLUSH_EVERY: Millis = 250;
/// How often a worker's leases are renewed.
const RENEW_EVERY: Millis = 3_000;
/// How many workers stand in a rack.
const PER_RACK: usize = 8;
/// How many jobs are cancelled together in a wave.
const WAVE: usize = 200;

/// What is wrong in an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One worker in ten fails every task.
    BadWorkers,
    /// Two hundred jobs are cancelled together halfway through.
    Wave,
}

/// What an experiment is about.
#[derive(Debug, Clone)]
pub struct Setup {
    /// How many workers there are.
    pub workers: usize,
    /// What each has.
    pub capacity: Resources,
    /// What arrives; the mean run time is set so that `load_percent` is reached.
    pub starts_per_second: f64,
    /// How much of the processors the work would occupy if packing were perfect.
    pub load_percent: f64,
    /// By which factor declared run times are off at most.
    pub misjudged: f64,
    /// How workers are chosen.
    pub strategy: Strategy,
    /// Into how many cells that do not help each other the workers are split.
    pub cells: usize,
    /// What is wrong.
    pub fault: Fault,
    /// How long it goes on, in virtual milliseconds.
    pub length: Millis,
    /// The seed.
    pub seed: u64,
}

/// What an experiment has shown.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Workers.
    pub workers: usize,
    /// The strategy.
    pub strategy: String,
    /// The fault.
    pub fault: String,
    /// Cells that do not help each other.
    pub cells: usize,
    /// Tasks started.
    pub started: u64,
    /// Median, 99th and 99.9th percentile of the waits of urgent tasks, in milliseconds.
    pub urgent_wait_ms: [u64; 3],
    /// The same of all other tasks.
    pub batch_wait_ms: [u64; 3],
    /// Mean share of processors in use over the second half, in percent.
    pub cores_used_percent: f64,
    /// Mean share of memory in use over the second half, in percent.
    pub memory_used_percent: f64,
    /// Median and 99th percentile of the time of a pass divided by its placements, in nanoseconds.
    pub decision_ns: [u64; 2],
    /// Placements a second of processor time spent in passes that placed something.
    pub decisions_per_second: u64,
    /// Median and 99th percentile of a whole pass that placed something, in nanoseconds.
    pub pass_ns: [u64; 2],
    /// Invariants that an operation would have broken.
    pub violations: u64,
}

struct Bench {
    cells: Vec<Cell>,
    workers: Vec<(usize, String, LocalWorker, Millis)>,
    real: HashMap<String, Millis>,
    waits: HashMap<&'static str, Histogram<u64>>,
    decisions: Histogram<u64>,
    passes: Histogram<u64>,
    placed: u64,
    spent_ns: u128,
    started: u64,
}

/// Runs one experiment.
pub fn run(setup: &Setup) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(setup.seed);
    let load = load_of(setup);
    let mut bench = Bench::new(setup);
    let mut used = Usage::default();
    let mut number = 0;
    let mut owed = 0.0;
    let mut now = 1;
    while now < setup.length {
        owed += load.starts_per_second * TICK as f64 / 1000.0;
        while owed >= 1.0 {
            number += 1;
            owed -= f64::from(bench.submit(&mut rng, &load, number, now));
        }
        if setup.fault == Fault::Wave && now / TICK == setup.length / TICK / 2 {
            bench.cancel(number, now);
        }
        bench.step(now);
        if now > setup.length / 2 {
            used.record(&bench, setup);
        }
        now += TICK;
    }
    bench.outcome(setup, &used)
}

fn load_of(setup: &Setup) -> Load {
    let cores = setup.capacity.millicores as f64 / 1000.0 * setup.workers as f64;
    let seconds =
        cores * setup.load_percent / 100.0 / (setup.starts_per_second * arrivals::mean_cores());
    Load {
        starts_per_second: setup.starts_per_second,
        mean_runtime: (seconds * 1000.0) as Millis,
        misjudged: setup.misjudged,
    }
}

#[derive(Default)]
struct Usage {
    samples: f64,
    cores: f64,
    memory: f64,
}

impl Usage {
    fn record(&mut self, bench: &Bench, setup: &Setup) {
        let total = setup.workers as f64;
        let mut free = Resources::default();
        for cell in &bench.cells {
            free = free.plus(&cell.free_everywhere());
        }
        let share = |free: u64, each: u64| 100.0 * (1.0 - free as f64 / (each as f64 * total));
        self.samples += 1.0;
        self.cores += share(free.millicores, setup.capacity.millicores);
        self.memory += share(free.memory_mib, setup.capacity.memory_mib);
    }
}

impl Bench {
    fn new(setup: &Setup) -> Self {
        let mut cells: Vec<Cell> = (0..setup.cells)
            .map(|_| {
                Cell::new(Limits {
                    strategy: setup.strategy,
                    seed: setup.seed,
                    ..Limits::default()
                })
            })
            .collect();
        let mut workers = Vec::new();
        for index in 0..setup.workers {
            let cell = index / PER_RACK % setup.cells;
            let info = WorkerInfo {
                name: format!("w{index}"),
                shard: format!("rack:h:{}", index / PER_RACK),
                hall: format!("h{}", index / PER_RACK % 4),
                endpoint: String::new(),
                capacity: setup.capacity,
                leaving: false,
            };
            cells[cell].own_shard(&info.shard, 1);
            cells[cell].allow_inherited(&info.shard, true, 1);
            cells[cell].list_worker(&info, 1);
            let mut worker = LocalWorker::new(index as u64 + 1);
            worker.fail_all = setup.fault == Fault::BadWorkers && index % 10 == 0;
            workers.push((cell, info.name, worker, 0));
        }
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            cells,
            workers,
            real: HashMap::new(),
            waits: HashMap::from([("urgent", histogram()), ("batch", histogram())]),
            decisions: histogram(),
            passes: histogram(),
            placed: 0,
            spent_ns: 0,
            started: 0,
        }
    }

    fn submit(&mut self, rng: &mut SmallRng, load: &Load, number: u64, now: Millis) -> u32 {
        let arrival = arrivals::draw(rng, load, number);
        let tasks = arrival.spec.tasks;
        let cell = rng.random_range(0..self.cells.len());
        let id = arrival.spec.name.clone();
        self.real.insert(id.clone(), arrival.real_runtime);
        let _ = self.cells[cell].submit(&id, arrival.spec, arrival.ordering, number, now);
        tasks
    }

    fn cancel(&mut self, last: u64, now: Millis) {
        for number in last.saturating_sub(WAVE as u64)..last {
            for cell in &mut self.cells {
                cell.cancel(&format!("j{number}"), now);
            }
        }
    }

    fn step(&mut self, now: Millis) {
        for cell in &mut self.cells {
            let start = Instant::now();
            let placed = cell.plan(now) as u64;
            let spent = start.elapsed().as_nanos();
            if placed > 0 {
                self.placed += placed;
                self.spent_ns += spent;
                let _ = self.decisions.record((spent as u64 / placed).max(1));
                let _ = self.passes.record((spent as u64).max(1));
            }
            if now % FLUSH_EVERY < TICK {
                while let Some(batch) = cell.take_writes(usize::MAX) {
                    cell.written(&batch, now);
                }
            }
        }
        self.exchange(now);
        for cell in &mut self.cells {
            cell.expire(now);
            for (class, waited) in cell.waits.drain(..) {
                self.started += 1;
                if let Some(histogram) = self.waits.get_mut(class) {
                    let _ = histogram.record(waited.max(1));
                }
            }
        }
    }

    fn exchange(&mut self, now: Millis) {
        for (cell, name, worker, due) in &mut self.workers {
            let cell = &mut self.cells[*cell];
            if !cell.is_pressing(name) && now < *due {
                continue;
            }
            let standing = Standing {
                shard: String::new(),
                owner: String::new(),
                epoch: 1,
                may_act: true,
                recorded: true,
            };
            let Some(mut msg) = cell.exchange(name, &standing, now) else {
                continue;
            };
            for order in &mut msg.start {
                order.runtime_ms = self.real.get(&order.task.job).copied();
            }
            let reply = worker.exchange(&msg, now);
            worker.history.clear();
            cell.on_reply(name, &msg, &reply, true, now);
            let look = cell.next_look(name, now).unwrap_or(Millis::MAX);
            *due = (now + RENEW_EVERY).min(look);
        }
    }

    fn outcome(&self, setup: &Setup, used: &Usage) -> Outcome {
        let quantiles =
            |histogram: &Histogram<u64>| [0.5, 0.99, 0.999].map(|q| histogram.value_at_quantile(q));
        let pair = |histogram: &Histogram<u64>| [0.5, 0.99].map(|q| histogram.value_at_quantile(q));
        let violations = self
            .cells
            .iter()
            .flat_map(|cell| cell.violations.0.values())
            .sum();
        Outcome {
            workers: setup.workers,
            strategy: format!("{:?}", setup.strategy),
            fault: format!("{:?}", setup.fault),
            cells: setup.cells,
            started: self.started,
            urgent_wait_ms: quantiles(&self.waits["urgent"]),
            batch_wait_ms: quantiles(&self.waits["batch"]),
            cores_used_percent: used.cores / used.samples.max(1.0),
            memory_used_percent: used.memory / used.samples.max(1.0),
            decision_ns: pair(&self.decisions),
            decisions_per_second: (u128::from(self.placed) * 1_000_000_000 / self.spent_ns.max(1))
                as u64,
            pass_ns: pair(&self.passes),
            violations,
        }
    }
}
