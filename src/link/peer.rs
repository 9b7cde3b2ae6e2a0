//! Connecting side of a link.

use super::{
    Event, Settings,
    handshake::{self, Identity, Nonces},
    links,
};
use crate::{
    id, metric, random,
    unit::Span,
    wire::{Message, codec, marlrun_capnp as schema},
};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use crossbeam::channel::Sender;
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future,
    net::SocketAddr,
    rc::Rc,
};
use tokio::{net::TcpStream, sync::Notify, task::JoinHandle, time};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Timeout of connecting with the handshake, and of one RPC call; the link breaks after it.
const CALL_TIMEOUT: Span = Span::from_secs(2);
/// Backoff after the first failure; it doubles with each further one.
const MIN_BACKOFF: Span = Span::from_millis(50);
/// Maximum backoff; the end of a network partition is noticed within this time.
const MAX_BACKOFF: Span = Span::from_secs(1);
/// Maximum number of messages queued for a peer; beyond it the link counts as broken.
const MAX_QUEUED: usize = 1 << 16;
/// Overhead of an RPC call in bytes, in both directions; measured with `cargo bench --bench link`.
const CALL_OVERHEAD_BYTES: usize = 210;
/// Maximum number of messages in a batch; limits the processing time of one call.
const MAX_CALL_MESSAGES: usize = 512;

/// Messages queued for a peer.
#[derive(Default)]
pub(super) struct Queue {
    messages: RefCell<VecDeque<Message>>,
    notify: Notify,
    /// A batch is being sent.
    in_flight: Cell<bool>,
}

impl Queue {
    /// Adds a message; returns `false` if the queue is full.
    pub(super) fn push(&self, message: Message) -> bool {
        let mut messages = self.messages.borrow_mut();
        if messages.len() >= MAX_QUEUED {
            return false;
        }
        messages.push_back(message);
        self.notify.notify_one();
        true
    }

    /// Drops all messages.
    pub(super) fn clear(&self) {
        self.messages.borrow_mut().clear();
    }

    /// Reports whether all messages were delivered or dropped.
    pub(super) fn is_idle(&self) -> bool {
        !self.in_flight.get() && self.messages.borrow().is_empty()
    }

    async fn wait_for_messages(&self) {
        while self.messages.borrow().is_empty() {
            self.notify.notified().await;
        }
    }

    /// Moves the next messages to `batch`, up to a full batch or the first `Delta`, which may be
    /// large.
    fn take(&self, batch: &mut Vec<Message>) {
        let mut messages = self.messages.borrow_mut();
        while batch.len() < MAX_CALL_MESSAGES {
            let Some(message) = messages.pop_front() else {
                return;
            };
            let large = matches!(message, Message::Delta { .. });
            batch.push(message);
            if large {
                return;
            }
        }
    }
}

/// Sends the queued messages to a peer and reconnects after failures.
pub(super) struct Peer<E> {
    pub(super) settings: Rc<Settings>,
    pub(super) router: id::Router,
    pub(super) address: SocketAddr,
    pub(super) queue: Rc<Queue>,
    pub(super) sink: Sender<E>,
}

