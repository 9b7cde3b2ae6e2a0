//! Properties of fair sharing across owners; docs/FAIRNESS.md derives the bounds.

mod simulation;

use marlrun::unit::Span;
use proptest::prelude::*;
use simulation::{
    Fault, HEARTBEAT_INTERVAL, LATENCY, Noise, Plan, Simulation, TOKENS_PER_SEC, Workload,
};

/// Lead in level that one workspace may get over another through grant order, the preference of
/// quick requests and pulls, in multiples of the largest charge.
const LEAD_CHARGES: f64 = 4.0;
/// Longest time between two pulls of an owner with waiting requests, plus one tick.
const PULL_INTERVAL: Span = Span::from_millis(350);

/// Quantities from which the bounds are derived.
struct Bound {
    owners: f64,
    slots: f64,
    /// Largest charge of a request per unit of weight, in tokens.
    max_charge: f64,
    /// Smallest weight.
    min_weight: f64,
    /// Time after which all owners take a charge into account, in seconds.
    lag: f64,
    total_weight: f64,
}

impl Bound {
    fn new(plan: &Plan) -> Self {
        let workloads = || plan.workloads.iter();
        let weights = workloads().map(|w| f64::from(w.weight));
        let min_weight = weights.clone().fold(f64::MAX, f64::min);
        let largest = workloads().map(|w| w.cost as f64 * 2.0 * w.hint_ratio.max(1.0));
        let lag = 2.0 * plan.report_interval.as_secs_f64()
            + HEARTBEAT_INTERVAL.as_secs_f64()
            + PULL_INTERVAL.as_secs_f64()
            + 6.0 * LATENCY.as_secs_f64();
        Self {
            owners: plan.nodes as f64,
            slots: f64::from(plan.slots) * plan.targets as f64 / plan.nodes as f64,
            max_charge: largest.fold(0.0, f64::max) / min_weight,
            min_weight,
            lag,
            total_weight: weights.sum(),
        }
    }

    /// Returns the normalized service that one owner can give one workspace within the lag.
    fn window(&self) -> f64 {
        self.slots * TOKENS_PER_SEC as f64 * self.lag / self.min_weight
    }

    /// Returns the normalized cost that one owner can have outstanding for one workspace.
    fn outstanding(&self) -> f64 {
        self.slots * self.max_charge
    }

    /// Returns the largest gap between the levels of two backlogged workspaces.
    fn level_gap(&self) -> f64 {
        LEAD_CHARGES * self.max_charge + self.owners * (self.outstanding() + self.window())
    }

    /// Returns the largest gap between the normalized service of two backlogged workspaces.
    fn gap(&self) -> f64 {
        self.level_gap() + self.owners * self.outstanding()
    }

    /// Returns the longest time between two grants to a backlogged workspace, in seconds.
    fn wait(&self) -> f64 {
        let rate = self.owners * self.slots * TOKENS_PER_SEC as f64;
        let longest = self.max_charge * self.min_weight / TOKENS_PER_SEC as f64;
        self.level_gap() * self.total_weight / rate + self.lag + longest
    }
}

/// Returns the difference in normalized service between the most and the least served workspace.
fn gap(simulation: &Simulation) -> f64 {
    let served = simulation.served();
    let most = served.iter().copied().fold(f64::MIN, f64::max);
    let least = served.iter().copied().fold(f64::MAX, f64::min);
    most - least
}

/// Runs for a time and returns the largest gap, sampled each second.
fn largest_gap(simulation: &mut Simulation, secs: u64) -> f64 {
    let mut largest: f64 = 0.0;
    for _ in 0..secs {
        simulation.run(Span::from_secs(1));
        largest = largest.max(gap(simulation));
    }
    largest
}

fn workload() -> impl Strategy<Value = Workload> {
    let shape = (1_u32..=4, 2_u32..12, 50_u64..300);
    (shape, 0.25_f64..4.0, 0.0_f64..1.0).prop_map(|((weight, depth, cost), hint_ratio, skew)| {
        Workload {
            weight,
            hint_ratio,
            skew,
            ..Workload::backlogged(depth, cost)
        }
    })
}

fn plan() -> impl Strategy<Value = Plan> {
    let workloads = prop::collection::vec(workload(), 2..7);
    let size = (2_usize..6, 1_u32..4);
    (any::<u64>(), size, workloads).prop_map(|(seed, (nodes, slots), workloads)| {
        let mut plan = Plan::new(seed, nodes, slots, workloads);
        add_backlog(&mut plan);
        plan
    })
}

/// Adds as many requests to each queue as the workspace's share of the fleet serves within the lag.
fn add_backlog(plan: &mut Plan) {
    let bound = Bound::new(plan);
    let rate = bound.owners * bound.slots * TOKENS_PER_SEC as f64;
    for workload in &mut plan.workloads {
        let share = rate * f64::from(workload.weight) / bound.total_weight;
        workload.depth += (share * bound.lag / workload.cost as f64).ceil() as u32;
    }
}

