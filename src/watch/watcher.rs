//! Task that watches one list.

use super::{Event, Fault, Page, Position, Row, Source};
use crate::{
    clock,
    unit::{Span, Time},
};
use futures::future::BoxFuture;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};

/// Minimum time between two checks of a list: many streams may be resumed in the same moment, and a router checks
/// for those that read its copy, too.
const CHECK_INTERVAL: Span = Span::from_millis(20);
/// Time within which a check must be answered.
const CHECK_TIMEOUT: Span = Span::from_millis(700);

/// Timing of the calls for one list.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum wait of one call for changes. A connection that has gone silent is noticed after it.
    pub wait: Span,
    /// Time within which a call for changes must be answered, in addition to the wait.
    pub margin: Span,
    /// Delay between changes and the next call, so that one call returns several changes.
    pub batch_delay: Span,
    /// Time from the start of the first call that fails to that of the next; it doubles up to
    /// [`Settings::max_backoff`].
    pub min_backoff: Span,
    /// Maximum time from the start of a call that fails to that of the next, unless the call takes longer.
    pub max_backoff: Span,
}

/// Handle of a task that watches a list; dropping it ends the task.
#[derive(Debug)]
pub struct Watcher {
    resync: Arc<Notify>,
    refresh: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Watcher {
    /// Starts to watch a list and sends its events to `sink`; needs a running Tokio runtime. Whenever `checks` is
    /// notified, the platform is asked once more, which [`Event::Checked`] reports.
    pub fn spawn(
        source: Arc<dyn Source>,
        settings: Settings,
        checks: Arc<Notify>,
        sink: mpsc::UnboundedSender<Event<Row>>,
    ) -> Self {
        let (resync, refresh) = (Arc::<Notify>::default(), Arc::<Notify>::default());
        let state = Task {
            source,
            settings,
            sink,
            resync: resync.clone(),
            refresh: refresh.clone(),
            checks,
            check: None,
            last_check: Time::default(),
            position: None,
            latest: Position::default(),
            confirmed_at: Time::default(),
            unavailable_since: None,
            failed_at: Time::default(),
            backoff: settings.min_backoff,
        };
        let task = tokio::spawn(state.run());
        Self {
            resync,
            refresh,
            task,
        }
    }

    /// Makes the task read the whole list at once, from another endpoint than before; that endpoint
    /// may lag behind this one within an era.
    pub fn resync(&self) {
        self.resync.notify_one();
    }

    /// Makes the task read the whole list at once.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Time at which the platform was asked, and its answer.
type Check = (Time, Result<Page<Row>, Fault>);

/// State of the running task.
struct Task {
    source: Arc<dyn Source>,
    settings: Settings,
    sink: mpsc::UnboundedSender<Event<Row>>,
    resync: Arc<Notify>,
    refresh: Arc<Notify>,
    checks: Arc<Notify>,
    /// Check in progress.
    check: Option<BoxFuture<'static, Check>>,
    /// Time at which the last check began.
    last_check: Time,
    /// Position since which changes are requested; `None` if the whole list has to be read: at the
    /// start, after a failure or a gap, and in a new era.
    position: Option<Position>,
    /// Latest position seen.
    latest: Position,
    /// Time at which the platform last sent or confirmed the list.
    confirmed_at: Time,
    unavailable_since: Option<Time>,
    /// Time at which the last read that failed began.
    failed_at: Time,
    backoff: Span,
}

impl Task {
    async fn run(mut self) {
        while !self.sink.is_closed() {
            match self.position {
                Some(position) => self.await_changes(position).await,
                None => self.read().await,
            }
        }
    }

    async fn read(&mut self) {
        let begun = clock::now();
        match self.source.read().await {
            // The source lags behind a position that was already seen.
            Ok(page) if page.position < self.latest => {
                self.source.report_failure();
                self.back_off(begun).await;
            }
            Ok(page) => {
                self.backoff = self.settings.min_backoff;
                if let Some(since) = self.unavailable_since.take() {
                    self.send(Event::Recovered {
                        outage: clock::now().since(since),
                        confirmed_at: self.confirmed_at,
                        failed_at: self.failed_at,
                    });
                }
                self.publish(page, true);
            }
            Err(fault) => {
                self.failed_at = begun;
                if self.unavailable_since.is_none() {
                    self.unavailable_since = Some(clock::now());
                    self.send(Event::Unavailable { fault });
                }
                self.back_off(begun).await;
            }
        }
    }

    /// Waits for changes. After a failure the whole list is read, because the changes made in the
    /// meantime may no longer be kept.
    async fn await_changes(&mut self, position: Position) {
        let limit = Duration::from(Span(self.settings.wait.0 + self.settings.margin.0));
        let source = self.source.clone();
        let call = source.changes(position, self.settings.wait);
        let call = tokio::time::timeout(limit, call);
        tokio::pin!(call);
        let found = loop {
            tokio::select! {
                found = &mut call => break found,
                check = finished(&mut self.check) => {
                    self.check = None;
                    self.apply_check(position, check);
                    if self.position != Some(position) {
                        return;
                    }
                }
                () = self.checks.notified(), if self.check.is_none() => self.begin_check(position),
                () = self.resync.notified() => {
                    self.source.report_failure();
                    self.latest.version = 0;
                    self.position = None;
                    return;
                }
                () = self.refresh.notified() => {
                    self.position = None;
                    return;
                }
            }
        };
        match found {
            // The changes are those since a position of an era that is over.
            Ok(Ok(page)) if page.position.era > position.era => self.position = None,
            Ok(Ok(page)) if page.position >= self.latest => {
                let changed = !page.entries.is_empty();
                self.publish(page, false);
                if changed {
                    self.delay_batch().await;
                }
            }
            Ok(Err(Fault::Compacted { .. })) => self.position = None,
            Ok(Ok(_) | Err(_)) | Err(_) => {
                self.source.report_failure();
                self.position = None;
            }
        }
    }

    /// Waits for a moment after changes: they mostly come in bursts, of which one call then returns the rest.
    async fn delay_batch(&mut self) {
        tokio::select! {
            () = tokio::time::sleep(Duration::from(self.settings.batch_delay)) => {}
            // The check begins with the next call.
            () = self.checks.notified(), if self.check.is_none() => self.checks.notify_one(),
        }
    }

    fn begin_check(&mut self, position: Position) {
        let source = self.source.clone();
        let earliest = self.last_check + CHECK_INTERVAL;
        let delay = earliest.since(clock::now());
        self.last_check = clock::now() + delay;
        let check = async move {
            tokio::time::sleep(Duration::from(delay)).await;
            let asked = clock::now();
            let call = source.check(position);
            let answer = tokio::time::timeout(Duration::from(CHECK_TIMEOUT), call).await;
            let answer = answer.unwrap_or_else(|_| {
                Err(Fault::Timeout {
                    endpoint: "the list that was checked".into(),
                    limit: CHECK_TIMEOUT,
                })
            });
            (asked, answer)
        };
        self.check = Some(Box::pin(check));
    }

    /// Applies the answer to a check of the list, while changes since a position are awaited.
    fn apply_check(&mut self, position: Position, (asked, answer): Check) {
        match answer {
            Ok(page) if page.position.era != position.era => self.read_and_check(),
            // What was published meanwhile is as of later.
            Ok(page) if page.position < self.latest => self.send(Event::Checked { asked }),
            Ok(page) => {
                if page.entries.is_empty() {
                    let age = page.age;
                    self.confirm(age);
                    self.send(Event::Unchanged { position, age });
                } else {
                    self.publish(page, false);
                }
                self.send(Event::Checked { asked });
            }
            Err(Fault::Compacted { .. }) => self.read_and_check(),
            Err(fault) => self.send(Event::Unchecked { fault }),
        }
    }

    /// Has the whole list read, and checked afterwards.
    fn read_and_check(&mut self) {
        self.position = None;
        self.checks.notify_one();
    }

    fn publish(&mut self, page: Page<Row>, full: bool) {
        let Page {
            entries,
            position,
            age,
        } = page;
        self.position = Some(position);
        self.latest = position;
        self.confirm(age);
        self.send(match (full, entries.is_empty()) {
            (true, _) => Event::Full {
                entries,
                position,
                age,
            },
            (false, true) => Event::Unchanged { position, age },
            (false, false) => Event::Changed {
                entries,
                position,
                age,
            },
        });
    }

    /// Notes that the list was current some time ago.
    fn confirm(&mut self, age: Span) {
        let confirmed_at = Time(clock::now().0.saturating_sub(age.0));
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Waits until the next call is due after one that began at `begun`.
    async fn back_off(&mut self, begun: Time) {
        let next = begun + self.backoff;
        self.backoff = Span((2 * self.backoff.0).min(self.settings.max_backoff.0));
        tokio::time::sleep(Duration::from(next.since(clock::now()))).await;
    }

    fn send(&self, event: Event<Row>) {
        // The receiver is closed only when the process ends.
        drop(self.sink.send(event));
    }
}

/// Waits for the end of a check; never returns without one.
async fn finished(check: &mut Option<BoxFuture<'static, Check>>) -> Check {
    match check {
        Some(check) => check.await,
        None => std::future::pending().await,
    }
}
