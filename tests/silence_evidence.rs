//! What was left on a silent worker counts as lost only by evidence that does not rest on the owner's
//! own processor or link ("Silence" in `docs/DESIGN.md`).

mod cell_core;
mod split_cell;
mod virtual_node;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use cell_core::{Bench, configuration, job, listed_end, queue, starts, step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::order::{
    EndEntry, EndKind, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::JobId;
use crossweir::cell::{Cell, WorkerKey, tuning};
use crossweir::clock::Millis;
use crossweir::embedded::JsonDecoder;
use crossweir::node::front::Frontend;
use crossweir::node::links::Workers;
use crossweir::node::witness::{self, Finding, MAX_PROBES, Probe, ProbeCall};
use crossweir::rpc::node::{NodeCall, NodeReply, NodeService};
use crossweir::store::StoreCall;
use futures::FutureExt;
use futures::future::BoxFuture;
use split_cell::{NODES, SplitCell, WORKERS, pass};
use virtual_node::virtual_node_with_workers;

/// Longer than any lease.
const LONG: Millis = 3 * tuning::MAX_LEASE;
/// Within this time the work of a lost worker starts again: a lease of 3.8 s, and a second for the
/// evidence.
const RESTART_TIME: Millis = 4_800;

/// A core whose only run is on a worker that has just become silent, and another worker.
fn silent_worker() -> (Bench, StartOrder) {
    let queue = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&queue));
    bench.accept(&job(1, &queue, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    bench.pass(2 * tuning::PROVEN_AFTER);
    bench.poll_all();
    fall_silent(&mut bench, start.to.worker);
    (bench, start)
}

fn fall_silent(bench: &mut Bench, key: WorkerKey) {
    let order = bench.cell.poll_order(key, bench.now);
    assert!(order.is_some(), "the worker is known");
    bench
        .cell
        .poll_failed(key, PollFailure::Unanswered, bench.now);
}

/// Lets time pass in which no witness answers.  The other worker is polled.
fn pass_without_witness(bench: &mut Bench, silent: WorkerKey, time: Millis) {
    let until = bench.now + time;
    while bench.now < until {
        bench.now += 100;
        for key in bench.cell.worker_keys() {
            if key != silent {
                bench.poll(key);
            }
        }
        bench.cell.tick(bench.now);
        bench.cell.mark_roster_recorded(bench.cell.roster_version());
    }
}

/// Guards against a task that runs twice: an owner with a full link took workers for silent that had
/// answered, and started tasks again whose runs had ended well.
#[test]
fn a_worker_is_not_written_off_for_silence_alone() {
    // Arrange.
    let (mut bench, start) = silent_worker();

    // Act.
    pass_without_witness(&mut bench, start.to.worker, LONG);

    // Assert.
    assert_eq!(bench.cell.counts().lapsed, 0);
    assert!(starts(&bench.decide()).is_empty());
}

/// Guards against ends that are never learnt while the owner itself does not hear the worker.
#[test]
fn ends_are_learnt_through_a_witness() {
    // Arrange: the run has ended well, and the owner has not heard it.
    let (mut bench, start) = silent_worker();
    pass_without_witness(&mut bench, start.to.worker, LONG);

    // Act.
    let question = bench.cell.take_silence_questions(bench.now).remove(0);
    let report = PollReport {
        clock: bench.now,
        ended: vec![listed_end(
            1,
            &start.task.to_string(),
            start.number,
            EndKind::Done,
        )],
        ..PollReport::default()
    };
    bench.cell.witness_heard(&question, &report, bench.now);
    bench.pass(0);
    bench.record();

    // Assert: the probe renews nothing and makes the worker forget nothing.
    assert_eq!(question.to.worker, start.to.worker);
    assert_eq!((question.due, question.forget, question.wait), (None, 0, 0));
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
    assert_eq!(bench.cell.counts().lapsed, 0);
    assert_eq!(bench.cell.counts().heard_by_witness, 1);
}

/// Guards against new tasks on a worker that only a witness reaches.
#[test]
fn a_worker_that_only_a_witness_hears_stays_silent() {
    // Arrange.
    let (mut bench, start) = silent_worker();
    pass_without_witness(&mut bench, start.to.worker, LONG);

    // Act.
    let question = bench.cell.take_silence_questions(bench.now).remove(0);
    let report = PollReport {
        clock: bench.now,
        ..PollReport::default()
    };
    bench.cell.witness_heard(&question, &report, bench.now);

    // Assert.
    assert_eq!(bench.cell.count_workers().silent, 1);
    let poll = bench.cell.poll_order(start.to.worker, bench.now);
    assert_eq!(poll.expect("a known worker").due, None);
}

#[test]
fn a_worker_that_witnesses_do_not_reach_is_written_off_once_its_lease_is_over() {
    // Arrange: before the lease is over, nobody is asked.
    let (mut bench, start) = silent_worker();
    pass_without_witness(&mut bench, start.to.worker, 1_000);
    assert!(bench.cell.take_silence_questions(bench.now).is_empty());
    pass_without_witness(&mut bench, start.to.worker, 3_000);

    // Act.
    let question = bench.cell.take_silence_questions(bench.now).remove(0);
    bench.cell.note_unreached(&question);
    pass_without_witness(&mut bench, start.to.worker, 100);

    // Assert.
    let counts = bench.cell.counts();
    assert_eq!((counts.lapsed, counts.lapsed_by_witness), (1, 1));
    let again = starts(&bench.decide());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].to.worker, start.to.worker);
}

