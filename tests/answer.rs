//! Checks of event streams: completeness, truncation and resumption.

use marlrun::{
    answer::{self, Fault, Meaning, Stream},
    ingress,
};
use proptest::prelude::*;

fn feed(stream: &mut Stream, text: &str) -> Result<String, answer::Fault> {
    let mut out = Vec::new();
    stream.feed(text.as_bytes(), &mut out)?;
    Ok(String::from_utf8(out).expect("events are text"))
}

#[test]
fn finish_done() {
    let mut stream = Stream::open();
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n";
    assert_eq!(feed(&mut stream, text).as_deref(), Ok(text));
    assert_eq!(stream.finish(), Ok(()));
    assert_eq!(stream.tokens().0, 2);
}

#[test]
fn finish_truncated() {
    let mut stream = Stream::open();
    assert_eq!(
        feed(&mut stream, "data: a\n\ndata: [DONE]\n").as_deref(),
        Ok("data: a\n\n")
    );
    assert_eq!(stream.finish(), Err(answer::Fault::Truncated { events: 1 }));
}

#[test]
fn feed_overrun() {
    let mut stream = Stream::open();
    let text = "data: [DONE]\n\ndata: b\n\n";
    assert_eq!(feed(&mut stream, text), Err(answer::Fault::Overrun));
}

#[test]
fn resume_repeated_event() {
    let mut stream = Stream::open();
    feed(&mut stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda").expect("valid events");
    assert_eq!(stream.resume_at(), ingress::Resume::After("2".into()));
    stream.resume();
    let rest = "id: 2\ndata: b\n\nid: 3\ndata: c\n\ndata: [DONE]\n\n";
    assert_eq!(
        feed(&mut stream, rest).as_deref(),
        Ok("id: 3\ndata: c\n\ndata: [DONE]\n\n")
    );
    assert_eq!(stream.finish(), Ok(()));
}

#[test]
fn resume_gap() {
    let mut stream = Stream::open();
    feed(&mut stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n").expect("valid events");
    stream.resume();
    assert_eq!(
        feed(&mut stream, "id: 4\ndata: d\n\n"),
        Err(answer::Fault::Gap {
            expected: 3,
            got: 4
        })
    );
}

#[test]
fn resume_at_event_without_id() {
    let mut stream = Stream::open();
    feed(&mut stream, "data: a\n\n").expect("valid events");
    assert_eq!(stream.resume_at(), ingress::Resume::Never);
}

/// An ID that doesn't follow the ones before it tells no target where to resume (review/6, review/7).
#[test]
fn resume_at_disordered_ids() {
    for id in ["5", "1", "3x", "-3", "99999999999999999999999"] {
        let mut stream = Stream::open();
        let text = format!("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: {id}\ndata: c\n\n");
        assert_eq!(feed(&mut stream, &text).as_deref(), Ok(&*text));
        assert_eq!(stream.resume_at(), ingress::Resume::Never, "{id}");
    }
}

#[test]
fn resume_event_without_number() {
    for event in ["id: 3x\ndata: c\n\n", "data: c\n\n"] {
        let mut stream = Stream::open();
        feed(&mut stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n").expect("valid events");
        stream.resume();
        let expected = answer::Fault::Unnumbered { expected: 3 };
        assert_eq!(feed(&mut stream, event), Err(expected));
        assert_eq!(stream.resume_at(), ingress::Resume::After("2".into()));
    }
}

/// Returns the events after the one with ID `after`, including `[DONE]`.
fn events_after(after: u64, count: u64) -> String {
    let events = (after + 1..=count).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

/// Feeds bytes in pieces; returns `false` at the first fault.
fn feed_pieces(stream: &mut Stream, bytes: &[u8], piece: usize, out: &mut Vec<u8>) -> bool {
    let mut pieces = bytes.chunks(piece);
    pieces.all(|piece| stream.feed(piece, out).is_ok())
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    /// However a stream is interrupted and resumed, each event is forwarded once and in order, and
    /// only a stream with its `[DONE]` event is complete.
    #[test]
    fn stream_interrupted_and_resumed(
        count in 1_u64..40,
        piece in 1_usize..200,
        interruptions in prop::collection::vec((0_usize..2_000, 0_u64..3), 0..5),
    ) {
        let whole = events_after(0, count);
        let mut stream = Stream::open();
        let mut out = Vec::new();
        for (length, repeated) in interruptions {
            let after = match stream.resume_at() {
                ingress::Resume::Start => 0,
                ingress::Resume::After(last) => last.parse::<u64>().unwrap(),
                ingress::Resume::Never => break,
            };
            let bytes = events_after(after.saturating_sub(repeated), count);
            let length = length.min(bytes.len() - 1);
            prop_assert!(feed_pieces(&mut stream, &bytes.as_bytes()[..length], piece, &mut out));
            prop_assert!(stream.is_done() || stream.finish().is_err(), "an interrupted stream is complete");
            prop_assert!(whole.as_bytes().starts_with(&out), "the forwarded bytes are no prefix of the stream");
            if stream.is_done() {
                break;
            }
            stream.resume();
        }
        if !stream.is_done() {
            let after = match stream.resume_at() {
                ingress::Resume::After(last) => last.parse::<u64>().unwrap(),
                _ => 0,
            };
            prop_assert!(feed_pieces(&mut stream, events_after(after, count).as_bytes(), piece, &mut out));
        }
        prop_assert!(stream.finish().is_ok());
        prop_assert_eq!(String::from_utf8(out).unwrap(), whole);
    }
}

/// Each status that HTTP libraries accept.
#[test]
fn meaning_of_status() {
    for code in 100..=999 {
        let status = http::StatusCode::from_u16(code).unwrap();
        let expected = match code {
            200..=299 => Ok(Meaning::Success),
            300..=499 => Ok(Meaning::Rejection),
            500..=599 => Ok(Meaning::Failure),
            _ => Err(Fault::Status { status: code }),
        };
        assert_eq!(Meaning::of(status), expected, "{code}");
    }
}
