//! HTTP front end of a router process: responses to invalid, slow and disconnecting callers, and
//! unmodified forwarding of targets' responses to others.

mod common;

use common::{Answer, Caller, Fleet, Scripted, parse, wait_until};
use std::{
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    sync::mpsc,
    time::Duration,
};

/// Read timeout of the tests.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const VALID_REQUEST: &str = "GET /s/notes/x HTTP/1.1\r\nhost: test\r\nconnection: close\r\nauthorization: Bearer key-alpha\r\n\r\n";

fn fleet(flags: &[&'static str]) -> Fleet {
    let mut fleet = Fleet::new(&["alpha"]);
    fleet.alone = true;
    fleet.flags = flags.to_vec();
    fleet.start_target("note-1", "notes", "east", 4, &[]);
    fleet
}

fn fleet_with_router(flags: &[&'static str]) -> Fleet {
    let mut fleet = fleet(flags);
    fleet.start_routers(&[("east-1", "east")]);
    fleet
}

fn fleet_with_scripted_target(target: &Scripted, service: &str, flags: &[&'static str]) -> Fleet {
    let mut fleet = Fleet::new(&["alpha"]);
    fleet.alone = true;
    fleet.flags = flags.to_vec();
    fleet.declare(&format!(
        "[targets.scripted]\nservice = \"{service}\"\ndomain = \"east\"\naddress = \"{}\"\nslots = 4\n",
        target.address
    ));
    fleet.start_routers(&[("east-1", "east")]);
    fleet
}

fn fleet_with_engine(flags: &[&'static str], extra: &[&str]) -> Fleet {
    let mut fleet = fleet(flags);
    fleet.start_target("engine-1", "assistant", "east", 1, extra);
    fleet.start_routers(&[("east-1", "east")]);
    fleet
}

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.addresses["east-1"].listen).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

fn read(mut stream: &TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    assert!(!bytes.is_empty(), "no response: {read:?}");
    parse(&bytes)
}

/// Sends raw bytes and reads the response.
fn send_raw(fleet: &Fleet, bytes: &[u8]) -> Answer {
    let mut stream = connect(fleet);
    // The router may respond and close before everything is written.
    let _ = stream.write_all(bytes);
    read(&stream)
}

fn assert_refused(answer: &Answer, status: u16) {
    assert_eq!(answer.status, status, "{answer:?}");
    let outcome = answer.header("marlrun-outcome");
    assert_eq!(outcome, Some("not-run"), "{answer:?}");
    let media_type = answer.header("content-type");
    assert_eq!(media_type, Some("application/problem+json"), "{answer:?}");
    let problem: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(problem["outcome"], "not-run", "{answer:?}");
    assert_eq!(problem["status"], status, "{answer:?}");
}

fn assert_serves(fleet: &Fleet) {
    let answer = send_raw(fleet, VALID_REQUEST.as_bytes());
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}

#[test]
fn callers_invalid_head() {
    let fleet = fleet_with_router(&[]);
    assert_refused(&send_raw(&fleet, b"what is this\r\n\r\n"), 400);
    assert_refused(
        &send_raw(&fleet, b"GET / HTTP/1.1\r\nno colon\r\n\r\n"),
        400,
    );
    assert_serves(&fleet);
}

#[test]
fn callers_head_too_large() {
    let fleet = fleet_with_router(&[]);
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(80_000));
    assert_refused(&send_raw(&fleet, head.as_bytes()), 431);
    let filled =
        |bytes| VALID_REQUEST.replace("host", &format!("x: {}\r\nhost", "x".repeat(bytes)));
    let answer = send_raw(&fleet, filled(30_000).as_bytes());
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_serves(&fleet);
}

#[test]
fn callers_body_too_large() {
    let fleet = fleet_with_router(&["--max-body-bytes", "1000"]);
    let body = "x".repeat(4_000_000);
    for body in [
        format!("content-length: {}\r\n\r\n{body}", body.len()),
        format!(
            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}",
            body.len()
        ),
    ] {
        let head = "POST /s/notes/x HTTP/1.1\r\nhost: test\r\nauthorization: Bearer key-alpha\r\n";
        assert_refused(&send_raw(&fleet, format!("{head}{body}").as_bytes()), 413);
    }
    assert_serves(&fleet);
}

#[test]
fn callers_malformed_chunks() {
    let fleet = fleet_with_router(&[]);
    let request = "POST /s/notes/x HTTP/1.1\r\nhost: test\r\nauthorization: Bearer key-alpha\r\ntransfer-encoding: chunked\r\n\r\nnot a size\r\n";
    assert_refused(&send_raw(&fleet, request.as_bytes()), 400);
    assert_serves(&fleet);
}

#[test]
fn callers_slow_head() {
    let fleet = fleet_with_router(&["--idle-timeout", "300ms"]);
    assert_refused(&send_raw(&fleet, b"GET / HTTP/1.1\r\nhost: te"), 408);
    assert_serves(&fleet);
}

#[test]
fn callers_slow_body() {
    let fleet = fleet_with_router(&["--idle-timeout", "300ms"]);
    let request = "POST /s/notes/x HTTP/1.1\r\nhost: test\r\nauthorization: Bearer key-alpha\r\ncontent-length: 9\r\n\r\nhalf";
    assert_refused(&send_raw(&fleet, request.as_bytes()), 408);
    assert_serves(&fleet);
}

#[test]
fn callers_missing_headers() {
    let fleet = fleet_with_router(&[]);
    let unauthenticated = "GET /s/notes/x HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    assert_refused(&send_raw(&fleet, unauthenticated.as_bytes()), 401);
    let wrong = VALID_REQUEST.replace("Bearer", "Basic");
    assert_refused(&send_raw(&fleet, wrong.as_bytes()), 401);
    let no_host = VALID_REQUEST
        .replace("host: test\r\n", "")
        .replace("/s/notes", "");
    assert_refused(&send_raw(&fleet, no_host.as_bytes()), 404);
    assert_serves(&fleet);
}

#[test]
fn callers_too_many_connections() {
    let fleet = fleet_with_router(&["--max-connections", "2"]);
    let mut first = connect(&fleet);
    let second = connect(&fleet);
    let half = VALID_REQUEST.len() / 2;
    first.write_all(&VALID_REQUEST.as_bytes()[..half]).unwrap();
    wait_until("a third connection is refused", || {
        let mut third = connect(&fleet);
        third.write_all(VALID_REQUEST.as_bytes()).unwrap();
        let answer = read(&third);
        if answer.status == 200 {
            return false;
        }
        assert_refused(&answer, 503);
        assert_eq!(answer.header("retry-after"), Some("1"), "{answer:?}");
        true
    });
    first.write_all(&VALID_REQUEST.as_bytes()[half..]).unwrap();
    let answer = read(&first);
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    drop((first, second));
    wait_until("connections are accepted again", || {
        send_raw(&fleet, VALID_REQUEST.as_bytes()).status == 200
    });
}

#[test]
fn callers_responses_without_body() {
    let target = Scripted::start(|_, head, stream| {
        let answer = match head.split(' ').nth(1) {
            Some("/head") => "200 OK\r\ncontent-length: 1234\r\n",
            Some("/not-modified") => "304 Not Modified\r\ncontent-length: 77\r\netag: \"a\"\r\n",
            _ => "204 No Content\r\n",
        };
        write!(stream, "HTTP/1.1 {answer}\r\n").is_ok()
    });
    let fleet = fleet_with_scripted_target(&target, "notes", &[]);
    let caller = fleet.caller("east-1", "alpha");
    for (method, path, status, length) in [
        ("HEAD", "/s/notes/head", 200, Some("1234")),
        ("GET", "/s/notes/not-modified", 304, Some("77")),
        ("GET", "/s/notes/nothing", 204, None),
    ] {
        let answer = caller.send(method, path, &[], "").unwrap();
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.header("content-length"), length, "{answer:?}");
        assert_eq!(answer.header("transfer-encoding"), None, "{answer:?}");
        assert_eq!(&*answer.body, "", "{answer:?}");
    }
}

