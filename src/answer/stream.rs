//! Check of event streams that end with the event `data: [DONE]`.

use super::Fault;
use crate::{ingress, unit::Cost};

/// Maximum size of a buffered incomplete event; an event with one token is far smaller.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the last event of a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Incremental check of an event stream. Forwards only complete events, so that another target can
/// resume the stream after the last one.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Bytes of the incomplete event.
    incomplete: Vec<u8>,
    /// Number of bytes of `incomplete` already searched for the end of the event.
    scanned: usize,
    /// Number of events forwarded.
    events: u64,
    /// Number of tokens forwarded, one per event.
    tokens: u64,
    /// ID of the last event forwarded.
    last_id: Option<Box<str>>,
    /// An event without ID was forwarded, so that the stream cannot be resumed.
    has_event_without_id: bool,
    /// The IDs so far are consecutive numbers.
    consecutive: bool,
    /// An ID did not follow the consecutive ones before it, so that no target can be told where to
    /// resume.
    disordered: bool,
    /// The stream was resumed and has not delivered a new event since.
    resumed: bool,
    /// The `[DONE]` event was received.
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
    /// Returns the check of a new stream.
    pub fn open() -> Self {
        Self {
            consecutive: true,
            ..Self::default()
        }
    }

    /// Processes received bytes and appends the bytes to forward to `out`.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large, a resumed stream has a gap or begins with an event without a
    /// number, or bytes follow the `[DONE]` event.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Fault> {
        self.incomplete.extend_from_slice(bytes);
        let incomplete = std::mem::take(&mut self.incomplete);
        let mut start = 0;
        let mut from = self.scanned;
        while let Some(end) = find_event_end(&incomplete, start, from) {
            self.forward(&incomplete[start..end], out)?;
            start = end;
            from = end;
        }
        self.incomplete = incomplete[start..].to_vec();
        self.scanned = self.incomplete.len();
        if self.incomplete.len() > MAX_EVENT_BYTES {
            let limit = MAX_EVENT_BYTES;
            return Err(Fault::Oversized { limit });
        }
        Ok(())
    }

    /// Checks one complete event, including the blank line at its end, and forwards it.
    fn forward(&mut self, event: &[u8], out: &mut Vec<u8>) -> Result<(), Fault> {
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
            self.record_id(id);
        } else if fields.has_data && !fields.done {
            self.check_resumed()?;
            self.has_event_without_id = true;
        }
        self.done = fields.done;
        if fields.has_data {
            self.events += 1;
            self.tokens += u64::from(!fields.done);
        }
        out.extend_from_slice(event);
        Ok(())
    }

    /// Reports whether a resumed stream repeats an event that was already forwarded.
    fn is_repeat(&mut self, id: &str) -> Result<bool, Fault> {
        if !self.resumed {
            return Ok(false);
        }
        if self.last_id.as_deref() == Some(id) {
            return Ok(true);
        }
        let Some(last) = self.last_number() else {
            return Ok(false);
        };
        match id.parse::<u64>() {
            Ok(got) if got <= last => Ok(true),
            Ok(got) if self.consecutive && got > last + 1 => Err(Fault::Gap {
                expected: last + 1,
                got,
            }),
            Ok(_) => Ok(false),
            Err(_) => self.check_resumed().map(|()| false),
        }
    }

    /// Rejects an event without a number where a resumed stream has to go on with one: it may have been
    /// forwarded before.
    fn check_resumed(&self) -> Result<(), Fault> {
        match self.last_number() {
            Some(last) if self.resumed && self.consecutive => {
                let expected = last + 1;
                Err(Fault::Unnumbered { expected })
            }
            _ => Ok(()),
        }
    }

    fn record_id(&mut self, id: &str) {
        let number = id.parse::<u64>().ok();
        let expected = self.last_number().map(|last| last + 1);
        let first = self.last_id.is_none();
        let follows = number.is_some() && (first || number == expected);
        self.disordered |= self.consecutive && !first && !follows;
        self.consecutive &= follows;
        self.last_id = Some(id.into());
        self.resumed = false;
    }

    fn last_number(&self) -> Option<u64> {
        self.last_id.as_deref().and_then(|last| last.parse().ok())
    }

    /// Checks that the stream is complete when a target's response ends.
    ///
    /// # Errors
    ///
    /// Fails if the `[DONE]` event is missing or bytes follow it.
    pub fn finish(&self) -> Result<(), Fault> {
        if !self.done {
            let events = self.events;
            return Err(Fault::Truncated { events });
        }
        if self.incomplete.trim_ascii().is_empty() {
            Ok(())
        } else {
            Err(Fault::Overrun)
        }
    }

    /// Prepares for the bytes of another target after an interruption: discards the incomplete
    /// event.
    pub fn resume(&mut self) {
        self.incomplete.clear();
        self.scanned = 0;
        self.resumed = self.last_id.is_some();
    }

    /// Returns the position from which another target can resume the stream.
    pub fn resume_at(&self) -> ingress::Resume {
        match &self.last_id {
            _ if self.done || self.has_event_without_id || self.disordered => {
                ingress::Resume::Never
            }
            Some(last) => ingress::Resume::After(last.clone()),
            None => ingress::Resume::Start,
        }
    }

    /// Returns the number of tokens forwarded.
    pub fn tokens(&self) -> Cost {
        Cost(self.tokens)
    }

    /// Reports whether the `[DONE]` event was received.
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
                fields.done = value == DONE_DATA;
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

/// Returns the end of the event that starts at `start`: the offset after its first blank line.
///
/// Lines end with LF or CR LF. Bytes before `from` were searched before.
fn find_event_end(bytes: &[u8], start: usize, from: usize) -> Option<usize> {
    // The blank line may have begun in the bytes searched before.
    let from = from.saturating_sub(3).max(start);
    let newlines = bytes[from..].iter().enumerate();
    let mut newlines = newlines
        .filter(|(_, b)| **b == b'\n')
        .map(|(at, _)| from + at);
    newlines
        .find(|&at| ends_blank_line(&bytes[start..at]))
        .map(|at| at + 1)
}

/// Reports whether the line whose LF follows `before` is blank.
fn ends_blank_line(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.is_empty() || line.ends_with(b"\n")
}
