//! Headers that are passed on, added and left out.

use http::{HeaderMap, HeaderValue, header};

/// Names the attempt, towards targets and callers.
pub(crate) const ATTEMPT: &str = "marlrun-attempt";
/// Names the request, towards targets and callers.
pub(crate) const REQUEST: &str = "marlrun-request";
/// Says whether a request was run.
pub(crate) const OUTCOME: &str = "marlrun-outcome";
/// Names the target that answered, towards callers.
pub(crate) const TARGET: &str = "marlrun-target";
/// Names the trace, towards callers.
pub(crate) const TRACE: &str = "marlrun-trace";
/// Tells the time left until the caller gives up, in milliseconds, towards targets.
pub(crate) const TIMEOUT: &str = "marlrun-timeout-ms";
/// Names the last event that the caller has, when a stream resumes.
pub(crate) const LAST_EVENT: &str = "last-event-id";
/// Marks the stored answer of an earlier try.
pub(crate) const REPLAYED: &str = "marlrun-replayed";

/// Headers that belong to one connection (RFC 9110, 7.6.1) or to the length of one body.
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

/// Copies all headers that are not of one connection, by their name or because `connection` names
/// them.
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

/// Sets a header; a value that no header can have is left out.
pub(crate) fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Reports whether a header has a value.
pub(crate) fn is(headers: &HeaderMap, name: &str, value: &str) -> bool {
    let found = headers.get(name);
    found.is_some_and(|found| found.as_bytes() == value.as_bytes())
}

/// Reports whether an answer is a stream of events.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE);
    value.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns the length that an answer names for its body.
pub(crate) fn length(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
