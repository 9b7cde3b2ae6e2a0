//! Live routers as seen by this one.

use crate::{id, placement, unit::Version, wire::Load};
use std::{collections::BTreeMap, net::SocketAddr};

/// A live router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Router.
    pub router: id::Router,
    /// Incarnation.
    pub incarnation: id::Incarnation,
    /// Failure domain.
    pub domain: id::Domain,
    /// Peer address.
    pub address: SocketAddr,
    /// The router is shutting down and owns nothing.
    pub leaving: bool,
    /// Version of the configuration in force at the router.
    pub version: Version,
    /// Last known load of each target that the router owns.
    pub loads: Vec<Load>,
    /// Last known lowest level among the router's backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
    /// Targets that the router has observed to leave or fail.
    pub unfit: Vec<id::Target>,
}

/// Live routers by name, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: BTreeMap<id::Router, Member>,
    /// Members that are not leaving, which may own targets and aggregate usage.
    candidates: Vec<placement::Candidate>,
}

impl View {
    /// Creates a view of the given members.
    pub fn of(members: impl IntoIterator<Item = Member>) -> Self {
        let by_name = |member: Member| (member.router.clone(), member);
        let mut view = Self {
            members: members.into_iter().map(by_name).collect(),
            candidates: Vec::new(),
        };
        view.update_candidates();
        view
    }

    /// Returns a live router.
    pub fn get(&self, router: &id::Router) -> Option<&Member> {
        self.members.get(router)
    }

    /// Iterates over the live routers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of live routers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Reports whether no router is alive.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the routers that may own targets and aggregate the usage of workspaces.
    pub(crate) fn candidates(&self) -> &[placement::Candidate] {
        &self.candidates
    }

    /// Adds or replaces a member; returns whether ownership must be recomputed.
    pub(super) fn insert(&mut self, member: Member) -> bool {
        let placement_key = |m: &Member| (m.incarnation, m.domain.clone(), m.address, m.leaving);
        let after = placement_key(&member);
        let before = self.members.insert(member.router.clone(), member);
        let changed = before.as_ref().map(placement_key) != Some(after);
        if changed {
            self.update_candidates();
        }
        changed
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, router: &id::Router) {
        self.members.remove(router);
        self.update_candidates();
    }

    fn update_candidates(&mut self) {
        let staying = self.members.values().filter(|member| !member.leaving);
        self.candidates = staying.map(placement::Candidate::of).collect();
    }
}
