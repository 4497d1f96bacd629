//! Which steps ask the advice service while capacity is contended, and how lanes are divided.
//!
//! The load is a full cell with a backlog of batch steps.  Guards against steps that ask for
//! capacity that they do not get: their questions occupied most of the lanes, three quarters of the
//! tickets expired unused, and 400 to 2,300 tasks waited while 13% of the capacity was free.

mod cell_core;

use cell_core::{
    Bench, advised_queue, job, question_workers, questions, queue, starts, step, worker,
};
use crossweir::cell::advice_plan::{Budget, Claim, lanes_for_short_questions};
use crossweir::cell::life::Life;
use crossweir::cell::options::Options;
use crossweir::cell::order::{AdviceOrder, EndKind, PollReport, StartOrder};
use crossweir::cell::spec::{Demand, Step};
use crossweir::cell::wait::WaitReason;
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{WorkerKey, tuning};
use crossweir::queue::{AdviceTiming, Queue};

/// The queue of long questions.
fn batch() -> Queue {
    Queue {
        advice: Some(AdviceTiming {
            base_ms: 494.0,
            per_worker_ms: 7.2,
            valid: 2_500,
        }),
        ..queue("batch", 2)
    }
}

fn plain() -> Queue {
    queue("plain", 0)
}

/// Returns an owner that plans questions, with so many workers and lanes.
fn planning(workers: u16, lanes: usize) -> Bench {
    let queues = [plain(), advised_queue("urgent", 1), batch()];
    let mut bench = Bench::new(workers, &queues);
    bench.cell.set_lanes(&vec![true; lanes]);
    bench.cell.set_options(Options {
        advice_planning: true,
        ..Options::default()
    });
    bench
}

/// Returns a step of one task that takes a whole worker.
fn wide_step() -> Step {
    step(1, 16_000)
}

/// Fills so many workers, each with one task with an estimate.
fn fill(bench: &mut Bench, id: u64, workers: u32, estimate: u64) -> Vec<StartOrder> {
    let filling = Step {
        estimate,
        ..step(workers, 16_000)
    };
    bench.accept(&job(id, &plain(), vec![filling]));
    let started = bench.start_all();
    assert_eq!(started.len() as u32, workers);
    started
}

/// Fills so many workers with a lasting job, so that no capacity is foreseen there.
fn fill_for_good(bench: &mut Bench, id: u64, workers: u32) {
    let filling = Step {
        lasting: true,
        ..step(workers, 16_000)
    };
    bench.accept(&job(id, &plain(), vec![filling]));
    assert_eq!(bench.start_all().len() as u32, workers);
}

/// Answers a question: all workers that it names are approved.
fn approve_all(bench: &mut Bench, order: &AdviceOrder) {
    let ticket = |(_, id): &(_, String)| (id.clone(), format!("ticket of {id}"));
    let approved = order.workers.iter().map(ticket).collect();
    bench.cell.advice_answered(order, Some(approved), bench.now);
}

/// Lets time pass in rounds 100 ms apart, and returns the questions asked meanwhile; each fails.
fn pass_with_failing_questions(bench: &mut Bench, time: u64) -> Vec<AdviceOrder> {
    let mut asked = Vec::new();
    for _ in 0..time / 100 {
        bench.pass(90);
        bench.poll_all();
        for question in questions(&bench.decide()) {
            bench.cell.advice_answered(&question, None, bench.now);
            asked.push(question);
        }
    }
    asked
}

fn cores(cores: u64) -> Demand {
    Demand {
        millicores: cores * 1_000,
        ..Demand::default()
    }
}

fn claim(cores_per_task: u64, tasks: f64) -> Claim {
    Claim {
        room: cores(cores_per_task),
        tasks,
        max_per_worker: u32::MAX,
    }
}

#[test]
fn a_claim_leaves_to_the_next_what_it_is_not_expected_to_use() {
    let mut budget = Budget::new([("a", cores(16))], 0);

    let granted: Vec<f64> = (0..3)
        .map(|_| budget.claim(&claim(16, 1.0), |_| Some(0.5)).tasks)
        .collect();

    assert_eq!(granted, [0.5, 0.5, 0.0]);
}

