//! Owners of targets, and routers that count the usage of workspaces.

use marlrun::{
    config, id,
    member::{Member, View},
    placement,
    unit::Version,
};
use proptest::prelude::*;

fn member(index: usize, domains: usize, leaving: bool) -> Member {
    Member {
        router: format!("router-{index}").parse().unwrap(),
        incarnation: id::Incarnation(1),
        domain: format!("domain-{}", index % domains).parse().unwrap(),
        address: format!("127.0.0.1:{}", 7_000 + index).parse().unwrap(),
        leaving,
        version: Version(1),
        loads: Vec::new(),
        floors: Vec::new(),
        unfit: Vec::new(),
    }
}

fn target(index: usize, domains: usize) -> config::Target {
    config::Target {
        name: format!("target-{index}").parse().unwrap(),
        service: "dispatch".parse().unwrap(),
        domain: format!("domain-{}", index % domains).parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 8,
    }
}

fn workspace(index: usize) -> id::Workspace {
    format!("workspace-{index}").parse().unwrap()
}

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::with_cases(64);
    config.failure_persistence = None;
    config
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn remove_moves_only_its_share(
        routers in 2_usize..40,
        domains in 1_usize..5,
        gone in any::<prop::sample::Index>(),
        leaves in any::<bool>(),
    ) {
        let gone = gone.index(routers);
        let before = View::of((0..routers).map(|i| member(i, domains, false)));
        let kept = (0..routers).filter(|i| leaves || *i != gone);
        let after = View::of(kept.map(|i| member(i, domains, i == gone)));
        let lost = member(gone, domains, false).router;
        for i in 0..100 {
            let target = target(i, domains);
            let owners = (
                placement::owner_of(&target, &before).unwrap(),
                placement::owner_of(&target, &after).unwrap(),
            );
            prop_assert!(owners.0 == owners.1 || *owners.0 == lost);
            prop_assert!(*owners.1 != lost);
            let tallies = (
                placement::aggregator_of(&workspace(i), &before).unwrap(),
                placement::aggregator_of(&workspace(i), &after).unwrap(),
            );
            prop_assert!(tallies.0 == tallies.1 || *tallies.0 == lost);
            prop_assert!(*tallies.1 != lost);
        }
    }

    #[test]
    fn owner_in_domain(routers in 1_usize..40, domains in 1_usize..5) {
        let view = View::of((0..routers).map(|i| member(i, domains, false)));
        for i in 0..50 {
            let target = target(i, domains);
            let owner = view.get(placement::owner_of(&target, &view).unwrap()).unwrap();
            let some = view.iter().any(|m| m.domain == target.domain);
            prop_assert!(!some || owner.domain == target.domain);
        }
    }
}

#[test]
fn aggregator_is_spread_evenly() {
    let view = View::of((0..330).map(|i| member(i, 6, false)));
    let mut counts = std::collections::BTreeMap::new();
    for i in 0..49_000 {
        let aggregator = placement::aggregator_of(&workspace(i), &view).unwrap();
        *counts.entry(aggregator).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 330);
    assert!(
        counts.values().all(|count| (90..220).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn owner_all_leaving() {
    let view = View::of((0..3).map(|i| member(i, 1, true)));
    assert_eq!(placement::owner_of(&target(0, 1), &view), None);
    assert_eq!(placement::aggregator_of(&workspace(0), &view), None);
}
