//! Randomised tests in which owners are lost within 20 to 400 ms of events that only they know of.
//!
//! `CROSSWEIR_SEED=1000 CROSSWEIR_RUNS=500 CROSSWEIR_SPAN=60 cargo test --release --test lost_owners`
//! runs other seeds, with one span; a failure names each seed that failed.  The invariants are those
//! of `tests/chaos.rs`.

mod cell_core;
mod halls;
mod lives;
mod random_world;

use std::panic;

use crossweir::clock::Millis;
use random_world::{Moment, World, number, print_log};
use yare::parameterized;

/// The seeds that are run by default, for each moment and kind of world.
const FIRST_SEED: u64 = 1;
const RUNS: u64 = 4;
/// An owner is lost within one of these times of a moment, in milliseconds; the seed selects which.
const SPANS: [Millis; 4] = [20, 60, 150, 400];

/// Kinds of worlds.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Plain,
    CrashingTasks,
    KeptIds,
    CrashingTasksOnKeptIds,
    LateEntries,
    CrashingTasksAndLateEntries,
    Caps,
    Evacuations,
    Parking,
}

impl Kind {
    fn world(self, seed: u64) -> World {
        match self {
            Self::Plain => World::new(seed),
            Self::CrashingTasks => World::with_crashing_tasks(seed),
            Self::KeptIds => World::with_kept_ids(seed, false),
            Self::CrashingTasksOnKeptIds => World::with_kept_ids(seed, true),
            Self::LateEntries => World::with_kept_ids(seed, false).with_late_entries(),
            Self::CrashingTasksAndLateEntries => {
                World::with_crashing_tasks(seed).with_late_entries()
            }
            Self::Caps => World::new(seed).with_caps(),
            Self::Evacuations => World::new(seed).with_evacuations(),
            Self::Parking => World::with_crashing_tasks(seed).with_parking(),
        }
    }

    fn verify(self, world: &World) {
        world.verify();
        match self {
            Self::KeptIds | Self::LateEntries => world.verify_attempts(),
            Self::CrashingTasksOnKeptIds => {
                world.verify_attempts();
                world.verify_forgotten_starts();
                world.verify_starts_of_culprits();
            }
            Self::CrashingTasks | Self::CrashingTasksAndLateEntries => {
                world.verify_forgotten_starts();
                world.verify_crashes();
            }
            Self::Parking => {
                world.verify_forgotten_starts();
                world.verify_starts_of_culprits();
            }
            Self::Plain | Self::Caps | Self::Evacuations => {}
        }
    }

    fn play(self, seed: u64, moments: &[Moment]) {
        let span = SPANS[seed as usize % SPANS.len()];
        let span = number("CROSSWEIR_SPAN", span);
        let world = self.world(seed).losing_owners(seed, moments, span);
        let mut world = world.with_unreliable_store(seed);
        world.play();
        self.verify(&world);
    }

    /// Runs all seeds, even after failures, and returns those that failed.
    fn failing_seeds(self, moments: &[Moment]) -> Vec<u64> {
        let first = number("CROSSWEIR_SEED", FIRST_SEED);
        let seeds = first..first + number("CROSSWEIR_RUNS", RUNS);
        let fails = |seed: &u64| panic::catch_unwind(|| self.play(*seed, moments)).is_err();
        seeds.filter(fails).collect()
    }
}

fn play_all(kinds: &[Kind], moments: &[Moment]) {
    print_log();
    let failed = kinds.iter().map(|kind| (kind, kind.failing_seeds(moments)));
    let failed: Vec<_> = failed.filter(|(_, seeds)| !seeds.is_empty()).collect();
    assert!(failed.is_empty(), "{moments:?} failed: {failed:?}");
}

#[parameterized(
    crash = { Moment::Crash },
    start = { Moment::Start },
    answer = { Moment::Answer },
    ends = { Moment::Ends },
    record = { Moment::Record },
    claim = { Moment::Claim },
    reading = { Moment::Reading },
)]
fn crashing_tasks_are_not_started_without_end_by_owners_that_are_lost(moment: Moment) {
    let kinds = [
        Kind::CrashingTasks,
        Kind::CrashingTasksOnKeptIds,
        Kind::CrashingTasksAndLateEntries,
    ];
    play_all(&kinds, &[moment]);
}

#[parameterized(
    plain = { Kind::Plain },
    crashing_tasks = { Kind::CrashingTasks },
    kept_ids = { Kind::KeptIds },
    crashing_tasks_on_kept_ids = { Kind::CrashingTasksOnKeptIds },
    late_entries = { Kind::LateEntries },
    crashing_tasks_and_late_entries = { Kind::CrashingTasksAndLateEntries },
    caps = { Kind::Caps },
    evacuations = { Kind::Evacuations },
    parking = { Kind::Parking },
)]
fn invariants_hold_while_owners_are_lost_at_any_of_these_moments(kind: Kind) {
    play_all(&[kind], &Moment::ALL);
}

/// Guards against a sixth start of a crashing task whose owners are lost within 60 or 150 ms of its
/// crashes, while their successors cannot read the row of its job.
#[parameterized(
    two_owners_after_unread_rows = { 700_700, 60 },
    another_two = { 707_869, 60 },
    a_longer_span = { 701_849, 150 },
)]
fn a_crashing_task_whose_owners_are_lost_is_not_started_a_sixth_time(seed: u64, span: Millis) {
    let world = World::with_crashing_tasks(seed);
    let mut world = world.losing_owners(seed, &[Moment::Crash], span);
    world.play();
    world.verify();
    world.verify_starts_of_culprits();
}

/// Guards against a sixth start of a crashing task: one start arrives seconds late and is executed
/// by the next life of its worker, which no poll has reached, and another one is forgotten with its
/// owner.
#[test]
fn a_start_that_a_next_life_carries_out_late_makes_no_sixth_one() {
    Kind::CrashingTasksOnKeptIds.play(47_477, &Moment::ALL);
}
