//! HTTP handler that serves cached lists to other routers.

use super::{Cache, page::Wire};
use crate::{
    front::{Body, Limits, Problem, Responder, full_body},
    memory::{self, Account},
    unit::{Era, Span},
    watch::Position,
};
use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use std::{collections::BTreeMap, sync::Arc};

/// Maximum wait for changes that a request may ask for.
const MAX_WAIT: Span = Span::from_secs(30);
/// Time within which the platform has to answer when a router asks for a check.
const MAX_CHECK_TIME: Span = Span::from_millis(250);
/// Maximum number of concurrent connections from other routers.
const MAX_CONNECTIONS: usize = 200;
/// Idle time after which a connection is closed; longer than any wait for changes.
const IDLE_TIMEOUT: Span = Span::from_secs(40);

/// Maximum size of a request head; those of routers have a few hundred bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum time from the first byte of a head to its last; routers send it at once.
const HEAD_TIMEOUT: Span = Span::from_secs(5);

/// Serves cached lists to other routers: `GET /lists/NAME` returns a whole list, with
/// `?after=VERSION&era=ERA&wait-ms=TIME` its changes since a version, `GET /lists/NAME/check?after=VERSION&era=ERA`
/// those once the platform has been asked for them after the call.
///
/// Answers 503 while the cached list is too old, and 410 if the changes since that version are no
/// longer known or it is of another era than the list.
pub struct Handler {
    /// Cached lists by name.
    pub caches: BTreeMap<&'static str, Arc<Cache>>,
    /// Budget of memory for connections.
    pub memory: memory::Pool,
}

impl Handler {
    async fn answer(&self, uri: &Uri, account: &Account) -> Response<Body> {
        let path = uri.path().strip_prefix("/lists/").unwrap_or_default();
        let checked = path.strip_suffix("/check");
        let name = checked.unwrap_or(path);
        let Some(cache) = self.caches.get(name) else {
            let detail = format!("unknown list {name:?}");
            return Problem::invalid(StatusCode::NOT_FOUND, detail).response();
        };
        let query = uri.query().unwrap_or_default();
        let page = match parameter(query, "after") {
            None => cache.snapshot().map(Some),
            Some(version) => {
                // Routers of earlier releases don't know eras.
                let era = parameter(query, "era").map_or_else(|| cache.era(), Era);
                let after = Position { era, version };
                let wait = parameter(query, "wait-ms").map_or(Span(0), Span::from_millis);
                if checked.is_some() {
                    cache.check(after, MAX_CHECK_TIME).await
                } else {
                    cache.changes(after, wait.min(MAX_WAIT)).await
                }
            }
        };
        match page {
            Some(Some(page)) => {
                let wire = serde_json::to_vec(&Wire::from(page)).unwrap_or_default();
                match account.try_hold(wire.len() as u64) {
                    Some(charge) => Response::new(full_body(charge.keep(wire.into()))),
                    None => {
                        let detail = "the router is short of memory for responses";
                        Problem::not_run(detail, Span::from_secs(1)).response()
                    }
                }
            }
            Some(None) => Problem::invalid(
                StatusCode::GONE,
                "the changes since this version are no longer known",
            )
            .response(),
            None => Problem::not_run(
                "the cached list is too old or could not be checked",
                Span::from_secs(1),
            )
            .response(),
        }
    }
}

impl Responder for Handler {
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        async move {
            let account = Account::of(request.extensions());
            self.answer(request.uri(), &account).await
        }
        .boxed()
    }

    fn memory(&self) -> Option<memory::Pool> {
        Some(self.memory.clone())
    }

    fn limits(&self) -> Limits {
        Limits {
            connections: MAX_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
            drain_notice: Span(0),
            head_bytes: MAX_HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
            body_bytes: 0,
        }
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = parameters.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