/// Without any other node the platform's word decides.
#[test]
fn a_worker_whose_entry_is_gone_is_written_off_without_a_witness() {
    // Arrange: the entries are read steadily.
    let (mut bench, start) = silent_worker();
    for _ in 0..20 {
        bench.cell.note_entries_read(bench.now);
        pass_without_witness(&mut bench, start.to.worker, 400);
    }
    let before = bench.cell.counts().lapsed;

    // Act.
    bench.cell.unlist_worker(&start.to.life.id, bench.now);
    bench.cell.note_entries_read(bench.now);
    pass_without_witness(&mut bench, start.to.worker, 100);

    // Assert.
    let counts = bench.cell.counts();
    assert_eq!(before, 0);
    assert_eq!((counts.lapsed, counts.lapsed_by_entry), (1, 1));
    assert_eq!(starts(&bench.decide()).len(), 1);
}

/// Guards against an end in an answer that is under way: a worker was written off by what witnesses had
/// found while a poll of the owner was still open there.
#[test]
fn nothing_is_written_off_while_a_poll_is_open() {
    // Arrange.
    let (mut bench, start) = silent_worker();
    let key = start.to.worker;
    let open = bench.cell.poll_order(key, bench.now).expect("a worker");
    bench.cell.poll_opened(&open);

    // Act: another poll that is sent later, and never answered, changes nothing.
    bench.pass(LONG);
    let later = bench.cell.poll_order(key, bench.now).expect("a worker");
    bench.cell.poll_opened(&later);
    let while_open = bench.cell.counts().lapsed;
    bench.cell.poll_closed(key, open.sequence);
    bench.pass(10);

    // Assert.
    assert_eq!((while_open, bench.cell.counts().lapsed), (0, 1));
}

/// Guards against the same in the answer of a witness: one question was answered while the next one was
/// open, and the worker had told its end to that one.
#[test]
fn nothing_is_written_off_while_a_question_is_open() {
    // Arrange.
    let (mut bench, start) = silent_worker();
    pass_without_witness(&mut bench, start.to.worker, LONG);
    let question = bench.cell.take_silence_questions(bench.now).remove(0);

    // Act: the worker can't be asked about again meanwhile.
    bench.now += tuning::SILENCE_QUESTION_INTERVAL;
    let next = bench.cell.take_silence_questions(bench.now);
    bench.cell.tick(bench.now);
    let while_open = bench.cell.counts().lapsed;
    bench.cell.note_unreached(&question);
    bench.cell.tick(bench.now);

    // Assert.
    assert!(next.is_empty());
    assert_eq!((while_open, bench.cell.counts().lapsed), (0, 1));
}

/// Guards against late evidence: the worker has answered the owner since the witnesses were asked.
#[test]
fn a_late_finding_about_a_worker_that_was_heard_since_changes_nothing() {
    // Arrange.
    let (mut bench, start) = silent_worker();
    pass_without_witness(&mut bench, start.to.worker, LONG);
    let question = bench.cell.take_silence_questions(bench.now).remove(0);
    let report = PollReport {
        clock: bench.now,
        running: vec![cell_core::listed_run(&start.task.to_string(), start.number)],
        ..PollReport::default()
    };
    bench.poll_with_report(start.to.worker, &report);
    bench
        .cell
        .poll_failed(start.to.worker, PollFailure::Unanswered, bench.now);

    // Act.
    bench.cell.note_unreached(&question);
    let outdated = PollReport {
        clock: bench.now,
        ..PollReport::default()
    };
    bench.cell.witness_heard(&question, &outdated, bench.now);
    pass_without_witness(&mut bench, start.to.worker, LONG);

    // Assert: neither the silence nor the older list counts.
    assert_eq!(bench.cell.counts().lapsed, 0);
    assert!(starts(&bench.decide()).is_empty());
    assert_eq!(bench.state(1), Some(JobState::Running));
}

