//! Claims on idempotency keys under lost, delayed and duplicated messages, router restarts and
//! table outages.

use marlrun::{
    claim, id, table,
    unit::{Span, Time},
    wire,
};
use proptest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::collections::BTreeMap;

const ROUTERS: usize = 3;
const KEYS: usize = 4;

/// Injected result of a call to the table.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    LostAfter,
    LostBefore,
    LostAndLate,
    Unreachable,
    Limited,
    Refused,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim {
        router: usize,
        key: usize,
    },
    Issue {
        router: usize,
    },
    Call {
        router: usize,
        fate: Fate,
    },
    End {
        number: usize,
        ran: bool,
        known: bool,
    },
    Deliver {
        number: usize,
        lose: bool,
        twice: bool,
    },
    Land {
        number: usize,
    },
    Restart {
        router: usize,
    },
    Resync {
        router: usize,
        peer: usize,
    },
    Pass {
        millis: u64,
    },
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::LostAfter),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAndLate),
        1 => Just(Fate::Unreachable),
        1 => Just(Fate::Limited),
        1 => Just(Fate::Refused),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    prop_oneof![
        6 => (router.clone(), 0..KEYS).prop_map(|(router, key)| Step::Claim { router, key }),
        1 => router.clone().prop_map(|router| Step::Issue { router }),
        8 => (router.clone(), fate()).prop_map(|(router, fate)| Step::Call { router, fate }),
        4 => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(number, ran, known)| Step::End { number, ran, known }),
        4 => (any::<usize>(), prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(number, lose, twice)| Step::Deliver { number, lose, twice }),
        1 => any::<usize>().prop_map(|number| Step::Land { number }),
        1 => router.clone().prop_map(|router| Step::Restart { router }),
        1 => (router, 0..ROUTERS).prop_map(|(router, peer)| Step::Resync { router, peer }),
        4 => prop_oneof![1u64..30, 30u64..300, Just(5_000)]
            .prop_map(|millis| Step::Pass { millis }),
    ]
}

fn lost() -> table::Fault {
    table::Fault::Lost {
        call: "write".into(),
        cause: "timeout".into(),
    }
}

/// Model of the platform's table.
#[derive(Default)]
struct Table {
    rows: BTreeMap<Box<str>, table::Row>,
    /// Writes that the caller takes for lost and that may still take effect.
    late: Vec<Vec<table::Write>>,
}

impl Table {
    fn write(&mut self, writes: &[table::Write]) -> table::Verdict {
        let mut broken = Vec::new();
        for write in writes {
            let row = self.rows.get(&write.key).cloned();
            let version = row.as_ref().map_or(0, |row| row.version);
            let holds = match write.expect {
                table::Expect::Any => true,
                table::Expect::Absent => version == 0,
                table::Expect::Version(expected) => version == expected,
            };
            if !holds {
                broken.push(row.unwrap_or(table::Row {
                    key: write.key.clone(),
                    version: 0,
                    value: "".into(),
                }));
            }
        }
        if !broken.is_empty() {
            return table::Verdict::Conflict(broken);
        }
        for write in writes {
            let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
            let key = write.key.clone();
            match write.value.clone() {
                Some(value) => {
                    let row = table::Row {
                        key: key.clone(),
                        version,
                        value,
                    };
                    self.rows.insert(key, row);
                }
                None => drop(self.rows.remove(&key)),
            }
        }
        table::Verdict::Committed
    }

    fn call(&mut self, action: claim::Action, fate: Fate) -> claim::Event {
        match action {
            claim::Action::Write { call, writes } => {
                let result = self.answer(writes, fate);
                claim::Event::Written { call, result }
            }
            claim::Action::Read { call, keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                let result = match fate {
                    Fate::Answered => Ok(rows.collect()),
                    _ => Err(lost()),
                };
                claim::Event::Read { call, result }
            }
            claim::Action::Scan { call, .. } => {
                let result = Ok(self.rows.values().cloned().collect());
                claim::Event::Read { call, result }
            }
            other => panic!("not a table call: {other:?}"),
        }
    }

