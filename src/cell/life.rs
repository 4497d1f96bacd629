//! Lives of workers: a worker that starts again may keep its id.
//!
//! A life ends with its process, and so does all that rests on it: what it runs, its count of
//! ends, its clock, its lease, the epochs and stops that it has seen.  See "Lives" in
//! `docs/DESIGN.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// One life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// Names the worker; a later life may have the same id.
    pub id: String,
    /// When it started, in Unix milliseconds by the worker's own word.  None if it does not
    /// tell: then the id alone names the life.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Millis>,
}

impl Life {
    /// A life that does not tell when it started.
    pub fn of(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            born: None,
        }
    }

    /// Tells whether a worker of this id that says to have started at `born` is another life for
    /// certain.  Times of day step, so they only tell lives apart: neither is the later one.
    pub fn differs_from(&self, born: Option<Millis>) -> bool {
        matches!((self.born, born), (Some(ours), Some(theirs)) if ours != theirs)
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)?;
        match self.born {
            Some(born) => write!(f, "@{born}"),
            None => Ok(()),
        }
    }
}
