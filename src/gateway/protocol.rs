//! Translation between HTTP headers and the gateway's types.

use super::{Head, Outgoing, Reply};
use crate::{
    cache_events::{Batch, Call, Fault},
    id,
    unit::Span,
};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;

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

    /// Parses the headers of a target's health response: the time for which it stays cold. `None` if the target
    /// didn't send them, or doesn't say; an error has the text that can't be read as a time.
    fn parse_warm_up(
        &self,
        target: &id::Target,
        headers: &HeaderMap,
    ) -> Option<Result<Span, Box<str>>>;

    /// Sets path and headers of a call for an engine's cache events.
    fn write_cache_call(&self, call: &Call, request: &mut Request<Full<Bytes>>);

    /// Parses the response to such a call.
    ///
    /// # Errors
    ///
    /// Fails if the engine refused the call, or the response can't be decoded.
    fn parse_cache_events(&self, status: StatusCode, body: &[u8]) -> Result<Batch, Fault>;
}
