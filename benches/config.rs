//! Time, memory and bytes of the configuration at 49,000 workspaces.
//!
//! `cargo bench --bench config` prints the memory and the bytes first and the times after them.
#![allow(missing_docs)]

use criterion::Criterion;
use marlrun::{
    config::{
        self, Delta, Digest, Document, Replica, Source, Step, Update,
        replica::{Action, Event},
    },
    id,
    table::Fault,
    unit::{Span, Time, Version, Weight},
    wire::{Message, codec},
};
use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::VecDeque,
    fmt::Write as _,
    hint::black_box,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

const WORKSPACES: usize = 49_000;
const TARGETS: usize = 600;
const SERVICES: usize = 25;
const DOMAINS: usize = 6;
const CHANGES_A_DAY: f64 = 2_800.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Counts the bytes that are allocated.
struct Counting;

static LIVE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: each call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(live, Relaxed);
        // SAFETY: the caller's promises are the system allocator's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller's promises are the system allocator's.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Returns a base file of the size of two years on.
fn base() -> Source {
    let mut text = String::new();
    for domain in 0..DOMAINS {
        let site = domain / 2;
        if domain % 2 == 0 {
            writeln!(text, "[sites.site-{site}]").unwrap();
            writeln!(
                text,
                "domains = [\"domain-{domain}\", \"domain-{}\"]",
                domain + 1
            )
            .unwrap();
        }
    }
    for workspace in 0..WORKSPACES {
        let key = Digest::of(&workspace.to_be_bytes());
        writeln!(text, "[workspaces.workspace-{workspace}]").unwrap();
        writeln!(text, "weight = {}", workspace % 9 + 1).unwrap();
        writeln!(text, "key_sha256 = [\"{key}\"]").unwrap();
    }
    for service in 0..SERVICES {
        writeln!(text, "[services.model-{service}]\nkind = \"model\"").unwrap();
    }
    for target in 0..TARGETS {
        let (service, domain) = (target % SERVICES, target % DOMAINS);
        writeln!(text, "[targets.target-{target}]").unwrap();
        writeln!(text, "service = \"model-{service}\"").unwrap();
        writeln!(text, "domain = \"domain-{domain}\"").unwrap();
        writeln!(
            text,
            "address = \"10.0.{}.{}:8000\"",
            target / 250,
            target % 250
        )
        .unwrap();
        writeln!(text, "slots = 32").unwrap();
    }
    Source {
        name: "base.toml".into(),
        text: text.into(),
    }
}

/// Contents at a version, to which changes are made.
struct Author {
    document: Document,
    digest: Digest,
    version: u64,
}

impl Author {
    /// Gives one workspace another weight and returns the encoded change.
    fn change(&mut self) -> Vec<u8> {
        let number = self.version as usize * 7 % WORKSPACES;
        let name: id::Workspace = format!("workspace-{number}").parse().unwrap();
        let mut account = self.document.workspaces[&name].clone();
        let weight = account.workspace.weight.get() % 9 + 1;
        Arc::make_mut(&mut account.workspace).weight = Weight::new(weight).unwrap();
        let mut delta = Delta::default();
        delta.workspaces.insert(name, Some(account));
        self.digest = self.document.digest_after(self.digest, &delta);
        self.document.apply(&delta);
        let step = Step {
            from: Version(self.version),
            to: Version(self.version + 1),
            digest: self.digest,
            delta,
        };
        self.version += 1;
        Update { steps: vec![step] }.encode()
    }
}

fn deliver(replica: &mut Replica, body: &[u8]) -> Vec<Action> {
    let mut out = Vec::new();
    let event = Event::Delta {
        router: "peer".parse().unwrap(),
        body: body.to_vec(),
    };
    replica.step(Time(10_000_000), event, &mut out);
    out
}

/// Returns a replica that holds version 1, with the fleet that it put in force.
fn replica(whole: &[u8]) -> (Replica, Vec<Action>) {
    let mut replica = Replica::new("domain-0".parse().unwrap());
    replica.step(Time(0), Event::Tick, &mut Vec::new());
    let out = deliver(&mut replica, whole);
    assert!(
        out.iter()
            .any(|action| matches!(action, Action::Install(_)))
    );
    (replica, out)
}

