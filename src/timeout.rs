//! Waiting with a limit that does not count the time in which this process stood still.
//!
//! The runtime takes in a bounded number of ready sockets at a time, but all timers that are due.
//! So a process that comes late finds calls overdue whose answers lie unread in its sockets: of
//! 1,500 it lost 476 (`tests/http_client.rs`).  What a worker has listed counts as told, so an
//! owner must not lose it.

use std::time::Duration;

use tokio::time::Instant;

/// However late we come, a call gets no more time than this again: the lease of 3.5 s must not run
/// out over it.
const MAX_GRACE: Duration = Duration::from_millis(500);

/// Waits until `until` for `answer`; if we come late ourselves, for as long again as we are late.
/// None if none came.
pub async fn wait_until<T>(deadline: Instant, answer: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(answer);
    if let Ok(answer) = tokio::time::timeout_at(deadline, &mut answer).await {
        return Some(answer);
    }
    let grace = deadline.elapsed().min(MAX_GRACE);
    tokio::time::timeout(grace, answer).await.ok()
}
