//! Faults of a target's response.

/// Why a response is not accepted as complete and valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The stream ended before the `[DONE]` event.
    #[error("the stream ended after {events} events without its end mark")]
    Truncated {
        /// Number of events received.
        events: u64,
    },
    /// Bytes followed the `[DONE]` event.
    #[error("the stream went on after its end mark")]
    Overrun,
    /// An event exceeds the limit.
    #[error("an event of the stream has more than {limit} bytes")]
    Oversized {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// A resumed stream skipped events.
    #[error("the resumed stream goes on at event {got}, but {expected} was to follow")]
    Gap {
        /// ID of the next event.
        expected: u64,
        /// ID of the received event.
        got: u64,
    },
    /// The head does not delimit the body.
    #[error("the body has neither a length nor chunks, so that a cut could not be seen")]
    Unframed,
}
