//! Simulated fleet of owners and usage aggregators with a virtual clock, for fairness tests and
//! benchmarks.
#![allow(dead_code, unreachable_pub)]

use marlrun::{
    config, id, owner,
    unit::{Cost, Span, Time, Version, Weight},
    usage, wire,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    fmt, mem, str,
    sync::Arc,
};

/// Tokens per second that one slot serves.
pub const TOKENS_PER_SEC: u64 = 100;
/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);
const TICK_INTERVAL: Span = Span::from_millis(100);
/// One-way latency of a message.
pub const LATENCY: Span = Span::from_millis(2);
/// Time after which the failure of a router is detected.
const FAILURE_DETECTION: Span = Span::from_millis(1_000);
const SERVICE: &str = "chat";

/// Load of one workspace.
#[derive(Clone, Debug)]
pub struct Workload {
    pub weight: u32,
    /// Number of requests kept waiting.
    pub depth: u32,
    /// Mean cost in tokens.
    pub cost: u64,
    /// Ratio of the hinted to the actual cost.
    pub hint_ratio: f64,
    /// Start of the load.
    pub start: Span,
    /// Mean pause between a grant and the next request; 0 keeps the workspace backlogged.
    pub pause: Span,
    /// Fraction of the requests that go to one target; the rest is spread evenly.
    pub skew: f64,
    pub class: wire::Class,
}

impl Workload {
    /// Returns a load with `depth` long requests waiting at any time.
    pub fn backlogged(depth: u32, cost: u64) -> Self {
        Self {
            weight: 1,
            depth,
            cost,
            hint_ratio: 1.0,
            start: Span(0),
            pause: Span(0),
            skew: 0.0,
            class: wire::Class::Long,
        }
    }
}

/// Rates of faults in the exchange of reports and levels, per thousand messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Noise {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
}

/// Fault of the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A router loses its state and returns after the outage.
    Restart { node: usize, outage: Span },
    /// A partition separates the routers from `node` on from the others.
    Partition { node: usize },
    /// The partition ends.
    Heal,
}

/// Settings of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub targets: usize,
    pub slots: u32,
    /// Interval of the owners' reports.
    pub report_interval: Span,
    pub workloads: Vec<Workload>,
    pub noise: Noise,
    pub faults: Vec<(Span, Fault)>,
    /// Owners exchange levels and pull requests from each other.
    pub exchange: bool,
    /// All requests count for one workspace, so that owners serve them first in, first out.
    pub fifo: bool,
    /// Quick requests have a class of their own; otherwise all are long.
    pub distinct_classes: bool,
    /// Costs are exponentially distributed; otherwise uniformly, up to twice the mean.
    pub exponential_costs: bool,
}

