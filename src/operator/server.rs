//! HTTP server of the operator API.
//!
//! Responses are small and not streamed, which oxhttp serves well. oxhttp can't stop listening, so the server runs
//! until the process ends.

use super::Source;
use crate::{config::Digest, partition};
use oxhttp::{
    ListeningServer,
    model::{Body, Method, Request, Response, StatusCode, header},
};
use std::{
    io::{self, Read},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use subtle::ConstantTimeEq as _;

/// Maximum number of concurrent connections; each takes a thread, and operators and their scripts need few.
const MAX_CONNECTIONS: usize = 16;
/// Timeout of each read and write on a connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Running server of the operator API.
pub struct Server {
    address: SocketAddr,
    // Keeps the handles of the listening threads as long as the server exists.
    _listening: ListeningServer,
}

impl Server {
    /// Starts the server; `key` is the SHA-256 digest of the bearer token that clients must send.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr, key: Digest, source: Arc<dyn Source>) -> io::Result<Self> {
        let answer = move |request: &mut Request<Body>| {
            if !is_authorized(request, &key) {
                return refuse(StatusCode::UNAUTHORIZED, "missing or wrong operator key");
            }
            answer(request, source.as_ref())
        };
        let server = oxhttp::Server::new(answer)
            .with_global_timeout(TIMEOUT)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .bind(address);
        Ok(Self {
            address,
            _listening: server.spawn()?,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Compares digests in constant time, so that the time reveals nothing about the key.
fn is_authorized(request: &Request<Body>, key: &Digest) -> bool {
    let value = request.headers().get(header::AUTHORIZATION);
    let text = value.and_then(|value| value.to_str().ok());
    let shown = text.and_then(|text| text.strip_prefix("Bearer "));
    shown.is_some_and(|shown| Digest::of(shown.as_bytes()).0.ct_eq(&key.0).into())
}

fn answer(request: &mut Request<Body>, source: &dyn Source) -> Response<Body> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (&method, &*path) {
        (&Method::GET, "/status") => json(StatusCode::OK, &source.status()),
        (&Method::GET, "/routers") => json(StatusCode::OK, &source.routers()),
        (&Method::GET, "/workspaces") => json(StatusCode::OK, &source.workspaces()),
        (&Method::GET, "/targets") => json(StatusCode::OK, &source.targets()),
        (&Method::POST, "/drain") => {
            source.drain();
            json(StatusCode::ACCEPTED, &source.status())
        }
        (&Method::PUT, "/cuts") => set_partitions(request, source),
        (&Method::GET, _) => match path.strip_prefix("/requests/") {
            Some(id) => find_request(id, source),
            None => refuse(StatusCode::NOT_FOUND, "no such path"),
        },
        _ => refuse(
            StatusCode::METHOD_NOT_ALLOWED,
            "the path does not allow this method",
        ),
    }
}

/// Replaces the simulated partitions between this router and its peers, in fault-injection tests.
fn set_partitions(request: &mut Request<Body>, source: &dyn Source) -> Response<Body> {
    let Some(filter) = source.partition_filter() else {
        return refuse(
            StatusCode::FORBIDDEN,
            "fault injection is not enabled on this router",
        );
    };
    let mut text = String::new();
    let read = request
        .body_mut()
        .take(MAX_PARTITIONS_BYTES)
        .read_to_string(&mut text);
    let partitions = read
        .ok()
        .and_then(|_| serde_json::from_str::<Vec<Partition>>(&text).ok());
    let Some(partitions) = partitions else {
        return refuse(StatusCode::BAD_REQUEST, "the body is not a list of cuts");
    };
    filter.unblock_all();
    for partition in partitions {
        filter.block(partition.address, partition.way);
    }
    json(StatusCode::OK, &serde_json::json!({}))
}

/// Simulated partition between this router and a peer.
#[derive(serde::Deserialize)]
struct Partition {
    address: SocketAddr,
    way: partition::Direction,
}

/// Largest body of a list of partitions, in bytes; a thousand peers fit.
const MAX_PARTITIONS_BYTES: u64 = 1 << 16;

fn find_request(id: &str, source: &dyn Source) -> Response<Body> {
    match source.request(id) {
        Some(request) => json(StatusCode::OK, &request),
        None => refuse(
            StatusCode::NOT_FOUND,
            "this router knows no request with this identifier",
        ),
    }
}

fn refuse(status: StatusCode, error: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": error }))
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
