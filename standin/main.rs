//! One small program that plays the platform, the workers and the targets, with
//! faults on request.  It serves tests and trials on one machine only.

mod control;
mod service;
mod targets;
mod world;

use std::net::SocketAddr;
use std::sync::Arc;

use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;

xflags::xflags! {
    /// Plays the platform, the workers and the targets.
    cmd standin {
        /// Where to listen; port 0 lets the kernel choose.
        optional --listen address: SocketAddr
        /// The halls, separated by commas.
        optional --halls names: String
        /// How many workers each hall has.
        optional --workers count: usize
        /// How many workers stand in a rack.
        optional --per-rack count: usize
        /// The cores of each worker.
        optional --cores count: u64
        /// The memory of each worker, in GiB.
        optional --memory-gib count: u64
        /// How many targets of the service `echo` each hall has.
        optional --targets count: usize
        /// How long a target takes for a request, in milliseconds.
        optional --service-ms millis: u64
    }
}

fn main() -> anyhow::Result<()> {
    let flags = Standin::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(flags))
}

async fn run(flags: Standin) -> anyhow::Result<()> {
    let listen = flags
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = tokio::net::TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let size = world::Size {
        halls: flags
            .halls
            .unwrap_or_else(|| String::from("hall-a"))
            .split(',')
            .map(str::to_owned)
            .collect(),
        workers: flags.workers.unwrap_or(8),
        per_rack: flags.per_rack.unwrap_or(8),
        cores: flags.cores.unwrap_or(16),
        memory_gib: flags.memory_gib.unwrap_or(32),
        targets: flags.targets.unwrap_or(2),
        service_ms: flags.service_ms.unwrap_or(5),
    };
    let world = Arc::new(world::World::new(&size, address));
    println!("{{\"address\":\"{address}\"}}");
    let served = Server::new(service::StandinService { world })
        .run(DefaultIncoming::from(listener))
        .await;
    served.map_err(|err| anyhow::anyhow!("the stand-in ended: {err}"))
}
