//! Framing of server-sent event streams whose event IDs are consecutive numbers.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes from one event to the end of the next one, comments included; typical events
/// have a few hundred.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why received bytes of a stream are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// There is no event within [`MAX_EVENT_BYTES`].
    #[error("no event ends within {MAX_EVENT_BYTES} bytes")]
    Oversized,
    /// Events are missing, repeated or reordered.
    #[error("received event {got} after event {last}")]
    OutOfOrder {
        /// ID of the last event that was passed on.
        last: u64,
        /// ID of the event that was received.
        got: u64,
    },
}

/// Splits a byte stream into complete events and checks that their IDs are consecutive.
#[derive(Clone, Debug, Default)]
pub struct Framer {
    partial: BytesMut,
    last_id: Option<u64>,
    count: u64,
    /// Number of lines that belong to events, unlike comments.
    contents: u64,
    /// Bytes received since the last such line was complete.
    idle_bytes: usize,
}

impl Framer {
    /// Creates the framing of a response. `last` is the `Last-Event-ID` of the caller, after which
    /// the response continues; a value that is not a number is ignored.
    pub fn resuming_after(last: Option<&str>) -> Self {
        Self {
            last_id: last.and_then(|last| last.trim().parse().ok()),
            ..Self::default()
        }
    }

    /// Appends bytes and returns all events that are complete now.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or out of order; none of the buffered bytes are returned
    /// then.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        self.idle_bytes += bytes.len();
        let end = last_boundary(&self.partial, scanned).unwrap_or(0);
        let complete = self.partial.split_to(end).freeze();
        let lines = complete.split(|byte| *byte == b'\n');
        let contents = lines.filter(|line| is_content(line)).count() as u64;
        if contents > 0 {
            self.contents += contents;
            self.idle_bytes = self.partial.len();
        } else if self.idle_bytes > MAX_EVENT_BYTES {
            return Err(Fault::Oversized);
        }
        for number in complete.split(|byte| *byte == b'\n').filter_map(event_id) {
            if self.last_id.is_some_and(|last| number != last + 1) {
                let last = self.last_id.unwrap_or_default();
                return Err(Fault::OutOfOrder { last, got: number });
            }
            self.last_id = Some(number);
            self.count += 1;
        }
        Ok(complete)
    }

    /// Reports whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the incomplete event, so that another target can continue the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the ID of the last complete event, or the one that the caller started from.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns a number that grows whenever an event was passed on, with or without an ID, but not for
    /// comments.
    pub fn progress(&self) -> u64 {
        self.contents
    }

    /// Returns how many events with an ID were passed on.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Returns the end of the last complete event, which is the end of the last blank line. The bytes
/// before `scanned` are known to contain no blank line.
fn last_boundary(bytes: &[u8], scanned: usize) -> Option<usize> {
    // A blank line may begin within the bytes already scanned.
    let from = scanned.saturating_sub(2);
    let is_boundary = |end: &usize| {
        let before = &bytes[..*end];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(is_boundary)
}

/// Reports whether a line belongs to an event that brings something.
fn is_content(line: &[u8]) -> bool {
    line.starts_with(b"data") || event_id(line).is_some()
}

/// Returns the event ID if the line has the form `id: NUMBER`.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
