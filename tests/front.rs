//! HTTP front end with targets that misbehave in ways that the stand-in targets do not support.

mod common;

use bytes::Bytes;
use common::{Answer, Caller};
use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use marlrun::{
    daemon,
    front::{Limits, Responder, Server, Settings},
    unit::Span,
};
use sha2::{Digest, Sha256};
use std::{
    fs, io,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use tokio::runtime::Runtime;

/// Target that responds to its n-th request with the n-th script, verbatim, and closes the
/// connection.
struct Target {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Target {
    fn bind(scripts: &[&'static str]) -> Self {
        let scripts = scripts.to_vec();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::<Mutex<Vec<String>>>::default();
        let seen = heads.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                answer(stream.unwrap(), &scripts, &seen);
            }
        });
        Self { address, heads }
    }
}

fn answer(mut stream: TcpStream, scripts: &[&str], heads: &Mutex<Vec<String>>) {
    let head = read_head(&mut stream);
    let script = if head.starts_with("GET /health") || head.starts_with("GET /load") {
        "HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n"
    } else {
        let mut heads = heads.lock().unwrap();
        heads.push(head);
        scripts.get(heads.len() - 1).copied().unwrap_or_default()
    };
    // The router may have closed the connection already.
    let _ = stream.write_all(script.as_bytes());
}

/// Reads and returns a request with its body, as far as `Content-Length` declares one.
fn read_head(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        text += &String::from_utf8_lossy(&bytes[..count]);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            break;
        }
    }
    text
}

/// Starts a router with one target.
fn spawn(target: &Target, kind: &str, flags: daemon::Flags) -> daemon::Daemon {
    let digest = Sha256::digest("key-w");
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let address = target.address;
    let base = format!(
        "[sites.east]\ndomains = [\"east\"]\n\
         [services.s]\nkind = \"{kind}\"\nidempotent = true\nquick = 16\nestimate = 100\ntimeout = \"5s\"\n\
         max_waiting = 100\nengine = {{ fencing = true, resume = true }}\n\
         [targets.t]\nservice = \"s\"\ndomain = \"east\"\naddress = \"{address}\"\nslots = 4\n\
         [workspaces.w]\nkey_sha256 = [\"{hex}\"]\n"
    );
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("base.toml");
    fs::write(&path, base).unwrap();
    let flags = daemon::Flags {
        router: Some("r".into()),
        domain: Some("east".into()),
        listen: Some("127.0.0.1:0".into()),
        peer: Some("127.0.0.1:0".into()),
        base: Some(path.to_str().unwrap().into()),
        drain_notice: Some("0s".into()),
        ..flags
    };
    let settings = flags.check().unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    daemon::spawn(settings, &log).unwrap()
}

/// Starts a router with one target, sends a request and returns the response.
fn send(target: &Target, kind: &str, headers: &[(&str, &str)]) -> Answer {
    let daemon = spawn(target, kind, daemon::Flags::default());
    let caller = Caller::new(daemon.address(), "key-w");
    let answer = if kind == "model" {
        let body = "{\"model\": \"s\", \"messages\": [], \"stream\": true}";
        caller.send("POST", "/v1/chat/completions", headers, body)
    } else {
        caller.send("GET", "/s/s/x", headers, "")
    };
    daemon.drain();
    answer.unwrap()
}

#[test]
fn stream_resumed() {
    let target = Target::bind(&[
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         16\r\nid: 1\ndata: a\n\nid: 2\nda\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         1e\r\nid: 2\ndata: b\n\ndata: [DONE]\n\n\r\n0\r\n\r\n",
    ]);
    let answer = send(&target, "model", &[]);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(
        &*answer.body,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
    );
    let heads = target.heads.lock().unwrap();
    assert!(heads[1].contains("last-event-id: 1"), "{heads:?}");
}

#[test]
fn stream_resumed_with_error() {
    let error = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: application/json\r\n\
                 content-length: 2\r\n\r\n{}";
    let target = Target::bind(&[
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         10\r\nid: 1\ndata: a\n\n\n\r\n",
        error,
        error,
        error,
        error,
    ]);
    let answer = send(&target, "model", &[]);
    assert_eq!(answer.status, 200);
    assert!(
        !answer.complete,
        "a truncated stream ended cleanly: {answer:?}"
    );
}

