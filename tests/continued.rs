//! End-to-end tests of streams that break off, and of what the next target answers then.

mod world;

use std::{thread, time::Duration};
use world::{Answer, Caller, Mode, Raw, Replica, Router, World, event, wait_for};

/// Events of each stream, and those before it breaks off.
const EVENTS: u64 = 8;
const BEFORE: u64 = 3;

fn events(last: u64) -> String {
    (1..=last).map(event).collect()
}

/// Has a stream break off after some events, and the next target answer so; returns what the caller got, and the
/// number of requests that reached that target.
fn continued(answer: &str) -> (Answer, u64) {
    let world = World::open(1, 0);
    let first = &world.engines[0];
    first.pace(EVENTS, Duration::from_millis(40));
    first.behave(Mode::CutAfter(BEFORE));
    let router = Router::ready(&world.store, "r1");
    let caller = Caller::stream(router.listen, "plan", "q1");
    let call = thread::spawn(move || caller.call());
    wait_for("the stream begins", || !first.runs().is_empty());
    let next = Raw::bind(&world.store, "llm", "i-a", answer);
    (call.join().unwrap(), next.requests())
}

/// Answers that aren't the rest of a stream.
const NO_REST: [&str; 12] = [
    "HTTP/1.1 200 OK\r\n{signed}content-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{signed}content-type: text/plain\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{signed}transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{signed}content-type: application/json\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\n{signed}content-length: 18\r\n\r\nit is out of order",
    "HTTP/1.1 200 OK\r\n{signed}\r\n",
    "HTTP/1.1 204 No Content\r\n{signed}\r\n",
    "HTTP/1.1 404 Not Found\r\n{signed}content-length: 9\r\n\r\nnot found",
    "HTTP/1.1 500 Oops\r\n{signed}content-length: 18\r\n\r\nit is out of order",
    "HTTP/1.1 502 Oops\r\ncontent-type: text/html\r\ncontent-length: 18\r\n\r\nit is out of order",
    "HTTP/1.1 503 Full\r\n{signed}x-marlrun-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{signed}content-length: 8\r\n\r\ndata: x\n",
];

#[test]
fn stream_ends_as_whole_after_an_answer_without_events() {
    for answer in NO_REST {
        let (got, requests) = continued(answer);
        assert!(requests > 0, "{answer:?} was not asked for");
        assert!(!got.whole, "{answer:?}: {got:?}");
        assert_eq!(got.body, events(BEFORE), "{answer:?}");
    }
}

#[test]
fn stream_that_had_all_its_events_is_whole() {
    let rest: String = (BEFORE + 1..=EVENTS).map(event).collect();
    let length = rest.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{{signed}}content-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{rest}"
    );
    let (got, _) = continued(&answer);
    assert_eq!((got.body, got.whole), (events(EVENTS), true));
    // Only its end was missing.
    let answer = "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream; charset=utf-8\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    let (got, _) = continued(answer);
    assert_eq!((got.body, got.whole), (events(BEFORE), true));
}

#[test]
fn stream_goes_on_elsewhere_after_an_answer_without_events() {
    let world = World::open(1, 0);
    let first = &world.engines[0];
    first.pace(EVENTS, Duration::from_millis(60));
    first.behave(Mode::CutAfter(BEFORE));
    let router = Router::ready(&world.store, "r1");
    let caller = Caller::stream(router.listen, "plan", "q1");
    let call = thread::spawn(move || caller.call());
    wait_for("the stream begins", || !first.runs().is_empty());
    let next = Raw::bind(&world.store, "llm", "i-a", NO_REST[0]);
    let last = Replica::bind(&world.store, "llm", "i-b");
    last.pace(EVENTS, Duration::from_millis(5));
    let got = call.join().unwrap();
    assert_eq!((got.body, got.whole), (events(EVENTS), true));
    assert_eq!((next.requests(), last.runs().len()), (1, 1));
}

/// The whole head of an answer to a request of a service without streams.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-marlrun-request-id: q1\r\n\
    x-marlrun-response-stamp: 1.2.3\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n";

#[test]
fn head_that_breaks_off_answered_as_whole() {
    let world = World::open(0, 0);
    let router = Router::ready(&world.store, "r1");
    let lengths = (0..HEAD.len())
        .step_by(7)
        .chain([HEAD.len() - 1, HEAD.len()]);
    for length in lengths {
        let head = &HEAD[..length];
        let name = format!("i-{length}");
        let target = Raw::bind(&world.store, "app", &name, head);
        let live = || {
            let log = router.log();
            let last = log
                .lines()
                .rev()
                .find(|line| line.contains("targets changed"));
            last.is_some_and(|line| line.contains("\"live\":1,"))
        };
        wait_for("the target is listed", live);
        for (method, route) in [("POST", "book"), ("GET", "look")] {
            let answer = Caller::new(router.listen, method, &format!("/{route}/x"), "q1").call();
            assert_eq!(answer.status, 502, "{head:?}: {answer:?}");
            assert!(
                answer.whole && answer.body.contains("Outcome unknown"),
                "{answer:?}"
            );
        }
        assert!(target.requests() >= 2);
        world.store.remove("servers", &name);
        wait_for("the target is gone", || !live());
    }
}

#[test]
fn head_of_a_stream_that_breaks_off_answered_as_whole() {
    let head = HEAD.replace("text/plain", "text/event-stream");
    for length in [
        0,
        9,
        15,
        17,
        40,
        head.len() - 30,
        head.len() - 1,
        head.len(),
    ] {
        let (got, requests) = continued(&head[..length]);
        assert!(requests > 0);
        assert!(!got.whole, "{length} bytes of the head: {got:?}");
        assert_eq!(got.body, events(BEFORE));
    }
}
