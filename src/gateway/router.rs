//! Start and shutdown of a router that gets its lists from the platform.

use super::{
    Driver, Error, Evacuations, Handler, Incumbent, Settings, Sources, State,
    cache_reader::CacheReader,
    caches::Caches,
    cleanup::Cleanup,
    controller::{Controller, ROUTERS_MAX_AGE, TICK_INTERVAL},
    overload::Overload,
    presence::{Presence, REMOVE_TIMEOUT},
    prober::Prober,
    recorder::Recorder,
    signals::{Action, Signals},
};
use crate::{
    cache_events::Readers,
    catalog::Catalog,
    clock,
    dispatch::{Dispatcher, Event},
    front, gossip, health, memory, metric, mirror, partition,
    roster::Roster,
    unit::{Era, Span},
    upstream,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use tokio::{
    runtime::{Builder, Handle},
    sync::mpsc,
    task::JoinHandle,
};

/// Time for which a router that is shutting down accepts new connections: the platform's load
/// balancer checks readiness each second and stops using a router after two failed checks.
const DRAIN_NOTICE: Span = Span::from_millis(2_400);
/// Size of request heads that connections are budgeted with; the usual limit of configurations, which may change.
const HEAD_BYTES: usize = 16 << 10;
/// Reserve between the end of the shutdown and the kill by the platform.
const STOP_MARGIN: Span = Span::from_millis(250);
/// Descriptors that the platform reserves for files, not available for connections.
const RESERVED_DESCRIPTORS: u32 = 200;
/// Share of the other descriptors for callers' connections, in percent; connections to targets get
/// the rest.
const CALLER_PERCENT: u32 = 65;

/// Reads the settings again; returns what changed, or why they are invalid.
pub type Reload = Box<dyn Fn() -> Result<Box<str>, Box<str>> + Send + Sync>;

/// A running router.
pub struct Router {
    settings: Settings,
    presence: Arc<Presence>,
    driver: Arc<Driver>,
    state: Arc<State>,
    server: front::Server,
    list_server: front::Server,
    recorder: JoinHandle<()>,
    stop_sender: mpsc::UnboundedSender<()>,
    task: JoinHandle<()>,
}

/// Runs a router until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if the router cannot start.
pub fn run(
    settings: Settings,
    sources: Sources,
    reload: &Reload,
    log: &slog::Logger,
) -> Result<(), Error> {
    // A single thread: VMs have one core, and decisions never lag behind the transfer of bytes on
    // another thread.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(start_error("runtime"))?;
    runtime.block_on(async {
        // Before any address is bound: an unhandled SIGHUP ends the process.
        let mut signals = Signals::open().map_err(start_error("signal handlers"))?;
        let router = spawn(settings, sources, log).await?;
        loop {
            match signals.next().await {
                Action::Stop => break,
                Action::Reload => match reload() {
                    Ok(changes) => slog::info!(log, "settings read again"; "changes" => &*changes),
                    Err(cause) => {
                        slog::error!(log, "settings unusable, the old ones stay"; "cause" => &*cause);
                    }
                },
            }
        }
        router.drain(log).await;
        Ok(())
    })
}

/// Starts a router; needs a running runtime.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn spawn(
    settings: Settings,
    sources: Sources,
    log: &slog::Logger,
) -> Result<Router, Error> {
    metric::install();
    let dispatch = settings.dispatch.clone();
    let log = log.new(slog::o!(
        "router" => dispatch.router.to_string(),
        "incarnation" => dispatch.incarnation.to_string(),
    ));
    let state = Arc::<State>::default();
    let pool = upstream::Pool::default();
    let peer = settings.entry.peer;
    let socket = gossip::Socket::bind(peer, partition::Filter::default()).await;
    let socket = Arc::new(socket.map_err(bind_error(peer))?);
    let caches = Caches::open(settings.max_list_age(), ROUTERS_MAX_AGE);
    let driver = Arc::new(Driver::open(
        Dispatcher::open(dispatch.clone()),
        caches.targets.checks(),
        log.clone(),
    ));
    let memory_bytes = settings.memory_bytes.or_else(memory::usable_bytes);
    let memory = memory::Pool::open(memory_bytes, HEAD_BYTES, log.clone());
    let lists = front::Settings {
        address: peer,
        handler: Arc::new(mirror::Handler {
            caches: caches.by_name(),
            memory: memory.clone(),
        }),
    };
    let list_server = front::Server::bind(lists, &Handle::current()).map_err(bind_error(peer))?;
    let sockets = settings
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(1);
    let max_connections = (sockets / 100 * CALLER_PERCENT) as usize;
    let handler = Handler::open(
        driver.clone(),
        state.clone(),
        sources.protocol.clone(),
        pool.clone(),
        memory,
        max_connections.max(1),
        DRAIN_NOTICE,
    );
    let server = front::Settings {
        address: settings.listen,
        handler: Arc::new(handler),
    };
    let server =
        front::Server::bind(server, &Handle::current()).map_err(bind_error(settings.listen))?;
    health::bind(settings.health, state.clone()).map_err(bind_error(settings.health))?;
    slog::info!(log, "router started"; "listen" => %server.address(), "peer" => %peer,
        "domain" => %dispatch.domain, "placement" => %dispatch.policy,
        "release" => env!("CARGO_PKG_VERSION"));
    let registry = &sources.registry;
    let entry = settings.entry.clone();
    let presence = Presence::open(registry.clone(), entry, state.clone(), log.clone());
    presence.announce();
    let recorder = Recorder::spawn(
        sources.archive.clone(),
        driver.clone(),
        state.clone(),
        log.clone(),
    );
    let (stop_sender, stop) = mpsc::unbounded_channel();
    let controller = Controller {
        settings: settings.clone(),
        driver: driver.clone(),
        state: state.clone(),
        pool,
        socket,
        catalog: Catalog::default(),
        positions: BTreeMap::new(),
        refreshed_era: Era::default(),
        rejected: BTreeMap::new(),
        next_target_refresh: None,
        incumbent: Incumbent::default(),
        evacuations: Evacuations::default(),
        presence: presence.clone(),
        cleanup: Cleanup::open(registry.clone(), log.clone()),
        prober: Prober {
            driver: driver.clone(),
            protocol: sources.protocol.clone(),
            pool: upstream::Pool::default(),
            log: log.clone(),
        },
        cache_reader: CacheReader::open(
            Readers::open(&dispatch.router, dispatch.domain.clone()),
            driver.clone(),
            sources.protocol.clone(),
            log.clone(),
        ),
        leaders: BTreeSet::new(),
        roster: Roster::new(settings.entry.clone()),
        peers: Arc::default(),
        caches,
        decoder: sources.decoder,
        overload: Overload::default(),
        refused_connections: 0,
        datagrams: 0,
        next_tick: clock::now() + TICK_INTERVAL,
        behind_since: None,
        capacity_estimated: false,
        followed: None,
        log: log.clone(),
    };
    let task = tokio::spawn(controller.run(sources, stop));
    Ok(Router {
        settings,
        presence,
        driver,
        state,
        server,
        list_server,
        recorder,
        stop_sender,
        task,
    })
}

