//! Serving callers and operators.

use std::convert::Infallible;
use std::sync::Arc;

use futures::future::BoxFuture;
use volo::net::incoming::DefaultIncoming;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::error::{Error, Result};
use crate::http::api::Api;

/// The most headers that a request may have.
const MAX_HEADERS: usize = 64;

/// The border as a service of the HTTP library.
#[derive(Clone)]
struct ApiService {
    api: Arc<Api>,
}

impl Service<ServerContext, Request> for ApiService {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.api.answer(req).await)
    }
}

/// Serves until the process is told to end; `before_end` runs then, before connections close.
///
/// # Errors
/// Fails if the server ends early.
pub async fn serve<F>(listener: tokio::net::TcpListener, api: Arc<Api>, before_end: F) -> Result<()>
where
    F: FnOnce() -> BoxFuture<'static, ()> + Send + 'static,
{
    let mut server = Server::new(ApiService { api }).register_shutdown_hook(before_end);
    server.http1_config().set_max_headers(MAX_HEADERS);
    server
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(Error::HttpServer)
}
