//! Membership over a simulated network.

mod net;

use marlrun::{
    id,
    member::{self, Action, Event, Local, Membership},
    unit::{Cost, Span, Time, Version},
    wire::{Echo, Heartbeat, Load, Origin},
};
use net::{Faults, Net};
use proptest::{collection::vec, prelude::*};
use std::collections::BTreeSet;

/// Time within which members find each other again after the last fault: the maximum backoff
/// between two attempts at an address, plus the handshakes.
const CONVERGENCE_LIMIT: Span = Span::from_secs(20);

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::with_cases(64);
    config.failure_persistence = None;
    config
}

fn down(port: u16, incarnation: u64) -> Action {
    Action::Down {
        router: net::name(port),
        incarnation: id::Incarnation(incarnation),
    }
}

#[test]
fn start_discovers_all_from_one_seed() {
    let mut net = Net::new(3, Faults::NONE);
    for port in 1..=60 {
        net.start(port, &[1]);
    }
    net.run(Span::from_secs(5));
    net.assert_converged();
}

#[test]
fn kill_detected_in_domain() {
    for size in [2, 7, 40] {
        let mut net = Net::new(1, Faults::NONE);
        net.start_all(size);
        net.run(Span::from_secs(10));
        net.assert_converged();
        let before = net.actions.len();
        net.kill(1);
        net.run(member::DETECTION_LIMIT);
        let dropped = net.actions[before..]
            .iter()
            .filter(|(_, action)| *action == down(1, 1));
        assert_eq!(dropped.count(), usize::from(size) - 1, "{size} routers");
        net.assert_converged();
    }
}

#[test]
fn kill_with_monitors_detected() {
    for (dead, limit) in [(8, 1_500), (27, 5_000)] {
        let mut net = Net::new(1, Faults::NONE);
        net.start_all(40);
        net.run(Span::from_secs(10));
        (1..=dead).for_each(|port| net.kill(port));
        net.run(Span::from_millis(limit));
        net.assert_converged();
    }
}

#[test]
fn kill_detected_in_other_domains() {
    let mut net = Net::new(3, Faults::NONE);
    net.start_all(60);
    net.run(Span::from_secs(10));
    net.assert_converged();
    net.kill(1);
    net.run(Span::from_secs(3));
    net.assert_converged();
}

#[test]
fn restart_replaces_incarnation_at_once() {
    let mut net = Net::new(2, Faults::NONE);
    net.start_all(12);
    net.run(Span::from_secs(10));
    net.kill(3);
    let before = net.actions.len();
    net.start(3, &[1]);
    net.run(Span::from_millis(400));
    net.assert_converged();
    for port in (1..=12).filter(|port| *port != 3) {
        let actions = net.actions[before..].iter().filter(|(at, _)| *at == port);
        let actions: Vec<_> = actions.map(|(_, action)| action.clone()).collect();
        let up = |action: &Action| matches!(action, Action::Up { incarnation, .. } if incarnation.0 == 2);
        let down_at = actions
            .iter()
            .position(|action| *action == down(3, 1))
            .unwrap();
        assert!(actions.iter().position(up).unwrap() > down_at);
    }
}

#[test]
fn leave_sent_at_once() {
    let mut net = Net::new(3, Faults::NONE);
    net.start_all(60);
    net.run(Span::from_secs(10));
    let local = Local {
        leaving: true,
        ..Local::default()
    };
    net.event(1, Event::Local(local));
    net.run(Span::from_millis(100));
    for member in net.routers.values() {
        assert!(member.view().get(&net::name(1)).unwrap().leaving);
    }
}

#[test]
fn loads_sent_once() {
    let mut net = Net::new(1, Faults::NONE);
    net.start_all(12);
    net.run(Span::from_secs(10));
    let load = Load {
        target: "dispatch-1".parse().unwrap(),
        free: 3,
        slots: 32,
        waiting: Cost(7_000),
    };
    let mut local = Local {
        loads: vec![load],
        ..Local::default()
    };
    net.event(1, Event::Local(local.clone()));
    net.run(Span::from_secs(5));
    for member in net.routers.values() {
        assert_eq!(member.view().get(&net::name(1)).unwrap().loads, local.loads);
    }
    net.record_sent = true;
    local.loads[0].waiting = Cost(7_500);
    net.event(1, Event::Local(local));
    net.run(Span::from_secs(5));
    let sent = net
        .sent
        .iter()
        .filter(|(_, heartbeat)| heartbeat.state.is_some());
    assert_eq!(
        sent.count(),
        0,
        "a small change of the load must not be sent"
    );
}

