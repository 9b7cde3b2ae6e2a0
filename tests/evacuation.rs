//! Evacuated failure domains and allowed regions, without a network: rows of the platform's table, outages,
//! stale reads and restores of their list, and every path by which the dispatcher sends requests.

use marlrun::{
    catalog,
    dispatch::{
        Action, Dispatcher, Event, Outcome, Part, Prompt, Reason, Request, Resumption, Settings,
    },
    gateway::{Change, Evacuations},
    gossip::{self, Evidence, Finding},
    id, platform,
    routing::{Engine, Kind, Limits, Route, Service, Table},
    table::{self, evacuation},
    unit::{Era, Span, Time, Version},
    watch::{self, Fault, Position, Row},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

const STREAM: Kind = Kind::Stream { resumable: true };
const TOKENS_PER_S: u64 = 90_000;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn table() -> Table {
    let limits = Limits {
        tokens_per_s: Some(TOKENS_PER_S),
        ..Limits::default()
    };
    let mut table = Table::new(Version(1), limits, false);
    for name in ["llm", "app"] {
        table.add_service(Service {
            name: name.parse().unwrap(),
            max_connections: 400,
            engine: (name == "llm").then(|| Engine {
                slots: 2,
                memory_tokens: 400_000,
                ..Engine::default()
            }),
            health_path: None,
            warm_up: None,
        });
    }
    table
}

/// Returns a target whose failure domain is the part of its name before the dash.
fn target(name: &str, service: &str) -> catalog::Target {
    catalog::Target {
        name: name.parse().unwrap(),
        started_at_ms: 1,
        service: service.parse().unwrap(),
        build: id::Build::default(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: name.split('-').next().unwrap().parse().unwrap(),
        slots: 2,
        draining: false,
        warm_up: Span(0),
    }
}

/// Returns a dispatcher in the domain `east`. `east` and `west` are in the region `gm`, `south` in `lr`, and
/// `north` in none.
fn ready(service: &str, names: &[&str]) -> Dispatcher {
    let mut settings = Settings::new(
        "r1".parse().unwrap(),
        id::Incarnation(1),
        "east".parse().unwrap(),
    );
    let regions = [("east", "gm"), ("west", "gm"), ("south", "lr")];
    let regions =
        regions.map(|(domain, region)| (domain.parse().unwrap(), region.parse().unwrap()));
    settings.regions = Arc::new(BTreeMap::from(regions));
    let mut dispatcher = Dispatcher::open(settings);
    step(&mut dispatcher, 0, Event::Routing(Arc::new(table())));
    let named = names.iter().map(|name| target(name, service));
    let named = named.map(|target| (target.name.clone(), target));
    step(&mut dispatcher, 0, Event::Targets(named.collect()));
    dispatcher
}

fn step(dispatcher: &mut Dispatcher, millis: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    dispatcher.step(at(millis), event, &mut out);
    out
}

fn evacuated(domains: &[&str]) -> Event {
    Event::Evacuated(domains.iter().map(|name| name.parse().unwrap()).collect())
}

fn request(number: u64, millis: u64, service: &str) -> Request {
    let parts = [(1, 500), (1_000 + number, 500)].map(|(id, tokens)| Part { id, tokens });
    Request {
        number,
        workspace: None,
        service: service.parse().unwrap(),
        kind: if service == "llm" {
            STREAM
        } else {
            Kind::Idempotent
        },
        priority: 1,
        arrived: at(millis),
        due: at(millis + 900),
        deadline: at(millis + 10_000),
        max_attempts: 3,
        prompt: (service == "llm").then(|| Prompt {
            parts: parts.into(),
            tokens: 1_000,
            expected_output: 100,
        }),
        stream: None,
        resumption: None,
        build: None,
        regions: None,
    }
}

fn sent(actions: &[Action]) -> Vec<(u64, &str)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send {
            number, estimate, ..
        } => Some((*number, estimate.target.as_str())),
        _ => None,
    });
    sent.collect()
}

fn refused(actions: &[Action]) -> Vec<(u64, Reason, bool)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse { number, refusal } => Some((*number, refusal.reason, refusal.may_have_run)),
        _ => None,
    });
    refused.collect()
}

fn ended(number: u64, outcome: Outcome) -> Event {
    Event::Ended {
        number,
        outcome,
        can_retry: true,
    }
}

