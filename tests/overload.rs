//! Readiness of overloaded routers behind a balancer that assigns callers by a hash, simulated on a
//! virtual clock.

use marlrun::{
    dispatch::Demand,
    gateway::{Demands, Load, Overload},
    unit::{Span, Time},
};
use std::ops::Range;

/// Time between two observations.
const STEP: Span = Span::from_millis(500);
/// Workspace that floods.
const FLOOD: u64 = 7;
/// Tokens of a request.
const TOKENS: u64 = 4_000;
/// Attempts a second that a router bears per millicore.
const ATTEMPTS_PER_MILLICORE: u64 = 3;
/// Connections a second of other callers at each router that the balancer uses.
const OTHERS: u64 = 4;

/// Router of a failure domain.
struct Router {
    millicores: u64,
    overload: Overload,
    is_ready: bool,
    /// Checks of readiness that failed in a row.
    misses: u32,
}

/// Failure domain whose balancer sends all callers of a workspace to one router.
struct Domain {
    routers: Vec<Router>,
    /// Attempts a second of the workspace while it floods, and otherwise.
    attempts: (u64, u64),
    during: Range<u64>,
    /// Interval in seconds at which somebody connects to each router by itself.
    checked_each: u64,
    /// Attempts refused unread in each second.
    refused: Vec<u64>,
    /// Routers that weren't ready, by second.
    unready: Vec<Vec<usize>>,
}

/// Demands as the router with the flood, or another one, knows them.
struct Known {
    own: u64,
    total: u64,
}

impl Demands for Known {
    fn dominant(&self) -> Option<Demand> {
        (self.own > 0).then_some(Demand {
            workspace: FLOOD,
            tokens_per_s: self.own * TOKENS,
        })
    }

    fn total(&self, workspace: u64) -> u64 {
        assert_eq!(workspace, FLOOD);
        self.total * TOKENS
    }
}

impl Domain {
    fn new(millicores: &[u64], attempts: u64, during: Range<u64>) -> Self {
        let routers = millicores.iter().map(|&millicores| Router {
            millicores,
            overload: Overload::default(),
            is_ready: true,
            misses: 0,
        });
        Self {
            routers: routers.collect(),
            attempts: (attempts, 20),
            during,
            checked_each: u64::MAX,
            refused: Vec::new(),
            unready: Vec::new(),
        }
    }

    /// Returns the routers that the balancer uses; the first one gets the flood.
    fn in_rotation(&self) -> Vec<usize> {
        let all = 0..self.routers.len();
        let used: Vec<usize> = all
            .clone()
            .filter(|index| self.routers[*index].misses < 2)
            .collect();
        if 2 * used.len() < all.len() {
            return all.collect();
        }
        used
    }

    fn run(&mut self, seconds: u64) {
        for second in 0..seconds {
            for router in &mut self.routers {
                router.misses = if router.is_ready {
                    0
                } else {
                    router.misses + 1
                };
            }
            let mut refused = 0;
            for half in [0, 500] {
                let now = Time(0) + Span::from_millis(second * 1_000 + half);
                refused += self.step(now, second);
            }
            self.refused.push(refused);
            let unready = self.routers.iter().enumerate();
            let unready = unready.filter(|(_, router)| !router.is_ready);
            self.unready.push(unready.map(|(index, _)| index).collect());
        }
    }

    fn step(&mut self, now: Time, second: u64) -> u64 {
        let used = self.in_rotation();
        let (flood, usual) = self.attempts;
        let attempts = if self.during.contains(&second) {
            flood
        } else {
            usual
        };
        let most = self.routers.iter().map(|router| router.millicores).max();
        let mut refused = 0;
        for (index, router) in self.routers.iter_mut().enumerate() {
            let is_checked = now
                .0
                .is_multiple_of(self.checked_each.saturating_mul(1_000_000));
            let own = if index == used[0] { attempts } else { 0 };
            let others = if used.contains(&index) { OTHERS } else { 0 };
            let borne = router.millicores * ATTEMPTS_PER_MILLICORE;
            let in_step = |per_s: u64| per_s * STEP.as_millis() / 1_000;
            let load = Load {
                connections: in_step(own + others) + u64::from(is_checked),
                refused: in_step(own.saturating_sub(borne)),
                is_outranked: most > Some(router.millicores),
            };
            let known = Known {
                own,
                total: attempts,
            };
            router.is_ready = !router.overload.observe(now, &load, &known);
            refused += load.refused;
        }
        refused
    }
}

/// Checks that a flood stays at the first router that bears it until it is over.
fn assert_settles(checked_each: u64) {
    let mut domain = Domain::new(
        &[120, 120, 120, 120, 120, 500, 120, 120, 120, 120, 120, 500],
        1_200,
        0..60,
    );
    domain.checked_each = checked_each;
    domain.run(75);
    let refused: u64 = domain.refused[15..60].iter().sum();
    assert!(
        refused * 20 <= 1_200 * 45,
        "{refused} of {} attempts were refused unread from 15 s on: {:?}",
        1_200 * 45,
        domain.refused
    );
    assert!(
        domain.unready[74].is_empty(),
        "not ready 15 s after the flood"
    );
}

#[test]
fn flood_goes_round_among_small_routers() {
    assert_settles(u64::MAX);
}

#[test]
fn flood_called_back_by_a_single_connection() {
    assert_settles(3);
}

#[test]
fn flood_beyond_all_routers_keeps_none_out() {
    let mut domain = Domain::new(&[250, 250], 5_000, 0..60);
    domain.run(75);
    assert!(domain.unready[74].is_empty());
    // With nobody better to send callers to, a router is back after its hold.
    let back = domain.unready[15..60]
        .iter()
        .any(|unready| unready.len() < 2);
    assert!(back, "{:?}", domain.unready);
}

#[test]
fn flood_stuck_at_a_router_that_is_not_ready() {
    // More than half of the domain isn't ready, so that the balancer uses all.
    let small = [120, 120, 120, 120, 120, 120, 120, 500];
    let mut domain = Domain::new(&small, 1_200, 0..60);
    domain.run(75);
    for router in 1..5 {
        let back = domain.unready[20..60].iter().any(|u| !u.contains(&router));
        assert!(back, "router {router}: {:?}", domain.unready);
    }
    assert!(domain.unready[74].is_empty());
}
