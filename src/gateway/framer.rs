//! Framing of server-sent event streams whose event IDs are consecutive numbers.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered incomplete event; typical events have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why received bytes of a stream are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
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
        let Some(end) = last_boundary(&self.partial, scanned) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(Fault::Oversized);
            }
            return Ok(Bytes::new());
        };
        let complete = self.partial.split_to(end).freeze();
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

/// Returns the event ID if the line has the form `id: NUMBER`.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
