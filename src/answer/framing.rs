//! Check that a response delimits its body.

use super::Fault;
use http::{HeaderMap, header};

/// Checks that a truncated body can be detected: a body delimited only by the end of the connection
/// may be truncated.
///
/// # Errors
///
/// Fails if the head has neither `Content-Length` nor `Transfer-Encoding`.
pub fn check_framing(headers: &HeaderMap) -> Result<(), Fault> {
    let framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    if framed.iter().any(|name| headers.contains_key(name)) {
        Ok(())
    } else {
        Err(Fault::Unframed)
    }
}
