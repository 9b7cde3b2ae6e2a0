//! Requests at a router that is shutting down: those that it can't complete before it ends are refused as not run.
// Tests with processes wait by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use marlrun::{
    catalog,
    dispatch::{Action, Dispatcher, Event, Outcome, Prompt, Reason, Request, Settings},
    id,
    routing::{Engine, Kind, Limits, Service, Table},
    unit::{Span, Time, Version},
};
use nix::sys::signal::Signal;
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use world::{
    Answer, Caller, Connection, Mode, Replica, Reply, Router, Store, configuration, wait_for,
};

/// Kinds of requests at a service, and whether they have prompts.
const KINDS: [(Kind, bool); 4] = [
    (Kind::Once, false),
    (Kind::Idempotent, false),
    (Kind::Stream { resumable: true }, true),
    (Kind::Stream { resumable: false }, true),
];
/// Time at which the router of a simulated test cuts what is in progress, in milliseconds.
const CUT: u64 = 60_000;

/// A dispatcher with a target, in virtual time.
struct Simulation {
    dispatcher: Dispatcher,
    next: u64,
}

/// What the dispatcher decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decided {
    Sent,
    Refused(Reason),
    Queued,
}

impl Simulation {
    fn open(slots: u32) -> Self {
        let settings = Settings::new(
            "r1".parse().unwrap(),
            id::Incarnation(1),
            "east".parse().unwrap(),
        );
        let mut dispatcher = Dispatcher::open(settings);
        let mut table = Table::new(Version(1), Limits::default(), true);
        table.add_service(Service {
            name: "llm".parse().unwrap(),
            max_connections: 400,
            engine: Some(Engine {
                slots,
                memory_tokens: 600_000,
                ..Engine::default()
            }),
            health_path: None,
            warm_up: None,
        });
        let target = catalog::Target {
            name: "e1".parse().unwrap(),
            started_at_ms: 1,
            service: "llm".parse().unwrap(),
            build: id::Build::default(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "east".parse().unwrap(),
            slots,
            draining: false,
            warm_up: Span(0),
        };
        let targets = BTreeMap::from([(target.name.clone(), target)]);
        let mut ignored = Vec::new();
        for event in [Event::Routing(Arc::new(table)), Event::Targets(targets)] {
            dispatcher.step(Time(0), event, &mut ignored);
        }
        Self {
            dispatcher,
            next: 1,
        }
    }

    fn step(&mut self, at: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.step(Time(at * 1_000), event, &mut actions);
        actions
    }

    /// Lets a request of some expected output arrive, with twelve seconds to its deadline.
    fn arrive(&mut self, at: u64, (kind, has_prompt): (Kind, bool), output: u32) -> (u64, Decided) {
        let number = self.next;
        self.next += 1;
        let at_ms = |millis: u64| Time(millis * 1_000);
        let request = Request {
            number,
            workspace: Some("desk".parse().unwrap()),
            service: "llm".parse().unwrap(),
            kind,
            priority: 1,
            arrived: at_ms(at),
            due: at_ms(at + 11_000),
            deadline: at_ms(at + 12_000),
            max_attempts: 2,
            stream: None,
            resumption: None,
            build: None,
            regions: None,
            prompt: has_prompt.then(|| Prompt {
                parts: [].into(),
                tokens: 500,
                expected_output: output,
            }),
        };
        let actions = self.step(at, Event::Arrived(request));
        (number, decided(&actions, number))
    }

    /// Runs a request from beginning to end; both in milliseconds.
    fn run(&mut self, begin: u64, end: u64, kind: (Kind, bool), output: u32) {
        let (number, decided) = self.arrive(begin, kind, output);
        assert_eq!(decided, Decided::Sent);
        self.step(end, Event::ResponseStarted { number });
        self.end(end, number, Outcome::Answered);
    }

    fn end(&mut self, at: u64, number: u64, outcome: Outcome) -> Vec<Action> {
        let can_retry = outcome != Outcome::Answered;
        self.step(
            at,
            Event::Ended {
                number,
                outcome,
                can_retry,
            },
        )
    }

    fn shut_down(&mut self, at: u64) -> Vec<Action> {
        let event = Event::ShuttingDown {
            at: Time(CUT * 1_000),
        };
        self.step(at, event)
    }
}

fn decided(actions: &[Action], request: u64) -> Decided {
    let mut decisions = actions.iter().filter_map(|action| match action {
        Action::Send { number, .. } if *number == request => Some(Decided::Sent),
        Action::Refuse { number, refusal } if *number == request => {
            assert!(!refusal.may_have_run);
            Some(Decided::Refused(refusal.reason))
        }
        _ => None,
    });
    decisions.next().unwrap_or(Decided::Queued)
}

/// Guards against requests that are sent though runs like theirs outlast the router, and against refusals of those that
/// don't.
#[test]
fn simulate_known_duration() {
    for kind in KINDS {
        let mut simulation = Simulation::open(8);
        simulation.run(1_000, 5_000, kind, 100);
        simulation.shut_down(CUT - 7_000);
        for left in [6_000, 5_000, 4_400, 4_200] {
            let (_, decided) = simulation.arrive(CUT - left, kind, 100);
            assert_eq!(decided, Decided::Sent, "{kind:?}, {left} ms left");
        }
        for left in [3_700, 2_000, 500, 1] {
            let (_, decided) = simulation.arrive(CUT - left, kind, 100);
            let expected = Decided::Refused(Reason::Shutdown);
            assert_eq!(decided, expected, "{kind:?}, {left} ms left");
        }
    }
}

/// Guards against requests that are sent though nothing tells that they end in time.
#[test]
fn simulate_unknown_duration() {
    for kind in KINDS {
        let mut simulation = Simulation::open(8);
        simulation.shut_down(CUT - 14_000);
        let (_, early) = simulation.arrive(CUT - 12_500, kind, 100);
        assert_eq!(early, Decided::Sent, "{kind:?}: its deadline is in time");
        let (_, late) = simulation.arrive(CUT - 11_500, kind, 100);
        assert_eq!(late, Decided::Refused(Reason::Shutdown), "{kind:?}");
    }
}

/// Guards against durations of one kind or size that count for another.
#[test]
fn simulate_different_duration() {
    let stream = (Kind::Stream { resumable: true }, true);
    let mut simulation = Simulation::open(8);
    simulation.run(1_000, 1_500, stream, 20);
    simulation.run(2_000, 8_000, stream, 800);
    simulation.run(9_000, 9_200, (Kind::Once, false), 0);
    simulation.shut_down(CUT - 5_000);
    let mut decide = |kind, output| simulation.arrive(CUT - 3_000, kind, output).1;
    assert_eq!(decide(stream, 20), Decided::Sent);
    assert_eq!(decide((Kind::Once, false), 0), Decided::Sent);
    let refused = Decided::Refused(Reason::Shutdown);
    assert_eq!(decide(stream, 800), refused);
    // As long as the next larger ones at most.
    assert_eq!(decide(stream, 200), refused);
    assert_eq!(
        decide((Kind::Stream { resumable: false }, true), 20),
        refused
    );
    assert_eq!(decide((Kind::Idempotent, false), 0), refused);
}

/// Guards against queued requests that are sent when they can't end in time any more, and that wait for nothing.
#[test]
fn simulate_queue() {
    let kind = (Kind::Once, false);
    // A plain target takes one more request than it has slots.
    let mut simulation = Simulation::open(1);
    simulation.run(1_000, 4_000, kind, 0);
    let ahead: Vec<u64> = (0..2)
        .map(|_| simulation.arrive(CUT - 3_900, kind, 0).0)
        .collect();
    let (queued, decided_first) = simulation.arrive(CUT - 3_900, kind, 0);
    assert_eq!(decided_first, Decided::Queued);
    let actions = simulation.shut_down(CUT - 3_800);
    assert_eq!(
        decided(&actions, queued),
        Decided::Queued,
        "it may still end in time"
    );
    let actions = simulation.step(CUT - 3_100, Event::Tick);
    assert_eq!(
        decided(&actions, queued),
        Decided::Queued,
        "it may still end in time"
    );
    let actions = simulation.step(CUT - 2_900, Event::Tick);
    assert_eq!(
        decided(&actions, queued),
        Decided::Refused(Reason::Shutdown)
    );
    let actions = simulation.end(CUT - 2_800, ahead[0], Outcome::Answered);
    assert_eq!(decided(&actions, queued), Decided::Queued, "it was refused");
}

/// Guards against queued requests that wait on when the shutdown begins.
#[test]
fn simulate_queue_at_beginning() {
    let kind = (Kind::Once, false);
    let mut simulation = Simulation::open(1);
    simulation.run(1_000, 8_000, kind, 0);
    for _ in 0..2 {
        simulation.arrive(CUT - 6_000, kind, 0);
    }
    let (queued, decided_first) = simulation.arrive(CUT - 6_000, kind, 0);
    assert_eq!(decided_first, Decided::Queued);
    let actions = simulation.shut_down(CUT - 5_900);
    assert_eq!(
        decided(&actions, queued),
        Decided::Refused(Reason::Shutdown)
    );
}

/// Guards against a refusal of what may have run, and of what another target may still complete.
#[test]
fn simulate_retry() {
    let kind = (Kind::Idempotent, false);
    for (outcome, expected) in [
        (Outcome::NotRun, Reason::Shutdown),
        // The only target was tried.
        (Outcome::Broken, Reason::Attempts),
    ] {
        let mut simulation = Simulation::open(8);
        simulation.run(1_000, 4_000, kind, 0);
        simulation.shut_down(CUT - 7_000);
        let (number, sent) = simulation.arrive(CUT - 6_000, kind, 0);
        assert_eq!(sent, Decided::Sent);
        let actions = simulation.end(CUT - 2_000, number, outcome);
        let reason = actions.iter().find_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.reason),
            _ => None,
        });
        assert_eq!(reason, Some(expected), "{outcome:?}");
    }
}

