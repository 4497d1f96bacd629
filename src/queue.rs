//! The configuration in force: which queues there are and who runs their tasks.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::workspace::{Caller, KeyError, Workspace, Workspaces, bearer_key};

/// What the placement policy of a queue costs to ask.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// The fixed part of an answer's time.
    pub base_ms: f64,
    /// The part for each worker that is named.
    pub per_worker_ms: f64,
    /// How long a ticket is good for.
    pub valid: Millis,
}

impl AdviceTiming {
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
    pub advice: Option<AdviceTiming>,
    /// Callers need no key here.
    #[serde(default)]
    pub public: bool,
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
            public: false,
        }
    }
}

/// What an operator writes of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Draft {
    /// Versions rise in uneven steps.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
    /// Whose jobs there are; without this, callers need no keys.
    #[serde(default)]
    pub workspaces: Option<Workspaces>,
}

/// A version of the configuration, whole, with its queues by host and by name: there may be
/// thousands, and each request looks one up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Draft", into = "Draft")]
pub struct Configuration {
    /// Versions rise in uneven steps.
    pub version: u64,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
    queues: Vec<Queue>,
    workspaces: Option<Workspaces>,
    /// The places of the queues of each host, in lower case, those with the longest prefixes first.
    hosts: HashMap<String, Vec<usize>>,
    names: HashMap<String, usize>,
}

impl From<Draft> for Configuration {
    fn from(draft: Draft) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        let mut names = HashMap::new();
        for (place, queue) in draft.queues.iter().enumerate() {
            let host = queue.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(place);
            names.entry(queue.name.clone()).or_insert(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|&place| std::cmp::Reverse(draft.queues[place].prefix.len()));
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
    /// Finds the queue with the longest prefix of `path` at `host`, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let places = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut queues = places.iter().map(|&place| &self.queues[place]);
        queues.find_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
    }

    /// All queues.
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }

    /// Finds a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        Some(&self.queues[*self.names.get(name)?])
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter().flat_map(Workspaces::iter)
    }

    /// Finds a workspace by its name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.as_ref()?.get(name)
    }

    /// Tells who calls with such an `Authorization` header, none being allowed on a public queue.
    ///
    /// # Errors
    /// Fails if the caller needs a key and has none that is known.
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
