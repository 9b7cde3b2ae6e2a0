//! Check of how the end of a body is told.

use super::Fault;
use http::{HeaderMap, header};

/// Checks that a cut of the body would be seen: a body that only the end of the connection ends may
/// have been cut off by it.
///
/// # Errors
///
/// Fails if the head declares neither a length nor a transfer coding.
pub fn check_framing(headers: &HeaderMap) -> Result<(), Fault> {
    let framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    if framed.iter().any(|name| headers.contains_key(name)) {
        Ok(())
    } else {
        Err(Fault::Unframed)
    }
}