/// The targets of the evacuated domain are the nearest ones and idle, so that they look cheapest.
#[test]
fn first_attempts_pass_over_evacuated_domain() {
    let mut dispatcher = ready("app", &["east-1", "east-2", "west-1"]);
    step(&mut dispatcher, 0, evacuated(&["east"]));
    let actions = step(&mut dispatcher, 1, Event::Arrived(request(1, 1, "app")));
    assert_eq!(sent(&actions), [(1, "west-1")]);
    step(&mut dispatcher, 2, evacuated(&[]));
    let actions = step(&mut dispatcher, 3, Event::Arrived(request(2, 3, "app")));
    assert!(sent(&actions)[0].1.starts_with("east"), "{actions:?}");
}

/// A domain may be evacuated before the router has read the list of targets, as at its start.
#[test]
fn evacuation_known_before_targets() {
    let mut dispatcher = ready("app", &[]);
    step(&mut dispatcher, 0, evacuated(&["east"]));
    let listed = ["east-1", "west-1"].map(|name| target(name, "app"));
    let listed = listed.map(|target| (target.name.clone(), target));
    step(&mut dispatcher, 1, Event::Targets(listed.into()));
    let actions = step(&mut dispatcher, 2, Event::Arrived(request(1, 2, "app")));
    assert_eq!(sent(&actions), [(1, "west-1")]);
}

/// Room that becomes free in an evacuated domain is not given to queued requests.
#[test]
fn queued_requests_pass_over_evacuated_domain() {
    let mut dispatcher = ready("llm", &["east-1", "west-1"]);
    for number in 1..=5 {
        step(
            &mut dispatcher,
            1,
            Event::Arrived(request(number, 1, "llm")),
        );
    }
    assert_eq!((dispatcher.running(), dispatcher.waiting()), (4, 1));
    step(&mut dispatcher, 2, evacuated(&["east"]));
    assert_eq!(dispatcher.waiting(), 1, "west may still take it");
    let loads = dispatcher.views();
    assert_eq!(loads["east-1"].0.running, 2, "what runs there goes on");
    let mut actions = Vec::new();
    for number in 1..=4 {
        let closed = Event::Closed { number };
        actions.extend(step(&mut dispatcher, 10 + number, closed));
    }
    assert_eq!(sent(&actions), [(5, "west-1")]);
}

#[test]
fn all_domains_evacuated_refuses_at_once() {
    let mut dispatcher = ready("llm", &["east-1", "west-1"]);
    for number in 1..=5 {
        step(
            &mut dispatcher,
            1,
            Event::Arrived(request(number, 1, "llm")),
        );
    }
    let actions = step(&mut dispatcher, 2, evacuated(&["east", "west"]));
    assert_eq!(refused(&actions), [(5, Reason::Evacuated, false)], "queued");
    let actions = step(&mut dispatcher, 3, Event::Arrived(request(6, 3, "llm")));
    assert_eq!(refused(&actions), [(6, Reason::Evacuated, false)], "new");
    let Some(Action::Refuse { refusal, .. }) = actions.first() else {
        unreachable!()
    };
    assert!(
        refusal.retry_after.0 > 0,
        "the caller is told when to retry"
    );
    assert_eq!(dispatcher.running(), 4, "what runs goes on");
}

#[test]
fn retries_pass_over_evacuated_domain() {
    for outcome in [Outcome::NotRun, Outcome::Unsent, Outcome::Failed] {
        let mut dispatcher = ready("app", &["east-1", "east-2", "west-1"]);
        let actions = step(&mut dispatcher, 1, Event::Arrived(request(1, 1, "app")));
        assert!(sent(&actions)[0].1.starts_with("east"), "{actions:?}");
        step(&mut dispatcher, 2, evacuated(&["east"]));
        let actions = step(&mut dispatcher, 3, ended(1, outcome));
        assert_eq!(sent(&actions), [(1, "west-1")], "{outcome:?}");
        step(&mut dispatcher, 4, evacuated(&["east", "west"]));
        let actions = step(&mut dispatcher, 5, ended(1, outcome));
        let may_have_run = outcome == Outcome::Failed;
        let [(1, _, told)] = refused(&actions)[..] else {
            panic!("{outcome:?}: {actions:?}");
        };
        assert_eq!(told, may_have_run, "{outcome:?}");
    }
}

