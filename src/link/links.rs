//! Handle of the thread that runs all links.

use super::{
    Event, Settings,
    peer::{Peer, Queue},
    server::Shared,
};
use crate::{clock, id, unit::Span, wire::Message};
use capnp::message::ReaderOptions;
use crossbeam::channel::Sender;
use std::{
    collections::BTreeMap,
    io,
    net::{self, SocketAddr},
    rc::Rc,
    thread,
};
use tokio::{
    net::TcpListener,
    runtime,
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    task::{JoinHandle, LocalSet},
    time,
};

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
pub(super) const ACCEPT_RETRY: Span = Span::from_millis(100);
/// Timeout for delivering the queued messages at shutdown.
const FLUSH_TIMEOUT: Span = Span::from_millis(500);
/// Interval at which the queues are checked meanwhile.
const FLUSH_CHECK_INTERVAL: Span = Span::from_millis(5);
/// Maximum number of words read from one RPC message: the largest batch plus the RPC overhead.
const MAX_CALL_WORDS: usize = (crate::wire::codec::MAX_BATCH_BYTES + (1 << 20)) / 8;

/// Returns the limits on received RPC messages.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_CALL_WORDS));
    options
}

/// Why the links could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the links of {router} on {address}: {cause}")]
pub struct Error {
    /// This router.
    pub router: id::Router,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Error from the operating system.
    #[source]
    pub cause: io::Error,
}

/// Command to the thread that runs the links.
enum Command {
    Send {
        to: id::Router,
        address: SocketAddr,
        message: Message,
    },
    Disconnect(id::Router),
}

/// Links to all peers, on a thread of their own. Dropping the handle ends the thread after the
/// queued messages were delivered or a timeout has passed.
#[derive(Debug)]
pub struct Links {
    commands: Option<UnboundedSender<Command>>,
    address: SocketAddr,
    thread: Option<thread::JoinHandle<()>>,
}

impl Links {
    /// Listens for peers and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread cannot start.
    pub fn spawn<E>(mut settings: Settings, sink: Sender<E>) -> Result<Self, Error>
    where
        E: From<Event> + Send + 'static,
    {
        let (router, requested) = (settings.router.clone(), settings.address);
        let failed = |cause| Error {
            router: router.clone(),
            address: requested,
            cause,
        };
        let listener = net::TcpListener::bind(settings.address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        settings.address = listener.local_addr().map_err(failed)?;
        let address = settings.address;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(failed)?;
        let (commands, inbox) = mpsc::unbounded_channel();
        let thread_main = move || {
            let links = run(settings, sink, listener, inbox);
            LocalSet::new().block_on(&runtime, links);
        };
        let thread = thread::Builder::new()
            .name("links".into())
            .spawn(thread_main)
            .map_err(failed)?;
        Ok(Self {
            commands: Some(commands),
            address,
            thread: Some(thread),
        })
    }

    /// Returns the address on which peers are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message for a peer; never blocks.
    pub fn send(&self, to: id::Router, address: SocketAddr, message: Message) {
        self.command(Command::Send {
            to,
            address,
            message,
        });
    }

    /// Closes the connection to a peer and drops the messages queued for it.
    pub fn forget(&self, peer: id::Router) {
        self.command(Command::Disconnect(peer));
    }

    fn command(&self, command: Command) {
        if let Some(commands) = &self.commands {
            let _ = commands.send(command);
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Queue of a peer and the task that sends its messages.
struct Outbox {
    address: SocketAddr,
    queue: Rc<Queue>,
    task: JoinHandle<()>,
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run<E: From<Event> + 'static>(
    settings: Settings,
    sink: Sender<E>,
    listener: net::TcpListener,
    mut inbox: UnboundedReceiver<Command>,
) {
    let shared = Shared::new(settings.clone(), sink.clone());
    let listener = TcpListener::from_std(listener).expect("the listener is nonblocking");
    let accepting = tokio::task::spawn_local(shared.accept(listener));
    let settings = Rc::new(settings);
    let mut outboxes = BTreeMap::<id::Router, Outbox>::new();
    while let Some(command) = inbox.recv().await {
        match command {
            Command::Disconnect(peer) => {
                outboxes.remove(&peer);
            }
            Command::Send {
                to,
                address,
                message,
            } => send(&settings, &sink, &mut outboxes, to, address, message),
        }
    }
    accepting.abort();
    let deadline = clock::now() + FLUSH_TIMEOUT;
    while outboxes.values().any(|outbox| !outbox.queue.is_idle()) && clock::now() < deadline {
        time::sleep(FLUSH_CHECK_INTERVAL.into()).await;
    }
}

fn send<E: From<Event> + 'static>(
    settings: &Rc<Settings>,
    sink: &Sender<E>,
    outboxes: &mut BTreeMap<id::Router, Outbox>,
    to: id::Router,
    address: SocketAddr,
    message: Message,
) {
    if outboxes
        .get(&to)
        .is_some_and(|outbox| outbox.address != address)
    {
        outboxes.remove(&to);
    }
    let outbox = outboxes
        .entry(to.clone())
        .or_insert_with(|| open(settings.clone(), sink.clone(), to.clone(), address));
    if !outbox.queue.push(message) {
        outboxes.remove(&to);
        let event = Event::Broken {
            peer: to,
            cause: "too many messages are queued".into(),
        };
        let _ = sink.send(event.into());
    }
}

fn open<E: From<Event> + 'static>(
    settings: Rc<Settings>,
    sink: Sender<E>,
    router: id::Router,
    address: SocketAddr,
) -> Outbox {
    let queue = Rc::<Queue>::default();
    let peer = Peer {
        settings,
        router,
        address,
        queue: queue.clone(),
        sink,
    };
    Outbox {
        address,
        queue,
        task: tokio::task::spawn_local(peer.run()),
    }
}
