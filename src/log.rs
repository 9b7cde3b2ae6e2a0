//! Structured logs: one JSON object a line on standard output.

use crate::clock;
use slog::{Drain, FnValue, Logger, OwnedKVList, PushFnValue, Record, o};
use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Bytes of lines that wait to be written; more are dropped and counted. A busy router writes
/// about 100 kB a second, so this lasts for ten seconds of a reader that stands still.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Bytes from which lines of successes are dropped, so that lines of failures still find room.
const SPARE_BYTES: usize = MAX_BUFFERED_BYTES / 2;
/// Time for which lines are gathered before they are written: one wake-up and one call serve all.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait for the last lines at the end of the process.
const LAST_LINES: Duration = Duration::from_millis(300);

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

/// Opens the log on standard output. A thread of its own writes the lines; who logs never waits for
/// it.
pub fn open(level: Level) -> Logger {
    let lines = Lines::spawn(io::stdout());
    let drain = bounded(lines);
    Logger::root(drain.filter_level(level.filter()).fuse(), o!())
}

/// Returns a log that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn bounded(lines: Arc<Lines>) -> Bounded {
    let json = slog_json::Json::new(Line(lines.clone()))
        .set_newlines(true)
        .add_key_value(o!(
            "ts_ms" => FnValue(|_: &Record<'_>| clock::unix_millis()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str().to_lowercase()),
            "msg" => PushFnValue(|record: &Record<'_>, out| out.emit(record.msg())),
        ))
        .build();
    Bounded {
        json: Mutex::new(json),
        lines,
    }
}

/// Writes lines of JSON while there is room for them.
struct Bounded {
    json: Mutex<slog_json::Json<Line>>,
    lines: Arc<Lines>,
}

impl Drain for Bounded {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.lines.is_full(record.level()) {
            return Ok(());
        }
        let json = self.json.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to memory cannot fail.
        drop(json.log(record, values));
        Ok(())
    }
}

/// Lines that wait to be written.
struct Lines {
    state: Mutex<State>,
    written: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    dropped: u64,
    writing: bool,
}

impl Lines {
    fn spawn(out: impl Write + Send + 'static) -> Arc<Self> {
        let lines = Arc::new(Self {
            state: Mutex::default(),
            written: Condvar::new(),
        });
        let writer = lines.clone();
        let spawned = thread::Builder::new()
            .name("log".into())
            .spawn(move || writer.run(out));
        if let Err(error) = spawned {
            eprintln!("no log: the thread that writes it cannot start: {error}");
        }
        lines
    }

    fn run(&self, mut out: impl Write) {
        loop {
            thread::sleep(GATHER);
            let mut state = self.state();
            if state.bytes.is_empty() && state.dropped == 0 {
                continue;
            }
            let mut bytes = mem::take(&mut state.bytes);
            let dropped = mem::take(&mut state.dropped);
            state.writing = true;
            drop(state);
            if dropped > 0 {
                let ts_ms = clock::unix_millis();
                let line = format!(
                    "{{\"msg\":\"log lines dropped\",\"level\":\"warning\",\"ts_ms\":{ts_ms},\"lines\":{dropped}}}\n"
                );
                bytes.extend_from_slice(line.as_bytes());
            }
            // Whoever reads the log went away; there is nobody to tell.
            drop(out.write_all(&bytes).and_then(|()| out.flush()));
            self.state().writing = false;
            self.written.notify_all();
        }
    }

    /// Reports whether a line of a level has to be dropped, and counts it then.
    fn is_full(&self, level: slog::Level) -> bool {
        let mut state = self.state();
        let limit = if level.is_at_least(slog::Level::Warning) {
            MAX_BUFFERED_BYTES
        } else {
            SPARE_BYTES
        };
        let full = state.bytes.len() >= limit;
        state.dropped += u64::from(full);
        full
    }

    /// Waits until the lines so far are written, for a short time at most.
    fn flush(&self) {
        let state = self.state();
        let waits = |state: &mut State| !state.bytes.is_empty() || state.writing;
        // Lines that are left after that time are lost with the process.
        drop(self.written.wait_timeout_while(state, LAST_LINES, waits));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends to the lines that wait.
struct Line(Arc<Lines>);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.state().bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.0.flush();
    }
}
