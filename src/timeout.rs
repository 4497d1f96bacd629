//! A timeout that does not count the time in which this process was stalled.
//!
//! The runtime processes at most 1,024 ready sockets at a time, but all expired timers.  After a
//! stall, calls would therefore time out although their answers are waiting unread in the sockets:
//! 476 of 1,500 calls were lost that way (`tests/http_client.rs`).  The owner must not lose such an
//! answer: the platform counts what a worker has listed as known to the owner, but the owner would
//! count the worker as silent, and start its tasks elsewhere when its lease has run out.

use std::time::Duration;

use tokio::time::Instant;

/// The maximum extension of a timeout, however long the stall: waiting for an answer must not let a
/// worker's lease of 3.5 s run out.
const MAX_GRACE: Duration = Duration::from_millis(500);

/// Waits for `answer` until `deadline`.  If this process was stalled and notices the deadline late,
/// waits once more for as long as it was late, but at most `MAX_GRACE`.  Returns none on timeout.
pub async fn wait_until<T>(deadline: Instant, answer: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(answer);
    if let Ok(answer) = tokio::time::timeout_at(deadline, &mut answer).await {
        return Some(answer);
    }
    let grace = deadline.elapsed().min(MAX_GRACE);
    tokio::time::timeout(grace, answer).await.ok()
}
