//! Start, run and end of a router that follows the platform's lists.

use super::{
    Decoder, Error, Fleet, Handler, Hub, Settings, Sources,
    logbook::Entry,
    shelves::{CONFIGURATION, ROUTERS, Shelves, TARGETS},
    signals::{Arrived, Signals},
};
use crate::{
    catalog::{self, Catalog},
    clock, cut,
    dispatch::{Dispatcher, Event},
    front, gossip, health, metric, mirror,
    roster::Roster,
    unit::{Span, Time},
    upstream, watch,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    runtime::{Builder, Handle},
    sync::mpsc,
    task::JoinHandle,
    time::MissedTickBehavior,
};

/// Period in which waiting requests, silent targets and shares are looked at.
const TICK: Span = Span::from_millis(10);
/// Period in which routers tell each other their loads, while they are few.
const TELL: Span = Span::from_millis(20);
/// Datagrams that a router sends in a second at most, beyond which it tells less often: their cost
/// in processor time must stay far below that of the requests.
const MAX_SENDS_PER_S: u64 = 400;
/// Time after which a newer version that another router has is read again, in case the connection
/// for changes fell silent.
const VERSION_LAG: Span = Span::from_millis(150);
/// Time for which a router that shuts down takes new connections: the balancer asks each second and
/// stops after two refusals.
const NOTICE: Span = Span::from_millis(2_400);
/// Time kept free before the platform kills the process.
const STOP_MARGIN: Span = Span::from_millis(250);
/// Period in which idle connections to targets are looked through.
const SWEEP: Span = Span::from_millis(500);
/// Connections refused unread between two sweeps that are many.
const CROWD: u64 = 40;
/// Sweeps in a row with so many after which the router says that it is not ready.
const CROWDED_SWEEPS: u32 = 2;
/// Time for which it says so after the last of them: the balancer needs two seconds to see it.
const CROWD_HOLD: Span = Span::from_secs(5);
/// Pause between two tries to write this router's entry.
const REGISTER_PAUSE: Span = Span::from_millis(500);
/// Time for the removal of the entry at the end.
const REMOVE_TIMEOUT: Span = Span::from_millis(500);
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u32 = 200;
/// Part of the other descriptors for callers' connections, in percent; targets get the rest.
const CALLERS_PERCENT: u32 = 65;
/// Time limit of a call for changes beyond its wait.
const LIST_SLACK: Span = Span::from_millis(600);
/// Pause after changes of a list; a tenth of the shortest bound that users set for changes.
const GATHER: Span = Span::from_millis(200);
/// Pause after changes of the list of routers: many of them start at the same time.
const GATHER_ROUTERS: Span = Span::from_millis(1_000);
/// Routers of other failure domains, or that do not lead, that are asked for lists when all else
/// fails.
const MAX_FAR_PLACES: usize = 3;
/// First and longest pause between calls of a list that fail.
const LIST_PAUSES: (Span, Span) = (Span::from_millis(100), Span::from_millis(800));
/// Wait of the list of routers for changes; nothing depends on its age, since routers that start
/// tell the others.
const ROUTERS_WAIT: Span = Span::from_secs(20);
/// Age beyond which a copy of the list of routers is of no use to others.
const ROUTERS_AGE: Span = Span::from_secs(25);

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
        roster: Roster::open(settings.own.clone()),
        way: Arc::default(),
        shelves,
        decoder: sources.decoder,
        crowded_sweeps: 0,
        crowded_until: Time::default(),
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

/// Keeps configuration, targets and routers up to date.
struct Keeper {
    settings: Settings,
    hub: Arc<Hub>,
    fleet: Arc<Fleet>,
    pool: upstream::Pool,
    socket: Arc<gossip::Socket>,
    catalog: Catalog,
    list_version: u64,
    roster: Roster,
    way: Arc<mirror::Way>,
    shelves: Shelves,
    decoder: Decoder,
    /// Sweeps in a row with many refused connections.
    crowded_sweeps: u32,
    crowded_until: Time,
    /// Time at which the next tick is due.
    next_tick: Time,
    /// Time since when another router has a newer configuration.
    behind: Option<Time>,
    log: slog::Logger,
}

