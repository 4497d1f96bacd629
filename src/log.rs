//! Logs as JSON lines on standard output, which never hold the program up.

use std::error::Error;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

fn install<W>(filter: &str, writer: W) -> Result<(), Box<dyn Error + Send + Sync>>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        // The module's name would be an eighth of all bytes, and no reader asks for it.
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
}

/// How many lines may wait to be written; a writer that falls behind loses lines
/// rather than holding the program up.
const BUFFERED_LINES: usize = 20_000;

/// Installs a logger of JSON lines on standard output that never blocks.
///
/// `filter` uses the directives of `tracing`, for example `info` or `crossweir=debug`.
///
/// The guard writes out what waits when it is dropped.
pub fn init_stdout(filter: &str) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    if let Err(err) = install(filter, writer) {
        eprintln!("the logger is installed already: {err}");
    }
    guard
}
