//! Pool of idle connections to targets.

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::net::TcpStream;

/// Idle connections kept for each target.
const MAX_IDLE_PER_TARGET: usize = 64;

type Sender = http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Idle connections by target address.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

/// A connection in use; it returns to the pool by [`Lease::release`].
pub struct Lease {
    /// Connection.
    pub sender: Sender,
    address: SocketAddr,
    pool: Pool,
}

impl Pool {
    /// Returns an idle connection if `reuse` allows one, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept the connection; no byte of a request has been sent.
    pub async fn lease(&self, address: SocketAddr, reuse: bool) -> io::Result<Lease> {
        let idle = if reuse { self.take(address) } else { None };
        let sender = match idle {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        Ok(Lease {
            sender,
            address,
            pool: self.clone(),
        })
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().ok()?;
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

impl Lease {
    /// Returns the connection to the pool once its answer was read whole.
    pub fn release(self) {
        if self.sender.is_closed() {
            return;
        }
        let Ok(mut idle) = self.pool.idle.lock() else {
            return;
        };
        let senders = idle.entry(self.address).or_default();
        if senders.len() < MAX_IDLE_PER_TARGET {
            senders.push(self.sender);
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}
