//! Scheduling at an owner: order of grants, refusals, slot limits and hand-over between owners.

use marlrun::{
    config, id, owner,
    unit::{Cost, Span, Time, Version, Weight},
    wire,
};
use std::{fmt, str, sync::Arc};

const SERVICE: &str = "chat";
const INGRESS: &str = "ingress";

fn name<T: str::FromStr<Err = E>, E: fmt::Debug>(text: &str) -> T {
    text.parse().unwrap()
}

fn attempt(sequence: u64) -> id::Attempt {
    let incarnation = id::Incarnation(1);
    id::Attempt {
        incarnation,
        sequence,
    }
}

/// Returns a fleet with one service and a target for each number of slots.
fn fleet(slots: &[u32], weights: &[(&str, u32)]) -> Arc<config::Fleet> {
    let mut fleet = config::Fleet {
        version: Version(1),
        ..config::Fleet::default()
    };
    let service = config::Service {
        name: name(SERVICE),
        kind: config::Kind::Model,
        hosts: Vec::new(),
        idempotent: false,
        quick: Cost(100),
        estimate: Cost(500),
        timeout: Span::from_secs(60),
        max_waiting: 4,
        engine: config::Engine::default(),
    };
    fleet.services.insert(name(SERVICE), Arc::new(service));
    for (index, slots) in slots.iter().enumerate() {
        let target = config::Target {
            name: name(&format!("t{index}")),
            service: name(SERVICE),
            domain: name("vake"),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: *slots,
        };
        fleet.targets.insert(target.name.clone(), Arc::new(target));
    }
    for (workspace, weight) in weights {
        let workspace = config::Workspace {
            name: name(workspace),
            weight: Weight::new(*weight).unwrap(),
        };
        let key = workspace.name.clone();
        fleet.workspaces.insert(key, Arc::new(workspace));
    }
    Arc::new(fleet)
}

struct Harness {
    owner: owner::Scheduler,
    now: Time,
    next_sequence: u64,
}

impl Harness {
    fn new(slots: &[u32], weights: &[(&str, u32)]) -> Self {
        let mut harness = Harness {
            owner: owner::Scheduler::new(name("r1"), id::Incarnation(7)),
            now: Time(1_000_000),
            next_sequence: 0,
        };
        harness.step(owner::Event::Config(fleet(slots, weights)));
        let targets = (0..slots.len()).map(|index| name(&format!("t{index}")));
        harness.step(owner::Event::Owned(targets.collect()));
        harness
    }

    fn step(&mut self, event: owner::Event) -> Vec<wire::Message> {
        let mut out = Vec::new();
        self.owner.step(self.now, event, &mut out);
        out.into_iter().map(|envelope| envelope.message).collect()
    }

    fn request(&mut self, workspace: &str, class: wire::Class, estimate: u64) -> wire::Ask {
        self.next_sequence += 1;
        wire::Ask {
            attempt: attempt(self.next_sequence),
            workspace: name(workspace),
            service: name(SERVICE),
            target: name("t0"),
            class,
            estimate: Cost(estimate),
            waited: Span(0),
            remaining: Span::from_secs(60),
            hops: 0,
        }
    }

    fn send(&mut self, ask: wire::Ask) -> Vec<wire::Message> {
        let from = name(INGRESS);
        self.step(owner::Event::Ask { from, ask })
    }

    fn ask(&mut self, workspace: &str, estimate: u64) -> (u64, Vec<wire::Message>) {
        let ask = self.request(workspace, wire::Class::Long, estimate);
        let sequence = ask.attempt.sequence;
        (sequence, self.send(ask))
    }

    fn done(&mut self, sequence: u64, cost: u64) -> Vec<wire::Message> {
        self.step(owner::Event::Done {
            from: name(INGRESS),
            attempt: attempt(sequence),
            target: name("t0"),
            cost: Cost(cost),
            outcome: wire::Outcome::Answered,
        })
    }

    fn levels(&self) -> Vec<(String, u64)> {
        let rows = self.owner.snapshot().into_iter();
        rows.map(|row| (row.workspace.to_string(), row.level))
            .collect()
    }
}

fn granted_attempts(messages: &[wire::Message]) -> Vec<u64> {
    let sequence = |message: &wire::Message| match message {
        wire::Message::Grant { attempt, .. } => Some(attempt.sequence),
        _ => None,
    };
    messages.iter().filter_map(sequence).collect()
}

fn refusal_reason(messages: &[wire::Message]) -> Option<wire::Reason> {
    messages.iter().find_map(|message| match message {
        wire::Message::Refuse { refusal, .. } => Some(refusal.reason),
        _ => None,
    })
}

