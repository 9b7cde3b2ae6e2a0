//! Order of the events of a stream, by their IDs.

/// Why an event is not in order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Disorder {
    /// Events are missing, repeated or reordered, or an ID is wrong.
    #[error("received event {got} after event {last}")]
    Number {
        /// ID of the event before.
        last: u64,
        /// ID of the event that was received.
        got: u64,
    },
    /// An event of a numbered stream has no number.
    #[error("received an event without a number after event {last}")]
    Unnumbered {
        /// ID of the event before.
        last: u64,
    },
    /// An event has a number, unlike those before it.
    #[error("received event {got} after {count} events without a number")]
    Numbered {
        /// Number of events before.
        count: u64,
        /// ID of the event that was received.
        got: u64,
    },
}

/// What is known of an event that does not contradict the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event, and all undecided ones before it, are in order.
    InOrder,
    /// The next event decides whether this one is in order.
    Undecided,
}

#[derive(Clone, Copy, Debug)]
enum Position {
    Start,
    After {
        last: u64,
    },
    /// After an event without a number, which is undecided.
    UnnumberedStart,
    /// After events without a number, or after the ID that the caller named if that is not a number.
    Unnumbered {
        count: u64,
    },
}

/// Position in a stream whose events have consecutive IDs, or none that are numbers.
#[derive(Clone, Debug)]
pub struct Sequence {
    position: Position,
    is_resumable: bool,
}

impl Sequence {
    /// Creates the sequence of a stream that continues after the event `last`.
    ///
    /// An event without a number takes the next place of a numbered stream that is not resumable. It is out
    /// of order in a resumable one, where the next target would send it again.
    pub fn open(last: Option<&str>, is_resumable: bool) -> Self {
        let position = match last.map(str::trim) {
            None | Some("") => Position::Start,
            Some(last) => match parse(last.as_bytes()) {
                Some(last) => Position::After { last },
                None => Position::Unnumbered { count: 0 },
            },
        };
        Self {
            position,
            is_resumable,
        }
    }

    /// Records the next event, whose ID is `number`, if it has one that is a number.
    ///
    /// # Errors
    ///
    /// Fails if the event is out of order, or if undecided ones before it are; neither is recorded then.
    pub fn record(&mut self, number: Option<u64>) -> Result<Verdict, Disorder> {
        match number {
            Some(number) => self.record_number(number),
            None => self.record_unnumbered(),
        }
    }

    fn record_number(&mut self, got: u64) -> Result<Verdict, Disorder> {
        match self.position {
            Position::After { last } if got.checked_sub(last) != Some(1) => {
                return Err(Disorder::Number { last, got });
            }
            Position::Start | Position::After { .. } => {}
            Position::Unnumbered { count } if !self.is_resumable && got == count + 1 => {}
            Position::Unnumbered { count } => return Err(Disorder::Numbered { count, got }),
            Position::UnnumberedStart => return Err(Disorder::Numbered { count: 1, got }),
        }
        self.position = Position::After { last: got };
        Ok(Verdict::InOrder)
    }

    fn record_unnumbered(&mut self) -> Result<Verdict, Disorder> {
        match &mut self.position {
            Position::Start if self.is_resumable => {
                self.position = Position::UnnumberedStart;
                return Ok(Verdict::Undecided);
            }
            Position::Start => self.position = Position::Unnumbered { count: 1 },
            Position::UnnumberedStart => self.position = Position::Unnumbered { count: 2 },
            Position::After { last } if self.is_resumable => {
                return Err(Disorder::Unnumbered { last: *last });
            }
            Position::After { last } => *last = last.saturating_add(1),
            Position::Unnumbered { count } => *count += 1,
        }
        Ok(Verdict::InOrder)
    }

    /// Forgets the undecided event.
    pub fn forget_undecided(&mut self) {
        if let Position::UnnumberedStart = self.position {
            self.position = Position::Start;
        }
    }

    /// Returns the ID of the last event in order, or the one that the caller started from.
    pub fn last(&self) -> Option<u64> {
        match self.position {
            Position::After { last } => Some(last),
            Position::Start | Position::UnnumberedStart | Position::Unnumbered { .. } => None,
        }
    }

    /// Reports whether events have come that no ID tells from others.
    pub fn is_unnumbered(&self) -> bool {
        matches!(self.position, Position::Unnumbered { count } if count > 0)
    }
}

/// Returns the number that an ID consists of, if it is one.
pub(super) fn parse(id: &[u8]) -> Option<u64> {
    let is_number = id.iter().all(u8::is_ascii_digit);
    let digits = std::str::from_utf8(id).ok().filter(|_| is_number)?;
    digits.parse().ok()
}
