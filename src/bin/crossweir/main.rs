//! The command-line tool: parses flags, calls the library, prints.

mod flags;

use std::path::Path;
use std::process::ExitCode;

use crossweir::cli::{self, CliError, Endpoint, Exit, call, show};
use crossweir::http::parse;
use crossweir::policy::{Bundle, Program};
use crossweir::{config, http};
use flags::CrossweirCmd;
use serde::Serialize;

/// The address that is called unless another is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8080";

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

async fn run(flags: flags::Crossweir) -> Result<String, CliError> {
    let address = flags.address.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let endpoint = Endpoint::new(address, flags.token_file.as_deref())?;
    let json = flags.json;
    match flags.subcommand {
        CrossweirCmd::Submit(cmd) => {
            let accepted = endpoint.submit(call::read_text(&cmd.file)?).await?;
            Ok(choose(json, &accepted, |accepted| {
                format!("accepted as {}", accepted.job)
            }))
        }
        CrossweirCmd::Job(cmd) => Ok(choose(json, &endpoint.job(&cmd.id).await?, show::job)),
        CrossweirCmd::Explain(cmd) => {
            Ok(choose(json, &endpoint.job(&cmd.id).await?, show::explain))
        }
        CrossweirCmd::Cancel(cmd) => {
            let cancelled = endpoint.cancel(&cmd.id).await?;
            Ok(choose(json, &cancelled, |cancelled| {
                format!("cancelling {}", cancelled.job)
            }))
        }
        CrossweirCmd::Request(cmd) => request(&endpoint, cmd).await,
        CrossweirCmd::Status(_) => Ok(choose(json, &endpoint.status().await?, show::status)),
        CrossweirCmd::Configuration(_) => Ok(pretty(&endpoint.configuration().await?)),
        CrossweirCmd::Configure(cmd) => configure(&endpoint, cmd).await,
        CrossweirCmd::Check(cmd) => check_settings(&cmd.file),
        CrossweirCmd::CheckPolicy(cmd) => check_policy(&cmd.file),
        CrossweirCmd::Drain(_) => {
            endpoint.drain().await?;
            Ok(String::from("draining; watch it with `crossweir status`"))
        }
        CrossweirCmd::Diagnose(_) => Ok(cli::diagnose::report(&endpoint).await),
        CrossweirCmd::Reference(cmd) => Ok(match cmd.what.as_str() {
            "settings" => config::reference(),
            _ => show::refusals(),
        }),
    }
}

async fn request(endpoint: &Endpoint, cmd: flags::Request) -> Result<String, CliError> {
    let mut headers: Vec<(&'static str, String)> = Vec::new();
    headers.extend(
        cmd.deadline_ms
            .map(|millis| (parse::DEADLINE_HEADER, millis.to_string())),
    );
    if let Some(key) = cmd.once {
        headers.push((parse::KEY_HEADER, key));
        headers.push((parse::REPEATABLE_HEADER, String::from("no")));
    }
    let further = [
        (parse::CLASS_HEADER, cmd.class),
        (parse::TEAM_HEADER, cmd.team),
        (parse::ORDER_KEY_HEADER, cmd.stream),
        (
            parse::ORDER_SEQUENCE_HEADER,
            cmd.place.map(|place| place.to_string()),
        ),
    ];
    for (name, value) in further {
        headers.extend(value.map(|value| (name, value)));
    }
    let path = cmd.path.unwrap_or_default();
    let answer: http::client::Answer = endpoint
        .request(&cmd.service, &path, &headers, cmd.body.into_bytes())
        .await?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

async fn configure(endpoint: &Endpoint, cmd: flags::Configure) -> Result<String, CliError> {
    let text = call::read_text(&cmd.file)?;
    let bundle: Bundle = serde_json::from_str(&text).map_err(|err| content(&cmd.file, &err))?;
    let changed = endpoint
        .configure(bundle, cmd.expected, cmd.note.unwrap_or_default())
        .await?;
    Ok(format!("version {} is in force", changed.version))
}

fn check_settings(file: &Path) -> Result<String, CliError> {
    config::Config::load(file).map_err(|err| content(file, &err))?;
    Ok(format!("{}: no faults", file.display()))
}

fn check_policy(file: &Path) -> Result<String, CliError> {
    let source = call::read_text(file)?;
    Program::checked(&source).map_err(|err| content(file, &err))?;
    Ok(format!("{}: no faults", file.display()))
}

fn content(file: &Path, err: &dyn std::fmt::Display) -> CliError {
    CliError::Content {
        path: file.to_owned(),
        detail: err.to_string(),
    }
}

fn choose<T: Serialize>(json: bool, value: &T, table: impl Fn(&T) -> String) -> String {
    if json { pretty(value) } else { table(value) }
}

fn pretty<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
