//! Answers of stand-ins.

use crate::unit::Span;
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::time::sleep;

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Time that the server gets to send what comes before a cut; hyper drops it otherwise.
pub(super) const FLUSH_TIME: Span = Span::from_millis(50);

/// Media type of JSON bodies.
pub(super) const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Media type of errors.
const PROBLEM: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The connection is to be closed without (the rest of) an answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in drops the connection")]
pub(super) struct Dropped;

/// A request body is wrong.
#[derive(Debug, thiserror::Error)]
#[error("request body: {0}")]
pub(super) struct Malformed(Box<str>);

impl From<Malformed> for Reply {
    fn from(malformed: Malformed) -> Reply {
        problem(StatusCode::BAD_REQUEST, &malformed.to_string())
    }
}

/// Body of an answer.
pub(super) type Body = UnsyncBoxBody<Bytes, Dropped>;

/// Answer of a stand-in.
pub(super) type Reply = Response<Body>;

#[derive(serde::Serialize)]
struct Problem<'a> {
    status: u16,
    title: &'a str,
}

/// Returns a body of known length.
pub(super) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body whose parts are sent as they come.
pub(super) fn parts<S>(parts: S) -> Body
where
    S: Stream<Item = Result<Bytes, Dropped>> + Send + 'static,
{
    BodyExt::boxed_unsync(StreamBody::new(parts.map(|part| part.map(Frame::data))))
}

/// Returns a body that breaks off after some bytes.
pub(super) fn cut_off(bytes: Bytes, kept: u64) -> Body {
    let kept = usize::try_from(kept).unwrap_or(usize::MAX);
    let part = bytes.slice(..kept.min(bytes.len()));
    let end = stream::once(async {
        sleep(FLUSH_TIME.into()).await;
        Err(Dropped)
    });
    parts(stream::iter([Ok(part)]).chain(end))
}

/// Returns an answer with a body and a media type.
pub(super) fn typed(status: StatusCode, media_type: HeaderValue, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, media_type);
    reply
}

/// Returns a JSON answer.
pub(super) fn json<T: serde::Serialize>(body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => typed(StatusCode::OK, JSON, whole(body)),
        Err(e) => problem(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Returns an error answer.
pub(super) fn problem(status: StatusCode, title: &str) -> Reply {
    let problem = Problem {
        status: status.as_u16(),
        title,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    typed(status, PROBLEM, whole(body))
}

/// Returns an empty answer of success.
pub(super) fn done() -> Reply {
    let mut reply = Response::new(whole(Bytes::new()));
    *reply.status_mut() = StatusCode::NO_CONTENT;
    reply
}

/// Reads a request body whole.
pub(super) async fn read(body: Incoming) -> Result<Bytes, Malformed> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let collected = collected.map_err(|e| Malformed(e.to_string().into()))?;
    Ok(collected.to_bytes())
}

/// Decodes a JSON request body.
pub(super) fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, Malformed> {
    serde_json::from_slice(body).map_err(|e| Malformed(e.to_string().into()))
}
