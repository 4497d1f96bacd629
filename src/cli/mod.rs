//! What the command-line tool does; the binary only parses its flags.

pub mod call;
pub mod diagnose;
pub mod exit;
pub mod show;

pub use call::Endpoint;
pub use exit::{CliError, Exit};
