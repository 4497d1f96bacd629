//! The daemon: reads settings, runs one instance.

mod flags;
mod node;

use std::process::ExitCode;

use anyhow::Context;
use crossweir::config::Config;
use crossweir::daemon::process;
use crossweir::{embedded, log};

fn main() -> ExitCode {
    let flags = flags::Crossweird::from_env_or_exit();
    match run(&flags) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("crossweird: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Ends the process on any panic: an instance without one of its loops would go on
/// holding shards, while one that is gone is replaced within seconds.
pub(crate) fn end_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        tracing::error!(%info, "panic");
        std::process::abort();
    }));
}

fn run(flags: &flags::Crossweird) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    if flags.embedded {
        let well = runtime.block_on(embedded::demonstrate(|line| println!("{line}")))?;
        return Ok(if well {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    if flags.node {
        return node::run(&runtime, flags);
    }
    let Some(path) = &flags.settings else {
        anyhow::bail!("no settings: give --settings FILE, or --embedded for a demonstration");
    };
    let cfg = Config::load(path)?;
    if flags.check {
        println!("{}: no faults", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    log::init(&cfg.log);
    end_on_panic();
    runtime.block_on(process::run(cfg))?;
    Ok(ExitCode::SUCCESS)
}