#[test]
fn a_fragment_is_left_to_steps_whose_tasks_fit() {
    let mut budget = Budget::new([("a", cores(3)), ("b", cores(2))], 0);

    assert_eq!(budget.claim(&claim(4, 1.0), |_| Some(1.0)).tasks, 0.0);
    let small = budget.claim(&claim(2, 2.0), |_| Some(1.0));

    assert_eq!((small.tasks, small.workers), (2.0, vec!["a", "b"]));
}

#[test]
fn room_that_one_step_may_not_use_stays_for_others() {
    let mut budget = Budget::new([("a", cores(4))], 0);

    assert_eq!(budget.claim(&claim(4, 1.0), |_| None).tasks, 0.0);

    assert_eq!(budget.claim(&claim(4, 1.0), |_| Some(1.0)).tasks, 1.0);
}

/// Guards against accelerators that are held back because the processors beside them did not become
/// more.
#[test]
fn claims_leave_the_accelerators_that_are_foreseen_beside_them() {
    let accelerators = |gpus| Demand { gpus, ..cores(16) };
    let of_four = Claim {
        room: Demand {
            gpus: 4,
            ..cores(1)
        },
        tasks: 1.0,
        max_per_worker: 1,
    };
    let mut budget = Budget::new([("a", accelerators(4))], 0);
    assert_eq!(budget.claim(&of_four, |_| Some(1.0)).tasks, 1.0);

    budget.widen(|_| accelerators(8));

    assert_eq!(budget.claim(&of_four, |_| Some(1.0)).tasks, 1.0);
    assert_eq!(budget.claim(&of_four, |_| Some(1.0)).tasks, 0.0);
}

/// Guards against a round whose work grows with the number of waiting steps.
#[test]
fn claims_of_one_round_examine_a_bounded_number_of_workers() {
    let rooms = (0..6_000).map(|worker| (worker, cores(4)));
    let mut budget = Budget::new(rooms, 0);
    let examined = std::cell::Cell::new(0);

    for _ in 0..1_000 {
        budget.claim(&claim(4, 10.0), |_| {
            examined.set(examined.get() + 1);
            None
        });
    }

    assert!(budget.is_examined_enough());
    assert!(examined.get() <= 4_000, "{}", examined.get());
}

#[test]
fn one_in_eight_lanes_is_left_to_short_questions_but_never_the_only_one() {
    let left = [0, 1, 2, 8, 9, 34].map(lanes_for_short_questions);
    assert_eq!(left, [0, 0, 1, 1, 2, 5]);
}

#[test]
fn a_step_for_which_no_capacity_is_foreseen_does_not_ask() {
    let mut bench = planning(4, 2);
    let running = fill(&mut bench, 1, 4, 60_000);
    bench.accept(&job(2, &batch(), vec![wide_step()]));

    assert!(questions(&bench.decide()).is_empty());
    assert_eq!(bench.cell.steps_not_asking(), 1);
    assert_eq!(bench.cell.waiting().get(&(2, WaitReason::NoRoom)), Some(&1));

    bench.end(running[0].task, running[0].number, EndKind::Done);
    bench.poll_all();
    let asked = questions(&bench.decide());
    assert_eq!(asked.len(), 1);
    assert_eq!(bench.cell.steps_not_asking(), 0);
}

/// Without planning, a question of the same step names all workers that might ever run it.
#[test]
fn a_question_names_only_workers_that_have_capacity_before_its_tickets_expire() {
    let mut bench = planning(4, 2);
    let soon = fill(&mut bench, 1, 1, 1_000);
    fill(&mut bench, 2, 3, 60_000);
    bench.accept(&job(3, &batch(), vec![wide_step()]));

    let asked = questions(&bench.decide());

    assert_eq!(asked.len(), 1);
    assert_eq!(question_workers(&asked[0]), [soon[0].to.life.id.as_str()]);
}

