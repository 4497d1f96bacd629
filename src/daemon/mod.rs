//! One instance: the cores, driven by loops and by calls.
//!
//! All state stands behind one lock that is never held across an `await`.

pub mod adoption;
pub mod beat;
pub mod claims;
pub mod configuration;
pub mod dispatch;
pub mod handover;
pub mod instance;
pub mod jobs;
pub mod keys;
pub mod marks;
pub mod peers;
pub mod polling;
pub mod process;
pub mod records;
pub mod requests;
pub mod rows;
pub mod shards;
pub mod spill;
pub mod status;
pub mod streams;
pub mod workers;
pub mod writes;

pub use instance::Instance;
