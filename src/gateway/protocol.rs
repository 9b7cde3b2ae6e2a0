//! Translation between HTTP headers and the gateway's types.

use super::{Head, Outgoing, Reply};
use http::{HeaderMap, StatusCode};

/// Translates the headers that callers, routers and targets exchange about a request.
pub trait Protocol: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Names the malformed header and what is wrong with it.
    fn parse_request(&self, headers: &HeaderMap) -> Result<Head, Box<str>>;

    /// Turns the headers of a caller's request into those for a target. Headers that only routers
    /// may set are removed or replaced.
    fn rewrite_request(&self, headers: &mut HeaderMap, to: &Outgoing<'_>);

    /// Parses the status and headers of a target's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> Reply;
}
