//! The configuration in force: which queues there are and who runs their tasks.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// What the placement policy of a queue costs to ask.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// The fixed part of an answer's time.
    pub base_ms: f64,
    /// The part for each worker that is named.
    pub per_worker_ms: f64,
    /// How long a ticket is good for.
    pub valid: Millis,
}

impl AdvicePolicy {
    /// Estimates how long an answer about `workers` workers takes.
    pub fn duration(&self, workers: usize) -> Millis {
        (self.base_ms + self.per_worker_ms * workers as f64).ceil() as Millis
    }
}

/// One queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name that callers use.
    pub host: String,
    /// The beginning of the paths that belong to it.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Zero goes first and may displace others.
    pub priority: u32,
    /// How many runs of one task may fail.
    pub attempts: u32,
    /// The time that a job may take, as a multiple of its longest chain of work.
    pub stretch: f64,
    /// What may be added to that.
    pub slack: Millis,
    /// Set if only some workers may run a step, and who knows which must be asked.
    pub advice: Option<AdvicePolicy>,
}

impl Queue {
    /// A queue of `service` at this machine, without advice, whose jobs may take twice
    /// their work and 250 ms; for cells without an operator.
    pub fn local(name: &str, service: &str, priority: u32) -> Self {
        Self {
            name: name.to_owned(),
            host: String::from("localhost"),
            prefix: format!("/{name}/"),
            service: service.to_owned(),
            priority,
            attempts: 3,
            stretch: 2.0,
            slack: 250,
            advice: None,
        }
    }
}

/// A version of the configuration, whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Versions rise in uneven steps.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
}

impl Configuration {
    /// Finds the queue with the longest prefix of `path` at `host`, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// Finds a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