/// Guards against evidence from another address: a life is listed that has not answered, and the
/// present one may answer at its own address.
#[test]
fn a_worker_with_a_listed_next_life_is_asked_at_both_addresses() {
    // Arrange: the worker tells when its life began.
    let queue = queue("q", 0);
    let mut entry = worker(0);
    entry.life.born = Some(1);
    let mut cell = Cell::new(1, configuration(std::slice::from_ref(&queue)), 1_000);
    cell.list_workers(vec![entry.clone()], 1_000);
    let mut bench = Bench::with(cell, 1_000);
    let report = PollReport {
        born: Some(1),
        clock: 1_000,
        ..PollReport::default()
    };
    let key = bench.worker(0);
    bench.poll_with_report(key, &report);
    bench.pass(0);
    bench.accept(&job(1, &queue, vec![step(1, 1_000)]));
    assert_eq!(bench.start_all().len(), 1);
    fall_silent(&mut bench, key);
    let mut next = worker(99);
    next.life = entry.life.clone();
    next.life.born = Some(5);
    bench.cell.list_worker(next.clone(), bench.now);
    pass_without_witness(&mut bench, key, LONG);

    // Act.
    let questions = bench.cell.take_silence_questions(bench.now);
    let addresses: Vec<_> = questions.iter().map(|order| order.to.address).collect();
    bench.cell.note_unreached(&questions[1]);
    pass_without_witness(&mut bench, key, 100);
    let by_next = bench.cell.counts().lapsed;
    bench.cell.note_unreached(&questions[0]);
    pass_without_witness(&mut bench, key, 100);

    // Assert.
    assert_eq!(addresses, [entry.address, next.address]);
    assert_eq!((by_next, bench.cell.counts().lapsed), (0, 1));
}

#[test]
fn questions_are_bounded_in_number_and_pace() {
    // Arrange: a hundred workers with a run each are silent.
    let queue = queue("q", 0);
    let mut bench = Bench::new(100, std::slice::from_ref(&queue));
    bench.accept(&job(1, &queue, vec![step(100, 16_000)]));
    assert_eq!(bench.start_all().len(), 100);
    bench.poll_all();
    for key in bench.cell.worker_keys() {
        fall_silent(&mut bench, key);
    }
    bench.now += LONG;

    // Act.
    let ask = |bench: &mut Bench| bench.cell.take_silence_questions(bench.now);
    let open = [ask(&mut bench), ask(&mut bench), ask(&mut bench)];
    bench.now += tuning::SILENCE_QUESTION_INTERVAL - 1;
    let while_open = ask(&mut bench).len();
    for question in open.iter().flatten() {
        bench.cell.question_closed(question);
    }
    let early = ask(&mut bench).len();
    bench.now += 1;
    let later = ask(&mut bench).len();

    // Assert.
    let most = tuning::MAX_SILENCE_QUESTIONS;
    assert_eq!(open.map(|asked| asked.len()), [most, 100 - most, 0]);
    assert_eq!((while_open, early, later), (0, 0, most));
}

/// A successor whose roster names one worker that it has not reached, long after all leases.
fn successor_with_an_unreached_worker() -> (Cell, Millis) {
    let mut cell = Cell::new(2, configuration(&[queue("q", 0)]), 1_000);
    let entry = RosterEntry {
        worker: worker(0),
        jobs: None,
        long_lease: None,
        lost: None,
    };
    cell.restore_roster(vec![entry], 1_000);
    cell.list_workers(vec![worker(0)], 1_000);
    let key = cell.worker_keys()[0];
    cell.poll_failed(key, PollFailure::Unanswered, 1_050);
    (cell, 1_000 + LONG)
}

/// Guards against the same by a missing entry: the worker has told its ends in an answer that is under
/// way, and left.
#[test]
fn a_successor_does_not_settle_by_a_missing_entry_while_a_poll_is_open() {
    // Arrange.
    let (mut cell, mut now) = successor_with_an_unreached_worker();
    let key = cell.worker_keys()[0];
    let open = cell.poll_order(key, now).expect("a worker");
    cell.poll_opened(&open);
    for _ in 0..20 {
        cell.note_entries_read(now);
        now += 400;
    }

    // Act.
    cell.unlist_worker("w0", now);
    cell.note_entries_read(now);
    cell.tick(now);
    let while_open = cell.is_settled();
    cell.poll_closed(key, open.sequence);
    cell.tick(now + 10);

    // Assert.
    assert_eq!((while_open, cell.is_settled()), (false, true));
}

