//! Which workers advice questions name in a large cell, and what it costs to choose them.
//!
//! The load is a burst of urgent jobs, each with a step that needs advice.

mod cell_core;

use std::collections::BTreeSet;

use cell_core::{Bench, advised_queue, job, question_workers, questions, step};
use crossweir::cell::order::AdviceOrder;

const WORKERS: u16 = 1_100;
/// How many steps ask in one scheduling round.
const STEPS: u64 = 8;

/// Returns an owner of jobs that are submitted at once, each with one step of 13 tasks, and of as
/// many lanes as jobs.
fn burst() -> Bench {
    let queue = advised_queue("urgent", 0);
    let mut bench = Bench::new(WORKERS, std::slice::from_ref(&queue));
    bench.cell.set_lanes(&[true; STEPS as usize]);
    for id in 1..=STEPS {
        bench.accept(&job(id, &queue, vec![step(13, 4_000)]));
    }
    bench
}

/// Returns all workers that the questions name.
fn named(asked: &[AdviceOrder]) -> Vec<&str> {
    asked.iter().flat_map(question_workers).collect()
}

/// Guards against questions that examine every worker of the cell: in a burst these took most of
/// the time of the owner's scheduling rounds.
#[test]
fn a_question_examines_only_some_workers_of_a_large_cell() {
    let mut bench = burst();
    let before = bench.cell.counts().advice_workers;

    let asked = questions(&bench.decide());

    let examined = bench.cell.counts().advice_workers - before;
    assert_eq!(asked.len() as u64, STEPS);
    assert!(examined <= STEPS * 200, "{examined}");
}

/// Guards against questions that all name the workers with the most room: the first step took that
/// room, and the others had to ask again.
#[test]
fn steps_that_ask_in_one_round_do_not_all_name_the_same_workers() {
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

/// An approved worker is named again when its ticket has expired, wherever the search begins.
#[test]
fn an_approved_worker_without_a_ticket_is_named_first() {
    let queue = advised_queue("urgent", 0);
    let mut bench = Bench::new(WORKERS, std::slice::from_ref(&queue));
    bench.accept(&job(1, &queue, vec![step(1, 4_000)]));
    let first = questions(&bench.decide());
    let (_, approved) = first[0].workers[0].clone();
    let ticket = (approved.clone(), String::from("ticket"));
    bench
        .cell
        .advice_answered(&first[0], Some(vec![ticket]), bench.now);

    bench.pass(3_000);
    bench.poll_all();
    let again = questions(&bench.decide());

    assert_eq!(question_workers(&again[0])[0], approved);
}
