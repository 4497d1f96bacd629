//! What a platform provides for a node, besides the store: calls to workers, the advice service,
//! and a decoder for the rows that the platform writes.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::cell::order::{
    Addressee, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome, StopOrder,
};
use crate::cell::worker::WorkerEntry;
use crate::clock::Millis;
use crate::queue::Configuration;

/// How long a worker may take to answer a poll, unless the link to the workers says otherwise: some
/// milliseconds are usual.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends orders to workers and polls them.
pub trait Workers: Send + Sync {
    /// Orders a worker to start a run.  Also returns the worker's clock, in milliseconds, if the
    /// answer contains it.
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)>;

    /// Orders a worker to stop a run.  `Ok` confirms that the run ends soon or never begins.
    ///
    /// # Errors
    /// Returns the worker's refusal; none if there was no answer or it gives no known reason.
    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>>;

    /// Polls a worker for its runs and ends, and renews the lease of its runs.
    ///
    /// The answer is awaited for longer than [`Workers::answer_timeout`]: a worker that has answered
    /// has told its ends, so an answer that comes late must not be lost.
    ///
    /// # Errors
    /// See [`PollFailure`].
    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>>;

    /// How long the answer to a poll may take, beyond the time for which the worker holds it back,
    /// until the worker counts as silent.
    fn answer_timeout(&self) -> Duration {
        ANSWER_TIMEOUT
    }

    /// Notes that a poll of a worker is not answered within [`Workers::answer_timeout`], so that the
    /// next call uses another connection.
    fn note_late(&self, _to: &Addressee) {}
}

/// The ids of workers that may run a step, each with the ticket that a start there must carry.
pub type Tickets = Vec<(String, String)>;

/// Asks the advice service which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Asks which of `workers` may run the step.  Returns none if no usable answer came.
    fn advise<'a>(&'a self, step: &'a str, workers: &'a [String])
    -> BoxFuture<'a, Option<Tickets>>;
}

/// The value of a row cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode the row: {0}")]
pub struct DecodeError(pub String);

/// Decodes the rows that the platform and operators write.
pub trait Decoder: Send + Sync {
    /// Decodes a worker's entry; `id` is the key of the row.
    ///
    /// # Errors
    /// Fails if the value is not an entry.
    fn worker(&self, id: &str, value: &str) -> Result<WorkerEntry, DecodeError>;

    /// Returns the key of the row that holds the configuration.
    fn configuration_key(&self) -> &'static str;

    /// Decodes the configuration.
    ///
    /// # Errors
    /// Fails if the value is not a configuration.
    fn configuration(&self, value: &str) -> Result<Configuration, DecodeError>;

    /// Returns the prefix of the keys of an operator's rows about evacuated data halls; the name of
    /// the hall follows it.
    fn evacuation_prefix(&self) -> &'static str;

    /// Checks the value of a row about an evacuated hall.  The presence of the row alone says that
    /// the hall is evacuated.
    ///
    /// # Errors
    /// Fails if the value is not valid for such a row.
    fn evacuation(&self, value: &str) -> Result<(), DecodeError>;
}
