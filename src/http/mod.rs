//! The border towards callers and operators, and the client that all adapters share.

pub mod answer;
pub mod api;
pub mod client;
pub mod operator;
pub mod parse;
pub mod server;
