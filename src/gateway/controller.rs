//! Background task of a router: applies changes of configuration, targets and routers, runs
//! periodic work and sends load summaries to other routers.

use super::{
    Decoder, Driver, Evacuations, Incumbent, Load, Settings, Sources, State,
    cache_reader::CacheReader,
    caches::{CONFIGURATION, Caches, ROUTERS, TARGETS},
    cleanup::Cleanup,
    evacuations::Change,
    overload::Overload,
    presence::Presence,
    prober::Prober,
    record::Record,
    restoration::Restoration,
    settings::Peer,
};
use crate::{
    catalog::{self, Catalog},
    clock,
    dispatch::Event,
    gossip, id, metric, mirror,
    roster::Roster,
    unit::{Era, Span, Time},
    upstream, watch,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::mpsc, time::MissedTickBehavior};

/// Interval of the dispatcher's checks of queued requests, silent targets and shares.
pub(super) const TICK_INTERVAL: Span = Span::from_millis(10);
/// Maximum age at which the cached list of routers is served to or accepted from other routers.
pub(super) const ROUTERS_MAX_AGE: Span = Span::from_secs(25);
/// Minimum interval of load summaries in a small fleet and in one whose routers follow leaders; it
/// grows with the number of datagrams sent. A leader sends several datagrams to each follower, so
/// that shorter intervals there only wake it up more often.
const SUMMARY_INTERVAL: Span = Span::from_millis(20);
const LARGE_FLEET_SUMMARY_INTERVAL: Span = Span::from_millis(30);
/// Maximum rate of datagrams with load summaries. Above it the interval grows, so that their CPU
/// time stays far below that of the requests.
const MAX_DATAGRAMS_PER_S: u64 = 1_000;
/// Maximum interval of load summaries. A router that is silent for four of these is replaced as a
/// leader.
const MAX_SUMMARY_INTERVAL: Span = Span::from_millis(100);
/// Time after which the configuration is read again if another router reports a newer version: the
/// long-polling connection may be dead.
const REREAD_DELAY: Span = Span::from_millis(150);
/// Interval of looking which routers are to be probed.
const PROBE_INTERVAL: Span = Span::from_millis(100);
/// Interval of closing expired idle connections to targets and of updating readiness.
const SWEEP_INTERVAL: Span = Span::from_millis(500);
/// Interval of log lines on what workspaces asked for, were granted and lost.
const LEDGER_INTERVAL: Span = Span::from_secs(1);
/// Time allowed for a long-polling call beyond its requested wait. Calls to the platform time out before, so that
/// it is known which connections have gone silent.
const LONG_POLL_MARGIN: Span = Span::from_millis(800);
/// Batching delay for the list of routers; longer because many routers start at the same time.
const ROUTERS_BATCH_DELAY: Span = Span::from_millis(1_000);
/// Maximum number of further routers, in any failure domain, that are asked for lists when the
/// platform fails.
const MAX_FALLBACK_ROUTERS: usize = 3;
/// Initial and maximum time between the starts of failed reads of a list. A router must notice soon that the platform
/// can be reached again: targets that have left meanwhile are used until then.
const LIST_BACKOFF: (Span, Span) = (Span::from_millis(100), Span::from_millis(700));
/// Interval of reading the list of targets again while entries are set aside: changes of nothing but
/// the number of a write are not reported. It grows with the failure domains, so that the fleet makes
/// one such call per second at most.
const TARGET_REFRESH_INTERVAL: Span = Span::from_secs(2);
const TARGET_REFRESH_INTERVAL_PER_DOMAIN: Span = Span::from_secs(1);
/// Time after which the first leader's copy of the list contains what it has read.
const RELAY_DELAY: Span = Span::from_millis(200);
/// Era of a store that never came back from a copy.
const FIRST_ERA: Era = Era(1);
/// Entries passed over that are logged and remembered, so that a faulty writer fills neither log nor
/// memory.
const MAX_REJECTED: usize = 1_000;
/// Long-polling wait for the list of routers. Its age is not critical, because routers send
/// summaries to the others as soon as they start.
const ROUTERS_LONG_POLL_WAIT: Span = Span::from_secs(20);

