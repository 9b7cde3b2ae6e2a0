//! What is in force on the platform.

use super::{
    Store, decode_evacuation, decode_target,
    sources::{CONFIGURATION_KEY, OPERATORS_TABLE, TARGETS_TABLE},
};
use crate::{id, unit::Span, watch::Fault};
use std::{collections::BTreeSet, net::SocketAddr};

/// What is in force on the platform, as its store tells it to routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// Text of the configuration; empty if there is none.
    pub configuration: Box<str>,
    /// Failure domains that are evacuated.
    pub evacuated: BTreeSet<id::Domain>,
    /// Failure domains that targets are in.
    pub target_domains: BTreeSet<id::Domain>,
}

impl InForce {
    /// Reads what is in force and writes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the call.
    pub async fn read(address: SocketAddr, timeout: Span) -> Result<Self, Fault> {
        let store = Store::open(address, timeout);
        let mut read = Self::default();
        for row in store.read_table(OPERATORS_TABLE).await?.entries {
            if &*row.key == CONFIGURATION_KEY {
                let value = row.value.unwrap_or_default();
                read.configuration = String::from_utf8_lossy(&value).into();
            } else if let Some(evacuation) = decode_evacuation(row)
                && evacuation.is_present
            {
                read.evacuated.extend(evacuation.domain);
            }
        }
        let targets = store.read_table(TARGETS_TABLE).await?.entries;
        let targets = targets.into_iter().filter_map(decode_target);
        let domains = targets.filter_map(|entry| Some(entry.target?.domain));
        read.target_domains = domains.collect();
        Ok(read)
    }
}
