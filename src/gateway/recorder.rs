//! Reads and writes what routers remember for those that start after all of them were killed.

use super::{Archive, Driver, State};
use crate::{
    clock,
    dispatch::{Event, History},
    unit::{Span, Time},
};
use std::{sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Interval of writing streams while services have targets of several builds. Streams that began since the
/// last write are lost when all routers are killed; most run for a second or more.
const WRITE_INTERVAL: Span = Span::from_millis(250);
/// Interval of writing the same again, by which readers tell it from what routers wrote that are gone.
const REFRESH_INTERVAL: Span = Span::from_secs(120);
/// Pause after a failed call.
const RETRY_PAUSE: Span = Span::from_millis(500);

/// Reads what routers remembered once, and then writes what this one remembers whenever it changes.
pub(super) struct Recorder {
    archive: Arc<dyn Archive>,
    driver: Arc<Driver>,
    state: Arc<State>,
    /// What was written last, and when.
    written: Option<(Time, History)>,
    log: slog::Logger,
}

impl Recorder {
    /// Starts to read; needs a running runtime. Aborting the task stops it.
    pub(super) fn spawn(
        archive: Arc<dyn Archive>,
        driver: Arc<Driver>,
        state: Arc<State>,
        log: slog::Logger,
    ) -> JoinHandle<()> {
        let recorder = Self {
            archive,
            driver,
            state,
            written: None,
            log,
        };
        tokio::spawn(recorder.run())
    }

    async fn run(mut self) {
        self.read().await;
        while !self.state.is_draining() {
            let pause = match self.write().await {
                Ok(()) => WRITE_INTERVAL,
                Err(fault) => {
                    slog::warn!(self.log, "history not written"; "cause" => %fault);
                    RETRY_PAUSE
                }
            };
            tokio::time::sleep(Duration::from(pause)).await;
        }
    }

    async fn read(&self) {
        loop {
            match self.archive.read().await {
                Ok(remembered) => {
                    let streams = remembered.iter().map(|history| history.streams.len());
                    slog::info!(self.log, "history read"; "routers" => remembered.len(),
                        "streams" => streams.sum::<usize>());
                    return self.driver.step(Event::Recalled(remembered));
                }
                Err(fault) => slog::warn!(self.log, "history not read"; "cause" => %fault),
            }
            tokio::time::sleep(Duration::from(RETRY_PAUSE)).await;
        }
    }

    /// Writes what this router remembers, if that has changed.
    async fn write(&mut self) -> Result<(), crate::watch::Fault> {
        let now = clock::now();
        let Some(history) = self.driver.history(now) else {
            return Ok(());
        };
        let is_known = self
            .written
            .as_ref()
            .is_some_and(|(at, written)| *written == history && now.since(*at) < REFRESH_INTERVAL);
        if is_known || history.builds.is_empty() {
            return Ok(());
        }
        self.archive.write(history.clone()).await?;
        self.written = Some((now, history));
        Ok(())
    }
}
