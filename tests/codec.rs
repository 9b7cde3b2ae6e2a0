//! Encoding and decoding of messages and heartbeats.

use marlrun::{
    id,
    unit::{Cost, Span, Version},
    wire::{
        Ask, Class, Contact, Echo, Heartbeat, Level, Load, Message, Origin, Outcome, Reason,
        Refusal, Report, State, Usage, codec,
    },
};
use proptest::{collection::vec, option, prelude::*};
use std::{fmt::Debug, net::SocketAddr, str::FromStr};

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::with_cases(256);
    config.failure_persistence = None;
    config
}

fn name<T: FromStr<Err = id::Invalid> + Debug>() -> impl Strategy<Value = T> + Clone {
    "[a-zA-Z0-9._-]{1,64}".prop_map(|text| text.parse().unwrap())
}

fn attempt() -> impl Strategy<Value = id::Attempt> + Clone {
    any::<(u64, u64)>().prop_map(|(incarnation, sequence)| id::Attempt {
        incarnation: id::Incarnation(incarnation),
        sequence,
    })
}

fn ask() -> impl Strategy<Value = Ask> {
    let names = (attempt(), name(), name(), name());
    (names, any::<(bool, u64, u64, u64, u8)>()).prop_map(|(names, numbers)| Ask {
        attempt: names.0,
        workspace: names.1,
        service: names.2,
        target: names.3,
        class: if numbers.0 { Class::Quick } else { Class::Long },
        estimate: Cost(numbers.1),
        waited: Span(numbers.2),
        remaining: Span(numbers.3),
        hops: numbers.4,
    })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Answered),
        Just(Outcome::NotRun),
        Just(Outcome::Unreachable),
        Just(Outcome::Broken),
        Just(Outcome::Cancelled),
    ]
}

fn refusal() -> impl Strategy<Value = Refusal> {
    let reason = prop_oneof![
        Just(Reason::WorkspaceFull),
        Just(Reason::QueueFull),
        Just(Reason::Deadline),
        Just(Reason::NoTarget),
        Just(Reason::Draining),
        Just(Reason::NotOwner),
    ];
    (reason, any::<u64>()).prop_map(|(reason, after)| Refusal {
        reason,
        retry_after: Span(after),
    })
}

fn usage() -> impl Strategy<Value = Usage> {
    let numbers = any::<(u64, u64, u64, u32, u32)>();
    (name(), name(), numbers).prop_map(|(workspace, service, numbers)| Usage {
        workspace,
        service,
        served: Cost(numbers.0),
        known: numbers.1,
        included: Cost(numbers.2),
        waiting: numbers.3,
        running: numbers.4,
    })
}

fn report() -> impl Strategy<Value = Report> {
    let floors = vec((name(), any::<u64>()), 0..4);
    (any::<(u64, u64)>(), vec(usage(), 0..4), floors).prop_map(|(run, usage, floors)| Report {
        incarnation: id::Incarnation(run.0),
        sequence: run.1,
        usage,
        floors,
    })
}

fn level() -> impl Strategy<Value = Level> {
    (name(), name(), any::<(u64, u64)>()).prop_map(|(workspace, service, numbers)| Level {
        workspace,
        service,
        level: numbers.0,
        included: Cost(numbers.1),
    })
}

fn message() -> impl Strategy<Value = Message> {
    let cost = || any::<u64>().prop_map(Cost);
    let version = || any::<u64>().prop_map(Version);
    prop_oneof![
        ask().prop_map(Message::Ask),
        attempt().prop_map(|attempt| Message::Withdraw { attempt }),
        (attempt(), name()).prop_map(|(attempt, target)| Message::Grant { attempt, target }),
        (attempt(), refusal()).prop_map(|(attempt, refusal)| Message::Refuse { attempt, refusal }),
        (attempt(), name()).prop_map(|(attempt, target)| Message::Move { attempt, target }),
        vec((attempt(), cost()), 0..5).prop_map(Message::Progress),
        (attempt(), name(), cost(), outcome()).prop_map(|(attempt, target, cost, outcome)| {
            Message::Done {
                attempt,
                target,
                cost,
                outcome,
            }
        }),
        (ask(), cost()).prop_map(|(ask, cost)| Message::Held { ask, cost }),
        (name(), name(), any::<u32>()).prop_map(|(service, target, free)| {
            Message::Pull {
                service,
                target,
                free,
            }
        }),
        report().prop_map(Message::Report),
        vec(level(), 0..4).prop_map(Message::Levels),
        Just(Message::Resync),
        version().prop_map(|have| Message::Fetch { have }),
        (version(), version(), any::<Vec<u8>>()).prop_map(|(from, to, body)| Message::Delta {
            from,
            to,
            body
        }),
        (attempt(), ".{0,40}").prop_map(|(attempt, key)| Message::KeyClaim {
            attempt,
            key: key.into(),
        }),
        (attempt(), ".{0,40}").prop_map(|(attempt, key)| Message::KeyRelease {
            attempt,
            key: key.into(),
        }),
        (attempt(), any::<bool>())
            .prop_map(|(attempt, granted)| Message::KeyVerdict { attempt, granted }),
    ]
}

