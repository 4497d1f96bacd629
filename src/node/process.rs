//! Putting a node together and running it to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::signal::unix;

use crate::clock::SystemClock;
use crate::error::{Error, Result};
use crate::metrics::Metrics;
use crate::node::front::Frontend;
use crate::node::load::{self, Load};
use crate::node::settings::Settings;
use crate::node::shared::{Identity, Links, Shared};
use crate::node::{configuration, election};
use crate::rpc::node as rpc;

/// After the order to end, callers are served so long: the balancer needs two
/// questions of a second each to notice.
pub const DRAIN_TIME: Duration = Duration::from_millis(2_300);

/// How often a leaving node looks whether its last request is answered.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the last requests may take: the platform ends a process after 6 s.
const LAST_REQUESTS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A node that runs.
pub struct Node {
    /// What callers and other nodes see.
    pub front: Arc<Frontend>,
    /// Carries calls to other nodes; must run inside a `LocalSet`.
    pub driver: rpc::RpcNodeDriver,
}

impl Node {
    /// Makes a node that other nodes reach at `address`; `links` is told the way to them.
    ///
    /// # Errors
    /// Fails if a collector of metrics cannot be registered.
    pub fn new(
        settings: &Settings,
        address: SocketAddr,
        links: impl FnOnce(Arc<dyn rpc::NodeLink>) -> Links,
    ) -> Result<Self> {
        let (link, driver) = rpc::link();
        let boot = StdRng::from_os_rng().random();
        let shared = Shared::new(
            Identity {
                name: settings.name.clone(),
                boot,
                address,
            },
            settings.seeds.clone(),
            Arc::new(SystemClock::new()),
            Load::new(settings.millicores),
            Metrics::new()?,
            links(Arc::new(link)),
        );
        Ok(Self {
            front: Arc::new(Frontend::new(shared)),
            driver,
        })
    }

    /// Serves other nodes at `peers`, follows the configuration and takes part in ownership.
    pub fn start(self, peers: TcpListener) -> Arc<Frontend> {
        let shared = &self.front.shared;
        tokio::task::spawn_local(self.driver.run());
        tokio::task::spawn_local(rpc::serve(peers, self.front.clone()));
        tokio::spawn(Arc::clone(shared).probe_store());
        tokio::spawn(load::watch(Arc::clone(shared)));
        tokio::spawn(election::register(Arc::clone(shared)));
        tokio::spawn(configuration::follow(Arc::clone(shared)));
        tokio::spawn(configuration::follow_members(Arc::clone(shared)));
        tokio::spawn(election::run(Arc::clone(shared)));
        self.front
    }
}

/// Waits for the order to end, then hands the cell over and goes on serving until
/// new callers go elsewhere and the last request is answered.
///
/// # Errors
/// Fails if signals cannot be listened for.
pub async fn run_until_terminated(front: &Frontend, reload: impl Fn()) -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(),
        }
    }
    tracing::info!("node is told to end");
    front.shared.set_leaving();
    tokio::join!(
        election::hand_over(&front.shared),
        tokio::time::sleep(DRAIN_TIME)
    );
    let idle = async {
        while !front.is_idle() {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    let finished = tokio::time::timeout(LAST_REQUESTS_TIMEOUT, idle)
        .await
        .is_ok();
    tracing::info!(finished, "node ends");
    Ok(())
}

/// Binds an address and tells the one in use, which differs if any port would do.
///
/// # Errors
/// Names the address that cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
