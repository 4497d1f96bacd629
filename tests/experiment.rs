//! Runs of the experiment tool: reproducible by their seed, and without violations of the core's
//! invariants.

use crossweir::experiment::{Kind, Outcome, Setup, run};
use crossweir::policy::Turn;

fn outcome(load_percent: f64, bad_percent: f64) -> Outcome {
    run(&Setup {
        kind: Kind::Cores,
        reserves: true,
        advice_planning: false,
        turn: Turn::Balanced,
        workers: 8,
        load_percent,
        bad_percent,
        length: 5_000,
        seed: 1,
    })
}

#[test]
fn a_light_load_starts_at_once_and_repeats_with_its_seed() {
    let first = outcome(40.0, 0.0);
    let second = outcome(40.0, 0.0);
    assert!(first.starts > 0);
    assert_eq!(first.violations, 0);
    assert!(first.urgent_wait_ms[0] <= 20, "{:?}", first.urgent_wait_ms);
    assert_eq!(
        (first.jobs, first.starts, first.urgent_wait_ms),
        (second.jobs, second.starts, second.urgent_wait_ms)
    );
}

#[test]
fn a_load_of_twice_the_capacity_fills_the_workers_and_violates_no_invariant() {
    let outcome = outcome(200.0, 0.0);
    assert_eq!(outcome.violations, 0);
    assert!(outcome.cores_used_percent > 80.0, "{outcome:?}");
}

/// Returns the percentage of jobs in time, by queue, on workers with accelerators at 85% load.
fn in_time(reserves: bool) -> [f64; 2] {
    let outcome = run(&Setup {
        kind: Kind::Accelerators,
        reserves,
        advice_planning: false,
        turn: Turn::Balanced,
        workers: 13,
        load_percent: 85.0,
        bad_percent: 0.0,
        length: 60_000,
        seed: 1,
    });
    assert_eq!(outcome.violations, 0);
    outcome.in_time_percent
}

#[test]
fn gangs_end_in_time_more_often_with_reservations() {
    let ([reserved, _], [unreserved, _]) = (in_time(true), in_time(false));
    assert!(reserved > unreserved, "{reserved} against {unreserved}");
}
