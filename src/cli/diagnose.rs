//! A report for a bug: versions, how the node stands and the counters, without secrets.

use crate::cli::call::Endpoint;
use crate::cli::exit::CliError;
use crate::cli::show;

/// Gathers a report; what cannot be had is named instead of ending the report.
pub async fn report(endpoint: &Endpoint) -> String {
    let mut out = format!(
        "crossweir {}\n{} {}\n",
        env!("CARGO_PKG_VERSION"),
        std::env::consts::OS,
        std::env::consts::ARCH
    );
    section(
        &mut out,
        "status",
        endpoint.status().await.map(|status| show::status(&status)),
    );
    section(&mut out, "health", endpoint.text("/health").await);
    section(&mut out, "metrics", endpoint.text("/metrics").await);
    out
}

fn section(out: &mut String, name: &str, text: Result<String, CliError>) {
    let text = text.unwrap_or_else(|err| format!("not to be had: {err}"));
    out.push_str(&format!("\n== {name}\n{text}\n"));
}
