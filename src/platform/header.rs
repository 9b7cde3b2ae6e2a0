//! The platform's request and response headers.

use super::{cache_events, target::decode_cold_left};
use crate::{
    cache_events::{Batch, Call, Fault},
    dispatch::{Part, Prompt},
    gateway::{Head, Outgoing, Protocol, Reply},
    id,
    unit::{Rate, Span},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;

/// Request ID chosen by the client, which targets echo in the response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-marlrun-request-id");
/// Milliseconds that the sender waits for the response: the client's timeout, or what remains of it
/// when the request is sent to a target.
const DEADLINE: HeaderName = HeaderName::from_static("x-marlrun-deadline-ms");
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-marlrun-token-count");
/// Parts of the whole prompt (not only of a prefix, despite the name): `ID:TOKENS` separated by
/// commas, with the ID in hexadecimal.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-marlrun-prompt-prefix");
/// The client's estimate of the output length in tokens (not bytes).
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-marlrun-length-hint");
/// ID of the last event of the stream that the client received.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// ID of the client's request that began the stream which it resumes.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Signature of the target that sent the response.
const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("x-marlrun-response-stamp");
/// Present if the target did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-marlrun-not-run");
/// `1` in all responses of a target that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests per second that a target takes of all routers together, as long as its responses say so.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Name of the target that sent a health response.
const INSTANCE_ID: HeaderName = HeaderName::from_static("x-marlrun-instance-id");
/// Workspace of the client, which the platform calls a tenant.
const TENANT: HeaderName = HeaderName::from_static("x-marlrun-tenant");
/// Name of the target that is to run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-marlrun-expect-instance");

/// Address of the engine from which a target copies cached parts of the prompt before it processes the rest.
const COPY_SOURCE: HeaderName = HeaderName::from_static("kv-fetch");

/// Milliseconds for which an engine may wait for cache events before it answers.
const WAIT: HeaderName = HeaderName::from_static("wait-ms");

/// Headers that only routers may set or that must not reach targets; removed from client requests.
const RESERVED: [HeaderName; 9] = [
    TENANT,
    EXPECT_INSTANCE,
    HeaderName::from_static("x-marlrun-expect-version"),
    HeaderName::from_static("x-marlrun-hold"),
    HeaderName::from_static("x-marlrun-pin-ms"),
    HeaderName::from_static("x-marlrun-kv-backup"),
    HeaderName::from_static("kv-from"),
    COPY_SOURCE,
    header::AUTHORIZATION,
];

/// Divisor of the maximum output that gives the expected output if the client sent no estimate:
/// requests generate about half of their maximum.
const OUTPUT_DIVISOR: u32 = 2;

/// Maximum length of an unreadable header value in a log line.
const MAX_LOGGED_CHARS: usize = 40;

/// The platform's header protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct Header;

impl Header {
    /// Milliseconds for which the target that sent a health response stays cold.
    pub const COLD: HeaderName = HeaderName::from_static("x-marlrun-cold-ms");
}

impl Protocol for Header {
    fn parse_request(&self, headers: &HeaderMap) -> Result<Head, Box<str>> {
        let key = text(headers, &header::AUTHORIZATION);
        let key = key.and_then(|value| value.strip_prefix("Bearer "));
        Ok(Head {
            request_id: text(headers, &REQUEST_ID).unwrap_or_default().into(),
            timeout: parse_number(headers, &DEADLINE)?.map(Span::from_millis),
            api_key: key.map(|key| key.trim().into()),
            prompt: parse_prompt(headers)?,
            last_event_id: text(headers, &LAST_EVENT_ID).map(Into::into),
            origin: text(headers, &RESUMES).map(Into::into),
        })
    }

    fn rewrite_request(&self, headers: &mut HeaderMap, to: &Outgoing<'_>) {
        for name in RESERVED {
            headers.remove(name);
        }
        set(headers, EXPECT_INSTANCE, to.target.as_str());
        set(headers, DEADLINE, &to.remaining.as_millis().to_string());
        if let Some(workspace) = to.workspace {
            set(headers, TENANT, workspace.as_str());
        }
        if let Some(source) = to.source {
            set(headers, COPY_SOURCE, &source.to_string());
        }
        if let Some(event) = to.last_event_id {
            set(headers, LAST_EVENT_ID, event);
        }
    }

    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> Reply {
        let connection = text(headers, &header::CONNECTION).unwrap_or_default();
        let mut options = connection.split(',').map(str::trim);
        let keep_alive = text(headers, &HeaderName::from_static("keep-alive"));
        let keep_alive = keep_alive.and_then(|value| {
            let mut fields = value.split(',').map(str::trim);
            fields.find_map(|field| field.strip_prefix("timeout=")?.parse().ok())
        });
        // An unexpected instance at the target's address speaks of itself only.
        let is_expected = status != StatusCode::MISDIRECTED_REQUEST;
        Reply {
            request_id: text(headers, &REQUEST_ID).map(Into::into),
            expected: is_expected,
            signed: headers.contains_key(RESPONSE_SIGNATURE),
            not_run: headers.contains_key(NOT_RUN) || !is_expected,
            keep_alive: keep_alive.map(Span::from_secs),
            closes: options.any(|option| option.eq_ignore_ascii_case("close")),
            leaving: is_expected
                && text(headers, &LEAVING).is_some_and(|value| value.trim() == "1"),
            pause: parse_pause(status, headers),
            limit: parse_limit(headers),
            encoded: headers.contains_key(header::CONTENT_ENCODING),
        }
    }

    fn parse_warm_up(
        &self,
        target: &id::Target,
        headers: &HeaderMap,
    ) -> Option<Result<Span, Box<str>>> {
        if text(headers, &INSTANCE_ID)? != target.as_str() {
            return None;
        }
        let value = headers.get(Self::COLD)?;
        let millis = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        Some(decode_cold_left(millis).ok_or_else(|| logged(value)))
    }

    fn write_cache_call(&self, call: &Call, request: &mut Request<Full<Bytes>>) {
        let path = format!("{}{}", cache_events::PATH, call.since);
        // Does not fail for a path of letters and a number.
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        set(
            request.headers_mut(),
            WAIT,
            &call.wait.as_millis().to_string(),
        );
    }

    fn parse_cache_events(&self, status: StatusCode, body: &[u8]) -> Result<Batch, Fault> {
        cache_events::decode(status, body)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses the seconds, which may have a fraction, for which a target wants no requests.
fn parse_pause(status: StatusCode, headers: &HeaderMap) -> Option<Result<Span, Box<str>>> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let seconds = seconds.filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0);
    let pause = seconds.map(|seconds| Span((seconds * 1e6) as u64));
    Some(pause.ok_or_else(|| logged(value)))
}

/// Parses the requests per second that a target takes; several values are none.
fn parse_limit(headers: &HeaderMap) -> Option<Result<Rate, Box<str>>> {
    let mut values = headers.get_all(LIMIT).iter();
    let first = values.next()?;
    let others: String = values.map(|value| format!(", {}", logged(value))).collect();
    let limit = first.to_str().ok().and_then(|text| text.parse().ok());
    let limit = limit.filter(|_| others.is_empty());
    let invalid = || {
        let text = format!("{}{others}", logged(first));
        text.chars().take(MAX_LOGGED_CHARS).collect()
    };
    Some(limit.ok_or_else(invalid))
}

/// Returns the beginning of a header value that can't be read, for the log.
fn logged(value: &HeaderValue) -> Box<str> {
    let text = String::from_utf8_lossy(value.as_bytes());
    text.chars().take(MAX_LOGGED_CHARS).collect()
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Does not fail for names of targets and workspaces, which were validated when they were parsed.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Box<str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let invalid = || format!("the header {name} is not a whole number").into();
    parsed.map(Some).ok_or_else(invalid)
}

fn parse_prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Box<str>> {
    let Some(counts) = text(headers, &TOKEN_COUNTS) else {
        return Ok(None);
    };
    let invalid = |name: &HeaderName| Box::<str>::from(format!("the header {name} is malformed"));
    let counts = counts.split_once(',').and_then(|(prompt, max_output)| {
        Some((
            prompt.trim().parse().ok()?,
            max_output.trim().parse::<u32>().ok()?,
        ))
    });
    let (tokens, max_output) = counts.ok_or_else(|| invalid(&TOKEN_COUNTS))?;
    let parts = text(headers, &PROMPT_PARTS).unwrap_or_default();
    let parts = parts
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let parts: Option<Box<[Part]>> = parts
        .map(|part| {
            let (id, tokens) = part.split_once(':')?;
            Some(Part {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: tokens.parse().ok()?,
            })
        })
        .collect();
    let hint = parse_number(headers, &LENGTH_HINT)?;
    let expected_output = hint.map_or(max_output / OUTPUT_DIVISOR, |hint| {
        u32::try_from(hint).unwrap_or(max_output).min(max_output)
    });
    Ok(Some(Prompt {
        parts: parts.ok_or_else(|| invalid(&PROMPT_PARTS))?,
        tokens,
        expected_output,
    }))
}
