//! Builds at which recent streams began, at this router and at others.

use super::builds::{Builds, RETENTION};
use crate::{
    gossip, id,
    unit::{Span, Time},
};
use std::collections::{HashMap, VecDeque};

/// Maximum number of streams that are remembered: those that the largest fleet begins in
/// [`RETENTION`]. The oldest are forgotten first.
const MAX_STREAMS: usize = 1 << 17;
/// Maximum number of streams that wait to be announced; the oldest are dropped first.
const MAX_WAITING: usize = 1 << 14;

/// Maximum number of streams that one router that has just started is told of, the latest ones: those of
/// about fifteen seconds in the largest fleet, 1.3 MB. Many routers may start at the same time.
const MAX_CATCH_UP: usize = 1 << 15;

/// Time since its beginning for which a stream is remembered for routers that start after all were killed:
/// longer than most streams run.
const RUNNING_SPAN: Span = Span::from_secs(3);

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    /// At a target of this build.
    Build {
        /// Hash of the service's name.
        service: u64,
        build: id::Build,
    },
    /// Streams with the same identifier began at several builds, since a caller used it again.
    Conflicting,
}

/// Builds at which recent streams began, at this router and at others, and those that are to be
/// announced to other routers.
#[derive(Clone, Debug, Default)]
pub(super) struct Origins {
    known: HashMap<id::Stream, Known>,
    /// Streams by the time at which they were recorded, oldest first. Those that were recorded again
    /// have several entries.
    recorded: VecDeque<(Time, id::Stream)>,
    to_announce: VecDeque<Announcement>,
    /// Announcements of the last round, which are sent once more because datagrams may be lost.
    to_repeat: Vec<Announcement>,
    /// Streams of this router that were not announced, since their service has a single build.
    withheld: VecDeque<(Time, gossip::Origin)>,
}

/// A stream that is to be announced, with the router that reported it, `None` for this one.
pub(super) type Announcement = (Option<id::Router>, gossip::Origin);

#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    at: Time,
    /// Whether it began at this router or one that follows it.
    from_group: bool,
}

impl Origins {
    /// Returns where a stream began.
    pub(super) fn get(&self, stream: id::Stream) -> Option<&Entry> {
        self.known.get(&stream).map(|known| &known.entry)
    }

    /// Records a stream that began at this router, and announces it if streams of its
    /// service are.
    pub(super) fn record_own(&mut self, now: Time, origin: gossip::Origin, builds: &Builds) {
        if !self.record(now, &origin, true) {
            return;
        }
        if builds.are_announced(origin.service) {
            self.announce((None, origin));
        } else {
            self.withheld.push_back((now, origin));
        }
    }

    /// Records a stream that another router reported, and passes it on if it is new. `from_group`
    /// tells whether that router follows this one.
    pub(super) fn record_reported(
        &mut self,
        now: Time,
        from: &id::Router,
        from_group: bool,
        origin: gossip::Origin,
    ) {
        if self.record(now, &origin, from_group) && !origin.repeated {
            self.announce((Some(from.clone()), origin));
        }
    }

    /// Records a stream; returns whether that is new.
    fn record(&mut self, now: Time, origin: &gossip::Origin, from_group: bool) -> bool {
        let reported = Entry::Build {
            service: origin.service,
            build: id::Build::from_key(origin.build),
        };
        let earlier = self.known.get(&origin.stream);
        let is_new = earlier
            .is_none_or(|known| known.entry != reported && known.entry != Entry::Conflicting);
        let known = Known {
            entry: match earlier {
                Some(known) if known.entry != reported => Entry::Conflicting,
                _ => reported,
            },
            at: now,
            from_group: from_group || earlier.is_some_and(|known| known.from_group),
        };
        self.known.insert(origin.stream, known);
        self.recorded.push_back((now, origin.stream));
        while self.recorded.len() > MAX_STREAMS {
            self.forget_oldest();
        }
        is_new
    }

