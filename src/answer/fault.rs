//! Faults of a target's response.

/// Why a response is not accepted as complete and valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The stream ended before the `[DONE]` event.
    #[error("the stream ended after {events} events without the [DONE] event")]
    Truncated {
        /// Number of events received.
        events: u64,
    },
    /// Bytes followed the `[DONE]` event.
    #[error("the stream continued after the [DONE] event")]
    Overrun,
    /// An event exceeds the limit.
    #[error("an event of the stream exceeds {limit} bytes")]
    Oversized {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// A resumed stream skipped events.
    #[error("the resumed stream continues with event {got} instead of {expected}")]
    Gap {
        /// ID of the next event.
        expected: u64,
        /// ID of the received event.
        got: u64,
    },
    /// A resumed stream continues with an event without a number.
    #[error("the resumed stream continues with an event without a number instead of {expected}")]
    Unnumbered {
        /// ID of the next event.
        expected: u64,
    },
    /// The status is none of a final response.
    #[error("the response has status {status}, which is not between 200 and 599")]
    Status {
        /// Status code.
        status: u16,
    },
    /// The head does not delimit the body.
    #[error(
        "the body has neither Content-Length nor Transfer-Encoding, so truncation could not be detected"
    )]
    Unframed,
}
