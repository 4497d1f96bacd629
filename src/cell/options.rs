//! The optional parts of scheduling, which the operator's settings switch on.

use crate::clock::Millis;

/// Which optional parts of scheduling are in use; by default none.
///
/// They are described in `docs/design/contended-cells.md`, and the settings that switch them on in
/// `docs/SETTINGS.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Options {
    /// How fast each worker is, is learned from its runs and used for placement.
    pub worker_speed: bool,
    /// Workspaces of one priority share contended room by weight.
    pub shares: bool,
    /// Questions to the advice service are only asked for steps that can start soon.
    pub advice_planning: bool,
    /// A job that is expected to take more than this many times the time that its queue grants is
    /// refused; `None` if jobs are never refused for load.
    pub reject_after: Option<u32>,
}

impl Options {
    /// Returns the longest time that a job may be expected to take, in milliseconds, if its queue
    /// grants `granted`; `None` if there is no limit.
    pub fn max_job_time(&self, granted: Millis) -> Option<Millis> {
        let factor = self.reject_after?;
        Some(granted.saturating_mul(Millis::from(factor)))
    }
}