    fn announce(&mut self, announcement: Announcement) {
        self.to_announce.push_back(announcement);
        if self.to_announce.len() > MAX_WAITING {
            self.to_announce.pop_front();
        }
    }

    /// Forgets the streams that began too long ago to be resumed.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.recorded.front()
            && now.since(*at) >= RETENTION
        {
            self.forget_oldest();
        }
        while let Some((at, _)) = self.withheld.front()
            && now.since(*at) >= RETENTION
        {
            self.withheld.pop_front();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, stream)) = self.recorded.pop_front() else {
            return;
        };
        if self.known.get(&stream).is_some_and(|known| known.at <= at) {
            self.known.remove(&stream);
        }
    }

    /// Takes the streams to be announced in a round, at most `limit` that were not announced before.
    pub(super) fn take_announcements(
        &mut self,
        builds: &Builds,
        limit: usize,
    ) -> Vec<Announcement> {
        if !self.withheld.is_empty() && builds.any_announced() {
            let (announced, withheld): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(&mut self.withheld)
                    .into_iter()
                    .partition(|(_, origin)| builds.are_announced(origin.service));
            self.withheld = withheld;
            for (_, origin) in announced {
                self.announce((None, origin));
            }
        }
        let count = self.to_announce.len().min(limit);
        let new: Vec<Announcement> = self.to_announce.drain(..count).collect();
        let mut all = std::mem::replace(&mut self.to_repeat, new.clone());
        all.extend(new);
        all
    }

    /// Returns the streams that began a moment ago at this router and its followers, of services that have
    /// several builds, sorted.
    pub(super) fn running(&self, now: Time, builds: &Builds) -> Vec<gossip::Origin> {
        let recent = self.recorded.iter().rev();
        let recent = recent.take_while(|(at, _)| now.since(*at) < RUNNING_SPAN);
        let running = recent.filter_map(|(_, stream)| {
            let known = self.known.get(stream).filter(|known| known.from_group)?;
            match &known.entry {
                Entry::Build { service, build } if builds.are_mixed(*service) => {
                    Some(gossip::Origin {
                        service: *service,
                        build: build.key(),
                        repeated: true,
                        stream: *stream,
                    })
                }
                Entry::Build { .. } | Entry::Conflicting => None,
            }
        });
        let mut running: Vec<gossip::Origin> = running.collect();
        running.sort_unstable();
        running.dedup();
        running
    }

    /// Returns all streams for a follower that has just started, the oldest first.
    pub(super) fn all(&self, builds: &Builds) -> Vec<gossip::Origin> {
        self.catch_up(builds, |_, _| true)
    }

    /// Returns the streams of this router and its followers for another router that has just started,
    /// the oldest first. Of the other streams, among them those of that router's earlier run, it
    /// gets a part from each router: this one is number `rank` of `count`.
    pub(super) fn part(&self, builds: &Builds, rank: u64, count: u64) -> Vec<gossip::Origin> {
        self.catch_up(builds, |stream, known| {
            known.from_group || stream.0 % count.max(1) == rank
        })
    }

    fn catch_up(
        &self,
        builds: &Builds,
        is_selected: impl Fn(id::Stream, &Known) -> bool,
    ) -> Vec<gossip::Origin> {
        if !builds.any_announced() {
            return Vec::new();
        }
        let streams = self.recorded.iter().filter_map(|(at, stream)| {
            let known = self.known.get(stream)?;
            let is_last = known.at == *at;
            match &known.entry {
                Entry::Build { service, build } if is_last && is_selected(*stream, known) => {
                    builds.are_announced(*service).then_some(gossip::Origin {
                        service: *service,
                        build: build.key(),
                        repeated: true,
                        stream: *stream,
                    })
                }
                _ => None,
            }
        });
        let mut streams: Vec<gossip::Origin> = streams.collect();
        let earliest = streams.len().saturating_sub(MAX_CATCH_UP);
        streams.split_off(earliest)
    }
}
