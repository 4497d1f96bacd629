//! A policy program: it says how a job is ordered, once a job and never a worker.
//!
//! `docs/POLICIES.md` explains how to write one.

use rhai::{AST, Dynamic, Engine, Map, Scope};

use crate::model::{Class, JobKind, JobSpec, Resources};
use crate::placement::part::Ordering;

/// How many operations one call of a policy may take.
const MAX_OPERATIONS: u64 = 20_000;
/// The longest string or array that a policy may build.
const MAX_SIZE: usize = 4_096;
/// The longest patience that a policy may give, in milliseconds.
const MAX_PATIENCE_MS: i64 = 7 * 24 * 3_600_000;
/// The strongest spread that a policy may ask for.
const MAX_SPREAD: i64 = 10;

/// The policy that holds until an operator sets one.
pub const BUILT_IN: &str = include_str!("built_in.rhai");

/// Why a policy was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProgramError {
    /// It does not parse.
    #[error("the policy does not parse: {detail}")]
    Syntax {
        /// What the parser said, with line and column.
        detail: String,
    },
    /// It failed while it ran, or ran out of operations.
    #[error("the policy failed: {detail}")]
    Run {
        /// What the interpreter said, with line and column.
        detail: String,
    },
    /// It returned something else than was asked for.
    #[error("the policy must return a map in which `{field}` is {expected}")]
    Result {
        /// The field at fault.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

/// A policy that has been parsed.
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Parses a policy and runs it on samples of every kind of job.
    ///
    /// # Errors
    /// See [`ProgramError`]; a policy that fails on a sample is not accepted.
    pub fn checked(source: &str) -> Result<Self, ProgramError> {
        let program = Self::parse(source)?;
        for sample in samples() {
            program.order(&sample)?;
        }
        Ok(program)
    }

    /// Parses a policy.
    ///
    /// # Errors
    /// Returns [`ProgramError::Syntax`].
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

    /// Runs the policy for one job.
    ///
    /// # Errors
    /// Returns [`ProgramError::Run`] or [`ProgramError::Result`].
    pub fn order(&self, spec: &JobSpec) -> Result<Ordering, ProgramError> {
        let mut scope = scope(spec);
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
        ordering(&map)
    }
}

fn scope(spec: &JobSpec) -> Scope<'static> {
    let mut scope = Scope::new();
    let kind = match spec.kind {
        JobKind::Service => "service",
        JobKind::Batch => "batch",
        JobKind::Gang => "gang",
    };
    scope.push_constant("kind", kind.to_owned());
    scope.push_constant("team", spec.team.clone());
    scope.push_constant("name", spec.name.clone());
    scope.push_constant("tasks", i64::from(spec.tasks));
    scope.push_constant("millicores", spec.resources.millicores as i64);
    scope.push_constant("memory_mib", spec.resources.memory_mib as i64);
    scope.push_constant("accelerators", spec.resources.accelerators as i64);
    scope.push_constant("runtime_ms", spec.runtime_ms.map_or(-1, |ms| ms as i64));
    scope.push_constant("urgent", spec.urgent);
    scope.push_constant("repeatable", spec.repeatable);
    scope
}

fn ordering(map: &Map) -> Result<Ordering, ProgramError> {
    let class = map
        .get("class")
        .and_then(|value| value.clone().into_string().ok());
    let class = match class.as_deref() {
        Some("urgent") => Class::Urgent,
        Some("service") => Class::Service,
        Some("batch") => Class::Batch,
        _ => {
            return Err(ProgramError::Result {
                field: "class",
                expected: "\"urgent\", \"service\" or \"batch\"",
            });
        }
    };
    let patience = whole(
        map,
        "patience_ms",
        MAX_PATIENCE_MS,
        "a whole number from 0 to 604800000",
    )?;
    let spread = whole(map, "spread", MAX_SPREAD, "a whole number from 0 to 10")?;
    Ok(Ordering {
        class,
        patience_ms: patience as u64,
        spread: spread as u32,
    })
}

fn whole(
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

fn samples() -> Vec<JobSpec> {
    let kinds = [JobKind::Service, JobKind::Batch, JobKind::Gang];
    let sample = |kind, urgent| JobSpec {
        name: String::from("sample"),
        team: String::from("sample"),
        kind,
        tasks: 3,
        resources: Resources::new(1000, 1024, 0),
        runtime_ms: if urgent { None } else { Some(60_000) },
        repeatable: !urgent,
        urgent,
        command: Vec::new(),
    };
    kinds
        .into_iter()
        .flat_map(|kind| [sample(kind, false), sample(kind, true)])
        .collect()
}