    fn answer(
        &mut self,
        writes: Vec<table::Write>,
        fate: Fate,
    ) -> Result<table::Verdict, table::Fault> {
        let call: Box<str> = "write".into();
        match fate {
            Fate::Answered => Ok(self.write(&writes)),
            Fate::LostAfter => {
                self.write(&writes);
                Err(lost())
            }
            Fate::LostBefore => Err(lost()),
            Fate::LostAndLate => {
                self.late.push(writes);
                Err(lost())
            }
            Fate::Unreachable => Err(table::Fault::Unreachable {
                call,
                cause: "refused".into(),
            }),
            Fate::Limited => Err(table::Fault::Limited {
                call,
                retry_after: Span::from_millis(40),
            }),
            Fate::Refused => Err(table::Fault::Refused {
                call,
                status: 400,
                detail: "no".into(),
            }),
        }
    }
}

/// What happened to the request of a key.
#[derive(Default)]
struct Operation {
    runs: u32,
    finished: bool,
}

/// A claim that a router made.
struct Claim {
    router: usize,
    key: usize,
    verdict: Option<claim::Verdict>,
    ended: bool,
}

struct Node {
    registry: claim::Registry,
    incarnation: u64,
    sequence: u64,
    calls: Vec<claim::Action>,
    last_call: Option<Time>,
}

fn router_name(router: usize) -> id::Router {
    format!("r{router}").parse().expect("a name")
}

fn node(router: usize, incarnation: u64) -> Node {
    let random = ChaCha8Rng::seed_from_u64(incarnation << 8 | router as u64);
    let settings = claim::Settings::default();
    let run = id::Incarnation(incarnation << 8 | router as u64);
    Node {
        registry: claim::Registry::open(router_name(router), run, settings, 0, random),
        incarnation,
        sequence: 0,
        calls: Vec::new(),
        last_call: None,
    }
}

struct World {
    now: Time,
    table: Table,
    nodes: Vec<Node>,
    keys: Vec<claim::Key>,
    operations: Vec<Operation>,
    claims: BTreeMap<id::Attempt, Claim>,
    wires: Vec<(usize, wire::Envelope)>,
}

impl World {
    fn open() -> Self {
        let keys = (0..KEYS).map(|key| claim::Key::Caller(format!("k{key}").into()));
        Self {
            now: Time(1),
            table: Table::default(),
            nodes: (0..ROUTERS).map(|router| node(router, 1)).collect(),
            keys: keys.collect(),
            operations: (0..KEYS).map(|_| Operation::default()).collect(),
            claims: BTreeMap::new(),
            wires: Vec::new(),
        }
    }

    fn tell(&mut self, router: usize, event: claim::Event) {
        let mut out = Vec::new();
        self.nodes[router].registry.step(self.now, event, &mut out);
        for action in out {
            match action {
                claim::Action::Send(envelope) => self.wires.push((router, envelope)),
                claim::Action::Verdict { attempt, verdict } => self.judge(attempt, verdict),
                call => self.called(router, call),
            }
        }
    }

    fn called(&mut self, router: usize, call: claim::Action) {
        let node = &mut self.nodes[router];
        let period = claim::Settings::default().period;
        let last = node.last_call.replace(self.now);
        assert!(last.is_none_or(|last| self.now.since(last) >= period));
        assert!(node.calls.is_empty(), "two table calls in progress");
        if let claim::Action::Write { writes, .. } = &call {
            let mut keys: Vec<_> = writes.iter().map(|write| &write.key).collect();
            keys.sort();
            keys.dedup();
            assert_eq!(keys.len(), writes.len(), "duplicate row in one write");
        }
        node.calls.push(call);
    }

    fn judge(&mut self, attempt: id::Attempt, verdict: claim::Verdict) {
        let Some(claim) = self.claims.get_mut(&attempt) else {
            return;
        };
        assert_eq!(claim.verdict, None, "{attempt} got two verdicts");
        let operation = &self.operations[claim.key];
        match &verdict {
            claim::Verdict::Finished(answer) => {
                assert!(
                    operation.finished,
                    "verdict Finished, but the request did not complete"
                );
                assert!(answer.as_deref().is_none_or(|a| a == claim.key.to_string()));
            }
            claim::Verdict::Granted => {
                assert_eq!(operation.runs, 0, "granted, but the request already ran")
            }
            claim::Verdict::Running | claim::Verdict::Unknown => {}
        }
        claim.verdict = Some(verdict);
    }

