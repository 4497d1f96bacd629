//! Starts whose worker is lost before their answer has come.
//!
//! Seen: a job of a random run (seed 10228 of `tests/lost_owners.rs`) neither ran nor ended for as long
//! as its owner was there: the verdict on its last start was awaited, and nobody could bring it.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::membership::LostBy;
use crossweir::cell::order::{Refusal, StartOutcome};
use crossweir::cell::spec::JobId;

/// What was noted of a start was kept by its place among the runs, which the next run took over.
#[test]
fn the_answer_to_a_start_counts_though_another_start_has_been_lost_since() {
    // Arrange: starts are lost with their workers before their answers come; the first one's task is
    // started again with the second job's, and lost again.
    let q = queue("q", 0);
    let mut bench = Bench::new(4, std::slice::from_ref(&q));
    let mut lost = Vec::new();
    for id in [1, 2] {
        bench.accept(&job(id, &q, vec![step(1, 1_000)]));
        let started = starts(&bench.decide());
        for order in &started {
            let (worker, now) = (order.to.worker, bench.now);
            bench.cell.lose_worker(worker, now, LostBy::OtherLife);
        }
        lost.extend(started);
    }
    assert_eq!(lost.len(), 3, "all were started");

    // Act: the answers come: none was carried out.
    let gone = StartOutcome::Refused(Refusal::Gone);
    for order in lost {
        bench.cell.start_answered(order.run, gone, None, bench.now);
    }

    // Assert.
    let held = |id| {
        let view = bench.cell.view(JobId(id), bench.now);
        view.expect("a known job").steps[0].lost_runs
    };
    assert_eq!([1, 2].map(held), [0, 0], "held against the jobs for ever");
}
