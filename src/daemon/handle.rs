//! Start and end of a router.

use super::{
    Error, Settings,
    control::{Control, Parts},
    event::Event,
    state::{Inbox, State},
};
use crate::{
    beacon, config, cut, front, health, link, member, metric, probe, random, secret,
    unit::{Span, Version},
};
use crossbeam::channel::{self, Sender};
use std::{net::SocketAddr, sync::Arc, thread, time::Duration};
use tokio::{
    runtime::{self, Runtime},
    signal::unix::{SignalKind, signal},
};

/// Time between two looks whether a shutdown is complete.
const DRAIN_POLL: Span = Span::from_millis(20);
/// Key of a fleet that sets none; its routers trust whoever reaches their peer interface.
const NO_KEY: &[u8] = b"";

/// Running router; it shuts down by [`Daemon::drain`].
pub struct Daemon {
    runtime: Runtime,
    server: front::Server,
    peer: SocketAddr,
    inbox: Sender<Event>,
    thread: thread::JoinHandle<()>,
    cuts: cut::Switch,
    drain_timeout: Span,
}

/// Starts a router.
///
/// # Errors
///
/// Fails if the configuration is wrong or an address cannot be bound.
pub fn spawn(settings: Settings, log: &slog::Logger) -> Result<Daemon, Error> {
    metric::install();
    let incarnation = random::incarnation();
    let log = log.new(slog::o!(
        "router" => settings.router.to_string(),
        "incarnation" => incarnation.to_string(),
    ));
    let state = Arc::new(State::new(Arc::new(load(&settings)?)));
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(Error::start("traffic threads"))?;
    let (inbox, outbox) = channel::unbounded();
    let cuts = cut::Switch::default();
    let key = settings.fleet_key.as_ref();
    let key = secret::Key::new(key.map_or(NO_KEY, |key| key.expose().as_bytes()));
    let links = link::Settings {
        router: settings.router.clone(),
        incarnation,
        address: settings.peer,
        key: key.clone(),
        cuts: cuts.clone(),
    };
    let links = link::Links::spawn(links, inbox.clone())?;
    let peer = links.address();
    let beacon = beacon::Beacon::bind(peer, key, cuts.clone(), inbox.clone())?;
    let mut membership = member::Membership::new(
        settings.router.clone(),
        incarnation,
        settings.domain.clone(),
        peer,
    );
    let seeds = member::Event::Seeds(settings.seeds.clone());
    membership.step(crate::clock::now(), seeds, &mut Vec::new());
    let found = inbox.clone();
    let prober = probe::Prober::spawn(
        runtime.handle().clone(),
        // The control thread ends last; what is found after that is of no use.
        Arc::new(move |event: probe::Event| drop(found.send(event.into()))),
    );
    let server = front::Settings {
        address: settings.listen,
        limits: settings.limits.clone(),
        fleet: state.shared_fleet(),
        incarnation,
        sink: Arc::new(Inbox(inbox.clone())),
        log: log.clone(),
    };
    let server =
        front::Server::bind(server, runtime.handle()).map_err(Error::bind(settings.listen))?;
    if let Some(address) = settings.health {
        health::bind(address, state.clone()).map_err(Error::bind(address))?;
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
        state,
        log,
    });
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || control.run(&outbox))
        .map_err(Error::start("control thread"))?;
    Ok(Daemon {
        runtime,
        server,
        peer,
        inbox,
        thread,
        cuts,
        drain_timeout: settings.drain_timeout,
    })
}

/// Runs a router until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if the router cannot start.
pub fn run(settings: Settings, log: &slog::Logger) -> Result<(), Error> {
    let daemon = spawn(settings, log)?;
    let wait = async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    };
    daemon
        .runtime
        .block_on(wait)
        .map_err(Error::start("signal handler"))?;
    daemon.drain();
    Ok(())
}

impl Daemon {
    /// Returns the address of the callers' interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of the peer interface.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the switch that cuts peers off, for tests.
    pub fn cuts(&self) -> &cut::Switch {
        &self.cuts
    }

    /// Takes no more requests, ends those that it has, and stops.
    pub fn drain(self) {
        // The control thread ends only after this.
        let _ = self.inbox.send(Event::Drain);
        let limit = Duration::from(self.drain_timeout);
        let drained = async { tokio::time::timeout(limit, self.server.drain()).await };
        // Requests that are left after the limit are cut off.
        let _ = self.runtime.block_on(drained);
        thread::sleep(Duration::from(DRAIN_POLL));
        let _ = self.inbox.send(Event::Stop);
        // The thread only fails if it panicked; its message is on standard error then.
        let _ = self.thread.join();
        self.runtime.shutdown_background();
    }
}

/// Loads the configuration files, or returns an empty configuration if it comes from elsewhere.
fn load(settings: &Settings) -> Result<config::Fleet, Error> {
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
