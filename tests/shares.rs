//! Contended capacity is divided among workspaces by weight.
//!
//! Guards against one workspace that delays the jobs of all others in a full cell by sending several
//! times its usual load.  Each failure and special case of `docs/design/contended-cells.md`, "Part 2:
//! shares", has a test.

mod cell_core;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cell_core::{
    Bench, job, listed_end, listed_run, queue, shared_configuration, starts, step, worker,
    workspace,
};
use crossweir::cell::options::Options;
use crossweir::cell::order::{EndEntry, EndKind, PollReport, RunningEntry, StartOrder};
use crossweir::cell::record::JobRow;
use crossweir::cell::shares::{Claim, Claimant, WaitingDemand, fair_shares, mark_beyond_share};
use crossweir::cell::spec::{Demand, JobId, Step};
use crossweir::cell::view::StepView;
use crossweir::cell::wait::WaitReason;
use crossweir::cell::{Cell, WorkerKey};
use crossweir::clock::Millis;
use crossweir::node::links::Decoder;
use crossweir::platform::decode::PlatformDecoder;
use crossweir::policy::{Program, ProgramPolicy};
use crossweir::queue::Queue;
use crossweir::workspace::Workspace;
use yare::parameterized;

const SHARES: Options = Options {
    worker_speed: false,
    shares: true,
    advice_planning: false,
    reject_after: None,
    reject_late: false,
};

/// A capacity of 100 cores, 1,000 MiB and 10 accelerators.
const CAPACITY: Demand = Demand {
    millicores: 100_000,
    memory: 1_000,
    gpus: 10,
};

fn cores(cores: u64) -> Demand {
    Demand {
        millicores: cores * 1_000,
        ..Demand::default()
    }
}

/// Returns claims of processors only, by weight and cores.
fn claims<const N: usize>(list: [(f64, u64); N]) -> Vec<Claim> {
    let claim = |(weight, wanted)| Claim {
        weight,
        wanted: cores(wanted),
    };
    list.map(claim).to_vec()
}

fn assert_shares(claims: &[Claim], expected: &[f64]) {
    let shares = fair_shares(claims, &CAPACITY);
    let is_close = |(a, b): (&f64, &f64)| (a - b).abs() < 1e-6;
    let close = shares.iter().zip(expected).all(is_close);
    assert!(close && shares.len() == expected.len(), "{shares:?}");
}

/// A workspace without a cap.
fn weighted(name: &str, weight: f64) -> Workspace {
    Workspace {
        weight,
        ..workspace(name, 0)
    }
}

fn urgent() -> Queue {
    queue("q", 0)
}

fn batch() -> Queue {
    queue("batch", 2)
}

fn owned(id: u64, owner: &Workspace, steps: Vec<Step>) -> JobRow {
    JobRow {
        workspace: Some(owner.clone()),
        ..job(id, &urgent(), steps)
    }
}

/// Returns a cell of 16-core workers with these workspaces that divides contended capacity.
fn bench(workers: u16, list: &[Workspace]) -> Bench {
    let queues = [urgent(), batch()];
    let mut bench = Bench::new(workers, &queues);
    bench.cell.configure(shared_configuration(2, &queues, list));
    bench.cell.set_options(SHARES);
    bench
}

/// Counts starts by job.
fn by_job(starts: &[StartOrder]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for start in starts {
        *counts.entry(start.task.step.job.0).or_default() += 1;
    }
    counts
}

/// Ends this many runs of a job, and returns the starts of the next round.
fn end_and_decide(bench: &mut Bench, id: u64, count: usize) -> BTreeMap<u64, usize> {
    let runs = bench.running.values().flatten();
    let of_job = runs.filter(|(task, _)| task.step.job == JobId(id));
    for (task, number) in of_job.take(count).copied().collect::<Vec<_>>() {
        bench.end(task, number, EndKind::Done);
    }
    bench.poll_all();
    bench.record();
    by_job(&bench.start_all())
}

fn view_step(bench: &Bench, id: u64) -> StepView {
    let view = bench.cell.view(JobId(id), bench.now).expect("a known job");
    view.steps[0].clone()
}

#[test]
fn shares_follow_weights_and_nobody_gets_more_than_it_wants() {
    assert_shares(&claims([(1.0, 200), (3.0, 200)]), &[0.25, 0.75]);
    // What the second leaves is lent to the others by weight.
    assert_shares(
        &claims([(1.0, 200), (3.0, 40), (2.0, 200)]),
        &[0.2, 0.4, 0.4],
    );
    assert_shares(&claims([(1.0, 10), (1.0, 20)]), &[0.1, 0.2]);
    assert_shares(&[], &[]);
}

#[test]
fn a_weight_of_zero_gets_what_the_others_leave() {
    assert_shares(&claims([(0.0, 50), (1.0, 70)]), &[0.3, 0.7]);
    assert_shares(&claims([(0.0, 50), (1.0, 200)]), &[0.0, 1.0]);
    assert_shares(&claims([(0.0, 80), (0.0, 80), (1.0, 40)]), &[0.3, 0.3, 0.4]);
}