fn mebibytes(bytes: usize) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

fn sizes(whole: &[u8], body: &[u8]) {
    let start = LIVE.load(Relaxed);
    PEAK.store(start, Relaxed);
    let (mut replica, installed) = replica(whole);
    println!("whole update: {:.1} MiB", mebibytes(whole.len()));
    println!(
        "replica and fleet: {:.1} MiB",
        mebibytes(LIVE.load(Relaxed) - start)
    );
    println!(
        "peak while loading: {:.1} MiB",
        mebibytes(PEAK.load(Relaxed) - start)
    );
    let live = LIVE.load(Relaxed);
    PEAK.store(live, Relaxed);
    let _installed = deliver(&mut replica, body);
    println!(
        "peak above that for a change: {:.1} MiB",
        mebibytes(PEAK.load(Relaxed) - live)
    );
    drop(installed);
    let have = Version(1);
    let fetch = batch(Message::Fetch { have });
    let delta = batch(Message::Delta {
        from: have,
        to: have.next(),
        body: body.to_vec(),
    });
    println!("change of one weight: question {fetch} B, answer {delta} B");
    let daily = CHANGES_A_DAY * (fetch + delta) as f64;
    let rate = daily / SECONDS_A_DAY;
    println!(
        "questions and answers at 2,800 changes a day: {rate:.1} B/s received and sent per router"
    );
}

/// Heartbeats of each router in a run.
const BEATS: usize = 300;
/// Time of the first change, after the start.
const WARM: Time = Time(5_000_000);
/// Routers of the fleet in two years.
const ROUTERS: usize = 330;
/// Time between two heartbeats to the routers that watch one, and between two ticks.
const HEARTBEAT_PERIOD: Span = Span::from_millis(200);
/// Routers of the failure domain that watch a router.
const WATCHERS: usize = 2;
/// Other routers of the failure domain that a router tells of itself in each period, in turn: 10/s.
const NEAR: usize = 2;

/// Routers that hear each other's heartbeats as `member` sends them.
struct Routers {
    /// Routers of this failure domain can't reach the platform.
    cut_off: Option<usize>,
    replicas: Vec<Replica>,
    queue: VecDeque<(usize, Event)>,
    /// Deltas that each router sent.
    sent: Vec<u64>,
    document: Document,
    head: u64,
}

impl Routers {
    fn spawn(cut_off: Option<usize>) -> Self {
        let domain = |at: usize| format!("domain-{}", at % DOMAINS).parse().unwrap();
        Self {
            cut_off,
            replicas: (0..ROUTERS).map(|at| Replica::new(domain(at))).collect(),
            queue: VecDeque::new(),
            sent: vec![0; ROUTERS],
            document: Document::default(),
            head: 1,
        }
    }

    /// Handles the event and those that follow from it.
    fn event(&mut self, now: Time, at: usize, event: Event) {
        self.queue.push_back((at, event));
        while let Some((at, event)) = self.queue.pop_front() {
            let mut out = Vec::new();
            self.replicas[at].step(now, event, &mut out);
            out.into_iter().for_each(|action| self.perform(at, action));
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Send(envelope) => {
                let router = router(at);
                let event = match envelope.message {
                    Message::Fetch { have } => Event::Fetch { router, have },
                    Message::Delta { body, .. } => Event::Delta { router, body },
                    other => panic!("unexpected {other:?}"),
                };
                self.sent[at] += u64::from(matches!(event, Event::Delta { .. }));
                self.queue.push_back((number(&envelope.to), event));
            }
            Action::ReadPlatform { have } => {
                let answer = (self.head > have.0).then(|| self.update(have));
                let result = match self.cut_off == Some(at % DOMAINS) {
                    true => Err(unreachable()),
                    false => Ok(answer),
                };
                self.queue.push_back((at, Event::Platform(result)));
            }
            Action::Install(_) => {}
            Action::Refused { reason, .. } => panic!("{reason}"),
        }
    }

    /// Returns the step after a version; all versions hold the same contents.
    fn update(&self, have: Version) -> Update {
        let step = Step {
            from: have,
            to: Version(self.head),
            digest: self.document.digest(),
            delta: Delta::default(),
        };
        Update { steps: vec![step] }
    }