/// An authenticated connection.
struct Connection {
    session: schema::session::Client,
    driver: JoinHandle<Result<(), capnp::Error>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<E: From<Event> + 'static> Peer<E> {
    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        let mut rng = random::seeded();
        let mut backoff = MIN_BACKOFF;
        loop {
            self.queue.wait_for_messages().await;
            match self.connect(&mut rng).await {
                Ok(connection) => {
                    backoff = MIN_BACKOFF;
                    let error = self.send_batches(connection).await;
                    self.report_broken(&error);
                }
                Err(error) => self.report_broken(&error),
            }
            time::sleep(jitter(backoff, &mut rng).into()).await;
            backoff = Span((2 * backoff.0).min(MAX_BACKOFF.0));
        }
    }

    fn report_broken(&self, error: &capnp::Error) {
        self.queue.clear();
        let event = Event::Broken {
            peer: self.router.clone(),
            cause: error.to_string().into(),
        };
        let _ = self.sink.send(event.into());
    }

    async fn connect(&self, rng: &mut ChaCha8Rng) -> Result<Connection, capnp::Error> {
        if self.settings.partitions.blocks_outbound(self.address) {
            return Err(capnp::Error::disconnected(
                "blocked by a simulated partition".into(),
            ));
        }
        with_timeout(self.handshake(rng)).await
    }

    async fn handshake(&self, rng: &mut ChaCha8Rng) -> Result<Connection, capnp::Error> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(reader.compat()),
            futures::io::BufWriter::new(writer.compat_write()),
            Side::Client,
            links::reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let peer: schema::peer::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(system);
        let mut connection = Connection {
            session: capnp_rpc::new_future_client(future::pending()),
            driver,
        };
        connection.session = self.authenticate(&peer, rng).await?;
        Ok(connection)
    }

    /// Verifies the peer's proof, sends this router's own and returns the session.
    async fn authenticate(
        &self,
        peer: &schema::peer::Client,
        rng: &mut ChaCha8Rng,
    ) -> Result<schema::session::Client, capnp::Error> {
        let mut nonces = Nonces {
            client: handshake::nonce(rng),
            server: Vec::new(),
        };
        let mut challenge = peer.challenge_request();
        challenge.get().set_nonce(&nonces.client);
        let reply = challenge.send().promise.await?;
        let reply = reply.get()?;
        nonces.server = reply.get_nonce()?.to_vec();
        let key = &self.settings.key;
        if !handshake::is_server(key, &nonces, &self.router, reply.get_proof()?) {
            return Err(capnp::Error::failed(
                "wrong fleet key or another router".into(),
            ));
        }
        let identity = Identity {
            router: self.settings.router.clone(),
            incarnation: self.settings.incarnation,
            address: codec::encode_address(self.settings.address),
            receiver: self.router.clone(),
        };
        let mut hello = peer.hello_request();
        let mut params = hello.get();
        params.set_router(identity.router.as_str());
        params.set_incarnation(identity.incarnation.0);
        params.set_address(&identity.address);
        params.set_receiver(identity.receiver.as_str());
        params.set_proof(&handshake::client_proof(key, &nonces, &identity));
        hello.send().promise.await?.get()?.get_session()
    }

    /// Sends batches until the connection fails; the first one begins with `Resync`.
    async fn send_batches(&self, mut connection: Connection) -> capnp::Error {
        let mut batch = vec![Message::Resync];
        loop {
            self.queue.take(&mut batch);
            self.queue.in_flight.set(true);
            let result = self.deliver(&connection.session, &batch).await;
            self.queue.in_flight.set(false);
            if let Err(error) = result {
                return error;
            }
            batch.clear();
            tokio::select! {
                () = self.queue.wait_for_messages() => {}
                end = &mut connection.driver => {
                    return connection_error(end);
                }
            }
        }
    }

    async fn deliver(
        &self,
        session: &schema::session::Client,
        batch: &[Message],
    ) -> Result<(), capnp::Error> {
        let partitions = &self.settings.partitions;
        if partitions.blocks_outbound(self.address) {
            return Err(capnp::Error::disconnected(
                "blocked by a simulated partition".into(),
            ));
        }
        let bytes = codec::encode_batch(batch).map_err(|e| capnp::Error::failed(e.to_string()))?;
        metrics::counter!(metric::CONTROL_SENDS, "way" => "link").increment(1);
        let bytes_sent = (bytes.len() + CALL_OVERHEAD_BYTES) as u64;
        metrics::counter!(metric::CONTROL_BYTES, "way" => "link").increment(bytes_sent);
        let mut call = session.deliver_request();
        call.get().set_batch(&bytes);
        with_timeout(async {
            call.send().promise.await?;
            if partitions.blocks_inbound(self.address) {
                return future::pending().await;
            }
            Ok(())
        })
        .await
    }
}

fn connection_error(end: Result<Result<(), capnp::Error>, tokio::task::JoinError>) -> capnp::Error {
    match end {
        Ok(Err(error)) => error,
        _ => capnp::Error::disconnected("connection closed by the peer".into()),
    }
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, capnp::Error> {
    match time::timeout(CALL_TIMEOUT.into(), call).await {
        Ok(result) => result,
        Err(_) => Err(capnp::Error::disconnected(format!(
            "no response within {CALL_TIMEOUT}"
        ))),
    }
}

/// Returns a random time between half of `span` and `span`.
fn jitter(span: Span, rng: &mut impl Rng) -> Span {
    let half = span.0 / 2;
    Span(half + rng.next_u64() % (half + 1))
}
