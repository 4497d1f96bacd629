//! A worker as the placement core sees it.

use crate::clock::Millis;
use crate::model::{Resources, TaskId, VmBoot};
use crate::placement::health::Health;
use crate::placement::{JobKey, TaskKey};

/// A task would give a worker more than it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the worker would be over-committed")]
pub struct Overcommit;

/// What is known of a worker.
#[derive(Debug)]
pub struct Worker {
    /// The VM and its present boot, once it has answered.
    pub vm: VmBoot,
    /// The index of its shard in the cell.
    pub shard: usize,
    /// The index of its hall in the cell.
    pub hall: usize,
    /// The address of its interface.
    pub endpoint: String,
    /// What it has.
    pub capacity: Resources,
    /// What no task or reservation occupies.
    pub free: Resources,
    /// Whether it has been taken over and answers in time.
    pub usable: bool,
    /// Whether the list or the worker itself says that it is leaving.
    pub leaving: bool,
    /// The tasks that occupy it.
    pub tasks: Vec<TaskKey>,
    /// How well it has been running tasks.
    pub health: Health,
    /// The large job for which its room is kept, if any.
    pub held_for: Option<JobKey>,
    /// The last reading of its clock.
    pub reading: Option<Reading>,
    /// Ended tasks that it may forget, each from a time on.
    ///
    /// A start order may still arrive a second time while it is valid; until then
    /// the worker must remember the run, or it would run it again.
    pub forget: Vec<(TaskId, Millis)>,
    /// Tasks that it must stop.
    pub stop: Vec<TaskId>,
    /// Whether it should be spoken to without waiting for the next renewal.
    pub pressing: bool,
}

/// A reading of a worker's clock, dated by our own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// What the worker's clock showed.
    pub clock: Millis,
    /// When the answer that carried it arrived here.
    pub received_at: Millis,
}

impl Worker {
    /// Takes room for a task.
    ///
    /// # Errors
    /// Returns [`Overcommit`], and takes nothing, if the room is not there.
    pub fn occupy(&mut self, need: &Resources) -> Result<(), Overcommit> {
        self.free = self.free.checked_minus(need).ok_or(Overcommit)?;
        Ok(())
    }

    /// Gives back the room of a task.
    ///
    /// # Errors
    /// Returns [`Overcommit`] if more would be free than the worker has, which
    /// means that the room had never been taken.
    pub fn vacate(&mut self, need: &Resources) -> Result<(), Overcommit> {
        let free = self.free.plus(need);
        if !free.fits(&self.capacity) {
            return Err(Overcommit);
        }
        self.free = free;
        Ok(())
    }

    /// Tells whether new tasks may be placed here at `now`.
    pub fn is_open(&self, now: Millis) -> bool {
        self.usable && !self.leaving && self.health.admits(self.tasks.len(), now)
    }
}
