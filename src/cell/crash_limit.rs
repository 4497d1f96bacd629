//! Limits on the losses of a task: when they fail its job, and when its next start waits.

use crate::cell::crash::{Blame, Loss};
use crate::cell::job::Task;
use crate::cell::tuning;

impl Task {
    /// Returns whether the losses of the task allow another start. If a pending verdict could fail
    /// the job, it is awaited first: otherwise a task could crash one more worker while the last
    /// one is slow to come back.
    pub(super) fn losses_allow_start(&self) -> bool {
        let may_count = |loss: &Loss| loss.crashed || loss.barred || loss.blame != Blame::Late;
        !self.exceeds_crash_limit(may_count) && !self.awaits_barred_starts(may_count)
    }

    /// Returns whether the losses for which `counts` holds are enough to fail the job.
    pub(super) fn exceeds_crash_limit(&self, counts: impl Fn(&Loss) -> bool) -> bool {
        let counted = || self.losses.iter().filter(|loss| counts(loss));
        let sole = || counted().filter(|loss| loss.blame == Blame::Sole);
        let shown = sole().filter(|loss| !loss.unanswered);
        let crashes = counted().filter(|loss| !loss.barred).count();
        let implicating = counted().filter(|loss| !loss.barred && loss.blame != Blame::Late);
        let implicating = implicating.count();
        let barred = counted().filter(|loss| loss.barred).count();
        let crashes_and_barred = match crashes >= tuning::MIN_CRASHES_BESIDE_BARRED {
            true => crashes + barred,
            false => crashes,
        };
        shown.count() >= tuning::MAX_CONFIRMED_SOLE_CRASHES
            || sole().count() >= tuning::MAX_SOLE_CRASHES
            || crashes_and_barred >= tuning::MAX_CRASHES
            || (implicating >= tuning::MIN_IMPLICATING_CRASHES
                && implicating + barred >= tuning::MAX_STARTS)
    }

    /// Returns whether the losses of the task are as many as fail its job, barred starts included,
    /// and some of them are no barred starts.  The next start then waits until a barred one can no
    /// longer arrive.  A task that has only barred starts does not wait: it merely lost many orders.
    fn awaits_barred_starts(&self, counts: impl Fn(&Loss) -> bool) -> bool {
        let counted = || {
            self.losses
                .iter()
                .filter(|loss| counts(loss) && !loss.settled)
        };
        counted().any(|loss| !loss.barred) && counted().count() >= tuning::MAX_CRASHES
    }

    /// Returns whether the next start waits for barred starts, and not for a verdict.
    pub(super) fn waits_for_barred_starts(&self) -> bool {
        self.awaits_barred_starts(|loss| loss.crashed || loss.barred)
    }
}
