//! What the status of a response says.

use super::Fault;
use http::StatusCode;

/// What the status of a target's response says, and of what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The target ran the request (2xx).
    Success,
    /// The request is answered otherwise (3xx) or rejected (4xx), whichever target runs it: the caller gets this
    /// response, and its target is sound.
    Rejection,
    /// The target failed (5xx); another one may run the request.
    Failure,
}

impl Meaning {
    /// Returns what a status means.
    ///
    /// # Errors
    ///
    /// Fails if the status is none of a final response (RFC 9110, 15), below 200 or above 599. HTTP libraries
    /// accept any three digits, and 101 answers a request for another protocol, which is never made.
    pub fn of(status: StatusCode) -> Result<Self, Fault> {
        match status.as_u16() {
            200..=299 => Ok(Self::Success),
            300..=499 => Ok(Self::Rejection),
            500..=599 => Ok(Self::Failure),
            status => Err(Fault::Status { status }),
        }
    }
}
