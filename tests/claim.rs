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
enum Reply {
    Answered,
    ResponseLost,
    RequestLost,
    RequestDelayed,
    Unreachable,
    Limited,
    Refused,
}

/// Step of a generated case; `number` selects one of the open claims or messages.
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
        reply: Reply,
    },
    End {
        number: usize,
        ran: bool,
        known: bool,
    },
    Deliver {
        number: usize,
        lose: bool,
        duplicate: bool,
    },
    ApplyLate {
        number: usize,
    },
    Restart {
        router: usize,
    },
    Resync {
        router: usize,
        peer: usize,
    },
    Advance {
        millis: u64,
    },
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        6 => Just(Reply::Answered),
        1 => Just(Reply::ResponseLost),
        1 => Just(Reply::RequestLost),
        1 => Just(Reply::RequestDelayed),
        1 => Just(Reply::Unreachable),
        1 => Just(Reply::Limited),
        1 => Just(Reply::Refused),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    prop_oneof![
        6 => (router.clone(), 0..KEYS).prop_map(|(router, key)| Step::Claim { router, key }),
        1 => router.clone().prop_map(|router| Step::Issue { router }),
        8 => (router.clone(), reply()).prop_map(|(router, reply)| Step::Call { router, reply }),
        4 => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(number, ran, known)| Step::End { number, ran, known }),
        4 => (any::<usize>(), prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(number, lose, duplicate)| Step::Deliver { number, lose, duplicate }),
        1 => any::<usize>().prop_map(|number| Step::ApplyLate { number }),
        1 => router.clone().prop_map(|router| Step::Restart { router }),
        1 => (router, 0..ROUTERS).prop_map(|(router, peer)| Step::Resync { router, peer }),
        4 => prop_oneof![1u64..30, 30u64..300, Just(5_000)]
            .prop_map(|millis| Step::Advance { millis }),
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
        let mut conflicts = Vec::new();
        for write in writes {
            let row = self.rows.get(&write.key).cloned();
            let version = row.as_ref().map_or(0, |row| row.version);
            let holds = match write.expect {
                table::Expect::Any => true,
                table::Expect::Absent => version == 0,
                table::Expect::Version(expected) => version == expected,
            };
            if !holds {
                conflicts.push(row.unwrap_or(table::Row {
                    key: write.key.clone(),
                    version: 0,
                    value: "".into(),
                }));
            }
        }
        if !conflicts.is_empty() {
            return table::Verdict::Conflict(conflicts);
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

    fn call(&mut self, action: claim::Action, reply: Reply) -> claim::Event {
        match action {
            claim::Action::Write { call, writes } => {
                let result = self.write_with(writes, reply);
                claim::Event::Written { call, result }
            }
            claim::Action::Read { call, keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                let result = match reply {
                    Reply::Answered => Ok(rows.collect()),
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

    fn write_with(
        &mut self,
        writes: Vec<table::Write>,
        reply: Reply,
    ) -> Result<table::Verdict, table::Fault> {
        let call: Box<str> = "write".into();
        match reply {
            Reply::Answered => Ok(self.write(&writes)),
            Reply::ResponseLost => {
                self.write(&writes);
                Err(lost())
            }
            Reply::RequestLost => Err(lost()),
            Reply::RequestDelayed => {
                self.late.push(writes);
                Err(lost())
            }
            Reply::Unreachable => Err(table::Fault::Unreachable {
                call,
                cause: "refused".into(),
            }),
            Reply::Limited => Err(table::Fault::Limited {
                call,
                retry_after: Span::from_millis(40),
            }),
            Reply::Refused => Err(table::Fault::Refused {
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

struct Cluster {
    now: Time,
    table: Table,
    nodes: Vec<Node>,
    keys: Vec<claim::Key>,
    operations: Vec<Operation>,
    claims: BTreeMap<id::Attempt, Claim>,
    messages: Vec<(usize, wire::Envelope)>,
}

impl Cluster {
    fn open() -> Self {
        let keys = (0..KEYS).map(|key| claim::Key::Caller(format!("k{key}").into()));
        Self {
            now: Time(1),
            table: Table::default(),
            nodes: (0..ROUTERS).map(|router| node(router, 1)).collect(),
            keys: keys.collect(),
            operations: (0..KEYS).map(|_| Operation::default()).collect(),
            claims: BTreeMap::new(),
            messages: Vec::new(),
        }
    }

    fn step_registry(&mut self, router: usize, event: claim::Event) {
        let mut out = Vec::new();
        self.nodes[router].registry.step(self.now, event, &mut out);
        for action in out {
            match action {
                claim::Action::Send(envelope) => self.messages.push((router, envelope)),
                claim::Action::Verdict { attempt, verdict } => self.check_verdict(attempt, verdict),
                call => self.record_call(router, call),
            }
        }
    }

    fn record_call(&mut self, router: usize, call: claim::Action) {
        let node = &mut self.nodes[router];
        let interval = claim::Settings::default().call_interval;
        let last = node.last_call.replace(self.now);
        assert!(last.is_none_or(|last| self.now.since(last) >= interval));
        assert!(node.calls.is_empty(), "two table calls in progress");
        if let claim::Action::Write { writes, .. } = &call {
            let mut keys: Vec<_> = writes.iter().map(|write| &write.key).collect();
            keys.sort();
            keys.dedup();
            assert_eq!(keys.len(), writes.len(), "duplicate row in one write");
        }
        node.calls.push(call);
    }

    fn check_verdict(&mut self, attempt: id::Attempt, verdict: claim::Verdict) {
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
        self.step_registry(router, event);
        attempt
    }

    fn call(&mut self, router: usize, reply: Reply) {
        if let Some(action) = self.nodes[router].calls.pop() {
            let event = self.table.call(action, reply);
            self.step_registry(router, event);
        }
    }

    /// Ends a granted claim; the registry is told the real outcome only if `known` is set.
    fn end_claim(&mut self, number: usize, ran: bool, known: bool) {
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
        let outcome = match (ran, known) {
            (true, true) => claim::Outcome::Finished(Some(key.to_string().into())),
            (false, true) => claim::Outcome::NotRun,
            (_, false) => claim::Outcome::Unknown,
        };
        let attempt = *attempt;
        self.step_registry(router, claim::Event::Settle { attempt, outcome });
    }

    fn deliver(&mut self, number: usize, lose: bool, duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let (from, envelope) = self.messages.remove(number % self.messages.len());
        if lose {
            return;
        }
        if duplicate {
            self.messages.push((from, envelope.clone()));
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
        self.step_registry(to.expect("a router"), event);
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

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
        for router in 0..ROUTERS {
            self.step_registry(router, claim::Event::Tick);
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
            Step::Call { router, reply } => self.call(router, reply),
            Step::End { number, ran, known } => self.end_claim(number, ran, known),
            Step::Deliver {
                number,
                lose,
                duplicate,
            } => self.deliver(number, lose, duplicate),
            Step::ApplyLate { number } => self.apply_late_write(number),
            Step::Restart { router } => self.restart(router),
            Step::Resync { router, peer } => {
                let from = router_name(peer);
                self.step_registry(router, claim::Event::Resync { from });
            }
            Step::Advance { millis } => self.advance(millis),
        }
    }

    fn apply_late_write(&mut self, number: usize) {
        if !self.table.late.is_empty() {
            let number = number % self.table.late.len();
            let writes = self.table.late.swap_remove(number);
            self.table.write(&writes);
        }
    }

    /// Runs without further faults until every claim has a verdict.
    fn run_to_completion(&mut self) {
        for _ in 0..60 {
            self.advance(50);
            for router in 0..ROUTERS {
                self.call(router, Reply::Answered);
            }
            self.deliver(0, false, false);
        }
        for (attempt, claim) in &self.claims {
            let decided = claim.verdict.is_some() || claim.ended;
            assert!(decided, "{attempt} got no verdict");
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
        let mut cluster = Cluster::open();
        for step in steps {
            cluster.step(step);
        }
        cluster.run_to_completion();
        while !cluster.table.late.is_empty() {
            cluster.apply_late_write(0);
        }
        for number in 0..100 {
            cluster.end_claim(number, true, true);
        }
        for router in 0..ROUTERS {
            for key in 0..cluster.keys.len() {
                cluster.claim(router, key);
            }
            cluster.run_to_completion();
            for _ in 0..cluster.keys.len() {
                cluster.end_claim(0, true, true);
            }
        }
        cluster.run_to_completion();
        for node in &cluster.nodes {
            assert!(node.registry.is_settled());
        }
    }
}

#[test]
fn claim_first_try() {
    let mut cluster = Cluster::open();
    let attempt = cluster.claim(0, 0);
    cluster.call(0, Reply::Answered);
    assert_eq!(
        cluster.claims[&attempt].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_answer_lost() {
    let mut cluster = Cluster::open();
    let attempt = cluster.claim(0, 0);
    cluster.call(0, Reply::ResponseLost);
    cluster.advance(50);
    cluster.call(0, Reply::Answered);
    assert_eq!(
        cluster.claims[&attempt].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_answer_lost_and_router_killed() {
    let mut cluster = Cluster::open();
    cluster.claim(0, 0);
    cluster.call(0, Reply::ResponseLost);
    cluster.restart(0);
    let repeat = cluster.claim(1, 0);
    cluster.call(1, Reply::Answered);
    assert_eq!(
        cluster.claims[&repeat].verdict,
        Some(claim::Verdict::Running)
    );
}

#[test]
fn claim_table_down() {
    let mut cluster = Cluster::open();
    let attempt = cluster.claim(0, 0);
    for _ in 0..20 {
        cluster.call(0, Reply::Unreachable);
        cluster.advance(100);
    }
    assert_eq!(
        cluster.claims[&attempt].verdict,
        Some(claim::Verdict::Unknown)
    );
}

#[test]
fn claim_released() {
    let mut cluster = Cluster::open();
    let first = cluster.claim(0, 0);
    cluster.call(0, Reply::Answered);
    cluster.end_claim(0, false, true);
    cluster.advance(200);
    cluster.call(0, Reply::Answered);
    let second = cluster.claim(1, 0);
    for _ in 0..4 {
        cluster.advance(25);
        cluster.call(1, Reply::Answered);
    }
    assert!(cluster.claims[&first].ended);
    assert_eq!(
        cluster.claims[&second].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_issuer_restarted() {
    let mut cluster = Cluster::open();
    cluster.step(Step::Issue { router: 0 });
    cluster.restart(0);
    let attempt = cluster.claim(0, KEYS);
    assert_eq!(
        cluster.claims[&attempt].verdict,
        Some(claim::Verdict::Unknown)
    );
}

#[test]
fn claim_issued_table_down() {
    let mut cluster = Cluster::open();
    cluster.step(Step::Issue { router: 0 });
    let attempt = cluster.claim(1, KEYS);
    cluster.deliver(0, false, false);
    cluster.deliver(0, false, false);
    assert_eq!(
        cluster.claims[&attempt].verdict,
        Some(claim::Verdict::Granted)
    );
}

#[test]
fn claim_batched() {
    let mut cluster = Cluster::open();
    cluster.claim(0, 0);
    for key in 1..KEYS {
        cluster.claim(0, key);
    }
    cluster.call(0, Reply::Answered);
    cluster.advance(20);
    cluster.call(0, Reply::Answered);
    let granted = cluster.claims.values();
    let granted = granted.filter(|c| c.verdict == Some(claim::Verdict::Granted));
    assert_eq!(granted.count(), KEYS);
}

#[test]
fn sweep_old_rows() {
    let mut cluster = Cluster::open();
    cluster.claim(0, 0);
    cluster.call(0, Reply::Answered);
    cluster.end_claim(0, true, true);
    cluster.advance(200);
    cluster.call(0, Reply::Answered);
    assert_eq!(cluster.table.rows.len(), 1);
    cluster.advance(25 * 3_600 * 1_000);
    for _ in 0..4 {
        cluster.call(0, Reply::Answered);
        cluster.advance(61_000);
    }
    assert_eq!(cluster.table.rows.len(), 0);
}
