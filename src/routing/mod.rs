//! Requests to targets: slots, queues, retries and the three final outcomes.
//!
//! The cores here do no I/O; `daemon::requests` drives them.

pub mod budget;
pub mod outcome;
pub mod pool;

pub use budget::RetryBudget;
pub use outcome::{Outcome, Refusal, RequestSpec};
pub use pool::{Grant, Pool, TicketId};

slotmap::new_key_type! {
    /// A target known to a pool.
    pub struct TargetKey;
}
