//! Stand-in of the platform's store: rows, changes, and the faults that its pages name.

use super::listener::{Answered, Listener, answer};
use base64::{Engine as _, prelude::BASE64_STANDARD};
use futures::{FutureExt, future::BoxFuture};
use http_body_util::BodyExt;
use hyper::{Request, body::Incoming};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Answers 503: nothing was done.
    Busy,
    /// Gives no answer.
    Silent,
    /// Closes connections without an answer.
    Reset,
    /// Does writes and gives no answer.
    Lost,
    /// Takes this long for each answer.
    Slow(Duration),
}

/// What the `Store-Era` header of one answer says in place of the era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Era {
    /// There is no such header.
    Absent,
    /// An era.
    Other(u64),
}

#[derive(Clone)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

/// What a restore brings back.
#[derive(Clone)]
struct Copy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

struct State {
    rows: BTreeMap<(String, String), Row>,
    /// Addresses that stand in the rows of routers in place of those that they wrote.
    aliases: HashMap<SocketAddr, SocketAddr>,
    version: u64,
    /// Changes up to this version are not kept.
    forgotten: u64,
    fault: Fault,
    /// Rises by one with each restore.
    era: u64,
    /// What the next answer says of the era, if it is wrong.
    misstated: Option<Era>,
    copy: Option<Copy>,
}

/// The store; it ends when it is dropped.
pub(crate) struct Store {
    shared: Arc<Shared>,
    listener: Listener,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    calls: AtomicU64,
}

