//! Startup and shutdown of a router.

use super::{
    Error, Settings,
    control::{Control, Parts},
    event::Event,
    platform::Reader,
    state::{Forwarder, State},
};
use crate::{
    beacon, claim, config, front, health, link, member, memory, metric, operator, partition, probe,
    random, secret, table,
    unit::{Span, Version},
    upstream,
};
use crossbeam::channel::{self, Sender};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    thread,
    time::Duration,
};
use tokio::{
    runtime::{self, Runtime},
    signal::unix::{SignalKind, signal},
};

/// Time after the drain for the last messages to be sent to peers before the links close.
const FLUSH_TIME: Span = Span::from_millis(100);
/// Timeout of the connection and of each read and write of a call to the platform.
const PLATFORM_TIMEOUT: Span = Span::from_secs(2);
/// Key of a fleet without a configured one: its routers trust anyone who reaches their peer
/// interface.
const NO_KEY: &[u8] = b"";

/// Handle of a running router; [`Daemon::drain`] shuts it down.
pub struct Daemon {
    runtime: Runtime,
    server: front::Server,
    state: Arc<State>,
    peer: SocketAddr,
    events: Sender<Event>,
    control_thread: thread::JoinHandle<()>,
    partitions: partition::Filter,
    drain_timeout: Span,
}

/// Starts a router.
///
/// # Errors
///
/// Fails if the configuration is invalid, an address cannot be bound or a thread cannot be started.
pub fn spawn(settings: Settings, log: &slog::Logger) -> Result<Daemon, Error> {
    metric::install();
    let incarnation = random::incarnation();
    let log = log.new(slog::o!(
        "router" => settings.router.to_string(),
        "incarnation" => incarnation.to_string(),
    ));
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(Error::start("traffic threads"))?;
    let (events, event_receiver) = channel::unbounded();
    let partitions = partition::Filter::default();
    let state = Arc::new(State::new(
        settings.router.clone(),
        incarnation,
        settings.domain.clone(),
        Arc::new(load_configuration(&settings)?),
        settings.fault_injection.then(|| partitions.clone()),
    ));
    let (platform, worker) = spawn_platform_threads(&settings, &events)?;
    let from_files = settings.base.is_some();
    let replica = (!from_files).then(|| config::Replica::new(settings.domain.clone()));
    let key = settings.fleet_key.as_ref();
    let key = secret::Key::new(key.map_or(NO_KEY, |key| key.expose().as_bytes()));
    let link_settings = link::Settings {
        router: settings.router.clone(),
        incarnation,
        address: settings.peer,
        key: key.clone(),
        partitions: partitions.clone(),
    };
    let links = link::Links::spawn(link_settings, events.clone())?;
    let peer = links.address();
    let beacon = beacon::Beacon::bind(peer, key, partitions.clone(), events.clone())?;
    let mut membership = member::Membership::new(
        settings.router.clone(),
        incarnation,
        settings.domain.clone(),
        peer,
    );
    let seeds = member::Event::Seeds(settings.seeds.clone());
    membership.step(crate::clock::now(), seeds, &mut Vec::new());
    let sink = events.clone();
    let prober = probe::Prober::spawn(
        runtime.handle().clone(),
        // Fails only after the control thread has ended, when results no longer matter.
        Arc::new(move |event: probe::Event| drop(sink.send(event.into()))),
    );
    let handler = front::Handler {
        fleet: state.shared_fleet(),
        sink: Arc::new(Forwarder(events.clone())),
        limits: settings.limits.clone(),
        memory: memory::Pool::open(
            settings.memory_bytes,
            settings.limits.head_bytes,
            log.clone(),
        ),
        pool: upstream::Pool::default(),
        incarnation,
        log: log.clone(),
        next: AtomicU64::new(1),
    };
    let server_settings = front::Settings {
        address: settings.listen,
        handler: Arc::new(handler),
    };
    let server = front::Server::bind(server_settings, runtime.handle())
        .map_err(Error::bind(settings.listen))?;
    if let Some(address) = settings.health {
        health::bind(address, state.clone()).map_err(Error::bind(address))?;
    }
    if let (Some(address), Some(key)) = (settings.operator, &settings.operator_key) {
        let key = config::Digest::of(key.expose().as_bytes());
        // The server runs until the process ends; its handle only provides the address.
        operator::Server::bind(address, key, state.clone()).map_err(Error::bind(address))?;
    }
    slog::info!(log, "router started";
        "listen" => %server.address(), "peer" => %peer, "domain" => %settings.domain);
    let control = Control::new(Parts {
        router: settings.router.clone(),
        incarnation,
        domain: settings.domain.clone(),
        membership,
        links,
        beacon,
        prober,
        platform,
        worker,
        replica,
        state: state.clone(),
        log,
    });
    let control_thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || control.run(&event_receiver))
        .map_err(Error::start("control thread"))?;
    Ok(Daemon {
        runtime,
        server,
        state,
        peer,
        events,
        control_thread,
        partitions,
        drain_timeout: settings.drain_timeout,
    })
}