impl Keeper {
    async fn run(mut self, sources: Sources, mut stop: mpsc::UnboundedReceiver<()>) {
        let (configurations, mut configuration) = mpsc::unbounded_channel();
        let (listings, mut listed) = mpsc::unbounded_channel();
        let (routers, mut router) = mpsc::unbounded_channel();
        let follow = |wait| watch::Settings {
            wait,
            slack: LIST_SLACK,
            gather: GATHER,
            pause: LIST_PAUSES.0,
            most_pause: LIST_PAUSES.1,
        };
        let wait = self.settings.list_wait();
        let most_age = self.settings.most_age();
        let open = |name, platform, most_age| -> Arc<dyn watch::Source> {
            let (pool, way) = (upstream::Pool::default(), self.way.clone());
            Arc::new(mirror::Source::open(name, platform, pool, way, most_age))
        };
        let source = open(CONFIGURATION, sources.configuration, most_age);
        let follower = watch::Follower::spawn(source, follow(wait), configurations);
        let source = open(TARGETS, sources.targets, most_age);
        let _targets = watch::Follower::spawn(source, follow(wait), listings);
        let source = open(ROUTERS, sources.routers, ROUTERS_AGE);
        let follow_routers = watch::Settings {
            gather: GATHER_ROUTERS,
            ..follow(ROUTERS_WAIT)
        };
        let _routers = watch::Follower::spawn(source, follow_routers, routers);
        let mut tick = interval(TICK);
        let mut tell = interval(TELL);
        let mut sweep = interval(SWEEP);
        let (heard, mut summaries) = mpsc::unbounded_channel();
        let listener = tokio::spawn(listen(self.socket.clone(), heard, self.log.clone()));
        loop {
            tokio::select! {
                Some(event) = configuration.recv() => self.configure(event),
                Some(event) = listed.recv() => self.list(event),
                Some(event) = router.recv() => self.meet(event),
                Some(summary) = summaries.recv() => self.hear(summary),
                _ = tick.tick() => self.tick(&follower),
                _ = tell.tick() => {
                    self.tell().await;
                    tell.reset_after(Duration::from(self.tell_period()));
                }
                _ = sweep.tick() => self.sweep(),
                _ = stop.recv() => break,
            }
        }
        listener.abort();
    }

    fn configure(&mut self, event: watch::Event<watch::Row>) {
        self.shelves.configuration.take(&event);
        let entries = match watch::decode(event, self.decoder.configuration) {
            watch::Event::Whole { entries, .. } | watch::Event::Changed { entries, .. } => entries,
            watch::Event::Current { .. } => return,
            watch::Event::Lost { fault } => return self.lost("configuration", &fault),
            watch::Event::Regained { after } => return self.regained("configuration", after),
        };
        for entry in entries {
            let in_force = self.fleet.table().version;
            match entry {
                Ok(table) if table.version > in_force => {
                    let entry = Entry::Configuration {
                        version: table.version,
                        routes: table.len(),
                        services: table.services.len(),
                    };
                    entry.write(&self.log);
                    metrics::gauge!(metric::VERSION).set(table.version.0 as f64);
                    self.fleet.set_table(table.clone());
                    self.hub.step(Event::Routing(table));
                    self.behind = None;
                }
                // Versions never go back, whatever an old answer says.
                Ok(_) => {}
                Err(cause) => Entry::BadConfiguration {
                    version: in_force,
                    cause: &cause,
                }
                .write(&self.log),
            }
        }
    }

    fn list(&mut self, event: watch::Event<watch::Row>) {
        self.shelves.targets.take(&event);
        let event = match watch::decode(event, self.decoder.target) {
            watch::Event::Current { .. } => return,
            watch::Event::Whole {
                entries, version, ..
            } => {
                self.list_version = version;
                catalog::Event::Whole(entries)
            }
            watch::Event::Changed {
                entries, version, ..
            } => {
                self.list_version = version;
                catalog::Event::Changed(entries)
            }
            watch::Event::Lost { fault } => {
                self.lost("targets", &fault);
                catalog::Event::Lost
            }
            watch::Event::Regained { after } => {
                self.regained("targets", after);
                catalog::Event::Regained
            }
        };
        let whole = matches!(event, catalog::Event::Whole(_));
        if self.catalog.step(clock::now(), event) || whole {
            self.publish();
        }
    }

    /// Passes the live targets on.
    fn publish(&mut self) {
        let targets = self.catalog.targets().clone();
        let entry = Entry::Targets {
            version: self.list_version,
            live: targets.len(),
            leaving: targets.values().filter(|target| target.leaving).count(),
        };
        entry.write(&self.log);
        self.fleet.set_targets(Arc::new(targets.clone()));
        self.hub.step(Event::Targets(targets));
    }

