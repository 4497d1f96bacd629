//! Measures in virtual time how long urgent jobs wait for their first start after a change of owner.
//!
//! A successor waits for the workers of its predecessor, and records some starts before it sends
//! them (`src/cell/plan.rs`).  Both delay urgent jobs.  What counts is told in
//! `tests/random_world/first_starts.rs`.
//!
//! `CROSSWEIR_SEED=1 CROSSWEIR_RUNS=400 cargo test --release --test first_starts -- --nocapture`
//! prints a line for each world and each way to lose owners.  A seed gives the same figures each
//! time, so that two versions of the core can be compared.

mod cell_core;
mod halls;
mod lives;
mod random_world;

use std::fmt;
use std::panic;

use crossweir::clock::Millis;
use random_world::{FirstStart, FirstStarts, MAX_HEARING_TIME, Moment, World, number, print_log};
use yare::parameterized;

/// The seeds that are run by default, for each world and each way to lose owners.
const FIRST_SEED: u64 = 1;
const RUNS: u64 = 8;
/// The spans of `tests/lost_owners.rs`, in milliseconds; the seed selects one.
const SPANS: [Millis; 4] = [20, 60, 150, 400];

/// Kinds of worlds, as in `tests/lost_owners.rs`.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Plain,
    KeptIds,
    CrashingTasks,
    CrashingTasksOnKeptIds,
    LateEntries,
}

impl Kind {
    fn world(self, seed: u64) -> World {
        match self {
            Self::Plain => World::new(seed),
            Self::KeptIds => World::with_kept_ids(seed, false),
            Self::CrashingTasks => World::with_crashing_tasks(seed),
            Self::CrashingTasksOnKeptIds => World::with_kept_ids(seed, true),
            Self::LateEntries => World::with_kept_ids(seed, false).with_late_entries(),
        }
    }

    /// Returns whether workers crash under tasks, so that owners are often lost while a worker is
    /// down for seconds.
    fn has_crashing_tasks(self) -> bool {
        matches!(self, Self::CrashingTasks | Self::CrashingTasksOnKeptIds)
    }
}

/// When owners are lost.
#[derive(Debug, Clone, Copy)]
enum Losses {
    /// At random times, and soon after each kind of [`Moment`] as in `tests/lost_owners.rs`.
    Moments,
    /// At random times only, as in `tests/chaos.rs`.
    RandomTimes,
}

impl Losses {
    const ALL: [Self; 2] = [Self::Moments, Self::RandomTimes];

    fn apply(self, world: World, seed: u64) -> World {
        match self {
            Self::Moments => {
                let span = number("CROSSWEIR_SPAN", SPANS[seed as usize % SPANS.len()]);
                let world = world.losing_owners(seed, &Moment::ALL, span);
                world.with_unreliable_store(seed)
            }
            Self::RandomTimes => world,
        }
    }
}

/// The first starts of all seeds.
#[derive(Default)]
struct Measurement {
    /// The waits in milliseconds, the shortest first.
    waits: Vec<Millis>,
    /// Those of the jobs that were there at the claim, the shortest first.
    waits_from_claim: Vec<Millis>,
    recorded_first: usize,
    cut_off: usize,
}

impl Measurement {
    fn of(plays: &[FirstStarts]) -> Self {
        let sent = || plays.iter().flat_map(FirstStarts::sent);
        let predates_claim = |start: &&FirstStart| start.predates_claim;
        let is_recorded_first = |start: &&FirstStart| start.recorded_first;
        Self {
            waits: sorted_waits(sent()),
            waits_from_claim: sorted_waits(sent().filter(predates_claim)),
            recorded_first: sent().filter(is_recorded_first).count(),
            cut_off: plays.iter().map(FirstStarts::cut_off).sum(),
        }
    }
}

fn sorted_waits<'a>(starts: impl Iterator<Item = &'a FirstStart>) -> Vec<Millis> {
    let mut waits: Vec<Millis> = starts.map(|start| start.wait).collect();
    waits.sort_unstable();
    waits
}

/// The longest of the shortest waits that make up this share of all; zero if there are none.
fn longest_of_share(sorted_waits: &[Millis], percent: usize) -> Millis {
    let count = (sorted_waits.len() * percent).div_ceil(100);
    let last = count.checked_sub(1);
    last.map_or(0, |last| sorted_waits[last])
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} first starts, half within {} ms, 95 of 100 within {} ms, longest {} ms, \
             {} of jobs that were there at the claim, half of these within {} ms, \
             {} recorded first, {} waits cut off",
            self.waits.len(),
            longest_of_share(&self.waits, 50),
            longest_of_share(&self.waits, 95),
            longest_of_share(&self.waits, 100),
            self.waits_from_claim.len(),
            longest_of_share(&self.waits_from_claim, 50),
            self.recorded_first,
            self.cut_off,
        )
    }
}

fn play(kind: Kind, losses: Losses, seed: u64) -> FirstStarts {
    let mut world = losses.apply(kind.world(seed), seed);
    world.play();
    world.into_first_starts()
}

/// Plays all seeds; a play that fails is named.
fn measure(kind: Kind, losses: Losses) -> Measurement {
    let first = number("CROSSWEIR_SEED", FIRST_SEED);
    let seeds = first..first + number("CROSSWEIR_RUNS", RUNS);
    let plays = seeds.map(|seed| {
        let played = panic::catch_unwind(|| play(kind, losses, seed));
        played.unwrap_or_else(|_| panic!("{kind:?}, {losses:?}: the play of seed {seed} failed"))
    });
    Measurement::of(&plays.collect::<Vec<_>>())
}

fn check_half(sorted_waits: &[Millis]) {
    assert!(!sorted_waits.is_empty(), "nothing was measured");
    let half = longest_of_share(sorted_waits, 50);
    assert!(half <= MAX_HEARING_TIME, "half wait for up to {half} ms");
}

/// An owner polls all workers after its claim, and may start everything that waits once all of them
/// have answered (docs/DESIGN.md, "Settling").  That takes [`MAX_HEARING_TIME`] if no message is lost
/// and no worker is away.  Losses, absences, unread rows and a lack of room are exceptions, so at
/// least half of the jobs must not wait longer.  The same holds for those jobs alone that were there
/// at the claim, unless tasks crash their workers: an owner waits for a worker that is down.  That is
/// checked only where owners are lost often, since else a few seeds have too few such jobs.
#[parameterized(
    plain = { Kind::Plain },
    kept_ids = { Kind::KeptIds },
    crashing_tasks = { Kind::CrashingTasks },
    crashing_tasks_on_kept_ids = { Kind::CrashingTasksOnKeptIds },
    late_entries = { Kind::LateEntries },
)]
fn half_of_the_urgent_jobs_start_once_a_new_owner_can_have_heard_every_worker(kind: Kind) {
    print_log();
    for losses in Losses::ALL {
        let measurement = measure(kind, losses);
        println!("{kind:?}, {losses:?}: {measurement}");
        check_half(&measurement.waits);
        if matches!(losses, Losses::Moments) && !kind.has_crashing_tasks() {
            check_half(&measurement.waits_from_claim);
        }
    }
}