/// Watchers of the platform's lists.
struct Watchers {
    configuration: watch::Watcher,
    targets: watch::Watcher,
    routers: watch::Watcher,
}

/// Background task that applies changes of the platform's lists and exchanges load summaries.
pub(super) struct Controller {
    pub(super) settings: Settings,
    pub(super) driver: Arc<Driver>,
    pub(super) state: Arc<State>,
    pub(super) pool: upstream::Pool,
    pub(super) socket: Arc<gossip::Socket>,
    pub(super) catalog: Catalog,
    /// Position of each list by its name.
    pub(super) positions: BTreeMap<&'static str, watch::Position>,
    /// Era in which the list of routers was last refreshed because another list was ahead.
    pub(super) refreshed_era: Era,
    /// Time at which the list of targets is read again, since entries are set aside or may have to be.
    pub(super) next_target_refresh: Option<Time>,
    /// Entries that were passed over, by list and name, and why.
    pub(super) rejected: BTreeMap<(&'static str, Box<str>), Box<str>>,
    pub(super) incumbent: Incumbent,
    pub(super) evacuations: Evacuations,
    pub(super) presence: Arc<Presence>,
    pub(super) cleanup: Cleanup,
    pub(super) prober: Prober,
    pub(super) cache_reader: Arc<CacheReader>,
    pub(super) roster: Roster,
    /// Routers that this one exchanges loads with while it leads.
    pub(super) leaders: BTreeSet<id::Router>,
    pub(super) peers: Arc<mirror::Peers>,
    pub(super) caches: Caches,
    pub(super) decoder: Decoder,
    pub(super) overload: Overload,
    /// Connections refused before their request was read, since the last sweep.
    pub(super) refused_connections: u64,
    /// Datagrams sent in the last round of summaries.
    pub(super) datagrams: u64,
    /// Time at which the next tick is due.
    pub(super) next_tick: Time,
    /// Time since which another router reports a newer configuration, or of the last forced read.
    pub(super) behind_since: Option<Time>,
    /// Whether the last sweep found an estimated capacity.
    pub(super) capacity_estimated: bool,
    /// Router that this one followed at the last sweep.
    pub(super) followed: Option<id::Router>,
    pub(super) log: slog::Logger,
}

impl Controller {
    pub(super) async fn run(mut self, sources: Sources, mut stop: mpsc::UnboundedReceiver<()>) {
        let (configuration_sender, mut configuration_events) = mpsc::unbounded_channel();
        let (targets_sender, mut target_events) = mpsc::unbounded_channel();
        let (routers_sender, mut router_events) = mpsc::unbounded_channel();
        let batch_delay = self.settings.batch_delay();
        let watch_settings = |wait| watch::Settings {
            wait,
            margin: LONG_POLL_MARGIN,
            batch_delay,
            min_backoff: LIST_BACKOFF.0,
            max_backoff: LIST_BACKOFF.1,
        };
        let wait = self.settings.long_poll_wait();
        let checks = |cache: &mirror::Cache| cache.checks();
        let max_list_age = self.settings.max_list_age();
        let open = |name, platform, max_age| -> Arc<dyn watch::Source> {
            let (pool, peers) = (upstream::Pool::default(), self.peers.clone());
            Arc::new(mirror::Source::new(name, platform, pool, peers, max_age))
        };
        let source = open(CONFIGURATION, sources.configuration, max_list_age);
        let configuration = watch::Watcher::spawn(
            source,
            watch_settings(wait),
            checks(&self.caches.configuration),
            configuration_sender,
        );
        let source = open(TARGETS, sources.targets, max_list_age);
        let targets = watch::Watcher::spawn(
            source,
            watch_settings(wait),
            checks(&self.caches.targets),
            targets_sender,
        );
        let source = open(ROUTERS, sources.routers, ROUTERS_MAX_AGE);
        let router_settings = watch::Settings {
            batch_delay: ROUTERS_BATCH_DELAY,
            ..watch_settings(ROUTERS_LONG_POLL_WAIT)
        };
        let routers = watch::Watcher::spawn(
            source,
            router_settings,
            checks(&self.caches.routers),
            routers_sender,
        );
        let watchers = Watchers {
            configuration,
            targets,
            routers,
        };
        let mut tick_timer = interval(TICK_INTERVAL);
        let mut summary_timer = interval(SUMMARY_INTERVAL);
        let mut probe_timer = interval(PROBE_INTERVAL);
        let mut sweep_timer = interval(SWEEP_INTERVAL);
        let mut ledger_timer = interval(LEDGER_INTERVAL);
        let (received, mut summaries) = mpsc::unbounded_channel();
        let listener = tokio::spawn(receive_summaries(
            self.socket.clone(),
            received,
            self.log.clone(),
        ));
        loop {
            tokio::select! {
                Some(event) = configuration_events.recv() => self.apply_configuration(event),
                Some(event) = target_events.recv() => self.apply_targets(event),
                Some(event) = router_events.recv() => self.apply_routers(event),
                Some((summary, from)) = summaries.recv() => self.receive(summary, from).await,
                _ = tick_timer.tick() => self.tick(&watchers),
                _ = summary_timer.tick() => {
                    self.send_summaries().await;
                    summary_timer.reset_after(Duration::from(summary_interval(self.datagrams, self.roster.is_large())));
                }
                _ = probe_timer.tick() => self.probe().await,
                _ = sweep_timer.tick() => self.sweep(),
                _ = ledger_timer.tick() => {
                    self.log_ledger();
                    self.log_limited();
                }
                _ = stop.recv() => break,
            }
        }
        listener.abort();
    }

