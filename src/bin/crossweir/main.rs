//! The command-line tool: parses flags, calls the library and prints the result.

mod flags;

use std::path::Path;
use std::process::ExitCode;

use crossweir::cell::spec::JobId;
use crossweir::cli::{self, CliError, Endpoint, Exit, call, show};
use crossweir::http::api::PolicyChange;
use crossweir::node::setting_keys;
use crossweir::node::settings::Settings;
use crossweir::policy::Program;
use flags::CrossweirCmd;
use serde::Serialize;
use serde_json::{Value, json};

/// The address of the node that is called unless another is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8085";

fn main() -> ExitCode {
    let flags = flags::Crossweir::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("crossweir: cannot start the runtime");
        return ExitCode::FAILURE;
    };
    match runtime.block_on(run(flags)) {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::from(Exit::Success as u8)
        }
        Err(err) => {
            eprintln!("crossweir: {err}");
            ExitCode::from(err.exit() as u8)
        }
    }
}

/// The environment variable that holds a key of the caller's workspace.  There is no flag for the
/// key itself, since all users of the machine can see the arguments of a process.
const KEY_VARIABLE: &str = "CROSSWEIR_KEY";

async fn run(flags: flags::Crossweir) -> Result<String, CliError> {
    let address = flags.address.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let token = flags.token_file.as_deref().map(call::read_text);
    let key = match flags.key_file.as_deref() {
        Some(file) => Some(call::read_text(file)?),
        None => std::env::var(KEY_VARIABLE).ok(),
    };
    let endpoint = Endpoint::new(address, token.transpose()?, key);
    let json = flags.json;
    match flags.subcommand {
        CrossweirCmd::Submit(cmd) => submit(&endpoint, json, cmd).await,
        CrossweirCmd::Job(cmd) => render(json, &endpoint.job(&cmd.id).await?, show::job),
        CrossweirCmd::Explain(cmd) => render(json, &endpoint.job(&cmd.id).await?, show::explain),
        CrossweirCmd::Cancel(cmd) => {
            let cancelled = endpoint.cancel(&cmd.id).await?;
            render(json, &cancelled, |job| format!("cancelled {}", job.id))
        }
        CrossweirCmd::Status(_) => render(json, &endpoint.status().await?, show::status),
        CrossweirCmd::Policy(_) => pretty_json(&endpoint.policy().await?),
        CrossweirCmd::SetPolicy(cmd) => set_policy(&endpoint, cmd).await,
        CrossweirCmd::Check(cmd) => check_settings(&cmd.file),
        CrossweirCmd::CheckPolicy(cmd) => check_policy(&cmd.file),
        CrossweirCmd::Diagnose(_) => Ok(cli::diagnose::report(&endpoint).await),
        CrossweirCmd::Reference(cmd) => Ok(match cmd.what.as_str() {
            "settings" => setting_keys::reference(),
            _ => show::refusals(),
        }),
    }
}

async fn submit(endpoint: &Endpoint, json: bool, cmd: flags::Submit) -> Result<String, CliError> {
    let text = call::read_text(&cmd.file)?;
    let job: Value = serde_json::from_str(&text).map_err(|err| invalid_file(&cmd.file, &err))?;
    let id = cmd.id.unwrap_or_else(|| JobId(rand::random()).to_string());
    let body = json!({"id": id, "queue": cmd.queue, "job": job});
    let accepted = endpoint.submit(call::to_json(&body)?).await?;
    render(json, &accepted, |job| format!("accepted as {}", job.id))
}

async fn set_policy(endpoint: &Endpoint, cmd: flags::SetPolicy) -> Result<String, CliError> {
    let change = PolicyChange {
        expected: cmd.expected,
        source: call::read_text(&cmd.file)?,
        note: cmd.note.unwrap_or_default(),
    };
    let changed = endpoint.set_policy(&change).await?;
    Ok(format!("version {} is in force", changed.version))
}

fn check_settings(file: &Path) -> Result<String, CliError> {
    Settings::load(file).map_err(|err| invalid_file(file, &err))?;
    Ok(format!("{}: no faults", file.display()))
}

fn check_policy(file: &Path) -> Result<String, CliError> {
    let source = call::read_text(file)?;
    Program::parse_and_test(&source).map_err(|err| invalid_file(file, &err))?;
    Ok(format!("{}: no faults", file.display()))
}

fn invalid_file(file: &Path, err: &dyn std::fmt::Display) -> CliError {
    CliError::InvalidFile {
        path: file.to_owned(),
        detail: err.to_string(),
    }
}

/// Renders a value as JSON or as a table.
fn render<T: Serialize>(
    json: bool,
    value: &T,
    table: impl Fn(&T) -> String,
) -> Result<String, CliError> {
    if json {
        pretty_json(value)
    } else {
        Ok(table(value))
    }
}

fn pretty_json<T: Serialize>(value: &T) -> Result<String, CliError> {
    serde_json::to_string_pretty(value).map_err(|source| CliError::Encode { source })
}
