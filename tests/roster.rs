//! Leaders of failure domains and the routers that follow them.

mod fleet;

use std::collections::BTreeMap;

#[test]
fn list_sources_empty_for_one_per_domain() {
    for routers in [4, 7, 28, 68] {
        let mut first = BTreeMap::<_, usize>::new();
        for index in 0..routers {
            let roster = fleet::roster(index, routers);
            let reads = roster.list_sources().is_empty();
            *first.entry(fleet::domain(index)).or_default() += usize::from(reads);
            let own = fleet::name(index);
            assert!(
                roster
                    .list_sources()
                    .iter()
                    .all(|entry| entry.router != own)
            );
            assert!(
                roster
                    .list_sources()
                    .iter()
                    .all(|entry| entry.domain == fleet::domain(index))
            );
        }
        assert!(first.values().all(|readers| *readers == 1), "{first:?}");
    }
}

#[test]
fn candidates_empty_in_small_fleet() {
    for index in 0..7 {
        let roster = fleet::roster(index, 7);
        assert!(roster.candidates().is_empty());
        assert_eq!(roster.other_leaders().len(), 6);
    }
}

#[test]
fn candidates_start_with_leaders() {
    let leaders = (0..68).filter(|index| fleet::roster(*index, 68).is_leader());
    let leaders: Vec<_> = leaders.map(fleet::name).collect();
    assert_eq!(leaders.len(), 8);
    let mut followers = BTreeMap::<_, usize>::new();
    for index in 0..68 {
        let roster = fleet::roster(index, 68);
        let candidates = roster.candidates();
        assert_eq!(candidates.is_empty(), roster.is_leader());
        if let Some(first) = candidates.first() {
            assert!(leaders.contains(first));
            assert!(leaders.contains(&candidates[1]));
            *followers.entry(first.clone()).or_default() += 1;
        }
    }
    assert_eq!(
        followers.len(),
        8,
        "not every leader has followers: {followers:?}"
    );
}

#[test]
fn address_of_sender_that_is_not_listed_yet() {
    let mut roster = fleet::roster(0, 1);
    let started = fleet::name(1);
    assert_eq!(roster.address(&started), None);
    let sender = "127.0.0.1:7".parse().unwrap();
    roster.record_sender(&started, sender);
    assert_eq!(roster.address(&started), Some(sender));
    roster.remove(&started);
    assert_eq!(roster.address(&started), None);
}