/// A target may be chosen just before the evacuation is known: the gateway asks again where it sends.
#[test]
fn connected_request_is_not_sent_to_evacuated_domain() {
    let mut dispatcher = ready("app", &["east-1"]);
    let run = catalog::Run {
        target: "east-1".parse().unwrap(),
        started_at_ms: 1,
    };
    step(&mut dispatcher, 1, Event::Arrived(request(1, 1, "app")));
    assert!(dispatcher.accepts(at(1), &run));
    step(&mut dispatcher, 2, evacuated(&["east"]));
    assert!(!dispatcher.accepts(at(2), &run));
    let actions = step(&mut dispatcher, 3, ended(1, Outcome::Unsent));
    assert_eq!(refused(&actions).len(), 1);
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::HealthChanged { .. })),
        "that says nothing of the target"
    );
}

#[test]
fn silent_target_is_not_left_for_evacuated_domain() {
    let mut dispatcher = ready("app", &["east-1", "east-2", "west-1"]);
    step(&mut dispatcher, 1, Event::Arrived(request(1, 1, "app")));
    step(&mut dispatcher, 2, evacuated(&["east"]));
    let mut actions = Vec::new();
    for millis in (10..3_000).step_by(10) {
        actions.extend(step(&mut dispatcher, millis, Event::Tick));
    }
    assert_eq!(sent(&actions), [(1, "west-1")]);
}

#[test]
fn running_stream_goes_on_and_is_not_moved_into_evacuated_domain() {
    let mut dispatcher = ready("llm", &["east-1", "west-1", "west-2"]);
    let actions = step(&mut dispatcher, 1, Event::Arrived(request(1, 1, "llm")));
    let first = sent(&actions)[0].1.to_owned();
    step(&mut dispatcher, 100, Event::ResponseStarted { number: 1 });
    let rest = ["east", "west"].into_iter().find(|d| !first.starts_with(d));
    step(&mut dispatcher, 101, evacuated(&[rest.unwrap()]));
    let actions = step(&mut dispatcher, 1_700, Event::Stalled { number: 1 });
    let near = first.split('-').next().unwrap();
    assert!(
        sent(&actions)
            .iter()
            .all(|(_, name)| name.starts_with(near))
    );
    step(&mut dispatcher, 1_701, evacuated(&["east", "west"]));
    let actions = step(&mut dispatcher, 1_702, Event::Stalled { number: 1 });
    assert_eq!((sent(&actions).len(), refused(&actions).len()), (0, 0));
    assert_eq!(dispatcher.running(), 1);
}

#[test]
fn resumed_streams_pass_over_evacuated_domain() {
    let mut dispatcher = ready("llm", &["east-1", "west-1"]);
    step(&mut dispatcher, 0, evacuated(&["west"]));
    let begun = Request {
        stream: id::Stream::of(None, "q1"),
        ..request(1, 1, "llm")
    };
    step(&mut dispatcher, 1, Event::Arrived(begun));
    step(&mut dispatcher, 2, Event::ResponseStarted { number: 1 });
    let build = id::Build::default();
    step(&mut dispatcher, 2, Event::StreamBegun { number: 1, build });
    step(&mut dispatcher, 3, evacuated(&["east"]));
    let actions = step(&mut dispatcher, 4, ended(1, Outcome::Broken));
    assert_eq!(sent(&actions), [(1, "west-1")], "by the router");
    let resumed = Request {
        resumption: Some(Resumption {
            stream: id::Stream::of(None, "q1"),
            has_events: true,
        }),
        ..request(2, 5, "llm")
    };
    let actions = step(&mut dispatcher, 5, Event::Arrived(resumed.clone()));
    assert_eq!(sent(&actions), [(2, "west-1")], "by the caller");
    step(&mut dispatcher, 6, evacuated(&["east", "west"]));
    let resumed = Request {
        number: 3,
        ..resumed
    };
    let actions = step(&mut dispatcher, 7, Event::Arrived(resumed));
    assert_eq!(refused(&actions), [(3, Reason::Evacuated, false)]);
}

/// Crashes of three targets under the first part of all prompts, as another router reports them.
fn crashes(age_ms: [u64; 3]) -> Event {
    let mut summary = gossip::Summary::bare(
        "r2".parse().unwrap(),
        id::Incarnation(1),
        gossip::Scope::Group,
    );
    let findings = [0, 1, 2].map(|index| Finding {
        part: 1,
        age: Span::from_millis(age_ms[index]),
        evidence: Evidence::Crash {
            target: 70 + index as u64,
            software: 7,
            lasted: Span::from_millis(100),
        },
    });
    summary.findings = findings.into();
    Event::Summary(summary)
}

