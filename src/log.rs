//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Installs the process-wide logger.
///
/// `filter` uses the directives of `tracing`, for example `info` or
/// `crossweir=debug`.  A second call is ignored, so that tests may call it.
pub fn init(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
}

/// How many lines may wait to be written; a writer that falls behind loses lines
/// rather than holding the program up.
const BUFFERED_LINES: usize = 20_000;

/// Installs a logger of JSON lines on standard output that never blocks.
///
/// The guard writes out what waits when it is dropped.
pub fn init_stdout(filter: &str) -> tracing_appender::non_blocking::WorkerGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let installed = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    if let Err(err) = installed {
        eprintln!("the logger is installed already: {err}");
    }
    guard
}