#[test]
fn ask_free_slot() {
    let mut harness = Harness::new(&[1], &[]);
    let (first, messages) = harness.ask("a", 200);
    assert_eq!(granted_attempts(&messages), [first]);
    let (_, messages) = harness.ask("a", 200);
    assert!(
        messages.is_empty(),
        "granted without a free slot: {messages:?}"
    );
}

#[test]
fn ask_repeated() {
    let mut harness = Harness::new(&[1], &[]);
    let ask = harness.request("a", wire::Class::Long, 200);
    assert_eq!(granted_attempts(&harness.send(ask.clone())), [1]);
    assert_eq!(granted_attempts(&harness.send(ask)), [1]);
    let row = &harness.owner.snapshot()[0];
    assert_eq!((row.running, row.served), (1, Cost(200)));
}

#[test]
fn done_lowest_level_next() {
    let mut harness = Harness::new(&[1], &[]);
    harness.ask("a", 200);
    harness.ask("a", 200);
    let (b, _) = harness.ask("b", 200);
    let messages = harness.done(1, 200);
    assert_eq!(granted_attempts(&messages), [b]);
}

#[test]
fn done_shares_match_weights() {
    let mut harness = Harness::new(&[1], &[("a", 3), ("b", 1)]);
    harness.ask("a", 200);
    let mut running = 1;
    let mut served = [0, 0];
    for _ in 0..400 {
        for workspace in ["a", "b"] {
            harness.ask(workspace, 200);
        }
        running = granted_attempts(&harness.done(running, 200))[0];
        let rows = harness.owner.snapshot();
        served = [rows[0].served.0, rows[1].served.0];
    }
    let (a, b) = (served[0] as f64, served[1] as f64);
    assert!((a / b - 3.0).abs() < 0.1, "served {a} and {b}");
}

#[test]
fn ask_flood_refused_alone() {
    let mut harness = Harness::new(&[1], &[]);
    for _ in 0..5 {
        harness.ask("flood", 200);
    }
    let (_, messages) = harness.ask("flood", 200);
    assert_eq!(refusal_reason(&messages), Some(wire::Reason::WorkspaceFull));
    let (_, messages) = harness.ask("other", 200);
    assert_eq!(refusal_reason(&messages), None);
}

#[test]
fn ask_after_idle_earns_no_credit() {
    let mut harness = Harness::new(&[1], &[]);
    harness.ask("idle", 1);
    harness.done(1, 1);
    let mut running = harness.ask("busy", 200).0;
    for _ in 0..50 {
        harness.ask("busy", 200);
        running = granted_attempts(&harness.done(running, 200))[0];
    }
    harness.ask("busy", 200);
    harness.ask("idle", 200);
    let levels = harness.levels();
    assert!(
        levels[1].1 + 400_000 >= levels[0].1,
        "idle workspace gained credit: {levels:?}"
    );
}

#[test]
fn owned_lost_target_moves_requests() {
    let mut harness = Harness::new(&[1], &[]);
    harness.ask("a", 200);
    let (second, _) = harness.ask("a", 200);
    let messages = harness.step(owner::Event::Owned(Vec::new()));
    let moved = wire::Message::Move {
        attempt: attempt(second),
        target: name("t0"),
    };
    assert_eq!(messages, [moved]);
    let (_, messages) = harness.ask("a", 200);
    assert_eq!(refusal_reason(&messages), Some(wire::Reason::NotOwner));
}

fn peer(router: &str, waiting: u64, floor: u64) -> owner::Peer {
    owner::Peer {
        router: name(router),
        loads: vec![wire::Load {
            target: name("t1"),
            free: 0,
            slots: 1,
            waiting: Cost(waiting),
        }],
        floors: vec![(name(SERVICE), floor)],
    }
}

fn pulled_slots(messages: &[wire::Message]) -> Option<u32> {
    messages.iter().find_map(|message| match message {
        wire::Message::Pull { free, .. } => Some(*free),
        _ => None,
    })
}

#[test]
fn tick_pulls_when_idle() {
    let mut harness = Harness::new(&[3, 1], &[]);
    harness.step(owner::Event::Owned(vec![name("t0")]));
    harness.step(owner::Event::Peers(vec![peer("r2", 500, 0)]));
    let messages = harness.step(owner::Event::Tick);
    assert_eq!(pulled_slots(&messages), Some(3));
}

