//! For how long a step may go without a question to the advice service while room is free for it.

mod cell_core;

use std::collections::BTreeMap;

use cell_core::{
    Bench, SERVICE, advised_queue, configuration, job, questions, queue, starts, step, worker,
};
use crossweir::cell::advice_plan::lanes_for_turns;
use crossweir::cell::name::StepName;
use crossweir::cell::options::Options;
use crossweir::cell::order::{AdviceOrder, EndKind, StartOrder};
use crossweir::cell::spec::{JobId, Step};
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, tuning};
use crossweir::queue::{AdviceTiming, Queue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

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

/// The service whose workers are free in [`World`].
const OTHER: &str = "other";
/// The time between two rounds.
const ROUND: u64 = 10;
/// More than the time from a round that orders a question or a start to the next decision.
const REACTION: u64 = 3 * ROUND;

/// A cell whose advice service answers each question after the time that its queue gives, and
/// approves about half of all pairs of a step and a worker.
struct World {
    bench: Bench,
    queues: Vec<Queue>,
    in_flight: Vec<(u64, AdviceOrder)>,
    /// When runs end, by the start.
    ends: Vec<(u64, StartOrder)>,
    /// When each job was first started.
    first_starts: BTreeMap<u64, u64>,
    /// How long runs last, by job; others never end.
    run_times: BTreeMap<u64, u64>,
}

impl World {
    /// So many workers of the common service, and as many of [`OTHER`].
    fn new(workers: u16, lanes: usize, queues: Vec<Queue>, advice_planning: bool) -> Self {
        let entry = |number| WorkerEntry {
            service: match number < workers {
                true => SERVICE.to_owned(),
                false => OTHER.to_owned(),
            },
            ..worker(number)
        };
        let mut cell = Cell::new(1, configuration(&queues), 1_000);
        cell.set_lanes(&vec![true; lanes]);
        cell.set_options(Options {
            advice_planning,
            ..Options::default()
        });
        cell.list_workers((0..2 * workers).map(entry).collect(), 1_000);
        let mut bench = Bench::with(cell, 1_000);
        bench.poll_all();
        bench.pass(0);
        Self {
            bench,
            queues,
            in_flight: Vec::new(),
            ends: Vec::new(),
            first_starts: BTreeMap::new(),
            run_times: BTreeMap::new(),
        }
    }

    fn accept(&mut self, id: u64, queue: usize, step: Step) {
        let row = job(id, &self.queues[queue], vec![step]);
        self.bench.accept(&row);
    }

    /// Fills all workers of the common service.  Their runs never end, and always look as if they
    /// were about to: room is foreseen there that never becomes free.
    fn fill_for_longer_than_foreseen(&mut self, workers: u32) {
        let plain = queue("plain", 0);
        let row = job(1_000, &plain, vec![step(workers, 16_000)]);
        self.bench.accept(&row);
        assert_eq!(self.bench.start_all().len(), workers as usize);
        self.report_percent(workers, 0);
        self.bench.poll_all();
        self.report_percent(workers, 99);
    }

    /// Sets the progress that the first workers report for their runs.
    fn report_percent(&mut self, workers: u32, percent: u32) {
        for number in 0..workers as usize {
            let key = self.bench.worker(number);
            self.bench.fixed_percent.insert(key, percent);
        }
    }

    /// One round: answers and ends that are due, a poll of all workers, and decisions.
    fn round(&mut self) {
        self.bench.poll_all();
        self.bench.pass(0);
        let now = self.bench.now;
        let is_due = |(at, _): &mut (u64, AdviceOrder)| *at <= now;
        for (_, order) in self.in_flight.extract_if(.., is_due).collect::<Vec<_>>() {
            approve_half(&mut self.bench, &order);
        }
        let has_ended = |(at, _): &mut (u64, StartOrder)| *at <= now;
        for (_, start) in self.ends.extract_if(.., has_ended).collect::<Vec<_>>() {
            self.bench.end(start.task, start.number, EndKind::Done);
        }
        let orders = self.bench.decide();
        for order in questions(&orders) {
            self.in_flight.push((now + order.expected, order));
        }
        for start in starts(&orders) {
            let job = start.task.step.job.0;
            self.first_starts.entry(job).or_insert(now);
            self.bench.start(&start);
            if let Some(time) = self.run_times.get(&job) {
                self.ends.push((now + time, start));
            }
        }
        self.bench.record();
    }

    fn run(&mut self, time: u64) {
        for _ in 0..time / ROUND {
            self.round();
        }
    }
}

/// Returns whether the advice service approves a worker for a step: about every second one.
fn is_approved(step: StepName, worker: &str) -> bool {
    xxh3_64(format!("{step} {worker}").as_bytes()).is_multiple_of(2)
}

/// Answers a question.
fn approve_half(bench: &mut Bench, order: &AdviceOrder) {
    let workers = order.workers.iter();
    let approved = workers.filter(|(_, id)| is_approved(order.name, id));
    let ticket = |(_, id): &(_, String)| (id.clone(), format!("ticket of {id}"));
    let approved = approved.map(ticket).collect();
    bench.cell.advice_answered(order, Some(approved), bench.now);
}

fn slow_queue(name: &str, priority: u32, service: &str) -> Queue {
    Queue {
        service: service.to_owned(),
        advice: Some(AdviceTiming {
            base_ms: 494.0,
            per_worker_ms: 7.2,
            valid: 2_500,
        }),
        ..queue(name, priority)
    }
}

/// The longest time without a question that docs/DESIGN.md, "Advice", derives, for so many steps
/// with free room beside each other.
fn longest_wait(steps: u64, lanes: usize, longest_question: u64) -> u64 {
    let for_long = lanes - usize::from(lanes > 1);
    let turn_lanes = lanes_for_turns(for_long) as u64;
    let shared = if for_long == 1 { 2 } else { 1 };
    let turns = steps.div_ceil(turn_lanes) * shared;
    tuning::MAX_UNASKED + (1 + turns) * (longest_question + REACTION)
}

/// Guards against less urgent steps that nobody asks about for half a minute, though workers are
/// free for them, because urgent ones ask again and again about room that does not become free.
#[yare::parameterized(unplanned = { false, 4 }, planned = { true, 4 }, one_lane = { true, 1 }, two_lanes = { false, 2 })]
fn a_step_with_free_room_is_asked_about_whatever_urgent_steps_ask(planning: bool, lanes: usize) {
    let urgent = advised_queue("urgent", 0);
    let mut world = World::new(
        8,
        lanes,
        vec![urgent, slow_queue("batch", 2, OTHER)],
        planning,
    );
    world.fill_for_longer_than_foreseen(8);
    for id in 1..=80 {
        world.accept(id, 0, step(1, 16_000));
    }
    for id in 101..=103 {
        world.accept(id, 1, step(2, 2_000));
    }

    // Each step may need a second question, since about half of the workers are approved.
    let bound = 2 * longest_wait(3, lanes, 850);
    world.run(bound);

    let started: Vec<u64> = world.first_starts.keys().copied().collect();
    assert_eq!(started, [101, 102, 103]);
}

/// Guards against the same with slow questions in front, about another service whose workers are
/// all full: they occupied the lanes while most of the other workers were free.
#[yare::parameterized(
    unplanned = { false, 4, 8 },
    planned = { true, 4, 40 },
    one_lane = { true, 1, 40 },
    two_lanes = { false, 2, 8 }
)]
fn a_step_with_free_room_is_asked_about_beside_slow_questions(
    planning: bool,
    lanes: usize,
    workers: u16,
) {
    let slow = slow_queue("slow", 1, SERVICE);
    let mut world = World::new(
        workers,
        lanes,
        vec![slow, slow_queue("batch", 2, OTHER)],
        planning,
    );
    world.fill_for_longer_than_foreseen(u32::from(workers));
    for id in 1..=90 {
        world.accept(id, 0, step(1, 16_000));
    }
    for id in 101..=103 {
        world.accept(id, 1, step(2, 2_000));
    }

    let bound = 2 * longest_wait(3, lanes, 850);
    world.run(bound);

    let started: Vec<u64> = world.first_starts.keys().copied().collect();
    assert_eq!(started, [101, 102, 103]);
}

