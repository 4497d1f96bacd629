//! Creates a node, and runs it until the process is told to terminate.

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
use crate::traffic::{Party, Traffic};

/// How long callers are still served after the signal to terminate: the load balancer needs two
/// health checks, of a second each, to notice.
pub const DRAIN_TIME: Duration = Duration::from_millis(2_300);

/// How often a node that shuts down checks whether its last request is answered.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for the last requests: the platform kills a process after 6 s.
const LAST_REQUESTS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A node of the cell.
pub struct Node {
    /// Serves callers and other nodes.
    pub front: Arc<Frontend>,
    /// Carries calls to other nodes; must run inside a `LocalSet`.
    pub driver: rpc::RpcNodeDriver,
}

impl Node {
    /// Creates a node that other nodes reach at `address`.  `links` gets the link that carries
    /// calls to the other nodes and the counters of traffic, and returns the links that the node
    /// uses.
    ///
    /// # Errors
    /// Fails if a metrics collector cannot be registered.
    pub fn new(
        settings: &Settings,
        address: SocketAddr,
        links: impl FnOnce(Arc<dyn rpc::NodeLink>, &Traffic) -> Links,
    ) -> Result<Self> {
        let metrics = Metrics::new()?;
        let traffic = metrics.traffic().clone();
        let (link, driver) = rpc::link(Arc::clone(traffic.counter(Party::Nodes)));
        let boot = StdRng::from_os_rng().random();
        let shared = Shared::new(
            Identity {
                name: settings.name.clone(),
                boot,
                address,
            },
            settings.seeds.clone(),
            Arc::new(SystemClock::new()),
            Load::new(settings.millicores).with_link(settings.link),
            metrics,
            links(Arc::new(link), &traffic),
            settings.scheduling,
        );
        Ok(Self {
            front: Arc::new(Frontend::new(shared)),
            driver,
        })
    }

    /// Starts the node's tasks: serves other nodes at `peers`, follows the configuration, and takes
    /// part in the election of the owner.
    pub fn start(self, peers: TcpListener) -> Arc<Frontend> {
        let shared = &self.front.shared;
        tokio::task::spawn_local(self.driver.run());
        tokio::task::spawn_local(rpc::serve(
            peers,
            self.front.clone(),
            Arc::clone(shared.metrics.traffic().counter(Party::Nodes)),
        ));
        tokio::spawn(Arc::clone(shared).probe_store());
        tokio::spawn(load::watch(Arc::clone(shared)));
        tokio::spawn(election::register(Arc::clone(shared)));
        tokio::spawn(configuration::follow(Arc::clone(shared)));
        tokio::spawn(configuration::follow_members(Arc::clone(shared)));
        tokio::spawn(election::run(Arc::clone(shared)));
        self.front
    }
}

/// Waits for `SIGTERM`, then gives the cell up if this node owns it, and goes on serving until new
/// callers go to other nodes and the last request is answered.  Calls `reload` for each `SIGHUP`.
///
/// # Errors
/// Fails if the signal handlers cannot be installed.
pub async fn run_until_terminated(front: &Frontend, reload: impl Fn()) -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(),
        }
    }
    tracing::info!("node is shutting down");
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
    tracing::info!(finished, "node has shut down");
    Ok(())
}

/// Binds an address, and returns the listener with the address in use, which has another port if
/// port 0 (any free one) was given.
///
/// # Errors
/// Returns [`Error::Listen`] with the address if that cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
