//! Names of steps and tasks, as they appear in orders and logs.

use std::fmt;
use std::str::FromStr;

use crate::cell::spec::JobId;

/// One step of a job at one of its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The job.
    pub job: JobId,
    /// Which time of a scheduled job, from zero; zero for all others.
    pub time: u32,
    /// The step's place in the job.
    pub step: u16,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.time, self.step)
    }
}

/// One task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The step.
    pub step: StepName,
    /// The task's place in the step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// The text is not a task's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not the name of a task")]
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
