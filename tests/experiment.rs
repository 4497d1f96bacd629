//! The experiment tool's runs: seeded, and true to the rules of the core.

use crossweir::experiment::{Outcome, Setup, run};

fn outcome(load_percent: f64, bad_percent: f64) -> Outcome {
    run(&Setup {
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
