//! Names of steps and tasks, as used in orders to workers and in logs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::cell::spec::JobId;

/// Names one step of one occurrence of a job: `job.time.step`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The id of the job.
    pub job: JobId,
    /// The occurrence of a scheduled job, counted from zero; zero for jobs without a schedule.
    pub time: u32,
    /// The index of the step in the job's list of steps.
    pub step: u16,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.time, self.step)
    }
}

/// Names one task of a step: `job.time.step.index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskName {
    /// The name of the step.
    pub step: StepName,
    /// The index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl From<TaskName> for String {
    fn from(name: TaskName) -> Self {
        name.to_string()
    }
}

impl TryFrom<String> for TaskName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

/// A text that does not have the form of a [`TaskName`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a task name: expected <job>.<time>.<step>.<index>")]
pub struct NameError;

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(NameError);
        let job = next()?.parse().map_err(|_| NameError)?;
        let time = next()?.parse().map_err(|_| NameError)?;
        let step = next()?.parse().map_err(|_| NameError)?;
        let index = next()?.parse().map_err(|_| NameError)?;
        if parts.next().is_some() {
            return Err(NameError);
        }
        Ok(Self {
            step: StepName { job, time, step },
            index,
        })
    }
}
