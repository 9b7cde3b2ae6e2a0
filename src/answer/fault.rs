//! Faults of answers.

use crate::id;

/// Why an answer must not be taken for a whole one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The stream ended before its last event.
    #[error("the stream ended after {events} events without its end mark")]
    Truncated {
        /// Events that came.
        events: u64,
    },
    /// Bytes came after the end mark.
    #[error("the stream went on after its end mark")]
    Overrun,
    /// One event is larger than a router holds.
    #[error("an event of the stream has more than {limit} bytes")]
    Oversized {
        /// Limit in bytes.
        limit: usize,
    },
    /// A resumed stream left out events.
    #[error("the resumed stream goes on at event {got}, but {expected} was to follow")]
    Gap {
        /// Number of the event that was to follow.
        expected: u64,
        /// Number of the event that came.
        got: u64,
    },
    /// The answer is for another attempt.
    #[error("the answer is for attempt {got:?}, not for {expected}")]
    Crossed {
        /// Attempt that was sent.
        expected: id::Attempt,
        /// Attempt that the answer names.
        got: Box<str>,
    },
    /// The body is shorter or longer than declared.
    #[error("the body has {got} of {expected} declared bytes")]
    Length {
        /// Declared length in bytes.
        expected: u64,
        /// Bytes that came.
        got: u64,
    },
    /// The body is not a whole JSON value.
    #[error("the body is not a whole JSON value: {cause}")]
    Json {
        /// What the parser said.
        cause: Box<str>,
    },
}
