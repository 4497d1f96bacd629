//! A worker whose list of ends becomes full, long after its first complete list.
//!
//! The first complete list under the present epoch shows all that a former owner left on a worker.
//! If a later list is full, because the store accepts no records for a while, it can hide only ends
//! of the present owner's runs.  It must not keep the jobs of the whole cell from starting on other
//! workers.

mod cell_core;

use cell_core::{Bench, job, listed_end, queue, starts, step};
use crossweir::cell::order::{EndEntry, EndKind};

/// Returns how many starts are ordered on an empty worker while another one lists `listed` ends.
fn starts_elsewhere(listed: u64) -> usize {
    // Arrange: both workers have answered with complete lists, so ownership is settled.
    let q = queue("q", 0);
    let mut bench = Bench::under(2, 2, std::slice::from_ref(&q));
    let many = job(1, &q, vec![step(600, 16_000)]);
    bench.cell.accept(&many, None, true, bench.now);
    let started = bench.start_all();
    assert_eq!(
        started.len(),
        2,
        "one on each worker, so ownership is settled"
    );
    let key = bench.worker(0);
    let other = bench.worker(1);

    // Act: while the store is unavailable, the first worker comes to list that many ends.
    let ends: Vec<EndEntry> = (0..listed)
        .map(|index| {
            let task = format!("0000000000000001.0.0.{}", 50 + index);
            listed_end(index + 1, &task, 2_000_500 + index, EndKind::Done)
        })
        .collect();
    bench.poll_with_lists(key, Vec::new(), ends);
    let on_other = started.iter().find(|start| start.to.worker == other);
    let on_other = on_other.expect("a start on the other worker");
    let end = listed_end(
        1,
        &on_other.task.to_string(),
        on_other.number,
        EndKind::Done,
    );
    bench.poll_with_lists(other, Vec::new(), vec![end]);
    bench.pass(20);

    let again = starts(&bench.decide());
    let on_other = again.iter().filter(|start| start.to.worker == other);
    on_other.count()
}

#[test]
fn a_list_that_is_not_full_delays_no_job_of_a_former_owner() {
    assert_eq!(starts_elsewhere(499), 1);
}

#[test]
fn a_full_list_after_a_complete_one_delays_no_job_of_a_former_owner() {
    assert_eq!(
        starts_elsewhere(500),
        1,
        "nothing starts on an empty worker"
    );
}
