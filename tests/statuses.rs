//! End-to-end tests of targets whose answers have a status that no answer has.

mod world;

use std::{ops::RangeInclusive, thread, time::Duration};
use world::{Caller, Mode, Raw, Replica, Router, World, event, wait_for};

/// Statuses that aren't those of an answer; a 199 or 100 that nothing follows is none either.
const NO_STATUSES: [&str; 16] = [
    "000", "099", "99", "2000", "", "+20", "2x0", "OK", "100", "101", "199", "600", "700", "999",
    "1000", "-200",
];
const ROUTES: [&str; 4] = ["book", "look", "plan", "sum"];
const EVENTS: u64 = 5;

/// Returns a signed answer with a status, as a stream if `is_stream` is set.
fn answer_with(status: &str, is_stream: bool) -> String {
    let (kind, body) = match is_stream {
        true => ("text/event-stream", (1..=EVENTS).map(event).collect()),
        false => ("text/plain", "it is out of order".to_owned()),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Oops\r\n{{signed}}content-type: {kind}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn call(router: &Router, route: &str, request: &str) -> world::Answer {
    let caller = match route {
        "plan" | "sum" => Caller::stream(router.listen, route, request),
        _ => Caller::new(router.listen, "POST", &format!("/{route}/x"), request),
    };
    caller.with("x-marlrun-deadline-ms", "1500").call()
}

/// A router that takes bytes of a target in trouble for an answer passes them on with its signature.
#[test]
fn status_that_no_answer_has_is_not_passed_on() {
    for status in NO_STATUSES {
        let world = World::open(0, 0);
        let router = Router::ready(&world.store, "r1");
        let targets = [("llm", true), ("app", false)].map(|(service, is_stream)| {
            Raw::bind(
                &world.store,
                service,
                &format!("i-{service}"),
                &answer_with(status, is_stream),
            )
        });
        wait_for("the targets are listed", || {
            router.log().contains("\"live\":2")
        });
        for route in ROUTES {
            let answer = call(&router, route, &format!("q-{route}"));
            let case = format!("{status:?} on {route}: {answer:?}");
            assert!([502, 504].contains(&answer.status), "{case}");
            assert_eq!(answer.header("x-marlrun-response-stamp"), None, "{case}");
        }
        for target in targets {
            assert!(target.requests() > 0, "{status:?}");
        }
    }
}

/// The head of one target must not come with the events of another.
#[test]
fn stream_begins_elsewhere_after_status_that_no_answer_has() {
    for status in ["101", "600", "999"] {
        let world = World::open(0, 0);
        let router = Router::ready(&world.store, "r1");
        let first = Raw::bind(&world.store, "llm", "i-a", &answer_with(status, true));
        wait_for("the target is listed", || {
            router.log().contains("\"live\":1")
        });
        let other = Replica::bind(&world.store, "llm", "i-b");
        other.pace(EVENTS, Duration::from_millis(5));
        wait_for("both targets are listed", || {
            router.log().contains("\"live\":2")
        });
        for number in 0..8 {
            let answer = call(&router, "plan", &format!("q{number}"));
            assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
            assert_eq!(answer.body, (1..=EVENTS).map(event).collect::<String>());
        }
        assert!(first.requests() > 0, "{status}");
    }
}

/// Statuses of whole responses that aren't passed on with a body: two have none, and the third says that another instance
/// is at the target's address.
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
const MISDIRECTED: u16 = 421;

/// Calls each kind of route while its target answers with each status, framed in three ways.
fn check_passed_on(statuses: RangeInclusive<u16>) {
    let events: String = (1..=EVENTS).map(event).collect();
    let check = |frame: &dyn Fn(&str) -> String| {
        let world = World::open(0, 0);
        let router = Router::ready(&world.store, "r1");
        let targets = ["llm", "app"]
            .map(|service| Raw::bind(&world.store, service, &format!("i-{service}"), ""));
        wait_for("the targets are listed", || {
            router.log().contains("\"live\":2")
        });
        let mut calls = 0;
        for status in statuses.clone().filter(|status| *status != MISDIRECTED) {
            let answers = [&*events, "{\"error\":\"not for you\"}"].map(|body| {
                let kind = match body == events && status < 300 {
                    true => "text/event-stream",
                    false => "application/json",
                };
                let framed = frame(body);
                format!("HTTP/1.1 {status} No\r\n{{signed}}content-type: {kind}\r\n{framed}")
            });
            for (target, answer) in targets.iter().zip(&answers) {
                target.answer_with(answer);
            }
            for route in ROUTES {
                calls += 1;
                let answer = call(&router, route, &format!("q{calls}"));
                let case = format!("{status} on {route}, {:?}: {answer:?}", frame("..."));
                assert_eq!(answer.status, status, "{case}");
                let stamp = answer.header("x-marlrun-response-stamp");
                assert_eq!(stamp, Some("1.2.3"), "{case}");
                if [NO_CONTENT, NOT_MODIFIED].contains(&status) {
                    continue;
                }
                let body = match route {
                    "plan" | "sum" => &*events,
                    _ => "{\"error\":\"not for you\"}",
                };
                assert_eq!((answer.whole, &*answer.body), (true, body), "{case}");
            }
        }
        let requests: u64 = targets.iter().map(Raw::requests).sum();
        assert_eq!(requests, calls, "{:?}: each runs once", frame("..."));
    };
    thread::scope(|scope| {
        let check = &check;
        scope.spawn(move || {
            check(&|body| format!("content-length: {}\r\n\r\n{body}", body.len()));
        });
        scope.spawn(move || {
            check(&|body| {
                let length = body.len();
                format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            });
        });
        scope.spawn(move || check(&|body| format!("\r\n{body}")));
    });
}

#[test]
fn success_is_passed_on_unchanged() {
    check_passed_on(200..=299);
}

/// A router that takes each answer on a stream's route for events closes the caller's connection without one, or adds
/// the events of another target (review/8).
#[test]
fn rejection_by_target_is_passed_on_unchanged() {
    check_passed_on(300..=499);
}

#[test]
fn failure_of_target_is_passed_on_unchanged() {
    check_passed_on(500..=599);
}

/// A target that rejects the requests of one workspace must not be ejected for all others.
#[test]
fn rejection_is_no_fault_of_its_target() {
    const REJECTION: &str =
        "HTTP/1.1 403 No\r\n{signed}content-type: text/plain\r\ncontent-length: 2\r\n\r\nno";
    let world = World::open(1, 0);
    let router = Router::ready(&world.store, "r1");
    // Its cache keeps the streams here.
    assert_eq!(call(&router, "plan", "q").status, 200);
    let rejecting = Raw::bind(&world.store, "llm", "i-rejecting", REJECTION);
    wait_for("both targets are listed", || {
        router.log().contains("\"live\":2")
    });
    let mut cut = 0;
    for number in 0..30 {
        // So few streams break off that the target isn't ejected for it.
        let mode = match number % 3 {
            0 => Mode::CutAfter(2),
            _ => Mode::Good,
        };
        world.engines[0].behave(mode);
        let answer = call(&router, "plan", &format!("q{number}"));
        cut += u64::from(!answer.whole);
    }
    assert!(cut >= 8, "{cut}");
    assert_eq!(rejecting.requests(), cut, "each of them is resumed there");
    wait_for("the failures are logged", || {
        router
            .log()
            .contains("rejected the resumption with status 403")
    });
    let log = router.log();
    let doubted = |line: &&str| line.contains("target believed") && line.contains("i-rejecting");
    assert_eq!(log.lines().find(doubted), None);
}
