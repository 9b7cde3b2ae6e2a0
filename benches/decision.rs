//! Time of one scheduling decision and memory of a workspace at an owner.

use criterion::{BenchmarkId, Criterion};
use marlrun::{
    config, id, owner,
    unit::{Cost, Span, Time, Version, Weight},
    wire,
};
use std::{
    alloc::{GlobalAlloc, Layout, System},
    fmt, str,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Counts the bytes that are allocated.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const SERVICE: &str = "chat";
const SLOTS: u32 = 32;
/// Workspaces known and backlogged.
const SIZES: [(usize, usize); 5] = [
    (100, 10),
    (5_000, 500),
    (49_000, 4_900),
    (500, 500),
    (49_000, 500),
];

fn name<T: str::FromStr<Err = E>, E: fmt::Debug>(text: &str) -> T {
    text.parse().unwrap()
}

fn fleet(workspaces: usize) -> Arc<config::Fleet> {
    let service = config::Service {
        name: name(SERVICE),
        kind: config::Kind::Model,
        hosts: Vec::new(),
        idempotent: false,
        quick: Cost(100),
        estimate: Cost(500),
        timeout: Span::from_secs(600),
        max_waiting: 8,
        engine: config::Engine::default(),
    };
    let target = config::Target {
        name: name("t0"),
        service: name(SERVICE),
        domain: name("vake"),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: SLOTS,
    };
    let workspace = |index| {
        let workspace = config::Workspace {
            name: name(&format!("w{index}")),
            weight: Weight::ONE,
        };
        (workspace.name.clone(), Arc::new(workspace))
    };
    Arc::new(config::Fleet {
        version: Version(1),
        workspaces: (0..workspaces).map(workspace).collect(),
        services: [(name(SERVICE), Arc::new(service))].into(),
        targets: [(name("t0"), Arc::new(target))].into(),
        ..config::Fleet::default()
    })
}

/// An owner that knows many workspaces, some of them backlogged.
struct Load {
    owner: owner::Scheduler,
    now: Time,
    next: u64,
    running: Vec<id::Attempt>,
    /// Workspace of each attempt, by its number.
    workspaces: Vec<usize>,
    out: Vec<wire::Envelope>,
}

impl Load {
    fn new(workspaces: usize, backlogged: usize) -> Self {
        let mut load = Self {
            owner: owner::Scheduler::new(name("r1"), id::Incarnation(1)),
            now: Time(1_000_000),
            next: 0,
            running: Vec::new(),
            workspaces: vec![0],
            out: Vec::new(),
        };
        load.step(owner::Event::Config(fleet(workspaces)));
        load.step(owner::Event::Owned(vec![name("t0")]));
        for workspace in 0..workspaces {
            load.ask(workspace);
            load.done();
        }
        for index in 0..backlogged + SLOTS as usize {
            load.ask(index % backlogged);
        }
        load
    }

    fn step(&mut self, event: owner::Event) {
        self.now = self.now + Span(10);
        self.owner.step(self.now, event, &mut self.out);
        for envelope in self.out.drain(..) {
            if let wire::Message::Grant { attempt, .. } = envelope.message {
                self.running.push(attempt);
            }
        }
    }

    fn ask(&mut self, workspace: usize) {
        self.next += 1;
        self.workspaces.push(workspace);
        let attempt = id::Attempt {
            incarnation: id::Incarnation(1),
            sequence: self.next,
        };
        let ask = wire::Ask {
            attempt,
            workspace: name(&format!("w{workspace}")),
            service: name(SERVICE),
            target: name("t0"),
            class: wire::Class::Long,
            estimate: Cost(400 + self.next % 200),
            waited: Span(0),
            remaining: Span::from_secs(600),
            hops: 0,
        };
        let from = name("r2");
        self.step(owner::Event::Ask { from, ask });
    }

    /// Ends the last granted request, which frees its slot for the next one.
    fn done(&mut self) -> usize {
        let attempt = self.running.pop().unwrap();
        self.step(owner::Event::Done {
            from: name("r2"),
            attempt,
            target: name("t0"),
            cost: Cost(500),
            outcome: wire::Outcome::Answered,
        });
        self.workspaces[attempt.sequence as usize]
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for (size, backlogged) in SIZES {
        let config = fleet(size);
        let before = ALLOCATED.load(Ordering::Relaxed);
        drop(config);
        let config = before - ALLOCATED.load(Ordering::Relaxed);
        let empty = ALLOCATED.load(Ordering::Relaxed);
        let mut load = Load::new(size, backlogged);
        let used = ALLOCATED.load(Ordering::Relaxed) - empty;
        let used = used - config - load.workspaces.capacity() * size_of::<usize>();
        let each = used / size;
        println!("memory at {size} workspaces, {backlogged} backlogged: {each} bytes each");
        group.bench_function(
            BenchmarkId::new(format!("{size} known"), backlogged),
            |bencher| {
                bencher.iter(|| {
                    let workspace = load.done();
                    load.ask(workspace);
                });
            },
        );
    }
    group.finish();
}

fn main() {
    let criterion = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    let mut criterion = criterion.configure_from_args();
    decision(&mut criterion);
    criterion.final_summary();
}
