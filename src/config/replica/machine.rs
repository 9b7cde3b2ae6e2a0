//! State machine of a replica.

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

/// Longest time between two reads of the platform's head row. A change must be active within 8 s even on a router
/// that reaches no peer. With this period 330 routers read about 132 rows/s; the platform serves about 2,000.
const PLATFORM_PERIOD: Span = Span::from_secs(3);
/// Width of the jitter that is subtracted from the period, in bits of microseconds: up to about 1 s. It spreads the
/// reads of routers that started together.
const PLATFORM_JITTER_BITS: u32 = 20;
/// Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio: close numbers get unrelated high bits.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Timeout of a read of the platform; longer than the platform client's own timeouts.
const PLATFORM_TIMEOUT: Span = Span::from_secs(15);
/// Timeout of a fetch from a peer; the next peer is tried after it.
const FETCH_TIMEOUT: Span = Span::from_millis(1_000);
/// Time after the start for which a router that cannot read the platform collects its peers' versions before it
/// activates one: otherwise a restarted router could fall back to the version of a peer that lags behind.
const STARTUP_WAIT: Span = Span::from_secs(1);
/// Time after the start at which the latest version here is activated even if a peer has a newer one.
const MAX_STARTUP_WAIT: Span = Span::from_secs(3);
/// Steps that are kept to answer peers. At 2,800 changes a day a router misses 6 in 3 minutes and 117 in an hour.
const MAX_STEPS: usize = 256;

/// One router's replica of the configuration; its version never decreases.
pub struct Replica {
    domain: id::Domain,
    /// Time of the first event.
    started: Option<Time>,
    /// Active version.
    version: Version,
    /// Version of `document`; ahead of `version` until the first version is activated.
    latest: Version,
    digest: Digest,
    document: Document,
    /// Effective configuration: its workspaces follow `document` at once, the rest follows on activation.
    fleet: Fleet,
    /// Encoded snapshot of an earlier version, kept to answer restarted peers.
    encoded_snapshot: Option<(Version, Vec<u8>)>,
    /// The latest steps, oldest first.
    steps: VecDeque<Step>,
    peers: BTreeMap<id::Router, Version>,
    fetch: Option<Fetch>,
    platform: Platform,
    /// The next fetch or read requests the whole document, because a step did not give its digest.
    needs_snapshot: bool,
}

/// Pending fetch from a peer.
struct Fetch {
    router: id::Router,
    since: Time,
}

/// State of the reads of the platform.
#[derive(Default)]
struct Platform {
    /// Start of the pending read.
    pending: Option<Time>,
    /// Time of the last result, successful or not.
    answered: Option<Time>,
    /// At least one read has succeeded.
    succeeded: bool,
    /// Why the last read gave no update; `None` if it gave one or there was no read.
    detail: Option<Box<str>>,
}

