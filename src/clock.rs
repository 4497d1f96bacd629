//! Clocks, and the time type of the scheduling core.
//!
//! The core reads no clock: the time is passed in, so tests can replay any sequence of events.

use std::time::{self, Duration};

use nix::time::ClockId;

/// Milliseconds of one process's monotonic clock.  Readings of different processes are never
/// compared; see "Clocks" in `docs/DESIGN.md`.
pub type Millis = u64;

/// Returns the Unix time of the VM in milliseconds, which only scheduled jobs need.  A system time
/// before 1970 counts as zero.
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

/// The operating system's boot-time clock, which also counts the time in which the VM was
/// suspended.  To other nodes a suspension is a silence like any other, so an owner that resumes
/// must not treat what it learned before the suspension as recent.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

/// Returns the time since the VM was booted, including suspensions.
fn since_boot() -> Duration {
    let reading = ClockId::CLOCK_BOOTTIME.now();
    reading
        .expect("CLOCK_BOOTTIME exists since Linux 2.6.39")
        .into()
}

impl SystemClock {
    /// Creates a clock whose first reading is one, so that zero can stand for "never".
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