    fn claim(&mut self, router: usize, key: usize) -> id::Attempt {
        let node = &mut self.nodes[router];
        node.sequence += 1;
        let attempt = id::Attempt {
            incarnation: id::Incarnation(node.incarnation << 8 | router as u64),
            sequence: node.sequence,
        };
        let claim = Claim {
            router,
            key,
            verdict: None,
            ended: false,
        };
        self.claims.insert(attempt, claim);
        let event = claim::Event::Claim {
            attempt,
            workspace: "w".parse().expect("a name"),
            service: "s".parse().expect("a name"),
            key: self.keys[key].clone(),
        };
        self.tell(router, event);
        attempt
    }

    fn call(&mut self, router: usize, fate: Fate) {
        if let Some(action) = self.nodes[router].calls.pop() {
            let event = self.table.call(action, fate);
            self.tell(router, event);
        }
    }

    /// Ends a granted claim; the registry is told the real outcome only if `known` is set.
    fn end(&mut self, number: usize, ran: bool, known: bool) {
        let open: Vec<id::Attempt> = self
            .claims
            .iter()
            .filter(|(_, c)| c.verdict == Some(claim::Verdict::Granted) && !c.ended)
            .map(|(attempt, _)| *attempt)
            .collect();
        let Some(attempt) = open.get(number % open.len().max(1)) else {
            return;
        };
        let claim = self.claims.get_mut(attempt).expect("an open claim");
        claim.ended = true;
        let (router, key) = (claim.router, claim.key);
        let operation = &mut self.operations[key];
        operation.runs += u32::from(ran);
        operation.finished |= ran;
        assert!(operation.runs <= 1, "{:?} ran twice", self.keys[key]);
        let end = match (ran, known) {
            (true, true) => claim::End::Finished(Some(key.to_string().into())),
            (false, true) => claim::End::NotRun,
            (_, false) => claim::End::Unknown,
        };
        let attempt = *attempt;
        self.tell(router, claim::Event::Settle { attempt, end });
    }

    fn deliver(&mut self, number: usize, lose: bool, twice: bool) {
        if self.wires.is_empty() {
            return;
        }
        let (from, envelope) = self.wires.remove(number % self.wires.len());
        if lose {
            return;
        }
        if twice {
            self.wires.push((from, envelope.clone()));
        }
        let to = (0..ROUTERS).find(|router| router_name(*router) == envelope.to);
        let from = router_name(from);
        let event = match envelope.message {
            wire::Message::KeyClaim { attempt, key } => {
                claim::Event::KeyClaim { from, attempt, key }
            }
            wire::Message::KeyVerdict { attempt, granted } => claim::Event::KeyVerdict {
                from,
                attempt,
                granted,
            },
            wire::Message::KeyRelease { attempt, key } => claim::Event::KeyRelease { attempt, key },
            other => panic!("unexpected message: {other:?}"),
        };
        self.tell(to.expect("a router"), event);
    }

