//! Each rule of ownership, first without it and then with it.
//!
//! A rule is taken away by settings that no checked file could hold in a real
//! cell: one instance trusts a confirmation for a minute, or a successor hardly
//! waits.  Without the rule random runs find a task in two places.

mod virtual_cell;

use std::time::Duration;

use crossweir::model::{JobKind, JobSpec, Resources};
use virtual_cell::{SETTINGS, VirtualCell};
use yare::parameterized;

const SEEDS: std::ops::Range<u64> = 0..6;

/// Both instances confirm and wait as they should.
const ALL_RULES: [(&str, &str); 2] = [("", ""), ("", "")];
/// The first owner trusts a confirmation for a minute.
const NO_WINDOW: [(&str, &str); 2] = [("window_ms = 2500", "window_ms = 60000"), ("", "")];
/// The successor believes that windows and leases are short, and so hardly waits.
const NO_WAIT: [(&str, &str); 2] = [
    ("", ""),
    (
        "window_ms = 2500\npool_window_ms = 1500\nstart_ms = 1000\nlease_ms = 4000\nrenew_ms = 1000",
        "window_ms = 1000\npool_window_ms = 1500\nstart_ms = 500\nlease_ms = 1000\nrenew_ms = 200",
    ),
];

#[parameterized(
    with_all_rules = { ALL_RULES, false },
    without_the_confirmation_window = { NO_WINDOW, true },
    without_the_succession_wait = { NO_WAIT, true },
)]
fn a_cut_owner_and_its_successor(rules: [(&'static str, &'static str); 2], breaks: bool) {
    // Arrange, act.
    let doubles: Vec<String> = SEEDS.flat_map(|seed| run(seed, rules)).collect();

    // Assert.
    assert_eq!(!doubles.is_empty(), breaks, "{doubles:?}");
}

fn run(seed: u64, rules: [(&str, &str); 2]) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(cut_owner(seed, rules))
}

/// The owner of a rack is cut from the store, from the other instance and from all
/// workers but one; its tasks there end again and again, and it starts them anew.
async fn cut_owner(seed: u64, rules: [(&str, &str); 2]) -> Vec<String> {
    let mut cell = VirtualCell::empty(seed, 1, 3);
    let settings = |(from, to): (&str, &str)| match from {
        "" => SETTINGS.to_owned(),
        from => SETTINGS.replace(from, to),
    };
    cell.settings = settings(rules[0]);
    cell.start_instance("e0", "h0");
    assert!(cell.settle(20_000).await, "seed {seed}: not settled");
    cell.settings = settings(rules[1]);
    cell.start_instance("e1", "h9");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let spec = JobSpec {
        name: String::from("live"),
        team: String::from("t"),
        kind: JobKind::Service,
        tasks: 9,
        resources: Resources::new(1_000, 512, 0),
        runtime_ms: None,
        repeatable: true,
        urgent: false,
        command: Vec::new(),
    };
    cell.instances["e0"].submit(spec).await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    let kept = format!("h0-w{}", seed % 3);
    for other in cell
        .world
        .worker_names()
        .into_iter()
        .filter(|name| *name != kept)
    {
        cell.world.faults().cut.insert((String::from("e0"), other));
    }
    for other in ["store", "e1"] {
        cell.world
            .faults()
            .cut
            .insert((String::from("e0"), String::from(other)));
    }
    cell.world.faults().cut.insert((String::from("e1"), kept));
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cell.world.double_runs()
}
