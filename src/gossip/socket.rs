//! UDP socket for summaries.

use super::{Error, MAX_DATAGRAM_BYTES, Summary, decode, encode};
use crate::{metric, partition};
use std::{io, net::SocketAddr};
use tokio::net::UdpSocket;

/// Size of the IPv4 and UDP headers of a datagram.
const UDP_HEADERS: usize = 28;

/// UDP socket for summaries.
pub struct Socket {
    socket: UdpSocket,
    partitions: partition::Filter,
}

impl Socket {
    /// Binds an address. Must be called in a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr, partitions: partition::Filter) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, partitions })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a summary to each address. Errors are only counted, since datagrams may be lost
    /// anyway.
    pub async fn send(&self, to: &[SocketAddr], summary: &Summary) {
        let bytes = encode(summary);
        for &address in to {
            if self.partitions.blocks_outbound(address) {
                continue;
            }
            let result = match self.socket.send_to(&bytes, address).await {
                Ok(_) => "sent",
                Err(_) => "failed",
            };
            metrics::counter!(metric::CONTROL_SENDS, "way" => "summary", "result" => result)
                .increment(1);
            metrics::counter!(metric::CONTROL_BYTES, "way" => "summary")
                .increment((bytes.len() + UDP_HEADERS) as u64);
        }
    }

    /// Waits for the next datagram; returns its summary and the sender's address.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails. A datagram that is not a summary gives an error inside `Ok`.
    pub async fn receive(&self) -> io::Result<Result<(Summary, SocketAddr), Error>> {
        let mut space = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (count, from) = self.socket.recv_from(&mut space).await?;
            if !self.partitions.blocks_inbound(from) {
                return Ok(decode(&space[..count]).map(|summary| (summary, from)));
            }
        }
    }
}
