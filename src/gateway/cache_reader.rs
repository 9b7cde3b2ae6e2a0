//! Calls of engines for the changes of their caches.

use super::{Driver, Protocol, record::Record};
use crate::{
    cache_events::{Action, Applied, Batch, Call, Event, Fault, Readers},
    catalog, clock, id, metric, roster, routing,
    unit::{Span, Time},
    upstream,
};
use bytes::Bytes;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Time allowed for a call beyond the time that the engine may wait.
const MARGIN: Span = Span::from_millis(600);
/// Maximum size of a response: some 15,000 events, far more than an engine has in the longest backoff.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval of log lines.
const LOG_INTERVAL: Span = Span::from_secs(10);

/// Calls engines for the changes of their caches, and passes these on to the dispatcher.
///
/// The connections are its own: none that a request could use is taken, and an engine has one for each of its readers.
pub(super) struct CacheReader {
    inner: Mutex<Inner>,
    driver: Arc<Driver>,
    protocol: Arc<dyn Protocol>,
    pool: upstream::Pool,
    log: slog::Logger,
}

struct Inner {
    readers: Readers,
    counts: Counts,
    next_log: Time,
}

/// What calls brought since the last log line.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) calls: u64,
    pub(super) failed: u64,
    pub(super) gaps: u64,
    pub(super) applied: Applied,
}

impl Counts {
    fn add(&mut self, is_gap: bool, applied: &Applied) {
        self.gaps += u64::from(is_gap);
        self.applied.add(applied);
    }
}

impl CacheReader {
    pub(super) fn open(
        readers: Readers,
        driver: Arc<Driver>,
        protocol: Arc<dyn Protocol>,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                readers,
                counts: Counts::default(),
                next_log: clock::now() + LOG_INTERVAL,
            }),
            driver,
            protocol,
            pool: upstream::Pool::default(),
            log,
        })
    }

    /// Sets the routers among which the engines are divided: those that are not silent.
    pub(super) fn set_routers(self: &Arc<Self>, roster: &roster::Roster) {
        let others = roster.live_others();
        let others = others.map(|entry| (entry.router.clone(), entry.domain.clone()));
        self.step(Event::Routers(others.collect()));
    }

    /// Sets the engines: the targets of services whose engines have cache events.
    pub(super) fn set_engines(
        self: &Arc<Self>,
        table: &routing::Table,
        targets: &BTreeMap<id::Target, catalog::Target>,
    ) {
        self.step(Event::Engines(engines(table, targets)));
    }

    /// Makes the calls that are due; to be called regularly, in a running runtime.
    pub(super) fn tick(self: &Arc<Self>) {
        self.step(Event::Tick);
        self.report();
    }

    fn step(self: &Arc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.lock().readers.step(clock::now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Arc<Self>, action: Action) {
        match action {
            Action::Call(call) => {
                self.lock().counts.calls += 1;
                let reader = self.clone();
                tokio::spawn(async move { reader.call(call).await });
            }
            Action::Report(report) => {
                let applied = self.driver.apply_cache_events(&report);
                metrics::counter!(metric::CACHE_EVENTS, "change" => "confirmed")
                    .increment(applied.confirmed);
                metrics::counter!(metric::CACHE_EVENTS, "change" => "evicted")
                    .increment(applied.evicted);
                metrics::counter!(metric::CACHE_ERRORS, "estimate" => "cached")
                    .increment(applied.wrongly_cached);
                metrics::counter!(metric::CACHE_ERRORS, "estimate" => "evicted")
                    .increment(applied.wrongly_evicted);
                let is_gap = report.reset.is_some();
                metrics::counter!(metric::CACHE_GAPS).increment(u64::from(is_gap));
                self.lock().counts.add(is_gap, &applied);
                let run = report.run;
                self.step(Event::Applied { run, applied });
            }
        }
    }

    async fn call(self: Arc<Self>, call: Call) {
        let limit = Duration::from(Span(call.wait.0 + MARGIN.0));
        let fetched = tokio::time::timeout(limit, self.fetch(&call)).await;
        let result = fetched.unwrap_or(Err(Fault::Silent));
        let label = match &result {
            Ok(_) => "read",
            Err(Fault::Missing) => "missing",
            Err(Fault::Crowded) => "crowded",
            Err(Fault::Status(_)) => "refused",
            Err(Fault::Unreadable) => "unreadable",
            Err(Fault::Silent) => "silent",
        };
        metrics::counter!(metric::CACHE_CALLS, "result" => label).increment(1);
        if result.is_err() {
            self.lock().counts.failed += 1;
        }
        let run = call.run;
        self.step(Event::Ended { run, result });
    }

    async fn fetch(&self, call: &Call) -> Result<Batch, Fault> {
        let mut request = http::Request::new(Bytes::new().into());
        self.protocol.write_cache_call(call, &mut request);
        let response = self.pool.fetch(call.address, request, MAX_BODY_BYTES);
        let response = response.await.map_err(|_| Fault::Silent)?;
        self.protocol
            .parse_cache_events(response.status(), response.body())
    }

    /// Logs what calls brought, if there were any, and closes idle connections to engines that this router reads no more.
    fn report(&self) {
        let now = clock::now();
        let mut inner = self.lock();
        if now < inner.next_log {
            return;
        }
        inner.next_log = now + LOG_INTERVAL;
        self.pool.sweep();
        let counts = std::mem::take(&mut inner.counts);
        if counts.calls == 0 {
            return;
        }
        let mut failing = inner.readers.failing();
        let fault = failing.next();
        Record::CacheEvents {
            engines: inner.readers.count(),
            counts: &counts,
            failing: usize::from(fault.is_some()) + failing.count(),
            fault,
        }
        .write(&self.log);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the targets of services whose engines have cache events.
fn engines(
    table: &routing::Table,
    targets: &BTreeMap<id::Target, catalog::Target>,
) -> Vec<crate::cache_events::Engine> {
    let engines = targets.values().filter_map(|target| {
        let service = table.services.get(&target.service)?;
        let max_readers = service.engine.map_or(0, |engine| engine.event_readers);
        (max_readers > 0).then(|| crate::cache_events::Engine {
            run: target.into(),
            address: target.address,
            domain: target.domain.clone(),
            max_readers,
        })
    });
    engines.collect()
}
