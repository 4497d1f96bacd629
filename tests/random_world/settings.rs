//! Settings from environment variables: `CROSSWEIR_SEED`, `CROSSWEIR_RUNS`, `CROSSWEIR_SPAN`,
//! `CROSSWEIR_LATE` and `RUST_LOG`.

/// Prints the log as `RUST_LOG` selects it; prints errors only without it.
pub fn print_log() {
    let filter = tracing_subscriber::EnvFilter::from_default_env();
    let log = tracing_subscriber::fmt().without_time();
    // Fails if another test of this process has done this before.
    let _ = log.with_env_filter(filter).try_init();
}

/// The number in the environment variable `name`, or `otherwise` if there is none.
pub fn number(name: &str, otherwise: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(otherwise)
}
