//! Targets in the catalog while their list is unavailable and after it recovers.

use marlrun::{
    catalog::{Catalog, Event, Listed, Target},
    unit::{Span, Time},
};

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn listed(name: &str, born: u64) -> Listed {
    Listed {
        name: name.into(),
        target: Some(Target {
            name: name.parse().unwrap(),
            born,
            service: "app".parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "east".parse().unwrap(),
            slots: 4,
            leaving: false,
            warm_up: Span(0),
        }),
    }
}

fn gone(name: &str) -> Listed {
    Listed {
        name: name.into(),
        target: None,
    }
}

fn names(catalog: &Catalog) -> Vec<&str> {
    catalog.targets().keys().map(|name| name.as_str()).collect()
}

fn open() -> Catalog {
    let mut catalog = Catalog::default();
    let whole = Event::Whole(vec![listed("a", 1), listed("b", 1)]);
    assert!(catalog.step(at(0), whole));
    catalog
}

#[test]
fn changed_entry_removed() {
    let mut catalog = open();
    assert!(catalog.step(at(10), Event::Changed(vec![gone("a")])));
    assert_eq!(names(&catalog), ["b"]);
}

#[test]
fn changed_older_run() {
    let mut catalog = open();
    assert!(catalog.step(at(10), Event::Changed(vec![listed("a", 5)])));
    assert!(!catalog.step(at(20), Event::Changed(vec![listed("a", 4)])));
    let born = catalog.targets().values().map(|target| target.born);
    assert_eq!(born.collect::<Vec<_>>(), [5, 1]);
}

#[test]
fn lost_list_keeps_targets() {
    let mut catalog = open();
    catalog.step(at(10), Event::Lost);
    for millis in (10..60_000).step_by(100) {
        catalog.step(at(millis), Event::Tick);
    }
    assert_eq!(names(&catalog), ["a", "b"]);
}

#[test]
fn regained_list_without_entries() {
    let mut catalog = open();
    catalog.step(at(10), Event::Lost);
    catalog.step(at(9_000), Event::Regained);
    catalog.step(at(9_000), Event::Whole(vec![listed("b", 1)]));
    assert_eq!(names(&catalog), ["a", "b"], "it may register again");
    catalog.step(at(10_000), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"]);
    catalog.step(at(11_500), Event::Tick);
    assert_eq!(names(&catalog), ["b"], "still missing is gone");
}

#[test]
fn regained_list_entry_back() {
    let mut catalog = open();
    catalog.step(at(10), Event::Lost);
    catalog.step(at(9_000), Event::Regained);
    catalog.step(at(9_000), Event::Whole(vec![listed("b", 1)]));
    catalog.step(at(10_000), Event::Changed(vec![listed("a", 1)]));
    catalog.step(at(20_000), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"]);
}