/// What a random world has seen of one job of [`OTHER`] that has not started.
struct Unstarted {
    /// Since when it has gone without a question while at least half of the room was free.
    unasked_since: u64,
    /// Since when it has waited while at least half of the room was free.
    waiting_since: u64,
}

/// A random cell of the kind that lost tasks: on one service runs last longer than is foreseen, and
/// steps in front ask about it again and again; on the other there is room most of the time.
struct RandomWorld {
    world: World,
    rng: StdRng,
    lanes: usize,
    /// How many workers each service has.
    workers: u16,
    /// The chance that a job arrives in a round, and the most cores of its tasks.
    arrivals: f64,
    most_cores: u64,
    longest_question: u64,
    next_id: u64,
    /// What each task of a job takes.
    millicores: BTreeMap<u64, u64>,
    unstarted: BTreeMap<u64, Unstarted>,
    most_unstarted: usize,
    longest_unasked: u64,
    longest_wait: u64,
}

impl RandomWorld {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers: u16 = rng.random_range(4..24);
        let lanes = rng.random_range(1..10);
        let slow = |name, priority, service, rng: &mut StdRng| Queue {
            advice: Some(AdviceTiming {
                base_ms: rng.random_range(20.0..560.0),
                per_worker_ms: rng.random_range(0.3..8.0),
                valid: 2_500,
            }),
            ..slow_queue(name, priority, service)
        };
        let queues = vec![
            advised_queue("urgent", 0),
            slow("slow", 1, SERVICE, &mut rng),
            slow("other", 1, OTHER, &mut rng),
            slow("batch", 2, OTHER, &mut rng),
        ];
        let timings = queues.iter().filter_map(|queue| queue.advice);
        let longest = timings.map(|timing| timing.duration(tuning::MAX_ADVICE_WORKERS));
        let longest_question = longest.max().expect("a queue");
        let mut world = World::new(workers, lanes, queues, rng.random_bool(0.25));
        world.fill_for_longer_than_foreseen(u32::from(workers));
        for id in 1..=rng.random_range(60..160) {
            let queue = rng.random_range(0..2);
            world.accept(id, queue, step(rng.random_range(1..4), 16_000));
        }
        Self {
            world,
            lanes,
            workers,
            arrivals: rng.random_range(0.002..0.01),
            most_cores: rng.random_range(2..9),
            rng,
            longest_question,
            next_id: 2_000,
            millicores: BTreeMap::new(),
            unstarted: BTreeMap::new(),
            most_unstarted: 0,
            longest_unasked: 0,
            longest_wait: 0,
        }
    }

    /// Accepts a job of one step, whose runs last up to twelve times as long as estimated.
    fn arrive(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let cores = self.rng.random_range(1..=self.most_cores);
        let step = step(self.rng.random_range(1..4), cores * 1_000);
        self.millicores.insert(id, cores * 1_000);
        let factor = if self.rng.random_bool(0.3) { 12 } else { 1 };
        self.world.run_times.insert(id, step.estimate * factor);
        self.world.accept(id, self.rng.random_range(2..4), step);
        let since = self.world.bench.now;
        let job = Unstarted {
            unasked_since: since,
            waiting_since: since,
        };
        self.unstarted.insert(id, job);
        self.most_unstarted = self.most_unstarted.max(self.unstarted.len());
    }

    /// What is free on each worker of [`OTHER`], in millicores.
    fn free_by_worker(&self) -> BTreeMap<String, u64> {
        let workers = self.workers..2 * self.workers;
        let mut free: BTreeMap<String, u64> = workers.map(|w| (format!("w{w}"), 16_000)).collect();
        for (_, start) in &self.world.ends {
            let held = self.millicores[&start.task.step.job.0];
            *free.get_mut(&start.to.life.id).expect("a worker") -= held;
        }
        free
    }

    fn round(&mut self) {
        if self.rng.random_bool(self.arrivals) {
            self.arrive();
        }
        self.world.round();
        let now = self.world.bench.now;
        let free = self.free_by_worker();
        let world = &self.world;
        self.unstarted
            .retain(|id, _| !world.first_starts.contains_key(id));
        for (id, job) in &mut self.unstarted {
            let is_free = is_half_free(step_of(*id), &free);
            let is_asked = world
                .in_flight
                .iter()
                .any(|(_, order)| order.name.job.0 == *id);
            if !is_free || is_asked {
                job.unasked_since = now;
            }
            if !is_free {
                job.waiting_since = now;
            }
            self.longest_unasked = self.longest_unasked.max(now - job.unasked_since);
            self.longest_wait = self.longest_wait.max(now - job.waiting_since);
        }
    }
}

