//! Putting one instance together and running it to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpListener;
use tokio::task::{self, LocalSet};

use crate::backend::Platform;
use crate::backend::remote::{RemotePlatform, RemoteVms};
use crate::clock::{Clock, Millis, SystemClock};
use crate::config::Config;
use crate::daemon::Instance;
use crate::error::{Error, Result};
use crate::http::api::Api;
use crate::http::operator::OperatorToken;
use crate::http::server;
use crate::metrics::Metrics;
use crate::rpc;

/// How often a leaving instance looks whether it may go.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// How long a leaving instance waits for the store before it goes without.
const DRAIN_LIMIT: Millis = 30_000;

/// Runs an instance against a platform over HTTP until it is told to end.
///
/// # Errors
/// Fails if an address cannot be bound or the token file cannot be read.
pub async fn run(cfg: Config) -> Result<()> {
    let metrics = Metrics::new()?;
    let timeout = Duration::from_millis(cfg.number("platform", "timeout_ms"));
    let remote = Arc::new(RemotePlatform::new(
        cfg.platform_url.clone(),
        timeout,
        metrics.clone(),
    ));
    let vms = Arc::new(RemoteVms::default());
    let platform = Platform {
        store: remote.clone(),
        vms: remote,
        workers: vms.clone(),
        targets: vms,
    };
    run_on(cfg, platform, metrics, Arc::new(SystemClock::new())).await
}

/// Runs an instance on the given platform until it is told to end.
///
/// # Errors
/// As [`run`].
pub async fn run_on(
    mut cfg: Config,
    platform: Platform,
    metrics: Metrics,
    clock: Arc<dyn Clock>,
) -> Result<()> {
    let token = load_token(&cfg)?;
    let http = bind(cfg.http).await?;
    let peers = bind(cfg.rpc).await?;
    cfg.http = local_addr(&http, cfg.http)?;
    cfg.rpc = local_addr(&peers, cfg.rpc)?;
    let incarnation = StdRng::from_os_rng().random();
    let (link, driver) = rpc::client::link();
    let instance = Instance::new(cfg, clock, platform, Arc::new(link), metrics, incarnation);
    LocalSet::new()
        .run_until(serve(instance, http, peers, driver, token))
        .await
}

async fn serve(
    instance: Arc<Instance>,
    http: TcpListener,
    peers: TcpListener,
    driver: rpc::client::RpcDriver,
    token: OperatorToken,
) -> Result<()> {
    task::spawn_local(driver.run());
    task::spawn_local(rpc::server::serve(peers, instance.clone()));
    instance.start();
    tracing::info!(
        name = instance.cfg.name,
        http = %instance.cfg.http,
        rpc = %instance.cfg.rpc,
        incarnation = instance.incarnation,
        "listening"
    );
    let leaving = instance.clone();
    let api = Arc::new(Api::new(instance, token));
    server::serve(http, api, move || drain(leaving).boxed()).await
}

/// Leaves: hands over every shard and finishes every request in progress.
///
/// If the store stays away, the shards that could not be handed over are named
/// in the log and left to whoever claims them.
pub async fn drain(instance: Arc<Instance>) {
    instance.begin_drain();
    let give_up_at = instance.now() + DRAIN_LIMIT;
    loop {
        let left = instance.unreleased_shards();
        if left.is_empty() && instance.in_progress() == 0 {
            tracing::info!("drained");
            return;
        }
        if instance.now() >= give_up_at {
            tracing::warn!(
                ?left,
                in_progress = instance.in_progress(),
                "leaving without handing over"
            );
            return;
        }
        tokio::time::sleep(DRAIN_LOOK).await;
    }
}

fn load_token(cfg: &Config) -> Result<OperatorToken> {
    OperatorToken::load(cfg.operator_token_file.as_deref()).map_err(|source| Error::SettingsFile {
        path: cfg.operator_token_file.clone().unwrap_or_default(),
        source,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

fn local_addr(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|source| Error::Listen { address, source })
}
