//! Streams that callers resume: at which build they began, as this router and others recorded it.

use super::{Dispatcher, Grade, LATE_TICK, Peer, Pending, Reason, Request};
use crate::{
    dispatch::{Action, History, builds::RETENTION, origins::Entry},
    gossip, id,
    placement::hash,
    unit::{Span, Time},
};

/// Time for which a resumed stream waits for other routers to report where it began: they may have
/// begun it just before. Reports pass up to three routers, every 30 to 100 ms.
const REPORT_TIME: Span = Span::from_millis(200);
/// Time since its last summary up to which another router is heard: three keepalives, since datagrams may be
/// lost.
const HEARD_SPAN: Span = Span::from_millis(300);
/// Time after which a caller may try again if that is still unknown; another router may know.
const UNKNOWN_RETRY_AFTER: Span = Span::from_millis(300);

/// A request that resumes a stream of which other routers may still report where it began.
#[derive(Clone, Debug)]
pub(super) struct Awaiting {
    pub(super) pending: Pending,
    /// Its standing in the share of its workspace.
    grade: Grade,
    until: Time,
}

/// What a request needs of the build of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Need {
    /// Nothing: it begins a stream.
    Any,
    Build(id::Build),
    /// Another service began the stream.
    OtherService,
    /// That is not known yet; other routers may report it.
    NotReported,
    /// That can't be known.
    Unknown,
}

impl Dispatcher {
    /// Returns the hash of the name of the service at which a stream began; `None` if that is unknown.
    pub fn origin_service(&self, stream: id::Stream) -> Option<u64> {
        match self.origins.get(stream) {
            Some(Entry::Build { service, .. }) => Some(*service),
            Some(Entry::Conflicting) | None => None,
        }
    }

    /// Reports whether a request resumes a stream that is known to have begun.
    pub(super) fn continues_known(&self, request: &Request) -> bool {
        let known = request
            .resumption
            .filter(|resumption| resumption.has_events)
            .and_then(|resumption| resumption.stream)
            .and_then(|stream| self.origins.get(stream));
        matches!(known, Some(Entry::Build { .. }))
    }

    fn need(&self, request: &Request) -> Need {
        let Some(resumption) = request.resumption else {
            return Need::Any;
        };
        let own_service = hash(request.service.as_str());
        let origin = resumption.stream.map(|stream| self.origins.get(stream));
        match origin {
            Some(Some(Entry::Build { service, build })) if *service == own_service => {
                Need::Build(build.clone())
            }
            Some(Some(Entry::Build { .. })) => Need::OtherService,
            _ if !resumption.has_events => Need::Any,
            // The builds of before this router started are unknown, too.
            Some(None) if !self.is_history_known => Need::NotReported,
            _ if !self.is_history_known => Need::Unknown,
            _ if !self.builds.are_mixed(own_service) => {
                // The stream began before the request arrived.
                if self.listed_routers == Some(0) || self.checked >= request.arrived {
                    self.single_build(own_service)
                } else {
                    Need::NotReported
                }
            }
            Some(None) => Need::NotReported,
            Some(Some(Entry::Conflicting)) | None => Need::Unknown,
        }
    }

    /// Returns what a request needs that resumes a stream of a service with a single build. It is bound all the
    /// same, since another build may appear before the stream ends.
    fn single_build(&self, service: u64) -> Need {
        let build = self.builds.single(service);
        build.map_or(Need::Any, |build| Need::Build(build.clone()))
    }

    /// Reports whether the list of targets is current, as far as this router can tell without asking: others may be
    /// cut off together with it.
    fn is_list_current(&self, now: Time) -> bool {
        if self.listed_routers == Some(0) {
            return true;
        }
        let stood_still = now.since(self.last_tick) >= LATE_TICK || now < self.silence_counts_from;
        let bound = self.settings.list_bound;
        let is_confirmed = self.confirmed.is_some_and(|at| now.since(at) <= bound);
        let mut peers = self.peers.values();
        let is_heard = |peer: &Peer| now.since(peer.last_heard) <= HEARD_SPAN;
        !stood_still && is_confirmed && peers.any(is_heard)
    }

    /// Reports whether all other routers have reported since a time, so that they would have told of a build that
    /// this router doesn't know, also while the platform's list can't be read.
    fn are_all_heard(&self, now: Time, since: Time) -> bool {
        let heard = self.peers.values();
        let heard = heard.filter(|peer| peer.reported(now) >= since);
        let heard: usize = heard.map(|peer| peer.router_count as usize).sum();
        self.listed_routers.is_some_and(|listed| heard >= listed)
    }

