//! Serving HTTP until the process ends.

use std::convert::Infallible;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::error::{Error, Result};

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
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(Error::HttpServer)
}

fn never() -> BoxFuture<'static, ()> {
    std::future::pending().boxed()
}
