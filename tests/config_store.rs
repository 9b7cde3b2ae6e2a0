//! Stored configuration: concurrent changes, lost answers and outages of the platform.

use marlrun::{
    config::{
        Change, Document, Replica, Store, Update,
        replica::Event,
        store::{Error, Outcome, Proposal},
    },
    table::{Expect, Fault, Objects, Row, Table, Verdict, Write},
    unit::{Time, Version},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

/// Simulated failure of one write to the table.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    None,
    LostBefore,
    LostAfter,
    Unreachable,
}

#[derive(Default)]
struct Platform {
    rows: Mutex<BTreeMap<Box<str>, Row>>,
    objects: Mutex<BTreeMap<Box<str>, Vec<u8>>>,
    failures: Mutex<VecDeque<Failure>>,
}

fn lost() -> Fault {
    Fault::Lost {
        call: "write".into(),
        cause: "test".into(),
    }
}

fn unreachable() -> Fault {
    Fault::Unreachable {
        call: "write".into(),
        cause: "test".into(),
    }
}

impl Table for Platform {
    fn read(&self, keys: &[Box<str>]) -> Result<Vec<Row>, Fault> {
        let rows = self.rows.lock().unwrap();
        Ok(keys
            .iter()
            .filter_map(|key| rows.get(key).cloned())
            .collect())
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Fault> {
        let rows = self.rows.lock().unwrap();
        let mut found: Vec<Row> = rows.values().cloned().collect();
        found.retain(|row| row.key.starts_with(prefix) && &*row.key > after);
        found.sort_by(|a, b| a.key.cmp(&b.key));
        found.truncate(limit);
        Ok(found)
    }

    fn write(&self, writes: &[Write]) -> Result<Verdict, Fault> {
        let failure = self.failures.lock().unwrap().pop_front();
        match failure.unwrap_or(Failure::None) {
            Failure::LostBefore => return Err(lost()),
            Failure::Unreachable => return Err(unreachable()),
            Failure::LostAfter => {
                self.commit(writes);
                return Err(lost());
            }
            Failure::None => {}
        }
        Ok(self.commit(writes))
    }
}

impl Platform {
    fn commit(&self, writes: &[Write]) -> Verdict {
        let [write] = writes else {
            panic!("each write must have one row");
        };
        let mut rows = self.rows.lock().unwrap();
        let version = rows.get(&write.key).map_or(0, |row| row.version);
        let expected = match write.expect {
            Expect::Any => version,
            Expect::Absent => 0,
            Expect::Version(version) => version,
        };
        if expected != version {
            return Verdict::Conflict(rows.get(&write.key).cloned().into_iter().collect());
        }
        let row = Row {
            key: write.key.clone(),
            version: version + 1,
            value: write.value.clone().expect("the head row is never removed"),
        };
        rows.insert(write.key.clone(), row);
        Verdict::Committed
    }
}

impl Objects for Platform {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        Ok(self.objects.lock().unwrap().get(name).cloned())
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), Fault> {
        let mut objects = self.objects.lock().unwrap();
        objects.insert(name.into(), body.into());
        Ok(())
    }
}

fn store() -> (Arc<Platform>, Store) {
    let platform = Arc::new(Platform::default());
    let store = Store::new(platform.clone(), platform.clone());
    (platform, store)
}

/// Returns a proposal that sets the capacity in the stored configuration.
fn proposal(store: &Store, change: u64, capacity: u64) -> Proposal {
    let stored = store.load().unwrap();
    let document = Document {
        capacity,
        ..stored.document.clone()
    };
    Proposal {
        change: Change(change),
        base: stored.version(),
        current: stored.document,
        document,
        floor: Version(0),
        author: "ana".into(),
        note: "test".into(),
        at: 0,
    }
}

fn accept(store: &Store, change: u64, capacity: u64) {
    let outcome = store.apply(&proposal(store, change, capacity), &mut |_| {});
    assert!(matches!(
        outcome,
        Ok(Outcome::Accepted {
            superseded: None,
            ..
        })
    ));
}

fn inject(platform: &Platform, failures: &[Failure]) {
    platform.failures.lock().unwrap().extend(failures);
}

#[test]
fn apply_grows_version() {
    let (_, store) = store();
    assert_eq!(store.load().unwrap().version(), Version(0));
    accept(&store, 1, 10);
    accept(&store, 2, 20);
    let stored = store.load().unwrap();
    assert_eq!(
        (stored.version(), stored.document.capacity),
        (Version(2), 20)
    );
    let history = store.history(10).unwrap();
    let versions: Vec<_> = history.iter().map(|head| head.entry.version.0).collect();
    assert_eq!(versions, [2, 1]);
    let first = store.load_version(Version(1)).unwrap().unwrap();
    assert_eq!(first.document.capacity, 10);
    assert!(store.load_version(Version(3)).unwrap().is_none());
}

