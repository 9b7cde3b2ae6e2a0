//! Replication of the configuration to routers.

use marlrun::{
    config::{
        Account, Delta, Digest, Document, Fleet, Replica, Step, Update, Workspace,
        replica::{Action, Event, State},
    },
    id,
    table::Fault,
    unit::{Span, Time, Version, Weight},
    wire::{Envelope, Message},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

const ROUTERS: usize = 5;
const ROUND: Span = Span::from_millis(200);
/// Rounds in 8 s, the time within which a change must be active on every router.
const ROUNDS_ALLOWED: usize = 40;

fn router(index: usize) -> id::Router {
    format!("r{index}").parse().unwrap()
}

fn index(router: &id::Router) -> usize {
    router.as_str()[1..].parse().unwrap()
}

/// Returns the document of a version: one workspace whose weight is the version.
fn document(version: u64) -> Document {
    let mut document = Document::default();
    if let Some(weight) = Weight::new(version as u32) {
        let name: id::Workspace = "w".parse().unwrap();
        let workspace = Arc::new(Workspace {
            name: name.clone(),
            weight,
        });
        let keys = Box::default();
        document
            .workspaces
            .insert(name, Account { workspace, keys });
    }
    document
}

fn step(from: u64, to: u64) -> Step {
    let document = document(to);
    Step {
        from: Version(from),
        to: Version(to),
        digest: document.digest(),
        delta: Delta::between(&self::document(from), &document),
    }
}

fn update(have: u64, to: u64) -> Update {
    let steps = match have {
        0 => vec![step(0, to)],
        _ => (have..to).map(|from| step(from, from + 1)).collect(),
    };
    Update { steps }
}

fn unreachable() -> Fault {
    Fault::Unreachable {
        call: "read".into(),
        cause: "test".into(),
    }
}

/// Routers with a simulated network and platform, which can fail.
struct Cluster {
    now: Time,
    replicas: Vec<Replica>,
    queue: VecDeque<(usize, Event)>,
    /// Deltas sent so far: receiver, sender and body.
    sent: Vec<(usize, id::Router, Vec<u8>)>,
    installed: Vec<Option<Arc<Fleet>>>,
    /// Newest version that each router got from others since it started and can install: it does so only
    /// once the platform can't be read for a while.
    held: Vec<u64>,
    /// Partition that each router is in.
    partitions: Vec<usize>,
    head: u64,
    platform_up: bool,
    /// Number of versions by which the table's reads lag behind.
    lag: u64,
    drop_messages: bool,
}

impl Cluster {
    fn new() -> Self {
        let domain: id::Domain = "a".parse().unwrap();
        Self {
            now: Time(0),
            replicas: (0..ROUTERS).map(|_| Replica::new(domain.clone())).collect(),
            queue: VecDeque::new(),
            sent: Vec::new(),
            installed: vec![None; ROUTERS],
            held: vec![0; ROUTERS],
            partitions: vec![0; ROUTERS],
            head: 1,
            platform_up: true,
            lag: 0,
            drop_messages: false,
        }
    }

    fn restart(&mut self, at: usize) {
        self.replicas[at] = Replica::new("a".parse().unwrap());
        self.installed[at] = None;
        self.held[at] = 0;
    }

    fn version(&self, at: usize) -> u64 {
        self.replicas[at].version().0
    }

    /// Handles an event and all events that result from it, in order.
    fn event(&mut self, at: usize, event: Event) {
        self.queue.push_back((at, event));
        while let Some((at, event)) = self.queue.pop_front() {
            if let Event::Delta { body, .. } = &event {
                self.hold(at, body);
            }
            let mut out = Vec::new();
            self.replicas[at].step(self.now, event, &mut out);
            for action in out {
                self.perform(at, action);
            }
        }
    }

    fn hold(&mut self, at: usize, body: &[u8]) {
        let steps = Update::decode(body).unwrap().steps;
        let (first, last) = (&steps[0], &steps[steps.len() - 1]);
        if first.from.0 <= self.version(at).max(self.held[at]) {
            self.held[at] = self.held[at].max(last.to.0);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Install(fleet) => {
                if let Some(old) = &self.installed[at] {
                    assert!(
                        fleet.version > old.version,
                        "r{at} went back to version {}",
                        fleet.version
                    );
                }
                let weight = fleet.workspaces["w"].weight.get();
                assert_eq!(
                    u64::from(weight),
                    fleet.version.0,
                    "contents of another version"
                );
                self.installed[at] = Some(fleet);
            }
            Action::ReadPlatform { have } => {
                let head = self.head.saturating_sub(self.lag);
                let answer = match self.platform_up {
                    false => Err(unreachable()),
                    true => Ok((head > have.0).then(|| update(have.0, head))),
                };
                self.queue.push_back((at, Event::Platform(answer)));
            }
            Action::Send(Envelope { to, message }) => self.deliver(at, index(&to), message),
            Action::Refused { origin, reason } => panic!("r{at} refused {origin}: {reason}"),
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.drop_messages || self.partitions[from] != self.partitions[to] {
            return;
        }
        let router = router(from);
        let event = match message {
            Message::Fetch { have } => Event::Fetch { router, have },
            Message::Delta { body, .. } => {
                self.sent.push((to, router.clone(), body.clone()));
                Event::Delta { router, body }
            }
            other => panic!("unexpected {other:?}"),
        };
        self.queue.push_back((to, event));
    }

    /// Advances the time by 200 ms: heartbeats between connected routers, then a tick on each router.
    fn round(&mut self) {
        self.now = self.now + ROUND;
        for from in 0..ROUTERS {
            let version = Version(self.version(from));
            for to in 0..ROUTERS {
                if from != to && self.partitions[from] == self.partitions[to] {
                    let router = router(from);
                    self.event(to, Event::PeerVersion { router, version });
                }
            }
        }
        for at in 0..ROUTERS {
            self.event(at, Event::Tick);
        }
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    fn versions(&self) -> Vec<u64> {
        (0..ROUTERS).map(|at| self.version(at)).collect()
    }
}

#[test]
fn start_reads_platform_once() {
    let mut cluster = Cluster::new();
    cluster.rounds(1);
    assert_eq!(cluster.versions(), [1; ROUTERS]);
}

#[test]
fn start_without_platform_and_peers_is_unready() {
    let mut cluster = Cluster::new();
    cluster.platform_up = false;
    cluster.rounds(100);
    assert_eq!(cluster.versions(), [0; ROUTERS]);
    let state = cluster.replicas[0].state();
    assert_eq!(
        state.to_string(),
        "no configuration; platform: platform read: cannot be reached: test; \
         peers with a configuration: 0"
    );
}

#[test]
fn change_spreads_when_one_router_reaches_platform() {
    let mut cluster = Cluster::new();
    cluster.rounds(1);
    cluster.platform_up = false;
    cluster.event(0, Event::Platform(Ok(Some(update(1, 2)))));
    cluster.rounds(2);
    assert_eq!(cluster.versions(), [2; ROUTERS]);
}

#[test]
fn restart_of_all_with_platform_down_keeps_what_was_sent() {
    let mut cluster = Cluster::new();
    cluster.rounds(1);
    cluster.platform_up = false;
    [2, 4, 0].iter().for_each(|at| cluster.restart(*at));
    cluster.rounds(1);
    [3, 1].iter().for_each(|at| cluster.restart(*at));
    assert_eq!(cluster.versions(), [0; ROUTERS]);
    assert_eq!(cluster.held, [1, 0, 1, 0, 1]);
    cluster.rounds(ROUNDS_ALLOWED);
    assert_eq!(cluster.versions(), [1; ROUTERS]);
}

#[test]
fn restart_with_platform_down_asks_peers() {
    let mut cluster = Cluster::new();
    cluster.rounds(1);
    cluster.platform_up = false;
    cluster.restart(3);
    cluster.rounds(5);
    assert_eq!(
        cluster.version(3),
        0,
        "the router must collect its peers' versions first"
    );
    cluster.rounds(1);
    assert_eq!(cluster.versions(), [1; ROUTERS]);
}

#[test]
fn restart_with_stale_peer_takes_newest() {
    let mut cluster = Cluster::new();
    cluster.rounds(1);
    cluster.partitions = vec![1, 0, 0, 0, 0];
    cluster.head = 5;
    cluster.rounds(20);
    cluster.platform_up = false;
    cluster.partitions = vec![0; ROUTERS];
    cluster.drop_messages = true;
    cluster.restart(4);
    cluster.rounds(2);
    cluster.drop_messages = false;
    cluster.rounds(20);
    assert_eq!(cluster.versions(), [5; ROUTERS]);
}

#[test]
fn restart_with_stale_table_takes_newest() {
    let mut cluster = Cluster::new();
    cluster.head = 5;
    cluster.rounds(1);
    cluster.lag = 3;
    cluster.restart(2);
    let router = router(0);
    let version = Version(5);
    cluster.event(2, Event::PeerVersion { router, version });
    cluster.event(2, Event::Tick);
    assert_eq!(
        cluster.version(2),
        5,
        "the table's version 2 must not be activated"
    );
}

#[test]
fn stale_table_changes_nothing() {
    let mut cluster = Cluster::new();
    cluster.head = 5;
    cluster.rounds(1);
    cluster.lag = 3;
    cluster.rounds(40);
    assert_eq!(cluster.versions(), [5; ROUTERS]);
}

#[test]
fn partition_keeps_version_and_rejoin_takes_higher() {
    let mut cluster = Cluster::new();
    cluster.rounds(1);
    cluster.platform_up = false;
    cluster.partitions = vec![0, 0, 0, 1, 1];
    cluster.event(0, Event::Platform(Ok(Some(update(1, 4)))));
    cluster.rounds(50);
    assert_eq!(cluster.versions(), [4, 4, 4, 1, 1]);
    cluster.partitions = vec![0; ROUTERS];
    cluster.rounds(2);
    assert_eq!(cluster.versions(), [4; ROUTERS]);
}

#[test]
fn fetch_timeout_tries_next_peer() {
    let mut replica = Replica::new("a".parse().unwrap());
    let mut out = Vec::new();
    replica.step(Time(0), Event::Platform(Ok(Some(update(0, 1)))), &mut out);
    for name in [1, 2] {
        let router = router(name);
        let version = Version(2);
        replica.step(Time(0), Event::PeerVersion { router, version }, &mut out);
    }
    out.clear();
    replica.step(Time(2_000_000), Event::Tick, &mut out);
    let sent = out.iter().find_map(|action| match action {
        Action::Send(envelope) => Some(envelope.to.clone()),
        _ => None,
    });
    assert_eq!(sent, Some(router(2)));
}

#[test]
fn damaged_delta_is_refused() {
    let mut replica = Replica::new("a".parse().unwrap());
    let mut out = Vec::new();
    replica.step(Time(0), Event::Platform(Ok(Some(update(0, 1)))), &mut out);
    let mut wrong = update(1, 2);
    wrong.steps[0].delta = step(1, 3).delta;
    for body in [b"{".to_vec(), wrong.encode()] {
        out.clear();
        let router = router(1);
        replica.step(Time(1), Event::Delta { router, body }, &mut out);
        assert!(matches!(out[..], [Action::Refused { .. }]), "{out:?}");
        assert_eq!(replica.state(), State::Ready(Version(1)));
    }
    // The next fetch requests the whole document.
    let (router, version) = (router(1), Version(2));
    out.clear();
    replica.step(Time(1), Event::PeerVersion { router, version }, &mut out);
    let [
        Action::Send(Envelope {
            message: Message::Fetch { have },
            ..
        }),
    ] = &out[..]
    else {
        panic!("{out:?}");
    };
    assert_eq!(*have, Version(0));
}

#[test]
fn delta_from_later_version_is_ignored() {
    let mut replica = Replica::new("a".parse().unwrap());
    let mut out = Vec::new();
    replica.step(Time(0), Event::Platform(Ok(Some(update(0, 1)))), &mut out);
    out.clear();
    let (router, body) = (router(1), update(2, 3).encode());
    replica.step(Time(1), Event::Delta { router, body }, &mut out);
    assert!(out.is_empty(), "{out:?}");
    assert_eq!(replica.version(), Version(1));
}

#[derive(Clone, Debug)]
enum Disturbance {
    Change,
    Restart(usize),
    Partition(Vec<usize>),
    Platform(bool),
    Lag(u64),
    Drop(bool),
    /// A delta that was sent earlier arrives again.
    Replay(prop::sample::Index),
    Rounds(usize),
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        3 => Just(Disturbance::Change),
        2 => (0..ROUTERS).prop_map(Disturbance::Restart),
        1 => prop::collection::vec(0_usize..3, ROUTERS).prop_map(Disturbance::Partition),
        1 => any::<bool>().prop_map(Disturbance::Platform),
        1 => (0_u64..4).prop_map(Disturbance::Lag),
        1 => any::<bool>().prop_map(Disturbance::Drop),
        2 => any::<prop::sample::Index>().prop_map(Disturbance::Replay),
        4 => (1_usize..12).prop_map(Disturbance::Rounds),
    ]
}

/// Returns a document of workspaces with these weights and keys; weight 0 leaves a workspace out.
fn contents(choices: &[(u32, usize)]) -> Document {
    let mut document = Document::default();
    let mut taken = BTreeSet::new();
    for (index, (weight, key)) in choices.iter().enumerate() {
        let Some(weight) = Weight::new(*weight) else {
            continue;
        };
        let name: id::Workspace = format!("w{index}").parse().unwrap();
        let workspace = Arc::new(Workspace {
            name: name.clone(),
            weight,
        });
        let own = taken.insert(*key).then(|| Digest::of(&key.to_be_bytes()));
        let keys = own.into_iter().collect();
        document
            .workspaces
            .insert(name, Account { workspace, keys });
    }
    document
}

fn choices() -> impl Strategy<Value = Vec<(u32, usize)>> {
    prop::collection::vec((0_u32..4, 0_usize..6), 5)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// A fleet that is updated by deltas equals one that is built from the whole document, also when keys move between
    /// workspaces, and a restarted peer that fetches from this replica gets the same document.
    #[test]
    fn fleet_follows_deltas(
        all in prop::collection::vec((choices(), any::<bool>()), 1..8),
        fetch_after in 0_usize..8,
    ) {
        let mut replica = Replica::new("a".parse().unwrap());
        let mut old = Document::default();
        let mut answers = Vec::new();
        for (index, (choices, snapshot)) in all.iter().enumerate() {
            let new = contents(choices);
            let (from, to) = (Version(index as u64), Version(index as u64 + 1));
            let digest = new.digest();
            let step = match snapshot {
                true => Step::snapshot(&new, to, digest),
                false => Step { from, to, digest, delta: Delta::between(&old, &new) },
            };
            let mut out = Vec::new();
            let update = Update { steps: vec![step] };
            replica.step(Time(0), Event::Platform(Ok(Some(update))), &mut out);
            let [Action::Install(fleet)] = &out[..] else {
                panic!("{out:?}");
            };
            prop_assert_eq!(&**fleet, &new.fleet(to, None));
            prop_assert_eq!(replica.digest(), new.digest());
            if index >= fetch_after {
                let (router, have) = (router(1), Version(0));
                replica.step(Time(0), Event::Fetch { router, have }, &mut answers);
            }
            old = new;
        }
        let Some(Action::Send(Envelope { message: Message::Delta { body, .. }, .. })) = answers.pop() else {
            return Ok(());
        };
        let mut restarted = Replica::new("a".parse().unwrap());
        let mut out = Vec::new();
        restarted.step(Time(0), Event::Platform(Ok(None)), &mut out);
        restarted.step(Time(0), Event::Delta { router: router(0), body }, &mut out);
        prop_assert_eq!(restarted.version(), replica.version());
        prop_assert_eq!(restarted.digest(), replica.digest());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// No router's version decreases during failures; all have the newest version within 8 s after they end.
    #[test]
    fn versions_only_grow_and_converge(disturbances in prop::collection::vec(disturbance(), 1..40), up in any::<bool>()) {
        let mut cluster = Cluster::new();
        for disturbance in disturbances {
            match disturbance {
                Disturbance::Change => cluster.head += 1,
                Disturbance::Restart(at) => cluster.restart(at),
                Disturbance::Partition(partitions) => cluster.partitions = partitions,
                Disturbance::Platform(up) => cluster.platform_up = up,
                Disturbance::Lag(lag) => cluster.lag = lag,
                Disturbance::Drop(drop) => cluster.drop_messages = drop,
                Disturbance::Replay(index) if !cluster.sent.is_empty() => {
                    let (to, router, body) = index.get(&cluster.sent).clone();
                    cluster.event(to, Event::Delta { router, body });
                }
                Disturbance::Replay(_) => {}
                Disturbance::Rounds(count) => cluster.rounds(count),
            }
        }
        cluster.partitions = vec![0; ROUTERS];
        cluster.drop_messages = false;
        cluster.lag = 0;
        cluster.platform_up = up;
        let known = cluster.versions().into_iter().chain(cluster.held.clone());
        let newest = known.max().unwrap();
        cluster.rounds(ROUNDS_ALLOWED);
        let expected = if up { cluster.head } else { newest };
        prop_assert_eq!(cluster.versions(), vec![expected; ROUTERS]);
    }
}
