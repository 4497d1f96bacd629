//! Crossweir is a cluster scheduler for services, batch jobs, gang jobs and short urgent jobs.
//!
//! The library implements all behaviour; the binaries under `src/bin` only read settings and call
//! it.  `docs/DESIGN.md` describes the architecture.

pub mod cell;
pub mod cli;
pub mod clock;
pub mod embedded;
pub mod error;
pub mod evacuation;
pub mod experiment;
pub mod http;
pub mod keep_alive;
pub mod log;
pub mod metrics;
pub mod node;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod queue;
pub mod refusal;
pub mod rpc;
pub mod store;
pub mod timeout;
pub mod traffic;
pub mod workspace;

pub use crate::error::{Error, Result};
