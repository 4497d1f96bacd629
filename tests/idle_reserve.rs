//! The idle reserve soon after a change of owner, when any life may have the longest lease.
//!
//! A lease that is not known to be short is no reason to keep an idle worker awake, or to wake another
//! one in its place: in a large cell all workers would be polled ("Parked workers" in
//! `docs/DESIGN.md`).

mod cell_core;
mod lives;

use cell_core::{step, worker};
use crossweir::clock::Millis;
use lives::Site;
use yare::parameterized;

const RESERVE: usize = 4;
const WORKERS: u16 = 100;

/// A site of idle workers whose clocks read more than any lease.
fn idle_site() -> Site {
    let mut site = Site::new(0);
    for index in 0..WORKERS {
        site.entries.push(worker(index));
        site.begin_life_reading(usize::from(index), 1_000_000);
    }
    site
}

/// Passes time as a node does, which does not poll parked workers.  Returns how many workers were
/// unparked at most.
fn pass_with_parking(site: &mut Site, time: Millis) -> usize {
    let until = site.now + time;
    let mut most = 0;
    while site.now < until {
        site.now += 10;
        let mut awake = 0;
        for key in site.cell.worker_keys() {
            if site.cell.is_parked(key) {
                continue;
            }
            awake += 1;
            if let Some(order) = site.cell.poll_order(key, site.now) {
                site.answer_poll(&order);
            }
        }
        most = most.max(awake);
        site.decide();
        site.record();
    }
    most
}

/// An owner takes the cell over that goes by the reserve from its first list on.
fn take_over_with_reserve(site: &mut Site) {
    let entries = std::mem::take(&mut site.entries);
    site.take_over();
    site.cell.set_idle_reserve(RESERVE);
    site.entries = entries;
    site.cell.list_workers(site.entries.clone(), site.now);
}

/// Guards against a cell that wakes all of its workers: idle ones that may have the longest lease did
/// not count as a reserve, so more and more were woken, each of which may have it as well.
#[parameterized(
    one_owner = { 0, 0 },
    steady_then_next = { 60_000, 1 },
    two_next_soon = { 60_000, 2 },
)]
fn idle_workers_beyond_the_reserve_stay_parked(steady: Millis, successors: usize) {
    // Arrange
    let mut site = idle_site();

    // Act
    take_over_with_reserve(&mut site);
    let mut most = pass_with_parking(&mut site, 12_000);
    if steady > 0 {
        pass_with_parking(&mut site, steady);
        most = 0;
    }
    for _ in 0..successors {
        take_over_with_reserve(&mut site);
        most = most.max(pass_with_parking(&mut site, 3_000));
    }
    most = most.max(pass_with_parking(&mut site, 12_000));

    // Assert
    assert!(
        most <= 3 * RESERVE,
        "{most} of {WORKERS} workers were awake"
    );
}

/// Guards against the same when work takes up the reserve soon after a change of owner.
#[test]
fn work_after_a_change_of_owner_wakes_no_more_than_a_new_reserve() {
    // Arrange
    let mut site = idle_site();
    take_over_with_reserve(&mut site);
    pass_with_parking(&mut site, 60_000);

    // Act
    take_over_with_reserve(&mut site);
    pass_with_parking(&mut site, 1_000);
    site.submit(60_000, vec![step(2 * RESERVE as u32, 16_000)]);
    let most = pass_with_parking(&mut site, 20_000);

    // Assert: eight are busy, and one batch is woken for the work.
    assert!(most <= 40, "{most} of {WORKERS} workers were awake");
}
