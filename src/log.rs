//! Structured logs on standard output, one JSON object per line.

use crate::clock;
use slog::{Drain, FnValue, Logger, OwnedKVList, PushFnValue, Record, o};
use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Size limit of the buffer; lines beyond it are dropped and counted. A busy router logs about
/// 100 kB/s, so the buffer covers a reader that stalls for ten seconds.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Buffer size from which lines below the level warning are dropped, to leave room for warnings and
/// errors.
const MAX_BUFFERED_INFO_BYTES: usize = MAX_BUFFERED_BYTES / 2;
/// Interval between writes; lines are batched to save wake-ups and system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause while the output is full; long against a wake-up, short against [`WRITE_INTERVAL`].
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time to wait for buffered lines to be written when the log is dropped.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Log level; less severe lines are not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Level {
    /// Failures that require action by an operator.
    Error,
    /// Events that may require action by an operator.
    Warning,
    /// State changes.
    Info,
    /// Individual decisions.
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

/// Opens the log on standard output. A dedicated thread writes the lines, so logging never blocks on
/// the output.
pub fn open(level: Level) -> Logger {
    open_to(level, io::stdout())
}

/// Opens a log on an output, like [`open`].
pub fn open_to(level: Level, out: impl Write + Send + 'static) -> Logger {
    let buffer = Buffer::spawn(out);
    let drain = formatter(buffer);
    Logger::root(drain.filter_level(level.filter()).fuse(), o!())
}

/// Returns a log that discards all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn formatter(buffer: Arc<Buffer>) -> Formatter {
    let json = slog_json::Json::new(BufferWriter(buffer.clone()))
        .set_newlines(true)
        .add_key_value(o!(
            "ts_ms" => FnValue(|_: &Record<'_>| clock::unix_millis()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str().to_lowercase()),
            "msg" => PushFnValue(|record: &Record<'_>, out| out.emit(record.msg())),
        ))
        .build();
    Formatter {
        json: Mutex::new(json),
        buffer,
    }
}

/// Formats records as JSON into the buffer, and drops them if it is full.
struct Formatter {
    json: Mutex<slog_json::Json<BufferWriter>>,
    buffer: Arc<Buffer>,
}

impl Drain for Formatter {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.buffer.is_full(record.level()) {
            return Ok(());
        }
        let json = self.json.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to the buffer cannot fail.
        drop(json.log(record, values));
        Ok(())
    }
}

/// Writes all bytes, also to an output that doesn't block.
fn write(out: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match out.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(FULL_PAUSE),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    out.flush()
}

/// Buffer of lines to be written.
struct Buffer {
    state: Mutex<State>,
    written: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    dropped: u64,
    writing: bool,
}

impl Buffer {
    fn spawn(out: impl Write + Send + 'static) -> Arc<Self> {
        let buffer = Arc::new(Self {
            state: Mutex::default(),
            written: Condvar::new(),
        });
        let writer = buffer.clone();
        let spawned = thread::Builder::new()
            .name("log".into())
            .spawn(move || writer.run(out));
        if let Err(error) = spawned {
            eprintln!("logging is disabled: cannot start the log thread: {error}");
        }
        buffer
    }

    fn run(&self, mut out: impl Write) {
        loop {
            thread::sleep(WRITE_INTERVAL);
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
            // The reader of the log is gone, so the error cannot be reported.
            drop(write(&mut out, &bytes));
            self.state().writing = false;
            self.written.notify_all();
        }
    }

    /// Reports whether the buffer is full for a line of this level; if so, counts the line as dropped.
    fn is_full(&self, level: slog::Level) -> bool {
        let mut state = self.state();
        let limit = if level.is_at_least(slog::Level::Warning) {
            MAX_BUFFERED_BYTES
        } else {
            MAX_BUFFERED_INFO_BYTES
        };
        let full = state.bytes.len() >= limit;
        state.dropped += u64::from(full);
        full
    }

    /// Waits up to [`FLUSH_TIMEOUT`] until the buffered lines are written.
    fn flush(&self) {
        let state = self.state();
        let waits = |state: &mut State| !state.bytes.is_empty() || state.writing;
        // Lines not written by then are lost if the process exits.
        drop(self.written.wait_timeout_while(state, FLUSH_TIMEOUT, waits));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writer that appends to the buffer, and flushes it when dropped.
struct BufferWriter(Arc<Buffer>);

impl Write for BufferWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.state().bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for BufferWriter {
    fn drop(&mut self) {
        self.0.flush();
    }
}
