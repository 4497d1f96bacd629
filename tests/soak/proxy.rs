//! A TCP proxy on loopback that disturbs what it carries.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::plan::LinkFault;

const BUFFER_BYTES: usize = 64 * 1024;

/// What the tasks of a proxy follow.
#[derive(Clone, Copy)]
struct State {
    /// Where new connections lead; without it they are closed.
    server: Option<SocketAddr>,
    fault: LinkFault,
    /// How often the connections were reset.
    resets: u64,
}

/// A proxy; it listens for as long as the runtime runs.
pub struct Proxy {
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    pub async fn start(server: Option<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = watch::Sender::new(State {
            server,
            fault: LinkFault::None,
            resets: 0,
        });
        let changes = state.subscribe();
        tokio::spawn(async move {
            loop {
                if let Ok((client, _)) = listener.accept().await {
                    tokio::spawn(carry(client, changes.clone()));
                }
            }
        });
        Self { address, state }
    }

    pub fn lead_to(&self, server: SocketAddr) {
        self.state.send_modify(|state| state.server = Some(server));
    }

    /// Disturbs the connections in this way from now on.
    pub fn disturb(&self, fault: LinkFault) {
        self.state.send_modify(|state| match fault {
            LinkFault::Reset => state.resets += 1,
            fault => state.fault = fault,
        });
    }
}

/// Carries one connection until both directions have ended or it is reset.
async fn carry(client: TcpStream, mut changes: watch::Receiver<State>) {
    let resets = changes.borrow().resets;
    // The connection waits in place of its data.
    let opened = changes.wait_for(|state| state.fault != LinkFault::Silent);
    let Some(server) = opened.await.ok().and_then(|state| state.server) else {
        return;
    };
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    // Disturbances are the only delays that the proxy adds.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let both = async {
        tokio::join!(
            pump(
                &mut from_client,
                &mut to_server,
                &[LinkFault::Silent, LinkFault::HoldRequests],
                changes.clone()
            ),
            pump(
                &mut from_server,
                &mut to_client,
                &[LinkFault::Silent, LinkFault::HoldReplies],
                changes.clone()
            ),
        )
    };
    let mut watched = changes.clone();
    let was_reset = tokio::select! {
        _ = both => false,
        _ = watched.wait_for(|state| state.resets != resets) => true,
    };
    if was_reset {
        for stream in [from_client.as_ref(), from_server.as_ref()] {
            // With a linger time of zero, closing sends RST.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Carries the data of one direction until it ends, and holds it back during the faults `holding`.
async fn pump(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    holding: &[LinkFault],
    mut changes: watch::Receiver<State>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let bytes = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(bytes) => bytes,
        };
        let fault = match changes
            .wait_for(|state| !holding.contains(&state.fault))
            .await
        {
            Ok(state) => state.fault,
            Err(_) => break,
        };
        if let LinkFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..bytes]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
