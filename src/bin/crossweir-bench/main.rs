//! The experiment tool: runs seeded experiments with the scheduling core and prints their results
//! as JSON lines or a table.

use crossweir::experiment::{self, Kind, Outcome, Setup};
use crossweir::policy::Turn;

/// The default length of each run, in virtual seconds.
const DEFAULT_SECONDS: u64 = 30;

xflags::xflags! {
    /// Runs seeded experiments with the scheduling core.
    cmd bench {
        /// The number of workers; 48, 350 and 1100 unless given.
        optional --workers count: usize
        /// The load in percent of the processors or accelerators; 60, 85 and 150 unless given.
        optional --load percent: f64
        /// The length of each run in virtual seconds; 30 unless given.
        optional --seconds count: u64
        /// The seed; 1 unless given.
        optional --seed number: u64
        /// Workers on which every task fails, in percent; none unless given.
        optional --bad percent: f64
        /// Runs gangs and single tasks that need accelerators and advice, instead of cores alone.
        optional --accelerators
        /// Runs urgent and batch jobs that need cores and advice, instead of cores alone.
        optional --advised-cores
        /// Spends questions to the advice service on steps that can start soon.
        optional --advice-planning
        /// Turns reservations off: waiting steps reserve no room against less urgent ones.
        optional --no-reserve
        /// Runs each order in which jobs of one queue can be considered, for comparison.
        optional --turns
        /// Prints JSON lines instead of a table.
        optional --json
    }
}

fn main() {
    let flags = Bench::from_env_or_exit();
    if !flags.json {
        print_header();
    }
    let sizes = flags
        .workers
        .map_or(vec![48, 350, 1_100], |workers| vec![workers]);
    let loads = flags
        .load
        .map_or(vec![60.0, 85.0, 150.0], |load| vec![load]);
    let turns: &[Turn] = match flags.turns {
        true => &Turn::ALL,
        false => &[Turn::Balanced],
    };
    for &workers in &sizes {
        for &load_percent in &loads {
            for &turn in turns {
                let outcome = experiment::run(&setup(&flags, workers, load_percent, turn));
                print(&outcome, flags.json);
            }
        }
    }
}

fn setup(flags: &Bench, workers: usize, load_percent: f64, turn: Turn) -> Setup {
    Setup {
        kind: match (flags.accelerators, flags.advised_cores) {
            (true, _) => Kind::Accelerators,
            (false, true) => Kind::AdvisedCores,
            (false, false) => Kind::Cores,
        },
        advice_planning: flags.advice_planning,
        reserves: !flags.no_reserve,
        turn,
        workers,
        load_percent,
        bad_percent: flags.bad.unwrap_or_default(),
        length: 1_000 * flags.seconds.unwrap_or(DEFAULT_SECONDS),
        seed: flags.seed.unwrap_or(1),
    }
}

fn print_header() {
    println!(
        "{:>7} {:>5} {:>12} {:>7} {:>8} {:>18} {:>18} {:>11} {:>6} {:>15}",
        "workers",
        "load%",
        "turn",
        "jobs",
        "starts",
        "urgent 50/99/99.9",
        "batch 50/99/99.9",
        "in time%",
        "cores%",
        "ns 50/99"
    );
}

fn print(outcome: &Outcome, json: bool) {
    if json {
        match serde_json::to_string(outcome) {
            Ok(line) => println!("{line}"),
            Err(err) => eprintln!("cannot encode an outcome: {err}"),
        }
        return;
    }
    println!(
        "{:>7} {:>5} {:>12} {:>7} {:>8} {:>18} {:>18} {:>11} {:>6.1} {:>15}",
        outcome.setup.workers,
        outcome.setup.load_percent,
        outcome.setup.turn.name(),
        outcome.jobs,
        outcome.starts,
        join_with_slashes(&outcome.urgent_wait_ms),
        join_with_slashes(&outcome.batch_wait_ms),
        outcome
            .in_time_percent
            .map(|percent| format!("{percent:.1}"))
            .join("/"),
        outcome.cores_used_percent,
        join_with_slashes(&outcome.decision_ns)
    );
}

fn join_with_slashes(values: &[u64]) -> String {
    let texts: Vec<String> = values.iter().map(u64::to_string).collect();
    texts.join("/")
}
