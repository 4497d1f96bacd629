//! Policy programs in Rhai.  A program runs once for each job, never for a worker.
//!
//! `docs/POLICIES.md` explains how to write one.

use rhai::{AST, Dynamic, Engine, Map, Scope};

use crate::cell::spec::{Demand, JobSpec, Step};
use crate::policy::{Decision, Turn};
use crate::queue::Queue;

/// The maximum number of operations in one run of a policy program.
const MAX_OPERATIONS: u64 = 20_000;
/// The maximum size of a string, array or map in a policy program.
const MAX_SIZE: usize = 4_096;
/// The largest priority that a program may return; configurations use only a few.
const MAX_PRIORITY: i64 = 1_000;
/// The largest quota that a program may return, in millicores: far more than any cell has.
const MAX_QUOTA: i64 = 1_000_000_000;

/// Why a policy program was rejected or failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProgramError {
    /// The program cannot be parsed.
    #[error("the policy does not parse: {detail}")]
    Syntax {
        /// The parser's message, with line and column.
        detail: String,
    },
    /// The program failed while running, or exceeded a limit.
    #[error("the policy failed: {detail}")]
    Run {
        /// The interpreter's message, with line and column.
        detail: String,
    },
    /// The program's result is not valid.
    #[error("the policy must return a map in which `{field}` is {expected}")]
    Result {
        /// The invalid field.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

/// A parsed policy program.
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Parses a program and runs it on sample jobs of every kind.
    ///
    /// # Errors
    /// See [`ProgramError`]; a program that fails for a sample is rejected.
    pub fn parse_and_test(source: &str) -> Result<Self, ProgramError> {
        let program = Self::parse(source)?;
        for (queue, spec) in samples() {
            program.decide(&queue, &spec)?;
        }
        Ok(program)
    }

    /// Parses a program.
    ///
    /// # Errors
    /// Returns [`ProgramError::Syntax`] if the program cannot be parsed.
    pub fn parse(source: &str) -> Result<Self, ProgramError> {
        let mut engine = Engine::new();
        engine.set_max_operations(MAX_OPERATIONS);
        engine.set_max_string_size(MAX_SIZE);
        engine.set_max_array_size(MAX_SIZE);
        engine.set_max_map_size(MAX_SIZE);
        engine.set_max_call_levels(16);
        engine.disable_symbol("eval");
        engine.on_print(|_| {});
        engine.on_debug(|_, _, _| {});
        let ast = engine.compile(source).map_err(|err| ProgramError::Syntax {
            detail: err.to_string(),
        })?;
        Ok(Self { engine, ast })
    }

    /// Runs the program for one job.
    ///
    /// # Errors
    /// Returns [`ProgramError::Run`] if the program fails, and [`ProgramError::Result`] if its
    /// result is not valid.
    pub fn decide(&self, queue: &Queue, spec: &JobSpec) -> Result<Decision, ProgramError> {
        let mut scope = scope(queue, spec);
        let result: Dynamic = self
            .engine
            .eval_ast_with_scope(&mut scope, &self.ast)
            .map_err(|err| ProgramError::Run {
                detail: err.to_string(),
            })?;
        let map: Map = result.try_cast().ok_or(ProgramError::Result {
            field: "the result",
            expected: "a map",
        })?;
        parse_decision(&map)
    }
}

fn scope(queue: &Queue, spec: &JobSpec) -> Scope<'static> {
    let mut scope = Scope::new();
    let tasks: u32 = spec.steps.iter().map(|step| step.tasks).sum();
    let longest = spec.steps.iter().map(|step| step.estimate).max();
    let largest = largest(&spec.steps);
    scope.push_constant("kind", kind(spec).to_owned());
    scope.push_constant("queue", queue.name.clone());
    scope.push_constant("queue_priority", i64::from(queue.priority));
    scope.push_constant("steps", spec.steps.len() as i64);
    scope.push_constant("tasks", i64::from(tasks));
    scope.push_constant("millicores", largest.millicores as i64);
    scope.push_constant("memory_mib", largest.memory as i64);
    scope.push_constant("gpus", largest.gpus as i64);
    scope.push_constant("estimate_ms", longest.unwrap_or_default() as i64);
    scope
}

fn kind(spec: &JobSpec) -> &'static str {
    let any = |holds: fn(&Step) -> bool| spec.steps.iter().any(holds);
    if any(|step| step.lasting) {
        "service"
    } else if any(|step| step.gang) {
        "gang"
    } else {
        "batch"
    }
}

/// Returns the largest demand of any task, for each resource separately.
fn largest(steps: &[Step]) -> Demand {
    let mut largest = Demand::default();
    for step in steps {
        largest.millicores = largest.millicores.max(step.demand.millicores);
        largest.memory = largest.memory.max(step.demand.memory);
        largest.gpus = largest.gpus.max(step.demand.gpus);
    }
    largest
}

fn parse_decision(map: &Map) -> Result<Decision, ProgramError> {
    let priority = parse_integer(
        map,
        "priority",
        MAX_PRIORITY,
        "a whole number from 0 to 1000",
    )?;
    let spread = map.get("spread").map(Dynamic::as_bool);
    let Some(Ok(spread)) = spread else {
        return Err(ProgramError::Result {
            field: "spread",
            expected: "true or false",
        });
    };
    let reserves = match map.get("reserve").map(Dynamic::as_bool) {
        None => true,
        Some(Ok(reserves)) => reserves,
        Some(Err(_)) => {
            return Err(ProgramError::Result {
                field: "reserve",
                expected: "true or false",
            });
        }
    };
    let quota = match map.contains_key("quota_millicores") {
        true => Some(parse_integer(
            map,
            "quota_millicores",
            MAX_QUOTA,
            "a whole number from 0 to 1000000000",
        )?),
        false => None,
    };
    Ok(Decision {
        priority: priority as u32,
        turn: parse_turn(map)?,
        reserves,
        spread,
        quota: quota.map(|quota| quota as u64),
    })
}

fn parse_turn(map: &Map) -> Result<Turn, ProgramError> {
    let Some(value) = map.get("turn") else {
        return Ok(Turn::default());
    };
    let name = value.clone().into_string().unwrap_or_default();
    Turn::from_name(&name).ok_or(ProgramError::Result {
        field: "turn",
        expected: "arrival, least_work, least_laxity or balanced",
    })
}

fn parse_integer(
    map: &Map,
    field: &'static str,
    high: i64,
    expected: &'static str,
) -> Result<i64, ProgramError> {
    let value = map.get(field).and_then(|value| value.as_int().ok());
    value
        .filter(|value| (0..=high).contains(value))
        .ok_or(ProgramError::Result { field, expected })
}

/// Returns sample jobs of every kind: short ones in an urgent queue, long ones in another.
fn samples() -> Vec<(Queue, JobSpec)> {
    let queue = |priority| Queue::local("sample", "sample", priority);
    let spec = |change: fn(&mut Step), estimate| {
        let mut step = Step {
            tasks: 3,
            demand: Demand {
                millicores: 1_000,
                memory: 1_024,
                gpus: 0,
            },
            estimate,
            ..Step::default()
        };
        change(&mut step);
        JobSpec {
            text: String::from("sample"),
            steps: vec![step],
            schedule: None,
        }
    };
    let kinds: [fn(&mut Step); 3] = [|_| {}, |step| step.gang = true, |step| step.lasting = true];
    let mut samples = Vec::new();
    for kind in kinds {
        for (priority, estimate) in [(0, 800), (2, 60_000)] {
            samples.push((queue(priority), spec(kind, estimate)));
        }
    }
    samples
}