#[test]
fn callers_chunks_forwarded_immediately() {
    let (go, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let target = Scripted::start(move |_, _, stream| {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        wait.lock().unwrap().recv_timeout(READ_TIMEOUT).unwrap();
        stream.write_all(b"6\r\nsecond\r\n0\r\n\r\n").is_ok()
    });
    let fleet = fleet_with_scripted_target(&target, "notes", &[]);
    let caller = fleet.caller("east-1", "alpha");
    let mut stream = caller.begin("GET", "/s/notes/x", &[], "").unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"first\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    go.send(()).unwrap();
    stream.read_to_end(&mut bytes).unwrap();
    let answer = parse(&bytes);
    assert_eq!((&*answer.body, answer.complete), ("firstsecond", true));
}

/// Target that sends an endless body; reports the number of bytes sent once its connection is
/// closed.
fn endless_target() -> (Scripted, mpsc::Receiver<u64>) {
    let (closed, wait) = mpsc::channel();
    let target = Scripted::start(move |_, _, stream| {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let chunk = format!("{:x}\r\n{}\r\n", 1 << 16, "x".repeat(1 << 16));
        let mut sent = 0;
        // More than all socket buffers on the path can hold.
        while sent < 1 << 30 && stream.write_all(chunk.as_bytes()).is_ok() {
            sent += 1 << 16;
        }
        // The test may have ended.
        let _ = closed.send(sent);
        false
    });
    (target, wait)
}

#[test]
fn callers_slow_reader_backpressure_and_timeout() {
    let (target, closed) = endless_target();
    let fleet = fleet_with_scripted_target(&target, "notes", &["--idle-timeout", "500ms"]);
    let caller = fleet.caller("east-1", "alpha");
    let mut slow = caller.begin("GET", "/s/notes/x", &[], "").unwrap();
    let sent = closed.recv_timeout(READ_TIMEOUT).unwrap();
    assert!(sent < 1 << 28, "the target could send {sent} unread bytes");
    wait_until("the connection is closed", || {
        let mut probe = TcpStream::try_clone(&slow).unwrap();
        probe.write_all(b"x").is_err()
    });
    let mut bytes = Vec::new();
    // The connection may be reset.
    let _ = slow.read_to_end(&mut bytes);
    assert!(!parse(&bytes).complete, "a truncated response is complete");
}

#[test]
fn callers_disconnect_cancels_request() {
    let fleet = fleet_with_engine(&[], &["--token-interval", "50ms"]);
    let caller = fleet.caller("east-1", "alpha");
    let body = |prompt: &str| {
        serde_json::json!({
            "model": "assistant", "stream": true, "max_tokens": 10_000,
            "messages": [{"role": "user", "content": prompt}],
        })
        .to_string()
    };
    let ask = |prompt: &str| caller.begin("POST", "/v1/chat/completions", &[], &body(prompt));
    let total =
        |member: &str| fleet.ask_target("engine-1", "GET", "/runs", "")["total"][member].as_u64();
    let metric = |line: &str| {
        let page = Caller::new(fleet.addresses["east-1"].health, "");
        let page = page.send("GET", "/metrics", &[], "").unwrap();
        page.body.lines().any(|other| other == line)
    };
    let mut running = ask("running").unwrap();
    let mut byte = [0];
    running.read_exact(&mut byte).unwrap();
    let waiting = ask("waiting").unwrap();
    wait_until("a request waits", || metric("marlrun_waiting 1"));

    waiting.shutdown(Shutdown::Both).unwrap();
    drop(waiting);
    wait_until("the slot request is withdrawn", || {
        metric("marlrun_waiting 0")
    });
    assert_eq!(total("started"), Some(1));
    drop(running);
    wait_until("the run is cancelled", || total("cancelled") == Some(1));
    let answer = caller.complete("assistant", "next", 2, false).unwrap();
    assert_eq!(answer.status, 200, "the slot is not free: {answer:?}");
    assert_eq!(total("started"), Some(2));
}

#[test]
fn callers_invalid_requests_do_not_affect_others() {
    let fleet = fleet_with_router(&["--idle-timeout", "2s"]);
    let bad: Vec<_> = (0..200)
        .map(|number| {
            let mut stream = connect(&fleet);
            let bytes: &[u8] = match number % 4 {
                0 => b"\0\0\0\0\r\n\r\n",
                1 => b"GET / HTT",
                2 => b"POST /s/notes/x HTTP/1.1\r\nauthorization: Bearer key-alpha\r\ncontent-length: 100\r\n\r\n",
                _ => b"GET /s/notes/x HTTP/1.1\r\nauthorization: Bearer wrong\r\n\r\n",
            };
            stream.write_all(bytes).map(|()| stream)
        })
        .collect::<io::Result<_>>()
        .unwrap();
    for _ in 0..50 {
        assert_serves(&fleet);
    }
    drop(bad);
}

#[test]
fn callers_reused_connection_closed_by_target() {
    for service in ["notes", "panels"] {
        let target = Scripted::start(|number, _, stream| {
            if number == 2 {
                // Close the connection when the router reuses it.
                return false;
            }
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_ok()
        });
        let fleet = fleet_with_scripted_target(&target, service, &[]);
        let caller = fleet.caller("east-1", "alpha");
        let path = format!("/s/{service}/x");
        let first = caller.send("DELETE", &path, &[], "").unwrap();
        assert_eq!(first.status, 200, "{first:?}");
        let second = caller.send("DELETE", &path, &[], "").unwrap();
        let received = target.heads.lock().unwrap().len();
        if service == "notes" {
            assert_eq!((second.status, received), (200, 3), "{second:?}");
        } else {
            // The request may have run and is not idempotent, so it must not be retried.
            assert_eq!((second.status, received), (502, 2), "{second:?}");
            assert_eq!(second.header("marlrun-outcome"), Some("unknown"));
        }
    }
}

#[test]
fn callers_closed_connection_not_reused() {
    let target = Scripted::start(|_, _, stream| {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer.as_bytes()).unwrap();
        false
    });
    let fleet = fleet_with_scripted_target(&target, "panels", &[]);
    let caller = fleet.caller("east-1", "alpha");
    for number in 1..=20 {
        let answer = caller.send("POST", "/s/panels/x", &[], "").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(target.heads.lock().unwrap().len(), number);
    }
}

