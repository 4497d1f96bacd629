//! The exit codes of the command-line tool, one for each kind of failure, and its errors.

use std::io;
use std::path::PathBuf;

use crate::http::client::CallError;
use crate::http::response::ErrorBody;

/// The exit codes, as `docs/OPERATIONS.md` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command line or a file given on it is invalid.
    Usage = 2,
    /// The node refused the call, and nothing ran or changed.
    Refused = 3,
    /// The outcome is unknown: the call may or may not have taken effect.
    Unknown = 4,
    /// No node could be reached.
    Unreachable = 5,
    /// Another operator has changed the policy first.
    Conflict = 6,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file has invalid contents.
    #[error("{} is invalid: {detail}", path.display())]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A value cannot be encoded as JSON.
    #[error("cannot encode JSON: {source}")]
    Encode {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The node could not be reached, did not answer, or sent a malformed response.
    #[error("{address}: {source}\n  Is the address right?  Give another with --address.")]
    Call {
        /// The address that was called.
        address: String,
        /// The error of the HTTP client.
        source: CallError,
    },
    /// The node refused the call, or does not know its outcome.
    #[error("{}: {}\n  {}", body.code, body.message, body.remedy)]
    ErrorResponse {
        /// The body of the response.
        body: ErrorBody,
    },
}

impl CliError {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::File { .. } | CliError::InvalidFile { .. } | CliError::Encode { .. } => {
                Exit::Usage
            }
            CliError::Call {
                source: CallError::NotSent,
                ..
            } => Exit::Unreachable,
            CliError::Call { .. } => Exit::Unknown,
            CliError::ErrorResponse { body } if body.code == "version_conflict" => Exit::Conflict,
            CliError::ErrorResponse { body } if body.outcome == "unknown" => Exit::Unknown,
            CliError::ErrorResponse { .. } => Exit::Refused,
        }
    }
}
