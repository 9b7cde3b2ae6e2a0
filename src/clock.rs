//! Clocks. No other module reads the system's clocks.
#![allow(clippy::disallowed_methods)]

use crate::unit::Time;
use std::{sync, time};

static START: sync::LazyLock<time::Instant> = sync::LazyLock::new(time::Instant::now);

/// Returns the microseconds since the first call in this process.
pub fn now() -> Time {
    Time(START.elapsed().as_micros() as u64)
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    unix_micros() / 1_000
}

/// Returns the microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let epoch = time::SystemTime::UNIX_EPOCH;
    let since = time::SystemTime::now().duration_since(epoch);
    since.map_or(0, |d| d.as_micros() as u64)
}
