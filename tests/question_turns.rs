//! For how long a step may go without a question to the advice service while room is free for it.

mod cell_core;

use cell_core::{Bench, advised_queue, job, questions, queue, starts, step};
use crossweir::cell::order::AdviceOrder;

/// Answers a question: all workers that it names are approved.
fn approve_all(bench: &mut Bench, order: &AdviceOrder) {
    let ticket = |(_, id): &(_, String)| (id.clone(), format!("ticket of {id}"));
    let approved = order.workers.iter().map(ticket).collect();
    bench.cell.advice_answered(order, Some(approved), bench.now);
}

/// Guards against steps that nobody asks about while the owner's log and metrics show no sign of it.
#[test]
fn the_owner_tells_for_how_long_a_step_was_not_asked_about() {
    let advised = advised_queue("urgent", 0);
    let mut bench = Bench::new(2, &[advised.clone(), queue("plain", 0)]);
    bench.cell.set_lanes(&[false, false]);
    bench.accept(&job(1, &advised, vec![step(1, 1_000)]));
    bench.decide();

    bench.pass(700);
    bench.poll_all();
    bench.decide();

    assert_eq!(bench.cell.longest_unasked(), 710);
}

#[test]
fn an_answer_counts_as_used_once_a_start_follows() {
    let advised = advised_queue("urgent", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&advised));
    bench.accept(&job(1, &advised, vec![step(2, 1_000)]));
    let asked = questions(&bench.decide());
    approve_all(&mut bench, &asked[0]);
    assert_eq!(bench.cell.counts().used_answers, 0);

    let started = starts(&bench.decide());

    assert_eq!(started.len(), 2);
    assert_eq!(bench.cell.counts().used_answers, 1);
    assert_eq!(bench.cell.longest_unasked(), 0);
}
