//! Random operations on the pure cores, with every account checked after each.
//!
//! `PROPTEST_CASES=5000 cargo test --release --test cores_model` runs it longer;
//! the seed is fixed, so that CI gives the same verdict every time.

use crossweir::backend::local_worker::LocalWorker;
use crossweir::clock::Millis;
use crossweir::model::{Class, JobKind, JobSpec, Resources};
use crossweir::placement::cell::WorkerInfo;
use crossweir::placement::lease::Standing;
use crossweir::placement::part::Ordering;
use crossweir::placement::{Cell, Limits, Strategy as Choice};
use crossweir::routing::pool::{SlotEnd, TargetInfo};
use crossweir::routing::{Grant, Pool};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const WORKERS: usize = 4;
const TARGETS: usize = 3;
const SLOTS: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Submit {
        kind: u8,
        tasks: u32,
        millicores: u64,
        runtime: Millis,
        urgent: bool,
        repeatable: bool,
    },
    Cancel(u8),
    Plan,
    Write {
        applied: bool,
    },
    Exchange {
        worker: usize,
        lost: bool,
    },
    Silence(usize),
    Restart(usize),
    FailAll(usize, bool),
    Reserve {
        millicores: u64,
        count: u32,
    },
    Disown,
    Wait(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, 1..6_u32, 100..5_000_u64, 0..8_000_u64, any::<bool>(), any::<bool>()).prop_map(
            |(kind, tasks, millicores, runtime, urgent, repeatable)| Step::Submit { kind, tasks, millicores, runtime, urgent, repeatable }
        ),
        1 => any::<u8>().prop_map(Step::Cancel),
        4 => Just(Step::Plan),
        4 => any::<bool>().prop_map(|applied| Step::Write { applied }),
        8 => (0..WORKERS, any::<bool>()).prop_map(|(worker, lost)| Step::Exchange { worker, lost }),
        1 => (0..WORKERS).prop_map(Step::Silence),
        1 => (0..WORKERS).prop_map(Step::Restart),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, on)| Step::FailAll(worker, on)),
        1 => (100..4_000_u64, 1..4_u32).prop_map(|(millicores, count)| Step::Reserve { millicores, count }),
        1 => Just(Step::Disown),
        4 => (1..3_000_u64).prop_map(Step::Wait),
    ]
}

struct Model {
    cell: Cell,
    workers: Vec<LocalWorker>,
    now: Millis,
    jobs: u32,
    boots: u64,
}

impl Model {
    fn new() -> Self {
        let limits = Limits {
            strategy: Choice::BestFit,
            ..Limits::default()
        };
        let mut model = Self {
            cell: Cell::new(limits),
            workers: (0..WORKERS)
                .map(|index| LocalWorker::new(index as u64 + 1))
                .collect(),
            now: 1,
            jobs: 0,
            boots: 100,
        };
        model.own();
        model
    }

    fn own(&mut self) {
        for index in 0..WORKERS {
            let info = WorkerInfo {
                name: format!("w{index}"),
                shard: format!("rack:h:{}", index % 2),
                hall: String::from("h"),
                endpoint: String::new(),
                capacity: Resources::new(4_000, 4_096, 0),
                leaving: false,
            };
            self.cell.own_shard(&info.shard, self.now);
            self.cell.list_worker(&info, self.now);
            self.cell.allow_inherited(&info.shard, true, self.now);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit {
                kind,
                tasks,
                millicores,
                runtime,
                urgent,
                repeatable,
            } => {
                self.jobs += 1;
                let spec = JobSpec {
                    name: format!("j{}", self.jobs),
                    team: String::from("t"),
                    kind: [JobKind::Service, JobKind::Batch, JobKind::Gang][usize::from(kind)],
                    tasks,
                    resources: Resources::new(millicores, 256, 0),
                    runtime_ms: Some(runtime),
                    repeatable,
                    urgent,
                    command: Vec::new(),
                };
                let class = if urgent { Class::Urgent } else { Class::Batch };
                let ordering = Ordering {
                    class,
                    patience_ms: 2_000,
                    spread: u32::from(kind),
                };
                let id = spec.name.clone();
                let _ = self.cell.submit(&id, spec, ordering, 1, self.now);
            }
            Step::Cancel(number) => {
                self.cell.cancel(
                    &format!("j{}", u32::from(number) % (self.jobs + 1)),
                    self.now,
                );
            }
            Step::Plan => {
                self.cell.plan(self.now);
            }
            Step::Write { applied } => {
                if let Some(batch) = self.cell.take_writes(8) {
                    match applied {
                        true => self.cell.written(&batch, self.now),
                        false => self.cell.unwritten(&batch),
                    }
                }
            }
            Step::Exchange { worker, lost } => self.exchange(worker, lost),
            Step::Silence(worker) => self.cell.on_silence(&format!("w{worker}"), self.now),
            Step::Restart(worker) => {
                self.boots += 1;
                self.workers[worker].restart(self.boots, self.now);
            }
            Step::FailAll(worker, on) => self.workers[worker].fail_all = on,
            Step::Reserve { millicores, count } => {
                let need = Resources::new(millicores, 256, 0);
                self.cell.reserve(&need, count, self.now + 2_000, self.now);
            }
            Step::Disown => {
                for shard in ["rack:h:0", "rack:h:1"] {
                    self.cell.disown_shard(shard);
                }
                for worker in &mut self.workers {
                    self.boots += 1;
                    worker.restart(self.boots, self.now);
                }
                self.own();
            }
            Step::Wait(millis) => {
                self.now += millis;
                self.cell.expire(self.now);
            }
        }
    }

