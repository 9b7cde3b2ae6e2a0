//! Task that watches one list.

use super::{Event, Fault, Page, Position, Row, Source};
use crate::{
    clock,
    unit::{Span, Time},
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};

/// Timing of the calls for one list.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum wait of one call for changes. A connection that has gone silent is noticed after it.
    pub wait: Span,
    /// Time within which a call for changes must be answered, in addition to the wait.
    pub margin: Span,
    /// Delay between changes and the next call, so that one call returns several changes.
    pub batch_delay: Span,
    /// Backoff after the first failure; it doubles up to [`Settings::max_backoff`].
    pub min_backoff: Span,
    /// Maximum backoff between two failing calls.
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
    /// Starts to watch a list and sends its events to `sink`; needs a running Tokio runtime.
    pub fn spawn(
        source: Arc<dyn Source>,
        settings: Settings,
        sink: mpsc::UnboundedSender<Event<Row>>,
    ) -> Self {
        let (resync, refresh) = (Arc::<Notify>::default(), Arc::<Notify>::default());
        let state = Task {
            source,
            settings,
            sink,
            resync: resync.clone(),
            refresh: refresh.clone(),
            position: None,
            latest: Position::default(),
            unavailable_since: None,
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

/// State of the running task.
struct Task {
    source: Arc<dyn Source>,
    settings: Settings,
    sink: mpsc::UnboundedSender<Event<Row>>,
    resync: Arc<Notify>,
    refresh: Arc<Notify>,
    /// Position since which changes are requested; `None` if the whole list has to be read: at the
    /// start, after a failure or a gap, and in a new era.
    position: Option<Position>,
    /// Latest position seen.
    latest: Position,
    unavailable_since: Option<Time>,
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
        match self.source.read().await {
            // The source lags behind a position that was already seen.
            Ok(page) if page.position < self.latest => {
                self.source.report_failure();
                self.back_off().await;
            }
            Ok(page) => {
                self.backoff = self.settings.min_backoff;
                if let Some(since) = self.unavailable_since.take() {
                    let outage = clock::now().since(since);
                    self.send(Event::Recovered { outage });
                }
                self.publish(page, true);
            }
            Err(fault) => {
                if self.unavailable_since.is_none() {
                    self.unavailable_since = Some(clock::now());
                    self.send(Event::Unavailable { fault });
                }
                self.back_off().await;
            }
        }
    }

    /// Waits for changes. After a failure the whole list is read, because the changes made in the
    /// meantime may no longer be kept.
    async fn await_changes(&mut self, position: Position) {
        let limit = Duration::from(Span(self.settings.wait.0 + self.settings.margin.0));
        let call = self.source.changes(position, self.settings.wait);
        let found = tokio::select! {
            found = tokio::time::timeout(limit, call) => found,
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
        };
        match found {
            // The changes are those since a position of an era that is over.
            Ok(Ok(page)) if page.position.era > position.era => self.position = None,
            Ok(Ok(page)) if page.position >= self.latest => {
                let changed = !page.entries.is_empty();
                self.publish(page, false);
                if changed {
                    // Changes mostly come in bursts: after this delay, one call returns the rest.
                    tokio::time::sleep(Duration::from(self.settings.batch_delay)).await;
                }
            }
            Ok(Err(Fault::Compacted { .. })) => self.position = None,
            Ok(Ok(_) | Err(_)) | Err(_) => {
                self.source.report_failure();
                self.position = None;
            }
        }
    }

    fn publish(&mut self, page: Page<Row>, full: bool) {
        let Page {
            entries,
            position,
            age,
        } = page;
        self.position = Some(position);
        self.latest = position;
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

    async fn back_off(&mut self) {
        let backoff = self.backoff;
        self.backoff = Span((2 * backoff.0).min(self.settings.max_backoff.0));
        tokio::time::sleep(Duration::from(backoff)).await;
    }

    fn send(&self, event: Event<Row>) {
        // The receiver is closed only when the process ends.
        drop(self.sink.send(event));
    }
}
