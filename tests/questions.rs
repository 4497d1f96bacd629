//! Which workers questions about steps name in a large cell, and what it costs to choose them.
//!
//! The pattern: a burst of urgent jobs, each with a step that needs the word of the advice service.

mod cell_core;

use std::collections::BTreeSet;

use cell_core::{Bench, advised_queue, job, question_workers, questions, step};
use crossweir::cell::order::AdviceOrder;

const WORKERS: u16 = 1_100;
/// How many steps ask in one round.
const STEPS: u64 = 8;

/// Steps of some tasks that are handed in at once, each with a lane of its own.
fn burst() -> Bench {
    let queue = advised_queue("urgent", 0);
    let mut bench = Bench::new(WORKERS, std::slice::from_ref(&queue));
    bench.cell.set_lanes(&[true; STEPS as usize]);
    for id in 1..=STEPS {
        bench.accept(&job(id, &queue, vec![step(13, 4_000)]));
    }
    bench
}

fn named(asked: &[AdviceOrder]) -> Vec<&str> {
    asked.iter().flat_map(question_workers).collect()
}

/// Each question cost a look at every worker of the cell, so a burst took most of the owner's rounds.
#[test]
fn a_question_looks_at_some_workers_of_a_large_cell_and_not_at_all() {
    let mut bench = burst();
    let before = bench.cell.counts().advice_workers;

    let asked = questions(&bench.decide());

    let looked_at = bench.cell.counts().advice_workers - before;
    assert_eq!(asked.len() as u64, STEPS);
    assert!(looked_at <= STEPS * 200, "{looked_at}");
}

/// All named the roomiest workers, so that the first step took the room and the others had to ask again.
#[test]
fn steps_that_ask_in_one_round_are_not_sent_to_the_same_workers() {
    let mut bench = burst();

    let asked = questions(&bench.decide());

    let named = named(&asked);
    let different: BTreeSet<&str> = named.iter().copied().collect();
    assert!(
        different.len() * 2 >= named.len(),
        "{} of {}",
        different.len(),
        named.len()
    );
}

/// A worker that is known to be good is named again when its ticket has run out, wherever a look begins.
#[test]
fn a_good_worker_without_a_ticket_is_named_first() {
    let queue = advised_queue("urgent", 0);
    let mut bench = Bench::new(WORKERS, std::slice::from_ref(&queue));
    bench.accept(&job(1, &queue, vec![step(1, 4_000)]));
    let first = questions(&bench.decide());
    let (_, good) = first[0].workers[0].clone();
    let ticket = (good.clone(), String::from("ticket"));
    bench.cell.advised(&first[0], Some(vec![ticket]), bench.now);

    bench.pass(3_000);
    bench.poll_all();
    let again = questions(&bench.decide());

    assert_eq!(question_workers(&again[0])[0], good);
}