impl Router {
    /// Returns the listen address for callers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for other routers: datagrams over UDP, lists over HTTP.
    pub fn peer(&self) -> SocketAddr {
        self.list_server.address()
    }

    /// Shuts down gracefully: removes the router's entry, still accepts connections for
    /// [`DRAIN_NOTICE`], and waits for requests in progress until shortly before the kill.
    pub async fn drain(self, log: &slog::Logger) {
        let running = self
            .driver
            .views()
            .values()
            .map(|(own, _)| own.running)
            .sum::<u32>();
        slog::info!(log, "shutting down"; "running" => running);
        let used = Span(REMOVE_TIMEOUT.0 + STOP_MARGIN.0);
        let limit = self.settings.stop_bound.saturating_sub(used);
        self.state.drain();
        let at = clock::now() + limit;
        self.driver.step(Event::ShuttingDown { at });
        self.presence.withdraw().await;
        let drained = tokio::time::timeout(limit.into(), self.server.drain()).await;
        let interrupted = if drained.is_ok() {
            "nothing"
        } else {
            "requests in progress"
        };
        slog::info!(log, "stopped"; "cut" => interrupted);
        self.recorder.abort();
        // Closing the channel also ends the background task.
        drop(self.stop_sender);
        self.task.abort();
    }
}

fn bind_error(address: SocketAddr) -> impl Fn(std::io::Error) -> Error {
    move |cause| Error::Bind { address, cause }
}

fn start_error(part: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |cause| Error::Start { part, cause }
}
