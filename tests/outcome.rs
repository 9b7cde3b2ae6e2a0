//! Checks the outcome reported to callers against what the targets ran, for requests at several
//! routers under lost, delayed, duplicated and reordered messages, pauses, restarts and table
//! outages.

use marlrun::{
    claim, id, ingress, table,
    unit::{Cost, Span, Time},
    wire,
};
use proptest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const ROUTERS: usize = 3;
const TARGETS: usize = 3;
/// Length of a process pause after which the daemon treats its grants as stale.
const PAUSE: Span = Span::from_millis(900);

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    LostAfter,
    LostBefore,
    Unreachable,
}

/// Injected reaction of a target to a request.
#[derive(Clone, Copy, Debug)]
enum Reception {
    Runs,
    Refuses,
    Unreachable,
    LostOnTheWay,
}

#[derive(Clone, Copy, Debug)]
enum Act {
    Grant,
    Refuse(wire::Reason),
    Move,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request {
        router: usize,
        operation: usize,
        seconds: u64,
    },
    Cancel {
        number: usize,
    },
    Owner {
        number: usize,
        act: Act,
        target: usize,
    },
    Deliver {
        number: usize,
        lose: bool,
        twice: bool,
    },
    Send {
        number: usize,
        reception: Reception,
    },
    End {
        number: usize,
        whole: bool,
        events: u64,
    },
    Handle {
        router: usize,
    },
    Call {
        router: usize,
        fate: Fate,
    },
    View {
        router: usize,
        target: usize,
        owner: Option<usize>,
    },
    Lost {
        router: usize,
        peer: usize,
    },
    Resync {
        router: usize,
        peer: usize,
    },
    Pass {
        millis: u64,
        still: usize,
    },
    Restart {
        router: usize,
    },
    Drain {
        router: usize,
    },
}

fn reason() -> impl Strategy<Value = wire::Reason> {
    prop_oneof![
        Just(wire::Reason::WorkspaceFull),
        Just(wire::Reason::NotOwner),
        Just(wire::Reason::NoTarget),
        Just(wire::Reason::Draining),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let router = || 0..ROUTERS;
    let any_number = any::<usize>;
    let fate = prop_oneof![
        5 => Just(Fate::Answered),
        1 => Just(Fate::LostAfter),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::Unreachable),
    ];
    let reception = prop_oneof![
        4 => Just(Reception::Runs),
        1 => Just(Reception::Refuses),
        1 => Just(Reception::Unreachable),
        1 => Just(Reception::LostOnTheWay),
    ];
    let act = prop_oneof![
        5 => Just(Act::Grant),
        1 => reason().prop_map(Act::Refuse),
        1 => Just(Act::Move),
    ];
    let pass = prop_oneof![3 => 1u64..100, 1 => 100u64..800, 1 => Just(2_500u64)];
    prop_oneof![
        6 => (router(), 0..OPERATIONS, 1u64..8).prop_map(|(router, operation, seconds)| {
            Step::Request { router, operation, seconds }
        }),
        1 => any_number().prop_map(|number| Step::Cancel { number }),
        8 => (any_number(), act, 0..TARGETS)
            .prop_map(|(number, act, target)| Step::Owner { number, act, target }),
        16 => (any_number(), prop::bool::weighted(0.1), prop::bool::weighted(0.1))
            .prop_map(|(number, lose, twice)| Step::Deliver { number, lose, twice }),
        8 => (any_number(), reception)
            .prop_map(|(number, reception)| Step::Send { number, reception }),
        6 => (any_number(), any::<bool>(), 0u64..4)
            .prop_map(|(number, whole, events)| Step::End { number, whole, events }),
        10 => router().prop_map(|router| Step::Handle { router }),
        6 => (router(), fate).prop_map(|(router, fate)| Step::Call { router, fate }),
        2 => (router(), 0..TARGETS, prop::option::weighted(0.8, 0..ROUTERS))
            .prop_map(|(router, target, owner)| Step::View { router, target, owner }),
        1 => (router(), router()).prop_map(|(router, peer)| Step::Lost { router, peer }),
        1 => (router(), router()).prop_map(|(router, peer)| Step::Resync { router, peer }),
        6 => (pass, 0..ROUTERS * 4).prop_map(|(millis, still)| Step::Pass { millis, still }),
        1 => router().prop_map(|router| Step::Restart { router }),
        1 => router().prop_map(|router| Step::Drain { router }),
    ]
}

