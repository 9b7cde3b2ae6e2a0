//! Names and rosters of routers in four failure domains.
#![allow(dead_code, reason = "each test program uses a part of it")]

use marlrun::{
    dispatch::{Event, Recipients},
    id, roster,
};

/// Number of failure domains.
const DOMAINS: usize = 4;

pub(crate) fn name(index: usize) -> id::Router {
    format!("r{index}").parse().unwrap()
}

pub(crate) fn domain(index: usize) -> id::Domain {
    format!("d{}", index % DOMAINS).parse().unwrap()
}

fn entry(index: usize) -> roster::Entry {
    roster::Entry {
        router: name(index),
        domain: domain(index),
        peer: "127.0.0.1:9".parse().unwrap(),
        millicores: 250,
    }
}

/// Returns the roster as one router has it.
pub(crate) fn roster(index: usize, routers: usize) -> roster::Roster {
    let mut roster = roster::Roster::new(entry(index));
    for other in 0..routers {
        roster.add(entry(other));
    }
    roster
}

/// Returns the event that informs a dispatcher of the roster.
pub(crate) fn event(roster: &roster::Roster) -> Event {
    Event::Roster {
        candidates: roster.candidates(),
        leaders: roster.other_leaders(),
    }
}

/// Returns the routers of an audience.
pub(crate) fn recipients(from: usize, routers: usize, recipients: &Recipients) -> Vec<usize> {
    let others = (0..routers).filter(|index| *index != from);
    match recipients {
        Recipients::All => others.collect(),
        Recipients::Routers(named) => others
            .filter(|index| named.contains(&name(*index)))
            .collect(),
    }
}
