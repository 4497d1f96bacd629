//! The product's own interface for callers and operators, and the client that all adapters share.

pub mod api;
pub mod body;
pub mod client;
pub mod keys;
pub mod operator;
pub mod response;
pub mod server;
