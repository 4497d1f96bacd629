//! The time of a scheduling round must grow with the steps that wait, and no faster.

mod cell_core;

use cell_core::{Bench, job, queue, step};
use crossweir::cell::spec::Schedule;

/// The rank of each step went over all steps of its job, so a round took the square of their
/// number, and the owner answered nobody meanwhile.
#[test]
fn a_round_examines_each_step_of_a_job_a_bounded_number_of_times() {
    // Arrange: a job of which 400 occurrences are due, in a cell that has room for none of them.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    let mut row = job(1, &q, vec![step(1, 20_000)]);
    row.spec.schedule = Some(Schedule {
        times: 400,
        first: 0,
        interval: 1,
    });
    bench.cell.set_wall_clock(1_000_000);
    bench.accept(&row);
    let (_, open_steps) = bench.cell.step_counts();

    // Act.
    bench.pass(10);
    bench.decide();

    // Assert.
    assert_eq!(open_steps, 400);
    let examined = bench.cell.counts().steps_examined;
    assert!(examined <= 2 * 400, "steps examined: {examined}");
}
