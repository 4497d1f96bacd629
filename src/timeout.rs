//! Time limits that count only what this process had the chance to receive.
//!
//! A process that is out of CPU time notices deadlines while the answers wait unread: in the sockets,
//! or in tasks that are ready and have not run.  Waiting for a fixed time does not help, since how
//! long they wait depends on how much else is ready.  The owner must not lose such an answer: the
//! platform counts what a worker has listed as known to the owner, but the owner would count the
//! worker as silent, and start its tasks elsewhere when its lease has run out ([the
//! design](../docs/DESIGN.md), "A slow owner").

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task;
use tokio::time::Instant;

/// The maximum extension of a timeout by the time for which this process was stalled: a request that
/// was written late needs some time for its answer to arrive.
const MAX_GRACE: Duration = Duration::from_millis(500);
/// How many times everything that is ready has to run until the answer to a call has reached its
/// caller: the connection opens, shakes hands and writes the request, then it reads the response, of
/// which the call takes the head and the body.  Twice as many as these six, since a task that has used
/// up its budget is stopped in between.
const CATCH_UP_PASSES: usize = 12;

/// The weight of the newest answer in the mean time of answers and in its deviation.
const ANSWER_WEIGHT: f64 = 1.0 / 32.0;
/// The weight of the newest call in the share of calls that are not answered in time.
const CALL_WEIGHT: f64 = 1.0 / 64.0;
/// How many deviations an answer may take beyond the mean.
const DEVIATIONS: f64 = 4.0;
/// If more than this share of the calls are not answered in time, the limit is too short for all of
/// them: calls to single hosts that are lost stay below it.
const MAX_UNANSWERED_SHARE: f64 = 0.5;

/// The time limit for the answers of many hosts, which follows how long these take: on a full link
/// each answer is late, and a call that is given up has cost as much as one that succeeds.
#[derive(Debug)]
pub struct AnswerTimeout {
    least: Duration,
    most: Duration,
    times: Mutex<AnswerTimes>,
}

/// How long answers took of late, in seconds, and how many calls were not answered in time.
#[derive(Debug, Default)]
struct AnswerTimes {
    mean: f64,
    deviation: f64,
    unanswered_share: f64,
}

impl AnswerTimeout {
    /// Creates a limit that is never less than `least` nor more than `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self {
            least,
            most,
            times: Mutex::default(),
        }
    }

    /// Returns the present limit.
    pub fn limit(&self) -> Duration {
        let times = self.times();
        if times.unanswered_share > MAX_UNANSWERED_SHARE {
            return self.most;
        }
        let limit = times.mean + DEVIATIONS * times.deviation;
        Duration::from_secs_f64(limit).clamp(self.least, self.most)
    }

    /// Notes that an answer came after `time`.
    pub fn note_answer(&self, time: Duration) {
        let mut times = self.times();
        let difference = time.as_secs_f64() - times.mean;
        times.mean += difference * ANSWER_WEIGHT;
        times.deviation += (difference.abs() - times.deviation) * ANSWER_WEIGHT;
        times.unanswered_share *= 1.0 - CALL_WEIGHT;
    }

    /// Notes that a call was not answered within the limit.
    pub fn note_late(&self) {
        let mut times = self.times();
        times.unanswered_share += (1.0 - times.unanswered_share) * CALL_WEIGHT;
    }

    fn times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for `answer` until `deadline`.  If this process was stalled and notices the deadline late,
/// waits once more for as long as it was late, but at most `MAX_GRACE`.  Returns none on timeout,
/// and only after everything has been processed that had arrived by then.
pub async fn wait_until<T>(deadline: Instant, answer: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(answer);
    if let Ok(answer) = tokio::time::timeout_at(deadline, &mut answer).await {
        return Some(answer);
    }
    let grace = deadline.elapsed().min(MAX_GRACE);
    let last_chance = async {
        tokio::time::sleep(grace).await;
        catch_up().await;
    };
    tokio::select! {
        biased;
        answer = &mut answer => Some(answer),
        () = last_chance => None,
    }
}

/// Returns once everything has been processed that had arrived when this was called, however long
/// that takes.
///
/// The runtime runs ready tasks in the order in which they became ready.  A task that yields is
/// ready again after the sockets have been looked at, and behind the tasks that this made ready.
pub async fn catch_up() {
    for _ in 0..CATCH_UP_PASSES {
        task::yield_now().await;
    }
}
