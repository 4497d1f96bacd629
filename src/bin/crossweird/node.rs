//! Runs a node on the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use crossweir::http::api::Api;
use crossweir::http::client::{HttpClient, Limits};
use crossweir::http::connections::{Closed, Connections};
use crossweir::http::operator::OperatorToken;
use crossweir::http::server;
use crossweir::log;
use crossweir::node::front::Frontend;
use crossweir::node::process::{self, Node};
use crossweir::node::settings::Settings;
use crossweir::node::shared::Links;
use crossweir::platform::advice::PlatformAdvisor;
use crossweir::platform::decode::PlatformDecoder;
use crossweir::platform::ingress;
use crossweir::platform::store::PlatformStore;
use crossweir::platform::workers::PlatformWorkers;
use crossweir::rpc::node::NodeLink;
use crossweir::traffic::{Party, Traffic};
use tokio::runtime::Runtime;
use tokio::task::{self, LocalSet};

use crate::flags::Crossweird;

/// The environment variable that names the settings file if the command line does not.
const SETTINGS_VARIABLE: &str = "CROSSWEIR_CONFIG";

/// Runs a node until the process is told to terminate; with `--check`, only checks the settings.
pub fn run(runtime: &Runtime, flags: &Crossweird) -> anyhow::Result<ExitCode> {
    let path = settings_path(flags)?;
    let settings = Settings::load(&path)?;
    if flags.check {
        println!("{}: no faults", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let _guard = log::init_stdout(&settings.log);
    abort_on_panic();
    tracing::info!(node = settings.name, hall = settings.hall, "node starts");
    LocalSet::new().block_on(runtime, serve(settings, path))?;
    Ok(ExitCode::SUCCESS)
}

/// Makes any panic abort the process.  A node that has lost one of its loops would still own the
/// cell, while one whose process has ended is replaced within a second.
fn abort_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        tracing::error!(%info, "panic");
        std::process::abort();
    }));
}

fn settings_path(flags: &Crossweird) -> anyhow::Result<PathBuf> {
    match &flags.settings {
        Some(path) => Ok(path.clone()),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .with_context(|| {
                format!("no settings: give --settings FILE or set {SETTINGS_VARIABLE}")
            }),
    }
}

async fn serve(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let (callers, callers_at) = process::bind(settings.callers).await?;
    let (ready, ready_at) = process::bind(settings.ready).await?;
    let (metrics, metrics_at) = process::bind(settings.metrics).await?;
    let (peers, peers_at) = process::bind(settings.peers).await?;
    let api_listener = match settings.api {
        Some(address) => Some(process::bind(address).await?),
        None => None,
    };
    let token = OperatorToken::load(settings.token_file.as_deref())?;
    let api = api_listener
        .as_ref()
        .map(|(_, address)| address.to_string());
    tracing::info!(callers = %callers_at, ready = %ready_at, peers = %peers_at, metrics = %metrics_at, api, "node listens");
    let reached_at = settings.advertise.unwrap_or(peers_at);
    let node = Node::new(&settings, reached_at, |peers, traffic| {
        links(&settings, peers, traffic)
    })?;
    let front = node.start(peers);
    let connections = connections(&settings, &front);
    let serving = ingress::serve(callers, Arc::clone(&front), Arc::clone(&connections));
    spawn_server(serving);
    spawn_server(ingress::serve_status(ready, Arc::clone(&front)));
    spawn_server(ingress::serve_status(metrics, Arc::clone(&front)));
    if let Some((listener, _)) = api_listener {
        let api = Api::new(Arc::clone(&front), token);
        spawn_server(server::serve_within(listener, api, connections));
    }
    process::run_until_terminated(&front, || reload(&settings, &path)).await?;
    Ok(())
}

/// Creates the list of callers' connections, at whichever of the interfaces.
fn connections(settings: &Settings, front: &Frontend) -> Arc<Connections> {
    let shared = Arc::clone(&front.shared);
    Connections::new(settings.caller_limits(), move |closed| match closed {
        Closed::ForRoom => shared.metrics.event("caller_closed_for_room"),
        Closed::Stalled => shared.metrics.event("caller_stalled"),
    })
}

/// Spawns a server.  If it ends by itself, the node lacks an interface, so a panic aborts the
/// process.
fn spawn_server(server: impl Future<Output = ()> + Send + 'static) {
    task::spawn(async {
        server.await;
        panic!("a server of the node has ended");
    });
}

fn links(settings: &Settings, peers: Arc<dyn NodeLink>, traffic: &Traffic) -> Links {
    let platform = Arc::clone(traffic.counter(Party::Platform));
    let client = HttpClient::counted(Limits::default(), platform);
    Links {
        store: Arc::new(PlatformStore::new(client.clone(), settings.store)),
        workers: Arc::new(PlatformWorkers::new(
            settings.worker_connections(),
            Arc::clone(traffic.counter(Party::Workers)),
        )),
        advisor: settings
            .advice
            .map(|address| Arc::new(PlatformAdvisor::new(client, address)) as _),
        decoder: Arc::new(PlatformDecoder),
        peers,
    }
}

/// Reads the settings again.  Bound addresses cannot change while the process runs, so a change is
/// only logged.
fn reload(settings: &Settings, path: &Path) {
    match Settings::load(path) {
        Ok(read) if read == *settings => tracing::info!("settings read again, unchanged"),
        Ok(read) => tracing::warn!(
            ?read,
            "settings changed; they take effect at the next start"
        ),
        Err(err) => {
            tracing::error!(%err, "settings cannot be read; the previous ones stay in force")
        }
    }
}