/// Guards against sums that overflow and against weights that no configuration may have.
#[test]
fn extreme_weights_give_finite_shares() {
    assert_shares(&claims([(f64::MAX, 200), (f64::MAX, 200)]), &[0.5, 0.5]);
    assert_shares(
        &claims([(f64::MIN_POSITIVE, 9), (f64::MAX, 95)]),
        &[0.05, 0.95],
    );
    for weight in [f64::NAN, f64::INFINITY, -1.0] {
        assert_shares(&claims([(weight, 9), (1.0, 95)]), &[0.05, 0.95]);
    }
}

/// The example of the paper on dominant-resource fairness, with accelerators unused: one user's
/// tasks take 1 core and 4 GiB, the other's 3 cores and 1 GiB, of 9 cores and 18 GiB.
#[test]
fn dominant_shares_are_equal_over_different_resources() {
    let capacity = Demand {
        millicores: 9_000,
        memory: 18,
        gpus: 0,
    };
    let of_tasks = |millicores, memory| Claim {
        weight: 1.0,
        wanted: Demand {
            millicores,
            memory,
            gpus: 0,
        }
        .of_tasks(100),
    };
    let shares = fair_shares(&[of_tasks(1_000, 4), of_tasks(3_000, 1)], &capacity);
    assert!(
        shares.iter().all(|share| (share - 2.0 / 3.0).abs() < 1e-6),
        "{shares:?}"
    );
}

#[test]
fn a_resource_that_is_used_up_does_not_hold_claims_back_that_do_not_need_it() {
    let memory = |millicores, memory| Claim {
        weight: 1.0,
        wanted: Demand {
            millicores,
            memory,
            gpus: 0,
        },
    };
    let claims = [
        memory(10_000, 2_000),
        memory(10_000, 2_000),
        memory(90_000, 0),
    ];
    assert_shares(&claims, &[0.5, 0.5, 0.9]);
}

#[test]
fn without_capacity_nobody_is_entitled_to_anything() {
    let shares = fair_shares(&claims([(1.0, 5), (2.0, 5)]), &Demand::default());
    assert_eq!(shares, [0.0, 0.0]);
}

/// Marks steps of one task each; `waiting` holds claimants and cores.
fn marks(
    claimants: &[(f64, u64, u64)],
    waiting: &[(usize, u64)],
    capacity: u64,
) -> Option<Vec<bool>> {
    let held: Vec<BTreeMap<u32, Demand>> = claimants
        .iter()
        .map(|&(_, held, _)| BTreeMap::from_iter((held > 0).then(|| (0, cores(held)))))
        .collect();
    let claimants = claimants.iter().zip(&held);
    let claimants = claimants.map(|(&(weight, _, cap), held)| Claimant {
        weight,
        held,
        cap: cores(cap),
    });
    let waiting = waiting.iter().map(|&(claimant, wanted)| WaitingDemand {
        priority: 0,
        claimant,
        demand: cores(wanted),
    });
    let claimants: Vec<Claimant> = claimants.collect();
    mark_beyond_share(&claimants, &waiting.collect::<Vec<_>>(), &cores(capacity))
}

#[test]
fn the_step_that_crosses_the_entitlement_is_within_it() {
    // Each is entitled to 5 cores; the second holds 2 already.
    let waiting = [(0, 3), (1, 4), (0, 3), (1, 4), (0, 3)];
    let marks = marks(&[(1.0, 0, 0), (1.0, 2, 0)], &waiting, 10);
    assert_eq!(marks, Some(vec![false, false, false, true, true]));
}

#[test]
fn without_contention_weights_or_a_second_workspace_nothing_is_marked() {
    let waiting = [(0, 6), (0, 6), (1, 6)];
    assert_eq!(marks(&[(1.0, 0, 0), (1.0, 0, 0)], &waiting, 18), None);
    assert_eq!(marks(&[(0.0, 0, 0), (0.0, 0, 0)], &waiting, 8), None);
    // A weight counts only if its workspace has work.
    let idle = [(0.0, 0, 0), (0.0, 0, 0), (1.0, 0, 0)];
    assert_eq!(marks(&idle, &waiting, 8), None);
    assert_eq!(
        marks(&[(1.0, 0, 0), (1.0, 0, 0)], &[(0, 6), (0, 6)], 8),
        None
    );
    assert!(marks(&[(1.0, 0, 0), (1.0, 0, 0)], &waiting, 8).is_some());
}

#[test]
fn a_workspace_within_its_cap_lends_the_rest_of_its_entitlement() {
    // Without its cap the first would be entitled to 5 of 10 cores, and the other two to 2.5 each.
    let claimants = [(2.0, 0, 2), (1.0, 0, 0), (1.0, 0, 0)];
    let waiting = [(0, 2), (0, 8), (1, 3), (1, 3), (1, 3), (2, 4), (2, 4)];
    let marks = marks(&claimants, &waiting, 10);
    // Work beyond a cap waits for the cap and needs no mark.
    let expected = vec![false, false, false, false, true, false, true];
    assert_eq!(marks, Some(expected));
}

