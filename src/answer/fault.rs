//! Faults of answers.

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
    /// Nothing says where the body ends.
    #[error("the body has neither a length nor chunks, so that a cut could not be seen")]
    Unframed,
}
