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
