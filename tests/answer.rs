//! Checks of answers: framing, resumption and truncation.

use marlrun::{answer, ingress};

fn feed(stream: &mut answer::Stream, text: &str) -> Result<String, answer::Fault> {
    let mut out = Vec::new();
    stream.feed(text.as_bytes(), &mut out)?;
    Ok(String::from_utf8(out).expect("events are text"))
}

#[test]
fn finish_done() {
    let mut stream = answer::Stream::open();
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n";
    assert_eq!(feed(&mut stream, text).as_deref(), Ok(text));
    assert_eq!(stream.finish(), Ok(()));
    assert_eq!(stream.tokens().0, 2);
}

#[test]
fn finish_truncated() {
    let mut stream = answer::Stream::open();
    assert_eq!(
        feed(&mut stream, "data: a\n\ndata: [DONE]\n").as_deref(),
        Ok("data: a\n\n")
    );
    assert_eq!(stream.finish(), Err(answer::Fault::Truncated { events: 1 }));
}

#[test]
fn feed_overrun() {
    let mut stream = answer::Stream::open();
    let text = "data: [DONE]\n\ndata: b\n\n";
    assert_eq!(feed(&mut stream, text), Err(answer::Fault::Overrun));
}

#[test]
fn resume_repeated_event() {
    let mut stream = answer::Stream::open();
    feed(&mut stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda").expect("whole so far");
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
    let mut stream = answer::Stream::open();
    feed(&mut stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n").expect("whole so far");
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
fn resume_at_anonymous_event() {
    let mut stream = answer::Stream::open();
    feed(&mut stream, "data: a\n\n").expect("whole so far");
    assert_eq!(stream.resume_at(), ingress::Resume::Never);
}
