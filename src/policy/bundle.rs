//! The configuration of a cell: one version, in force everywhere, that only goes up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::policy::program::{BUILT_IN, Program, ProgramError};

/// The row that names the present version.
pub const CONFIG_ROW: &str = "config/current";

/// What operators set, as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The source of the policy program.
    #[serde(default = "built_in")]
    pub policy: String,
    /// The share of the cell that a team may occupy unless it is named below.
    #[serde(default = "whole")]
    pub default_quota: f64,
    /// The shares of single teams, by dominant share.
    #[serde(default)]
    pub quotas: BTreeMap<String, f64>,
    /// The teams that may submit work; empty means any.
    #[serde(default)]
    pub teams: Vec<String>,
}

fn built_in() -> String {
    BUILT_IN.to_owned()
}

fn whole() -> f64 {
    1.0
}

impl Default for Bundle {
    fn default() -> Self {
        Self {
            policy: built_in(),
            default_quota: whole(),
            quotas: BTreeMap::new(),
            teams: Vec::new(),
        }
    }
}

/// Why a configuration was refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum BundleError {
    /// The policy is at fault.
    #[error(transparent)]
    Policy(#[from] ProgramError),
    /// A quota is not a share.
    #[error("the quota of {team} must be more than 0 and at most 1")]
    Quota {
        /// The team, or `default_quota`.
        team: String,
    },
}

impl Bundle {
    /// Checks everything and returns the parsed policy.
    ///
    /// # Errors
    /// See [`BundleError`].
    pub fn check(&self) -> Result<Program, BundleError> {
        let shares = self
            .quotas
            .iter()
            .map(|(team, share)| (team.as_str(), *share));
        for (team, share) in shares.chain([("default_quota", self.default_quota)]) {
            if !(share > 0.0 && share <= 1.0) {
                return Err(BundleError::Quota {
                    team: team.to_owned(),
                });
            }
        }
        Ok(Program::checked(&self.policy)?)
    }

    /// Tells whether `team` may submit work.
    pub fn admits(&self, team: &str) -> bool {
        self.teams.is_empty() || self.teams.iter().any(|known| known == team)
    }
}

/// What the row of the configuration holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// The number of the version; it grows by one.
    pub version: u64,
    /// A number unique to the write, by which a lost reply is resolved.
    pub claim: u64,
    /// The operator's note.
    pub note: String,
}

impl VersionRow {
    /// Returns the key of the object that holds the bundle of this version.
    pub fn object(&self) -> String {
        object_key(self.version, self.claim)
    }
}

/// Returns the key of the object that holds a bundle.
pub fn object_key(version: u64, claim: u64) -> String {
    format!("config-{version}-{claim:016x}")
}