    fn exchange(&mut self, worker: usize, lost: bool) {
        let name = format!("w{worker}");
        let standing = Standing {
            shard: String::new(),
            owner: String::new(),
            epoch: self.now,
            may_act: true,
            recorded: true,
        };
        let Some(msg) = self.cell.exchange(&name, &standing, self.now) else {
            return;
        };
        let reply = self.workers[worker].exchange(&msg, self.now);
        if lost || !reply.obeyed {
            self.cell.forget_reading(&name);
        } else {
            self.cell.on_reply(&name, &msg, &reply, true, self.now);
        }
    }
}

fn runner() -> TestRunner {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(128);
    TestRunner::new(Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn no_worker_is_over_committed_and_every_account_adds_up() {
    let steps = prop::collection::vec(step(), 1..200);
    let result = runner().run(&steps, |steps| {
        // Arrange.
        let mut model = Model::new();
        for step in steps {
            // Act.
            model.apply(step);

            // Assert.
            model.cell.assert_accounts();
            prop_assert!(
                model.cell.violations.0.is_empty(),
                "{:?}",
                model.cell.violations
            );
            for worker in &model.workers {
                prop_assert!(worker.peak.millicores <= 4_000 && worker.peak.memory_mib <= 4_096);
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

#[derive(Debug, Clone)]
enum PoolStep {
    Grant,
    Enqueue { class: u8, patience: Millis },
    Finish { which: usize, end: u8 },
    List(u8),
    Wait(Millis),
}

fn pool_step() -> impl Strategy<Value = PoolStep> {
    prop_oneof![
        3 => Just(PoolStep::Grant),
        3 => (0..3_u8, 0..500_u64).prop_map(|(class, patience)| PoolStep::Enqueue { class, patience }),
        4 => (any::<usize>(), 0..4_u8).prop_map(|(which, end)| PoolStep::Finish { which, end }),
        1 => any::<u8>().prop_map(PoolStep::List),
        1 => (1..2_000_u64).prop_map(PoolStep::Wait),
    ]
}

fn targets(bits: u8) -> Vec<TargetInfo> {
    let listed = (0..TARGETS).filter(|index| bits & (1 << index) != 0);
    listed
        .map(|index| TargetInfo {
            name: format!("t{index}"),
            endpoint: String::new(),
            slots: SLOTS,
            leaving: bits & (8 << index) != 0,
        })
        .collect()
}

#[test]
fn no_target_ever_has_more_requests_than_slots_and_every_waiter_is_granted_once() {
    let steps = prop::collection::vec(pool_step(), 1..300);
    let result = runner().run(&steps, |steps| {
        // Arrange.
        let mut pool = Pool::new(16);
        pool.set_targets(&targets(7));
        let (mut now, mut next) = (1, 1);
        let mut held: Vec<Grant> = Vec::new();
        let mut waiting = std::collections::BTreeSet::new();
        for step in steps {
            // Act.
            match step {
                PoolStep::Grant => held.extend(pool.try_grant(now)),
                PoolStep::Enqueue { class, patience } => {
                    let class = Class::ALL[usize::from(class)];
                    if pool.enqueue(next, class, now + patience, now).is_ok() {
                        waiting.insert(next);
                    }
                    next += 1;
                }
                PoolStep::Finish { which, end } if !held.is_empty() => {
                    let grant = held.swap_remove(which % held.len());
                    let ends = [
                        SlotEnd::Answered { took: 5 },
                        SlotEnd::Failed,
                        SlotEnd::Leaving,
                        SlotEnd::Unused,
                    ];
                    pool.finish(grant.key, ends[usize::from(end)], now);
                }
                PoolStep::Finish { .. } => {}
                PoolStep::List(bits) => pool.set_targets(&targets(bits)),
                PoolStep::Wait(millis) => now += millis,
            }
            for (ticket, grant) in pool.grant_waiting(now) {
                prop_assert!(
                    waiting.remove(&ticket),
                    "ticket {} was granted twice",
                    ticket
                );
                held.push(grant);
            }

            // Assert.
            for index in 0..TARGETS {
                let name = format!("t{index}");
                let in_flight = held.iter().filter(|grant| grant.name == name).count();
                prop_assert!(
                    in_flight <= SLOTS as usize,
                    "{} has {} requests",
                    name,
                    in_flight
                );
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