#[test]
fn apply_unchanged() {
    let (_, store) = store();
    accept(&store, 1, 10);
    let outcome = store.apply(&proposal(&store, 2, 10), &mut |_| {});
    assert!(matches!(outcome, Ok(Outcome::Unchanged)));
}

#[test]
fn apply_two_operators_at_once() {
    let (_, store) = store();
    accept(&store, 1, 10);
    let first = proposal(&store, 2, 20);
    let second = proposal(&store, 3, 30);
    assert!(matches!(
        store.apply(&first, &mut |_| {}),
        Ok(Outcome::Accepted { .. })
    ));
    let Ok(Outcome::Conflict {
        winner: Some(winner),
    }) = store.apply(&second, &mut |_| {})
    else {
        panic!("the second change must conflict");
    };
    assert_eq!(
        (winner.entry.version, winner.entry.change),
        (Version(2), Change(2))
    );
    assert_eq!(store.load().unwrap().document.capacity, 20);
}

#[test]
fn apply_race_inside_write() {
    let (platform, store) = store();
    accept(&store, 1, 10);
    let slow = proposal(&store, 2, 20);
    inject(&platform, &[Failure::Unreachable]);
    let outcome = store.apply(&slow, &mut |_| accept(&store, 3, 30));
    assert!(
        matches!(outcome, Ok(Outcome::Conflict { winner: Some(head) }) if head.entry.change == Change(3))
    );
}

#[test]
fn apply_lost_answer() {
    for failures in [
        &[Failure::LostAfter][..],
        &[
            Failure::LostBefore,
            Failure::LostAfter,
            Failure::Unreachable,
        ],
    ] {
        let (platform, store) = store();
        accept(&store, 1, 10);
        let mine = proposal(&store, 2, 20);
        inject(&platform, failures);
        let outcome = store.apply(&mine, &mut |_| {});
        assert!(matches!(
            outcome,
            Ok(Outcome::Accepted {
                superseded: None,
                ..
            })
        ));
        assert_eq!(store.history(9).unwrap().len(), 2);
    }
}

#[test]
fn apply_lost_answer_then_superseded() {
    let (platform, store) = store();
    accept(&store, 1, 10);
    let mine = proposal(&store, 2, 20);
    inject(&platform, &[Failure::LostAfter]);
    let outcome = store.apply(&mine, &mut |_| accept(&store, 3, 30));
    let Ok(Outcome::Accepted {
        head,
        superseded: Some(later),
    }) = outcome
    else {
        panic!("the change must be accepted, then superseded");
    };
    assert_eq!(
        (head.entry.version, later.entry.version),
        (Version(2), Version(3))
    );
}

#[test]
fn apply_platform_down() {
    let (platform, store) = store();
    inject(&platform, &[Failure::Unreachable; 9]);
    let outcome = store.apply(&proposal(&store, 1, 10), &mut |_| {});
    assert!(matches!(
        outcome,
        Err(Error::Platform(Fault::Unreachable { .. }))
    ));
    assert_eq!(store.load().unwrap().version(), Version(0));
}

#[test]
fn apply_platform_down_after_lost_answer() {
    let (platform, store) = store();
    let mut failures = [Failure::Unreachable; 9];
    failures[0] = Failure::LostAfter;
    inject(&platform, &failures);
    let outcome = store.apply(&proposal(&store, 1, 10), &mut |_| {});
    assert!(matches!(outcome, Ok(Outcome::Unknown { .. })));
}

#[test]
fn apply_above_floor() {
    let (_, store) = store();
    accept(&store, 1, 10);
    let mut restored = proposal(&store, 2, 20);
    restored.floor = Version(7);
    assert!(matches!(
        store.apply(&restored, &mut |_| {}),
        Ok(Outcome::Accepted { .. })
    ));
    assert_eq!(store.load().unwrap().version(), Version(8));
    // No step starts from version 7, so a router at that version gets a snapshot.
    let update = store.changes(Version(7)).unwrap().unwrap();
    assert_eq!((update.from(), update.to()), (Version(0), Version(8)));
    let update = store.changes(Version(1)).unwrap().unwrap();
    assert_eq!((update.from(), update.to()), (Version(1), Version(8)));
}

