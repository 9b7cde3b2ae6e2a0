//! Aggregation of cumulative usage reports that are repeated, reordered, corrected or resumed after
//! a network partition.

use marlrun::{
    id,
    unit::{Cost, Time},
    usage, wire,
};

const NOW: Time = Time(1_000_000);

fn report(
    aggregator: &mut usage::Aggregator,
    from: &str,
    sequence: u64,
    served: u64,
    known: u64,
) -> u64 {
    let usage = wire::Usage {
        workspace: "w".parse().unwrap(),
        service: "chat".parse().unwrap(),
        served: Cost(served),
        known,
        included: Cost(0),
        waiting: 1,
        running: 0,
    };
    let report = wire::Report {
        incarnation: id::Incarnation(1),
        sequence,
        usage: vec![usage],
        floors: Vec::new(),
    };
    let from = from.parse().unwrap();
    let mut out = Vec::new();
    aggregator.step(NOW, usage::Event::Report { from, report }, &mut out);
    let (workspace, service) = ("w".parse().unwrap(), "chat".parse().unwrap());
    aggregator.level(&workspace, &service).unwrap()
}

#[test]
fn report_repeated() {
    let mut aggregator = usage::Aggregator::new();
    assert_eq!(report(&mut aggregator, "r1", 1, 50, 0), 50_000);
    assert_eq!(report(&mut aggregator, "r1", 1, 50, 0), 50_000);
}

#[test]
fn report_reordered() {
    let mut aggregator = usage::Aggregator::new();
    assert_eq!(report(&mut aggregator, "r1", 2, 80, 0), 80_000);
    assert_eq!(report(&mut aggregator, "r1", 1, 50, 0), 80_000);
}

#[test]
fn report_corrected_down() {
    let mut aggregator = usage::Aggregator::new();
    report(&mut aggregator, "r1", 1, 80, 0);
    assert_eq!(report(&mut aggregator, "r1", 2, 30, 0), 30_000);
}

#[test]
fn report_after_partition() {
    let mut aggregator = usage::Aggregator::new();
    report(&mut aggregator, "r1", 1, 50, 0);
    report(&mut aggregator, "r2", 1, 20, 0);
    let lost = usage::Event::RouterLost("r2".parse().unwrap());
    aggregator.step(NOW, lost, &mut Vec::new());
    assert_eq!(report(&mut aggregator, "r2", 90, 120, 7_000_000), 170_000);
}

#[test]
fn report_new_aggregator() {
    let mut aggregator = usage::Aggregator::new();
    assert_eq!(report(&mut aggregator, "r1", 9, 10, 500_000), 510_000);
    assert_eq!(report(&mut aggregator, "r2", 9, 20, 400_000), 530_000);
}
