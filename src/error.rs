//! Errors of the library.  `refusal` defines the errors that callers and operators get.

use std::io;
use std::path;

/// The result type of the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure of the program, as opposed to the refusal of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("cannot read settings file {}: {source}", path.display())]
    SettingsFile {
        /// The path of the settings file.
        path: path::PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The settings break one or more rules; all are listed.
    #[error("{} fault(s) in the settings:\n{}", faults.len(), join_lines(faults))]
    Settings {
        /// Every fault that was found, in file order.
        faults: Vec<SettingsFault>,
    },
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: std::net::SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The metrics registry rejected a collector or could not encode one.
    #[error("metrics registry: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The operators' token cannot be read.
    #[error("cannot read the operators' token in {}: {source}", path.display())]
    Token {
        /// The path of the token file.
        path: path::PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
}

/// One broken rule in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: [{section}] {key}: {rule}")]
pub struct SettingsFault {
    /// The file that holds the fault.
    pub file: String,
    /// The section of the fault.
    pub section: String,
    /// The key of the fault.
    pub key: String,
    /// The rule that is broken, with the bounds.
    pub rule: SettingsRule,
}

/// The rule that a setting breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsRule {
    /// There is no setting with this key.
    #[error("no such key")]
    UnknownKey,
    /// The key must be given.
    #[error("is required")]
    Missing,
    /// The value has the wrong type.
    #[error("`{value}` is not {expected}")]
    WrongType {
        /// The value that was given.
        value: String,
        /// The expected type, with its article.
        expected: &'static str,
    },
    /// The value contradicts another one.
    #[error("{reason}")]
    Contradiction {
        /// Which values contradict each other, and how.
        reason: &'static str,
    },
    /// The file is not valid INI.
    #[error("not INI: {detail}")]
    Syntax {
        /// The parser's message.
        detail: String,
    },
}

fn join_lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
