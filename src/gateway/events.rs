//! Whole events of a stream whose events have growing numbers.

use bytes::{Bytes, BytesMut};

/// Largest event that is held until it is whole, in bytes; events of the users have some hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An event is too large.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes")]
    Oversized,
    /// Events are missing or come twice.
    #[error("event {got} follows event {last}")]
    Order {
        /// Last event that was passed on.
        last: u64,
        /// Event that came.
        got: u64,
    },
}

/// Cuts a stream into whole events and checks their numbers.
#[derive(Clone, Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last: Option<u64>,
    count: u64,
}

impl Events {
    /// Returns the events of an answer that goes on after `last`, if the caller has earlier ones.
    pub fn after(last: Option<&str>) -> Self {
        Self {
            last: last.and_then(|last| last.trim().parse().ok()),
            ..Self::default()
        }
    }

    /// Takes bytes and returns the whole events among them, with what was held before.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or out of order; no part of it is passed on.
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

    /// Reports whether all bytes that came belong to whole events.
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Goes on with the bytes of another target.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of the last whole event, of this answer or the caller's earlier one.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many numbered events were passed on.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Returns the end of the last whole event: behind the last blank line. The bytes before `scanned`
/// hold none.
fn last_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    // A blank line may begin in what was scanned.
    let from = scanned.saturating_sub(2);
    let ends_blank_line = |end: &usize| {
        let before = &bytes[..*end];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(ends_blank_line)
}

/// Returns the number of an event from its line `id: NUMBER`.
fn number(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
