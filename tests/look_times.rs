//! How long looks wait for news, by the number of workers: with 1,100 of them, looks that
//! brought none took a quarter of the owner's processor.

mod cell_core;

use cell_core::{Bench, configuration, queue, worker};
use crossweir::cell::{Cell, tuning};
use yare::parameterized;

/// The lease that a look renews, in milliseconds.
const LEASE: u64 = 3_500;
/// What a look may take beyond its wait before it counts as lost.
const LIMIT: u64 = 250;

/// How long a look waits in a cell of so many workers, of which at most so many idle ones are awake.
fn wait_among_awake(workers: u16, awake: usize) -> u64 {
    let mut cell = Cell::new(1, configuration(&[queue("q", 0)]), 1_000);
    cell.set_idle_reserve(awake);
    cell.list_workers((0..workers).map(worker).collect(), 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    let key = bench.worker(0);
    let order = bench.cell.poll_order(key, bench.now);
    order.expect("a worker").wait
}

/// The same where all of them are awake, as busy ones are.
fn wait_among(workers: u16) -> u64 {
    wait_among_awake(workers, usize::from(workers))
}

#[parameterized(
    small = { 48, 600 },
    several_hundred = { 350, 600 },
    large = { 1_100, 1_466 },
    larger_than_any = { 4_000, 1_500 },
)]
fn looks_wait_longer_among_many_workers(workers: u16, wait: u64) {
    assert_eq!(wait_among(workers), wait);
}

#[test]
fn parked_workers_make_no_look_wait_longer() {
    let wait = wait_among_awake(6_000, tuning::IDLE_RESERVE);
    assert_eq!(wait, 800);
}

#[test]
fn after_a_lost_look_the_next_one_still_renews_the_lease() {
    let lost = wait_among(4_000) + LIMIT;
    assert!(lost + LIMIT < LEASE, "{lost} ms");
}