/// Guards against urgent work that waits because less urgent runs fill the share.
#[test]
fn less_urgent_runs_do_not_count_against_urgent_work() {
    let held = [
        BTreeMap::from([(2, cores(6))]),
        BTreeMap::from([(0, cores(6))]),
    ];
    let claimants: Vec<Claimant> = held
        .iter()
        .map(|held| Claimant {
            weight: 1.0,
            held,
            cap: Demand::default(),
        })
        .collect();
    let waiting: Vec<WaitingDemand> = [(0, 0), (0, 1), (2, 0)]
        .map(|(priority, claimant)| WaitingDemand {
            priority,
            claimant,
            demand: cores(2),
        })
        .to_vec();
    let marks = mark_beyond_share(&claimants, &waiting, &cores(10));
    assert_eq!(marks, Some(vec![false, true, true]));
}

/// How long the jobs of one workspace waited for their first start, sorted, in milliseconds.
type Waits = Vec<Millis>;

fn percentile(waits: &Waits, percent: usize) -> Millis {
    waits[(waits.len() - 1) * percent / 100]
}

/// One large and nineteen small workspaces at a full cell of 400 cores.
struct Burst {
    bench: Bench,
    workspaces: Vec<Workspace>,
    /// The runs of each worker, with when they began and how long they take.
    runs: BTreeMap<WorkerKey, Vec<(StartOrder, Millis, Millis)>>,
    /// The ends that each worker lists, and the number of the last one.
    ends: BTreeMap<WorkerKey, (Vec<EndEntry>, u64)>,
    /// The workspace of each urgent job that has not started yet, and when it was submitted.
    unstarted: BTreeMap<u64, (usize, Millis)>,
    waits: Vec<Waits>,
    next_job: u64,
}

impl Burst {
    /// The length of a tick, at which all workers are polled.
    const TICK: Millis = 20;
    /// The large workspace.
    const LARGE: usize = 0;
    /// An urgent job has four tasks of a second on two cores, so the cell could end 50 of them in a
    /// second if there was no other work.
    const RUN_TIME: Millis = 1_000;
    const BATCH_RUN_TIME: Millis = 2_000;

    fn new(options: Options) -> Self {
        let name = |number| format!("team-{number}");
        let workspaces: Vec<Workspace> = (0..20)
            .map(|number| weighted(&name(number), if number == 0 { 4.0 } else { 1.0 }))
            .collect();
        let mut bench = bench(25, &workspaces);
        bench.cell.set_options(options);
        Self {
            bench,
            waits: vec![Waits::new(); workspaces.len()],
            workspaces,
            runs: BTreeMap::new(),
            ends: BTreeMap::new(),
            unstarted: BTreeMap::new(),
            next_job: 1,
        }
    }

    fn submit(&mut self, owner: usize, queue: &Queue, estimate: Millis) {
        let work = Step {
            estimate,
            ..step(4, 2_000)
        };
        let row = JobRow {
            workspace: Some(self.workspaces[owner].clone()),
            ..job(self.next_job, queue, vec![work])
        };
        self.bench.accept(&row);
        if queue.priority == 0 {
            let submitted = (owner, self.bench.now);
            self.unstarted.insert(self.next_job, submitted);
        }
        self.next_job += 1;
    }

    /// Advances by one tick, in which the large workspace submits an urgent job with probability
    /// `large` percent and each small one with 3 percent, at fixed times.
    fn tick(&mut self, tick: u64, large: u64) {
        for owner in 0..self.workspaces.len() {
            let percent = if owner == Self::LARGE { large } else { 3 };
            // Different owners submit at different times.
            let phase = tick + owner as u64 * 7;
            let due = (phase + 1) * percent / 100 - phase * percent / 100;
            for _ in 0..due {
                self.submit(owner, &urgent(), Self::RUN_TIME);
            }
            // Batch work that is always there keeps the cell full.
            if (tick + owner as u64).is_multiple_of(40) {
                self.submit(owner, &batch(), Self::BATCH_RUN_TIME);
            }
        }
        self.bench.pass(Self::TICK);
        for key in self.bench.cell.worker_keys() {
            self.poll(key);
        }
        self.bench.record();
        for start in self.bench.start_all() {
            let id = start.task.step.job.0;
            let view = self.bench.cell.view(JobId(id), self.bench.now);
            let is_urgent = view.expect("a job").queue == "q";
            if let Some((owner, submitted)) = self.unstarted.remove(&id) {
                self.waits[owner].push(self.bench.now - submitted);
            }
            let run_time = if is_urgent {
                Self::RUN_TIME
            } else {
                Self::BATCH_RUN_TIME
            };
            // Run times differ by a fifth.
            let spread = (id * 37 + u64::from(start.task.index) * 11) % 40;
            let run_time = run_time * (80 + spread) / 100;
            let runs = self.runs.entry(start.to.worker).or_default();
            runs.push((start, self.bench.now, run_time));
        }
    }

