//! How the command-line tool ends: a code for each kind of failure.

use std::io;
use std::path::PathBuf;

use crate::http::client::CallError;
use crate::http::response::ErrorBody;

/// The exit codes, as `docs/OPERATIONS.md` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It worked.
    Success = 0,
    /// The command line or a file given on it is at fault.
    Usage = 2,
    /// It was refused, and nothing ran or changed.
    Refused = 3,
    /// It may or may not have run or changed.
    Unknown = 4,
    /// No node could be reached.
    Unreachable = 5,
    /// Another operator's change came first.
    Conflict = 6,
}

/// Why a command did not work.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// A file does not hold what it should.
    #[error("{} is not what is expected: {detail}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A body cannot be encoded.
    #[error("the call cannot be encoded: {source}")]
    Encode {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The node could not be reached or did not answer.
    #[error("{address}: {source}\n  Is the address right?  Give another with --address.")]
    Call {
        /// The address that was called.
        address: String,
        /// What went wrong.
        source: CallError,
    },
    /// The node refused, or could not say what became of it.
    #[error("{}: {}\n  {}", failure.code, failure.message, failure.remedy)]
    Answered {
        /// What the node said.
        failure: ErrorBody,
    },
}

impl CliError {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::File { .. } | CliError::Content { .. } | CliError::Encode { .. } => {
                Exit::Usage
            }
            CliError::Call {
                source: CallError::NotSent,
                ..
            } => Exit::Unreachable,
            CliError::Call { .. } => Exit::Unknown,
            CliError::Answered { failure } if failure.code == "version_conflict" => Exit::Conflict,
            CliError::Answered { failure } if failure.outcome == "unknown" => Exit::Unknown,
            CliError::Answered { .. } => Exit::Refused,
        }
    }
}
