//! Reads a list from other routers or from the platform, with failover between them.

use super::page::Wire;
use crate::{
    clock, metric,
    unit::{Era, Span, Time},
    upstream,
    watch::{self, Fault, Page, Position, Row},
};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{Request, StatusCode};
use http_body_util::Full;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Maximum size of a page in bytes.
const MAX_PAGE_BYTES: usize = 32 << 20;
/// Time within which another router has to answer, in addition to the requested wait.
const PEER_TIMEOUT: Span = Span::from_millis(300);
/// Time within which another router usually has checked its copy; after it, the platform is asked as well.
const PEER_CHECK_TIME: Span = Span::from_millis(60);
/// Maximum wait requested of another router: calls between routers are cheap, and a router that has
/// gone silent must be noticed well within the time allowed for a change to take effect.
const PEER_WAIT: Span = Span::from_millis(800);
/// Time after the last failure before the preferred endpoint is asked first again.
const FAILBACK_DELAY: Span = Span::from_secs(5);

/// Routers to ask besides the platform.
#[derive(Debug, Default)]
pub struct Peers {
    /// Routers to ask before the platform; empty for a router that reads the platform for others.
    preferred: RwLock<Vec<SocketAddr>>,
    /// Routers to ask when the platform fails.
    fallback: RwLock<Vec<SocketAddr>>,
}

impl Peers {
    /// Sets the routers to ask before and after the platform.
    pub fn set(&self, preferred: Vec<SocketAddr>, fallback: Vec<SocketAddr>) {
        *self
            .preferred
            .write()
            .unwrap_or_else(PoisonError::into_inner) = preferred;
        *self
            .fallback
            .write()
            .unwrap_or_else(PoisonError::into_inner) = fallback;
    }

    /// Returns the endpoints in order of preference; `None` stands for the platform.
    fn endpoints(&self) -> Vec<Option<SocketAddr>> {
        let preferred = self
            .preferred
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let fallback = self.fallback.read().unwrap_or_else(PoisonError::into_inner);
        let preferred = preferred.iter().copied().map(Some);
        let fallback = fallback.iter().copied().map(Some);
        preferred.chain([None]).chain(fallback).collect()
    }
}

/// A list that is read from other routers or from the platform.
pub struct Source {
    name: &'static str,
    platform: Arc<dyn watch::Source>,
    pool: upstream::Pool,
    peers: Arc<Peers>,
    /// Maximum age of another router's copy; an older one is rejected.
    max_age: Span,
    cursor: Mutex<Cursor>,
    /// Newest era of any page.
    newest_era: AtomicU64,
}

/// Endpoint that is asked first, as an index into the order of preference.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    index: usize,
    /// Time of the last failure.
    last_failure: Time,
}

impl Source {
    /// Creates the source of the list with the given name.
    pub fn new(
        name: &'static str,
        platform: Arc<dyn watch::Source>,
        pool: upstream::Pool,
        peers: Arc<Peers>,
        max_age: Span,
    ) -> Self {
        Self {
            name,
            platform,
            pool,
            peers,
            max_age,
            cursor: Mutex::default(),
            newest_era: AtomicU64::new(0),
        }
    }

    /// Returns the endpoints in the order in which they are to be asked now.
    fn endpoints(&self) -> Vec<Option<SocketAddr>> {
        let mut endpoints = self.peers.endpoints();
        let mut cursor = self.cursor.lock().unwrap_or_else(PoisonError::into_inner);
        if clock::now().since(cursor.last_failure) >= FAILBACK_DELAY {
            cursor.index = 0;
        }
        let first = cursor.index % endpoints.len();
        endpoints.rotate_left(first);
        endpoints
    }

    fn newest_era(&self) -> Era {
        Era(self.newest_era.load(Ordering::Relaxed))
    }

    /// Notes the era of a page.
    fn observe(&self, page: Page<Row>) -> Page<Row> {
        let era = page.position.era.0;
        self.newest_era.fetch_max(era, Ordering::Relaxed);
        page
    }