    /// Polls a worker, which reports steady progress.
    fn poll(&mut self, key: WorkerKey) {
        let now = self.bench.now;
        let order = self.bench.cell.poll_order(key, now).expect("a worker");
        let (ends, last_end) = self.ends.entry(key).or_default();
        ends.retain(|end| end.end_number > order.forget);
        let runs = self.runs.entry(key).or_default();
        let (over, running): (Vec<_>, Vec<_>) = std::mem::take(runs)
            .into_iter()
            .partition(|(_, began, run_time)| began + run_time <= now);
        for (start, ..) in over {
            *last_end += 1;
            let task = start.task.to_string();
            ends.push(listed_end(*last_end, &task, start.number, EndKind::Done));
        }
        let entry = |(start, began, run_time): &(StartOrder, Millis, Millis)| RunningEntry {
            percent: ((now - began) * 100 / run_time) as u32,
            ..listed_run(&start.task.to_string(), start.number)
        };
        let report = PollReport {
            born: None,
            clock: now,
            running: running.iter().map(entry).collect(),
            ended: ends.clone(),
        };
        *runs = running;
        self.bench.cell.poll_answered(&order, &report, now);
    }

    /// Sends the usual load for 4 s, seven times that of the large workspace for 4 s, and the usual
    /// load for 4 s again.
    fn play(mut self) -> (Waits, Waits) {
        for tick in 0..600 {
            let large = if (200..400).contains(&tick) { 84 } else { 12 };
            self.tick(tick, large);
        }
        self.into_waits()
    }

    /// Sends the usual urgent load for 12 s, while batch tasks of the large workspace wait all the
    /// time and its batch runs hold its share.  Leaves out the jobs of the first 4 s, which wait for
    /// the first batch runs to end whatever the order is.
    fn play_with_batch_backlog(mut self) -> (Waits, Waits) {
        for _ in 0..600 {
            self.submit(Self::LARGE, &batch(), Self::BATCH_RUN_TIME);
        }
        for tick in 0..600 {
            if tick == 200 {
                self.waits.iter_mut().for_each(Waits::clear);
                self.unstarted.clear();
            }
            self.tick(tick, 12);
        }
        self.into_waits()
    }

    /// The waits of the large workspace and of the others.  Jobs that have not started count with
    /// the time that they have waited.
    fn into_waits(mut self) -> (Waits, Waits) {
        for (owner, submitted) in std::mem::take(&mut self.unstarted).into_values() {
            self.waits[owner].push(self.bench.now - submitted);
        }
        assert_eq!(self.bench.cell.ledger_errors(), 0);
        let mut large = std::mem::take(&mut self.waits[Self::LARGE]);
        let mut others = self.waits.concat();
        large.sort_unstable();
        others.sort_unstable();
        (large, others)
    }
}

/// Guards against a workspace that delays all others with a burst: their jobs have half a second and
/// 250 ms to spare.
#[test]
fn a_burst_of_one_workspace_does_not_make_the_jobs_of_others_late() {
    let (large_by_turn, by_turn) = Burst::new(Options::default()).play();
    let (large, by_share) = Burst::new(SHARES).play();
    for (name, waits) in [
        ("others by turn", &by_turn),
        ("others by share", &by_share),
        ("large by turn", &large_by_turn),
        ("large by share", &large),
    ] {
        let waits_at = [50, 90, 95, 99, 100].map(|percent| percentile(waits, percent));
        println!("{name}: {} jobs, waits {waits_at:?}", waits.len());
    }
    assert!(percentile(&by_turn, 95) > 750, "the load is too small");
    assert!(percentile(&by_share, 95) <= 250);
    assert!(percentile(&by_share, 100) <= 750);
}

/// Guards against urgent jobs that are late because batch runs of their workspace hold its share, so
/// that they go behind the urgent jobs of all others, although there is room for all urgent jobs.
#[test]
fn batch_runs_of_a_workspace_do_not_make_its_urgent_jobs_late() {
    let (large, others) = Burst::new(SHARES).play_with_batch_backlog();
    for (name, waits) in [("large", &large), ("others", &others)] {
        let waits_at = [50, 90, 95, 99, 100].map(|percent| percentile(waits, percent));
        println!("{name}: {} jobs, waits {waits_at:?}", waits.len());
    }
    assert!(percentile(&large, 95) <= 250);
    assert!(percentile(&large, 100) <= 750);
    assert!(percentile(&others, 100) <= 250);
}

/// Two workspaces that want more than a cell of 64 cores has; the first has submitted first, in
/// `count` steps of `tasks` tasks of 4 cores.
fn two_waiting(list: &[Workspace; 2], count: u64, tasks: u32) -> Bench {
    let mut bench = bench(4, list);
    for id in 0..count {
        bench.accept(&owned(100 + id, &list[0], vec![step(tasks, 4_000)]));
    }
    bench.pass(10);
    for id in 0..count {
        bench.accept(&owned(200 + id, &list[1], vec![step(tasks, 4_000)]));
    }
    bench
}

