//! The HTTP server.

use std::convert::Infallible;
use std::io;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::http::{HeaderMap, header};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::error::{Error, Result};
use crate::keep_alive;
use crate::queue::Configuration;
use crate::workspace::{Caller, KeyError};

/// The largest number of headers that a request may have.
const MAX_HEADERS: usize = 64;

/// Serves HTTP until the task is dropped.
///
/// The server of `volo_http` would shut down on any signal, also on one that only asks the process
/// to read its settings again.  It is therefore given a shutdown hook that never completes, and the
/// process itself decides when to end.
///
/// # Errors
/// Fails if the server stops by itself.
pub async fn serve<S>(listener: TcpListener, service: S) -> Result<()>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let mut server = Server::new(service).register_shutdown_hook(never);
    server.http1_config().set_max_headers(MAX_HEADERS);
    server
        .run(TimeoutListener(listener))
        .await
        .map_err(Error::HttpServer)
}

/// Identifies the caller by the `Authorization` header of a request.  Several such headers count as
/// none, since they may name different workspaces.
///
/// # Errors
/// Fails if the caller needs a key and has sent none, or none that is known.
pub fn identify_caller(
    config: &Configuration,
    is_public: bool,
    headers: &HeaderMap,
) -> std::result::Result<Caller, KeyError> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let key_header = match (values.next(), values.next()) {
        (Some(value), None) => Some(value.as_bytes()),
        _ => None,
    };
    config.identify_caller(is_public, key_header)
}

/// A listener that sets time-outs on the connections it accepts, so that the kernel closes those
/// whose caller has gone silent.  Otherwise each would hold memory and a descriptor for ever.
#[derive(Debug)]
struct TimeoutListener(TcpListener);

impl MakeIncoming for TimeoutListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for TimeoutListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let (stream, _) = self.0.accept().await?;
        if let Err(err) = keep_alive::set_caller_timeouts(&stream) {
            tracing::debug!(%err, "cannot set keep-alive; a silent caller is not noticed");
        }
        Ok(Some(Conn::from(stream)))
    }
}

fn never() -> BoxFuture<'static, ()> {
    std::future::pending().boxed()
}
