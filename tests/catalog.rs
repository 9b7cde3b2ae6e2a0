//! Targets in the catalog while their list is unavailable and after it recovers.

use marlrun::{
    catalog::{Catalog, Entry, Event, Target},
    unit::{Span, Time},
};

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn entry(name: &str, started_at_ms: u64) -> Entry {
    Entry {
        name: name.into(),
        target: Some(Target {
            name: name.parse().unwrap(),
            started_at_ms,
            service: "app".parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "east".parse().unwrap(),
            slots: 4,
            draining: false,
            warm_up: Span(0),
        }),
    }
}

fn removed(name: &str) -> Entry {
    Entry {
        name: name.into(),
        target: None,
    }
}

fn names(catalog: &Catalog) -> Vec<&str> {
    catalog.targets().keys().map(|name| name.as_str()).collect()
}

fn open() -> Catalog {
    let mut catalog = Catalog::default();
    let snapshot = Event::Snapshot(vec![entry("a", 1), entry("b", 1)]);
    assert!(catalog.step(at(0), snapshot));
    catalog
}

#[test]
fn changed_entry_removed() {
    let mut catalog = open();
    assert!(catalog.step(at(10), Event::Update(vec![removed("a")])));
    assert_eq!(names(&catalog), ["b"]);
}

#[test]
fn changed_older_run() {
    let mut catalog = open();
    assert!(catalog.step(at(10), Event::Update(vec![entry("a", 5)])));
    assert!(!catalog.step(at(20), Event::Update(vec![entry("a", 4)])));
    let started_at_ms = catalog
        .targets()
        .values()
        .map(|target| target.started_at_ms);
    assert_eq!(started_at_ms.collect::<Vec<_>>(), [5, 1]);
}

#[test]
fn unavailable_list_keeps_targets() {
    let mut catalog = open();
    catalog.step(at(10), Event::Unavailable);
    for millis in (10..60_000).step_by(100) {
        catalog.step(at(millis), Event::Tick);
    }
    assert_eq!(names(&catalog), ["a", "b"]);
}

#[test]
fn recovered_list_without_entries() {
    let mut catalog = open();
    catalog.step(at(10), Event::Unavailable);
    catalog.step(at(9_000), Event::Recovered);
    catalog.step(at(9_000), Event::Snapshot(vec![entry("b", 1)]));
    assert_eq!(names(&catalog), ["a", "b"], "it may register again");
    catalog.step(at(10_000), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"]);
    catalog.step(at(11_500), Event::Tick);
    assert_eq!(names(&catalog), ["b"], "still missing, so it is removed");
}

#[test]
fn recovered_list_entry_registered_again() {
    let mut catalog = open();
    catalog.step(at(10), Event::Unavailable);
    catalog.step(at(9_000), Event::Recovered);
    catalog.step(at(9_000), Event::Snapshot(vec![entry("b", 1)]));
    catalog.step(at(10_000), Event::Update(vec![entry("a", 1)]));
    catalog.step(at(20_000), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"]);
}
