//! A worker that lists as many ends as a list holds, long after its first whole list.
//!
//! What a former owner left on a worker is known from the first list under our epoch that is
//! whole.  A list that is full later, since the store takes no record for a while, hides ends of
//! our own runs only, and need not keep jobs of the whole cell from starting elsewhere.

mod cell_core;

use cell_core::{Bench, job, listed_end, queue, starts, step};
use crossweir::cell::order::{EndEntry, EndKind};

/// How many starts are ordered on an empty worker while another one lists so many ends.
fn starts_elsewhere(listed: u64) -> usize {
    // Arrange: both workers have answered with whole lists, and the cell is settled.
    let q = queue("q", 0);
    let mut bench = Bench::under(2, 2, std::slice::from_ref(&q));
    let many = job(1, &q, vec![step(600, 16_000)]);
    bench.cell.accept(&many, None, true, bench.now);
    let started = bench.start_all();
    assert_eq!(
        started.len(),
        2,
        "one on each worker, so nothing is unsettled"
    );
    let key = bench.worker(0);
    let other = bench.worker(1);

    // Act: while the store is away, the first worker comes to list as many ends.
    let ends: Vec<EndEntry> = (0..listed)
        .map(|place| {
            let task = format!("0000000000000001.0.0.{}", 50 + place);
            listed_end(place + 1, &task, 2_000_500 + place, EndKind::Done)
        })
        .collect();
    bench.poll_with_lists(key, Vec::new(), ends);
    let on_other = started.iter().find(|start| start.to.worker == other);
    let on_other = on_other.expect("a start there");
    let end = listed_end(
        1,
        &on_other.task.to_string(),
        on_other.number,
        EndKind::Done,
    );
    bench.poll_with_lists(other, Vec::new(), vec![end]);
    bench.pass(20);

    let again = starts(&bench.decide());
    let there = again.iter().filter(|start| start.to.worker == other);
    there.count()
}

#[test]
fn a_list_that_is_not_full_holds_no_job_of_a_former_owner_back() {
    assert_eq!(starts_elsewhere(499), 1);
}

#[test]
fn a_full_list_after_a_whole_one_holds_no_job_of_a_former_owner_back() {
    assert_eq!(
        starts_elsewhere(500),
        1,
        "nothing starts on an empty worker"
    );
}
