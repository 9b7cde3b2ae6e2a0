//! Identifiers under which a run is counted.

use hyper::HeaderMap;

/// Header that carries the attempt.
pub(super) const ATTEMPT: &str = "marlrun-attempt";
/// Header that carries the request.
pub(super) const REQUEST: &str = "marlrun-request";
/// Header that carries the caller's idempotency key.
pub(super) const KEY: &str = "idempotency-key";

/// Identifiers under which a run is counted.
#[derive(Clone, Debug, Default)]
pub(super) struct Labels {
    pub(super) attempt: Option<Box<str>>,
    pub(super) request: Option<Box<str>>,
    pub(super) key: Option<Box<str>>,
    pub(super) content: Option<Box<str>>,
}

impl Labels {
    /// Returns the identifiers that a request's headers name, and its content's.
    pub(super) fn of(headers: &HeaderMap, content: &str) -> Self {
        let text = |name| Some(headers.get(name)?.to_str().ok()?.into());
        Self {
            attempt: text(ATTEMPT),
            request: text(REQUEST),
            key: text(KEY),
            content: Some(content.into()),
        }
    }
}