fn state() -> impl Strategy<Value = State> {
    let load = (name(), any::<(u32, u32, u64)>()).prop_map(|(target, n)| Load {
        target,
        free: n.0,
        slots: n.1,
        waiting: Cost(n.2),
    });
    let floors = vec((name(), any::<u64>()), 0..3);
    (vec(load, 0..3), floors, vec(name(), 0..3)).prop_map(|(loads, floors, unfit)| State {
        loads,
        floors,
        unfit,
    })
}

fn address() -> impl Strategy<Value = SocketAddr> + Clone {
    any::<SocketAddr>().prop_map(|a| SocketAddr::new(a.ip(), a.port()))
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let run = (name(), any::<u64>().prop_map(id::Incarnation));
    let contact = (run.clone(), address()).prop_map(|(run, address)| Contact {
        router: run.0,
        incarnation: run.1,
        address,
    });
    let origin = (name(), address()).prop_map(|(domain, address)| Origin { domain, address });
    let optional = (option::of(origin), option::of(state()));
    let lists = (vec(run, 0..2), vec(contact, 0..2));
    let numbers = any::<(u64, u64, u64, u32, bool, bool, u64)>();
    (name(), numbers, optional, lists).prop_map(|(router, n, optional, lists)| Heartbeat {
        router,
        incarnation: id::Incarnation(n.0),
        sequence: n.1,
        heard: Echo(n.2),
        next: Span::from_millis(n.3.into()),
        ask: n.4,
        leaving: n.5,
        version: Version(n.6),
        origin: optional.0,
        state: optional.1,
        suspects: lists.0,
        members: lists.1,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn batch_round_trip(messages in vec(message(), 0..20)) {
        let bytes = codec::encode_batch(&messages).unwrap();
        prop_assert_eq!(codec::decode_batch(&bytes).unwrap(), messages);
    }

    #[test]
    fn heartbeat_round_trip(heartbeat in heartbeat()) {
        let bytes = codec::encode_heartbeat(&heartbeat).unwrap();
        prop_assert_eq!(codec::decode_heartbeat(&bytes).unwrap(), heartbeat);
    }

    #[test]
    fn decode_arbitrary_bytes(bytes in any::<Vec<u8>>()) {
        let _ = codec::decode_batch(&bytes);
        let _ = codec::decode_heartbeat(&bytes);
    }

    #[test]
    fn decode_damaged_bytes(
        messages in vec(message(), 1..8),
        heartbeat in heartbeat(),
        damage in vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut batch = codec::encode_batch(&messages).unwrap();
        let mut datagram = codec::encode_heartbeat(&heartbeat).unwrap();
        for (at, byte) in damage {
            *at.get_mut(&mut batch) = byte;
            *at.get_mut(&mut datagram) = byte;
        }
        let _ = codec::decode_batch(&batch);
        let _ = codec::decode_heartbeat(&datagram);
    }
}

#[test]
fn encode_too_large() {
    let body = vec![7; codec::MAX_BATCH_BYTES + 1];
    let delta = Message::Delta {
        from: Version(0),
        to: Version(1),
        body,
    };
    let error = codec::encode_batch(&[delta]).unwrap_err();
    assert!(
        matches!(error, codec::Error::TooLarge { part: "batch", .. }),
        "{error}"
    );
}

#[test]
fn decode_too_large() {
    let error = codec::decode_heartbeat(&[0; codec::MAX_HEARTBEAT_BYTES + 1]).unwrap_err();
    assert!(
        matches!(
            error,
            codec::Error::TooLarge {
                part: "heartbeat",
                ..
            }
        ),
        "{error}"
    );
}
