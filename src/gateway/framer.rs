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

/// Received bytes that contain an event that is rejected.
#[derive(Clone, Debug)]
pub struct Rejected {
    /// Events before the rejected one.
    pub sound: Bytes,
    /// Why that one is rejected.
    pub fault: Fault,
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
    /// Fails if an event is too large or out of order; the events before it are in order, and come with the
    /// fault. The bytes after them are discarded.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Rejected> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        self.idle_bytes += bytes.len();
        let end = last_boundary(&self.partial, scanned).unwrap_or(0);
        let complete = self.partial.split_to(end).freeze();
        let mut accepted = 0;
        while accepted < complete.len() {
            let rest = &complete[accepted..];
            let event = &rest[..first_boundary(rest)];
            if let Err(fault) = self.accept(event) {
                self.partial.clear();
                let sound = complete.slice(..accepted);
                return Err(Rejected { sound, fault });
            }
            accepted += event.len();
        }
        if self.idle_bytes > MAX_EVENT_BYTES {
            let (sound, fault) = (complete, Fault::Oversized);
            return Err(Rejected { sound, fault });
        }
        Ok(complete)
    }

    /// Checks a complete event, or comments that end with a blank line, and records it if it is in order.
    fn accept(&mut self, event: &[u8]) -> Result<(), Fault> {
        let lines = event.split(|byte| *byte == b'\n');
        let contents = lines.clone().filter(|line| is_content(line)).count() as u64;
        let (mut last_id, mut count) = (self.last_id, self.count);
        for number in lines.filter_map(event_id) {
            if let Some(last) = last_id.filter(|last| number != last + 1) {
                return Err(Fault::OutOfOrder { last, got: number });
            }
            last_id = Some(number);
            count += 1;
        }
        (self.last_id, self.count) = (last_id, count);
        if contents > 0 {
            self.contents += contents;
            self.idle_bytes = self.partial.len();
        }
        Ok(())
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

/// Returns the end of the first complete event, or of all bytes if there is none.
fn first_boundary(bytes: &[u8]) -> usize {
    let newlines = bytes.iter().enumerate();
    let mut ends = newlines
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(at, _)| at + 1);
    let end = ends.find(|end| ends_event(&bytes[..*end]));
    end.unwrap_or(bytes.len())
}

/// Reports whether bytes end with a blank line.
fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

/// Returns the end of the last complete event, which is the end of the last blank line. The bytes
/// before `scanned` are known to contain no blank line.
fn last_boundary(bytes: &[u8], scanned: usize) -> Option<usize> {
    // A blank line may begin within the bytes already scanned.
    let from = scanned.saturating_sub(2);
    let is_boundary = |end: &usize| ends_event(&bytes[..*end]);
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
