//! The time of a scheduling round must grow no faster than the steps that wait, and be limited.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
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

/// Thousands of jobs that find no room must neither make a round long nor keep those behind them from
/// starting.
#[test]
fn waiting_steps_take_turns_if_they_are_too_many_for_a_round() {
    // Arrange: of 20,000 jobs only one that came in the middle fits on the worker.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    for id in 0..20_000 {
        let millicores = if id == 10_000 { 1_000 } else { 20_000 };
        bench.accept(&job(id, &q, vec![step(1, millicores)]));
    }

    // Act: the workers examined as places show how many steps were looked at.
    let mut started = Vec::new();
    let mut longest = 0;
    for _ in 0..12 {
        let before = bench.cell.counts().candidates_examined;
        started.extend(starts(&bench.decide()));
        longest = longest.max(bench.cell.counts().candidates_examined - before);
    }

    // Assert.
    assert_eq!(started.len(), 1);
    assert!(
        longest <= 2 * 4_096,
        "places examined in a round: {longest}"
    );
}
