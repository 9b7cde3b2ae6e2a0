//! Simulation of targets that crash under a part of prompts, around the dispatchers of several routers, on a
//! virtual clock.

mod fleet;

use marlrun::{
    catalog,
    dispatch::{
        Action, Batch, Dispatcher, Event, Outcome, Part, Prompt, Reason, Request, Settings,
    },
    gateway, gossip, id,
    routing::{Engine, Kind, Limits, Service, Table},
    unit::{Span, Time, Version},
};
use proptest::prelude::*;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// `stability-window-ms` of the users' deployments, and their bounds.
const STABILITY_WINDOW_MS: u64 = 3_000;
const MAX_CRASHES: usize = 5;
const MAX_LATER: usize = 3;
/// Parts that sound requests share: common ones, and ones that a request has now and then.
const COMMON_PARTS: u64 = 8;
const RARE_PARTS: u64 = 700;
/// First part that callers change to.
const NEW_PART: u64 = 500;
/// Identifiers of fatal parts begin here.
const FATAL: u64 = 1_000_000;
/// Time from the first event to the crash, and for which a target is gone.
const CRASH_AFTER_MS: u64 = 100;
const DOWN_MS: u64 = 3_300;
const START_MS: u64 = 3_000;
const LENGTH_MS: u64 = 33_000;
/// Number of requests from which the users count how many begin.
const MIN_COUNTED: usize = 20;

/// What happens besides sound requests.
#[derive(Clone, Debug)]
struct Trouble {
    routers: usize,
    targets: usize,
    /// Sound requests per second.
    requests_per_s: u64,
    seed: u64,
    /// Fatal parts.
    parts: u64,
    /// Mean time between two requests with a fatal part.
    gap_ms: u64,
    attempts: u32,
    /// Targets crash before the first event.
    early: bool,
    /// Callers of requests with a fatal part leave before they crash a target, one in so many; 0 for none.
    leave_every: u64,
    /// Mean time between two crashes without a cause; 0 for none.
    plain_gap_ms: u64,
    /// Mean time between two lost answers, whose targets live on; 0 for none.
    lost_gap_ms: u64,
    /// Mean time between two kills of a router; 0 for none.
    kill_gap_ms: u64,
    /// Percentage of the sound requests that change to a new first part at [`START_MS`], with which all requests with a
    /// fatal part begin; 0 for none.
    changed_percent: u64,
    /// Time at which targets of another build are listed, and their number.
    next_build: (u64, usize),
    /// Requests that a target runs at a time.
    slots: u32,
    /// Percentage of the requests with a fatal part that arrive at the first router; the others arrive at any.
    first_router_percent: u64,
}

struct Job {
    router: usize,
    run: u64,
    fatal: Option<u64>,
    /// It has the new first part.
    is_new: bool,
    target: Option<usize>,
    /// Increases with each attempt, so that what an earlier one does is ignored.
    attempt: u32,
    at: u64,
}

/// What a target does at a time: first event, crash, end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    First,
    Leave,
    Crash,
    End,
    Refuse,
}

struct Simulation {
    trouble: Trouble,
    routers: Vec<Option<Dispatcher>>,
    runs: Vec<u64>,
    /// Time at which each router's clock began.
    clocks_ms: Vec<u64>,
    next_summary: Vec<u64>,
    batches: Vec<(usize, Batch)>,
    starts: Vec<u64>,
    /// Time until which each target is gone.
    down: Vec<u64>,
    jobs: HashMap<u64, Job>,
    steps: BTreeMap<(u64, u64, Step), (usize, u32)>,
    random: ChaCha8Rng,
    now_ms: u64,
    next: u64,
    crashes: Vec<u64>,
    /// Crashes under each fatal part, and arrivals of requests with it at targets.
    fatal_crashes: BTreeMap<u64, Vec<u64>>,
    arrivals: BTreeMap<u64, Vec<u64>>,
    /// Sound requests: time, whether they began at the first attempt, and whether they have the new first part.
    sound: Vec<(u64, bool, bool)>,
    held: BTreeSet<u64>,
}