#[test]
fn a_ticket_is_not_renewed_while_no_capacity_is_foreseen() {
    let mut bench = planning(1, 2);
    let running = fill(&mut bench, 1, 1, 3_000);
    bench.accept(&job(2, &batch(), vec![wide_step()]));
    let first = questions(&bench.decide());
    approve_all(&mut bench, &first[0]);
    bench.end(running[0].task, running[0].number, EndKind::Done);
    bench.poll_all();
    fill_for_good(&mut bench, 3, 1);

    let asked = pass_with_failing_questions(&mut bench, 4_000);

    assert!(asked.is_empty(), "{asked:?}");
}

#[test]
fn steps_ask_in_their_order_until_the_capacity_is_claimed() {
    let mut bench = planning(2, 4);
    fill_for_good(&mut bench, 1, 1);
    for id in 2..=4 {
        bench.accept(&job(id, &batch(), vec![wide_step()]));
    }

    let asked = questions(&bench.decide());

    // Half of the workers are approved, so two questions are expected to use one worker.
    let jobs: Vec<u64> = asked.iter().map(|order| order.name.job.0).collect();
    assert_eq!(jobs, [2, 3]);
    assert_eq!(bench.cell.steps_not_asking(), 1);
}

#[test]
fn while_there_is_capacity_for_all_steps_questions_are_those_without_planning() {
    let ask = |advice_planning| {
        let mut bench = planning(20, 4);
        bench.cell.set_options(Options {
            advice_planning,
            ..Options::default()
        });
        for id in 1..=3 {
            bench.accept(&job(id, &batch(), vec![step(4, 4_000)]));
        }
        let asked = questions(&bench.decide());
        let named = asked.iter().map(|order| order.workers.clone());
        named.collect::<Vec<_>>()
    };

    assert_eq!(ask(true).len(), 3);
    assert_eq!(ask(true), ask(false));
}

/// Guards against starvation: a task that takes a whole worker finds that much room only where it
/// has reserved it, and it can reserve only where it has been approved.
#[test]
fn a_step_that_is_kept_from_asking_asks_after_some_seconds() {
    let mut bench = planning(4, 2);
    fill_for_good(&mut bench, 1, 4);
    for id in 2..=4 {
        bench.accept(&job(id, &batch(), vec![wide_step()]));
    }
    assert!(questions(&bench.decide()).is_empty());

    let asked = pass_with_failing_questions(&mut bench, 8_000);

    for id in 2..=4 {
        let count = asked.iter().filter(|order| order.name.job.0 == id).count();
        assert_eq!(count, 1, "job {id}");
    }
}

/// Guards against starvation of the steps behind the first ten: these were due again before the
/// steps behind them had been allowed to ask.
#[test]
fn each_of_many_steps_that_are_kept_from_asking_asks_in_its_turn() {
    let mut bench = planning(4, 2);
    fill_for_good(&mut bench, 1, 4);
    let waiting = 2..=15;
    for id in waiting.clone() {
        bench.accept(&job(id, &batch(), vec![wide_step()]));
    }

    let asked = pass_with_failing_questions(&mut bench, 30_000);

    let mut jobs: Vec<u64> = asked.iter().map(|order| order.name.job.0).collect();
    jobs.sort_unstable();
    jobs.dedup();
    assert_eq!(jobs, waiting.collect::<Vec<_>>());
}

/// Guards against a step that waits for seconds beside parked workers that could run it.
#[test]
fn a_step_for_which_no_capacity_is_foreseen_unparks_workers() {
    let mut bench = planning(4, 2);
    bench.cell.set_idle_reserve(1);
    bench.pass(tuning::PARKING_INTERVAL);
    fill_for_good(&mut bench, 1, 1);
    bench.cell.set_idle_reserve(0);
    assert_eq!(bench.cell.count_workers().parked, 3);
    bench.cell.take_unparked();

    bench.accept(&job(2, &batch(), vec![wide_step()]));
    bench.decide();

    assert!(!bench.cell.take_unparked().is_empty());
}