#[test]
fn trials_of_held_parts_pass_over_evacuated_domain() {
    let trial = |evacuated_at_trial: &[&str]| {
        let mut dispatcher = ready("llm", &["east-1", "west-1"]);
        let actions = step(&mut dispatcher, 10_000, crashes([6_000, 5_500, 5_000]));
        let is_held = |action: &Action| matches!(action, Action::PartHeld { .. });
        assert!(actions.iter().any(is_held), "{actions:?}");
        let arrived = Event::Arrived(request(1, 10_010, "llm"));
        let actions = step(&mut dispatcher, 10_010, arrived);
        assert_eq!((sent(&actions).len(), refused(&actions).len()), (0, 0));
        step(&mut dispatcher, 10_020, evacuated(evacuated_at_trial));
        let mut actions = Vec::new();
        for millis in (10_030..10_500).step_by(10) {
            actions.extend(step(&mut dispatcher, millis, Event::Tick));
        }
        actions
    };
    assert_eq!(sent(&trial(&["east"])), [(1, "west-1")]);
    let actions = trial(&["east", "west"]);
    assert_eq!((sent(&actions).len(), refused(&actions).len()), (0, 1));
}

/// Guards against shares that fall with the number of engines, although those that are left serve the configured rate:
/// only an estimate from crowded engines lowers them.
#[test]
fn capacity_stays_while_engines_reach_it() {
    let mut dispatcher = ready("llm", &["east-1", "west-1", "south-1"]);
    for domains in [&["east"][..], &["east", "west", "south"], &["nowhere"], &[]] {
        step(&mut dispatcher, 1, evacuated(domains));
        assert_eq!(dispatcher.capacity(), Some(TOKENS_PER_S), "{domains:?}");
    }
}

fn regions(names: &[&str]) -> Option<Arc<[id::Region]>> {
    Some(names.iter().map(|name| name.parse().unwrap()).collect())
}

#[test]
fn allowed_regions_limit_targets() {
    let list = ["east-1", "west-1", "south-1", "north-1"];
    let mut dispatcher = ready("app", &list);
    let mut number = 0;
    let mut arrive = |dispatcher: &mut Dispatcher, allowed: &[&str]| {
        number += 1;
        let arrived = Request {
            regions: regions(allowed),
            ..request(number, 1, "app")
        };
        let actions = step(dispatcher, 1, Event::Arrived(arrived));
        step(dispatcher, 1, Event::Closed { number });
        let to = sent(&actions).first().map(|(_, name)| (*name).to_owned());
        to.ok_or_else(|| refused(&actions)[0].1)
    };
    assert_eq!(arrive(&mut dispatcher, &["lr"]).as_deref(), Ok("south-1"));
    let other = arrive(&mut dispatcher, &["other"]);
    assert_eq!(other, Err(Reason::Region), "no such region");
    assert_eq!(arrive(&mut dispatcher, &[]), Err(Reason::Region));
    step(&mut dispatcher, 1, evacuated(&["south"]));
    let barred = arrive(&mut dispatcher, &["lr"]);
    assert_eq!(barred, Err(Reason::Evacuated), "both apply");
    step(&mut dispatcher, 1, evacuated(&["east"]));
    assert_eq!(arrive(&mut dispatcher, &["gm"]).as_deref(), Ok("west-1"));
}

/// A request that is restricted is neither retried nor moved to another region.
#[test]
fn allowed_regions_hold_for_retries_and_moves() {
    let mut dispatcher = ready("app", &["east-1", "south-1"]);
    let arrived = Request {
        regions: regions(&["gm"]),
        ..request(1, 1, "app")
    };
    step(&mut dispatcher, 1, Event::Arrived(arrived.clone()));
    for millis in (10..3_000).step_by(10) {
        let actions = step(&mut dispatcher, millis, Event::Tick);
        assert_eq!(sent(&actions), [], "moved at {millis}");
    }
    let actions = step(&mut dispatcher, 3_000, ended(1, Outcome::NotRun));
    assert_eq!((sent(&actions).len(), refused(&actions).len()), (0, 1));
}