    /// Reads the list, or its changes as `query` says, from another router that answers after `wait` at the latest.
    async fn fetch(&self, peer: SocketAddr, query: &str, wait: Span) -> Result<Page<Row>, Fault> {
        let endpoint = || Box::from(format!("list {} of router {peer}", self.name));
        let malformed = |cause: &dyn std::fmt::Display| Fault::Malformed {
            endpoint: endpoint(),
            cause: cause.to_string().into(),
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        let path = format!("/lists/{}{query}", self.name);
        *request.uri_mut() = path.parse().map_err(|e| malformed(&e))?;
        let limit = Span(wait.0 + PEER_TIMEOUT.0);
        let answered = self.pool.fetch(peer, request, MAX_PAGE_BYTES);
        let answered = tokio::time::timeout(Duration::from(limit), answered).await;
        metrics::counter!(metric::CONTROL_SENDS, "way" => "list").increment(1);
        let response = match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => {
                return Err(Fault::Unreachable {
                    endpoint: endpoint(),
                    cause: cause.to_string().into(),
                });
            }
            Err(_) => {
                return Err(Fault::Timeout {
                    endpoint: endpoint(),
                    limit,
                });
            }
        };
        match response.status() {
            StatusCode::OK => {
                let wire: Wire =
                    serde_json::from_slice(response.body()).map_err(|e| malformed(&e))?;
                let page: Page<Row> = wire.try_into().map_err(|e| malformed(&e))?;
                if page.age > self.max_age {
                    return Err(malformed(&format!(
                        "the cached list is too old: {}",
                        page.age
                    )));
                }
                let (era, newest) = (page.position.era, self.newest_era());
                if era < newest {
                    return Err(Fault::Outdated {
                        endpoint: endpoint(),
                        era,
                        newest,
                    });
                }
                Ok(page)
            }
            StatusCode::GONE => Err(Fault::Compacted {
                endpoint: endpoint(),
            }),
            status => Err(Fault::Refused {
                endpoint: endpoint(),
                status: status.as_u16(),
            }),
        }
    }
}

impl watch::Source for Source {
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            let mut reported = None;
            for endpoint in self.endpoints() {
                let page = match endpoint {
                    Some(peer) => self.fetch(peer, "", Span(0)).await,
                    None => self.platform.read().await,
                };
                match page {
                    Ok(page) => return Ok(self.observe(page)),
                    Err(fault) => {
                        self.report_failure();
                        // The platform's error says more than that of a router that cannot
                        // reach the platform either.
                        if reported.is_none() || endpoint.is_none() {
                            reported = Some(fault);
                        }
                    }
                }
            }
            Err(reported.unwrap_or(Fault::Unreachable {
                endpoint: self.name.into(),
                cause: "no router or platform is configured".into(),
            }))
        }
        .boxed()
    }

    /// Asks the router that lists are read from to check its copy, and the platform if that takes long: the router may
    /// be gone.
    fn check(&self, after: Position) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        let endpoint = self.endpoints().first().copied().flatten();
        async move {
            let checked = match endpoint {
                Some(peer) => {
                    let query = format!("/check{}", changes_query(after, Span(0)));
                    let checked = self.fetch(peer, &query, Span(0));
                    let limit = Duration::from(PEER_CHECK_TIME);
                    tokio::time::timeout(limit, checked).await.ok()
                }
                None => None,
            };
            let page = match checked {
                Some(Ok(page)) => Ok(page),
                Some(Err(_)) | None => self.platform.check(after).await,
            };
            page.map(|page| self.observe(page))
        }
        .boxed()
    }

    fn changes(&self, after: Position, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        let endpoint = self.endpoints().first().copied().flatten();
        async move {
            let page = match endpoint {
                Some(peer) => {
                    let wait = wait.min(PEER_WAIT);
                    let query = changes_query(after, wait);
                    self.fetch(peer, &query, wait).await
                }
                None => self.platform.changes(after, wait).await,
            };
            page.map(|page| self.observe(page))
        }
        .boxed()
    }

    fn report_failure(&self) {
        let mut cursor = self.cursor.lock().unwrap_or_else(PoisonError::into_inner);
        cursor.index += 1;
        cursor.last_failure = clock::now();
    }
}

/// Returns the query of a call for the changes after a position.
fn changes_query(after: Position, wait: Span) -> String {
    let Position { era, version } = after;
    let wait_ms = wait.as_millis();
    format!("?after={version}&era={era}&wait-ms={wait_ms}")
}
