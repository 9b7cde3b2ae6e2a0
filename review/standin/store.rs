//! Stand-in of the platform's store: the calls for rows.

use crate::{
    http::{self, Request},
    json,
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Time of an answer, and of a transaction.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    /// Value in base64, `None` if the row was removed, with its version.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
    /// Addresses of proxies that stand in the rows of routers in place of their own.
    aliases: Vec<(String, String)>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    pub fn open(record: &Record) -> io::Result<Self> {
        let mut store = Self {
            shared: Arc::default(),
            record: record.clone(),
            address: http::free_address()?,
        };
        let serving = store.clone();
        store.address = http::serve(store.address, move |request, stream| {
            serving.serve(request, stream)
        })?;
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Writes or removes a row.
    pub fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert((table.into(), key.into()), (value, version));
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(json::base64(value.as_bytes())));
    }

    /// Lists a router at the address of a proxy before it.
    pub fn alias(&self, router: SocketAddr, proxy: SocketAddr) {
        let alias = (router.to_string(), proxy.to_string());
        self.state().aliases.push(alias);
    }

    /// Replaces the address in the row of a router that has a proxy.
    fn with_alias(&self, value: &str) -> String {
        let mut text = String::from_utf8_lossy(&json::from_base64(value)).into_owned();
        for (router, proxy) in &self.state().aliases {
            text = text.replace(&format!("\"{router}\""), &format!("\"{proxy}\""));
        }
        json::base64(text.as_bytes())
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state();
        let rows = state.rows.iter();
        let rows = rows.filter(|((of, _), (value, _))| of == table && value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(ANSWER);
        let (status, body) = match request.path.as_str() {
            "/api/rows-get" => (200, self.rows(request)),
            "/api/rows-feed" => self.feed(request),
            "/api/rows-tx" => return self.transact(request, stream),
            _ => (404, "{}".into()),
        };
        let headers = [("content-type", "application/json"), ("store-era", "1")];
        http::answer(stream, status, &headers, body.as_bytes())
    }

    fn rows(&self, request: &Request) -> String {
        let table = request.parameter("table").unwrap_or("");
        let state = self.state();
        let rows = state.rows.iter();
        let rows = rows.filter(|((of, _), (value, _))| of == table && value.is_some());
        let rows: Vec<String> = rows.map(show).collect();
        let (rows, version) = (rows.join(","), state.version);
        format!(r#"{{"rows":[{rows}],"has-more":false,"ver":{version},"now-ms":1}}"#)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let table = request.parameter("table").unwrap_or("");
        let after: u64 = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut state = self.state();
        loop {
            if after > state.version {
                return (410, "{}".into());
            }
            let rows = state.rows.iter();
            let rows = rows.filter(|((of, _), (_, version))| of == table && *version > after);
            let mut rows: Vec<_> = rows.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (_, version))| *version);
                let rows: Vec<String> = rows.into_iter().map(show).collect();
                let (rows, version) = (rows.join(","), state.version);
                return (
                    200,
                    format!(r#"{{"rows":[{rows}],"ver":{version},"now-ms":1}}"#),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(call) = json::parse(&body) else {
            return http::answer(stream, 400, &[], b"{}");
        };
        let name = |row: &json::Value| format!("{}/{}", row.text("table"), row.text("key"));
        let puts: Vec<String> = call.list("put").iter().map(name).collect();
        let removes: Vec<String> = call.list("remove").iter().map(name).collect();
        for row in call.list("put") {
            let value = match row.text("table") {
                "routers" => self.with_alias(row.text("value")),
                _ => row.text("value").into(),
            };
            self.write(row.text("table"), row.text("key"), Some(value));
        }
        for row in call.list("remove") {
            self.write(row.text("table"), row.text("key"), None);
        }
        self.record
            .line(&format!("store: put {puts:?}, removed {removes:?}"));
        let version = self.state().version;
        let body = format!(r#"{{"ver":{version},"now-ms":1}}"#);
        let headers = [("content-type", "application/json"), ("store-era", "1")];
        http::answer(stream, 200, &headers, body.as_bytes())
    }
}

fn show(((table, key), (value, version)): (&(String, String), &(Option<String>, u64))) -> String {
    let content = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.into(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{content}}}"#)
}