/// Time from SIGTERM to the cut: the grace less the reserve of the router.
const UNTIL_CUT: Duration = Duration::from_millis(7_250);
/// Time between two requests, and their number.
const INTERVAL: Duration = Duration::from_millis(400);
const REQUESTS: u32 = 5;
/// Durations of runs: of the first ones, the third request ends in time by as much as the fourth one doesn't.
const DURATIONS: [Duration; 2] = [Duration::from_millis(5_850), Duration::from_millis(7_500)];
/// Margin for the test's own clock, and for the time that a request takes beside its run.
const MARGIN: Duration = Duration::from_millis(400);

fn open(duration: Duration) -> (Arc<Store>, [Replica; 2], Router) {
    let store = Store::bind();
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = 12_000.into();
        route["slo-ms"] = 10_000.into();
    }
    store.put("op", "config", &configuration);
    let engine = Replica::bind(&store, "llm", "i-llm0");
    let app = Replica::bind(&store, "app", "i-app0");
    engine.pace(60, duration / 60);
    app.behave(Mode::PauseBefore(duration));
    let router = Router::ready(&store, "r1");
    wait_for("the targets are listed", || {
        router.log().contains("\"live\":2")
    });
    (store, [engine, app], router)
}

fn caller(router: &Router, route: &str, request: &str) -> Caller {
    match route {
        "plan" | "sum" => Caller::stream(router.listen, route, request),
        _ => Caller::new(router.listen, "POST", &format!("/{route}/x"), request),
    }
}