/// Counts the starts of the first and of the second workspace of [`two_waiting`].
fn by_workspace(counts: &BTreeMap<u64, usize>) -> (usize, usize) {
    let (first, second): (Vec<_>, Vec<_>) = counts.iter().partition(|(id, _)| **id < 200);
    let sum = |counts: Vec<(&u64, &usize)>| counts.into_iter().map(|(_, count)| *count).sum();
    (sum(first), sum(second))
}

/// Ends all runs, and counts the starts of the next round by workspace.
fn next_round(bench: &mut Bench) -> (usize, usize) {
    for (task, number) in bench
        .running
        .values()
        .flatten()
        .copied()
        .collect::<Vec<_>>()
    {
        bench.end(task, number, EndKind::Done);
    }
    bench.poll_all();
    bench.record();
    by_workspace(&by_job(&bench.start_all()))
}

#[test]
fn a_full_cell_is_divided_by_weight() {
    let list = [weighted("a", 1.0), weighted("b", 3.0)];
    let mut bench = two_waiting(&list, 40, 1);
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (4, 12));
    assert!(bench.cell.contention().contended);
    assert_eq!(bench.cell.contention().beyond_share, 64);
}

#[test]
fn without_the_option_the_order_is_that_of_the_turn() {
    let list = [weighted("a", 1.0), weighted("b", 3.0)];
    let mut bench = two_waiting(&list, 40, 1);
    bench.cell.set_options(Options::default());
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (16, 0));
    assert!(!bench.cell.contention().contended);
}

#[test]
fn without_contention_the_order_is_that_of_the_turn() {
    let orders = [Options::default(), SHARES].map(|options| {
        let list = [weighted("a", 1.0), weighted("b", 3.0)];
        let mut bench = two_waiting(&list, 8, 1);
        bench.cell.set_options(options);
        let starts = starts(&bench.decide());
        starts
            .into_iter()
            .map(|start| (start.task, start.to.worker))
            .collect::<Vec<_>>()
    });
    assert_eq!(orders[0], orders[1]);
}

#[test]
fn a_workspace_of_weight_zero_starts_what_the_others_leave() {
    let list = [weighted("a", 0.0), weighted("b", 2.0)];
    assert_eq!(
        by_workspace(&by_job(&two_waiting(&list, 40, 1).start_all())),
        (0, 16)
    );
    let mut bench = two_waiting(&list, 10, 1);
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (6, 10));
}

#[test]
fn if_all_weights_are_zero_the_order_is_that_of_the_turn() {
    let list = [weighted("a", 0.0), weighted("b", 0.0)];
    let mut bench = two_waiting(&list, 40, 1);
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (16, 0));
}

#[test]
fn a_weight_that_changes_in_the_middle_of_a_burst_counts_from_the_next_round() {
    let list = [weighted("a", 1.0), weighted("b", 3.0)];
    let mut bench = two_waiting(&list, 60, 1);
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (4, 12));
    let changed = [weighted("a", 3.0), weighted("b", 1.0)];
    let queues = [urgent(), batch()];
    bench
        .cell
        .configure(shared_configuration(3, &queues, &changed));
    assert_eq!(next_round(&mut bench), (12, 4));
    assert_eq!(bench.cell.ledger_errors(), 0);
}

#[test]
fn a_workspace_that_is_removed_keeps_its_last_weight() {
    let list = [weighted("a", 1.0), weighted("b", 3.0)];
    let mut bench = two_waiting(&list, 60, 1);
    bench.start_all();
    let queues = [urgent(), batch()];
    bench
        .cell
        .configure(shared_configuration(3, &queues, &list[..1]));
    assert_eq!(next_round(&mut bench), (4, 12));
}

#[test]
fn a_workspace_whose_weight_is_missing_has_the_weight_1() {
    let text = r#"{"version":7,"routes":[],"tenants":[{"name":"a","api_keys":["k"]}]}"#;
    let config = PlatformDecoder.configuration(text).expect("it is fine");
    assert_eq!(config.workspace("a").map(|a| a.weight), Some(1.0));
}

#[test]
fn jobs_without_a_workspace_count_as_one_of_the_mean_weight() {
    let list = [weighted("a", 1.0), weighted("b", 3.0)];
    let mut bench = two_waiting(&list, 40, 1);
    bench.pass(10);
    for id in 300..340 {
        bench.accept(&job(id, &urgent(), vec![step(1, 4_000)]));
    }
    let starts = by_job(&bench.start_all());
    let started = [100..200, 200..300, 300..400].map(|ids| starts.range(ids).count());
    // The entitlements are 2.7, 8 and 5.3 of 16 tasks.
    assert_eq!(started, [3, 8, 5]);
}

