//! Time as the decision cores see it: monotonic milliseconds, handed in.
//!
//! No core reads a clock of its own, so a test can replay any order of events.

use std::time::{self, Duration};

use nix::time::ClockId;

/// Milliseconds of one process's monotonic clock.  Readings of two processes
/// are never compared; see "Clocks" in `docs/DESIGN.md`.
pub type Millis = u64;

/// Milliseconds since 1970 by the VM's time of day, which only scheduled jobs need; a
/// time of day before 1970 counts as 1970.
pub fn unix_time() -> Millis {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as Millis)
}

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since an arbitrary start.
    fn now(&self) -> Millis;
}

/// The clock of the operating system that also counts the time in which the VM was suspended: to
/// the others that is silence like any other, so an owner must not take what it believed before
/// for as young as it was.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

/// The time since the VM was booted, suspensions included.
fn since_boot() -> Duration {
    let reading = ClockId::CLOCK_BOOTTIME.now();
    reading.expect("Linux has this clock since 2.6.39").into()
}

impl SystemClock {
    /// Starts counting at one, so that zero can stand for "never".
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        since_boot().saturating_sub(self.start).as_millis() as Millis + 1
    }
}
