//! Client of the platform's store.

use super::row::Rows;
use crate::{
    metric,
    unit::{Era, Span},
    upstream,
    watch::{Fault, Page, Position, Row},
};
use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Maximum size of a response body: the store sends at most 1 MB of rows per page, in base64.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of pages of one read; further rows are ignored. The platform's tables are shorter.
const MAX_PAGES: usize = 200;

/// Header of each response that counts the restores of the store from a copy.
const ERA_HEADER: &str = "store-era";

/// Client of the platform's store; clones share the newest known era.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    pool: upstream::Pool,
    /// Timeout of calls other than long polls.
    timeout: Span,
    /// Newest era of any response; 0 while no response told one.
    newest_era: Arc<AtomicU64>,
}

/// Body of a successful response, and the era that it is of.
struct Answer {
    body: Bytes,
    era: Era,
}

impl Store {
    /// Returns a client without connecting.
    pub fn open(address: SocketAddr, timeout: Span) -> Self {
        Self {
            address,
            pool: upstream::Pool::default(),
            timeout,
            newest_era: Arc::default(),
        }
    }

    /// Reads a whole table page by page; returns its rows and the store's position at the first page,
    /// so that changes made between two pages are read again as changes.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, rejects the call, or is restored between two pages.
    pub async fn read_table(&self, table: &str) -> Result<Page<Row>, Fault> {
        let mut all = Vec::new();
        let mut first = None;
        for _ in 0..MAX_PAGES {
            let mut path = format!("/api/rows-get?table={table}&part=");
            if let Some(last) = all.last().map(|row: &Row| row.key.clone()) {
                // `from` is inclusive: the last key with a zero byte appended is the next possible key.
                path += &format!("&from={}%00", percent_encode(&last));
            }
            let answer = self.call(Method::GET, &path, Bytes::new()).await?;
            let page: Rows = self.parse(&path, &answer.body)?;
            let position = *first.get_or_insert(Position {
                era: answer.era,
                version: page.ver,
            });
            if answer.era != position.era {
                return Err(Fault::Outdated {
                    endpoint: self.endpoint(&path),
                    era: position.era,
                    newest: answer.era,
                });
            }
            let has_more = page.has_more;
            all.extend(page.into_rows());
            if !has_more {
                break;
            }
        }
        Ok(Page {
            entries: all,
            position: first.unwrap_or_default(),
            age: Span(0),
        })
    }

    /// Waits (long poll) for rows of a table that changed after a version, at most for `wait`. The
    /// caller has to compare the era of the result with that of the version.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the call, or with [`Fault::Compacted`] if it
    /// no longer keeps the changes since that version.
    pub async fn changes(&self, table: &str, after: u64, wait: Span) -> Result<Page<Row>, Fault> {
        let wait_ms = wait.as_millis();
        let path = format!("/api/rows-feed?table={table}&after={after}&wait-ms={wait_ms}");
        let limit = Span(wait.0 + self.timeout.0);
        let answer = self
            .call_within(limit, Method::GET, &path, Bytes::new())
            .await?;
        let page: Rows = self.parse(&path, &answer.body)?;
        let position = Position {
            era: answer.era,
            version: page.ver,
        };
        Ok(Page {
            entries: page.into_rows(),
            position,
            age: Span(0),
        })
    }

    /// Writes a row unconditionally. A write that times out may still have taken effect.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the write.
    pub async fn put(&self, table: &str, key: &str, value: &[u8]) -> Result<(), Fault> {
        let row = serde_json::json!({
            "table": table, "part": "", "key": key, "value": BASE64_STANDARD.encode(value),
        });
        let body = serde_json::json!({ "precondition": [], "put": [row], "remove": [] });
        self.transact(body).await
    }

    /// Removes a row if it exists.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the write.
    pub async fn remove(&self, table: &str, key: &str) -> Result<(), Fault> {
        let row = serde_json::json!({ "table": table, "part": "", "key": key });
        let body = serde_json::json!({ "precondition": [], "put": [], "remove": [row] });
        self.transact(body).await
    }

    async fn transact(&self, body: serde_json::Value) -> Result<(), Fault> {
        let body = Bytes::from(body.to_string());
        let response = self.call(Method::POST, "/api/rows-tx", body).await;
        response.map(drop)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Fault> {
        self.call_within(self.timeout, method, path, body).await
    }

    async fn call_within(
        &self,
        limit: Span,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, Fault> {
        let call = path.split('?').next().unwrap_or(path).to_owned();
        let result =
            tokio::time::timeout(Duration::from(limit), self.send_request(method, path, body));
        let result = result.await.unwrap_or_else(|_| {
            // Idle connections may have gone silent like this one.
            self.pool.forget(self.address);
            let endpoint = self.endpoint(path);
            Err(Fault::Timeout { endpoint, limit })
        });
        let label = match &result {
            Ok(_) => "ok",
            Err(Fault::Timeout { .. }) => "timeout",
            Err(Fault::Unreachable { .. }) => "unreachable",
            Err(Fault::Refused { .. }) => "refused",
            Err(Fault::Compacted { .. }) => "forgotten",
            Err(Fault::Outdated { .. }) => "outdated",
            Err(Fault::Malformed { .. }) => "malformed",
        };
        metrics::counter!(metric::STORE_CALLS, "call" => call, "result" => label).increment(1);
        result
    }

    async fn send_request(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Fault> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|e| self.malformed(path, &e))?;
        let json = header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let result = self
            .pool
            .fetch(self.address, request, MAX_RESPONSE_BYTES)
            .await;
        let response = result.map_err(|cause| Fault::Unreachable {
            endpoint: self.endpoint(path),
            cause: cause.to_string().into(),
        })?;
        let era = self.era_of(path, response.headers())?;
        match response.status() {
            StatusCode::OK => Ok(Answer {
                body: response.into_body(),
                era,
            }),
            StatusCode::GONE => Err(Fault::Compacted {
                endpoint: self.endpoint(path),
            }),
            status => Err(Fault::Refused {
                endpoint: self.endpoint(path),
                status: status.as_u16(),
            }),
        }
    }

    /// Returns the era of a response. One that tells none, as those of older stores, counts as of
    /// the newest known era; one of an earlier era was delayed on its way.
    fn era_of(&self, path: &str, headers: &HeaderMap) -> Result<Era, Fault> {
        let newest = Era(self.newest_era.load(Ordering::Relaxed));
        let Some(value) = headers.get(ERA_HEADER) else {
            return Ok(newest);
        };
        let text = value.to_str().map_err(|e| self.malformed(path, &e))?;
        let era: Era = text.parse().map_err(|cause| {
            self.malformed(path, &format!("header {ERA_HEADER}: {text:?}: {cause}"))
        })?;
        if era < newest {
            return Err(Fault::Outdated {
                endpoint: self.endpoint(path),
                era,
                newest,
            });
        }
        self.newest_era.fetch_max(era.0, Ordering::Relaxed);
        Ok(era)
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, path: &str, body: &[u8]) -> Result<T, Fault> {
        serde_json::from_slice(body).map_err(|error| self.malformed(path, &error))
    }

    fn malformed(&self, path: &str, cause: &dyn std::fmt::Display) -> Fault {
        Fault::Malformed {
            endpoint: self.endpoint(path),
            cause: cause.to_string().into(),
        }
    }

    fn endpoint(&self, path: &str) -> Box<str> {
        let call = path.split('?').next().unwrap_or(path);
        format!("the store at {}{call}", self.address).into()
    }
}

/// Percent-encodes a query value.
fn percent_encode(text: &str) -> String {
    let encoded = text.bytes().map(|byte| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    });
    encoded.collect()
}