impl Plan {
    pub fn new(seed: u64, nodes: usize, slots: u32, workloads: Vec<Workload>) -> Self {
        Self {
            seed,
            nodes,
            targets: nodes,
            slots,
            report_interval: Span::from_millis(500),
            workloads,
            noise: Noise::default(),
            faults: Vec::new(),
            exchange: true,
            fifo: false,
            distinct_classes: true,
            exponential_costs: false,
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Finish(u64),
    Owner(usize, wire::Message, id::Router),
    Aggregator(usize, wire::Message, id::Router),
    Ingress(wire::Message, usize),
    Report(usize),
    Heartbeat,
    Tick,
    Wake(usize),
    Progress,
    Fault(Fault),
    Restarted(usize),
    FailureDetected(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waiting,
    Running { target: usize, since: Time },
}

#[derive(Clone, Debug)]
struct Job {
    workload: usize,
    cost: u64,
    ask: wire::Ask,
    node: usize,
    arrived: Time,
    state: State,
}

struct Node {
    owner: owner::Scheduler,
    aggregator: usage::Aggregator,
    incarnation: u64,
    live: bool,
    partition: usize,
    wake: Option<Time>,
}

/// Simulated fleet.
pub struct Simulation {
    pub plan: Plan,
    pub now: Time,
    /// Waits of granted quick requests.
    pub quick_waits: Vec<Span>,
    pub refused: HashMap<wire::Reason, u64>,
    /// Tokens of finished requests, by workspace.
    finished: Vec<u64>,
    /// Slot-seconds that were free while requests waited, and all slot-seconds.
    pub idle_slot_secs: f64,
    pub total_slot_secs: f64,
    /// Longest time that a target had a free slot while requests waited anywhere.
    pub longest_idle: Span,
    /// Number of messages between routers, by kind.
    pub messages_sent: BTreeMap<&'static str, u64>,
    /// Time of each workspace's last grant, and its longest time without one.
    pub last_grants: Vec<Time>,
    pub longest_grant_gap: Vec<Span>,
    pub grants: u64,
    /// Time since which each target has had a free slot while requests waited anywhere.
    idle_since: Vec<Option<Time>>,
    last_sample: Time,
    fleet: Arc<config::Fleet>,
    nodes: Vec<Node>,
    owners: Vec<usize>,
    jobs: BTreeMap<u64, Job>,
    running: Vec<u32>,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    next_job: u64,
    rng: ChaCha8Rng,
}

pub fn name<T: str::FromStr<Err = E>, E: fmt::Debug>(text: &str) -> T {
    text.parse().unwrap()
}

fn node_name(node: usize) -> id::Router {
    name(&format!("r{node}"))
}

fn target_name(target: usize) -> id::Target {
    name(&format!("t{target}"))
}

fn index_of(text: &str) -> usize {
    text[1..].parse().unwrap()
}

/// Returns a node's weight for rendezvous hashing.
fn score(text: &str, node: usize) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes().chain(node.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ (hash >> 29)
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let workloads = plan.workloads.len();
        let fleet = fleet(&plan);
        let mut simulation = Self {
            now: Time(0),
            quick_waits: Vec::new(),
            refused: HashMap::new(),
            finished: vec![0; workloads],
            idle_slot_secs: 0.0,
            total_slot_secs: 0.0,
            longest_idle: Span(0),
            messages_sent: BTreeMap::new(),
            last_grants: vec![Time(0); workloads],
            longest_grant_gap: vec![Span(0); workloads],
            grants: 0,
            idle_since: vec![None; plan.targets],
            last_sample: Time(0),
            fleet,
            nodes: Vec::new(),
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            running: vec![0; plan.targets],
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_job: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
        };
        for node in 0..simulation.plan.nodes {
            let new_node = simulation.new_node(node, 1);
            simulation.nodes.push(new_node);
        }
        simulation.reassign_targets();
        simulation.schedule_initial();
        simulation
    }

    fn schedule_initial(&mut self) {
        for node in 0..self.plan.nodes {
            let phase = Span(self.plan.report_interval.0 * node as u64 / self.plan.nodes as u64);
            self.schedule(phase, Event::Report(node));
        }
        self.schedule(Span(0), Event::Heartbeat);
        self.schedule(TICK_INTERVAL, Event::Tick);
        self.schedule(self.plan.report_interval, Event::Progress);
        for (after, fault) in self.plan.faults.clone() {
            self.schedule(after, Event::Fault(fault));
        }
        for (workload, load) in self.plan.workloads.clone().into_iter().enumerate() {
            for round in 0..load.depth {
                let after = Span(load.start.0 + u64::from(round));
                self.schedule(after, Event::Arrive(workload));
            }
        }
    }

    fn new_node(&self, node: usize, incarnation: u64) -> Node {
        let mut owner = owner::Scheduler::new(node_name(node), id::Incarnation(incarnation));
        let mut aggregator = usage::Aggregator::new();
        let fleet = || Arc::clone(&self.fleet);
        owner.step(self.now, owner::Event::Config(fleet()), &mut Vec::new());
        aggregator.step(self.now, usage::Event::Config(fleet()), &mut Vec::new());
        Node {
            owner,
            aggregator,
            incarnation,
            live: true,
            partition: 0,
            wake: None,
        }
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.next_event += 1;
        self.heap.push(Reverse((self.now + after, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Runs for a time.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((at, key))) = self.heap.peek().copied()
            && at <= end
        {
            self.heap.pop();
            self.measure_idle(at);
            self.now = at;
            let event = self.events.remove(&key).unwrap();
            self.handle(event);
        }
        self.measure_idle(end);
        self.now = end;
    }

    /// Adds the slot time since the last event, and the part that was free while requests waited.
    fn measure_idle(&mut self, to: Time) {
        let secs = to.since(self.last_sample).as_secs_f64();
        self.last_sample = to;
        let slots = self.plan.targets as u32 * self.plan.slots;
        let busy: u32 = self.running.iter().sum();
        self.total_slot_secs += secs * f64::from(slots);
        let free = slots.saturating_sub(busy);
        let waiting = (self.jobs.len() as u32).saturating_sub(busy);
        self.idle_slot_secs += secs * f64::from(free.min(waiting));
        for (since, running) in self.idle_since.iter_mut().zip(&self.running) {
            if waiting == 0 || *running >= self.plan.slots {
                *since = None;
                continue;
            }
            let from = *since.get_or_insert(to);
            self.longest_idle = self.longest_idle.max(to.since(from));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(workload) => self.arrive(workload),
            Event::Finish(job) => self.finish(job),
            Event::Owner(node, message, from) => self.owner_message(node, message, from),
            Event::Aggregator(node, message, from) => self.aggregator_message(node, message, from),
            Event::Ingress(message, node) => self.ingress_message(message, node),
            Event::Report(node) => self.report(node),
            Event::Heartbeat => self.heartbeat(),
            Event::Tick => self.tick(),
            Event::Wake(node) => self.wake(node),
            Event::Progress => self.progress(),
            Event::Fault(fault) => self.fault(fault),
            Event::Restarted(node) => self.restart(node),
            Event::FailureDetected(node) => self.detect_failure(node),
        }
    }

    fn arrive(&mut self, workload: usize) {
        let load = self.plan.workloads[workload].clone();
        self.next_job += 1;
        let fraction = self.random_fraction();
        let cost = match self.plan.exponential_costs {
            true => -(1.0 - fraction).ln() * load.cost as f64,
            false => fraction * 2.0 * load.cost as f64,
        };
        let cost = (cost as u64).clamp(1, load.cost * 8);
        let target = match self.random_fraction() < load.skew {
            true => workload % self.plan.targets,
            false => self.random_below(self.plan.targets as u64) as usize,
        };
        let workspace = match self.plan.fifo {
            true => "w0".to_string(),
            false => format!("w{workload}"),
        };
        let ask = wire::Ask {
            attempt: id::Attempt {
                incarnation: id::Incarnation(1),
                sequence: self.next_job,
            },
            workspace: name(&workspace),
            service: name(SERVICE),
            target: target_name(target),
            class: if self.plan.distinct_classes {
                load.class
            } else {
                wire::Class::Long
            },
            estimate: Cost(((cost as f64 * load.hint_ratio) as u64).max(1)),
            waited: Span(0),
            remaining: Span::from_secs(100_000),
            hops: 0,
        };
        let job = Job {
            workload,
            cost,
            ask,
            node: self.owners[target],
            arrived: self.now,
            state: State::Waiting,
        };
        self.jobs.insert(self.next_job, job);
        self.send_ask(self.next_job);
    }

    fn send_ask(&mut self, key: u64) {
        let job = self.jobs.get_mut(&key).unwrap();
        job.node = self.owners[index_of(job.ask.target.as_str())];
        let mut ask = job.ask.clone();
        ask.waited = self.now.since(job.arrived);
        let node = job.node;
        self.send_to_owner(node, wire::Message::Ask(ask));
    }

    fn send_to_owner(&mut self, node: usize, message: wire::Message) {
        self.schedule(LATENCY, Event::Owner(node, message, name("i0")));
    }

    fn finish(&mut self, key: u64) {
        let Some(job) = self.jobs.remove(&key) else {
            return;
        };
        let State::Running { target, .. } = job.state else {
            panic!("finished job {key} was not running");
        };
        self.running[target] -= 1;
        self.finished[job.workload] += job.cost;
        let node = self.owners[target];
        self.send_to_owner(
            node,
            wire::Message::Done {
                attempt: job.ask.attempt,
                target: target_name(target),
                cost: Cost(job.cost),
                outcome: wire::Outcome::Answered,
            },
        );
    }

    fn owner_message(&mut self, node: usize, message: wire::Message, from: id::Router) {
        if !self.nodes[node].live {
            return;
        }
        let event = match message {
            wire::Message::Ask(ask) => owner::Event::Ask { from, ask },
            wire::Message::Held { ask, cost } => owner::Event::Held { from, ask, cost },
            wire::Message::Progress(costs) => owner::Event::Progress { from, costs },
            wire::Message::Levels(levels) => owner::Event::Levels(levels),
            wire::Message::Done {
                attempt,
                target,
                cost,
                outcome,
            } => owner::Event::Done {
                from,
                attempt,
                target,
                cost,
                outcome,
            },
            wire::Message::Pull {
                service,
                target,
                free,
            } => owner::Event::Pull {
                from,
                service,
                target,
                free,
            },
            other => panic!("unexpected message to an owner: {other:?}"),
        };
        self.step(node, event);
    }

    fn aggregator_message(&mut self, node: usize, message: wire::Message, from: id::Router) {
        if !self.nodes[node].live {
            return;
        }
        let wire::Message::Report(report) = message else {
            panic!("unexpected message to an aggregator: {message:?}");
        };
        let mut out = Vec::new();
        let event = usage::Event::Report { from, report };
        self.nodes[node].aggregator.step(self.now, event, &mut out);
        self.route(node, out);
    }

    fn step(&mut self, node: usize, event: owner::Event) {
        let mut out = Vec::new();
        self.nodes[node].owner.step(self.now, event, &mut out);
        self.route(node, out);
        let wake = self.nodes[node].owner.wake_at();
        if let Some(at) = wake.filter(|_| wake != self.nodes[node].wake) {
            self.schedule(at.since(self.now), Event::Wake(node));
        }
        self.nodes[node].wake = wake;
    }

    fn wake(&mut self, node: usize) {
        if self.nodes[node].live {
            self.step(node, owner::Event::Tick);
        }
    }

    /// Delivers messages; those between partitions are lost.
    fn route(&mut self, from: usize, messages: Vec<wire::Envelope>) {
        for envelope in messages {
            let to = envelope.to.as_str();
            if to == "i0" {
                self.schedule(LATENCY, Event::Ingress(envelope.message, from));
                continue;
            }
            let to = index_of(to);
            if self.nodes[to].partition != self.nodes[from].partition {
                continue;
            }
            let message = envelope.message;
            let kind = match &message {
                wire::Message::Report(_) => "report",
                wire::Message::Levels(_) => "levels",
                _ => "pull",
            };
            *self.messages_sent.entry(kind).or_default() += 1;
            let event = match &message {
                wire::Message::Report(_) => Event::Aggregator(to, message, node_name(from)),
                _ => Event::Owner(to, message, node_name(from)),
            };
            self.deliver(event, kind != "pull");
        }
    }

    fn deliver(&mut self, event: Event, noisy: bool) {
        let noise = self.plan.noise;
        if noisy && self.random_below(1_000) < u64::from(noise.lost) {
            return;
        }
        if noisy && self.random_below(1_000) < u64::from(noise.duplicated) {
            let after = self.random_below(self.plan.report_interval.0 * 2);
            self.schedule(Span(after), event.clone());
        }
        let late = noisy && self.random_below(1_000) < u64::from(noise.delayed);
        let after = match late {
            true => Span(self.random_below(self.plan.report_interval.0 * 3)),
            false => LATENCY,
        };
        self.schedule(after, event);
    }

    fn ingress_message(&mut self, message: wire::Message, node: usize) {
        match message {
            wire::Message::Grant { attempt, target } => {
                self.start_job(attempt.sequence, index_of(target.as_str()), node);
            }
            wire::Message::Move { attempt, target } => {
                let Some(job) = self.jobs.get_mut(&attempt.sequence) else {
                    return;
                };
                if job.state == State::Waiting {
                    job.ask.target = target;
                    job.ask.hops += 1;
                    self.send_ask(attempt.sequence);
                }
            }
            wire::Message::Refuse { attempt, refusal } => {
                *self.refused.entry(refusal.reason).or_default() += 1;
                let Some(job) = self.jobs.get(&attempt.sequence) else {
                    return;
                };
                if refusal.reason == wire::Reason::NotOwner {
                    self.send_ask(attempt.sequence);
                    return;
                }
                let workload = job.workload;
                self.jobs.remove(&attempt.sequence);
                self.schedule(refusal.retry_after, Event::Arrive(workload));
            }
            other => panic!("unexpected message to an ingress: {other:?}"),
        }
    }

    fn start_job(&mut self, key: u64, target: usize, node: usize) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.state != State::Waiting || job.node != node {
            return;
        }
        let since = now;
        job.state = State::Running { target, since };
        let wait = now.since(job.arrived);
        let (workload, cost) = (job.workload, job.cost);
        self.running[target] += 1;
        self.grants += 1;
        if self.plan.workloads[workload].class == wire::Class::Quick {
            self.quick_waits.push(wait);
        }
        let from = self.last_grants[workload].max(Time(self.plan.workloads[workload].start.0));
        self.longest_grant_gap[workload] = self.longest_grant_gap[workload].max(now.since(from));
        self.last_grants[workload] = now;
        let pause = self.plan.workloads[workload].pause;
        let pause = Span(pause.0 / 2 + self.random_below(pause.0));
        self.schedule(Span(cost * 1_000_000 / TOKENS_PER_SEC), Event::Finish(key));
        self.schedule(pause, Event::Arrive(workload));
    }

    fn report(&mut self, node: usize) {
        self.schedule(self.plan.report_interval, Event::Report(node));
        if !self.nodes[node].live || !self.plan.exchange {
            return;
        }
        let partition = self.nodes[node].partition;
        let live: Vec<_> = self.live(partition);
        let placement = |workspace: &id::Workspace| {
            let best = live.iter().max_by_key(|n| score(workspace.as_str(), **n));
            best.map(|n| node_name(*n))
        };
        let reports = self.nodes[node].owner.reports(self.now, &placement);
        self.route(node, reports);
    }

    fn live(&self, partition: usize) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(_, node)| node.live && node.partition == partition);
        live.map(|(index, _)| index).collect()
    }

    fn heartbeat(&mut self) {
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat);
        if !self.plan.exchange {
            return;
        }
        let peers: Vec<_> = self.nodes.iter().enumerate().map(peer).collect();
        for node in 0..self.nodes.len() {
            let live = self.live(self.nodes[node].partition);
            let seen: Vec<_> = live.iter().map(|n| peers[*n].clone()).collect();
            let floors = lowest(&seen);
            self.step(node, owner::Event::Peers(seen));
            let event = usage::Event::Floors(floors);
            let aggregator = &mut self.nodes[node].aggregator;
            aggregator.step(self.now, event, &mut Vec::new());
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_INTERVAL, Event::Tick);
        for node in 0..self.nodes.len() {
            if self.nodes[node].live {
                self.step(node, owner::Event::Tick);
                let aggregator = &mut self.nodes[node].aggregator;
                aggregator.step(self.now, usage::Event::Tick, &mut Vec::new());
            }
        }
    }