fn noise() -> impl Strategy<Value = Noise> {
    (0_u32..100, 0_u32..200, 0_u32..200).prop_map(|(lost, duplicated, delayed)| Noise {
        lost,
        duplicated,
        delayed,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(48)
    })]

    #[test]
    fn gap_bounded(plan in plan()) {
        let bound = Bound::new(&plan);
        let mut simulation = Simulation::new(plan);
        let largest = largest_gap(&mut simulation, 120);
        prop_assert!(largest <= bound.gap(), "gap {largest:.0} > {:.0}", bound.gap());
    }

    #[test]
    fn wait_bounded(plan in plan()) {
        let bound = Bound::new(&plan);
        let mut simulation = Simulation::new(plan);
        simulation.run(Span::from_secs(120));
        for (workload, span) in simulation.longest_grant_gap.iter().enumerate() {
            let span = span
                .max(&simulation.now.since(simulation.last_grants[workload]))
                .as_secs_f64();
            prop_assert!(
                span <= bound.wait(),
                "workspace {workload} waited {span} s > {} s",
                bound.wait()
            );
        }
    }

    /// While requests wait, a free slot is granted within a heartbeat, two ticks and six message
    /// delays.
    #[test]
    fn idle_bounded(plan in plan()) {
        let mut simulation = Simulation::new(plan);
        simulation.run(Span::from_secs(60));
        let allowed = Span(HEARTBEAT_INTERVAL.0 + 2 * 100_000 + 6 * LATENCY.0);
        prop_assert!(
            simulation.longest_idle <= allowed,
            "slot free for {}",
            simulation.longest_idle
        );
    }

    /// Lost and late reports add to the lag; the bound allows for four in a row.
    #[test]
    fn gap_noise(plan in plan(), noise in noise()) {
        let plan = Plan { noise, ..plan };
        let mut bound = Bound::new(&plan);
        bound.lag += 2.0 * 4.0 * plan.report_interval.as_secs_f64();
        let mut simulation = Simulation::new(plan);
        let largest = largest_gap(&mut simulation, 120);
        prop_assert!(largest <= bound.gap(), "gap {largest:.0} > {:.0}", bound.gap());
    }

    /// Each restart adds at most the bound to the gap.
    #[test]
    fn gap_restart(plan in plan(), node in 0_usize..6, secs in 5_u64..30, outage in 200_u64..3_000) {
        let node = node % plan.nodes;
        let outage = Span::from_millis(outage);
        let restart = |at| (Span::from_secs(at), Fault::Restart { node, outage });
        let plan = Plan { faults: vec![restart(secs), restart(secs + 30)], ..plan };
        let bound = Bound::new(&plan);
        let mut simulation = Simulation::new(plan);
        let largest = largest_gap(&mut simulation, 120);
        let allowed = 3.0 * bound.gap();
        prop_assert!(largest <= allowed, "gap {largest:.0} > {allowed:.0}");
    }

    /// Workspaces that fell behind during a partition catch up after it.
    #[test]
    fn gap_rejoin(plan in plan(), node in 1_usize..5) {
        let node = node % plan.nodes;
        let faults = vec![
            (Span::from_secs(20), Fault::Partition { node }),
            (Span::from_secs(50), Fault::Heal),
        ];
        let plan = Plan { faults, ..plan };
        let bound = Bound::new(&plan);
        let mut simulation = Simulation::new(plan);
        simulation.run(Span::from_secs(50));
        let gap_at_heal = gap(&simulation);
        simulation.run(Span::from_secs(150));
        let end = gap(&simulation);
        prop_assert!(
            end <= bound.gap(),
            "gap {gap_at_heal:.0} before the partition ended, {end:.0} > {:.0} after",
            bound.gap()
        );
    }
}

/// The workspace that falls behind during a partition has the cheaper requests, so it catches up
/// only if the scheduler compares costs instead of numbers of grants.
#[test]
fn gap_rejoin_unequal_costs() {
    let heavy = Workload {
        weight: 4,
        hint_ratio: 0.25,
        skew: 0.6,
        ..Workload::backlogged(16, 53)
    };
    let light = Workload {
        hint_ratio: 0.28,
        ..Workload::backlogged(4, 209)
    };
    let faults = vec![
        (Span::from_secs(20), Fault::Partition { node: 1 }),
        (Span::from_secs(50), Fault::Heal),
    ];
    let plan = Plan {
        faults,
        ..Plan::new(282_092_586_481_409_921, 5, 1, vec![heavy, light])
    };
    let bound = Bound::new(&plan);
    let mut simulation = Simulation::new(plan);
    simulation.run(Span::from_secs(200));
    let end = gap(&simulation);
    assert!(end <= bound.gap(), "gap {end:.0} > {:.0}", bound.gap());
}

/// Without the exchange between owners the gap exceeds the bound, so the properties above can fail.
#[test]
fn gap_without_exchange() {
    let workload = |index: usize| Workload {
        skew: [1.0, 0.0][index % 2],
        ..Workload::backlogged(6, 100)
    };
    let workloads = (0..6).map(workload).collect();
    let plan = Plan {
        exchange: false,
        ..Plan::new(1, 4, 2, workloads)
    };
    let bound = Bound::new(&plan);
    let mut simulation = Simulation::new(plan);
    let largest = largest_gap(&mut simulation, 120);
    assert!(largest > bound.gap(), "gap {largest} <= {}", bound.gap());
}