#[test]
fn body_without_length() {
    let truncated =
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\nlabel 1 of";
    let target = Target::bind(&[truncated, truncated, truncated, truncated, truncated]);
    let answer = send(&target, "plain", &[]);
    assert_eq!(
        answer.header("marlrun-outcome"),
        Some("unknown"),
        "a body that may be truncated was forwarded: {answer:?}"
    );
}

#[test]
fn deadline_forwarded() {
    let target = Target::bind(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]);
    let answer = send(&target, "plain", &[("marlrun-timeout-ms", "60000")]);
    assert_eq!(&*answer.body, "ok", "{answer:?}");
    let heads = target.heads.lock().unwrap();
    let line = heads[0]
        .lines()
        .find_map(|line| line.strip_prefix("marlrun-timeout-ms: "));
    let left: u64 = line.expect("the timeout header").parse().unwrap();
    assert!(
        left <= 5_000,
        "exceeds the service's timeout of 5 s: {left}"
    );
}

#[test]
fn connections_beyond_limit_refused() {
    const CALLERS: usize = 400;

    let target = Target::bind(&[]);
    let flags = daemon::Flags {
        max_connections: Some("1".into()),
        ..daemon::Flags::default()
    };
    let daemon = spawn(&target, "plain", flags);
    let _first = TcpStream::connect(daemon.address()).unwrap();
    let open = |_| {
        let mut stream = TcpStream::connect(daemon.address()).unwrap();
        stream
            .write_all(b"GET /s/s/x HTTP/1.1\r\nhost: s\r\n\r\n")
            .unwrap();
        stream
    };
    let callers: Vec<TcpStream> = (0..CALLERS).map(open).collect();
    let mut answered = 0;
    for mut caller in callers {
        let mut text = String::new();
        // A connection without a complete response is not counted, which fails the assertion below.
        let _ = caller.read_to_string(&mut text);
        let whole = text.starts_with("HTTP/1.1 503") && text.ends_with('}');
        answered += usize::from(whole && text.contains("\r\nretry-after: "));
    }
    assert_eq!(answered, CALLERS);
}

/// Responder with limits that can change and a response of its own.
struct Stub {
    limits: Mutex<Limits>,
    body: Bytes,
}

impl Stub {
    fn new(limits: Limits) -> Self {
        Self {
            limits: Mutex::new(limits),
            body: Bytes::from_static(b"response"),
        }
    }
}

impl Responder for Stub {
    fn respond(
        &self,
        _: Request<Incoming>,
    ) -> BoxFuture<'_, Response<UnsyncBoxBody<Bytes, io::Error>>> {
        let body = Full::new(self.body.clone());
        let response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        async { response }.boxed()
    }

    fn limits(&self) -> Limits {
        self.limits.lock().unwrap().clone()
    }
}

fn serve(responder: &Arc<Stub>) -> (Runtime, Server) {
    let runtime = Runtime::new().unwrap();
    let settings = Settings {
        address: "127.0.0.1:0".parse().unwrap(),
        handler: responder.clone(),
    };
    let server = Server::bind(settings, runtime.handle()).unwrap();
    (runtime, server)
}

