//! The vocabulary that all parts share: resources, jobs, tasks and their ids.
//!
//! `docs/GLOSSARY.md` maps these names to the words of the users.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The most tasks one job may have.
pub const MAX_TASKS: u32 = 20_000;
/// The longest name or key that a caller may choose, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// The most processors one task may ask for, in thousandths of a core.
pub const MAX_MILLICORES: u64 = 1_024_000;
/// The most memory one task may ask for, in mebibytes.
pub const MAX_MEMORY_MIB: u64 = 16 * 1024 * 1024;
/// The most accelerators one task may ask for.
pub const MAX_ACCELERATORS: u64 = 64;

/// A vector of what a VM has or a task needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub millicores: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Builds a vector from whole cores, mebibytes and accelerators.
    pub const fn new(millicores: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Tells whether `self` fits into `free` in every dimension.
    pub fn fits(&self, free: &Resources) -> bool {
        self.first_misfit(free).is_none()
    }

    /// Returns the first dimension in which `self` exceeds `free`.
    pub fn first_misfit(&self, free: &Resources) -> Option<Dimension> {
        if self.millicores > free.millicores {
            return Some(Dimension::Millicores);
        }
        if self.memory_mib > free.memory_mib {
            return Some(Dimension::MemoryMib);
        }
        (self.accelerators > free.accelerators).then_some(Dimension::Accelerators)
    }

    /// Adds in every dimension.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources::new(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )
    }

    /// Subtracts in every dimension, or returns nothing if one would go below zero.
    pub fn checked_minus(&self, other: &Resources) -> Option<Resources> {
        Some(Resources::new(
            self.millicores.checked_sub(other.millicores)?,
            self.memory_mib.checked_sub(other.memory_mib)?,
            self.accelerators.checked_sub(other.accelerators)?,
        ))
    }

    /// Returns the largest share of `total` over all dimensions, from 0 to 1.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            _ => part as f64 / whole as f64,
        };
        share(self.millicores, total.millicores)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }
}

/// One dimension of [`Resources`], as named in refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Processors.
    Millicores,
    /// Memory.
    MemoryMib,
    /// Accelerators.
    Accelerators,
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dimension::Millicores => "millicores",
            Dimension::MemoryMib => "memory_mib",
            Dimension::Accelerators => "accelerators",
        })
    }
}

/// What kind of work a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Tasks that run until cancelled and are replaced when they end.
    Service,
    /// Tasks that run to completion, in any order.
    Batch,
    /// Tasks that must all start together.
    Gang,
}

/// The class by which waiting work is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Starts first and may displace repeatable batch work.
    Urgent,
    /// Long-running services.
    Service,
    /// Everything else.
    Batch,
}

impl Class {
    /// All classes, most pressing first.
    pub const ALL: [Class; 3] = [Class::Urgent, Class::Service, Class::Batch];

    /// Returns the label used in metrics and settings.
    pub fn label(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Service => "service",
            Class::Batch => "batch",
        }
    }
}

/// What a caller asks for when it submits a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The name of the job, unique within the team while the job lives.
    pub name: String,
    /// The team whose quota is charged.
    pub team: String,
    /// What kind of work it is.
    pub kind: JobKind,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task needs, as declared.
    pub resources: Resources,
    /// The declared run time of a task in milliseconds; a hint only.
    #[serde(default)]
    pub runtime_ms: Option<u64>,
    /// Whether a task may be run again when its end is not known.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Whether the job asks for the urgent class.
    #[serde(default)]
    pub urgent: bool,
    /// The program and arguments, handed to the worker as they are.
    #[serde(default)]
    pub command: Vec<String>,
}

fn yes() -> bool {
    true
}

/// A rule that a job breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecFault {
    /// A name is empty, too long or holds a character outside `[A-Za-z0-9._-]`.
    #[error("{field} must be 1 to {MAX_NAME_LEN} characters of A-Z a-z 0-9 . _ -")]
    BadName {
        /// The field that holds the name.
        field: &'static str,
    },
    /// A count is zero or too large.
    #[error("{field} must be {low} to {high}")]
    OutOfRange {
        /// The field that holds the count.
        field: &'static str,
        /// The least value allowed.
        low: u64,
        /// The greatest value allowed.
        high: u64,
    },
}

impl JobSpec {
    /// Checks every field against its bounds.
    ///
    /// # Errors
    /// Returns the first fault in field order.
    pub fn check(&self) -> Result<(), SpecFault> {
        check_name("name", &self.name)?;
        check_name("team", &self.team)?;
        check_range("tasks", u64::from(self.tasks), 1, u64::from(MAX_TASKS))?;
        check_range(
            "resources.millicores",
            self.resources.millicores,
            1,
            MAX_MILLICORES,
        )?;
        check_range(
            "resources.memory_mib",
            self.resources.memory_mib,
            1,
            MAX_MEMORY_MIB,
        )?;
        check_range(
            "resources.accelerators",
            self.resources.accelerators,
            0,
            MAX_ACCELERATORS,
        )
    }
}

/// Checks a caller's name or key.
///
/// # Errors
/// Returns [`SpecFault::BadName`] with `field`.
pub fn check_name(field: &'static str, name: &str) -> Result<(), SpecFault> {
    let good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(good) {
        return Err(SpecFault::BadName { field });
    }
    Ok(())
}

fn check_range(field: &'static str, value: u64, low: u64, high: u64) -> Result<(), SpecFault> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(SpecFault::OutOfRange { field, low, high })
}

/// The id of a job: `<team>.<name>`, so that a repeated submission meets the first.
pub type JobId = String;

/// The id of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job of the task.
    pub job: JobId,
    /// The index of the task within the job.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// How one run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It exited as it should.
    Succeeded,
    /// It exited with a failure.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease ran out on the worker.
    Lapsed,
}

/// The state of a task as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits and has not run since it was last queued.
    Pending,
    /// A start order has been given.
    Starting,
    /// Its worker says that it runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended badly, finally.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It may or may not have run, and must not be run again.
    Unknown,
}

/// A VM of the platform together with the boot that is meant.
///
/// A VM that restarts forgets its fence and its tasks, so a restarted VM is
/// another witness; see "Boots" in `docs/DESIGN.md`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmBoot {
    /// The name of the VM.
    pub vm: String,
    /// A number that the VM draws anew at each start.
    pub boot: u64,
}

/// A generation of ownership of one shard.  It only grows.
pub type Epoch = u64;