    /// Notes the position of a list; returns the restore of the platform that it shows, if any.
    fn observe_position(
        &mut self,
        list: &'static str,
        event: &watch::Event<watch::Row>,
    ) -> Option<Restoration> {
        let position = event.position()?;
        let previous = self.positions.insert(list, position)?;
        (position.era > previous.era).then(|| Restoration::new(list, previous, position))
    }

    fn apply_configuration(&mut self, mut event: watch::Event<watch::Row>) {
        let restoration = self.observe_position(CONFIGURATION, &event);
        let replaced = self
            .incumbent
            .reconcile(&mut event, self.decoder.configuration);
        let changes = self
            .evacuations
            .reconcile(&mut event, self.decoder.evacuation);
        self.caches.configuration.apply(&event);
        // Before the configuration: a router that starts takes requests once it has one.
        let kept = self.apply_evacuations(&changes);
        if let Some(mut restoration) = restoration {
            restoration.set_aside = replaced;
            restoration.missing = kept;
            restoration.report(&self.log);
        }
        let entries = match watch::decode(event, self.decoder.configuration) {
            watch::Event::Full { entries, .. } | watch::Event::Changed { entries, .. } => entries,
            watch::Event::Unchanged { .. } | watch::Event::Checked { .. } => return,
            watch::Event::Unchecked { fault } => {
                return self.log_unchecked("configuration", &fault);
            }
            watch::Event::Unavailable { fault } => return self.log_lost("configuration", &fault),
            watch::Event::Recovered { outage, .. } => {
                return self.log_recovered("configuration", outage);
            }
        };
        for entry in entries {
            let in_force = self.state.table().version;
            match entry {
                Ok(table) if table.version > in_force => {
                    let record = Record::Configuration {
                        version: table.version,
                        routes: table.len(),
                        services: table.services.len(),
                    };
                    record.write(&self.log);
                    for cause in &table.unread {
                        Record::ConfigurationUnread { cause }.write(&self.log);
                    }
                    metrics::gauge!(metric::VERSION).set(table.version.0 as f64);
                    self.state.set_table(table.clone());
                    self.cache_reader
                        .set_engines(&table, self.catalog.targets());
                    self.driver.step(Event::Routing(table));
                    self.behind_since = None;
                }
                // A stale response must not replace a newer version.
                Ok(_) => {}
                Err(cause) => Record::InvalidConfiguration {
                    version: in_force,
                    cause: &cause,
                }
                .write(&self.log),
            }
        }
    }

