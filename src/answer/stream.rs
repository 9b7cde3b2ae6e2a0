//! Check of event streams that end with `data: [DONE]`.

use super::Fault;
use crate::{ingress, unit::Cost};

/// Largest event that is held until it is whole, in bytes: a token is far smaller.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Incremental check of an event stream. It passes on whole events only, so that a stream can be
/// resumed at another target between two events.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Bytes of the event that is not yet whole.
    partial: Vec<u8>,
    /// Bytes of `partial` that hold no end of an event.
    scanned: usize,
    /// Events passed on.
    events: u64,
    /// Tokens passed on.
    tokens: u64,
    /// Identifier of the last event passed on.
    last: Option<Box<str>>,
    /// An event without identifier was passed on since the last one with it.
    anonymous: bool,
    /// The identifiers so far count up by one.
    counted: bool,
    /// The stream was resumed and no new event has come since.
    resumed: bool,
    /// The end mark came.
    done: bool,
}

/// Fields of one event.
#[derive(Debug, Default)]
struct Fields<'a> {
    id: Option<&'a str>,
    has_data: bool,
    done: bool,
}

impl Stream {
    /// Returns the check of a stream of which nothing has come.
    pub fn open() -> Self {
        Self {
            counted: true,
            ..Self::default()
        }
    }

    /// Takes bytes of the stream and appends what may go to the caller.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large, a resumed stream has a gap, or bytes follow the end mark.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Fault> {
        self.partial.extend_from_slice(bytes);
        let partial = std::mem::take(&mut self.partial);
        let mut start = 0;
        let mut from = self.scanned;
        while let Some(end) = event_end(&partial, start, from) {
            self.pass(&partial[start..end], out)?;
            start = end;
            from = end;
        }
        self.partial = partial[start..].to_vec();
        self.scanned = self.partial.len();
        if self.partial.len() > MAX_EVENT_BYTES {
            let limit = MAX_EVENT_BYTES;
            return Err(Fault::Oversized { limit });
        }
        Ok(())
    }

    /// Checks one whole event, with the blank line that ends it, and passes it on.
    fn pass(&mut self, event: &[u8], out: &mut Vec<u8>) -> Result<(), Fault> {
        if self.done {
            return if event.trim_ascii().is_empty() {
                Ok(())
            } else {
                Err(Fault::Overrun)
            };
        }
        let fields = Fields::parse(event);
        if let Some(id) = fields.id {
            if self.is_repeat(id)? {
                return Ok(());
            }
            self.follow(id);
        } else if fields.has_data && !fields.done {
            self.anonymous = true;
        }
        self.done = fields.done;
        if fields.has_data {
            self.events += 1;
            self.tokens += u64::from(!fields.done);
        }
        out.extend_from_slice(event);
        Ok(())
    }

    /// Reports whether a resumed stream repeats an event that was passed on.
    fn is_repeat(&mut self, id: &str) -> Result<bool, Fault> {
        if !self.resumed {
            return Ok(false);
        }
        if self.last.as_deref() == Some(id) {
            return Ok(true);
        }
        let Some(last) = self.last_number() else {
            return Ok(false);
        };
        match id.parse::<u64>() {
            Ok(got) if got <= last => Ok(true),
            Ok(got) if self.counted && got > last + 1 => Err(Fault::Gap {
                expected: last + 1,
                got,
            }),
            _ => Ok(false),
        }
    }

    fn follow(&mut self, id: &str) {
        let number = id.parse::<u64>().ok();
        let expected = self.last_number().map(|last| last + 1);
        let first = self.last.is_none();
        self.counted &= number.is_some() && (first || number == expected);
        self.last = Some(id.into());
        self.resumed = false;
    }

    fn last_number(&self) -> Option<u64> {
        self.last.as_deref().and_then(|last| last.parse().ok())
    }

    /// Ends the bytes of one target.
    ///
    /// # Errors
    ///
    /// Fails if the stream is not whole.
    pub fn finish(&self) -> Result<(), Fault> {
        if !self.done {
            let events = self.events;
            return Err(Fault::Truncated { events });
        }
        if self.partial.trim_ascii().is_empty() {
            Ok(())
        } else {
            Err(Fault::Overrun)
        }
    }

    /// Goes on with the bytes of another target, after a break.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.resumed = self.last.is_some();
    }

    /// Returns where another target may go on.
    pub fn resume_at(&self) -> ingress::Resume {
        match &self.last {
            _ if self.done || self.anonymous => ingress::Resume::Never,
            Some(last) => ingress::Resume::After(last.clone()),
            None => ingress::Resume::Start,
        }
    }

    /// Returns the tokens passed on.
    pub fn tokens(&self) -> Cost {
        Cost(self.tokens)
    }

    /// Reports whether the end mark came.
    pub fn is_done(&self) -> bool {
        self.done
    }
}

impl<'a> Fields<'a> {
    fn parse(event: &'a [u8]) -> Self {
        let mut fields = Self::default();
        for line in event.split(|b| matches!(b, b'\n' | b'\r')) {
            if let Some(value) = field(line, b"data") {
                fields.has_data = true;
                fields.done = value == DONE;
            } else if let Some(value) = field(line, b"id") {
                fields.id = std::str::from_utf8(value).ok();
            }
        }
        fields
    }
}

/// Returns the value of a line `name: value`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the end of the event that starts at `start`: behind the first blank line.
///
/// Lines end with LF or CR LF. `from` is where bytes begin that were not yet looked at.
fn event_end(bytes: &[u8], start: usize, from: usize) -> Option<usize> {
    // The end of the line before may have been looked at already.
    let from = from.saturating_sub(3).max(start);
    let ends = bytes[from..].iter().enumerate();
    let mut ends = ends.filter(|(_, b)| **b == b'\n').map(|(at, _)| from + at);
    ends.find(|&at| is_blank_line_end(&bytes[start..at]))
        .map(|at| at + 1)
}

/// Reports whether a line that ends behind `before` is blank.
fn is_blank_line_end(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.is_empty() || line.ends_with(b"\n")
}