/// Operations that callers repeat: two with keys chosen by callers, one with an issued key, one
/// that is idempotent, and one that has no key, so that each request counts separately.
const OPERATIONS: usize = 5;
const IDEMPOTENT: usize = 3;

fn router_name(router: usize) -> id::Router {
    format!("r{router}").parse().expect("a name")
}

fn target_name(target: usize) -> id::Target {
    format!("t{target}").parse().expect("a name")
}

fn router_number(name: &id::Router) -> usize {
    name.as_str()[1..].parse().expect("a number")
}

/// Owner of each target as one router knows it.
#[derive(Clone)]
struct View(Vec<Option<usize>>);

impl ingress::Placement for View {
    fn pick(
        &self,
        _: &id::Service,
        exclude: &[id::Target],
        seed: u64,
    ) -> Option<(id::Target, id::Router)> {
        let eligible = (0..TARGETS).filter(|target| self.0[*target].is_some());
        let eligible: Vec<_> = eligible
            .filter(|target| !exclude.contains(&target_name(*target)))
            .collect();
        let target = *eligible.get(seed as usize % eligible.len().max(1))?;
        Some((target_name(target), router_name(self.0[target]?)))
    }

    fn owner_of(&self, target: &id::Target) -> Option<id::Router> {
        let target: usize = target.as_str()[1..].parse().expect("a number");
        self.0[target].map(router_name)
    }
}

/// HTTP front end of one request.
struct Front {
    router: usize,
    operation: usize,
    /// Attempt that was started and has not ended.
    attempt: Option<Attempt>,
    /// Number of response events that the caller received.
    delivered: u64,
    runs: u32,
    finals: u32,
}

struct Attempt {
    id: id::Attempt,
    not_after: Time,
    sent: bool,
    running: bool,
    aborted: bool,
}

struct Node {
    controller: ingress::Controller,
    registry: claim::Registry,
    view: View,
    /// Events of the traffic threads that the control thread has not handled yet.
    events: VecDeque<ingress::Event>,
    call: Option<claim::Action>,
    last: Time,
}

struct World {
    now: Time,
    run: u64,
    nodes: Vec<Node>,
    fronts: BTreeMap<u64, Front>,
    keys: Vec<claim::Key>,
    /// Number of runs of each keyed operation.
    runs: Vec<u32>,
    wires: Vec<(usize, wire::Envelope)>,
    /// Slot requests that owners received, with their senders.
    asks: Vec<(usize, wire::Envelope, wire::Ask)>,
    /// Grants that arrived and were not released: owner and attempt.
    grants: BTreeSet<(usize, id::Attempt)>,
    table: table::Memory,
}

fn fault(fate: Fate) -> table::Fault {
    let (call, cause) = ("write".into(), "test".into());
    match fate {
        Fate::Unreachable => table::Fault::Unreachable { call, cause },
        _ => table::Fault::Lost { call, cause },
    }
}

impl World {
    fn open() -> Self {
        let mut world = Self {
            now: Time(1_000_000),
            run: 0,
            nodes: Vec::new(),
            fronts: BTreeMap::new(),
            keys: Vec::new(),
            runs: vec![0; OPERATIONS],
            wires: Vec::new(),
            asks: Vec::new(),
            grants: BTreeSet::new(),
            table: table::Memory::open(),
        };
        for router in 0..ROUTERS {
            let node = world.node(router);
            world.nodes.push(node);
        }
        let issued = world.nodes[0].registry.issue(world.now);
        world.keys = vec![
            claim::Key::Caller("a".into()),
            claim::Key::Caller("b".into()),
            issued.parse().expect("an issued key"),
        ];
        world
    }

