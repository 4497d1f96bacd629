//! The operator's configuration: the queues, the services that run their tasks, and the workspaces.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::workspace::{Caller, KeyError, Workspace, Workspaces, bearer_key};

/// How long the advice service takes to answer questions about a queue, and how long its tickets
/// are valid.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// The fixed part of the time to answer, in milliseconds.
    pub base_ms: f64,
    /// The additional time for each worker that the question names, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid, in milliseconds.
    pub valid: Millis,
}

impl AdviceTiming {
    /// Estimates how long the answer to a question about `workers` workers takes.
    pub fn duration(&self, workers: usize) -> Millis {
        (self.base_ms + self.per_worker_ms * workers as f64).ceil() as Millis
    }
}

/// One queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name of the queue's URLs.
    pub host: String,
    /// The prefix of the queue's paths at that host.
    pub prefix: String,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The priority of the queue's jobs, unless a policy program sets another one.  Lower numbers
    /// go first.
    pub priority: u32,
    /// The number of failed runs of one task at which the job fails; zero counts as one.  Failures
    /// of lasting tasks do not count.
    pub attempts: u32,
    /// The time that a job may take, as a multiple of its critical path.
    pub stretch: f64,
    /// Additional time that each job may take, in milliseconds.
    pub slack: Millis,
    /// Set if the advice service decides which workers may run a step.
    pub advice: Option<AdviceTiming>,
    /// Callers need no key for this queue.
    #[serde(default)]
    pub public: bool,
}

impl Queue {
    /// Creates a queue of `service` at `localhost`, without advice, whose jobs may take twice their
    /// critical path plus 250 ms.  For cells without an operator.
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
            public: false,
        }
    }

    /// Returns the time that a job may take if its critical path has this length, in milliseconds.
    pub fn granted_time(&self, critical_path: Millis) -> Millis {
        let stretched = self.stretch * critical_path as f64;
        self.slack.saturating_add(stretched as Millis)
    }
}

/// The encoded form of a [`Configuration`], without its lookup tables.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Draft {
    /// The version, which rises with each change, not necessarily by one.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
    /// The workspaces and their keys; none if callers need no keys.
    #[serde(default)]
    pub workspaces: Option<Workspaces>,
}

/// One version of the complete configuration, with its queues indexed by host and by name: there
/// may be thousands, and each request looks one up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Draft", into = "Draft")]
pub struct Configuration {
    /// The version, which rises with each change, not necessarily by one.
    pub version: u64,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
    queues: Vec<Queue>,
    workspaces: Option<Workspaces>,
    /// The indices into `queues` of each host's queues, longest prefix first, by host name in lower
    /// case.
    hosts: HashMap<String, Vec<usize>>,
    /// The index into `queues` of each queue, by name.
    names: HashMap<String, usize>,
}

impl From<Draft> for Configuration {
    fn from(draft: Draft) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        let mut names = HashMap::new();
        for (index, queue) in draft.queues.iter().enumerate() {
            let host = queue.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
            names.entry(queue.name.clone()).or_insert(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(draft.queues[index].prefix.len()));
        }
        Self {
            version: draft.version,
            max_body: draft.max_body,
            queues: draft.queues,
            workspaces: draft.workspaces,
            hosts,
            names,
        }
    }
}

impl From<Configuration> for Draft {
    fn from(config: Configuration) -> Self {
        Self {
            version: config.version,
            queues: config.queues,
            max_body: config.max_body,
            workspaces: config.workspaces,
        }
    }
}

impl Configuration {
    /// Finds the queue at `host` with the longest prefix of `path`, and returns it with the rest of
    /// the path.  A port in `host` is ignored.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let indices = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut queues = indices.iter().map(|&index| &self.queues[index]);
        queues.find_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
    }

    /// Returns all queues.
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }

    /// Finds a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        Some(&self.queues[*self.names.get(name)?])
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter().flat_map(Workspaces::iter)
    }

    /// Finds a workspace by its name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.as_ref()?.get(name)
    }

    /// Identifies the caller by the `Authorization` header of its request.  On a public queue, or
    /// without workspaces, a caller without a known key is anonymous.
    ///
    /// # Errors
    /// Fails if a key is required, and it is missing or unknown.
    pub fn identify_caller(
        &self,
        is_public: bool,
        authorization: Option<&[u8]>,
    ) -> Result<Caller, KeyError> {
        let Some(workspaces) = &self.workspaces else {
            return Ok(Caller::Anonymous);
        };
        let key = authorization.and_then(bearer_key).ok_or(KeyError::Missing);
        let found = key.and_then(|key| workspaces.by_key(key).ok_or(KeyError::Unknown));
        match found {
            Ok(workspace) => Ok(Caller::Workspace(workspace.name.clone())),
            Err(_) if is_public => Ok(Caller::Anonymous),
            Err(err) => Err(err),
        }
    }
}
