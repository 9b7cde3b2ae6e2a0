//! End-to-end tests of targets that end their answer while the request is still being sent to them.

mod world;

use serde_json::json;
use std::{
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use world::{Answer, Caller, Router, Store, configuration, event, wait_for};

/// Size of the requests, more than fits the buffers of a connection.
const UPLOAD_BYTES: usize = 4 << 20;
/// Time between the part of an answer and its end.
const BEFORE_END: Duration = Duration::from_millis(30);
/// Events of a stream, and those in the part of it.
const EVENTS: u64 = 8;
const EVENTS_BEFORE: u64 = 3;

/// What a target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Sends a part of an answer without a length, ends its side, and resets the connection after a time. Reads
    /// nothing of the request's body.
    EndEarly(Duration),
    /// The same, but by a close of the connection in place of both.
    CloseEarly,
    /// Reads the request, and then answers without a length.
    ReadAll,
    /// Answers with a length at once, and reads the request later.
    AnswerEarly,
}

/// Targets of both services, and a router.
struct Setup {
    _store: Arc<Store>,
    router: Router,
    mode: Arc<Mutex<Mode>>,
    requests: Arc<AtomicU64>,
}

impl Setup {
    fn open(mode: Mode) -> Self {
        let store = Store::bind();
        let mut configuration = configuration(1);
        configuration["limits"]["max-body-bytes"] = json!(2 * UPLOAD_BYTES);
        store.put("op", "config", &configuration);
        let mode = Arc::new(Mutex::new(mode));
        let requests: Arc<AtomicU64> = Arc::default();
        for (service, index) in [("llm", 0), ("llm", 1), ("app", 0), ("app", 1)] {
            let name = format!("i-{service}{index}");
            bind(&store, service, &name, &mode, &requests);
        }
        let router = Router::ready(&store, "r1");
        wait_for("the targets are listed", || {
            router.log().contains("\"live\":4")
        });
        Self {
            _store: store,
            router,
            mode,
            requests,
        }
    }

    fn upload(&self, route: &str) -> Answer {
        let number = self.requests.load(Ordering::Relaxed);
        let name = format!("q-{route}-{number}");
        let address = self.router.listen;
        let caller = match route {
            "plan" | "sum" => Caller::stream(address, route, &name),
            _ => Caller::new(address, "POST", &format!("/{route}/x"), &name),
        };
        caller.body(&vec![b'x'; UPLOAD_BYTES]).call()
    }

    fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }
}

fn bind(
    store: &Store,
    service: &str,
    name: &str,
    mode: &Arc<Mutex<Mode>>,
    requests: &Arc<AtomicU64>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mode, requests) = (mode.clone(), requests.clone());
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (mode, requests) = (mode.clone(), requests.clone());
            thread::spawn(move || {
                let Some(head) = read_head(&stream) else {
                    return;
                };
                requests.fetch_add(1, Ordering::Relaxed);
                let mode = *mode.lock().unwrap();
                // The router may have closed the connection.
                let _ = answer(&stream, &head, mode);
            });
        }
    });
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "east", "slots": 64,
        "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1, "version": "v1",
    });
    store.put("servers", name, &entry);
}

/// Reads the head of a request, byte by byte so that nothing of its body is read.
fn read_head(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::with_capacity(1, stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head.to_lowercase())
}