#[test]
fn changes_after_restored_table_reach_replica() {
    let (platform, store) = store();
    let mut replica = Replica::new("a".parse().unwrap());
    let mut replicate = |store: &Store| {
        let changes = store.changes(replica.version()).unwrap();
        let mut out = Vec::new();
        replica.step(Time(0), Event::Platform(Ok(changes)), &mut out);
        (replica.version(), replica.digest())
    };
    accept(&store, 1, 10);
    let old = platform.rows.lock().unwrap().clone();
    accept(&store, 2, 20);
    accept(&store, 3, 30);
    assert_eq!(replicate(&store).0, Version(3));
    *platform.rows.lock().unwrap() = old;
    assert_eq!(
        replicate(&store).0,
        Version(3),
        "an older table must not decrease the version"
    );
    let mut restored = proposal(&store, 4, 40);
    restored.floor = Version(3);
    assert!(matches!(
        store.apply(&restored, &mut |_| {}),
        Ok(Outcome::Accepted { .. })
    ));
    let stored = store.load().unwrap();
    assert_eq!(stored.document.capacity, 40);
    assert_eq!(replicate(&store), (Version(4), stored.document.digest()));
}

#[test]
fn changes_across_snapshots() {
    let (_, store) = store();
    for version in 1..=300 {
        accept(&store, version, 1_000 + version);
    }
    for have in [0, 1, 127, 128, 129, 200, 256, 257, 299] {
        let update = store.changes(Version(have)).unwrap().unwrap();
        let snapshot = have < 300 - 128;
        let from = if snapshot { Version(0) } else { Version(have) };
        assert_eq!(
            (update.from(), update.to()),
            (from, Version(300)),
            "from {have}"
        );
        assert!(
            update.steps.len() <= 129,
            "from {have}: {}",
            update.steps.len()
        );
        let decoded = Update::decode(&update.encode()).unwrap();
        assert_eq!(decoded, update);
    }
    assert!(store.changes(Version(300)).unwrap().is_none());
    assert_eq!(
        store
            .load_version(Version(150))
            .unwrap()
            .unwrap()
            .document
            .capacity,
        1_150
    );
}

#[test]
fn load_damaged_object() {
    let (platform, store) = store();
    accept(&store, 1, 10);
    let mut objects = platform.objects.lock().unwrap();
    let snapshot = objects.values_mut().find(|body| body.starts_with(b"["));
    let snapshot = snapshot.unwrap();
    *snapshot = String::from_utf8(snapshot.clone())
        .unwrap()
        .replace(":10", ":11")
        .into();
    drop(objects);
    assert!(matches!(store.load(), Err(Error::Mismatch { .. })));
}

#[derive(Clone, Debug)]
struct Attempt {
    capacity: u64,
    failures: Vec<Failure>,
    /// Capacity that another operator sets while the first one waits for a retry.
    competitor: Option<u64>,
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let failure = prop_oneof![
        Just(Failure::None),
        Just(Failure::LostBefore),
        Just(Failure::LostAfter),
        Just(Failure::Unreachable),
    ];
    let failures = prop::collection::vec(failure, 0..7);
    (1_u64..5, failures, prop::option::of(5_u64..9)).prop_map(|(capacity, failures, competitor)| {
        Attempt {
            capacity,
            failures,
            competitor,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Each outcome agrees with the stored history, and the version never decreases.
    #[test]
    fn apply_outcome_agrees_with_history(attempts in prop::collection::vec(attempt(), 1..8)) {
        let (platform, store) = store();
        let mut known = 0;
        for (index, attempt) in attempts.into_iter().enumerate() {
            let change = index as u64 * 2;
            let mine = proposal(&store, change, attempt.capacity);
            inject(&platform, &attempt.failures);
            let mut competitor = attempt.competitor;
            let outcome = store.apply(&mine, &mut |_| {
                if let Some(capacity) = competitor.take() {
                    let theirs = proposal(&store, change + 1, capacity);
                    let _ = store.apply(&theirs, &mut |_| {});
                }
            });
            platform.failures.lock().unwrap().clear();
            let history = store.history(100).unwrap();
            let count = history.iter().filter(|head| head.entry.change == Change(change)).count();
            match outcome {
                Ok(Outcome::Accepted { head, superseded }) => {
                    prop_assert_eq!(count, 1);
                    prop_assert_eq!(superseded.is_some(), history[0].entry != head.entry);
                }
                Ok(Outcome::Unknown { .. }) => prop_assert!(count <= 1),
                _ => prop_assert_eq!(count, 0),
            }
            let version = store.load().unwrap().version().0;
            prop_assert!(version >= known);
            prop_assert_eq!(history.len() as u64, version);
            known = version;
        }
    }
}
