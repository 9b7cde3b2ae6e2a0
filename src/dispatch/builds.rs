//! Builds that the targets of each service had lately.

use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::{BTreeMap, HashMap};

/// Time for which a build counts after its last target was listed: callers no longer resume streams
/// that began longer ago.
pub(super) const RETENTION: Span = Span::from_secs(60);

/// Builds that the targets of each service had lately, by the hash of the service's name.
#[derive(Clone, Debug, Default)]
pub(super) struct Builds {
    /// Whether streams of services with a single build are announced, too: in a small fleet that costs
    /// little, and the next build may appear just after their router was killed. While the list of targets isn't
    /// current, nobody knows whether it is the only one.
    pub(super) announce_all: bool,
    /// Time at which each build was last seen.
    seen: BTreeMap<u64, HashMap<id::Build, Time>>,
}

impl Builds {
    /// Records that a service has a target of a build, or had one when a stream began.
    pub(super) fn record(&mut self, now: Time, service: u64, build: &id::Build) {
        let builds = self.seen.entry(service).or_default();
        builds.insert(build.clone(), now);
    }

    /// Reports whether the streams of a service may have begun at several builds.
    pub(super) fn are_mixed(&self, service: u64) -> bool {
        self.seen
            .get(&service)
            .is_some_and(|builds| builds.len() > 1)
    }

    /// Returns the build of a service that has a single one.
    pub(super) fn single(&self, service: u64) -> Option<&id::Build> {
        let builds = self.seen.get(&service)?;
        builds.keys().next().filter(|_| builds.len() == 1)
    }

    /// Returns all builds by the hash of their service's name, sorted.
    pub(super) fn all(&self) -> Vec<(u64, u64)> {
        let builds = self.seen.iter();
        let builds = builds.flat_map(|(service, builds)| {
            let keys = builds.keys().map(id::Build::key);
            keys.map(|build| (*service, build))
        });
        let mut builds: Vec<(u64, u64)> = builds.collect();
        builds.sort_unstable();
        builds
    }

    /// Reports whether the streams of a service are announced to other routers.
    pub(super) fn are_announced(&self, service: u64) -> bool {
        self.announce_all || self.are_mixed(service)
    }

    /// Reports whether the streams of any service are announced.
    pub(super) fn any_announced(&self) -> bool {
        self.announce_all || self.seen.values().any(|builds| builds.len() > 1)
    }

    /// Forgets the builds that were not seen for [`RETENTION`].
    pub(super) fn expire(&mut self, now: Time) {
        for builds in self.seen.values_mut() {
            builds.retain(|_, seen| now.since(*seen) < RETENTION);
        }
        self.seen.retain(|_, builds| !builds.is_empty());
    }
}
