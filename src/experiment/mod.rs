//! Seeded experiments with the placement core: generated arrivals, workers in memory.
//!
//! There is no network and no store here; records count as durable at each flush.
//! `docs/CAPACITY.md` and `docs/DESIGN.md` give the figures and the commands.

mod arrivals;
mod run;

pub use arrivals::Load;
pub use run::{Fault, Outcome, Setup, run};