#[test]
fn regions_of_route_and_workspace_intersect() {
    let names = |names: &[&str]| -> Box<[id::Region]> {
        names.iter().map(|name| name.parse().unwrap()).collect()
    };
    let desk: id::Workspace = "east-desk".parse().unwrap();
    let mut table = table();
    table
        .allowed_regions
        .insert(desk.clone(), names(&["gm", "lr"]));
    let route = |allowed: Option<&[&str]>| Route {
        name: "look".into(),
        host: "app.example".into(),
        prefix: "/look/".into(),
        kind: Kind::Once,
        timeout: Span::from_secs(1),
        slo: Span::from_secs(1),
        max_pause: None,
        priority: 0,
        splits: Vec::new(),
        max_attempts: 1,
        public: false,
        allowed_regions: allowed.map(names),
    };
    let other: id::Workspace = "west-desk".parse().unwrap();
    assert_eq!(table.regions(&route(None), Some(&other)), None);
    assert_eq!(table.regions(&route(None), None), None);
    let both = table.regions(&route(Some(&["lr", "sn"])), Some(&desk));
    assert_eq!(both, regions(&["lr"]));
    let none = table.regions(&route(Some(&["sn"])), Some(&desk));
    assert_eq!(none, regions(&[]), "an empty intersection allows nothing");
    let of_route = table.regions(&route(Some(&["sn"])), None);
    assert_eq!(of_route, regions(&["sn"]));
    let of_workspace = table.regions(&route(None), Some(&desk));
    assert_eq!(of_workspace, regions(&["gm", "lr"]));
}

proptest! {
    /// Requests of all kinds arrive, end, fall silent and are resumed while domains are evacuated and come
    /// back: nothing is sent into an evacuated domain or outside the allowed regions, by any path.
    #[test]
    fn sends_never_reach_barred_targets(
        steps in prop::collection::vec((0..10_u8, 0..8_u64, 0..16_u8), 1..150),
        service in prop::sample::select(vec!["llm", "app"]),
    ) {
        const DOMAINS: [&str; 4] = ["east", "west", "south", "north"];

        let names = DOMAINS.map(|domain| [format!("{domain}-1"), format!("{domain}-2")]).concat();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut dispatcher = ready(service, &names);
        let (mut barred, mut millis, mut next) = (BTreeSet::new(), 0, 0);
        let mut allowed: BTreeMap<u64, Option<Arc<[id::Region]>>> = BTreeMap::new();
        let in_region = |domain: &str| match domain {
            "east" | "west" => Some("gm"),
            "south" => Some("lr"),
            _ => None,
        };
        for (kind, choice, mask) in steps {
            millis += 7;
            let number = next - choice.min(next);
            let event = match kind {
                0..=3 => {
                    next += 1;
                    let to = match mask % 4 {
                        0 => regions(&["gm"]),
                        1 => regions(&["lr", "other"]),
                        _ => None,
                    };
                    allowed.insert(next, to.clone());
                    let resumption = Resumption {
                        stream: id::Stream::of(None, "q1"),
                        has_events: true,
                    };
                    Event::Arrived(Request {
                        regions: to,
                        resumption: (service == "llm" && choice == 0).then_some(resumption),
                        ..request(next, millis, service)
                    })
                }
                4 => {
                    let domains = DOMAINS.iter().enumerate();
                    let domains = domains.filter(|(index, _)| mask >> index & 1 == 1);
                    barred = domains.map(|(_, domain)| *domain).collect();
                    evacuated(&barred.iter().copied().collect::<Vec<_>>())
                }
                5 => Event::ResponseStarted { number },
                6 => Event::Stalled { number },
                7 => ended(number, [Outcome::NotRun, Outcome::Broken][mask as usize % 2]),
                8 if mask == 0 => crashes([3_000, 2_500, 2_000]),
                _ => {
                    millis += 40 * u64::from(mask);
                    Event::Tick
                }
            };
            let actions = step(&mut dispatcher, millis, event);
            for (number, name) in sent(&actions) {
                let domain = name.split('-').next().unwrap();
                prop_assert!(!barred.contains(domain), "{number} went to {name}");
                if let Some(Some(regions)) = allowed.get(&number) {
                    let region = in_region(domain);
                    let is_allowed = regions.iter().any(|r| Some(r.as_str()) == region);
                    prop_assert!(is_allowed, "{number} went to {name}");
                }
            }
        }
    }
}