    fn node(&mut self, router: usize) -> Node {
        self.run += 1;
        let incarnation = id::Incarnation(self.run);
        let random = || ChaCha8Rng::seed_from_u64(self.run);
        let settings = claim::Settings::default();
        let name = router_name(router);
        Node {
            controller: ingress::Controller::open(
                incarnation,
                ingress::Settings::default(),
                random(),
            ),
            registry: claim::Registry::open(name, incarnation, settings, 0, random()),
            view: View((0..TARGETS).map(|target| Some(target % ROUTERS)).collect()),
            events: VecDeque::new(),
            call: None,
            last: self.now,
        }
    }

    fn controller(&mut self, router: usize, event: ingress::Event) {
        let node = &mut self.nodes[router];
        let mut out = Vec::new();
        if self.now.since(node.last) >= PAUSE {
            let paused = ingress::Event::Paused;
            node.controller.step(self.now, paused, &node.view, &mut out);
        }
        node.last = self.now;
        node.controller.step(self.now, event, &node.view, &mut out);
        for action in out {
            self.act(router, action);
        }
    }

    fn act(&mut self, router: usize, action: ingress::Action) {
        match action {
            ingress::Action::Send(envelope) => {
                if let wire::Message::Done { attempt, .. } = &envelope.message {
                    self.grants.remove(&(router_number(&envelope.to), *attempt));
                }
                self.wires.push((router, envelope));
            }
            ingress::Action::Claim {
                attempt,
                workspace,
                service,
                key,
            } => self.registry(
                router,
                claim::Event::Claim {
                    attempt,
                    workspace,
                    service,
                    key,
                },
            ),
            ingress::Action::Settle { attempt, end } => {
                self.registry(router, claim::Event::Settle { attempt, end });
            }
            ingress::Action::Start {
                request,
                attempt,
                resume,
                not_after,
                deadline,
                ..
            } => {
                assert!(deadline > self.now, "started after the deadline");
                let front = self.fronts.get_mut(&request).expect("a known request");
                assert!(front.attempt.is_none(), "two attempts in progress");
                let delivered = (front.delivered > 0).then(|| front.delivered.to_string());
                assert_eq!(resume.as_deref(), delivered.as_deref());
                front.attempt = Some(Attempt {
                    id: attempt,
                    not_after,
                    sent: false,
                    running: false,
                    aborted: false,
                });
            }
            ingress::Action::Abort { attempt } => {
                let fronts = self.fronts.values_mut();
                let mut attempts = fronts.filter_map(|front| front.attempt.as_mut());
                if let Some(running) = attempts.find(|running| running.id == attempt) {
                    running.aborted = true;
                }
            }
            ingress::Action::Reject { request, rejection } => self.reject(request, &rejection),
        }
    }

    fn reject(&mut self, request: u64, rejection: &ingress::Rejection) {
        let front = self.fronts.get_mut(&request).expect("a known request");
        assert!(
            front.attempt.is_none(),
            "rejected while an attempt is in progress"
        );
        front.finals += 1;
        assert_eq!(front.finals, 1, "request {request} has two final responses");
        let keyed = front.operation < IDEMPOTENT;
        let runs = if keyed {
            self.runs[front.operation]
        } else {
            front.runs
        };
        match rejection {
            ingress::Rejection::NotRun { .. } => {
                assert_eq!(runs, 0, "rejected as not run, but it ran")
            }
            ingress::Rejection::Finished { answer } => {
                assert_eq!(runs, 1, "rejected as finished, but it did not run");
                let expected = front.operation.to_string();
                assert!(answer.as_deref().is_none_or(|answer| answer == expected));
            }
            ingress::Rejection::Unknown { .. } => {}
        }
    }

