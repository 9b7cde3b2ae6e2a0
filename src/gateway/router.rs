//! Start, run and end of a router that follows the platform's lists.

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

/// Time for which a router that shuts down takes new connections: the balancer asks each second and
/// stops after two refusals.
const NOTICE: Span = Span::from_millis(2_400);
/// Time kept free before the platform kills the process.
const STOP_MARGIN: Span = Span::from_millis(250);
/// Pause between two tries to write this router's entry.
const REGISTER_PAUSE: Span = Span::from_millis(500);
/// Time for the removal of the entry at the end.
const REMOVE_TIMEOUT: Span = Span::from_millis(500);
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u32 = 200;
/// Part of the other descriptors for callers' connections, in percent; targets get the rest.
const CALLERS_PERCENT: u32 = 65;

/// Reads the settings again and tells what changed.
pub type Reload = Box<dyn Fn() -> Result<Box<str>, Box<str>> + Send + Sync>;

/// Running router.
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
    // One thread: VMs have one core, and what decides is never behind what carries bytes.
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
    let fleet = Arc::<Fleet>::default();
    let hub = Arc::new(Hub::open(Dispatcher::open(dispatch.clone()), log.clone()));
    let pool = upstream::Pool::default();
    let peer = settings.own.peer;
    let socket = gossip::Socket::bind(peer, cut::Switch::default()).await;
    let socket = Arc::new(socket.map_err(bind(peer))?);
    let shelves = Shelves::open(settings.most_age(), ROUTERS_AGE);
    let lists = front::Settings {
        address: peer,
        handler: Arc::new(mirror::Handler {
            caches: shelves.by_name(),
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
        "domain" => %dispatch.domain, "placement" => %dispatch.placement,
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
        roster: Roster::new(settings.own.clone()),
        peers: Arc::default(),
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
    /// Returns the address of the callers' interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for datagrams and lists.
    pub fn peer(&self) -> SocketAddr {
        self.lists.address()
    }

    /// Takes no more requests, ends those that it has, and stops.
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
            Ok(Err(fault)) => slog::warn!(log, "own entry not removed"; "cause" => %fault),
            Err(_) => slog::warn!(log, "own entry not removed"; "cause" => "no answer in time"),
        }
        let used = Span(REMOVE_TIMEOUT.0 + STOP_MARGIN.0);
        let limit = Duration::from(self.settings.stop_bound.saturating_sub(used));
        let drained = tokio::time::timeout(limit, self.server.drain()).await;
        let cut = if drained.is_ok() {
            "nothing"
        } else {
            "requests that were left"
        };
        slog::info!(log, "stopped"; "cut" => cut);
        // The task ends with the channel.
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

/// Writes this router's entry until it is written.
async fn register(registry: Arc<dyn super::Registry>, log: slog::Logger) {
    loop {
        match registry.register().await {
            Ok(()) => return slog::info!(log, "own entry written"),
            Err(fault) => slog::warn!(log, "own entry not written"; "cause" => %fault),
        }
        tokio::time::sleep(Duration::from(REGISTER_PAUSE)).await;
    }
}
