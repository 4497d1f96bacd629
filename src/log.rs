//! Logging to standard output as JSON lines, without ever blocking the program.

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
        // The module path would make up an eighth of the log's size, and no reader needs it.
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
}

/// The maximum number of buffered lines.  When standard output is too slow, further lines are
/// dropped rather than blocking the program.
const BUFFERED_LINES: usize = 20_000;

/// Installs a logger that writes JSON lines to standard output and never blocks.
///
/// `filter` uses the directives of `tracing`, for example `info` or `crossweir=debug`.  If it is
/// not valid, `info` applies.
///
/// Dropping the returned guard writes out the buffered lines.
pub fn init_stdout(filter: &str) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    if let Err(err) = install(filter, writer) {
        eprintln!("cannot install the logger: {err}");
    }
    guard
}