#[test]
fn callers_trace_spans() {
    let target = Scripted::start(|_, _, stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").is_ok()
    });
    let mut fleet = Fleet::new(&["alpha"]);
    fleet.alone = true;
    fleet.log_level = "debug";
    fleet.declare(&format!(
        "[targets.scripted]\nservice = \"notes\"\ndomain = \"east\"\naddress = \"{}\"\nslots = 4\n",
        target.address
    ));
    fleet.start_routers(&[("east-1", "east")]);
    let (trace, caller_span) = ("4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7");
    let parent = format!("00-{trace}-{caller_span}-01");
    let caller = fleet.caller("east-1", "alpha");
    let answer = caller
        .send("GET", "/s/notes/x", &[("traceparent", &parent)], "")
        .unwrap();
    assert_eq!(answer.header("marlrun-trace"), Some(trace), "{answer:?}");

    let spans = || {
        let mut spans = fleet.log("east-1");
        spans.retain(|line| line["msg"] == "span" && line["trace"] == trace);
        spans
    };
    wait_until("every span is logged", || spans().len() >= 4);
    let spans = spans();
    let span = |hop: &str| {
        let mut found = spans.iter().filter(|span| span["hop"] == hop);
        let first = found
            .next()
            .unwrap_or_else(|| panic!("no {hop}: {spans:?}"));
        assert!(found.next().is_none(), "two of {hop}: {spans:?}");
        let text = |name: &str| first[name].as_str().unwrap().to_owned();
        (text("span"), text("parent"))
    };
    let (root, above) = span("caller");
    assert_eq!(above, caller_span);
    for hop in ["queue", "grant", "target"] {
        assert_eq!(span(hop).1, root, "parent of {hop}");
    }
    let received = target.header("traceparent");
    let expected = format!("00-{trace}-{}-01", span("target").0);
    assert_eq!(received, [expected]);
}

#[test]
fn callers_metrics_after_a_request() {
    let fleet = fleet_with_router(&[]);
    assert_serves(&fleet);
    let page = Caller::new(fleet.addresses["east-1"].health, "");
    for (path, status) in [("/healthz", 200), ("/readyz", 200), ("/other", 404)] {
        let answer = page.send("GET", path, &[], "").unwrap();
        assert_eq!(answer.status, status, "{answer:?}");
    }
    let names = [
        "marlrun_requests_total{service=\"notes\"} 1",
        "marlrun_results_total{service=\"notes\",result=\"answered\"} 1",
        "marlrun_wait_seconds_count{service=\"notes\",class=\"quick\"} 1",
        "marlrun_first_byte_seconds_count{service=\"notes\"} 1",
        "marlrun_members 1",
        "marlrun_running 0",
        "marlrun_waiting 0",
        "marlrun_config_version ",
        "marlrun_control_busy_seconds_total ",
    ];
    for name in names {
        wait_until(name, || {
            let metrics = page.send("GET", "/metrics", &[], "").unwrap();
            metrics.body.lines().any(|line| line.starts_with(name))
        });
    }
}
