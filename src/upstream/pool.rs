//! Pool of connections to targets.

use crate::{
    clock,
    unit::{Span, Time},
};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::TcpStream, task::AbortHandle};

/// Idle connections kept for each target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// Time for which an idle connection is kept if its target names none.
const DEFAULT_KEEP: Span = Span::from_secs(30);
/// Part of the time named by a target for which a connection is used, in percent: the target counts
/// from an earlier moment, and a request needs time to arrive.
const KEEP_PERCENT: u64 = 80;
/// Time in which a connection has to be established; far above any round trip between a router and
/// a target, and below the time in which system libraries send their first packet again.
const CONNECT_TIMEOUT: Span = Span::from_millis(900);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle connections by target address.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// An idle connection.
struct Idle {
    sender: Sender,
    connection: Connection,
    since: Time,
    until: Time,
}

/// The task that drives a connection; it ends with this, which closes the connection at once.
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use; it returns to the pool by [`Lease::release`] and is closed otherwise.
pub struct Lease {
    /// Connection.
    pub sender: Sender,
    connection: Connection,
    address: SocketAddr,
    pool: Pool,
    reused: bool,
}

impl Pool {
    /// Returns an idle connection if `reuse` allows one, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept the connection; no byte of a request has been sent.
    pub async fn lease(&self, address: SocketAddr, reuse: bool) -> io::Result<Lease> {
        let most = reuse.then_some(Span(u64::MAX));
        self.lease_fresh(address, most).await
    }

    /// Returns a connection that was idle for `most` at most, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept the connection; no byte of a request has been sent.
    pub async fn lease_fresh(&self, address: SocketAddr, most: Option<Span>) -> io::Result<Lease> {
        let idle = most.and_then(|most| self.take(address, most));
        let reused = idle.is_some();
        let (sender, connection) = match idle {
            Some(idle) => (idle.sender, idle.connection),
            None => connect(address).await?,
        };
        Ok(Lease {
            sender,
            connection,
            address,
            pool: self.clone(),
            reused,
        })
    }

    /// Sends a request that may run twice, and reads the answer whole, up to some bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection, or it breaks.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        most_bytes: usize,
    ) -> io::Result<(StatusCode, Bytes)> {
        let host = header::HeaderValue::from_str(&address.to_string());
        request
            .headers_mut()
            .insert(header::HOST, host.map_err(io::Error::other)?);
        let mut lease = self.lease(address, true).await?;
        let response = lease.sender.send_request(request).await;
        let (head, body) = response.map_err(io::Error::other)?.into_parts();
        let body = Limited::new(body, most_bytes).collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        lease.release();
        Ok((head.status, body))
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(&address);
        }
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self) {
        let now = clock::now();
        if let Ok(mut idle) = self.idle.lock() {
            for connections in idle.values_mut() {
                connections.retain(|idle| idle.until > now && !idle.sender.is_closed());
            }
            idle.retain(|_, connections| !connections.is_empty());
        }
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        let idle = self.idle.lock();
        idle.map_or(0, |idle| idle.values().map(Vec::len).sum())
    }

    fn take(&self, address: SocketAddr, most: Span) -> Option<Idle> {
        let now = clock::now();
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.sender.is_ready() && idle.until > now && now.since(idle.since) <= most {
                return Some(idle);
            }
        }
        None
    }
}

impl Lease {
    /// Reports whether the connection carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool once its answer was read whole.
    pub fn release(self) {
        self.release_for(DEFAULT_KEEP);
    }

    /// Returns the connection to the pool; its target keeps it for a time.
    pub fn release_for(self, keep: Span) {
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
                until: now + Span(keep.0 * KEEP_PERCENT / 100),
            });
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<(Sender, Connection)> {
    let limit = Duration::from(CONNECT_TIMEOUT);
    let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(connection);
    Ok((sender, Connection(task.abort_handle())))
}