    /// Passes changes of the evacuations on, and logs them; returns the number of those that a restored list
    /// lacks.
    fn apply_evacuations(&self, changes: &[Change]) -> usize {
        let mut kept = 0;
        for change in changes {
            match change {
                Change::Begun(domain) => {
                    self.log_evacuation(domain, true);
                    self.check_domain(domain);
                }
                Change::Ended(domain) => self.log_evacuation(domain, false),
                Change::Kept(domain) => {
                    kept += 1;
                    Record::EvacuationKept { domain }.write(&self.log);
                }
                Change::Unclear { row, cause } => {
                    Record::EvacuationUnclear { row, cause }.write(&self.log);
                }
            }
        }
        let is_changed = |change: &Change| matches!(change, Change::Begun(_) | Change::Ended(_));
        if changes.iter().any(is_changed) {
            let domains = self.evacuations.domains();
            metrics::gauge!(metric::EVACUATED).set(domains.len() as f64);
            self.driver.step(Event::Evacuated(domains));
        }
        kept
    }

    fn log_evacuation(&self, domain: &id::Domain, is_begun: bool) {
        let targets = self.catalog.targets().values();
        Record::Evacuation {
            domain,
            is_begun,
            targets: targets.filter(|target| target.domain == *domain).count(),
        }
        .write(&self.log);
    }

    /// Logs an evacuated failure domain that the settings don't name, if they name any.
    fn check_domain(&self, domain: &id::Domain) {
        let regions = &self.settings.dispatch.regions;
        if !regions.is_empty() && !regions.contains_key(domain) {
            let row = domain.as_str();
            let cause = "the settings name no such failure domain";
            Record::EvacuationUnclear { row, cause }.write(&self.log);
        }
    }

    fn apply_targets(&mut self, event: watch::Event<watch::Row>) {
        let is_first = !self.positions.contains_key(TARGETS);
        let restoration = self.observe_position(TARGETS, &event);
        self.caches.targets.apply(&event);
        let age = event.age();
        // A router that starts can't tell how long ago the last restore was.
        let may_be_copied = is_first && event.position().is_some_and(|at| at.era > FIRST_ERA);
        if restoration.is_some() || may_be_copied {
            self.catalog.step(clock::now(), catalog::Event::Restored);
        }
        let event = match watch::decode(event, self.decoder.target) {
            watch::Event::Unchanged { age, .. } => {
                return self.driver.step(Event::TargetsConfirmed { age });
            }
            watch::Event::Full { entries, .. } => {
                self.note_rejected_targets(&entries);
                catalog::Event::Snapshot(entries)
            }
            watch::Event::Changed { entries, .. } => {
                self.note_rejected_targets(&entries);
                catalog::Event::Update(entries)
            }
            watch::Event::Checked { asked } => {
                return self.driver.step(Event::TargetsChecked { asked });
            }
            watch::Event::Unchecked { fault } => return self.log_unchecked("targets", &fault),
            watch::Event::Unavailable { fault } => {
                self.log_lost("targets", &fault);
                catalog::Event::Unavailable
            }
            watch::Event::Recovered {
                outage,
                confirmed_at,
                failed_at,
            } => {
                self.log_recovered("targets", outage);
                catalog::Event::Recovered {
                    confirmed_at,
                    failed_at,
                }
            }
        };
        let whole = matches!(event, catalog::Event::Snapshot(_));
        if self.catalog.step(clock::now(), event) || whole {
            self.publish_targets();
        }
        if let Some(age) = age {
            self.driver.step(Event::TargetsConfirmed { age });
        }
        if let Some(mut restoration) = restoration {
            restoration.missing = self.catalog.missing();
            restoration.set_aside = self.catalog.set_aside();
            restoration.report(&self.log);
        }
    }

