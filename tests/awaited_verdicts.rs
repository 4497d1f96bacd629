//! Starts whose worker is lost before their answer arrives.
//!
//! Guards against a job that neither runs nor ends while its owner lives: the verdict on its last
//! start was awaited, and nothing could bring that verdict any more (seed 10228 of
//! `tests/lost_owners.rs`).

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::membership::LostBy;
use crossweir::cell::order::{Refusal, StartOutcome};
use crossweir::cell::spec::JobId;

/// The note on an awaited start was kept under the slot of its run, which the next run reused.
#[test]
fn the_answer_to_a_start_counts_though_another_start_has_been_lost_since() {
    // Arrange: workers are lost before they answer their starts. The task of the first job is
    // started again together with that of the second job, and its worker is lost again.
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
    assert_eq!(lost.len(), 3, "three starts were sent");

    // Act: the answers arrive: no start was executed.
    let gone = StartOutcome::Refused(Refusal::Gone);
    for order in lost {
        bench.cell.start_answered(order.run, gone, None, bench.now);
    }

    // Assert.
    let lost_runs = |id| {
        let view = bench.cell.view(JobId(id), bench.now);
        view.expect("a known job").steps[0].lost_runs
    };
    assert_eq!(
        [1, 2].map(lost_runs),
        [0, 0],
        "lost runs are still counted against the jobs"
    );
}
