//! Sets of tasks of one job, kept and recorded as ranges.
//!
//! Tasks are numbered over all occurrences and steps (`JobSpec::task_number`).  Since tasks are
//! started in this order, and the number of started tasks of a job that are not done is limited,
//! the done ones form few ranges ("Jobs of any size" in `docs/DESIGN.md`).

use std::ops::Range;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rangemap::RangeSet;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A set of numbers of tasks.
///
/// It is written as the lengths of gaps and of the ranges behind them in turn, each as LEB128, in
/// base64: a range takes three characters if it and its gap are shorter than 128 tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet(RangeSet<u64>);

impl TaskSet {
    /// Adds a task.
    pub fn insert(&mut self, number: u64) {
        self.insert_range(number..number + 1);
    }

    /// Adds a range of tasks, which may be empty.
    pub fn insert_range(&mut self, range: Range<u64>) {
        if !range.is_empty() {
            self.0.insert(range);
        }
    }

    /// Returns whether the set has no tasks.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the ranges in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = &Range<u64>> {
        self.0.iter()
    }
}

impl Serialize for TaskSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::new();
        let mut end = 0;
        for range in self.ranges() {
            write_number(&mut bytes, range.start - end);
            write_number(&mut bytes, range.end - range.start);
            end = range.end;
        }
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl<'de> Deserialize<'de> for TaskSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)?;
        let mut left = bytes.as_slice();
        let mut set = Self::default();
        let mut end: u64 = 0;
        while !left.is_empty() {
            let range = read_range(&mut left, end);
            let range = range.ok_or_else(|| D::Error::custom("not a list of gaps and ranges"))?;
            end = range.end;
            set.insert_range(range);
        }
        Ok(set)
    }
}

/// Reads a gap behind `end` and the length of the range that follows; none if either is cut off or
/// out of range.
fn read_range(bytes: &mut &[u8], end: u64) -> Option<Range<u64>> {
    let start = end.checked_add(read_number(bytes)?)?;
    let length = read_number(bytes)?;
    Some(start..start.checked_add(length)?)
}

/// Writes a number as LEB128: seven bits in each byte, the lowest first, and the highest bit of a
/// byte set if another one follows.
fn write_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn read_number(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0;
    for shift in (0..u64::BITS).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u64::from(byte & 0x7f).checked_shl(shift)?;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}
