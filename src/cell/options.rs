//! The optional parts of scheduling, which the operator's settings enable.

use crate::clock::Millis;

/// Which optional parts of scheduling are enabled; by default none.
///
/// They are described in `docs/design/contended-cells.md`, and their settings in `docs/SETTINGS.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Options {
    /// The speed of each worker is learned from its runs and used for placement.
    pub worker_speed: bool,
    /// Contended capacity is divided among workspaces by weight, within each priority.
    pub shares: bool,
    /// The advice service is asked only about steps that can start soon.
    pub advice_planning: bool,
    /// A job that is expected to take more than this many times the time that its queue grants is
    /// refused; `None` if jobs are never refused for load.
    pub reject_after: Option<u32>,
    /// A job that can't end in the time that its queue grants, since the owner can't send its starts
    /// in time, is refused.
    pub reject_late: bool,
}

impl Options {
    /// Returns whether jobs may be refused for load.
    pub fn may_reject(&self) -> bool {
        self.reject_after.is_some() || self.reject_late
    }

    /// Returns the longest time that a job may be expected to take, in milliseconds, if its queue
    /// grants `granted`; `None` if there is no limit.
    pub fn max_job_time(&self, granted: Millis) -> Option<Millis> {
        let factor = self.reject_after?;
        Some(granted.saturating_mul(Millis::from(factor)))
    }
}