    fn note_rejected_targets(&mut self, entries: &[catalog::Entry]) {
        for entry in entries {
            let is_used = entry.target.is_some();
            self.note_rejected(TARGETS, &entry.name, entry.rejected.clone(), is_used);
        }
    }

    /// Logs an entry of a list that is passed over, or used although a part of it can't be read, unless that was logged
    /// when the list was read before.
    fn note_rejected(
        &mut self,
        list: &'static str,
        entry: &str,
        cause: Option<Box<str>>,
        is_used: bool,
    ) {
        let Some(cause) = cause else {
            self.rejected.remove(&(list, entry.into()));
            return;
        };
        let known = self.rejected.get(&(list, entry.into()));
        if known != Some(&cause) && self.rejected.len() < MAX_REJECTED {
            Record::EntryRejected {
                list,
                entry,
                cause: &cause,
                is_used,
            }
            .write(&self.log);
            self.rejected.insert((list, entry.into()), cause);
        }
    }

    /// Passes the targets in the catalog to the handlers and the dispatcher.
    fn publish_targets(&mut self) {
        let targets = self.catalog.targets().clone();
        let record = Record::Targets {
            version: self.positions.get(TARGETS).map_or(0, |at| at.version),
            live: targets.len(),
            draining: targets.values().filter(|target| target.draining).count(),
        };
        record.write(&self.log);
        self.state.set_targets(Arc::new(targets.clone()));
        self.cache_reader.set_engines(&self.state.table(), &targets);
        self.driver.step(Event::Targets(targets));
    }

    fn apply_routers(&mut self, event: watch::Event<watch::Row>) {
        let restoration = self.observe_position(ROUTERS, &event);
        self.caches.routers.apply(&event);
        let is_full = matches!(event, watch::Event::Full { .. });
        let entries = match watch::decode(event, self.decoder.router) {
            watch::Event::Full { entries, .. } | watch::Event::Changed { entries, .. } => entries,
            watch::Event::Unchanged { .. } | watch::Event::Checked { .. } => return,
            watch::Event::Unchecked { fault } => return self.log_unchecked("routers", &fault),
            watch::Event::Unavailable { fault } => return self.log_lost("routers", &fault),
            watch::Event::Recovered { outage, .. } => {
                return self.log_recovered("routers", outage);
            }
        };
        if is_full {
            self.check_presence(&entries, restoration);
            let is_listed =
                |router: &id::Router| entries.iter().any(|(listed, _)| listed == router);
            self.roster.retain_live(is_listed);
        } else {
            self.defend_presence(&entries);
        }
        for (router, entry) in entries {
            let rejected = entry.as_ref().err().cloned();
            self.note_rejected(ROUTERS, router.as_str(), rejected, false);
            let entry = entry.unwrap_or_default();
            let present = entry.is_some();
            let changed = match entry {
                Some(entry) => self.roster.add(entry),
                None => self.roster.remove(&router),
            };
            if changed {
                let router = &router;
                Record::Peer { router, present }.write(&self.log);
            }
        }
        self.publish_roster();
    }

    /// Passes the routers in the roster to the sources of lists and the dispatcher.
    fn publish_roster(&mut self) {
        self.update_list_sources();
        self.cache_reader.set_routers(&self.roster);
        let leaders = self.roster.other_leaders();
        self.leaders = leaders.iter().cloned().collect();
        let others = self.roster.others().map(|entry| entry.router.clone());
        self.driver.step(Event::Listed(others.collect()));
        self.driver.step(Event::Roster {
            candidates: self.roster.candidates(),
            leaders,
            neighbors: self.roster.neighbors(),
            others: self.roster.len(),
        });
    }

