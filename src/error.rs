//! The errors of the library; what callers are told stands in `refusal`.

use std::io;
use std::path;

/// The result type of the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure of the program itself, as opposed to a refusal of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("cannot read settings file {}: {source}", path.display())]
    SettingsFile {
        /// The file that was named.
        path: path::PathBuf,
        /// What the operating system said.
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
        /// The address that was asked for.
        address: std::net::SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The metrics registry refused a collector.
    #[error("metrics registry: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The HTTP server ended early.
    #[error("http server: {0}")]
    HttpServer(Box<dyn std::error::Error + Send + Sync>),
    /// The operators' token cannot be read.
    #[error("cannot read the operators' token in {}: {source}", path.display())]
    Token {
        /// The file that was named.
        path: path::PathBuf,
        /// What the operating system said.
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
    /// The key is not one of ours.
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
        /// The type that is expected, with its article.
        expected: &'static str,
    },
    /// The value contradicts another one.
    #[error("{reason}")]
    Contradiction {
        /// Which values contradict each other, and how.
        reason: &'static str,
    },
    /// The file is not INI.
    #[error("not INI: {detail}")]
    Syntax {
        /// What the parser said.
        detail: String,
    },
}

fn join_lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
