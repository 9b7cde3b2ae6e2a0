//! Framing of streams of server-sent events, whose IDs tell whether they are in order.

use super::sequence::{Disorder, Sequence, Verdict, parse_number};
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
    /// An event has neither a number nor data; its data may have become a part of its ID.
    #[error("received an event with neither a number nor data")]
    Empty,
    /// An event is out of order.
    #[error(transparent)]
    Disorder(#[from] Disorder),
}

/// Received bytes that contain an event that is rejected.
#[derive(Clone, Debug)]
pub struct Rejected {
    /// Events before the rejected one.
    pub sound: Bytes,
    /// Why that one is rejected.
    pub fault: Fault,
}

/// Splits a byte stream into complete events and checks that they are in order.
#[derive(Clone, Debug)]
pub struct Framer {
    /// Bytes of the incomplete event.
    partial: BytesMut,
    /// Complete events on whose order the next one decides, and comments between them.
    undecided: BytesMut,
    undecided_count: u64,
    sequence: Sequence,
    /// Number of events that were passed on.
    count: u64,
    /// Bytes received since the last event was complete.
    idle_bytes: usize,
}

impl Framer {
    /// Creates the framing of a response that other targets can continue. `last` is the `Last-Event-ID` of
    /// the caller, after which the response continues.
    pub fn resuming_after(last: Option<&str>) -> Self {
        Self::open(last, true)
    }

    /// Creates the framing of a response; `is_resumable` tells whether other targets can continue it.
    pub fn open(last: Option<&str>, is_resumable: bool) -> Self {
        Self {
            partial: BytesMut::new(),
            undecided: BytesMut::new(),
            undecided_count: 0,
            sequence: Sequence::open(last, is_resumable),
            count: 0,
            idle_bytes: 0,
        }
    }

    /// Appends bytes and returns all events that are complete now and in order.
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
        let complete = self.partial.split_to(end);
        let mut buffered = std::mem::take(&mut self.undecided);
        let (mut decided, mut checked) = (0, buffered.len());
        if buffered.is_empty() {
            buffered = complete;
        } else {
            buffered.extend_from_slice(&complete);
        }
        while checked < buffered.len() {
            let rest = &buffered[checked..];
            let event = &rest[..first_boundary(rest)];
            checked += event.len();
            if let Err(fault) = self.record(event) {
                self.restart();
                let sound = buffered.split_to(decided).freeze();
                return Err(Rejected { sound, fault });
            }
            if self.undecided_count == 0 {
                decided = checked;
            }
        }
        let sound = buffered.split_to(decided).freeze();
        self.undecided = buffered;
        if self.idle_bytes > MAX_EVENT_BYTES {
            let fault = Fault::Oversized;
            return Err(Rejected { sound, fault });
        }
        Ok(sound)
    }

    /// Records a complete event, or comments that end with a blank line, unless it is out of order.
    fn record(&mut self, event: &[u8]) -> Result<(), Fault> {
        let lines = event.split(|byte| *byte == b'\n');
        let has_data = lines.clone().any(is_data);
        if !has_data && lines.filter_map(id_of).next().is_none() {
            return Ok(());
        }
        let number = number_of(event);
        if !has_data && number.is_none() {
            return Err(Fault::Empty);
        }
        match self.sequence.record(number)? {
            Verdict::InOrder => self.count += 1 + std::mem::take(&mut self.undecided_count),
            Verdict::Undecided => self.undecided_count += 1,
        }
        self.idle_bytes = self.partial.len();
        Ok(())
    }

    /// Reports whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Reports whether there are complete events that were not passed on yet.
    pub fn has_undecided(&self) -> bool {
        self.undecided_count > 0
    }

    /// Returns the complete events that were not passed on yet, at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if another run has to show whether they are in order; they are discarded.
    pub fn finish(&mut self) -> Result<Bytes, Fault> {
        if let Err(disorder) = self.sequence.finish() {
            self.restart();
            return Err(disorder.into());
        }
        self.count += std::mem::take(&mut self.undecided_count);
        Ok(self.undecided.split().freeze())
    }

    /// Discards what was not passed on, so that another target can continue the stream.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.undecided.clear();
        self.undecided_count = 0;
        self.sequence.forget_undecided();
    }

    /// Returns the ID of the last event that was passed on, or the one that the caller started from.
    pub fn last_id(&self) -> Option<u64> {
        self.sequence.last()
    }

    /// Reports whether another target can continue the stream after the events that were passed on.
    pub fn can_resume(&self) -> bool {
        !self.sequence.is_unnumbered()
    }

    /// Returns how many events were passed on, comments aside.
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

/// Reports whether a line has data of an event.
fn is_data(line: &[u8]) -> bool {
    line.starts_with(b"data")
}

/// Returns the number in the ID of an event; `None` if it has no ID, another one or several.
fn number_of(event: &[u8]) -> Option<u64> {
    let mut ids = event.split(|byte| *byte == b'\n').filter_map(id_of);
    match (ids.next(), ids.next()) {
        (Some(id), None) => parse_number(id),
        _ => None,
    }
}

/// Returns the ID in a line, if the line has one; it may be empty.
fn id_of(line: &[u8]) -> Option<&[u8]> {
    let value = line.trim_ascii_end().strip_prefix(b"id")?;
    match value.strip_prefix(b":") {
        Some(id) => Some(id.trim_ascii_start()),
        None => value.is_empty().then_some(value),
    }
}