/// The only step of a job.
fn step_of(id: u64) -> StepName {
    StepName {
        job: JobId(id),
        time: 0,
        step: 0,
    }
}

/// Returns whether at least half of the room is free on the workers that may run a step.
fn is_half_free(step: StepName, free: &BTreeMap<String, u64>) -> bool {
    let approved = free.iter().filter(|(id, _)| is_approved(step, id));
    let free: Vec<u64> = approved.map(|(_, free)| *free).collect();
    !free.is_empty() && 2 * free.iter().sum::<u64>() >= 16_000 * free.len() as u64
}

/// Guards against jobs with nothing running that wait while at least half of the room that they may
/// use is free, whatever others ask.
#[test]
fn in_random_worlds_jobs_with_free_room_start_within_the_bound() {
    for seed in 1..=8 {
        let mut random = RandomWorld::new(seed);
        for _ in 0..2_000 {
            random.round();
        }

        let steps = random.most_unstarted as u64;
        let bound = longest_wait(steps, random.lanes, random.longest_question);
        let asked = random.longest_unasked;
        let waited = random.longest_wait;
        assert!(
            asked <= bound,
            "seed {seed}: {asked} ms of {bound} without a question"
        );
        // About one question in eight approves nobody.
        assert!(waited <= 3 * bound, "seed {seed}: waited for {waited} ms");
    }
}
