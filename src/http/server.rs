//! The HTTP server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use volo::net::Address;
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::http::{HeaderMap, HeaderValue, header};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::http::connections::{Connection, Connections, Limits, Watched};
use crate::keep_alive;
use crate::queue::Configuration;
use crate::workspace::{Caller, KeyError};

/// The largest number of headers that a request may have.
const MAX_HEADERS: usize = 64;
/// The most bytes that are read ahead on a connection, and so the most that a head may have.
const MAX_HEAD: usize = 16_384;
/// How often it is checked whether a request takes too long.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves HTTP within the default limits until the task is dropped.
pub async fn serve<S>(listener: TcpListener, service: S)
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let connections = Connections::new(Limits::default(), |_| ());
    serve_within(listener, service, connections).await;
}

/// Serves HTTP until the task is dropped; `connections` bounds what callers hold.
///
/// The server of `volo_http` is not used, since it hands connections to the HTTP library as they
/// are: neither what arrives on them could be counted nor could one of them be closed.
pub async fn serve_within<S>(listener: TcpListener, service: S, connections: Arc<Connections>)
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let service = Arc::new(service);
    let checking = check_times(&connections);
    tokio::pin!(checking);
    loop {
        let accepting = accept(&listener, &connections);
        let (stream, peer, connection) = tokio::select! {
            accepted = accepting => accepted,
            () = &mut checking => return,
        };
        let service = Arc::clone(&service);
        tokio::spawn(serve_connection(stream, peer, connection, service));
    }
}

async fn check_times(connections: &Connections) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        connections.check_times();
    }
}

/// Accepts a connection, and sets time-outs on it, so that the kernel closes it once its caller has
/// gone silent.
async fn accept(
    listener: &TcpListener,
    connections: &Arc<Connections>,
) -> (TcpStream, SocketAddr, Arc<Connection>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                set_options(&stream);
                return (stream, peer, connections.admit().await);
            }
            Err(err) => {
                tracing::warn!(%err, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn set_options(stream: &TcpStream) {
    if let Err(err) = keep_alive::set_caller_timeouts(stream) {
        tracing::debug!(%err, "cannot set keep-alive; a silent caller is not noticed");
    }
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(%err, "cannot set TCP_NODELAY; answers may be delayed");
    }
}

async fn serve_connection<S>(
    stream: TcpStream,
    peer: SocketAddr,
    connection: Arc<Connection>,
    service: Arc<S>,
) where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let answering = service_fn(|req: hyper::Request<hyper::body::Incoming>| {
        answer(&*service, peer, &connection, req.map(Body::from_incoming))
    });
    let stream = Watched {
        stream,
        connection: Arc::clone(&connection),
    };
    let serving = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), answering);
    tokio::select! {
        served = serving => {
            if let Err(err) = served {
                tracing::debug!(%err, %peer, "connection ended");
            }
        }
        () = connection.closed() => tracing::debug!(%peer, "connection closed"),
    }
}

async fn answer<S>(
    service: &S,
    peer: SocketAddr,
    connection: &Arc<Connection>,
    mut req: Request,
) -> Result<Response, Infallible>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>,
{
    req.extensions_mut().insert(connection.begin_answer());
    let mut cx = ServerContext::new(Address::from(peer));
    let mut response = service.call(&mut cx, req).await?;
    if !connection.end_answer() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
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
) -> Result<Caller, KeyError> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let key_header = match (values.next(), values.next()) {
        (Some(value), None) => Some(value.as_bytes()),
        _ => None,
    };
    config.identify_caller(is_public, key_header)
}