/// Guards against long questions that are held back because a short one, whose tickets expire
/// sooner, was considered before.
#[test]
fn capacity_is_foreseen_until_the_tickets_of_the_longer_question_expire() {
    let mut bench = planning(4, 2);
    fill(&mut bench, 1, 1, 2_800);
    fill_for_good(&mut bench, 2, 3);
    let urgent = advised_queue("urgent", 1);
    bench.accept(&job(3, &urgent, vec![wide_step()]));
    bench.accept(&job(4, &batch(), vec![wide_step()]));

    let asked = questions(&bench.decide());

    let jobs: Vec<u64> = asked.iter().map(|order| order.name.job.0).collect();
    assert_eq!(jobs, [4]);
}

/// Guards against a step that starts one task after the other because it has a ticket for a worker
/// where all of them would find room, but most of them only after the ticket has expired.
#[test]
fn a_ticket_counts_for_one_task_while_no_more_have_room() {
    let mut bench = planning(3, 2);
    let lasting = Step {
        lasting: true,
        per_worker: 1,
        ..step(3, 4_000)
    };
    let ending = |tasks, millicores, estimate| Step {
        estimate,
        ..step(tasks, millicores)
    };
    // On each worker 12 cores are left.  Those of two workers are in use for a minute, those of the
    // third until 1 s and 2.3 s from now.
    let fillings = [
        lasting,
        ending(2, 12_000, 60_000),
        ending(1, 4_000, 1_000),
        ending(2, 4_000, 2_300),
    ];
    let mut started = Vec::new();
    for (id, filling) in (1..).zip(fillings) {
        bench.accept(&job(id, &plain(), vec![filling]));
        started.push(bench.start_all());
    }
    let urgent = advised_queue("urgent", 1);
    bench.accept(&job(5, &urgent, vec![wide_step()]));
    bench.accept(&job(6, &batch(), vec![step(3, 4_000)]));
    let first = questions(&bench.decide());
    let ending_on = started[2][0].to.life.id.as_str();
    assert_eq!(question_workers(&first[0]), [ending_on]);
    approve_all(&mut bench, &first[0]);

    let freed = &started[1][0];
    bench.end(freed.task, freed.number, EndKind::Done);
    bench.pass(300);
    bench.poll(freed.to.worker);
    let asked = questions(&bench.decide());

    assert_eq!(asked.len(), 1);
    assert_eq!(question_workers(&asked[0]), [freed.to.life.id.as_str()]);
}

#[test]
fn a_step_asks_through_another_lane_when_the_node_of_its_lane_is_lost() {
    let mut bench = planning(4, 2);
    bench.accept(&job(1, &batch(), vec![wide_step()]));
    let first = questions(&bench.decide());
    assert_eq!(first[0].lane, 0);

    bench.cell.set_lanes(&[false, true]);
    bench.cell.advice_answered(&first[0], None, bench.now);
    bench.pass(300);
    bench.poll_all();
    let again = questions(&bench.decide());

    assert_eq!(again.len(), 1);
    assert_eq!(again[0].lane, 1);
}

/// Guards against long questions that wait for an answer which a lost node still owes.
#[test]
fn a_long_question_uses_the_last_lane_while_one_of_a_lost_node_is_unanswered() {
    let mut bench = planning(4, 2);
    bench.accept(&job(1, &batch(), vec![step(1, 1_000)]));
    assert_eq!(questions(&bench.decide()).len(), 1);

    bench.cell.set_lanes(&[false, true]);
    bench.accept(&job(2, &batch(), vec![step(1, 1_000)]));
    let asked = questions(&bench.decide());

    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].lane, 1);
}

#[test]
fn a_late_answer_gives_tickets_and_a_start() {
    let mut bench = planning(4, 2);
    bench.accept(&job(1, &batch(), vec![wide_step()]));
    let asked = questions(&bench.decide());

    bench.pass(2_000);
    bench.poll_all();
    assert!(questions(&bench.decide()).is_empty(), "one at a time");
    approve_all(&mut bench, &asked[0]);

    assert_eq!(starts(&bench.decide()).len(), 1);
}

