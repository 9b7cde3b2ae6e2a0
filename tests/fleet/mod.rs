//! Names and rosters of routers in four failure domains.
#![allow(dead_code, reason = "each test program uses a part of it")]

use marlrun::{dispatch::Event, id, roster};

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
        answers_probes: true,
        doubted: false,
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

/// Returns the roster as one router has it while others are listed, too.
pub(crate) fn roster_beside(index: usize, routers: usize, others: &[usize]) -> roster::Roster {
    let mut roster = roster(index, routers);
    for other in others {
        roster.add(entry(*other));
    }
    roster
}

/// Returns the event that informs a dispatcher of the roster.
pub(crate) fn event(roster: &roster::Roster) -> Event {
    Event::Roster {
        candidates: roster.candidates(),
        leaders: roster.other_leaders(),
        neighbors: roster.neighbors(),
        others: roster.len(),
    }
}

/// Returns the indices of the recipients of a batch.
pub(crate) fn recipients(from: usize, routers: usize, recipients: &[id::Router]) -> Vec<usize> {
    let indices = recipients.iter().map(|router| {
        let index = router.as_str().strip_prefix('r').unwrap();
        index.parse::<usize>().unwrap()
    });
    indices
        .filter(|index| *index != from && *index < routers)
        .collect()
}
