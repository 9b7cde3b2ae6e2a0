//! Accepting side of a link.

use super::{
    Event, Settings,
    gate::Gate,
    handshake::{self, Identity, Nonces},
};
use crate::{
    id, random,
    unit::Span,
    wire::{codec, marlrun_capnp as schema},
};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use crossbeam::channel::Sender;
use futures::future;
use rand_chacha::ChaCha8Rng;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Timeout of the handshake on an accepted connection.
const HELLO_TIMEOUT: Span = Span::from_secs(5);

/// Maximum number of connections whose handshake isn't over, which takes milliseconds: all routers of a large fleet
/// may connect to one that starts.
const MAX_HANDSHAKES: usize = 512;

/// Latest session of a peer. Batches of earlier sessions are rejected, because they could arrive
/// after messages of a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Epoch {
    incarnation: id::Incarnation,
    session: u64,
}

/// State shared by all accepted connections.
pub(super) struct Shared<E> {
    settings: Settings,
    sink: Sender<E>,
    epochs: RefCell<BTreeMap<id::Router, Epoch>>,
    rng: RefCell<ChaCha8Rng>,
    /// Shared by the connections whose handshake isn't over.
    handshakes: Rc<()>,
}

impl<E: From<Event> + 'static> Shared<E> {
    /// Returns the state without sessions.
    pub(super) fn new(settings: Settings, sink: Sender<E>) -> Rc<Self> {
        Rc::new(Self {
            settings,
            sink,
            epochs: RefCell::default(),
            rng: RefCell::new(random::seeded()),
            handshakes: Rc::default(),
        })
    }

    /// Accepts connections until the task is aborted.
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Routers whose connection is closed here come back.
                    if Rc::strong_count(&self.handshakes) <= MAX_HANDSHAKES {
                        let handshake = self.handshakes.clone();
                        tokio::task::spawn_local(serve(self.clone(), stream, handshake));
                    }
                }
                Err(_) => time::sleep(super::links::ACCEPT_RETRY.into()).await,
            }
        }
    }

    /// Opens a session, unless a later incarnation of the peer has opened one.
    fn open(&self, identity: &Identity) -> Option<Epoch> {
        let mut epochs = self.epochs.borrow_mut();
        let last = epochs.entry(identity.router.clone()).or_default();
        if identity.incarnation < last.incarnation {
            return None;
        }
        *last = Epoch {
            incarnation: identity.incarnation,
            session: last.session + 1,
        };
        Some(*last)
    }
}

/// Serves one connection until it closes.
async fn serve<E: From<Event> + 'static>(
    shared: Rc<Shared<E>>,
    stream: TcpStream,
    handshake: Rc<()>,
) {
    let _ = stream.set_nodelay(true);
    let authenticated = Rc::<Cell<bool>>::default();
    let (reader, writer) = stream.into_split();
    let reader = Gate::new(reader.compat(), authenticated.clone());
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Server,
        super::links::reader_options(),
    );
    let bootstrap = Bootstrap {
        shared,
        nonces: RefCell::default(),
        authenticated: authenticated.clone(),
    };
    let client: schema::peer::Client = capnp_rpc::new_client(bootstrap);
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    let ended = time::timeout(HELLO_TIMEOUT.into(), &mut system).await;
    drop(handshake);
    if ended.is_err() && authenticated.get() {
        let _ = system.await;
    }
}

/// Bootstrap object of a connection: opens a session for a peer that proves to have the fleet key.
struct Bootstrap<E> {
    shared: Rc<Shared<E>>,
    nonces: RefCell<Option<Nonces>>,
    authenticated: Rc<Cell<bool>>,
}

impl<E: From<Event> + 'static> schema::peer::Server for Bootstrap<E> {
    async fn challenge(
        self: Rc<Self>,
        params: schema::peer::ChallengeParams,
        mut results: schema::peer::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let client = params.get()?.get_nonce()?;
        if client.len() != handshake::NONCE_BYTES {
            return Err(capnp::Error::failed("nonce has the wrong length".into()));
        }
        let settings = &self.shared.settings;
        let nonces = Nonces {
            client: client.to_vec(),
            server: handshake::nonce(&mut *self.shared.rng.borrow_mut()),
        };
        let proof = handshake::server_proof(&settings.key, &nonces, &settings.router);
        let mut results = results.get();
        results.set_nonce(&nonces.server);
        results.set_proof(&proof);
        self.nonces.replace(Some(nonces));
        Ok(())
    }

    async fn hello(
        self: Rc<Self>,
        params: schema::peer::HelloParams,
        mut results: schema::peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let identity = read_identity(params).map_err(|e| capnp::Error::failed(e.to_string()))?;
        let nonces = self.nonces.take().unwrap_or_default();
        let settings = &self.shared.settings;
        let verified = !nonces.server.is_empty()
            && handshake::is_client(&settings.key, &nonces, &identity, params.get_proof()?);
        if !verified {
            return Err(capnp::Error::failed("wrong fleet key".into()));
        }
        if identity.receiver != settings.router {
            let detail = format!(
                "reached router {} instead of {}",
                settings.router, identity.receiver
            );
            return Err(capnp::Error::failed(detail));
        }
        let address = codec::decode_address(&identity.address)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;
        let epoch = self.shared.open(&identity).ok_or_else(|| {
            let detail = format!("a later incarnation of {} has connected", identity.router);
            capnp::Error::failed(detail)
        })?;
        let session = Session {
            shared: self.shared.clone(),
            router: identity.router,
            address,
            epoch,
        };
        self.authenticated.set(true);
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

fn read_identity(from: schema::peer::hello_params::Reader<'_>) -> Result<Identity, codec::Error> {
    Ok(Identity {
        router: codec::name(from.get_router())?,
        incarnation: id::Incarnation(from.get_incarnation()),
        address: from.get_address()?.to_vec(),
        receiver: codec::name(from.get_receiver())?,
    })
}

/// Receives the batches of an authenticated peer.
struct Session<E> {
    shared: Rc<Shared<E>>,
    router: id::Router,
    address: SocketAddr,
    epoch: Epoch,
}

impl<E: From<Event> + 'static> schema::session::Server for Session<E> {
    async fn deliver(
        self: Rc<Self>,
        params: schema::session::DeliverParams,
        _: schema::session::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let partitions = &self.shared.settings.partitions;
        if partitions.blocks_inbound(self.address) {
            return future::pending().await;
        }
        if self.shared.epochs.borrow().get(&self.router) != Some(&self.epoch) {
            return Err(capnp::Error::failed(
                "a later session has been opened".into(),
            ));
        }
        let batch = codec::decode_batch(params.get()?.get_batch()?)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;
        for message in batch {
            let event = Event::Message {
                from: self.router.clone(),
                incarnation: self.epoch.incarnation,
                message,
            };
            if self.shared.sink.send(event.into()).is_err() {
                return Err(capnp::Error::disconnected("router is shutting down".into()));
            }
        }
        if partitions.blocks_outbound(self.address) {
            return future::pending().await;
        }
        Ok(())
    }
}
