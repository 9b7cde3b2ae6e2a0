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
    /// Before the first event of a stream.
    Start,
    /// After the event `last`.
    After {
        last: u64,
        /// Difference between two IDs; `None` before the second one.
        step: Option<u64>,
    },
    /// After an event without a number, which is undecided.
    UnnumberedStart,
    /// After events without a number, or after the ID that the caller named if that is not a number.
    Unnumbered { count: u64 },
}

/// Position in a stream whose events have IDs that increase by a constant step, or none that are numbers.
///
/// The first ID is 1, and the step as well, unless three IDs show that they differ.
#[derive(Clone, Debug)]
pub struct Sequence {
    position: Position,
    /// IDs that a step other than 1 explains, which the next one confirms or contradicts.
    pending: Vec<u64>,
    /// The same at the end of the last run, which another run confirms or contradicts.
    contested: Vec<u64>,
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
            Some(last) => match parse_number(last.as_bytes()) {
                Some(last) => Position::After { last, step: None },
                None => Position::Unnumbered { count: 0 },
            },
        };
        Self {
            position,
            pending: Vec::new(),
            contested: Vec::new(),
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
        let (decided, step) = match self.position {
            Position::Start => (None, None),
            Position::After { last, step } => (Some(last), step),
            Position::Unnumbered { count } if !self.is_resumable && got == count + 1 => {
                return Ok(self.advance(got, Some(1)));
            }
            Position::Unnumbered { count } => return Err(Disorder::Numbered { count, got }),
            Position::UnnumberedStart => return Err(Disorder::Numbered { count: 1, got }),
        };
        let (last, step) = match (decided, self.pending.as_slice()) {
            (None, []) if got == 1 => return Ok(self.advance(got, None)),
            (None, []) => return Ok(self.postpone(got)),
            (Some(last), []) => (last, step),
            (None, &[last]) => (last, None),
            (Some(first), &[second, ..]) | (None, &[first, second, ..]) => {
                (second, Some(second - first))
            }
        };
        let Some(difference) = got.checked_sub(last).filter(|difference| *difference > 0) else {
            return Err(Disorder::Number { last, got });
        };
        match step {
            None if difference == 1 && decided.is_some() => Ok(self.advance(got, Some(1))),
            None => Ok(self.postpone(got)),
            Some(step) if step == difference => Ok(self.advance(got, Some(step))),
            Some(_) => Err(Disorder::Number { last, got }),
        }
    }

    fn record_unnumbered(&mut self) -> Result<Verdict, Disorder> {
        if let Some(&last) = self.pending.last() {
            return Err(Disorder::Unnumbered { last });
        }
        match &mut self.position {
            Position::Start if self.is_resumable => {
                self.position = Position::UnnumberedStart;
                return Ok(Verdict::Undecided);
            }
            Position::Start => self.position = Position::Unnumbered { count: 1 },
            Position::UnnumberedStart => self.position = Position::Unnumbered { count: 2 },
            Position::After { last, .. } if self.is_resumable => {
                return Err(Disorder::Unnumbered { last: *last });
            }
            Position::After { last, step } => *last = last.saturating_add(step.unwrap_or(1)),
            Position::Unnumbered { count } => *count += 1,
        }
        Ok(Verdict::InOrder)
    }

    fn advance(&mut self, last: u64, step: Option<u64>) -> Verdict {
        self.position = Position::After { last, step };
        self.pending.clear();
        Verdict::InOrder
    }

    fn postpone(&mut self, got: u64) -> Verdict {
        self.pending.push(got);
        if self.is_resumable {
            Verdict::Undecided
        } else {
            Verdict::InOrder
        }
    }

    /// Decides on the undecided events at the end of a run.
    ///
    /// # Errors
    ///
    /// Fails if they follow a known event of a resumable stream by another step than 1, and the run before did
    /// not end with the same IDs: one ID is wrong more often than a short rest has such a step.
    pub fn finish(&mut self) -> Result<(), Disorder> {
        let (Position::After { last, .. }, Some(&got)) = (self.position, self.pending.first())
        else {
            return Ok(());
        };
        if !self.is_resumable || self.pending == self.contested {
            return Ok(());
        }
        self.contested.clone_from(&self.pending);
        Err(Disorder::Number { last, got })
    }

    /// Forgets the undecided events.
    pub fn forget_undecided(&mut self) {
        self.pending.clear();
        if let Position::UnnumberedStart = self.position {
            self.position = Position::Start;
        }
    }

    /// Returns the ID of the last event in order, or the one that the caller started from.
    pub fn last(&self) -> Option<u64> {
        match self.position {
            Position::After { last, .. } => Some(last),
            Position::Start | Position::UnnumberedStart | Position::Unnumbered { .. } => None,
        }
    }

    /// Reports whether events have come that no ID tells from others.
    pub fn is_unnumbered(&self) -> bool {
        matches!(self.position, Position::Unnumbered { count } if count > 0)
    }
}

/// Returns the number that an ID consists of, if it is one.
pub(super) fn parse_number(id: &[u8]) -> Option<u64> {
    let is_number = id.iter().all(u8::is_ascii_digit);
    let digits = std::str::from_utf8(id).ok().filter(|_| is_number)?;
    digits.parse().ok()
}