    /// Writes this router's own entry again if a change has removed it, or has marked it as that of a router that is
    /// gone.
    fn defend_presence(&self, entries: &[Peer]) {
        let own = &self.roster.own().router;
        let is_doubted = match entries.iter().rfind(|(router, _)| router == own) {
            Some((_, Ok(Some(entry)))) => entry.doubted,
            Some((_, Ok(None) | Err(_))) => true,
            None => false,
        };
        if is_doubted && !self.state.is_draining() && self.presence.was_written() {
            self.presence.announce();
        }
    }

    /// Writes this router's own entry again if the whole list lacks it, or removes it again if the
    /// router shuts down: the platform's list may have come back from a copy. Other routers that are
    /// missing stay in the roster while they are alive; they do the same.
    fn check_presence(&self, entries: &[Peer], restoration: Option<Restoration>) {
        let own = self.roster.own();
        let is_listed = |router| entries.iter().any(|(listed, _)| listed == router);
        let listed = entries
            .iter()
            .any(|(_, entry)| matches!(entry, Ok(Some(entry)) if entry == own));
        let draining = self.state.is_draining();
        let written_again = !draining && !listed && self.presence.was_written();
        if written_again {
            self.presence.announce();
        }
        if draining && listed {
            let presence = self.presence.clone();
            tokio::spawn(async move { presence.withdraw().await });
        }
        if let Some(mut restoration) = restoration {
            let others = self.roster.others().map(|entry| &entry.router);
            restoration.missing = others.filter(|router| !is_listed(*router)).count();
            restoration.written_again = usize::from(written_again);
            restoration.set_aside = usize::from(draining && listed);
            restoration.report(&self.log);
        }
    }

    /// Sets which routers are asked for lists, before the platform and after it.
    fn update_list_sources(&self) {
        let before = self.roster.list_sources().into_iter();
        let before: Vec<SocketAddr> = before.map(|entry| entry.peer).collect();
        let near = self.roster.leaders().into_iter().map(|entry| entry.peer);
        let far = self.roster.live_others().map(|entry| entry.peer);
        let mut after: Vec<SocketAddr> = Vec::new();
        for peer in near.chain(far) {
            let known = before.contains(&peer) || after.contains(&peer);
            if !known && peer != self.roster.own().peer && after.len() < MAX_FALLBACK_ROUTERS {
                after.push(peer);
            }
        }
        self.peers.set(before, after);
    }

    async fn receive(&mut self, summary: gossip::Summary, from: SocketAddr) {
        self.roster.record_sender(&summary.router, from);
        if self.roster.record_heard(clock::now(), &summary.router) {
            let router = &summary.router;
            Record::RouterHeard { router }.write(&self.log);
            self.publish_roster();
        }
        match summary.scope {
            gossip::Scope::Probe => {
                let answer = self.bare_summary(gossip::Scope::Alive);
                self.socket.send(&[from], &answer).await;
            }
            gossip::Scope::Alive => {}
            gossip::Scope::Group | gossip::Scope::Follower | gossip::Scope::Rest => {
                self.driver.step(Event::Summary(summary));
            }
        }
    }

    fn bare_summary(&self, scope: gossip::Scope) -> gossip::Summary {
        let own = &self.settings.dispatch;
        gossip::Summary::bare(own.router.clone(), own.incarnation, scope)
    }