#[test]
fn lent_capacity_returns_as_runs_end_and_nothing_is_stopped() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    for id in 100..140 {
        bench.accept(&owned(id, &list[0], vec![step(1, 4_000)]));
    }
    assert_eq!(bench.start_all().len(), 16);
    bench.pass(10);
    for id in 200..240 {
        bench.accept(&owned(id, &list[1], vec![step(1, 4_000)]));
    }
    assert!(bench.decide().is_empty());
    // The first workspace holds more than its share, so the second gets all that becomes free.
    let ended = (100..108).map(|id| end_and_decide(&mut bench, id, 1));
    let started: Vec<u64> = ended.flat_map(BTreeMap::into_keys).collect();
    assert!(
        started.iter().all(|id| *id >= 200) && started.len() == 8,
        "{started:?}"
    );
    // Both hold their shares, and the step that crosses a share counts as within it.
    let next: Vec<u64> = (108..112)
        .flat_map(|id| end_and_decide(&mut bench, id, 1).into_keys())
        .collect();
    assert_eq!(next.len(), 4);
    assert!(next.iter().all(|id| *id < 200), "{next:?}");
}

#[test]
fn a_step_beyond_its_share_says_so() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = two_waiting(&list, 40, 1);
    bench.start_all();
    let beyond = view_step(&bench, 139);
    assert_eq!(beyond.reason(), Some(WaitReason::Share));
    // A node of the previous version does not know that reason.
    assert_eq!(beyond.waits_for, Some(WaitReason::NoRoom));
    let view = bench.cell.view(JobId(139), bench.now).expect("a job");
    let explained = crossweir::cli::show::explain(&view);
    assert!(
        explained.contains("its workspace already has its share of the contended capacity"),
        "{explained}"
    );
    let waiting = bench.cell.waiting();
    assert_eq!(waiting.get(&(0, WaitReason::Share)), Some(&64));
}

/// The view of a step that a node of the previous version has sent can still be read.
#[test]
fn a_view_without_the_mark_is_read() {
    let text = r#"{"time":0,"step":0,"tasks":1,"done":0,"running":0,"failed_runs":0,"waits_for":"no_room"}"#;
    let view: StepView = serde_json::from_str(text).expect("a view");
    assert_eq!(view.reason(), Some(WaitReason::NoRoom));
}

#[test]
fn a_workspace_at_its_cap_leaves_the_rest_of_its_share_to_the_others() {
    let mut capped = weighted("a", 3.0);
    capped.cap.millicores = 8_000;
    let list = [capped, weighted("b", 1.0)];
    let mut bench = two_waiting(&list, 40, 1);
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (2, 14));
    assert_eq!(view_step(&bench, 139).reason(), Some(WaitReason::Cap));
}

#[test]
fn a_gang_counts_as_a_whole() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    let gang = Step {
        gang: true,
        ..step(6, 4_000)
    };
    for id in 100..104 {
        bench.accept(&owned(id, &list[0], vec![gang.clone()]));
    }
    // Long enough for the gangs to go first, although they are more work.
    bench.pass(1_000);
    bench.poll_all();
    for id in 200..220 {
        bench.accept(&owned(id, &list[1], vec![step(1, 4_000)]));
    }
    // Each is entitled to 8 tasks.  The second gang crosses the entitlement, the third is beyond.
    let starts = by_job(&bench.start_all());
    assert_eq!((starts.get(&100), starts.get(&101)), (Some(&6), Some(&6)));
    assert_eq!(by_workspace(&starts), (12, 4));
    // It now holds more than its share, so no further gang goes before the others.
    let others: Vec<u64> = starts.into_keys().filter(|id| *id >= 200).collect();
    for id in others {
        let next = end_and_decide(&mut bench, id, 1);
        assert!(next.into_keys().all(|id| id >= 200));
    }
}

#[test]
fn memory_is_divided_if_it_is_scarce() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    let large = Step {
        demand: Demand {
            millicores: 100,
            memory: 8_192,
            gpus: 0,
        },
        ..step(1, 0)
    };
    for id in 100..140 {
        bench.accept(&owned(id, &list[0], vec![large.clone()]));
    }
    bench.pass(10);
    for id in 200..240 {
        bench.accept(&owned(id, &list[1], vec![large.clone()]));
    }
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (8, 8));
}

/// Guards against a workspace whose other work goes last because of tasks that can never run.
#[test]
fn tasks_that_fit_on_no_worker_do_not_use_up_a_share() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    let accelerated = Step {
        demand: Demand {
            gpus: 1,
            ..cores(4)
        },
        ..step(50, 0)
    };
    bench.accept(&owned(1, &list[1], vec![accelerated, step(50, 17_000)]));
    bench.accept(&owned(2, &list[1], vec![step(50, 17_000)]));
    for id in 100..140 {
        bench.accept(&owned(id, &list[0], vec![step(1, 4_000)]));
    }
    bench.pass(10);
    for id in 200..240 {
        bench.accept(&owned(id, &list[1], vec![step(1, 4_000)]));
    }
    assert_eq!(by_workspace(&by_job(&bench.start_all())), (8, 8));
}

