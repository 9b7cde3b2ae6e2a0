//! Entries of the platform's list of VMs.

use crate::id;
use std::net::SocketAddr;

/// State of a VM as last known to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A VM that runs a router or a target.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the router or target on the VM.
    pub name: Box<str>,
    /// Group: `router` or a service name.
    pub group: Box<str>,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of the peer interface of a router, or of the HTTP interface of a target.
    pub address: SocketAddr,
    /// State.
    pub state: State,
}
