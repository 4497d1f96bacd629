//! What a node needs from outside: workers, advice, and the meaning of rows.

use futures::future::BoxFuture;

use crate::cell::order::{
    PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crate::cell::worker::WorkerEntry;
use crate::clock::Millis;
use crate::queue::Configuration;

/// Gives orders to workers.
pub trait Workers: Send + Sync {
    /// Starts a run; also returns the worker's clock, if the answer told it.
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)>;

    /// Stops a run.  `Ok` confirms that it ends soon or never begins.
    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>>;

    /// Looks at a worker and renews its lease.
    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>>;
}

/// Workers that may run a step, each with the ticket that a start must bring.
pub type Tickets = Vec<(String, String)>;

/// Asks which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Asks about `workers` and waits for the answer; none if there is none.
    fn advise<'a>(&'a self, step: &'a str, workers: &'a [String])
    -> BoxFuture<'a, Option<Tickets>>;
}

/// The value of a row cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the row cannot be read: {0}")]
pub struct DecodeError(pub String);

/// Reads the rows that others write.
pub trait Decoder: Send + Sync {
    /// Reads a worker's entry; `id` is the key of the row.
    ///
    /// # Errors
    /// Fails if the value is not an entry.
    fn worker(&self, id: &str, value: &str) -> Result<WorkerEntry, DecodeError>;

    /// The key of the row that holds the configuration.
    fn configuration_key(&self) -> &'static str;

    /// Reads the configuration.
    ///
    /// # Errors
    /// Fails if the value is not a configuration.
    fn configuration(&self, value: &str) -> Result<Configuration, DecodeError>;

    /// How the keys of the operator's rows about evacuated halls begin; the hall's name follows.
    fn evacuation_prefix(&self) -> &'static str;

    /// Checks the value of such a row, of which the presence says all.
    ///
    /// # Errors
    /// Fails if the value is not that of such a row.
    fn evacuation(&self, value: &str) -> Result<(), DecodeError>;
}