/// Sends a request on an open connection and returns what the first read returns.
fn request_on(stream: &mut TcpStream) -> String {
    // A connection that was closed is noticed by the read.
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    let mut bytes = [0; 4096];
    let count = stream.read(&mut bytes).unwrap_or_default();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

fn idle_limit(millis: u64) -> Limits {
    Limits {
        idle_timeout: Span::from_millis(millis),
        ..Limits::default()
    }
}

#[test]
fn idle_limit_raised_on_fresh_connection() {
    let responder = Arc::new(Stub::new(idle_limit(500)));
    let (_runtime, server) = serve(&responder);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    thread::sleep(Duration::from_millis(100));
    *responder.limits.lock().unwrap() = idle_limit(3_000);
    thread::sleep(Duration::from_millis(1_200));
    let answer = request_on(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

#[test]
fn idle_limit_raised_ends_connection_later() {
    let responder = Arc::new(Stub::new(idle_limit(500)));
    let (_runtime, server) = serve(&responder);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    thread::sleep(Duration::from_millis(100));
    *responder.limits.lock().unwrap() = idle_limit(1_000);
    let mut byte = [0];
    stream
        .set_read_timeout(Some(Duration::from_millis(600)))
        .unwrap();
    assert!(
        stream.read(&mut byte).is_err(),
        "closed before the new limit"
    );
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    assert_eq!(stream.read(&mut byte).unwrap(), 0);
}

#[test]
fn request_crossing_idle_close_is_unread() {
    let responder = Arc::new(Stub::new(idle_limit(300)));
    let (_runtime, server) = serve(&responder);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
    // Time for the router to close its side entirely, far below the time it lingers elsewhere.
    thread::sleep(Duration::from_millis(100));
    let _ = stream.write_all(b"GET / HTTP/1.1\r\n");
    thread::sleep(Duration::from_millis(100));
    let written = stream.write_all(b"host: a\r\n\r\n");
    assert!(written.is_err(), "the router took bytes after its close");
}

/// Connects with a small receive buffer, so that a large response stays at the router.
fn connect_with_small_buffer(runtime: &Runtime, address: SocketAddr) -> TcpStream {
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(2_304).unwrap();
        socket.connect(address).await.unwrap().into_std().unwrap()
    });
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Reads until the connection ends and returns the number of bytes after the head.
fn read_body(stream: &mut TcpStream) -> usize {
    let mut answer = Vec::new();
    // A connection that was cut is noticed by the number of bytes.
    let _ = stream.read_to_end(&mut answer);
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    answer.len() - head.unwrap() - 4
}

/// The router has nothing left to ask of the target, but the caller has not taken the response.
#[test]
fn drain_sends_whole_response_to_slow_caller() {
    const LARGE: usize = 8_000_000;

    let limits = Limits {
        drain_notice: Span::from_millis(100),
        ..Limits::default()
    };
    let mut stub = Stub::new(limits);
    stub.body = vec![b'a'; LARGE].into();
    let (runtime, server) = serve(&Arc::new(stub));
    let address = server.address();
    let mut stream = connect_with_small_buffer(&runtime, address);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    thread::sleep(Duration::from_millis(200));
    let drained = runtime.spawn(server.drain());
    thread::sleep(Duration::from_millis(1_200));
    assert!(
        !drained.is_finished(),
        "drained before the response was sent"
    );
    assert_eq!(read_body(&mut stream), LARGE);
    runtime.block_on(drained).unwrap();
}

fn head_limit(bytes: usize) -> Limits {
    Limits {
        head_bytes: bytes,
        ..Limits::default()
    }
}

#[test]
fn head_limit_raised_ends_kept_connection() {
    let responder = Arc::new(Stub::new(head_limit(10_000)));
    let (_runtime, server) = serve(&responder);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    let kept = request_on(&mut stream);
    assert!(!kept.contains("connection: close"), "{kept:?}");
    *responder.limits.lock().unwrap() = head_limit(40_000);
    let last = request_on(&mut stream);
    assert!(last.starts_with("HTTP/1.1 200"), "{last:?}");
    assert!(last.contains("connection: close"), "{last:?}");
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);

    let mut stream = TcpStream::connect(server.address()).unwrap();
    let kept = request_on(&mut stream);
    assert!(!kept.contains("connection: close"), "{kept:?}");
}

#[test]
fn head_limit_raised_sends_whole_response_to_slow_caller() {
    const LARGE: usize = 8_000_000;

    let mut stub = Stub::new(head_limit(10_000));
    stub.body = vec![b'a'; LARGE].into();
    let responder = Arc::new(stub);
    let (runtime, server) = serve(&responder);
    let mut stream = connect_with_small_buffer(&runtime, server.address());
    thread::sleep(Duration::from_millis(100));
    *responder.limits.lock().unwrap() = head_limit(40_000);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(read_body(&mut stream), LARGE);
}