impl Simulation {
    fn open(trouble: Trouble) -> Self {
        let count = trouble.routers;
        let mut simulation = Self {
            routers: (0..count).map(|_| None).collect(),
            runs: vec![0; count],
            clocks_ms: vec![0; count],
            next_summary: (0..count as u64).map(|index| 1 + index % 20).collect(),
            batches: Vec::new(),
            starts: vec![1; trouble.targets + trouble.next_build.1],
            down: vec![0; trouble.targets + trouble.next_build.1],
            jobs: HashMap::new(),
            steps: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(trouble.seed),
            now_ms: 0,
            next: 0,
            crashes: Vec::new(),
            fatal_crashes: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            sound: Vec::new(),
            held: BTreeSet::new(),
            trouble,
        };
        (0..count).for_each(|index| simulation.start(index));
        simulation
    }

    fn start(&mut self, index: usize) {
        self.runs[index] += 1;
        self.clocks_ms[index] = self.now_ms;
        let incarnation = id::Incarnation(self.runs[index]);
        let settings = Settings::new(fleet::name(index), incarnation, fleet::domain(index));
        self.routers[index] = Some(Dispatcher::open(settings));
        self.step(index, Event::Routing(table(self.trouble.slots)));
        self.list_targets(index);
        let roster = fleet::roster(index, self.routers.len());
        self.step(index, fleet::event(&roster));
    }

    /// Returns the time by a router's clock, which begins at its start.
    fn time(&self, router: usize) -> Time {
        Time((self.now_ms - self.clocks_ms[router]) * 1_000)
    }

    fn list_targets(&mut self, router: usize) {
        let (joins, count) = self.trouble.next_build;
        let listed = self.trouble.targets + if self.now_ms >= joins { count } else { 0 };
        let targets = (0..listed).map(|index| {
            let build = if index < self.trouble.targets {
                "v1"
            } else {
                "v2"
            };
            target(index, self.starts[index], build)
        });
        let targets = targets.map(|target| (target.name.clone(), target));
        self.step(router, Event::Targets(targets.collect()));
    }

    fn below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    /// Draws whether something happens in this millisecond.
    fn happens(&mut self, gap_ms: u64) -> bool {
        gap_ms > 0 && self.now_ms >= START_MS && self.below(gap_ms) == 0
    }

    fn run(&mut self) {
        while self.now_ms < LENGTH_MS {
            self.now_ms += 1;
            if self.below(1_000) < self.trouble.requests_per_s {
                self.send_request(None);
            }
            if self.happens(self.trouble.gap_ms) {
                let part = FATAL + self.below(self.trouble.parts);
                self.send_request(Some(part));
            }
            if self.happens(self.trouble.plain_gap_ms) {
                let target = self.below(self.trouble.targets as u64) as usize;
                self.crash(target);
            }
            if self.happens(self.trouble.lost_gap_ms) {
                self.lose_answer();
            }
            if self.happens(self.trouble.kill_gap_ms) {
                let index = self.below(self.routers.len() as u64) as usize;
                self.start(index);
                let run = self.runs[index];
                self.jobs
                    .retain(|_, job| job.router != index || job.run == run);
            }
            self.advance_targets();
            self.exchange();
        }
    }

    fn send_request(&mut self, fatal: Option<u64>) {
        self.next += 1;
        let number = self.next;
        let percent = self.trouble.first_router_percent;
        let is_at_first = fatal.is_some() && percent > 0 && self.below(100) < percent;
        let routers = if is_at_first { 1 } else { self.routers.len() };
        let router = self.below(routers as u64) as usize;
        let common = 1 + self.below(COMMON_PARTS);
        let rare = 1_000 + self.below(RARE_PARTS);
        let is_changed = self.below(100) < self.trouble.changed_percent;
        let is_new = self.now_ms >= START_MS && is_changed
            || self.trouble.changed_percent > 0 && fatal.is_some();
        let mut ids = vec![if is_new { NEW_PART } else { common }, rare];
        if let Some(part) = fatal {
            let first = u64::from(is_new);
            let at = first + self.below(3 - first);
            ids.insert(at as usize, part);
        }
        ids.push((1 << 32) + number);
        let parts = ids.iter().map(|&id| Part { id, tokens: 100 });
        let now = self.time(router);
        let is_resumable = self.below(2) == 0;
        let request = Request {
            number,
            workspace: None,
            service: "llm".parse().unwrap(),
            kind: Kind::Stream {
                resumable: is_resumable,
            },
            priority: 1,
            arrived: now,
            due: now + Span::from_millis(400),
            deadline: now + Span::from_secs(10),
            max_attempts: self.trouble.attempts,
            build: None,
            regions: None,
            stream: None,
            resumption: None,
            prompt: Some(Prompt {
                parts: parts.collect(),
                tokens: 100 * ids.len() as u32,
                expected_output: 50,
            }),
        };
        let run = self.runs[router];
        let (target, attempt, at) = (None, 0, self.now_ms);
        let job = Job {
            router,
            run,
            fatal,
            is_new,
            target,
            attempt,
            at,
        };
        self.jobs.insert(number, job);
        self.step(router, Event::Arrived(request));
    }

