//! Connection pool for targets.

use super::{monitor::Monitor, sending::Sending, upload::Upload, wire::Wire};
use crate::{
    clock, memory,
    unit::{Span, Time},
};
use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1},
};
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::TcpStream, task::AbortHandle};

/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// Keep-alive timeout of targets that do not declare one.
const DEFAULT_KEEP_ALIVE: Span = Span::from_secs(30);
/// Percentage of a target's keep-alive timeout during which an idle connection is reused: the
/// target's timer started earlier, and a request takes time to arrive.
const KEEP_ALIVE_PERCENT: u64 = 80;
/// Timeout of connecting to a target; far above any round-trip time between a router and a target,
/// and below the initial retransmission timeout of a SYN (usually 1 s).
const CONNECT_TIMEOUT: Span = Span::from_millis(900);

/// Maximum number of bytes that are read ahead from a connection, and thus the size of the head of a
/// response. A target may send a head without end on each of its connections.
const MAX_READ_BYTES: usize = 64 << 10;

/// Body of a request to a target: the router's own, or a caller's.
pub type Body = Either<Full<Bytes>, memory::Body>;

type Sender = http1::SendRequest<Upload>;

/// Pool of idle connections, by target address; clones share it.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// An idle connection.
struct Idle {
    sender: Sender,
    connection: Connection,
    since: Time,
    expires: Time,
}

/// Task that drives a connection; dropping this aborts the task and closes the connection.
struct Connection {
    task: AbortHandle,
    sending: Arc<Sending>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection in use; [`Lease::release`] returns it to the pool, and dropping it resets it: what has not been delivered
/// to the target by then is discarded.
pub struct Lease {
    sender: Sender,
    connection: Connection,
    address: SocketAddr,
    pool: Pool,
    reused: bool,
    monitor: Monitor,
}

impl Pool {
    /// Returns an idle connection if `reuse` is set and there is one, or opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened; no byte of a request has been sent.
    pub async fn lease(&self, address: SocketAddr, reuse: bool) -> io::Result<Lease> {
        let max_idle = reuse.then_some(Span(u64::MAX));
        self.lease_fresh(address, max_idle).await
    }

    /// Returns a connection that was idle for at most `max_idle`, or opens one; `None` always opens
    /// one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened; no byte of a request has been sent.
    pub async fn lease_fresh(
        &self,
        address: SocketAddr,
        max_idle: Option<Span>,
    ) -> io::Result<Lease> {
        let idle = max_idle.and_then(|max_idle| self.take(address, max_idle));
        let reused = idle.is_some();
        let (sender, connection) = match idle {
            Some(idle) => (idle.sender, idle.connection),
            None => connect(address).await?,
        };
        let monitor = Monitor::new(connection.sending.clone(), address, self.clone());
        Ok(Lease {
            sender,
            connection,
            address,
            pool: self.clone(),
            reused,
            monitor,
        })
    }

    /// Sends a request that may run twice and returns the response, whose body may have at most
    /// `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened, it fails, or the body is too large.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> io::Result<Response<Bytes>> {
        let host = header::HeaderValue::from_str(&address.to_string());
        request
            .headers_mut()
            .insert(header::HOST, host.map_err(io::Error::other)?);
        let mut lease = self.lease(address, true).await?;
        let response = lease.send(request.map(Either::Left)).await;
        let (head, body) = response.map_err(io::Error::other)?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        lease.release();
        Ok(Response::from_parts(head, body))
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(&address);
        }
    }

    /// Closes the connections to an address that have been idle since a time or longer.
    pub(super) fn close_idle_since(&self, address: SocketAddr, time: Time) {
        if let Ok(mut idle) = self.idle.lock()
            && let Some(connections) = idle.get_mut(&address)
        {
            connections.retain(|idle| idle.since > time);
        }
    }

    /// Closes idle connections that have expired or that the target closed.
    pub fn sweep(&self) {
        let now = clock::now();
        if let Ok(mut idle) = self.idle.lock() {
            for connections in idle.values_mut() {
                connections.retain(|idle| idle.expires > now && !idle.sender.is_closed());
            }
            idle.retain(|_, connections| !connections.is_empty());
        }
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        let idle = self.idle.lock();
        idle.map_or(0, |idle| idle.values().map(Vec::len).sum())
    }

    fn take(&self, address: SocketAddr, max_idle: Span) -> Option<Idle> {
        let now = clock::now();
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.sender.is_ready() && idle.expires > now && now.since(idle.since) <= max_idle {
                return Some(idle);
            }
        }
        None
    }
}

impl Lease {
    /// Reports whether the connection came from the pool.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn send(&mut self, request: Request<Body>) -> hyper::Result<Response<Incoming>> {
        let sent = self.try_send(request).await;
        sent.map_err(TrySendError::into_error)
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection does; the error holds the request if no byte of it was sent.
    pub fn try_send(
        &mut self,
        request: Request<Body>,
    ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<Upload>>>> + use<>
    {
        let sending = &self.connection.sending;
        sending.begin();
        self.monitor.begin();
        let request = request.map(|body| Upload::new(body, sending.clone()));
        self.sender.try_send_request(request)
    }

    /// Reports whether the target ended the connection before all of the request was sent.
    pub fn ended_unsent(&self) -> bool {
        self.connection.sending.ended_unsent()
    }

    /// Closes the connection; call it only after the response was read completely.
    pub fn close(self) {
        self.connection.sending.record_answered();
    }

    /// Returns the connection to the pool; call it only after the response was read completely.
    pub fn release(self) {
        self.release_for(DEFAULT_KEEP_ALIVE);
    }

    /// Returns the connection to the pool; `keep_alive` is the target's keep-alive timeout.
    pub fn release_for(self, keep_alive: Span) {
        self.connection.sending.record_answered();
        if self.sender.is_closed() {
            return;
        }
        let now = clock::now();
        let Ok(mut idle) = self.pool.idle.lock() else {
            return;
        };
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(Idle {
                sender: self.sender,
                connection: self.connection,
                since: now,
                expires: now + Span(keep_alive.0 * KEEP_ALIVE_PERCENT / 100),
            });
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<(Sender, Connection)> {
    let limit = Duration::from(CONNECT_TIMEOUT);
    let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_READ_BYTES);
    let sending = Arc::new(Sending::default());
    let wire = Wire::new(stream, sending.clone());
    let handshake = builder.handshake(TokioIo::new(wire)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(connection).abort_handle();
    Ok((sender, Connection { task, sending }))
}
