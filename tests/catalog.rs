//! Targets in the catalog while their list is unavailable and after it recovers.

use marlrun::{
    catalog::{Catalog, Entry, Event, Target},
    id,
    unit::{Span, Time},
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn entry(name: &str, started_at_ms: u64) -> Entry {
    Entry {
        name: name.into(),
        sequence: 1,
        rejected: None,
        target: Some(Target {
            name: name.parse().unwrap(),
            started_at_ms,
            service: "app".parse().unwrap(),
            build: id::Build::default(),
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
        sequence: 0,
        rejected: None,
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

fn recovered(confirmed_ms: u64, failed_ms: u64) -> Event {
    Event::Recovered {
        confirmed_at: at(confirmed_ms),
        failed_at: at(failed_ms),
    }
}

/// Targets that are missing after an outage have two seconds from its end. The list is read 0.7 s after it at the latest, as long
/// as a call takes to fail, and targets must be gone three seconds after it.
#[test]
fn recovered_list_read_late() {
    for late_ms in [0, 100, 350, 700] {
        let mut catalog = open();
        catalog.step(at(10), Event::Unavailable);
        let (failed_ms, read_ms) = (9_000, 9_000 + late_ms);
        catalog.step(at(read_ms), recovered(10, failed_ms));
        catalog.step(at(read_ms), Event::Snapshot(vec![entry("b", 1)]));
        catalog.step(at(read_ms + 1_990), Event::Tick);
        assert_eq!(names(&catalog), ["a", "b"], "{late_ms} ms late");
        catalog.step(at(read_ms + 2_000), Event::Update(vec![removed("b")]));
        catalog.step(at(failed_ms + 2_750), Event::Tick);
        assert_eq!(names(&catalog), [""; 0], "{late_ms} ms late");
    }
}

/// An entry expires only after several writes have failed, so that one missing after a shorter outage is that of a target
/// that has left.
#[test]
fn recovered_list_after_short_outage() {
    let mut catalog = open();
    catalog.step(at(8_100), Event::Unavailable);
    catalog.step(at(8_900), recovered(8_000, 8_100));
    catalog.step(at(8_900), Event::Snapshot(vec![entry("b", 1)]));
    assert_eq!(names(&catalog), ["b"]);
    catalog.step(at(9_000), Event::Update(vec![removed("b")]));
    assert_eq!(names(&catalog), [""; 0]);
}

#[test]
fn recovered_list_without_entries() {
    let mut catalog = open();
    catalog.step(at(10), Event::Unavailable);
    catalog.step(at(9_000), recovered(10, 9_000));
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
    catalog.step(at(9_000), recovered(10, 9_000));
    catalog.step(at(9_000), Event::Snapshot(vec![entry("b", 1)]));
    catalog.step(at(10_000), Event::Update(vec![entry("a", 1)]));
    catalog.step(at(20_000), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"]);
}

fn written(name: &str, sequence: u64, draining: bool) -> Entry {
    let mut entry = entry(name, 1);
    entry.sequence = sequence;
    entry.target.as_mut().unwrap().draining = draining;
    entry
}

fn usable(catalog: &Catalog) -> Vec<&str> {
    let targets = catalog.targets().values();
    let usable = targets.filter(|target| !target.draining);
    usable.map(|target| target.name.as_str()).collect()
}

#[test]
fn restored_list_without_entry() {
    let mut catalog = open();
    catalog.step(at(5_000), Event::Restored);
    catalog.step(at(5_000), Event::Snapshot(vec![entry("b", 1)]));
    assert_eq!(catalog.missing(), 1);
    catalog.step(at(7_200), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"], "it may register again");
    catalog.step(at(7_400), Event::Tick);
    assert_eq!(names(&catalog), ["b"]);
}

#[test]
fn restored_list_with_drained_target() {
    let mut catalog = open();
    catalog.step(at(10), Event::Update(vec![written("a", 7, true)]));
    catalog.step(at(20), Event::Update(vec![removed("b")]));
    catalog.step(at(1_000), Event::Restored);
    let copy = vec![written("a", 6, false), written("b", 1, false)];
    catalog.step(at(1_000), Event::Snapshot(copy.clone()));
    assert_eq!(usable(&catalog), [""; 0]);
    assert_eq!(catalog.set_aside(), 2);
    // Reading the same list again changes nothing.
    catalog.step(at(4_000), Event::Snapshot(copy));
    catalog.step(at(9_000), Event::Tick);
    assert_eq!(usable(&catalog), [""; 0]);
    catalog.step(at(9_500), Event::Update(vec![written("a", 8, false)]));
    assert_eq!(usable(&catalog), ["a"], "it wrote again");
    catalog.step(at(9_600), Event::Update(vec![entry("b", 2)]));
    assert_eq!(usable(&catalog), ["a", "b"], "another run wrote");
    assert_eq!(catalog.set_aside(), 0);
}

#[test]
fn restored_list_with_old_entry_kept() {
    let mut catalog = open();
    catalog.step(at(10), Event::Update(vec![removed("b")]));
    catalog.step(at(1_000), Event::Restored);
    let copy = vec![entry("a", 1), entry("b", 1)];
    catalog.step(at(1_000), Event::Snapshot(copy));
    catalog.step(at(60_900), Event::Tick);
    assert_eq!(names(&catalog), ["a"]);
    catalog.step(at(61_100), Event::Tick);
    assert_eq!(names(&catalog), ["a", "b"], "the platform keeps its entry");
}

/// What a target does in one second of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Write { draining: bool },
    Leave,
}

/// Targets and the platform's list of them, as the platform acknowledged it.
#[derive(Clone, Debug, Default)]
struct Day {
    /// Last act and number of writes of each target.
    targets: BTreeMap<&'static str, (Option<Act>, u64)>,
    list: BTreeMap<&'static str, Entry>,
}

impl Day {
    /// Performs an act and returns the change of the list.
    fn act(&mut self, name: &'static str, act: Act) -> Entry {
        let (last, writes) = self.targets.entry(name).or_default();
        *last = Some(act);
        let Act::Write { draining } = act else {
            self.list.remove(name);
            return removed(name);
        };
        *writes += 1;
        let entry = written(name, *writes, draining);
        self.list.insert(name, entry.clone());
        entry
    }

    fn usable(&self) -> Vec<&str> {
        let ready = Some(Act::Write { draining: false });
        let targets = self.targets.iter().filter(|(_, (last, _))| *last == ready);
        targets.map(|(name, _)| *name).collect()
    }

    /// Plays a day in which the list comes back at one moment from an older copy.
    fn play(acts: &[(&'static str, Act)], restore: usize, age: usize) {
        let (mut day, mut catalog) = (Day::default(), Catalog::default());
        catalog.step(at(0), Event::Snapshot(Vec::new()));
        let (mut copies, mut millis) = (Vec::new(), 0);
        for (moment, (name, act)) in acts.iter().enumerate() {
            copies.push(day.list.clone());
            if moment == restore {
                day.list = copies[moment.saturating_sub(age)].clone();
                millis = day.live_on(millis, &mut catalog);
            }
            millis += 1_000;
            let change = day.act(name, *act);
            catalog.step(at(millis), Event::Update(vec![change]));
            catalog.step(at(millis), Event::Tick);
            assert_eq!(usable(&catalog), day.usable(), "after second {moment}");
        }
    }

    /// Plays the seconds after a restore: targets that run write again after a second, and the
    /// platform removes the entries of those that don't.
    fn live_on(&mut self, start: u64, catalog: &mut Catalog) -> u64 {
        let list = |day: &Day| day.list.values().cloned().collect::<Vec<_>>();
        catalog.step(at(start), Event::Restored);
        catalog.step(at(start), Event::Snapshot(list(self)));
        for millis in (start..start + 4_000).step_by(250) {
            if millis == start + 1_000 {
                for (name, (last, _)) in self.targets.clone() {
                    let Some(act @ Act::Write { .. }) = last else {
                        continue;
                    };
                    let change = self.act(name, act);
                    catalog.step(at(millis), Event::Update(vec![change]));
                }
            }
            if millis == start + 2_000 {
                catalog.step(at(millis), Event::Snapshot(list(self)));
            }
            if millis == start + 3_000 {
                let gone = self.targets.iter();
                let gone = gone.filter(|(_, (last, _))| *last == Some(Act::Leave));
                for name in gone.map(|(name, _)| *name).collect::<Vec<_>>() {
                    self.list.remove(name);
                    catalog.step(at(millis), Event::Update(vec![removed(name)]));
                }
            }
            catalog.step(at(millis), Event::Tick);
            assert_eq!(usable(catalog), self.usable(), "{} ms on", millis - start);
        }
        let known: Vec<&str> = self.list.keys().copied().collect();
        assert_eq!(names(catalog), known);
        start + 4_000
    }
}

fn any_act() -> impl Strategy<Value = (&'static str, Act)> {
    let act = prop_oneof![
        3 => Just(Act::Write { draining: false }),
        2 => Just(Act::Write { draining: true }),
        2 => Just(Act::Leave),
    ];
    (prop::sample::select(vec!["a", "b", "c"]), act)
}

proptest! {
    #[test]
    fn restored_list_at_any_moment(acts in prop::collection::vec(any_act(), 1..12)) {
        for restore in 0..acts.len() {
            for age in 0..4 {
                Day::play(&acts, restore, age);
            }
        }
    }
}

/// Guards against a copied entry that counts as a sign of life because its target wrote, unreported, after its last known write.
#[test]
fn restored_list_with_later_write_from_before() {
    let mut catalog = open();
    catalog.step(at(10), Event::Update(vec![removed("b")]));
    catalog.step(at(1_000), Event::Restored);
    let copy = vec![written("a", 5, false), written("b", 5, false)];
    catalog.step(at(1_000), Event::Snapshot(copy));
    assert_eq!(usable(&catalog), ["a"]);
    let later = vec![written("a", 6, false), written("b", 5, false)];
    catalog.step(at(2_600), Event::Snapshot(later));
    catalog.step(at(5_000), Event::Tick);
    assert_eq!(usable(&catalog), ["a"]);
    let again = vec![written("a", 7, false), written("b", 6, false)];
    catalog.step(at(5_600), Event::Snapshot(again));
    assert_eq!(usable(&catalog), ["a", "b"], "it wrote again");
}

/// The same for a target that left before this router started.
#[test]
fn restored_list_with_unknown_entry() {
    let mut catalog = open();
    catalog.step(at(1_000), Event::Restored);
    let copy = vec![entry("a", 1), entry("b", 1), written("c", 5, false)];
    catalog.step(at(1_000), Event::Snapshot(copy));
    assert_eq!(usable(&catalog), ["a", "b"]);
    catalog.step(at(2_000), Event::Update(vec![entry("d", 1)]));
    assert_eq!(usable(&catalog), ["a", "b", "d"], "it registered since");
    catalog.step(at(2_600), Event::Update(vec![written("c", 6, false)]));
    assert_eq!(usable(&catalog), ["a", "b", "c", "d"]);
}

/// Guards against a target whose departure this router never saw, because it started after the restore or the platform was away
/// at once.
#[test]
fn restored_list_with_silent_target() {
    for is_known in [true, false] {
        let mut catalog = if is_known { open() } else { Catalog::default() };
        catalog.step(at(1_000), Event::Restored);
        let copy = vec![entry("a", 1), entry("b", 1), entry("c", 1)];
        let known = if is_known { &copy[..2] } else { &copy };
        catalog.step(at(1_000), Event::Snapshot(known.to_vec()));
        assert!(!catalog.take_refresh(at(2_500)));
        assert!(catalog.take_refresh(at(2_600)));
        assert!(!catalog.take_refresh(at(2_700)));
        let mut list = known.to_vec();
        list[0] = written("a", 2, false);
        catalog.step(at(2_700), Event::Snapshot(list));
        catalog.step(at(2_990), Event::Tick);
        assert_eq!(usable(&catalog).len(), known.len());
        catalog.step(at(3_000), Event::Tick);
        // Of three, one has written and two have not, so that writes may be late.
        let expected: &[&str] = if is_known { &["a"] } else { &["a", "b", "c"] };
        assert_eq!(usable(&catalog), expected);
        catalog.step(at(4_000), Event::Update(vec![written("b", 2, false)]));
        catalog.step(at(4_000), Event::Tick);
        assert_eq!(usable(&catalog), ["a", "b"]);
    }
}