    fn step(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.time(router);
        if let Some(dispatcher) = &mut self.routers[router] {
            dispatcher.step(now, event, &mut out);
        }
        for action in out {
            self.act(router, action);
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Send {
                number, estimate, ..
            } => {
                let index: usize = estimate.target.as_str()[1..].parse().unwrap();
                let now_ms = self.now_ms;
                let first = now_ms + 40 + self.below(60);
                let lasts = 100 + self.below(1_500);
                let Some(job) = self.jobs.get_mut(&number) else {
                    return;
                };
                job.attempt += 1;
                job.target = Some(index);
                let attempt = job.attempt;
                if now_ms < self.down[index] {
                    self.steps
                        .insert((now_ms + 1, number, Step::Refuse), (index, attempt));
                    return;
                }
                let Some(part) = job.fatal else {
                    self.steps
                        .insert((first, number, Step::First), (index, attempt));
                    self.steps
                        .insert((first + lasts, number, Step::End), (index, attempt));
                    return;
                };
                self.arrivals.entry(part).or_default().push(now_ms);
                if !self.trouble.early {
                    self.steps
                        .insert((first, number, Step::First), (index, attempt));
                }
                let leave_every = self.trouble.leave_every;
                if leave_every > 0 && self.below(leave_every) == 0 {
                    let leave = first + CRASH_AFTER_MS / 2;
                    self.steps
                        .insert((leave, number, Step::Leave), (index, attempt));
                    return;
                }
                let crash = first + CRASH_AFTER_MS;
                self.steps
                    .insert((crash, number, Step::Crash), (index, attempt));
            }
            Action::Refuse { number, refusal } => {
                let job = self.jobs.remove(&number);
                if let Some(job) = job.filter(|job| job.fatal.is_none() && job.attempt == 0) {
                    self.sound.push((job.at, false, job.is_new));
                    assert!(refusal.reason != Reason::Hazard || !self.held.is_empty());
                }
                self.step(router, Event::Closed { number });
            }
            Action::PartHeld { part, .. } => {
                self.held.insert(part);
            }
            _ => {}
        }
    }

    fn advance_targets(&mut self) {
        let (joins, count) = self.trouble.next_build;
        if count > 0 && self.now_ms == joins {
            (0..self.routers.len()).for_each(|router| self.list_targets(router));
        }
        for index in 0..self.down.len() {
            if self.down[index] == self.now_ms {
                self.starts[index] = self.now_ms;
                (0..self.routers.len()).for_each(|router| self.list_targets(router));
            }
        }
        while let Some((&(at, number, step), _)) = self.steps.first_key_value()
            && at <= self.now_ms
        {
            let (target, attempt) = self.steps.remove(&(at, number, step)).unwrap();
            let Some(job) = self.jobs.get(&number) else {
                continue;
            };
            if job.attempt != attempt || job.target != Some(target) {
                continue;
            }
            let (router, fatal, sent, is_new) = (job.router, job.fatal, job.at, job.is_new);
            match step {
                Step::First => {
                    if fatal.is_none() && attempt == 1 {
                        self.sound.push((sent, true, is_new));
                    }
                    self.step(router, Event::ResponseStarted { number });
                }
                Step::Leave => {
                    self.jobs.remove(&number);
                    self.step(router, Event::Closed { number });
                }
                Step::Crash => {
                    let part = fatal.unwrap();
                    self.fatal_crashes
                        .entry(part)
                        .or_default()
                        .push(self.now_ms);
                    self.crash(target);
                }
                Step::End | Step::Refuse => {
                    let ended = step == Step::End;
                    if ended {
                        self.jobs.remove(&number);
                    }
                    let outcome = if ended {
                        Outcome::Answered
                    } else {
                        Outcome::Unsent
                    };
                    let can_retry = !ended;
                    self.step(
                        router,
                        Event::Ended {
                            number,
                            outcome,
                            can_retry,
                        },
                    );
                }
            }
        }
    }

