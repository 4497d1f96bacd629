//! How long a worker holds a poll open, by the number of workers.  With 1,100 workers, polls
//! without news took a quarter of the owner's processor time, so the wait grows with their number.

mod cell_core;

use cell_core::{Bench, configuration, queue, worker};
use crossweir::cell::{Cell, tuning};
use yare::parameterized;

/// The lease that a poll renews, in milliseconds.
const LEASE: u64 = 3_500;
/// How long after its wait a poll without an answer counts as lost, in milliseconds.
const ANSWER_TIMEOUT: u64 = 250;

/// Returns how long a poll waits in a cell of `workers` workers, of which at most `awake` idle ones
/// are unparked.
fn poll_wait_if_awake(workers: u16, awake: usize) -> u64 {
    let mut cell = Cell::new(1, configuration(&[queue("q", 0)]), 1_000);
    cell.set_idle_reserve(awake);
    cell.list_workers((0..workers).map(worker).collect(), 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    let key = bench.worker(0);
    let order = bench.cell.poll_order(key, bench.now);
    order.expect("a worker").wait
}

/// Returns how long a poll waits if all workers are unparked, as busy ones are.
fn poll_wait(workers: u16) -> u64 {
    poll_wait_if_awake(workers, usize::from(workers))
}

#[parameterized(
    small = { 48, 600 },
    several_hundred = { 350, 600 },
    large = { 1_100, 1_466 },
    larger_than_any = { 4_000, 1_500 },
)]
fn polls_wait_longer_among_many_workers(workers: u16, wait: u64) {
    assert_eq!(poll_wait(workers), wait);
}

#[test]
fn parked_workers_do_not_lengthen_the_wait_of_polls() {
    let wait = poll_wait_if_awake(6_000, tuning::IDLE_RESERVE);
    assert_eq!(wait, 800);
}

#[test]
fn after_a_lost_poll_the_next_one_still_renews_the_lease() {
    let lost = poll_wait(4_000) + ANSWER_TIMEOUT;
    assert!(lost + ANSWER_TIMEOUT < LEASE, "{lost} ms");
}
