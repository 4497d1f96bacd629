//! The experiment tool: seeded runs of the placement core, as JSON lines and a table.

use crossweir::experiment::{self, Fault, Outcome, Setup};
use crossweir::model::Resources;
use crossweir::placement::Strategy;

/// Virtual time of each run, unless another is asked for.
const SECONDS: u64 = 60;

xflags::xflags! {
    /// Runs seeded experiments with the placement core.
    cmd bench {
        /// The number of workers; 50 and 1100 unless given.
        optional --workers count: usize
        /// The load in percent of the processors; 85 unless given.
        optional --load percent: f64
        /// Virtual seconds; 60 unless given.
        optional --seconds count: u64
        /// The seed; 1 unless given.
        optional --seed number: u64
    }
}

fn main() {
    let flags = Bench::from_env_or_exit();
    let sizes = match flags.workers {
        Some(workers) => vec![workers],
        None => vec![50, 1_100],
    };
    let mut outcomes = Vec::new();
    for workers in sizes {
        for setup in setups(&flags, workers) {
            let outcome = experiment::run(&setup);
            println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
            outcomes.push(outcome);
        }
    }
    print_table(&outcomes);
}

fn setups(flags: &Bench, workers: usize) -> Vec<Setup> {
    let base = Setup {
        workers,
        capacity: Resources::new(32_000, 64 * 1024, 0),
        starts_per_second: 680.0 * workers as f64 / 1_100.0,
        load_percent: flags.load.unwrap_or(85.0),
        misjudged: 1.0,
        strategy: Strategy::BestFit,
        cells: 1,
        fault: Fault::None,
        length: 1_000 * flags.seconds.unwrap_or(SECONDS),
        seed: flags.seed.unwrap_or(1),
    };
    let with = |change: fn(&mut Setup)| {
        let mut setup = base.clone();
        change(&mut setup);
        setup
    };
    vec![
        base.clone(),
        with(|setup| setup.strategy = Strategy::FirstFit),
        with(|setup| setup.strategy = Strategy::RandomOfTwo),
        with(|setup| setup.cells = 7),
        with(|setup| setup.misjudged = 4.0),
        with(|setup| setup.fault = Fault::BadWorkers),
        with(|setup| setup.fault = Fault::Wave),
    ]
}

fn print_table(outcomes: &[Outcome]) {
    println!(
        "{:>7} {:<12} {:<11} {:>5} {:>8} {:>18} {:>21} {:>6} {:>6} {:>13}",
        "workers",
        "strategy",
        "fault",
        "cells",
        "started",
        "urgent p50/99/99.9",
        "batch p50/99/99.9",
        "cores%",
        "mem%",
        "ns p50/p99"
    );
    for o in outcomes {
        let join = |values: &[u64]| {
            values
                .iter()
                .map(u64::to_string)
                .collect::<Vec<_>>()
                .join("/")
        };
        println!(
            "{:>7} {:<12} {:<11} {:>5} {:>8} {:>18} {:>21} {:>6.1} {:>6.1} {:>13}",
            o.workers,
            o.strategy,
            o.fault,
            o.cells,
            o.started,
            join(&o.urgent_wait_ms),
            join(&o.batch_wait_ms),
            o.cores_used_percent,
            o.memory_used_percent,
            join(&o.decision_ns)
        );
    }
}
