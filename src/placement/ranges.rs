//! Sets of task indexes as runs, so that a row for thousands of tasks stays small.

use serde::{Deserialize, Serialize};

/// A set of indexes, kept as sorted runs of (first, count).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Builds the set of all indexes below `count`.
    pub fn below(count: u32) -> Self {
        Self(if count == 0 {
            Vec::new()
        } else {
            vec![(0, count)]
        })
    }

    /// Tells whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns how many indexes the set holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(_, count)| count).sum()
    }

    /// Iterates over the indexes in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0
            .iter()
            .flat_map(|(first, count)| *first..first.saturating_add(*count))
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(indexes: I) -> Self {
        let mut sorted: Vec<u32> = indexes.into_iter().collect();
        sorted.sort_unstable();
        sorted.dedup();
        let mut runs: Vec<(u32, u32)> = Vec::new();
        for index in sorted {
            match runs.last_mut() {
                Some((first, count)) if *first + *count == index => *count += 1,
                _ => runs.push((index, 1)),
            }
        }
        Self(runs)
    }
}
