//! Workspaces: whose jobs there are, which keys their callers have, and how much of the workers
//! each may have running (see "Workspaces" in `docs/DESIGN.md`).

use std::collections::HashMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::cell::spec::{Demand, JobSpec, Step};

/// How many bytes of a digest are shown to people.
const FINGERPRINT_BYTES: usize = 4;

/// One workspace as the configuration describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its share when everything is full: jobs a second.
    pub weight: f64,
    /// What its tasks may hold across all workers; a zero stands for no limit.
    pub cap: Demand,
}

impl Workspace {
    /// Tells whether its tasks may hold so much.
    pub fn admits(&self, held: &Demand) -> bool {
        let within = |held: u64, cap: u64| cap == 0 || held <= cap;
        within(held.millicores, self.cap.millicores)
            && within(held.memory, self.cap.memory)
            && within(held.gpus, self.cap.gpus)
    }

    /// Tells whether every step of a job could run if the workspace held nothing else.
    pub fn could_run(&self, spec: &JobSpec) -> bool {
        let could = |step: &Step| self.admits(&step.demand.of_tasks(step.tasks_at_once()));
        spec.steps.iter().all(could)
    }
}

/// A key's SHA-256: a node and its peers hold no key in clear.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Shows a fingerprint, which tells keys apart and gives none away.
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

/// Why workspaces cannot be used as they are described.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkspaceError {
    /// Two workspaces have one name.
    #[error("there are two workspaces `{0}`")]
    DuplicateName(String),
    /// A key stands twice, so that it would not tell whose call it is.
    #[error("a key of workspace `{0}` stands twice")]
    DuplicateKey(String),
    /// A key is empty.
    #[error("workspace `{0}` has an empty key")]
    EmptyKey(String),
    /// A weight is no share.
    #[error("the weight of workspace `{0}` is not a number from zero up")]
    InvalidWeight(String),
    /// What should be the digest of a key is none.
    #[error("this is not the digest of a key")]
    InvalidDigest,
}

/// All workspaces with the keys of their callers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    list: Vec<Workspace>,
    /// Whose each key is, by its index in the list.
    keys: HashMap<KeyDigest, usize>,
}

impl Workspaces {
    /// Adds a workspace with its keys.  One without keys is there, and nobody can call for it.
    ///
    /// # Errors
    /// Fails if the workspaces could not be told apart by their keys and names; nothing is added.
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

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.list.iter()
    }

    /// Finds the workspace of a key.
    pub fn by_key(&self, key: &[u8]) -> Option<&Workspace> {
        let index = self.keys.get(&KeyDigest::of(key))?;
        self.list.get(*index)
    }
}

/// Who calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// Whoever has no key: on a public queue, or where there are no workspaces.
    Anonymous,
    /// The workspace of this name.
    Workspace(String),
    /// An operator, or a node on behalf of one.
    Operator,
}

impl Caller {
    /// Tells whether it may see and cancel a job of a workspace; without one, everybody may.
    pub fn may_see(&self, workspace: Option<&str>) -> bool {
        match self {
            Self::Operator => true,
            Self::Anonymous => workspace.is_none(),
            Self::Workspace(name) => workspace.is_none_or(|workspace| workspace == name),
        }
    }
}

/// Why a caller is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// It has brought no key, or not in the one way that there is.
    Missing,
    /// No workspace has its key.
    Unknown,
}

/// Reads the key of an `Authorization` header; the scheme's letters may be of either case.
pub fn bearer_key(authorization: &[u8]) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"Bearer ";
    let (scheme, key) = authorization.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
