//! Links with a bandwidth: bytes wait in a queue for each direction of a VM's link.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crossweir::store::{Row, StoreError};
use tokio::time::Instant;

/// Concurrent transfers take turns on a link after this many bytes.
const SEGMENT_BYTES: usize = 16_384;
/// The bandwidth of a link without a limit, in bytes per millisecond.
pub const UNLIMITED: usize = usize::MAX;
/// Bytes per millisecond of a link of 1 Mbit/s.
pub const MEGABIT: usize = 125;

/// One direction of a link.
struct Direction {
    bytes_per_ms: AtomicUsize,
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new(bytes_per_ms: usize) -> Self {
        Self {
            bytes_per_ms: bytes_per_ms.into(),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Queues bytes; returns when the last of them has been sent.
    fn reserve(&self, bytes: usize) -> Instant {
        let bytes_per_ms = self.bytes_per_ms.load(Ordering::Relaxed);
        let micros = bytes as u64 * 1_000 / bytes_per_ms as u64;
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + Duration::from_micros(micros);
        *free_at
    }
}

/// The link of a VM.
pub struct Link {
    incoming: Direction,
    outgoing: Direction,
}

impl Link {
    /// Creates a link with this bandwidth in each direction.
    pub fn new(bytes_per_ms: usize) -> Self {
        Self {
            incoming: Direction::new(bytes_per_ms),
            outgoing: Direction::new(bytes_per_ms),
        }
    }

    /// Changes the bandwidth in each direction, for bytes that are not queued yet.
    pub fn set_rate(&self, bytes_per_ms: usize) {
        for direction in [&self.incoming, &self.outgoing] {
            direction
                .bytes_per_ms
                .store(bytes_per_ms, Ordering::Relaxed);
        }
    }

    /// Waits until `bytes` have arrived from a store whose link is unlimited.
    ///
    /// # Errors
    /// Fails if no segment arrives within `stall_timeout`.
    pub async fn receive(&self, bytes: usize, stall_timeout: Duration) -> Result<(), StoreError> {
        for segment in segments(bytes) {
            let arrival = tokio::time::sleep_until(self.incoming.reserve(segment));
            let arrived = tokio::time::timeout(stall_timeout, arrival).await;
            arrived.map_err(|_| StoreError::Unavailable)?;
        }
        Ok(())
    }
}

impl Link {
    /// Queues up to `bytes` for sending, as far as the queue gets no longer than `most`.  Returns how
    /// long the last byte of the queue has to wait.
    pub fn offer(&self, bytes: usize, most: Duration) -> Duration {
        let now = Instant::now();
        let queued = self.outgoing.reserve(0).saturating_duration_since(now);
        let room = most.saturating_sub(queued).as_millis() as usize;
        let room_bytes = room.saturating_mul(self.outgoing.bytes_per_ms.load(Ordering::Relaxed));
        let free_at = self.outgoing.reserve(bytes.min(room_bytes));
        free_at.saturating_duration_since(now)
    }
}

/// Waits until `bytes` have gone from one VM to another.  A transfer that is dropped stops after
/// the segment that is on its way.
pub async fn transfer(from: &Link, to: &Link, bytes: usize) {
    for segment in segments(bytes) {
        let sent = from.outgoing.reserve(segment);
        let received = to.incoming.reserve(segment);
        tokio::time::sleep_until(sent.max(received)).await;
    }
}

fn segments(bytes: usize) -> impl Iterator<Item = usize> {
    (0..bytes)
        .step_by(SEGMENT_BYTES)
        .map(move |start| SEGMENT_BYTES.min(bytes - start))
}

/// The size of rows in an answer of the store: their values are sent as base64.
pub fn row_bytes(rows: &[Row]) -> usize {
    rows.iter()
        .map(|row| row.key.len() + value_bytes(&row.value))
        .sum()
}

/// The size of a row of the store without its key, in bytes.
pub fn value_bytes(value: &str) -> usize {
    value.len() * 4 / 3 + ROW_OVERHEAD
}

/// The size of a row without its key and value, in bytes.
const ROW_OVERHEAD: usize = 60;