    /// Probes routers of which nothing was heard for a while, and takes note of those that don't answer.
    async fn probe(&mut self) {
        let now = clock::now();
        let (silent, lost) = self.roster.take_silent(now);
        if !silent.is_empty() || !lost.is_empty() {
            let (silent, lost) = (&silent[..], &lost[..]);
            Record::RoutersSilent { silent, lost }.write(&self.log);
            self.publish_roster();
        }
        let due = match self.driver.followed() {
            Some(followed) => self
                .roster
                .take_due_probes(now, &BTreeSet::from([followed])),
            None => self.roster.take_due_probes(now, &self.leaders),
        };
        let due = due.iter().filter_map(|router| self.roster.address(router));
        let due: Vec<SocketAddr> = due.collect();
        if !due.is_empty() {
            let probe = self.bare_summary(gossip::Scope::Probe);
            self.socket.send(&due, &probe).await;
        }
    }

    /// Reads the list of routers again if another list shows a later era, and the list of targets
    /// while entries are set aside.
    fn refresh_lists(&mut self, now: Time, watchers: &Watchers) {
        let newest = self.positions.values().map(|position| position.era).max();
        let newest = newest.unwrap_or_default();
        let routers = self.positions.get(ROUTERS);
        if routers.is_some_and(|at| at.era < newest) && self.refreshed_era < newest {
            self.refreshed_era = newest;
            watchers.routers.refresh();
        }
        if self.catalog.take_refresh(now) {
            let reads_platform = self.roster.list_sources().is_empty();
            let delay = if reads_platform { Span(0) } else { RELAY_DELAY };
            self.next_target_refresh = Some(now + delay);
        } else if self.catalog.set_aside() > 0 {
            let domains = self.roster.domain_count() as u64;
            let interval = Span(TARGET_REFRESH_INTERVAL_PER_DOMAIN.0 * domains);
            let interval = interval.max(TARGET_REFRESH_INTERVAL);
            self.next_target_refresh.get_or_insert(now + interval);
        }
        if self.next_target_refresh.is_some_and(|at| at <= now) {
            self.next_target_refresh = None;
            watchers.targets.refresh();
        }
    }

    fn tick(&mut self, watchers: &Watchers) {
        let now = clock::now();
        self.refresh_lists(now, watchers);
        self.observe_lateness(now);
        if self.catalog.step(now, catalog::Event::Tick) {
            self.publish_targets();
        }
        for target in &self.catalog.take_doubted() {
            Record::TargetSetAside { target }.write(&self.log);
        }
        let count = self.state.take_refused_connections();
        self.refused_connections += count;
        if count > 0 {
            self.driver.step(Event::Shed { count });
        }
        self.driver.step(Event::Tick);
        self.prober.step();
        if !self.state.is_draining() {
            self.cache_reader.tick();
        }
        if self.driver.newest_version() <= self.state.table().version {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) >= REREAD_DELAY {
            self.behind_since = Some(now);
            watchers.configuration.resync();
        }
    }

    fn sweep(&mut self) {
        self.pool.sweep();
        if !self.state.is_draining() {
            self.cleanup.step(clock::now(), &self.roster.removable());
        }
        let connections = std::mem::take(&mut self.refused_connections);
        let requests = self.state.take_refused_requests();
        let closures = self.state.take_closures();
        let spent = self.state.take_refusing();
        let in_progress = self.state.in_progress();
        self.update_readiness(connections);
        self.log_changes();
        if connections > 0 || requests > 0 {
            let limit = self.state.limit();
            Record::ConnectionsRefused {
                connections,
                requests,
                closures,
                spent,
                in_progress,
                limit,
            }
            .write(&self.log);
        }
    }

    /// Logs what each workspace asked for, was granted and lost at this router, and the shares.
    fn log_ledger(&self) {
        let (entries, standing) = self.driver.take_ledger();
        if entries.is_empty() {
            return;
        }
        Record::Shares(&standing).write(&self.log);
        for (workspace, entry, allocation) in &entries {
            Record::Usage {
                workspace,
                entry,
                allocation,
            }
            .write(&self.log);
            for (loss, amount) in &entry.lost {
                Record::Loss {
                    workspace,
                    loss: *loss,
                    amount: *amount,
                }
                .write(&self.log);
            }
        }
    }