#[test]
fn after_a_refused_answer_the_step_asks_again_about_the_same_workers() {
    let mut bench = planning(1, 2);
    bench.accept(&job(1, &batch(), vec![wide_step()]));
    let asked = questions(&bench.decide());

    bench.cell.advice_answered(&asked[0], None, bench.now);
    let again = pass_with_failing_questions(&mut bench, 400);

    assert_eq!(question_workers(&again[0]), question_workers(&asked[0]));
}

#[test]
fn after_an_empty_answer_the_rejected_workers_are_not_named_again() {
    let mut bench = planning(4, 2);
    bench.accept(&job(1, &batch(), vec![wide_step()]));
    let asked = questions(&bench.decide());

    let none = Some(Vec::new());
    bench.cell.advice_answered(&asked[0], none, bench.now);
    let again = pass_with_failing_questions(&mut bench, 8_000);

    let rejected = question_workers(&asked[0]);
    let named: Vec<&str> = again.iter().flat_map(question_workers).collect();
    assert!(named.iter().all(|worker| !rejected.contains(worker)));
}

/// The question was sent before the worker restarted, so its answer is for the former life.
#[test]
fn a_ticket_of_a_former_life_starts_nothing_in_the_next_one() {
    const BORN: u64 = 1_000_000;
    /// Polls the only worker until its life is asked about; nothing may start before.
    fn ask_about(bench: &mut Bench, born: u64) -> (WorkerKey, AdviceOrder) {
        for _ in 0..300 {
            bench.pass(100);
            let key = bench.cell.worker_keys()[0];
            let report = PollReport {
                born: Some(born),
                clock: bench.now,
                ..PollReport::default()
            };
            bench.poll_with_report(key, &report);
            bench.record();
            let orders = bench.decide();
            assert!(starts(&orders).is_empty());
            if let Some(question) = questions(&orders).pop() {
                return (key, question);
            }
        }
        panic!("the life was not asked about");
    }
    let entry = |born| WorkerEntry {
        life: Life {
            born: Some(born),
            ..Life::of("w0")
        },
        ..worker(0)
    };
    let mut bench = planning(0, 2);
    bench.cell.list_workers(vec![entry(BORN)], bench.now);
    bench.accept(&job(1, &batch(), vec![wide_step()]));
    let (former, asked) = ask_about(&mut bench, BORN);

    bench
        .cell
        .list_workers(vec![entry(BORN + 5_000)], bench.now);
    approve_all(&mut bench, &asked);
    let (present, again) = ask_about(&mut bench, BORN + 5_000);

    assert_ne!(present, former);
    approve_all(&mut bench, &again);
    assert_eq!(starts(&bench.decide()).len(), 1);
}

/// Guards against urgent jobs that wait for half a second because batch steps have all lanes.
#[test]
fn a_short_question_finds_a_lane_while_all_long_ones_wait() {
    let mut bench = planning(100, 9);
    for id in 1..=12 {
        bench.accept(&job(id, &batch(), vec![step(1, 1_000)]));
    }
    assert_eq!(questions(&bench.decide()).len(), 7);

    for id in 21..=22 {
        let urgent = advised_queue("urgent", 1);
        bench.accept(&job(id, &urgent, vec![step(1, 1_000)]));
    }
    let asked = questions(&bench.decide());

    let jobs: Vec<u64> = asked.iter().map(|order| order.name.job.0).collect();
    assert_eq!(jobs, [21, 22]);
}

#[test]
fn a_single_lane_is_used_for_long_and_short_questions() {
    let mut bench = planning(4, 1);
    bench.accept(&job(1, &batch(), vec![wide_step()]));
    let long = questions(&bench.decide());
    assert_eq!(long.len(), 1);
    let urgent = advised_queue("urgent", 1);
    bench.accept(&job(2, &urgent, vec![step(1, 1_000)]));
    assert!(questions(&bench.decide()).is_empty());

    approve_all(&mut bench, &long[0]);

    assert_eq!(questions(&bench.decide()).len(), 1);
}
