//! A report to attach to a bug report: version, operating system, the node's status, health and
//! metrics, without secrets.

use crate::cli::call::Endpoint;
use crate::cli::exit::CliError;
use crate::cli::show;

/// Collects the report.  A part that cannot be fetched is replaced by the error.
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

/// Appends a section with a heading.
fn section(out: &mut String, name: &str, text: Result<String, CliError>) {
    let text = text.unwrap_or_else(|err| format!("not available: {err}"));
    out.push_str(&format!("\n== {name}\n{text}\n"));
}
