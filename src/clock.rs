//! Time as the decision cores see it: monotonic milliseconds, handed in.
//!
//! No core reads a clock of its own, so a test can replay any order of events.

use std::time;

/// Milliseconds of one process's monotonic clock.  Readings of two processes
/// are never compared; see "Clocks" in `docs/DESIGN.md`.
pub type Millis = u64;

/// Milliseconds since 1970 by the VM's time of day, which only scheduled jobs need; a
/// time of day before 1970 counts as 1970.
pub fn since_1970() -> Millis {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as Millis)
}

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since an arbitrary start.
    fn now(&self) -> Millis;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: time::Instant,
}

impl SystemClock {
    /// Starts counting at one, so that zero can stand for "never".
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
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
        self.start.elapsed().as_millis() as Millis + 1
    }
}