    /// Ends the connection of one request.
    fn lose_answer(&mut self) {
        let running = self.jobs.iter().filter(|(_, job)| job.target.is_some());
        let mut running: Vec<u64> = running.map(|(number, _)| *number).collect();
        running.sort_unstable();
        if running.is_empty() {
            return;
        }
        let index = self.below(running.len() as u64) as usize;
        let number = running[index];
        let job = self.jobs.get_mut(&number).unwrap();
        job.target = None;
        let (router, outcome, can_retry) = (job.router, Outcome::Broken, true);
        self.step(
            router,
            Event::Ended {
                number,
                outcome,
                can_retry,
            },
        );
    }

    /// Crashes a target: all its requests break in the same moment.
    fn crash(&mut self, target: usize) {
        if self.now_ms < self.down[target] {
            return;
        }
        self.crashes.push(self.now_ms);
        self.down[target] = self.now_ms + DOWN_MS;
        let mut broken: Vec<(u64, usize)> = Vec::new();
        for (number, job) in &mut self.jobs {
            if job.target == Some(target) {
                job.target = None;
                broken.push((*number, job.router));
            }
        }
        broken.sort_unstable();
        for (number, router) in broken {
            let (outcome, can_retry) = (Outcome::Broken, true);
            self.step(
                router,
                Event::Ended {
                    number,
                    outcome,
                    can_retry,
                },
            );
        }
    }

    fn exchange(&mut self) {
        for (from, batch) in std::mem::take(&mut self.batches) {
            for to in fleet::recipients(from, self.routers.len(), &batch.recipients) {
                for summary in &batch.summaries {
                    let bytes = gossip::encode(summary);
                    assert!(bytes.len() <= gossip::MAX_DATAGRAM_BYTES, "{}", bytes.len());
                    let summary = gossip::decode(&bytes).unwrap();
                    self.step(to, Event::Summary(summary));
                }
            }
        }
        for index in 0..self.routers.len() {
            if self.now_ms >= self.next_summary[index] {
                let now = self.time(index);
                let router = self.routers[index].as_mut();
                let batches = router.map(|router| router.summarize(now, false));
                let batches = batches.unwrap_or_default();
                let sent = batches
                    .iter()
                    .map(|b| b.recipients.len() * b.summaries.len());
                let sent = sent.sum::<usize>() as u64;
                let is_large = fleet::roster(index, self.routers.len()).is_large();
                let interval = gateway::summary_interval(sent, is_large).as_millis();
                self.next_summary[index] = self.now_ms + interval;
                self.batches
                    .extend(batches.into_iter().map(|batch| (index, batch)));
            }
            if self.now_ms.is_multiple_of(10) {
                self.step(index, Event::Tick);
            }
        }
    }

    fn begun(&self, from: u64, to: u64) -> f64 {
        self.begun_with(from, to, |_| true)
    }

    /// The same of the requests that have the new first part, or don't.
    fn begun_with(&self, from: u64, to: u64, counts: impl Fn(bool) -> bool) -> f64 {
        let sent = self.sound.iter();
        let sent = sent.filter(|(at, _, is_new)| (from..to).contains(at) && counts(*is_new));
        let begun = sent.clone().filter(|(_, begun, _)| *begun).count();
        begun as f64 / sent.count().max(1) as f64
    }

    /// Returns the fraction of the requests with the new first part that begin once the fatal part is known, until the
    /// worst moment.
    fn begun_with_new_part(&self) -> f64 {
        let crashes = self.fatal_crashes.values().flatten().copied();
        let crashes: BTreeSet<u64> = crashes.collect();
        let known = crashes
            .iter()
            .take(MAX_CRASHES)
            .max()
            .expect("targets crashed");
        let from = known + 2 * STABILITY_WINDOW_MS;
        let sent = |to| {
            let sent = self.sound.iter();
            sent.filter(|(at, _, is_new)| (from..to).contains(at) && *is_new)
                .count()
        };
        let ends = (from..=LENGTH_MS).step_by(500);
        let ends = ends.filter(|to| sent(*to) >= MIN_COUNTED);
        let begun = ends.map(|to| self.begun_with(from, to, |is_new| is_new));
        begun.fold(1.0, f64::min)
    }

