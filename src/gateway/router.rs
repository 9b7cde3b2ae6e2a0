//! Start and shutdown of a router that gets its lists from the platform.

use super::{
    Error, Fleet, Handler, Hub, Settings, Sources,
    keeper::{Keeper, ROUTERS_AGE, TICK},
    shelves::Shelves,
    signals::{Arrived, Signals},
};
use crate::{
    catalog::Catalog,
    clock, cut,
    dispatch::Dispatcher,
    front, gossip, health, metric, mirror,
    roster::Roster,
    unit::{Span, Time},
    upstream,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    runtime::{Builder, Handle},
    sync::mpsc,
    task::JoinHandle,
};

/// Time for which a router that is shutting down accepts new connections: the load balancer checks
/// readiness each second and stops using a router after two failed checks.
const NOTICE: Span = Span::from_millis(2_400);
/// Reserve between the end of the shutdown and the kill by the platform.
const STOP_MARGIN: Span = Span::from_millis(250);
/// Pause between attempts to write this router's entry.
const REGISTER_PAUSE: Span = Span::from_millis(500);
/// Time limit for removing the entry at shutdown.
const REMOVE_TIMEOUT: Span = Span::from_millis(500);
/// Descriptors reserved for files, not available for connections.
const FILE_DESCRIPTORS: u32 = 200;
/// Share of the other descriptors for client connections, in percent; connections to targets get
/// the rest.
const CALLERS_PERCENT: u32 = 65;

/// Reads the settings again; returns what changed, or why they are invalid.
pub type Reload = Box<dyn Fn() -> Result<Box<str>, Box<str>> + Send + Sync>;

/// A running router.
pub struct Router {
    settings: Settings,
    registry: Arc<dyn super::Registry>,
    hub: Arc<Hub>,
    fleet: Arc<Fleet>,
    server: front::Server,
    lists: front::Server,
    outbox: mpsc::UnboundedSender<()>,
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
        .map_err(start("runtime"))?;
    runtime.block_on(async {
        let router = spawn(settings, sources, log).await?;
        let mut signals = Signals::open().map_err(start("signal handlers"))?;
        loop {
            match signals.next().await {
                Arrived::Stop => break,
                Arrived::Reload => match reload() {
                    Ok(changes) => slog::info!(log, "settings reloaded"; "changes" => &*changes),
                    Err(cause) => {
                        slog::error!(log, "settings invalid, previous ones kept"; "cause" => &*cause);
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
    let fleet = Arc::<Fleet>::default();
    let hub = Arc::new(Hub::open(Dispatcher::open(dispatch.clone()), log.clone()));
    let pool = upstream::Pool::default();
    let peer = settings.own.peer;
    let socket = gossip::Socket::bind(peer, cut::Switch::default()).await;
    let socket = Arc::new(socket.map_err(bind(peer))?);
    let shelves = Shelves::open(settings.most_age(), ROUTERS_AGE);
    let lists = front::Settings {
        address: peer,
        handler: Arc::new(mirror::Lists {
            shelves: shelves.by_name(),
        }),
    };
    let lists = front::Server::bind(lists, &Handle::current()).map_err(bind(peer))?;
    let sockets = settings.descriptors.saturating_sub(FILE_DESCRIPTORS).max(1);
    let connections = (sockets / 100 * CALLERS_PERCENT) as usize;
    let handler = Handler::open(
        hub.clone(),
        fleet.clone(),
        sources.dialect.clone(),
        pool.clone(),
        connections.max(1),
        NOTICE,
    );
    let server = front::Settings {
        address: settings.listen,
        handler: Arc::new(handler),
    };
    let server = front::Server::bind(server, &Handle::current()).map_err(bind(settings.listen))?;
    health::bind(settings.health, fleet.clone()).map_err(bind(settings.health))?;
    slog::info!(log, "router started"; "listen" => %server.address(), "peer" => %peer,
        "domain" => %dispatch.domain, "placement" => %dispatch.policy,
        "release" => env!("CARGO_PKG_VERSION"));
    let (outbox, stop) = mpsc::unbounded_channel();
    let keeper = Keeper {
        settings: settings.clone(),
        hub: hub.clone(),
        fleet: fleet.clone(),
        pool,
        socket,
        catalog: Catalog::default(),
        list_version: 0,
        roster: Roster::open(settings.own.clone()),
        way: Arc::default(),
        shelves,
        decoder: sources.decoder,
        crowded_until: Time::default(),
        unread: 0,
        sends: 0,
        next_tick: clock::now() + TICK,
        behind: None,
        log: log.clone(),
    };
    let registry = sources.registry.clone();
    tokio::spawn(register(registry.clone(), log.clone()));
    let task = tokio::spawn(keeper.run(sources, stop));
    Ok(Router {
        settings,
        registry,
        hub,
        fleet,
        server,
        lists,
        outbox,
        task,
    })
}

impl Router {
    /// Returns the listen address for clients.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for other routers: datagrams over UDP, lists over HTTP.
    pub fn peer(&self) -> SocketAddr {
        self.lists.address()
    }

    /// Shuts down gracefully: removes the router's entry, still accepts connections for [`NOTICE`],
    /// and waits for requests in progress until shortly before the kill.
    pub async fn drain(self, log: &slog::Logger) {
        let running = self
            .hub
            .views()
            .values()
            .map(|(own, _)| own.running)
            .sum::<u32>();
        slog::info!(log, "shutting down"; "running" => running);
        self.fleet.drain();
        let removal = self.registry.remove();
        let removal = tokio::time::timeout(Duration::from(REMOVE_TIMEOUT), removal).await;
        match removal {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => slog::warn!(log, "router entry not removed"; "cause" => %fault),
            Err(_) => slog::warn!(log, "router entry not removed"; "cause" => "timed out"),
        }
        let used = Span(REMOVE_TIMEOUT.0 + STOP_MARGIN.0);
        let limit = Duration::from(self.settings.stop_bound.saturating_sub(used));
        let drained = tokio::time::timeout(limit, self.server.drain()).await;
        let cut = if drained.is_ok() {
            "nothing"
        } else {
            "requests in progress"
        };
        slog::info!(log, "stopped"; "cut" => cut);
        // Closing the channel also ends the background task.
        drop(self.outbox);
        self.task.abort();
    }
}

fn bind(address: SocketAddr) -> impl Fn(std::io::Error) -> Error {
    move |cause| Error::Bind { address, cause }
}

fn start(part: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |cause| Error::Start { part, cause }
}

/// Writes this router's entry to the list of routers, and retries until that succeeds.
async fn register(registry: Arc<dyn super::Registry>, log: slog::Logger) {
    loop {
        match registry.register().await {
            Ok(()) => return slog::info!(log, "router entry written"),
            Err(fault) => slog::warn!(log, "router entry not written"; "cause" => %fault),
        }
        tokio::time::sleep(Duration::from(REGISTER_PAUSE)).await;
    }
}
