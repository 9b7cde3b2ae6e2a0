//! A target's stand-in.

use crate::id;
use std::{fmt, net::SocketAddr, str};

/// A target's stand-in, written as `service=address`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that it runs.
    pub service: id::Service,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

/// Error of a text that is not a target.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not of the form <service>=<address>:<port>")]
pub struct InvalidTarget(Box<str>);

impl str::FromStr for Target {
    type Err = InvalidTarget;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidTarget(text.into());
        let (service, address) = text.split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            service: service.parse().map_err(|_| invalid())?,
            address: address.parse().map_err(|_| invalid())?,
        })
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.service, self.address)
    }
}