fn answer(mut stream: &TcpStream, head: &str, mode: Mode) -> std::io::Result<()> {
    let value = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    };
    let request = value("x-marlrun-request-id").unwrap_or_default();
    let length: usize = value("content-length").unwrap_or("0").parse().unwrap();
    let after: u64 = value("last-event-id").unwrap_or("0").parse().unwrap();
    let is_stream = value("x-marlrun-token-count").is_some();
    let body = |last: u64| match is_stream {
        true => (after + 1..=last).map(event).collect(),
        false => format!("{last} of eight parts"),
    };
    let signed = format!(
        "HTTP/1.1 200 OK\r\nx-marlrun-request-id: {request}\r\nx-marlrun-response-stamp: 1.2.3\r\n"
    );
    match mode {
        Mode::EndEarly(_) | Mode::CloseEarly => {
            write!(stream, "{signed}\r\n{}", body(EVENTS_BEFORE))?;
            thread::sleep(BEFORE_END);
            if let Mode::EndEarly(time) = mode {
                stream.shutdown(Shutdown::Write)?;
                thread::sleep(time);
            }
            // Unread bytes make it a reset.
            Ok(())
        }
        Mode::ReadAll => {
            stream.read_exact(&mut vec![0; length])?;
            write!(stream, "{signed}\r\n{}", body(EVENTS))
        }
        Mode::AnswerEarly => {
            let body = body(EVENTS);
            write!(
                stream,
                "{signed}connection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )?;
            stream.read_exact(&mut vec![0; length])
        }
    }
}

/// A target that is reset while it gets an upload ends its side first, so that the part that it sent looks whole.
#[test]
fn answer_that_ends_before_its_request_is_not_whole() {
    let delays = [0, 5, 60].map(Duration::from_millis);
    let modes = delays.map(Mode::EndEarly).into_iter();
    for mode in modes.chain([Mode::CloseEarly]) {
        let setup = Setup::open(mode);
        for route in ["book", "look", "plan", "sum"] {
            let answer = setup.upload(route);
            let is_refused = [502, 503, 504].contains(&answer.status);
            assert!(is_refused || !answer.whole, "{route}, {mode:?}: {answer:?}");
            let may_not_repeat = ["book", "sum"].contains(&route);
            assert!(answer.status != 503 || !may_not_repeat, "it may have run");
        }
        assert!(setup.requests.load(Ordering::Relaxed) >= 4, "{mode:?}");
    }
}

/// A whole answer to a request that was read, or one whose own end is marked, needs no more than that.
#[test]
fn answer_with_a_certain_end_is_whole() {
    let setup = Setup::open(Mode::ReadAll);
    for mode in [Mode::ReadAll, Mode::AnswerEarly] {
        setup.set(mode);
        for route in ["book", "look", "plan", "sum"] {
            let answer = setup.upload(route);
            assert_eq!(
                (answer.status, answer.whole),
                (200, true),
                "{route}, {mode:?}: {answer:?}"
            );
            let last = if route.len() == 4 && route != "plan" {
                format!("{EVENTS} of eight parts")
            } else {
                event(EVENTS)
            };
            assert!(answer.body.ends_with(&last), "{route}, {mode:?}");
        }
    }
}

/// Nothing but a reset tells a caller without chunks that the answer lacks a part.
#[test]
fn answer_that_ends_early_is_reset_without_chunks() {
    let delays = [0, 60].map(Duration::from_millis);
    for mode in delays.map(Mode::EndEarly) {
        let setup = Setup::open(mode);
        for route in ["book", "look", "plan", "sum"] {
            let caller = match route {
                "plan" | "sum" => Caller::stream(setup.router.listen, route, route),
                _ => Caller::new(setup.router.listen, "POST", &format!("/{route}/x"), route),
            };
            let message = caller.body(&vec![b'x'; UPLOAD_BYTES]).message();
            let (line, rest) =
                message.split_at(message.windows(2).position(|w| w == b"\r\n").unwrap());
            let line = str::from_utf8(line)
                .unwrap()
                .replace("HTTP/1.1", "HTTP/1.0");
            let mut stream = TcpStream::connect(setup.router.listen).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_secs(10)))
                .unwrap();
            stream.write_all(line.as_bytes()).unwrap();
            // The router may have answered already.
            let _ = stream.write_all(rest);
            let mut bytes = Vec::new();
            let end = stream.read_to_end(&mut bytes);
            let answer = Answer::parse(&bytes, Duration::ZERO);
            let is_refused = [502, 503, 504].contains(&answer.status);
            let is_reset = end.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
            assert!(is_refused || is_reset, "{route}, {mode:?}: {answer:?}");
        }
    }
}