#[test]
fn unfit_sent_at_once() {
    let mut net = Net::new(1, Faults::NONE);
    net.start_all(12);
    net.run(Span::from_secs(10));
    let local = Local {
        unfit: vec!["dispatch-1".parse().unwrap()],
        ..Local::default()
    };
    net.faults.loss = 30;
    net.event(1, Event::Local(local.clone()));
    net.run(Span::from_millis(350));
    let informed = net.routers.values().filter(|m| {
        m.view()
            .get(&net::name(1))
            .is_some_and(|m| m.unfit == local.unfit)
    });
    assert!(informed.count() >= 11, "a probe sends three copies");
}

#[test]
fn partition_one_way_drops_peer() {
    let mut net = Net::new(1, Faults::NONE);
    net.start_all(40);
    net.run(Span::from_secs(10));
    net.blocked.insert((1, 2));
    net.run(Span::from_secs(40));
    assert!(
        !net.view_of(1).contains_key(&2),
        "router 2 does not echo what 1 sends"
    );
    assert!(
        !net.view_of(2).contains_key(&1),
        "router 2 gets no heartbeats from 1"
    );
    net.blocked.clear();
    net.run(CONVERGENCE_LIMIT);
    net.assert_converged();
}

#[test]
fn partition_one_way_detected_by_link() {
    let mut net = Net::new(3, Faults::NONE);
    net.start_all(60);
    net.run(Span::from_secs(10));
    net.blocked.insert((1, 2));
    net.event(1, Event::Unreachable(net::name(2)));
    net.run(Span::from_millis(400));
    assert!(!net.view_of(1).contains_key(&2));
}

#[test]
fn partition_of_domain_heals() {
    let mut net = Net::new(3, Faults::NONE);
    net.start_all(60);
    net.run(Span::from_secs(10));
    for port in 1..=60 {
        for other in (1..=60).filter(|other| (port % 3 == 0) != (other % 3 == 0)) {
            net.blocked.insert((port, other));
        }
    }
    net.run(Span::from_secs(8));
    assert_eq!(net.view_of(3).len(), 20);
    assert_eq!(net.view_of(1).len(), 40);
    net.run(Span::from_secs(120));
    net.blocked.clear();
    net.run(CONVERGENCE_LIMIT);
    net.assert_converged();
}

#[test]
fn pause_is_stale_until_answered() {
    let mut net = Net::new(1, Faults::NONE);
    net.start_all(8);
    net.run(Span::from_secs(5));
    net.paused.insert(1);
    net.run(Span::from_secs(5));
    assert!(!net.view_of(2).contains_key(&1));
    let before = net.actions.len();
    net.paused.clear();
    net.event(1, Event::Tick);
    assert!(net.routers[&1].is_stale());
    net.run(Span::from_millis(400));
    assert!(!net.routers[&1].is_stale());
    let dropped = net.actions[before..]
        .iter()
        .filter(|(port, action)| *port == 1 && matches!(action, Action::Down { .. }));
    assert_eq!(dropped.count(), 0, "the other routers never stopped");
    net.run(Span::from_secs(1));
    net.assert_converged();
}

/// Two routers that started while all their seeds were dead must find each other when a seed
/// returns. Found by `faults_then_converged` with seed 104729.
#[test]
fn start_with_dead_seeds_converges_when_seed_returns() {
    let mut net = Net::new(1, Faults::NONE);
    net.start_all(2);
    net.kill(1);
    net.kill(2);
    net.start(3, &[1, 2]);
    net.start(4, &[1, 2]);
    net.run(Span::from_secs(60));
    assert_eq!(net.view_of(3).len(), 1, "no live router knows both 3 and 4");
    net.start(1, &[2]);
    net.run(CONVERGENCE_LIMIT);
    net.assert_converged();
}

/// Injected fault.
#[derive(Clone, Debug)]
enum Fault {
    Kill(u16),
    Start(u16),
    Pause(u16),
    Resume(u16),
    Block(u16, u16),
    Heal,
}

fn fault(size: u16) -> impl Strategy<Value = Fault> {
    let port = 1..=size;
    prop_oneof![
        port.clone().prop_map(Fault::Kill),
        port.clone().prop_map(Fault::Start),
        port.clone().prop_map(Fault::Start),
        port.clone().prop_map(Fault::Pause),
        port.clone().prop_map(Fault::Resume),
        (port.clone(), port).prop_map(|(from, to)| Fault::Block(from, to)),
        Just(Fault::Heal),
    ]
}

