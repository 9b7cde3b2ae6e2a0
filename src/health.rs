//! Health and metrics endpoints for the platform's load balancer and monitoring: `/healthz`,
//! `/readyz` and `/metrics`.

use crate::metric;
use oxhttp::{
    Server,
    model::{Body, Request, Response, StatusCode},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Time limit for receiving a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 64;

/// Readiness of the router, as reported by `/readyz`.
pub trait Readiness: Send + Sync {
    /// Returns why the router is not ready, or `None` if it is.
    fn unready_reason(&self) -> Option<Box<str>>;
}

/// Serves the endpoints until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(address: SocketAddr, readiness: Arc<dyn Readiness>) -> io::Result<()> {
    let server = Server::new(move |request| respond(request, &*readiness))
        .with_global_timeout(REQUEST_TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .bind(address);
    server.spawn().map(drop)
}

fn respond(request: &mut Request<Body>, readiness: &dyn Readiness) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "alive\n"),
        "/readyz" => match readiness.unready_reason() {
            None => text(StatusCode::OK, "ready\n"),
            Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/metrics" => text(StatusCode::OK, metric::page()),
        _ => text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    response
}
