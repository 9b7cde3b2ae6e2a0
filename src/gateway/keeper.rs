//! Background task of a router: applies changes of configuration, targets and routers, runs
//! periodic work and sends load summaries to other routers.

use super::{
    Decoder, Fleet, Hub, Settings, Sources,
    logbook::Entry,
    shelves::{CONFIGURATION, ROUTERS, Shelves, TARGETS},
};
use crate::{
    catalog::{self, Catalog},
    clock,
    dispatch::{Audience, Event},
    gossip, metric, mirror,
    roster::Roster,
    unit::{Span, Time},
    upstream, watch,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::MissedTickBehavior};

/// Interval of the dispatcher's checks of waiting requests, stalled targets and shares.
pub(super) const TICK: Span = Span::from_millis(10);
/// Maximum age at which the cached list of routers is served to or accepted from other routers.
pub(super) const ROUTERS_AGE: Span = Span::from_secs(25);
/// Minimum interval of load summaries; it grows with the number of datagrams sent.
const TELL: Span = Span::from_millis(20);
/// Maximum rate of datagrams with load summaries. Above it the interval grows, so that their CPU
/// time stays far below that of the requests.
const MAX_SENDS_PER_S: u64 = 1_000;
/// Time after which the configuration is read again if another router reports a newer version: the
/// long-polling connection may be dead.
const VERSION_LAG: Span = Span::from_millis(150);
/// Interval of closing expired idle connections to targets and of updating readiness.
const SWEEP: Span = Span::from_millis(500);
/// Connections refused between two sweeps from which the router counts as overloaded.
const CROWD: u64 = 40;
/// Time for which an overloaded router reports that it is not ready. The load balancer takes two
/// seconds to notice, and sends the same clients back as soon as the router is ready again.
const CROWD_HOLD: Span = Span::from_secs(10);
/// Time allowed for a long-polling call beyond its requested wait.
const LIST_SLACK: Span = Span::from_millis(600);
/// Delay before polling again after changes of a list, which batches changes; a tenth of the
/// shortest configured bound for applying changes.
const GATHER: Span = Span::from_millis(200);
/// Batching delay for the list of routers; longer because many routers start at the same time.
const GATHER_ROUTERS: Span = Span::from_millis(1_000);
/// Maximum number of further routers, in any failure domain, that are asked for lists when the
/// platform fails.
const MAX_FAR_PLACES: usize = 3;
/// Initial and maximum backoff between failed reads of a list.
const LIST_PAUSES: (Span, Span) = (Span::from_millis(100), Span::from_millis(800));
/// Long-polling wait for the list of routers. Its age is not critical, because routers send
/// summaries to the others as soon as they start.
const ROUTERS_WAIT: Span = Span::from_secs(20);

/// Background task that applies changes of the platform's lists and exchanges load summaries.
pub(super) struct Keeper {
    pub(super) settings: Settings,
    pub(super) hub: Arc<Hub>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) pool: upstream::Pool,
    pub(super) socket: Arc<gossip::Socket>,
    pub(super) catalog: Catalog,
    pub(super) list_version: u64,
    pub(super) roster: Roster,
    pub(super) peers: Arc<mirror::Peers>,
    pub(super) shelves: Shelves,
    pub(super) decoder: Decoder,
    /// Time until which the router reports that it is not ready because of overload.
    pub(super) crowded_until: Time,
    /// Connections refused before their request was read, since the last sweep.
    pub(super) unread: u64,
    /// Datagrams sent in the last round of summaries.
    pub(super) sends: u64,
    /// Time at which the next tick is due.
    pub(super) next_tick: Time,
    /// Time since which another router reports a newer configuration, or of the last forced read.
    pub(super) behind: Option<Time>,
    pub(super) log: slog::Logger,
}

