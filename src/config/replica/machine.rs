//! Decides what one router's copy takes, asks for and sends.

use super::{Action, Event, Origin, Reason, State};
use crate::{
    config::{Digest, Document, Fleet, Step, Update},
    id,
    table::Fault,
    unit::{Span, Time, Version},
    wire,
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Longest time between two reads of the platform's head row. A change must be in force within 8 s even at a router
/// that hears no peer; 330 routers then read about 132 rows/s of the about 2,000 that the platform serves.
const PLATFORM_PERIOD: Span = Span::from_secs(3);
/// Bits of the part of the period that varies, in microseconds: about a second. Routers that started together then
/// don't go on to read together.
const PLATFORM_JITTER_BITS: u32 = 20;
/// Odd multiplier that spreads close numbers over all high bits: 2^64 divided by the golden ratio.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time after which a read of the platform counts as lost; longer than the platform client's own timeouts.
const PLATFORM_TIMEOUT: Span = Span::from_secs(15);
/// Time after which a peer that was asked for changes is given up and another one is asked.
const FETCH_TIMEOUT: Span = Span::from_millis(1_000);
/// Time after the start in which peers are listened to before a peer's version is put in force: a restarted router
/// then doesn't fall back to the version of a peer that lags behind.
const SETTLE: Span = Span::from_secs(1);
/// Time after the start from which an older version is better than none.
const MAX_SETTLE: Span = Span::from_secs(3);
/// Steps that are kept to answer peers; 3 minutes' absence misses 6 of 2,800 a day, an hour's misses 117.
const KEPT_STEPS: usize = 256;

/// One router's copy of the configuration; its version only grows.
pub struct Replica {
    domain: id::Domain,
    /// Time of the first event.
    started: Option<Time>,
    /// Version in force.
    version: Version,
    /// Version of `document`; ahead of `version` while the first version is sought.
    latest: Version,
    digest: Digest,
    document: Document,
    /// The workspaces of `document`, and the rest as it was when a version was put in force last.
    fleet: Fleet,
    /// A whole update at an earlier version, encoded, to answer restarted peers.
    whole_body: Option<(Version, Vec<u8>)>,
    /// The latest steps, oldest first.
    steps: VecDeque<Step>,
    peers: BTreeMap<id::Router, Version>,
    fetch: Option<Fetch>,
    platform: Platform,
    /// The next fetch asks for the whole document, because a delta led to other contents.
    whole: bool,
}

/// A question to a peer that is not answered yet.
struct Fetch {
    router: id::Router,
    since: Time,
}

/// Reads of the platform.
#[derive(Default)]
struct Platform {
    /// Time of the read that is not answered yet.
    pending: Option<Time>,
    /// Time of the last answer.
    answered: Option<Time>,
    /// A read has succeeded.
    reached: bool,
    /// What the platform said last; `None` if it was not read.
    said: Option<Box<str>>,
}

impl Replica {
    /// Returns a replica without a configuration for a router in a failure domain.
    pub fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            started: None,
            version: Version(0),
            latest: Version(0),
            digest: Digest::default(),
            document: Document::default(),
            fleet: Fleet::default(),
            whole_body: None,
            steps: VecDeque::new(),
            peers: BTreeMap::new(),
            fetch: None,
            platform: Platform::default(),
            whole: false,
        }
    }

    /// Returns the version in force, 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the latest contents.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns whether there is a configuration, and if not, why.
    pub fn state(&self) -> State {
        if self.version > Version(0) {
            return State::Ready(self.version);
        }
        let versions = self.peers.values();
        State::Unready {
            platform: self.platform.said.clone(),
            peers: versions.filter(|version| **version > Version(0)).count(),
        }
    }

    /// Handles an event.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match event {
            Event::PeerVersion { router, version } => {
                self.peers.insert(router, version);
                self.fetch_newer(now, None, out);
            }
            Event::PeerGone { router } => {
                self.peers.remove(&router);
                if self
                    .fetch
                    .as_ref()
                    .is_some_and(|fetch| fetch.router == router)
                {
                    self.retry_fetch(now, out);
                }
            }
            Event::Fetch { router, have } => self.answer(router, have, out),
            Event::Delta { router, body } => self.on_delta(now, router, &body, out),
            Event::Platform(result) => self.on_platform(now, result, out),
            Event::Tick => self.on_tick(now, out),
        }
        self.install(now, out);
    }

    fn on_delta(&mut self, now: Time, router: id::Router, body: &[u8], out: &mut Vec<Action>) {
        let origin = Origin::Peer(router);
        let accepted = match Update::decode(body) {
            Ok(update) => self.accept(update, origin, out),
            Err(damaged) => {
                let reason = damaged.into();
                out.push(Action::Refused { origin, reason });
                false
            }
        };
        // After an answer of no use the question stays open until its timeout, so that two routers which can't
        // help each other don't exchange messages without end.
        if accepted {
            self.fetch = None;
            self.fetch_newer(now, None, out);
        }
    }

    fn on_platform(
        &mut self,
        now: Time,
        result: Result<Option<Update>, Fault>,
        out: &mut Vec<Action>,
    ) {
        self.platform.pending = None;
        self.platform.answered = Some(now);
        self.platform.reached |= result.is_ok();
        match result {
            Ok(Some(update)) => {
                self.platform.said = None;
                self.accept(update, Origin::Platform, out);
            }
            Ok(None) => self.platform.said = Some("the platform holds no newer one".into()),
            Err(fault) => self.platform.said = Some(fault.to_string().into()),
        }
        self.fetch_newer(now, None, out);
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |fetch: &Fetch| now.since(fetch.since) >= FETCH_TIMEOUT;
        if self.fetch.as_ref().is_some_and(overdue) {
            self.retry_fetch(now, out);
        }
        self.fetch_newer(now, None, out);
        let due = match (self.platform.pending, self.platform.answered) {
            (Some(asked), _) => now.since(asked) >= PLATFORM_TIMEOUT,
            (None, Some(answered)) => now.since(answered) >= platform_period(answered),
            (None, None) => true,
        };
        if due {
            self.platform.pending = Some(now);
            let have = self.wanted_after();
            out.push(Action::ReadPlatform { have });
        }
    }

    /// Asks another peer than the one that has not answered.
    fn retry_fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        let last = self.fetch.take().map(|fetch| fetch.router);
        self.fetch_newer(now, last, out);
    }

    /// Asks a peer that has a newer version: the one that is furthest ahead or, after a peer that did not help,
    /// the next one in the order of names.
    fn fetch_newer(&mut self, now: Time, after: Option<id::Router>, out: &mut Vec<Action>) {
        if self.fetch.is_some() || !self.may_fetch(now) {
            return;
        }
        let peers = self.peers.iter();
        let newer = peers.filter(|(_, version)| **version > self.latest);
        let chosen = match &after {
            None => newer.max_by_key(|(_, version)| **version),
            Some(after) => newer.min_by_key(|(router, _)| (*router <= after, *router)),
        };
        let Some((router, _)) = chosen else {
            return;
        };
        let router = router.clone();
        out.push(Action::Send(wire::Envelope {
            to: router.clone(),
            message: wire::Message::Fetch {
                have: self.wanted_after(),
            },
        }));
        let since = now;
        self.fetch = Some(Fetch { router, since });
    }

    /// Reports whether peers may be asked: a whole document is asked for only if the platform does not give it,
    /// because it takes the peer's time.
    fn may_fetch(&self, now: Time) -> bool {
        let age = now.since(self.started.unwrap_or(now));
        self.latest > Version(0) || self.platform.answered.is_some() || age >= SETTLE
    }

    /// Returns the version after which changes are wanted.
    fn wanted_after(&self) -> Version {
        if self.whole {
            return Version(0);
        }
        self.latest
    }

    /// Sends a peer what it lacks.
    fn answer(&mut self, to: id::Router, have: Version, out: &mut Vec<Action>) {
        if have >= self.latest {
            return;
        }
        let (from, body) = match self.steps_after(have) {
            Some(steps) if have > Version(0) => (have, Update { steps }.encode()),
            _ => (Version(0), self.encode_whole()),
        };
        let to_version = self.latest;
        let message = wire::Message::Delta {
            from,
            to: to_version,
            body,
        };
        out.push(Action::Send(wire::Envelope { to, message }));
    }

    /// Returns the steps from a version to the latest one, `None` if they are not kept.
    fn steps_after(&self, version: Version) -> Option<Vec<Step>> {
        if version == self.latest {
            return Some(Vec::new());
        }
        let start = self.steps.iter().position(|step| step.from == version)?;
        Some(self.steps.range(start..).cloned().collect())
    }

    /// Returns a whole update. To encode 49,000 workspaces takes long, so that an earlier encoding is used with
    /// the steps that followed it, for as long as they are kept.
    fn encode_whole(&mut self) -> Vec<u8> {
        if let Some((version, body)) = &self.whole_body
            && let Some(steps) = self.steps_after(*version)
        {
            let mut body = body.clone();
            Update { steps }.append_to(&mut body);
            return body;
        }
        let whole = Step::whole(&self.document, self.latest, self.digest);
        let body = Update { steps: vec![whole] }.encode();
        self.whole_body = Some((self.latest, body.clone()));
        body
    }

    /// Applies the steps that lead on from the version in force; reports whether any did.
    fn accept(&mut self, update: Update, origin: Origin, out: &mut Vec<Action>) -> bool {
        let before = self.latest;
        for step in update.steps {
            if let Err(reason) = self.apply(step) {
                out.push(Action::Refused { origin, reason });
                self.whole = true;
                break;
            }
        }
        self.latest > before
    }

    /// Puts the latest version in force; the first one only when no peer is known to be ahead.
    fn install(&mut self, now: Time, out: &mut Vec<Action>) {
        let first = self.version == Version(0);
        if self.latest == self.version || first && !self.is_settled(now) {
            return;
        }
        self.version = self.latest;
        let site = self.site();
        self.fleet
            .refresh(&self.document, self.latest, site.as_ref());
        out.push(Action::Install(Arc::new(self.fleet.clone())));
    }

    fn is_settled(&self, now: Time) -> bool {
        let age = now.since(self.started.unwrap_or(now));
        let newest = self.peers.values().max();
        let behind = newest.is_some_and(|newest| *newest > self.latest);
        let heard = self.platform.reached || age >= SETTLE;
        age >= MAX_SETTLE || heard && !behind
    }

    fn apply(&mut self, step: Step) -> Result<(), Reason> {
        if step.to <= self.latest {
            return Ok(());
        }
        let whole = step.from == Version(0);
        if !whole && step.from != self.latest {
            return Ok(());
        }
        let empty = Document::default();
        let (document, digest) = match whole {
            true => (&empty, Digest::default()),
            false => (&self.document, self.digest),
        };
        let found = document.digest_after(digest, &step.delta);
        if found != step.digest {
            return Err(Reason::Mismatch {
                version: step.to,
                expected: step.digest,
                found,
            });
        }
        if whole {
            self.document = empty;
            self.fleet = Fleet::default();
            self.whole_body = None;
            self.steps.clear();
            self.whole = false;
        }
        self.fleet.follow(&self.document, &step.delta);
        self.document.apply(&step.delta);
        self.latest = step.to;
        self.digest = step.digest;
        if !whole {
            self.keep(step);
        }
        Ok(())
    }

    fn keep(&mut self, step: Step) {
        if self.steps.len() == KEPT_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(step);
    }

    /// Returns the site of the router's failure domain.
    fn site(&self) -> Option<id::Site> {
        let mut sites = self.document.sites.iter();
        let found = sites.find(|(_, domains)| domains.contains(&self.domain));
        found.map(|(site, _)| site.clone())
    }
}

/// Returns the time from an answer of the platform to the next read. The microsecond of the answer varies it: it
/// differs from router to router, and from one answer to the next.
fn platform_period(answered: Time) -> Span {
    let jitter = answered.0.wrapping_mul(SPREAD) >> (u64::BITS - PLATFORM_JITTER_BITS);
    Span(PLATFORM_PERIOD.0 - jitter)
}
