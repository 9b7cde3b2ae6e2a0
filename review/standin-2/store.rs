//! Stand-in of the platform's store: rows in tables, whole reads, changes and transactions.

use crate::{
    http::{self, Head},
    json::{self, Value},
};
use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Row {
    /// Content in base64; `None` once it was removed.
    value: Option<String>,
    version: u64,
}

struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn open() -> Arc<Self> {
        let (listener, address) = http::bind();
        let store = Arc::new(Self {
            address,
            state: Mutex::new(State {
                rows: BTreeMap::new(),
                version: 1,
            }),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let served = store.clone();
        http::serve(listener, move |stream| served.serve(stream));
        store
    }

    /// Writes a row, as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode(value.as_bytes())));
    }

    /// Replaces the content of a row whose entry doesn't change, so that its change isn't reported.
    pub fn replace(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(row) = state.rows.get_mut(&(table.into(), key.into())) {
            row.value = Some(encode(value.as_bytes()));
        }
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = Row { value, version };
        state.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&head, &mut reader)?;
            let (status, body) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\nstore-era: 1\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(n, _)| *n == name).map(|(_, value)| value);
            value.unwrap_or_default().to_owned()
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        match path {
            "/api/rows-get" => (200, self.rows(&parameter("table"))),
            "/api/rows-feed" => {
                let wait = Duration::from_millis(number("wait-ms"));
                (200, self.feed(&parameter("table"), number("after"), wait))
            }
            "/api/rows-tx" => {
                let text = String::from_utf8_lossy(body);
                self.transact(&json::parse(&text).unwrap_or(Value::Null))
            }
            _ => (404, "{}".into()),
        }
    }

    fn page(&self, version: u64, rows: &[String]) -> String {
        let now = self.start.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"has-more\":false,\"ver\":{version},\"now-ms\":{now}}}")
    }

    fn rows(&self, table: &str) -> String {
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter();
        let rows = rows.filter(|((of, _), row)| of == table && row.value.is_some());
        let rows: Vec<String> = rows.map(|((_, key), row)| show(table, key, row)).collect();
        self.page(state.version, &rows)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let rows = state.rows.iter();
            let rows = rows.filter(|((of, _), row)| of == table && row.version > after);
            let rows: Vec<String> = rows.map(|((_, key), row)| show(table, key, row)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.page(state.version, &rows);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Value) -> (u16, String) {
        let entries = body
            .get("put")
            .list()
            .iter()
            .chain(body.get("remove").list());
        for row in entries {
            if ["op", "servers"].contains(&row.get("table").text()) {
                return (403, "{}".into());
            }
        }
        for row in body.get("put").list() {
            let value = Some(row.get("value").text().to_owned());
            self.write(row.get("table").text(), row.get("key").text(), value);
        }
        for row in body.get("remove").list() {
            self.write(row.get("table").text(), row.get("key").text(), None);
        }
        let version = self.state.lock().unwrap().version;
        (200, self.page(version, &[]))
    }
}

fn show(table: &str, key: &str, row: &Row) -> String {
    let (table, key) = (json::quote(table), json::quote(key));
    let content = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".into(),
    };
    let version = row.version;
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{version},{content}}}")
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let byte = |index: usize| u32::from(block.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= block.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
