//! Stand-in of a plain service.

use super::{
    Error, Handle,
    reply::{self, Dropped, Reply},
    server::{self, App},
    target::{self, Target},
};
use crate::unit::Span;
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::{Request, StatusCode, body::Incoming, header::HeaderValue, http::request::Parts};
use sha2::{Digest, Sha256};
use std::{fmt::Write, net::SocketAddr, sync::Arc};
use tokio::time::sleep;

/// Query parameter that names the time that a call takes.
const DURATION: &str = "standin-duration=";
/// Query parameter that names the length of an answer.
const LENGTH: &str = "standin-bytes=";
/// Longest answer, in bytes.
const MAX_LENGTH: usize = 64 << 20;
/// Media type of answers.
const TEXT: HeaderValue = HeaderValue::from_static("text/plain");

/// Settings of a plain stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Calls that run at once.
    pub slots: u32,
    /// Time that a call takes if its query has no `standin-duration`.
    pub duration: Span,
    /// Age of the load that is reported.
    pub load_lag: Span,
}

/// Starts a plain stand-in.
///
/// # Errors
///
/// Fails if the address cannot be listened on or threads cannot be started.
pub fn bind(settings: Settings) -> Result<Handle, Error> {
    let (target, pauses) = Target::open(settings.slots, settings.load_lag);
    let plain = Plain {
        target,
        duration: settings.duration,
    };
    server::bind(settings.listen, Arc::new(plain), pauses)
}

/// Returns the answer to a call: its SHA-256 digest on one line, repeated up to the length that
/// the query names.
pub fn answer(method: &str, path_and_query: &str, body: &[u8]) -> String {
    let mut line = digest(method, path_and_query, body);
    line.push('\n');
    let length = parameter(path_and_query, LENGTH).and_then(|text| text.parse().ok());
    let length = length.unwrap_or(line.len()).min(MAX_LENGTH);
    line.chars().cycle().take(length).collect()
}

/// Returns the digest of a call, the name under which its runs are counted.
pub fn digest(method: &str, path_and_query: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    digest.update(method);
    digest.update([0]);
    digest.update(path_and_query);
    digest.update([0]);
    digest.update(body);
    let mut text = String::new();
    for byte in digest.finalize() {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

struct Plain {
    target: Target,
    duration: Span,
}

impl App for Plain {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Dropped>> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let body = match reply::read(body).await {
                Ok(body) => body,
                Err(malformed) => return Ok(malformed.into()),
            };
            let path = head.uri.path();
            if let Some(reply) = self.target.control(&head.method, path, &body).await {
                return Ok(reply);
            }
            self.call(&head, &body).await
        })
    }
}

impl Plain {
    async fn call(&self, head: &Parts, body: &Bytes) -> Result<Reply, Dropped> {
        let faults = self.target.next_faults();
        if faults.not_run {
            return Ok(target::not_run());
        }
        let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
        let content = digest(head.method.as_str(), target, body);
        self.run(head, target, &content).await;
        let body = answer(head.method.as_str(), target, body);
        let length = body.len();
        let body = match faults.cut_after {
            Some(bytes) => reply::cut_off(body.into(), bytes),
            None => target::whole(body.into(), &faults).await?,
        };
        let mut reply = reply::typed(StatusCode::OK, TEXT, body);
        target::declare_length(&mut reply, length);
        target::echo(&mut reply, &head.headers, &faults);
        Ok(reply)
    }

    /// Carries a call out.
    async fn run(&self, head: &Parts, target: &str, content: &str) {
        let mut run = self.target.admit(&head.headers, content);
        let place = Arc::clone(&self.target.slots).take().await;
        run.start();
        let duration = parameter(target, DURATION).and_then(|text| text.parse().ok());
        sleep(duration.unwrap_or(self.duration).into()).await;
        run.finish();
        drop(place);
    }
}

/// Returns a query parameter's value.
fn parameter<'a>(path_and_query: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path_and_query.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name))
}
