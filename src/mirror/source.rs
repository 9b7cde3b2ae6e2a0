//! Reads a list from other routers or from the platform, with failover between them.

use super::page::Wire;
use crate::{
    clock, metric,
    unit::{Span, Time},
    upstream,
    watch::{self, Fault, Page, Position, Row},
};
use bytes::Bytes;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::{Request, StatusCode};
use http_body_util::Full;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
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
/// Time in which an endpoint usually answers a read; after it, the next one is asked as well.
const READ_STAGGER: Span = Span::from_millis(150);
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

    /// Returns the endpoints in order of preference.
    fn endpoints(&self) -> Vec<Endpoint> {
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
    /// Newest position of any page.
    newest: Mutex<Position>,
    /// Whether no endpoint answered the last read.
    is_lost: AtomicBool,
}

/// Router to ask; `None` stands for the platform.
type Endpoint = Option<SocketAddr>;

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
            newest: Mutex::default(),
            is_lost: AtomicBool::new(false),
        }
    }

    /// Returns the endpoints in the order in which they are to be asked now.
    fn endpoints(&self) -> Vec<Endpoint> {
        let mut endpoints = self.peers.endpoints();
        let mut cursor = self.cursor();
        if clock::now().since(cursor.last_failure) >= FAILBACK_DELAY {
            cursor.index = 0;
        }
        let first = cursor.index % endpoints.len();
        endpoints.rotate_left(first);
        endpoints
    }

    fn cursor(&self) -> MutexGuard<'_, Cursor> {
        self.cursor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn newest(&self) -> MutexGuard<'_, Position> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the position of a page.
    fn observe(&self, page: Page<Row>) -> Page<Row> {
        let mut newest = self.newest();
        *newest = newest.max(page.position);
        page
    }

    /// Asks another endpoint first for a while: the one that is `count` places after the first one.
    fn skip(&self, count: usize) {
        let mut cursor = self.cursor();
        cursor.index += count;
        cursor.last_failure = clock::now();
    }

    /// Reads the list from the first endpoint that has it, with the index of that endpoint; asks the first `at_once`
    /// endpoints at the same time. One that lags behind a page seen before counts only if no other one answers.
    async fn ask_in_turn(
        &self,
        endpoints: &[Endpoint],
        at_once: usize,
    ) -> Result<(usize, Page<Row>), Fault> {
        let ask = |(index, endpoint): (usize, &Endpoint)| {
            let endpoint = *endpoint;
            async move { (index, self.read_from(endpoint).await) }
        };
        let mut next = endpoints.iter().enumerate();
        let mut calls: FuturesUnordered<_> = next.by_ref().take(at_once).map(ask).collect();
        let (mut lagging, mut reported) = (None, None);
        loop {
            let late = tokio::time::sleep(Duration::from(READ_STAGGER));
            tokio::select! {
                Some((index, answer)) = calls.next() => match answer {
                    Ok(page) if page.position >= *self.newest() => return Ok((index, page)),
                    Ok(page) => lagging = Some((index, page)),
                    Err(fault) => {
                        // The platform's error says more than that of a router that cannot
                        // reach the platform either.
                        if reported.is_none() || endpoints[index].is_none() {
                            reported = Some(fault);
                        }
                    }
                },
                () = late, if next.len() > 0 => calls.extend(next.next().map(ask)),
                else => break,
            }
            if calls.is_empty() {
                calls.extend(next.next().map(ask));
            }
        }
        lagging.ok_or_else(|| {
            reported.unwrap_or(Fault::Unreachable {
                endpoint: self.name.into(),
                cause: "no router or platform is configured".into(),
            })
        })
    }

    async fn read_from(&self, endpoint: Endpoint) -> Result<Page<Row>, Fault> {
        match endpoint {
            Some(peer) => self.fetch(peer, "", Span(0)).await,
            None => self.platform.read().await,
        }
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
                // Idle connections may have gone silent like this one.
                self.pool.forget(peer);
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
                let (era, newest) = (page.position.era, self.newest().era);
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
    /// Asks the endpoints in order of preference, each of them once the one before has failed or is late. After a read
    /// that failed, the platform is asked at once, however many routers come before it: that it can be reached again must
    /// be noticed soon.
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            let endpoints = self.endpoints();
            let at_once = if self.is_lost.load(Ordering::Relaxed) {
                let platform = endpoints.iter().position(Option::is_none);
                platform.map_or(1, |index| index + 1)
            } else {
                1
            };
            let answer = self.ask_in_turn(&endpoints, at_once).await;
            self.is_lost.store(answer.is_err(), Ordering::Relaxed);
            let (index, page) = answer?;
            if index > 0 {
                self.skip(index);
            }
            Ok(self.observe(page))
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
        self.skip(1);
    }
}

/// Returns the query of a call for the changes after a position.
fn changes_query(after: Position, wait: Span) -> String {
    let Position { era, version } = after;
    let wait_ms = wait.as_millis();
    format!("?after={version}&era={era}&wait-ms={wait_ms}")
}
