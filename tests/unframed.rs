//! End-to-end tests of responses of targets that have neither a length nor chunks and end with their
//! connection.

mod world;

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    ops::RangeInclusive,
    time::Duration,
};
use world::{Answer, Caller, Ending, Router, Unframed, World, event};

fn events(range: RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

/// A target whose first response ends in a certain way, with another one and a router before them.
struct Setup {
    world: World,
    targets: [Unframed; 2],
    router: Router,
}

impl Setup {
    fn open(service: &str, ending: Ending) -> Self {
        let world = World::open(0, 0);
        let targets = ["i-0", "i-1"];
        let targets = targets.map(|name| Unframed::bind(&world.store, service, name, ending));
        let router = Router::ready(&world.store, "r1");
        Self {
            world,
            targets,
            router,
        }
    }

    fn requests(&self) -> u64 {
        self.targets.iter().map(Unframed::requests).sum()
    }

    fn reused(&self) -> u64 {
        self.targets.iter().map(Unframed::reused).sum()
    }
}

/// Returns the answer of a resumable stream whose first two responses end in a certain way.
fn resumable(ending: Ending) -> Answer {
    let setup = Setup::open("llm", ending);
    let world = &setup.world;
    // A third one, which answers whole.
    let _whole = Unframed::bind(&world.store, "llm", "i-2", Ending::Whole);
    world::wait_for("the targets are listed", || {
        setup.router.log().contains("\"live\":3")
    });
    let answer = Caller::stream(setup.router.listen, "plan", "q1").call();
    assert!(setup.requests() >= 1, "it must begin at the first target");
    assert_eq!(setup.reused(), 0);
    answer
}

/// Returns the answer of a stream that can't be resumed.
fn once(ending: Ending) -> Answer {
    let setup = Setup::open("llm", ending);
    let answer = Caller::stream(setup.router.listen, "sum", "q1").call();
    assert_eq!(setup.requests(), 1, "it must not run again");
    answer
}

/// Sends a request for a stream that can't be resumed by HTTP/1.0; returns the bytes, and how they end.
fn once_by_http_1_0(ending: Ending) -> (String, Result<(), ErrorKind>) {
    let setup = Setup::open("llm", ending);
    let message = Caller::stream(setup.router.listen, "sum", "q1").message();
    let message = String::from_utf8(message).unwrap();
    let message = message.replacen("HTTP/1.1", "HTTP/1.0", 1);
    let mut stream = TcpStream::connect(setup.router.listen).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream.write_all(message.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    (text, end.map(drop).map_err(|error| error.kind()))
}

#[test]
fn whole_stream_is_whole() {
    for answer in [resumable(Ending::Whole), once(Ending::Whole)] {
        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
        assert_eq!(answer.body, events(1..=5));
    }
}

#[test]
fn resumable_stream_goes_on_after_end_within_event() {
    let answer = resumable(Ending::WithinEvent);
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events(1..=5));
}

#[test]
fn resumable_stream_goes_on_after_reset() {
    let answer = resumable(Ending::Reset);
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events(1..=5));
}

#[test]
fn resumable_stream_goes_on_after_end_within_head() {
    let answer = resumable(Ending::WithinHead);
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events(1..=5));
}

#[test]
fn resumable_stream_goes_on_after_end_before_any_event() {
    let answer = resumable(Ending::AfterNothing);
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events(1..=5));
}

#[test]
fn stream_that_ends_early_does_not_look_whole() {
    for ending in [Ending::WithinEvent, Ending::Reset] {
        let answer = once(ending);
        assert!(!answer.whole, "{ending:?}: {answer:?}");
        assert_eq!(answer.body, events(1..=2), "{ending:?}");
    }
    let answer = once(Ending::AfterNothing);
    assert!(!answer.whole, "{answer:?}");
    let answer = once(Ending::WithinHead);
    assert_eq!((answer.status, answer.whole), (502, true), "{answer:?}");
}

#[test]
fn whole_stream_is_whole_to_http_1_0() {
    let (text, end) = once_by_http_1_0(Ending::Whole);
    assert!(text.ends_with(&events(1..=5)), "{text}");
    assert_eq!(end, Ok(()));
}

#[test]
fn stream_that_ends_early_does_not_look_whole_to_http_1_0() {
    for ending in [Ending::WithinEvent, Ending::Reset] {
        let (text, end) = once_by_http_1_0(ending);
        assert!(text.ends_with(&events(1..=2)), "{ending:?}: {text}");
        assert_eq!(end, Err(ErrorKind::ConnectionReset), "{ending:?}: {text}");
    }
    // The reset may come before the head.
    let (text, end) = once_by_http_1_0(Ending::AfterNothing);
    assert!(!text.contains("data"), "{text}");
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{text}");
}

/// Responses without a body are whole at the end of their head, whatever that says of a length.
#[test]
fn response_that_has_no_body_does_not_wait_for_its_connection() {
    let heads = [
        ("GET", "HTTP/1.1 204 No Content", 204),
        ("GET", "HTTP/1.1 304 Not Modified", 304),
        ("GET", "HTTP/1.1 304 Not Modified\r\ncontent-length: 7", 304),
        ("HEAD", "HTTP/1.1 200 OK", 200),
        ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 7", 200),
    ];
    for (method, head, status) in heads {
        let setup = Setup::open("app", Ending::Bodyless(head));
        for number in 0..6 {
            let name = format!("q{number}");
            let caller = Caller::new(setup.router.listen, method, "/look/x", &name);
            let answer = caller.call();
            assert_eq!(answer.status, status, "{head}");
            assert!(answer.after < Duration::from_secs(1), "{head}: {answer:?}");
            assert_eq!(answer.body, "", "{head}");
        }
        assert!(
            setup.reused() > 0,
            "{head}: the connection to the target is reused"
        );
    }
}
