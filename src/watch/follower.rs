//! Follows one list.

use super::{Event, Fault, Page, Source};
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
    /// Time beyond the wait in which a call has to be answered.
    pub slack: Span,
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
    pub fn spawn<T: Send + 'static>(
        source: Arc<dyn Source<T>>,
        settings: Settings,
        sink: mpsc::UnboundedSender<Event<T>>,
    ) -> Self {
        let wake = Arc::<Notify>::default();
        let state = State {
            source,
            settings,
            sink,
            wake: wake.clone(),
            version: None,
            lost: None,
            pause: settings.pause,
        };
        let task = tokio::spawn(state.run());
        Self { wake, task }
    }

    /// Makes the follower read the whole list at once, on another connection.
    pub fn hurry(&self) {
        self.wake.notify_one();
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct State<T> {
    source: Arc<dyn Source<T>>,
    settings: Settings,
    sink: mpsc::UnboundedSender<Event<T>>,
    wake: Arc<Notify>,
    /// Newest version that was passed on; `None` until the list was read whole, and after a gap.
    version: Option<u64>,
    lost: Option<Time>,
    pause: Span,
}

impl<T: Send + 'static> State<T> {
    async fn run(mut self) {
        let mut newest = 0;
        while !self.sink.is_closed() {
            let (found, whole) = match self.version {
                Some(version) => tokio::select! {
                    found = self.follow(version) => (found, false),
                    () = self.wake.notified() => {
                        self.version = None;
                        continue;
                    }
                },
                None => (self.read().await, true),
            };
            match found {
                // An older state of the list than one that was seen tells nothing.
                Ok(page) if page.version < newest => {
                    self.version = None;
                    self.rest().await;
                }
                Ok(page) => {
                    newest = page.version;
                    self.regain();
                    self.pass(page, whole);
                }
                Err(Fault::Forgotten { .. }) => self.version = None,
                Err(fault) => self.lose(fault).await,
            }
        }
    }

    async fn read(&self) -> Result<Page<T>, Fault> {
        let limit = Span(self.settings.slack.0);
        limited(limit, self.source.read()).await
    }

    async fn follow(&self, after: u64) -> Result<Page<T>, Fault> {
        let limit = Span(self.settings.wait.0 + self.settings.slack.0);
        limited(limit, self.source.follow(after, self.settings.wait)).await
    }

    fn pass(&mut self, page: Page<T>, whole: bool) {
        let Page { entries, version } = page;
        self.version = Some(version);
        if whole {
            self.send(Event::Whole { entries, version });
        } else if !entries.is_empty() {
            self.send(Event::Changed { entries, version });
        }
    }

    fn regain(&mut self) {
        self.pause = self.settings.pause;
        if let Some(since) = self.lost.take() {
            let after = clock::now().since(since);
            self.send(Event::Regained { after });
        }
    }

    async fn lose(&mut self, fault: Fault) {
        if self.lost.is_none() {
            self.lost = Some(clock::now());
            self.send(Event::Lost { fault });
        }
        // What changed meanwhile may not be kept: the list is read whole.
        self.version = None;
        self.rest().await;
    }

    async fn rest(&mut self) {
        let pause = self.pause;
        self.pause = Span((2 * pause.0).min(self.settings.most_pause.0));
        tokio::time::sleep(Duration::from(pause)).await;
    }

    fn send(&self, event: Event<T>) {
        // The receiver ends last, with the process.
        drop(self.sink.send(event));
    }
}

/// Limits the time of a call.
async fn limited<T>(
    limit: Span,
    call: impl Future<Output = Result<Page<T>, Fault>>,
) -> Result<Page<T>, Fault> {
    let answered = tokio::time::timeout(Duration::from(limit), call).await;
    answered.unwrap_or_else(|_| {
        let place = "the list".into();
        Err(Fault::Timeout { place, limit })
    })
}
