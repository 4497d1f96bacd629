//! The experiment tool's runs: seeded, and true to the rules of the core.

use crossweir::experiment::{Kind, Outcome, Setup, run};
use crossweir::policy::Turn;

fn outcome(load_percent: f64, bad_percent: f64) -> Outcome {
    run(&Setup {
        kind: Kind::Cores,
        reserves: true,
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
fn twice_the_room_fills_the_workers_and_breaks_no_rule() {
    let outcome = outcome(200.0, 0.0);
    assert_eq!(outcome.violations, 0);
    assert!(outcome.cores_used_percent > 80.0, "{outcome:?}");
}

/// Jobs in time, by queue, on workers with accelerators that are nearly full.
fn in_time(reserves: bool) -> [f64; 2] {
    let outcome = run(&Setup {
        kind: Kind::Accelerators,
        reserves,
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
fn gangs_that_keep_room_end_in_time_more_often() {
    let ([kept, _], [taken, _]) = (in_time(true), in_time(false));
    assert!(kept > taken, "{kept} against {taken}");
}
