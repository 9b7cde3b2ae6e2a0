//! Live routers, as this one sees them.

use crate::{id, unit::Version, wire::Load};
use std::{collections::BTreeMap, net::SocketAddr};

/// A live router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub router: id::Router,
    /// Run.
    pub incarnation: id::Incarnation,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// It is shutting down and owns nothing.
    pub leaving: bool,
    /// Configuration in force there.
    pub version: Version,
    /// Last known load of each target that it owns.
    pub loads: Vec<Load>,
    /// Last known lowest level among its backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
    /// Targets that it has seen leave or fail.
    pub unfit: Vec<id::Target>,
}

/// Live routers by name, this one included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View(pub(super) BTreeMap<id::Router, Member>);

impl View {
    /// Returns a view of some members.
    pub fn of(members: impl IntoIterator<Item = Member>) -> Self {
        let by_name = |member: Member| (member.router.clone(), member);
        Self(members.into_iter().map(by_name).collect())
    }

    /// Returns a live router.
    pub fn get(&self, router: &id::Router) -> Option<&Member> {
        self.0.get(router)
    }

    /// Iterates over the live routers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.values()
    }

    /// Returns the number of live routers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether no router is alive.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
