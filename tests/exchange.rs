//! Exchange of loads in a large fleet while routers are killed and links are cut.

mod fleet;

use marlrun::{
    catalog,
    dispatch::{Action, Batch, Dispatcher, Event, Part, Prompt, Request, Settings},
    gossip, id,
    routing::{Engine, Kind, Limits, Service, Table},
    unit::{Span, Time, Version},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// Routers of the fleet.
const ROUTERS: usize = 28;
/// Interval of summaries, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 20;

/// Routers and the network between them.
struct Net {
    routers: Vec<Option<Dispatcher>>,
    /// Number of runs of each router so far.
    runs: Vec<u64>,
    /// Pairs of sender and receiver whose datagrams are dropped.
    cuts: BTreeSet<(usize, usize)>,
    /// Number of requests that each router has sent to the target.
    sent: Vec<u32>,
    batches: VecDeque<(usize, Batch)>,
    datagrams: u64,
    now_ms: u64,
    next: u64,
}

impl Net {
    fn open() -> Self {
        let mut net = Self {
            routers: (0..ROUTERS).map(|_| None).collect(),
            runs: vec![0; ROUTERS],
            cuts: BTreeSet::new(),
            sent: vec![0; ROUTERS],
            batches: VecDeque::new(),
            datagrams: 0,
            now_ms: 0,
            next: 0,
        };
        (0..ROUTERS).for_each(|index| net.start(index));
        net
    }

    /// Starts or restarts a router.
    fn start(&mut self, index: usize) {
        self.runs[index] += 1;
        self.sent[index] = 0;
        let incarnation = id::Incarnation(self.runs[index]);
        let settings = Settings::new(fleet::name(index), incarnation, fleet::domain(index));
        self.routers[index] = Some(Dispatcher::open(settings));
        self.step(index, Event::Routing(table()));
        let target = target();
        self.step(
            index,
            Event::Targets(BTreeMap::from([(target.name.clone(), target)])),
        );
        self.step(index, fleet::event(&fleet::roster(index, ROUTERS)));
    }

    fn kill(&mut self, index: usize) {
        self.routers[index] = None;
        self.sent[index] = 0;
    }

    fn step(&mut self, index: usize, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(router) = &mut self.routers[index] {
            router.step(Time(self.now_ms * 1_000), event, &mut out);
        }
        out
    }

    /// Has a request arrive at a router.
    fn send_request(&mut self, index: usize) -> Vec<Action> {
        self.next += 1;
        let now = Time(self.now_ms * 1_000);
        let event = Event::Arrived(Request {
            number: self.next,
            workspace: Some("east-desk".parse().unwrap()),
            service: "llm".parse().unwrap(),
            kind: Kind::Stream {
                pause: Span::from_millis(250),
                resumable: true,
            },
            priority: 1,
            arrived: now,
            due: now + Span::from_secs(5),
            deadline: now + Span::from_secs(60),
            max_attempts: 2,
            prompt: Some(Prompt {
                parts: Box::new([Part { id: 1, tokens: 50 }]),
                tokens: 100,
                expected_output: 0,
            }),
        });
        let actions = self.step(index, event);
        let is_sent = |action: &Action| matches!(action, Action::Send { .. });
        self.sent[index] += u32::from(actions.iter().any(is_sent));
        actions
    }

    /// Returns the time, and the tokens that a router counts as granted, read from a refusal.
    fn allocation(&mut self, index: usize) -> (u64, u64) {
        self.next += 1;
        let now = Time(self.now_ms * 1_000);
        let late = Request {
            number: self.next,
            workspace: Some("east-desk".parse().unwrap()),
            service: "llm".parse().unwrap(),
            kind: Kind::Once,
            priority: 1,
            arrived: now,
            due: now,
            deadline: now,
            max_attempts: 2,
            prompt: None,
        };
        let actions = self.step(index, Event::Arrived(late));
        let granted = actions.iter().find_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.allocation.granted),
            _ => None,
        });
        (
            self.now_ms,
            granted.expect("a request past its deadline is refused"),
        )
    }

    /// Advances the clock.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            let now = Time(self.now_ms * 1_000);
            for (from, batch) in std::mem::take(&mut self.batches) {
                for to in fleet::recipients(from, ROUTERS, &batch.recipients) {
                    self.datagrams += batch.summaries.len() as u64;
                    if self.cuts.contains(&(from, to)) {
                        continue;
                    }
                    for summary in &batch.summaries {
                        let bytes = gossip::encode(summary);
                        assert!(bytes.len() <= gossip::MAX_DATAGRAM_BYTES);
                        let decoded = gossip::decode(&bytes).unwrap();
                        assert_eq!(decoded, *summary);
                        self.step(to, Event::Summary(decoded));
                    }
                }
            }
            for index in 0..ROUTERS {
                if (self.now_ms + index as u64).is_multiple_of(SUMMARY_INTERVAL_MS) {
                    let batches = self.routers[index]
                        .as_mut()
                        .map(|r| r.summarize(now, false));
                    let batches = batches.into_iter().flatten().map(|batch| (index, batch));
                    self.batches.extend(batches);
                }
                if self.now_ms.is_multiple_of(10) {
                    self.step(index, Event::Tick);
                }
            }
        }
    }

    /// Checks that each of some routers knows the load of all of them.
    fn assert_known(&self, part: &[usize]) {
        let all: u32 = part.iter().map(|index| self.sent[*index]).sum();
        for index in part {
            let Some(router) = &self.routers[*index] else {
                continue;
            };
            let (own, others) = router.views()[&target().name];
            let seen = (own.running, own.running + others.running);
            assert_eq!(seen, (self.sent[*index], all), "at router {index}");
        }
    }
}