    /// Returns the builds of which targets are listed.
    pub(super) fn listed_builds(&self) -> Vec<gossip::Build> {
        let targets = self.targets.values();
        let builds = targets.map(|target| gossip::Build {
            service: hash(target.entry.service.as_str()),
            build: target.entry.build.key(),
        });
        let mut builds: Vec<gossip::Build> = builds.collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    /// Records the builds that another router reported.
    pub(super) fn record_builds(&mut self, now: Time, summary: &gossip::Summary) {
        for reported in &summary.builds {
            let build = id::Build::from_key(reported.build);
            self.builds.record(now, reported.service, &build);
        }
    }

    /// Binds a request that resumes a stream to the build that began it, and places it.
    pub(super) fn bind(
        &mut self,
        now: Time,
        mut pending: Pending,
        grade: Grade,
        out: &mut Vec<Action>,
    ) {
        match self.need(&pending.request) {
            Need::Any => self.place(now, pending, grade, out),
            Need::Build(build) => {
                pending.request.build = Some(build);
                self.place(now, pending, grade, out);
            }
            Need::OtherService => {
                let retry_after = self.retry_after(now, &pending.request);
                self.refuse(now, &pending, Reason::NoBuild, retry_after, out);
            }
            Need::NotReported => {
                out.push(Action::CheckTargets);
                self.awaiting.push(Awaiting {
                    until: pending.request.deadline.min(now + REPORT_TIME),
                    pending,
                    grade,
                });
            }
            Need::Unknown => {
                self.refuse(now, &pending, Reason::Origin, UNKNOWN_RETRY_AFTER, out);
            }
        }
    }

    /// Returns what routers that start after all were killed have to know; `None` if the router that this
    /// one follows tells them.
    pub fn history(&self, now: Time) -> Option<History> {
        self.followed().is_none().then(|| History {
            builds: self.builds.all(),
            streams: self.origins.running(now, &self.builds),
        })
    }

    /// Records what routers remembered before this one started.
    pub(super) fn recall(&mut self, now: Time, remembered: &[History], out: &mut Vec<Action>) {
        let streams = remembered.iter().flat_map(|history| &history.streams);
        for origin in streams {
            let from = self.settings.router.clone();
            // As of this router: it overwrites what it wrote before, which others may not have read yet.
            self.origins.record_reported(now, &from, true, *origin);
        }
        let builds = remembered.iter().flat_map(|history| &history.builds);
        for (service, build) in builds {
            let build = id::Build::from_key(*build);
            self.builds.record(now, *service, &build);
        }
        self.is_history_known = true;
        self.bind_reported(now, out);
    }

    /// Refuses the requests whose streams no router has reported in time, unless it is certain that their service has a
    /// single build.
    pub(super) fn expire_awaiting(&mut self, now: Time, out: &mut Vec<Action>) {
        let expired = self
            .awaiting
            .extract_if(.., |awaiting| awaiting.until <= now);
        for awaiting in expired.collect::<Vec<_>>() {
            let mut pending = awaiting.pending;
            let service = hash(pending.request.service.as_str());
            let is_single = self.is_history_known && !self.builds.are_mixed(service);
            let need = if is_single && self.are_all_heard(now, pending.request.arrived) {
                self.single_build(service)
            } else {
                Need::Unknown
            };
            if let Need::Build(build) = need {
                pending.request.build = Some(build);
                self.place(now, pending, awaiting.grade, out);
            } else {
                self.refuse(now, &pending, Reason::Origin, UNKNOWN_RETRY_AFTER, out);
            }
        }
    }

    /// Binds a request to the build whose first event its caller gets, and records it for
    /// resumptions.
    pub(super) fn begin_stream(&mut self, now: Time, number: u64, build: &id::Build) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        let request = &mut attempt.request;
        request.build.get_or_insert_with(|| build.clone());
        let service = hash(request.service.as_str());
        let resumed = request.resumption.and_then(|resumption| resumption.stream);
        let streams = [request.stream, resumed];
        // The event may come from the former target of a move that the gateway has not carried out.
        if let Some(previous) = &mut attempt.previous {
            previous.request.build = attempt.request.build.clone();
        }
        self.builds.record(now, service, build);
        for stream in streams.into_iter().flatten() {
            let origin = gossip::Origin {
                service,
                build: build.key(),
                repeated: false,
                stream,
            };
            self.origins.record_own(now, origin, &self.builds);
        }
    }

    /// Records where streams began that another router reported, and places the requests that waited
    /// for it.
    pub(super) fn record_origins(
        &mut self,
        now: Time,
        summary: &gossip::Summary,
        out: &mut Vec<Action>,
    ) {
        if summary.origins.is_empty() {
            return;
        }
        let from_group = summary.scope == gossip::Scope::Follower;
        for origin in &summary.origins {
            let build = id::Build::from_key(origin.build);
            self.builds.record(now, origin.service, &build);
            self.origins
                .record_reported(now, &summary.router, from_group, *origin);
        }
        self.bind_reported(now, out);
    }

    /// Binds the requests that waited for a report, as far as it has come.
    pub(super) fn bind_reported(&mut self, now: Time, out: &mut Vec<Action>) {
        let awaiting = std::mem::take(&mut self.awaiting);
        let (waiting, reported) = awaiting
            .into_iter()
            .partition(|awaiting| self.need(&awaiting.pending.request) == Need::NotReported);
        self.awaiting = waiting;
        for awaiting in reported {
            self.bind(now, awaiting.pending, awaiting.grade, out);
        }
    }

    /// Returns the streams that another router is told of when it has just started, the oldest first.
    pub(super) fn untold_for(
        &self,
        router: &id::Router,
        scope: gossip::Scope,
    ) -> Vec<gossip::Origin> {
        if scope == gossip::Scope::Follower {
            return self.origins.all(&self.builds);
        }
        let others = self.peers.iter();
        let others = others.filter(|(other, peer)| *other != router && !peer.is_follower());
        let before = others.clone();
        let before = before.filter(|(other, _)| **other < self.settings.router);
        let (rank, count) = (before.count() as u64, 1 + others.count() as u64);
        self.origins.part(&self.builds, rank, count)
    }

    /// Records the builds of the listed targets, and forgets what is too long ago.
    pub(super) fn refresh_builds(&mut self, now: Time) {
        for target in self.targets.values() {
            let service = hash(target.entry.service.as_str());
            self.builds.record(now, service, &target.entry.build);
        }
        // Streams of before can't be resumed any more.
        self.is_history_known |= now.since(Time::default()) >= RETENTION;
        self.builds.announce_all = !self.is_large_fleet() || !self.is_list_current(now);
        self.builds.expire(now);
        self.origins.expire(now);
    }
}