    fn registry(&mut self, router: usize, event: claim::Event) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[router].registry.step(now, event, &mut out);
        for action in out {
            match action {
                claim::Action::Send(envelope) => self.wires.push((router, envelope)),
                claim::Action::Verdict { attempt, verdict } => {
                    self.controller(router, ingress::Event::Claimed { attempt, verdict });
                }
                call => self.nodes[router].call = Some(call),
            }
        }
    }

    fn call(&mut self, router: usize, fate: Fate) {
        let Some(action) = self.nodes[router].call.take() else {
            return;
        };
        let table: &dyn table::Table = &self.table;
        let answered = matches!(fate, Fate::Answered);
        let event = match action {
            claim::Action::Write { call, writes } => {
                let takes_effect = answered || matches!(fate, Fate::LostAfter);
                let result = takes_effect.then(|| table.write(&writes));
                let result = result.filter(|_| answered);
                let result = result.unwrap_or_else(|| Err(fault(fate)));
                claim::Event::Written { call, result }
            }
            claim::Action::Read { call, keys } => {
                let result = answered.then(|| table.read(&keys));
                let result = result.unwrap_or_else(|| Err(fault(fate)));
                claim::Event::Read { call, result }
            }
            claim::Action::Scan { call, .. } => claim::Event::Read {
                call,
                result: Ok(Vec::new()),
            },
            other => panic!("not a table call: {other:?}"),
        };
        self.registry(router, event);
    }

    fn request(&mut self, router: usize, operation: usize, seconds: u64) {
        let number = self.fronts.len() as u64;
        let front = Front {
            router,
            operation,
            attempt: None,
            delivered: 0,
            runs: 0,
            finals: 0,
        };
        self.fronts.insert(number, front);
        let request = ingress::Request {
            number,
            workspace: "w".parse().expect("a name"),
            service: "s".parse().expect("a name"),
            class: wire::Class::Quick,
            estimate: Cost(1),
            idempotent: operation == IDEMPOTENT,
            key: self.keys.get(operation).cloned(),
            deadline: self.now + Span::from_secs(seconds),
        };
        self.controller(router, ingress::Event::Request(request));
    }

    /// Makes an owner react to any slot request it received, including old ones.
    fn owner(&mut self, number: usize, act: Act, target: usize) {
        let Some((from, envelope, ask)) = self.asks.get(number % self.asks.len().max(1)) else {
            return;
        };
        let attempt = ask.attempt;
        let message = match act {
            Act::Grant => wire::Message::Grant {
                attempt,
                target: target_name(target),
            },
            Act::Refuse(reason) => wire::Message::Refuse {
                attempt,
                refusal: wire::Refusal {
                    reason,
                    retry_after: Span::from_secs(1),
                },
            },
            Act::Move => wire::Message::Move {
                attempt,
                target: target_name(target),
            },
        };
        let owner = router_number(&envelope.to);
        let to = router_name(*from);
        self.wires.push((owner, wire::Envelope { to, message }));
    }

    fn deliver(&mut self, number: usize, lose: bool, twice: bool) {
        if self.wires.is_empty() {
            return;
        }
        let (sender, envelope) = self.wires.remove(number % self.wires.len());
        if lose {
            return;
        }
        if twice {
            self.wires.push((sender, envelope.clone()));
        }
        let router = router_number(&envelope.to);
        let from = router_name(sender);
        match envelope.message.clone() {
            wire::Message::Ask(ask) => self.asks.push((sender, envelope, ask)),
            wire::Message::Grant { attempt, target } => {
                self.grants.insert((sender, attempt));
                let granted = ingress::Event::Granted {
                    from,
                    attempt,
                    target,
                };
                self.controller(router, granted);
            }
            wire::Message::Refuse { attempt, refusal } => {
                let refused = ingress::Event::Refused {
                    from,
                    attempt,
                    refusal,
                };
                self.controller(router, refused);
            }
            wire::Message::Move { attempt, target } => {
                let moved = ingress::Event::Moved {
                    from,
                    attempt,
                    target,
                };
                self.controller(router, moved);
            }
            wire::Message::KeyClaim { attempt, key } => {
                self.registry(router, claim::Event::KeyClaim { from, attempt, key });
            }
            wire::Message::KeyVerdict { attempt, granted } => {
                let verdict = claim::Event::KeyVerdict {
                    from,
                    attempt,
                    granted,
                };
                self.registry(router, verdict);
            }
            wire::Message::KeyRelease { attempt, key } => {
                self.registry(router, claim::Event::KeyRelease { attempt, key });
            }
            _ => {}
        }
    }

    /// Selects a request whose attempt meets a condition.
    fn find(&self, number: usize, fits: impl Fn(&Attempt) -> bool) -> Option<u64> {
        let fronts = self.fronts.iter();
        let fit = fronts.filter(|(_, front)| front.attempt.as_ref().is_some_and(&fits));
        let fit: Vec<u64> = fit.map(|(number, _)| *number).collect();
        fit.get(number % fit.len().max(1)).copied()
    }

    /// Makes a front end send its request and the target react to it.
    fn send(&mut self, number: usize, reception: Reception) {
        let Some(request) = self.find(number, |attempt| !attempt.sent) else {
            return;
        };
        let front = self.fronts.get_mut(&request).expect("a known request");
        let attempt = front.attempt.as_mut().expect("an attempt");
        let (id, router) = (attempt.id, front.router);
        if self.now > attempt.not_after || attempt.aborted {
            return self.ended(request, wire::Outcome::Cancelled, ingress::Resume::Start);
        }
        if matches!(reception, Reception::Unreachable) {
            return self.ended(request, wire::Outcome::Unreachable, ingress::Resume::Start);
        }
        attempt.sent = true;
        let events = &mut self.nodes[router].events;
        events.push_back(ingress::Event::Sent { attempt: id });
        match reception {
            Reception::Refuses => {
                self.ended(request, wire::Outcome::NotRun, ingress::Resume::Start);
            }
            Reception::Runs => {
                attempt.running = true;
                front.runs += 1;
                if front.operation < IDEMPOTENT {
                    self.runs[front.operation] += 1;
                    assert!(self.runs[front.operation] <= 1, "an operation ran twice");
                }
                assert!(
                    front.runs <= 1 || front.operation == IDEMPOTENT,
                    "a request ran twice"
                );
            }
            Reception::LostOnTheWay | Reception::Unreachable => {}
        }
    }

    /// Ends the attempt of a request, as reported by its traffic thread.
    fn ended(&mut self, request: u64, outcome: wire::Outcome, resume: ingress::Resume) {
        let front = self.fronts.get_mut(&request).expect("a known request");
        let attempt = front.attempt.take().expect("an attempt");
        let answered = outcome == wire::Outcome::Answered;
        if answered {
            front.finals += 1;
            assert_eq!(front.finals, 1, "request {request} has two final responses");
        }
        let answer = answered.then(|| front.operation.to_string().into());
        let event = ingress::Event::Ended {
            attempt: attempt.id,
            cost: Cost(1),
            outcome,
            resume,
            answer,
        };
        self.nodes[front.router].events.push_back(event);
    }

    fn end(&mut self, number: usize, whole: bool, events: u64) {
        let Some(request) = self.find(number, |attempt| attempt.sent) else {
            return;
        };
        let front = self.fronts.get_mut(&request).expect("a known request");
        let attempt = front.attempt.as_ref().expect("an attempt");
        if attempt.aborted {
            let resume = ingress::Resume::Never;
            return self.ended(request, wire::Outcome::Cancelled, resume);
        }
        if whole && attempt.running {
            let resume = ingress::Resume::Never;
            return self.ended(request, wire::Outcome::Answered, resume);
        }
        if attempt.running {
            front.delivered += events;
        }
        let resume = match front.delivered {
            0 => ingress::Resume::Start,
            last => ingress::Resume::After(last.to_string().into()),
        };
        self.ended(request, wire::Outcome::Broken, resume);
    }

    fn handle(&mut self, router: usize) {
        if let Some(event) = self.nodes[router].events.pop_front() {
            self.controller(router, event);
        }
    }

    fn cancel(&mut self, number: usize) {
        let count = self.fronts.len().max(1);
        let request = (number % count) as u64;
        let Some(front) = self.fronts.get_mut(&request).filter(|f| f.finals == 0) else {
            return;
        };
        // The caller is gone, so that no later response counts.
        front.finals += 1;
        let router = front.router;
        self.controller(router, ingress::Event::Cancelled { request });
        let front = self.fronts.get_mut(&request).expect("a known request");
        if front.attempt.is_some() {
            self.ended_after_cancel(request);
        }
    }

    /// The front end aborts the attempt by itself when its caller disconnects.
    fn ended_after_cancel(&mut self, request: u64) {
        let resume = ingress::Resume::Never;
        self.ended(request, wire::Outcome::Cancelled, resume);
    }

    fn restart(&mut self, router: usize) {
        let node = self.node(router);
        self.nodes[router] = node;
        for front in self.fronts.values_mut().filter(|f| f.router == router) {
            // The connection breaks, and the caller learns nothing about the outcome.
            front.attempt = None;
            front.finals = front.finals.max(1);
        }
        self.asks.retain(|(from, _, _)| *from != router);
        self.grants.clear();
        self.wires
            .retain(|(from, envelope)| *from != router && router_number(&envelope.to) != router);
    }

    fn pass(&mut self, millis: u64, still: usize) {
        self.now = self.now + Span::from_millis(millis);
        for router in (0..ROUTERS).filter(|router| *router != still) {
            self.registry(router, claim::Event::Tick);
            self.controller(router, ingress::Event::Tick);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request {
                router,
                operation,
                seconds,
            } => self.request(router, operation, seconds),
            Step::Cancel { number } => self.cancel(number),
            Step::Owner {
                number,
                act,
                target,
            } => self.owner(number, act, target),
            Step::Deliver {
                number,
                lose,
                twice,
            } => self.deliver(number, lose, twice),
            Step::Send { number, reception } => self.send(number, reception),
            Step::End {
                number,
                whole,
                events,
            } => self.end(number, whole, events),
            Step::Handle { router } => self.handle(router),
            Step::Call { router, fate } => self.call(router, fate),
            Step::View {
                router,
                target,
                owner,
            } => {
                self.nodes[router].view.0[target] = owner;
                self.controller(router, ingress::Event::Placement);
            }
            Step::Lost { router, peer } => {
                let peer = router_name(peer);
                self.controller(
                    router,
                    ingress::Event::RouterLost {
                        router: peer.clone(),
                    },
                );
                self.registry(router, claim::Event::RouterLost { router: peer });
            }
            Step::Resync { router, peer } => self.resync(router, peer),
            Step::Pass { millis, still } => self.pass(millis, still),
            Step::Restart { router } => self.restart(router),
            Step::Drain { router } => self.controller(router, ingress::Event::Drain),
        }
    }

    fn resync(&mut self, router: usize, peer: usize) {
        let from = router_name(peer);
        self.controller(router, ingress::Event::Resync { from: from.clone() });
        self.registry(router, claim::Event::Resync { from });
    }

    /// Runs without further faults until every request has ended.
    fn settle(&mut self) {
        for router in 0..ROUTERS {
            for peer in 0..ROUTERS {
                self.resync(router, peer);
            }
        }
        for _ in 0..60 {
            self.pass(200, ROUTERS);
            while !self.wires.is_empty() {
                self.deliver(0, false, false);
            }
            for number in 0..self.fronts.len() {
                self.send(number, Reception::Runs);
                self.end(number, true, 0);
            }
            for router in 0..ROUTERS {
                self.call(router, Fate::Answered);
                while !self.nodes[router].events.is_empty() {
                    self.handle(router);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    #[test]
    fn request_outcome_honest(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::open();
        for step in steps {
            world.step(step);
        }
        world.settle();
        for (number, front) in &world.fronts {
            assert_eq!(front.finals, 1, "request {number} has no final response");
        }
        for node in &world.nodes {
            assert!(node.controller.is_empty(), "a request is still open");
            assert!(node.registry.is_settled(), "a claim is not settled");
        }
        assert!(world.grants.is_empty(), "granted and never released: {:?}", world.grants);
    }
}
