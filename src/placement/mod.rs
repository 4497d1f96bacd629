//! The placement core: which task runs on which worker, and when.
//!
//! The core does no I/O and reads no clock.  Events come in with the time at
//! which they happened; orders come out as exchanges for workers and rows for
//! the store.  `docs/DESIGN.md` section "Placement" gives the choices.

pub mod accounts;
pub mod cell;
pub mod health;
pub mod index;
pub mod intake;
pub mod journal;
pub mod lease;
pub mod pace;
pub mod part;
pub mod plan;
pub mod preempt;
pub mod queue;
pub mod ranges;
pub mod reserve;
pub mod task;
pub mod transfer;
pub mod view;
pub mod worker;

pub use cell::{Cell, Limits};
pub use part::Part;
pub use plan::Strategy;

slotmap::new_key_type! {
    /// A worker known to a cell.
    pub struct WorkerKey;
    /// A job known to a cell.
    pub struct JobKey;
    /// A task known to a cell.
    pub struct TaskKey;
}