fn apply(net: &mut Net, fault: &Fault, size: u16) {
    let seeds: Vec<_> = (1..=size).collect();
    match *fault {
        Fault::Kill(port) => net.kill(port),
        Fault::Start(port) if !net.routers.contains_key(&port) => net.start(port, &seeds),
        Fault::Start(_) => {}
        Fault::Pause(port) => _ = net.paused.insert(port),
        Fault::Resume(port) => _ = net.paused.remove(&port),
        Fault::Block(from, to) => _ = net.blocked.insert((from, to)),
        Fault::Heal => net.blocked.clear(),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn faults_then_converged(
        seed in any::<u64>(),
        loss in 0_u8..30,
        size in 2_u16..12,
        domains in 1_u16..4,
        history in vec((fault(12), 0_u64..3_000), 0..25),
    ) {
        let faults = Faults { seed, loss, duplicates: 10, delay: Span::from_millis(60) };
        let mut net = Net::new(domains, faults);
        net.start_all(size);
        for (fault, millis) in &history {
            apply(&mut net, fault, size);
            net.run(Span::from_millis(*millis));
        }
        net.blocked.clear();
        net.paused.clear();
        net.faults = Faults::NONE;
        // Routers that know only dead seeds cannot find each other until a seed is back.
        if !(1..=size).any(|seed| net.routers.contains_key(&seed)) {
            net.start(1, &[2]);
        }
        net.run(CONVERGENCE_LIMIT);
        net.assert_converged();
    }

    #[test]
    fn incarnations_never_go_back(
        seed in any::<u64>(),
        history in vec((fault(6), 0_u64..2_000), 0..25),
    ) {
        let faults = Faults { seed, loss: 10, duplicates: 30, delay: Span::from_millis(3_000) };
        let mut net = Net::new(2, faults);
        net.start_all(6);
        for (fault, millis) in &history {
            apply(&mut net, fault, 6);
            net.run(Span::from_millis(*millis));
        }
        let mut last = std::collections::BTreeMap::new();
        for (at, action) in &net.actions {
            if let Action::Up { router, incarnation } = action {
                let before = last.insert((at, router.clone()), *incarnation);
                prop_assert!(before <= Some(*incarnation));
            }
        }
    }

    #[test]
    fn older_heartbeat_never_replaces(order in vec((1_u64..4, 1_u64..20), 1..40)) {
        let now = Time(1_000_000);
        let own = id::Incarnation(9);
        let domain: id::Domain = "vake".parse().unwrap();
        let mut member = Membership::new(net::name(1), own, domain.clone(), net::address(1));
        let mut out = Vec::new();
        member.step(now, Event::Seeds(vec![net::address(2)]), &mut out);
        member.step(now, Event::Tick, &mut out);
        let Some(Action::Datagram { heartbeat: asked, .. }) = out.pop() else {
            panic!("no heartbeat was sent to the seed");
        };
        let mut latest = (0, 0);
        for (incarnation, sequence) in order {
            let heartbeat = Heartbeat {
                router: net::name(2),
                incarnation: id::Incarnation(incarnation),
                sequence,
                heard: Echo::of(own, asked.sequence),
                version: Version(sequence),
                origin: Some(Origin { domain: domain.clone(), address: net::address(2) }),
                ..*asked.clone()
            };
            member.step(now, Event::Heartbeat(Box::new(heartbeat)), &mut out);
            latest = latest.max((incarnation, sequence));
            let seen = member.view().get(&net::name(2)).unwrap();
            prop_assert_eq!((seen.incarnation.0, seen.version.0), latest);
        }
    }

    #[test]
    fn kill_detected_despite_loss(seed in any::<u64>(), loss in 0_u8..20, victim in 1_u16..=20) {
        let faults = Faults { seed, loss, duplicates: 5, delay: Span::from_millis(20) };
        let mut net = Net::new(1, faults);
        net.start_all(20);
        net.run(Span::from_secs(10));
        net.kill(victim);
        net.run(Span::from_millis(2_500));
        let listing: BTreeSet<_> = net.routers.keys().filter(|p| net.view_of(**p).contains_key(&victim)).collect();
        prop_assert!(listing.is_empty(), "{listing:?} still list {victim}");
    }
}

#[test]
fn time_starts_at_zero() {
    let mut net = Net::new(1, Faults::NONE);
    net.now = Time(0);
    net.start_all(3);
    net.run(Span::from_secs(1));
    net.assert_converged();
}
