//! A target whose responses have neither a length nor chunks and end with their connection.

use super::{Store, event};
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Events of a stream, and those that come before one that breaks off.
const EVENTS: u64 = 5;
const EVENTS_BEFORE: u64 = 2;

/// How a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// After its last event.
    Whole,
    WithinEvent,
    /// By a reset, between two events.
    Reset,
    WithinHead,
    /// After the head.
    AfterNothing,
    /// This status line and these headers, without a body, on a connection that stays open.
    Bodyless(&'static str),
}

/// A target that ends its first response in a certain way, and sends whole ones after it.
pub(crate) struct Unframed {
    requests: Arc<AtomicU64>,
    /// Requests that came on a connection after another one.
    reused: Arc<AtomicU64>,
}

impl Unframed {
    /// Starts a target and registers it.
    pub(crate) fn bind(store: &Store, service: &str, name: &str, ending: Ending) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, reused) = <(Arc<AtomicU64>, Arc<AtomicU64>)>::default();
        let first = Arc::new(Mutex::new(Some(ending)));
        let counts = (requests.clone(), reused.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let ((requests, reused), first) = (counts.clone(), first.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(&stream);
                    let mut count = 0;
                    while let Some(request) = read(&mut reader) {
                        requests.fetch_add(1, Ordering::Relaxed);
                        reused.fetch_add(u64::from(count > 0), Ordering::Relaxed);
                        count += 1;
                        let ending = first.lock().unwrap().take();
                        let ending = match ending {
                            Some(Ending::Bodyless(head)) => {
                                *first.lock().unwrap() = ending;
                                Ending::Bodyless(head)
                            }
                            other => other.unwrap_or(Ending::Whole),
                        };
                        // The router may have closed the connection.
                        let _ = respond(&stream, &request, ending);
                        if !matches!(ending, Ending::Bodyless(_)) {
                            return;
                        }
                    }
                });
            }
        });
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "east", "slots": 64,
            "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1,
        });
        store.put("servers", name, &entry);
        Self { requests, reused }
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that came on a connection after another one.
    pub(crate) fn reused(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }
}

/// Returns the name of a request and the event after which it goes on.
fn read(reader: &mut BufReader<&TcpStream>) -> Option<(String, u64)> {
    let (mut name, mut after, mut length) = (String::new(), 0, 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let lower = line.to_lowercase();
        match lower.trim().split_once(": ") {
            Some(("x-marlrun-request-id", value)) => name = value.into(),
            Some(("last-event-id", value)) => after = value.parse().unwrap(),
            Some(("content-length", value)) => length = value.parse().unwrap(),
            _ => {}
        }
        if line == "\r\n" {
            reader.read_exact(&mut vec![0; length]).ok()?;
            return Some((name, after));
        }
    }
}

fn respond(
    mut stream: &TcpStream,
    (name, after): &(String, u64),
    ending: Ending,
) -> std::io::Result<()> {
    let signed = format!("x-marlrun-request-id: {name}\r\nx-marlrun-response-stamp: 1.2.3\r\n");
    if let Ending::Bodyless(head) = ending {
        return stream.write_all(format!("{head}\r\n{signed}\r\n").as_bytes());
    }
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{signed}").as_bytes())?;
    if ending == Ending::WithinHead {
        return stream.shutdown(Shutdown::Write);
    }
    stream.write_all(b"\r\n")?;
    let last = match ending {
        Ending::Whole => EVENTS,
        Ending::AfterNothing => 0,
        _ => EVENTS_BEFORE,
    };
    for number in after + 1..=last {
        stream.write_all(event(number).as_bytes())?;
        thread::sleep(Duration::from_millis(10));
    }
    match ending {
        Ending::WithinEvent => stream.write_all(b"id: 3\nda")?,
        Ending::Reset => {
            return socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        _ => {}
    }
    stream.shutdown(Shutdown::Write)
}