/// Runs a router until SIGTERM, SIGINT or an operator's request, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if the router cannot start.
pub fn run(settings: Settings, log: &slog::Logger) -> Result<(), Error> {
    let daemon = spawn(settings, log)?;
    let shutdown_requested = async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.state.drain_requested() => {}
        }
        Ok(())
    };
    daemon
        .runtime
        .block_on(shutdown_requested)
        .map_err(Error::start("signal handler"))?;
    daemon.drain();
    Ok(())
}

impl Daemon {
    /// Returns the listen address for clients.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of the peer interface.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the filter that simulates network partitions, for tests.
    pub fn partitions(&self) -> &partition::Filter {
        &self.partitions
    }

    /// Shuts down gracefully: accepts no more requests, completes the current ones within the time
    /// limit, and stops.
    pub fn drain(self) {
        // Fails only if the control thread has panicked: it runs until `Stop`.
        let _ = self.events.send(Event::Drain);
        let limit = Duration::from(self.drain_timeout);
        let drained = async { tokio::time::timeout(limit, self.server.drain()).await };
        // Requests still running at the time limit are aborted.
        let _ = self.runtime.block_on(drained);
        thread::sleep(Duration::from(FLUSH_TIME));
        let _ = self.events.send(Event::Stop);
        // Fails only if the thread panicked, which has printed a message to standard error.
        let _ = self.control_thread.join();
        self.runtime.shutdown_background();
    }
}

/// Starts the threads that call the platform, if one is configured.
fn spawn_platform_threads(
    settings: &Settings,
    events: &Sender<Event>,
) -> Result<(Reader, Option<claim::Worker>), Error> {
    let Some(address) = settings.platform else {
        return Ok((Reader::default(), None));
    };
    let client = Arc::new(table::Client::open(table::client::Settings {
        address,
        timeout: PLATFORM_TIMEOUT,
    }));
    let store = config::Store::new(client.clone(), client.clone());
    let reader = Reader::spawn(store, client.clone(), client.clone(), events.clone());
    let reader = reader.map_err(Error::start("platform threads"))?;
    let sink = events.clone();
    // Fails only after the control thread has ended, when responses no longer matter.
    let sink = Box::new(move |event: claim::Event| drop(sink.send(event.into())));
    let worker = claim::Worker::spawn(client, sink).map_err(Error::start("claims thread"))?;
    Ok((reader, Some(worker)))
}

/// Loads the configuration files. Returns an empty configuration if there are none: it then comes
/// from the platform or from peers.
fn load_configuration(settings: &Settings) -> Result<config::Fleet, Error> {
    let Some(base) = &settings.base else {
        return Ok(config::Fleet {
            version: Version(0),
            ..config::Fleet::default()
        });
    };
    let base = config::Source::open(base)?;
    let overlay = settings
        .overlay
        .as_deref()
        .map(config::Source::open)
        .transpose()?;
    Ok(config::load(&base, overlay.as_ref())?)
}
