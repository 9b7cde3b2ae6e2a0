//! Follows one list.

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

/// Time limits of a follower.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait of one call for a change. A connection that fell silent is noticed after it.
    pub wait: Span,
    /// Time beyond the wait in which a call for changes has to be answered.
    pub slack: Span,
    /// Pause after changes, before the next call.
    pub gather: Span,
    /// Pause after the first failure; it doubles up to [`Settings::most_pause`].
    pub pause: Span,
    /// Longest pause between two calls that fail.
    pub most_pause: Span,
}

/// Running task that follows a list; it ends when the handle is dropped.
#[derive(Debug)]
pub struct Follower {
    wake: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Starts to follow a list and passes what it finds to `sink`; needs a running runtime.
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

    /// Makes the follower read the whole list at once, from another place than before.
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
    /// Version after which changes are asked for; `None` until the list was read whole, and after a
    /// gap.
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
            // An older state of the list than one that was seen tells nothing.
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

    /// Waits for changes. After a failure the list is read whole: what changed meanwhile may not be
    /// kept.
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
                    // Changes mostly come in series: one call brings the next ones.
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
        // The receiver ends last, with the process.
        drop(self.sink.send(event));
    }
}
