//! Task that watches one list.

use super::{Event, Fault, Page, Row, Source};
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
    pub slack: Span,
    /// Delay between changes and the next call, so that one call returns several changes.
    pub gather: Span,
    /// Backoff after the first failure; it doubles up to [`Settings::most_pause`].
    pub pause: Span,
    /// Maximum backoff between two failing calls.
    pub most_pause: Span,
}

/// Handle of a task that watches a list; dropping it ends the task.
#[derive(Debug)]
pub struct Follower {
    wake: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Starts to watch a list and sends its events to `sink`; needs a running Tokio runtime.
    pub fn spawn(
        source: Arc<dyn Source>,
        settings: Settings,
        sink: mpsc::UnboundedSender<Event<Row>>,
    ) -> Self {
        let wake = Arc::<Notify>::default();
        let state = State {
            source,
            settings,
            sink,
            wake: wake.clone(),
            version: None,
            newest: 0,
            lost: None,
            pause: settings.pause,
        };
        let task = tokio::spawn(state.run());
        Self { wake, task }
    }

    /// Makes the task read the whole list at once, from another endpoint than before.
    pub fn hurry(&self) {
        self.wake.notify_one();
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct State {
    source: Arc<dyn Source>,
    settings: Settings,
    sink: mpsc::UnboundedSender<Event<Row>>,
    wake: Arc<Notify>,
    /// Version since which changes are requested; `None` if the whole list has to be read, which is at
    /// the start and after a failure or a gap.
    version: Option<u64>,
    newest: u64,
    lost: Option<Time>,
    pause: Span,
}

impl State {
    async fn run(mut self) {
        while !self.sink.is_closed() {
            match self.version {
                Some(version) => self.follow(version).await,
                None => self.read().await,
            }
        }
    }

    async fn read(&mut self) {
        match self.source.read().await {
            // The source lags behind a version that was already seen.
            Ok(page) if page.version < self.newest => {
                self.source.doubt();
                self.rest().await;
            }
            Ok(page) => {
                self.pause = self.settings.pause;
                if let Some(since) = self.lost.take() {
                    let after = clock::now().since(since);
                    self.send(Event::Regained { after });
                }
                self.pass(page, true);
            }
            Err(fault) => {
                if self.lost.is_none() {
                    self.lost = Some(clock::now());
                    self.send(Event::Lost { fault });
                }
                self.rest().await;
            }
        }
    }

    /// Waits for changes. After a failure the whole list is read, because the changes made in the
    /// meantime may no longer be kept.
    async fn follow(&mut self, version: u64) {
        let limit = Duration::from(Span(self.settings.wait.0 + self.settings.slack.0));
        let call = self.source.follow(version, self.settings.wait);
        let found = tokio::select! {
            found = tokio::time::timeout(limit, call) => found,
            () = self.wake.notified() => {
                self.source.doubt();
                self.version = None;
                return;
            }
        };
        match found {
            Ok(Ok(page)) if page.version >= self.newest => {
                let changed = !page.entries.is_empty();
                self.pass(page, false);
                if changed {
                    // Changes mostly come in bursts: after this delay, one call returns the rest.
                    tokio::time::sleep(Duration::from(self.settings.gather)).await;
                }
            }
            Ok(Err(Fault::Forgotten { .. })) => self.version = None,
            Ok(Ok(_) | Err(_)) | Err(_) => {
                self.source.doubt();
                self.version = None;
            }
        }
    }

    fn pass(&mut self, page: Page<Row>, whole: bool) {
        let Page {
            entries,
            version,
            age,
        } = page;
        self.version = Some(version);
        self.newest = version;
        self.send(match (whole, entries.is_empty()) {
            (true, _) => Event::Whole {
                entries,
                version,
                age,
            },
            (false, true) => Event::Current { version, age },
            (false, false) => Event::Changed {
                entries,
                version,
                age,
            },
        });
    }

    async fn rest(&mut self) {
        let pause = self.pause;
        self.pause = Span((2 * pause.0).min(self.settings.most_pause.0));
        tokio::time::sleep(Duration::from(pause)).await;
    }

    fn send(&self, event: Event<Row>) {
        // The receiver is closed only when the process ends.
        drop(self.sink.send(event));
    }
}
