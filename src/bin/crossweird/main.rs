//! The daemon: reads settings and runs one node.

mod flags;
mod node;

use std::process::ExitCode;

use anyhow::Context;
use crossweir::embedded;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// The most I/O events that the runtime takes from the operating system at a time.  It exceeds the
/// sockets of one process: an owner of 1,100 workers has some 3,600.
const MAX_IO_EVENTS: usize = 8_192;

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

fn run(flags: &flags::Crossweird) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_io_events_per_tick(MAX_IO_EVENTS)
        .build()
        .context("cannot start the runtime")?;
    if flags.embedded {
        return demonstrate(&runtime);
    }
    node::run(&runtime, flags)
}

fn demonstrate(runtime: &Runtime) -> anyhow::Result<ExitCode> {
    let demonstration = embedded::demonstrate(|line| println!("{line}"));
    let succeeded = LocalSet::new().block_on(runtime, demonstration)?;
    Ok(if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
