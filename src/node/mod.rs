//! One node of a cell: accepts jobs from callers, and owns the cell if it has won the election.
//!
//! `docs/DESIGN.md` explains how the nodes of a cell work together.

pub mod admission;
pub mod call_times;
pub mod cleaning;
pub mod configuration;
pub mod configuration_transfer;
pub mod confirming;
pub mod consent;
pub mod election;
pub mod engine;
pub mod following;
pub mod freshness;
pub mod front;
pub mod halls;
pub mod heartbeat;
pub mod intake;
pub mod job_batch;
pub mod link_load;
pub mod links;
pub mod load;
pub mod loading;
pub mod members;
pub mod orders;
pub mod owner;
pub mod owner_calls;
pub mod pace;
pub mod policy;
pub mod probes;
pub mod process;
pub mod recording;
pub mod roster_rows;
pub mod route;
pub mod setting_keys;
pub mod settings;
pub mod shared;
pub mod status;
pub mod store_latency;
pub mod succession;
pub mod summary;
mod transaction;
pub mod witness;
mod witness_calls;
