//! Targets that answer with what they were sent, and keep count.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;

/// What is known of all targets, for tests.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Counts {
    /// How often each body was run.
    pub runs: HashMap<String, u32>,
    /// The bodies in the order in which they were run.
    pub order: Vec<String>,
    /// The most requests in progress at any one target at a time.
    pub most_at_once: u32,
    /// Requests that reached a target after it had said that it was leaving.
    pub after_leaving: u32,
}

#[derive(Default)]
struct State {
    counts: Counts,
    in_progress: HashMap<String, u32>,
    leaving: HashMap<String, bool>,
    lose_answers: bool,
}

/// All targets.
pub struct Targets {
    service_ms: u64,
    state: Mutex<State>,
}

/// How a target answers.
pub enum Answer {
    /// With what it was sent.
    Echo {
        /// Whether it says that it is leaving.
        leaving: bool,
    },
    /// It refuses, as it is leaving; nothing was run.
    Refused,
    /// It has run the request, and the answer is lost.
    Lost,
}

impl Targets {
    /// Makes targets that take `service_ms` for a request.
    pub fn new(service_ms: u64) -> Self {
        Self {
            service_ms,
            state: Mutex::default(),
        }
    }

    /// Runs one request.
    pub async fn run(&self, target: &str, body: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(body).into_owned();
        {
            let mut state = self.lock();
            if state.leaving.get(target).copied().unwrap_or(false) {
                state.counts.after_leaving += 1;
                return Answer::Refused;
            }
            *state.counts.runs.entry(text.clone()).or_default() += 1;
            state.counts.order.push(text);
            let now = state.in_progress.entry(target.to_owned()).or_default();
            *now += 1;
            let now = *now;
            state.counts.most_at_once = state.counts.most_at_once.max(now);
        }
        tokio::time::sleep(Duration::from_millis(self.service_ms)).await;
        let mut state = self.lock();
        if let Some(now) = state.in_progress.get_mut(target) {
            *now -= 1;
        }
        match state.lose_answers {
            true => Answer::Lost,
            false => Answer::Echo {
                leaving: state.leaving.get(target).copied().unwrap_or(false),
            },
        }
    }

    /// Lets a target say that it is leaving, or no longer.
    pub fn set_leaving(&self, target: &str, leaving: bool) {
        self.lock().leaving.insert(target.to_owned(), leaving);
    }

    /// Loses all answers from now on, or no longer.
    pub fn set_lose_answers(&self, lose: bool) {
        self.lock().lose_answers = lose;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
