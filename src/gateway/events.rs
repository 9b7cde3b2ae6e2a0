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
    Order {
        /// ID of the last event that was passed on.
        last: u64,
        /// ID of the event that was received.
        got: u64,
    },
}

/// Splits a byte stream into complete events and checks that their IDs are consecutive.
#[derive(Clone, Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last: Option<u64>,
    count: u64,
}

impl Events {
    /// Creates the framing of a response. `last` is the `Last-Event-ID` of the client, after which
    /// the response continues; a value that is not a number is ignored.
    pub fn after(last: Option<&str>) -> Self {
        Self {
            last: last.and_then(|last| last.trim().parse().ok()),
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
        let Some(end) = last_end(&self.partial, scanned) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(Fault::Oversized);
            }
            return Ok(Bytes::new());
        };
        let whole = self.partial.split_to(end).freeze();
        for number in whole.split(|byte| *byte == b'\n').filter_map(number) {
            if self.last.is_some_and(|last| number != last + 1) {
                let last = self.last.unwrap_or_default();
                return Err(Fault::Order { last, got: number });
            }
            self.last = Some(number);
            self.count += 1;
        }
        Ok(whole)
    }

    /// Reports whether no incomplete event is buffered.
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the incomplete event, so that another target can continue the stream.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Returns the ID of the last complete event, or the one that the client started from.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events with an ID were passed on.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Returns the end of the last complete event, which is the end of the last blank line. The bytes
/// before `scanned` are known to contain no blank line.
fn last_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    // A blank line may begin within the bytes already scanned.
    let from = scanned.saturating_sub(2);
    let ends_blank_line = |end: &usize| {
        let before = &bytes[..*end];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(ends_blank_line)
}

/// Returns the event ID if the line has the form `id: NUMBER`.
fn number(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
