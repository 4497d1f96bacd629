//! How quickly and how many workers are probed that do not answer.
//!
//! A probe is the poll of a silent worker.  If the owner's own link is behind, all workers are silent
//! at once, and probes of all of them keep the link full.  So each worker is probed less and less
//! often, and only some of them at a time; the others wait in the order in which they became due.
//! Polls of workers that answer renew leases, and never wait here ("Pacing" in `docs/DESIGN.md`).

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use slotmap::Key;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::cell::WorkerKey;

/// The pauses after the first failed polls in a row.  After the first one, only its answer may have
/// been lost.
const FIRST_PAUSES: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(250),
    Duration::from_millis(500),
];
/// The pause after each further one: two probes are lost at most before a lease of 3.5 s has run out.
const LAST_PAUSE: Duration = Duration::from_millis(1_000);
/// A pause is shortened by up to one in this many, so that workers that fell silent at the same time
/// are not probed at the same time.
const JITTER_PART: u32 = 4;
/// The number of different pauses.
const JITTER_STEPS: u32 = 64;
/// An odd constant with well-mixed bits, by which keys that follow one another are spread.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

/// The fewest workers that may be probed at a time.
const MIN_PROBES: usize = 16;
/// One in this many workers may be probed at a time: if none of them answers within 250 ms, each is
/// probed every two seconds.
const WORKERS_PER_PROBE: usize = 8;

/// Returns the pause after so many failed polls of a worker in a row.
pub fn pause_after(failures: u32, worker: WorkerKey) -> Duration {
    let index = failures.saturating_sub(1) as usize;
    let pause = FIRST_PAUSES.get(index).copied().unwrap_or(LAST_PAUSE);
    let seed = worker.data().as_ffi().wrapping_add(u64::from(failures));
    let step = (seed.wrapping_mul(MIX) >> 32) as u32 % JITTER_STEPS;
    pause - pause / JITTER_PART * step / JITTER_STEPS
}

/// Limits how many workers are probed at a time.
#[derive(Debug)]
pub struct ProbeLimit {
    permits: Semaphore,
    size: AtomicUsize,
}

impl Default for ProbeLimit {
    fn default() -> Self {
        Self {
            permits: Semaphore::new(MIN_PROBES),
            size: AtomicUsize::new(MIN_PROBES),
        }
    }
}

impl ProbeLimit {
    /// Raises the limit to that of a cell with so many workers.
    pub fn raise(&self, workers: usize) {
        let wanted = workers / WORKERS_PER_PROBE;
        let before = self.size.fetch_max(wanted, Ordering::Relaxed);
        self.permits.add_permits(wanted.saturating_sub(before));
    }

    /// Waits until one more worker may be probed; those that have waited longest go first.  The
    /// limit is never closed, so there always is a permit.
    pub async fn acquire(&self) -> Option<SemaphorePermit<'_>> {
        self.permits.acquire().await.ok()
    }
}