/// Guards against an operator who is told to wait for a share, or to raise a weight, when a step needs
/// a larger worker.
#[test]
fn a_step_that_fits_on_no_worker_does_not_wait_for_a_share() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = two_waiting(&list, 40, 1);
    bench.accept(&owned(150, &list[0], vec![step(1, 17_000)]));
    bench.start_all();
    assert_eq!(view_step(&bench, 139).reason(), Some(WaitReason::Share));
    assert_eq!(view_step(&bench, 150).reason(), Some(WaitReason::NoRoom));
    assert_eq!(bench.cell.contention().beyond_share, 64);
}

/// A policy that lets the runs of the queue `batch` hold 8 cores at most, at the priority of the
/// others.
fn with_quota(bench: &mut Bench) {
    let source = "if queue == \"batch\" { #{ priority: 0, spread: false, quota_millicores: 8000 } } \
                  else { #{ priority: 0, spread: false } }";
    let program = Program::parse_and_test(source).expect("a policy");
    bench.cell.set_policy(Arc::new(ProgramPolicy(program)));
}

/// Guards against a workspace whose other work goes last because of tasks that wait for a quota,
/// including while there is room for some of them within the quota.
#[parameterized(
    one_step = { 1, 50 },
    many_steps = { 50, 1 },
)]
fn tasks_above_a_quota_do_not_use_up_a_share(steps: u64, tasks: u32) {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    with_quota(&mut bench);
    for id in 0..steps {
        let limited = job(250 + id, &batch(), vec![step(tasks, 4_000)]);
        bench.accept(&JobRow {
            workspace: Some(list[1].clone()),
            ..limited
        });
    }
    // Long enough for the limited steps to go first, although they are more work.
    bench.pass(60_000);
    bench.poll_all();
    for id in 100..140 {
        bench.accept(&owned(id, &list[0], vec![step(1, 4_000)]));
    }
    bench.pass(10);
    for id in 200..240 {
        bench.accept(&owned(id, &list[1], vec![step(1, 4_000)]));
    }
    // Each is entitled to 8 tasks; the second starts two of them in the limited queue.
    let starts = by_job(&bench.start_all());
    let limited: usize = starts.range(250..).map(|(_, count)| *count).sum();
    assert_eq!((limited, by_workspace(&starts)), (2, (8, 8)));
}

/// Guards against steps that pass the others because steps before them use up what the quota leaves.
#[test]
fn tasks_above_a_quota_stay_behind_if_their_workspace_has_its_share() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    with_quota(&mut bench);
    for id in 200..240 {
        bench.accept(&owned(id, &list[1], vec![step(1, 4_000)]));
    }
    assert_eq!(bench.start_all().len(), 16);
    for id in 250..300 {
        let limited = job(id, &batch(), vec![step(1, 4_000)]);
        bench.accept(&JobRow {
            workspace: Some(list[1].clone()),
            ..limited
        });
    }
    bench.pass(10);
    bench.poll_all();
    for id in 100..140 {
        bench.accept(&owned(id, &list[0], vec![step(1, 4_000)]));
    }
    bench.start_all();
    let ended = (200..204).map(|id| end_and_decide(&mut bench, id, 1));
    let started: Vec<u64> = ended.flat_map(BTreeMap::into_keys).collect();
    assert!(
        started.len() == 4 && started.iter().all(|id| *id < 200),
        "{started:?}"
    );
}

/// Guards against contention that is only the backlog of a queue with a quota.
#[test]
fn tasks_above_a_quota_do_not_make_capacity_contended() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    with_quota(&mut bench);
    let limited = job(250, &batch(), vec![step(50, 4_000)]);
    bench.accept(&JobRow {
        workspace: Some(list[1].clone()),
        ..limited
    });
    bench.accept(&owned(100, &list[0], vec![step(2, 4_000)]));
    assert_eq!(bench.start_all().len(), 4);
    assert!(!bench.cell.contention().contended);
}

/// Contention that pauses for less than a second goes on; the metrics show each round.
#[test]
fn the_metrics_follow_each_round() {
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = two_waiting(&list, 10, 1);
    bench.start_all();
    assert!(bench.cell.contention().contended);
    next_round(&mut bench);
    assert_eq!(bench.cell.contention(), Default::default());
}