fn table() -> Arc<Table> {
    let limits = Limits {
        tokens_per_s: Some(1_000),
        ..Limits::default()
    };
    let mut table = Table::new(Version(1), limits, true);
    table.add_service(Service {
        name: "llm".parse().unwrap(),
        max_connections: 100_000,
        engine: Some(Engine {
            slots: 100_000,
            memory_tokens: 1_000_000_000,
        }),
    });
    Arc::new(table)
}

fn target() -> catalog::Target {
    catalog::Target {
        name: "e1".parse().unwrap(),
        started_at_ms: 1,
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d0".parse().unwrap(),
        slots: 4,
        draining: false,
        warm_up: Span(0),
    }
}

fn all() -> Vec<usize> {
    (0..ROUTERS).collect()
}

/// Returns the routers of a failure domain, leading ones first.
fn domain(index: usize) -> Vec<usize> {
    let mut routers: Vec<usize> = all();
    routers.retain(|other| fleet::domain(*other) == fleet::domain(index));
    let leads = |router: &usize| fleet::roster(*router, ROUTERS).is_leader();
    routers.sort_by_key(|router| !leads(router));
    routers
}

#[test]
fn summarize_loads_reach_all() {
    let mut net = Net::open();
    net.advance(300);
    for index in 0..ROUTERS {
        net.send_request(index);
    }
    net.advance(100);
    net.assert_known(&all());
}

#[test]
fn summarize_grows_with_the_fleet() {
    let mut net = Net::open();
    net.advance(1_000);
    let before = net.datagrams;
    for step in 0..1_000 {
        net.send_request(step % ROUTERS);
        net.advance(1);
    }
    let per_router = (net.datagrams - before) / ROUTERS as u64;
    assert!(
        per_router <= 200,
        "{per_router} datagrams per router and second"
    );
}

#[test]
fn summarize_leaders_killed() {
    let mut net = Net::open();
    net.advance(300);
    for index in 0..ROUTERS {
        net.send_request(index);
    }
    net.advance(100);
    for index in &domain(1)[..2] {
        net.kill(*index);
    }
    net.advance(3_000);
    net.assert_known(&all());
    for index in &domain(1)[..2] {
        net.start(*index);
    }
    net.advance(3_000);
    net.send_request(1);
    net.advance(200);
    net.assert_known(&all());
}

#[test]
fn summarize_domain_cut() {
    let mut net = Net::open();
    net.advance(300);
    for index in 0..ROUTERS {
        net.send_request(index);
    }
    let near = domain(2);
    let far: Vec<usize> = all().into_iter().filter(|i| !near.contains(i)).collect();
    let pairs = near.iter().flat_map(|a| far.iter().map(move |b| (*a, *b)));
    net.cuts = pairs.flat_map(|(a, b)| [(a, b), (b, a)]).collect();
    net.advance(3_000);
    net.send_request(near[0]);
    net.advance(200);
    net.assert_known(&near);
    net.assert_known(&far);
    net.cuts.clear();
    net.advance(1_000);
    net.assert_known(&all());
}

#[test]
fn summarize_usages_count_once() {
    let mut net = Net::open();
    net.advance(1_000);
    // Each request costs 100 of the 4,000 tokens in a window; 20 routers request half of them.
    for index in 0..20 {
        net.send_request(index);
        net.advance(10);
    }
    net.advance(300);
    for index in 0..ROUTERS {
        let granted: u64 = net.sent.iter().map(|sent| u64::from(*sent) * 100).sum();
        let (at, seen) = net.allocation(index);
        assert_eq!(seen, granted, "at router {index}, after {at} ms");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// After any sequence of kills, starts and cuts, all routers know all loads once the faults are
    /// over.
    #[test]
    fn summarize_after_any_faults(
        faults in prop::collection::vec((0..5_u8, 0..ROUTERS, 0..ROUTERS, 0..600_u64), 1..30)
    ) {
        let mut net = Net::open();
        net.advance(300);
        for (what, one, other, pause) in faults {
            match what {
                0 => net.kill(one),
                1 => net.start(one),
                2 => drop(net.cuts.insert((one, other))),
                3 => net.cuts.clear(),
                _ => drop(net.send_request(one)),
            }
            net.advance(pause);
        }
        net.cuts.clear();
        net.advance(4_500);
        for index in 0..ROUTERS {
            if net.routers[index].is_some() {
                net.send_request(index);
            }
        }
        net.advance(300);
        net.assert_known(&all());
    }
}
