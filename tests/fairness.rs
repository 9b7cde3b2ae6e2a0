//! Properties of fair sharing across owners; docs/FAIRNESS.md derives the bounds.

mod fake;

use fake::{BEAT, Fake, Fault, Noise, Plan, RATE, TRANSIT, Tenant};
use marlrun::unit::Span;
use proptest::prelude::*;

/// Lead in level that one workspace may get over another through grant order, the preference of
/// quick requests and pulls, in largest charges.
const ORDER_CHARGES: f64 = 4.0;
/// Longest time between two pulls of an owner with waiting requests, plus one tick.
const PULL: Span = Span::from_millis(350);

/// Quantities from which the bounds are derived.
struct Bound {
    owners: f64,
    slots: f64,
    /// Largest charge of a request per unit of weight, in tokens.
    charge: f64,
    /// Smallest weight.
    weight: f64,
    /// Time after which all owners take a charge into account, in seconds.
    lag: f64,
    weights: f64,
}

impl Bound {
    fn new(plan: &Plan) -> Self {
        let tenants = || plan.tenants.iter();
        let weights = tenants().map(|t| f64::from(t.weight));
        let weight = weights.clone().fold(f64::MAX, f64::min);
        let largest = tenants().map(|t| t.cost as f64 * 2.0 * t.hint.max(1.0));
        let lag = 2.0 * plan.report.as_secs_f64()
            + BEAT.as_secs_f64()
            + PULL.as_secs_f64()
            + 6.0 * TRANSIT.as_secs_f64();
        Self {
            owners: plan.nodes as f64,
            slots: f64::from(plan.slots) * plan.targets as f64 / plan.nodes as f64,
            charge: largest.fold(0.0, f64::max) / weight,
            weight,
            lag,
            weights: weights.sum(),
        }
    }

    /// Returns the normalized service that one owner can give one workspace within the lag.
    fn window(&self) -> f64 {
        self.slots * RATE as f64 * self.lag / self.weight
    }

    /// Returns the normalized cost that one owner can have outstanding for one workspace.
    fn outstanding(&self) -> f64 {
        self.slots * self.charge
    }

    /// Returns the largest gap between the levels of two backlogged workspaces.
    fn level_gap(&self) -> f64 {
        ORDER_CHARGES * self.charge + self.owners * (self.outstanding() + self.window())
    }

    /// Returns the largest gap between the normalized service of two backlogged workspaces.
    fn gap(&self) -> f64 {
        self.level_gap() + self.owners * self.outstanding()
    }

    /// Returns the longest time between two grants to a backlogged workspace, in seconds.
    fn wait(&self) -> f64 {
        let rate = self.owners * self.slots * RATE as f64;
        let longest = self.charge * self.weight / RATE as f64;
        self.level_gap() * self.weights / rate + self.lag + longest
    }
}

/// Returns the difference in normalized service between the most and the least served workspace.
fn gap(fake: &Fake) -> f64 {
    let served = fake.served();
    let most = served.iter().copied().fold(f64::MIN, f64::max);
    let least = served.iter().copied().fold(f64::MAX, f64::min);
    most - least
}

/// Runs for a time and returns the largest gap, sampled each second.
fn largest_gap(fake: &mut Fake, secs: u64) -> f64 {
    let mut largest: f64 = 0.0;
    for _ in 0..secs {
        fake.run(Span::from_secs(1));
        largest = largest.max(gap(fake));
    }
    largest
}

fn tenant() -> impl Strategy<Value = Tenant> {
    let shape = (1_u32..=4, 2_u32..12, 50_u64..300);
    (shape, 0.25_f64..4.0, 0.0_f64..1.0).prop_map(|((weight, depth, cost), hint, skew)| Tenant {
        weight,
        hint,
        skew,
        ..Tenant::backlogged(depth, cost)
    })
}

fn plan() -> impl Strategy<Value = Plan> {
    let tenants = prop::collection::vec(tenant(), 2..7);
    let size = (2_usize..6, 1_u32..4);
    (any::<u64>(), size, tenants).prop_map(|(seed, (nodes, slots), tenants)| {
        let mut plan = Plan::new(seed, nodes, slots, tenants);
        backlog(&mut plan);
        plan
    })
}

/// Adds as many requests to each queue as the workspace's share of the fleet serves within the lag.
fn backlog(plan: &mut Plan) {
    let bound = Bound::new(plan);
    let rate = bound.owners * bound.slots * RATE as f64;
    for tenant in &mut plan.tenants {
        let share = rate * f64::from(tenant.weight) / bound.weights;
        tenant.depth += (share * bound.lag / tenant.cost as f64).ceil() as u32;
    }
}

