//! A soak test of real processes: nodes and the stand-in of the platform run as programs of their
//! own, while signals and broken connections disturb them.  It guards against faults that only
//! sockets, processes and real time bring about: lost jobs, tasks that run twice at the same time,
//! refused jobs that run, exceeded caps and workspaces that starve.
//!
//! `CROSSWEIR_SEED=1 CROSSWEIR_RUNS=30 CROSSWEIR_SECONDS=60 cargo test --release --test soak` plays
//! other seeds for longer.  The seed decides the cell, the load and the trouble; the processes run
//! in real time, so a seed does not repeat a run exactly.

mod soak {
    pub mod callers;
    pub mod checks;
    pub mod client;
    pub mod jobs;
    pub mod plan;
    pub mod processes;
    pub mod proxy;
    pub mod run;
}

use std::time::Duration;

use soak::plan::Plan;
use soak::run;

const FIRST_SEED: u64 = 1;
/// How long CI disturbs the one run that it plays.
const SECONDS: u64 = 20;

#[test]
fn nothing_is_lost_or_run_twice_while_processes_and_connections_fail() {
    let first = number("CROSSWEIR_SEED", FIRST_SEED);
    let span = Duration::from_secs(number("CROSSWEIR_SECONDS", SECONDS));
    let mut failed = Vec::new();
    for seed in first..first + number("CROSSWEIR_RUNS", 1) {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let violations = runtime.block_on(run::play(&Plan::draw(seed, span)));
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

fn number(name: &str, otherwise: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}
