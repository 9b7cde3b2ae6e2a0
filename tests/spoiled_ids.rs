//! End-to-end tests of streams in which a target sends an event with a wrong ID.

mod world;

use std::sync::Arc;
use world::{
    Answer, Caller, EVENTS, Router, Spoil, Spoils, Store, bind_spoiling, configuration, event,
    wait_for,
};

/// Targets; those that sent a spoiled stream get fewer requests for a while.
const TARGETS: usize = 8;

/// Form of the ID lines of a spoiled event.
type Form = (&'static str, fn(u64) -> String);

/// IDs that are other numbers.
const OTHER_NUMBERS: [Form; 4] = [
    ("ahead", |number| format!("id: {}\n", number + 2)),
    ("behind", |number| {
        format!("id: {}\n", number.saturating_sub(2))
    }),
    ("right, then ahead", |number| {
        format!("id: {number}\nid: {}\n", number + 2)
    }),
    ("far ahead", |number| format!("id: {}\n", number + 90)),
];

/// IDs that aren't numbers.
const NO_NUMBERS: [Form; 9] = [
    ("with a letter", |number| format!("id: {number}x\n")),
    ("without a colon", |number| format!("id {number}\n")),
    ("in another field", |number| format!("ix: {number}\n")),
    ("missing", |_| String::new()),
    ("empty", |_| "id:\n".into()),
    ("negative", |number| format!("id: -{number}\n")),
    ("too large", |number| format!("id: {number}{}\n", u64::MAX)),
    ("in a comment", |number| format!(": id: {number}\n")),
    ("twice", |number| {
        format!("id: {}\nid: {number}\n", number + 2)
    }),
];

/// An ID that swallows the data of its event.
const DATA_IN_ID: [Form; 1] = [("with data", |number| format!("id: {number}x"))];

/// A router before targets that spoil IDs.
struct Setup {
    _store: Arc<Store>,
    router: Router,
    spoils: Arc<Spoils>,
}

impl Setup {
    fn open() -> Self {
        let store = Store::bind();
        store.put("op", "config", &configuration(1));
        let spoils = Arc::new(Spoils::default());
        for index in 0..TARGETS {
            bind_spoiling(&store, &format!("i-{index}"), &spoils);
        }
        let router = Router::ready(&store, "r1");
        wait_for("the targets are listed", || {
            router.log().contains(&format!("\"live\":{TARGETS}"))
        });
        Self {
            _store: store,
            router,
            spoils,
        }
    }

    /// Plays a stream whose first run is spoiled; returns the answer and the number of runs.
    fn play(&self, route: &str, request: &str, spoil: Spoil) -> (Answer, usize) {
        self.spoils.plan(request, spoil);
        let answer = Caller::stream(self.router.listen, route, request).call();
        (answer, self.spoils.runs_of(request).len())
    }
}

/// Returns the numbers of the pieces that an answer holds.
fn pieces(answer: &Answer) -> Vec<u64> {
    let lines = answer.body.lines();
    let pieces = lines.filter_map(|line| line.strip_prefix("data: piece "));
    pieces.map(|piece| piece.parse().unwrap()).collect()
}

/// Plays streams with some forms of spoiled IDs at each place, in writes of several sizes. Each answer has to hold the
/// first pieces, each once, and all if it is complete. Returns how many were complete after the spoiled run.
fn play(route: &str, forms: &[Form], places: &[u64]) -> usize {
    let mut resumed = 0;
    for (name, lines) in forms {
        let setup = Setup::open();
        for place in places {
            for group in [1, 2, 4, 8] {
                let is_chunked = (group + *place as usize).is_multiple_of(2);
                let spoil = Spoil {
                    places: *place..=*place,
                    lines: *lines,
                    group,
                    is_chunked,
                    cut_after: None,
                };
                let request = format!("q-{place}-{group}");
                let case = format!("{route}, ID {name}, {spoil:?}");
                let (answer, runs) = setup.play(route, &request, spoil);
                let got = pieces(&answer);
                let case = format!("{case}: {answer:?}");
                let expected: Vec<u64> = (1..=got.len() as u64).collect();
                assert_eq!(got, expected, "{case}");
                assert!(!answer.whole || got.len() as u64 == EVENTS, "{case}");
                resumed += usize::from(answer.whole && runs > 1);
            }
        }
    }
    resumed
}

/// A router that drops the events before a wrong ID and resumes after them loses pieces (review/6).
#[test]
fn resumable_stream_keeps_events_before_other_number() {
    let resumed = play("plan", &OTHER_NUMBERS, &[2, 4, 5, 7, 8]);
    assert!(resumed > 40, "{resumed} of 80 streams went on elsewhere");
}

#[test]
fn stream_does_not_lose_data_that_is_part_of_an_id() {
    play("plan", &DATA_IN_ID, &[1, 2, 4, 5, 8]);
    play("sum", &DATA_IN_ID, &[1, 2, 4, 5, 8]);
}

#[test]
fn other_number_cuts_stream_that_is_not_resumable() {
    play("sum", &OTHER_NUMBERS, &[2, 4, 5, 7, 8]);
}

/// A router that passes on an event without a number and doesn't count it has it sent again (review/7).
#[test]
fn resumable_stream_has_event_without_number_once() {
    let resumed = play("plan", &NO_NUMBERS, &[1, 2, 4, 5, 8]);
    assert!(resumed > 90, "{resumed} of 180 streams went on elsewhere");
}

/// Nobody continues such a stream, so that the place of an event is enough.
#[test]
fn event_without_number_is_passed_on_if_stream_is_not_resumable() {
    let setup = Setup::open();
    for (name, lines) in NO_NUMBERS {
        for place in [1, 2, 4, 5, 8] {
            let spoil = Spoil {
                places: place..=place,
                lines,
                group: 2,
                is_chunked: true,
                cut_after: None,
            };
            let request = format!("q-{place}-{name}").replace(' ', "-");
            let (answer, runs) = setup.play("sum", &request, spoil);
            let got = (pieces(&answer), answer.whole, runs);
            let expected = ((1..=EVENTS).collect(), true, 1);
            assert_eq!(got, expected, "ID {name} at {place}: {answer:?}");
        }
    }
}

/// Returns the spoil of a stream none of whose events has an ID.
fn unnumbered(cut_after: Option<u64>) -> Spoil {
    Spoil {
        places: 1..=EVENTS,
        lines: |_| String::new(),
        group: 1,
        is_chunked: true,
        cut_after,
    }
}

#[test]
fn stream_without_ids_is_whole() {
    let setup = Setup::open();
    for route in ["plan", "sum"] {
        let (answer, runs) = setup.play(route, &format!("q-{route}"), unnumbered(None));
        assert_eq!((answer.whole, runs), (true, 1), "{route}: {answer:?}");
        assert_eq!(pieces(&answer), (1..=EVENTS).collect::<Vec<_>>(), "{route}");
    }
}

/// Without an ID after which it goes on, another target sends the stream from its beginning.
#[test]
fn stream_without_ids_that_breaks_off_does_not_begin_again() {
    let setup = Setup::open();
    for cut_after in 1..EVENTS {
        let spoil = unnumbered(Some(cut_after));
        let (answer, _) = setup.play("plan", &format!("q-{cut_after}"), spoil);
        let got = pieces(&answer);
        assert_eq!(got, (1..=got.len() as u64).collect::<Vec<_>>());
        assert_eq!(answer.whole, got.len() as u64 == EVENTS, "{answer:?}");
    }
}

/// A target that ignores an ID that it can't read sends the stream from its beginning.
#[test]
fn stream_taken_up_after_unreadable_id_does_not_begin_again() {
    let setup = Setup::open();
    for last in ["3x", "-3", "three", "99999999999999999999999"] {
        let caller = Caller::stream(setup.router.listen, "plan", &format!("q{last}"));
        let answer = caller.with("last-event-id", last).call();
        assert!(!answer.whole, "{last}: {answer:?}");
        assert_eq!(pieces(&answer), [0; 0], "{last}");
    }
}

/// A router that takes a wrong number for the beginning of a stream loses the pieces up to it.
#[test]
fn resumable_stream_keeps_first_events_after_wrong_first_number() {
    let resumed = play("plan", &OTHER_NUMBERS, &[1]);
    assert!(resumed > 8, "{resumed} of 16 streams went on elsewhere");
}

#[test]
fn stream_taken_up_keeps_first_event_with_wrong_number() {
    let setup = Setup::open();
    for (name, lines) in OTHER_NUMBERS.into_iter().chain(NO_NUMBERS) {
        let spoil = Spoil {
            places: 4..=4,
            lines,
            group: 2,
            is_chunked: true,
            cut_after: None,
        };
        let request = format!("q-{name}").replace([' ', ','], "-");
        setup.spoils.plan(&request, spoil);
        let caller = Caller::stream(setup.router.listen, "plan", &request);
        let answer = caller.with("last-event-id", "3").call();
        let got = pieces(&answer);
        let expected: Vec<u64> = (4..4 + got.len() as u64).collect();
        assert_eq!(got, expected, "ID {name}: {answer:?}");
        let is_whole = got.len() as u64 == EVENTS - 3;
        assert!(!answer.whole || is_whole, "ID {name}: {answer:?}");
    }
}

/// Each form of a wrong ID at each place, after each event from which a caller can resume, in writes of several sizes. No
/// answer may hold anything but the sound events after the caller's, each once, and a complete one holds all.
#[test]
fn stream_taken_up_anywhere_keeps_its_numbers() {
    let check = |last: u64| {
        let setup = Setup::open();
        let (mut played, mut whole) = (0, 0);
        let forms = OTHER_NUMBERS.into_iter().chain(NO_NUMBERS);
        for (form, (name, lines)) in forms.chain(DATA_IN_ID).enumerate() {
            for place in last + 1..=EVENTS {
                for group in [1, 2, 4, 8] {
                    let spoil = Spoil {
                        places: place..=place,
                        lines,
                        group,
                        is_chunked: (group + form).is_multiple_of(2),
                        cut_after: None,
                    };
                    let request = format!("q-{form}-{place}-{group}");
                    setup.spoils.plan(&request, spoil);
                    let mut caller = Caller::stream(setup.router.listen, "plan", &request);
                    if last > 0 {
                        caller = caller.with("last-event-id", &last.to_string());
                    }
                    let answer = caller.call();
                    let case = format!("after {last}, ID {name} at {place}, {group} a write");
                    let sound: String = (last + 1..=EVENTS).map(event).collect();
                    assert!(sound.starts_with(&answer.body), "{case}: {answer:?}");
                    assert!(!answer.whole || answer.body == sound, "{case}: {answer:?}");
                    played += 1;
                    whole += u64::from(answer.whole);
                }
            }
        }
        // Targets whose streams are spoiled so often get none for a while, so that many are cut.
        assert!(whole > 0, "after {last}: none of {played} is whole");
    };
    std::thread::scope(|scope| {
        for last in 0..EVENTS {
            scope.spawn(move || check(last));
        }
    });
}

/// A router to which nothing tells the step of a stream takes the wrong number of its last event for a right one.
#[test]
fn stream_taken_up_before_last_event_keeps_its_number() {
    let setup = Setup::open();
    let mut resumed = 0;
    for (name, lines) in OTHER_NUMBERS.into_iter().chain(NO_NUMBERS) {
        for group in [1, 2] {
            let spoil = Spoil {
                places: EVENTS..=EVENTS,
                lines,
                group,
                is_chunked: group == 1,
                cut_after: None,
            };
            let request = format!("q-{name}-{group}").replace([' ', ','], "-");
            setup.spoils.plan(&request, spoil);
            let caller = Caller::stream(setup.router.listen, "plan", &request);
            let last = (EVENTS - 1).to_string();
            let answer = caller.with("last-event-id", &last).call();
            let case = format!("ID {name}, {group}: {answer:?}");
            if answer.whole {
                assert_eq!(answer.body, event(EVENTS), "{case}");
                resumed += 1;
            } else {
                assert_eq!(answer.body, "", "{case}");
            }
        }
    }
    assert!(resumed > 13, "{resumed} of 26 streams went on elsewhere");
}

/// IDs have to increase; they needn't be consecutive.
#[test]
fn stream_with_other_steps_is_whole() {
    let setup = Setup::open();
    let forms: [Form; 3] = [
        ("by three", |number| format!("id: {}\n", 3 * number)),
        ("by three from one", |number| {
            format!("id: {}\n", 3 * number - 2)
        }),
        ("from zero", |number| format!("id: {}\n", number - 1)),
    ];
    for (name, lines) in forms {
        for route in ["plan", "sum"] {
            let spoil = Spoil {
                places: 1..=EVENTS,
                lines,
                group: 1,
                is_chunked: true,
                cut_after: None,
            };
            let request = format!("q-{route}-{name}").replace(' ', "-");
            let (answer, runs) = setup.play(route, &request, spoil);
            let got = (pieces(&answer), answer.whole, runs);
            let expected = ((1..=EVENTS).collect(), true, 1);
            assert_eq!(got, expected, "IDs {name}, {route}: {answer:?}");
        }
    }
}