    /// Checks the bounds that the users state.
    fn check(&self) {
        for (part, crashes) in &self.fatal_crashes {
            let arrivals = &self.arrivals[part];
            let Some(known) = crashes.get(MAX_CRASHES - 1) else {
                continue;
            };
            let later = arrivals
                .iter()
                .filter(|at| **at > known + STABILITY_WINDOW_MS);
            let later = later.count();
            assert!(
                later <= MAX_LATER,
                "{later} requests with {part:x} reached targets later than {known} ms, after crashes at {crashes:?}"
            );
        }
        if let Some(first) = self.fatal_crashes.values().flatten().min() {
            let before = self.begun(0, START_MS);
            let after = self.begun(first + 2 * STABILITY_WINDOW_MS, LENGTH_MS);
            assert!(
                after * 2.0 >= before,
                "{after} of the sound requests begin, {before} before"
            );
        }
    }
}

fn table(slots: u32) -> Arc<Table> {
    let mut table = Table::new(Version(1), Limits::default(), true);
    table.add_service(Service {
        name: "llm".parse().unwrap(),
        max_connections: 100_000,
        engine: Some(Engine {
            slots,
            memory_tokens: 10_000_000,
            ..Engine::default()
        }),
        health_path: None,
        warm_up: None,
    });
    Arc::new(table)
}

fn target(index: usize, started_at_ms: u64, build: &str) -> catalog::Target {
    catalog::Target {
        name: format!("e{index}").parse().unwrap(),
        started_at_ms,
        service: "llm".parse().unwrap(),
        build: build.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d0".parse().unwrap(),
        slots: 64,
        draining: false,
        warm_up: Span(0),
    }
}

const NONE: Trouble = Trouble {
    routers: 7,
    targets: 12,
    requests_per_s: 250,
    seed: 1,
    parts: 1,
    gap_ms: 0,
    attempts: 2,
    early: false,
    leave_every: 0,
    plain_gap_ms: 0,
    lost_gap_ms: 0,
    kill_gap_ms: 0,
    changed_percent: 0,
    next_build: (0, 0),
    slots: 1_000,
    first_router_percent: 0,
};

fn play(trouble: Trouble) -> Simulation {
    let mut simulation = Simulation::open(trouble);
    simulation.run();
    simulation
}

#[test]
fn fatal_part_is_held_back_by_seven_routers() {
    let simulation = play(Trouble {
        gap_ms: 400,
        ..NONE
    });
    simulation.check();
    assert!(simulation.held.contains(&FATAL));
}

/// One request in three seconds on average, at any router, and never a second attempt.
#[test]
fn fatal_part_is_held_back_if_requests_are_rare() {
    let simulation = play(Trouble {
        gap_ms: 3_000,
        attempts: 1,
        ..NONE
    });
    simulation.check();
    assert!(simulation.held.contains(&FATAL));
}

#[test]
fn fatal_part_is_held_back_by_eighty_routers() {
    let simulation = play(Trouble {
        routers: 80,
        gap_ms: 300,
        ..NONE
    });
    simulation.check();
    assert!(simulation.held.contains(&FATAL));
}

/// Guards against trials without end where most requests of a router have the part.
#[test]
fn fatal_part_of_most_requests_is_held_back() {
    const REQUESTS_PER_S: u64 = 40;
    for percent in [5, 27, 50, 70, 95] {
        for (routers, first_router_percent) in [(1, 0), (3, 0), (3, 60), (16, 0), (16, 50)] {
            for parts in [1, 2] {
                let simulation = play(Trouble {
                    routers,
                    requests_per_s: REQUESTS_PER_S * (100 - percent) / 100,
                    gap_ms: 100_000 / (REQUESTS_PER_S * percent),
                    parts,
                    first_router_percent,
                    ..NONE
                });
                eprintln!("{percent} % of the requests, {routers} routers, {parts} parts");
                simulation.check();
                for part in simulation.fatal_crashes.keys() {
                    let crashes = simulation.fatal_crashes[part].len();
                    let is_held = simulation.held.contains(part);
                    assert!(
                        is_held || crashes < MAX_CRASHES,
                        "{part:x}: {crashes} crashes"
                    );
                }
            }
        }
    }
}

