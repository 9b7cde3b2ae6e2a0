//! Membership over a fake network.

use marlrun::{
    id,
    member::{Action, Event, Membership},
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// A network without loss or delay.
struct Net {
    now: Time,
    routers: BTreeMap<u16, Membership>,
}

impl Net {
    fn start(&mut self, port: u16, incarnation: u64) {
        let mut member = Membership::new(
            format!("r{port}").parse().unwrap(),
            id::Incarnation(incarnation),
            "vake".parse().unwrap(),
            ([127, 0, 0, 1], port).into(),
        );
        let seeds = (1..=5).map(|port| ([127, 0, 0, 1], port).into()).collect();
        member.step(self.now, Event::Seeds(seeds), &mut Vec::new());
        self.routers.insert(port, member);
    }

    fn run(&mut self, span: Span) -> Vec<Action> {
        let mut seen = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + marlrun::member::TICK;
            let mut out = Vec::new();
            for member in self.routers.values_mut() {
                member.step(self.now, Event::Tick, &mut out);
            }
            while let Some(action) = out.pop() {
                if let Action::Datagram { to, heartbeat } = action {
                    if let Some(member) = self.routers.get_mut(&to.port()) {
                        member.step(self.now, Event::Heartbeat(heartbeat), &mut out);
                    }
                } else {
                    seen.push(action);
                }
            }
        }
        seen
    }

    fn sees(&self, port: u16) -> Vec<(u16, u64)> {
        let view = self.routers[&port].view();
        view.iter()
            .map(|m| (m.address.port(), m.incarnation.0))
            .collect()
    }
}

#[test]
fn members_found_dead_dropped_restart_seen() {
    let mut net = Net {
        now: Time(0),
        routers: BTreeMap::new(),
    };
    for port in 1..=5 {
        net.start(port, 1);
    }
    net.run(Span::from_secs(2));
    let all: Vec<_> = (1..=5).map(|port| (port, 1)).collect();
    for port in 1..=5 {
        assert_eq!(net.sees(port), all);
    }
    net.routers.remove(&3);
    let seen = net.run(Span::from_millis(1_300));
    let down = Action::Down {
        router: "r3".parse().unwrap(),
        incarnation: id::Incarnation(1),
    };
    assert_eq!(seen.iter().filter(|action| **action == down).count(), 4);
    net.start(3, 2);
    net.run(Span::from_secs(2));
    let all = [(1, 1), (2, 1), (3, 2), (4, 1), (5, 1)];
    for port in 1..=5 {
        assert_eq!(net.sees(port), all);
    }
}