    /// Lets a router tick, and tells its version to those that hear it.
    fn beat(&mut self, now: Time, at: usize, beat: usize) {
        self.event(now, at, Event::Tick);
        let version = self.replicas[at].version();
        let neighbour = |distance: usize| (at + distance * DOMAINS) % ROUTERS;
        let watchers = (1..=WATCHERS).map(neighbour);
        let near = (0..NEAR).map(|index| neighbour(beat * NEAR + index));
        let far = (at + beat * 7 + 1) % ROUTERS;
        let heard = watchers.chain(near).chain([far]);
        for to in heard.filter(|to| *to != at) {
            let router = router(at);
            self.event(now, to, Event::PeerVersion { router, version });
        }
    }

    fn is_everywhere(&self, version: u64) -> bool {
        self.replicas
            .iter()
            .all(|replica| replica.version().0 >= version)
    }
}

fn unreachable() -> Fault {
    Fault::Unreachable {
        call: "read".into(),
        cause: "cut off".into(),
    }
}

fn router(at: usize) -> id::Router {
    format!("router-{at}").parse().unwrap()
}

fn number(router: &id::Router) -> usize {
    router.as_str()["router-".len()..].parse().unwrap()
}

/// Counts the time until a change is in force at each router; messages take no time here.
fn spread(cut_off: Option<usize>) {
    let mut routers = Routers::spawn(cut_off);
    let mut slowest = Span(0);
    let mut changed = Time(0);
    let mut in_force = true;
    // Routers beat evenly spread over the period.
    for beat in 0..BEATS * ROUTERS {
        let now = Time(HEARTBEAT_PERIOD.0 * beat as u64 / ROUTERS as u64);
        routers.beat(now, beat % ROUTERS, beat / ROUTERS);
        if !in_force && routers.is_everywhere(routers.head) {
            in_force = true;
            slowest = slowest.max(now.since(changed));
        }
        if in_force && now > WARM && beat % 1_000 == 0 {
            (routers.head, changed, in_force) = (routers.head + 1, now, false);
        }
    }
    let most = routers.sent.iter().max().unwrap();
    let versions = routers.head;
    let platform = match cut_off {
        Some(_) => "one failure domain cut off from the platform",
        None => "platform reached by all",
    };
    println!("330 routers, {platform}: {versions} versions, in force after {slowest} at most");
    println!("deltas sent by the router that sent most: {most}");
}

/// Returns the encoded length of a message over a link, in bytes.
fn batch(message: Message) -> usize {
    codec::encode_batch(&[message]).unwrap().len()
}

fn main() {
    spread(None);
    spread(Some(0));
    let source = base();
    println!("base file: {:.1} MiB", mebibytes(source.text.len()));
    let document = config::check(&source, &[]).unwrap();
    let whole = Step::snapshot(&document, Version(1), document.digest());
    let whole = Update { steps: vec![whole] }.encode();
    let mut author = Author {
        digest: document.digest(),
        document: document.clone(),
        version: 1,
    };
    let first = author.change();
    sizes(&whole, &first);

    let mut criterion = Criterion::default().sample_size(10).configure_from_args();
    criterion.bench_function("check base file", |b| {
        b.iter(|| config::check(black_box(&source), &[]).unwrap());
    });
    criterion.bench_function("replica loads whole update", |b| b.iter(|| replica(&whole)));
    let (mut replica, _) = replica(&whole);
    deliver(&mut replica, &first);
    criterion.bench_function("replica applies one change", |b| {
        b.iter_batched(
            || author.change(),
            |body| deliver(&mut replica, &body),
            criterion::BatchSize::PerIteration,
        );
    });
    criterion.bench_function("fleet of a site", |b| {
        b.iter(|| document.fleet(Version(1), None));
    });
    criterion.bench_function("answer a restarted peer", |b| {
        b.iter(|| {
            let mut out = Vec::new();
            let router = "peer".parse().unwrap();
            let have = Version(0);
            replica.step(Time(10_000_000), Event::Fetch { router, have }, &mut out);
            out
        });
    });
    criterion.final_summary();
}
