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

/// Injected result of a call to the table.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Answered,
    ResponseLost,
    RequestLost,
    Unreachable,
}

/// Injected reaction of a target to a request.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    Runs,
    Refuses,
    Unreachable,
    NotReceived,
}

/// Reply of an owner to a slot request.
#[derive(Clone, Copy, Debug)]
enum Decision {
    Grant,
    Refuse(wire::Reason),
    Move,
}

/// Step of a generated case; `number` selects one of the requests or messages.
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
    Decide {
        number: usize,
        decision: Decision,
        target: usize,
    },
    Deliver {
        number: usize,
        lose: bool,
        duplicate: bool,
    },
    Send {
        number: usize,
        reaction: Reaction,
    },
    End {
        number: usize,
        complete: bool,
        events: u64,
    },
    Handle {
        router: usize,
    },
    Call {
        router: usize,
        reply: Reply,
    },
    SetOwner {
        router: usize,
        target: usize,
        owner: Option<usize>,
    },
    RouterLost {
        router: usize,
        peer: usize,
    },
    Resync {
        router: usize,
        peer: usize,
    },
    Advance {
        millis: u64,
        paused_router: usize,
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
    let reply = prop_oneof![
        5 => Just(Reply::Answered),
        1 => Just(Reply::ResponseLost),
        1 => Just(Reply::RequestLost),
        1 => Just(Reply::Unreachable),
    ];
    let reaction = prop_oneof![
        4 => Just(Reaction::Runs),
        1 => Just(Reaction::Refuses),
        1 => Just(Reaction::Unreachable),
        1 => Just(Reaction::NotReceived),
    ];
    let decision = prop_oneof![
        5 => Just(Decision::Grant),
        1 => reason().prop_map(Decision::Refuse),
        1 => Just(Decision::Move),
    ];
    let duration = prop_oneof![3 => 1u64..100, 1 => 100u64..800, 1 => Just(2_500u64)];
    prop_oneof![
        6 => (router(), 0..OPERATIONS, 1u64..8).prop_map(|(router, operation, seconds)| {
            Step::Request { router, operation, seconds }
        }),
        1 => any_number().prop_map(|number| Step::Cancel { number }),
        8 => (any_number(), decision, 0..TARGETS)
            .prop_map(|(number, decision, target)| Step::Decide { number, decision, target }),
        16 => (any_number(), prop::bool::weighted(0.1), prop::bool::weighted(0.1))
            .prop_map(|(number, lose, duplicate)| Step::Deliver { number, lose, duplicate }),
        8 => (any_number(), reaction)
            .prop_map(|(number, reaction)| Step::Send { number, reaction }),
        6 => (any_number(), any::<bool>(), 0u64..4)
            .prop_map(|(number, complete, events)| Step::End { number, complete, events }),
        10 => router().prop_map(|router| Step::Handle { router }),
        6 => (router(), reply).prop_map(|(router, reply)| Step::Call { router, reply }),
        2 => (router(), 0..TARGETS, prop::option::weighted(0.8, 0..ROUTERS))
            .prop_map(|(router, target, owner)| Step::SetOwner { router, target, owner }),
        1 => (router(), router()).prop_map(|(router, peer)| Step::RouterLost { router, peer }),
        1 => (router(), router()).prop_map(|(router, peer)| Step::Resync { router, peer }),
        6 => (duration, 0..ROUTERS * 4)
            .prop_map(|(millis, paused_router)| Step::Advance { millis, paused_router }),
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
    final_responses: u32,
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
    last_step: Time,
}

struct Cluster {
    now: Time,
    last_incarnation: u64,
    nodes: Vec<Node>,
    fronts: BTreeMap<u64, Front>,
    keys: Vec<claim::Key>,
    /// Number of runs of each keyed operation.
    runs: Vec<u32>,
    messages: Vec<(usize, wire::Envelope)>,
    /// Slot requests that owners received, with their senders.
    asks: Vec<(usize, wire::Envelope, wire::Ask)>,
    /// Grants that arrived and were not released: owner and attempt.
    grants: BTreeSet<(usize, id::Attempt)>,
    table: table::Memory,
}

fn fault(reply: Reply) -> table::Fault {
    let (call, cause) = ("write".into(), "test".into());
    match reply {
        Reply::Unreachable => table::Fault::Unreachable { call, cause },
        _ => table::Fault::Lost { call, cause },
    }
}

impl Cluster {
    fn open() -> Self {
        let mut cluster = Self {
            now: Time(1_000_000),
            last_incarnation: 0,
            nodes: Vec::new(),
            fronts: BTreeMap::new(),
            keys: Vec::new(),
            runs: vec![0; OPERATIONS],
            messages: Vec::new(),
            asks: Vec::new(),
            grants: BTreeSet::new(),
            table: table::Memory::open(),
        };
        for router in 0..ROUTERS {
            let node = cluster.node(router);
            cluster.nodes.push(node);
        }
        let issued = cluster.nodes[0].registry.issue(cluster.now);
        cluster.keys = vec![
            claim::Key::Caller("a".into()),
            claim::Key::Caller("b".into()),
            issued.parse().expect("an issued key"),
        ];
        cluster
    }

    fn node(&mut self, router: usize) -> Node {
        self.last_incarnation += 1;
        let incarnation = id::Incarnation(self.last_incarnation);
        let random = || ChaCha8Rng::seed_from_u64(self.last_incarnation);
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
            last_step: self.now,
        }
    }

    fn step_controller(&mut self, router: usize, event: ingress::Event) {
        let node = &mut self.nodes[router];
        let mut out = Vec::new();
        if self.now.since(node.last_step) >= PAUSE {
            let paused = ingress::Event::Paused;
            node.controller.step(self.now, paused, &node.view, &mut out);
        }
        node.last_step = self.now;
        node.controller.step(self.now, event, &node.view, &mut out);
        for action in out {
            self.carry_out(router, action);
        }
    }

    fn carry_out(&mut self, router: usize, action: ingress::Action) {
        match action {
            ingress::Action::Send(envelope) => {
                if let wire::Message::Done { attempt, .. } = &envelope.message {
                    self.grants.remove(&(router_number(&envelope.to), *attempt));
                }
                self.messages.push((router, envelope));
            }
            ingress::Action::Claim {
                attempt,
                workspace,
                service,
                key,
            } => self.step_registry(
                router,
                claim::Event::Claim {
                    attempt,
                    workspace,
                    service,
                    key,
                },
            ),
            ingress::Action::Settle { attempt, outcome } => {
                self.step_registry(router, claim::Event::Settle { attempt, outcome });
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
        front.final_responses += 1;
        assert_eq!(
            front.final_responses, 1,
            "request {request} has two final responses"
        );
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

    fn step_registry(&mut self, router: usize, event: claim::Event) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[router].registry.step(now, event, &mut out);
        for action in out {
            match action {
                claim::Action::Send(envelope) => self.messages.push((router, envelope)),
                claim::Action::Verdict { attempt, verdict } => {
                    self.step_controller(router, ingress::Event::Claimed { attempt, verdict });
                }
                call => self.nodes[router].call = Some(call),
            }
        }
    }

    fn call(&mut self, router: usize, reply: Reply) {
        let Some(action) = self.nodes[router].call.take() else {
            return;
        };
        let table: &dyn table::Table = &self.table;
        let answered = matches!(reply, Reply::Answered);
        let event = match action {
            claim::Action::Write { call, writes } => {
                let takes_effect = answered || matches!(reply, Reply::ResponseLost);
                let result = takes_effect.then(|| table.write(&writes));
                let result = result.filter(|_| answered);
                let result = result.unwrap_or_else(|| Err(fault(reply)));
                claim::Event::Written { call, result }
            }
            claim::Action::Read { call, keys } => {
                let result = answered.then(|| table.read(&keys));
                let result = result.unwrap_or_else(|| Err(fault(reply)));
                claim::Event::Read { call, result }
            }
            claim::Action::Scan { call, .. } => claim::Event::Read {
                call,
                result: Ok(Vec::new()),
            },
            other => panic!("not a table call: {other:?}"),
        };
        self.step_registry(router, event);
    }

    fn request(&mut self, router: usize, operation: usize, seconds: u64) {
        let number = self.fronts.len() as u64;
        let front = Front {
            router,
            operation,
            attempt: None,
            delivered: 0,
            runs: 0,
            final_responses: 0,
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
        self.step_controller(router, ingress::Event::Request(request));
    }

    /// Makes an owner react to any slot request it received, including old ones.
    fn decide(&mut self, number: usize, decision: Decision, target: usize) {
        let Some((from, envelope, ask)) = self.asks.get(number % self.asks.len().max(1)) else {
            return;
        };
        let attempt = ask.attempt;
        let message = match decision {
            Decision::Grant => wire::Message::Grant {
                attempt,
                target: target_name(target),
            },
            Decision::Refuse(reason) => wire::Message::Refuse {
                attempt,
                refusal: wire::Refusal {
                    reason,
                    retry_after: Span::from_secs(1),
                },
            },
            Decision::Move => wire::Message::Move {
                attempt,
                target: target_name(target),
            },
        };
        let owner = router_number(&envelope.to);
        let to = router_name(*from);
        self.messages.push((owner, wire::Envelope { to, message }));
    }

    fn deliver(&mut self, number: usize, lose: bool, duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let (sender, envelope) = self.messages.remove(number % self.messages.len());
        if lose {
            return;
        }
        if duplicate {
            self.messages.push((sender, envelope.clone()));
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
                self.step_controller(router, granted);
            }
            wire::Message::Refuse { attempt, refusal } => {
                let refused = ingress::Event::Refused {
                    from,
                    attempt,
                    refusal,
                };
                self.step_controller(router, refused);
            }
            wire::Message::Move { attempt, target } => {
                let moved = ingress::Event::Moved {
                    from,
                    attempt,
                    target,
                };
                self.step_controller(router, moved);
            }
            wire::Message::KeyClaim { attempt, key } => {
                self.step_registry(router, claim::Event::KeyClaim { from, attempt, key });
            }
            wire::Message::KeyVerdict { attempt, granted } => {
                let verdict = claim::Event::KeyVerdict {
                    from,
                    attempt,
                    granted,
                };
                self.step_registry(router, verdict);
            }
            wire::Message::KeyRelease { attempt, key } => {
                self.step_registry(router, claim::Event::KeyRelease { attempt, key });
            }
            _ => {}
        }
    }

    /// Selects a request whose attempt meets a condition.
    fn find_request(&self, number: usize, condition: impl Fn(&Attempt) -> bool) -> Option<u64> {
        let fronts = self.fronts.iter();
        let matching = fronts.filter(|(_, front)| front.attempt.as_ref().is_some_and(&condition));
        let matching: Vec<u64> = matching.map(|(number, _)| *number).collect();
        matching.get(number % matching.len().max(1)).copied()
    }

    /// Makes a front end send its request and the target react to it.
    fn send(&mut self, number: usize, reaction: Reaction) {
        let Some(request) = self.find_request(number, |attempt| !attempt.sent) else {
            return;
        };
        let front = self.fronts.get_mut(&request).expect("a known request");
        let attempt = front.attempt.as_mut().expect("an attempt");
        let (id, router) = (attempt.id, front.router);
        if self.now > attempt.not_after || attempt.aborted {
            return self.report_end(request, wire::Outcome::Cancelled, ingress::Resume::Start);
        }
        if matches!(reaction, Reaction::Unreachable) {
            return self.report_end(request, wire::Outcome::Unreachable, ingress::Resume::Start);
        }
        attempt.sent = true;
        let events = &mut self.nodes[router].events;
        events.push_back(ingress::Event::Sent { attempt: id });
        match reaction {
            Reaction::Refuses => {
                self.report_end(request, wire::Outcome::NotRun, ingress::Resume::Start);
            }
            Reaction::Runs => {
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
            Reaction::NotReceived | Reaction::Unreachable => {}
        }
    }

    /// Ends the attempt of a request, as reported by its traffic thread.
    fn report_end(&mut self, request: u64, outcome: wire::Outcome, resume: ingress::Resume) {
        let front = self.fronts.get_mut(&request).expect("a known request");
        let attempt = front.attempt.take().expect("an attempt");
        let answered = outcome == wire::Outcome::Answered;
        if answered {
            front.final_responses += 1;
            assert_eq!(
                front.final_responses, 1,
                "request {request} has two final responses"
            );
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

    fn end(&mut self, number: usize, complete: bool, events: u64) {
        let Some(request) = self.find_request(number, |attempt| attempt.sent) else {
            return;
        };
        let front = self.fronts.get_mut(&request).expect("a known request");
        let attempt = front.attempt.as_ref().expect("an attempt");
        if attempt.aborted {
            let resume = ingress::Resume::Never;
            return self.report_end(request, wire::Outcome::Cancelled, resume);
        }
        if complete && attempt.running {
            let resume = ingress::Resume::Never;
            return self.report_end(request, wire::Outcome::Answered, resume);
        }
        if attempt.running {
            front.delivered += events;
        }
        let resume = match front.delivered {
            0 => ingress::Resume::Start,
            last => ingress::Resume::After(last.to_string().into()),
        };
        self.report_end(request, wire::Outcome::Broken, resume);
    }

    fn handle(&mut self, router: usize) {
        if let Some(event) = self.nodes[router].events.pop_front() {
            self.step_controller(router, event);
        }
    }

    fn cancel(&mut self, number: usize) {
        let count = self.fronts.len().max(1);
        let request = (number % count) as u64;
        let Some(front) = self
            .fronts
            .get_mut(&request)
            .filter(|f| f.final_responses == 0)
        else {
            return;
        };
        // The caller is gone, so that no later response counts.
        front.final_responses += 1;
        let router = front.router;
        self.step_controller(router, ingress::Event::Cancelled { request });
        let front = self.fronts.get_mut(&request).expect("a known request");
        if front.attempt.is_some() {
            self.abort_after_cancel(request);
        }
    }

    /// The front end aborts the attempt by itself when its caller disconnects.
    fn abort_after_cancel(&mut self, request: u64) {
        let resume = ingress::Resume::Never;
        self.report_end(request, wire::Outcome::Cancelled, resume);
    }

    fn restart(&mut self, router: usize) {
        let node = self.node(router);
        self.nodes[router] = node;
        for front in self.fronts.values_mut().filter(|f| f.router == router) {
            // The connection breaks, and the caller learns nothing about the outcome.
            front.attempt = None;
            front.final_responses = front.final_responses.max(1);
        }
        self.asks.retain(|(from, _, _)| *from != router);
        self.grants.clear();
        self.messages
            .retain(|(from, envelope)| *from != router && router_number(&envelope.to) != router);
    }

    fn advance(&mut self, millis: u64, paused_router: usize) {
        self.now = self.now + Span::from_millis(millis);
        for router in (0..ROUTERS).filter(|router| *router != paused_router) {
            self.step_registry(router, claim::Event::Tick);
            self.step_controller(router, ingress::Event::Tick);
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
            Step::Decide {
                number,
                decision,
                target,
            } => self.decide(number, decision, target),
            Step::Deliver {
                number,
                lose,
                duplicate,
            } => self.deliver(number, lose, duplicate),
            Step::Send { number, reaction } => self.send(number, reaction),
            Step::End {
                number,
                complete,
                events,
            } => self.end(number, complete, events),
            Step::Handle { router } => self.handle(router),
            Step::Call { router, reply } => self.call(router, reply),
            Step::SetOwner {
                router,
                target,
                owner,
            } => {
                self.nodes[router].view.0[target] = owner;
                self.step_controller(router, ingress::Event::PlacementChanged);
            }
            Step::RouterLost { router, peer } => {
                let peer = router_name(peer);
                self.step_controller(
                    router,
                    ingress::Event::RouterLost {
                        router: peer.clone(),
                    },
                );
                self.step_registry(router, claim::Event::RouterLost { router: peer });
            }
            Step::Resync { router, peer } => self.resync(router, peer),
            Step::Advance {
                millis,
                paused_router,
            } => self.advance(millis, paused_router),
            Step::Restart { router } => self.restart(router),
            Step::Drain { router } => self.step_controller(router, ingress::Event::Drain),
        }
    }

    fn resync(&mut self, router: usize, peer: usize) {
        let from = router_name(peer);
        self.step_controller(router, ingress::Event::Resync { from: from.clone() });
        self.step_registry(router, claim::Event::Resync { from });
    }

    /// Runs without further faults until every request has ended.
    fn run_to_completion(&mut self) {
        for router in 0..ROUTERS {
            for peer in 0..ROUTERS {
                self.resync(router, peer);
            }
        }
        for _ in 0..60 {
            self.advance(200, ROUTERS);
            while !self.messages.is_empty() {
                self.deliver(0, false, false);
            }
            for number in 0..self.fronts.len() {
                self.send(number, Reaction::Runs);
                self.end(number, true, 0);
            }
            for router in 0..ROUTERS {
                self.call(router, Reply::Answered);
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
    fn request_outcome_correct(steps in prop::collection::vec(step(), 1..250)) {
        let mut cluster = Cluster::open();
        for step in steps {
            cluster.step(step);
        }
        cluster.run_to_completion();
        for (number, front) in &cluster.fronts {
            assert_eq!(front.final_responses, 1, "request {number} has no final response");
        }
        for node in &cluster.nodes {
            assert!(node.controller.is_empty(), "a request is still open");
            assert!(node.registry.is_settled(), "a claim is not settled");
        }
        assert!(cluster.grants.is_empty(), "granted and never released: {:?}", cluster.grants);
    }
}