    fn progress(&mut self) {
        self.schedule(self.plan.report_interval, Event::Progress);
        let mut costs: BTreeMap<usize, Vec<(id::Attempt, Cost)>> = BTreeMap::new();
        for job in self.jobs.values() {
            if let State::Running { target, since } = job.state {
                let cost = self.progress_of(job, since);
                let costs = costs.entry(self.owners[target]).or_default();
                costs.push((job.ask.attempt, Cost(cost)));
            }
        }
        for (node, costs) in costs {
            self.send_to_owner(node, wire::Message::Progress(costs));
        }
    }

    fn progress_of(&self, job: &Job, since: Time) -> u64 {
        let tokens = self.now.since(since).0 * TOKENS_PER_SEC / 1_000_000;
        tokens.min(job.cost)
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Restart { node, outage } => {
                self.nodes[node].live = false;
                self.schedule(FAILURE_DETECTION.min(outage), Event::FailureDetected(node));
                self.schedule(outage, Event::Restarted(node));
            }
            Fault::Partition { node } => {
                for (index, other) in self.nodes.iter_mut().enumerate() {
                    other.partition = usize::from(index >= node);
                }
            }
            Fault::Heal => self.nodes.iter_mut().for_each(|node| node.partition = 0),
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let partition = self.nodes[node].partition;
        self.nodes[node] = self.new_node(node, incarnation);
        self.nodes[node].partition = partition;
        self.reassign_targets();
    }

