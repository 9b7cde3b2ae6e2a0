//! Heartbeats over UDP.

use crate::{
    metric, partition, secret,
    unit::Span,
    wire::{self, Heartbeat, codec},
};
use crossbeam::channel::Sender;
use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Maximum size of a datagram, small enough not to be fragmented on Ethernet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Size of the truncated HMAC in front of the heartbeat; a forged one passes with probability 2^-64.
const TAG_BYTES: usize = 8;
/// Size of the IPv4 and UDP headers of a datagram.
const UDP_HEADER_BYTES: usize = 28;
/// Domain-separation label in the HMAC, so that no other kind of message is accepted as a heartbeat.
const HMAC_LABEL: &[u8] = b"marlrun heartbeat";
/// Interval at which the receiving thread checks whether it is to stop.
const STOP_CHECK_INTERVAL: Span = Span::from_millis(100);

/// Error of opening the heartbeat socket or starting its thread.
#[derive(Debug, thiserror::Error)]
#[error("cannot start heartbeats on {address}: {cause}")]
pub struct Error {
    /// Address to bind.
    pub address: SocketAddr,
    /// Error of the operating system.
    #[source]
    pub cause: io::Error,
}

/// Received heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival(pub Heartbeat);

/// Sends heartbeats, and receives them on a thread that ends when the handle is dropped.
#[derive(Debug)]
pub struct Beacon {
    socket: UdpSocket,
    key: secret::Key,
    partitions: partition::Filter,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Beacon {
    /// Binds the address and passes received heartbeats to `sink`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread cannot start.
    pub fn bind<E>(
        address: SocketAddr,
        key: secret::Key,
        partitions: partition::Filter,
        sink: Sender<E>,
    ) -> Result<Self, Error>
    where
        E: From<Arrival> + Send + 'static,
    {
        let failed = |cause| Error { address, cause };
        let socket = UdpSocket::bind(address).map_err(failed)?;
        let inbound = socket.try_clone().map_err(failed)?;
        inbound
            .set_read_timeout(Some(STOP_CHECK_INTERVAL.into()))
            .map_err(failed)?;
        let stopping = Arc::<AtomicBool>::default();
        let receiver = Receiver {
            socket: inbound,
            key: key.clone(),
            partitions: partitions.clone(),
            stopping: stopping.clone(),
        };
        let thread = thread::Builder::new()
            .name("beacon".into())
            .spawn(move || receiver.run(&sink))
            .map_err(failed)?;
        Ok(Self {
            socket,
            key,
            partitions,
            stopping,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not return it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a heartbeat. Errors are ignored: the receiver sees a lost datagram.
    pub fn send(&self, to: SocketAddr, heartbeat: &Heartbeat) {
        if self.partitions.blocks_outbound(to) {
            return;
        }
        let datagram = seal(&self.key, heartbeat);
        metrics::counter!(metric::CONTROL_SENDS, "way" => "heartbeat").increment(1);
        let bytes = (datagram.len() + UDP_HEADER_BYTES) as u64;
        metrics::counter!(metric::CONTROL_BYTES, "way" => "heartbeat").increment(bytes);
        let _ = self.socket.send_to(&datagram, to);
    }
}

impl Drop for Beacon {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Encodes and authenticates a heartbeat; entries of its lists that do not fit into a datagram are
/// left out.
pub fn seal(key: &secret::Key, heartbeat: &Heartbeat) -> Vec<u8> {
    let body = encode_to_fit(heartbeat);
    let mut datagram = key.prove(&[HMAC_LABEL, &body])[..TAG_BYTES].to_vec();
    datagram.extend(body);
    datagram
}

/// Decodes a datagram, or returns `None` if it is malformed or not authenticated by the fleet key.
pub fn open(key: &secret::Key, datagram: &[u8]) -> Option<Heartbeat> {
    let (tag, body) = datagram.split_first_chunk::<TAG_BYTES>()?;
    if !key.verify(&[HMAC_LABEL, body], tag) {
        return None;
    }
    codec::decode_heartbeat(body).ok()
}

/// Encodes a heartbeat, halving its longest lists until it fits into a datagram.
fn encode_to_fit(heartbeat: &Heartbeat) -> Vec<u8> {
    let limit = MAX_DATAGRAM_BYTES - TAG_BYTES;
    let mut heartbeat = heartbeat.clone();
    loop {
        match codec::encode_heartbeat(&heartbeat) {
            Ok(bytes) if bytes.len() <= limit => return bytes,
            _ => halve_longest(&mut heartbeat),
        }
    }
}

fn halve_longest(heartbeat: &mut Heartbeat) {
    let mut none = wire::State::default();
    let state = heartbeat.state.as_mut().unwrap_or(&mut none);
    let lengths = [
        state.loads.len(),
        state.floors.len(),
        state.unfit.len(),
        heartbeat.suspects.len(),
        heartbeat.members.len(),
    ];
    let longest = lengths.into_iter().max().unwrap_or(0);
    let keep = |length: usize| {
        if length == longest {
            length / 2
        } else {
            length
        }
    };
    state.loads.truncate(keep(lengths[0]));
    state.floors.truncate(keep(lengths[1]));
    state.unfit.truncate(keep(lengths[2]));
    heartbeat.suspects.truncate(keep(lengths[3]));
    heartbeat.members.truncate(keep(lengths[4]));
}

/// State of the receiving thread.
struct Receiver {
    socket: UdpSocket,
    key: secret::Key,
    partitions: partition::Filter,
    stopping: Arc<AtomicBool>,
}

impl Receiver {
    fn run<E: From<Arrival>>(self, sink: &Sender<E>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.stopping.load(Ordering::Relaxed) {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(heartbeat) = open(&self.key, &buffer[..length]) else {
                continue;
            };
            if self.partitions.blocks_inbound(sender) {
                continue;
            }
            if sink.send(Arrival(heartbeat).into()).is_err() {
                return;
            }
        }
    }
}