impl Replica {
    /// Returns a replica without a configuration, for a router in the given failure domain.
    pub fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            started: None,
            version: Version(0),
            latest: Version(0),
            digest: Digest::default(),
            document: Document::default(),
            fleet: Fleet::default(),
            encoded_snapshot: None,
            steps: VecDeque::new(),
            peers: BTreeMap::new(),
            fetch: None,
            platform: Platform::default(),
            needs_snapshot: false,
        }
    }

    /// Returns the active version, 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the latest document, which may not be active yet.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the active version, or why there is none.
    pub fn state(&self) -> State {
        if self.version > Version(0) {
            return State::Ready(self.version);
        }
        let versions = self.peers.values();
        State::Unready {
            platform: self.platform.detail.clone(),
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
            Event::Fetch { router, have } => self.send_changes(router, have, out),
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
            Err(malformed) => {
                let reason = malformed.into();
                out.push(Action::Refused { origin, reason });
                false
            }
        };
        // After an answer that advances nothing the fetch stays pending until its timeout; otherwise two routers that
        // can't help each other would exchange messages endlessly.
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
        self.platform.succeeded |= result.is_ok();
        match result {
            Ok(Some(update)) => {
                self.platform.detail = None;
                self.accept(update, Origin::Platform, out);
            }
            Ok(None) => self.platform.detail = Some("no newer version is stored".into()),
            Err(fault) => self.platform.detail = Some(fault.to_string().into()),
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
            (Some(started), _) => now.since(started) >= PLATFORM_TIMEOUT,
            (None, Some(answered)) => now.since(answered) >= platform_period(answered),
            (None, None) => true,
        };
        if due {
            self.platform.pending = Some(now);
            let have = self.base_version();
            out.push(Action::ReadPlatform { have });
        }
    }

    /// Gives up the pending fetch and tries the next peer.
    fn retry_fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        let last = self.fetch.take().map(|fetch| fetch.router);
        self.fetch_newer(now, last, out);
    }

    /// Fetches from a peer that has a newer version: the one with the highest version or, after a failed fetch, the
    /// one that follows that peer in cyclic name order.
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
                have: self.base_version(),
            },
        }));
        let since = now;
        self.fetch = Some(Fetch { router, since });
    }

    /// Reports whether changes may be fetched from peers. A router without a configuration waits for the platform
    /// first, for up to [`STARTUP_WAIT`], because a whole document costs the peer time.
    fn may_fetch(&self, now: Time) -> bool {
        let age = now.since(self.started.unwrap_or(now));
        self.latest > Version(0) || self.platform.answered.is_some() || age >= STARTUP_WAIT
    }

    /// Returns the version after which changes are requested; 0 requests the whole document.
    fn base_version(&self) -> Version {
        if self.needs_snapshot {
            return Version(0);
        }
        self.latest
    }

    /// Sends a peer the changes after its version, or a snapshot.
    fn send_changes(&mut self, to: id::Router, have: Version, out: &mut Vec<Action>) {
        if have >= self.latest {
            return;
        }
        let (from, body) = match self.steps_after(have) {
            Some(steps) if have > Version(0) => (have, Update { steps }.encode()),
            _ => (Version(0), self.encode_snapshot()),
        };
        let to_version = self.latest;
        let message = wire::Message::Delta {
            from,
            to: to_version,
            body,
        };
        out.push(Action::Send(wire::Envelope { to, message }));
    }

    /// Returns the steps from a version to the latest one, `None` if they are no longer kept.
    fn steps_after(&self, version: Version) -> Option<Vec<Step>> {
        if version == self.latest {
            return Some(Vec::new());
        }
        let start = self.steps.iter().position(|step| step.from == version)?;
        Some(self.steps.range(start..).cloned().collect())
    }

    /// Returns an encoded snapshot. Encoding 49,000 workspaces is slow, so an earlier encoding is reused with the
    /// later steps appended, for as long as these are kept.
    fn encode_snapshot(&mut self) -> Vec<u8> {
        if let Some((version, body)) = &self.encoded_snapshot
            && let Some(steps) = self.steps_after(*version)
        {
            let mut body = body.clone();
            Update { steps }.append_to(&mut body);
            return body;
        }
        let snapshot = Step::snapshot(&self.document, self.latest, self.digest);
        let body = Update {
            steps: vec![snapshot],
        }
        .encode();
        self.encoded_snapshot = Some((self.latest, body.clone()));
        body
    }

    /// Applies the steps that follow the latest version; reports whether the version advanced.
    fn accept(&mut self, update: Update, origin: Origin, out: &mut Vec<Action>) -> bool {
        let before = self.latest;
        for step in update.steps {
            if let Err(reason) = self.apply(step) {
                out.push(Action::Refused { origin, reason });
                self.needs_snapshot = true;
                break;
            }
        }
        self.latest > before
    }

    /// Activates the latest version; the first activation waits until [`Self::may_activate_first`].
    fn install(&mut self, now: Time, out: &mut Vec<Action>) {
        let first = self.version == Version(0);
        if self.latest == self.version || first && !self.may_activate_first(now) {
            return;
        }
        self.version = self.latest;
        let site = self.site();
        self.fleet
            .refresh(&self.document, self.latest, site.as_ref());
        out.push(Action::Install(Arc::new(self.fleet.clone())));
    }

    /// Reports whether a first version may be activated: no peer is known to be ahead and either the platform was read
    /// or [`STARTUP_WAIT`] has passed; after [`MAX_STARTUP_WAIT`] always.
    fn may_activate_first(&self, now: Time) -> bool {
        let age = now.since(self.started.unwrap_or(now));
        let newest = self.peers.values().max();
        let behind = newest.is_some_and(|newest| *newest > self.latest);
        let ready = self.platform.succeeded || age >= STARTUP_WAIT;
        age >= MAX_STARTUP_WAIT || ready && !behind
    }

    fn apply(&mut self, step: Step) -> Result<(), Reason> {
        if step.to <= self.latest {
            return Ok(());
        }
        let is_snapshot = step.from == Version(0);
        if !is_snapshot && step.from != self.latest {
            return Ok(());
        }
        let empty = Document::default();
        let (document, digest) = match is_snapshot {
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
        if is_snapshot {
            self.document = empty;
            self.fleet = Fleet::default();
            self.encoded_snapshot = None;
            self.steps.clear();
            self.needs_snapshot = false;
        }
        self.fleet.apply_delta(&self.document, &step.delta);
        self.document.apply(&step.delta);
        self.latest = step.to;
        self.digest = step.digest;
        if !is_snapshot {
            self.record(step);
        }
        Ok(())
    }

    fn record(&mut self, step: Step) {
        if self.steps.len() == MAX_STEPS {
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

/// Returns the time from a result of the platform to the next read. Its jitter comes from the time of the result in
/// microseconds, which differs between routers and between reads.
fn platform_period(answered: Time) -> Span {
    let jitter = answered.0.wrapping_mul(HASH_MULTIPLIER) >> (u64::BITS - PLATFORM_JITTER_BITS);
    Span(PLATFORM_PERIOD.0 - jitter)
}