/// A target that drops a request whose caller leaves does not crash, but has not answered it either.
#[test]
fn fatal_part_is_held_back_although_callers_leave() {
    let simulation = play(Trouble {
        gap_ms: 300,
        attempts: 1,
        leave_every: 2,
        ..NONE
    });
    simulation.check();
    assert!(simulation.held.contains(&FATAL));
}

/// Plays a part that callers change to, beside a fatal part, in small services; returns those in which less than half of
/// its requests begin.
fn held_back(next_builds: &[(u64, usize)], percentages: &[u64]) -> Vec<String> {
    let mut held_back = Vec::new();
    for (seed, next_build) in next_builds
        .iter()
        .flat_map(|b| (1..=2).map(move |s| (s, *b)))
    {
        for (routers, percent) in [2, 7, 20]
            .into_iter()
            .flat_map(|r| percentages.iter().map(move |p| (r, *p)))
        {
            let simulation = play(Trouble {
                routers,
                targets: 3,
                requests_per_s: 40,
                seed,
                gap_ms: 300,
                changed_percent: percent,
                next_build,
                slots: 12,
                ..NONE
            });
            let begun = simulation.begun_with_new_part();
            if begun < 0.5 {
                held_back.push(format!("{begun:.2}: {routers} routers, {percent} % of the requests, {next_build:?}, seed {seed}"));
            }
        }
    }
    held_back
}

/// Guards against a sound part that is held back at one build for good once another build has answered it.
#[test]
fn sound_part_is_held_back_at_one_build() {
    let joins = [0, 2_000, 4_000, 5_500, 9_000].map(|at| (at, 1));
    let held_back = held_back(&joins, &[60, 100]);
    assert!(held_back.is_empty(), "{held_back:#?}");
}

/// Guards against a sound part that is held back since its trials reached no target.
#[test]
fn sound_part_is_held_back_after_trials_in_vain() {
    let held_back = held_back(&[(0, 0)], &[10, 30, 60, 100]);
    assert!(held_back.is_empty(), "{held_back:#?}");
}

#[test]
fn plain_crashes_hold_nothing_back() {
    for seed in 0..8 {
        let simulation = play(Trouble {
            seed,
            plain_gap_ms: 1_500,
            kill_gap_ms: 5_000,
            ..NONE
        });
        assert!(simulation.crashes.len() > 5);
        assert!(
            simulation.held.is_empty(),
            "seed {seed}: {:?}",
            simulation.held
        );
    }
}

/// Crashes that are older than a router that learns of them stay as old.
#[test]
fn crashes_before_the_start_of_routers_hold_nothing_back() {
    for seed in 0..4 {
        let simulation = play(Trouble {
            seed,
            plain_gap_ms: 4_000,
            kill_gap_ms: 700,
            ..NONE
        });
        assert!(
            simulation.held.is_empty(),
            "seed {seed}: {:?}",
            simulation.held
        );
    }
}

/// A third of the answers are lost.
#[test]
fn lost_answers_hold_nothing_back() {
    for routers in [7, 80] {
        let simulation = play(Trouble {
            routers,
            lost_gap_ms: 12,
            ..NONE
        });
        assert!(simulation.held.is_empty(), "{:?}", simulation.held);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(8)
    })]

    #[test]
    fn fatal_parts_are_held_back_in_any_trouble(
        seed in any::<u64>(),
        routers in prop_oneof![3 => Just(7_usize), 1 => Just(20_usize)],
        parts in 1_u64..=2,
        gap_ms in 100_u64..3_000,
        attempts in 1_u32..=3,
        early in any::<bool>(),
        leave_every in prop_oneof![Just(0_u64), 2_u64..5],
        plain_gap_ms in prop_oneof![Just(0_u64), 2_000_u64..6_000],
        lost_gap_ms in prop_oneof![3 => Just(0_u64), 1 => 20_u64..200],
        kill_gap_ms in prop_oneof![Just(0_u64), 2_000_u64..6_000],
    ) {
        let trouble = Trouble {
            routers, seed, parts, gap_ms, attempts, early, leave_every, plain_gap_ms, lost_gap_ms, kill_gap_ms, ..NONE
        };
        play(trouble).check();
    }
}
