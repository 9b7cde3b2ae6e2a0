//! Request handling at the router that accepted the request: slot requests, grants, attempts and
//! retries.

use marlrun::{
    claim, id, ingress,
    unit::{Cost, Span, Time},
    wire,
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn name<T: std::str::FromStr<Err = id::Invalid>>(text: &str) -> T {
    text.parse().expect("a name")
}

/// Two targets with different owners.
struct Pair;

impl ingress::Placement for Pair {
    fn pick(
        &self,
        _: &id::Service,
        exclude: &[id::Target],
        _: u64,
    ) -> Option<(id::Target, id::Router)> {
        let mut targets = ["t1", "t2"].map(name::<id::Target>).into_iter();
        let target = targets.find(|target| !exclude.contains(target))?;
        let owner = self.owner_of(&target)?;
        Some((target, owner))
    }

    fn owner_of(&self, target: &id::Target) -> Option<id::Router> {
        match target.as_str() {
            "t1" => Some(name("r1")),
            "t2" => Some(name("r2")),
            _ => None,
        }
    }
}

struct Bench {
    controller: ingress::Controller,
    now: Time,
}

impl Bench {
    fn open() -> Self {
        let random = ChaCha8Rng::seed_from_u64(1);
        let settings = ingress::Settings::default();
        Self {
            controller: ingress::Controller::open(id::Incarnation(1), settings, random),
            now: Time::default(),
        }
    }

    fn step(&mut self, event: ingress::Event) -> Vec<ingress::Action> {
        let mut out = Vec::new();
        self.controller.step(self.now, event, &Pair, &mut out);
        out
    }

    fn request(&mut self, idempotent: bool) -> wire::Ask {
        self.request_keyed(idempotent, None)
    }

    fn request_keyed(&mut self, idempotent: bool, key: Option<claim::Key>) -> wire::Ask {
        let request = ingress::Request {
            number: 1,
            workspace: name("w"),
            service: name("s"),
            class: wire::Class::Quick,
            estimate: Cost(1),
            idempotent,
            key,
            deadline: Time::default() + Span::from_secs(30),
        };
        let out = self.step(ingress::Event::Request(request));
        asked(&out).expect("a request asks for a slot")
    }

    fn grant(&mut self, ask: &wire::Ask) -> Vec<ingress::Action> {
        self.step(ingress::Event::Granted {
            from: ingress::Placement::owner_of(&Pair, &ask.target).expect("a known target"),
            attempt: ask.attempt,
            target: ask.target.clone(),
        })
    }

    fn end(&mut self, ask: &wire::Ask, outcome: wire::Outcome) -> Vec<ingress::Action> {
        self.step(ingress::Event::Ended {
            attempt: ask.attempt,
            cost: Cost(0),
            outcome,
            resume: ingress::Resume::Start,
            answer: None,
        })
    }

    fn wait(&mut self, span: Span) -> Vec<ingress::Action> {
        self.now = self.now + span;
        self.step(ingress::Event::Tick)
    }
}

fn asked(out: &[ingress::Action]) -> Option<wire::Ask> {
    out.iter().find_map(|action| match action {
        ingress::Action::Send(wire::Envelope {
            message: wire::Message::Ask(ask),
            ..
        }) => Some(ask.clone()),
        _ => None,
    })
}

fn started(out: &[ingress::Action]) -> bool {
    out.iter()
        .any(|action| matches!(action, ingress::Action::Start { .. }))
}

fn rejection(out: &[ingress::Action]) -> Option<&ingress::Rejection> {
    out.iter().find_map(|action| match action {
        ingress::Action::Reject { rejection, .. } => Some(rejection),
        _ => None,
    })
}

#[test]
fn grant_stale() {
    let mut bench = Bench::open();
    let ask = bench.request(true);
    bench.step(ingress::Event::Cancelled { request: 1 });
    let out = bench.grant(&ask);
    assert!(!started(&out));
    assert!(
        matches!(
            &out[..],
            [ingress::Action::Send(wire::Envelope {
                message: wire::Message::Done { cost: Cost(0), .. },
                ..
            })]
        ),
        "{out:?}"
    );
}

#[test]
fn retry_unreachable() {
    let mut bench = Bench::open();
    let ask = bench.request(false);
    assert!(started(&bench.grant(&ask)));
    let out = bench.end(&ask, wire::Outcome::Unreachable);
    assert_eq!(rejection(&out), None);
    let out = bench.wait(Span::from_secs(1));
    let second = asked(&out).expect("a slot request for a second attempt");
    assert_ne!(second.target, ask.target);
}

#[test]
fn retry_broken_non_idempotent() {
    let mut bench = Bench::open();
    let ask = bench.request(false);
    bench.grant(&ask);
    let attempt = ask.attempt;
    bench.step(ingress::Event::Sent { attempt });
    let out = bench.end(&ask, wire::Outcome::Broken);
    assert!(
        matches!(
            rejection(&out),
            Some(ingress::Rejection::Unknown {
                doubt: ingress::Doubt::Broken
            })
        ),
        "{out:?}"
    );
    assert!(bench.controller.is_empty());
}

#[test]
fn retry_broken_idempotent() {
    let mut bench = Bench::open();
    let ask = bench.request(true);
    bench.grant(&ask);
    let attempt = ask.attempt;
    bench.step(ingress::Event::Sent { attempt });
    let out = bench.end(&ask, wire::Outcome::Broken);
    assert_eq!(rejection(&out), None);
    assert!(asked(&bench.wait(Span::from_secs(1))).is_some());
}

#[test]
fn deadline_waiting() {
    let mut bench = Bench::open();
    bench.request(false);
    let out = bench.wait(Span::from_secs(30));
    assert!(
        matches!(rejection(&out), Some(ingress::Rejection::NotRun { .. })),
        "{out:?}"
    );
}

#[test]
fn owner_lost() {
    let mut bench = Bench::open();
    let ask = bench.request(false);
    bench.now = bench.now + Span::from_secs(2);
    let out = bench.step(ingress::Event::Resync { from: name("r1") });
    let again = asked(&out).expect("a repeated slot request");
    assert_eq!(again.attempt, ask.attempt);
    assert_eq!(again.waited, Span::from_secs(2));
}

#[test]
fn retry_unreachable_after_sent() {
    let mut bench = Bench::open();
    let ask = bench.request(false);
    bench.grant(&ask);
    let attempt = ask.attempt;
    bench.step(ingress::Event::Sent { attempt });
    let out = bench.end(&ask, wire::Outcome::Unreachable);
    assert!(
        matches!(rejection(&out), Some(ingress::Rejection::Unknown { .. })),
        "{out:?}"
    );
}

#[test]
fn pause_claim_pending() {
    let mut bench = Bench::open();
    let key = claim::Key::Caller("k".into());
    let ask = bench.request_keyed(false, Some(key));
    let out = bench.grant(&ask);
    let claimed = out.iter().find_map(|action| match action {
        ingress::Action::Claim { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = claimed.expect("a keyed request is claimed");
    let out = bench.step(ingress::Event::Paused);
    let second = asked(&out).expect("a new slot request after a stale grant");
    assert_ne!(second.attempt, ask.attempt);
    assert!(!started(&bench.step(ingress::Event::Claimed {
        attempt,
        verdict: claim::Verdict::Granted,
    })));
    let out = bench.grant(&second);
    assert!(started(&out), "claim already granted: {out:?}");
}

#[test]
fn grant_start_time_passed() {
    let mut bench = Bench::open();
    let ask = bench.request(false);
    bench.grant(&ask);
    // The front end sent nothing because the time to start had passed.
    let out = bench.end(&ask, wire::Outcome::Cancelled);
    assert_eq!(rejection(&out), None);
    assert!(asked(&out).is_some(), "{out:?}");
}

#[test]
fn retry_all_failed() {
    let mut bench = Bench::open();
    let mut ask = bench.request(false);
    let mut targets = vec![ask.target.clone()];
    while !bench.controller.is_empty() {
        bench.grant(&ask);
        bench.end(&ask, wire::Outcome::NotRun);
        let Some(next) = asked(&bench.wait(Span::from_secs(2))) else {
            break;
        };
        targets.push(next.target.clone());
        ask = next;
    }
    let names: Vec<_> = targets.iter().map(id::Target::as_str).collect();
    assert_eq!(names, ["t1", "t2", "t1", "t2"]);
}