#[test]
fn tick_pulls_lower_levels() {
    for (floor, pulls) in [(0, true), (390_000, false)] {
        let mut harness = Harness::new(&[1, 1], &[]);
        harness.step(owner::Event::Owned(vec![name("t0")]));
        harness.ask("a", 200);
        harness.ask("a", 200);
        harness.done(1, 200);
        harness.ask("a", 200);
        harness.step(owner::Event::Peers(vec![peer("r2", 500, floor)]));
        let messages = harness.step(owner::Event::Tick);
        assert_eq!(pulled_slots(&messages).is_some(), pulls, "floor {floor}");
    }
}

/// Returns an owner of `t0` with no free slot, where `b` waits at a higher level than `a`.
fn owner_with_backlog() -> Harness {
    let mut harness = Harness::new(&[1, 1], &[]);
    harness.step(owner::Event::Owned(vec![name("t0")]));
    harness.ask("a", 200);
    harness.ask("a", 200);
    harness.ask("b", 200);
    let level = |workspace: &str, level| wire::Level {
        workspace: name(workspace),
        service: name(SERVICE),
        level,
        included: Cost(0),
    };
    harness.step(owner::Event::Levels(vec![
        level("a", 0),
        level("b", 9_000_000),
    ]));
    harness
}

#[test]
fn pull_limited_for_backlogged_peer() {
    for (waiting, moved) in [(0, vec![2, 3]), (500, vec![2])] {
        let mut harness = owner_with_backlog();
        harness.step(owner::Event::Peers(vec![peer("r2", waiting, 0)]));
        let messages = harness.step(owner::Event::Pull {
            from: name("r2"),
            service: name(SERVICE),
            target: name("t1"),
            free: 5,
        });
        let attempts = messages.iter().filter_map(|message| match message {
            wire::Message::Move { attempt, .. } => Some(attempt.sequence),
            _ => None,
        });
        assert_eq!(attempts.collect::<Vec<_>>(), moved);
    }
}

#[test]
fn done_holds_slot_for_lower_level() {
    let mut harness = owner_with_backlog();
    let withdraw = owner::Event::Withdraw {
        from: name(INGRESS),
        attempt: attempt(2),
    };
    harness.step(withdraw);
    harness.step(owner::Event::Peers(vec![peer("r2", 500, 0)]));
    let messages = harness.done(1, 200);
    assert_eq!(pulled_slots(&messages), Some(1));
    assert!(granted_attempts(&messages).is_empty());
    harness.now = harness.owner.wake_at().unwrap();
    let messages = harness.step(owner::Event::Tick);
    assert_eq!(
        granted_attempts(&messages),
        [3],
        "not granted after the hold"
    );
}

#[test]
fn router_lost_frees_slots() {
    let mut harness = Harness::new(&[1], &[]);
    harness.ask("a", 200);
    let mut ask = harness.request("b", wire::Class::Long, 200);
    ask.attempt.incarnation = id::Incarnation(2);
    let from = name("other");
    harness.step(owner::Event::Ask { from, ask });
    let messages = harness.step(owner::Event::RouterLost {
        router: name(INGRESS),
        incarnation: None,
    });
    assert_eq!(granted_attempts(&messages), [2]);
}

#[test]
fn resync_unrepeated_removed() {
    let mut harness = Harness::new(&[2], &[]);
    harness.ask("a", 200);
    let kept = harness.request("b", wire::Class::Long, 200);
    harness.send(kept.clone());
    let (waiting, _) = harness.ask("c", 200);
    let from = name(INGRESS);
    harness.step(owner::Event::Resync { from });
    harness.send(kept);
    let mut again = harness.request("c", wire::Class::Long, 200);
    again.attempt = attempt(waiting);
    harness.send(again);
    harness.now = harness.now + Span::from_secs(4);
    let messages = harness.step(owner::Event::Tick);
    assert_eq!(granted_attempts(&messages), [waiting]);
}

#[test]
fn drain_refuses() {
    let mut harness = Harness::new(&[1], &[]);
    harness.ask("a", 200);
    harness.ask("a", 200);
    let messages = harness.step(owner::Event::Drain);
    assert_eq!(refusal_reason(&messages), Some(wire::Reason::Draining));
}

#[test]
fn load_adapts_limit() {
    let mut slots = owner::Slots::new(8);
    slots.running = 8;
    slots.adapt(Time(0), 5, 3);
    assert_eq!(slots.limit, 6);
    slots.adapt(Time(1), 5, 3);
    assert_eq!(slots.limit, 6, "decreased twice within 3 s");
    slots.running = 6;
    slots.adapt(Time(4_000_000), 6, 0);
    assert_eq!(slots.limit, 7);
}
