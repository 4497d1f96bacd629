//! Workspaces, which own jobs.  Each has keys for its callers, and a cap on the room that its
//! running tasks may hold (see "Workspaces" in `docs/DESIGN.md`).

use std::collections::HashMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::cell::spec::{Demand, JobSpec, Step};

/// How many bytes of a digest its debug output shows.
const FINGERPRINT_BYTES: usize = 4;

/// One workspace, as described by the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: String,
    /// Its weight when contended capacity is divided among workspaces (`cell::shares`).
    pub weight: f64,
    /// The room that its tasks may hold on all workers together.  Zero means no limit.
    pub cap: Demand,
}

impl Workspace {
    /// Returns whether the tasks of the workspace may hold `held`.
    pub fn admits(&self, held: &Demand) -> bool {
        let within = |held: u64, cap: u64| cap == 0 || held <= cap;
        within(held.millicores, self.cap.millicores)
            && within(held.memory, self.cap.memory)
            && within(held.gpus, self.cap.gpus)
    }

    /// What the tasks of the workspace may hold beside `held`.
    pub fn left_beside(&self, held: &Demand) -> Demand {
        let left = |held: u64, cap: u64| match cap {
            0 => u64::MAX,
            cap => cap.saturating_sub(held),
        };
        Demand {
            millicores: left(held.millicores, self.cap.millicores),
            memory: left(held.memory, self.cap.memory),
            gpus: left(held.gpus, self.cap.gpus),
        }
    }

    /// Returns whether every step of a job could run if the workspace held nothing else.
    pub fn could_run(&self, spec: &JobSpec) -> bool {
        let could = |step: &Step| self.admits(&step.demand.of_tasks(step.tasks_at_once()));
        spec.steps.iter().all(could)
    }
}

/// The SHA-256 digest of a key, so that nodes neither hold nor exchange keys in plain text.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Prints a short fingerprint, which tells keys apart without revealing them.
impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in &self.0[..FINGERPRINT_BYTES] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        STANDARD_NO_PAD.encode(digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = WorkspaceError;

    fn try_from(text: String) -> Result<Self, WorkspaceError> {
        let bytes = STANDARD_NO_PAD.decode(text);
        let bytes = bytes.map_err(|_| WorkspaceError::InvalidDigest)?;
        let bytes = bytes
            .try_into()
            .map_err(|_| WorkspaceError::InvalidDigest)?;
        Ok(Self(bytes))
    }
}

/// Why workspaces or their keys are not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkspaceError {
    /// Two workspaces have the same name.
    #[error("there are two workspaces `{0}`")]
    DuplicateName(String),
    /// A key occurs twice, so it would not identify the caller.
    #[error("a key of workspace `{0}` stands twice")]
    DuplicateKey(String),
    /// A key is empty.
    #[error("workspace `{0}` has an empty key")]
    EmptyKey(String),
    /// A weight is negative or not finite.
    #[error("the weight of workspace `{0}` is not a number from zero up")]
    InvalidWeight(String),
    /// A string is not the encoded digest of a key.
    #[error("this is not the digest of a key")]
    InvalidDigest,
}

/// All workspaces with the keys of their callers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    list: Vec<Workspace>,
    /// The index into `list` of each key's workspace.
    keys: HashMap<KeyDigest, usize>,
}

impl Workspaces {
    /// Adds a workspace with its keys.  Without keys, nobody can call on its behalf.
    ///
    /// # Errors
    /// Fails if the name or a key is already taken, or if a key or the weight is not valid.
    /// Nothing is added then.
    pub fn add(&mut self, workspace: Workspace, keys: &[String]) -> Result<(), WorkspaceError> {
        let name = || workspace.name.clone();
        if self.get(&workspace.name).is_some() {
            return Err(WorkspaceError::DuplicateName(name()));
        }
        if !(workspace.weight.is_finite() && workspace.weight >= 0.0) {
            return Err(WorkspaceError::InvalidWeight(name()));
        }
        let mut digests = HashMap::new();
        for key in keys {
            if key.is_empty() {
                return Err(WorkspaceError::EmptyKey(name()));
            }
            let digest = KeyDigest::of(key.as_bytes());
            if self.keys.contains_key(&digest) || digests.insert(digest, self.list.len()).is_some()
            {
                return Err(WorkspaceError::DuplicateKey(name()));
            }
        }
        self.keys.extend(digests);
        self.list.push(workspace);
        Ok(())
    }

    /// Finds a workspace by its name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.list.iter().find(|workspace| workspace.name == name)
    }

    /// Returns all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.list.iter()
    }

    /// Finds the workspace to which a key belongs.
    pub fn by_key(&self, key: &[u8]) -> Option<&Workspace> {
        let index = self.keys.get(&KeyDigest::of(key))?;
        self.list.get(*index)
    }
}

/// Who makes a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Caller {
    /// A caller without a known key: on a public queue, or if there are no workspaces.
    Anonymous,
    /// A caller with a key of the workspace of this name.
    Workspace(String),
    /// An operator, or a node on behalf of one.
    Operator,
}

impl Caller {
    /// Returns whether the caller may see and cancel a job of `workspace`.  Everybody may if the
    /// job has none.
    pub fn may_see(&self, workspace: Option<&str>) -> bool {
        match self {
            Self::Operator => true,
            Self::Anonymous => workspace.is_none(),
            Self::Workspace(name) => workspace.is_none_or(|workspace| workspace == name),
        }
    }
}

/// Why a caller is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// It sent no key, or not as `Authorization: Bearer`.
    Missing,
    /// No workspace has the key that it sent.
    Unknown,
}

/// Returns the key in the value of an `Authorization` header with the scheme `Bearer`, in upper or
/// lower case; none if there is no such key.
pub fn bearer_key(authorization: &[u8]) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"Bearer ";
    let (scheme, key) = authorization.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
