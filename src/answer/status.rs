//! Check of the status of a response.

use super::Fault;
use http::StatusCode;

/// Checks that a response has the status of a final response (RFC 9110, 15). HTTP libraries accept any
/// three digits, and 101 answers a request for another protocol, which is never made.
///
/// # Errors
///
/// Fails if the status is below 200 or above 599.
pub fn check_status(status: StatusCode) -> Result<(), Fault> {
    match status.as_u16() {
        200..=599 => Ok(()),
        status => Err(Fault::Status { status }),
    }
}
