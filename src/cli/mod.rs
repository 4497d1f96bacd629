//! The calls, tables and exit codes of the command-line tool; the binary under `src/bin/crossweir`
//! parses flags and calls these.

pub mod call;
pub mod diagnose;
pub mod exit;
pub mod show;

pub use call::Endpoint;
pub use exit::{CliError, Exit};