    /// Restarts a router with empty state. Its call in progress may still take effect, and the
    /// requests whose claims it was granted count as run.
    fn restart(&mut self, router: usize) {
        let incarnation = self.nodes[router].incarnation + 1;
        for call in self.nodes[router].calls.drain(..) {
            if let claim::Action::Write { writes, .. } = call {
                self.table.late.push(writes);
            }
        }
        self.nodes[router] = node(router, incarnation);
        for claim in self.claims.values_mut().filter(|c| c.router == router) {
            if claim.verdict == Some(claim::Verdict::Granted) && !claim.ended {
                self.operations[claim.key].runs += 1;
                assert!(
                    self.operations[claim.key].runs <= 1,
                    "the request of one key ran twice"
                );
            }
            claim.ended = true;
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
        for router in 0..ROUTERS {
            self.tell(router, claim::Event::Tick);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim { router, key } => {
                // Spreads the claims over all keys, including those that routers issued.
                let key = (key * 7 + router) % self.keys.len();
                self.claim(router, key);
            }
            Step::Issue { router } => {
                let key = self.nodes[router].registry.issue(self.now);
                self.keys.push(key.parse().expect("an issued key"));
                self.operations.push(Operation::default());
            }
            Step::Call { router, fate } => self.call(router, fate),
            Step::End { number, ran, known } => self.end(number, ran, known),
            Step::Deliver {
                number,
                lose,
                twice,
            } => self.deliver(number, lose, twice),
            Step::Land { number } => self.land(number),
            Step::Restart { router } => self.restart(router),
            Step::Resync { router, peer } => {
                let from = router_name(peer);
                self.tell(router, claim::Event::Resync { from });
            }
            Step::Pass { millis } => self.pass(millis),
        }
    }

    fn land(&mut self, number: usize) {
        if !self.table.late.is_empty() {
            let number = number % self.table.late.len();
            let writes = self.table.late.swap_remove(number);
            self.table.write(&writes);
        }
    }

    /// Runs without further faults until every claim has a verdict.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.pass(50);
            for router in 0..ROUTERS {
                self.call(router, Fate::Answered);
            }
            self.deliver(0, false, false);
        }
        for (attempt, claim) in &self.claims {
            let told = claim.verdict.is_some() || claim.ended;
            assert!(told, "{attempt} got no verdict");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    #[test]
    fn claim_at_most_one_run(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::open();
        for step in steps {
            world.step(step);
        }
        world.settle();
        while !world.table.late.is_empty() {
            world.land(0);
        }
        for number in 0..100 {
            world.end(number, true, true);
        }
        for router in 0..ROUTERS {
            for key in 0..world.keys.len() {
                world.claim(router, key);
            }
            world.settle();
            for _ in 0..world.keys.len() {
                world.end(0, true, true);
            }
        }
        world.settle();
        for node in &world.nodes {
            assert!(node.registry.is_settled());
        }
    }
}

#[test]
fn claim_first_try() {
    let mut world = World::open();
    let attempt = world.claim(0, 0);
    world.call(0, Fate::Answered);
    assert_eq!(
        world.claims[&attempt].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_answer_lost() {
    let mut world = World::open();
    let attempt = world.claim(0, 0);
    world.call(0, Fate::LostAfter);
    world.pass(50);
    world.call(0, Fate::Answered);
    assert_eq!(
        world.claims[&attempt].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_answer_lost_and_router_killed() {
    let mut world = World::open();
    world.claim(0, 0);
    world.call(0, Fate::LostAfter);
    world.restart(0);
    let repeat = world.claim(1, 0);
    world.call(1, Fate::Answered);
    assert_eq!(world.claims[&repeat].verdict, Some(claim::Verdict::Running));
}

#[test]
fn claim_table_down() {
    let mut world = World::open();
    let attempt = world.claim(0, 0);
    for _ in 0..20 {
        world.call(0, Fate::Unreachable);
        world.pass(100);
    }
    assert_eq!(
        world.claims[&attempt].verdict,
        Some(claim::Verdict::Unknown)
    );
}

#[test]
fn claim_released() {
    let mut world = World::open();
    let first = world.claim(0, 0);
    world.call(0, Fate::Answered);
    world.end(0, false, true);
    world.pass(200);
    world.call(0, Fate::Answered);
    let second = world.claim(1, 0);
    for _ in 0..4 {
        world.pass(25);
        world.call(1, Fate::Answered);
    }
    assert!(world.claims[&first].ended);
    assert_eq!(world.claims[&second].verdict, Some(claim::Verdict::Granted));
}

#[test]
fn claim_issuer_restarted() {
    let mut world = World::open();
    world.step(Step::Issue { router: 0 });
    world.restart(0);
    let attempt = world.claim(0, KEYS);
    assert_eq!(
        world.claims[&attempt].verdict,
        Some(claim::Verdict::Unknown)
    );
}

#[test]
fn claim_issued_table_down() {
    let mut world = World::open();
    world.step(Step::Issue { router: 0 });
    let attempt = world.claim(1, KEYS);
    world.deliver(0, false, false);
    world.deliver(0, false, false);
    assert_eq!(
        world.claims[&attempt].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_batched() {
    let mut world = World::open();
    world.claim(0, 0);
    for key in 1..KEYS {
        world.claim(0, key);
    }
    world.call(0, Fate::Answered);
    world.pass(20);
    world.call(0, Fate::Answered);
    let granted = world.claims.values();
    let granted = granted.filter(|c| c.verdict == Some(claim::Verdict::Granted));
    assert_eq!(granted.count(), KEYS);
}

#[test]
fn sweep_old_rows() {
    let mut world = World::open();
    world.claim(0, 0);
    world.call(0, Fate::Answered);
    world.end(0, true, true);
    world.pass(200);
    world.call(0, Fate::Answered);
    assert_eq!(world.table.rows.len(), 1);
    world.pass(25 * 3_600 * 1_000);
    for _ in 0..4 {
        world.call(0, Fate::Answered);
        world.pass(61_000);
    }
    assert_eq!(world.table.rows.len(), 0);
}
