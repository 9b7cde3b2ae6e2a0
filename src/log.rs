//! Structured logs: one JSON object a line on standard error.

use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};
use std::{io, sync::Mutex};

use crate::clock;

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Level {
    /// Failures that an operator has to act on.
    Error,
    /// Things that may need an operator.
    Warning,
    /// Changes of state.
    Info,
    /// Every decision.
    Debug,
}

impl Level {
    fn filter(self) -> slog::Level {
        match self {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        }
    }
}

/// Opens the log on standard error. Lines are written by a thread of their own; a full buffer drops and counts.
pub fn open(level: Level) -> Logger {
    let json = slog_json::Json::new(io::stderr())
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(o!(
            "ts_ms" => FnValue(|_: &Record<'_>| clock::unix_millis()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str().to_lowercase()),
            "msg" => PushFnValue(|record: &Record<'_>, out| out.emit(record.msg())),
        ))
        .build();
    let drain = slog_async::Async::new(Mutex::new(json).fuse())
        .build()
        .fuse();
    Logger::root(drain.filter_level(level.filter()).fuse(), o!())
}

/// Returns a log that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
