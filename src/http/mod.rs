//! The HTTP interface for callers and operators, and the HTTP client that the adapters of the
//! platform share.

pub mod api;
pub mod body;
pub mod client;
pub mod connections;
pub mod operator;
pub mod response;
pub mod server;
pub mod unknown_keys;