/// Guards against a successor that starts inherited work again because its own link is full.
#[test]
fn a_successor_does_not_settle_by_time_alone() {
    // Arrange.
    let (mut cell, now) = successor_with_an_unreached_worker();

    // Act.
    cell.tick(now);
    let by_time = cell.is_settled();
    let question = cell.take_silence_questions(now).remove(0);
    cell.note_unreached(&question);
    cell.tick(now);

    // Assert.
    assert!(!by_time);
    assert!(cell.is_settled());
}

#[test]
fn a_successor_settles_by_what_a_witness_hears() {
    // Arrange.
    let (mut cell, now) = successor_with_an_unreached_worker();
    cell.tick(now);
    let question = cell.take_silence_questions(now).remove(0);

    // Act.
    cell.witness_heard(&question, &PollReport::default(), now);
    cell.tick(now);

    // Assert.
    assert!(cell.is_settled());
    assert_eq!(cell.count_workers().answered, 1);
}

/// Workers of which some answer, with this many ends each, and others are late with every answer.
struct SomeWorkers {
    ends: BTreeMap<String, usize>,
    late: BTreeSet<String>,
    /// Those that were asked before.
    asked: Mutex<BTreeSet<String>>,
}

impl Workers for SomeWorkers {
    fn start<'a>(&'a self, _: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        async { (StartOutcome::Unanswered, None) }.boxed()
    }

    fn stop<'a>(&'a self, _: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        async { Err(None) }.boxed()
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        let ends = self.ends.get(&order.to.life.id).copied();
        let end = |number: usize| -> EndEntry {
            listed_end(number as u64, "0000000000000001.0.0.0", 1, EndKind::Done)
        };
        let report = ends.map(|ends| PollReport {
            ended: (1..=ends).map(end).collect(),
            ..PollReport::default()
        });
        if self.late.contains(&order.to.life.id) {
            return std::future::pending().boxed();
        }
        let is_first = self
            .asked
            .lock()
            .expect("ids")
            .insert(order.to.life.id.clone());
        if !is_first && order.to.life.id == TURNS_LATE {
            return std::future::pending().boxed();
        }
        async move { report.ok_or(PollFailure::Unanswered) }.boxed()
    }
}

/// The worker that answers the first call only.
const TURNS_LATE: &str = "w7";

fn probe(number: u16) -> Probe {
    Probe {
        life: Life::of(format!("w{number}")),
        address: worker(number).address,
        epoch: 1,
    }
}

/// Asks a witness about the workers up to this number, of which these answer with so many ends.
async fn ask_witness(probes: u16, ends: &[(u16, usize)]) -> NodeReply {
    ask_witness_of_late(probes, ends, &[]).await
}

/// The same, while the answers of these workers are late.
async fn ask_witness_of_late(probes: u16, ends: &[(u16, usize)], late: &[u16]) -> NodeReply {
    let ends = ends
        .iter()
        .map(|(number, ends)| (format!("w{number}"), *ends));
    let ends = ends.collect();
    let late = late.iter().map(|number| format!("w{number}")).collect();
    let workers = move |_| -> Arc<dyn Workers> {
        Arc::new(SomeWorkers {
            ends,
            late,
            asked: Mutex::default(),
        })
    };
    let node = virtual_node_with_workers(&[], workers, Arc::new(JsonDecoder));
    let front = Frontend::new(Arc::clone(&node.shared));
    let probes = (0..probes).map(probe).collect();
    let body = serde_json::to_vec(&ProbeCall { probes }).expect("plain data");
    front.serve(NodeCall::Relay(body)).await
}

fn findings(reply: &NodeReply, probes: usize) -> Vec<Finding> {
    let NodeReply::Relayed(body) = reply else {
        panic!("not carried out: {reply:?}");
    };
    witness::decode(body, probes).expect("findings")
}

/// Guards against a witness that is itself cut off from all workers.
#[tokio::test(start_paused = true)]
async fn a_witness_that_hears_no_worker_proves_nothing() {
    let reply = ask_witness(3, &[]).await;
    assert_eq!(findings(&reply, 3), vec![Finding::Unknown; 3]);
}

/// Guards against a witness that throws a late answer away as the owner did, and calls a worker
/// unreached that has told it an end.
#[tokio::test(start_paused = true)]
async fn a_worker_whose_answer_to_a_witness_is_late_is_not_unreached() {
    let reply = ask_witness_of_late(3, &[(1, 0)], &[2]).await;
    let heard = Finding::Heard(PollReport::default());
    let expected = [Finding::Unreached, heard, Finding::Unknown];
    assert_eq!(findings(&reply, 3), expected);
}