/// The owner is lost.  Its successor counts what runs as soon as the workers have told it, and then
/// decides as the owner did.
#[test]
fn a_successor_divides_the_capacity_as_the_owner_did() {
    // Arrange: the first workspace holds the whole cell.
    let list = [weighted("a", 1.0), weighted("b", 1.0)];
    let mut bench = bench(4, &list);
    let mut rows = Vec::new();
    for id in 100..140 {
        rows.push(owned(id, &list[0], vec![step(1, 4_000)]));
    }
    rows.iter().for_each(|row| bench.accept(row));
    assert_eq!(bench.start_all().len(), 16);
    for id in 200..240 {
        rows.push(owned(id, &list[1], vec![step(1, 4_000)]));
    }
    let progress = bench.record();
    let (_, roster) = bench.cell.roster();

    // Act: a successor reads the rows and polls the workers.
    let queues = [urgent(), batch()];
    let mut cell = Cell::new(16, shared_configuration(2, &queues, &list), bench.now);
    cell.set_options(SHARES);
    cell.restore_roster(roster, bench.now);
    cell.list_workers((0..4).map(worker).collect(), bench.now);
    for row in &rows {
        let recorded = progress.rows.iter().find(|(_, id, _)| *id == row.id);
        cell.accept(
            row,
            recorded.map(|(.., progress)| progress),
            true,
            bench.now,
        );
    }
    let running = std::mem::take(&mut bench.running);
    let mut successor = Bench::with(cell, bench.now);
    let keys = successor.running.keys().copied().collect::<Vec<_>>();
    for (key, runs) in keys.into_iter().zip(running.into_values()) {
        successor.running.insert(key, runs);
    }
    successor.poll_all();
    successor.pass(10);
    successor.poll_all();
    assert!(successor.decide().is_empty());

    // Assert: what becomes free goes to the second workspace, up to its share.
    let started: Vec<u64> = (0..8)
        .flat_map(|_| {
            let running = successor.running.values().flatten();
            let mut ids = running.map(|(task, _)| task.step.job.0);
            let first = ids.find(|id| *id < 200).expect("a run");
            end_and_decide(&mut successor, first, 1).into_keys()
        })
        .collect();
    assert_eq!(started.len(), 8);
    assert!(started.iter().all(|id| *id >= 200), "{started:?}");
    assert_eq!(successor.cell.ledger_errors(), 0);
}

/// Guards against work that grows faster than the waiting steps and workspaces.
#[test]
fn the_decision_for_250_workspaces_takes_linear_time() {
    let held: Vec<BTreeMap<u32, Demand>> = (0..250)
        .map(|number| BTreeMap::from([(0, cores(number % 40)), (2, cores(number % 17))]))
        .collect();
    let claimants: Vec<Claimant> = held
        .iter()
        .enumerate()
        .map(|(number, held)| Claimant {
            weight: 1.0 + (number % 9) as f64,
            held,
            cap: cores(if number % 3 == 0 { 60 } else { 0 }),
        })
        .collect();
    let steps = |count: usize| -> Vec<WaitingDemand> {
        let step = |number: usize| WaitingDemand {
            priority: if number < count / 2 { 0 } else { 2 },
            claimant: number * number % 250,
            demand: Demand {
                memory: 100 + number as u64 % 7,
                ..cores(1 + number as u64 % 5)
            },
        };
        (0..count).map(step).collect()
    };
    let capacity = Demand {
        memory: 400_000,
        ..cores(8_000)
    };
    let fastest = |count: usize| {
        let waiting = steps(count);
        let once = |_| {
            let began = Instant::now();
            assert!(mark_beyond_share(&claimants, &waiting, &capacity).is_some());
            began.elapsed()
        };
        (0..9).map(once).min().expect("runs")
    };
    let (few, many) = (fastest(6_000), fastest(24_000));
    println!("6,000 steps: {few:?}, 24,000 steps: {many:?}");
    assert!(many <= few * 6, "{few:?} {many:?}");
    // Measured: 1.1 ms in a debug build.  The bound leaves room for a busy machine.
    assert!(few < Duration::from_millis(10), "{few:?}");
}

/// Returns a full cell of 6,000 workers, all of them awake.
fn full_large_cell(list: &[Workspace]) -> Bench {
    let mut cell = Cell::new(1, shared_configuration(1, &[urgent()], list), 1_000);
    cell.set_idle_reserve(6_000);
    cell.list_workers((0..6_000).map(worker).collect(), 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    bench.pass(0);
    bench.accept(&job(1, &urgent(), vec![step(6_000, 16_000)]));
    assert_eq!(bench.start_all().len(), 6_000);
    bench
}

/// Guards against shares that slow the rounds of a large cell down.  The goal is a tenth at most;
/// the bound of this test leaves room for a busy machine.
#[test]
fn a_round_of_a_large_cell_takes_hardly_longer() {
    let list: Vec<Workspace> = (0..250)
        .map(|number| weighted(&format!("team-{number}"), f64::from(number % 5)))
        .collect();
    let mut bench = full_large_cell(&list);
    let mut accepted = 0;
    for steps in [2, 20] {
        for id in accepted..steps {
            let owner = &list[(id * id) as usize % list.len()];
            bench.accept(&owned(1_000 + id, owner, vec![step(4, 2_000)]));
        }
        accepted = steps;
        let mut fastest = [Duration::MAX; 2];
        for _ in 0..7 {
            for (options, fastest) in [Options::default(), SHARES].into_iter().zip(&mut fastest) {
                bench.cell.set_options(options);
                let began = Instant::now();
                bench.cell.schedule(bench.now);
                *fastest = began.elapsed().min(*fastest);
                assert_eq!(bench.cell.contention().contended, options.shares);
            }
        }
        let [without, with] = fastest;
        println!("{steps} waiting steps: {without:?} without shares, {with:?} with");
        assert!(with <= without * 3 / 2, "{steps}: {without:?} {with:?}");
    }
}
