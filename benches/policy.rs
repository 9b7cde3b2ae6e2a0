//! Compares sharing policies on the same seeded load, with owners and usage aggregators in one process.
//!
//! Prints one table: the gap between the most and the least served backlogged workspace, and the
//! slot-time left idle while requests waited. A second table has the waits of quick calls.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use marlrun::{unit::Span, wire};
use simulation::{Plan, Simulation, Workload};
use std::{mem, thread};

const SEEDS: [u64; 3] = [1, 2, 3];
const RUN: Span = Span::from_secs(200);

fn plan(seed: u64, nodes: usize, slots: u32, workspaces: usize) -> Plan {
    let workload = |index: usize| Workload {
        skew: [0.0, 0.3, 0.8][index % 3],
        ..Workload::backlogged([2, 8, 32][index / 3 % 3], 1_000)
    };
    let workloads = (0..workspaces).map(workload).collect();
    let mut plan = Plan::new(seed, nodes, slots, workloads);
    plan.exponential_costs = true;
    plan
}

fn policies(base: &Plan) -> [(&'static str, Plan); 4] {
    let alone = Plan {
        exchange: false,
        ..base.clone()
    };
    let fifo = Plan {
        fifo: true,
        ..alone.clone()
    };
    let central = Plan {
        nodes: 1,
        ..alone.clone()
    };
    [
        ("alone, first come", fifo),
        ("alone, fair queue", alone),
        ("one central queue", central),
        ("marlrun", base.clone()),
    ]
}

/// Result of one run.
#[derive(Default)]
struct Figures {
    gap: f64,
    idle: f64,
    messages: f64,
}

fn measure(plan: Plan) -> Figures {
    let nodes = plan.nodes as f64;
    let mut simulation = Simulation::new(plan);
    simulation.run(RUN);
    let served = simulation.served();
    let most = served.iter().copied().fold(f64::MIN, f64::max);
    let least = served.iter().copied().fold(f64::MAX, f64::min);
    let sent: u64 = simulation.messages_sent.values().sum();
    Figures {
        gap: most - least,
        idle: 100.0 * simulation.idle_slot_secs / simulation.total_slot_secs,
        messages: sent as f64 / RUN.as_secs_f64() / nodes,
    }
}

/// Returns the mean over the seeds, which run at the same time.
fn mean(plans: Vec<Plan>) -> Figures {
    let runs = plans.len() as f64;
    let threads = plans
        .into_iter()
        .map(|plan| thread::spawn(|| measure(plan)));
    let threads: Vec<_> = threads.collect();
    let mut mean = Figures::default();
    for thread in threads {
        let figures = thread.join().unwrap();
        mean.gap += figures.gap / runs;
        mean.idle += figures.idle / runs;
        mean.messages += figures.messages / runs;
    }
    mean
}

/// Returns a load of long requests, a hundredfold flood among them, and of quick calls.
fn mixed(seed: u64) -> Plan {
    let flood = Workload::backlogged(800, 1_000);
    let long = Workload::backlogged(8, 1_000);
    let quick = Workload {
        class: wire::Class::Quick,
        pause: Span::from_millis(400),
        ..Workload::backlogged(2, 20)
    };
    let mut workloads = vec![flood];
    workloads.extend(vec![long; 9]);
    workloads.extend(vec![quick; 6]);
    let mut plan = Plan::new(seed, 7, 16, workloads);
    plan.exponential_costs = true;
    plan
}

/// Prints the waits of quick calls beside long requests, with and without classes.
fn print_waits() {
    println!();
    println!("| policy | quick p50 | p95 | p99 | idle (%) |");
    println!("|---|---|---|---|---|");
    let base = mixed(SEEDS[0]);
    let single = Plan {
        distinct_classes: false,
        ..base.clone()
    };
    let [fifo, alone, ..] = policies(&single);
    let rows = [
        fifo,
        alone,
        ("marlrun, one class", single),
        ("marlrun", base),
    ];
    for (name, plan) in rows {
        let mut simulation = Simulation::new(plan);
        simulation.run(RUN);
        let mut waits = mem::take(&mut simulation.quick_waits);
        waits.sort();
        let at = |percent: usize| waits[(waits.len() - 1) * percent / 100].as_secs_f64();
        let idle = 100.0 * simulation.idle_slot_secs / simulation.total_slot_secs;
        let (p50, p95, p99) = (at(50), at(95), at(99));
        println!("| {name} | {p50:.3} s | {p95:.3} s | {p99:.3} s | {idle:.2} |");
    }
}

fn main() {
    println!("| routers x slots, workspaces | policy | gap (tokens) | idle (%) | messages/s |");
    println!("|---|---|---|---|---|");
    for (nodes, slots, workspaces) in [(7, 16, 16), (7, 16, 60), (60, 32, 400)] {
        for index in 0..4 {
            let plans = SEEDS.map(|seed| {
                let base = plan(seed, nodes, slots, workspaces);
                policies(&base)[index].clone()
            });
            let name = plans[0].0;
            let Figures {
                gap,
                idle,
                messages,
            } = mean(plans.into_iter().map(|(_, plan)| plan).collect());
            println!(
                "| {nodes} x {slots}, {workspaces} | {name} | {gap:.0} | {idle:.2} | {messages:.1} |"
            );
        }
    }
    print_waits();
}