fn is_not_run(answer: &Answer) -> bool {
    answer.status == 503 && answer.head.contains("marlrun-outcome: not-run")
}

/// Stops a router whose requests of a route take some time, and sends further ones on connections of both kinds.
fn check_late(route: &str, duration: Duration) {
    let (_store, targets, mut router) = open(duration);
    let first = caller(&router, route, "first").call();
    assert!(first.whole && first.status == 200, "{route}: {first:?}");
    let limit = Duration::from_secs(10);
    let kept: Vec<Connection> = (0..REQUESTS)
        .map(|_| Connection::open(router.listen, limit).unwrap())
        .collect();
    router.signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let replies: Vec<(Duration, Reply)> = thread::scope(|scope| {
        let calls = kept.into_iter().zip(1..).map(|(mut kept, index)| {
            let router = &router;
            scope.spawn(move || {
                thread::sleep((INTERVAL * index).saturating_sub(stopped.elapsed()));
                let sent = stopped.elapsed();
                let caller = caller(router, route, &format!("q{index}"));
                let reply = if index % 2 == 0 {
                    kept.call(&caller)
                } else {
                    Connection::open(router.listen, limit)
                        .unwrap()
                        .call(&caller)
                };
                (sent, reply)
            })
        });
        let calls: Vec<_> = calls.collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    let mut whole = 1;
    for (sent, reply) in &replies {
        let context = format!("{route} of {duration:?}, sent {sent:?} after SIGTERM");
        let answer = reply.answer.as_ref().expect(&context);
        assert!(answer.whole, "{context}: {answer:?}");
        if answer.status == 200 {
            whole += 1;
        } else {
            assert!(is_not_run(answer), "{context}: {answer:?}");
            assert!(!reply.open, "{context}: the connection stays open");
            assert!(reply.after < Duration::from_secs(1), "{context}: {reply:?}");
            let end = *sent + duration + MARGIN;
            assert!(end > UNTIL_CUT, "{context}: it would have ended in time");
        }
    }
    let runs = targets.iter().map(|target| target.runs().len());
    assert_eq!(runs.sum::<usize>(), whole, "{route} of {duration:?}");
    wait_for("the router ends", || router.ended() == Some(0));
}

/// Guards against requests late in a shutdown that are passed on and cut, or refused though they would have ended in time.
#[test]
fn stop_late_requests() {
    thread::scope(|scope| {
        for route in ["plan", "sum", "book", "look"] {
            for duration in DURATIONS {
                scope.spawn(move || check_late(route, duration));
            }
        }
    });
}

/// Guards against requests that are passed on and cut because their body arrives late in a shutdown.
#[test]
fn stop_late_bodies() {
    let check = |duration: Duration, expected: u16| {
        let (_store, targets, mut router) = open(duration);
        let first = caller(&router, "sum", "first").call();
        assert!(first.whole && first.status == 200, "{first:?}");
        router.signal(Signal::SIGTERM);
        let stopped = Instant::now();
        let message = caller(&router, "sum", "late")
            .body(&[b'x'; 40_000])
            .message();
        let mut stream = std::net::TcpStream::connect(router.listen).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        thread::sleep(Duration::from_millis(1_500));
        for piece in message.chunks(message.len().div_ceil(50)) {
            stream.write_all(piece).unwrap();
            thread::sleep(Duration::from_millis(50));
        }
        let mut bytes = Vec::new();
        // A reset ends the answer, too.
        let _ = stream.read_to_end(&mut bytes);
        let answer = Answer::parse(&bytes, stopped.elapsed());
        assert!(answer.whole, "{duration:?}: {answer:?}");
        assert_eq!(answer.status, expected, "{duration:?}: {answer:?}");
        let runs = targets[0].runs().len();
        assert_eq!(runs, 1 + usize::from(expected == 200), "{duration:?}");
        wait_for("the router ends", || router.ended() == Some(0));
    };
    thread::scope(|scope| {
        scope.spawn(|| check(Duration::from_millis(3_800), 503));
        scope.spawn(|| check(Duration::from_millis(2_000), 200));
    });
}