    fn detect_failure(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            let event = usage::Event::RouterLost(node_name(node));
            let aggregator = &mut self.nodes[other].aggregator;
            aggregator.step(self.now, event, &mut Vec::new());
        }
        self.reassign_targets();
    }

    /// Assigns an owner to every target; a dead router's targets go to others.
    fn reassign_targets(&mut self) {
        let old = mem::take(&mut self.owners);
        self.owners = (0..self.plan.targets).map(|t| self.owner_of(t)).collect();
        for node in 0..self.nodes.len() {
            let owned = (0..self.plan.targets).filter(|t| self.owners[*t] == node);
            let owned = owned.map(target_name).collect();
            if self.nodes[node].live {
                self.step(node, owner::Event::Owned(owned));
            }
        }
        let keys: Vec<_> = self.jobs.keys().copied().collect();
        for key in keys {
            self.repeat_to_owner(key, &old);
        }
    }

    /// Repeats a request to the new owner of its target.
    fn repeat_to_owner(&mut self, key: u64, old: &[usize]) {
        let job = &self.jobs[&key];
        match job.state {
            State::Waiting => {
                let target = index_of(job.ask.target.as_str());
                let moved = old.get(target) != Some(&self.owners[target]);
                if moved || !self.nodes[job.node].live {
                    self.withdraw(key);
                    self.send_ask(key);
                }
            }
            State::Running { target, since } => {
                if old.get(target) == Some(&self.owners[target]) {
                    return;
                }
                let cost = Cost(self.progress_of(job, since));
                let mut ask = job.ask.clone();
                ask.target = target_name(target);
                let node = self.owners[target];
                self.send_to_owner(node, wire::Message::Held { ask, cost });
            }
        }
    }

    fn withdraw(&mut self, key: u64) {
        let job = &self.jobs[&key];
        let (node, attempt) = (job.node, job.ask.attempt);
        if self.nodes[node].live {
            let from = name("i0");
            self.step(node, owner::Event::Withdraw { from, attempt });
        }
    }

    fn owner_of(&self, target: usize) -> usize {
        let home = target % self.plan.nodes;
        if self.nodes[home].live {
            return home;
        }
        let live = self.live(self.nodes[home].partition);
        let text = format!("t{target}");
        let best = live.into_iter().max_by_key(|n| score(&text, *n));
        best.unwrap_or(home)
    }

    /// Returns the service of each workspace per unit of weight, in tokens.
    pub fn served(&self) -> Vec<f64> {
        let mut served: Vec<f64> = self.finished.iter().map(|cost| *cost as f64).collect();
        for job in self.jobs.values() {
            if let State::Running { since, .. } = job.state {
                served[job.workload] += self.progress_of(job, since) as f64;
            }
        }
        let workloads = self.plan.workloads.iter();
        let pairs = served.iter().zip(workloads);
        pairs
            .map(|(served, workload)| served / f64::from(workload.weight))
            .collect()
    }

    /// Returns the workspaces that have waiting requests.
    pub fn backlogged(&self) -> BTreeSet<usize> {
        let jobs = self.jobs.values();
        let waiting = jobs.filter(|job| job.state == State::Waiting);
        waiting.map(|job| job.workload).collect()
    }

    /// Returns the number of requests that wait or run.
    pub fn pending(&self) -> usize {
        self.jobs.len()
    }
}