impl Store {
    pub(crate) fn bind() -> Arc<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                rows: BTreeMap::new(),
                aliases: HashMap::new(),
                version: 1,
                forgotten: 0,
                fault: Fault::None,
                era: 1,
                misstated: None,
                copy: None,
            }),
            changed: Notify::new(),
            calls: AtomicU64::new(0),
        });
        let served = shared.clone();
        let listener = Listener::bind(Arc::new(move |request| served.clone().serve(request)));
        Arc::new(Self { shared, listener })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Writes a row, as operators and targets do.
    pub(crate) fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        self.put_bytes(table, key, value.to_string().into_bytes())
    }

    /// Writes a row of any bytes, as other writers do.
    pub(crate) fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) -> u64 {
        self.shared.write(table, key, Some(value))
    }

    /// Writes a row again that differs in nothing that is reported as a change, as heartbeats of targets do.
    pub(crate) fn beat(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.shared.state();
        state.version += 1;
        let row = state.rows.get_mut(&(table.into(), key.into()));
        if let Some(row) = row.filter(|row| row.value.is_some()) {
            row.value = Some(value.to_string().into_bytes());
        }
    }

    pub(crate) fn remove(&self, table: &str, key: &str) -> u64 {
        self.shared.write(table, key, None)
    }

    /// Returns the keys of a table.
    pub(crate) fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.state();
        let rows = state.rows.iter();
        let rows = rows.filter(|((of, _), row)| of == table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    pub(crate) fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.shared.state();
        let row = state.rows.get(&(table.into(), key.into()))?;
        serde_json::from_slice(row.value.as_ref()?).ok()
    }

    /// Lists the router with an address under another one from its next write on.
    pub(crate) fn alias(&self, address: SocketAddr, listed: SocketAddr) {
        self.shared.state().aliases.insert(address, listed);
    }

    pub(crate) fn fail(&self, fault: Fault) {
        self.shared.state().fault = fault;
        // Calls that wait for changes meet the fault, too.
        self.shared.changed.notify_waiters();
    }

    /// Drops the history of changes.
    pub(crate) fn forget(&self) {
        let mut state = self.shared.state();
        state.version += 1;
        state.forgotten = state.version;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Takes a copy; a later one replaces it.
    pub(crate) fn copy(&self) {
        let mut state = self.shared.state();
        state.copy = Some(Copy {
            rows: state.rows.clone(),
            version: state.version,
        });
    }

    /// Comes back from the copy: what was written since is gone, versions are given out again, and
    /// the era rises by one. Operators and targets write again by themselves.
    pub(crate) fn restore(&self) {
        let mut state = self.shared.state();
        let copy = state.copy.clone().unwrap();
        state.rows = copy.rows;
        state.version = copy.version;
        state.forgotten = state.forgotten.min(copy.version);
        state.era += 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    pub(crate) fn era(&self) -> u64 {
        self.shared.state().era
    }

    /// Makes the next answer misstate the era.
    pub(crate) fn misstate(&self, era: Era) {
        self.shared.state().misstated = Some(era);
    }

    /// Reports whether an answer with a misstated era is still to come.
    pub(crate) fn misstates(&self) -> bool {
        self.shared.state().misstated.is_some()
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let row = Row { value, version };
        state.rows.insert((table.into(), key.into()), row);
        drop(state);
        self.changed.notify_waiters();
        version
    }

    /// Adds the era to an answer.
    fn stamp(&self, answered: Answered) -> Answered {
        let mut answer = answered?;
        let mut state = self.state();
        let era = match state.misstated.take() {
            None => state.era,
            Some(Era::Other(era)) => era,
            Some(Era::Absent) => return Ok(answer),
        };
        answer.headers_mut().insert("store-era", era.into());
        Ok(answer)
    }

    fn serve(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answered> {
        async move {
            let answered = self.clone().answer(request).await;
            self.stamp(answered)
        }
        .boxed()
    }

    fn answer(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answered> {
        async move {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let path = request.uri().path().to_owned();
            let query = parse_query(request.uri().query().unwrap_or_default());
            let body = request.into_body().collect().await;
            let body = body.map_err(std::io::Error::other)?.to_bytes();
            let fault = self.state().fault;
            match fault {
                Fault::Busy => return Ok(answer(503, "")),
                Fault::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
                Fault::Silent => std::future::pending().await,
                Fault::Slow(time) => tokio::time::sleep(time).await,
                Fault::None | Fault::Lost => {}
            }
            let (status, body) = match path.as_str() {
                "/api/rows-get" => (200, self.rows(&query)),
                "/api/rows-feed" => self.feed(&query).await?,
                "/api/rows-tx" => {
                    let done = self.transact(&body);
                    if fault == Fault::Lost {
                        return Err(std::io::ErrorKind::ConnectionReset.into());
                    }
                    done
                }
                _ => (404, json!({})),
            };
            Ok(answer(status, body.to_string()))
        }
        .boxed()
    }

    fn rows(&self, query: &HashMap<String, String>) -> Value {
        let state = self.state();
        let table = &query["table"];
        let rows = state.rows.iter();
        let rows = rows.filter(|((of, _), row)| of == table && row.value.is_some());
        let rows: Vec<Value> = rows.map(|((_, key), row)| show(table, key, row)).collect();
        json!({ "rows": rows, "has-more": false, "ver": state.version, "now-ms": 1 })
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Result<(u16, Value), std::io::Error> {
        let table = &query["table"];
        let after: u64 = query["after"].parse().unwrap();
        let wait = Duration::from_millis(query["wait-ms"].parse().unwrap());
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                match state.fault {
                    Fault::Busy => return Ok((503, json!({}))),
                    Fault::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
                    _ => {}
                }
                // It neither keeps changes that are too old nor has versions that are still to come.
                if after < state.forgotten || after > state.version {
                    return Ok((410, json!({})));
                }
                let rows = state.rows.iter();
                let rows = rows.filter(|((of, _), row)| of == table && row.version > after);
                let rows: Vec<Value> = rows.map(|((_, key), row)| show(table, key, row)).collect();
                let over = tokio::time::Instant::now() >= end;
                if state.fault != Fault::Silent && (!rows.is_empty() || over) {
                    let page = json!({ "rows": rows, "ver": state.version, "now-ms": 1 });
                    return Ok((200, page));
                }
            }
            let limit = end.max(tokio::time::Instant::now() + Duration::from_millis(1));
            // Time over is seen at the next turn.
            let _ = tokio::time::timeout_at(limit, changed).await;
        }
    }

    /// Replaces the address of a router that is listed under another one.
    fn with_alias(&self, table: &str, value: Vec<u8>) -> Vec<u8> {
        if table != "routers" {
            return value;
        }
        let mut entry: Value = serde_json::from_slice(&value).unwrap();
        let address = entry["peer"].as_str().unwrap().parse();
        let listed = self.state().aliases.get(&address.unwrap()).copied();
        if let Some(listed) = listed {
            entry["peer"] = listed.to_string().into();
        }
        entry.to_string().into_bytes()
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap().to_owned();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("put").iter().chain(&rows("remove")) {
            if matches!(text(row, "table").as_str(), "op" | "servers") {
                return (403, json!({}));
            }
        }
        for row in rows("put") {
            let value = BASE64_STANDARD.decode(text(&row, "value")).unwrap();
            let value = self.with_alias(&text(&row, "table"), value);
            self.write(&text(&row, "table"), &text(&row, "key"), Some(value));
        }
        for row in rows("remove") {
            self.write(&text(&row, "table"), &text(&row, "key"), None);
        }
        (200, json!({ "ver": self.state().version, "now-ms": 1 }))
    }
}

fn show(table: &str, key: &str, row: &Row) -> Value {
    match &row.value {
        Some(value) => json!({
            "table": table, "part": "", "key": key, "ver": row.version,
            "value": BASE64_STANDARD.encode(value),
        }),
        None => json!({
            "table": table, "part": "", "key": key, "ver": row.version, "removed": true,
        }),
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}
