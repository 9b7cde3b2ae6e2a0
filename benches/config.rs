//! Time, memory and bytes of the configuration at 49,000 workspaces.
//!
//! `cargo bench --bench config` prints the memory and the bytes first and the times after them.
#![allow(missing_docs)]

use criterion::Criterion;
use marlrun::{
    config::{
        self, Delta, Document, Replica, Source, Step, Update,
        replica::{Action, Event},
    },
    id,
    unit::{Time, Version, Weight},
    wire::Message,
};
use std::{
    alloc::{GlobalAlloc, Layout, System},
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
        let key = config::Digest::of(&workspace.to_be_bytes());
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

/// Returns the contents after another weight for one workspace.
fn change(document: &Document, number: usize) -> Document {
    let mut changed = document.clone();
    let name: id::Workspace = format!("workspace-{}", number * 7 % WORKSPACES)
        .parse()
        .unwrap();
    let holder = changed.workspaces.get_mut(&name).unwrap();
    let weight = holder.workspace.weight.get() % 9 + 1;
    Arc::make_mut(&mut holder.workspace).weight = Weight::new(weight).unwrap();
    changed
}

fn step(from: u64, old: &Document, new: &Document) -> Step {
    Step {
        from: Version(from),
        to: Version(from + 1),
        digest: new.digest(),
        delta: Delta::between(old, new),
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

fn sizes(document: &Document, whole: &[u8], changed: &Step) {
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
    let steps = vec![changed.clone()];
    let body = Update { steps }.encode();
    let live = LIVE.load(Relaxed);
    PEAK.store(live, Relaxed);
    let _installed = deliver(&mut replica, &body);
    println!(
        "peak above that for a change: {:.1} MiB",
        mebibytes(PEAK.load(Relaxed) - live)
    );
    drop(installed);
    let fetch = Message::Fetch { have: Version(1) };
    println!("change of one weight, body: {} B", body.len());
    println!("question to a peer: {fetch:?}");
    let days = 2_800.0 * body.len() as f64;
    println!(
        "bodies at 2,800 changes a day: {:.1} B/s per router",
        days / 86_400.0
    );
    black_box(document);
}

fn main() {
    let source = base();
    println!("base file: {:.1} MiB", mebibytes(source.text.len()));
    let document = config::check(&source, &[]).unwrap();
    let whole = Step::whole(&document, Version(1), document.digest());
    let whole = Update { steps: vec![whole] }.encode();
    let next = change(&document, 1);
    let changed = step(1, &document, &next);
    sizes(&document, &whole, &changed);

    let mut criterion = Criterion::default().sample_size(10).configure_from_args();
    criterion.bench_function("check base file", |b| {
        b.iter(|| config::check(black_box(&source), &[]).unwrap());
    });
    criterion.bench_function("replica loads whole update", |b| b.iter(|| replica(&whole)));
    let (mut replica, _) = replica(&whole);
    let mut documents = (next, 2);
    deliver(
        &mut replica,
        &Update {
            steps: vec![changed],
        }
        .encode(),
    );
    criterion.bench_function("replica applies one change", |b| {
        b.iter_batched(
            || {
                let (old, version) = (&documents.0, documents.1);
                let new = change(old, version as usize);
                let steps = vec![step(version, old, &new)];
                documents = (new, version + 1);
                Update { steps }.encode()
            },
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
