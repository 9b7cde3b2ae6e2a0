//! Listening socket that can be closed for a while.

use crate::memory::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use std::{io, net::SocketAddr};
use tokio::net::{TcpListener, TcpSocket};

/// Listen backlog. Connections arrive in bursts, and the kernel silently drops SYNs beyond the
/// backlog; callers retransmit them only after a second.
const BACKLOG: u32 = 512;

/// Listening socket that can be closed for a while: the kernel then resets new connections, which takes
/// no time of the process.
pub(super) enum Socket {
    /// Connections are accepted.
    Open {
        listener: TcpListener,
        /// Another handle of the listener, from which connections are accepted without registering
        /// them with the runtime.
        waiting: std::net::TcpListener,
    },
    /// Connections are reset. The address stays bound, as far as the kernel permits.
    Closed {
        address: SocketAddr,
        bound: Option<TcpSocket>,
    },
}

impl Socket {
    /// Binds and opens a socket; needs a running runtime.
    pub(super) fn bind(address: SocketAddr) -> io::Result<Self> {
        Self::listen(bind(address)?)
    }

    fn listen(socket: TcpSocket) -> io::Result<Self> {
        let listener = socket.listen(BACKLOG)?.into_std()?;
        let waiting = listener.try_clone()?;
        let listener = TcpListener::from_std(listener)?;
        Ok(Self::Open { listener, waiting })
    }

    /// Returns the bound address.
    pub(super) fn address(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Open { listener, .. } => listener.local_addr(),
            Self::Closed { address, .. } => Ok(*address),
        }
    }

    /// Reports whether connections are reset.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self, Self::Closed { .. })
    }

    /// Waits for a connection; forever while the socket is closed.
    pub(super) async fn accept(&self) -> io::Result<std::net::TcpStream> {
        match self {
            Self::Open { listener, .. } => listener.accept().await?.0.into_std(),
            Self::Closed { .. } => std::future::pending().await,
        }
    }

    /// Returns a connection that is waiting.
    pub(super) fn accept_waiting(&self) -> Option<std::net::TcpStream> {
        match self {
            Self::Open { waiting, .. } => waiting.accept().ok().map(|(stream, _)| stream),
            Self::Closed { .. } => None,
        }
    }

    /// Closes the socket, which resets connections that are waiting.
    pub(super) fn close(&mut self) -> io::Result<()> {
        let address = self.address()?;
        *self = Self::Closed {
            address,
            bound: None,
        };
        // An error shows when the socket opens again.
        let bound = bind(address).ok();
        *self = Self::Closed { address, bound };
        Ok(())
    }

    /// Opens the socket again, unless it is open.
    pub(super) fn reopen(&mut self) -> io::Result<()> {
        if let Self::Closed { address, bound } = self {
            let bound = bound.take();
            *self = Self::listen(bound.map_or_else(|| bind(*address), Ok)?)?;
        }
        Ok(())
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    // Connections inherit them. Without these limits the system buffers up to 6 MB that the router has not read,
    // and 4 MB that the caller has not, for each connection.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    Ok(socket)
}
