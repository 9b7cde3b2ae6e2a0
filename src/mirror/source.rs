//! Reads a list from other routers or from the platform, with failover between them.

use super::page::Wire;
use crate::{
    clock, metric,
    unit::{Span, Time},
    upstream,
    watch::{self, Fault, Page, Row},
};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{Request, StatusCode};
use http_body_util::Full;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

/// Maximum size of a page in bytes.
const MAX_PAGE_BYTES: usize = 32 << 20;
/// Time within which another router has to answer, in addition to the requested wait.
const PEER_TIMEOUT: Span = Span::from_millis(300);
/// Maximum wait requested of another router: calls between routers are cheap, and a router that has
/// gone silent must be noticed well within the time allowed for a change to take effect.
const PEER_WAIT: Span = Span::from_millis(800);
/// Time after the last failure before the preferred endpoint is asked first again.
const RETURN: Span = Span::from_secs(5);

/// Routers to ask besides the platform.
#[derive(Debug, Default)]
pub struct Way {
    /// Routers to ask before the platform; empty for a router that reads the platform for others.
    before: RwLock<Vec<SocketAddr>>,
    /// Routers to ask when the platform fails.
    after: RwLock<Vec<SocketAddr>>,
}

impl Way {
    /// Sets the routers to ask before and after the platform.
    pub fn set(&self, before: Vec<SocketAddr>, after: Vec<SocketAddr>) {
        *self.before.write().unwrap_or_else(PoisonError::into_inner) = before;
        *self.after.write().unwrap_or_else(PoisonError::into_inner) = after;
    }

    /// Returns the endpoints in order of preference; `None` stands for the platform.
    fn places(&self) -> Vec<Option<SocketAddr>> {
        let before = self.before.read().unwrap_or_else(PoisonError::into_inner);
        let after = self.after.read().unwrap_or_else(PoisonError::into_inner);
        let before = before.iter().copied().map(Some);
        let after = after.iter().copied().map(Some);
        before.chain([None]).chain(after).collect()
    }
}

/// A list that is read from other routers or from the platform.
pub struct Source {
    name: &'static str,
    platform: Arc<dyn watch::Source>,
    pool: upstream::Pool,
    way: Arc<Way>,
    /// Maximum age of another router's copy; an older one is rejected.
    most_age: Span,
    turn: Mutex<Turn>,
}

/// Endpoint that is asked first, as an index into the order of preference.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    place: usize,
    /// Time of the last failure.
    doubted: Time,
}

impl Source {
    /// Creates the source of the list with the given name.
    pub fn open(
        name: &'static str,
        platform: Arc<dyn watch::Source>,
        pool: upstream::Pool,
        way: Arc<Way>,
        most_age: Span,
    ) -> Self {
        Self {
            name,
            platform,
            pool,
            way,
            most_age,
            turn: Mutex::default(),
        }
    }

    /// Returns the endpoints in the order in which they are to be asked now.
    fn places(&self) -> Vec<Option<SocketAddr>> {
        let mut places = self.way.places();
        let mut turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        if clock::now().since(turn.doubted) >= RETURN {
            turn.place = 0;
        }
        let first = turn.place % places.len();
        places.rotate_left(first);
        places
    }

    async fn ask(&self, peer: SocketAddr, query: &str, wait: Span) -> Result<Page<Row>, Fault> {
        let place = || Box::from(format!("list {} of router {peer}", self.name));
        let malformed = |cause: &dyn std::fmt::Display| Fault::Malformed {
            place: place(),
            cause: cause.to_string().into(),
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        let path = format!("/lists/{}{query}", self.name);
        *request.uri_mut() = path.parse().map_err(|e| malformed(&e))?;
        let limit = Span(wait.0 + PEER_TIMEOUT.0);
        let answered = self.pool.fetch(peer, request, MAX_PAGE_BYTES);
        let answered = tokio::time::timeout(Duration::from(limit), answered).await;
        metrics::counter!(metric::CONTROL_SENDS, "way" => "list").increment(1);
        let (status, body) = match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => {
                return Err(Fault::Unreachable {
                    place: place(),
                    cause: cause.to_string().into(),
                });
            }
            Err(_) => {
                return Err(Fault::Timeout {
                    place: place(),
                    limit,
                });
            }
        };
        match status {
            StatusCode::OK => {
                let wire: Wire = serde_json::from_slice(&body).map_err(|e| malformed(&e))?;
                let page: Page<Row> = wire.try_into().map_err(|e| malformed(&e))?;
                if page.age > self.most_age {
                    return Err(malformed(&format!(
                        "the cached list is too old: {}",
                        page.age
                    )));
                }
                Ok(page)
            }
            StatusCode::GONE => Err(Fault::Forgotten { place: place() }),
            status => Err(Fault::Refused {
                place: place(),
                status: status.as_u16(),
            }),
        }
    }
}

impl watch::Source for Source {
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            let mut failed = None;
            for place in self.places() {
                let page = match place {
                    Some(peer) => self.ask(peer, "", Span(0)).await,
                    None => self.platform.read().await,
                };
                match page {
                    Ok(page) => return Ok(page),
                    Err(fault) => {
                        self.doubt();
                        // The platform's error says more than that of a router that cannot reach it either.
                        if failed.is_none() || place.is_none() {
                            failed = Some(fault);
                        }
                    }
                }
            }
            Err(failed.unwrap_or(Fault::Unreachable {
                place: self.name.into(),
                cause: "no router or platform is configured".into(),
            }))
        }
        .boxed()
    }

    fn follow(&self, after: u64, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        let Some(Some(peer)) = self.places().first().copied() else {
            return self.platform.follow(after, wait);
        };
        let wait = wait.min(PEER_WAIT);
        async move {
            let query = format!("?after={after}&wait-ms={}", wait.as_millis());
            self.ask(peer, &query, wait).await
        }
        .boxed()
    }

    fn doubt(&self) {
        let mut turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        turn.place += 1;
        turn.doubted = clock::now();
    }
}