/// Guards against an end that a witness loses: a worker had told it, and was asked again since others had
/// not answered, and that answer was late.
#[tokio::test(start_paused = true)]
async fn what_a_worker_has_told_a_witness_is_kept_if_its_next_answer_is_late() {
    let reply = ask_witness(8, &[(7, 1)]).await;
    let Finding::Heard(report) = &findings(&reply, 8)[7] else {
        panic!("not heard: {reply:?}");
    };
    assert_eq!(report.ended.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_witness_tells_who_answers_and_who_does_not() {
    let reply = ask_witness(3, &[(1, 0)]).await;
    let heard = Finding::Heard(PollReport::default());
    let expected = [Finding::Unreached, heard, Finding::Unreached];
    assert_eq!(findings(&reply, 3), expected);
}

#[tokio::test(start_paused = true)]
async fn a_witness_refuses_more_workers_than_a_call_may_name() {
    let most = ask_witness(MAX_PROBES as u16, &[(0, 0)]).await;
    let more = ask_witness(MAX_PROBES as u16 + 1, &[(0, 0)]).await;
    assert!(matches!(most, NodeReply::Relayed(_)));
    assert_eq!(more, NodeReply::Unavailable);
}

/// Guards against answers of any size: lists that do not fit are left out, and prove nothing.
#[tokio::test(start_paused = true)]
async fn the_answer_of_a_witness_is_bounded() {
    let ends: Vec<(u16, usize)> = (0..60).map(|number| (number, 500)).collect();
    let reply = ask_witness(60, &ends).await;
    let findings = findings(&reply, 60);
    let left_out = findings
        .iter()
        .filter(|&finding| *finding == Finding::Unknown);
    let left_out = left_out.count();
    assert!(reply.wire_bytes() < 300_000, "{}", reply.wire_bytes());
    assert!((1..60).contains(&left_out), "{left_out}");
}

/// A node of the version before takes each such call for one to the store, and refuses it unless it
/// can be decoded as one.
#[test]
fn a_call_to_a_witness_is_no_call_to_the_store() {
    let call = ProbeCall {
        probes: vec![probe(0)],
    };
    let body = serde_json::to_vec(&call).expect("plain data");
    assert!(serde_json::from_slice::<StoreCall>(&body).is_err());
}

/// The number of runs of each task of a job.
fn runs_by_task(cell: &SplitCell, id: u64) -> Vec<usize> {
    let history = cell.history().into_iter();
    let of_job = history.filter(|(task, _)| task.step.job == JobId(id));
    of_job.map(|(_, runs)| runs.len()).collect()
}

/// Guards against tasks that run twice because their owner alone hears nothing of the workers.
#[yare::parameterized(
    some_workers = { 4 },
    all_workers = { WORKERS },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn an_owner_that_does_not_hear_workers_learns_their_ends_through_others(deaf_to: u16) {
    // Arrange: a task of 2 s runs on each worker.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let id = cell.submit(owner, 16, 2_000).await.expect("a job");
    pass(500).await;

    // Act.
    cell.cut_workers(&[owner], 0..deaf_to);
    pass(8_000).await;

    // Assert.
    assert_eq!(runs_by_task(&cell, id), vec![1; 16]);
    let state = cell.ask(owner, id).expect("a node").await;
    assert_eq!(format!("{state:?}"), "State(Succeeded)");
}

/// Guards against work that waits for ever for a worker that is cut off from all nodes and that the
/// platform goes on to list.
#[tokio::test(start_paused = true)]
async fn the_work_of_a_lost_worker_starts_again_by_the_word_of_witnesses() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let id = cell.submit(owner, 8, 30_000).await.expect("a job");
    pass(2_000).await;
    let before = cell.starts(id).len();
    let lost_at = cell.now();

    // Act: one worker with a task, if not two, is cut off.
    cell.cut_workers(&(0..NODES).collect::<Vec<_>>(), 0..1);
    pass(10_000).await;

    // Assert.
    let again: Vec<Millis> = cell.starts(id).split_off(0);
    let again: Vec<Millis> = again.into_iter().filter(|&at| at > lost_at).collect();
    assert_eq!(before, 8);
    assert!(!again.is_empty());
    let last = again.iter().max().expect("a start");
    assert!(last - lost_at <= RESTART_TIME, "{again:?} after {lost_at}");
    assert_eq!(cell.overlapping_runs(), []);
}