fn peer((index, node): (usize, &Node)) -> owner::Peer {
    owner::Peer {
        router: node_name(index),
        loads: node.owner.loads(),
        floors: node.owner.floors(),
    }
}

fn lowest(peers: &[owner::Peer]) -> Vec<(id::Service, u64)> {
    let mut floors = BTreeMap::new();
    for (service, floor) in peers.iter().flat_map(|peer| &peer.floors) {
        let entry = floors.entry(service.clone()).or_insert(*floor);
        *entry = (*entry).min(*floor);
    }
    floors.into_iter().collect()
}

fn fleet(plan: &Plan) -> Arc<config::Fleet> {
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
        timeout: Span::from_secs(600),
        max_waiting: if plan.fifo { 100_000 } else { 1_000 },
        engine: config::Engine::default(),
    };
    fleet.services.insert(name(SERVICE), Arc::new(service));
    for index in 0..plan.targets {
        let target = config::Target {
            name: target_name(index),
            service: name(SERVICE),
            domain: name("vake"),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: plan.slots,
        };
        fleet.targets.insert(target.name.clone(), Arc::new(target));
    }
    for (index, workload) in plan.workloads.iter().enumerate() {
        let workspace = config::Workspace {
            name: name(&format!("w{index}")),
            weight: Weight::new(workload.weight).unwrap(),
        };
        let key = workspace.name.clone();
        fleet.workspaces.insert(key, Arc::new(workspace));
    }
    Arc::new(fleet)
}