    fn meet(&mut self, event: watch::Event<watch::Row>) {
        self.shelves.routers.take(&event);
        let entries = match watch::decode(event, self.decoder.router) {
            watch::Event::Whole { entries, .. } | watch::Event::Changed { entries, .. } => entries,
            watch::Event::Current { .. } => return,
            watch::Event::Lost { fault } => return self.lost("routers", &fault),
            watch::Event::Regained { after } => return self.regained("routers", after),
        };
        for (router, entry) in entries {
            let present = entry.is_some();
            let changed = match entry {
                Some(entry) => self.roster.add(entry),
                None => self.roster.remove(&router),
            };
            if changed {
                let router = &router;
                Entry::Peer { router, present }.write(&self.log);
            }
        }
        self.find_way();
    }

    /// Sets which routers are asked for lists.
    fn find_way(&self) {
        let own = &self.roster.own().router;
        let leaders = self.roster.leaders();
        let others = leaders.iter().filter(|entry| entry.router != *own);
        let near: Vec<SocketAddr> = others.map(|entry| entry.peer).collect();
        let far = self.roster.others().map(|entry| entry.peer);
        let far = far.filter(|peer| !near.contains(peer)).take(MAX_FAR_PLACES);
        let far: Vec<SocketAddr> = far.collect();
        if self.roster.leads() {
            self.way
                .set(Vec::new(), near.into_iter().chain(far).collect());
        } else {
            self.way.set(near, far);
        }
    }

    fn hear(&mut self, summary: gossip::Summary) {
        self.hub.step(Event::Summary(summary));
    }

    fn tick(&mut self, follower: &watch::Follower) {
        let now = clock::now();
        self.look(now);
        if self.catalog.step(now, catalog::Event::Tick) {
            self.publish();
        }
        self.hub.step(Event::Tick);
        if self.hub.newest_version() <= self.fleet.table().version {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        if now.since(since) >= VERSION_LAG {
            self.behind = Some(now);
            follower.hurry();
        }
    }

    fn sweep(&mut self) {
        self.pool.sweep();
        let (connections, carried) = self.fleet.take_unread();
        self.crowd(connections);
        if connections > 0 {
            let limit = self.fleet.limit();
            Entry::Unread {
                connections,
                carried,
                limit,
            }
            .write(&self.log);
        }
    }

    /// Tells the balancer to send callers elsewhere while too many come, and for a while after.
    fn crowd(&mut self, refused: u64) {
        let now = clock::now();
        self.crowded_sweeps = if refused >= CROWD {
            self.crowded_sweeps + 1
        } else {
            0
        };
        if self.crowded_sweeps >= CROWDED_SWEEPS {
            self.crowded_until = now + CROWD_HOLD;
        }
        let crowded = now < self.crowded_until;
        if self.fleet.set_crowded(crowded) {
            Entry::Crowded { crowded, refused }.write(&self.log);
        }
    }

    /// Judges by the lateness of this tick how busy the processor is.
    fn look(&mut self, now: Time) {
        let late = now.since(self.next_tick);
        self.next_tick = now + TICK;
        let (before, after) = self.fleet.look(late);
        if before == after {
            return;
        }
        metrics::gauge!(metric::CARRY_LIMIT).set(f64::from(after));
        if before == u32::MAX {
            Entry::Busy { late, limit: after }.write(&self.log);
        }
    }

    async fn tell(&mut self) {
        let peers = self.roster.others().map(|entry| entry.peer);
        let peers: Vec<SocketAddr> = peers.collect();
        for summary in self.hub.tell(self.fleet.is_draining()) {
            self.socket.send(&peers, &summary).await;
        }
    }

    fn tell_period(&self) -> Span {
        let peers = self.roster.len() as u64;
        TELL.max(Span(peers * 1_000_000 / MAX_SENDS_PER_S))
    }

    fn lost(&self, list: &str, fault: &watch::Fault) {
        let cause = &fault.to_string();
        Entry::Lost { list, cause }.write(&self.log);
    }

    fn regained(&self, list: &str, after: Span) {
        Entry::Regained { list, after }.write(&self.log);
    }
}

/// Passes on what other routers tell.
async fn listen(
    socket: Arc<gossip::Socket>,
    heard: mpsc::UnboundedSender<gossip::Summary>,
    log: slog::Logger,
) {
    /// Pause after a failure of the socket, which the system reports for datagrams that nobody took.
    const PAUSE: Duration = Duration::from_millis(5);

    while !heard.is_closed() {
        match socket.receive().await {
            // The receiver ends with the process.
            Ok(Ok(summary)) => drop(heard.send(summary)),
            Ok(Err(error)) => slog::warn!(log, "datagram dropped"; "cause" => %error),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn interval(period: Span) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(Duration::from(period));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