fn noise() -> impl Strategy<Value = Noise> {
    (0_u32..100, 0_u32..200, 0_u32..200).prop_map(|(lost, doubled, delayed)| Noise {
        lost,
        doubled,
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
        let mut fake = Fake::new(plan);
        let largest = largest_gap(&mut fake, 120);
        prop_assert!(largest <= bound.gap(), "gap {largest:.0} > {:.0}", bound.gap());
    }

    #[test]
    fn wait_bounded(plan in plan()) {
        let bound = Bound::new(&plan);
        let mut fake = Fake::new(plan);
        fake.run(Span::from_secs(120));
        for (tenant, span) in fake.starved.iter().enumerate() {
            let span = span.max(&fake.now.since(fake.granted[tenant])).as_secs_f64();
            prop_assert!(
                span <= bound.wait(),
                "workspace {tenant} waited {span} s > {} s",
                bound.wait()
            );
        }
    }

    /// While requests wait, a free slot is granted within a heartbeat, two ticks and six message
    /// delays.
    #[test]
    fn idle_bounded(plan in plan()) {
        let mut fake = Fake::new(plan);
        fake.run(Span::from_secs(60));
        let allowed = Span(BEAT.0 + 2 * 100_000 + 6 * TRANSIT.0);
        prop_assert!(fake.idle_run <= allowed, "slot free for {}", fake.idle_run);
    }

    /// Lost and late reports add to the lag; the bound allows for four in a row.
    #[test]
    fn gap_noise(plan in plan(), noise in noise()) {
        let plan = Plan { noise, ..plan };
        let mut bound = Bound::new(&plan);
        bound.lag += 2.0 * 4.0 * plan.report.as_secs_f64();
        let mut fake = Fake::new(plan);
        let largest = largest_gap(&mut fake, 120);
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
        let mut fake = Fake::new(plan);
        let largest = largest_gap(&mut fake, 120);
        let allowed = 3.0 * bound.gap();
        prop_assert!(largest <= allowed, "gap {largest:.0} > {allowed:.0}");
    }

    /// Workspaces that fell behind during a partition catch up after it.
    #[test]
    fn gap_rejoin(plan in plan(), node in 1_usize..5) {
        let node = node % plan.nodes;
        let faults = vec![
            (Span::from_secs(20), Fault::Split { node }),
            (Span::from_secs(50), Fault::Heal),
        ];
        let plan = Plan { faults, ..plan };
        let bound = Bound::new(&plan);
        let mut fake = Fake::new(plan);
        fake.run(Span::from_secs(50));
        let parted = gap(&fake);
        fake.run(Span::from_secs(150));
        let end = gap(&fake);
        prop_assert!(
            end <= bound.gap(),
            "gap {parted:.0} before the partition ended, {end:.0} > {:.0} after",
            bound.gap()
        );
    }
}

/// The workspace that falls behind during a partition has the cheaper requests, so it catches up
/// only if the scheduler compares costs instead of numbers of grants.
#[test]
fn gap_rejoin_unequal_costs() {
    let heavy = Tenant {
        weight: 4,
        hint: 0.25,
        skew: 0.6,
        ..Tenant::backlogged(16, 53)
    };
    let light = Tenant {
        hint: 0.28,
        ..Tenant::backlogged(4, 209)
    };
    let faults = vec![
        (Span::from_secs(20), Fault::Split { node: 1 }),
        (Span::from_secs(50), Fault::Heal),
    ];
    let plan = Plan {
        faults,
        ..Plan::new(282_092_586_481_409_921, 5, 1, vec![heavy, light])
    };
    let bound = Bound::new(&plan);
    let mut fake = Fake::new(plan);
    fake.run(Span::from_secs(200));
    let end = gap(&fake);
    assert!(end <= bound.gap(), "gap {end:.0} > {:.0}", bound.gap());
}

/// Without the exchange between owners the gap exceeds the bound, so the properties above can fail.
#[test]
fn gap_without_exchange() {
    let tenant = |index: usize| Tenant {
        skew: [1.0, 0.0][index % 2],
        ..Tenant::backlogged(6, 100)
    };
    let tenants = (0..6).map(tenant).collect();
    let plan = Plan {
        exchange: false,
        ..Plan::new(1, 4, 2, tenants)
    };
    let bound = Bound::new(&plan);
    let mut fake = Fake::new(plan);
    let largest = largest_gap(&mut fake, 120);
    assert!(largest > bound.gap(), "gap {largest} <= {}", bound.gap());
}
