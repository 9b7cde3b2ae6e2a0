//! Framing of event streams with consecutive IDs.

use marlrun::gateway::Events;
use proptest::prelude::*;

fn stream(from: u64, to: u64) -> String {
    (from..=to)
        .map(|number| format!("id: {number}\ndata: piece {number}\n\n"))
        .collect()
}

#[test]
fn feed_partial_event() {
    let mut events = Events::after(None);
    let whole = events.feed(b"id: 1\ndata: x\n\nid: 2\nda").unwrap();
    assert_eq!(&whole[..], b"id: 1\ndata: x\n\n");
    assert!(!events.is_whole());
    assert_eq!(events.last(), Some(1));
    events.resume();
    let rest = events.feed(b"id: 2\ndata: y\n\n").unwrap();
    assert_eq!(&rest[..], b"id: 2\ndata: y\n\n");
    assert!(events.is_whole());
}

#[test]
fn feed_gap_or_repeat() {
    for number in [1, 3] {
        let mut events = Events::after(Some("1"));
        let text = format!("id: {number}\ndata: x\n\n");
        assert!(events.feed(text.as_bytes()).is_err());
    }
}

proptest! {
    #[test]
    fn feed_any_cuts(cuts in prop::collection::vec(0..400_usize, 0..20), crlf: bool) {
        let text = stream(1, 12);
        let text = if crlf { text.replace('\n', "\r\n") } else { text };
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % text.len()).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut events = Events::after(None);
        let mut out = Vec::new();
        let mut from = 0;
        for cut in cuts {
            out.extend_from_slice(&events.feed(&text.as_bytes()[from..cut]).unwrap());
            from = cut;
            let passed = std::str::from_utf8(&out).unwrap();
            prop_assert!(passed.is_empty() || passed.ends_with("\n\n") || passed.ends_with("\n\r\n"));
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(events.count(), 12);
    }
}
