//! A target that sends events of a stream with other IDs.

use super::{Store, event};
use serde_json::json;
use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    ops::RangeInclusive,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Events of each stream.
pub(crate) const EVENTS: u64 = 8;
/// Time between two writes.
const PAUSE: Duration = Duration::from_millis(4);

/// How the first run of a request is spoiled and sent.
#[derive(Clone, Debug)]
pub(crate) struct Spoil {
    /// Numbers of the spoiled events.
    pub(crate) places: RangeInclusive<u64>,
    /// Their ID lines.
    pub(crate) lines: fn(u64) -> String,
    /// Events a write.
    pub(crate) group: usize,
    /// Whether the response has chunks; it ends with its connection otherwise.
    pub(crate) is_chunked: bool,
    /// Event after which the connection is reset.
    pub(crate) cut_after: Option<u64>,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub(crate) struct Spoiled {
    pub(crate) request: String,
    /// `Last-Event-Id` of the request.
    pub(crate) after: Option<String>,
}

/// What the targets of a world spoil, by request, and what they ran.
#[derive(Debug, Default)]
pub(crate) struct Spoils {
    planned: Mutex<HashMap<String, Spoil>>,
    runs: Mutex<Vec<Spoiled>>,
}

impl Spoils {
    pub(crate) fn plan(&self, request: &str, spoil: Spoil) {
        self.planned.lock().unwrap().insert(request.into(), spoil);
    }

    /// Returns the runs of a request.
    pub(crate) fn runs_of(&self, request: &str) -> Vec<Spoiled> {
        let runs = self.runs.lock().unwrap();
        let runs = runs.iter().filter(|run| run.request == request);
        runs.cloned().collect()
    }
}

/// Starts a target and registers it.
pub(crate) fn bind(store: &Store, name: &str, spoils: &Arc<Spoils>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let spoils = spoils.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let spoils = spoils.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(run) = read(&mut reader) {
                    spoils.runs.lock().unwrap().push(run.clone());
                    let spoil = spoils.planned.lock().unwrap().remove(&run.request);
                    // The router may have closed the connection.
                    if respond(&stream, &run, spoil).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let entry = json!({
        "service": "llm", "address": address.to_string(), "zone": "east", "slots": 64,
        "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1, "version": "v1",
    });
    store.put("servers", name, &entry);
}

fn read(reader: &mut BufReader<&TcpStream>) -> Option<Spoiled> {
    let (mut request, mut after, mut length) = (String::new(), None, 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim().split_once(": ") {
            Some((name, value)) => match &*name.to_lowercase() {
                "x-marlrun-request-id" => request = value.into(),
                "last-event-id" => after = Some(value.into()),
                "content-length" => length = value.parse().unwrap(),
                _ => {}
            },
            None if line == "\r\n" => break,
            None => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(Spoiled { request, after })
}

fn respond(mut stream: &TcpStream, run: &Spoiled, spoil: Option<Spoil>) -> io::Result<()> {
    let spoil = spoil.unwrap_or(Spoil {
        places: 0..=0,
        lines: |_| String::new(),
        group: 1,
        is_chunked: true,
        cut_after: None,
    });
    let framing = if spoil.is_chunked {
        "transfer-encoding: chunked\r\n"
    } else {
        ""
    };
    let name = &run.request;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-marlrun-request-id: {name}\r\n\
         x-marlrun-response-stamp: 1.2.3\r\n{framing}\r\n"
    )?;
    let after = run.after.as_deref().and_then(|after| after.parse().ok());
    let last = spoil.cut_after.unwrap_or(EVENTS);
    let numbers: Vec<u64> = (after.unwrap_or(0) + 1..=last).collect();
    for group in numbers.chunks(spoil.group) {
        let events = group.iter().map(|number| {
            let event = event(*number);
            if !spoil.places.contains(number) {
                return event;
            }
            event.replace(&format!("id: {number}\n"), &(spoil.lines)(*number))
        });
        let events: String = events.collect();
        let bytes = if spoil.is_chunked {
            format!("{:x}\r\n{events}\r\n", events.len())
        } else {
            events
        };
        stream.write_all(bytes.as_bytes())?;
        thread::sleep(PAUSE);
    }
    if spoil.cut_after.is_some() {
        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    } else if spoil.is_chunked {
        return stream.write_all(b"0\r\n\r\n");
    } else {
        stream.shutdown(Shutdown::Write)?;
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}
