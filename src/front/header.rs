//! Header names, and the headers that are forwarded.

use http::{HeaderMap, HeaderValue, header};

/// Identifier of the attempt; sent to targets, which echo it.
pub(crate) const ATTEMPT: &str = "marlrun-attempt";
/// Identifier of the request; sent to targets and callers.
pub(crate) const REQUEST: &str = "marlrun-request";
/// Whether the request was run; sent to callers with a refusal, and by targets that refuse.
pub(crate) const OUTCOME: &str = "marlrun-outcome";
/// Target that responded; sent to callers.
pub(crate) const TARGET: &str = "marlrun-target";
/// Trace ID; sent to callers.
pub(crate) const TRACE: &str = "marlrun-trace";
/// Time left until the deadline, in milliseconds; sent to targets.
pub(crate) const TIMEOUT: &str = "marlrun-timeout-ms";
/// ID of the last event that the caller received; sent to targets to resume a stream.
pub(crate) const LAST_EVENT: &str = "last-event-id";
/// Marks a stored response to an earlier request with the same idempotency key.
pub(crate) const REPLAYED: &str = "marlrun-replayed";

/// Hop-by-hop headers (RFC 9110, 7.6.1), and `content-length`, which is set anew.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Copies all headers but those that are hop-by-hop, by name or because `connection` lists them.
pub(crate) fn copy(from: &HeaderMap, to: &mut HeaderMap) {
    let options = from.get_all(header::CONNECTION).into_iter();
    let options = options.filter_map(|value| value.to_str().ok());
    let options: Vec<&str> = options.flat_map(|value| value.split(',')).collect();
    let is_option = |name: &str| {
        let mut options = options.iter().map(|option| option.trim());
        options.any(|option| option.eq_ignore_ascii_case(name))
    };
    for (name, value) in from {
        if !HOP_BY_HOP.contains(&name.as_str()) && !is_option(name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Sets a header, unless the value is not a valid header value.
pub(crate) fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Reports whether a header has the given value.
pub(crate) fn is(headers: &HeaderMap, name: &str, value: &str) -> bool {
    let found = headers.get(name);
    found.is_some_and(|found| found.as_bytes() == value.as_bytes())
}

/// Reports whether a response is a server-sent event stream.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE);
    value.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns the parsed `Content-Length`.
pub(crate) fn length(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
