//! The time in which a disruption lasts.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

/// The time in which a disruption lasts; closed until it begins.
#[derive(Default)]
pub struct Window(OnceLock<(Instant, Duration)>);

impl Window {
    pub fn begin(&self, length: Duration) {
        self.0.get_or_init(|| (Instant::now(), length));
    }

    pub fn is_open(&self) -> bool {
        let window = self.0.get();
        window.is_some_and(|(begin, length)| begin.elapsed() < *length)
    }
}