fn row(key: &str, value: Option<&str>) -> Row {
    Row {
        key: key.into(),
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

fn position(era: u64, version: u64) -> Position {
    Position {
        era: Era(era),
        version,
    }
}

fn full(era: u64, version: u64, entries: &[Row]) -> watch::Event<Row> {
    watch::Event::Full {
        entries: entries.to_vec(),
        position: position(era, version),
        age: Span(0),
    }
}

fn changed(era: u64, version: u64, entries: &[Row]) -> watch::Event<Row> {
    watch::Event::Changed {
        entries: entries.to_vec(),
        position: position(era, version),
        age: Span(0),
    }
}

fn domain(name: &str) -> id::Domain {
    name.parse().unwrap()
}

/// Applies an event; returns what it changed, and the rows that other routers get.
fn reconcile(
    evacuations: &mut Evacuations,
    mut event: watch::Event<Row>,
) -> (Vec<Change>, Vec<Row>) {
    let changes = evacuations.reconcile(&mut event, platform::decode_evacuation);
    let rows = match event {
        watch::Event::Full { entries, .. } | watch::Event::Changed { entries, .. } => entries,
        _ => Vec::new(),
    };
    (changes, rows)
}

fn names(evacuations: &Evacuations) -> Vec<String> {
    let domains = evacuations.domains().into_iter();
    domains.map(|domain| domain.to_string()).collect()
}

#[test]
fn rows_begin_and_end_evacuations() {
    let mut evacuations = Evacuations::default();
    let config = row("config", Some("{}"));
    let east = row("evacuate/east", Some("{}"));
    let (changes, _) = reconcile(
        &mut evacuations,
        full(1, 5, &[config.clone(), east.clone()]),
    );
    assert_eq!(changes, [Change::Begun(domain("east"))], "at the start");
    let west = changed(1, 6, &[row("evacuate/west", Some("{}"))]);
    let (changes, _) = reconcile(&mut evacuations, west);
    assert_eq!(changes, [Change::Begun(domain("west"))]);
    let removed = changed(1, 7, &[row("evacuate/east", None)]);
    let (changes, _) = reconcile(&mut evacuations, removed);
    assert_eq!(changes, [Change::Ended(domain("east"))]);
    // Read as a whole after the router missed the removal.
    let (changes, _) = reconcile(&mut evacuations, full(1, 9, &[config]));
    assert_eq!(changes, [Change::Ended(domain("west"))]);
    assert!(evacuations.domains().is_empty());
}

/// While the store is down, nothing is read, and the evacuations stay; the first list after it tells.
#[test]
fn evacuations_stay_while_store_is_down() {
    let mut evacuations = Evacuations::default();
    let east = row("evacuate/east", Some("{}"));
    reconcile(&mut evacuations, full(1, 5, std::slice::from_ref(&east)));
    let fault = || Fault::Malformed {
        endpoint: "the store".into(),
        cause: "down".into(),
    };
    let outage = [
        watch::Event::Unavailable { fault: fault() },
        watch::Event::Unchecked { fault: fault() },
        watch::Event::Recovered {
            outage: Span::from_secs(9),
            confirmed_at: Time::default(),
            failed_at: Time::default(),
        },
        watch::Event::Unchanged {
            position: position(1, 8),
            age: Span(0),
        },
    ];
    for event in outage {
        assert_eq!(reconcile(&mut evacuations, event).0, []);
        assert_eq!(names(&evacuations), ["east"]);
    }
    reconcile(&mut evacuations, full(1, 9, &[]));
    assert!(evacuations.domains().is_empty());
}

/// Another router's copy may lag behind what this one has read from the store.
#[test]
fn stale_reads_change_nothing() {
    let mut evacuations = Evacuations::default();
    let east = row("evacuate/east", Some("{}"));
    reconcile(&mut evacuations, changed(1, 9, std::slice::from_ref(&east)));
    let stale = [
        full(1, 8, &[]),
        changed(1, 7, &[row("evacuate/east", None)]),
    ];
    for event in stale {
        let (changes, rows) = reconcile(&mut evacuations, event);
        assert!(
            matches!(&changes[..], [Change::Unclear { row, .. }] if &**row == "evacuate/east"),
            "{changes:?}"
        );
        assert_eq!(names(&evacuations), ["east"]);
        assert_eq!(
            rows[..],
            *std::slice::from_ref(&east),
            "other routers get what is known"
        );
    }
    reconcile(
        &mut evacuations,
        changed(1, 12, &[row("evacuate/east", None)]),
    );
    let (changes, rows) = reconcile(&mut evacuations, full(1, 10, &[east]));
    assert!(
        matches!(&changes[..], [Change::Unclear { .. }]),
        "{changes:?}"
    );
    assert!(
        evacuations.domains().is_empty(),
        "it was revoked after that"
    );
    assert_eq!(rows, [row("evacuate/east", None)]);
}

#[test]
fn restored_store_keeps_evacuations() {
    let mut evacuations = Evacuations::default();
    let (east, west) = (
        row("evacuate/east", Some("{}")),
        row("evacuate/west", Some("{}")),
    );
    reconcile(&mut evacuations, full(1, 5, std::slice::from_ref(&west)));
    reconcile(
        &mut evacuations,
        changed(1, 9, &[east.clone(), row("evacuate/west", None)]),
    );
    // The copy is from before: it lacks one and has another one that was revoked since.
    let (changes, rows) = reconcile(&mut evacuations, full(2, 6, std::slice::from_ref(&west)));
    assert_eq!(
        changes,
        [Change::Begun(domain("west")), Change::Kept(domain("east"))]
    );
    assert_eq!(names(&evacuations), ["east", "west"]);
    assert!(rows.contains(&east), "other routers get it");
    // Operators write their last changes again, and revoke later.
    reconcile(
        &mut evacuations,
        changed(2, 7, &[row("evacuate/west", None), east]),
    );
    assert_eq!(names(&evacuations), ["east"]);
    reconcile(&mut evacuations, full(2, 8, &[]));
    assert!(evacuations.domains().is_empty());
}

#[test]
fn restored_store_without_evacuation_ends_it_by_its_removal() {
    let mut evacuations = Evacuations::default();
    reconcile(
        &mut evacuations,
        changed(1, 9, &[row("evacuate/east", Some("{}"))]),
    );
    reconcile(&mut evacuations, full(2, 3, &[]));
    assert_eq!(names(&evacuations), ["east"]);
    let removed = changed(2, 4, &[row("evacuate/east", None)]);
    let (changes, _) = reconcile(&mut evacuations, removed);
    assert_eq!(changes, [Change::Ended(domain("east"))]);
}

/// A row that can't be read bars its domain while it is there, and is named once.
#[test]
fn bad_rows_bar_and_are_named() {
    let mut evacuations = Evacuations::default();
    for (version, value) in ["", "[1]", "{", "\u{0}"].into_iter().enumerate() {
        let version = version as u64 * 10;
        let bad = row("evacuate/east", Some(value));
        let event = changed(1, version + 1, std::slice::from_ref(&bad));
        let (changes, _) = reconcile(&mut evacuations, event);
        let [Change::Unclear { row: named, .. }, Change::Begun(_)] = &changes[..] else {
            panic!("{value:?}: {changes:?}");
        };
        assert_eq!(&**named, "evacuate/east");
        assert_eq!(names(&evacuations), ["east"]);
        let (changes, _) = reconcile(&mut evacuations, full(1, version + 2, &[bad]));
        assert_eq!(changes, [], "it was named before");
        let removed = changed(1, version + 3, &[row("evacuate/east", None)]);
        reconcile(&mut evacuations, removed);
    }
    for key in ["evacuate/", "evacuate/a b", "evacuate/east/west"] {
        let (changes, _) = reconcile(&mut evacuations, changed(1, 50, &[row(key, Some("{}"))]));
        assert!(matches!(&changes[..], [Change::Unclear { .. }]), "{key}");
        assert!(
            evacuations.domains().is_empty(),
            "no target is there: {key}"
        );
    }
    for key in ["config", "evacuated/east", "Evacuate/east", ""] {
        let (changes, _) = reconcile(&mut evacuations, changed(1, 60, &[row(key, Some("{}"))]));
        assert_eq!(changes, [], "{key} is another row");
    }
}

/// A deployment without such rows: every event passes through unchanged.
#[test]
fn list_without_evacuations_passes_unchanged() {
    let mut evacuations = Evacuations::default();
    let rows = [row("config", Some("{}")), row("other", None)];
    let (changes, passed) = reconcile(&mut evacuations, full(1, 5, &rows));
    assert_eq!((changes, passed), (Vec::new(), rows.to_vec()));
    assert!(evacuations.domains().is_empty());
}

proptest! {
    /// A router that reads lists and changes of any age in any order has, after a last current list, the
    /// evacuations of that list.
    #[test]
    fn evacuations_agree_with_last_list(
        writes in prop::collection::vec((0..3_usize, any::<bool>()), 1..30),
        reads in prop::collection::vec(0..30_usize, 0..30),
    ) {
        const KEYS: [&str; 3] = ["evacuate/a", "evacuate/b", "evacuate/c"];

        let state = |version: usize| {
            let mut present = BTreeSet::new();
            for (key, is_present) in &writes[..version] {
                if *is_present {
                    present.insert(KEYS[*key]);
                } else {
                    present.remove(KEYS[*key]);
                }
            }
            present
        };
        let list = |version: usize| {
            let rows: Vec<Row> = state(version).iter().map(|key| row(key, Some("{}"))).collect();
            full(1, version as u64, &rows)
        };
        let mut evacuations = Evacuations::default();
        let mut newest = 0;
        for read in reads {
            let version = read.min(writes.len());
            newest = newest.max(version);
            reconcile(&mut evacuations, list(version));
            let expected: Vec<String> = state(newest).iter().map(|key| key[9..].to_owned()).collect();
            for name in expected {
                prop_assert!(names(&evacuations).contains(&name), "a stale read revoked {name}");
            }
        }
        reconcile(&mut evacuations, list(writes.len()));
        let expected: Vec<String> =
            state(writes.len()).iter().map(|key| key[9..].to_owned()).collect();
        prop_assert_eq!(names(&evacuations), expected);
    }
}

/// Returns a row of the table of the project's own mode.
fn own_row(domain: &str, version: u64, value: &str) -> table::Row {
    table::Row {
        key: format!("evacuate/{domain}").into(),
        version,
        value: value.into(),
    }
}

fn own_names(evacuations: &evacuation::Evacuations) -> Vec<String> {
    let domains = evacuations.domains().into_iter();
    domains.map(|domain| domain.to_string()).collect()
}

/// A read that shows the table as it was, or a table that came back from a copy, changes nothing; a write after
/// that does, although the versions of rows are lower then.
#[test]
fn own_table_read_late_or_restored_changes_nothing() {
    let mut evacuations = evacuation::Evacuations::default();
    let on = |at: u64| format!("{{\"evacuated\":true,\"at\":{at}}}");
    let off = |at: u64| format!("{{\"evacuated\":false,\"at\":{at}}}");
    assert!(evacuations.apply(&[own_row("east", 1, &on(10))]).is_empty());
    evacuations.apply(&[]);
    assert_eq!(own_names(&evacuations), ["east"], "a copy without the row");
    evacuations.apply(&[own_row("east", 2, &off(20))]);
    evacuations.apply(&[own_row("east", 1, &on(10))]);
    assert!(evacuations.domains().is_empty(), "a late read");
    evacuations.apply(&[own_row("east", 2, &on(30))]);
    assert_eq!(own_names(&evacuations), ["east"], "written after a restore");
}

#[test]
fn own_table_bad_rows_bar_and_are_named() {
    let mut evacuations = evacuation::Evacuations::default();
    let bad = [own_row("east", 1, "?"), own_row("a b", 1, "{}")];
    let unclear = evacuations.apply(&bad);
    let rows: Vec<&str> = unclear.iter().map(|(row, _)| &**row).collect();
    assert_eq!(rows, ["evacuate/a b", "evacuate/east"]);
    assert_eq!(own_names(&evacuations), ["east"]);
    assert!(evacuations.apply(&bad).is_empty(), "they were named before");
    let east: id::Domain = domain("east");
    let end = evacuation::write(&east, false, 5, Some(&bad[0]));
    assert_eq!(end.expect, table::Expect::Version(1));
    evacuations.apply(&[own_row("east", 2, &end.value.unwrap())]);
    assert!(evacuations.domains().is_empty(), "it can be revoked");
}

/// The clock of the operator's machine may be slow: a change is later than the one before all the same.
#[test]
fn own_table_change_is_later_than_the_one_before() {
    let east: id::Domain = domain("east");
    let begun = evacuation::write(&east, true, 1_000, None);
    assert_eq!(begun.expect, table::Expect::Absent);
    let row = own_row("east", 1, &begun.value.unwrap());
    assert!(evacuation::is_in_force(&row));
    let end = evacuation::write(&east, false, 400, Some(&row));
    let ended = own_row("east", 2, &end.value.unwrap());
    let mut evacuations = evacuation::Evacuations::default();
    evacuations.apply(&[row]);
    evacuations.apply(&[ended]);
    assert!(evacuations.domains().is_empty());
}
