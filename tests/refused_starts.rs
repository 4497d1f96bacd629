//! A start that a worker does not recognise is sent again only after a pause.
//!
//! Guards, like `crashing_tasks.rs`, against something that is repeated endlessly because nothing
//! counts it.  The owner runs a scheduling round every 10 ms here, as with 100 starts a second.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::order::{Refusal, StartOutcome};

#[test]
fn a_start_that_is_not_recognised_is_sent_again_after_a_pause() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::new(4, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 1_000)]));

    // Act: every worker refuses it for 5 s.
    let mut sent = 0;
    for _ in 0..500 {
        bench.poll_all();
        for start in starts(&bench.decide()) {
            sent += 1;
            let refused = StartOutcome::Refused(Refusal::UnknownTask);
            let now = bench.now;
            bench
                .cell
                .start_answered(start.run, refused, Some(now), now);
        }
    }

    // Assert: it is sent about once a second.
    assert!((3..=6).contains(&sent), "{sent}");
}