impl Keeper {
    pub(super) async fn run(mut self, sources: Sources, mut stop: mpsc::UnboundedReceiver<()>) {
        let (configurations, mut configuration) = mpsc::unbounded_channel();
        let (listings, mut listed) = mpsc::unbounded_channel();
        let (routers, mut router) = mpsc::unbounded_channel();
        let follow = |wait| watch::Settings {
            wait,
            margin: LIST_SLACK,
            batch_delay: GATHER,
            min_backoff: LIST_PAUSES.0,
            max_backoff: LIST_PAUSES.1,
        };
        let wait = self.settings.list_wait();
        let most_age = self.settings.most_age();
        let open = |name, platform, most_age| -> Arc<dyn watch::Source> {
            let (pool, peers) = (upstream::Pool::default(), self.peers.clone());
            Arc::new(mirror::Source::new(name, platform, pool, peers, most_age))
        };
        let source = open(CONFIGURATION, sources.configuration, most_age);
        let follower = watch::Watcher::spawn(source, follow(wait), configurations);
        let source = open(TARGETS, sources.targets, most_age);
        let _targets = watch::Watcher::spawn(source, follow(wait), listings);
        let source = open(ROUTERS, sources.routers, ROUTERS_AGE);
        let follow_routers = watch::Settings {
            batch_delay: GATHER_ROUTERS,
            ..follow(ROUTERS_WAIT)
        };
        let _routers = watch::Watcher::spawn(source, follow_routers, routers);
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
        self.shelves.configuration.apply(&event);
        let entries = match watch::decode(event, self.decoder.configuration) {
            watch::Event::Full { entries, .. } | watch::Event::Changed { entries, .. } => entries,
            watch::Event::Unchanged { .. } => return,
            watch::Event::Unavailable { fault } => return self.lost("configuration", &fault),
            watch::Event::Recovered { outage } => return self.regained("configuration", outage),
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
                // A stale response must not replace a newer version.
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
        self.shelves.targets.apply(&event);
        let event = match watch::decode(event, self.decoder.target) {
            watch::Event::Unchanged { .. } => return,
            watch::Event::Full {
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
            watch::Event::Unavailable { fault } => {
                self.lost("targets", &fault);
                catalog::Event::Lost
            }
            watch::Event::Recovered { outage } => {
                self.regained("targets", outage);
                catalog::Event::Regained
            }
        };
        let whole = matches!(event, catalog::Event::Whole(_));
        if self.catalog.step(clock::now(), event) || whole {
            self.publish();
        }
    }

    /// Passes the targets in the catalog to the handlers and the dispatcher.
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
        self.shelves.routers.apply(&event);
        let entries = match watch::decode(event, self.decoder.router) {
            watch::Event::Full { entries, .. } | watch::Event::Changed { entries, .. } => entries,
            watch::Event::Unchanged { .. } => return,
            watch::Event::Unavailable { fault } => return self.lost("routers", &fault),
            watch::Event::Recovered { outage } => return self.regained("routers", outage),
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
        self.hub.step(Event::Roster {
            candidates: self.roster.candidates(),
            leaders: self.roster.other_leaders(),
        });
    }

    /// Sets which routers are asked for lists, before the platform and after it.
    fn find_way(&self) {
        let before = self.roster.list_sources().into_iter();
        let before: Vec<SocketAddr> = before.map(|entry| entry.peer).collect();
        let near = self.roster.leaders().into_iter().map(|entry| entry.peer);
        let far = self.roster.others().map(|entry| entry.peer);
        let mut after: Vec<SocketAddr> = Vec::new();
        for peer in near.chain(far) {
            let known = before.contains(&peer) || after.contains(&peer);
            if !known && peer != self.roster.own().peer && after.len() < MAX_FAR_PLACES {
                after.push(peer);
            }
        }
        self.peers.set(before, after);
    }

    fn hear(&mut self, summary: gossip::Summary) {
        self.hub.step(Event::Summary(summary));
    }

    fn tick(&mut self, follower: &watch::Watcher) {
        let now = clock::now();
        self.look(now);
        if self.catalog.step(now, catalog::Event::Tick) {
            self.publish();
        }
        let count = self.fleet.take_unread();
        self.unread += count;
        if count > 0 {
            self.hub.step(Event::Unread { count });
        }
        self.hub.step(Event::Tick);
        if self.hub.newest_version() <= self.fleet.table().version {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        if now.since(since) >= VERSION_LAG {
            self.behind = Some(now);
            follower.resync();
        }
    }

    fn sweep(&mut self) {
        self.pool.sweep();
        let connections = std::mem::take(&mut self.unread);
        let carried = self.fleet.carried();
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

    /// Reports the router as not ready while many connections are refused, and for [`CROWD_HOLD`]
    /// after.
    fn crowd(&mut self, refused: u64) {
        let now = clock::now();
        if refused >= CROWD {
            self.crowded_until = now + CROWD_HOLD;
        }
        let crowded = now < self.crowded_until;
        if self.fleet.set_crowded(crowded) {
            Entry::Crowded { crowded, refused }.write(&self.log);
        }
    }

    /// Adjusts the limit of concurrent requests to the lateness of this tick, which shows CPU
    /// overload.
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
        self.sends = 0;
        for told in self.hub.tell(self.fleet.is_draining()) {
            let peers: Vec<SocketAddr> = match &told.audience {
                Audience::All => self.roster.others().map(|entry| entry.peer).collect(),
                Audience::Routers(routers) => {
                    let routers = routers.iter();
                    routers.filter_map(|r| self.roster.address(r)).collect()
                }
            };
            self.sends += (peers.len() * told.summaries.len()) as u64;
            for summary in &told.summaries {
                self.socket.send(&peers, summary).await;
            }
        }
    }

    /// Returns the time until the next round of summaries.
    fn tell_period(&self) -> Span {
        TELL.max(Span(self.sends * 1_000_000 / MAX_SENDS_PER_S))
    }

    fn lost(&self, list: &str, fault: &watch::Fault) {
        let cause = &fault.to_string();
        Entry::Lost { list, cause }.write(&self.log);
    }

    fn regained(&self, list: &str, after: Span) {
        Entry::Regained { list, after }.write(&self.log);
    }
}

/// Receives summaries of other routers and passes them on.
async fn listen(
    socket: Arc<gossip::Socket>,
    heard: mpsc::UnboundedSender<gossip::Summary>,
    log: slog::Logger,
) {
    /// Pause after a socket error, such as an ICMP report that nobody listens at a destination.
    const PAUSE: Duration = Duration::from_millis(5);

    while !heard.is_closed() {
        match socket.receive().await {
            // Sending fails only while the background task ends.
            Ok(Ok(summary)) => drop(heard.send(summary)),
            Ok(Err(error)) => slog::warn!(log, "malformed datagram dropped"; "cause" => %error),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn interval(period: Span) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(Duration::from(period));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
