//! Serving HTTP until the process ends.

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

/// The most headers that a request may have.
const MAX_HEADERS: usize = 64;

/// Serves for as long as the task lives.
///
/// The library's server would end on any signal, also on those that only ask to
/// read the settings again, so its end is held back for good; the process itself
/// decides when it is over.
///
/// # Errors
/// Fails if the server ends by itself.
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
        .run(Watched(listener))
        .await
        .map_err(Error::HttpServer)
}

/// Tells who calls by the headers of a request.  A caller that brings several keys brings none: they
/// would not tell whose call it is.
///
/// # Errors
/// Fails if the caller needs a key and has none that is known.
pub fn identify_caller(
    config: &Configuration,
    is_public: bool,
    headers: &HeaderMap,
) -> std::result::Result<Caller, KeyError> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let only = match (values.next(), values.next()) {
        (Some(value), None) => Some(value.as_bytes()),
        _ => None,
    };
    config.identify_caller(is_public, only)
}

/// Accepts connections and has those ended whose caller has gone silent: each would hold
/// its memory and a descriptor for ever.
#[derive(Debug)]
struct Watched(TcpListener);

impl MakeIncoming for Watched {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Watched {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let (stream, _) = self.0.accept().await?;
        if let Err(err) = keep_alive::set_caller_timeouts(&stream) {
            tracing::debug!(%err, "a caller that goes silent is not noticed");
        }
        Ok(Some(Conn::from(stream)))
    }
}

fn never() -> BoxFuture<'static, ()> {
    std::future::pending().boxed()
}