    /// Logs what was sent to each target with a limit.
    fn log_limited(&self) {
        for limited in &self.driver.take_limited() {
            Record::LimitedTarget(limited).write(&self.log);
        }
    }

    /// Logs changes of what the dispatcher decides by itself.
    fn log_changes(&mut self) {
        let estimated = self.driver.estimated_capacity();
        if self.capacity_estimated != estimated.is_some() {
            self.capacity_estimated = estimated.is_some();
            let configured = self.state.table().limits.tokens_per_s;
            Record::Capacity {
                configured,
                estimated,
            }
            .write(&self.log);
        }
        let followed = self.driver.followed();
        if self.followed != followed {
            Record::Followed {
                router: followed.as_ref(),
            }
            .write(&self.log);
            self.followed = followed;
        }
    }

    /// Reports the router as not ready while it is overloaded.
    fn update_readiness(&mut self, refused: u64) {
        let load = Load {
            connections: self.state.take_connections(),
            refused,
            is_outranked: self.roster.is_outranked(),
        };
        let driver: &Driver = &self.driver;
        let overloaded = self.overload.observe(clock::now(), &load, driver);
        if self.state.set_overloaded(overloaded) {
            Record::Readiness {
                overloaded,
                refused,
            }
            .write(&self.log);
        }
    }

    /// Adjusts the limit of concurrent requests to the lateness of this tick, which shows CPU
    /// overload.
    fn observe_lateness(&mut self, now: Time) {
        let lateness = now.since(self.next_tick);
        self.next_tick = now + TICK_INTERVAL;
        let (before, after) = self.state.observe_lateness(lateness);
        if before == after {
            return;
        }
        metrics::gauge!(metric::CARRY_LIMIT).set(f64::from(after));
        if before == u32::MAX {
            Record::CpuOverload {
                lateness,
                limit: after,
            }
            .write(&self.log);
        }
    }

    async fn send_summaries(&mut self) {
        self.datagrams = 0;
        for batch in self.driver.summaries(self.state.is_draining()) {
            let routers = batch.recipients.iter();
            let peers = routers.filter_map(|router| self.roster.address(router));
            let peers: Vec<SocketAddr> = peers.collect();
            self.datagrams += (peers.len() * batch.summaries.len()) as u64;
            for summary in &batch.summaries {
                self.socket.send(&peers, summary).await;
            }
        }
    }

    fn log_lost(&self, list: &str, fault: &watch::Fault) {
        let cause = &fault.to_string();
        Record::ListLost { list, cause }.write(&self.log);
    }

    fn log_unchecked(&self, list: &str, fault: &watch::Fault) {
        let cause = &fault.to_string();
        Record::ListUnchecked { list, cause }.write(&self.log);
    }

    fn log_recovered(&self, list: &str, elapsed: Span) {
        Record::ListRecovered { list, elapsed }.write(&self.log);
    }
}

/// Returns the time until the next round of summaries, after one of a number of datagrams.
pub fn summary_interval(datagrams: u64, is_large_fleet: bool) -> Span {
    let min = if is_large_fleet {
        LARGE_FLEET_SUMMARY_INTERVAL
    } else {
        SUMMARY_INTERVAL
    };
    let interval = Span(datagrams * 1_000_000 / MAX_DATAGRAMS_PER_S);
    interval.clamp(min, MAX_SUMMARY_INTERVAL)
}

/// Receives summaries of other routers and passes them on.
async fn receive_summaries(
    socket: Arc<gossip::Socket>,
    received: mpsc::UnboundedSender<(gossip::Summary, SocketAddr)>,
    log: slog::Logger,
) {
    /// Pause after a socket error, such as an ICMP report that nobody listens at a destination.
    const PAUSE: Duration = Duration::from_millis(5);

    while !received.is_closed() {
        match socket.receive().await {
            // Sending fails only while the background task ends.
            Ok(Ok(summary)) => drop(received.send(summary)),
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
